"""The entries of the write-ahead log, and the frames in which they are stored.

A frame is a magic number, the format's version, the payload's length, a checksum (XXH3, 64 bits, over version, length
and payload) and the payload (MessagePack). Frames are only ever appended, and their order is the order of events. The
times inside entries order nothing, because a clock may step back across a restart.

Entries are stored as arrays with a number in front that states their kind, so that names of classes and fields here
are not part of the format. The order of the fields is.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
import xxhash

from thornshelf.errors import EntryTooLargeError
from thornshelf.errors import UnsupportedVersionError as UnsupportedVersionError

MAGIC = b"\xa7\x52"
FORMAT_VERSION = 1
MAX_PAYLOAD_SIZE = 64 * 1024
_HEADER = struct.Struct(">2sBIQ")  # magic, version, payload length, checksum
HEADER_SIZE = _HEADER.size


class Entry(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One event."""


class ProcessStarted(Entry, frozen=True, array_like=True, tag=1):
    """A process began to write, under an epoch that no earlier process had; ``at_us`` is wall-clock time."""

    epoch: int
    at_us: int


class AttemptIntent(Entry, frozen=True, array_like=True, tag=2):
    """An attempt of a non-idempotent task is about to be sent: stored before its first byte leaves."""

    key: int
    uid: int
    task_class: str
    node: str
    at_us: int


class AttemptEnded(Entry, frozen=True, array_like=True, tag=3):
    """An attempt has ended; ``never_ran`` means that this is proved, otherwise the task may have run."""

    key: int
    uid: int
    never_ran: bool


class TaskRunning(Entry, frozen=True, array_like=True, tag=4):
    """A task runs on a node; ``peer`` is the host of the client that must be notified of its end."""

    key: int
    uid: int
    node_uid: int
    task_class: str
    tenant: str | None
    service: int
    cores: float
    memory: float
    hint_us: int | None
    node: str
    peer: str
    at_us: int


class ReleasePending(Entry, frozen=True, array_like=True, tag=5):
    """A running task has ended and its client has not been notified; numbers as in thornshelf.v2."""

    uid: int
    peer: str
    outcome: int
    reason: int
    at_us: int


class ReleaseDone(Entry, frozen=True, array_like=True, tag=6):
    """A client has been notified of the end of its task, or has ended the task itself and needs no notice."""

    uid: int


class CleanShutdown(Entry, frozen=True, array_like=True, tag=7):
    """The process ended in order: the log holds all that it knew."""


AnyEntry = (
    ProcessStarted | AttemptIntent | AttemptEnded | TaskRunning | ReleasePending | ReleaseDone | CleanShutdown
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyEntry] = msgspec.msgpack.Decoder(AnyEntry)


class StoredEntry(NamedTuple):
    """An entry, and the offset of its frame in the log."""

    offset: int
    entry: AnyEntry


@dataclass(frozen=True, slots=True)
class TornTail:
    """The offset at which the log stops being readable, and the reason; everything before it is intact."""

    offset: int
    reason: str


def encode_frame(entry: AnyEntry) -> bytes:
    """An entry as it is stored.

    Raises EntryTooLargeError for a payload of more than ``MAX_PAYLOAD_SIZE`` bytes.
    """
    payload = _encoder.encode(entry)
    if len(payload) > MAX_PAYLOAD_SIZE:
        raise EntryTooLargeError(f"an entry of {len(payload)} bytes")
    checksum = _checksum(FORMAT_VERSION, payload)
    return _HEADER.pack(MAGIC, FORMAT_VERSION, len(payload), checksum) + payload


def read_frames(data: bytes) -> Iterator[StoredEntry | TornTail]:
    """The entries of a log; the last item is a ``TornTail`` unless the log ends with a complete frame.

    A crash leaves a tail that breaks off or was only partly written; such an entry was never acknowledged. The same
    in the middle of the log is damage, and what follows it is not read, because it is unknown what is missing.

    Raises UnsupportedVersionError at a frame that a newer version of the program has written.
    """
    offset = 0
    while offset < len(data):
        if offset + HEADER_SIZE > len(data):
            yield TornTail(offset, "the header is incomplete")
            return
        magic, version, length, checksum = _HEADER.unpack_from(data, offset)
        payload = data[offset + HEADER_SIZE : offset + HEADER_SIZE + length]
        fault = _frame_fault(magic, version, length, checksum, payload)
        if fault is not None:
            yield TornTail(offset, fault)
            return
        if version > FORMAT_VERSION:
            raise UnsupportedVersionError(version, offset, FORMAT_VERSION)
        try:
            entry = _decoder.decode(payload)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            yield TornTail(offset, f"the payload is not an entry: {error}")
            return
        yield StoredEntry(offset, entry)
        offset += HEADER_SIZE + length


def _frame_fault(magic: bytes, version: int, length: int, checksum: int, payload: bytes) -> str | None:
    """Why a frame is not intact, or None; of any version, because all versions share the header."""
    if magic != MAGIC:
        return "the magic number is missing"
    if length > MAX_PAYLOAD_SIZE or len(payload) < length:
        return "the payload is incomplete"
    if _checksum(version, payload) != checksum:
        return "the checksum does not match"
    return None


def _checksum(version: int, payload: bytes) -> int:
    """The checksum of a frame; it covers the length, so that a damaged length can't swallow the next frame."""
    return xxhash.xxh3_64_intdigest(payload, seed=version << 32 | len(payload))
