"""The door with its hinges: verdicts of ``admission`` carried out on sockets, within the ledger of descriptors."""

from __future__ import annotations

import os
import resource
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from thornshelf.admission.controller import (
    AdmissionConfig,
    AdmissionController,
    ConnectionPermit,
    Decision,
    Source,
)
from thornshelf.admission.descriptors import DescriptorLedger, DescriptorLedgerConfig
from thornshelf.admission.rejection_log import RejectionLog, RejectionLogConfig, format_source
from thornshelf.core import LogFunction
from thornshelf.loop import Loop, Stream
from thornshelf.translation.failures import FailureCause, FailureReason, failure_cause

FULL_RETRY_AFTER_US = 1_000_000
INITIAL_PAUSE_US = 20_000  # a connection whose set-ups are turned away is not read from for so long,
MAX_PAUSE_US = 640_000  # doubling up to this while it goes on


class ReadBackoff:
    """How slowly a connection is read whose set-ups the door turns away.

    Guards against a flood that takes the turns of all others merely by being refused: what is not read yet waits in
    the client's own buffers.
    """

    __slots__ = ("_pause_us", "rejected_count")

    def __init__(self) -> None:
        self.rejected_count = 0  # since the last pause
        self._pause_us = 0

    def record_admission(self) -> None:
        """A set-up got in."""
        if not self.rejected_count:
            self._pause_us = 0

    def next_pause_us(self) -> int:
        """How long to wait now; 0 where nothing was turned away."""
        if not self.rejected_count:
            return 0
        self.rejected_count = 0
        self._pause_us = min(MAX_PAUSE_US, 2 * self._pause_us or INITIAL_PAUSE_US)
        return self._pause_us


class EvictableConnection(Protocol):
    """A client's connection, as far as the door has to know it."""

    @property
    def stream(self) -> Stream:
        """Its bytes."""

    @property
    def is_idle(self) -> bool:
        """Closing it costs its client no answer."""

    @property
    def retention_rank(self) -> int:
        """Of idle ones that of least worth goes first."""


@dataclass(frozen=True, slots=True)
class AdmissionFilterConfig:
    """The door's terms, and the floors of the ledger."""

    controller: AdmissionConfig
    descriptor_floors: dict[str, int]


class AdmissionFilter:
    """One dispatcher's door."""

    def __init__(
        self,
        loop: Loop,
        config: AdmissionFilterConfig,
        sockets: int,
        log: LogFunction,
        predecessor_descriptors: int = 0,
    ) -> None:
        """``held``: descriptors that a predecessor still holds; both keep within the limit together."""
        self.loop, self.log, self._predecessor_descriptors = loop, log, predecessor_descriptors
        self.rejection_log = RejectionLog(RejectionLogConfig(), loop.now)
        self.controller = AdmissionController(config.controller, loop.now)
        self.baseline = len(os.listdir("/proc/self/fd"))
        self.descriptor_ledger = DescriptorLedger(self._ledger_terms(config, sockets))
        self.connection_lists: list[Callable[[], Iterable[EvictableConnection]]] = []  # of each front
        self._busy = self._busy_at = 0
        self._spare = -1
        for kind in ("changelog", "log"):
            self.descriptor_ledger.acquire(kind)
        self.reserve_spare()

    def _ledger_terms(self, terms: AdmissionFilterConfig, sockets: int) -> DescriptorLedgerConfig:
        own = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        limit = min(
            sockets - self._predecessor_descriptors, own if own != resource.RLIM_INFINITY else sockets
        )
        floors, least = dict(terms.descriptor_floors), self.baseline + 8
        if sum(floors.values()) + least > limit:
            # A process that may open less than its configuration says still has to serve: all floors shrink alike.
            share = max(0, limit - least) / max(1, sum(floors.values()))
            floors = {kind: int(floor * share) for kind, floor in floors.items()}
        return DescriptorLedgerConfig(max(limit, least), self.baseline, floors)

    def reconfigure(self, terms: AdmissionFilterConfig, sockets: int) -> None:
        """New terms: nobody is dropped."""
        self.controller.reconfigure(terms.controller)
        self.descriptor_ledger.reconfigure(self._ledger_terms(terms, sockets))

    def predecessor_ended(self, terms: AdmissionFilterConfig | None, sockets: int) -> None:
        """The predecessor has ended."""
        self._predecessor_descriptors = 0
        if terms is not None:
            self.descriptor_ledger.reconfigure(self._ledger_terms(terms, sockets))

    # connections

    def admit_connection(self, peer: str) -> tuple[Decision, ConnectionPermit | None]:
        """A connection was accepted: may it stay?"""
        if self.descriptor_ledger.available("clients") <= 0 and not self.evict_idle(unknown_only=True):
            self.descriptor_ledger.rejected["clients"] += 1
            self._record_rejection("descriptors", self.controller.source_of(peer), False)
            return Decision(False, "no descriptor is left", FULL_RETRY_AFTER_US), None
        verdict, given = self.controller.admit_connection(peer, self.loop.now, self.busy_unknown)
        if given is not None and verdict.replaces_idle and not self.evict_idle(unknown_only=True):
            self.controller.release(given)
            self._record_rejection("connections", given.source, given.known)
            return Decision(False, "no place is left", FULL_RETRY_AFTER_US), None
        if given is not None:
            self.descriptor_ledger.acquire("clients")
        else:
            self._record_rejection("connections", self.controller.source_of(peer), verdict.known)
        return verdict, given

    def release(self, given: ConnectionPermit) -> None:
        """An admitted connection is over."""
        if not given.over:
            self.controller.release(given)
            self.descriptor_ledger.release("clients")

    @property
    def busy_unknown(self) -> int:
        """Unknown connections that can't be closed now; counted once a turn."""
        if self._busy_at != self.loop.now:
            self._busy_at = self.loop.now
            self._busy = sum(
                1
                for guest in self._connections()
                if (given := guest.stream.admission_permit) and not given.known and not guest.is_idle
            )
        return min(self._busy, self.controller.reserved_connections.unknown_count)

    def evict_idle(self, unknown_only: bool) -> bool:
        """Close an idle connection: of unknown sources first, and of those the one of least worth."""
        best: tuple[bool, int] | None = None
        found: EvictableConnection | None = None
        for guest in self._connections():
            given = guest.stream.admission_permit
            known = given is not None and given.known
            if (
                guest.is_idle
                and not (known and unknown_only)
                and (best is None or (known, guest.retention_rank) < best)
            ):
                best, found = (known, guest.retention_rank), guest
                if best == (False, 0):
                    break
        if found is None:
            return False
        found.stream.close()
        return True

    def _connections(self) -> Iterable[EvictableConnection]:
        for guests in self.connection_lists:
            yield from list(guests())

    # set-ups

    def admit_request(self, stream: Stream) -> tuple[int, FailureCause] | None:
        """A set-up has come; the wait and the cause where it is refused at the door."""
        given = stream.admission_permit
        if given is None:
            return None
        verdict = self.controller.admit_request(given, self.loop.now)
        if verdict.admitted:
            return None
        self._record_rejection("set-ups", given.source, verdict.known)
        return max(1000, verdict.retry_after_us), failure_cause(FailureReason.OVERLOADED, verdict.reason)

    def record_placement(self, stream: Stream) -> None:
        """A task was placed for this connection's source."""
        if (given := stream.admission_permit) is not None:
            self.controller.record_placement(given, self.loop.now)

    def new_read_backoff(self) -> ReadBackoff:
        """For one connection."""
        return ReadBackoff()

    # what operators are told

    def _record_rejection(self, kind: str, source: Source, known: bool) -> None:
        """Counted, and told together at most once a second: a flood must not fill the log."""
        due = self.rejection_log.record(kind, source, known, self.loop.now)
        if due is not None:
            self.loop.at(due, self._log_summary)

    def _log_summary(self) -> None:
        if (found := self.rejection_log.take_summary(self.loop.now)) is None:
            return
        values: dict[str, object] = dict(found.counts)
        values["known"] = found.known_count
        values["heaviest"] = ",".join(
            f"{format_source(source)}={count}" for source, count in found.top_sources
        )
        self.log(4, "connections-rejected", values, "turned away since the last line")

    # the spare descriptor

    def reserve_spare(self) -> None:
        """Hold one descriptor that can be given up, so that at a full table one can still be told so."""
        if self._spare < 0:
            try:
                self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
                self.descriptor_ledger.acquire("spare")
            except OSError:
                self._spare = -1

    def release_spare(self) -> bool:
        """Free it for one accept; false where it is not there."""
        if self._spare < 0:
            return False
        os.close(self._spare)
        self._spare = -1
        self.descriptor_ledger.release("spare")
        return True

    def close(self) -> None:
        """Give the spare back."""
        self.release_spare()
