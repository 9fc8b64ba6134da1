"""The platform's front: owners' JSON lines."""

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
from thornshelf.frontends.listener import (
    FIRST_MESSAGE_TIMEOUT_US,
    MESSAGE_TIMEOUT_US,
    ConnectionBudget,
    IdleEvictor,
    Listener,
    is_quiescent,
)
from thornshelf.loop import Chunk, Loop, Stream, Wait
from thornshelf.placement.interface import Outcome, Reason
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.wire import jsonl
from thornshelf.wire.errors import WireError
from thornshelf.wire.jsonl import CANCELLED, ENDED, FAILED, REFUSED, UNREADABLE

_RELEASED = {Outcome.OK: ENDED, Outcome.CANCELLED: CANCELLED}  # any other end: 41
if TYPE_CHECKING:
    from thornshelf.admission.controller import Decision
    from thornshelf.frontends.admission_filter import AdmissionFilter, ReadBackoff

MAX_REMEMBERED_RELEASES = 32  # releases, before those that have left are forgotten
MAX_UNACKNOWLEDGED_RELEASES = 4096  # of a client that says what it has heard
DEADLINE_MARGIN_US = 3_000  # of an owner's wait: its line was under way, and the answer will be
MAX_REJECTED_BEFORE_BACKOFF = (
    4  # set-ups that the door turns away before the connection is left alone for a while
)
MAX_LINES_PER_TURN = 32  # of one connection, so that a flood leaves time for the others, nodes and timers


def _cause_fields(why: FailureCause | None) -> dict[str, str]:
    """The old form's answer has no word for most troubles; this is its room for their text."""
    return {} if why is None else {"why": why.message}


class JsonLinesConnection:
    """One owner connection; the core knows it as an ``Owner``."""

    accepts_any_release = True
    wire_form = WireFormat.JSON_LINES

    def __init__(self, frontend: JsonLinesFrontend, stream: Stream) -> None:
        self.frontend, self.stream = frontend, stream
        self.open_requests: set[int] = set()
        self.running: set[int] = set()
        self.has_sent_message = False  # it has sent a whole message that could be used
        self.read_backoff: ReadBackoff | None = (
            frontend.admission_filter.new_read_backoff() if frontend.admission_filter is not None else None
        )
        self.acknowledges_releases = False  # it says which releases it has heard
        self.sent_releases: dict[int, tuple[Chunk, Outcome, Reason, FailureCause | None]] = {}
        self.reader = jsonl.LineReader()

    @property
    def is_connected(self) -> bool:
        """Its connection is open, at both sides."""
        return self.stream.open and not self.stream.peer_closed

    def awaits_answer(self, uid: int) -> bool:
        """It has neither given the set-up up nor gone, as far as that has been read."""
        return uid in self.open_requests and self.is_connected

    @property
    def is_idle(self) -> bool:
        """Closing it costs its client no answer."""
        at_rest = not self.has_sent_message or (is_quiescent(self.stream) and not self.reader.mid_message)
        return self.stream.open and not self.open_requests and at_rest

    @property
    def retention_rank(self) -> int:
        """Least where nothing of use has come, more where a task stands."""
        return 2 * self.has_sent_message + bool(self.running)

    @property
    def peer(self) -> str:
        """The client's host."""
        return self.stream.peer

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """The task stands; what was assumed for it is told beside the description."""
        self.open_requests.discard(uid)
        self.running.add(uid)
        meta: dict[str, str] | None = None
        if metadata is not None and metadata.assumed_hint is not None:
            meta = {"hint": f"{metadata.assumed_hint.duration_us / 1000:g}", "assumed": "hint"}
        self.stream.send(jsonl.encode_line("running", uid, meta, body=description))
        if self.frontend.admission_filter is not None:
            self.frontend.admission_filter.record_placement(self.stream)

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Refused; with the time to stay away, where the module gives one."""
        self.open_requests.discard(uid)
        meta = {"wait": str(max(1, retry_after_us // 1000))} if retry_after_us else {}
        self.stream.send(jsonl.encode_line("stop", uid, meta | _cause_fields(detail), REFUSED))

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Failed."""
        self.open_requests.discard(uid)
        self.stream.send(jsonl.encode_line("stop", uid, _cause_fields(detail), FAILED))

    def reject_duplicate(self, uid: int) -> None:
        """Two set-ups under one id: their answers could not be told apart, so the connection ends."""
        self.stream.close()

    def send_release(
        self, uid: int, outcome: Outcome, reason: Reason, detail: FailureCause | None = None
    ) -> None:
        """The task is over."""
        self.running.discard(uid)
        line = jsonl.encode_line("stop", uid, _cause_fields(detail), _RELEASED.get(outcome, FAILED))
        if len(self.sent_releases) >= MAX_UNACKNOWLEDGED_RELEASES:
            del self.sent_releases[next(iter(self.sent_releases))]
        elif len(self.sent_releases) >= MAX_REMEMBERED_RELEASES and not self.acknowledges_releases:
            self.sent_releases = {
                key: one for key, one in self.sent_releases.items() if not one[0].fully_sent
            }
        self.sent_releases[uid] = (self.stream.send(line), outcome, reason, detail)

    def send_migrate(self, uid: int) -> None:
        """The task is stopped, to be asked for again."""
        self.running.discard(uid)
        self.stream.send(jsonl.encode_line("migrate", uid))

    def task_cancelled(self, uid: int) -> None:
        """The client ended it, here or on another connection."""
        self.running.discard(uid)


class JsonLinesFrontend:
    """Listens for owners."""

    def __init__(
        self,
        loop: Loop,
        core: Dispatcher,
        address: tuple[str, int],
        budget: ConnectionBudget,
        admission_filter: AdmissionFilter | None = None,
        inherited: socket.socket | None = None,
    ) -> None:
        self.loop, self.core, self.admission_filter = loop, core, admission_filter
        self.shutting_down = False
        self._connections: dict[JsonLinesConnection, None] = {}
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

    def _rejection_message(self, verdict: Decision) -> bytes:
        """What one hears that is turned away at the door: a refusal under no task's name."""
        meta = {"wait": str(max(1, verdict.retry_after_us // 1000)), "why": f"overloaded: {verdict.reason}"}
        return jsonl.encode_line("stop", jsonl.UNKNOWN_UID, meta, REFUSED)

    def evict_idle(self) -> bool:
        """Close one without an open set-up: what has said nothing yet, then what holds no task, then others.

        Guards against clients that open many connections and say nothing: they must not cost the usual ones
        theirs. Of equals the one goes that has been without an open set-up for the longest time.
        """
        return self._idle_evictor.evict_one()

    def close_idle(self) -> None:
        """The end is near: close what has no open set-up, and of which all is read."""
        for connection in list(self._connections):
            if not (
                connection.open_requests
                or connection.reader.mid_message
                or connection.stream.has_unread_input
            ):
                connection.stream.end()

    def _serve(self, stream: Stream) -> Generator[Wait, int, None]:
        connection = JsonLinesConnection(self, stream)
        self._connections[connection] = None
        self.core.inbox.append(ClientConnected(connection))
        reader = connection.reader
        until: int | None = self.loop.now + FIRST_MESSAGE_TIMEOUT_US
        busy_since: int | None = self.loop.earliest_arrival_us  # it may have spoken before it was accepted
        try:
            while data := (yield from stream.read(until)):
                # Guards against those that say nothing, or begin a message and never end it: they hold one of
                # few descriptors. Where nothing has begun, a connection that was of use may be idle for good.
                began = reader.mid_message
                reader.feed(data)
                # Guards against lines that seem younger than they are: those beyond one turn's wait here, and
                # what comes meanwhile waits in the system.
                arrived = (
                    self.loop.earliest_arrival_us
                    if busy_since is None
                    else min(busy_since, self.loop.earliest_arrival_us)
                )
                read_us, busy_since = self.loop.now, None
                while (count := self._handle_lines(connection, reader, arrived)) == MAX_LINES_PER_TURN:
                    busy_since = read_us
                    yield Wait(
                        until=self.loop.now
                        + (connection.read_backoff.next_pause_us() if connection.read_backoff else 0)
                    )
                if count < 0:
                    stream.flush()
                    return
                if connection.has_sent_message and not reader.mid_message:
                    until = None
                elif connection.has_sent_message and (count or not began):
                    until = self.loop.now + MESSAGE_TIMEOUT_US
        finally:
            del self._connections[connection]
            unsent = [
                (uid, outcome, reason, why)
                for uid, (chunk, outcome, reason, why) in connection.sent_releases.items()
                if connection.acknowledges_releases or not chunk.fully_sent
            ]
            self.core.inbox.append(ClientDisconnected(connection, unsent))

    def _handle_lines(self, connection: JsonLinesConnection, reader: jsonl.LineReader, arrived: int) -> int:
        """The next whole lines, and their number; below 0 where the connection can't go on.

        Guards against a flood that closes each connection after hundreds of set-ups: what is left of them is owed
        nothing, and parsing it would cost the turns of all others.
        """
        reader.abandoned = connection.stream.peer_closed
        for count in range(MAX_LINES_PER_TURN):
            try:
                line = reader.next()
                if line is None:
                    return count
                self._handle_line(connection, line, arrived)
                connection.has_sent_message = True
            except WireError as fault:
                # Bad input costs its message, or where the framing is lost its connection, and nothing else.
                self.core.log(4, "bad-line", {"peer": connection.peer, "code": fault.code}, str(fault))
                uid = jsonl.UNKNOWN_UID if fault.uid is None else fault.uid
                connection.stream.send(jsonl.encode_line("stop", uid, reason=UNREADABLE))
                if fault.fatal:
                    return -1
            if not connection.stream.open:
                return -1
            if (
                connection.read_backoff is not None
                and connection.read_backoff.rejected_count >= MAX_REJECTED_BEFORE_BACKOFF
            ):
                return MAX_LINES_PER_TURN
        return MAX_LINES_PER_TURN

    def _handle_line(self, connection: JsonLinesConnection, line: jsonl.Line, arrived: int) -> None:
        match line.kind:
            case "launch":
                self._handle_launch(connection, line, arrived)
            case "stop":
                connection.open_requests.discard(line.uid)
                connection.running.discard(line.uid)
                self.core.inbox.append(CancelTask(line.uid))
            case "stopped" if self.core.translator is not None:
                # Guards against a release that the system took for a connection which then broke: a client that
                # says what it has heard is told the rest on another.
                connection.acknowledges_releases = True
                connection.sent_releases.pop(line.uid, None)
            case "check":
                connection.stream.send(
                    jsonl.encode_line("checked", line.uid, reason=int(not self.shutting_down))
                )
            case _:
                pass  # 'stopped' and the like mean nothing; later kinds are skipped

    def _handle_launch(self, connection: JsonLinesConnection, line: jsonl.Line, arrived: int) -> None:
        fields = jsonl.launch_fields(line)
        if fields.at is None and not connection.is_connected:
            return  # it went while its line waited to be read, and no answer is owed
        if (why := self.core.validation_error(fields.task_class, fields.tenant)) is not None:
            raise WireError(why, uid=line.uid)
        if fields.at is None:
            if (
                self.admission_filter is not None
                and (turned := self.admission_filter.admit_request(connection.stream)) is not None
            ):
                connection.send_rejected(line.uid, *turned)
                if connection.read_backoff is not None:
                    connection.read_backoff.rejected_count += 1
                return
            if connection.read_backoff is not None:
                connection.read_backoff.record_admission()
            connection.open_requests.add(line.uid)
            # Keep the order of connections by their last set-up: the first is the one to close.
            self._connections[connection] = self._connections.pop(connection, None)
        # 'left' runs from the client's sending: the line may have come while earlier turns were at work.
        self.core.inbox.append(
            TaskRequest(
                client=connection,
                uid=line.uid,
                task_class=fields.task_class,
                tenant=fields.tenant,
                idempotency_key=fields.key,
                deadline_us=arrived + int(min(fields.left_ms, 1e9) * 1000) - DEADLINE_MARGIN_US,
                lifetime_hint_us=None if fields.hint_ms is None else int(min(fields.hint_ms, 1e12) * 1000),
                service=fields.service,
                cores=fields.cores,
                memory=fields.memory,
                description=line.body or b"",
                running_on=fields.at,
            )
        )
