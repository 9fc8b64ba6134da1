"""Samples of what clients and nodes send and are sent: JSON lines, binary messages, and both generations of gRPC."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import Any

from google.protobuf.message import Message

from tests.golden.fleet import AT_US, FIRST_UID, KEY, NODE, SECOND_UID, full_setup, make_core
from tests.golden.sample import Format, Sample
from thornshelf.core import (
    AnswerMetadata,
    Attempt,
    ClientConnected,
    NodeEndpoint,
    TaskFinished,
    TaskProgress,
    TaskRequest,
    TaskStarted,
    TaskStatusReply,
)
from thornshelf.frontends.grpc_connection import GrpcConnection
from thornshelf.frontends.grpc_messages import GrpcCodecV1, GrpcCodecV2
from thornshelf.frontends.grpc_streams import DispatchCall
from thornshelf.frontends.json_lines import JsonLinesConnection, JsonLinesFrontend
from thornshelf.loop import Chunk, Loop, Stream
from thornshelf.nodes.binary import BinaryLink, BinaryNodeConnection
from thornshelf.nodes.grpc import GrpcLink, GrpcLinkV2, GrpcNodeConnection
from thornshelf.nodes.node_link import NodeLink
from thornshelf.placement import Health, LoadReport, Outcome, Reason, TaskUpdateKind
from thornshelf.translation.capabilities import NodeCapabilities
from thornshelf.translation.failures import FailureCause, FailureReason, RetryAdvice
from thornshelf.translation.missing_fields import LifetimeHint
from thornshelf.wire import binary, grpc, jsonl
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire import placement_v2_pb2 as pb2


class Recorder(Stream):
    """A stream that keeps what is sent on it."""

    def __init__(self) -> None:
        ours, theirs = socket.socketpair()
        super().__init__(Loop(), ours, "10.1.0.1")
        theirs.close()
        self.data = b""

    def send(self, data: bytes) -> Chunk:
        self.data += data
        return Chunk(data)


WHY = FailureCause(reason=FailureReason.HINT_NEEDED, text="say how long", advice=RetryAdvice.CHANGED)
ASIDE = AnswerMetadata(
    assumed_hint=LifetimeHint(duration_us=15_000_000, assumed=True), joined_running_task=True
)

# JSON lines


def line_of(act: Callable[[JsonLinesConnection], object]) -> bytes:
    """What a client hears in JSON lines."""
    front: Any = SimpleNamespace(admission_filter=None)
    stream = Recorder()
    act(JsonLinesConnection(frontend=front, stream=stream))
    stream.close()
    return stream.data


def read_line(data: bytes) -> object:
    reader = jsonl.LineReader()
    reader.feed(data)
    return reader.next()


def answer_sample(name: str, act: Callable[[JsonLinesConnection], object], line: jsonl.Line) -> Sample:
    return Sample(name, lambda: line_of(act), read_line, line)


def release_line(outcome: Outcome, reason: int) -> Sample:
    return answer_sample(
        f"release-{outcome.value}".replace(" ", "-"),
        lambda to: to.send_release(FIRST_UID, outcome, Reason.EVICTED),
        jsonl.Line(kind="stop", uid=FIRST_UID, meta={}, reason=reason),
    )


ANSWERS = [
    answer_sample(
        "running",
        lambda to: to.send_running(FIRST_UID, "at s-1 é".encode()),
        jsonl.Line(kind="running", uid=FIRST_UID, meta={}, body="at s-1 é".encode()),
    ),
    answer_sample(
        "running-with-assumed-hint",
        lambda to: to.send_running(5, b"at s-1", ASIDE),
        jsonl.Line(kind="running", uid=5, meta={"hint": "15000", "assumed": "hint"}, body=b"at s-1"),
    ),
    answer_sample(
        "refused",
        lambda to: to.send_rejected(5, 1_500_000, WHY),
        jsonl.Line(kind="stop", uid=5, meta={"wait": "1500", "why": "hint needed: say how long"}, reason=34),
    ),
    answer_sample(
        "refused-without-reason",
        lambda to: to.send_rejected(5, None),
        jsonl.Line(kind="stop", uid=5, meta={}, reason=34),
    ),
    answer_sample(
        "failed",
        lambda to: to.send_failed(5, WHY),
        jsonl.Line("stop", 5, {"why": "hint needed: say how long"}, 41),
    ),
    release_line(Outcome.OK, 16),
    release_line(Outcome.CANCELLED, 31),
    *(release_line(one, 41) for one in Outcome if one not in (Outcome.OK, Outcome.CANCELLED)),
    answer_sample("move", lambda to: to.send_migrate(5), jsonl.Line(kind="migrate", uid=5, meta={})),
    Sample(
        "unreadable",
        lambda: jsonl.encode_line(kind="stop", uid=jsonl.UNKNOWN_UID, reason=jsonl.UNREADABLE),
        read_line,
        jsonl.Line(kind="stop", uid=0, meta={}, reason=100),
    ),
    Sample(
        "checked",
        lambda: jsonl.encode_line(kind="checked", uid=5, reason=1),
        read_line,
        jsonl.Line(kind="checked", uid=5, meta={}, reason=1),
    ),
]


class ToldFront(JsonLinesFrontend):
    """A front without a listening socket, for what a client's line becomes in the core."""

    def __init__(self) -> None:
        self.core, self.loop, self.admission_filter, self.shutting_down = make_core(), Loop(), None, False
        self._connections = {}


def taken_by_the_front(data: bytes) -> object:
    """A set-up of a client as the core gets it; times by which it has to be answered count from its coming."""
    front, stream = ToldFront(), Recorder()
    line = read_line(data)
    assert isinstance(line, jsonl.Line)
    front._handle_line(JsonLinesConnection(frontend=front, stream=stream), line, arrived=AT_US)
    stream.close()
    (item,) = front.core.inbox
    assert isinstance(item, TaskRequest)
    assert not stream.data
    return told_of(item, AT_US)


def told_of(item: TaskRequest, came_us: int) -> tuple[object, ...]:
    """All that the core is told of a set-up."""
    told = item.uid, item.task_class, item.tenant, item.idempotency_key, item.lifetime_hint_us, item.service
    return *told, item.cores, item.memory, item.running_on, item.description, item.deadline_us - came_us


def request(meta: dict[str, str], body: bytes | None) -> Callable[[], bytes]:
    return lambda: jsonl.encode_line(kind="launch", uid=FIRST_UID, meta=meta, body=body)


FULL_META = {
    "class": "ledger-batch", "left": "6000", "tenant": "hollis-county", "key": f"{KEY:x}", "hint": "8200",
    "extras": "cores:1.5;memory:2.25;service:1f;at:s-1",
}  # fmt: skip
FULL_TOLD = (
    FIRST_UID,
    "ledger-batch",
    "hollis-county",
    KEY,
    8_200_000,
    0x1F,
    1.5,
    2.25,
    "s-1",
    b"body",
    5_997_000,
)
BARE_TOLD = FIRST_UID, "lookup", None, 0, None, 0, 0.0, 0.0, None, b"", 97_000
REQUESTS = [
    Sample("launch", request(FULL_META, b"body"), taken_by_the_front, FULL_TOLD),
    Sample(
        "launch-with-least", request({"class": "lookup", "left": "100"}, None), taken_by_the_front, BARE_TOLD
    ),
    *(
        Sample(f"request-{kind}", partial(jsonl.encode_line, kind, 5), read_line, jsonl.Line(kind, 5, {}))
        for kind in jsonl.KINDS
    ),
    Sample("words", lambda: json.dumps([jsonl.KINDS, jsonl.OUT_FIELDS, jsonl.CAUSES]).encode() + b"\n"),
]
LINES = Format("lines.txt", ANSWERS + REQUESTS, binary=False)

# nodes

ENTRY = NodeEndpoint(
    name=NODE,
    address="127.0.0.1:3901",
    health=Health.UP,
    kind="node-small",
    zone="jackson-dc",
    cell=1,
    weight=1.0,
    started_us=None,
)
MACHINE = 77


def first_link() -> GrpcLink:
    return GrpcLink(GrpcNodeConnection(Loop(), MACHINE, ENTRY, make_core()), Recorder())


def second_link() -> GrpcLinkV2:
    return GrpcLinkV2(
        GrpcNodeConnection(Loop(), MACHINE, ENTRY, make_core()),
        Recorder(),
        lambda _: LifetimeHint(duration_us=15_000_000, assumed=True),
    )


def platform_link() -> BinaryLink:
    return BinaryLink(BinaryNodeConnection(Loop(), MACHINE, ENTRY, make_core()), Recorder())


def attempt_of(link: NodeLink) -> Attempt:
    """An offer with all that any form tells of it, and 4.2 s left."""
    now = link.node.loop.now
    return Attempt(
        uid=FIRST_UID,
        number=1,
        task_class="ledger-batch",
        idempotency_key=KEY,
        description=b"body",
        sent_us=now,
        deadline_us=now + 4_200_000,
        machine=MACHINE,
        request=full_setup(FIRST_UID),
        priority=2,
        at_most_once=True,
    )


def sent_by(act: Callable[[BinaryLink], object]) -> Callable[[], bytes]:
    """What a node is told in binary messages."""

    def encode() -> bytes:
        link = platform_link()
        act(link)
        assert isinstance(link.stream, Recorder)
        return link.stream.data

    return encode


def read_binary(data: bytes) -> object:
    reader = binary.MessageReader()
    reader.feed(data)
    return reader.next()


def heard_from(data: bytes) -> object:
    """What the core is told of a node's binary message, for which an offer is out."""
    link = platform_link()
    link.send_attempt(attempt_of(link))
    assert link.receive(data) is None
    return list(link.node.core.inbox)


def order(
    name: str, act: Callable[[BinaryLink], object], kind: int, uid: int, values: dict[int, bytes]
) -> Sample:
    return Sample(name, sent_by(act), read_binary, binary.Message(type=kind, uid=uid, values=values))


def news(name: str, kind: int, values: dict[int, bytes], *heard: object) -> Sample:
    return Sample(name, lambda: binary.encode(kind, FIRST_UID, values), heard_from, list(heard))


SET_UP_VALUES = {129: b"ledger-batch", 132: b"4200", 141: f"{KEY:016x}".encode(), 174: b"body"}
LOAD = b"active:1;queue:2;cpu:0.5;avg_ms:3;rps:4;err_rps:5;x0:6;x1:7;nonsense:8"
REPORT = LoadReport(
    free_cores=6.0,
    free_memory=7.0,
    active=1.0,
    waiting=2.0,
    busy=0.5,
    start_ms=3.0,
    starts_per_s=4.0,
    errors_per_s=5.0,
)
CAUSES = {34: Outcome.REFUSED, 47: Outcome.ERROR, 102: Outcome.NOT_SENT, 99: Outcome.BROKEN}
NOTES = {
    b"running": TaskUpdateKind.STARTED, b"use_cpu": TaskUpdateKind.CORES_USED, b"use_ram": TaskUpdateKind.MEMORY_USED,
    b"health": TaskUpdateKind.SERVED_FRACTION, b"ram_high": TaskUpdateKind.MACHINE_MEMORY,
}  # fmt: skip
REASONS = {
    b"lack_cpu": Reason.NO_CORES, b"lack_ram": Reason.NO_MEMORY, b"backlog": Reason.QUEUE_FULL,
    b"unfit": Reason.NOT_SERVING, b"killed": Reason.EVICTED, b"displaced": Reason.PREEMPTED,
    b"dismissed": Reason.DRAINED,
}  # fmt: skip


def finished(
    outcome: Outcome, reason: Reason = Reason.UNSPECIFIED, report: LoadReport | None = None
) -> TaskFinished:
    return TaskFinished(machine=MACHINE, uid=FIRST_UID, outcome=outcome, reason=reason, load_report=report)


def noted(fact: TaskUpdateKind, level: float) -> TaskProgress:
    return TaskProgress(machine=MACHINE, uid=FIRST_UID, fact=fact, level=level)


STARTED = TaskStarted(machine=MACHINE, uid=FIRST_UID, description=b"at s-1")
BINARY = Format(
    "binary.txt",
    [
        order("set-up", lambda link: link.send_attempt(attempt_of(link)), 1, FIRST_UID, SET_UP_VALUES),
        order("release", lambda link: link.cancel_task(FIRST_UID), 12, FIRST_UID, {171: b"\x10"}),
        order("probe", lambda link: link.check_health(), 52, 0, {171: b"\x01"}),
        order("test", lambda link: link.ping(), 52, 1, {171: b"\x00"}),
        news("answer", binary.ANSWER, {binary.DESCRIPTION: b"at s-1"}, STARTED),
        news(
            "answer-that-is-over",
            binary.RELEASE,
            {binary.CAUSE: b"\x10", binary.DESCRIPTION: b"at s-1"},
            STARTED,
            finished(Outcome.OK),
        ),
        news(
            "end-with-load",
            binary.RELEASE,
            {binary.CAUSE: b"\x22", binary.REPORT: LOAD},
            finished(Outcome.REFUSED, report=REPORT),
        ),
        *(
            news(f"end-{cause}", binary.RELEASE, {binary.CAUSE: bytes((cause,))}, finished(outcome))
            for cause, outcome in CAUSES.items()
        ),
        *(
            news(
                f"end-{word.decode()}",
                binary.RELEASE,
                {binary.CAUSE: b"\x22", binary.NOTE_NAME: word},
                finished(Outcome.REFUSED, reason),
            )
            for word, reason in REASONS.items()
        ),
        *(
            news(
                f"note-{word.decode()}",
                binary.NOTE,
                {binary.NOTE_NAME: word, binary.FIGURE: b"0.75"},
                noted(fact, 0.75),
            )
            for word, fact in NOTES.items()
        ),
    ],
)

# gRPC


def framed(name: str, make: Callable[[], Message]) -> Sample:
    """A message of this program to a client or node."""
    message = make()

    def decode(data: bytes) -> object:
        framer = grpc.Framer()
        framer.feed(data)
        return grpc.parse(type(message), framer.next() or b"")

    return Sample(name, lambda: grpc.frame(make()), decode, message)


def verdicts(speech: GrpcCodecV1) -> list[Sample]:
    """All that a client of one generation can be told."""
    made = {
        "binding": lambda: speech.encode_running(FIRST_UID, b"at s-1", None),
        "binding-with-assumed-hint": lambda: speech.encode_running(FIRST_UID, b"at s-1", ASIDE),
        "refusal": lambda: speech.encode_rejected(FIRST_UID, 1_500_000, WHY),
        "refusal-without-reason": lambda: speech.encode_rejected(FIRST_UID, None, None),
        "failure": lambda: speech.encode_failed(FIRST_UID, WHY),
        "failure-without-reason": lambda: speech.encode_failed(FIRST_UID, None),
        "unreadable": lambda: speech.encode_invalid_request(FIRST_UID, "no such class"),
        "release-with-reason": lambda: speech.encode_release(FIRST_UID, Outcome.BROKEN, Reason.EVICTED, WHY),
        "move": lambda: speech.encode_migrate(FIRST_UID),
        "check-reply": lambda: speech.check_reply_type(passed=True),
    }
    found = [framed(f"{speech.wire_form.value}-{name}", make) for name, make in made.items()]
    for one in Outcome:
        name = f"{speech.wire_form.value}-release-{one.value}".replace(" ", "-")
        found.append(framed(name, partial(speech.encode_release, FIRST_UID, one, Reason.UNSPECIFIED, None)))
    return found


def asks(speech: GrpcCodecV1, full: Message, bare: Message) -> list[Sample]:
    """A client's set-ups, and what the core is told of them."""

    def taken_by_the_call(data: bytes) -> object:
        core, loop = make_core(), Loop()
        front: Any = SimpleNamespace(core=core, admission_filter=None, loop=loop)
        session = GrpcConnection(frontend=front, stream=Recorder())
        call = DispatchCall(connection=session, stream_id=1, timeout_us=None, codec=speech)
        assert call.submit(grpc.parse(speech.client_message_type, data[5:]).ask)
        came, item = core.inbox
        assert isinstance(came, ClientConnected)
        assert isinstance(item, TaskRequest)
        session.stream.close()
        return told_of(item, loop.earliest_arrival_us)

    name = speech.wire_form.value
    return [
        Sample(f"{name}-ask", lambda: grpc.frame(full), taken_by_the_call, FULL_TOLD),
        Sample(f"{name}-ask-with-least", lambda: grpc.frame(bare), taken_by_the_call, CALL_TOLD),
    ]


CALL_TOLD = 5, "lookup", None, 0, None, 0, 0.0, 0.0, None, b"", 97_000
FIRST_ASK = pb.Ask(
    uid=FIRST_UID,
    task_class="ledger-batch",
    left_ms=6000.0,
    tenant="hollis-county",
    key=KEY,
    hint_ms=8200.0,
    cores=1.5,
    memory=2.25,
    service=0x1F,
    at="s-1",
    description=b"body",
)
SECOND_ASK = pb2.Ask(
    uid=FIRST_UID,
    task_class="ledger-batch",
    left_ms=6000.0,
    tenant="hollis-county",
    key=KEY,
    hint=pb2.Hint(ms=8200.0, assumed=False),
    cores=1.5,
    memory=2.25,
    service=0x1F,
    at="s-1",
    description=b"body",
)
LEAST_ASK = pb.Ask(uid=5, task_class="lookup", left_ms=100.0)
ASSUMED_ASK = pb2.Ask(uid=5, task_class="lookup", left_ms=100.0, hint=pb2.Hint(ms=8200.0, assumed=True))


def orders() -> list[Sample]:
    """What nodes are told."""
    first, second = first_link(), second_link()
    return [
        framed("v1-offer", lambda: first._offer(attempt_of(first))),
        framed("v1-release-order", lambda: first._release(FIRST_UID)),
        framed("v2-offer", lambda: second._offer(attempt_of(second))),
        framed("v2-release-order", lambda: second._release(FIRST_UID)),
        framed("v2-question", lambda: pb2.NodeOrder(uid=FIRST_UID, question=pb2.Question(key=KEY))),
    ]


def heard(name: str, make_link: Callable[[], GrpcLink], report: Message, *items: object) -> Sample:
    """A node's report, and what the core is told of it."""

    def decode(data: bytes) -> object:
        link = make_link()
        link._process_report(grpc.parse(link.report_type, data[5:]))
        hello = link.capabilities if isinstance(link, GrpcLinkV2) else None
        return [*link.node.core.inbox, *([hello] if hello is not None else [])]

    return Sample(name, lambda: grpc.frame(report), decode, list(items))


CAUSE = FailureCause(reason=FailureReason.LICENCE, text="no licence", advice=RetryAdvice.CHANGED)
HELD = TaskStatusReply(
    machine=MACHINE,
    idempotency_key=KEY,
    status_code=4,
    queried_uid=FIRST_UID,
    uid=SECOND_UID,
    description=b"at s-1",
    outcome=Outcome.OK,
    reason=Reason.EVICTED,
)
REPORTS = [
    heard(
        "v1-binding",
        first_link,
        pb.NodeReport(uid=FIRST_UID, binding=pb.Binding(description=b"at s-1")),
        STARTED,
    ),
    heard(
        "v1-ended",
        first_link,
        pb.NodeReport(uid=FIRST_UID, end=pb.End(outcome=pb.ENDED, reason=pb.PUSHED_OUT)),
        finished(Outcome.OK, Reason.PREEMPTED),
    ),
    heard(
        "v1-note",
        first_link,
        pb.NodeReport(uid=FIRST_UID, note=pb.Note(fact=pb.RUNS, level=1.0)),
        noted(TaskUpdateKind.STARTED, 1.0),
    ),
    heard(
        "v2-end",
        second_link,
        pb2.NodeReport(
            uid=FIRST_UID,
            end=pb2.End(
                outcome=pb2.FULL,
                reason=pb2.LICENCE,
                load=pb2.Load(fields={"x0": 6.0}),
                text="no licence",
                advice=pb2.CHANGED,
            ),
        ),
        TaskFinished(
            MACHINE, FIRST_UID, Outcome.BROKEN, Reason.UNSPECIFIED, LoadReport(free_cores=6.0), CAUSE
        ),
    ),
    heard(
        "v2-hello",
        second_link,
        pb2.NodeReport(
            hello=pb2.Hello(generation=2, name="s-1", requires=[pb2.HINT, pb2.KEY], answers_questions=True)
        ),
        NodeCapabilities(generation=2, name="s-1", required_fields=frozenset({1, 4}), answers_queries=True),
    ),
    heard(
        "v2-answer",
        second_link,
        pb2.NodeReport(
            uid=FIRST_UID,
            answer=pb2.Answer(
                key=KEY,
                standing=pb2.RAN,
                uid=SECOND_UID,
                description=b"at s-1",
                outcome=pb2.ENDED,
                reason=pb2.EVICTED,
            ),
        ),
        HELD,
    ),
]


def generations() -> bytes:
    """Names of the services and numbers of the words of the second generation."""
    words = pb2.Reason.items() + pb2.Advice.items() + pb2.Outcome.items() + pb2.Fact.items()
    words += pb2.Standing.items() + pb2.Requirement.items()
    mine = [FailureReason.__members__, RetryAdvice.__members__]
    services = [GrpcCodecV1.service_path, GrpcCodecV2.service_path, GrpcLink.service, GrpcLinkV2.service]
    return json.dumps(
        [services, words, [{name: int(one) for name, one in each.items()} for each in mine]]
    ).encode()


def descriptors() -> list[Sample]:
    """Both interfaces with all names, types and numbers of fields, as any other program reads them."""
    return [
        Sample("v1", lambda: pb.DESCRIPTOR.serialized_pb),
        Sample("v2", lambda: pb2.DESCRIPTOR.serialized_pb),
        Sample("words", generations),
    ]


GRPC = Format(
    "grpc.txt",
    [
        *verdicts(GrpcCodecV1()),
        *verdicts(GrpcCodecV2()),
        *asks(
            GrpcCodecV1(),
            pb.ClientMessage(ask=FIRST_ASK),
            pb.ClientMessage(ask=LEAST_ASK),
        ),
        *asks(GrpcCodecV2(), pb2.ClientMessage(ask=SECOND_ASK), pb2.ClientMessage(ask=ASSUMED_ASK)),
        framed("v1-give-up", lambda: pb.ClientMessage(give_up=FIRST_UID)),
        framed("v2-heard", lambda: pb2.ClientMessage(heard=FIRST_UID)),
        *orders(),
        *REPORTS,
        *descriptors(),
    ],
)
FORMATS = [LINES, BINARY, GRPC]
