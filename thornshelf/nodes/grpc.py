"""Nodes that speak gRPC, in its first or second generation: offers go out, bindings come back on one stream."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from google.protobuf.message import Message

from thornshelf.core import AnswerMetadata, Attempt, TaskProgress, TaskStarted, TaskStatusReply
from thornshelf.loop import Stream
from thornshelf.nodes.node_connection import (
    HEALTH_CHECK_TIMEOUT_US,
    BaseNodeConnection,
    NodeLink,
    decode_load_report,
)
from thornshelf.placement.interface import Outcome, Reason, TaskUpdateKind
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

# The numbers of outcomes, facts and the old reasons are the same in both generations.
_BEFORE = {pb.ERROR: Outcome.ERROR, pb.FULL: Outcome.REFUSED, pb.MOOT: Outcome.NOT_SENT}  # else it broke
_AFTER = {pb.ENDED: Outcome.OK, pb.CANCELLED: Outcome.CANCELLED}
_REASONS = {reason.value: reason for reason in Reason}
_FACTS = {fact.value: fact for fact in TaskUpdateKind}


class GrpcLink(NodeLink):
    """One connection with its Bind stream, first generation."""

    service = "/thornshelf.v1.Node/"
    report: type[Message] = pb.NodeReport
    load: type[Message] = pb.Load

    def __init__(self, node: BaseNodeConnection, stream: Stream) -> None:
        super().__init__(node, stream)
        self.unknown = False  # the node has said that it does not know this generation
        self._http = http2.Http2(True, stream.send)
        self._sent: dict[int, http2.OutgoingMessage] = {}
        self._untouched = False  # the node says that it has not looked at the stream
        self._bind = self._call("Bind")
        self._probe = 0

    def send_attempt(self, attempt: Attempt) -> None:
        """The set-up, with the wait that is left of its attempt."""
        try:
            data = grpc.frame(self._offer(attempt))
        except WireError:
            self.node.attempt_finished(attempt.uid, Outcome.NOT_SENT)
            return
        self._sent[attempt.uid] = self._http.send(self._bind, data)

    def _wait_ms(self, attempt: Attempt) -> int:
        return max(1, (attempt.deadline_us - self.node.loop.now) // 1000)

    def _offer(self, attempt: Attempt) -> Message:
        offer = pb.Offer(
            task_class=attempt.task_class,
            wait_ms=self._wait_ms(attempt),
            key=attempt.idempotency_key,
            description=attempt.description,
        )
        return pb.NodeOrder(uid=attempt.uid, offer=offer)

    def withdraw_attempt(self, uid: int) -> bool:
        """Call the offer back, or tell the node that it is given up."""
        sent = self._sent.pop(uid, None)
        if sent is not None and self._http.retract(self._bind, sent):
            return True
        self.cancel_task(uid)
        return False

    def may_have_arrived(self, uid: int) -> bool:
        """Whether it may have reached the node."""
        sent = self._sent.get(uid)
        return sent is not None and sent.fully_sent and not self._untouched

    def cancel_task(self, uid: int) -> http2.OutgoingMessage:
        """A release gives up an offer or ends a task that stands."""
        return self._http.send(self._bind, grpc.frame(self._release(uid)))

    def _release(self, uid: int) -> Message:
        return pb.NodeOrder(uid=uid, release=pb.Release(outcome=pb.CANCELLED))

    def check_health(self) -> None:
        """Ask for a report."""
        self._probe = self._call("Probe", grpc.write_timeout(HEALTH_CHECK_TIMEOUT_US))
        self._http.send(self._probe, grpc.frame(pb.ProbeRequest()))
        self._http.finish(self._probe, [])

    def ping(self) -> None:
        """HTTP/2's own PING."""
        self._http.ping()

    @property
    def mid_message(self) -> bool:
        """A frame or message has begun and not ended."""
        return self._http.mid_message

    def receive(self, data: bytes) -> str | None:
        """Bytes of the connection; says why it is over, where it is."""
        for event in self._http.receive(data):
            if isinstance(event, http2.GoAway):
                # Open streams at most as new as the last one named go on; nothing new is sent on them.
                self.accepting = False
                if event.last < self._bind:
                    self._untouched = True
                    return "the node went away before it looked at the stream"
            elif event.stream == self._bind:
                match event:
                    case http2.Received(data=message):
                        self.messages_received += 1
                        self._report(grpc.parse(self.report, message))
                    case http2.Ended(trailers=trailers):
                        self.unknown = self.unknown or trailers.get("grpc-status") == str(grpc.UNIMPLEMENTED)
                        return f"stream ended with status {trailers.get('grpc-status', 'none')}"
                    case http2.Broken(code=code, reason=cause):
                        self._untouched = code == http2.REFUSED_STREAM
                        return f"stream broke: {cause}, code {code}"
                    case http2.Opened(headers=headers) if headers.get(":status") != "200":
                        self.unknown = True
                        return f"HTTP status {headers.get(':status')}"
                    case http2.Opened(headers=headers) if headers.get("grpc-status") == str(
                        grpc.UNIMPLEMENTED
                    ):
                        self.unknown = True
                        return "it does not know this generation"
            elif event.stream == self._probe:
                match event:
                    case http2.Received(data=message):
                        fields = grpc.parse(self.load, message).fields  # type: ignore[attr-defined]
                        self.node.health_check_completed(Outcome.OK, decode_load_report(_finite(fields)))
                    case http2.Ended() | http2.Broken():
                        self.node.health_check_completed(
                            Outcome.ERROR, None
                        )  # nothing, where the answer came before
        return None

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
        return self._http.call(headers)

    @property
    def spoke(self) -> bool:
        """The peer speaks HTTP/2 at all."""
        return self._http.peer_settings_received

    def _report(self, report: Any) -> None:
        """One report; the kinds that both generations have."""
        node, uid = self.node, report.uid
        match report.WhichOneof("kind"):
            case "binding":
                if not report.binding.description:
                    raise WireError("binding without a description", fatal=True)
                self._sent.pop(uid, None)
                node.task_started(uid)
                node.core.inbox.append(TaskStarted(node.machine, uid, report.binding.description))
            case "end":
                before = self._sent.pop(uid, None) is not None
                outcome = (_BEFORE if before else _AFTER).get(report.end.outcome, Outcome.BROKEN)
                reason, cause = _REASONS.get(report.end.reason, Reason.UNSPECIFIED), self._cause(report.end)
                if cause is not None:
                    outcome, reason = to_placement_outcome(outcome, cause.reason)
                node.attempt_finished(
                    uid, outcome, reason, decode_load_report(_finite(report.end.load.fields)), cause
                )
            case "note":
                fact = _FACTS.get(report.note.fact)
                if fact is not None and math.isfinite(report.note.level):
                    node.core.inbox.append(TaskProgress(node.machine, uid, fact, report.note.level))
            case _:
                pass  # progress means nothing; later kinds are skipped

    def _cause(self, end: Any) -> FailureCause | None:
        """What the first generation has no room for."""
        return None


class GrpcLinkV2(GrpcLink):
    """The second generation: the node says hello, is told more with each offer, and can be asked about a name."""

    service = "/thornshelf.v2.Node/"
    report = pb2.NodeReport
    load = pb2.Load

    def __init__(
        self, node: BaseNodeConnection, stream: Stream, hint: Callable[[Attempt], LifetimeHint | None]
    ) -> None:
        super().__init__(node, stream)
        self.capabilities: NodeCapabilities | None = None
        self._hint = hint

    def _offer(self, attempt: Attempt) -> Message:
        said, hint = attempt.request, self._hint(attempt)
        offer = pb2.Offer(
            task_class=attempt.task_class,
            wait_ms=self._wait_ms(attempt),
            key=attempt.idempotency_key,
            description=attempt.description,
            priority=attempt.priority,
            never_twice=attempt.at_most_once,
        )
        if said is not None:
            offer.cores, offer.memory, offer.service = said.cores, said.memory, said.service
            offer.tenant = said.tenant or ""
        if hint is not None:
            offer.hint.ms, offer.hint.assumed = hint.duration_us / 1000.0, hint.assumed
            if hint.assumed:
                # An assumed figure never travels in silence: marked to the node, told to the owner, and logged.
                attempt.metadata = AnswerMetadata(assumed_hint=hint)
                values: dict[str, object] = {"uid": f"{attempt.uid:016x}", "class": attempt.task_class}
                values |= {"node": self.node.name, "ms": hint.duration_us // 1000}
                self.node.core.log(
                    5, "hint-assumed", values, "no hint came, and the operator's figure is used"
                )
        return pb2.NodeOrder(uid=attempt.uid, offer=offer)

    def _release(self, uid: int) -> Message:
        return pb2.NodeOrder(uid=uid, release=pb2.Release(outcome=pb2.CANCELLED))

    def query_task(self, key: int, uid: int) -> None:
        """A question, behind all orders that were sent before."""
        order = pb2.NodeOrder(uid=uid, question=pb2.Question(key=key))
        self._http.send(self._bind, grpc.frame(order))

    def check_health(self) -> None:
        """Ask for a report."""
        self._probe = self._call("Probe", grpc.write_timeout(HEALTH_CHECK_TIMEOUT_US))
        self._http.send(self._probe, grpc.frame(pb2.ProbeRequest()))
        self._http.finish(self._probe, [])

    def _cause(self, end: Any) -> FailureCause | None:
        trouble = decode_reason(end.reason)
        if trouble is FailureReason.UNTOLD and not end.text:
            text = f"reason {end.reason} of a newer generation" if end.reason else ""
            return failure_cause(trouble, text) if text else None
        return failure_cause(trouble, sanitize_text(end.text), decode_advice(end.advice))

    def _report(self, report: Any) -> None:
        node = self.node
        match report.WhichOneof("kind"):
            case "hello":
                said = report.hello
                requires = frozenset(said.requires)
                self.capabilities = NodeCapabilities(
                    said.generation, said.name, requires, said.answers_questions
                )
                self.hello_received(self.capabilities)
            case "answer":
                said = report.answer
                outcome = _AFTER.get(said.outcome, Outcome.BROKEN)
                reason = _REASONS.get(said.reason, Reason.UNSPECIFIED)
                node.core.inbox.append(
                    TaskStatusReply(
                        machine=node.machine,
                        idempotency_key=said.key,
                        status_code=said.standing,
                        queried_uid=report.uid,
                        uid=said.uid,
                        description=said.description,
                        outcome=outcome,
                        reason=reason,
                    )
                )
            case _:
                super()._report(report)

    def hello_received(self, hello: NodeCapabilities) -> None:
        """A hello came; the first makes the connection ready, by way of the core."""


def _finite(fields: Any) -> dict[str, float]:
    return {name: value for name, value in fields.items() if math.isfinite(value)}


class GrpcNodeConnection(BaseNodeConnection):
    """A node that speaks gRPC."""

    def make_link(self, stream: Stream) -> NodeLink:
        """Its connection."""
        return GrpcLink(self, stream)
