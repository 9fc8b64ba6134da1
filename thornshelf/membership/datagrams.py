"""The datagrams between members: MessagePack under a keyed hash, at most 1,200 bytes, each taken once.

    "TS" version:1 fleet:4 hash:16 body        the hash covers all the others

A key that is right says that a member sent it, not which: members trust each other that far. What a lying member can
do with that is bounded elsewhere.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
from collections import OrderedDict
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from thornshelf.errors import (
    ForeignDatagramError,
    ForgedDatagramError,
    OversizedDatagramError,
    ReplayedDatagramError,
    TruncatedDatagramError,
    UnreadableDatagramError,
    UnsupportedDatagramVersionError,
)
from thornshelf.membership.config import MAX_DATAGRAM_BYTES
from thornshelf.membership.states import MemberRecord

MAGIC, VERSION, MAC_BYTES = b"TS", 1, 16
HEADER_BYTES = len(MAGIC) + 1 + 4 + MAC_BYTES
MAX_INCARNATION = 1 << 62  # no claim goes beyond; far from where honest members ever come
REPLAY_WINDOW = 256  # datagrams may overtake each other by so many

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(min_length=3, max_length=64)]
UnsignedNumber = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
InstanceId = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]


class MessageKind(enum.IntEnum):
    """What a datagram is for."""

    JOIN = 0  # I am here; who are you, and who else is there?
    JOIN_REPLY = 1  # I, and some others
    PING = 2
    ACK = 3
    INDIRECT_PING = 4  # ping that one for me
    NACK = 5  # it did not answer me either
    PUSH_PULL_DIGEST = 6  # what I know, as a hash for each bucket
    PUSH_PULL_SUMMARY = 7  # of some buckets, a hash for each thing known
    PUSH_PULL_REQUEST = 8  # send me these
    GOSSIP = 9  # claims and entries, asked for or not
    LEAVE = 10
    QUERY = 11  # a question of a shell, or the wish for more of its answer
    QUERY_REPLY = 12  # a piece of such an answer


class ReceivedRecord(MemberRecord, frozen=True, array_like=True):
    """A claim as it comes in, with its bounds."""

    name: Name
    address: Address
    incarnation: UnsignedNumber
    instance_id: InstanceId
    status: Annotated[int, Meta(ge=0, le=3)]
    uptime_ms: UnsignedNumber
    reported_by: Annotated[str, Meta(max_length=64)] = ""


class MapEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the shared map: one writer, a kind, a part of it, and the writer's stamp, which only grows."""

    writer: Name
    kind: Annotated[str, Meta(min_length=1, max_length=16)]
    part: Annotated[int, Meta(ge=0, le=15)]
    incarnation: UnsignedNumber
    version: UnsignedNumber
    age_ms: Annotated[int, Meta(ge=0, le=1 << 40)]  # since it was written, as far as the sender knows
    value: Annotated[bytes, Meta(max_length=800)]

    @property
    def stamp(self) -> tuple[int, int, bytes]:
        """The greater one holds; two of one stamp are somebody's forgery, and one of them holds for all."""
        return self.incarnation, self.version, self.value


class Message(msgspec.Struct, frozen=True, array_like=True):
    """A datagram's content."""

    kind: MessageKind
    sender: ReceivedRecord
    recipient_instance_id: InstanceId  # of the process that it is meant for, 0 where that is not known
    counter: UnsignedNumber  # of this sender's datagrams
    sequence: UnsignedNumber = 0
    target: Annotated[str, Meta(max_length=64)] = (
        ""  # the member that it is meant for, or that is to be tried
    )
    records: Annotated[list[ReceivedRecord], Meta(max_length=64)] = []
    entries: Annotated[list[MapEntry], Meta(max_length=64)] = []
    payload: Annotated[bytes, Meta(max_length=MAX_DATAGRAM_BYTES)] = b""


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class Sealer:
    """Seals and opens datagrams of one fleet."""

    def __init__(self, fleet: str, key: bytes) -> None:
        self._key = hashlib.blake2b(key).digest()
        self._fleet = xxhash.xxh32_digest(fleet.encode())

    def encode(self, part: object) -> bytes:
        """One part of a body, so that its size is known before it is chosen."""
        return _encoder.encode(part)

    def seal(self, body: bytes) -> bytes:
        """A body as it is sent."""
        head = MAGIC + bytes((VERSION,)) + self._fleet
        return head + self._hash(head, body) + body

    def _hash(self, head: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(head + body, digest_size=MAC_BYTES, key=self._key).digest()

    def open(self, data: bytes) -> Message:
        """A datagram's content; an error of its own type for each way in which it can be no good."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise OversizedDatagramError(f"{len(data)} bytes")
        if len(data) <= HEADER_BYTES or data[:2] != MAGIC:
            raise TruncatedDatagramError(f"{len(data)} bytes")
        head, found, body = data[:7], data[7:HEADER_BYTES], data[HEADER_BYTES:]
        if data[2] > VERSION:
            raise UnsupportedDatagramVersionError(f"version {data[2]}; this program knows up to {VERSION}")
        if head[3:7] != self._fleet:
            raise ForeignDatagramError("another fleet's name")
        if data[2] < VERSION or not hmac.compare_digest(found, self._hash(head, body)):
            raise ForgedDatagramError("the hash does not fit")
        try:
            return _decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as fault:
            raise UnreadableDatagramError(str(fault)[:200]) from None


class ReplayWindows:
    """Which datagrams of each sender have come: each is taken once, in any order within a window."""

    def __init__(self, max_senders: int) -> None:
        self._most = max_senders
        self._seen: OrderedDict[tuple[str, int], tuple[int, int]] = (
            OrderedDict()
        )  # highest counter, bits below

    def accept(self, sender: str, instance_id: int, counter: int) -> None:
        """Take a datagram's number; an error where it came before, or is too old to tell."""
        top, bits = self._seen.pop((sender, instance_id), (0, 0))
        if counter > top:
            bits = (
                (bits << (counter - top) | 1) & ((1 << REPLAY_WINDOW) - 1)
                if counter - top < REPLAY_WINDOW
                else 1
            )
            self._seen[sender, instance_id] = counter, bits
            if len(self._seen) > self._most:
                self._seen.popitem(last=False)
            return
        self._seen[sender, instance_id] = top, bits
        if top - counter >= REPLAY_WINDOW or bits >> (top - counter) & 1:
            raise ReplayedDatagramError(f"number {counter} of {sender:.64}")
        self._seen[sender, instance_id] = top, bits | 1 << (top - counter)

    def __len__(self) -> int:
        return len(self._seen)
