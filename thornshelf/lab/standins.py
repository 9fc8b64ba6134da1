"""Stand-ins on loopback: clients and nodes in all wire forms, on the same loop as the dispatcher.

What a node does with a task is told by the task's description, a word of ``Conduct``. A node's form may change
while it stands, as if it were upgraded or downgraded in place.
"""

from __future__ import annotations

import enum
import json
import socket
import time
from collections.abc import Callable, Generator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from thornshelf.changelog import read_entry
from thornshelf.config import GrpcConfig, read_config
from thornshelf.core import ListChange
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.loop import IN
from thornshelf.loop.stream import connect
from thornshelf.service import Service
from thornshelf.translate.desk import Terms
from thornshelf.translate.words import Form
from thornshelf.wire import binary, grpc, http2, jsonl
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire import placement_v2_pb2 as pb2
from thornshelf.wire.errors import WireError

CONFIG = Path(__file__).parent.parent.parent / "examples" / "config.json"
LIMIT_S = 20.0  # nothing in a test waits longer
HOST = "127.0.0.1"
JSON, BINARY, GRPC, GRPC2 = "json", "binary", "grpc", "grpc2"
FORMS = {BINARY: Form.MESSAGES, GRPC: Form.V1, GRPC2: Form.V2}


class Conduct(enum.Enum):
    """What a node does with an offer."""

    RUN = b"run"
    END = b"run, then end"
    EVICT = b"run, then evict"
    FULL = b"refuse"
    FAULT = b"error"
    MOOT = b"moot"
    RESET = b"reset"
    SILENT = b"say nothing"
    CUT = b"begin the binding and break off"
    TWICE = b"run, and say so twice"
    STRAY = b"run, after an answer for a task that nobody asked for"
    FULL_TWICE = b"refuse twice"
    NEEDS_HINT = b"refuse for want of a hint"
    LICENCE = b"refuse for want of a licence"
    QUARANTINED = b"refuse while quarantined"
    NEWER = b"refuse for a reason of a newer generation"
    LATE = b"run, and say so when told to"
    CUT_AFTER = b"run, and break off before saying so"
    CUT_BEFORE = b"break off before running"


USUAL = list(Conduct)[:12]  # what nodes of all forms do; the others are for questions of translation
DESCRIPTION = "v=0\r\no=\u00e9".encode()  # of every answer


@dataclass(slots=True)
class Order:
    """What came to a node, as far as its form can say it."""

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
class Manners:
    """What a node of the second generation says of itself, true or not."""

    generation: int = 2
    name: str = ""
    requires: tuple[int, ...] = ()
    answers: bool = True
    greets: bool = True
    standings: dict[int, int] = field(default_factory=dict)  # answers about keys that are not the truth


class StandInNode:
    """A node; ``seen`` holds the offers and releases that came, in order."""

    def __init__(self, loop: Loop, form: str = BINARY) -> None:
        self.loop, self.form = loop, form
        self.manners = Manners()
        self.orders: list[Order] = []
        self.runs: dict[int, int] = {}  # by key: the id under which it runs
        self.ran: dict[int, tuple[int, int]] = {}  # by key: the id, and the outcome
        self.waiting: dict[int, tuple[Order, Any]] = {}  # by id: those that start when told to
        self.voices: list[Any] = []  # on its open connections, the newest last
        self.deaf = False  # it reads, and does nothing at all
        self.seen: list[tuple[str, int]] = []
        self.running: set[int] = set()
        self.streams: list[Stream] = []
        self.port = 0
        self.rise()

    def rise(self) -> None:
        """Listen, at the same address if it has listened before."""
        self.sock = socket.create_server((HOST, self.port))
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self._accepting = self.loop.spawn(self._accept())

    def came(self, say: Any) -> None:
        """A connection is open on which something can be said."""
        self.voices.append(say)

    def went(self, say: Any) -> None:
        """It is no more."""
        if say in self.voices:
            self.voices.remove(say)

    def offers(self, uid: int) -> int:
        """How often a task was offered here."""
        return self.seen.count(("offer", uid))

    def die(self) -> None:
        """Reset all connections and listen no more."""
        self.loop.cancel(self._accepting)
        self.loop.forget(self.sock.fileno())
        self.sock.close()
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
            stream = Stream(self.loop, sock, "dispatcher")
            self.streams.append(stream)
            self.loop.spawn(self.serve(stream))

    def serve(self, stream: Stream) -> Generator[Wait, int, None]:
        """One connection, in the form that the node speaks as it comes."""
        return _serve_binary(self, stream) if self.form == BINARY else _serve_grpc(self, stream)

    def begin(self, order: Order, say: Any, tell: bool = True) -> None:
        """The task runs."""
        self.running.add(order.uid)
        self.runs[order.key] = order.uid
        if tell:
            say.progress(order.uid)
            say.bind(order.uid)

    def over(self, uid: int, outcome: int) -> None:
        """The task runs no more."""
        self.running.discard(uid)
        for key, running in list(self.runs.items()):
            if running == uid:
                del self.runs[key]
                self.ran[key] = uid, outcome

    def order(self, order: Order, say: Any) -> None:
        """Behave; ``say`` has a method for each thing that a node says."""
        uid = order.uid
        self.seen.append((order.kind, uid))
        self.orders.append(order)
        if order.kind == "question":
            self.answer(order, say)
            return
        if order.kind == "release":
            self.waiting.pop(uid, None)
            if uid in self.running:
                self.over(uid, pb.CANCELLED)
                say.end(uid, 31, pb.CANCELLED)
            return
        conduct = Conduct(order.description)
        if conduct is Conduct.STRAY:
            say.bind(uid ^ 0xFF00)
        if conduct in (Conduct.RUN, Conduct.END, Conduct.EVICT, Conduct.TWICE, Conduct.STRAY):
            self.begin(order, say)
        if conduct is Conduct.TWICE:
            say.bind(uid)
        if conduct is Conduct.FULL_TWICE:
            say.end(uid, 34, pb.FULL, "lack_cpu", pb.NO_CORES)
        if conduct is Conduct.LATE:
            self.waiting[uid] = order, say
        ends: dict[Conduct, tuple[Any, ...]] = {
            Conduct.END: (16, pb.ENDED),
            Conduct.EVICT: (41, pb.RESET, "killed", pb.EVICTED),
            Conduct.FULL: (34, pb.FULL, "lack_cpu", pb.NO_CORES),
            Conduct.FULL_TWICE: (34, pb.FULL, "lack_cpu", pb.NO_CORES),
            Conduct.FAULT: (47, pb.ERROR),
            Conduct.MOOT: (102, pb.MOOT),
            Conduct.RESET: (41, pb.RESET),
            Conduct.NEEDS_HINT: (34, pb.FULL, "unfit", 8, "how long will it run?"),
            Conduct.LICENCE: (34, pb.FULL, "unfit", 12, "no licence for this program"),
            Conduct.QUARANTINED: (34, pb.FULL, "unfit", 10, "under repair"),
            Conduct.NEWER: (34, pb.FULL, "", 99, "a word of tomorrow"),
        }
        if conduct in ends:
            if uid in self.running:
                self.over(uid, ends[conduct][1])
            say.end(uid, *ends[conduct])
        if conduct is Conduct.CUT:
            self.begin(order, say, tell=False)  # it runs; its binding is cut midway
            say.cut(uid)
        if conduct is Conduct.CUT_AFTER:
            self.begin(order, say, tell=False)
            self.break_streams()
        if conduct is Conduct.CUT_BEFORE:
            self.break_streams()

    def answer(self, order: Order, say: Any) -> None:
        """Whether a task of this name runs or ran here."""
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
        """An offer that waits runs now, given up or not."""
        order, say = self.waiting.pop(uid)
        self.begin(order, say)


def _serve_binary(node: StandInNode, stream: Stream) -> Generator[Wait, int, None]:
    reader, say = binary.MessageReader(), SayBinary(node.loop, stream)
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
                        Order(
                            kind,
                            message.uid,
                            message.values.get(binary.DESCRIPTION, b""),
                            int(message.text(binary.KEY) or "0", 16),
                            message.text(binary.CLASS) or "",
                        ),
                        say,
                    )
        except WireError:
            break  # another form is no message here
    node.went(say)
    stream.close()


class SayBinary:
    """What a node of the platform says."""

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


def _serve_grpc(node: StandInNode, stream: Stream) -> Generator[Wait, int, None]:
    h2 = http2.Http2(False, stream.send)
    newer = node.form == GRPC2
    form = "thornshelf.v2" if newer else "thornshelf.v1"
    paths: dict[int, str] = {}
    says: dict[int, SayGrpc] = {}
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
                    say = says[event.stream] = SayGrpc(h2, event.stream, pb2 if newer else pb)
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
                order = Order(kind, said.uid, offer.description, offer.key, offer.task_class)
                node.order(order, says[event.stream])
    for one in says.values():
        node.went(one)
    stream.close()


def _read_order2(data: bytes) -> Order:
    said = grpc.parse(pb2.NodeOrder, data)
    kind, offer = said.WhichOneof("kind") or "", said.offer
    if kind != "offer":
        return Order(kind, said.uid, key=said.question.key)
    hint = offer.hint.ms if offer.HasField("hint") else None
    return Order(
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


class SayGrpc:
    """What a node says by gRPC, in either generation."""

    def __init__(self, h2: http2.Http2, stream: int, words: Any) -> None:
        self.h2, self.stream, self.pb = h2, stream, words
        self.load = {"x0": 3.0, "x1": 4.0}

    def _send(self, **kind: Any) -> None:
        self.h2.send(self.stream, grpc.frame(self.pb.NodeReport(**kind)))

    def hello(self, manners: Manners) -> None:
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

    def standing(self, order: Order, standing: Any, uid: int, outcome: Any) -> None:
        description = DESCRIPTION if standing in (pb2.RUNS_NOW, pb2.RAN) else b""
        answer = pb2.Answer(
            key=order.key, standing=standing, uid=uid, description=description, outcome=outcome
        )
        self._send(uid=order.uid, answer=answer)

    def cut(self, uid: int) -> None:
        whole = grpc.frame(self.pb.NodeReport(uid=uid, binding=self.pb.Binding(description=DESCRIPTION)))
        self.h2.send(self.stream, whole[: len(whole) // 2])
        self.h2.reset(self.stream)


class StandInClient:
    """A client; ``heard`` holds what came for each task, in words that both forms share."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self.loop, self.address = loop, address
        self.heard: dict[int, list[tuple[Any, ...]]] = {}
        self.placed: set[int] = set()  # ids that an answer came for
        self.hears = False  # it says which releases it has heard
        self.said: dict[int, list[Any]] = {}  # the messages themselves
        self.stream: Stream | None = None
        self.closed = False
        self.on_closed: Callable[[bool], None] = lambda _: None  # told whether it was ever connected
        self.loop.spawn(self._run())

    def hear(self, uid: int, *what: Any) -> None:
        self.heard.setdefault(uid, []).append(what)

    def _run(self) -> Generator[Wait, int, None]:
        stream = yield from connect(self.loop, *self.address, self.loop.now + 5_000_000)
        if isinstance(stream, int):
            self.closed = True
            self.on_closed(False)
            return
        self.stream = stream
        self.begin(stream)
        while data := (yield from stream.read()):
            self.take(data)
        stream.close()
        if not self.closed:
            self.closed = True
            self.on_closed(True)

    def begin(self, stream: Stream) -> None:
        raise NotImplementedError

    def take(self, data: bytes) -> None:
        raise NotImplementedError

    def ask(self, uid: int, conduct: Conduct, task_class: str = "lookup", **changes: Any) -> None:
        raise NotImplementedError

    def give_up(self, uid: int) -> None:
        raise NotImplementedError

    def ask_for(self, uid: int, key: int, task_class: str, hint: str | None, service: int, size: Any) -> None:
        """A set-up with all its figures; ``size``: cores and memory."""
        raise NotImplementedError


_CAUSES = {34: "refused", 42: "refused", 102: "refused"}
_ENDS = {16: pb.ENDED, 31: pb.CANCELLED, 41: pb.RESET}


class JsonClient(StandInClient):
    """The platform's form."""

    def begin(self, stream: Stream) -> None:
        self.reader = jsonl.LineReader()
        if self.hears:  # said at once, so that it holds from the first release on
            stream.send(jsonl.encode_line("stopped", jsonl.UNNAMED))

    def send(self, data: bytes) -> None:
        assert self.stream is not None
        self.stream.send(data)

    def ask(self, uid: int, conduct: Conduct, task_class: str = "lookup", **changes: Any) -> None:
        extras = f"cores:1;memory:2;service:{7:016x}"
        if "at" in changes:
            extras += f";at:{changes.pop('at')}"
        meta = {"class": task_class, "left": "8000", "tenant": "hollis-county", "key": f"{uid:016x}"}
        meta |= {"hint": "8200.0", "extras": extras} | changes
        meta = {name: value for name, value in meta.items() if value is not None}
        line = {"kind": "launch", "uid": f"{uid:016x}", "meta": meta, "body": conduct.value.decode()}
        self.send(json.dumps(line).encode() + b"\n")

    def give_up(self, uid: int) -> None:
        self.send(jsonl.encode_line("stop", uid, reason=16))

    def ask_for(self, uid: int, key: int, task_class: str, hint: str | None, service: int, size: Any) -> None:
        extras = f"cores:{size[0]:g};memory:{size[1]:g};service:{service:016x}"
        meta = {"class": task_class, "left": "8000", "tenant": "hollis-county", "key": f"{key:016x}"}
        meta |= {"extras": extras} | ({} if hint is None else {"hint": hint})
        self.send(jsonl.encode_line("launch", uid, meta, body=b"x"))

    def take(self, data: bytes) -> None:
        self.reader.feed(data)
        while (line := self.reader.next()) is not None:
            self.said.setdefault(line.uid, []).append(line)
            placed = line.uid in self.placed
            if line.kind == "running":
                self.placed.add(line.uid)
                self.hear(line.uid, "placed", line.body)
            elif line.kind == "stop" and placed:
                if self.hears:
                    self.send(jsonl.encode_line("stopped", line.uid))
                self.hear(line.uid, "released", _ENDS[line.reason or 0])
            elif line.kind == "stop":
                self.hear(line.uid, _CAUSES.get(line.reason or 0, "failed"), line.meta.get("wait"))
            elif line.kind == "checked":
                self.hear(line.uid, "checked", line.reason)


class GrpcClient(StandInClient):
    """gRPC: one Dispatch stream."""

    form = "thornshelf.v1"
    words: Any = pb

    def begin(self, stream: Stream) -> None:
        self.h2 = http2.Http2(True, stream.send)
        self.call = self.open("Dispatch")
        if self.hears and self.words is pb2:
            self.h2.send(self.call, grpc.frame(pb2.ClientMessage(heard=0)))
        self.status: dict[int, dict[str, str]] = {}

    def open(self, method: str, **more: str) -> int:
        path = f"/{self.form}.Placement/{method}"
        headers = [(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", HOST)]
        headers += [("te", "trailers"), ("content-type", "application/grpc")]
        return self.h2.call(headers + [(name.replace("_", "-"), value) for name, value in more.items()])

    def message(self, uid: int, conduct: Conduct, task_class: str, **changes: Any) -> Any:
        values: dict[str, Any] = {"left_ms": float(changes.pop("left", 8000)), "tenant": "hollis-county"}
        key, hint = changes.pop("key", f"{uid:x}"), changes.pop("hint", "8200")
        values |= {"key": int(key, 16)} | changes
        if hint is not None:
            values["hint_ms" if self.words is pb else "hint"] = (
                float(hint) if self.words is pb else pb2.Hint(ms=float(hint))
            )
        return self.words.Ask(
            uid=uid, task_class=task_class, cores=1.0, memory=2.0, service=7, description=conduct.value, **values,
        )  # fmt: skip

    def ask(self, uid: int, conduct: Conduct, task_class: str = "lookup", **changes: Any) -> None:
        said = self.words.ClientMessage(ask=self.message(uid, conduct, task_class, **changes))
        self.h2.send(self.call, grpc.frame(said))

    def give_up(self, uid: int) -> None:
        self.h2.send(self.call, grpc.frame(self.words.ClientMessage(give_up=uid)))

    def ask_for(self, uid: int, key: int, task_class: str, hint: str | None, service: int, size: Any) -> None:
        ask = self.message(uid, Conduct.RUN, task_class, key=f"{key:x}", hint=hint)
        ask.service, (ask.cores, ask.memory) = service, size
        self.h2.send(self.call, grpc.frame(self.words.ClientMessage(ask=ask)))

    def take(self, data: bytes) -> None:
        for event in self.h2.receive(data):
            if isinstance(event, http2.Ended):
                self.status.setdefault(event.stream, event.trailers)
            elif isinstance(event, http2.Opened) and "grpc-status" in event.headers:
                self.status[event.stream] = event.headers
            elif isinstance(event, http2.Received):
                self._verdict(grpc.parse(self.words.Verdict, event.data))

    def _verdict(self, verdict: Any) -> None:
        self.said.setdefault(verdict.uid, []).append(verdict)
        match verdict.WhichOneof("kind"):
            case "binding":
                self.hear(verdict.uid, "placed", verdict.binding.description)
            case "refusal":
                wait = str(verdict.refusal.wait_ms) if verdict.refusal.HasField("wait_ms") else None
                self.hear(verdict.uid, "refused", wait)
            case "failure":
                self.hear(verdict.uid, "failed", None)
            case "release":
                if self.hears and self.words is pb2:
                    self.h2.send(self.call, grpc.frame(self.words.ClientMessage(heard=verdict.uid)))
                self.hear(verdict.uid, "released", verdict.release.outcome)


class GrpcClient2(GrpcClient):
    """The second generation."""

    form = "thornshelf.v2"
    words = pb2


CLIENTS: dict[str, type[StandInClient]] = {JSON: JsonClient, GRPC: GrpcClient, GRPC2: GrpcClient2}


worlds: list[World] = []  # to be closed at each test's end


class World:
    """A dispatcher with two nodes and one client, all on one loop."""

    def __init__(
        self,
        front: str = JSON,
        node: str = BINARY,
        nodes: int = 2,
        terms: Terms | None = None,
        manners: Callable[[StandInNode], None] = lambda _: None,
        **more: Any,
    ) -> None:
        """``terms``: the translation layer, which nodes of the second generation need in any case."""
        worlds.append(self)
        self.loop = Loop()
        self.logged: list[tuple[int, str, dict[str, object], str]] = []
        self.nodes = [StandInNode(self.loop, node) for _ in range(nodes)]
        for one in self.nodes:
            manners(one)
        if terms is None and node == GRPC2:
            terms = Terms()
        if terms is not None and not terms.forms and terms.otherwise == (Form.MESSAGES,):
            terms = replace(terms, otherwise=(FORMS[node],))
        config = read_config({"LB_CONFIG": str(CONFIG)})
        events = {"seq": 1, "fleet": {"reset": True, "instances": [self.entry(i) for i in range(nodes)]}}
        config = replace(
            config,
            listen=(HOST, 0),
            known={"seq": 1, "results": [events]},
            grpc=GrpcConfig(listen=(HOST, 0), all_nodes=node == GRPC),
            translate=terms,
            **more,
        )
        self.service = Service(config, self.loop, lambda *line: self.logged.append(line))
        self.client = self.join(front)

    def close(self) -> None:
        """Give back all sockets."""
        self.service.close()
        for node in self.nodes:
            node.sock.close()

    def entry(self, index: int, lifecycle: str = "in_service", started: int = 0) -> dict[str, Any]:
        """A node as the change log shows it."""
        return {
            "instanceId": f"s-{index + 1:08x}", "hostPort": f"{HOST}:{self.nodes[index].port}",
            "zone": "jackson-dc", "machineType": "node-small", "cell": 1, "lifecycle": lifecycle,
            "weight": 1, "startedAtMs": started,
        }  # fmt: skip

    def tell(self, index: int, lifecycle: str) -> None:
        """A change of the list."""
        self.tell_entry(self.entry(index, lifecycle))

    def tell_entry(self, value: dict[str, Any]) -> None:
        """A change of the list, as the change log words it."""
        entry = read_entry(value, self.service.monotonic_us)
        self.service.core.list_changed(ListChange(False, 2, [entry]))

    def join(self, front: str) -> Any:
        """One more client, connected."""
        at = self.service.fronts[0 if front == JSON else 1].listener.address
        client = CLIENTS[front](self.loop, at)
        self.until(lambda: client.stream is not None)
        return client

    def until(self, done: Callable[[], bool]) -> None:
        """Turn the loop until something holds; fails where it takes too long."""
        limit = time.monotonic() + LIMIT_S
        while not done():
            assert time.monotonic() < limit, "it did not come about in time"
            self.loop.after(20_000, lambda: None)
            self.loop.turn()

    def settle(self, milliseconds: int = 50) -> None:
        """Turn for a while, to see that nothing more happens."""
        end = self.loop.now + milliseconds * 1000
        self.until(lambda: self.loop.now >= end)

    def offers(self, uid: int) -> int:
        """How often a task was offered, by all nodes together."""
        return sum(node.offers(uid) for node in self.nodes)

    def heard(self, uid: int, count: int = 1) -> list[tuple[Any, ...]]:
        """What the client heard of a task, once that is so much."""
        self.until(lambda: len(self.client.heard.get(uid, [])) >= count)
        return list(self.client.heard[uid])
