"""A question to all members, and the answers, over the view's own datagrams: bounded, and nobody left out in silence.

An answer is a stream of blocks (rows of one moment, compressed), sent in pieces that fit a datagram. The asker says
which piece it wants next, which also says that it has all before; lost ones are sent again. Neither side waits
for ever, holds more than a window of pieces, or tells more than ``MOST_BYTES``. No I/O.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Annotated, Protocol

import msgspec
from msgspec import Meta

from thornshelf.membership.datagrams import UnsignedNumber

MAX_CHUNK_BYTES = 820  # bytes of an answer in one datagram
SEND_WINDOW = 12  # pieces on their way at once
BLOCK_ROWS = 100
MAX_REPLY_BYTES = 512 * 1024  # of one member's answer, as it travels
MAX_BLOCK_BYTES = 1024 * 1024  # and of one block once it is unpacked: guards against a member that lies
MAX_OPEN_QUERIES = 16  # questions that one member answers at once
IDLE_TIMEOUT_US = 6_000_000  # a question that nobody asks on about
INITIAL_BACKOFF_US, MAX_BACKOFF_US = 100_000, 400_000  # a question is put again, at growing intervals
MAX_ATTEMPTS = 6  # without anything new; then its member is silent: after 1.8 s or so
BLOCKS_PER_TURN = 8  # blocks made in one turn

Cell = str | int | float | None


class Query(msgspec.Struct, frozen=True, array_like=True):
    """What is asked; ``start``: the piece that is wanted next; ``stop``: none is, it may be forgotten."""

    query_id: UnsignedNumber
    table: Annotated[str, Meta(max_length=64)]
    columns: Annotated[list[Annotated[str, Meta(max_length=64)]], Meta(max_length=64)]
    filters: Annotated[dict[str, Cell], Meta(max_length=8)]
    next_chunk: Annotated[int, Meta(ge=0, le=1 << 20)]
    cancel: bool = False


class ReplyChunk(msgspec.Struct, frozen=True, array_like=True):
    """A part of an answer; ``why``: there is none, or not all of it."""

    query_id: UnsignedNumber
    index: Annotated[int, Meta(ge=0, le=1 << 20)]
    is_last: bool
    data: Annotated[bytes, Meta(max_length=MAX_CHUNK_BYTES)]
    incomplete_reason: Annotated[str, Meta(max_length=120)] = ""


_encoder = msgspec.msgpack.Encoder()
_question: msgspec.msgpack.Decoder[Query] = msgspec.msgpack.Decoder(Query)
_piece: msgspec.msgpack.Decoder[ReplyChunk] = msgspec.msgpack.Decoder(ReplyChunk)
_block: msgspec.msgpack.Decoder[tuple[int, list[list[Cell]]]] = msgspec.msgpack.Decoder(
    tuple[int, list[list[Cell]]]
)


def decline(question: bytes, why: str) -> bytes | None:
    """The answer of one that tells nothing; none to what is no question."""
    try:
        asked = _question.decode(question)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return _encoder.encode(ReplyChunk(asked.query_id, asked.next_chunk, True, b"", why[:120]))


class RowSource(Protocol):
    """Where the rows of an answer come from."""

    exhausted: bool
    truncated: bool

    def read_rows(self, spent: Callable[[], int], until: int, max_rows: int) -> list[list[Cell]]:
        """The next rows, until ``spent()`` has come to ``until``."""


@dataclass(slots=True)
class ReplyStream:
    """One question that is being answered."""

    source: RowSource
    asked_us: int
    wanted: int = 0  # the piece that the asker wants next
    sent: int = 0  # pieces that have gone out
    first: int = 0  # the place of the first that is held
    pieces: list[bytes] = field(default_factory=list)
    rest: bytes = b""  # of the stream, what fills no piece yet
    bytes: int = 0
    why: str = ""
    over: bool = False  # the last piece is among those held, or was


class QueryResponder:
    """The questions that this member answers; ``out`` collects (member, datagram's content)."""

    def __init__(self, begin: Callable[[str, list[str], dict[str, Cell]], RowSource | str]) -> None:
        """``begin``: the rows of a table, or why there are none."""
        self._begin = begin
        self._open: dict[tuple[str, int], ReplyStream] = {}
        self.outgoing: list[tuple[str, bytes]] = []

    def __len__(self) -> int:
        return len(self._open)

    def receive(self, asker: str, data: bytes, now_us: int) -> None:
        """A question, or the wish for more of its answer. One that can't be read is no member's."""
        try:
            asked = _question.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return
        name = asker, asked.query_id
        if asked.cancel:
            self._open.pop(name, None)
            return
        telling = self._open.get(name)
        if telling is None:
            if asked.next_chunk:
                why: RowSource | str = "it does not know the question: it was started anew"
            elif len(self._open) >= MAX_OPEN_QUERIES:
                why = "it answers too many questions already"
            else:
                why = self._begin(asked.table, asked.columns, asked.filters)
            if isinstance(why, str):
                self.outgoing.append(
                    (
                        asker,
                        _encoder.encode(ReplyChunk(asked.query_id, asked.next_chunk, True, b"", why[:120])),
                    )
                )
                return
            telling = self._open[name] = ReplyStream(why, now_us)
        telling.asked_us = now_us
        if asked.next_chunk > telling.sent or asked.next_chunk < telling.first:
            return
        telling.wanted = telling.sent = asked.next_chunk  # what was on its way may be lost
        del telling.pieces[: telling.wanted - telling.first]
        telling.first = telling.wanted

    def serve(self, now_us: int, unix_ms: int, spent: Callable[[], int], until: int) -> bool:
        """Make and send what is wanted, for so long; whether more can be done at once."""
        for name, telling in list(self._open.items()):
            if now_us - telling.asked_us > IDLE_TIMEOUT_US:
                del self._open[name]
                continue
            for _ in range(BLOCKS_PER_TURN):
                if telling.over or telling.wanted + SEND_WINDOW <= telling.first + len(telling.pieces):
                    break
                if spent() >= until:
                    return True
                self._make(name[1], telling, unix_ms, spent, until)
            while telling.sent < min(telling.wanted + SEND_WINDOW, telling.first + len(telling.pieces)):
                self.outgoing.append((name[0], telling.pieces[telling.sent - telling.first]))
                telling.sent += 1
        return False

    def _make(
        self, number: int, telling: ReplyStream, at_ms: int, spent: Callable[[], int], until: int
    ) -> None:
        """One block more."""
        source = telling.source
        rows = source.read_rows(spent, until, BLOCK_ROWS)
        if rows:
            block = zlib.compress(_encoder.encode((at_ms, rows)), 1)
            if telling.bytes + len(block) > MAX_REPLY_BYTES:
                telling.why, telling.over = "it told only its first rows: the answer is too long", True
            else:
                telling.bytes += len(block)
                telling.rest += len(block).to_bytes(4, "big") + block
        if source.exhausted:
            telling.over = True
            if source.truncated:
                telling.why = "it told only its first rows"
        while len(telling.rest) > MAX_CHUNK_BYTES or (telling.over and telling.rest):
            data, telling.rest = telling.rest[:MAX_CHUNK_BYTES], telling.rest[MAX_CHUNK_BYTES:]
            last = telling.over and not telling.rest
            self._add(telling, ReplyChunk(number, 0, last, data, telling.why if last else ""))
        if telling.over and not telling.pieces and telling.first == 0:
            self._add(telling, ReplyChunk(number, 0, True, b"", telling.why))

    def _add(self, telling: ReplyStream, piece: ReplyChunk) -> None:
        place = telling.first + len(telling.pieces)
        telling.pieces.append(_encoder.encode(msgspec.structs.replace(piece, index=place)))


@dataclass(slots=True)
class MemberReply:
    """One member's answer, as far as it has come."""

    next: int = 0  # the piece that is wanted
    ahead: dict[int, ReplyChunk] = field(default_factory=dict)  # those that came before it
    stream: bytearray = field(default_factory=bytearray)
    rows: int = 0
    tries: int = 0
    again_us: int = 0
    asked: int = -1  # the place that was asked for last
    over: bool = False


class QueryGatherer:
    """One question to some members. ``out``: (member, content); ``found``: (member, Unix ms, rows), to be taken away.

    ``missing`` says of each that told nothing, or not all, why.
    """

    def __init__(
        self,
        number: int,
        table: str,
        columns: list[str],
        only: Mapping[str, Cell],
        members: Collection[str],
        now_us: int,
    ) -> None:
        self._asked = Query(number, table, columns, dict(only), 0)
        self._told = {name: MemberReply() for name in members}
        self.outgoing: list[tuple[str, bytes]] = []
        self.batches: list[tuple[str, int, list[list[Cell]]]] = []
        self.incomplete: dict[str, str] = {}
        self.paused = False  # the reader takes no more for now: nothing is asked for, and nobody is to blame
        for name, told in self._told.items():
            self._ask(name, told, now_us)

    @property
    def query_id(self) -> int:
        """Its own."""
        return self._asked.query_id

    @property
    def finished(self) -> bool:
        """All have told all, or are given up."""
        return all(told.over for told in self._told.values())

    @property
    def complete_members(self) -> list[str]:
        """Those that have told all."""
        return [name for name, told in self._told.items() if told.over and name not in self.incomplete]

    def _ask(self, name: str, told: MemberReply, now_us: int) -> None:
        told.asked = told.next
        told.again_us = now_us + min(MAX_BACKOFF_US, INITIAL_BACKOFF_US << told.tries)
        self.outgoing.append(
            (name, _encoder.encode(msgspec.structs.replace(self._asked, next_chunk=told.next)))
        )

    def _stop(self, name: str) -> None:
        self.outgoing.append((name, _encoder.encode(msgspec.structs.replace(self._asked, cancel=True))))

    def cancel(self) -> None:
        """Nobody waits for the answers any more."""
        for name, told in self._told.items():
            if not told.over:
                self._stop(name)

    def _lacks(self, name: str, why: str) -> None:
        self._told[name].over = True
        self.incomplete[name] = why

    def member_lost(self, name: str, why: str) -> None:
        """A member that is held for dead now: it is not waited for."""
        told = self._told.get(name)
        if told is not None and not told.over:
            self._lacks(name, f"{why}, after {told.rows} rows" if told.rows else why)

    def receive(self, sender: str, data: bytes, now_us: int) -> None:
        """A piece of an answer; whatever it holds, it can cost no more than that member's answer."""
        told = self._told.get(sender)
        if told is None or told.over:
            return
        try:
            piece = _piece.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return
        if piece.query_id != self.query_id or not told.next <= piece.index < told.next + SEND_WINDOW:
            return
        told.ahead[piece.index] = piece
        while (piece := told.ahead.pop(told.next, piece)).index == told.next:
            told.next += 1
            told.tries = 0
            told.stream += piece.data
            if not self._blocks(sender, told):
                self._lacks(sender, "its answer can't be read")
                return
            if piece.is_last:
                told.over = True
                if piece.incomplete_reason:
                    self.incomplete[sender] = piece.incomplete_reason
                self._stop(sender)
                return
        if told.next - told.asked >= SEND_WINDOW // 2 and not self.paused:
            self._ask(sender, told, now_us)

    def _blocks(self, sender: str, told: MemberReply) -> bool:
        """Unpack what is whole; false where it is no good."""
        while len(told.stream) >= 4:
            length = int.from_bytes(told.stream[:4], "big")
            if length > MAX_REPLY_BYTES:
                return False
            if len(told.stream) < 4 + length:
                break
            unpacker = zlib.decompressobj()
            try:
                raw = unpacker.decompress(bytes(told.stream[4 : 4 + length]), MAX_BLOCK_BYTES)
                if not unpacker.eof:
                    return False
                at_ms, rows = _block.decode(raw)
            except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError):
                return False
            if any(len(row) != len(self._asked.columns) for row in rows):
                return False
            del told.stream[: 4 + length]
            told.rows += len(rows)
            self.batches.append((sender, at_ms, rows))
        return True

    def tick(self, now_us: int) -> int | None:
        """Put again what found no answer; says when the next is due, None where nothing is."""
        due: int | None = None
        for name, told in self._told.items():
            if told.over:
                continue
            if self.paused:
                told.again_us, told.tries = now_us + INITIAL_BACKOFF_US, 0
            elif now_us >= told.again_us:
                told.tries += 1
                if told.tries >= MAX_ATTEMPTS:
                    why = "it does not answer" if not told.next else f"it fell silent after {told.rows} rows"
                    self._lacks(name, why)
                    continue
                self._ask(name, told, now_us)
            due = told.again_us if due is None else min(due, told.again_us)
        return due
