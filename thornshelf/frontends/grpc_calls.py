"""Calls of gRPC clients, each on one HTTP/2 stream, in either generation of the protocol.

This module has ``Check``, ``Place`` and the base classes of calls; the streaming call is in ``grpc_streams``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from google.protobuf.message import Message

from thornshelf.core import AnswerMetadata, ClientDisconnected, Release, TaskRequest
from thornshelf.frontends.grpc_messages import GrpcCodecV1
from thornshelf.frontends.request_times import DEADLINE_MARGIN_US, lifetime_hint_us, wait_us
from thornshelf.loop import Timer
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.wire import grpc, http2
from thornshelf.wire.errors import WireError
from thornshelf.wire.jsonl import MAX_NUMBER

if TYPE_CHECKING:
    from thornshelf.frontends.grpc_ports import GrpcConnectionInterface

DEADLINE_PROXIMITY_US = 20_000  # a failure this close to the deadline is reported as DEADLINE_EXCEEDED
RESPONSE_HEADERS = [(":status", "200"), ("content-type", "application/grpc")]


def status_trailers(code: int, text: str = "", pushback_ms: int | None = None) -> list[tuple[str, str]]:
    """Return the trailers that end a call; ``pushback_ms``: how long the client should wait before a retry."""
    trailers = [("grpc-status", str(code))]
    if text:
        trailers.append(("grpc-message", grpc.encode_status_message(text)))
    if pushback_ms is not None:
        trailers.append(("grpc-retry-pushback-ms", str(pushback_ms)))
    return trailers


def _checked_number(value: float, name: str) -> float:
    """Return the value; raises ``WireError`` if it is negative, too large or NaN."""
    if not 0.0 <= value <= MAX_NUMBER:  # a NaN fails the comparison
        raise WireError(f"{name} is not between 0 and {MAX_NUMBER:g}: {value}")
    return value


class _RequestNumbers(NamedTuple):
    """The validated numbers of a task request."""

    wait_ms: float  # 0 means the default of the task's class
    hint_ms: float | None
    cores: float
    memory: float


class Call:
    """One call of a client."""

    def __init__(
        self, connection: GrpcConnectionInterface, stream_id: int, timeout_us: int | None, codec: GrpcCodecV1
    ) -> None:
        """``timeout_us``: the value of grpc-timeout; None if the client set none."""
        self.connection = connection
        self.stream_id = stream_id
        self.codec = codec
        self.loop = connection.frontend.loop
        self.deadline_us = None if timeout_us is None else self.loop.earliest_arrival_us + timeout_us
        self.timer: Timer | None = None
        if self.deadline_us is not None:
            self.timer = self.loop.call_at(self.deadline_us, self.on_deadline)
        self.closed = False
        self.request_received = False

    def on_message(self, data: bytes) -> None:
        """Handle one message of the client; raises ``WireError`` if it is malformed."""
        raise NotImplementedError

    def on_half_close(self) -> None:
        """Handle that the client will send no further messages."""

    def on_deadline(self) -> None:
        """End the call, as its timeout has expired."""
        self.finish(grpc.DEADLINE_EXCEEDED, "the call's time is up")

    def send(self, message: Message) -> http2.OutgoingMessage:
        """Send one message to the client."""
        return self.connection.http.send(self.stream_id, grpc.encode_message(message))

    def finish(self, code: int, text: str = "", pushback_ms: int | None = None) -> None:
        """End the call with a status; does nothing if it has ended already."""
        if not self.closed:
            self.connection.http.finish(self.stream_id, status_trailers(code, text, pushback_ms))
            self.on_close()

    def on_close(self) -> None:
        """Remove the call, which either side has ended."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.connection.calls.pop(self.stream_id, None)


class CheckCall(Call):
    """The health check: reports whether the dispatcher accepts tasks."""

    def __init__(
        self, connection: GrpcConnectionInterface, stream_id: int, timeout_us: int | None, codec: GrpcCodecV1
    ) -> None:
        super().__init__(connection, stream_id, timeout_us, codec)
        connection.http.respond(stream_id, RESPONSE_HEADERS)

    def on_message(self, data: bytes) -> None:
        """Answer the health check."""
        grpc.decode_message(self.codec.check_request_type, data)
        reply = self.codec.check_reply_type(passed=not self.connection.frontend.shutting_down)
        self.send(reply)
        self.finish(grpc.OK)


class TaskCall(Call):
    """A call that requests tasks; implements the core's ``ClientConnection``."""

    accepts_any_release = True

    @property
    def wire_format(self) -> WireFormat:
        """The protocol generation of the call."""
        return self.codec.wire_format

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """Report that the task runs."""
        raise NotImplementedError

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Report that the task did not run; ``retry_after_us``: how long to wait before a retry."""
        raise NotImplementedError

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Report that the task failed and may have run."""
        raise NotImplementedError

    def reject_duplicate(self, uid: int) -> None:
        """End the call, as the client could not distinguish the answers to two requests with one id."""
        self.finish(grpc.INVALID_ARGUMENT, f"two set-ups under the id {uid:016x}")

    def send_release(self, release: Release) -> None:
        """Report that a running task has ended."""
        raise NotImplementedError

    def send_migrate(self, uid: int) -> None:
        """Report that a running task was stopped and should be requested again."""
        raise NotImplementedError

    def task_cancelled(self, uid: int) -> None:
        """Forget a running task that the client ended, on this stream or on another."""

    @property
    def is_connected(self) -> bool:
        """Whether the call and its connection are open as far as this side knows."""
        return not self.closed and self.connection.stream.open and not self.connection.stream.peer_closed

    @property
    def peer(self) -> str:
        """The address of the client's host."""
        return self.connection.stream.peer

    def awaits_answer(self, uid: int) -> bool:
        """Return whether the client still waits for the answer to a request."""
        return self.is_connected

    def _record_placement(self) -> None:
        """Count a placed task towards the reputation of the client's source."""
        admission_filter = self.connection.frontend.admission_filter
        if admission_filter is not None:
            admission_filter.record_placement(self.connection.stream)

    def submit(self, request: Any) -> bool:
        """Pass a task request to the core; returns false if admission has rejected it.

        Raises ``WireError`` with the request's id if a field of it is invalid.
        """
        numbers = self._check_request(request)
        if not request.at and self._reject_by_admission(request.uid):
            return False
        if self.connection.read_backoff is not None:
            self.connection.read_backoff.record_admission()
        self.connection.frontend.core.inbox.append(
            TaskRequest(
                client=self,
                uid=request.uid,
                task_class=request.task_class,
                tenant=request.tenant or None,
                idempotency_key=request.key,
                deadline_us=self._request_deadline_us(request.task_class, numbers.wait_ms),
                lifetime_hint_us=lifetime_hint_us(numbers.hint_ms),
                service=request.service,
                cores=numbers.cores,
                memory=numbers.memory,
                description=request.description,
                running_on=request.at or None,
            )
        )
        return True

    def _check_request(self, request: Any) -> _RequestNumbers:
        """Validate a request, and return its numbers; raises ``WireError`` with its id if a field is invalid."""
        error = self.connection.frontend.core.validation_error(
            request.task_class, request.tenant or None, request.at or None
        )
        if error is not None:
            raise WireError(error, uid=request.uid)
        try:
            wait_ms = _checked_number(request.left_ms, "left_ms")
            hint_ms = self.codec.lifetime_hint_ms(request)
            if hint_ms is not None:
                hint_ms = _checked_number(hint_ms, "hint_ms")
            cores = _checked_number(request.cores, "cores")
            memory = _checked_number(request.memory, "memory")
        except WireError as field_error:
            raise WireError(str(field_error), uid=request.uid) from None
        return _RequestNumbers(wait_ms, hint_ms, cores, memory)

    def _reject_by_admission(self, uid: int) -> bool:
        """Return whether admission rejects another request of this client; answers it if so."""
        admission_filter = self.connection.frontend.admission_filter
        if admission_filter is None:
            return False
        rejection = admission_filter.admit_request(self.connection.stream)
        if rejection is None:
            return False
        self.send_rejected(uid, *rejection)
        if self.connection.read_backoff is not None:
            self.connection.read_backoff.rejected_count += 1
        return True

    def _request_deadline_us(self, task_class: str, wait_ms: float) -> int:
        """Return the time on the loop's clock by which the request has to be answered."""
        if not wait_ms:
            wait_ms = self.connection.frontend.core.task_classes[task_class].deadline_s * 1000.0
        deadline_us = self.loop.earliest_arrival_us + wait_us(wait_ms)
        if self.deadline_us is not None:
            deadline_us = min(deadline_us, self.deadline_us)
        return deadline_us - DEADLINE_MARGIN_US


class PlaceCall(TaskCall):
    """A call for one task with one answer; the release is sent on the client's newest ``Dispatch`` stream."""

    accepts_any_release = False

    def on_message(self, data: bytes) -> None:
        """Submit the request, which is the call's only message."""
        if self.request_received:
            self.finish(grpc.INVALID_ARGUMENT, "one message is taken")
            return
        self.request_received = True
        try:
            self.submit(grpc.decode_message(self.codec.task_request_type, data))
        except WireError as error:
            if error.uid is None:
                raise
            self.connection.frontend.log_invalid_message(self.peer, error)
            self.finish(grpc.INVALID_ARGUMENT, str(error))

    def on_half_close(self) -> None:
        """End a call without a request."""
        if not self.request_received:
            self.finish(grpc.INVALID_ARGUMENT, "no message came")

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """Report that the task runs."""
        self._record_placement()
        self._respond(self.codec.encode_running(uid, description, metadata))

    def _respond(self, message: Message) -> None:
        """Send the call's one message, and end it."""
        self.connection.http.respond(self.stream_id, RESPONSE_HEADERS)
        self.send(message)
        self.finish(grpc.OK)

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Report that the task did not run; v1 reports it by a status with a pushback."""
        if self.codec.outcomes_in_messages:
            self._respond(self.codec.encode_rejected(uid, retry_after_us, detail))
            return
        pushback_ms = max(1, retry_after_us // 1000) if retry_after_us else None
        text = f"refused: {detail.message}" if detail is not None else "refused"
        self.connection.end_early(self, grpc.RESOURCE_EXHAUSTED, text, pushback_ms)

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Report that the task failed; close to the deadline the status is DEADLINE_EXCEEDED."""
        if self.deadline_us is not None and self.loop.now >= self.deadline_us - DEADLINE_PROXIMITY_US:
            self.on_deadline()
        elif self.codec.outcomes_in_messages:
            self._respond(self.codec.encode_failed(uid, detail))
        else:
            text = f"failed: {detail.message}" if detail is not None else "failed: it may have run"
            self.connection.end_early(self, grpc.ABORTED, text)

    def send_release(self, release: Release) -> None:
        """Do nothing, as the call ends with its answer; releases are sent on ``Dispatch`` streams."""

    def send_migrate(self, uid: int) -> None:
        """Do nothing, as the call ends with its answer."""

    def on_deadline(self) -> None:
        """End the call, which cancels the request."""
        self.connection.end_early(self, grpc.DEADLINE_EXCEEDED, "the call's time is up")

    def finish(self, code: int, text: str = "", pushback_ms: int | None = None) -> None:
        """End the call; an error is sent as a trailers-only response, as no headers have been sent."""
        if code == grpc.OK:
            super().finish(code, text, pushback_ms)
        else:
            self.connection.end_early(self, code, text, pushback_ms)

    def on_close(self) -> None:
        """Remove the call, and cancel its request if that is open."""
        if not self.closed:
            super().on_close()
            self.connection.frontend.core.inbox.append(ClientDisconnected(self))
