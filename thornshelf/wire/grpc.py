"""The formats of gRPC over HTTP/2: length-prefixed messages, timeouts, status codes and status messages."""

from __future__ import annotations

import re
from typing import TypeVar

from google.protobuf.message import DecodeError, Message

from thornshelf.wire.errors import WireError

MAX_MESSAGE = 16 * 1024

# gRPC status codes.
OK = 0
CANCELLED = 1
INVALID_ARGUMENT = 3
DEADLINE_EXCEEDED = 4
RESOURCE_EXHAUSTED = 8
ABORTED = 10
UNIMPLEMENTED = 12
INTERNAL = 13
UNAVAILABLE = 14

_TIMEOUT = re.compile(r"([0-9]{1,8})([HMSmun])")
_UNIT_NS = {
    "H": 3_600_000_000_000,
    "M": 60_000_000_000,
    "S": 1_000_000_000,
    "m": 1_000_000,
    "u": 1000,
    "n": 1,
}
_UNSAFE = re.compile(rb"[^\x20-\x24\x26-\x7e]")
_Message = TypeVar("_Message", bound=Message)


def encode_message(message: Message) -> bytes:
    """Encode a message with its length prefix, uncompressed. Raises ``WireError`` if it is too long."""
    data = message.SerializeToString()
    if len(data) > MAX_MESSAGE:
        raise WireError(f"message is longer than {MAX_MESSAGE} bytes")
    return b"\x00" + len(data).to_bytes(4, "big") + data


def decode_message(kind: type[_Message], data: bytes) -> _Message:
    """Decode a message without its length prefix. Raises ``WireError`` if it is malformed."""
    try:
        return kind.FromString(data)
    except DecodeError as error:
        raise WireError(f"no {kind.__name__}: {error}", fatal=True) from None


def decode_timeout(text: str) -> int:
    """Decode the value of grpc-timeout; returns microseconds. Raises ``WireError`` if it is malformed."""
    match = _TIMEOUT.fullmatch(text)
    if match is None:
        raise WireError(f"grpc-timeout is not understood: {text!r:.20}", fatal=True)
    return int(match[1]) * _UNIT_NS[match[2]] // 1000


def encode_timeout(microseconds: int) -> str:
    """Encode a remaining time as the value of grpc-timeout: at most 8 digits, rounded down if necessary."""
    remaining_us = max(0, microseconds)
    return f"{remaining_us}u" if remaining_us < 100_000_000 else f"{min(remaining_us // 1000, 99_999_999)}m"


def encode_status_message(text: str) -> str:
    """Percent-encode the text of a status for grpc-message."""
    return _UNSAFE.sub(lambda found: b"%%%02X" % found[0][0], text.encode("utf-8", "replace")).decode("ascii")


class MessageReader:
    """Splits the data of one HTTP/2 stream into messages, without their prefixes.

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

    def next(self) -> bytes | None:
        """Return the next message; None if it is incomplete. Raises ``WireError`` if it is compressed or too long."""
        if len(self._buffer) < 5:
            return None
        if self._buffer[0] != 0:
            raise WireError("compressed messages are not supported", fatal=True)
        length = int.from_bytes(self._buffer[1:5], "big")
        if length > MAX_MESSAGE:
            raise WireError(f"message is longer than {MAX_MESSAGE} bytes", fatal=True)
        if len(self._buffer) < 5 + length:
            return None
        data = bytes(self._buffer[5 : 5 + length])
        del self._buffer[: 5 + length]
        return data
