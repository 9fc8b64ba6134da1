"""Applies admission control to client connections and requests, and accounts for file descriptors."""

from __future__ import annotations

import os
import resource
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from thornshelf.admission.controller import (
    FULL_RETRY_AFTER_US,
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

# Pauses in reading a connection whose requests are rejected: each is twice as long as the previous one.
INITIAL_PAUSE_US = 20_000
MAX_PAUSE_US = 640_000
MIN_RETRY_AFTER_US = 1000
_UNCOUNTED_DESCRIPTORS = 8  # kept free for descriptors that the ledger does not count
_WARNING = 4  # syslog severity


class ReadBackoff:
    """Slows down reading from a connection whose requests are rejected.

    Otherwise rejecting the requests of a flood would take the time of all other connections. Unread input stays in
    the buffers of the socket and of the client.
    """

    __slots__ = ("_pause_us", "rejected_count")

    def __init__(self) -> None:
        self.rejected_count = 0  # since the last pause
        self._pause_us = 0

    def record_admission(self) -> None:
        """Record that a request was admitted, which ends the backoff if none was rejected since the last pause."""
        if not self.rejected_count:
            self._pause_us = 0

    def next_pause_us(self) -> int:
        """Return the microseconds to pause reading; 0 if nothing was rejected since the last pause."""
        if not self.rejected_count:
            return 0
        self.rejected_count = 0
        self._pause_us = min(MAX_PAUSE_US, 2 * self._pause_us or INITIAL_PAUSE_US)
        return self._pause_us


class EvictableConnection(Protocol):
    """The part of a client connection's interface that admission uses."""

    @property
    def stream(self) -> Stream:
        """The connection's byte stream."""

    @property
    def is_idle(self) -> bool:
        """Whether the connection can be closed without losing an answer to the client."""

    @property
    def retention_rank(self) -> int:
        """Of idle connections, those of the lowest rank are closed first."""


@dataclass(frozen=True, slots=True)
class AdmissionFilterConfig:
    """The settings of the controller, and the floors of descriptors by kind."""

    controller: AdmissionConfig
    descriptor_floors: dict[str, int]


class AdmissionFilter:
    """The admission control of one dispatcher.

    ``sockets``: the configured limit of descriptors; ``predecessor_descriptors``: how many a predecessor still has
    open, as both processes keep within the limit together.
    """

    def __init__(
        self,
        loop: Loop,
        config: AdmissionFilterConfig,
        sockets: int,
        log: LogFunction,
        predecessor_descriptors: int = 0,
    ) -> None:
        self.loop = loop
        self.log = log
        self.rejection_log = RejectionLog(RejectionLogConfig(), loop.now)
        self.controller = AdmissionController(config.controller, loop.now)
        self.baseline = len(os.listdir("/proc/self/fd"))
        self._predecessor_descriptors = predecessor_descriptors
        self.descriptor_ledger = DescriptorLedger(self._ledger_config(config, sockets))
        self.connection_lists: list[Callable[[], Iterable[EvictableConnection]]] = []  # of each frontend
        self._busy_unknown = 0
        self._busy_counted_us = 0
        self._spare = -1
        for kind in ("changelog", "log"):
            self.descriptor_ledger.acquire(kind)
        self.reserve_spare()

    def _ledger_config(self, config: AdmissionFilterConfig, sockets: int) -> DescriptorLedgerConfig:
        """Return the limits of the ledger, within the configured limit and that of the process."""
        process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if process_limit == resource.RLIM_INFINITY:
            process_limit = sockets
        limit = min(sockets - self._predecessor_descriptors, process_limit)
        floors = dict(config.descriptor_floors)
        minimum = self.baseline + _UNCOUNTED_DESCRIPTORS
        if sum(floors.values()) + minimum > limit:
            # If the process may open fewer than configured, all floors shrink in proportion.
            fraction = max(0, limit - minimum) / max(1, sum(floors.values()))
            floors = {kind: int(floor * fraction) for kind, floor in floors.items()}
        return DescriptorLedgerConfig(max(limit, minimum), self.baseline, floors)

    def reconfigure(self, config: AdmissionFilterConfig, sockets: int) -> None:
        """Apply new settings; no connection is closed."""
        self.controller.reconfigure(config.controller)
        self.descriptor_ledger.reconfigure(self._ledger_config(config, sockets))

    def predecessor_ended(self, config: AdmissionFilterConfig | None, sockets: int) -> None:
        """Make the descriptors of the predecessor available, as it has exited.

        ``config``: None keeps the limits until the next reconfiguration.
        """
        self._predecessor_descriptors = 0
        if config is not None:
            self.descriptor_ledger.reconfigure(self._ledger_config(config, sockets))

    def admit_connection(self, peer: str) -> tuple[Decision, ConnectionPermit | None]:
        """Decide on an accepted connection, and return its permit if it is admitted.

        May close an idle connection of an unknown source to make room.
        """
        if self.descriptor_ledger.available("clients") <= 0 and not self.evict_idle(unknown_only=True):
            self.descriptor_ledger.rejected["clients"] += 1
            self._record_rejection("descriptors", self.controller.source_of(peer), known=False)
            return Decision(False, "no descriptor is left", FULL_RETRY_AFTER_US), None
        decision, permit = self.controller.admit_connection(peer, self.loop.now, self.busy_unknown)
        if permit is None:
            self._record_rejection("connections", self.controller.source_of(peer), decision.known)
            return decision, None
        if decision.replaces_idle and not self.evict_idle(unknown_only=True):
            self.controller.release(permit)
            self._record_rejection("connections", permit.source, permit.known)
            return Decision(False, "no place is left", FULL_RETRY_AFTER_US), None
        self.descriptor_ledger.acquire("clients")
        return decision, permit

    def release(self, permit: ConnectionPermit) -> None:
        """Record that an admitted connection was closed; releasing its permit again has no effect."""
        if not permit.released:
            self.controller.release(permit)
            self.descriptor_ledger.release("clients")

    @property
    def busy_unknown(self) -> int:
        """Number of connections of unknown sources that can't be closed now; counted once per turn."""
        if self._busy_counted_us != self.loop.now:
            self._busy_counted_us = self.loop.now
            self._busy_unknown = sum(
                1
                for connection in self._connections()
                if (permit := connection.stream.admission_permit)
                and not permit.known
                and not connection.is_idle
            )
        return min(self._busy_unknown, self.controller.reserved_connections.unknown_count)

    def evict_idle(self, unknown_only: bool) -> bool:
        """Close an idle connection, of unknown sources and of low rank first; returns false if there is none."""
        best_rank: tuple[bool, int] | None = None
        best: EvictableConnection | None = None
        for connection in self._connections():
            permit = connection.stream.admission_permit
            known = permit is not None and permit.known
            if not connection.is_idle or (known and unknown_only):
                continue
            rank = (known, connection.retention_rank)
            if best_rank is None or rank < best_rank:
                best_rank = rank
                best = connection
                if rank == (False, 0):
                    break  # the lowest possible rank
        if best is None:
            return False
        best.stream.close()
        return True

    def _connections(self) -> Iterable[EvictableConnection]:
        for connections in self.connection_lists:
            yield from list(connections())

    def admit_request(self, stream: Stream) -> tuple[int, FailureCause] | None:
        """Return None if a request is admitted, otherwise the microseconds to retry after and the cause."""
        permit = stream.admission_permit
        if permit is None:
            return None
        decision = self.controller.admit_request(permit, self.loop.now)
        if decision.admitted:
            return None
        self._record_rejection("set-ups", permit.source, decision.known)
        cause = failure_cause(FailureReason.OVERLOADED, decision.reason)
        return max(MIN_RETRY_AFTER_US, decision.retry_after_us), cause

    def record_placement(self, stream: Stream) -> None:
        """Record that a task was placed for the source of this connection."""
        if (permit := stream.admission_permit) is not None:
            self.controller.record_placement(permit, self.loop.now)

    def new_read_backoff(self) -> ReadBackoff:
        """Return the read backoff of a new connection."""
        return ReadBackoff()

    def _record_rejection(self, kind: str, source: Source, known: bool) -> None:
        """Count a rejection, and schedule the log line that summarises it.

        Summaries are logged at most once a second, so that no flood fills the log.
        """
        due_us = self.rejection_log.record(kind, source, known, self.loop.now)
        if due_us is not None:
            self.loop.call_at(due_us, self._log_summary)

    def _log_summary(self) -> None:
        summary = self.rejection_log.take_summary(self.loop.now)
        if summary is None:
            return
        sources = [f"{format_source(source)}={count}" for source, count in summary.top_sources]
        values: dict[str, object] = dict(summary.counts)
        values["known"] = summary.known_count
        values["heaviest"] = ",".join(sources)
        self.log(_WARNING, "connections-rejected", values, "rejections since the last summary")

    def reserve_spare(self) -> None:
        """Open a spare descriptor, to be closed when descriptors have run out and a connection is to be rejected."""
        if self._spare < 0:
            try:
                self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
                self.descriptor_ledger.acquire("spare")
            except OSError:
                self._spare = -1

    def release_spare(self) -> bool:
        """Close the spare descriptor, so that one connection can be accepted; returns false if there is none."""
        if self._spare < 0:
            return False
        os.close(self._spare)
        self._spare = -1
        self.descriptor_ledger.release("spare")
        return True

    def close(self) -> None:
        """Close the spare descriptor."""
        self.release_spare()
