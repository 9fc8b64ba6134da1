"""Scatter-gather queries over the datagrams of the membership protocol: the wire format, limits, and the responder.

The querier is in ``query_gatherer``. A reply is a stream of blocks (compressed rows read at one time), sent in chunks
that fit a datagram. The querier requests the next chunk that it needs, which acknowledges all earlier ones; lost
chunks are retransmitted. All waiting is bounded by timeouts, buffers by a window of chunks, and a reply by
``MAX_REPLY_BYTES``. Sans-I/O.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated, NamedTuple, Protocol

import msgspec
from msgspec import Meta

from thornshelf.membership.datagrams import UnsignedNumber

MAX_CHUNK_BYTES = 820  # so that a chunk fits a datagram
SEND_WINDOW = 12  # chunks in flight
BLOCK_ROWS = 100
BLOCK_LENGTH_BYTES = 4  # of the length prefix of each block
BLOCK_COMPRESSION_LEVEL = 1
MAX_REPLY_BYTES = 512 * 1024  # per member, compressed
MAX_OPEN_QUERIES = 16  # concurrent ones at one member
IDLE_TIMEOUT_US = 6_000_000  # a query is dropped after this time without a request
BLOCKS_PER_TURN = 8
MAX_REASON_LENGTH = 120

Cell = str | int | float | None
Rows = list[list[Cell]]
MemberMessage = tuple[str, bytes]  # the name of a member, and the content of a datagram to it


class Query(msgspec.Struct, frozen=True, array_like=True):
    """A query, or a request for the chunk ``next_chunk`` of its reply. ``cancel``: no more chunks are needed."""

    query_id: UnsignedNumber
    table: Annotated[str, Meta(max_length=64)]
    columns: Annotated[list[Annotated[str, Meta(max_length=64)]], Meta(max_length=64)]
    filters: Annotated[dict[str, Cell], Meta(max_length=8)]
    next_chunk: Annotated[int, Meta(ge=0, le=1 << 20)]
    cancel: bool = False


class ReplyChunk(msgspec.Struct, frozen=True, array_like=True):
    """A chunk of a reply. ``incomplete_reason``: why the reply is missing or incomplete, empty if it is complete."""

    query_id: UnsignedNumber
    index: Annotated[int, Meta(ge=0, le=1 << 20)]
    is_last: bool
    data: Annotated[bytes, Meta(max_length=MAX_CHUNK_BYTES)]
    incomplete_reason: Annotated[str, Meta(max_length=MAX_REASON_LENGTH)] = ""


class Block(NamedTuple):
    """Rows that were read at one time."""

    unix_ms: int
    rows: Rows


_encoder = msgspec.msgpack.Encoder()
_query_decoder: msgspec.msgpack.Decoder[Query] = msgspec.msgpack.Decoder(Query)


def decline(query: bytes, reason: str) -> bytes | None:
    """Returns the reply of a member that does not answer queries, or None if the query is malformed."""
    try:
        decoded = _query_decoder.decode(query)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return _encode_refusal(decoded, reason)


def _encode_refusal(query: Query, reason: str) -> bytes:
    chunk = ReplyChunk(query.query_id, query.next_chunk, True, b"", reason[:MAX_REASON_LENGTH])
    return _encoder.encode(chunk)


class RowSource(Protocol):
    """The source of the rows of a reply.

    ``exhausted``: whether all rows were read. ``truncated``: whether there were more rows than may be sent.
    """

    exhausted: bool
    truncated: bool

    def read_rows(self, spent: Callable[[], int], until: int, max_rows: int) -> Rows:
        """Returns up to ``max_rows`` further rows; stops early once ``spent()`` reaches ``until``."""


@dataclass(slots=True)
class ReplyStream:
    """The state of the reply to one query."""

    source: RowSource
    last_request_us: int
    next_requested: int = 0  # the chunk that the querier needs next
    next_to_send: int = 0
    first_buffered: int = 0  # the index of the first chunk in ``chunks``
    chunks: list[bytes] = field(default_factory=list)
    unchunked: bytes = b""  # data that does not fill a chunk yet
    total_bytes: int = 0
    incomplete_reason: str = ""
    is_complete: bool = False  # all blocks were added

    @property
    def end_of_buffer(self) -> int:
        """The index of the next chunk to be added to the buffer."""
        return self.first_buffered + len(self.chunks)

    def acknowledge(self, next_chunk: int) -> None:
        """Drop the chunks before the requested one, and resend from there, as the later ones may be lost."""
        if self.first_buffered <= next_chunk <= self.next_to_send:
            self.next_requested = next_chunk
            self.next_to_send = next_chunk
            del self.chunks[: next_chunk - self.first_buffered]
            self.first_buffered = next_chunk

    def add_block(self, block: bytes) -> None:
        """Append a block, or end the reply if it would become too long."""
        if self.total_bytes + len(block) > MAX_REPLY_BYTES:
            self.incomplete_reason = "it told only its first rows: the answer is too long"
            self.is_complete = True
        else:
            self.total_bytes += len(block)
            self.unchunked += len(block).to_bytes(BLOCK_LENGTH_BYTES, "big") + block

    def split(self, query_id: int) -> None:
        """Split the remaining data into chunks; a partial chunk is made only at the end of the reply."""
        while len(self.unchunked) > MAX_CHUNK_BYTES or (self.is_complete and self.unchunked):
            data = self.unchunked[:MAX_CHUNK_BYTES]
            self.unchunked = self.unchunked[MAX_CHUNK_BYTES:]
            self._add_chunk(query_id, data, is_last=self.is_complete and not self.unchunked)
        if self.is_complete and not self.chunks and self.first_buffered == 0:
            self._add_chunk(query_id, b"", is_last=True)

    def _add_chunk(self, query_id: int, data: bytes, is_last: bool) -> None:
        reason = self.incomplete_reason if is_last else ""
        chunk = ReplyChunk(query_id, self.end_of_buffer, is_last, data, reason)
        self.chunks.append(_encoder.encode(chunk))


class QueryResponder:
    """Answers the queries of other members. ``outgoing`` collects the messages to send.

    ``open_table`` returns the rows of a table by its name, columns and filters, or the reason why there are none.
    """

    def __init__(self, open_table: Callable[[str, list[str], dict[str, Cell]], RowSource | str]) -> None:
        self._open_table = open_table
        self._open_streams: dict[tuple[str, int], ReplyStream] = {}  # by querier and query id
        self.outgoing: list[MemberMessage] = []

    def __len__(self) -> int:
        return len(self._open_streams)

    def receive(self, querier: str, data: bytes, now_us: int) -> None:
        """Process a query, or a request for a further chunk. A malformed message is ignored."""
        try:
            query = _query_decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return
        key = (querier, query.query_id)
        if query.cancel:
            self._open_streams.pop(key, None)
            return
        stream = self._open_streams.get(key)
        if stream is None:
            source = self._open_source(query)
            if isinstance(source, str):
                self.outgoing.append((querier, _encode_refusal(query, source)))
                return
            stream = self._open_streams[key] = ReplyStream(source, now_us)
        stream.last_request_us = now_us
        stream.acknowledge(query.next_chunk)

    def _open_source(self, query: Query) -> RowSource | str:
        """Returns the rows for a new query, or the reason why there are none."""
        if query.next_chunk:
            return "it does not know the question: it was started anew"
        if len(self._open_streams) >= MAX_OPEN_QUERIES:
            return "it answers too many questions already"
        return self._open_table(query.table, query.columns, query.filters)

    def serve(self, now_us: int, unix_ms: int, spent: Callable[[], int], until: int) -> bool:
        """Build and send the requested chunks until ``spent()`` reaches ``until``.

        Returns whether it stopped there with work remaining. Queries that were idle for too long are dropped.
        """
        for (querier, query_id), stream in list(self._open_streams.items()):
            if now_us - stream.last_request_us > IDLE_TIMEOUT_US:
                del self._open_streams[querier, query_id]
                continue
            for _ in range(BLOCKS_PER_TURN):
                if stream.is_complete or stream.next_requested + SEND_WINDOW <= stream.end_of_buffer:
                    break
                if spent() >= until:
                    return True
                self._make_block(query_id, stream, unix_ms, spent, until)
            while stream.next_to_send < min(stream.next_requested + SEND_WINDOW, stream.end_of_buffer):
                chunk = stream.chunks[stream.next_to_send - stream.first_buffered]
                self.outgoing.append((querier, chunk))
                stream.next_to_send += 1
        return False

    def _make_block(
        self, query_id: int, stream: ReplyStream, unix_ms: int, spent: Callable[[], int], until: int
    ) -> None:
        rows = stream.source.read_rows(spent, until, BLOCK_ROWS)
        if rows:
            stream.add_block(zlib.compress(_encoder.encode(Block(unix_ms, rows)), BLOCK_COMPRESSION_LEVEL))
        if stream.source.exhausted:
            stream.is_complete = True
            if stream.source.truncated:
                stream.incomplete_reason = "it told only its first rows"
        stream.split(query_id)
