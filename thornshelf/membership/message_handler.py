"""What each kind of message does: the receiving half of the membership protocol."""

from __future__ import annotations

from typing import NamedTuple

from thornshelf.errors import DuplicateNameError, ReplayedDatagramError
from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.datagram_sender import DatagramSender, OutgoingMessage
from thornshelf.membership.datagrams import MapEntry, Message, MessageKind, ReplayWindows
from thornshelf.membership.entry_publisher import EntryPublisher
from thornshelf.membership.fleet_state import FleetState
from thornshelf.membership.keys import EntryKey, RecordKey
from thornshelf.membership.probe_messages import ProbeMessages
from thornshelf.membership.push_pull import PushPull
from thornshelf.membership.states import LIVE_STATES, Member, MemberRecord, MemberState, RecordStatus

CORRECTION_INTERVAL_US = 200_000  # a member that is out of date is corrected no more often
JOIN_REPLY_MEMBERS = 8  # known members in a reply to a join; push-pull rounds bring the others
SENDERS_PER_MEMBER = 4  # replay windows, as members restart under other instance ids
UPTIME_BYTES = 8
UNKNOWN_MEMBERS = "strangers"  # the name of the counter, as the shell shows it


class UserMessage(NamedTuple):
    """A query or a chunk of its reply, from another member."""

    sender: str
    kind: MessageKind
    content: bytes


class MessageHandler:
    """Takes the messages of other members, and answers them.

    ``superseded`` is set once another process of this name has taken over. ``uptime_lag_us``: how much longer than
    this process the longest running member has run.
    """

    def __init__(
        self,
        config: MembershipConfig,
        state: FleetState,
        sender: DatagramSender,
        probes: ProbeMessages,
        push_pull: PushPull,
        publisher: EntryPublisher,
        now_us: int,
    ) -> None:
        self._name = config.name
        self._state = state
        self._local = state.local
        self._table = state.table
        self._sender = sender
        self._probes = probes
        self._push_pull = push_pull
        self._publisher = publisher
        self._start_us = now_us
        self._now_us = now_us
        self._replay_windows = ReplayWindows(SENDERS_PER_MEMBER * config.max_members)
        self._received_entries: list[MapEntry] = []
        self._user_messages: list[UserMessage] = []
        self.superseded: DuplicateNameError | None = None
        self.uptime_lag_us = 0

    def take_received_entries(self) -> list[MapEntry]:
        """The new entries of other writers since the last call."""
        entries = self._received_entries
        self._received_entries = []
        return entries

    def take_user_messages(self) -> list[UserMessage]:
        """The queries and replies of other members since the last call."""
        messages = self._user_messages
        self._user_messages = []
        return messages

    def handle(self, message: Message, now_us: int) -> None:
        """Take a valid datagram. Raises ``ReplayedDatagramError`` for one that is not for this process."""
        self._now_us = now_us
        sender = message.sender
        if sender.name == self._name:
            self._handle_same_name(message)
            return
        is_for_anyone = message.kind is MessageKind.JOIN and not message.recipient_instance_id
        if message.recipient_instance_id != self._local.record.instance_id and not is_for_anyone:
            # It is for a process that has ended. If it is no replay, its sender has to learn of this one.
            self._correct(sender)
            raise ReplayedDatagramError(f"meant for another process: of {sender.name}")
        self._replay_windows.accept(sender.name, sender.instance_id, message.counter)
        known = self._table.state_of(sender.name)
        if known is None and not self._probes.admit(message, self._now_us):
            self._answer_unknown_sender(message)
            return
        member = self._table.members[sender.name]
        if not self._table.update_from_sender(sender, self._now_us):
            self._correct(sender)
            if sender.instance_id != member.record.instance_id:
                # The process has to take a newer incarnation first, or it has ended.
                self._answer_unknown_sender(message)
                return
        if message.kind is not MessageKind.JOIN:
            self._merge(message)
        self._answer(message, member, known)

    def _handle_same_name(self, message: Message) -> None:
        """Take a datagram of another process of this member's name."""
        sender = message.sender
        if sender.instance_id != self._local.record.instance_id:
            self._handle_local_record(sender)
            # Only a join is answered, as the two processes would answer each other's replies forever.
            if message.kind is MessageKind.JOIN:
                reply = OutgoingMessage(MessageKind.JOIN_REPLY)
                self._sender.send(sender.address, sender.instance_id, reply, self._now_us)

    def _merge(self, message: Message) -> None:
        """Take over the records and entries of a message."""
        before = len(self._state.buffer) + len(self._probes.candidates)
        for record in message.records:
            if record.name == self._name:
                self._handle_local_record(record)
            elif record.name in self._table.members:
                self._table.update_from_gossip(record, self._now_us)
            elif record.status < RecordStatus.DEAD and not self._probes.candidates.add(
                record, message.sender.name, self._now_us
            ):
                self._table.counters[UNKNOWN_MEMBERS] += 1
        for entry in message.entries:
            self._merge_entry(entry)
        after = len(self._state.buffer) + len(self._probes.candidates)
        self._push_pull.rumors_learned(max(0, after - before))

    def _merge_entry(self, entry: MapEntry) -> None:
        if entry.writer != self._name and entry.writer not in self._table.members:
            return
        if not self._state.replicated_map.merge(entry, self._now_us):
            return
        if entry.writer == self._name:
            self._publisher.rewrite(entry.kind, entry.part, self._now_us)
            return
        self._state.update(EntryKey(entry.writer, entry.kind, entry.part), entry.stamp)
        self._received_entries.append(entry)

    def _handle_local_record(self, record: MemberRecord) -> None:
        """Refute what is reported of this member, or note that another process of its name has taken over."""
        if self._local.refute(record, self._now_us):
            if record.status in (RecordStatus.SUSPECT, RecordStatus.DEAD):
                self._table.raise_health_multiplier()  # others missed its answers, so it may be unhealthy
            self._state.update_record(self._local.record)
            self._sender.gossip(RecordKey(self._name), self._now_us)
        elif self._local.superseded and self.superseded is None:
            self.superseded = DuplicateNameError(f"a process at {record.address} uses the name {self._name}")

    def _answer_unknown_sender(self, message: Message) -> None:
        """Answer a sender that is no member here.

        Of its records only those of this very member are taken, as these can only make it refute.
        """
        sender = message.sender
        for record in message.records if message.recipient_instance_id else []:
            if record.name == self._name:
                self._handle_local_record(record)
        match message.kind:
            case MessageKind.JOIN:
                keys = [RecordKey(name) for name in self._table.sample(JOIN_REPLY_MEMBERS)]
                reply = OutgoingMessage(
                    MessageKind.JOIN_REPLY, message.sequence, keys=keys, payload=self._encode_uptime()
                )
            case MessageKind.PING if message.target == self._name:
                reply = OutgoingMessage(MessageKind.ACK, message.sequence)
            case MessageKind.PUSH_PULL_DIGEST:
                self._push_pull.unknown_digest_received(sender, message.payload, self._now_us)
                return
            case _:
                return
        self._sender.send(sender.address, sender.instance_id, reply, self._now_us)

    def _answer(self, message: Message, member: Member, known: MemberState | None) -> None:
        """Answer a member's message; ``known``: its state before the message arrived."""
        match message.kind:
            case MessageKind.JOIN:
                self._reply_to_join(member)
            case MessageKind.JOIN_REPLY:
                self._join_reply_received(message, member, known)
            case MessageKind.PING if message.target == self._name:
                self._probes.ping_received(member, message.sequence, self._now_us)
            case MessageKind.PING:
                self._correct(message.sender)  # the address belonged to another member before
            case MessageKind.ACK:
                self._probes.ack_received(member, message, self._now_us)
            case MessageKind.NACK:
                self._probes.prober.nack_received(message.sequence)
            case MessageKind.INDIRECT_PING:
                self._probes.indirect_ping_received(member, message, self._now_us)
            case MessageKind.PUSH_PULL_DIGEST:
                self._push_pull.digest_received(member, message.payload, self._now_us)
            case MessageKind.PUSH_PULL_SUMMARY:
                self._push_pull.summary_received(member, message.payload, self._now_us)
            case MessageKind.PUSH_PULL_REQUEST:
                self._push_pull.request_received(member, message.payload, self._now_us)
            case MessageKind.GOSSIP:
                self._push_pull.gossip_received(self._now_us)
            case MessageKind.LEAVE:
                pass  # the sender's own record has the status, and was taken already
            case MessageKind.QUERY | MessageKind.QUERY_REPLY:
                self._user_messages.append(UserMessage(member.record.name, message.kind, message.payload))

    def _reply_to_join(self, member: Member) -> None:
        names = self._table.sample(JOIN_REPLY_MEMBERS)
        keys = [RecordKey(name) for name in names if name != member.record.name]
        self._send(member, OutgoingMessage(MessageKind.JOIN_REPLY, keys=keys, payload=self._encode_uptime()))

    def _join_reply_received(self, message: Message, member: Member, known: MemberState | None) -> None:
        uptime_us = int.from_bytes(message.payload[:UPTIME_BYTES], "big") * 1000
        self.uptime_lag_us = max(self.uptime_lag_us, uptime_us - (self._now_us - self._start_us))
        if known not in LIVE_STATES:
            self._push_pull.send_digest(member, self._now_us)

    def _correct(self, sender: MemberRecord) -> None:
        """Send a sender that is out of date what is gossiped about it, and this member's own record."""
        member = self._table.members.get(sender.name)
        if member is not None:
            if self._now_us - member.last_corrected_us < CORRECTION_INTERVAL_US:
                return
            member.last_corrected_us = self._now_us
        reply = OutgoingMessage(
            MessageKind.JOIN_REPLY, keys=[RecordKey(sender.name)], payload=self._encode_uptime()
        )
        self._sender.send(sender.address, sender.instance_id, reply, self._now_us)

    def _encode_uptime(self) -> bytes:
        """How long this process has run, in milliseconds."""
        return ((self._now_us - self._start_us) // 1000).to_bytes(UPTIME_BYTES, "big")

    def _send(self, member: Member, message: OutgoingMessage) -> None:
        self._sender.send_to_member(member, message, self._now_us)
