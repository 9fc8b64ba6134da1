"""The gRPC front: set-ups and verdicts on streams, or one task a call, on the same core and rules.

Both generations are served, on the same connections too; ``fronts.speech`` has their words.
"""

from __future__ import annotations

import socket
from collections.abc import Generator
from typing import TYPE_CHECKING, Any

from google.protobuf.message import Message

from thornshelf.core import (
    AnswerMetadata,
    CancelTask,
    ClientConnected,
    ClientDisconnected,
    Dispatcher,
    TaskRequest,
)
from thornshelf.frontends.grpc_messages import GrpcCodecV1, GrpcCodecV2
from thornshelf.frontends.listener import (
    FIRST_MESSAGE_TIMEOUT_US,
    MESSAGE_TIMEOUT_US,
    ConnectionBudget,
    IdleEvictor,
    Listener,
    is_quiescent,
)
from thornshelf.loop import Loop, Stream, Timer, Wait
from thornshelf.placement.interface import Outcome, Reason
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.wire import grpc, http2
from thornshelf.wire.errors import WireError
from thornshelf.wire.jsonl import MAX_NUMBER

if TYPE_CHECKING:
    from thornshelf.frontends.admission_filter import AdmissionFilter, ReadBackoff

MAX_UNACKNOWLEDGED_RELEASES = 4096  # releases, of a client that says what it has heard
DEADLINE_MARGIN_US = 3_000  # of a client's wait: the answer will be under way
MAX_FRAMES_PER_TURN_REJECTED = 4  # of one whose set-ups are turned away
MAX_FRAMES_PER_TURN = 32  # of one connection
DEADLINE_PROXIMITY_US = (
    20_000  # a task that fails so shortly before its call's end has failed for lack of time
)


def status_trailers(code: int, text: str = "", pushback_ms: int | None = None) -> list[tuple[str, str]]:
    """Trailers."""
    trailers = [("grpc-status", str(code))]
    if text:
        trailers.append(("grpc-message", grpc.encode_text(text)))
    if pushback_ms is not None:
        trailers.append(("grpc-retry-pushback-ms", str(pushback_ms)))
    return trailers


def _checked_number(value: float, name: str) -> float:
    if not 0.0 <= value <= MAX_NUMBER:  # nor is NaN
        raise WireError(f"{name} is not between 0 and {MAX_NUMBER:g}: {value}")
    return value


class Call:
    """One stream of a client; unary calls but for ``Place`` are answered at once."""

    def __init__(
        self, connection: GrpcConnection, stream_id: int, timeout_us: int | None, codec: GrpcCodecV1
    ) -> None:
        self.connection, self.stream_id, self.codec = connection, stream_id, codec
        self.loop = connection.frontend.loop
        self.deadline_us = None if timeout_us is None else self.loop.earliest_arrival_us + timeout_us
        self.timer: Timer | None = None
        if self.deadline_us is not None:
            self.timer = self.loop.at(self.deadline_us, self.on_deadline)
        self.closed = False
        self.request_received = False

    def on_message(self, data: bytes) -> None:
        """One message of the client."""
        raise NotImplementedError

    def on_half_close(self) -> None:
        """The client has sent all it will."""

    def on_deadline(self) -> None:
        """The time of grpc-timeout is up."""
        self.finish(grpc.DEADLINE_EXCEEDED, "the call's time is up")

    def send(self, verdict: Message) -> http2.OutgoingMessage:
        """One message to the client."""
        return self.connection.http.send(self.stream_id, grpc.frame(verdict))

    def finish(self, code: int, text: str = "", pushback_ms: int | None = None) -> None:
        """End the call with a status."""
        if not self.closed:
            self.connection.http.finish(self.stream_id, status_trailers(code, text, pushback_ms))
            self.on_close()

    def on_close(self) -> None:
        """The call is over, by either side."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.connection.calls.pop(self.stream_id, None)


class CheckCall(Call):
    """Whether the dispatcher takes tasks."""

    def __init__(
        self, connection: GrpcConnection, stream_id: int, timeout_us: int | None, codec: GrpcCodecV1
    ) -> None:
        super().__init__(connection, stream_id, timeout_us, codec)
        connection.http.respond(stream_id, [(":status", "200"), ("content-type", "application/grpc")])

    def on_message(self, data: bytes) -> None:
        """Answer at once."""
        grpc.parse(self.codec.check_request_type, data)
        reply = grpc.frame(self.codec.check_reply_type(passed=not self.connection.frontend.shutting_down))
        self.connection.http.send(self.stream_id, reply)
        self.finish(grpc.OK)


class TaskCall(Call):
    """A call that asks for tasks; the core knows it as an ``Owner``."""

    accepts_any_release = True

    @property
    def wire_form(self) -> WireFormat:
        """The generation that it speaks."""
        return self.codec.wire_form

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """The task stands."""
        raise NotImplementedError

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Refused: asking again does no harm."""
        raise NotImplementedError

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Failed: nothing is promised."""
        raise NotImplementedError

    def reject_duplicate(self, uid: int) -> None:
        """Two set-ups under one id: their verdicts could not be told apart, so the call ends."""
        self.finish(grpc.INVALID_ARGUMENT, f"two set-ups under the id {uid:016x}")

    def send_release(
        self, uid: int, outcome: Outcome, reason: Reason, detail: FailureCause | None = None
    ) -> None:
        """A task that stood is over."""
        raise NotImplementedError

    def send_migrate(self, uid: int) -> None:
        """A task that stood is stopped; its client should ask again."""
        raise NotImplementedError

    def task_cancelled(self, uid: int) -> None:
        """The client ended it, here or on another stream."""

    @property
    def is_connected(self) -> bool:
        """Neither the call nor its connection is over, at both sides."""
        return not self.closed and self.connection.stream.open and not self.connection.stream.peer_closed

    @property
    def peer(self) -> str:
        """The client's host."""
        return self.connection.stream.peer

    def awaits_answer(self, uid: int) -> bool:
        """It has neither given the set-up up nor gone, as far as that has been read."""
        return self.is_connected

    def _record_placement(self) -> None:
        """A task was placed for this client: the door knows its source by that."""
        if (gate := self.connection.frontend.admission_filter) is not None:
            gate.record_placement(self.connection.stream)

    def submit(self, request: Any) -> bool:
        """Hand a set-up to the core; false where it was refused at the door."""
        core, gate = self.connection.frontend.core, self.connection.frontend.admission_filter
        if (why := core.validation_error(request.task_class, request.tenant or None)) is not None:
            raise WireError(why, uid=request.uid)
        try:
            left_ms = _checked_number(request.left_ms, "left_ms")
            hint = self.codec.lifetime_hint_ms(request)
            hint_ms = None if hint is None else _checked_number(hint, "hint_ms")
            cores, memory = _checked_number(request.cores, "cores"), _checked_number(request.memory, "memory")
        except WireError as fault:
            raise WireError(str(fault), uid=request.uid) from None
        if (
            gate is not None
            and not request.at
            and (turned := gate.admit_request(self.connection.stream)) is not None
        ):
            self.send_rejected(request.uid, *turned)
            if self.connection.read_backoff is not None:
                self.connection.read_backoff.rejected_count += 1
            return False
        if self.connection.read_backoff is not None:
            self.connection.read_backoff.record_admission()
        if not left_ms:
            left_ms = core.task_classes[request.task_class].deadline_s * 1000.0
        until = self.loop.earliest_arrival_us + int(min(left_ms, 1e9) * 1000)
        if self.deadline_us is not None:
            until = min(until, self.deadline_us)
        core.inbox.append(
            TaskRequest(
                client=self,
                uid=request.uid,
                task_class=request.task_class,
                tenant=request.tenant or None,
                idempotency_key=request.key,
                deadline_us=until - DEADLINE_MARGIN_US,
                lifetime_hint_us=None if hint_ms is None else int(min(hint_ms, 1e12) * 1000),
                service=request.service,
                cores=cores,
                memory=memory,
                description=request.description,
                running_on=request.at or None,
            )
        )
        return True


class DispatchCall(TaskCall):
    """Many tasks on one stream."""

    def __init__(
        self, connection: GrpcConnection, stream_id: int, timeout_us: int | None, codec: GrpcCodecV1
    ) -> None:
        super().__init__(connection, stream_id, timeout_us, codec)
        self.open_requests: set[int] = set()
        self.running: set[int] = set()
        self.sent_releases: dict[int, tuple[http2.OutgoingMessage, Outcome, Reason, FailureCause | None]] = {}
        self.client_half_closed = self.closing_cleanly = self.acknowledges_releases = False
        connection.frontend.core.inbox.append(ClientConnected(self))
        connection.http.respond(stream_id, [(":status", "200"), ("content-type", "application/grpc")])

    def awaits_answer(self, uid: int) -> bool:
        """Of many, each may have been given up."""
        return uid in self.open_requests and self.is_connected

    def on_message(self, data: bytes) -> None:
        """A set-up, or one that is given up."""
        said: Any = grpc.parse(self.codec.client_message_type, data)
        if said.HasField("ask"):
            try:
                taken = self.submit(said.ask)
            except WireError as fault:
                self.connection.frontend.log_invalid_message(self.peer, fault)
                self.send(self.codec.encode_invalid_request(said.ask.uid, str(fault)))
                return
            if taken:
                (self.running if said.ask.at else self.open_requests).add(said.ask.uid)
        elif said.HasField("give_up"):
            self.open_requests.discard(said.give_up)
            self.running.discard(said.give_up)
            self.connection.frontend.core.inbox.append(CancelTask(said.give_up))
            self._finish_if_idle()
        elif self.codec.wire_form is WireFormat.GRPC_V2 and said.HasField("heard"):
            self.acknowledges_releases = True
            self.sent_releases.pop(said.heard, None)

    def on_half_close(self) -> None:
        """The stream lasts until all its tasks are over."""
        self.client_half_closed = True
        self._finish_if_idle()

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """The task stands."""
        self.open_requests.discard(uid)
        self.running.add(uid)
        self.send(self.codec.encode_running(uid, description, metadata))
        self._record_placement()

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Refused."""
        self._send_final(uid, self.codec.encode_rejected(uid, retry_after_us, detail))

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Failed."""
        self._send_final(uid, self.codec.encode_failed(uid, detail))

    def send_release(
        self, uid: int, outcome: Outcome, reason: Reason, detail: FailureCause | None = None
    ) -> None:
        """The task is over."""
        if not self.acknowledges_releases:
            self.sent_releases = {
                key: one for key, one in self.sent_releases.items() if not one[0].fully_sent
            }
        elif len(self.sent_releases) >= MAX_UNACKNOWLEDGED_RELEASES:
            del self.sent_releases[next(iter(self.sent_releases))]
        sent = self._send_final(uid, self.codec.encode_release(uid, outcome, reason, detail))
        self.sent_releases[uid] = (sent, outcome, reason, detail)

    def send_migrate(self, uid: int) -> None:
        """Stopped, to be asked for again."""
        self._send_final(uid, self.codec.encode_migrate(uid))

    def task_cancelled(self, uid: int) -> None:
        """The client ended it, here or on another stream."""
        self.running.discard(uid)
        self._finish_if_idle()

    def finish(self, code: int, text: str = "", pushback_ms: int | None = None) -> None:
        """The end follows what is queued."""
        self.closing_cleanly = True
        super().finish(code, text, pushback_ms)

    def on_close(self) -> None:
        """What is open is given up; what stands goes on."""
        if not self.closed:
            super().on_close()
            # Guards against a release told twice: what an orderly end left in the buffer still goes out.
            kept = self.closing_cleanly and self.connection.stream.open
            releases = {} if kept else self.sent_releases
            unsent = [
                (uid, *one[1:])
                for uid, one in releases.items()
                if self.acknowledges_releases or not one[0].fully_sent
            ]
            self.connection.frontend.core.inbox.append(ClientDisconnected(self, unsent))

    def _send_final(self, uid: int, verdict: Message) -> http2.OutgoingMessage:
        self.open_requests.discard(uid)
        self.running.discard(uid)
        sent = self.send(verdict)
        self._finish_if_idle()
        return sent

    def _finish_if_idle(self) -> None:
        if self.client_half_closed and not self.open_requests and not self.running:
            self.finish(grpc.OK)


class PlaceCall(TaskCall):
    """One task; its release goes to the client's newest stream."""

    accepts_any_release = False

    def on_message(self, data: bytes) -> None:
        """The set-up."""
        if self.request_received:
            self.finish(grpc.INVALID_ARGUMENT, "one message is taken")
            return
        self.request_received = True
        try:
            self.submit(grpc.parse(self.codec.task_request_type, data))
        except WireError as fault:
            if fault.uid is None:
                raise
            self.connection.frontend.log_invalid_message(self.peer, fault)
            self.finish(grpc.INVALID_ARGUMENT, str(fault))

    def on_half_close(self) -> None:
        """A call without a message asks for nothing."""
        if not self.request_received:
            self.finish(grpc.INVALID_ARGUMENT, "no message came")

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """The task stands."""
        self._record_placement()
        self._respond(self.codec.encode_running(uid, description, metadata))

    def _respond(self, verdict: Message) -> None:
        """The verdict as the call's one message."""
        self.connection.http.respond(
            self.stream_id, [(":status", "200"), ("content-type", "application/grpc")]
        )
        self.send(verdict)
        self.finish(grpc.OK)

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Refused: the pushback tells when to come again."""
        if self.codec.outcomes_in_messages:
            self._respond(self.codec.encode_rejected(uid, retry_after_us, detail))
            return
        pushback = max(1, retry_after_us // 1000) if retry_after_us else None
        text = f"refused: {detail.message}" if detail is not None else "refused"
        self.connection.end_early(self, grpc.RESOURCE_EXHAUSTED, text, pushback)

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Failed; the module answers just before the time is up."""
        if self.deadline_us is not None and self.loop.now >= self.deadline_us - DEADLINE_PROXIMITY_US:
            self.on_deadline()
        elif self.codec.outcomes_in_messages:
            self._respond(self.codec.encode_failed(uid, detail))
        else:
            text = f"failed: {detail.message}" if detail is not None else "failed: it may have run"
            self.connection.end_early(self, grpc.ABORTED, text)

    def send_release(
        self, uid: int, outcome: Outcome, reason: Reason, detail: FailureCause | None = None
    ) -> None:
        """Not reached: a call that is over is no owner, and one that is not has no task that stands."""

    def send_migrate(self, uid: int) -> None:
        """Not reached, likewise."""

    def on_deadline(self) -> None:
        """The set-up is given up with the call."""
        self.connection.end_early(self, grpc.DEADLINE_EXCEEDED, "the call's time is up")

    def finish(self, code: int, text: str = "", pushback_ms: int | None = None) -> None:
        """Trailers alone where no headers went out."""
        if code == grpc.OK:
            super().finish(code, text, pushback_ms)
        else:
            self.connection.end_early(self, code, text, pushback_ms)

    def on_close(self) -> None:
        """A set-up that is still open is given up."""
        if not self.closed:
            super().on_close()
            self.connection.frontend.core.inbox.append(ClientDisconnected(self))


_KINDS: dict[str, type[Call]] = {"Dispatch": DispatchCall, "Place": PlaceCall, "Check": CheckCall}
_CALLS = {
    speech.service_path + name: (kind, speech)
    for speech in (GrpcCodecV1(), GrpcCodecV2())
    for name, kind in _KINDS.items()
}


class GrpcConnection:
    """One client connection."""

    def __init__(self, frontend: GrpcFrontend, stream: Stream) -> None:
        self.frontend, self.stream = frontend, stream
        self.http = http2.Http2(False, stream.send)
        self.calls: dict[int, Call] = {}
        self.max_frames = MAX_FRAMES_PER_TURN  # that are looked at in one turn
        self.read_backoff: ReadBackoff | None = (
            frontend.admission_filter.new_read_backoff() if frontend.admission_filter is not None else None
        )
        self.has_served_call = False  # a call has come that is served here
        self.goaway_sent = False

    @property
    def is_idle(self) -> bool:
        """Closing it costs its client no answer."""
        return self.stream.open and not self.calls and (not self.has_served_call or is_quiescent(self.stream))

    @property
    def retention_rank(self) -> int:
        """Least where nothing of use has come."""
        return int(self.has_served_call)

    def handle_event(self, event: http2.Event) -> None:
        """One event of the connection."""
        if isinstance(event, http2.Opened):
            self._open_call(event)
            return
        if isinstance(event, http2.GoAway):
            return  # the client will open no more streams
        call = self.calls.get(event.stream)
        if call is None:
            return
        match event:
            case http2.Received(data=data):
                try:
                    call.on_message(data)
                except WireError as fault:
                    self.frontend.log_invalid_message(self.stream.peer, fault)
                    call.finish(grpc.INTERNAL, str(fault))
            case http2.Ended():
                call.on_half_close()
            case http2.Broken():
                call.on_close()

    def end_early(self, call: Call, code: int, text: str, pushback_ms: int | None = None) -> None:
        """Trailers alone: no message has been sent."""
        if not call.closed:
            self._reject_call(call.stream_id, code, text, pushback_ms)
            call.on_close()

    def close(self) -> None:
        """The connection is over."""
        self.http.close()
        for call in list(self.calls.values()):
            call.on_close()

    def _reject_call(self, stream: int, code: int, text: str, pushback_ms: int | None = None) -> None:
        headers = [(":status", "200"), ("content-type", "application/grpc")]
        self.http.respond(stream, headers + status_trailers(code, text, pushback_ms), end=True)

    def _open_call(self, event: http2.Opened) -> None:
        headers = event.headers
        kind, speech = _CALLS.get(headers.get(":path", ""), (None, None))
        if headers.get(":method") != "POST" or not headers.get("content-type", "").startswith(
            "application/grpc"
        ):
            self.http.respond(event.stream, [(":status", "415")], end=True)
        elif kind is None or speech is None:
            self._reject_call(event.stream, grpc.UNIMPLEMENTED, f"no such method: {headers.get(':path', '')}")
        elif headers.get("grpc-encoding", "identity") != "identity":
            self._reject_call(event.stream, grpc.UNIMPLEMENTED, "messages are taken uncompressed only")
        elif self.frontend.shutting_down:
            self._reject_call(event.stream, grpc.UNAVAILABLE, "the dispatcher is ending")
        else:
            try:
                text = headers.get("grpc-timeout")
                timeout = None if text is None else grpc.read_timeout(text)
            except WireError as fault:
                self._reject_call(event.stream, grpc.INVALID_ARGUMENT, str(fault))
                return
            self.calls[event.stream] = kind(self, event.stream, timeout, speech)
            self.has_served_call = True


class GrpcFrontend:
    """Listens for gRPC clients."""

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
        self._connections: dict[GrpcConnection, None] = {}
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
            lambda _: http2.rejection_frames(),
            inherited,
        )

    def evict_idle(self) -> bool:
        """Close a connection on which nothing is open: one that has asked for nothing yet before others."""
        return self._idle_evictor.evict_one()

    def close_idle(self) -> None:
        """GOAWAY once everywhere; streams without an open set-up end, and connections without a stream are closed."""
        self.shutting_down = True
        for session in list(self._connections):
            if not session.goaway_sent:
                session.goaway_sent = True
                session.http.go_away()
            for call in list(session.calls.values()):
                if isinstance(call, DispatchCall) and not call.open_requests:
                    call.finish(grpc.UNAVAILABLE, "the dispatcher is ending")
            if not (
                session.calls
                or session.http.mid_message
                or session.http.has_buffered_frame
                or session.stream.has_unread_input
            ):
                session.stream.end()

    def log_invalid_message(self, peer: str, fault: WireError) -> None:
        """One log line for bad input."""
        self.core.log(4, "bad-message", {"peer": peer, "code": fault.code}, str(fault))

    def _serve(self, stream: Stream) -> Generator[Wait, int, None]:
        session = GrpcConnection(self, stream)
        until: int | None = self.loop.now + FIRST_MESSAGE_TIMEOUT_US
        self._connections[session] = None
        try:
            while data := (yield from stream.read(until)):
                began, events = session.http.mid_message, session.http.receive(data, session.max_frames)
                whole = bool(events)
                while events or session.http.has_buffered_frame:
                    for event in events:
                        session.handle_event(event)
                    # What the door turns away is read more slowly, as on the platform's front.
                    pause = session.read_backoff.next_pause_us() if session.read_backoff is not None else 0
                    session.max_frames = MAX_FRAMES_PER_TURN_REJECTED if pause else MAX_FRAMES_PER_TURN
                    if session.http.has_buffered_frame or pause:
                        yield Wait(until=self.loop.now + pause)
                    events = session.http.receive(b"", session.max_frames)
                # The platform's front says why: nothing asked for, or a frame or message that never ends.
                if session.has_served_call and not session.http.mid_message:
                    until = None
                elif session.has_served_call and (whole or not began):
                    until = self.loop.now + MESSAGE_TIMEOUT_US
        except WireError as fault:
            self.log_invalid_message(stream.peer, fault)
            stream.flush()  # the GOAWAY that says why
        finally:
            del self._connections[session]
            session.close()
