"""Samples of the write-ahead log, the state transfer to a successor, and datagrams between dispatchers."""

from __future__ import annotations

import socket
import zlib
from collections.abc import Generator
from functools import partial
from typing import Any, TypeVar

import msgspec

from tests.golden.sample import Format, Sample
from thornshelf.configuration import read_config
from thornshelf.control.tables import TEXT, Table, TableReader, declare_columns
from thornshelf.core import Dispatcher, EndpointListUpdate, NodeEndpoint, TaskRequest
from thornshelf.core.releases import DisconnectedClient
from thornshelf.core.state_transfer import export_state, import_record
from thornshelf.core.task_release import Release, TaskOwner
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG
from thornshelf.lab.membership import SECOND, Network
from thornshelf.lab.scale.quantities import IdleNode
from thornshelf.lifecycle.socket_handover import receive_state, send_state
from thornshelf.loop import Loop
from thornshelf.membership.anti_entropy import BucketIndex, pack_hashes
from thornshelf.membership.datagrams import (
    EncodedMessage,
    MapEntry,
    Message,
    MessageKind,
    ReceivedRecord,
    Sealer,
)
from thornshelf.membership.drain_gossip import DrainGossip, NodeStage
from thornshelf.membership.outlier_gossip import Observation, OutlierGossip
from thornshelf.membership.policies import DRAINS, OBSERVATIONS, PLACER_GOSSIP, member_number
from thornshelf.membership.query_gatherer import QueryGatherer
from thornshelf.membership.scatter_gather import Query, QueryResponder, ReplyChunk, decline
from thornshelf.membership.states import MemberRecord, RecordStatus
from thornshelf.placement import Health, Outcome, Reason
from thornshelf.wal import entries

TASK_UID, NODE_TASK_UID, KEY, TIMESTAMP_US = (
    0x9B1F03AA5C7E2D41,
    0x0102030405060708,
    0xFEDCBA9876543210,
    1_700_000_000_123_456,
)

Result = TypeVar("Result")

# write-ahead log

ENTRIES: dict[str, entries.AnyEntry] = {
    "began": entries.ProcessStarted(epoch=3, at_us=TIMESTAMP_US),
    "intent": entries.AttemptIntent(
        key=KEY, uid=TASK_UID, task_class="ledger-batch", node="s-1", at_us=TIMESTAMP_US
    ),
    "attempt-over-never": entries.AttemptEnded(key=KEY, uid=TASK_UID, never_ran=True),
    "attempt-over-maybe": entries.AttemptEnded(key=KEY, uid=TASK_UID, never_ran=False),
    "stands": entries.TaskRunning(
        key=KEY,
        uid=TASK_UID,
        node_uid=NODE_TASK_UID,
        task_class="ledger-batch",
        tenant="hollis-county",
        service=7,
        cores=6.5,
        memory=14.25,
        hint_us=8_200_000,
        node="s-1",
        peer="10.1.0.1",
        at_us=TIMESTAMP_US,
    ),
    "stands-without-tenant-and-hint": entries.TaskRunning(
        key=0,
        uid=1,
        node_uid=2,
        task_class="lookup",
        tenant=None,
        service=0,
        cores=0.0,
        memory=0.0,
        hint_us=None,
        node="s-2",
        peer="10.1.0.2",
        at_us=0,
    ),
    "owed": entries.ReleasePending(uid=TASK_UID, peer="10.1.0.1", outcome=5, reason=6, at_us=TIMESTAMP_US),
    "told": entries.ReleaseDone(uid=TASK_UID),
    "clean": entries.CleanShutdown(),
}


def entry_sample(name: str, entry: entries.AnyEntry) -> Sample:
    return Sample(
        name, lambda: entries.encode_frame(entry), lambda data: list(entries.read_frames(data)), [(0, entry)]
    )


def encode_all_entries() -> bytes:
    return b"".join(map(entries.encode_frame, ENTRIES.values()))


def decode_all_entries(data: bytes) -> object:
    return [frame[1] for frame in entries.read_frames(data) if isinstance(frame, tuple)]


WRITE_AHEAD_LOG = Format(
    "record.txt",
    [entry_sample(name, entry) for name, entry in ENTRIES.items()]
    + [Sample("all-in-order", encode_all_entries, decode_all_entries, list(ENTRIES.values()))],
)

# state transfer to a successor

NODE = "s-00000001"


def make_core() -> Dispatcher:
    """Returns the core of a dispatcher with one node and no connections."""
    settings = read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)}).settings
    core = Dispatcher(Loop(), settings, 1, lambda *_: IdleNode(), lambda *_: None)
    entry = NodeEndpoint(
        name=NODE,
        address="127.0.0.1:3901",
        health=Health.UP,
        kind="node-small",
        zone="jackson-dc",
        cell=1,
        weight=1.0,
        started_us=None,
    )
    core.update_endpoints(EndpointListUpdate(complete=True, version=1, endpoints=[entry]))
    core.run_turn()
    return core


def add_running_task(core: Dispatcher, request: TaskRequest, node_uid: int) -> None:
    """Add a task that runs on the node."""
    task = core.create_task(request)
    task.node_uid = node_uid
    core.index_task(task, request.uid, node_uid)
    core.adopt_task(task, request.running_on or "")


def full_request(uid: int) -> TaskRequest:
    return TaskRequest(
        client=DisconnectedClient(peer="10.1.0.1"),
        uid=uid,
        task_class="ledger-batch",
        tenant="hollis-county",
        idempotency_key=KEY,
        deadline_us=0,
        lifetime_hint_us=8_200_000,
        service=0x1F,
        cores=1.5,
        memory=2.25,
        description=b"",
        running_on=NODE,
    )


def minimal_request(uid: int) -> TaskRequest:
    return TaskRequest(
        client=DisconnectedClient(peer="10.1.0.2"),
        uid=uid,
        task_class="lookup",
        tenant=None,
        idempotency_key=0,
        deadline_us=0,
        lifetime_hint_us=None,
        service=0,
        cores=0.0,
        memory=0.0,
        description=b"",
        running_on=NODE,
    )


def run_to_completion(coroutine: Generator[Any, int, Result]) -> Result:
    """Run a coroutine that never waits, and return its result."""
    while True:
        try:
            next(coroutine)
        except StopIteration as stop:
            value: Result = stop.value
            return value


def encode_handover(core: Dispatcher) -> bytes:
    """Returns the bytes that the successor receives, with the end marker."""
    sender, receiver = socket.socketpair()
    with sender, receiver:
        assert run_to_completion(send_state(core.loop, sender, export_state(core)))
        return receiver.recv(64 * 1024)


def decode_handover(data: bytes) -> list[dict[str, Any]]:
    """Decode lines of a predecessor as the successor does."""
    receiver, sender = socket.socketpair()
    with receiver, sender:
        sender.sendall(data + b"done\n")
        sender.shutdown(socket.SHUT_WR)
        lines = run_to_completion(receive_state(receiver))
    assert lines is not None
    return lines


def import_task(data: bytes) -> tuple[object, ...]:
    """Import one line into a core, and return the fields of the resulting task."""
    core = make_core()
    (line,) = decode_handover(data)
    assert import_record(core, line)
    (task,) = core.all_tasks()
    return task_fields(task.request, task.node_uid)


def task_fields(request: TaskRequest, node_uid: int) -> tuple[object, ...]:
    """Returns the fields of a task that a line contains."""
    fields = (
        request.uid,
        request.task_class,
        request.tenant,
        request.idempotency_key,
        request.lifetime_hint_us,
        request.service,
        request.cores,
    )
    return *fields, request.memory, request.running_on, request.client.peer, node_uid


def import_releases(data: bytes) -> object:
    """Import one line into a core, and return the resulting pending releases."""
    core = make_core()
    (line,) = decode_handover(data)
    assert import_record(core, line)
    return [pending.release for pending in core.releases.pending]


def running_task_sample(name: str, request: TaskRequest, node_uid: int) -> Sample:
    def encode() -> bytes:
        core = make_core()
        add_running_task(core, request, node_uid)
        return encode_handover(core).removesuffix(b"done\n")

    return Sample(name, encode, import_task, task_fields(request, node_uid))


def release_sample(outcome: Outcome, reason: Reason, tenant: str | None = None) -> Sample:
    release = Release(TASK_UID, TaskOwner("10.1.0.1", tenant), outcome, reason)

    def encode() -> bytes:
        core = make_core()
        core.releases.notify(DisconnectedClient(peer="10.1.0.1"), release)
        return encode_handover(core).removesuffix(b"done\n")

    name = f"owed-{outcome.value}-{reason.value}".replace(" ", "-") + ("-tenant" if tenant else "")
    return Sample(name, encode, import_releases, [release])


HANDOVER = Format(
    "handover.txt",
    [
        running_task_sample("standing", full_request(TASK_UID), NODE_TASK_UID),
        running_task_sample("standing-without-tenant-and-hint", minimal_request(5), 5),
        *(release_sample(outcome, Reason.UNSPECIFIED) for outcome in Outcome),
        *(release_sample(Outcome.BROKEN, reason) for reason in Reason if reason is not Reason.UNSPECIFIED),
        release_sample(Outcome.OK, Reason.UNSPECIFIED, "hollis-county"),
        Sample("end", lambda: encode_handover(make_core())),
    ],
    binary=False,
)

# datagrams between dispatchers

SEALER = Sealer(fleet="lab", key=b"a key for an experiment only....")
SENDER = ReceivedRecord(
    name="n0",
    address="127.0.0.1:7946",
    incarnation=3,
    instance_id=1 << 61,
    status=int(RecordStatus.ALIVE),
    uptime_ms=61_000,
    reported_by="",
)
SUSPECT = ReceivedRecord(
    name="n1",
    address="127.0.0.1:7947",
    incarnation=4,
    instance_id=5,
    status=int(RecordStatus.SUSPECT),
    uptime_ms=9,
    reported_by="n2",
)
DEAD = ReceivedRecord(
    name="n2",
    address="127.0.0.1:7948",
    incarnation=0,
    instance_id=6,
    status=int(RecordStatus.DEAD),
    uptime_ms=0,
    reported_by="n0",
)
LEFT = ReceivedRecord(
    name="n3",
    address="127.0.0.1:7949",
    incarnation=1,
    instance_id=7,
    status=int(RecordStatus.LEFT),
    uptime_ms=1,
    reported_by="",
)
MAP_ENTRIES = [
    MapEntry(
        writer="n0", kind=PLACER_GOSSIP, part=0, incarnation=3, version=7, age_ms=250, value=b"\x00words\xff"
    ),
    MapEntry(writer="n1", kind=OBSERVATIONS, part=0, incarnation=4, version=8, age_ms=0, value=b""),
    MapEntry(writer="n2", kind=DRAINS, part=15, incarnation=0, version=9, age_ms=1 << 33, value=b"page"),
]


def member_record(received: ReceivedRecord) -> MemberRecord:
    """Returns the record that is encoded as a received record."""
    return MemberRecord(
        name=received.name,
        address=received.address,
        incarnation=received.incarnation,
        instance_id=received.instance_id,
        status=received.status,
        uptime_ms=received.uptime_ms,
        reported_by=received.reported_by,
    )


def seal_message(message: Message) -> bytes:
    """Seal a datagram as a member does: records and entries are already encoded."""
    encoded = EncodedMessage(
        kind=int(message.kind),
        sender=msgspec.Raw(SEALER.encode(member_record(message.sender))),
        recipient_instance_id=message.recipient_instance_id,
        counter=message.counter,
        sequence=message.sequence,
        target=message.target,
        records=[msgspec.Raw(SEALER.encode(member_record(record))) for record in message.records],
        entries=[msgspec.Raw(SEALER.encode(entry)) for entry in message.entries],
        payload=message.payload,
    )
    return SEALER.seal(SEALER.encode(encoded))


def datagram_sample(kind: MessageKind) -> Sample:
    message = Message(
        kind=kind,
        sender=SENDER,
        recipient_instance_id=1 << 40,
        counter=17,
        sequence=23,
        target="n1",
        records=[SUSPECT, DEAD, LEFT],
        entries=MAP_ENTRIES,
        payload=b"\x01extra",
    )
    return Sample(kind.name.lower(), lambda: seal_message(message), SEALER.open, message)


def minimal_message() -> Message:
    return Message(kind=MessageKind.JOIN, sender=SENDER, recipient_instance_id=0, counter=1)


DATAGRAMS = Format(
    "datagrams.txt",
    [
        *(datagram_sample(kind) for kind in MessageKind),
        Sample(
            "without-optional-fields", lambda: seal_message(minimal_message()), SEALER.open, minimal_message()
        ),
        Sample(
            "encoded-whole",
            lambda: SEALER.seal(SEALER.encode(minimal_message())),
            SEALER.open,
            minimal_message(),
        ),
    ],
)

# contents of datagrams


def encode_observations() -> bytes:
    """Returns a member's own observations as an entry of the shared map."""
    gossip = OutlierGossip(name="n0")
    for number, observation in enumerate(
        (
            Observation.CONNECTION_REFUSED,
            Observation.NO_RESPONSE,
            Observation.CONNECTION_LOST,
        )
    ):
        gossip.observe(node=f"s-{number}", observation=observation, now_us=SECOND)
    gossip.observe(node="s-0", observation=Observation.HEALTHY, now_us=SECOND)
    return gossip.encode(now_us=2 * SECOND)


def decode_observations(data: bytes) -> object:
    gossip = OutlierGossip(name="n9")
    assert gossip.receive(writer="n0", value=data, written_us=SECOND)
    return {f"s-{number}": round(gossip.weight(node=f"s-{number}", now_us=SECOND), 3) for number in range(3)}


def encode_drains() -> bytes:
    """Returns a member's own drains as an entry of the shared map."""
    gossip = DrainGossip()
    gossip.update_local(node="s-1", started_ms=TIMESTAMP_US // 1000, stage=NodeStage.DRAINING, now_us=SECOND)
    gossip.update_local(node="s-2", started_ms=0, stage=NodeStage.REMOVED, now_us=SECOND)
    (page,) = gossip.encode_pages(now_us=SECOND)
    return page


def decode_drains(data: bytes) -> object:
    gossip = DrainGossip()
    for node in ("s-1", "s-2", "s-3"):
        gossip.update_local(node=node, started_ms=0, stage=0, now_us=SECOND)
    assert gossip.receive(writer="n0", part=0, value=data)
    return [gossip.reporters(node) for node in ("s-1", "s-2", "s-3")]


def make_bucket_index() -> BucketIndex[tuple[object, ...]]:
    """Returns an index of one member record and one map entry, for anti-entropy."""
    index = BucketIndex[tuple[object, ...]]()
    index.record(key=("m", "n1"), stamp=(4, 5, 1))
    index.record(key=("i", "n0", PLACER_GOSSIP, 0), stamp=MAP_ENTRIES[0].stamp)
    return index


def encode_summaries() -> bytes:
    differing = make_bucket_index().differing_buckets(BucketIndex[tuple[object, ...]]().digest(), 0)
    return b"".join(make_bucket_index().summaries(differing, 1_000))


def encode_query() -> bytes:
    """Returns a query to a member, as the gatherer encodes it."""
    gatherer = QueryGatherer(
        query_id=9,
        table="tasks",
        columns=["uid", "node"],
        filters={"node": "s-1"},
        members=["n1"],
        now_us=0,
    )
    ((_, data),) = gatherer.outgoing
    return data


def decode_hashes(data: bytes) -> object:
    return make_bucket_index().keys_of_hashes(data)


def encode_reply_stream() -> bytes:
    """Returns the reply to the query, uncompressed: compressed bytes may differ between versions of zlib."""
    table = Table(
        "tasks",
        "",
        declare_columns(("uid", TEXT, ""), ("node", TEXT, "")),
        lambda: ["a", "b"],
        lambda uid: (uid, "s-1"),
    )
    responder = QueryResponder(lambda name, wanted, only: TableReader(table, wanted, only))
    responder.receive(querier="n0", data=encode_query(), now_us=0)
    responder.serve(now_us=0, unix_ms=TIMESTAMP_US // 1000, spent=lambda: 0, until=1)
    ((_, data),) = responder.outgoing
    chunk: ReplyChunk = msgspec.msgpack.decode(data, type=ReplyChunk)
    return zlib.decompress(chunk.data[4:])


def decode_reply_stream(data: bytes) -> object:
    """Returns the rows that the gatherer decodes from a reply."""
    gatherer = QueryGatherer(
        query_id=9,
        table="tasks",
        columns=["uid", "node"],
        filters={"node": "s-1"},
        members=["n1"],
        now_us=0,
    )
    block = zlib.compress(data)
    stream = len(block).to_bytes(4, "big") + block
    chunk = ReplyChunk(query_id=9, index=0, is_last=True, data=stream)
    gatherer.receive(sender="n1", data=msgspec.msgpack.encode(chunk), now_us=0)
    return gatherer.batches


QUERY = Query(
    query_id=9, table="tasks", columns=["uid", "node"], filters={"node": "s-1"}, next_chunk=0, cancel=False
)
DECLINED_CHUNK = ReplyChunk(query_id=9, index=0, is_last=True, data=b"", incomplete_reason="it tells nothing")
HASHES = [0x0102030405060708, 0xFFFFFFFFFFFFFFFF]

DATAGRAM_CONTENTS = Format(
    "datagram-contents.txt",
    [
        Sample("sights", encode_observations, decode_observations, {"s-0": 0.0, "s-1": 0.8, "s-2": 0.8}),
        Sample("list-news", encode_drains, decode_drains, [["n0"], ["n0"], []]),
        Sample(
            "digest",
            lambda: make_bucket_index().digest(),
            lambda data: make_bucket_index().differing_buckets(data, 0),
            [],
        ),
        Sample("summary", encode_summaries),
        Sample("wanted-names", lambda: pack_hashes(HASHES), decode_hashes, []),
        Sample("question", encode_query, lambda data: msgspec.msgpack.decode(data, type=Query), QUERY),
        Sample(
            "declined",
            lambda: decline(query=encode_query(), reason="it tells nothing") or b"",
            lambda data: msgspec.msgpack.decode(data, type=ReplyChunk),
            DECLINED_CHUNK,
        ),
        Sample(
            "answer-rows",
            encode_reply_stream,
            decode_reply_stream,
            [("n1", TIMESTAMP_US // 1000, [["a", "s-1"], ["b", "s-1"]])],
        ),
        Sample("member-number", lambda: member_number("n0").to_bytes(4, "big")),
    ],
)


def conversation() -> dict[str, bytes]:
    """Returns the datagrams of three members in virtual time: they join, share an entry, and one leaves."""
    network, datagrams = Network(seed=3), dict[str, bytes]()

    def record_datagram(sender: str, receiver: str, data: bytes) -> None:
        datagrams[f"{len(datagrams):03d}-{sender}-to-{receiver}"] = data

    network.on_send = record_datagram
    for name in ("a", "b", "c"):
        network.start(name, seeds=("a", "b"))
    network.run(network.now + 2 * SECOND)
    network.members["b"].publish(kind=OBSERVATIONS, part=0, value=encode_observations())
    network.run(network.now + 2 * SECOND)
    network.leave("c")
    return datagrams


CONVERSATION = Format(
    "conversation.txt",
    [Sample(name, partial(bytes, data)) for name, data in conversation().items()],
)
FORMATS = [DATAGRAMS, DATAGRAM_CONTENTS, CONVERSATION, WRITE_AHEAD_LOG, HANDOVER]
