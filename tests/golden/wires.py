"""Samples of the client and node protocols: JSON lines, binary messages, and both generations of gRPC."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import Any

from google.protobuf.message import Message

from tests.golden.fleet import KEY, NODE, NODE_TASK_UID, TASK_UID, TIMESTAMP_US, full_request, make_core
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
from thornshelf.core.task_release import Release, TaskOwner
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
    """A stream that records what is sent on it."""

    def __init__(self) -> None:
        ours, theirs = socket.socketpair()
        super().__init__(Loop(), ours, "10.1.0.1")
        theirs.close()
        self.data = b""

    def send(self, data: bytes) -> Chunk:
        self.data += data
        return Chunk(data)


REJECTION_CAUSE = FailureCause(
    reason=FailureReason.HINT_NEEDED, text="say how long", advice=RetryAdvice.CHANGED
)
ANSWER_METADATA = AnswerMetadata(
    assumed_hint=LifetimeHint(duration_us=15_000_000, assumed=True), joined_running_task=True
)

# JSON lines


def encode_answer(send: Callable[[JsonLinesConnection], object]) -> bytes:
    """Returns the JSON line that is sent to a client."""
    frontend: Any = SimpleNamespace(admission_filter=None)
    stream = Recorder()
    send(JsonLinesConnection(frontend=frontend, stream=stream))
    stream.close()
    return stream.data


def decode_line(data: bytes) -> object:
    reader = jsonl.LineReader()
    reader.feed(data)
    return reader.next()


def answer_sample(name: str, send: Callable[[JsonLinesConnection], object], line: jsonl.Line) -> Sample:
    return Sample(name, lambda: encode_answer(send), decode_line, line)


def release_sample(outcome: Outcome, reason: int) -> Sample:
    return answer_sample(
        f"release-{outcome.value}".replace(" ", "-"),
        lambda client: client.send_release(
            Release(TASK_UID, TaskOwner("10.1.0.1", None), outcome, Reason.EVICTED)
        ),
        jsonl.Line(kind="stop", uid=TASK_UID, meta={}, reason=reason),
    )


ANSWERS = [
    answer_sample(
        "running",
        lambda client: client.send_running(TASK_UID, "at s-1 é".encode()),
        jsonl.Line(kind="running", uid=TASK_UID, meta={}, body="at s-1 é".encode()),
    ),
    answer_sample(
        "running-with-assumed-hint",
        lambda client: client.send_running(5, b"at s-1", ANSWER_METADATA),
        jsonl.Line(kind="running", uid=5, meta={"hint": "15000", "assumed": "hint"}, body=b"at s-1"),
    ),
    answer_sample(
        "refused",
        lambda client: client.send_rejected(5, 1_500_000, REJECTION_CAUSE),
        jsonl.Line(kind="stop", uid=5, meta={"wait": "1500", "why": "hint needed: say how long"}, reason=34),
    ),
    answer_sample(
        "refused-without-reason",
        lambda client: client.send_rejected(5, None),
        jsonl.Line(kind="stop", uid=5, meta={}, reason=34),
    ),
    answer_sample(
        "failed",
        lambda client: client.send_failed(5, REJECTION_CAUSE),
        jsonl.Line("stop", 5, {"why": "hint needed: say how long"}, 41),
    ),
    release_sample(Outcome.OK, 16),
    release_sample(Outcome.CANCELLED, 31),
    *(release_sample(outcome, 41) for outcome in Outcome if outcome not in (Outcome.OK, Outcome.CANCELLED)),
    answer_sample("move", lambda client: client.send_migrate(5), jsonl.Line(kind="migrate", uid=5, meta={})),
    Sample(
        "unreadable",
        lambda: jsonl.encode_line(kind="stop", uid=jsonl.UNKNOWN_UID, reason=jsonl.UNREADABLE),
        decode_line,
        jsonl.Line(kind="stop", uid=0, meta={}, reason=100),
    ),
    Sample(
        "checked",
        lambda: jsonl.encode_line(kind="checked", uid=5, reason=1),
        decode_line,
        jsonl.Line(kind="checked", uid=5, meta={}, reason=1),
    ),
]


class SocketlessFrontend(JsonLinesFrontend):
    """A frontend without a listening socket, which passes requests to a core."""

    def __init__(self) -> None:
        self.core, self.loop, self.admission_filter, self.shutting_down = make_core(), Loop(), None, False
        self._connections = {}


def import_line(data: bytes) -> object:
    """Returns the fields of the request that the core receives for a client's line."""
    frontend, stream = SocketlessFrontend(), Recorder()
    line = decode_line(data)
    assert isinstance(line, jsonl.Line)
    frontend._handle_line(
        JsonLinesConnection(frontend=frontend, stream=stream), line, arrived_us=TIMESTAMP_US
    )
    stream.close()
    (request,) = frontend.core.inbox
    assert isinstance(request, TaskRequest)
    assert not stream.data
    return request_fields(request, TIMESTAMP_US)


def request_fields(request: TaskRequest, arrived_us: int) -> tuple[object, ...]:
    """Returns the fields of a request, with its deadline relative to its arrival."""
    fields = (
        request.uid,
        request.task_class,
        request.tenant,
        request.idempotency_key,
        request.lifetime_hint_us,
        request.service,
    )
    return (
        *fields,
        request.cores,
        request.memory,
        request.running_on,
        request.description,
        request.deadline_us - arrived_us,
    )


def encode_request(meta: dict[str, str], body: bytes | None) -> Callable[[], bytes]:
    return lambda: jsonl.encode_line(kind="launch", uid=TASK_UID, meta=meta, body=body)


FULL_META = {
    "class": "ledger-batch", "left": "6000", "tenant": "hollis-county", "key": f"{KEY:x}", "hint": "8200",
    "extras": "cores:1.5;memory:2.25;service:1f;at:s-1",
}  # fmt: skip
FULL_FIELDS = (
    TASK_UID,
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
MINIMAL_FIELDS = TASK_UID, "lookup", None, 0, None, 0, 0.0, 0.0, None, b"", 97_000
REQUESTS = [
    Sample("launch", encode_request(FULL_META, b"body"), import_line, FULL_FIELDS),
    Sample(
        "launch-with-least",
        encode_request({"class": "lookup", "left": "100"}, None),
        import_line,
        MINIMAL_FIELDS,
    ),
    *(
        Sample(f"request-{kind}", partial(jsonl.encode_line, kind, 5), decode_line, jsonl.Line(kind, 5, {}))
        for kind in jsonl.LINE_KINDS
    ),
    Sample(
        "words", lambda: json.dumps([jsonl.LINE_KINDS, jsonl.CLIENT_FIELDS, jsonl.CAUSES]).encode() + b"\n"
    ),
]
JSON_LINES = Format("lines.txt", ANSWERS + REQUESTS, binary=False)

# nodes

ENDPOINT = NodeEndpoint(
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


def grpc_link_v1() -> GrpcLink:
    return GrpcLink(GrpcNodeConnection(Loop(), MACHINE, ENDPOINT, make_core()), Recorder())


def grpc_link_v2() -> GrpcLinkV2:
    return GrpcLinkV2(
        GrpcNodeConnection(Loop(), MACHINE, ENDPOINT, make_core()),
        Recorder(),
        lambda _: LifetimeHint(duration_us=15_000_000, assumed=True),
    )


def binary_link() -> BinaryLink:
    return BinaryLink(BinaryNodeConnection(Loop(), MACHINE, ENDPOINT, make_core()), Recorder())


def make_attempt(link: NodeLink) -> Attempt:
    """Returns an attempt with all fields that any protocol sends, and 4.2 s until its deadline."""
    now = link.node.loop.now
    return Attempt(
        uid=TASK_UID,
        number=1,
        task_class="ledger-batch",
        idempotency_key=KEY,
        description=b"body",
        sent_us=now,
        deadline_us=now + 4_200_000,
        machine=MACHINE,
        request=full_request(TASK_UID),
        priority=2,
        at_most_once=True,
    )


def encode_order(send: Callable[[BinaryLink], object]) -> Callable[[], bytes]:
    """Returns a function that encodes a binary message to a node."""

    def encode() -> bytes:
        link = binary_link()
        send(link)
        assert isinstance(link.stream, Recorder)
        return link.stream.data

    return encode


def decode_binary(data: bytes) -> object:
    reader = binary.MessageReader()
    reader.feed(data)
    return reader.next()


def import_report(data: bytes) -> object:
    """Returns the events that the core receives for a node's message about a pending attempt."""
    link = binary_link()
    link.send_attempt(make_attempt(link))
    assert link.receive(data) is None
    return list(link.node.core.inbox)


def order_sample(
    name: str, send: Callable[[BinaryLink], object], kind: int, uid: int, values: dict[int, bytes]
) -> Sample:
    return Sample(name, encode_order(send), decode_binary, binary.Message(type=kind, uid=uid, values=values))


def report_sample(name: str, kind: int, values: dict[int, bytes], *events: object) -> Sample:
    return Sample(name, lambda: binary.encode(kind, TASK_UID, values), import_report, list(events))


SET_UP_VALUES = {129: b"ledger-batch", 132: b"4200", 141: f"{KEY:016x}".encode(), 174: b"body"}
ENCODED_LOAD = b"active:1;queue:2;cpu:0.5;avg_ms:3;rps:4;err_rps:5;x0:6;x1:7;nonsense:8"
LOAD_REPORT = LoadReport(
    free_cores=6.0,
    free_memory=7.0,
    active=1.0,
    waiting=2.0,
    busy=0.5,
    start_ms=3.0,
    starts_per_s=4.0,
    errors_per_s=5.0,
)
OUTCOMES_BY_CAUSE = {34: Outcome.REFUSED, 47: Outcome.ERROR, 102: Outcome.NOT_SENT, 99: Outcome.BROKEN}
UPDATE_KINDS_BY_NOTE = {
    b"running": TaskUpdateKind.STARTED, b"use_cpu": TaskUpdateKind.CORES_USED, b"use_ram": TaskUpdateKind.MEMORY_USED,
    b"health": TaskUpdateKind.SERVED_FRACTION, b"ram_high": TaskUpdateKind.MACHINE_MEMORY,
}  # fmt: skip
REASONS_BY_NOTE = {
    b"lack_cpu": Reason.NO_CORES, b"lack_ram": Reason.NO_MEMORY, b"backlog": Reason.QUEUE_FULL,
    b"unfit": Reason.NOT_SERVING, b"killed": Reason.EVICTED, b"displaced": Reason.PREEMPTED,
    b"dismissed": Reason.DRAINED,
}  # fmt: skip


def finished_event(
    outcome: Outcome, reason: Reason = Reason.UNSPECIFIED, report: LoadReport | None = None
) -> TaskFinished:
    return TaskFinished(
        machine=MACHINE,
        uid=TASK_UID,
        outcome=outcome,
        reason=reason,
        load_report=report,
        reported_by_node=True,
    )


def progress_event(fact: TaskUpdateKind, level: float) -> TaskProgress:
    return TaskProgress(machine=MACHINE, uid=TASK_UID, fact=fact, level=level)


STARTED = TaskStarted(machine=MACHINE, uid=TASK_UID, description=b"at s-1")
BINARY = Format(
    "binary.txt",
    [
        order_sample(
            "set-up", lambda link: link.send_attempt(make_attempt(link)), 1, TASK_UID, SET_UP_VALUES
        ),
        order_sample("release", lambda link: link.cancel_task(TASK_UID), 12, TASK_UID, {171: b"\x10"}),
        order_sample("probe", lambda link: link.check_health(), 52, 0, {171: b"\x01"}),
        order_sample("test", lambda link: link.ping(), 52, 1, {171: b"\x00"}),
        report_sample("answer", binary.ANSWER, {binary.DESCRIPTION: b"at s-1"}, STARTED),
        report_sample(
            "answer-that-is-over",
            binary.RELEASE,
            {binary.CAUSE: b"\x10", binary.DESCRIPTION: b"at s-1"},
            STARTED,
            finished_event(Outcome.OK),
        ),
        report_sample(
            "end-with-load",
            binary.RELEASE,
            {binary.CAUSE: b"\x22", binary.REPORT: ENCODED_LOAD},
            finished_event(Outcome.REFUSED, report=LOAD_REPORT),
        ),
        *(
            report_sample(
                f"end-{cause}",
                binary.RELEASE,
                {binary.CAUSE: bytes((cause,))},
                finished_event(outcome),
            )
            for cause, outcome in OUTCOMES_BY_CAUSE.items()
        ),
        *(
            report_sample(
                f"end-{note.decode()}",
                binary.RELEASE,
                {binary.CAUSE: b"\x22", binary.NOTE_NAME: note},
                finished_event(Outcome.REFUSED, reason),
            )
            for note, reason in REASONS_BY_NOTE.items()
        ),
        *(
            report_sample(
                f"note-{note.decode()}",
                binary.NOTE,
                {binary.NOTE_NAME: note, binary.FIGURE: b"0.75"},
                progress_event(fact, 0.75),
            )
            for note, fact in UPDATE_KINDS_BY_NOTE.items()
        ),
    ],
)

# gRPC


def grpc_sample(name: str, encode: Callable[[], Message]) -> Sample:
    """Returns a sample of a gRPC message to or from this program."""
    message = encode()

    def decode(data: bytes) -> object:
        framer = grpc.MessageReader()
        framer.feed(data)
        return grpc.decode_message(type(message), framer.next() or b"")

    return Sample(name, lambda: grpc.encode_message(encode()), decode, message)


def answer_samples(codec: GrpcCodecV1) -> list[Sample]:
    """Returns samples of all messages to clients of one generation."""
    encoders = {
        "binding": lambda: codec.encode_running(TASK_UID, b"at s-1", None),
        "binding-with-assumed-hint": lambda: codec.encode_running(TASK_UID, b"at s-1", ANSWER_METADATA),
        "refusal": lambda: codec.encode_rejected(TASK_UID, 1_500_000, REJECTION_CAUSE),
        "refusal-without-reason": lambda: codec.encode_rejected(TASK_UID, None, None),
        "failure": lambda: codec.encode_failed(TASK_UID, REJECTION_CAUSE),
        "failure-without-reason": lambda: codec.encode_failed(TASK_UID, None),
        "unreadable": lambda: codec.encode_invalid_request(TASK_UID, "no such class"),
        "release-with-reason": lambda: codec.encode_release(
            TASK_UID, Outcome.BROKEN, Reason.EVICTED, REJECTION_CAUSE
        ),
        "move": lambda: codec.encode_migrate(TASK_UID),
        "check-reply": lambda: codec.check_reply_type(passed=True),
    }
    samples = [grpc_sample(f"{codec.wire_format.value}-{name}", encode) for name, encode in encoders.items()]
    for outcome in Outcome:
        name = f"{codec.wire_format.value}-release-{outcome.value}".replace(" ", "-")
        samples.append(
            grpc_sample(name, partial(codec.encode_release, TASK_UID, outcome, Reason.UNSPECIFIED, None))
        )
    return samples


def request_samples(codec: GrpcCodecV1, full: Message, minimal: Message) -> list[Sample]:
    """Returns samples of a client's requests, with the fields that the core receives."""

    def import_ask(data: bytes) -> object:
        core, loop = make_core(), Loop()
        frontend: Any = SimpleNamespace(core=core, admission_filter=None, loop=loop)
        connection = GrpcConnection(frontend=frontend, stream=Recorder())
        call = DispatchCall(connection=connection, stream_id=1, timeout_us=None, codec=codec)
        assert call.submit(grpc.decode_message(codec.client_message_type, data[5:]).ask)
        connected, request = core.inbox
        assert isinstance(connected, ClientConnected)
        assert isinstance(request, TaskRequest)
        connection.stream.close()
        return request_fields(request, loop.earliest_arrival_us)

    name = codec.wire_format.value
    return [
        Sample(f"{name}-ask", lambda: grpc.encode_message(full), import_ask, FULL_FIELDS),
        Sample(
            f"{name}-ask-with-least", lambda: grpc.encode_message(minimal), import_ask, MINIMAL_GRPC_FIELDS
        ),
    ]


MINIMAL_GRPC_FIELDS = 5, "lookup", None, 0, None, 0, 0.0, 0.0, None, b"", 97_000
FULL_ASK_V1 = pb.Ask(
    uid=TASK_UID,
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
FULL_ASK_V2 = pb2.Ask(
    uid=TASK_UID,
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
MINIMAL_ASK_V1 = pb.Ask(uid=5, task_class="lookup", left_ms=100.0)
MINIMAL_ASK_V2 = pb2.Ask(uid=5, task_class="lookup", left_ms=100.0, hint=pb2.Hint(ms=8200.0, assumed=True))


def node_order_samples() -> list[Sample]:
    """Returns samples of all messages to nodes."""
    v1, v2 = grpc_link_v1(), grpc_link_v2()
    return [
        grpc_sample("v1-offer", lambda: v1._make_offer(make_attempt(v1))),
        grpc_sample("v1-release-order", lambda: v1._make_release(TASK_UID)),
        grpc_sample("v2-offer", lambda: v2._make_offer(make_attempt(v2))),
        grpc_sample("v2-release-order", lambda: v2._make_release(TASK_UID)),
        grpc_sample("v2-question", lambda: pb2.NodeOrder(uid=TASK_UID, question=pb2.Question(key=KEY))),
    ]


def node_report_sample(
    name: str, make_link: Callable[[], GrpcLink], report: Message, *items: object
) -> Sample:
    """Returns a sample of a node's report, with the events that the core receives."""

    def decode(data: bytes) -> object:
        link = make_link()
        link._process_report(grpc.decode_message(link.report_type, data[5:]))
        capabilities = link.capabilities if isinstance(link, GrpcLinkV2) else None
        return [*link.node.core.inbox, *([capabilities] if capabilities is not None else [])]

    return Sample(name, lambda: grpc.encode_message(report), decode, list(items))


NODE_FAILURE_CAUSE = FailureCause(reason=FailureReason.LICENCE, text="no licence", advice=RetryAdvice.CHANGED)
TASK_STATUS = TaskStatusReply(
    machine=MACHINE,
    idempotency_key=KEY,
    status_code=4,
    queried_uid=TASK_UID,
    uid=NODE_TASK_UID,
    description=b"at s-1",
    outcome=Outcome.OK,
    reason=Reason.EVICTED,
)
NODE_REPORTS = [
    node_report_sample(
        "v1-binding",
        grpc_link_v1,
        pb.NodeReport(uid=TASK_UID, binding=pb.Binding(description=b"at s-1")),
        STARTED,
    ),
    node_report_sample(
        "v1-ended",
        grpc_link_v1,
        pb.NodeReport(uid=TASK_UID, end=pb.End(outcome=pb.ENDED, reason=pb.PUSHED_OUT)),
        finished_event(Outcome.OK, Reason.PREEMPTED),
    ),
    node_report_sample(
        "v1-note",
        grpc_link_v1,
        pb.NodeReport(uid=TASK_UID, note=pb.Note(fact=pb.RUNS, level=1.0)),
        progress_event(TaskUpdateKind.STARTED, 1.0),
    ),
    node_report_sample(
        "v2-end",
        grpc_link_v2,
        pb2.NodeReport(
            uid=TASK_UID,
            end=pb2.End(
                outcome=pb2.FULL,
                reason=pb2.LICENCE,
                load=pb2.Load(fields={"x0": 6.0}),
                text="no licence",
                advice=pb2.CHANGED,
            ),
        ),
        TaskFinished(
            MACHINE,
            TASK_UID,
            Outcome.BROKEN,
            Reason.UNSPECIFIED,
            LoadReport(free_cores=6.0),
            NODE_FAILURE_CAUSE,
            reported_by_node=True,
        ),
    ),
    node_report_sample(
        "v2-hello",
        grpc_link_v2,
        pb2.NodeReport(
            hello=pb2.Hello(generation=2, name="s-1", requires=[pb2.HINT, pb2.KEY], answers_questions=True)
        ),
        NodeCapabilities(generation=2, name="s-1", required_fields=frozenset({1, 4}), answers_queries=True),
    ),
    node_report_sample(
        "v2-answer",
        grpc_link_v2,
        pb2.NodeReport(
            uid=TASK_UID,
            answer=pb2.Answer(
                key=KEY,
                standing=pb2.RAN,
                uid=NODE_TASK_UID,
                description=b"at s-1",
                outcome=pb2.ENDED,
                reason=pb2.EVICTED,
            ),
        ),
        TASK_STATUS,
    ),
]


def protocol_names() -> bytes:
    """Returns the service names, and the names and numbers of all enum values of v2."""
    enum_values = pb2.Reason.items() + pb2.Advice.items() + pb2.Outcome.items() + pb2.Fact.items()
    enum_values += pb2.Standing.items() + pb2.Requirement.items()
    own_enums = [FailureReason.__members__, RetryAdvice.__members__]
    services = [GrpcCodecV1.service_path, GrpcCodecV2.service_path, GrpcLink.service, GrpcLinkV2.service]
    return json.dumps(
        [
            services,
            enum_values,
            [{name: int(value) for name, value in members.items()} for members in own_enums],
        ]
    ).encode()


def descriptor_samples() -> list[Sample]:
    """Returns samples of both interface descriptors, with the names, types and numbers of all fields."""
    return [
        Sample("v1", lambda: pb.DESCRIPTOR.serialized_pb),
        Sample("v2", lambda: pb2.DESCRIPTOR.serialized_pb),
        Sample("words", protocol_names),
    ]


GRPC = Format(
    "grpc.txt",
    [
        *answer_samples(GrpcCodecV1()),
        *answer_samples(GrpcCodecV2()),
        *request_samples(
            GrpcCodecV1(),
            pb.ClientMessage(ask=FULL_ASK_V1),
            pb.ClientMessage(ask=MINIMAL_ASK_V1),
        ),
        *request_samples(
            GrpcCodecV2(), pb2.ClientMessage(ask=FULL_ASK_V2), pb2.ClientMessage(ask=MINIMAL_ASK_V2)
        ),
        grpc_sample("v1-give-up", lambda: pb.ClientMessage(give_up=TASK_UID)),
        grpc_sample("v2-heard", lambda: pb2.ClientMessage(heard=TASK_UID)),
        *node_order_samples(),
        *NODE_REPORTS,
        *descriptor_samples(),
    ],
)
FORMATS = [JSON_LINES, BINARY, GRPC]
