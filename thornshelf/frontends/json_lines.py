"""The JSON lines frontend: accepts client connections, and handles their lines."""

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
    Release,
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
from thornshelf.placement import Outcome
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.wire import jsonl
from thornshelf.wire.errors import WireError
from thornshelf.wire.jsonl import CANCELLED, ENDED, FAILED, REFUSED, UNREADABLE

if TYPE_CHECKING:
    from thornshelf.admission.controller import Decision
    from thornshelf.frontends.admission_filter import AdmissionFilter, ReadBackoff

# For a client that does not acknowledge releases: beyond it, those that were fully sent are forgotten.
MAX_REMEMBERED_RELEASES = 32
MAX_REJECTED_BEFORE_BACKOFF = 4  # requests that admission rejects before reading the connection pauses
# Of one connection, so that a flood leaves time for other connections, nodes and timers.
MAX_LINES_PER_TURN = 32
CONNECTION_BROKEN = -1  # returned instead of a number of lines: the connection can't be read any further
_RELEASE_CODES = {Outcome.OK: ENDED, Outcome.CANCELLED: CANCELLED}  # any other outcome: FAILED


def _cause_fields(cause: FailureCause | None) -> dict[str, str]:
    """Return the metadata field with the message of a cause; the line has no code for most causes."""
    return {} if cause is None else {"why": cause.message}


class JsonLinesConnection:
    """One client connection; implements the core's ``ClientConnection``."""

    accepts_any_release = True
    wire_format = WireFormat.JSON_LINES

    def __init__(self, frontend: JsonLinesFrontend, stream: Stream) -> None:
        self.frontend = frontend
        self.stream = stream
        self.open_requests: set[int] = set()
        self.running: set[int] = set()
        self.has_sent_message = False  # whether a complete and valid line has been received
        self.read_backoff: ReadBackoff | None = (
            frontend.admission_filter.new_read_backoff() if frontend.admission_filter is not None else None
        )
        self.acknowledges_releases = False  # whether the client has acknowledged a release
        self.sent_releases: dict[int, SentRelease] = {}
        self.reader = jsonl.LineReader()

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open as far as this side knows."""
        return self.stream.open and not self.stream.peer_closed

    def awaits_answer(self, uid: int) -> bool:
        """Return whether the request is open: neither answered nor cancelled, on a connection that is open."""
        return uid in self.open_requests and self.is_connected

    @property
    def is_idle(self) -> bool:
        """Whether the connection can be closed without losing an answer to the client."""
        is_inactive = not self.has_sent_message or (is_quiescent(self.stream) and not self.reader.mid_message)
        return self.stream.open and not self.open_requests and is_inactive

    @property
    def retention_rank(self) -> int:
        """Of idle connections, those of the lowest rank are evicted first.

        Connections without a valid line rank lowest, followed by those without running tasks.
        """
        return 2 * self.has_sent_message + bool(self.running)

    @property
    def peer(self) -> str:
        """The address of the client's host."""
        return self.stream.peer

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """Report that the task runs, with the lifetime hint if it was assumed."""
        self.open_requests.discard(uid)
        self.running.add(uid)
        meta: dict[str, str] | None = None
        if metadata is not None and metadata.assumed_hint is not None:
            meta = {"hint": f"{metadata.assumed_hint.duration_us / 1000:g}", "assumed": "hint"}
        self.stream.send(jsonl.encode_line("running", uid, meta, body=description))
        if self.frontend.admission_filter is not None:
            self.frontend.admission_filter.record_placement(self.stream)

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Report that the task did not run; ``retry_after_us``: how long to wait before a retry."""
        self.open_requests.discard(uid)
        meta = {"wait": str(max(1, retry_after_us // 1000))} if retry_after_us else {}
        self.stream.send(jsonl.encode_line("stop", uid, meta | _cause_fields(detail), REFUSED))

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Report that the task failed and may have run."""
        self.open_requests.discard(uid)
        self.stream.send(jsonl.encode_line("stop", uid, _cause_fields(detail), FAILED))

    def reject_duplicate(self, uid: int) -> None:
        """Close the connection, as the client could not distinguish the answers to two requests with one id."""
        self.stream.close()

    def send_release(self, release: Release) -> None:
        """Report that a running task has ended."""
        uid = release.uid
        self.running.discard(uid)
        code = _RELEASE_CODES.get(release.outcome, FAILED)
        line = jsonl.encode_line("stop", uid, _cause_fields(release.detail), code)
        if len(self.sent_releases) >= MAX_UNACKNOWLEDGED_RELEASES:
            discard_oldest(self.sent_releases)
        elif len(self.sent_releases) >= MAX_REMEMBERED_RELEASES and not self.acknowledges_releases:
            self.sent_releases = not_fully_sent(self.sent_releases)
        self.sent_releases[uid] = SentRelease(self.stream.send(line), release)

    def send_migrate(self, uid: int) -> None:
        """Report that a running task was stopped and should be requested again."""
        self.running.discard(uid)
        self.stream.send(jsonl.encode_line("migrate", uid))

    def task_cancelled(self, uid: int) -> None:
        """Forget a running task that the client ended, on this connection or on another."""
        self.running.discard(uid)


class JsonLinesFrontend:
    """Listens for clients that use JSON lines."""

    def __init__(
        self,
        loop: Loop,
        core: Dispatcher,
        address: tuple[str, int],
        budget: ConnectionBudget,
        admission_filter: AdmissionFilter | None = None,
        inherited: socket.socket | None = None,
    ) -> None:
        """Listen on ``address``, or on the socket ``inherited`` from a predecessor.

        Raises ``OSError`` if the address can't be bound.
        """
        self.loop = loop
        self.core = core
        self.admission_filter = admission_filter
        self.shutting_down = False
        self._connections: dict[JsonLinesConnection, None] = {}  # least recent request first
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
        """Encode the rejection of a connection: the rejection of a task of unknown id."""
        meta = {"wait": str(max(1, decision.retry_after_us // 1000)), "why": f"overloaded: {decision.reason}"}
        return jsonl.encode_line("stop", jsonl.UNKNOWN_UID, meta, REFUSED)

    def evict_idle(self) -> bool:
        """Close one idle connection; returns false if there is none.

        Connections without a valid line are closed first, then those without running tasks, so that clients which
        only open connections can't displace others. Among equals, the one with the least recent request is closed.
        """
        return self._idle_evictor.evict_one()

    def close_idle(self) -> None:
        """Close the connections that have neither an open request nor unread input.

        Called repeatedly during a shutdown or a restart until no connection is left.
        """
        for connection in list(self._connections):
            if not (
                connection.open_requests
                or connection.reader.mid_message
                or connection.stream.has_unread_input
            ):
                connection.stream.end()

    def _serve(self, stream: Stream) -> Generator[Wait, int, None]:
        """Serve a connection until it closes."""
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
        """Handle the client's lines until the connection closes or can't be read any further.

        A client that sends nothing, or does not complete a line in time, is disconnected. A connection on which a
        valid line was received may be idle for any time.
        """
        stream = connection.stream
        reader = connection.reader
        timeout_us: int | None = self.loop.now + FIRST_MESSAGE_TIMEOUT_US
        # Since when unhandled input may have waited; the first input may have arrived before the accept.
        waiting_since_us: int | None = self.loop.earliest_arrival_us
        while data := (yield from stream.read(timeout_us)):
            was_mid_message = reader.mid_message
            reader.feed(data)
            # Lines beyond the limit of a turn wait in the reader, and newer input waits in the socket meanwhile. That
            # input counts as received when the wait began, so that no request's remaining time is overestimated.
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
        """Handle complete lines, at most ``MAX_LINES_PER_TURN``; returns their number, or ``CONNECTION_BROKEN``.

        Returns ``MAX_LINES_PER_TURN`` also if admission has rejected enough requests that reading should pause, and
        if too many requests wait for the core.
        Requests of a client that has disconnected need no answer: they are skipped without being decoded, so that a
        flood of short connections with many requests each does not occupy the turns.
        """
        reader.client_disconnected = connection.stream.peer_closed
        backoff = connection.read_backoff
        for count in range(MAX_LINES_PER_TURN):
            if self.core.has_inbox_backlog:
                return MAX_LINES_PER_TURN
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
        """Answer a malformed line. The following lines are handled unless the error is fatal."""
        self.core.log(4, "bad-line", {"peer": connection.peer, "code": error.code}, str(error))
        uid = jsonl.UNKNOWN_UID if error.uid is None else error.uid
        connection.stream.send(jsonl.encode_line("stop", uid, reason=UNREADABLE))

    def _handle_line(self, connection: JsonLinesConnection, line: jsonl.Line, arrived_us: int) -> None:
        """Handle one line; raises ``WireError`` if a field of it is invalid."""
        match line.kind:
            case "launch":
                self._handle_launch(connection, line, arrived_us)
            case "stop":
                connection.open_requests.discard(line.uid)
                connection.running.discard(line.uid)
                self.core.inbox.append(CancelTask(line.uid))
            case "stopped" if self.core.translator is not None:
                # A release that the operating system accepted may be lost if the connection breaks. A client that
                # acknowledges releases is sent the unacknowledged ones again on another connection.
                connection.acknowledges_releases = True
                connection.sent_releases.pop(line.uid, None)
            case "check":
                is_serving = int(not self.shutting_down)
                connection.stream.send(jsonl.encode_line("checked", line.uid, reason=is_serving))
            case _:
                pass  # 'stopped' has no meaning without translation; unknown kinds are ignored

    def _handle_launch(self, connection: JsonLinesConnection, line: jsonl.Line, arrived_us: int) -> None:
        """Pass a task request to the core unless admission rejects it; raises ``WireError`` if a field is invalid."""
        fields = jsonl.launch_fields(line)
        is_new_task = fields.at is None
        if is_new_task and not connection.is_connected:
            return  # the client disconnected while its line waited: no answer is needed
        error = self.core.validation_error(fields.task_class, fields.tenant, fields.at)
        if error is not None:
            raise WireError(error, uid=line.uid)
        if is_new_task:
            if self._reject_by_admission(connection, line.uid):
                return
            connection.open_requests.add(line.uid)
            # Moves the connection to the end, as the one with the most recent request, to be evicted last.
            self._connections[connection] = self._connections.pop(connection, None)
        self.core.inbox.append(
            TaskRequest(
                client=connection,
                uid=line.uid,
                task_class=fields.task_class,
                tenant=fields.tenant,
                idempotency_key=fields.key,
                # The client's wait began when it sent the line, which may have arrived before this turn.
                deadline_us=arrived_us + wait_us(fields.left_ms) - DEADLINE_MARGIN_US,
                lifetime_hint_us=lifetime_hint_us(fields.hint_ms),
                service=fields.service,
                cores=fields.cores,
                memory=fields.memory,
                description=line.body or b"",
                running_on=fields.at,
                deduplication_key=fields.idem,
            )
        )

    def _reject_by_admission(self, connection: JsonLinesConnection, uid: int) -> bool:
        """Return whether admission rejects another request of this client; answers it if so."""
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
