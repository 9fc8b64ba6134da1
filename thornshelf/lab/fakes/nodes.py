"""Fake nodes for all wire forms, on the dispatcher's loop; a task's description is its ``NodeBehavior``."""

from __future__ import annotations

import socket
from collections.abc import Generator
from typing import Any

from thornshelf.lab.fakes.behavior import BINARY, DESCRIPTION, GRPC2, HOST, NodeBehavior
from thornshelf.lab.fakes.node_messages import NodeProfile as NodeProfile
from thornshelf.lab.fakes.node_messages import ReceivedMessage as ReceivedMessage
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.loop import IN
from thornshelf.wire import binary, grpc, http2
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire import placement_v2_pb2 as pb2
from thornshelf.wire.errors import WireError

_STARTING_BEHAVIORS = frozenset(  # they start the task and send its binding
    (
        NodeBehavior.RUN,
        NodeBehavior.END,
        NodeBehavior.EVICT,
        NodeBehavior.BIND_TWICE,
        NodeBehavior.BIND_UNKNOWN,
    )
)
# Arguments of the responder's ``end``: cause (binary), outcome (gRPC), note (binary), reason and text (gRPC).
_END_ARGUMENTS: dict[NodeBehavior, tuple[Any, ...]] = {
    NodeBehavior.END: (16, pb.ENDED),
    NodeBehavior.EVICT: (41, pb.RESET, "killed", pb.EVICTED),
    NodeBehavior.REFUSE: (34, pb.FULL, "lack_cpu", pb.NO_CORES),
    NodeBehavior.REFUSE_TWICE: (34, pb.FULL, "lack_cpu", pb.NO_CORES),
    NodeBehavior.ERROR: (47, pb.ERROR),
    NodeBehavior.MOOT: (102, pb.MOOT),
    NodeBehavior.RESET: (41, pb.RESET),
    NodeBehavior.NEEDS_HINT: (34, pb.FULL, "unfit", 8, "how long will it run?"),
    NodeBehavior.NEEDS_LICENCE: (34, pb.FULL, "unfit", 12, "no licence for this program"),
    NodeBehavior.QUARANTINED: (34, pb.FULL, "unfit", 10, "under repair"),
    NodeBehavior.UNKNOWN_REASON: (34, pb.FULL, "", 99, "a word of tomorrow"),
}


class FakeNode:
    """A node that records what it receives; ``form``: its wire form; ``address``: port 0 for any free port."""

    def __init__(self, loop: Loop, form: str = BINARY, address: tuple[str, int] = (HOST, 0)) -> None:
        self.loop, self.form = loop, form  # changing the form: an upgrade or a downgrade in place
        self.host, self.port = address
        self.profile = NodeProfile()
        self.received_messages: list[ReceivedMessage] = []
        self.running_by_key: dict[int, int] = {}  # request id of each running task, by idempotency key
        self.ended_by_key: dict[int, tuple[int, int]] = {}  # request id and outcome of the ended ones
        self.delayed_tasks: dict[int, tuple[ReceivedMessage, Any]] = {}  # delayed tasks, by request id
        self.responders: list[Any] = []  # of the open connections, the newest last
        self.ignores_input = False  # reads from its connections, and ignores what it reads
        self.deaf_streams: set[Stream] = (
            set()
        )  # connections from which the node reads, and ignores what it reads
        self.forgets_connections = False  # resets its connections as soon as anything comes on one of them
        self.received_kinds: list[tuple[str, int]] = []  # kind and request id of each received message
        self.running: set[int] = set()  # request ids
        self.streams: list[Stream] = []
        self.sock = self._bind()
        self.listen()

    def _bind(self) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, self.port))  # and does not listen yet
        return sock

    def listen(self) -> None:
        """Listen; after ``crash``, at the same address as before."""
        self.sock.listen()
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self._accepting = self.loop.spawn(self._accept())

    def add_responder(self, responder: Any) -> None:
        """Add a connection on which messages can be sent."""
        self.responders.append(responder)

    def remove_responder(self, responder: Any) -> None:
        """Remove a connection that has closed."""
        if responder in self.responders:
            self.responders.remove(responder)

    def offer_count(self, uid: int) -> int:
        """Return the number of offers received for a request id."""
        return self.received_kinds.count(("offer", uid))

    def crash(self) -> None:
        """Reset all connections, and stop listening."""
        self.loop.cancel(self._accepting)
        self.loop.unregister(self.sock.fileno())
        self.sock.close()
        self.sock = self._bind()  # keeps the port, and refuses connections
        self.break_streams()

    def break_streams(self) -> None:
        """Reset all connections."""
        for stream in self.streams:
            if stream.open:
                stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                stream.close()

    def accept_input(self, stream: Stream, data: bytes) -> bytes:
        """Return the part of the received bytes that the node processes: all or nothing."""
        if self.forgets_connections:
            self.forgets_connections = False
            self.break_streams()
            return b""
        return b"" if self.ignores_input or stream in self.deaf_streams else data

    def _accept(self) -> Generator[Wait, int, None]:
        while True:
            yield Wait(self.sock.fileno(), IN)
            sock, _ = self.sock.accept()
            stream = self.make_stream(sock)
            self.streams.append(stream)
            self.loop.spawn(self.serve(stream))

    def make_stream(self, sock: socket.socket) -> Stream:
        """Return the stream for an accepted connection; a subclass may return one that counts its traffic."""
        return Stream(self.loop, sock, "dispatcher")

    def serve(self, stream: Stream) -> Generator[Wait, int, None]:
        """Serve a connection in the node's current wire form."""
        return _serve_binary(self, stream) if self.form == BINARY else _serve_grpc(self, stream)

    def start_task(self, order: ReceivedMessage, responder: Any, sends_binding: bool = True) -> None:
        """Record a task as running; ``sends_binding``: send its progress and its binding."""
        self.running.add(order.uid)
        self.running_by_key[order.key] = order.uid
        if sends_binding:
            responder.progress(order.uid)
            responder.bind(order.uid)

    def record_end(self, uid: int, outcome: int) -> None:
        """Record the outcome of a running task."""
        self.running.discard(uid)
        for key, running in list(self.running_by_key.items()):
            if running == uid:
                del self.running_by_key[key]
                self.ended_by_key[key] = uid, outcome

    def handle_message(self, order: ReceivedMessage, responder: Any) -> None:
        """Handle a message from the dispatcher; ``responder`` sends on the connection of that message."""
        self.received_kinds.append((order.kind, order.uid))
        self.received_messages.append(order)
        match order.kind:
            case "question":
                self.answer(order, responder)
            case "release":
                self._cancel_task(order.uid, responder)
            case _:
                self._apply_behavior(order, responder, NodeBehavior(order.description))

    def _cancel_task(self, uid: int, responder: Any) -> None:
        self.delayed_tasks.pop(uid, None)  # a delayed task is only discarded
        if uid in self.running:
            self.record_end(uid, pb.CANCELLED)
            responder.end(uid, 31, pb.CANCELLED)

    def _apply_behavior(self, order: ReceivedMessage, responder: Any, behavior: NodeBehavior) -> None:
        uid = order.uid
        if behavior is NodeBehavior.BIND_UNKNOWN:
            responder.bind(uid ^ 0xFF00)
        if behavior in _STARTING_BEHAVIORS:
            self.start_task(order, responder)
        if behavior is NodeBehavior.BIND_TWICE:
            responder.bind(uid)
        if behavior is NodeBehavior.REFUSE_TWICE:
            responder.end(uid, *_END_ARGUMENTS[behavior])
        if behavior is NodeBehavior.DELAY:
            self.delayed_tasks[uid] = order, responder
        if behavior in _END_ARGUMENTS:
            if uid in self.running:
                self.record_end(uid, _END_ARGUMENTS[behavior][1])
            responder.end(uid, *_END_ARGUMENTS[behavior])
        self._break_connection(order, responder, behavior)  # for the behaviors that do

    def _break_connection(self, order: ReceivedMessage, responder: Any, behavior: NodeBehavior) -> None:
        if behavior is NodeBehavior.TRUNCATE_BINDING:
            self.start_task(order, responder, sends_binding=False)
            responder.send_truncated_binding(order.uid)
        if behavior is NodeBehavior.DISCONNECT_AFTER_START:
            self.start_task(order, responder, sends_binding=False)
            self.break_streams()
        if behavior is NodeBehavior.DISCONNECT_BEFORE_START:
            self.break_streams()

    def answer(self, order: ReceivedMessage, responder: Any) -> None:
        """Answer a query whether the task with an idempotency key runs or ran here."""
        key = order.key
        if key in self.profile.false_answers:
            responder.standing(order, self.profile.false_answers[key], 0, 0)
        elif key in self.running_by_key:
            responder.standing(order, pb2.RUNS_NOW, self.running_by_key[key], 0)
        elif key in self.ended_by_key:
            responder.standing(order, pb2.RAN, *self.ended_by_key[key])
        elif any(delayed.key == key for delayed, _ in self.delayed_tasks.values()):
            responder.standing(order, pb2.WAITING, 0, 0)
        else:
            responder.standing(order, pb2.NEVER, 0, 0)

    def start_delayed(self, uid: int) -> None:
        """Start a delayed task; the dispatcher may have withdrawn the attempt meanwhile."""
        order, responder = self.delayed_tasks.pop(uid)
        self.start_task(order, responder)


def _serve_binary(node: FakeNode, stream: Stream) -> Generator[Wait, int, None]:
    reader, responder = binary.MessageReader(), BinaryResponder(node.loop, stream)
    node.add_responder(responder)
    while data := (yield from stream.read()):
        reader.feed(node.accept_input(stream, data))
        try:
            while (message := reader.next()) is not None:
                if message.type == binary.TEST:
                    values = {binary.CAUSE: b"\x01", binary.REPORT: b"x0:12;x1:40"}
                    stream.send(binary.encode(binary.TESTED, message.uid, values))
                elif message.type != binary.RELEASE_ACK:
                    kind = "offer" if message.type == binary.SET_UP else "release"
                    node.handle_message(
                        ReceivedMessage(
                            kind,
                            message.uid,
                            message.values.get(binary.DESCRIPTION, b""),
                            int(message.text(binary.KEY) or "0", 16),
                            message.text(binary.CLASS) or "",
                        ),
                        responder,
                    )
        except WireError:
            break  # the dispatcher uses another wire form
    node.remove_responder(responder)
    stream.close()


class BinaryResponder:
    """Sends a node's messages in the binary form; ``report``: the load report in rejections and ends."""

    def __init__(self, loop: Loop, stream: Stream) -> None:
        self.loop, self.stream = loop, stream
        self.report = b"x0:3;x1:4"

    def progress(self, uid: int) -> None:
        """Report that the offer was received."""
        self.stream.send(binary.encode(binary.PROGRESS, uid))

    def bind(self, uid: int) -> None:
        """Report that the task runs."""
        self.stream.send(binary.encode(binary.ANSWER, uid, {binary.DESCRIPTION: DESCRIPTION}))

    def end(self, uid: int, cause: int, _: object, note: str = "", *__: object) -> None:
        """Report the rejection of an offer or the end of a task."""
        values = {binary.CAUSE: bytes((cause,)), binary.REPORT: self.report}
        if note:
            values[binary.NOTE_NAME] = note.encode()
        self.stream.send(binary.encode(binary.RELEASE, uid, values))

    def send_truncated_binding(self, uid: int) -> None:
        """Send half of a binding, and end the connection."""
        encoded = binary.encode(binary.ANSWER, uid, {binary.DESCRIPTION: DESCRIPTION})
        self.stream.send(encoded[: len(encoded) // 2])
        self.stream.end()


def _serve_grpc(node: FakeNode, stream: Stream) -> Generator[Wait, int, None]:
    h2 = http2.Http2Connection(False, stream.send)
    is_v2 = node.form == GRPC2
    package = "thornshelf.v2" if is_v2 else "thornshelf.v1"
    paths: dict[int, str] = {}
    responders: dict[int, GrpcResponder] = {}
    headers = [(":status", "200"), ("content-type", "application/grpc")]
    while data := (yield from stream.read()):
        try:
            events = h2.receive(node.accept_input(stream, data))
        except WireError:
            break
        for event in events:
            if isinstance(event, http2.HeadersReceived):
                service, _, paths[event.stream] = event.headers[":path"].rpartition("/")
                if service != f"/{package}.Node":
                    trailers = [*headers, ("grpc-status", str(grpc.UNIMPLEMENTED))]
                    h2.respond(event.stream, trailers, end=True)
                    continue
                h2.respond(event.stream, headers)
                if paths[event.stream] == "Bind":
                    responder = responders[event.stream] = GrpcResponder(
                        h2, event.stream, pb2 if is_v2 else pb
                    )
                    if is_v2 and node.profile.sends_hello:
                        responder.hello(node.profile)
                    node.add_responder(responder)
            elif isinstance(event, http2.MessageReceived) and paths[event.stream] == "Probe":
                h2.send(event.stream, grpc.encode_message(pb.Load(fields={"x0": 12.0, "x1": 40.0})))
                h2.finish(event.stream, [("grpc-status", "0")])
            elif isinstance(event, http2.MessageReceived) and is_v2:
                node.handle_message(_parse_v2_order(event.data), responders[event.stream])
            elif isinstance(event, http2.MessageReceived):
                message = grpc.decode_message(pb.NodeOrder, event.data)
                offer, kind = message.offer, message.WhichOneof("kind") or ""
                order = ReceivedMessage(kind, message.uid, offer.description, offer.key, offer.task_class)
                node.handle_message(order, responders[event.stream])
    for closed_responder in responders.values():
        node.remove_responder(closed_responder)
    stream.close()


def _parse_v2_order(data: bytes) -> ReceivedMessage:
    message = grpc.decode_message(pb2.NodeOrder, data)
    kind, offer = message.WhichOneof("kind") or "", message.offer
    if kind != "offer":
        return ReceivedMessage(kind, message.uid, key=message.question.key)
    hint = offer.hint.ms if offer.HasField("hint") else None
    return ReceivedMessage(
        kind,
        message.uid,
        offer.description,
        offer.key,
        offer.task_class,
        hint,
        offer.hint.assumed,
        offer.never_twice,
        offer,
    )


class GrpcResponder:
    """Sends a node's messages by gRPC; ``protobuf``: the message types of v1 or v2; ``load``: the load report."""

    def __init__(self, h2: http2.Http2Connection, stream: int, protobuf: Any) -> None:
        self.h2, self.stream, self.protobuf = h2, stream, protobuf
        self.load = {"x0": 3.0, "x1": 4.0}

    def _send(self, **kind: Any) -> None:
        self.h2.send(self.stream, grpc.encode_message(self.protobuf.NodeReport(**kind)))

    def hello(self, profile: NodeProfile) -> None:
        """Send the hello message of a v2 node."""
        self._send(
            hello=pb2.Hello(
                generation=profile.generation,
                name=profile.name,
                requires=profile.requires,  # type: ignore[arg-type]
                answers_questions=profile.claims_to_answer,
            )
        )

    def progress(self, uid: int) -> None:
        """Report that the offer was received."""
        self._send(uid=uid, progress=self.protobuf.Progress())

    def bind(self, uid: int) -> None:
        """Report that the task runs."""
        self._send(uid=uid, binding=self.protobuf.Binding(description=DESCRIPTION))

    def end(self, uid: int, _: int, outcome: Any, __: str = "", reason: Any = 0, text: str = "") -> None:
        """Report the rejection of an offer or the end of a task; v1 lacks the text and the newer reasons."""
        text_field = {"text": text} if self.protobuf is pb2 else {}
        reason_code = reason if self.protobuf is pb2 or reason <= pb.SENT_AWAY else pb.UNFIT
        end = self.protobuf.End(
            outcome=outcome, reason=reason_code, load=self.protobuf.Load(fields=self.load), **text_field
        )
        self._send(uid=uid, end=end)

    def standing(self, order: ReceivedMessage, standing: Any, uid: int, outcome: Any) -> None:
        """Answer a query about a task; ``uid``: the request id under which it runs or ran."""
        description = DESCRIPTION if standing in (pb2.RUNS_NOW, pb2.RAN) else b""
        answer = pb2.Answer(
            key=order.key, standing=standing, uid=uid, description=description, outcome=outcome
        )
        self._send(uid=order.uid, answer=answer)

    def send_truncated_binding(self, uid: int) -> None:
        """Send half of a binding, and reset the stream."""
        encoded = grpc.encode_message(
            self.protobuf.NodeReport(uid=uid, binding=self.protobuf.Binding(description=DESCRIPTION))
        )
        self.h2.send(self.stream, encoded[: len(encoded) // 2])
        self.h2.reset(self.stream)
