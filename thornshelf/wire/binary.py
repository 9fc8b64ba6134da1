"""The nodes' wire: length, type, task id and parameters, big-endian.

The constants have the names of the platform's description of this wire.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field

from thornshelf.wire.errors import WireError

MAX_MESSAGE = 16 * 1024

# Types of messages.
SET_UP = 1
PROGRESS = 6
ANSWER = 9
RELEASE = 12
RELEASE_ACK = 16
NOTE = 44
MOVE = 51
TEST = 52
TESTED = 53

# Codes of parameters.
CLASS = 129
WAIT = 132
KEY = 141
NOTE_NAME = 150
REPORT = 156
FIGURE = 165
CAUSE = 171
DESCRIPTION = 174

_HEADER = struct.Struct(">HBQ")
_PARAMETER = struct.Struct(">BH")


@dataclass(frozen=True, slots=True)
class Message:
    """One message; ``values`` are its parameters by code, the first of each."""

    type: int
    uid: int
    values: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int | None:
        """The cause, where the message carries one."""
        value = self.values.get(CAUSE)
        return value[0] if value else None

    def text(self, code: int) -> str | None:
        """A parameter as text, where the message carries it."""
        value = self.values.get(code)
        return None if value is None else value.decode("utf-8", "replace")


def encode(kind: int, uid: int, values: dict[int, bytes] | None = None) -> bytes:
    """A complete message, with the parameters in their order. Raises ``WireError`` where it is too long."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in (values or {}).items())
    if len(body) + _HEADER.size > MAX_MESSAGE:
        raise WireError(f"message is longer than {MAX_MESSAGE} bytes", uid=uid)
    return _HEADER.pack(len(body) + 9, kind, uid) + body


def parse(body: bytes) -> Message:
    """Decode a message without its length. Raises ``WireError`` where it is malformed."""
    if len(body) < 9:
        raise WireError(f"message of {len(body)} bytes has no room for type and task", fatal=True)
    values: dict[int, bytes] = {}
    at = 9
    while at < len(body):
        if at + 3 > len(body):
            raise WireError("parameter breaks off", fatal=True)
        code, length = _PARAMETER.unpack_from(body, at)
        at += 3
        if at + length > len(body):
            raise WireError(f"parameter {code} breaks off", fatal=True)
        values.setdefault(code, body[at : at + length])
        at += length
    if CAUSE in values and len(values[CAUSE]) != 1:
        raise WireError("cause is not one byte", fatal=True)
    return Message(body[0], int.from_bytes(body[1:9], "big"), values)


def parse_number(text: str | None) -> float | None:
    """The number of a note where it is finite, else None."""
    try:
        number = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def parse_load_report(text: str | None) -> dict[str, float]:
    """The fields of a load report; those that can't be read are left out."""
    fields = {}
    for part in (text or "").split(";"):
        name, _, value = part.partition(":")
        number = parse_number(value)
        if name and number is not None:
            fields[name] = number
    return fields


class MessageReader:
    """Splits a stream of bytes into messages; its buffer is bounded by one message."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Buffer more bytes of the stream."""
        self._buffer += data

    @property
    def mid_message(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._buffer)

    def next(self) -> Message | None:
        """The next message, or None until more bytes come. Raises ``WireError`` for a malformed one."""
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
