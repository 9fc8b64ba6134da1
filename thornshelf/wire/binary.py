"""The binary protocol of nodes: length, message type, task id and parameters, big-endian.

The constants have the names that the platform's description of the protocol uses.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field

from thornshelf.wire.errors import WireError

MAX_MESSAGE = 16 * 1024

# Message types.
SET_UP = 1
PROGRESS = 6
ANSWER = 9
RELEASE = 12
RELEASE_ACK = 16
NOTE = 44
MOVE = 51
TEST = 52
TESTED = 53

# Parameter codes.
CLASS = 129
WAIT = 132
KEY = 141
NOTE_NAME = 150
REPORT = 156
FIGURE = 165
DEDUPLICATION_KEY = 168
CAUSE = 171
DESCRIPTION = 174

_HEADER = struct.Struct(">HBQ")
_PARAMETER = struct.Struct(">BH")


@dataclass(frozen=True, slots=True)
class Message:
    """One message; ``values``: its parameters by code, the first of each where one is repeated."""

    type: int
    uid: int
    values: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int | None:
        """The cause code; None if the message has none."""
        value = self.values.get(CAUSE)
        return value[0] if value else None

    def text(self, code: int) -> str | None:
        """Return a parameter as text, with replacement characters for invalid UTF-8; None if the message has none."""
        value = self.values.get(code)
        return None if value is None else value.decode("utf-8", "replace")


def encode(kind: int, uid: int, values: dict[int, bytes] | None = None) -> bytes:
    """Encode a complete message, with the parameters in the given order. Raises ``WireError`` if it is too long."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in (values or {}).items())
    if len(body) + _HEADER.size > MAX_MESSAGE:
        raise WireError(f"message is longer than {MAX_MESSAGE} bytes", uid=uid)
    return _HEADER.pack(len(body) + 9, kind, uid) + body


def parse(body: bytes) -> Message:
    """Decode a message without its length field. Raises ``WireError`` if it is malformed."""
    if len(body) < 9:
        raise WireError(f"message of {len(body)} bytes is too short for a type and a task id", fatal=True)
    values: dict[int, bytes] = {}
    offset = 9
    while offset < len(body):
        if offset + 3 > len(body):
            raise WireError("parameter header is truncated", fatal=True)
        code, length = _PARAMETER.unpack_from(body, offset)
        offset += 3
        if offset + length > len(body):
            raise WireError(f"parameter {code} is truncated", fatal=True)
        values.setdefault(code, body[offset : offset + length])
        offset += length
    if CAUSE in values and len(values[CAUSE]) != 1:
        raise WireError("cause is not exactly one byte long", fatal=True)
    return Message(body[0], int.from_bytes(body[1:9], "big"), values)


def parse_number(text: str | None) -> float | None:
    """Parse the number of a note; None if it is missing, malformed or not finite."""
    try:
        number = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def parse_load_report(text: str | None) -> dict[str, float]:
    """Parse the fields of a load report; malformed ones are left out."""
    fields = {}
    for part in (text or "").split(";"):
        name, _, value = part.partition(":")
        number = parse_number(value)
        if name and number is not None:
            fields[name] = number
    return fields


class MessageReader:
    """Splits a stream of bytes into messages.

    Between two calls of ``feed`` it holds at most one incomplete message, if the caller takes the complete ones.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Add bytes to the buffer."""
        self._buffer += data

    @property
    def mid_message(self) -> bool:
        """Whether bytes of an incomplete message are buffered."""
        return bool(self._buffer)

    def next(self) -> Message | None:
        """Return the next message; None if it is incomplete. Raises ``WireError`` if it is malformed."""
        if len(self._buffer) < 2:
            return None
        length = int.from_bytes(self._buffer[:2], "big")
        if length + 2 > MAX_MESSAGE:
            raise WireError(f"message is longer than {MAX_MESSAGE} bytes", fatal=True)
        if len(self._buffer) < length + 2:
            return None
        body = bytes(self._buffer[2 : length + 2])
        del self._buffer[: length + 2]
        return parse(body)
