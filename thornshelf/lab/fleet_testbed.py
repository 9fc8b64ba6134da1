"""Dispatchers in processes of their own that form a fleet, with fake nodes, clients and links between them.

Members talk through relays; each has an endpoint source of its own. What happened is counted by the fake nodes and
clients, what members believe is read from their logs.
"""

from __future__ import annotations

import os
import random
import re
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from thornshelf.lab.fakes.cluster import BINARY, HOST, JSON, ReceivedOrder
from thornshelf.lab.fakes.network import DatagramRelays, FakeEndpointSource, private, public
from thornshelf.lab.load import LEDGER, LOOKUP, ClientPopulation, LoadNode
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.process import DispatcherProcess
from thornshelf.loop import Loop

KEY = "only for this experiment, 32 byte"
MEMBER_LINE = re.compile(
    r' member-state-changed \[thornshelf@32473 name="([^"]+)" before="(\w+)" after="(\w+)"\]'
)
LIVE_STATES = ("alive", "suspect", "doomed")
# How long after a drain attempts may still come from a member whose endpoint source does not respond.
LATE_AFTER_US = 1_500_000
# Attempts that a node in slow start accepts within a period, from all members together.
SLOW_START_US = 3_000_000
SLOW_START_ATTEMPTS = 51


class FleetNode(LoadNode):
    """A node that drains, and counts attempts that come too late or too fast."""

    draining_since_us = 0
    slow_start_until_us = 0
    late_attempts = 0
    excess_attempts = 0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.recent_attempts: list[int] = []

    def _handle_offer(self, order: ReceivedOrder, say: Any) -> None:
        now = self.loop.now
        if now < self.slow_start_until_us:
            self.recent_attempts = [at for at in self.recent_attempts if now - at < SLOW_START_US] + [now]
            self.excess_attempts += len(self.recent_attempts) > SLOW_START_ATTEMPTS
        if self.draining_since_us:
            self.late_attempts += now - self.draining_since_us > LATE_AFTER_US
            say.end(order.uid, 34, 0, "unfit")
            return
        super()._handle_offer(order, say)


class MemberProcess:
    """A dispatcher, its clients, and the states of the other members by its log."""

    def __init__(self, index: int) -> None:
        self.index, self.name = index, f"m{index:02d}"
        self.process: DispatcherProcess | None = None
        self.states: dict[str, str] = {}
        self.county: ClientPopulation | None = None
        self.starts = self._read = 0
        self.logs: list[Path] = []

    @property
    def live(self) -> set[str]:
        """The members that it believes to be live, itself among them."""
        return {self.name} | {name for name, state in self.states.items() if state in LIVE_STATES}

    def read(self) -> list[tuple[str, str, str]]:
        """The changes of members that it has logged since the last call."""
        if self.process is None:
            return []
        with self.process.log_path.open("rb") as log:
            log.seek(self._read)
            data = log.read()
        lines = data[: data.rfind(b"\n") + 1]
        self._read += len(lines)
        found = MEMBER_LINE.findall(lines.decode(errors="replace"))
        for name, _, after in found:
            self.states[name] = after
        return found

    def forget(self) -> None:
        """Forget the states of a process that has ended."""
        self.states, self._read = {}, 0


class FleetTestbed:
    """The members, the nodes and the links of one run.

    ``absent``: members that were killed, stopped or cut off, so that declaring them dead is right; ``watch``: count
    false declarations into ``wrong``; ``lies``: the last member makes false reports; ``more``: lines for the
    operator's table of the fleet; ``pause_us``: between two requests at one member.
    """

    def __init__(
        self,
        seed: int,
        has_membership: bool,
        injected_fault: str | None,
        members: int,
        nodes: int,
        folder: Path,
    ) -> None:
        self.loop, self.chance, self.folder = Loop(), random.Random(seed), folder
        self.view, self.plant, self.truth = has_membership, injected_fault, Oracle()
        self.members = [MemberProcess(index) for index in range(members)]
        self.relays, self.keeper = (
            DatagramRelays(self.loop, members, seed),
            FakeEndpointSource(self.loop, members),
        )
        self.nodes = [
            FleetNode(self.loop, BINARY, self.truth, random.Random(seed + 9 + i)) for i in range(nodes)
        ]
        self.keeper.publish([self.entry(node) for node in range(nodes)], True)
        self.key = folder / "fleet.key"
        self.key.write_text(KEY)
        self.key.chmod(0o600)
        self.asks = self.wrong = 0
        self.loading = False
        self.absent: set[str] = set()
        self.watch = False
        self.lies = False
        self.more = ""
        self.pause_us = 150_000
        self.seeds = 2

    def entry(self, node: int, lifecycle: str = "in_service", started_ms: int = 0) -> dict[str, Any]:
        """A node as the endpoint list shows it."""
        return {
            "instanceId": f"s-{node + 1:08x}", "hostPort": f"{HOST}:{self.nodes[node].port}", "zone": "jackson-dc",
            "machineType": "node-small", "cell": 1, "lifecycle": lifecycle, "weight": 1, "startedAtMs": started_ms,
        }  # fmt: skip

    def start(self, *members: MemberProcess, odd: str = "") -> None:
        """Start processes, with the injected fault ``odd`` if any, and wait until they serve."""
        for member in members:
            member.starts += 1
            folder = self.folder / f"{member.name}-{member.starts}"
            folder.mkdir()
            operator = ""
            if self.view:
                seeds = ", ".join(f'"{public(i)}:{self.relays.port}"' for i in range(self.seeds))
                operator = (
                    f'[fleet]\nname = "lab"\nlisten = "{private(member.index)}:{self.relays.port}"\n'
                    f'advertise = "{public(member.index)}:{self.relays.port}"\n'
                    f'seeds = [{seeds}]\nkey_file = "{self.key}"\n{self.more}'
                )
            port = member.process.addresses[JSON][1] if member.process is not None else 0

            def changes(value: dict[str, Any], member: MemberProcess = member, port: int = port) -> None:
                value["name"], value["listen"] = member.name, f"{private(member.index)}:{port}"
                value["changelog"] = f"{private(member.index)}:{self.keeper.ports[member.index]}"
                value["known"] = {"seq": 1, "results": self.keeper.events[:1]}
                value["settings"] |= {"n-instances": len(self.members), "me": member.index}
                value["settings"]["limits"]["peer-messages"] = True

            lies = "liar" if self.lies and member is self.members[-1] else ""
            plant = ",".join(one for one in (lies, odd, self.plant) if one) or None
            member.process = DispatcherProcess(folder, [], operator, plant, changes=changes, wait=False)
            member.forget()
            member.logs.append(folder / "log")
            self.absent.discard(member.name)
        self.until(lambda: all(one.process is not None and one.process.ready() for one in members), 20.0)
        for member in members:
            assert member.process is not None
            member.county = ClientPopulation(
                self.loop, member.process.addresses, JSON, self.truth, random.Random(member.index)
            )
            member.county.next_uid = (member.index + 1 << 40) + (member.starts << 32)

    def kill(self, *members: MemberProcess, number: int = signal.SIGKILL) -> None:
        """Send a signal to processes; after SIGKILL the requests of their clients are void."""
        for member in members:
            assert member.process is not None
            assert member.county is not None
            self.absent.add(member.name)
            os.kill(member.process.process.pid, number)
            if number == signal.SIGKILL:
                member.process.process.wait()
                county, member.county = member.county, None
                for task in county.tasks.values():
                    task["done"] = True
                for uid, asked in self.truth.asked.items():
                    if uid >> 40 == member.index + 1:
                        asked.void = True

    def until(self, done: Callable[[], bool], limit_s: float) -> float | None:
        """Run the loop until a condition holds; returns the seconds that it took, None after the limit."""
        began = time.monotonic()
        look = 0.0
        while time.monotonic() - began < limit_s:
            self.loop.after(10_000, lambda: None)
            self.loop.turn()
            if time.monotonic() - look >= 0.05:
                look = time.monotonic()
                self.read()
                if done():
                    return time.monotonic() - began
        return None

    def rest(self, seconds: float) -> None:
        """Run the loop for a while."""
        self.until(lambda: False, seconds)

    def read(self) -> None:
        """Read all logs, and count members that are declared dead though they run."""
        for member in self.members:
            for name, _, after in member.read():
                gone = after not in LIVE_STATES and name not in self.absent and member.name not in self.absent
                self.wrong += self.watch and gone and any(one.name == name for one in self.members)

    def agreed(self) -> bool:
        """Whether all running members agree that exactly they are live."""
        there = {one.name for one in self.members if one.name not in self.absent}
        return not self.view or all(one.live == there for one in self.members if one.name in there)

    def settle(self, limit_s: float = 15.0) -> int:
        """Run until all members agree; returns the milliseconds, those of the limit where they do not."""
        took = self.until(self.agreed, limit_s)
        return int((limit_s if took is None else took) * 1000)

    def resubmit(self) -> None:
        """At every member, cancel the tasks of half of all services and request them again within a second."""
        for member in self.members:
            if member.county is not None and member.name not in self.absent and member.county.tasks:
                member.county.resubmit(0.5, 1_000_000, ledgers=False)

    def load(self) -> None:
        """Send a request to every running member, again and again while ``loading`` is set."""
        if not self.loading:
            return
        for member in self.members:
            if member.county is not None and member.name not in self.absent:
                self.asks += 1
                ledger = self.chance.random() < 0.04
                hint, service = ("8200" if ledger else None), self.chance.randrange(30)
                member.county.ask(self.asks, LEDGER if ledger else LOOKUP, hint, service)
        self.loop.after(self.pause_us, self.load)

    def end(self) -> int:
        """Shut all processes down gracefully; returns the greatest exit code."""
        self.watch = False
        codes = [0]
        running = [
            one.process
            for one in self.members
            if one.process is not None and one.process.process.poll() is None
        ]
        for process in running:
            process.process.terminate()
        self.until(lambda: all(process.process.poll() is not None for process in running), 15.0)
        for process in running:
            if process.process.poll() is None:
                process.process.kill()
            codes.append(abs(process.process.wait()))
        self.relays.close()
        self.keeper.close()
        return max(codes)
