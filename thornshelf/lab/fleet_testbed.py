"""A fleet of dispatcher processes with fake nodes, clients and links between them.

Members exchange datagrams through relays, and each has its own endpoint source. An oracle records requests and tasks
independently of the dispatchers; the states that members assign to each other are read from their logs.
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

from thornshelf.lab.fakes.cluster import BINARY, HOST, JSON, ReceivedMessage
from thornshelf.lab.fakes.network import DatagramRelays, FakeEndpointSource, member_host, relay_host
from thornshelf.lab.load import LEDGER, LOOKUP, ClientPopulation, LoadNode
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.process import DispatcherProcess
from thornshelf.loop import Loop

KEY = "only for this experiment, 32 byte"
MEMBER_LINE = re.compile(
    r' member-state-changed \[thornshelf@32473 name="([^"]+)" before="(\w+)" after="(\w+)"\]'
)
LIVE_STATES = ("alive", "suspect", "doomed")
# How long after a drain starts its node may still receive attempts from a member whose endpoint source is silent.
LATE_AFTER_US = 1_500_000
# The most attempts that a node in slow start may receive within a period, from all members together.
SLOW_START_US = 3_000_000
SLOW_START_ATTEMPTS = 51


class FleetNode(LoadNode):
    """A node that can drain, and counts attempts that arrive too late for a drain or too fast for a slow start."""

    draining_since_us = 0
    slow_start_until_us = 0
    late_attempts = 0
    excess_attempts = 0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.recent_attempts: list[int] = []  # times of the loop

    def _handle_offer(self, order: ReceivedMessage, responder: Any) -> None:
        now = self.loop.now
        if now < self.slow_start_until_us:
            self.recent_attempts = [then for then in self.recent_attempts if now - then < SLOW_START_US] + [
                now
            ]
            self.excess_attempts += len(self.recent_attempts) > SLOW_START_ATTEMPTS
        if self.draining_since_us:
            self.late_attempts += now - self.draining_since_us > LATE_AFTER_US
            responder.end(order.uid, 34, 0, "unfit")
            return
        super()._handle_offer(order, responder)


class MemberProcess:
    """A member's dispatcher process, its clients, and the states of the other members according to its log."""

    def __init__(self, index: int) -> None:
        self.index, self.name = index, f"m{index:02d}"
        self.process: DispatcherProcess | None = None
        self.states: dict[str, str] = {}
        self.clients: ClientPopulation | None = None
        self.starts = self._read_offset = 0
        self.logs: list[Path] = []  # of all its processes so far

    @property
    def live_names(self) -> set[str]:
        """The names of the members that it considers live, including its own."""
        return {self.name} | {name for name, state in self.states.items() if state in LIVE_STATES}

    def read_log(self) -> list[tuple[str, str, str]]:
        """Return the state changes logged since the last call: name, state before, state after."""
        if self.process is None:
            return []
        with self.process.log_path.open("rb") as log:
            log.seek(self._read_offset)
            data = log.read()
        lines = data[: data.rfind(b"\n") + 1]
        self._read_offset += len(lines)
        changes = MEMBER_LINE.findall(lines.decode(errors="replace"))
        for name, _, after in changes:
            self.states[name] = after
        return changes

    def reset_states(self) -> None:
        """Discard the states, before a new process starts."""
        self.states, self._read_offset = {}, 0


class FleetTestbed:
    """The members, nodes and links of one run.

    ``unavailable_members``: names of members that were killed, stopped or cut off, which others rightly declare dead;
    ``counts_false_detections``: whether ``false_detections`` counts other members that are declared dead;
    ``has_liar``: the last member can make false reports; ``fleet_settings``: lines to add to the operator's file;
    ``pause_us``: between two requests at one member; ``seeds``: the first members, that many, are the seeds.
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
        self.loop, self.rng, self.folder = Loop(), random.Random(seed), folder
        self.has_membership, self.injected_fault, self.oracle = has_membership, injected_fault, Oracle()
        self.members = [MemberProcess(index) for index in range(members)]
        self.relays, self.endpoint_source = (
            DatagramRelays(self.loop, members, seed),
            FakeEndpointSource(self.loop, members),
        )
        self.nodes = [
            FleetNode(self.loop, BINARY, self.oracle, random.Random(seed + 9 + i)) for i in range(nodes)
        ]
        self.endpoint_source.publish([self.endpoint(node) for node in range(nodes)], True)
        self.key = folder / "fleet.key"
        self.key.write_text(KEY)
        self.key.chmod(0o600)
        self.request_count = self.false_detections = 0
        self.loading = False
        self.unavailable_members: set[str] = set()
        self.counts_false_detections = False
        self.has_liar = False
        self.fleet_settings = ""
        self.pause_us = 150_000
        self.seeds = 2

    def endpoint(self, node: int, lifecycle: str = "in_service", started_ms: int = 0) -> dict[str, Any]:
        """Return a node's entry for the endpoint list."""
        return {
            "instanceId": f"s-{node + 1:08x}", "hostPort": f"{HOST}:{self.nodes[node].port}", "zone": "jackson-dc",
            "machineType": "node-small", "cell": 1, "lifecycle": lifecycle, "weight": 1, "startedAtMs": started_ms,
        }  # fmt: skip

    def start(self, *members: MemberProcess, injected_fault: str = "") -> None:
        """Start members' processes, with ``injected_fault`` if any, and wait until they serve."""
        for member in members:
            member.starts += 1
            folder = self.folder / f"{member.name}-{member.starts}"
            folder.mkdir()
            operator = ""
            if self.has_membership:
                seeds = ", ".join(f'"{relay_host(i)}:{self.relays.port}"' for i in range(self.seeds))
                operator = (
                    f'[fleet]\nname = "lab"\nlisten = "{member_host(member.index)}:{self.relays.port}"\n'
                    f'advertise = "{relay_host(member.index)}:{self.relays.port}"\n'
                    f'seeds = [{seeds}]\nkey_file = "{self.key}"\n{self.fleet_settings}'
                )
            port = member.process.addresses[JSON][1] if member.process is not None else 0

            def changes(value: dict[str, Any], member: MemberProcess = member, port: int = port) -> None:
                value["name"], value["listen"] = member.name, f"{member_host(member.index)}:{port}"
                value["changelog"] = f"{member_host(member.index)}:{self.endpoint_source.ports[member.index]}"
                value["known"] = {"seq": 1, "results": self.endpoint_source.events[:1]}
                value["settings"] |= {"n-instances": len(self.members), "me": member.index}
                value["settings"]["limits"]["peer-messages"] = True

            liar_fault = "liar" if self.has_liar and member is self.members[-1] else ""
            fault_names = (
                ",".join(one for one in (liar_fault, injected_fault, self.injected_fault) if one) or None
            )
            member.process = DispatcherProcess(folder, [], operator, fault_names, changes=changes, wait=False)
            member.reset_states()
            member.logs.append(folder / "log")
            self.unavailable_members.discard(member.name)
        self.run_until(lambda: all(one.process is not None and one.process.ready() for one in members), 20.0)
        for member in members:
            assert member.process is not None
            member.clients = ClientPopulation(
                self.loop, member.process.addresses, JSON, self.oracle, random.Random(member.index)
            )
            member.clients.next_uid = (member.index + 1 << 40) + (member.starts << 32)

    def kill(self, *members: MemberProcess, number: int = signal.SIGKILL) -> None:
        """Send a signal to members' processes; SIGKILL makes the requests of their clients void."""
        for member in members:
            assert member.process is not None
            assert member.clients is not None
            self.unavailable_members.add(member.name)
            os.kill(member.process.process.pid, number)
            if number == signal.SIGKILL:
                member.process.process.wait()
                clients, member.clients = member.clients, None
                for task in clients.tasks.values():
                    task["done"] = True
                for uid, request in self.oracle.requests.items():
                    if uid >> 40 == member.index + 1:
                        request.void = True

    def run_until(self, done: Callable[[], bool], limit_s: float) -> float | None:
        """Run the loop until a condition holds; returns the seconds that it took, or None after ``limit_s``."""
        began = time.monotonic()
        last_check = 0.0
        while time.monotonic() - began < limit_s:
            self.loop.call_later(10_000, lambda: None)
            self.loop.turn()
            if time.monotonic() - last_check >= 0.05:
                last_check = time.monotonic()
                self.read_logs()
                if done():
                    return time.monotonic() - began
        return None

    def run_for(self, seconds: float) -> None:
        """Run the loop for a while."""
        self.run_until(lambda: False, seconds)

    def read_logs(self) -> None:
        """Read all new log lines, and count running members that are declared dead."""
        for member in self.members:
            for name, _, after in member.read_log():
                is_false_detection = (
                    after not in LIVE_STATES
                    and name not in self.unavailable_members
                    and member.name not in self.unavailable_members
                )
                self.false_detections += (
                    self.counts_false_detections
                    and is_false_detection
                    and any(one.name == name for one in self.members)
                )

    def agreed(self) -> bool:
        """Whether all running members consider exactly each other live; true without membership."""
        running_names = {
            member.name for member in self.members if member.name not in self.unavailable_members
        }
        return not self.has_membership or all(
            member.live_names == running_names for member in self.members if member.name in running_names
        )

    def settle(self, limit_s: float = 15.0) -> int:
        """Run the loop until ``agreed``; returns the milliseconds that it took, at most those of ``limit_s``."""
        elapsed_s = self.run_until(self.agreed, limit_s)
        return int((limit_s if elapsed_s is None else elapsed_s) * 1000)

    def resubmit(self) -> None:
        """At each running member, cancel the lookups of half of its services and request them again within 1 s."""
        for member in self.members:
            if (
                member.clients is not None
                and member.name not in self.unavailable_members
                and member.clients.tasks
            ):
                member.clients.resubmit(0.5, 1_000_000, include_ledger_batches=False)

    def send_requests(self) -> None:
        """Send a request to every running member, every ``pause_us`` while ``loading`` is set."""
        if not self.loading:
            return
        for member in self.members:
            if member.clients is not None and member.name not in self.unavailable_members:
                self.request_count += 1
                is_ledger = self.rng.random() < 0.04
                hint, service = ("8200" if is_ledger else None), self.rng.randrange(30)
                member.clients.ask(self.request_count, LEDGER if is_ledger else LOOKUP, hint, service)
        self.loop.call_later(self.pause_us, self.send_requests)

    def shut_down(self) -> int:
        """Shut all processes down, gracefully if they end in time; returns the greatest absolute exit code."""
        self.counts_false_detections = False
        exit_codes = [0]
        running = [
            one.process
            for one in self.members
            if one.process is not None and one.process.process.poll() is None
        ]
        for process in running:
            process.process.terminate()
        self.run_until(lambda: all(process.process.poll() is not None for process in running), 15.0)
        for process in running:
            if process.process.poll() is None:
                process.process.kill()
            exit_codes.append(abs(process.process.wait()))
        self.relays.close()
        self.endpoint_source.close()
        return max(exit_codes)
