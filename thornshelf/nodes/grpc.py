"""Connections to nodes that speak the first or second generation of the gRPC protocol.

Attempts, cancellations and the node's reports share one bidirectional stream, ``Bind``.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from google.protobuf.message import Message

from thornshelf.core import AnswerMetadata, Attempt, TaskProgress, TaskStarted, TaskStatusReply
from thornshelf.loop import Stream
from thornshelf.nodes.load_report import decode_load_report
from thornshelf.nodes.node_connection import HEALTH_CHECK_TIMEOUT_US, BaseNodeConnection
from thornshelf.nodes.node_link import NodeLink
from thornshelf.placement import Outcome, Reason, TaskUpdateKind
from thornshelf.translation.capabilities import NodeCapabilities
from thornshelf.translation.failures import (
    FailureCause,
    FailureReason,
    decode_advice,
    decode_reason,
    failure_cause,
    sanitize_text,
    to_placement_outcome,
)
from thornshelf.translation.missing_fields import LifetimeHint
from thornshelf.wire import grpc, http2
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire import placement_v2_pb2 as pb2
from thornshelf.wire.errors import WireError
from thornshelf.wire.rfc5424 import NOTICE

# The numbers of outcomes, facts and the first generation's reasons are the same in both generations. Any other
# outcome means that the attempt or task is broken.
OUTCOMES_BEFORE_START = {pb.ERROR: Outcome.ERROR, pb.FULL: Outcome.REFUSED, pb.MOOT: Outcome.NOT_SENT}
OUTCOMES_AFTER_START = {pb.ENDED: Outcome.OK, pb.CANCELLED: Outcome.CANCELLED}
REASONS_BY_NUMBER = {reason.value: reason for reason in Reason}
UPDATE_KINDS_BY_NUMBER = {kind.value: kind for kind in TaskUpdateKind}

MAX_TASK_UID = (1 << 64) - 1
# The most that the fields of an offer but its description take, with tenant, class and the prefixes of messages.
MAX_OFFER_OVERHEAD_BYTES = 512

_UNIMPLEMENTED = str(grpc.UNIMPLEMENTED)


class GrpcLink(NodeLink):
    """One connection with its Bind stream, in the first generation of the protocol."""

    node: BaseNodeConnection

    ping_is_free = True  # HTTP/2 answers it, not the node's program
    service = "/thornshelf.v1.Node/"
    report_type: type[Message] = pb.NodeReport
    load_type: type[Message] = pb.Load

    def __init__(self, node: BaseNodeConnection, stream: Stream) -> None:
        super().__init__(node, stream)
        self._http = http2.Http2Connection(True, stream.send, self._stream_overflowed)
        # The sent messages of attempts without an answer, by attempt id.
        self._unanswered: dict[int, http2.OutgoingMessage] = {}
        self._waiting: dict[int, Attempt] = {}  # attempts that wait for flow control, by id, oldest first
        self._cancellation_bytes = len(grpc.encode_message(self._make_release(MAX_TASK_UID)))
        self._stream_unprocessed = False  # the node has answered that it has not processed the Bind stream
        self._bind_stream = self._call("Bind")
        self._health_check_stream = 0

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt, or let it wait for flow control."""
        self._waiting[attempt.uid] = attempt
        self._send_waiting()

    def _send_waiting(self) -> None:
        """Send the waiting attempts for which there is room."""
        while self._waiting:
            attempt = next(iter(self._waiting.values()))
            if not self._has_room(attempt):
                return
            del self._waiting[attempt.uid]
            if attempt.is_awaited():
                self._send_offer(attempt)
            else:
                self.node.attempt_finished(attempt.uid, Outcome.NOT_SENT)

    def _has_room(self, attempt: Attempt) -> bool:
        """Return whether flow control allows an attempt and, after it, the cancellations of all others.

        A node that hangs does not extend the windows. If attempts used them up, none could be cancelled before its
        task is sent to another node. An only attempt may use all, as some windows are smaller than an attempt.
        """
        if not self._unanswered:
            return True
        cancellations = len(self._unanswered) + len(self.node.running) + 1
        size = len(attempt.description) + MAX_OFFER_OVERHEAD_BYTES
        needed = size + cancellations * self._cancellation_bytes
        return self._http.send_capacity(self._bind_stream) >= needed

    def _send_offer(self, attempt: Attempt) -> None:
        """Send an attempt with the time that is left for it; one that is too long to be encoded ends as not sent."""
        try:
            data = grpc.encode_message(self._make_offer(attempt))
        except WireError:
            self.node.attempt_finished(attempt.uid, Outcome.NOT_SENT)
            return
        self._unanswered[attempt.uid] = self._http.send(self._bind_stream, data)

    def _wait_ms(self, attempt: Attempt) -> int:
        return max(1, (attempt.deadline_us - self.node.loop.now) // 1000)

    def _make_offer(self, attempt: Attempt) -> Message:
        offer = pb.Offer(
            task_class=attempt.task_class,
            wait_ms=self._wait_ms(attempt),
            key=attempt.idempotency_key,
            description=attempt.description,
        )
        return pb.NodeOrder(uid=attempt.uid, offer=offer)

    def retract_attempt(self, uid: int) -> bool:
        """Remove an attempt that waits or is queued if no byte of it was sent."""
        if self._waiting.pop(uid, None) is not None:
            return True
        message = self._unanswered.get(uid)
        if message is None or not self._http.retract(self._bind_stream, message):
            return False
        del self._unanswered[uid]
        return True

    def cancel_attempt(self, uid: int) -> http2.OutgoingMessage:
        """Send a release, and expect no answer to the attempt."""
        self._unanswered.pop(uid, None)
        return self.cancel_task(uid)

    def may_have_arrived(self, uid: int) -> bool:
        """Return whether the node may have processed an attempt."""
        message = self._unanswered.get(uid)
        return message is not None and message.fully_sent and not self._stream_unprocessed

    def cancel_task(self, uid: int) -> http2.OutgoingMessage:
        """Send a release, which cancels an attempt or ends a running task."""
        return self._http.send(self._bind_stream, grpc.encode_message(self._make_release(uid)))

    def _make_release(self, uid: int) -> Message:
        return pb.NodeOrder(uid=uid, release=pb.Release(outcome=pb.CANCELLED))

    def check_health(self) -> None:
        """Call ``Probe``, which the node answers with a load report."""
        self._start_health_check(pb.ProbeRequest())

    def _start_health_check(self, request: Message) -> None:
        self._health_check_stream = self._call("Probe", grpc.encode_timeout(HEALTH_CHECK_TIMEOUT_US))
        self._http.send(self._health_check_stream, grpc.encode_message(request))
        self._http.finish(self._health_check_stream, [])

    def ping(self) -> None:
        """Send an HTTP/2 PING frame."""
        self._http.ping()

    def touch(self) -> None:
        """Send an HTTP/2 PING frame, whose answer is not awaited."""
        self._http.ping()

    @property
    def mid_message(self) -> bool:
        """Whether a frame or message was received in part."""
        return self._http.mid_message

    @property
    def peer_identified(self) -> bool:
        """Whether the peer's HTTP/2 settings have arrived."""
        return self._http.peer_settings_received

    def receive(self, data: bytes) -> str | None:
        """Process received bytes; returns why the connection has to be closed, or None."""
        for event in self._http.receive(data):
            reason = None
            if isinstance(event, http2.GoAway):
                reason = self._goaway_received(event)
            elif event.stream == self._bind_stream:
                reason = self._bind_event(event)
            elif event.stream == self._health_check_stream:
                self._health_check_event(event)
            if reason is not None:
                return reason
        self._send_waiting()  # windows may have been extended, and attempts answered
        return None

    def _stream_overflowed(self, stream: int) -> None:
        """Close the connection if the Bind stream was reset, as nothing can be sent or reported without it."""
        if stream == self._bind_stream:
            self.close("the node reads too slowly")

    def _goaway_received(self, event: http2.GoAway) -> str | None:
        # Streams up to the last one named by GOAWAY are still processed, but no new attempts are sent on them.
        self.accepting = False
        if event.last_stream_id < self._bind_stream:
            self._stream_unprocessed = True
            return "the node sent GOAWAY before it processed the stream"
        return None

    def _bind_event(self, event: http2.Event) -> str | None:
        match event:
            case http2.MessageReceived(data=message):
                self.messages_received += 1
                self._process_report(grpc.decode_message(self.report_type, message))
            case http2.StreamEnded(trailers=trailers):
                if trailers.get("grpc-status") == _UNIMPLEMENTED:
                    self.generation_rejected = True
                return f"stream ended with status {trailers.get('grpc-status', 'none')}"
            case http2.StreamReset(code=code, reason=reason):
                self._stream_unprocessed = code == http2.REFUSED_STREAM
                return f"stream failed: {reason}, code {code}"
            case http2.HeadersReceived(headers=headers) if headers.get(":status") != "200":
                self.generation_rejected = True
                return f"HTTP status {headers.get(':status')}"
            case http2.HeadersReceived(headers=headers) if headers.get("grpc-status") == _UNIMPLEMENTED:
                self.generation_rejected = True
                return "the node does not support this generation"
        return None

    def _health_check_event(self, event: http2.Event) -> None:
        match event:
            case http2.MessageReceived(data=message):
                fields = grpc.decode_message(self.load_type, message).fields  # type: ignore[attr-defined]
                self.node.health_check_completed(Outcome.OK, decode_load_report(_finite(fields)))
            case http2.StreamEnded() | http2.StreamReset():
                # Ignored if the load report has arrived already.
                self.node.health_check_completed(Outcome.ERROR, None)

    def _call(self, method: str, timeout: str | None = None) -> int:
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", self.service + method),
            (":authority", f"{self.node.host}:{self.node.port}"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
        ]
        if timeout is not None:
            headers.append(("grpc-timeout", timeout))
        return self._http.open_stream(headers)

    def _process_report(self, report: Any) -> None:
        """Process one report whose kind exists in both generations."""
        match report.WhichOneof("kind"):
            case "binding":
                self._task_started(report.uid, report.binding.description)
            case "end":
                self._task_ended(report.uid, report.end)
            case "note":
                kind = UPDATE_KINDS_BY_NUMBER.get(report.note.fact)
                if kind is not None and math.isfinite(report.note.level):
                    progress = TaskProgress(self.node.machine, report.uid, kind, report.note.level)
                    self.node.core.inbox.append(progress)
            case _:
                pass  # progress reports are not used; kinds of later generations are skipped

    def _task_started(self, uid: int, description: bytes) -> None:
        if not description:
            raise WireError("binding without a description", fatal=True)
        self._unanswered.pop(uid, None)
        self.node.task_started(uid)
        self.node.core.inbox.append(TaskStarted(self.node.machine, uid, description))

    def _task_ended(self, uid: int, end: Any) -> None:
        before_start = self._unanswered.pop(uid, None) is not None
        outcomes = OUTCOMES_BEFORE_START if before_start else OUTCOMES_AFTER_START
        outcome = outcomes.get(end.outcome, Outcome.BROKEN)
        reason = REASONS_BY_NUMBER.get(end.reason, Reason.UNSPECIFIED)
        cause = self._cause(end)
        if cause is not None:
            outcome, reason = to_placement_outcome(outcome, cause.reason)
        report = decode_load_report(_finite(end.load.fields))
        self.node.end_reported(uid, outcome, reason, report, cause)

    def _cause(self, end: Any) -> FailureCause | None:
        """Return the cause that the node gave; the first generation has no field for it."""
        return None


class GrpcLinkV2(GrpcLink):
    """One connection in the second generation: the node sends a hello, gets more fields, and answers queries."""

    service = "/thornshelf.v2.Node/"
    report_type = pb2.NodeReport
    load_type = pb2.Load

    def __init__(
        self, node: BaseNodeConnection, stream: Stream, hint: Callable[[Attempt], LifetimeHint | None]
    ) -> None:
        super().__init__(node, stream)
        self.capabilities: NodeCapabilities | None = None
        self._hint = hint

    def _make_offer(self, attempt: Attempt) -> Message:
        request = attempt.request
        hint = self._hint(attempt)
        offer = pb2.Offer(
            task_class=attempt.task_class,
            wait_ms=self._wait_ms(attempt),
            key=attempt.idempotency_key,
            description=attempt.description,
            priority=attempt.priority,
            never_twice=attempt.at_most_once,
        )
        if request is not None:
            offer.cores = request.cores
            offer.memory = request.memory
            offer.service = request.service
            offer.tenant = request.tenant or ""
        if hint is not None:
            offer.hint.ms = hint.duration_us / 1000.0
            offer.hint.assumed = hint.assumed
            if hint.assumed:
                self._report_assumed_hint(attempt, hint)
        return pb2.NodeOrder(uid=attempt.uid, offer=offer)

    def _report_assumed_hint(self, attempt: Attempt, hint: LifetimeHint) -> None:
        # A hint that the client did not give is marked as assumed for the node, reported to the client and logged.
        attempt.metadata = AnswerMetadata(assumed_hint=hint)
        fields: dict[str, object] = {
            "uid": f"{attempt.uid:016x}",
            "class": attempt.task_class,
            "node": self.node.name,
            "ms": hint.duration_us // 1000,
        }
        text = "the request has no lifetime hint, the operator's default is used"
        self.node.core.log(NOTICE, "hint-assumed", fields, text)

    def _make_release(self, uid: int) -> Message:
        return pb2.NodeOrder(uid=uid, release=pb2.Release(outcome=pb2.CANCELLED))

    def query_task(self, idempotency_key: int, uid: int) -> None:
        """Ask the node about a task, after all orders that were sent before."""
        order = pb2.NodeOrder(uid=uid, question=pb2.Question(key=idempotency_key))
        self._http.send(self._bind_stream, grpc.encode_message(order))

    def check_health(self) -> None:
        """Call ``Probe``, which the node answers with a load report."""
        self._start_health_check(pb2.ProbeRequest())

    def _cause(self, end: Any) -> FailureCause | None:
        """Return the cause that the node gave; a reason that is unknown here is kept as text."""
        reason = decode_reason(end.reason)
        if reason is FailureReason.UNTOLD and not end.text:
            text = f"reason {end.reason} of a newer generation" if end.reason else ""
            return failure_cause(reason, text) if text else None
        return failure_cause(reason, sanitize_text(end.text), decode_advice(end.advice))

    def _process_report(self, report: Any) -> None:
        match report.WhichOneof("kind"):
            case "hello":
                hello = report.hello
                self.capabilities = NodeCapabilities(
                    hello.generation, hello.name, frozenset(hello.requires), hello.answers_questions
                )
                self.hello_received(self.capabilities)
            case "answer":
                self._task_status_received(report.uid, report.answer)
            case _:
                super()._process_report(report)

    def _task_status_received(self, queried_uid: int, answer: Any) -> None:
        reply = TaskStatusReply(
            machine=self.node.machine,
            idempotency_key=answer.key,
            status_code=answer.standing,
            queried_uid=queried_uid,
            uid=answer.uid,
            description=answer.description,
            outcome=OUTCOMES_AFTER_START.get(answer.outcome, Outcome.BROKEN),
            reason=REASONS_BY_NUMBER.get(answer.reason, Reason.UNSPECIFIED),
        )
        self.node.core.inbox.append(reply)

    def hello_received(self, capabilities: NodeCapabilities) -> None:
        """Called for each hello of the node; negotiated links confirm the wire format here."""


def _finite(fields: Any) -> dict[str, float]:
    return {name: value for name, value in fields.items() if math.isfinite(value)}


class GrpcNodeConnection(BaseNodeConnection):
    """A node that speaks only the first generation of the gRPC protocol."""

    def make_link(self, stream: Stream) -> NodeLink:
        """Create a link of the first generation."""
        return GrpcLink(self, stream)
