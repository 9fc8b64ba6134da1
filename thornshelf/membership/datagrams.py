"""The datagrams between members: MessagePack authenticated by a MAC, at most 1,200 bytes, each accepted once.

    "TS" version:1 fleet:4 mac:16 body        the MAC covers everything else

The key is shared, so a valid MAC proves that some member sent a datagram, but not which one. The rules for states,
incarnations and join candidates limit what a malicious member can do by impersonating others.
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

MAGIC = b"TS"
VERSION = 1
MAC_BYTES = 16
FLEET_OFFSET = len(MAGIC) + 1
MAC_OFFSET = FLEET_OFFSET + 4
HEADER_BYTES = MAC_OFFSET + MAC_BYTES
MAX_INCARNATION = 1 << 62  # upper limit in records; out of reach for honest members
REPLAY_WINDOW = 256  # datagrams by which one may be reordered
MAX_ERROR_TEXT = 200

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(min_length=3, max_length=64)]
UnsignedNumber = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
InstanceId = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]


class MessageKind(enum.IntEnum):
    """The kind of a message. The values are those on the wire."""

    JOIN = 0  # announces the sender, and asks for other members
    JOIN_REPLY = 1  # some members' records; also sent to correct a member that is out of date
    PING = 2
    ACK = 3
    INDIRECT_PING = 4  # asks the receiver to ping the target on behalf of the sender
    NACK = 5  # the target did not acknowledge an indirect ping in time
    PUSH_PULL_DIGEST = 6  # one hash per bucket of the sender's index
    PUSH_PULL_SUMMARY = 7  # one hash per key in some buckets
    PUSH_PULL_REQUEST = 8  # hashes of the keys that the sender requests
    GOSSIP = 9  # records and map entries, requested or not
    LEAVE = 10
    QUERY = 11  # a query of a shell, or a request for more of its reply
    QUERY_REPLY = 12  # a chunk of such a reply


class ReceivedRecord(MemberRecord, frozen=True, array_like=True):
    """A received record; decoding enforces the bounds of its fields."""

    name: Name
    address: Address
    incarnation: UnsignedNumber
    instance_id: InstanceId
    status: Annotated[int, Meta(ge=0, le=3)]
    uptime_ms: UnsignedNumber
    reported_by: Annotated[str, Meta(max_length=64)] = ""


class MapEntry(msgspec.Struct, frozen=True, array_like=True):
    """One version of an entry of the replicated map. Only its writer increments the stamp."""

    writer: Name
    kind: Annotated[str, Meta(min_length=1, max_length=16)]
    part: Annotated[int, Meta(ge=0, le=15)]
    incarnation: UnsignedNumber
    version: UnsignedNumber
    age_ms: Annotated[int, Meta(ge=0, le=1 << 40)]  # time since it was written, estimated by the sender
    value: Annotated[bytes, Meta(max_length=800)]

    @property
    def stamp(self) -> tuple[int, int, bytes]:
        """The sort key of versions; the greatest prevails. The value decides between forged duplicates."""
        return self.incarnation, self.version, self.value


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The content of a datagram. The field order is the wire format."""

    kind: MessageKind
    sender: ReceivedRecord
    recipient_instance_id: InstanceId  # of the recipient's process; 0 if unknown
    counter: UnsignedNumber  # numbers the sender's datagrams, to detect replays
    sequence: UnsignedNumber = 0  # of a ping; copied to its acknowledgement
    target: Annotated[str, Meta(max_length=64)] = ""  # the member to ping, directly or indirectly
    records: Annotated[list[ReceivedRecord], Meta(max_length=64)] = []
    entries: Annotated[list[MapEntry], Meta(max_length=64)] = []
    payload: Annotated[bytes, Meta(max_length=MAX_DATAGRAM_BYTES)] = b""


class EncodedMessage(msgspec.Struct, array_like=True):
    """A ``Message`` with already encoded parts. It has the same wire format."""

    kind: int
    sender: msgspec.Raw
    recipient_instance_id: int
    counter: int
    sequence: int
    target: str
    records: list[msgspec.Raw]
    entries: list[msgspec.Raw]
    payload: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class Sealer:
    """Authenticates and encodes, verifies and decodes the datagrams of one fleet."""

    def __init__(self, fleet: str, key: bytes) -> None:
        self._key = hashlib.blake2b(key).digest()
        self._fleet = xxhash.xxh32_digest(fleet.encode())

    def encode(self, part: object) -> bytes:
        """Encode a part of a body on its own, so that the caller knows its size."""
        return _encoder.encode(part)

    def seal(self, body: bytes) -> bytes:
        """Returns the datagram with this body, which includes the MAC."""
        header = MAGIC + bytes((VERSION,)) + self._fleet
        return header + self._mac(header, body) + body

    def _mac(self, header: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(header + body, digest_size=MAC_BYTES, key=self._key).digest()

    def open(self, data: bytes) -> Message:
        """Verify and decode a datagram. Raises a subclass of ``RejectedDatagramError`` if it is invalid."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise OversizedDatagramError(f"{len(data)} bytes")
        if len(data) <= HEADER_BYTES or data[: len(MAGIC)] != MAGIC:
            raise TruncatedDatagramError(f"{len(data)} bytes")
        header = data[:MAC_OFFSET]
        mac = data[MAC_OFFSET:HEADER_BYTES]
        body = data[HEADER_BYTES:]
        version = data[len(MAGIC)]
        if version > VERSION:
            raise UnsupportedDatagramVersionError(
                f"version {version}; the newest supported version is {VERSION}"
            )
        if header[FLEET_OFFSET:] != self._fleet:
            raise ForeignDatagramError("the fleet identifier differs")
        if version < VERSION or not hmac.compare_digest(mac, self._mac(header, body)):
            raise ForgedDatagramError("the MAC does not match")
        try:
            return _decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as fault:
            raise UnreadableDatagramError(str(fault)[:MAX_ERROR_TEXT]) from None


class ReplayWindows:
    """Replay protection: accepts each datagram of a sender once, in any order within a window."""

    def __init__(self, max_senders: int) -> None:
        self._max_senders = max_senders
        # By name and instance id of the sender: its highest counter, and a bitmap of received ones downwards.
        self._received: OrderedDict[tuple[str, int], tuple[int, int]] = OrderedDict()

    def accept(self, sender: str, instance_id: int, counter: int) -> None:
        """Record a counter. Raises ``ReplayedDatagramError`` if it was received before, or is below the window."""
        key = (sender, instance_id)
        highest, bits = self._received.pop(key, (0, 0))
        if counter > highest:
            self._received[key] = (counter, _shift(bits, counter - highest))
            if len(self._received) > self._max_senders:
                self._received.popitem(last=False)
            return
        self._received[key] = (highest, bits)
        offset = highest - counter
        if offset >= REPLAY_WINDOW or bits >> offset & 1:
            raise ReplayedDatagramError(f"counter {counter} of {sender:.64}")
        self._received[key] = (highest, bits | 1 << offset)

    def __len__(self) -> int:
        return len(self._received)


def _shift(bits: int, distance: int) -> int:
    """Returns the bitmap of received counters, shifted to a new highest one."""
    if distance >= REPLAY_WINDOW:
        return 1
    return (bits << distance | 1) & ((1 << REPLAY_WINDOW) - 1)
