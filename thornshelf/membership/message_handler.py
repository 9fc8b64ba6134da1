"""The receiving side of the membership protocol: processes and answers each kind of message."""

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

CORRECTION_INTERVAL_US = 200_000  # minimum time between two corrections of a member that is out of date
JOIN_REPLY_MEMBERS = 8  # members listed in a reply to a join; push-pull rounds transfer the others
SENDERS_PER_MEMBER = 4  # replay windows kept per member: each restart has its own instance id
UPTIME_BYTES = 8
UNKNOWN_MEMBERS = "strangers"  # counter name shown by the shell


class UserMessage(NamedTuple):
    """A query or a chunk of its reply, from another member."""

    sender: str
    kind: MessageKind
    content: bytes


class MessageHandler:
    """Processes the messages of other members, and answers them.

    ``superseded`` is set once another process has taken over this name. ``uptime_lag_us``: by how much the uptime of
    the longest running member known exceeds that of this process.
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
        """Returns the new map entries of other writers since the last call."""
        entries = self._received_entries
        self._received_entries = []
        return entries

    def take_user_messages(self) -> list[UserMessage]:
        """Returns the queries and replies received from other members since the last call."""
        messages = self._user_messages
        self._user_messages = []
        return messages

    def handle(self, message: Message, now_us: int) -> None:
        """Process an authentic message. Raises ``ReplayedDatagramError`` if it is repeated or for another process."""
        self._now_us = now_us
        sender = message.sender
        if sender.name == self._name:
            self._handle_same_name(message)
            return
        is_for_anyone = message.kind is MessageKind.JOIN and not message.recipient_instance_id
        if message.recipient_instance_id != self._local.record.instance_id and not is_for_anyone:
            # It was meant for a former process. Unless it is a replay, its sender has to learn of this one.
            self._send_correction(sender)
            raise ReplayedDatagramError(f"sent by {sender.name} to another process")
        self._replay_windows.accept(sender.name, sender.instance_id, message.counter)
        state_before = self._table.state_of(sender.name)
        if state_before is None and not self._probes.admit(message, self._now_us):
            self._handle_unknown_sender(message)
            return
        member = self._table.members[sender.name]
        if not self._table.update_from_sender(sender, self._now_us):
            self._send_correction(sender)
            if sender.instance_id != member.record.instance_id:
                # The sender has ended meanwhile, or has to take a newer incarnation before it counts as this member.
                self._handle_unknown_sender(message)
                return
        if message.kind is not MessageKind.JOIN:
            self._merge(message)
        self._handle_member_message(message, member, state_before)

    def _handle_same_name(self, message: Message) -> None:
        """Process a message of a process that uses this member's name."""
        sender = message.sender
        if sender.instance_id != self._local.record.instance_id:
            self._handle_local_record(sender)
            # Only a join is answered: otherwise the two processes would answer each other's replies forever.
            if message.kind is MessageKind.JOIN:
                reply = OutgoingMessage(MessageKind.JOIN_REPLY)
                self._sender.send(sender.address, sender.instance_id, reply, self._now_us)

    def _merge(self, message: Message) -> None:
        """Merge the records and entries of a message."""
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
        """Merge an entry of a known writer. A newer one of this member itself is overwritten."""
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
        """Refute a report on this member, or record that another process of its name has taken over."""
        if self._local.refute(record, self._now_us):
            if record.status in (RecordStatus.SUSPECT, RecordStatus.DEAD):
                self._table.raise_health_multiplier()  # others got no answer, so this member may be unhealthy
            self._state.update_record(self._local.record)
            self._sender.gossip(RecordKey(self._name), self._now_us)
        elif self._local.superseded and self.superseded is None:
            self.superseded = DuplicateNameError(
                f"a process at {record.address} also uses the name {self._name}"
            )

    def _handle_unknown_sender(self, message: Message) -> None:
        """Answer a sender that is not a known member.

        Of its records only those about this member are processed: they can cause nothing but a refutation.
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

    def _handle_member_message(
        self, message: Message, member: Member, state_before: MemberState | None
    ) -> None:
        """Process and answer a member's message; ``state_before``: its state before the message arrived."""
        match message.kind:
            case MessageKind.JOIN:
                self._reply_to_join(member)
            case MessageKind.JOIN_REPLY:
                self._join_reply_received(message, member, state_before)
            case MessageKind.PING if message.target == self._name:
                self._probes.ping_received(member, message.sequence, self._now_us)
            case MessageKind.PING:
                self._send_correction(message.sender)  # the address belonged to the target before
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
                pass  # the sender's own record carries the status, and was applied already
            case MessageKind.QUERY | MessageKind.QUERY_REPLY:
                self._user_messages.append(UserMessage(member.record.name, message.kind, message.payload))

    def _reply_to_join(self, member: Member) -> None:
        names = self._table.sample(JOIN_REPLY_MEMBERS)
        keys = [RecordKey(name) for name in names if name != member.record.name]
        self._send(member, OutgoingMessage(MessageKind.JOIN_REPLY, keys=keys, payload=self._encode_uptime()))

    def _join_reply_received(
        self, message: Message, member: Member, state_before: MemberState | None
    ) -> None:
        uptime_us = int.from_bytes(message.payload[:UPTIME_BYTES], "big") * 1000
        self.uptime_lag_us = max(self.uptime_lag_us, uptime_us - (self._now_us - self._start_us))
        if state_before not in LIVE_STATES:
            self._push_pull.send_digest(member, self._now_us)

    def _send_correction(self, sender: MemberRecord) -> None:
        """Send an outdated sender the record that is gossiped about it, along with this member's own."""
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
        """Encode the uptime of this process in milliseconds."""
        return ((self._now_us - self._start_us) // 1000).to_bytes(UPTIME_BYTES, "big")

    def _send(self, member: Member, message: OutgoingMessage) -> None:
        self._sender.send_to_member(member, message, self._now_us)
