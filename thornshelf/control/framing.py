"""Words between a shell and a dispatcher on its control socket: a length of four bytes, then MessagePack.

shell:       Asked        one table, some columns, of this dispatcher or of all
dispatcher:  Known        which tables there are (the answer to an Asked without a table)
             Page         rows of one member, all of one moment
             End          what is missing: nobody is left out in silence
             Declined     an error of this program, by its code
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from thornshelf.errors import ControlProtocolError

HEADER_BYTES = 4
MAX_REQUEST_BYTES = 16 * 1024
MAX_REPLY_BYTES = 4 * 1024 * 1024
MAX_ROWS_PER_PAGE = 500  # of one page
Cell = str | int | float | None
Label = Annotated[str, Meta(max_length=64)]


class QueryRequest(Struct, frozen=True, array_like=True, tag="ask"):
    """A question; ``number`` comes back with each answer."""

    number: Annotated[int, Meta(ge=0, lt=1 << 62)]
    table: Label = ""
    columns: Annotated[list[Label], Meta(max_length=64)] = []
    filters: Annotated[dict[Label, Cell], Meta(max_length=8)] = {}
    fleet: bool = False


class RowPage(Struct, frozen=True, array_like=True, tag="page"):
    """Rows as they were at ``at_ms``, Unix milliseconds by the member's own clock."""

    number: int
    member: str
    at_ms: int
    rows: list[list[Cell]]


class QueryEnd(Struct, frozen=True, array_like=True, tag="end"):
    """All that there will be. ``told``: who told all; ``missing``: (member, why) of those that did not."""

    number: int
    answered: list[str]
    missing: list[tuple[str, str]]


class ErrorReply(Struct, frozen=True, array_like=True, tag="no"):
    """An error."""

    number: int
    code: str
    text: str


class TableSchema(Struct, frozen=True, array_like=True):
    """A table as it is declared: (name, kind, meaning) a column."""

    name: str
    meaning: str
    columns: list[tuple[str, str, str]]


class CatalogReply(Struct, frozen=True, array_like=True, tag="known"):
    """Who answers, and its tables."""

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
    """A word with its length."""
    body = _encoder.encode(message)
    return len(body).to_bytes(HEADER_BYTES, "big") + body


class FrameDecoder:
    """Cuts what comes into words."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes, self._buffer = max_bytes, bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The words that are whole now; an error where one is longer than any may be."""
        self._buffer += data
        found = []
        while len(self._buffer) >= HEADER_BYTES:
            length = int.from_bytes(self._buffer[:HEADER_BYTES], "big")
            if length > self._max_bytes:
                raise ControlProtocolError(f"a word of {length} bytes, where {self._max_bytes} are allowed")
            if len(self._buffer) < HEADER_BYTES + length:
                break
            found.append(bytes(self._buffer[HEADER_BYTES : HEADER_BYTES + length]))
            del self._buffer[: HEADER_BYTES + length]
        return found


def decode_request(body: bytes) -> QueryRequest:
    """A question."""
    try:
        return _request_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise ControlProtocolError(f"no question: {fault!s:.200}") from None


def decode_reply(body: bytes) -> Reply:
    """An answer."""
    try:
        return _reply_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise ControlProtocolError(f"no answer: {fault!s:.200}") from None
