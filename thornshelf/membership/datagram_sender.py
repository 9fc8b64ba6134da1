"""Builds outgoing datagrams, and fills the remaining space of each with rumors (piggybacking)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from thornshelf.membership.config import MAX_DATAGRAM_BYTES, MembershipConfig
from thornshelf.membership.datagrams import HEADER_BYTES, EncodedMessage, MessageKind, Sealer
from thornshelf.membership.fleet_state import FleetState
from thornshelf.membership.keys import RecordKey, RumorKey
from thornshelf.membership.states import Member, MemberRecord, MemberState, RecordStatus

MESSAGE_OVERHEAD_BYTES = 48  # upper bound for the numbers and lengths in a message
MAX_GOSSIP_DATAGRAMS = 4  # in reply to one push-pull request
GOSSIP_FANOUT = 3  # random members to which urgent rumors are sent immediately


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """The content of a datagram other than this member's own record and the piggybacked rumors.

    ``keys``: records and entries to send, as many as fit. ``sequence``: of a ping; copied to its acknowledgement.
    """

    kind: MessageKind
    sequence: int = 0
    target: str = ""
    keys: Sequence[RumorKey] = ()
    payload: bytes = b""


class OutgoingDatagram(NamedTuple):
    """A datagram and its destination, host:port."""

    address: str
    data: bytes


class DatagramSender:
    """Builds datagrams and queues them in ``outgoing``."""

    def __init__(self, config: MembershipConfig, state: FleetState) -> None:
        self.sealer = Sealer(config.fleet, config.key)
        self.outgoing: list[OutgoingDatagram] = []
        self.counter = 0
        self._config = config
        self._state = state
        self._now_us = 0  # the time of the datagram that is being built
        self._encoded_local: tuple[MemberRecord, bytes] | None = None

    def take_outgoing(self) -> list[OutgoingDatagram]:
        """Returns the datagrams built since the last call."""
        outgoing = self.outgoing
        self.outgoing = []
        return outgoing

    def send_to_member(self, member: Member, message: OutgoingMessage, now_us: int) -> list[RumorKey]:
        """Send to a known member; returns the keys that did not fit.

        If its record or state is not alive, the record is included first, so that the member can refute it.
        """
        record = member.record
        is_alive = record.status == RecordStatus.ALIVE and member.state is MemberState.ALIVE
        first = None if is_alive else RecordKey(record.name)
        return self.send(record.address, record.instance_id, message, now_us, first)

    def send(
        self,
        address: str,
        instance_id: int,
        message: OutgoingMessage,
        now_us: int,
        first: RecordKey | None = None,
    ) -> list[RumorKey]:
        """Send to an address; returns the keys that did not fit.

        ``instance_id``: of the recipient's process, 0 for any. ``first``: a rumor that is included before all others,
        after the keys of the message.
        """
        self._now_us = now_us
        local_record = self._encode_local_record()
        capacity = MAX_DATAGRAM_BYTES - HEADER_BYTES - len(local_record) - MESSAGE_OVERHEAD_BYTES
        capacity -= len(message.target) + len(message.payload)
        remaining = list(message.keys)
        selected: list[tuple[RumorKey, bytes]] = []
        while remaining and (data := self._encode(remaining[0])) is not None and len(data) <= capacity:
            capacity -= len(data)
            selected.append((remaining.pop(0), data))
        while remaining and self._encode(remaining[0]) is None:
            remaining.pop(0)
        if message.kind is not MessageKind.JOIN:
            requested = {key for key, _ in selected}
            limit = self._config.retransmit_limit(self._state.live_count)
            rumors = self._state.buffer.select(capacity, limit, self._encode, first)
            selected += [(key, data) for key, data in rumors if key not in requested]
        self._append(address, instance_id, message, local_record, selected)
        return remaining

    def _append(
        self,
        address: str,
        instance_id: int,
        message: OutgoingMessage,
        local_record: bytes,
        rumors: Sequence[tuple[RumorKey, bytes]],
    ) -> None:
        self.counter += 1
        body = EncodedMessage(
            kind=int(message.kind),
            sender=msgspec.Raw(local_record),
            recipient_instance_id=instance_id,
            counter=self.counter,
            sequence=message.sequence,
            target=message.target,
            records=[msgspec.Raw(data) for key, data in rumors if isinstance(key, RecordKey)],
            entries=[msgspec.Raw(data) for key, data in rumors if not isinstance(key, RecordKey)],
            payload=message.payload,
        )
        self.outgoing.append(OutgoingDatagram(address, self.sealer.seal(self.sealer.encode(body))))

    def send_keys(self, member: Member, keys: Sequence[RumorKey], now_us: int) -> None:
        """Send records and entries to a member in at most ``MAX_GOSSIP_DATAGRAMS``; others are omitted."""
        remaining = list(keys)
        for _ in range(MAX_GOSSIP_DATAGRAMS):
            if not remaining:
                return
            remaining = self.send_to_member(
                member, OutgoingMessage(MessageKind.GOSSIP, keys=remaining), now_us
            )

    def gossip(self, key: RumorKey, now_us: int) -> None:
        """Send a record or an entry to ``GOSSIP_FANOUT`` random members immediately."""
        message = OutgoingMessage(MessageKind.GOSSIP, keys=[key])
        for name in self._state.table.sample(GOSSIP_FANOUT):
            self.send_to_member(self._state.table.members[name], message, now_us)

    def _encode(self, key: RumorKey) -> bytes | None:
        """Returns the encoded record or entry, or None if it is no longer known."""
        if isinstance(key, RecordKey):
            if key.name == self._state.local.record.name:
                return self._encode_local_record()
            member = self._state.table.members.get(key.name)
            return None if member is None else self.sealer.encode(member.record)
        stored = self._state.replicated_map.get(key.writer, key.kind, key.part)
        if stored is None:
            return None
        age_ms = max(0, (self._now_us - stored.written_us) // 1000)
        return self.sealer.encode(msgspec.structs.replace(stored.entry, age_ms=age_ms))

    def _encode_local_record(self) -> bytes:
        record = self._state.local.record
        if self._encoded_local is None or self._encoded_local[0] is not record:
            self._encoded_local = (record, self.sealer.encode(record))
        return self._encoded_local[1]
