"""Processes that host thousands of hollow nodes, or many hollow dispatchers, on loopback sockets.

A hollow node is a fake node that speaks the binary protocol and does no work. A hollow dispatcher is the complete
service, without a process of its own and without clients. Both are controlled by commands over a pipe, and exit when
the pipe is closed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass, field
from multiprocessing import get_context
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from thornshelf.configuration import read_config
from thornshelf.lab import fault_injection
from thornshelf.lab.fakes.behavior import BINARY
from thornshelf.lab.fakes.nodes import ReceivedMessage
from thornshelf.lab.load import LoadNode
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.scale.layout import Layout
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.loop import IN
from thornshelf.service import Service

DRAIN_GRACE_US = 300_000  # offers after this are late: 250 ms to read the change log, 50 ms for the socket
REPLY_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Silence:
    """Command: make nodes unresponsive for a time, as behind a network partition."""

    nodes: Sequence[int]
    for_us: int


@dataclass(frozen=True, slots=True)
class Drain:
    """Command: nodes drain and reject offers from now on, or stop draining."""

    nodes: Sequence[int]
    draining: bool = True


@dataclass(frozen=True, slots=True)
class Kill:
    """Command: stop nodes; connections are reset and tasks are lost."""

    nodes: Sequence[int]


@dataclass(frozen=True, slots=True)
class Rise:
    """Command: start nodes again, without tasks."""

    nodes: Sequence[int]


@dataclass(frozen=True, slots=True)
class Count:
    """Command: change nothing. The reply to every command is a tally."""


@dataclass(slots=True)
class NodeTally:
    """Counts of all nodes of one process since its start."""

    connections: int = 0  # currently open
    accepted: int = 0
    offers: int = 0
    messages: int = 0  # in both directions
    bytes: int = 0
    late: int = 0  # offers to nodes that were already draining
    starts: dict[int, int] = field(
        default_factory=dict
    )  # by idempotency key, of tasks that must not start twice
    over: dict[int, int] = field(default_factory=dict)  # by idempotency key, the time when its node ended it

    def add(self, other: NodeTally) -> None:
        """Add the counts of another process."""
        for name in ("connections", "accepted", "offers", "messages", "bytes", "late"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for key, count in other.starts.items():
            self.starts[key] = self.starts.get(key, 0) + count
        self.over |= other.over


@dataclass(slots=True)
class DispatcherTally:
    """State of the hollow dispatchers of one process, in the order of their folders."""

    held_nodes: list[int] = field(default_factory=list)  # nodes in the endpoint list
    stale_entries: list[int] = field(default_factory=list)  # table entries of nodes that have been removed


class CountingStream(Stream):
    """A node's connection that counts messages and bytes."""

    tally: NodeTally

    def send(self, data: bytes) -> Any:
        """Send to the dispatcher, and count the message."""
        self.tally.messages += 1
        self.tally.bytes += len(data)
        return super().send(data)

    def read(self, until: int | None = None) -> Generator[Wait, int, bytes | None]:
        """Receive from the dispatcher, and count the bytes."""
        data = yield from super().read(until)
        if data:
            self.tally.bytes += len(data)
        return data

    def close(self) -> None:
        """Close the connection, and count it as closed."""
        self.tally.connections -= self.open
        super().close()


class HollowNode(LoadNode):
    """A fake node that accepts all offers unless it drains, and keeps counts."""

    def __init__(
        self, loop: Loop, oracle: Oracle, rng: random.Random, address: tuple[str, int], tally: NodeTally
    ):
        self.tally = tally
        super().__init__(loop, BINARY, oracle, rng, address)
        self.rejected_fraction, self.mean_lifetime_us = 0.0, 1_500_000
        self.draining_since_us = 0

    def make_stream(self, sock: Any) -> Stream:
        """Wrap an accepted socket in a stream that counts."""
        stream = CountingStream(self.loop, sock, "dispatcher")
        stream.tally = self.tally
        self.tally.connections += 1
        self.tally.accepted += 1
        return stream

    def handle_message(self, order: ReceivedMessage, responder: Any) -> None:
        """Count and handle a message of the dispatcher."""
        self.tally.messages += 1
        super().handle_message(order, responder)

    def _handle_offer(self, order: ReceivedMessage, responder: Any) -> None:
        self.tally.offers += 1
        if self.draining_since_us:
            self.tally.late += self.loop.now - self.draining_since_us > DRAIN_GRACE_US
            responder.end(order.uid, 34, 0, "unfit")
            return
        super()._handle_offer(order, responder)


class NodeHost:
    """Hosts hollow nodes and executes commands for them."""

    def __init__(self, pipe: Connection, numbers: Sequence[int], layout: Layout) -> None:
        self.loop, self.pipe, self.tally, self.oracle = Loop(), pipe, NodeTally(), Oracle()
        rng = random.Random(layout.seed + numbers[0])
        self.nodes = {
            number: HollowNode(self.loop, self.oracle, rng, (layout.host(number), layout.port), self.tally)
            for number in numbers
        }

    def execute(self, command: object) -> object:
        """Execute a command for those of its nodes that are hosted here; returns the tally."""
        match command:
            case Silence(nodes, for_us):
                for node in self._select(nodes):
                    node.unresponsive_until_us = self.loop.now + for_us
            case Drain(nodes, draining):
                for node in self._select(nodes):
                    node.draining_since_us = self.loop.now if draining else 0
            case Kill(nodes):
                for node in self._select(nodes):
                    node.crash()
                    node.forget_tasks()
            case Rise(nodes):
                for node in self._select(nodes):
                    node.listen()
        self.tally.starts, self.tally.over = dict(self.oracle.starts_by_key), self.oracle.ended_us
        return self.tally

    def _select(self, nodes: Sequence[int]) -> list[HollowNode]:
        return [self.nodes[number] for number in nodes if number in self.nodes]


class DispatcherHost:
    """Hosts hollow dispatchers, one for each folder with ``config.json`` and ``operator.toml``."""

    def __init__(self, pipe: Connection, folders: Sequence[Path]) -> None:
        self.loop, self.pipe = Loop(), pipe
        self.loop.on_exception = self._raise_fault
        self.services = [
            Service(
                read_config({"LB_CONFIG": str(folder / "config.json")}, str(folder / "operator.toml")),
                self.loop,
                lambda *_: None,
            )
            for folder in folders
        ]

    def _raise_fault(self, error: BaseException) -> None:
        raise error

    def execute(self, command: object) -> object:
        """Returns the state of the dispatchers, whatever the command is."""
        return DispatcherTally(
            [len(service.core.endpoints.nodes) for service in self.services],
            [stale_node_entries(service) for service in self.services],
        )


def stale_node_entries(service: Service) -> int:
    """Returns how many more entries the per-node tables of a dispatcher have than there are nodes."""
    core, endpoints = service.core, service.core.endpoints
    tables: tuple[Any, ...] = (
        endpoints.entries,
        endpoints._machine_by_name,
        endpoints._name_by_machine,
        core.placer.machines,
    )
    return sum(len(table) for table in tables) - len(tables) * len(endpoints.nodes)


def _serve(host: NodeHost | DispatcherHost) -> None:
    """Report readiness, then execute commands until the pipe is closed."""
    pipe, loop = host.pipe, host.loop

    def commands() -> Generator[Wait, int, None]:
        while True:
            yield Wait(pipe.fileno(), IN)
            try:
                pipe.send(host.execute(pipe.recv()))
            except (EOFError, OSError):
                loop.stop()
                return

    loop.spawn(commands())
    pipe.send(True)
    loop.run()


def _run_nodes(pipe: Connection, numbers: Sequence[int], layout: Layout) -> None:
    _serve(NodeHost(pipe, numbers, layout))


def _run_dispatchers(pipe: Connection, folders: Sequence[Path], injected_fault: str | None) -> None:
    if injected_fault is not None:
        fault_injection.INJECTED_FAULTS[injected_fault]()
    _serve(DispatcherHost(pipe, folders))


class Worker:
    """A child process that hosts hollow nodes or dispatchers; ready when the constructor returns."""

    def __init__(self, target: Callable[..., None], *arguments: Any) -> None:
        context = get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self.process = context.Process(target=target, args=(child_pipe, *arguments), daemon=True)
        self.process.start()
        child_pipe.close()
        self._receive_reply()

    def _receive_reply(self) -> Any:
        if not self._pipe.poll(REPLY_TIMEOUT_S):
            raise TimeoutError(f"hollow process {self.process.pid} does not reply")
        return self._pipe.recv()

    def tell(self, command: object) -> Any:
        """Send a command and return the reply; raises ``TimeoutError`` without one."""
        self._pipe.send(command)
        return self._receive_reply()

    def end(self) -> None:
        """Close the pipe, and kill the process if it has not ended after 5 s."""
        self._pipe.close()
        self.process.join(5)
        if self.process.is_alive():
            self.process.kill()
            self.process.join(5)


class Nodes:
    """All hollow nodes of a run, ``nodes_per_process`` in each child process."""

    def __init__(self, layout: Layout, count: int, nodes_per_process: int) -> None:
        numbers = range(count)
        self.workers = [
            Worker(_run_nodes, list(numbers[first : first + nodes_per_process]), layout)
            for first in range(0, count, nodes_per_process)
        ]

    def tell(self, command: object) -> NodeTally:
        """Send a command to all processes and return the sum of their tallies."""
        total = NodeTally()
        for worker in self.workers:
            total.add(worker.tell(command))
        return total

    def end(self) -> None:
        """Stop all processes."""
        for worker in self.workers:
            worker.end()


def start_dispatchers(folders: Sequence[Path], injected_fault: str | None) -> Worker:
    """Start a process of hollow dispatchers, with an injected fault or none."""
    return Worker(_run_dispatchers, list(folders), injected_fault)
