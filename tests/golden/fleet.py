"""Samples of what a dispatcher stores, hands to its successor, and sends to other dispatchers."""

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

FIRST_UID, SECOND_UID, KEY, AT_US = (
    0x9B1F03AA5C7E2D41,
    0x0102030405060708,
    0xFEDCBA9876543210,
    1_700_000_000_123_456,
)

Result = TypeVar("Result")

# the record

ENTRIES: dict[str, entries.AnyEntry] = {
    "began": entries.ProcessStarted(epoch=3, at_us=AT_US),
    "intent": entries.AttemptIntent(
        key=KEY, uid=FIRST_UID, task_class="ledger-batch", node="s-1", at_us=AT_US
    ),
    "attempt-over-never": entries.AttemptEnded(key=KEY, uid=FIRST_UID, never_ran=True),
    "attempt-over-maybe": entries.AttemptEnded(key=KEY, uid=FIRST_UID, never_ran=False),
    "stands": entries.TaskRunning(
        key=KEY,
        uid=FIRST_UID,
        node_uid=SECOND_UID,
        task_class="ledger-batch",
        tenant="hollis-county",
        service=7,
        cores=6.5,
        memory=14.25,
        hint_us=8_200_000,
        node="s-1",
        peer="10.1.0.1",
        at_us=AT_US,
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
    "owed": entries.ReleasePending(uid=FIRST_UID, peer="10.1.0.1", outcome=5, reason=6, at_us=AT_US),
    "told": entries.ReleaseDone(uid=FIRST_UID),
    "clean": entries.CleanShutdown(),
}


def entry_sample(name: str, entry: entries.AnyEntry) -> Sample:
    return Sample(
        name, lambda: entries.encode_frame(entry), lambda data: list(entries.read_frames(data)), [(0, entry)]
    )


def record_in_order() -> bytes:
    return b"".join(map(entries.encode_frame, ENTRIES.values()))


def read_in_order(data: bytes) -> object:
    return [one[1] for one in entries.read_frames(data) if isinstance(one, tuple)]


RECORD = Format(
    "record.txt",
    [entry_sample(name, entry) for name, entry in ENTRIES.items()]
    + [Sample("all-in-order", record_in_order, read_in_order, list(ENTRIES.values()))],
)

# what a successor is handed

NODE = "s-00000001"


def make_core() -> Dispatcher:
    """The core of a dispatcher that knows one node, without any connection."""
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


def stand(core: Dispatcher, setup: TaskRequest, node_uid: int) -> None:
    """A task that stands at the node."""
    task = core.create_task(setup)
    task.node_uid = node_uid
    core.index_task(task, setup.uid, node_uid)
    core.adopt_task(task, setup.running_on or "")


def full_setup(uid: int) -> TaskRequest:
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


def bare_setup(uid: int) -> TaskRequest:
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


def finish(steps: Generator[Any, int, Result]) -> Result:
    """Run a coroutine that never has to wait, and give what it returns."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            value: Result = stop.value
            return value


def handed(core: Dispatcher) -> bytes:
    """What the successor reads: JSON lines and the end."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        assert finish(send_state(core.loop, ours, export_state(core)))
        return theirs.recv(64 * 1024)


def received(data: bytes) -> list[dict[str, Any]]:
    """The lines of a predecessor, as the successor reads them."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(data + b"done\n")
        theirs.shutdown(socket.SHUT_WR)
        lines = finish(receive_state(ours))
    assert lines is not None
    return lines


def taken_setup(data: bytes) -> tuple[object, ...]:
    """The task that a successor holds by a line of its predecessor."""
    core = make_core()
    (line,) = received(data)
    assert import_record(core, line)
    (task,) = core.all_tasks()
    return told_setup(task.request, task.node_uid)


def told_setup(setup: TaskRequest, node_uid: int) -> tuple[object, ...]:
    """What a line of the hand-over tells of a task."""
    told = (
        setup.uid,
        setup.task_class,
        setup.tenant,
        setup.idempotency_key,
        setup.lifetime_hint_us,
        setup.service,
        setup.cores,
    )
    return *told, setup.memory, setup.running_on, setup.client.peer, node_uid


def taken_release(data: bytes) -> object:
    """The release that a successor owes by a line of its predecessor."""
    core = make_core()
    (line,) = received(data)
    assert import_record(core, line)
    return [owed[1:] for owed in core.releases.pending]


def standing_sample(name: str, setup: TaskRequest, node_uid: int) -> Sample:
    def encode() -> bytes:
        core = make_core()
        stand(core, setup, node_uid)
        return handed(core).removesuffix(b"done\n")

    return Sample(name, encode, taken_setup, told_setup(setup, node_uid))


def release_sample(outcome: Outcome, reason: Reason) -> Sample:
    def encode() -> bytes:
        core = make_core()
        core.releases.notify(DisconnectedClient(peer="10.1.0.1"), FIRST_UID, outcome, reason, None)
        return handed(core).removesuffix(b"done\n")

    name = f"owed-{outcome.value}-{reason.value}".replace(" ", "-")
    return Sample(name, encode, taken_release, [("10.1.0.1", FIRST_UID, outcome, reason, None)])


HANDOVER = Format(
    "handover.txt",
    [
        standing_sample("standing", full_setup(FIRST_UID), SECOND_UID),
        standing_sample("standing-without-tenant-and-hint", bare_setup(5), 5),
        *(release_sample(outcome, Reason.UNSPECIFIED) for outcome in Outcome),
        *(release_sample(Outcome.BROKEN, reason) for reason in Reason if reason is not Reason.UNSPECIFIED),
        Sample("end", lambda: handed(make_core())),
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
ITEMS = [
    MapEntry(
        writer="n0", kind=PLACER_GOSSIP, part=0, incarnation=3, version=7, age_ms=250, value=b"\x00words\xff"
    ),
    MapEntry(writer="n1", kind=OBSERVATIONS, part=0, incarnation=4, version=8, age_ms=0, value=b""),
    MapEntry(writer="n2", kind=DRAINS, part=15, incarnation=0, version=9, age_ms=1 << 33, value=b"page"),
]


def claim_of(row: ReceivedRecord) -> MemberRecord:
    """The claim that a row is encoded from."""
    return MemberRecord(
        name=row.name,
        address=row.address,
        incarnation=row.incarnation,
        instance_id=row.instance_id,
        status=row.status,
        uptime_ms=row.uptime_ms,
        reported_by=row.reported_by,
    )


def sealed(message: Message) -> bytes:
    """A datagram as a member sends it: of parts that are encoded already."""
    sent = EncodedMessage(
        kind=int(message.kind),
        sender=msgspec.Raw(SEALER.encode(claim_of(message.sender))),
        recipient_instance_id=message.recipient_instance_id,
        counter=message.counter,
        sequence=message.sequence,
        target=message.target,
        records=[msgspec.Raw(SEALER.encode(claim_of(row))) for row in message.records],
        entries=[msgspec.Raw(SEALER.encode(item)) for item in message.entries],
        payload=message.payload,
    )
    return SEALER.seal(SEALER.encode(sent))


def datagram_sample(kind: MessageKind) -> Sample:
    message = Message(
        kind=kind,
        sender=SENDER,
        recipient_instance_id=1 << 40,
        counter=17,
        sequence=23,
        target="n1",
        records=[SUSPECT, DEAD, LEFT],
        entries=ITEMS,
        payload=b"\x01extra",
    )
    return Sample(kind.name.lower(), lambda: sealed(message), SEALER.open, message)


def bare_message() -> Message:
    return Message(kind=MessageKind.JOIN, sender=SENDER, recipient_instance_id=0, counter=1)


DATAGRAMS = Format(
    "datagrams.txt",
    [
        *(datagram_sample(kind) for kind in MessageKind),
        Sample("without-optional-fields", lambda: sealed(bare_message()), SEALER.open, bare_message()),
        Sample(
            "encoded-whole", lambda: SEALER.seal(SEALER.encode(bare_message())), SEALER.open, bare_message()
        ),
    ],
)

# what the datagrams carry


def own_sights() -> bytes:
    """One's own sights as an entry of the shared map."""
    evidence = OutlierGossip(name="n0")
    for place, sight in enumerate(
        (
            Observation.CONNECTION_REFUSED,
            Observation.NO_RESPONSE,
            Observation.CONNECTION_LOST,
        )
    ):
        evidence.observe(node=f"s-{place}", observation=sight, now_us=SECOND)
    evidence.observe(node="s-0", observation=Observation.HEALTHY, now_us=SECOND)
    return evidence.encode(now_us=2 * SECOND)


def read_sights(data: bytes) -> object:
    evidence = OutlierGossip(name="n9")
    assert evidence.receive(writer="n0", value=data, written_us=SECOND)
    return {f"s-{place}": round(evidence.weight(node=f"s-{place}", now_us=SECOND), 3) for place in range(3)}


def own_news() -> bytes:
    """The list's news as an entry of the shared map."""
    news = DrainGossip()
    news.update_own(node="s-1", started_ms=AT_US // 1000, stage=NodeStage.DRAINING, now_us=SECOND)
    news.update_own(node="s-2", started_ms=0, stage=NodeStage.REMOVED, now_us=SECOND)
    (page,) = news.encode_pages(now_us=SECOND)
    return page


def read_news(data: bytes) -> object:
    news = DrainGossip()
    for node in ("s-1", "s-2", "s-3"):
        news.update_own(node=node, started_ms=0, stage=0, now_us=SECOND)
    assert news.receive(writer="n0", part=0, value=data)
    return [news.reporters(node) for node in ("s-1", "s-2", "s-3")]


def buckets() -> BucketIndex[tuple[object, ...]]:
    """What two members compare: a member and an entry."""
    held = BucketIndex[tuple[object, ...]]()
    held.record(key=("m", "n1"), stamp=(4, 5, 1))
    held.record(key=("i", "n0", PLACER_GOSSIP, 0), stamp=ITEMS[0].stamp)
    return held


def summary() -> bytes:
    differing = buckets().differing_buckets(BucketIndex[tuple[object, ...]]().digest(), 0)
    return b"".join(buckets().summaries(differing, 1_000))


def question() -> bytes:
    """What a member is asked, as the asker encodes it."""
    asker = QueryGatherer(
        query_id=9,
        table="tasks",
        columns=["uid", "node"],
        filters={"node": "s-1"},
        members=["n1"],
        now_us=0,
    )
    ((_, data),) = asker.outgoing
    return data


def names_of(data: bytes) -> object:
    return buckets().keys_of_hashes(data)


def told_stream() -> bytes:
    """The answer to the question, uncompressed: what the library makes of it may differ between its versions."""
    table = Table(
        "tasks",
        "",
        declare_columns(("uid", TEXT, ""), ("node", TEXT, "")),
        lambda: ["a", "b"],
        lambda uid: (uid, "s-1"),
    )
    answerer = QueryResponder(lambda name, wanted, only: TableReader(table, wanted, only))
    answerer.receive(querier="n0", data=question(), now_us=0)
    answerer.serve(now_us=0, unix_ms=AT_US // 1000, spent=lambda: 0, until=1)
    ((_, data),) = answerer.outgoing
    piece: ReplyChunk = msgspec.msgpack.decode(data, type=ReplyChunk)
    return zlib.decompress(piece.data[4:])


def read_stream(data: bytes) -> object:
    """What an asker finds in an answer."""
    asker = QueryGatherer(
        query_id=9,
        table="tasks",
        columns=["uid", "node"],
        filters={"node": "s-1"},
        members=["n1"],
        now_us=0,
    )
    block = zlib.compress(data)
    stream = len(block).to_bytes(4, "big") + block
    piece = ReplyChunk(query_id=9, index=0, is_last=True, data=stream)
    asker.receive(sender="n1", data=msgspec.msgpack.encode(piece), now_us=0)
    return asker.batches


QUESTION = Query(
    query_id=9, table="tasks", columns=["uid", "node"], filters={"node": "s-1"}, next_chunk=0, cancel=False
)
PIECE = ReplyChunk(query_id=9, index=0, is_last=True, data=b"", incomplete_reason="it tells nothing")
NAMES = [0x0102030405060708, 0xFFFFFFFFFFFFFFFF]

CARRIED = Format(
    "datagram-contents.txt",
    [
        Sample("sights", own_sights, read_sights, {"s-0": 0.0, "s-1": 0.8, "s-2": 0.8}),
        Sample("list-news", own_news, read_news, [["n0"], ["n0"], []]),
        Sample("digest", lambda: buckets().digest(), lambda data: buckets().differing_buckets(data, 0), []),
        Sample("summary", summary),
        Sample("wanted-names", lambda: pack_hashes(NAMES), names_of, []),
        Sample("question", question, lambda data: msgspec.msgpack.decode(data, type=Query), QUESTION),
        Sample(
            "declined",
            lambda: decline(query=question(), reason="it tells nothing") or b"",
            lambda data: msgspec.msgpack.decode(data, type=ReplyChunk),
            PIECE,
        ),
        Sample(
            "answer-rows",
            told_stream,
            read_stream,
            [("n1", AT_US // 1000, [["a", "s-1"], ["b", "s-1"]])],
        ),
        Sample("member-number", lambda: member_number("n0").to_bytes(4, "big")),
    ],
)


def conversation() -> dict[str, bytes]:
    """The datagrams of three members in virtual time: they meet, share an entry, and one leaves."""
    network, found = Network(seed=3), dict[str, bytes]()

    def tap(sender: str, receiver: str, data: bytes) -> None:
        found[f"{len(found):03d}-{sender}-to-{receiver}"] = data

    network.on_send = tap
    for name in ("a", "b", "c"):
        network.start(name, seeds=("a", "b"))
    network.run(network.now + 2 * SECOND)
    network.members["b"].publish(kind=OBSERVATIONS, part=0, value=own_sights())
    network.run(network.now + 2 * SECOND)
    network.leave("c")
    return found


CONVERSATION = Format(
    "conversation.txt",
    [Sample(name, partial(bytes, data)) for name, data in conversation().items()],
)
FORMATS = [DATAGRAMS, CARRIED, CONVERSATION, RECORD, HANDOVER]
