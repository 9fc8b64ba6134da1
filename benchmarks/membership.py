"""Measures what membership costs a dispatcher: an earlier version, this version without it, and with it.

    python -m benchmarks.membership [TREE_OF_AN_EARLIER_VERSION]

Each variant runs in a process of its own under the same load. With membership, this process hosts eleven other
members, which have no dispatcher. Prints processor time per task and memory, the minimum of three rounds.
"""

from __future__ import annotations

import random
import socket
import sys
import tempfile
import time
from collections.abc import Generator
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from thornshelf.lab.fakes.cluster import BINARY, JSON
from thornshelf.lab.fakes.network import DatagramRelays, FakeEndpointSource, private, public
from thornshelf.lab.fleet_testbed import KEY
from thornshelf.lab.load import LOOKUP, ClientPopulation, LoadNode
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.process import DispatcherProcess
from thornshelf.loop import Loop, Wait
from thornshelf.loop.loop import IN
from thornshelf.membership.config import MAX_DATAGRAM_BYTES, MembershipConfig
from thornshelf.membership.protocol import MembershipProtocol

SECONDS = 8.0
TASKS_PER_S = 60
OTHER_MEMBERS = 11
ROUNDS = 3
SERVICES = 30
NODES = 10
WARM_UP_S = 2.0
MIN_TIMER_US = 1_000
TURN_US = 2_000
WITHOUT = "without it"
WITH = "with it"
EARLIER = "an earlier version"


class Cost(NamedTuple):
    """The result of one round."""

    cpu_us_per_task: float
    memory_kb: int
    tasks_placed: int


def _start_member(loop: Loop, relays: DatagramRelays, index: int) -> None:
    """Start a member without a dispatcher in this process."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((private(index), relays.port))
    config = MembershipConfig(
        fleet="lab",
        name=f"x{index}",
        address=f"{public(index)}:{relays.port}",
        seeds=(f"{public(0)}:{relays.port}",),
        key=KEY.encode(),
    )
    membership = MembershipProtocol(config, index + 1, loop.now, random.Random(index))
    loop.spawn(_serve_member(loop, sock, membership))


def _serve_member(
    loop: Loop, sock: socket.socket, membership: MembershipProtocol
) -> Generator[Wait, int, None]:
    while True:
        due_us = membership.tick(loop.now)
        for address, data in membership.take_outgoing():
            host, _, port = address.rpartition(":")
            sock.sendto(data, (host, int(port)))
        yield Wait(sock.fileno(), IN, max(due_us, loop.now + MIN_TIMER_US))
        with suppress(BlockingIOError):
            while True:
                membership.receive(sock.recv(2 * MAX_DATAGRAM_BYTES), loop.now)


def _operator_file(relays: DatagramRelays, key: Path) -> str:
    """Returns the operator's file of the measured dispatcher, with membership."""
    return (
        f'[fleet]\nname = "lab"\nlisten = "{private(0)}:{relays.port}"\n'
        f'advertise = "{public(0)}:{relays.port}"\nkey_file = "{key}"\n'
    )


def run_round(variant: str, tree: Path | None) -> Cost:
    """Run one variant of the dispatcher under load and return its cost."""
    loop, oracle = Loop(), Oracle()
    relays, source = DatagramRelays(loop, OTHER_MEMBERS + 1, 1), FakeEndpointSource(loop, 1)
    nodes = [LoadNode(loop, BINARY, oracle, random.Random(n)) for n in range(NODES)]
    if variant == WITH:
        for index in range(1, OTHER_MEMBERS + 1):
            _start_member(loop, relays, index)
    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "fleet.key"
        key.write_text(KEY)
        key.chmod(0o600)

        def configure(config: dict[str, Any]) -> None:
            config["listen"] = f"{private(0)}:0"
            config["changelog"] = f"{private(0)}:{source.ports[0]}"

        process = DispatcherProcess(
            Path(folder),
            [node.port for node in nodes],
            _operator_file(relays, key) if variant == WITH else "",
            changes=configure,
            wait=False,
            tree=tree,
        )
        cost = _measure(loop, process, oracle)
        process.terminate()
    relays.close()
    source.close()
    loop.close()
    return cost


def _measure(loop: Loop, process: DispatcherProcess, oracle: Oracle) -> Cost:
    """Wait until a dispatcher is ready, and return its cost under load."""
    while not process.ready():
        _turn(loop)
    clients = ClientPopulation(loop, process.addresses, JSON, oracle, random.Random(1))
    _run_until(loop, time.monotonic() + WARM_UP_S)
    started_s = time.monotonic()
    cpu_us = process.cpu_us
    for number in range(int(SECONDS * TASKS_PER_S)):
        clients.ask(number + 1, LOOKUP, None, number % SERVICES)
        _run_until(loop, started_s + number / TASKS_PER_S)
    cpu_us = process.cpu_us - cpu_us
    placed = sum(request.answers[:1] == ["placed"] for request in oracle.requests.values())
    return Cost(cpu_us / (SECONDS * TASKS_PER_S), process.rss_kb, placed)


def _run_until(loop: Loop, end: float) -> None:
    while time.monotonic() < end:
        _turn(loop)


def _turn(loop: Loop) -> None:
    loop.call_later(TURN_US, lambda: None)
    loop.turn()


def main() -> None:
    """Print one line per variant."""
    tree = Path(sys.argv[1]) if len(sys.argv) > 1 else None
    variants = [WITHOUT, WITH] if tree is None else [EARLIER, WITHOUT, WITH]
    costs: dict[str, list[Cost]] = {variant: [] for variant in variants}
    for _ in range(ROUNDS):
        for variant in variants:
            costs[variant].append(run_round(variant, tree if variant == EARLIER else None))
    for variant, rounds in costs.items():
        cpu_us = min(cost.cpu_us_per_task for cost in rounds)
        all_rounds = " ".join(f"{cost.cpu_us_per_task:.0f}" for cost in rounds)
        memory_kb = min(cost.memory_kb for cost in rounds)
        print(
            f"{variant}: {cpu_us:.0f} us a task ({all_rounds}), {memory_kb} kB, "
            f"{rounds[0].tasks_placed} placed"
        )


if __name__ == "__main__":
    main()
