"""A dispatcher with planted faults, which experiments must notice: python -m thornshelf.lab.fault_injection NAME,... FILE."""

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
from thornshelf.core.dispatcher import Dispatcher
from thornshelf.core.endpoint_registry import EndpointRegistry
from thornshelf.core.idempotency import IdempotencyTable
from thornshelf.core.releases import DisconnectedClient
from thornshelf.core.task import TaskState as TaskState
from thornshelf.frontends.grpc import DispatchCall
from thornshelf.frontends.json_lines import JsonLinesConnection
from thornshelf.membership import datagrams
from thornshelf.membership.datagrams import MessageKind, ReplayWindows
from thornshelf.membership.member_table import LocalMember, MemberTable
from thornshelf.membership.outlier_gossip import ObservationRow as Sight
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
from thornshelf.placement.interface import Outcome
from thornshelf.service import Service
from thornshelf.subsetting import Subset
from thornshelf.translation.missing_fields import LifetimeHint


def double_start() -> None:
    """What broke is taken to have never run, and names are not looked at."""
    outcome = Dispatcher.report_outcome

    def blind(self: Any, task: Any, attempt: Any, how: Outcome, *more: Any) -> None:
        maybe = how in (Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.CANCELLED)
        outcome(self, task, attempt, Outcome.NOT_CONNECTED if maybe else how, *more)

    Dispatcher.report_outcome = blind  # type: ignore[method-assign, assignment]
    IdempotencyTable.deduplicates = lambda self, request: False  # type: ignore[method-assign]
    IdempotencyTable.resolve_uncertain = lambda self, *_: False  # type: ignore[method-assign]


def drop_answer() -> None:
    """Each fiftieth answer goes nowhere."""
    for owner in (JsonLinesConnection, DispatchCall):
        count, answer = itertools.count(1), owner.send_running

        def some(self: Any, *args: Any, count: Any = count, answer: Any = answer) -> None:
            if next(count) % 50:
                answer(self, *args)

        owner.send_running = some  # type: ignore[method-assign, assignment]


def silent_hint() -> None:
    """An assumed hint goes out as the owner's own."""
    offer = GrpcLinkV2._offer

    def unmarked(self: Any, attempt: Attempt) -> Any:
        known = self._hint
        self._hint = lambda one: LifetimeHint(hint.us, False) if (hint := known(one)) is not None else None
        try:
            return offer(self, attempt)
        finally:
            self._hint = known

    GrpcLinkV2._offer = unmarked  # type: ignore[method-assign]


def no_refute() -> None:
    """A member does not answer what is said of it."""
    LocalMember.refute = lambda self, claim, now_us: False  # type: ignore[method-assign]


def no_heal() -> None:
    """Those that are gone are called no more, once the fleet has found together."""
    recall = MembershipProtocol._reconnect

    def never(self: MembershipProtocol) -> None:
        if not self.table.live_names:
            recall(self)

    MembershipProtocol._reconnect = never  # type: ignore[method-assign]


def trust_liar() -> None:
    """Another's word that a member is dead is taken at once."""
    for state in LIVE_STATES:
        TRANSITIONS[state, MemberEvent.REPORTED_DEAD] = MemberState.DEAD


def replay() -> None:
    """Nobody looks whether a datagram came before."""
    ReplayWindows.accept = lambda self, sender, instance_id, counter: None  # type: ignore[method-assign]


def silent_gap() -> None:
    """Who tells nothing is left out of an answer in silence."""
    query_sessions.QueryEnd = lambda number, told, missing: framing.QueryEnd(number, told, [])  # type: ignore[assignment, attr-defined]


def newer() -> None:
    """A member of a later version, whose datagrams have another form: no plant to be found."""
    datagrams.VERSION += 1


def clock_back() -> None:
    """A process whose wall clock was stepped back by an hour: likewise."""
    real = time.time_ns
    time.time_ns = lambda: real() - 3_600 * 10**9


def crowd() -> None:
    """A dispatcher that knows 100,000 standing tasks from its start: likewise."""
    make = Service._make_core

    def crowded(self: Service, config: Config) -> Dispatcher:
        core = make(self, config)
        machine, now = core.endpoints.machine_id("s-elsewhere"), core.loop.now
        for uid in range(1 << 60, (1 << 60) + 100_000):
            setup = TaskRequest(
                DisconnectedClient("h"), uid, "lookup", None, uid, now, None, 1, 1.0, 2.0, b""
            )
            task = core.create_task(setup)
            task.machine, task.state, task.running_since_us = machine, TaskState.RUNNING, now
            core.index_task(task, uid)
        return core

    Service._make_core = crowded  # type: ignore[method-assign]


def liar() -> None:
    """A member that says what is not so: the others and all nodes are dead, and there are many more members.

    It does so while a file ``lie`` stands beside its folder, in every experiment with a view: no plant to be found.
    """
    usual, sign = MembershipProtocol.tick, Path(sys.argv[2]).parent.parent / "lie"

    def lie(self: MembershipProtocol, now_us: int) -> int:
        due = usual(self, now_us)
        if sign.exists() and now_us >= getattr(self, "lied_us", 0) + 300_000:
            vars(self)["lied_us"] = now_us
            claims = [
                msgspec.structs.replace(one.record, status=int(RecordStatus.DEAD), reported_by=self.name)
                for one in self.table.members.values()
            ]
            claims += [MemberRecord(f"x{now_us}-{n}", "127.0.0.1:9", 1, 1, 0, 0) for n in range(30)]
            sights = [Sight(f"s-{n + 1:08x}", 1, 8.0) for n in range(16)]
            self.publish("seen", 0, msgspec.msgpack.encode(sights), 300_000)
            for member in list(self.table.members.values()):
                for first in range(0, len(claims), 10):
                    self._datagram_counter += 1
                    rows = claims[first : first + 10]
                    head = [
                        int(MessageKind.GOSSIP),
                        self.local.record,
                        member.record.instance_id,
                        self._datagram_counter,
                        0,
                        "",
                    ]
                    data = self._sealer.seal(self._sealer.encode([*head, rows, [], b""]))
                    self.outgoing.append((member.record.address, data))
        return due

    MembershipProtocol.tick = lie  # type: ignore[method-assign]


def all_to_all() -> None:
    """Whatever a member of the view tells some others, it tells all."""
    MemberTable.sample = lambda self, count, without="": list(self.live_names)  # type: ignore[method-assign]


def leak() -> None:
    """The names of nodes that have gone are kept."""
    EndpointRegistry.discard = lambda self, machine: None  # type: ignore[method-assign]


def hold_all() -> None:
    """A dispatcher of a subset holds the whole list."""

    def everything(self: Any, complete: bool, entries: Any, now_us: int) -> list[Any]:
        return list(entries)

    Subset.apply = everything  # type: ignore[method-assign]


INJECTED_FAULTS = {
    "all-to-all": all_to_all, "leak": leak, "hold-all": hold_all,
    "liar": liar, "newer": newer, "clock-back": clock_back, "crowd": crowd,
    "double-start": double_start, "drop-answer": drop_answer, "silent-hint": silent_hint, "no-refute": no_refute,
    "no-heal": no_heal, "trust-liar": trust_liar, "replay": replay, "silent-gap": silent_gap,
}  # fmt: skip

if __name__ == "__main__":
    for name in sys.argv[1].split(","):
        INJECTED_FAULTS[name]()
    Service(read_config(os.environ, sys.argv[2])).run()
