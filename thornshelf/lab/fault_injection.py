"""A dispatcher with injected faults: python -m thornshelf.lab.fault_injection NAME,... FILE.

Each fault must make an experiment fail, which shows that the experiment can detect it. A function whose doc comment
ends with "must not be noticed" prepares a situation that a correct dispatcher handles instead.
"""

from __future__ import annotations

import itertools
import os
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from thornshelf.configuration import Config, read_config
from thornshelf.control import framing, query_sessions
from thornshelf.core import Attempt, TaskRequest
from thornshelf.core.attempts import Attempts
from thornshelf.core.dispatcher import Dispatcher
from thornshelf.core.endpoint_registry import EndpointRegistry
from thornshelf.core.idempotency import IdempotencyTable
from thornshelf.core.releases import DisconnectedClient
from thornshelf.core.task import TaskState
from thornshelf.frontends.grpc_streams import DispatchCall
from thornshelf.frontends.json_lines import JsonLinesConnection
from thornshelf.membership import datagrams
from thornshelf.membership.datagram_sender import OutgoingDatagram
from thornshelf.membership.datagrams import MessageKind, ReplayWindows
from thornshelf.membership.local_member import LocalMember
from thornshelf.membership.member_table import MemberTable
from thornshelf.membership.outlier_gossip import ObservationRow
from thornshelf.membership.protocol import MembershipProtocol
from thornshelf.membership.states import (
    LIVE_STATES,
    TRANSITIONS,
    MemberEvent,
    MemberRecord,
    MemberState,
    RecordStatus,
)
from thornshelf.nodes.grpc import GrpcLinkV2
from thornshelf.placement import Outcome
from thornshelf.service import Service
from thornshelf.subsetting import Subset
from thornshelf.translation.missing_fields import LifetimeHint


def double_start() -> None:
    """Attempts that may have run count as never run, and idempotency keys are ignored."""
    report_outcome = Attempts.report_outcome

    def report_as_never_run(self: Any, task: Any, attempt: Any, outcome: Outcome, *more: Any) -> None:
        may_have_run = outcome in (Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.CANCELLED)
        report_outcome(self, task, attempt, Outcome.NOT_CONNECTED if may_have_run else outcome, *more)

    Attempts.report_outcome = report_as_never_run  # type: ignore[method-assign, assignment]
    IdempotencyTable.deduplicates = lambda self, *_: False  # type: ignore[method-assign]
    IdempotencyTable.resolve_uncertain = lambda self, *_: False  # type: ignore[method-assign]


def drop_answer() -> None:
    """Every fiftieth answer is not sent."""
    for client_type in (JsonLinesConnection, DispatchCall):
        count = itertools.count(1)
        send_running = client_type.send_running

        def send_most(self: Any, *args: Any, count: Any = count, send_running: Any = send_running) -> None:
            if next(count) % 50:
                send_running(self, *args)

        client_type.send_running = send_most  # type: ignore[method-assign, assignment]


def unmarked_hint() -> None:
    """Nodes receive an assumed hint as if the client had given it."""
    offer = GrpcLinkV2._make_offer

    def offer_unmarked(self: Any, attempt: Attempt) -> Any:
        effective_hint = self._hint

        def unmarked_hint(attempt: Attempt) -> LifetimeHint | None:
            hint = effective_hint(attempt)
            return None if hint is None else LifetimeHint(hint.duration_us, False)

        self._hint = unmarked_hint
        try:
            return offer(self, attempt)
        finally:
            self._hint = effective_hint

    GrpcLinkV2._make_offer = offer_unmarked  # type: ignore[method-assign]


def no_refute() -> None:
    """A member does not refute reports that it is dead."""
    LocalMember.refute = lambda self, *_: False  # type: ignore[method-assign]


def no_heal() -> None:
    """A member does not contact dead members while it knows any live one."""
    reconnect = MembershipProtocol._reconnect

    def reconnect_if_alone(self: MembershipProtocol) -> None:
        if not self.table.live_names:
            reconnect(self)

    MembershipProtocol._reconnect = reconnect_if_alone  # type: ignore[method-assign]


def trust_liar() -> None:
    """Another member's report that a member is dead is accepted without suspicion."""
    for state in LIVE_STATES:
        TRANSITIONS[state, MemberEvent.REPORTED_DEAD] = MemberState.DEAD


def replay() -> None:
    """Replayed datagrams are accepted."""
    ReplayWindows.accept = lambda self, sender, instance_id, counter: None  # type: ignore[method-assign]


def hidden_gap() -> None:
    """The end of a query does not name the members whose rows are missing."""
    query_sessions.QueryEnd = lambda number, answered, missing: framing.QueryEnd(number, answered, [])  # type: ignore[assignment, attr-defined]


def later_version() -> None:
    """A member of a later version, whose datagrams have another version number: must not be noticed."""
    datagrams.VERSION += 1


def clock_back() -> None:
    """A process whose wall clock is an hour slow: must not be noticed."""
    real_time_ns = time.time_ns
    time.time_ns = lambda: real_time_ns() - 3_600 * 10**9


def many_tasks() -> None:
    """A dispatcher with 100,000 running tasks from its start: must not be noticed."""
    make_core = Service._make_core

    def make_with_tasks(self: Service, config: Config) -> Dispatcher:
        core = make_core(self, config)
        machine = core.endpoints.machine_id("s-elsewhere")
        now = core.loop.now
        for uid in range(1 << 60, (1 << 60) + 100_000):
            request = TaskRequest(
                DisconnectedClient("h"), uid, "lookup", None, uid, now, None, 1, 1.0, 2.0, b""
            )
            task = core.create_task(request)
            task.machine = machine
            task.state = TaskState.RUNNING
            task.running_since_us = now
            core.index_task(task, uid)
        return core

    Service._make_core = make_with_tasks  # type: ignore[method-assign]


def liar() -> None:
    """A member that falsely reports other members as dead and nodes as unresponsive, and invents members.

    It does so while a file ``lie`` exists in the parent of its folder; it must not be noticed.
    """
    tick = MembershipProtocol.tick
    lie_file = Path(sys.argv[2]).parent.parent / "lie"

    def tick_and_lie(self: MembershipProtocol, now_us: int) -> int:
        due_us = tick(self, now_us)
        if lie_file.exists() and now_us >= getattr(self, "lied_us", 0) + 300_000:
            vars(self)["lied_us"] = now_us
            records = [
                msgspec.structs.replace(known.record, status=int(RecordStatus.DEAD), reported_by=self.name)
                for known in self.table.members.values()
            ]
            records += [MemberRecord(f"x{now_us}-{n}", "127.0.0.1:9", 1, 1, 0, 0) for n in range(30)]
            observations = [ObservationRow(f"s-{n + 1:08x}", 1, 8.0) for n in range(16)]
            self.publish("seen", 0, msgspec.msgpack.encode(observations), 300_000)
            for member in list(self.table.members.values()):
                for first in range(0, len(records), 10):
                    self.sender.counter += 1
                    record_batch = records[first : first + 10]
                    header = [
                        int(MessageKind.GOSSIP),
                        self.local.record,
                        member.record.instance_id,
                        self.sender.counter,
                        0,
                        "",
                    ]
                    data = self.sender.sealer.seal(
                        self.sender.sealer.encode([*header, record_batch, [], b""])
                    )
                    self.sender.outgoing.append(OutgoingDatagram(member.record.address, data))
        return due_us

    MembershipProtocol.tick = tick_and_lie  # type: ignore[method-assign]


def all_to_all() -> None:
    """A member gossips with all others instead of a sample."""
    MemberTable.sample = lambda self, count, exclude="": list(self.live_names)  # type: ignore[method-assign]


def leak() -> None:
    """The names of removed nodes stay in memory."""
    EndpointRegistry.discard = lambda self, machine: None  # type: ignore[method-assign]


def no_subset() -> None:
    """A dispatcher with a subset connects to all nodes of the endpoint list."""

    def apply_all(self: Any, complete: bool, entries: Any, now_us: int) -> list[Any]:
        return list(entries)

    Subset.apply = apply_all  # type: ignore[method-assign]


INJECTED_FAULTS = {
    "all-to-all": all_to_all, "leak": leak, "hold-all": no_subset,
    "liar": liar, "newer": later_version, "clock-back": clock_back, "crowd": many_tasks,
    "double-start": double_start, "drop-answer": drop_answer, "silent-hint": unmarked_hint, "no-refute": no_refute,
    "no-heal": no_heal, "trust-liar": trust_liar, "replay": replay, "silent-gap": hidden_gap,
}  # fmt: skip


def main() -> None:
    """Inject the faults named on the command line, and run the dispatcher."""
    for fault_name in sys.argv[1].split(","):
        INJECTED_FAULTS[fault_name]()

    def read() -> Config:
        return read_config(os.environ, sys.argv[2])

    Service(read(), reread=read).run()


if __name__ == "__main__":
    main()
