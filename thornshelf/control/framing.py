"""Messages between a shell and a dispatcher on its control socket.

A frame is a big-endian length of four bytes and a message in MessagePack: an array of its tag and its fields.

shell:       QueryRequest  queries columns of a table, here or in the whole fleet; without a table: the catalog
dispatcher:  CatalogReply  the tables of the dispatcher
             RowPage       rows of one member, all read at the same time
             QueryEnd      the end of a query, with the members whose rows are complete or missing
             ErrorReply    an error with its stable code
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
Cell = str | int | float | None  # one value in a row
Identifier = Annotated[str, Meta(max_length=64)]


class QueryRequest(Struct, frozen=True, array_like=True, tag="ask"):
    """A query. ``number``: repeated in each reply to it. ``filters``: values that rows must have, by column."""

    number: Annotated[int, Meta(ge=0, lt=1 << 62)]
    table: Identifier = ""
    columns: Annotated[list[Identifier], Meta(max_length=64)] = []
    filters: Annotated[dict[Identifier, Cell], Meta(max_length=8)] = {}
    fleet: bool = False


class RowPage(Struct, frozen=True, array_like=True, tag="page"):
    """Rows of a member as of ``at_ms``, in Unix milliseconds of the member's own clock."""

    number: int
    member: str
    at_ms: int
    rows: list[list[Cell]]


class QueryEnd(Struct, frozen=True, array_like=True, tag="end"):
    """The end of a query: the members whose rows are complete, and (member, cause) for the others."""

    number: int
    answered: list[str]
    missing: list[tuple[str, str]]


class ErrorReply(Struct, frozen=True, array_like=True, tag="no"):
    """An error of the dispatcher; ``code`` is its stable code, ``text`` its message."""

    number: int
    code: str
    text: str


class TableSchema(Struct, frozen=True, array_like=True):
    """The declaration of a table; columns are (name, SQLite type, meaning)."""

    name: str
    meaning: str
    columns: list[tuple[str, str, str]]


class CatalogReply(Struct, frozen=True, array_like=True, tag="known"):
    """The tables of the dispatcher ``member``, its program version, and whether it is in a fleet."""

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
    """Returns the frame of a message."""
    body = _encoder.encode(message)
    return len(body).to_bytes(HEADER_BYTES, "big") + body


class FrameDecoder:
    """Splits a stream of bytes into the bodies of frames; ``max_bytes`` is the longest body allowed."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the bodies that are complete.

        Raises ``ControlProtocolError`` if a body is longer than allowed.
        """
        self._buffer += data
        bodies = []
        while len(self._buffer) >= HEADER_BYTES:
            length = int.from_bytes(self._buffer[:HEADER_BYTES], "big")
            if length > self._max_bytes:
                raise ControlProtocolError(f"a message has {length} bytes, but {self._max_bytes} are allowed")
            if len(self._buffer) < HEADER_BYTES + length:
                break
            bodies.append(bytes(self._buffer[HEADER_BYTES : HEADER_BYTES + length]))
            del self._buffer[: HEADER_BYTES + length]
        return bodies


def decode_request(body: bytes) -> QueryRequest:
    """Decode the body of a query. Raises ``ControlProtocolError`` if it is malformed."""
    try:
        return _request_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ControlProtocolError(f"not a valid query: {error!s:.200}") from None


def decode_reply(body: bytes) -> Reply:
    """Decode the body of a reply. Raises ``ControlProtocolError`` if it is malformed."""
    try:
        return _reply_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ControlProtocolError(f"not a valid reply: {error!s:.200}") from None
