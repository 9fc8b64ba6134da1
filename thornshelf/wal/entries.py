"""The entries of the record, and their frames.

A frame is a mark, the format's version, the payload's length, a checksum (XXH3, 64 bits, over version, length and
payload) and the payload (MessagePack). Entries are only ever added; the order of frames is the order of events, and
the clock's times in them order nothing, as a clock may step back over a restart.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import xxhash

from thornshelf.errors import EntryTooLargeError
from thornshelf.errors import UnsupportedVersionError as UnsupportedVersionError

MAGIC = b"\xa7\x52"
FORMAT_VERSION = 1
MAX_PAYLOAD_SIZE = 64 * 1024
_HEADER = struct.Struct(">2sBIQ")
HEADER_SIZE = _HEADER.size


class Entry(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One event."""


class ProcessStarted(Entry, frozen=True, array_like=True, tag=1):
    """A process began to write, under an epoch that no earlier one had; ``at_us`` on the system's clock."""

    epoch: int
    at_us: int


class AttemptIntent(Entry, frozen=True, array_like=True, tag=2):
    """An offer of a task that must not be started twice is about to leave: recorded before its first byte."""

    key: int
    uid: int
    task_class: str
    node: str
    at_us: int


class AttemptEnded(Entry, frozen=True, array_like=True, tag=3):
    """An attempt has ended; ``never``: it is proved that it did not run, else it may have."""

    key: int
    uid: int
    never_ran: bool


class TaskRunning(Entry, frozen=True, array_like=True, tag=4):
    """A task stands, and who is to be told of its end."""

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
    """A task that stood is over, and its release has not been told yet; by the numbers of thornshelf.v2."""

    uid: int
    peer: str
    outcome: int
    reason: int
    at_us: int


class ReleaseDone(Entry, frozen=True, array_like=True, tag=6):
    """A release was told, or is not owed: its owner ended the task."""

    uid: int


class CleanShutdown(Entry, frozen=True, array_like=True, tag=7):
    """The process ended in order: what it knew is all here."""


AnyEntry = (
    ProcessStarted | AttemptIntent | AttemptEnded | TaskRunning | ReleasePending | ReleaseDone | CleanShutdown
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyEntry] = msgspec.msgpack.Decoder(AnyEntry)


@dataclass(frozen=True, slots=True)
class TornTail:
    """Where reading stopped, and why; everything before it is sound."""

    offset: int
    reason: str


def encode_frame(entry: AnyEntry) -> bytes:
    """An entry as it is written; an error where it is too large."""
    payload = _encoder.encode(entry)
    if len(payload) > MAX_PAYLOAD_SIZE:
        raise EntryTooLargeError(f"an entry of {len(payload)} bytes")
    return _HEADER.pack(MAGIC, FORMAT_VERSION, len(payload), _checksum(FORMAT_VERSION, payload)) + payload


def _checksum(version: int, payload: bytes) -> int:
    # The version and the length are in it: a length that was torn must not swallow the next frame.
    return xxhash.xxh3_64_intdigest(payload, seed=version << 32 | len(payload))


def read_frames(data: bytes) -> Iterator[tuple[int, AnyEntry] | TornTail]:
    """The entries with their offsets; the last thing is ``Torn`` where the record does not end with a whole frame.

    A tail that breaks off, or is not what was written, is what a crash leaves: it was never acknowledged. The same in
    the middle is damage; what follows it is not read, as it can't be told what is missing.
    """
    at = 0
    while at < len(data):
        if at + HEADER_SIZE > len(data):
            yield TornTail(at, "a head breaks off")
            return
        mark, version, length, checksum = _HEADER.unpack_from(data, at)
        if mark != MAGIC:
            yield TornTail(at, "no mark")
            return
        payload = data[at + HEADER_SIZE : at + HEADER_SIZE + length]
        if length > MAX_PAYLOAD_SIZE or len(payload) < length:
            yield TornTail(at, "a payload breaks off")
            return
        if _checksum(version, payload) != checksum:
            yield TornTail(at, "a checksum does not fit")
            return
        if version > FORMAT_VERSION:
            raise UnsupportedVersionError(version, at, FORMAT_VERSION)
        try:
            entry = _decoder.decode(payload)
        except (msgspec.DecodeError, msgspec.ValidationError) as fault:
            yield TornTail(at, f"no entry: {fault}")
            return
        yield at, entry
        at += HEADER_SIZE + length
