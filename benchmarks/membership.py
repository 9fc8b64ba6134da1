"""What the view of the fleet costs a dispatcher: an earlier version, this one without it, and with it, side by side.

    python -m benchmarks.membership [TREE_OF_AN_EARLIER_VERSION]

Each is a process of its own under the same load; with the view there are eleven others, views without dispatchers in
this process. Processor time for a task in microseconds, and memory; three rounds, the least counts.
"""

from __future__ import annotations

import random
import sys
import tempfile
import time
from pathlib import Path

from thornshelf.lab.fakes.cluster import BINARY, JSON
from thornshelf.lab.fakes.network import DatagramRelays, FakeEndpointSource, private, public
from thornshelf.lab.fleet_testbed import KEY
from thornshelf.lab.load import LOOKUP, ClientPopulation, LoadNode
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.process import DispatcherProcess
from thornshelf.loop import Loop
from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.protocol import MembershipProtocol

SECONDS, TASKS_S, OTHERS = 8.0, 60, 11


def _others(loop: Loop, relays: DatagramRelays) -> None:
    """Members without a dispatcher, in this process."""
    import socket

    from thornshelf.loop import Wait
    from thornshelf.loop.loop import IN

    def serve(index: int):  # type: ignore[no-untyped-def]
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((private(index), relays.port))
        address = f"{public(index)}:{relays.port}"
        seeds = (f"{public(0)}:{relays.port}",)
        view = MembershipProtocol(
            MembershipConfig("lab", f"x{index}", address, seeds, KEY.encode()),
            index + 1,
            loop.now,
            random.Random(index),
        )
        while True:
            due = view.tick(loop.now)
            for one, data in view.outgoing:
                host, _, port = one.rpartition(":")
                sock.sendto(data, (host, int(port)))
            view.outgoing.clear()
            yield Wait(sock.fileno(), IN, max(due, loop.now + 1_000))
            try:
                while True:
                    view.receive(sock.recv(2048), loop.now)
            except BlockingIOError:
                pass

    for index in range(1, OTHERS + 1):
        loop.spawn(serve(index))


def round_of(name: str, tree: Path | None) -> tuple[float, int, int]:
    """Processor time a task in microseconds, memory in kB, tasks placed."""
    loop, truth = Loop(), Oracle()
    relays, keeper = DatagramRelays(loop, OTHERS + 1, 1), FakeEndpointSource(loop, 1)
    nodes = [LoadNode(loop, BINARY, truth, random.Random(n)) for n in range(10)]
    if name == "with it":
        _others(loop, relays)
    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "fleet.key"
        key.write_text(KEY)
        key.chmod(0o600)
        operator = (
            f'[fleet]\nname = "lab"\nlisten = "{private(0)}:{relays.port}"\n'
            f'advertise = "{public(0)}:{relays.port}"\nkey_file = "{key}"\n'
            if name == "with it"
            else ""
        )

        def changes(value):  # type: ignore[no-untyped-def]
            value["listen"] = f"{private(0)}:0"
            value["changelog"] = f"{private(0)}:{keeper.ports[0]}"

        process = DispatcherProcess(
            Path(folder), [one.port for one in nodes], operator, changes=changes, wait=False, tree=tree
        )
        while not process.ready():
            loop.after(10_000, lambda: None)
            loop.turn()
        county = ClientPopulation(loop, process.addresses, JSON, truth, random.Random(1))

        def turn(until: float) -> None:
            while time.monotonic() < until:
                loop.after(2_000, lambda: None)
                loop.turn()

        turn(time.monotonic() + 2.0)
        began, cpu = time.monotonic(), process.cpu_us
        for number in range(int(SECONDS * TASKS_S)):
            county.ask(number + 1, LOOKUP, None, number % 30)
            turn(began + number / TASKS_S)
        spent = process.cpu_us - cpu
        placed = sum(one.answers[:1] == ["placed"] for one in truth.asked.values())
        memory = process.rss_kb
        process.terminate()
    relays.close()
    keeper.close()
    loop.close()
    return spent / (SECONDS * TASKS_S), memory, placed


def main() -> None:
    """Print a line each."""
    tree = Path(sys.argv[1]) if len(sys.argv) > 1 else None
    kinds = (["an earlier version"] if tree is not None else []) + ["without it", "with it"]
    found: dict[str, list[tuple[float, int, int]]] = {name: [] for name in kinds}
    for _ in range(3):
        for name in kinds:
            found[name].append(round_of(name, tree if name == "an earlier version" else None))
    for name, rounds in found.items():
        costs = " ".join(f"{cost:.0f}" for cost, _, _ in rounds)
        print(
            f"{name}: {min(rounds)[0]:.0f} us a task ({costs}), {min(r[1] for r in rounds)} kB, {rounds[0][2]} placed"
        )


if __name__ == "__main__":
    main()
