"""The querier of a scatter-gather query: requests the chunks of all members' replies, and collects their rows.

Each member whose reply is missing or incomplete is reported with the reason, so that no rows are missing unnoticed.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from thornshelf.errors import WireError
from thornshelf.membership.scatter_gather import (
    BLOCK_LENGTH_BYTES,
    MAX_REPLY_BYTES,
    SEND_WINDOW,
    Block,
    Cell,
    MemberMessage,
    Query,
    ReplyChunk,
    Rows,
)

MAX_BLOCK_BYTES = 1024 * 1024  # per decompressed block, against decompression bombs
INITIAL_BACKOFF_US = 100_000
MAX_BACKOFF_US = 400_000
MAX_ATTEMPTS = 6  # without a new chunk, about 1.8 s; then the member is given up

_encoder = msgspec.msgpack.Encoder()
_chunk_decoder: msgspec.msgpack.Decoder[ReplyChunk] = msgspec.msgpack.Decoder(ReplyChunk)
_block_decoder: msgspec.msgpack.Decoder[Block] = msgspec.msgpack.Decoder(Block)


class RowBatch(NamedTuple):
    """Rows of a member's reply that it read at one time."""

    member: str
    unix_ms: int
    rows: Rows


@dataclass(slots=True)
class MemberReply:
    """The state of one member's reply."""

    next_chunk: int = 0
    out_of_order: dict[int, ReplyChunk] = field(default_factory=dict)  # chunks after the next one, by index
    buffer: bytearray = field(default_factory=bytearray)  # the start of an incomplete block
    row_count: int = 0
    attempts: int = 0  # requests repeated without a new chunk
    retry_us: int = 0
    last_requested: int = -1
    is_finished: bool = False

    def take_blocks(self, column_count: int) -> Iterator[Block]:
        """Remove and yield the buffered complete blocks. Raises ``WireError`` if one is malformed or too large."""
        while len(self.buffer) >= BLOCK_LENGTH_BYTES:
            end = BLOCK_LENGTH_BYTES + int.from_bytes(self.buffer[:BLOCK_LENGTH_BYTES], "big")
            if end - BLOCK_LENGTH_BYTES > MAX_REPLY_BYTES:
                raise WireError("a block exceeds the maximum length of a reply")
            if len(self.buffer) < end:
                break
            block = _decode_block(bytes(self.buffer[BLOCK_LENGTH_BYTES:end]), column_count)
            del self.buffer[:end]
            yield block


def _decode_block(data: bytes, column_count: int) -> Block:
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, MAX_BLOCK_BYTES)
        if not decompressor.eof:
            raise WireError("a block is truncated or too large")
        block = _block_decoder.decode(encoded)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise WireError("a block cannot be decoded") from fault
    if any(len(row) != column_count for row in block.rows):
        raise WireError("the number of columns in a row differs from the query")
    return block


class QueryGatherer:
    """One query to some members.

    ``outgoing`` collects the messages to send, and ``batches`` the received rows; the caller removes both.
    ``incomplete`` has the reason for each member whose reply is missing or incomplete. ``paused``: set by the caller
    while its reader is blocked; then nothing is requested, and no member times out.
    """

    def __init__(
        self,
        query_id: int,
        table: str,
        columns: list[str],
        filters: Mapping[str, Cell],
        members: Collection[str],
        now_us: int,
    ) -> None:
        self._query = Query(query_id, table, columns, dict(filters), 0)
        self._replies = {name: MemberReply() for name in members}
        self.outgoing: list[MemberMessage] = []
        self.batches: list[RowBatch] = []
        self.incomplete: dict[str, str] = {}
        self.paused = False
        for name, reply in self._replies.items():
            self._request(name, reply, now_us)

    @property
    def query_id(self) -> int:
        """The number that identifies this query among those of this member."""
        return self._query.query_id

    @property
    def finished(self) -> bool:
        """Whether each member has replied completely or was given up."""
        return all(reply.is_finished for reply in self._replies.values())

    @property
    def complete_members(self) -> list[str]:
        """The members that have replied completely."""
        return [
            name for name, reply in self._replies.items() if reply.is_finished and name not in self.incomplete
        ]

    def _request(self, name: str, reply: MemberReply, now_us: int) -> None:
        """Request a member's next chunk. Retries back off exponentially until a new chunk arrives."""
        reply.last_requested = reply.next_chunk
        reply.retry_us = now_us + min(MAX_BACKOFF_US, INITIAL_BACKOFF_US << reply.attempts)
        query = msgspec.structs.replace(self._query, next_chunk=reply.next_chunk)
        self.outgoing.append((name, _encoder.encode(query)))

    def _send_cancel(self, name: str) -> None:
        query = msgspec.structs.replace(self._query, cancel=True)
        self.outgoing.append((name, _encoder.encode(query)))

    def cancel(self) -> None:
        """Cancel the query at all members that have not finished."""
        for name, reply in self._replies.items():
            if not reply.is_finished:
                self._send_cancel(name)

    def _give_up(self, name: str, reason: str) -> None:
        self._replies[name].is_finished = True
        self.incomplete[name] = reason

    def member_lost(self, name: str, reason: str) -> None:
        """Give up a member that is no longer live."""
        reply = self._replies.get(name)
        if reply is not None and not reply.is_finished:
            self._give_up(name, f"{reason}, after {reply.row_count} rows" if reply.row_count else reason)

    def receive(self, sender: str, data: bytes, now_us: int) -> None:
        """Process a chunk. A malformed chunk is ignored; a malformed block ends this member's reply."""
        reply = self._replies.get(sender)
        if reply is None or reply.is_finished:
            return
        try:
            chunk = _chunk_decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return
        is_in_window = reply.next_chunk <= chunk.index < reply.next_chunk + SEND_WINDOW
        if chunk.query_id != self.query_id or not is_in_window:
            return
        reply.out_of_order[chunk.index] = chunk
        while (next_chunk := reply.out_of_order.pop(reply.next_chunk, None)) is not None:
            self._take_in_order(sender, reply, next_chunk)
            if reply.is_finished:
                return
        if reply.next_chunk - reply.last_requested >= SEND_WINDOW // 2 and not self.paused:
            self._request(sender, reply, now_us)

    def _take_in_order(self, sender: str, reply: MemberReply, chunk: ReplyChunk) -> None:
        reply.next_chunk += 1
        reply.attempts = 0
        reply.buffer += chunk.data
        try:
            for block in reply.take_blocks(len(self._query.columns)):
                reply.row_count += len(block.rows)
                self.batches.append(RowBatch(sender, block.unix_ms, block.rows))
        except WireError:
            self._give_up(sender, "its answer can't be read")
            return
        if chunk.is_last:
            reply.is_finished = True
            if chunk.incomplete_reason:
                self.incomplete[sender] = chunk.incomplete_reason
            self._send_cancel(sender)

    def tick(self, now_us: int) -> int | None:
        """Repeat requests that timed out; returns when the next one is due, or None if all replies have ended."""
        due_us: int | None = None
        for name, reply in self._replies.items():
            if reply.is_finished:
                continue
            if self.paused:
                reply.retry_us = now_us + INITIAL_BACKOFF_US
                reply.attempts = 0
            elif now_us >= reply.retry_us:
                reply.attempts += 1
                if reply.attempts >= MAX_ATTEMPTS:
                    partial_reason = f"it fell silent after {reply.row_count} rows"
                    self._give_up(name, partial_reason if reply.next_chunk else "it does not answer")
                    continue
                self._request(name, reply, now_us)
            due_us = reply.retry_us if due_us is None else min(due_us, reply.retry_us)
        return due_us
