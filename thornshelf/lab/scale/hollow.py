"""Processes that hold thousands of hollow nodes, or many hollow dispatchers, each on real sockets of loopback.

A hollow node has the wire and the behaviour of a stand-in node and does no work. A hollow dispatcher is the whole
program but for its process: its client front listens, and nobody comes. Both are told what to do over a pipe; a
process whose pipe ends, ends.
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
from thornshelf.lab.fakes.nodes import ReceivedOrder
from thornshelf.lab.load import LoadNode
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.scale.layout import Layout
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.loop import IN
from thornshelf.service import Service

DRAIN_US = (
    300_000  # after a drain is in the change log nothing new may come: 250 ms, and 50 ms for the socket
)
ANSWER_S = 30.0


@dataclass(frozen=True, slots=True)
class Silence:
    """These nodes say and hear nothing for so long, as behind a cut link."""

    nodes: Sequence[int]
    for_us: int


@dataclass(frozen=True, slots=True)
class Drain:
    """The change log tells that these drain, or that they do no longer."""

    nodes: Sequence[int]
    draining: bool = True


@dataclass(frozen=True, slots=True)
class Kill:
    """The processes of these nodes end: connections are reset, tasks are cut."""

    nodes: Sequence[int]


@dataclass(frozen=True, slots=True)
class Rise:
    """They listen again, cold and empty."""

    nodes: Sequence[int]


@dataclass(frozen=True, slots=True)
class Count:
    """Tell what has happened so far."""


@dataclass(slots=True)
class NodeTally:
    """What the nodes of one process have seen."""

    connections: int = 0  # open now
    accepted: int = 0
    offers: int = 0
    messages: int = 0  # in both directions
    bytes: int = 0
    late: int = 0  # offers to a node that drained
    starts: dict[int, int] = field(default_factory=dict)  # by key, of tasks that must not be started twice
    over: dict[int, int] = field(default_factory=dict)  # by key: when its node ended its run

    def add(self, other: NodeTally) -> None:
        """Take another process's tally in."""
        for name in ("connections", "accepted", "offers", "messages", "bytes", "late"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for key, count in other.starts.items():
            self.starts[key] = self.starts.get(key, 0) + count
        self.over |= other.over


@dataclass(slots=True)
class DispatcherTally:
    """What the hollow dispatchers of one process hold."""

    held: list[int] = field(default_factory=list)  # nodes, of each
    state: list[int] = field(default_factory=list)  # entries of tables that are kept by node, of each


class Counting(Stream):
    """A node's connection that counts what passes."""

    tally: NodeTally

    def send(self, data: bytes) -> Any:
        """Count what the node says, and send it."""
        self.tally.messages += 1
        self.tally.bytes += len(data)
        return super().send(data)

    def read(self, until: int | None = None) -> Generator[Wait, int, bytes | None]:
        """Count the bytes that the dispatcher sends."""
        data = yield from super().read(until)
        if data:
            self.tally.bytes += len(data)
        return data

    def close(self) -> None:
        """One connection fewer."""
        self.tally.connections -= self.open
        super().close()


class HollowNode(LoadNode):
    """A node that refuses nothing, and counts."""

    def __init__(
        self, loop: Loop, truth: Oracle, rng: random.Random, address: tuple[str, int], tally: NodeTally
    ):
        self.tally = tally
        super().__init__(loop, BINARY, truth, rng, address)
        self.rejected_fraction, self.mean_lifetime_us = 0.0, 1_500_000
        self.drains_us = 0

    def connected(self, sock: Any) -> Stream:
        """A connection that is counted."""
        stream = Counting(self.loop, sock, "dispatcher")
        stream.tally = self.tally
        self.tally.connections += 1
        self.tally.accepted += 1
        return stream

    def order(self, order: ReceivedOrder, say: Any) -> None:
        """A message of the dispatcher."""
        self.tally.messages += 1
        super().order(order, say)

    def _handle_offer(self, order: ReceivedOrder, say: Any) -> None:
        self.tally.offers += 1
        if self.drains_us:
            self.tally.late += self.loop.now - self.drains_us > DRAIN_US
            say.end(order.uid, 34, 0, "unfit")
            return
        super()._handle_offer(order, say)


class NodeProcess:
    """The nodes of one process."""

    def __init__(self, pipe: Connection, numbers: Sequence[int], layout: Layout) -> None:
        self.loop, self.pipe, self.tally, self.truth = Loop(), pipe, NodeTally(), Oracle()
        rng = random.Random(layout.seed + numbers[0])
        self.nodes = {
            number: HollowNode(self.loop, self.truth, rng, (layout.host(number), layout.port), self.tally)
            for number in numbers
        }

    def take(self, said: object) -> object:
        """Carry out one command; gives what is answered."""
        match said:
            case Silence(nodes, for_us):
                for node in self._mine(nodes):
                    node.unresponsive_until_us = self.loop.now + for_us
            case Drain(nodes, draining):
                for node in self._mine(nodes):
                    node.drains_us = self.loop.now if draining else 0
            case Kill(nodes):
                for node in self._mine(nodes):
                    node.die()
                    node.forget_tasks()
            case Rise(nodes):
                for node in self._mine(nodes):
                    node.rise()
        self.tally.starts, self.tally.over = dict(self.truth.starts), self.truth.over
        return self.tally

    def _mine(self, nodes: Sequence[int]) -> list[HollowNode]:
        return [self.nodes[number] for number in nodes if number in self.nodes]


class DispatcherProcess:
    """The hollow dispatchers of one process; their configurations are files."""

    def __init__(self, pipe: Connection, folders: Sequence[Path]) -> None:
        self.loop, self.pipe = Loop(), pipe
        self.loop.on_fault = self._fault
        self.services = [
            Service(
                read_config({"LB_CONFIG": str(folder / "config.json")}, str(folder / "operator.toml")),
                self.loop,
                lambda *_: None,
            )
            for folder in folders
        ]

    def _fault(self, fault: BaseException) -> None:
        raise fault

    def take(self, said: object) -> object:
        """Tell what they hold."""
        return DispatcherTally(
            [len(service.core.endpoints.nodes) for service in self.services],
            [kept_by_node(service) for service in self.services],
        )


def kept_by_node(service: Service) -> int:
    """Entries in the tables of a dispatcher that have one for each node, beyond one for each that there is."""
    core, roster = service.core, service.core.endpoints
    tables: tuple[Any, ...] = (
        roster.entries,
        roster._machine_by_name,
        roster._name_by_machine,
        core.placer.machines,
    )
    return sum(len(table) for table in tables) - len(tables) * len(roster.nodes)


def _serve(process: NodeProcess | DispatcherProcess) -> None:
    """Answer commands until the pipe ends."""
    pipe, loop = process.pipe, process.loop

    def commands() -> Generator[Wait, int, None]:
        while True:
            yield Wait(pipe.fileno(), IN)
            try:
                pipe.send(process.take(pipe.recv()))
            except (EOFError, OSError):
                loop.stop()
                return

    loop.spawn(commands())
    pipe.send(True)
    loop.run()


def _nodes(pipe: Connection, numbers: Sequence[int], layout: Layout) -> None:
    _serve(NodeProcess(pipe, numbers, layout))


def _dispatchers(pipe: Connection, folders: Sequence[Path], plant: str | None) -> None:
    if plant is not None:
        fault_injection.INJECTED_FAULTS[plant]()
    _serve(DispatcherProcess(pipe, folders))


class Worker:
    """A hollow process, as the run sees it."""

    def __init__(self, target: Callable[..., None], *arguments: Any) -> None:
        context = get_context("spawn")
        self._pipe, theirs = context.Pipe()
        self.process = context.Process(target=target, args=(theirs, *arguments), daemon=True)
        self.process.start()
        theirs.close()
        self._answer()

    def _answer(self) -> Any:
        if not self._pipe.poll(ANSWER_S):
            raise TimeoutError(f"hollow process {self.process.pid} says nothing")
        return self._pipe.recv()

    def tell(self, said: object) -> Any:
        """A command, and its answer."""
        self._pipe.send(said)
        return self._answer()

    def end(self) -> None:
        """Its pipe ends, and so does it; where it does not, by its id."""
        self._pipe.close()
        self.process.join(5)
        if self.process.is_alive():
            self.process.kill()
            self.process.join(5)


class Nodes:
    """All hollow nodes of a run."""

    def __init__(self, layout: Layout, count: int, a_process: int) -> None:
        numbers = range(count)
        self.workers = [
            Worker(_nodes, list(numbers[first : first + a_process]), layout)
            for first in range(0, count, a_process)
        ]

    def tell(self, said: object) -> NodeTally:
        """A command to all, and the sum of what they have seen."""
        total = NodeTally()
        for worker in self.workers:
            total.add(worker.tell(said))
        return total

    def end(self) -> None:
        """End all processes."""
        for worker in self.workers:
            worker.end()


def dispatchers(folders: Sequence[Path], plant: str | None) -> Worker:
    """A process of hollow dispatchers, with a planted fault or none."""
    return Worker(_dispatchers, list(folders), plant)
