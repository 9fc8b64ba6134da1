"""Sends the pings of the prober and of the join candidates, and passes the answers to them."""

from __future__ import annotations

import random
from collections.abc import Sequence

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.datagram_sender import DatagramSender, OutgoingMessage
from thornshelf.membership.datagrams import Message, MessageKind
from thornshelf.membership.join_candidates import JoinCandidates
from thornshelf.membership.member_table import MemberTable
from thornshelf.membership.prober import IndirectPing, IndirectPingResult, Ping, ProbeAction, Prober
from thornshelf.membership.states import Member, RecordStatus


class ProbeMessages:
    """Sends and processes pings, indirect pings and their answers."""

    def __init__(
        self,
        config: MembershipConfig,
        table: MemberTable,
        sender: DatagramSender,
        random_source: random.Random,
        now_us: int,
    ) -> None:
        self._indirect_probes = config.indirect_probes
        self._table = table
        self._sender = sender
        self.prober = Prober(config, table, random_source, now_us)
        self.candidates = JoinCandidates(random_source)

    def next_due_us(self) -> int:
        """Returns when ``tick`` is due next."""
        due = self.prober.next_due_us()
        candidate_due = self.candidates.next_due_us()
        return due if candidate_due is None else min(due, candidate_due)

    def tick(self, now_us: int) -> None:
        """Probe the members and ping the candidates that are due."""
        self._perform(self.prober.tick(now_us), now_us)
        for ping in self.candidates.due_pings(now_us):
            record = ping.record
            if ping.indirect:
                message = OutgoingMessage(MessageKind.INDIRECT_PING, ping.sequence, target=record.name)
                for name in self._table.sample(self._indirect_probes):
                    self._sender.send_to_member(self._table.members[name], message, now_us)
            else:
                message = OutgoingMessage(MessageKind.PING, ping.sequence, target=record.name)
                self._sender.send(record.address, record.instance_id, message, now_us)

    def _perform(self, actions: Sequence[ProbeAction], now_us: int) -> None:
        members = self._table.members
        for action in actions:
            match action:
                case Ping(target, sequence) if target in members:
                    # A ping carries the target's record if it is not alive, so that the target can refute it.
                    self._send(members[target], MessageKind.PING, sequence, target, now_us)
                case IndirectPing(relay, target, sequence) if relay in members:
                    self._send(members[relay], MessageKind.INDIRECT_PING, sequence, target, now_us)
                case IndirectPingResult(requester, sequence, acknowledged) if requester in members:
                    kind = MessageKind.ACK if acknowledged else MessageKind.NACK
                    self._send(members[requester], kind, sequence, "", now_us)

    def _send(self, member: Member, kind: MessageKind, sequence: int, target: str, now_us: int) -> None:
        self._sender.send_to_member(member, OutgoingMessage(kind, sequence, target), now_us)

    def ping(self, member: Member, now_us: int) -> None:
        """Ping a member without awaiting its answer, so that it receives the record that is gossiped about it."""
        self._send(member, MessageKind.PING, 0, member.record.name, now_us)

    def ping_received(self, member: Member, sequence: int, now_us: int) -> None:
        """Acknowledge a member's ping."""
        self._send(member, MessageKind.ACK, sequence, "", now_us)

    def ack_received(self, member: Member, message: Message, now_us: int) -> None:
        """Process a member's acknowledgement, or that of a candidate which the member pinged for this one."""
        candidate = self.candidates.ack_received(message.sequence)
        if candidate is not None and candidate.name not in self._table.members:
            self._table.add(candidate, now_us)
        name = message.target or member.record.name
        self._perform(self.prober.ack_received(name, message.sequence), now_us)

    def indirect_ping_received(self, member: Member, message: Message, now_us: int) -> None:
        """Ping the target on behalf of a member."""
        actions = self.prober.probe_on_behalf(member.record.name, message.target, message.sequence, now_us)
        self._perform(actions, now_us)

    def admit(self, message: Message, now_us: int) -> bool:
        """Process a message of an unknown sender.

        An acknowledgement of a ping makes it a member, any other message a candidate. Returns whether it is a member.
        """
        sender = message.sender
        is_alive = sender.status == RecordStatus.ALIVE
        if message.kind is MessageKind.ACK:
            candidate = self.candidates.ack_received(message.sequence)
            if candidate is not None:
                return candidate.name == sender.name and is_alive and self._table.add(sender, now_us)
        if is_alive:
            self.candidates.add(sender, sender.name, now_us)
        return False
