"""Fake clients for JSON lines and gRPC, on the same loop as the dispatcher."""

from __future__ import annotations

import json
from collections.abc import Callable, Generator
from typing import Any

from thornshelf.lab.fakes.behavior import GRPC, GRPC2, HOST, JSON, NodeBehavior
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.stream import connect
from thornshelf.wire import grpc, http2, jsonl
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire import placement_v2_pb2 as pb2


class FakeClient:
    """A client that connects at once and records what it receives.

    ``events``: events by request id, such as ``("placed", description)``, in the same terms for all wire forms;
    ``messages``: the received messages themselves, by request id; ``placed``: ids of requests that were placed;
    ``acknowledges_releases``: the client acknowledges releases; ``on_closed``: called with whether the client was
    ever connected; ``on_traffic``: called with the bytes and lines sent or received, by a client of JSON lines only.
    """

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self.loop, self.address = loop, address
        self.events: dict[int, list[tuple[Any, ...]]] = {}
        self.placed: set[int] = set()
        self.acknowledges_releases = False
        self.messages: dict[int, list[Any]] = {}
        self.stream: Stream | None = None
        self.closed = False
        self.on_closed: Callable[[bool], None] = lambda _: None
        self.on_traffic: Callable[[int, int], None] = lambda size, lines: None
        self.loop.spawn(self._run())

    def on_event(self, uid: int, *event: Any) -> None:
        """Record an event; an owner may replace this method."""
        self.events.setdefault(uid, []).append(event)

    def _run(self) -> Generator[Wait, int, None]:
        stream = yield from connect(self.loop, *self.address, self.loop.now + 5_000_000)
        if isinstance(stream, int):
            self.closed = True
            self.on_closed(False)
            return
        self.stream = stream
        self.on_connected(stream)
        while data := (yield from stream.read()):
            self.receive(data)
        stream.close()
        if not self.closed:
            self.closed = True
            self.on_closed(True)

    def on_connected(self, stream: Stream) -> None:
        """Prepare the protocol on a new connection."""
        raise NotImplementedError

    def receive(self, data: bytes) -> None:
        """Handle received data."""
        raise NotImplementedError

    def send_request(
        self, uid: int, behavior: NodeBehavior, task_class: str = "lookup", **changes: Any
    ) -> None:
        """Send a request for a small task; ``changes`` replace fields of the message."""
        raise NotImplementedError

    def cancel(self, uid: int) -> None:
        """Cancel a request."""
        raise NotImplementedError

    def request_task(
        self, uid: int, key: int, task_class: str, hint: str | None, service: int, size: Any
    ) -> None:
        """Send a request with the given fields; ``hint``: expected lifetime, in ms; ``size``: cores and memory."""
        raise NotImplementedError


# Reason of a ``stop`` line: before a placement it gives the answer, after one the outcome of the release.
_ANSWERS_BY_REASON = {34: "refused", 42: "refused", 102: "refused"}
_RELEASE_OUTCOMES = {16: pb.ENDED, 31: pb.CANCELLED, 41: pb.RESET}


class FakeJsonLinesClient(FakeClient):
    """A client that uses JSON lines."""

    def on_connected(self, stream: Stream) -> None:
        self.reader = jsonl.LineReader()
        if self.acknowledges_releases:  # announces that this client acknowledges releases
            stream.send(jsonl.encode_line("stopped", jsonl.UNKNOWN_UID))

    def send(self, data: bytes) -> None:
        assert self.stream is not None
        self.on_traffic(len(data), data.count(b"\n"))
        self.stream.send(data)

    def send_request(
        self, uid: int, behavior: NodeBehavior, task_class: str = "lookup", **changes: Any
    ) -> None:
        extras = f"cores:1;memory:2;service:{7:016x}"
        if "at" in changes:
            extras += f";at:{changes.pop('at')}"
        meta = {"class": task_class, "left": "8000", "tenant": "hollis-county", "key": f"{uid:016x}"}
        meta |= {"hint": "8200.0", "extras": extras} | changes
        meta = {name: value for name, value in meta.items() if value is not None}
        line = {"kind": "launch", "uid": f"{uid:016x}", "meta": meta, "body": behavior.value.decode()}
        self.send(json.dumps(line).encode() + b"\n")

    def cancel(self, uid: int) -> None:
        self.send(jsonl.encode_line("stop", uid, reason=16))

    def request_task(
        self, uid: int, key: int, task_class: str, hint: str | None, service: int, size: Any
    ) -> None:
        extras = f"cores:{size[0]:g};memory:{size[1]:g};service:{service:016x}"
        meta = {"class": task_class, "left": "8000", "tenant": "hollis-county", "key": f"{key:016x}"}
        meta |= {"extras": extras} | ({} if hint is None else {"hint": hint})
        self.send(jsonl.encode_line("launch", uid, meta, body=b"x"))

    def receive(self, data: bytes) -> None:
        self.on_traffic(len(data), data.count(b"\n"))
        self.reader.feed(data)
        while (line := self.reader.next()) is not None:
            self.messages.setdefault(line.uid, []).append(line)
            placed = line.uid in self.placed
            if line.kind == "running":
                self.placed.add(line.uid)
                self.on_event(line.uid, "placed", line.body)
            elif line.kind == "stop" and placed:
                if self.acknowledges_releases:
                    self.send(jsonl.encode_line("stopped", line.uid))
                self.on_event(line.uid, "released", _RELEASE_OUTCOMES[line.reason or 0])
            elif line.kind == "stop":
                self.on_event(
                    line.uid, _ANSWERS_BY_REASON.get(line.reason or 0, "failed"), line.meta.get("wait")
                )
            elif line.kind == "checked":
                self.on_event(line.uid, "checked", line.reason)


class FakeGrpcV1Client(FakeClient):
    """A client that uses gRPC v1, on one Dispatch stream."""

    package = "thornshelf.v1"
    protobuf: Any = pb

    def on_connected(self, stream: Stream) -> None:
        self.h2 = http2.Http2Connection(True, stream.send)
        self.stream_id = self.open_stream("Dispatch")
        if self.acknowledges_releases and self.protobuf is pb2:
            self.h2.send(self.stream_id, grpc.encode_message(pb2.ClientMessage(heard=0)))
        self.status: dict[int, dict[str, str]] = {}

    def open_stream(self, method: str, **extra_headers: str) -> int:
        """Open a stream for a method; returns its id."""
        path = f"/{self.package}.Placement/{method}"
        headers = [(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", HOST)]
        headers += [("te", "trailers"), ("content-type", "application/grpc")]
        return self.h2.open_stream(
            headers + [(name.replace("_", "-"), value) for name, value in extra_headers.items()]
        )

    def make_ask(self, uid: int, behavior: NodeBehavior, task_class: str, **changes: Any) -> Any:
        """Return an ``Ask`` message; ``changes`` replace its fields, and ``hint=None`` omits the hint."""
        values: dict[str, Any] = {"left_ms": float(changes.pop("left", 8000)), "tenant": "hollis-county"}
        key, hint = changes.pop("key", f"{uid:x}"), changes.pop("hint", "8200")
        values |= {"key": int(key, 16)} | changes
        if hint is not None:
            values["hint_ms" if self.protobuf is pb else "hint"] = (
                float(hint) if self.protobuf is pb else pb2.Hint(ms=float(hint))
            )
        return self.protobuf.Ask(
            uid=uid, task_class=task_class, cores=1.0, memory=2.0, service=7, description=behavior.value, **values,
        )  # fmt: skip

    def send_request(
        self, uid: int, behavior: NodeBehavior, task_class: str = "lookup", **changes: Any
    ) -> None:
        message = self.protobuf.ClientMessage(ask=self.make_ask(uid, behavior, task_class, **changes))
        self.h2.send(self.stream_id, grpc.encode_message(message))

    def cancel(self, uid: int) -> None:
        self.h2.send(self.stream_id, grpc.encode_message(self.protobuf.ClientMessage(give_up=uid)))

    def request_task(
        self, uid: int, key: int, task_class: str, hint: str | None, service: int, size: Any
    ) -> None:
        ask = self.make_ask(uid, NodeBehavior.RUN, task_class, key=f"{key:x}", hint=hint)
        ask.service, (ask.cores, ask.memory) = service, size
        self.h2.send(self.stream_id, grpc.encode_message(self.protobuf.ClientMessage(ask=ask)))

    def receive(self, data: bytes) -> None:
        for event in self.h2.receive(data):
            if isinstance(event, http2.StreamEnded):
                self.status.setdefault(event.stream, event.trailers)
            elif isinstance(event, http2.HeadersReceived) and "grpc-status" in event.headers:
                self.status[event.stream] = event.headers
            elif isinstance(event, http2.MessageReceived):
                self._handle_verdict(grpc.decode_message(self.protobuf.Verdict, event.data))

    def _handle_verdict(self, verdict: Any) -> None:
        self.messages.setdefault(verdict.uid, []).append(verdict)
        match verdict.WhichOneof("kind"):
            case "binding":
                self.on_event(verdict.uid, "placed", verdict.binding.description)
            case "refusal":
                retry_after_ms = str(verdict.refusal.wait_ms) if verdict.refusal.HasField("wait_ms") else None
                self.on_event(verdict.uid, "refused", retry_after_ms)
            case "failure":
                self.on_event(verdict.uid, "failed", None)
            case "release":
                if self.acknowledges_releases and self.protobuf is pb2:
                    self.h2.send(
                        self.stream_id, grpc.encode_message(self.protobuf.ClientMessage(heard=verdict.uid))
                    )
                self.on_event(verdict.uid, "released", verdict.release.outcome)


class FakeGrpcV2Client(FakeGrpcV1Client):
    """A client that uses gRPC v2."""

    package = "thornshelf.v2"
    protobuf = pb2


CLIENT_TYPES: dict[str, type[FakeClient]] = {
    JSON: FakeJsonLinesClient,
    GRPC: FakeGrpcV1Client,
    GRPC2: FakeGrpcV2Client,
}
