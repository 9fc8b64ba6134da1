"""The entries of the write-ahead log, and the frames in which they are stored.

A frame consists of a magic number, the format's version, the payload's length, a checksum (64-bit XXH3 over version,
length and payload) and the payload (MessagePack). Frames are only appended, and their order is the order of events.
The times inside entries do not order them, because a clock may step back across a restart.

An entry is stored as an array that begins with its tag. The order of the fields is part of the format, the names of
classes and fields are not.
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
    """An event in the life of a process or a task."""


class ProcessStarted(Entry, frozen=True, array_like=True, tag=1):
    """A process began to write, under an epoch that no earlier process used; ``at_us`` is wall-clock time."""

    epoch: int
    at_us: int


class AttemptIntent(Entry, frozen=True, array_like=True, tag=2):
    """An attempt of a non-idempotent task is about to be sent; stored before its first byte is."""

    key: int
    uid: int
    task_class: str
    node: str
    at_us: int


class AttemptEnded(Entry, frozen=True, array_like=True, tag=3):
    """An attempt has ended; ``never_ran``: it is proved that the task did not run, otherwise it may have."""

    key: int
    uid: int
    never_ran: bool


class TaskRunning(Entry, frozen=True, array_like=True, tag=4):
    """A task runs on a node; ``peer`` is the host of the client to notify of its end."""

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
    """A task has ended, and its client is yet to be notified; ``outcome`` and ``reason`` as in thornshelf.v2."""

    uid: int
    peer: str
    outcome: int
    reason: int
    at_us: int


class ReleaseDone(Entry, frozen=True, array_like=True, tag=6):
    """A client was notified of the end of its task, or ended the task itself and needs no notification."""

    uid: int


class CleanShutdown(Entry, frozen=True, array_like=True, tag=7):
    """The process shut down in order, so that the log is complete."""


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
    """Where the log stops being readable, and why; everything before ``offset`` is intact."""

    offset: int
    reason: str


def encode_frame(entry: AnyEntry) -> bytes:
    """Encode an entry as a frame.

    Raises ``EntryTooLargeError`` if the payload exceeds ``MAX_PAYLOAD_SIZE`` bytes.
    """
    payload = _encoder.encode(entry)
    if len(payload) > MAX_PAYLOAD_SIZE:
        raise EntryTooLargeError(f"an entry of {len(payload)} bytes")
    checksum = _checksum(FORMAT_VERSION, payload)
    return _HEADER.pack(MAGIC, FORMAT_VERSION, len(payload), checksum) + payload


def read_frames(data: bytes) -> Iterator[StoredEntry | TornTail]:
    """Yields the entries of a log; the last item is a ``TornTail`` unless the log ends with a complete frame.

    A crash may leave an incomplete frame at the end, whose entry was never acknowledged. A damaged frame before the
    end is reported the same way, and what follows it is not read, because it is unknown which entries are missing.

    Raises ``UnsupportedVersionError`` at a frame that a newer version of the program wrote.
    """
    offset = 0
    while offset < len(data):
        if offset + HEADER_SIZE > len(data):
            yield TornTail(offset, "the header is incomplete")
            return
        magic, version, length, checksum = _HEADER.unpack_from(data, offset)
        payload = data[offset + HEADER_SIZE : offset + HEADER_SIZE + length]
        defect = _find_defect(magic, version, length, checksum, payload)
        if defect is not None:
            yield TornTail(offset, defect)
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


def _find_defect(magic: bytes, version: int, length: int, checksum: int, payload: bytes) -> str | None:
    """Returns why a frame is not intact, or None; works for all versions, because they share the header."""
    if magic != MAGIC:
        return "the magic number is missing"
    if length > MAX_PAYLOAD_SIZE or len(payload) < length:
        return "the payload is incomplete"
    if _checksum(version, payload) != checksum:
        return "the checksum does not match"
    return None


def _checksum(version: int, payload: bytes) -> int:
    """Returns the checksum of a frame; it covers the length, so that a damaged length is detected too."""
    return xxhash.xxh3_64_intdigest(payload, seed=version << 32 | len(payload))
