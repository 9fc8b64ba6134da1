"""Messages between a shell and a dispatcher on its control socket.

A frame is a length of four bytes, then the message in MessagePack: an array of its tag and its fields by position.

shell:       QueryRequest  columns of one table, of this dispatcher or of the fleet; without a table: the catalog
dispatcher:  CatalogReply  the tables that there are
             RowPage       rows of one member, all read at one time
             QueryEnd      the end of the rows, with the members whose rows are incomplete
             ErrorReply    an error, by its stable code
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from thornshelf.errors import ControlProtocolError

HEADER_BYTES = 4
MAX_REQUEST_BYTES = 16 * 1024
MAX_REPLY_BYTES = 4 * 1024 * 1024
MAX_ROWS_PER_PAGE = 500
Cell = str | int | float | None
Label = Annotated[str, Meta(max_length=64)]


class QueryRequest(Struct, frozen=True, array_like=True, tag="ask"):
    """A query; ``number`` is repeated in each reply, and ``filters`` are values that the rows must have."""

    number: Annotated[int, Meta(ge=0, lt=1 << 62)]
    table: Label = ""
    columns: Annotated[list[Label], Meta(max_length=64)] = []
    filters: Annotated[dict[Label, Cell], Meta(max_length=8)] = {}
    fleet: bool = False


class RowPage(Struct, frozen=True, array_like=True, tag="page"):
    """Rows as they were at ``at_ms``, in Unix milliseconds of the member's own clock."""

    number: int
    member: str
    at_ms: int
    rows: list[list[Cell]]


class QueryEnd(Struct, frozen=True, array_like=True, tag="end"):
    """The end of the rows: the members that sent all of theirs, and (member, cause) for those that did not."""

    number: int
    answered: list[str]
    missing: list[tuple[str, str]]


class ErrorReply(Struct, frozen=True, array_like=True, tag="no"):
    """An error of the dispatcher; ``code`` is its stable code."""

    number: int
    code: str
    text: str


class TableSchema(Struct, frozen=True, array_like=True):
    """A table as it is declared; its columns are (name, SQLite type, meaning)."""

    name: str
    meaning: str
    columns: list[tuple[str, str, str]]


class CatalogReply(Struct, frozen=True, array_like=True, tag="known"):
    """The tables of the dispatcher ``member``, and whether it is in a fleet."""

    number: int
    member: str
    version: str
    in_fleet: bool
    tables: list[TableSchema]


Reply = RowPage | QueryEnd | ErrorReply | CatalogReply

_encoder = msgspec.msgpack.Encoder()
_request_decoder: msgspec.msgpack.Decoder[QueryRequest] = msgspec.msgpack.Decoder(QueryRequest)
_reply_decoder: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)


def encode_frame(message: QueryRequest | Reply) -> bytes:
    """A message with its length before it."""
    body = _encoder.encode(message)
    return len(body).to_bytes(HEADER_BYTES, "big") + body


class FrameDecoder:
    """Splits a stream of bytes into messages."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that are complete now; raises ``ControlProtocolError`` where one is longer than allowed."""
        self._buffer += data
        found = []
        while len(self._buffer) >= HEADER_BYTES:
            length = int.from_bytes(self._buffer[:HEADER_BYTES], "big")
            if length > self._max_bytes:
                raise ControlProtocolError(
                    f"a message of {length} bytes, where {self._max_bytes} are allowed"
                )
            if len(self._buffer) < HEADER_BYTES + length:
                break
            found.append(bytes(self._buffer[HEADER_BYTES : HEADER_BYTES + length]))
            del self._buffer[: HEADER_BYTES + length]
        return found


def decode_request(body: bytes) -> QueryRequest:
    """A query; raises ``ControlProtocolError`` where it is malformed."""
    try:
        return _request_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ControlProtocolError(f"not a valid query: {error!s:.200}") from None


def decode_reply(body: bytes) -> Reply:
    """A reply; raises ``ControlProtocolError`` where it is malformed."""
    try:
        return _reply_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ControlProtocolError(f"not a valid reply: {error!s:.200}") from None
