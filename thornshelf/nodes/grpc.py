"""Nodes that speak gRPC: offers go out and bindings come back on one stream."""

from __future__ import annotations

import math

from glenshift.interface import Fact, Outcome, Reason
from thornshelf.core import Attempt, Noted, Started
from thornshelf.loop import Stream
from thornshelf.nodes.base import PROBE_US, BaseLink, BaseNode, read_report
from thornshelf.wire import grpc, http2
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire.errors import WireError

SERVICE = "/thornshelf.v1.Node/"
_BEFORE = {pb.ERROR: Outcome.ERROR, pb.FULL: Outcome.REFUSED, pb.MOOT: Outcome.NOT_SENT}  # else it broke
_AFTER = {pb.ENDED: Outcome.OK, pb.CANCELLED: Outcome.CANCELLED}
_REASONS = {reason.value: reason for reason in Reason}
_FACTS = {fact.value: fact for fact in Fact}


class GrpcLink(BaseLink):
    """One connection with its Bind stream."""

    def __init__(self, node: BaseNode, stream: Stream) -> None:
        super().__init__(node, stream)
        self._http = http2.Http2(True, stream.send)
        self._sent: dict[int, http2.Outgoing] = {}
        self._untouched = False  # the node says that it has not looked at the stream
        self._bind = self._call("Bind")
        self._probe = 0

    def offer(self, attempt: Attempt) -> None:
        """The set-up, with the wait that is left of its attempt."""
        wait_ms = max(1, (attempt.until_us - self.node.loop.now) // 1000)
        offer = pb.Offer(
            task_class=attempt.task_class, wait_ms=wait_ms, key=attempt.key, description=attempt.description
        )
        try:
            data = grpc.frame(pb.NodeOrder(uid=attempt.uid, offer=offer))
        except WireError:
            self.node.finished(attempt.uid, Outcome.NOT_SENT)
            return
        self._sent[attempt.uid] = self._http.send(self._bind, data)

    def withdraw(self, uid: int) -> bool:
        """Call the offer back, or tell the node that it is given up."""
        sent = self._sent.pop(uid, None)
        if sent is not None and self._http.retract(self._bind, sent):
            return True
        self.cut(uid)
        return False

    def left(self, uid: int) -> bool:
        """Whether it may have reached the node."""
        sent = self._sent.get(uid)
        return sent is not None and sent.whole and not self._untouched

    def cut(self, uid: int) -> None:
        """A release gives up an offer or ends a task that stands."""
        order = pb.NodeOrder(uid=uid, release=pb.Release(outcome=pb.CANCELLED))
        self._http.send(self._bind, grpc.frame(order))

    def probe(self) -> None:
        """Ask for a report."""
        self._probe = self._call("Probe", grpc.write_timeout(PROBE_US))
        self._http.send(self._probe, grpc.frame(pb.ProbeRequest()))
        self._http.finish(self._probe, [])

    def test(self) -> None:
        """HTTP/2's own PING."""
        self._http.ping()

    @property
    def midway(self) -> bool:
        """A frame or message has begun and not ended."""
        return self._http.midway

    def take(self, data: bytes) -> str | None:
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
                        self.messages += 1
                        self._report(grpc.parse(pb.NodeReport, message))
                    case http2.Ended(trailers=trailers):
                        return f"stream ended with status {trailers.get('grpc-status', 'none')}"
                    case http2.Broken(code=code, why=why):
                        self._untouched = code == http2.REFUSED_STREAM
                        return f"stream broke: {why}, code {code}"
                    case http2.Opened(headers=headers) if headers.get(":status") != "200":
                        return f"HTTP status {headers.get(':status')}"
            elif event.stream == self._probe:
                match event:
                    case http2.Received(data=message):
                        fields = grpc.parse(pb.Load, message).fields
                        known = {name: value for name, value in fields.items() if math.isfinite(value)}
                        self.node.probed(Outcome.OK, read_report(known))
                    case http2.Ended() | http2.Broken():
                        self.node.probed(Outcome.ERROR, None)  # nothing, where the answer came before
        return None

    def _call(self, method: str, timeout: str | None = None) -> int:
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", SERVICE + method),
            (":authority", f"{self.node.host}:{self.node.port}"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
        ]
        if timeout is not None:
            headers.append(("grpc-timeout", timeout))
        return self._http.call(headers)

    def _report(self, report: pb.NodeReport) -> None:
        node, uid = self.node, report.uid
        match report.WhichOneof("kind"):
            case "binding":
                if not report.binding.description:
                    raise WireError("binding without a description", fatal=True)
                self._sent.pop(uid, None)
                node.started(uid)
                node.core.inbox.append(Started(node.machine, uid, report.binding.description))
            case "end":
                before = self._sent.pop(uid, None) is not None
                outcome = (_BEFORE if before else _AFTER).get(report.end.outcome, Outcome.BROKEN)
                reason = _REASONS.get(report.end.reason, Reason.UNTOLD)
                fields = {k: v for k, v in report.end.load.fields.items() if math.isfinite(v)}
                node.finished(uid, outcome, reason, read_report(fields))
            case "note":
                fact = _FACTS.get(report.note.fact)
                if fact is not None and math.isfinite(report.note.level):
                    node.core.inbox.append(Noted(node.machine, uid, fact, report.note.level))
            case _:
                pass  # progress means nothing; later kinds are skipped


class GrpcNode(BaseNode):
    """A node that speaks gRPC."""

    def make_link(self, stream: Stream) -> BaseLink:
        """Its connection."""
        return GrpcLink(self, stream)
