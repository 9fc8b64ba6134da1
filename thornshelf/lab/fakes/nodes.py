"""Fake nodes in all wire forms, on the same loop as the dispatcher.

The description of a task says what the node does with it: a value of ``NodeBehavior``. A node's wire form may change
while it runs, as if it were upgraded or downgraded in place.
"""

from __future__ import annotations

import socket
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from thornshelf.lab.fakes.behavior import BINARY, DESCRIPTION, GRPC2, HOST, NodeBehavior
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.loop import IN
from thornshelf.wire import binary, grpc, http2
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire import placement_v2_pb2 as pb2
from thornshelf.wire.errors import WireError

# Behaviors that start the task and say so.
_STARTING = frozenset(
    (NodeBehavior.RUN, NodeBehavior.END, NodeBehavior.EVICT, NodeBehavior.TWICE, NodeBehavior.STRAY)
)
# How a behavior ends an offer or a task: the binary form's cause and note, gRPC's outcome, reason and text.
_ENDS: dict[NodeBehavior, tuple[Any, ...]] = {
    NodeBehavior.END: (16, pb.ENDED),
    NodeBehavior.EVICT: (41, pb.RESET, "killed", pb.EVICTED),
    NodeBehavior.FULL: (34, pb.FULL, "lack_cpu", pb.NO_CORES),
    NodeBehavior.FULL_TWICE: (34, pb.FULL, "lack_cpu", pb.NO_CORES),
    NodeBehavior.FAULT: (47, pb.ERROR),
    NodeBehavior.MOOT: (102, pb.MOOT),
    NodeBehavior.RESET: (41, pb.RESET),
    NodeBehavior.NEEDS_HINT: (34, pb.FULL, "unfit", 8, "how long will it run?"),
    NodeBehavior.LICENCE: (34, pb.FULL, "unfit", 12, "no licence for this program"),
    NodeBehavior.QUARANTINED: (34, pb.FULL, "unfit", 10, "under repair"),
    NodeBehavior.NEWER: (34, pb.FULL, "", 99, "a word of tomorrow"),
}


@dataclass(slots=True)
class ReceivedOrder:
    """A message of the dispatcher to a node, with the fields that the node's wire form has."""

    kind: str
    uid: int
    description: bytes = b""
    key: int = 0
    task_class: str = ""
    hint_ms: float | None = None
    assumed: bool = False
    never_twice: bool = False
    more: Any = None


@dataclass(slots=True)
class NodeProfile:
    """What a node of the second generation says of itself, true or not.

    ``standings``: false answers to queries, by idempotency key.
    """

    generation: int = 2
    name: str = ""
    requires: tuple[int, ...] = ()
    answers: bool = True
    greets: bool = True
    standings: dict[int, int] = field(default_factory=dict)


class FakeNode:
    """A node; ``seen`` holds the kinds and ids of the messages that came, in order."""

    def __init__(self, loop: Loop, form: str = BINARY, address: tuple[str, int] = (HOST, 0)) -> None:
        self.loop, self.form = loop, form
        self.host, self.port = address
        self.manners = NodeProfile()
        self.orders: list[ReceivedOrder] = []
        self.runs: dict[int, int] = {}  # by key: the id under which it runs
        self.ran: dict[int, tuple[int, int]] = {}  # by key: the id, and the outcome
        self.waiting: dict[int, tuple[ReceivedOrder, Any]] = {}  # by id: those that start when told to
        self.voices: list[Any] = []  # on its open connections, the newest last
        self.deaf = False  # it reads, and does nothing at all
        self.seen: list[tuple[str, int]] = []
        self.running: set[int] = set()
        self.streams: list[Stream] = []
        self.sock = self._bind()
        self.rise()

    def _bind(self) -> socket.socket:
        """A socket at the node's address that does not listen."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, self.port))
        return sock

    def rise(self) -> None:
        """Listen, at the same address if it has listened before."""
        self.sock.listen()
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self._accepting = self.loop.spawn(self._accept())

    def came(self, say: Any) -> None:
        """Note a connection on which messages can be sent."""
        self.voices.append(say)

    def went(self, say: Any) -> None:
        """Forget a connection that has closed."""
        if say in self.voices:
            self.voices.remove(say)

    def offers(self, uid: int) -> int:
        """How many attempts of a task have come."""
        return self.seen.count(("offer", uid))

    def die(self) -> None:
        """Reset all connections, and stop listening."""
        self.loop.cancel(self._accepting)
        self.loop.unregister(self.sock.fileno())
        self.sock.close()
        self.sock = self._bind()  # connections are refused, and no other socket gets the port meanwhile
        self.break_streams()

    def break_streams(self) -> None:
        """Reset all connections."""
        for stream in self.streams:
            if stream.open:
                stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                stream.close()

    def _accept(self) -> Generator[Wait, int, None]:
        while True:
            yield Wait(self.sock.fileno(), IN)
            sock, _ = self.sock.accept()
            stream = self.connected(sock)
            self.streams.append(stream)
            self.loop.spawn(self.serve(stream))

    def connected(self, sock: socket.socket) -> Stream:
        """The stream of an accepted connection; subclasses may return one that counts."""
        return Stream(self.loop, sock, "dispatcher")

    def serve(self, stream: Stream) -> Generator[Wait, int, None]:
        """Serve a connection in the wire form that the node has now."""
        return _serve_binary(self, stream) if self.form == BINARY else _serve_grpc(self, stream)

    def begin(self, order: ReceivedOrder, say: Any, tell: bool = True) -> None:
        """Start a task; ``tell``: send its binding."""
        self.running.add(order.uid)
        self.runs[order.key] = order.uid
        if tell:
            say.progress(order.uid)
            say.bind(order.uid)

    def over(self, uid: int, outcome: int) -> None:
        """Note that a task has ended."""
        self.running.discard(uid)
        for key, running in list(self.runs.items()):
            if running == uid:
                del self.runs[key]
                self.ran[key] = uid, outcome

    def order(self, order: ReceivedOrder, say: Any) -> None:
        """Handle what came from the dispatcher; ``say`` sends on the connection on which it came."""
        self.seen.append((order.kind, order.uid))
        self.orders.append(order)
        match order.kind:
            case "question":
                self.answer(order, say)
            case "release":
                self._cancel_task(order.uid, say)
            case _:
                self._carry_out(order, say, NodeBehavior(order.description))

    def _cancel_task(self, uid: int, say: Any) -> None:
        """End a task, or forget one that has not started."""
        self.waiting.pop(uid, None)
        if uid in self.running:
            self.over(uid, pb.CANCELLED)
            say.end(uid, 31, pb.CANCELLED)

    def _carry_out(self, order: ReceivedOrder, say: Any, behavior: NodeBehavior) -> None:
        """Do with an offer what its description says."""
        uid = order.uid
        if behavior is NodeBehavior.STRAY:
            say.bind(uid ^ 0xFF00)
        if behavior in _STARTING:
            self.begin(order, say)
        if behavior is NodeBehavior.TWICE:
            say.bind(uid)
        if behavior is NodeBehavior.FULL_TWICE:
            say.end(uid, *_ENDS[behavior])
        if behavior is NodeBehavior.LATE:
            self.waiting[uid] = order, say
        if behavior in _ENDS:
            if uid in self.running:
                self.over(uid, _ENDS[behavior][1])
            say.end(uid, *_ENDS[behavior])
        self._break_connection(order, say, behavior)

    def _break_connection(self, order: ReceivedOrder, say: Any, behavior: NodeBehavior) -> None:
        """Break the connection in the middle of a binding, after a start or before it, where the behavior is so."""
        if behavior is NodeBehavior.CUT:
            self.begin(order, say, tell=False)
            say.cut(order.uid)
        if behavior is NodeBehavior.CUT_AFTER:
            self.begin(order, say, tell=False)
            self.break_streams()
        if behavior is NodeBehavior.CUT_BEFORE:
            self.break_streams()

    def answer(self, order: ReceivedOrder, say: Any) -> None:
        """Answer a query whether a task runs or ran here, by its idempotency key."""
        key = order.key
        if key in self.manners.standings:
            say.standing(order, self.manners.standings[key], 0, 0)
        elif key in self.runs:
            say.standing(order, pb2.RUNS_NOW, self.runs[key], 0)
        elif key in self.ran:
            say.standing(order, pb2.RAN, *self.ran[key])
        elif any(one.key == key for one, _ in self.waiting.values()):
            say.standing(order, pb2.WAITING, 0, 0)
        else:
            say.standing(order, pb2.NEVER, 0, 0)

    def start(self, uid: int) -> None:
        """Start a delayed task, whether or not its attempt was withdrawn."""
        order, say = self.waiting.pop(uid)
        self.begin(order, say)


def _serve_binary(node: FakeNode, stream: Stream) -> Generator[Wait, int, None]:
    reader, say = binary.MessageReader(), BinaryResponder(node.loop, stream)
    node.came(say)
    while data := (yield from stream.read()):
        reader.feed(b"" if node.deaf else data)
        try:
            while (message := reader.next()) is not None:
                if message.type == binary.TEST:
                    values = {binary.CAUSE: b"\x01", binary.REPORT: b"x0:12;x1:40"}
                    stream.send(binary.encode(binary.TESTED, message.uid, values))
                else:
                    kind = "offer" if message.type == binary.SET_UP else "release"
                    node.order(
                        ReceivedOrder(
                            kind,
                            message.uid,
                            message.values.get(binary.DESCRIPTION, b""),
                            int(message.text(binary.KEY) or "0", 16),
                            message.text(binary.CLASS) or "",
                        ),
                        say,
                    )
        except WireError:
            break  # the dispatcher speaks another wire form
    node.went(say)
    stream.close()


class BinaryResponder:
    """Sends a node's messages in the platform's binary form."""

    def __init__(self, loop: Loop, stream: Stream) -> None:
        self.loop, self.stream = loop, stream
        self.report = b"x0:3;x1:4"

    def progress(self, uid: int) -> None:
        self.stream.send(binary.encode(binary.PROGRESS, uid))

    def bind(self, uid: int) -> None:
        self.stream.send(binary.encode(binary.ANSWER, uid, {binary.DESCRIPTION: DESCRIPTION}))

    def end(self, uid: int, cause: int, _: object, note: str = "", *__: object) -> None:
        values = {binary.CAUSE: bytes((cause,)), binary.REPORT: self.report}
        if note:
            values[binary.NOTE_NAME] = note.encode()
        self.stream.send(binary.encode(binary.RELEASE, uid, values))

    def cut(self, uid: int) -> None:
        whole = binary.encode(binary.ANSWER, uid, {binary.DESCRIPTION: DESCRIPTION})
        self.stream.send(whole[: len(whole) // 2])
        self.stream.end()


def _serve_grpc(node: FakeNode, stream: Stream) -> Generator[Wait, int, None]:
    h2 = http2.Http2(False, stream.send)
    newer = node.form == GRPC2
    form = "thornshelf.v2" if newer else "thornshelf.v1"
    paths: dict[int, str] = {}
    says: dict[int, GrpcResponder] = {}
    headers = [(":status", "200"), ("content-type", "application/grpc")]
    while data := (yield from stream.read()):
        try:
            events = h2.receive(b"" if node.deaf else data)
        except WireError:
            break
        for event in events:
            if isinstance(event, http2.Opened):
                service, _, paths[event.stream] = event.headers[":path"].rpartition("/")
                if service != f"/{form}.Node":
                    unknown = [*headers, ("grpc-status", str(grpc.UNIMPLEMENTED))]
                    h2.respond(event.stream, unknown, end=True)
                    continue
                h2.respond(event.stream, headers)
                if paths[event.stream] == "Bind":
                    say = says[event.stream] = GrpcResponder(h2, event.stream, pb2 if newer else pb)
                    if newer and node.manners.greets:
                        say.hello(node.manners)
                    node.came(say)
            elif isinstance(event, http2.Received) and paths[event.stream] == "Probe":
                h2.send(event.stream, grpc.frame(pb.Load(fields={"x0": 12.0, "x1": 40.0})))
                h2.finish(event.stream, [("grpc-status", "0")])
            elif isinstance(event, http2.Received) and newer:
                node.order(_read_order2(event.data), says[event.stream])
            elif isinstance(event, http2.Received):
                said = grpc.parse(pb.NodeOrder, event.data)
                offer, kind = said.offer, said.WhichOneof("kind") or ""
                order = ReceivedOrder(kind, said.uid, offer.description, offer.key, offer.task_class)
                node.order(order, says[event.stream])
    for one in says.values():
        node.went(one)
    stream.close()


def _read_order2(data: bytes) -> ReceivedOrder:
    said = grpc.parse(pb2.NodeOrder, data)
    kind, offer = said.WhichOneof("kind") or "", said.offer
    if kind != "offer":
        return ReceivedOrder(kind, said.uid, key=said.question.key)
    hint = offer.hint.ms if offer.HasField("hint") else None
    return ReceivedOrder(
        kind,
        said.uid,
        offer.description,
        offer.key,
        offer.task_class,
        hint,
        offer.hint.assumed,
        offer.never_twice,
        offer,
    )


class GrpcResponder:
    """Sends a node's messages by gRPC, in either generation."""

    def __init__(self, h2: http2.Http2, stream: int, words: Any) -> None:
        self.h2, self.stream, self.pb = h2, stream, words
        self.load = {"x0": 3.0, "x1": 4.0}

    def _send(self, **kind: Any) -> None:
        self.h2.send(self.stream, grpc.frame(self.pb.NodeReport(**kind)))

    def hello(self, manners: NodeProfile) -> None:
        self._send(
            hello=pb2.Hello(
                generation=manners.generation,
                name=manners.name,
                requires=manners.requires,  # type: ignore[arg-type]
                answers_questions=manners.answers,
            )
        )

    def progress(self, uid: int) -> None:
        self._send(uid=uid, progress=self.pb.Progress())

    def bind(self, uid: int) -> None:
        self._send(uid=uid, binding=self.pb.Binding(description=DESCRIPTION))

    def end(self, uid: int, _: int, outcome: Any, __: str = "", reason: Any = 0, text: str = "") -> None:
        more = {"text": text} if self.pb is pb2 else {}
        number = reason if self.pb is pb2 or reason <= pb.SENT_AWAY else pb.UNFIT
        end = self.pb.End(outcome=outcome, reason=number, load=self.pb.Load(fields=self.load), **more)
        self._send(uid=uid, end=end)

    def standing(self, order: ReceivedOrder, standing: Any, uid: int, outcome: Any) -> None:
        description = DESCRIPTION if standing in (pb2.RUNS_NOW, pb2.RAN) else b""
        answer = pb2.Answer(
            key=order.key, standing=standing, uid=uid, description=description, outcome=outcome
        )
        self._send(uid=order.uid, answer=answer)

    def cut(self, uid: int) -> None:
        whole = grpc.frame(self.pb.NodeReport(uid=uid, binding=self.pb.Binding(description=DESCRIPTION)))
        self.h2.send(self.stream, whole[: len(whole) // 2])
        self.h2.reset(self.stream)
