"""The JSON lines frontend: accepts connections of the platform's clients, and reads their lines."""

from __future__ import annotations

import socket
from collections.abc import Generator
from typing import TYPE_CHECKING

from thornshelf.core import (
    AnswerMetadata,
    CancelTask,
    ClientConnected,
    ClientDisconnected,
    Dispatcher,
    TaskRequest,
)
from thornshelf.frontends.connection_budget import ConnectionBudget
from thornshelf.frontends.idle_evictor import IdleEvictor, is_quiescent
from thornshelf.frontends.listener import FIRST_MESSAGE_TIMEOUT_US, MESSAGE_TIMEOUT_US, Listener
from thornshelf.frontends.request_times import DEADLINE_MARGIN_US, lifetime_hint_us, wait_us
from thornshelf.frontends.sent_releases import (
    MAX_UNACKNOWLEDGED_RELEASES,
    SentRelease,
    discard_oldest,
    not_fully_sent,
    pending_releases,
)
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.wire import jsonl
from thornshelf.wire.errors import WireError
from thornshelf.wire.jsonl import CANCELLED, ENDED, FAILED, REFUSED, UNREADABLE

if TYPE_CHECKING:
    from thornshelf.admission.controller import Decision
    from thornshelf.frontends.admission_filter import AdmissionFilter, ReadBackoff

MAX_REMEMBERED_RELEASES = (
    32  # of a client that acknowledges none; beyond it those that were sent are discarded
)
MAX_REJECTED_BEFORE_BACKOFF = 4  # requests that admission rejects before the connection is paused
MAX_LINES_PER_TURN = (
    32  # of one connection, so that a flood leaves time for other connections, nodes and timers
)
CONNECTION_BROKEN = -1  # in place of a number of handled lines: the connection cannot be read further
_RELEASE_CODES = {Outcome.OK: ENDED, Outcome.CANCELLED: CANCELLED}  # any other outcome: FAILED


def _cause_fields(cause: FailureCause | None) -> dict[str, str]:
    """The field that carries a cause's text: the line has no other place for most causes."""
    return {} if cause is None else {"why": cause.message}


class JsonLinesConnection:
    """One client connection; to the core it is a ``ClientConnection``."""

    accepts_any_release = True
    wire_form = WireFormat.JSON_LINES

    def __init__(self, frontend: JsonLinesFrontend, stream: Stream) -> None:
        self.frontend = frontend
        self.stream = stream
        self.open_requests: set[int] = set()
        self.running: set[int] = set()
        self.has_sent_message = False  # a complete and valid line has come
        self.read_backoff: ReadBackoff | None = (
            frontend.admission_filter.new_read_backoff() if frontend.admission_filter is not None else None
        )
        self.acknowledges_releases = False  # the client says which releases have arrived
        self.sent_releases: dict[int, SentRelease] = {}
        self.reader = jsonl.LineReader()

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open, as far as is known here."""
        return self.stream.open and not self.stream.peer_closed

    def awaits_answer(self, uid: int) -> bool:
        """Whether the client has neither cancelled the request nor disconnected, as far as has been read."""
        return uid in self.open_requests and self.is_connected

    @property
    def is_idle(self) -> bool:
        """Whether it can be closed without costing the client an answer."""
        at_rest = not self.has_sent_message or (is_quiescent(self.stream) and not self.reader.mid_message)
        return self.stream.open and not self.open_requests and at_rest

    @property
    def retention_rank(self) -> int:
        """Of idle connections the lowest is evicted first: without a valid line, then without running tasks."""
        return 2 * self.has_sent_message + bool(self.running)

    @property
    def peer(self) -> str:
        """The client's host."""
        return self.stream.peer

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """Tell the client that its task runs, and the lifetime hint that was assumed for it."""
        self.open_requests.discard(uid)
        self.running.add(uid)
        meta: dict[str, str] | None = None
        if metadata is not None and metadata.assumed_hint is not None:
            meta = {"hint": f"{metadata.assumed_hint.duration_us / 1000:g}", "assumed": "hint"}
        self.stream.send(jsonl.encode_line("running", uid, meta, body=description))
        if self.frontend.admission_filter is not None:
            self.frontend.admission_filter.record_placement(self.stream)

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Tell the client that its task did not run, and when to retry at the earliest."""
        self.open_requests.discard(uid)
        meta = {"wait": str(max(1, retry_after_us // 1000))} if retry_after_us else {}
        self.stream.send(jsonl.encode_line("stop", uid, meta | _cause_fields(detail), REFUSED))

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Tell the client that its task failed and may have run."""
        self.open_requests.discard(uid)
        self.stream.send(jsonl.encode_line("stop", uid, _cause_fields(detail), FAILED))

    def reject_duplicate(self, uid: int) -> None:
        """Close the connection: the answers to two requests under one id could not be distinguished."""
        self.stream.close()

    def send_release(
        self, uid: int, outcome: Outcome, reason: Reason, detail: FailureCause | None = None
    ) -> None:
        """Tell the client that a running task has ended."""
        self.running.discard(uid)
        line = jsonl.encode_line("stop", uid, _cause_fields(detail), _RELEASE_CODES.get(outcome, FAILED))
        if len(self.sent_releases) >= MAX_UNACKNOWLEDGED_RELEASES:
            discard_oldest(self.sent_releases)
        elif len(self.sent_releases) >= MAX_REMEMBERED_RELEASES and not self.acknowledges_releases:
            self.sent_releases = not_fully_sent(self.sent_releases)
        self.sent_releases[uid] = SentRelease(self.stream.send(line), outcome, reason, detail)

    def send_migrate(self, uid: int) -> None:
        """Tell the client that a running task was stopped and should be requested again."""
        self.running.discard(uid)
        self.stream.send(jsonl.encode_line("migrate", uid))

    def task_cancelled(self, uid: int) -> None:
        """Note that the client ended a running task, on this connection or on another."""
        self.running.discard(uid)


class JsonLinesFrontend:
    """Listens for clients that speak JSON lines."""

    def __init__(
        self,
        loop: Loop,
        core: Dispatcher,
        address: tuple[str, int],
        budget: ConnectionBudget,
        admission_filter: AdmissionFilter | None = None,
        inherited: socket.socket | None = None,
    ) -> None:
        """``inherited``: a listening socket that a predecessor has handed over; raises OSError without it."""
        self.loop = loop
        self.core = core
        self.admission_filter = admission_filter
        self.shutting_down = False
        self._connections: dict[JsonLinesConnection, None] = {}  # the longest without a new request first
        self._idle_evictor = IdleEvictor(self._connections)
        if admission_filter is not None:
            admission_filter.connection_lists.append(lambda: self._connections)
        self.listener = Listener(
            loop,
            address,
            budget,
            self._serve,
            self.evict_idle,
            admission_filter,
            self._rejection_message,
            inherited,
        )

    def _rejection_message(self, decision: Decision) -> bytes:
        """What a client receives whose connection admission rejects: a rejection without a task's id."""
        meta = {"wait": str(max(1, decision.retry_after_us // 1000)), "why": f"overloaded: {decision.reason}"}
        return jsonl.encode_line("stop", jsonl.UNKNOWN_UID, meta, REFUSED)

    def evict_idle(self) -> bool:
        """Close one connection without an open request; false where there is none.

        Those that never sent a valid line go first, then those without running tasks, so that clients which only
        open connections cannot displace the others. Among equals the one goes that has been without a request for
        the longest time.
        """
        return self._idle_evictor.evict_one()

    def close_idle(self) -> None:
        """Shut down gracefully: close the connections without an open request and without unread input."""
        for connection in list(self._connections):
            if not (
                connection.open_requests
                or connection.reader.mid_message
                or connection.stream.has_unread_input
            ):
                connection.stream.end()

    def _serve(self, stream: Stream) -> Generator[Wait, int, None]:
        """Read a connection until it closes."""
        connection = JsonLinesConnection(self, stream)
        self._connections[connection] = None
        self.core.inbox.append(ClientConnected(connection))
        try:
            yield from self._read(connection)
        finally:
            del self._connections[connection]
            pending = pending_releases(connection.sent_releases, connection.acknowledges_releases)
            self.core.inbox.append(ClientDisconnected(connection, pending))

    def _read(self, connection: JsonLinesConnection) -> Generator[Wait, int, None]:
        """Handle the client's lines as they come; returns where the connection has closed or cannot be read further.

        A client that sends nothing, or begins a line and never ends it, is timed out, as it occupies a descriptor.
        After a valid line a connection may be idle for any time.
        """
        stream = connection.stream
        reader = connection.reader
        timeout_us: int | None = self.loop.now + FIRST_MESSAGE_TIMEOUT_US
        # The time since which unhandled input may have waited: at first, since before the connection was accepted.
        waiting_since_us: int | None = self.loop.earliest_arrival_us
        while data := (yield from stream.read(timeout_us)):
            was_mid_message = reader.mid_message
            reader.feed(data)
            # Lines beyond one turn's limit wait here, and newer input waits in the system meanwhile. They count as
            # having come when the wait began: a client's remaining time must not be overestimated.
            arrived_us = self.loop.earliest_arrival_us
            if waiting_since_us is not None:
                arrived_us = min(waiting_since_us, arrived_us)
            read_us = self.loop.now
            waiting_since_us = None
            while (count := self._handle_lines(connection, reader, arrived_us)) == MAX_LINES_PER_TURN:
                waiting_since_us = read_us
                pause_us = connection.read_backoff.next_pause_us() if connection.read_backoff else 0
                yield Wait(until=self.loop.now + pause_us)
            if count == CONNECTION_BROKEN:
                stream.flush()
                return
            if connection.has_sent_message and not reader.mid_message:
                timeout_us = None
            elif connection.has_sent_message and (count or not was_mid_message):
                timeout_us = self.loop.now + MESSAGE_TIMEOUT_US

    def _handle_lines(
        self, connection: JsonLinesConnection, reader: jsonl.LineReader, arrived_us: int
    ) -> int:
        """Handle the next complete lines, and return their number, or ``CONNECTION_BROKEN``.

        Requests of a client that has disconnected are owed no answer: they are skipped unparsed, so that a flood of
        short connections with hundreds of requests each does not use up the turns of all others.
        """
        reader.abandoned = connection.stream.peer_closed
        backoff = connection.read_backoff
        for count in range(MAX_LINES_PER_TURN):
            try:
                line = reader.next()
                if line is None:
                    return count
                self._handle_line(connection, line, arrived_us)
                connection.has_sent_message = True
            except WireError as error:
                self._reject_line(connection, error)
                if error.fatal:
                    return CONNECTION_BROKEN
            if not connection.stream.open:
                return CONNECTION_BROKEN
            if backoff is not None and backoff.rejected_count >= MAX_REJECTED_BEFORE_BACKOFF:
                return MAX_LINES_PER_TURN
        return MAX_LINES_PER_TURN

    def _reject_line(self, connection: JsonLinesConnection, error: WireError) -> None:
        """Answer a malformed line; the lines after it are handled unless the framing is lost."""
        self.core.log(4, "bad-line", {"peer": connection.peer, "code": error.code}, str(error))
        uid = jsonl.UNKNOWN_UID if error.uid is None else error.uid
        connection.stream.send(jsonl.encode_line("stop", uid, reason=UNREADABLE))

    def _handle_line(self, connection: JsonLinesConnection, line: jsonl.Line, arrived: int) -> None:
        """Handle one line; raises ``WireError`` where a field of it cannot be used."""
        match line.kind:
            case "launch":
                self._handle_launch(connection, line, arrived)
            case "stop":
                connection.open_requests.discard(line.uid)
                connection.running.discard(line.uid)
                self.core.inbox.append(CancelTask(line.uid))
            case "stopped" if self.core.translator is not None:
                # The system may have accepted a release for a connection that broke before it arrived. A client
                # that acknowledges releases gets the unacknowledged ones on another connection.
                connection.acknowledges_releases = True
                connection.sent_releases.pop(line.uid, None)
            case "check":
                is_serving = int(not self.shutting_down)
                connection.stream.send(jsonl.encode_line("checked", line.uid, reason=is_serving))
            case _:
                pass  # 'stopped' without translation has no meaning, and later kinds are skipped

    def _handle_launch(self, connection: JsonLinesConnection, line: jsonl.Line, arrived_us: int) -> None:
        """Hand a task request to the core, or reject it where admission says so."""
        fields = jsonl.launch_fields(line)
        is_new_task = fields.at is None
        if is_new_task and not connection.is_connected:
            return  # the client disconnected while its line waited, and is owed no answer
        error = self.core.validation_error(fields.task_class, fields.tenant)
        if error is not None:
            raise WireError(error, uid=line.uid)
        if is_new_task:
            if self._reject_by_admission(connection, line.uid):
                return
            connection.open_requests.add(line.uid)
            # Moves the connection behind all others, as the one with the latest request: evicted last.
            self._connections[connection] = self._connections.pop(connection, None)
        self.core.inbox.append(
            TaskRequest(
                client=connection,
                uid=line.uid,
                task_class=fields.task_class,
                tenant=fields.tenant,
                idempotency_key=fields.key,
                # The wait counts from when the client sent the line, which may have come during earlier turns.
                deadline_us=arrived_us + wait_us(fields.left_ms) - DEADLINE_MARGIN_US,
                lifetime_hint_us=lifetime_hint_us(fields.hint_ms),
                service=fields.service,
                cores=fields.cores,
                memory=fields.memory,
                description=line.body or b"",
                running_on=fields.at,
            )
        )

    def _reject_by_admission(self, connection: JsonLinesConnection, uid: int) -> bool:
        """Whether admission rejects one more request of this client; it is answered then."""
        rejection = None
        if self.admission_filter is not None:
            rejection = self.admission_filter.admit_request(connection.stream)
        if rejection is not None:
            connection.send_rejected(uid, *rejection)
            if connection.read_backoff is not None:
                connection.read_backoff.rejected_count += 1
            return True
        if connection.read_backoff is not None:
            connection.read_backoff.record_admission()
        return False
