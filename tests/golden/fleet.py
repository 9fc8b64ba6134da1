"""Samples of what a dispatcher stores, hands to its successor, and sends to other dispatchers."""

from __future__ import annotations

import socket
import zlib
from collections.abc import Generator
from functools import partial
from typing import Any, TypeVar

import msgspec

from glenshift.interface import Health, Outcome, Reason
from tests.golden.sample import Format, Sample
from thornshelf.config import read_config
from thornshelf.control.tables import TEXT, Reading, Table, columns
from thornshelf.core import Dispatcher, ListChange, NodeEntry, SetUp
from thornshelf.core.releases import Absent
from thornshelf.core.succession import hand_off, take_over
from thornshelf.handover import receive_all, send_all
from thornshelf.lab.members import SECOND, Network
from thornshelf.lab.scale.quantities import Still
from thornshelf.lab.standins import CONFIG
from thornshelf.loop import Loop
from thornshelf.membership.asking import Answerer, Asker, Piece, Question, declined
from thornshelf.membership.compare import Buckets, pack_names
from thornshelf.membership.datagrams import Item, Kind, Message, Row, Sealer
from thornshelf.membership.evidence import Evidence, Sight
from thornshelf.membership.news import DRAINING, GONE, NodeNews
from thornshelf.membership.states import Claim, Word
from thornshelf.membership.uses import LIST, MESSAGES, SEEN, number
from thornshelf.membership.view import Sent
from thornshelf.record import entries

FIRST_UID, SECOND_UID, KEY, AT_US = (
    0x9B1F03AA5C7E2D41,
    0x0102030405060708,
    0xFEDCBA9876543210,
    1_700_000_000_123_456,
)

Result = TypeVar("Result")

# the record

ENTRIES: dict[str, entries.AnyEntry] = {
    "began": entries.Began(epoch=3, at_us=AT_US),
    "intent": entries.Intent(key=KEY, uid=FIRST_UID, task_class="ledger-batch", node="s-1", at_us=AT_US),
    "attempt-over-never": entries.AttemptOver(key=KEY, uid=FIRST_UID, never=True),
    "attempt-over-maybe": entries.AttemptOver(key=KEY, uid=FIRST_UID, never=False),
    "stands": entries.Stands(
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
    "stands-without-tenant-and-hint": entries.Stands(
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
    "owed": entries.Owed(uid=FIRST_UID, peer="10.1.0.1", outcome=5, reason=6, at_us=AT_US),
    "told": entries.Told(uid=FIRST_UID),
    "clean": entries.Clean(),
}


def entry_sample(name: str, entry: entries.AnyEntry) -> Sample:
    return Sample(name, lambda: entries.frame(entry), lambda data: list(entries.read(data)), [(0, entry)])


def record_in_order() -> bytes:
    return b"".join(map(entries.frame, ENTRIES.values()))


def read_in_order(data: bytes) -> object:
    return [one[1] for one in entries.read(data) if isinstance(one, tuple)]


RECORD = Format(
    "record.txt",
    [entry_sample(name, entry) for name, entry in ENTRIES.items()]
    + [Sample("all-in-order", record_in_order, read_in_order, list(ENTRIES.values()))],
)

# what a successor is handed

NODE = "s-00000001"


def make_core() -> Dispatcher:
    """The core of a dispatcher that knows one node, without any connection."""
    settings = read_config({"LB_CONFIG": str(CONFIG)}).settings
    core = Dispatcher(Loop(), settings, 1, lambda *_: Still(), lambda *_: None)
    entry = NodeEntry(
        name=NODE,
        address="127.0.0.1:3901",
        health=Health.UP,
        kind="node-small",
        zone="jackson-dc",
        cell=1,
        weight=1.0,
        started_us=None,
    )
    core.list_changed(ListChange(complete=True, version=1, entries=[entry]))
    core.turn()
    return core


def stand(core: Dispatcher, setup: SetUp, node_uid: int) -> None:
    """A task that stands at the node."""
    task = core.numbered(setup)
    task.node_uid = node_uid
    core.know(task, setup.uid, node_uid)
    core.adopt(task, setup.at or "")


def full_setup(uid: int) -> SetUp:
    return SetUp(
        owner=Absent(peer="10.1.0.1"),
        uid=uid,
        task_class="ledger-batch",
        tenant="hollis-county",
        key=KEY,
        deadline_us=0,
        hint_us=8_200_000,
        service=0x1F,
        cores=1.5,
        memory=2.25,
        description=b"",
        at=NODE,
    )


def bare_setup(uid: int) -> SetUp:
    return SetUp(
        owner=Absent(peer="10.1.0.2"),
        uid=uid,
        task_class="lookup",
        tenant=None,
        key=0,
        deadline_us=0,
        hint_us=None,
        service=0,
        cores=0.0,
        memory=0.0,
        description=b"",
        at=NODE,
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
        assert finish(send_all(core.loop, ours, hand_off(core)))
        return theirs.recv(64 * 1024)


def received(data: bytes) -> list[dict[str, Any]]:
    """The lines of a predecessor, as the successor reads them."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(data + b"done\n")
        theirs.shutdown(socket.SHUT_WR)
        lines = finish(receive_all(ours))
    assert lines is not None
    return lines


def taken_setup(data: bytes) -> tuple[object, ...]:
    """The task that a successor holds by a line of its predecessor."""
    core = make_core()
    (line,) = received(data)
    assert take_over(core, line)
    (task,) = core.tasks()
    return told_setup(task.setup, task.node_uid)


def told_setup(setup: SetUp, node_uid: int) -> tuple[object, ...]:
    """What a line of the hand-over tells of a task."""
    told = setup.uid, setup.task_class, setup.tenant, setup.key, setup.hint_us, setup.service, setup.cores
    return *told, setup.memory, setup.at, setup.owner.peer, node_uid


def taken_release(data: bytes) -> object:
    """The release that a successor owes by a line of its predecessor."""
    core = make_core()
    (line,) = received(data)
    assert take_over(core, line)
    return [owed[1:] for owed in core.releases.owed]


def standing_sample(name: str, setup: SetUp, node_uid: int) -> Sample:
    def encode() -> bytes:
        core = make_core()
        stand(core, setup, node_uid)
        return handed(core).removesuffix(b"done\n")

    return Sample(name, encode, taken_setup, told_setup(setup, node_uid))


def release_sample(outcome: Outcome, reason: Reason) -> Sample:
    def encode() -> bytes:
        core = make_core()
        core.releases.tell(Absent(peer="10.1.0.1"), FIRST_UID, outcome, reason, None)
        return handed(core).removesuffix(b"done\n")

    name = f"owed-{outcome.value}-{reason.value}".replace(" ", "-")
    return Sample(name, encode, taken_release, [("10.1.0.1", FIRST_UID, outcome, reason, None)])


HANDOVER = Format(
    "handover.txt",
    [
        standing_sample("standing", full_setup(FIRST_UID), SECOND_UID),
        standing_sample("standing-without-tenant-and-hint", bare_setup(5), 5),
        *(release_sample(outcome, Reason.UNTOLD) for outcome in Outcome),
        *(release_sample(Outcome.BROKEN, reason) for reason in Reason if reason is not Reason.UNTOLD),
        Sample("end", lambda: handed(make_core())),
    ],
    binary=False,
)

# datagrams between dispatchers

SEALER = Sealer(fleet="lab", key=b"a key for an experiment only....")
SENDER = Row(
    name="n0",
    address="127.0.0.1:7946",
    incarnation=3,
    life=1 << 61,
    word=int(Word.ALIVE),
    up_ms=61_000,
    by="",
)
SUSPECT = Row(
    name="n1", address="127.0.0.1:7947", incarnation=4, life=5, word=int(Word.SUSPECT), up_ms=9, by="n2"
)
DEAD = Row(name="n2", address="127.0.0.1:7948", incarnation=0, life=6, word=int(Word.DEAD), up_ms=0, by="n0")
LEFT = Row(name="n3", address="127.0.0.1:7949", incarnation=1, life=7, word=int(Word.LEFT), up_ms=1, by="")
ITEMS = [
    Item(writer="n0", kind=MESSAGES, part=0, incarnation=3, version=7, age_ms=250, value=b"\x00words\xff"),
    Item(writer="n1", kind=SEEN, part=0, incarnation=4, version=8, age_ms=0, value=b""),
    Item(writer="n2", kind=LIST, part=15, incarnation=0, version=9, age_ms=1 << 33, value=b"page"),
]


def claim_of(row: Row) -> Claim:
    """The claim that a row is encoded from."""
    return Claim(
        name=row.name,
        address=row.address,
        incarnation=row.incarnation,
        life=row.life,
        word=row.word,
        up_ms=row.up_ms,
        by=row.by,
    )


def sealed(message: Message) -> bytes:
    """A datagram as a member sends it: of parts that are encoded already."""
    sent = Sent(
        kind=int(message.kind),
        sender=msgspec.Raw(SEALER.encode(claim_of(message.sender))),
        to_life=message.to_life,
        counter=message.counter,
        seq=message.seq,
        target=message.target,
        rows=[msgspec.Raw(SEALER.encode(claim_of(row))) for row in message.rows],
        items=[msgspec.Raw(SEALER.encode(item)) for item in message.items],
        extra=message.extra,
    )
    return SEALER.seal(SEALER.encode(sent))


def datagram_sample(kind: Kind) -> Sample:
    message = Message(
        kind=kind,
        sender=SENDER,
        to_life=1 << 40,
        counter=17,
        seq=23,
        target="n1",
        rows=[SUSPECT, DEAD, LEFT],
        items=ITEMS,
        extra=b"\x01extra",
    )
    return Sample(kind.name.lower(), lambda: sealed(message), SEALER.open, message)


def bare_message() -> Message:
    return Message(kind=Kind.HELLO, sender=SENDER, to_life=0, counter=1)


DATAGRAMS = Format(
    "datagrams.txt",
    [
        *(datagram_sample(kind) for kind in Kind),
        Sample("without-optional-fields", lambda: sealed(bare_message()), SEALER.open, bare_message()),
        Sample(
            "encoded-whole", lambda: SEALER.seal(SEALER.encode(bare_message())), SEALER.open, bare_message()
        ),
    ],
)

# what the datagrams carry


def own_sights() -> bytes:
    """One's own sights as an entry of the shared map."""
    evidence = Evidence(name="n0")
    for place, sight in enumerate((Sight.REFUSED, Sight.SILENT, Sight.BROKE)):
        evidence.saw(node=f"s-{place}", sight=sight, now_us=SECOND)
    evidence.saw(node="s-0", sight=Sight.WELL, now_us=SECOND)
    return evidence.value(now_us=2 * SECOND)


def read_sights(data: bytes) -> object:
    evidence = Evidence(name="n9")
    assert evidence.heard(writer="n0", value=data, written_us=SECOND)
    return {f"s-{place}": round(evidence.weight(node=f"s-{place}", now_us=SECOND), 3) for place in range(3)}


def own_news() -> bytes:
    """The list's news as an entry of the shared map."""
    news = NodeNews()
    news.listed(node="s-1", started_ms=AT_US // 1000, rank=DRAINING, now_us=SECOND)
    news.listed(node="s-2", started_ms=0, rank=GONE, now_us=SECOND)
    (page,) = news.values(now_us=SECOND)
    return page


def read_news(data: bytes) -> object:
    news = NodeNews()
    for node in ("s-1", "s-2", "s-3"):
        news.listed(node=node, started_ms=0, rank=0, now_us=SECOND)
    assert news.heard(writer="n0", part=0, value=data, now_us=SECOND)
    return [news.told_by(node) for node in ("s-1", "s-2", "s-3")]


def buckets() -> Buckets:
    """What two members compare: a member and an entry."""
    held = Buckets()
    held.put(key=("m", "n1"), stamp=(4, 5, 1))
    held.put(key=("i", "n0", MESSAGES, 0), stamp=ITEMS[0].stamp)
    return held


def summary() -> bytes:
    differing = buckets().differing(Buckets().digest(), 0)
    return b"".join(buckets().summaries(differing, 1_000))


def question() -> bytes:
    """What a member is asked, as the asker encodes it."""
    asker = Asker(
        number=9, table="tasks", columns=["uid", "node"], only={"node": "s-1"}, members=["n1"], now_us=0
    )
    ((_, data),) = asker.out
    return data


def names_of(data: bytes) -> object:
    return buckets().named(data)


def told_stream() -> bytes:
    """The answer to the question, uncompressed: what the library makes of it may differ between its versions."""
    table = Table(
        "tasks",
        "",
        columns(("uid", TEXT, ""), ("node", TEXT, "")),
        lambda: ["a", "b"],
        lambda uid: (uid, "s-1"),
    )
    answerer = Answerer(lambda name, wanted, only: Reading(table, wanted, only))
    answerer.take(asker="n0", data=question(), now_us=0)
    answerer.step(now_us=0, unix_ms=AT_US // 1000, spent=lambda: 0, until=1)
    ((_, data),) = answerer.out
    piece: Piece = msgspec.msgpack.decode(data, type=Piece)
    return zlib.decompress(piece.data[4:])


def read_stream(data: bytes) -> object:
    """What an asker finds in an answer."""
    asker = Asker(
        number=9, table="tasks", columns=["uid", "node"], only={"node": "s-1"}, members=["n1"], now_us=0
    )
    block = zlib.compress(data)
    stream = len(block).to_bytes(4, "big") + block
    piece = Piece(number=9, place=0, last=True, data=stream)
    asker.take(sender="n1", data=msgspec.msgpack.encode(piece), now_us=0)
    return asker.found


QUESTION = Question(
    number=9, table="tasks", columns=["uid", "node"], only={"node": "s-1"}, start=0, stop=False
)
PIECE = Piece(number=9, place=0, last=True, data=b"", why="it tells nothing")
NAMES = [0x0102030405060708, 0xFFFFFFFFFFFFFFFF]

CARRIED = Format(
    "datagram-contents.txt",
    [
        Sample("sights", own_sights, read_sights, {"s-0": 0.0, "s-1": 0.8, "s-2": 0.8}),
        Sample("list-news", own_news, read_news, [["n0"], ["n0"], []]),
        Sample("digest", lambda: buckets().digest(), lambda data: buckets().differing(data, 0), []),
        Sample("summary", summary),
        Sample("wanted-names", lambda: pack_names(NAMES), names_of, []),
        Sample("question", question, lambda data: msgspec.msgpack.decode(data, type=Question), QUESTION),
        Sample(
            "declined",
            lambda: declined(question=question(), why="it tells nothing") or b"",
            lambda data: msgspec.msgpack.decode(data, type=Piece),
            PIECE,
        ),
        Sample(
            "answer-rows",
            told_stream,
            read_stream,
            [("n1", AT_US // 1000, [["a", "s-1"], ["b", "s-1"]])],
        ),
        Sample("member-number", lambda: number("n0").to_bytes(4, "big")),
    ],
)


def conversation() -> dict[str, bytes]:
    """The datagrams of three members in virtual time: they meet, share an entry, and one leaves."""
    network, found = Network(seed=3), dict[str, bytes]()

    def tap(sender: str, receiver: str, data: bytes) -> None:
        found[f"{len(found):03d}-{sender}-to-{receiver}"] = data

    network.tap = tap
    for name in ("a", "b", "c"):
        network.start(name, seeds=("a", "b"))
    network.run(network.now + 2 * SECOND)
    network.views["b"].put(kind=SEEN, part=0, value=own_sights())
    network.run(network.now + 2 * SECOND)
    network.leave("c")
    return found


CONVERSATION = Format(
    "conversation.txt",
    [Sample(name, partial(bytes, data)) for name, data in conversation().items()],
)
FORMATS = [DATAGRAMS, CARRIED, CONVERSATION, RECORD, HANDOVER]
