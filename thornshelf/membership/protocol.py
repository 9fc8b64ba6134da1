"""One member's view of its fleet: datagrams and time in, datagrams and changes out. No I/O.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard's refinements (Dadgar, Phillips, Currey 2018), in ``prober`` and
``member_table``; news rides on probes and answers; what was missed is found by comparing hashes of buckets.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Hashable, Sequence
from dataclasses import dataclass

import msgspec

from thornshelf.errors import DuplicateNameError, RejectedDatagramError, ReplayedDatagramError
from thornshelf.membership.anti_entropy import BucketIndex, pack_hashes
from thornshelf.membership.config import MAX_DATAGRAM_BYTES, MembershipConfig
from thornshelf.membership.datagrams import (
    HEADER_BYTES,
    MapEntry,
    Message,
    MessageKind,
    ReplayWindows,
    Sealer,
)
from thornshelf.membership.dissemination import DisseminationBuffer
from thornshelf.membership.join_candidates import JoinCandidates
from thornshelf.membership.member_table import LocalMember, MemberChange, MemberTable
from thornshelf.membership.prober import IndirectPing, IndirectPingResult, Ping, ProbeAction, Prober
from thornshelf.membership.replicated_map import ReplicatedMap
from thornshelf.membership.states import LIVE_STATES, Member, MemberRecord, MemberState, RecordStatus

GOSSIP_FANOUT = 3  # members are told at once of what can't wait for a probe to ride on
GOSSIP_BATCH_US = 50_000  # they are told of so much at a time, together
MAX_GOSSIP_DATAGRAMS = 4  # datagrams that answer one question for news
CORRECTION_INTERVAL_US = 200_000  # a member that is behind is told so no more often
PUSH_PULL_FOLLOW_UP_US = 250_000  # after a comparison that brought much, the next one follows so soon
PUSH_PULL_FOLLOW_UP_ROWS = 8
JOIN_REPLY_MEMBERS = 8  # known members a newcomer is told of at once; comparing brings the others


class EncodedMessage(msgspec.Struct, array_like=True):
    """``Message`` with its parts encoded already."""

    kind: int
    sender: msgspec.Raw
    recipient_instance_id: int
    counter: int
    sequence: int
    target: str
    records: list[msgspec.Raw]
    entries: list[msgspec.Raw]
    payload: bytes


@dataclass(slots=True)
class PendingWrite:
    """An entry of one's own that waits for its next version."""

    value: bytes
    due_us: int
    urgent: bool


class MembershipProtocol:
    """A member's view.

    ``out`` collects (address, datagram), ``changes`` and ``came`` (entries of others) what has happened; the caller
    takes and clears them after each call. ``life`` is a random number of this process.
    """

    def __init__(
        self, terms: MembershipConfig, life: int, now_us: int, chance: random.Random, incarnation: int = 1
    ) -> None:
        self.config, self.now_us, self._chance = terms, now_us, chance
        self.local = LocalMember(terms, life, incarnation, now_us)
        self.table = MemberTable(terms, chance, lambda name: self._news(("m", name)))
        self.replicated_map = ReplicatedMap(terms.name)
        self.outgoing: list[tuple[str, bytes]] = []
        self.received_entries: list[MapEntry] = []
        self.rejected_datagrams: list[RejectedDatagramError] = []
        self.user_messages: list[
            tuple[str, MessageKind, bytes]
        ] = []  # questions and answers of other members
        self.superseded: DuplicateNameError | None = None
        self.counters: Counter[str] = self.table.counters
        self.uptime_lag_us = 0  # by so much the member that was here first has run longer than this one
        self._start_us = now_us
        self._sealer, self._windows = Sealer(terms.fleet, terms.key), ReplayWindows(4 * terms.max_members)
        self._prober = Prober(terms, self.table, chance, now_us)
        self._dissemination_buffer, self._bucket_index = DisseminationBuffer(), BucketIndex()
        self._candidates = JoinCandidates(chance)
        self._pending_writes: dict[tuple[str, int], PendingWrite] = {}
        self._written: dict[tuple[str, int], int] = {}
        self._datagram_counter = 0
        self._last_us = now_us
        self._recall_us = now_us
        self._sync_us = now_us + chance.randrange(terms.push_pull_interval_us)
        self._start = chance.randrange(64)  # where comparing goes into the buckets
        self._learned = 0  # by comparing, since the last question
        self._own_row: tuple[MemberRecord, bytes] | None = None
        self._changes: list[MemberChange] = []
        self._urgent: dict[Hashable, None] = {}  # what can't wait for a probe to ride on
        self._urgent_us = now_us
        self._fade_us = now_us
        self._put_self()

    # what the caller does

    @property
    def name(self) -> str:
        """This member's name."""
        return self.config.name

    def live_names(self) -> list[str]:
        """All that are there, this one among them, in the order of their names."""
        return sorted([*self.table.live_names, self.name])

    @property
    def live_count(self) -> int:
        """How many are there, this one among them."""
        return len(self.table.live_names) + 1

    def states(self) -> dict[str, MemberState]:
        """What each known member is, this one among them."""
        return {self.name: MemberState.ALIVE} | {
            name: member.state for name, member in self.table.members.items()
        }

    def take_changes(self) -> list[MemberChange]:
        """What has changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def publish(self, kind: str, part: int, value: bytes, pause_us: int | None = None) -> None:
        """Say something to all: written as often as the traffic allows, the last value holds.

        ``pause_us``: it can't wait for that, and is written and told at once, but no more often than so.
        """
        held = self.replicated_map.get(self.name, kind, part)
        draft = self._pending_writes.get((kind, part))
        if draft is None and (held.entry.value if held is not None else b"") == value:
            return
        urgent = pause_us is not None
        pause = (
            self.config.write_interval_us(self.live_count, len(value) + 40) if pause_us is None else pause_us
        )
        due = max(self.now_us, self._written.get((kind, part), -pause) + pause)
        self._pending_writes[kind, part] = PendingWrite(value, due, urgent)

    def tick(self, now_us: int) -> int:
        """Do what is due; says when the next thing is."""
        gap = now_us - self._last_us
        self.now_us = self._last_us = now_us
        if self.superseded is not None:
            return now_us + 1_000_000
        if gap > self.config.stall_threshold_us + self._due_in(now_us - gap):
            late = gap - self._due_in(now_us - gap)
            self.table.extend_deadlines(late)
            self._prober.compensate_stall(late)
            self._sync_us = now_us
        self.table.tick(now_us)
        self._carry_out(self._prober.tick(now_us))
        self._try_candidates()
        if self._urgent and now_us >= self._urgent_us:
            keys, self._urgent, self._urgent_us = list(self._urgent), {}, now_us + GOSSIP_BATCH_US
            for name in self.table.sample(GOSSIP_FANOUT):
                self._send_news(self.table.members[name], keys)
        self._write_drafts()
        if now_us >= self._recall_us:
            self._recall_us = now_us + self.config.reconnect_interval_us
            self._reconnect()
        if now_us >= self._sync_us:
            self._sync_us = (
                now_us
                + self.config.push_pull_interval_us * 3 // 4
                + self._chance.randrange(self.config.push_pull_interval_us // 2)
            )
            self._learned = 0
            for name in self.table.sample(1):
                self._ask_what_differs(self.table.members[name])
        if now_us >= self._fade_us:
            self._fade_us = now_us + 1_000_000
            self._fade()
        self._follow_changes()
        return self._due_us()

    def receive(self, data: bytes, now_us: int) -> None:
        """A datagram."""
        self.now_us = max(self.now_us, now_us)
        if self.superseded is not None:
            return
        try:
            message = self._sealer.open(data)
            self._take(message)
        except RejectedDatagramError as fault:
            self.counters[fault.reason] += 1
            self.rejected_datagrams.append(fault)
        self._follow_changes()

    def leave(self) -> None:
        """End in order: those that hear it need not find out."""
        self.local.leave()
        self._put_self()
        for name in self.table.sample(2 * GOSSIP_FANOUT):
            self._send(self.table.members[name], MessageKind.LEAVE)

    # time

    def next_due_us(self) -> int:
        """When ``pass_time`` has something to do next."""
        return self._due_us() if self.superseded is None else self.now_us + 1_000_000

    def _due_us(self) -> int:
        due = min(self._prober.next_due_us(), self._recall_us, self._sync_us)
        if (next_due := self.table.next_deadline_us()) is not None:
            due = min(due, next_due)
        if (next_due := self._candidates.next_due_us()) is not None:
            due = min(due, next_due)
        if self._urgent:
            due = min(due, self._urgent_us)
        for draft in self._pending_writes.values():
            due = min(due, draft.due_us)
        return due

    def _due_in(self, now_us: int) -> int:
        return max(0, self._due_us() - now_us)

    def _reconnect(self) -> None:
        """Call one that was there once, or a seed that is not: so a partition of any length heals."""
        live = self.table.live_addresses()
        seeds = [one for one in self.config.seeds if one not in live and one != self.config.address]
        gone = [one.record.address for one in self.table.departed() if one.state is MemberState.DEAD]
        others = [address for address in [*gone, *self.table.address_book] if address not in live]
        if not self.table.live_names:
            called = seeds[:8] + ([self._chance.choice(others)] if others else [])
        else:
            both = [seeds, others] if seeds and others else [seeds or others]
            group = self._chance.choice(both)
            called = [self._chance.choice(group)] if group else []
        for address in called:
            self._send_to(address, 0, MessageKind.JOIN)

    def _write_drafts(self) -> None:
        for (kind, part), draft in list(self._pending_writes.items()):
            if draft.due_us <= self.now_us:
                del self._pending_writes[kind, part]
                self._written[kind, part] = self.now_us
                self._write(kind, part, draft.value, draft.urgent)

    def _write(self, kind: str, part: int, value: bytes, urgent: bool = False) -> None:
        item = self.replicated_map.write(kind, part, value, self.local.record.incarnation, self.now_us)
        key = ("i", self.name, kind, part)
        self._known(key, item.stamp)
        self._dissemination_buffer.add(key)
        if urgent:
            self._tell_some([key])

    # datagrams in

    def _take(self, message: Message) -> None:
        sender = message.sender
        if sender.name == self.name:
            if sender.instance_id != self.local.record.instance_id:
                self._about_me(sender)
                if (
                    message.kind is MessageKind.JOIN
                ):  # never an answer to an answer: the two would go on for ever
                    self._send_to(sender.address, sender.instance_id, MessageKind.JOIN_REPLY)
            return
        if message.recipient_instance_id != self.local.record.instance_id and (
            message.recipient_instance_id or message.kind is not MessageKind.JOIN
        ):
            # Meant for a process that has ended; where it is no replay, its sender has to hear of this one.
            self._set_right(sender)
            raise ReplayedDatagramError(f"meant for another process: of {sender.name}")
        self._windows.accept(sender.name, sender.instance_id, message.counter)
        known = self.table.state_of(sender.name)
        if known is None and not self._admit(message):
            self._answer_stranger(message)
            return
        member = self.table.members[sender.name]
        if not self.table.update_from_sender(sender, self.now_us):
            self._set_right(sender)
            if sender.instance_id != member.record.instance_id:
                # A process that has to take a newer incarnation first, or one that has ended.
                self._answer_stranger(message)
                return
        if message.kind is not MessageKind.JOIN:
            before = len(self._dissemination_buffer) + len(self._candidates)
            for row in message.records:
                if row.name == self.name:
                    self._about_me(row)
                elif row.name in self.table.members:
                    self.table.update_from_gossip(row, self.now_us)
                elif row.status < RecordStatus.DEAD and not self._candidates.add(
                    row, sender.name, self.now_us
                ):
                    self.counters["strangers"] += 1
            for item in message.entries:
                self._merge(item)
            self._learned += max(0, len(self._dissemination_buffer) + len(self._candidates) - before)
        self._answer(message, member, known)

    def _admit(self, message: Message) -> bool:
        """One that is not known: whether this is its answer to a ping, which makes it a member."""
        sender = message.sender
        if (
            message.kind is MessageKind.ACK
            and (claim := self._candidates.ack_received(message.sequence)) is not None
        ):
            return (
                claim.name == sender.name
                and sender.status == RecordStatus.ALIVE
                and self.table.add(sender, self.now_us)
            )
        if sender.status == RecordStatus.ALIVE:
            self._candidates.add(sender, sender.name, self.now_us)
        return False

    def _answer_stranger(self, message: Message) -> None:
        """What one that is not known may ask, and say: of this very member, which only ever makes it refute."""
        sender, extra, rows = message.sender, b"", list[Hashable]()
        for row in message.records if message.recipient_instance_id else []:
            if row.name == self.name:
                self._about_me(row)
        match message.kind:
            case MessageKind.JOIN:
                rows, extra, kind = (
                    [("m", name) for name in self.table.sample(JOIN_REPLY_MEMBERS)],
                    self._up(),
                    MessageKind.JOIN_REPLY,
                )
            case MessageKind.PING if message.target == self.name:
                kind = MessageKind.ACK
            case MessageKind.PUSH_PULL_DIGEST:
                for page in self._bucket_index.summaries(
                    self._bucket_index.differing_buckets(message.payload, self._start), 1_000
                ):
                    self._send_to(
                        sender.address, sender.instance_id, MessageKind.PUSH_PULL_SUMMARY, extra=page
                    )
                return
            case _:
                return
        self._send_to(sender.address, sender.instance_id, kind, message.sequence, rows=rows, extra=extra)

    def _try_candidates(self) -> None:
        for one in self._candidates.due_pings(self.now_us):
            if one.indirect:
                for name in self.table.sample(self.config.indirect_probes):
                    self._send(
                        self.table.members[name],
                        MessageKind.INDIRECT_PING,
                        one.sequence,
                        target=one.record.name,
                    )
            else:
                self._send_to(
                    one.record.address,
                    one.record.instance_id,
                    MessageKind.PING,
                    one.sequence,
                    target=one.record.name,
                )

    def _answer(self, message: Message, member: Member, known: MemberState | None) -> None:
        match message.kind:
            case MessageKind.JOIN:
                names = [name for name in self.table.sample(JOIN_REPLY_MEMBERS) if name != member.record.name]
                self._send(
                    member, MessageKind.JOIN_REPLY, rows=[("m", name) for name in names], extra=self._up()
                )
            case MessageKind.JOIN_REPLY:
                theirs = int.from_bytes(message.payload[:8], "big") * 1000
                self.uptime_lag_us = max(self.uptime_lag_us, theirs - (self.now_us - self._start_us))
                if known not in LIVE_STATES:
                    self._ask_what_differs(member)
            case MessageKind.PING:
                if message.target == self.name:
                    self._send(member, MessageKind.ACK, message.sequence)
                else:
                    self._set_right(message.sender)  # another had this address before
            case MessageKind.ACK:
                claim = self._candidates.ack_received(message.sequence)  # by one that was asked to try
                if claim is not None and claim.name not in self.table.members:
                    self.table.add(claim, self.now_us)
                name = message.target or member.record.name
                self._carry_out(self._prober.ack_received(name, message.sequence))
            case MessageKind.NACK:
                self._prober.nack_received(message.sequence)
            case MessageKind.INDIRECT_PING:
                asker, target = member.record.name, message.target
                self._carry_out(self._prober.probe_for(asker, target, message.sequence, self.now_us))
            case MessageKind.PUSH_PULL_DIGEST:
                buckets = self._bucket_index.differing_buckets(message.payload, self._start)
                self._start = (self._start + 7) % 64
                for page in self._bucket_index.summaries(buckets, 1_000):
                    self._send(member, MessageKind.PUSH_PULL_SUMMARY, extra=page)
            case MessageKind.PUSH_PULL_SUMMARY:
                keys, wanted = self._bucket_index.compare_summary(message.payload)
                self._send_news(member, keys)
                if wanted:
                    self._send(member, MessageKind.PUSH_PULL_REQUEST, extra=pack_hashes(wanted[:120]))
            case MessageKind.PUSH_PULL_REQUEST:
                self._send_news(member, self._bucket_index.keys_of_hashes(message.payload))
            case MessageKind.GOSSIP:
                if self._learned >= PUSH_PULL_FOLLOW_UP_ROWS:  # there is more where this came from
                    self._learned = 0
                    self._sync_us = min(self._sync_us, self.now_us + PUSH_PULL_FOLLOW_UP_US)
            case MessageKind.LEAVE:
                pass  # its own row has said so
            case MessageKind.QUERY | MessageKind.QUERY_REPLY:
                self.user_messages.append((member.record.name, message.kind, message.payload))

    def _about_me(self, row: MemberRecord) -> None:
        if self.local.refute(row, self.now_us):
            if row.status in (RecordStatus.SUSPECT, RecordStatus.DEAD):
                self.table.raise_health_multiplier()  # there may be something in it
            self._put_self()
            self._tell_some([("m", self.name)])
        elif self.local.superseded and self.superseded is None:
            self.superseded = DuplicateNameError(f"a process at {row.address} goes by the name {self.name}")

    def _merge(self, item: MapEntry) -> None:
        if item.writer != self.name and item.writer not in self.table.members:
            return
        if not self.replicated_map.merge(item, self.now_us):
            return
        key = ("i", item.writer, item.kind, item.part)
        if item.writer == self.name:
            held = self.replicated_map.get(self.name, item.kind, item.part)
            self._write(item.kind, item.part, held.entry.value if held is not None else b"")
            return
        self._known(key, item.stamp)
        self._dissemination_buffer.add(key)
        self.received_entries.append(item)

    def _set_right(self, sender: MemberRecord) -> None:
        """Tell a member that is behind what is claimed of it, and who is here."""
        member = self.table.members.get(sender.name)
        if member is not None:
            if self.now_us - member.last_corrected_us < CORRECTION_INTERVAL_US:
                return
            member.last_corrected_us = self.now_us
        self._send_to(
            sender.address,
            sender.instance_id,
            MessageKind.JOIN_REPLY,
            rows=[("m", sender.name)],
            extra=self._up(),
        )

    def _up(self) -> bytes:
        """How long this process has run, in milliseconds."""
        return ((self.now_us - self._start_us) // 1000).to_bytes(8, "big")

    # datagrams out

    def send_user_message(self, name: str, kind: MessageKind, content: bytes) -> None:
        """A question or a piece of an answer; to one that is not known any more it is lost."""
        if (member := self.table.members.get(name)) is not None:
            self._send(member, kind, extra=content)

    def _carry_out(self, orders: Sequence[ProbeAction]) -> None:
        members = self.table.members
        for order in orders:
            match order:
                case Ping(name, seq) if name in members:
                    # What is said of it goes with the ping, so that it can refute that at once.
                    self._send(members[name], MessageKind.PING, seq, target=name)
                case IndirectPing(relay, name, seq) if relay in members:
                    self._send(members[relay], MessageKind.INDIRECT_PING, seq, target=name)
                case IndirectPingResult(asker, seq, answered) if asker in members:
                    self._send(members[asker], MessageKind.ACK if answered else MessageKind.NACK, seq)

    def _ask_what_differs(self, member: Member) -> None:
        self._send(member, MessageKind.PUSH_PULL_DIGEST, extra=self._bucket_index.digest())

    def _tell_some(self, keys: list[Hashable]) -> None:
        for name in self.table.sample(GOSSIP_FANOUT):
            self._send(self.table.members[name], MessageKind.GOSSIP, rows=keys)

    def _send_news(self, member: Member, keys: Sequence[Hashable]) -> None:
        left = list(keys)
        for _ in range(MAX_GOSSIP_DATAGRAMS):
            if not left:
                return
            left = self._send(member, MessageKind.GOSSIP, rows=left)

    def _send(
        self,
        member: Member,
        kind: MessageKind,
        seq: int = 0,
        target: str = "",
        rows: Sequence[Hashable] = (),
        extra: bytes = b"",
    ) -> list[Hashable]:
        """To a known member; where something else than 'alive' is claimed of it, that goes first."""
        doubtful = member.record.status != RecordStatus.ALIVE or member.state is not MemberState.ALIVE
        first = ("m", member.record.name) if doubtful else None
        return self._send_to(
            member.record.address, member.record.instance_id, kind, seq, target, rows, extra, first
        )

    def _send_to(
        self,
        address: str,
        life: int,
        kind: MessageKind,
        seq: int = 0,
        target: str = "",
        rows: Sequence[Hashable] = (),
        extra: bytes = b"",
        first: Hashable = None,
    ) -> list[Hashable]:
        """Rows that are to go come first, then rumours while there is room; gives the rows that found none."""
        own = self._encode_self()
        room = MAX_DATAGRAM_BYTES - HEADER_BYTES - len(own) - len(target) - len(extra) - 48
        chosen: list[tuple[Hashable, bytes]] = []
        left = list(rows)
        while left and (data := self._encoded(left[0])) is not None and len(data) <= room:
            room -= len(data)
            chosen.append((left.pop(0), data))
        while left and self._encoded(left[0]) is None:
            left.pop(0)
        if kind is not MessageKind.JOIN:
            told = {key for key, _ in chosen}
            most = self.config.retransmit_limit(self.live_count)
            for key, data in self._dissemination_buffer.select(room, most, self._encoded, first):
                if key not in told:
                    chosen.append((key, data))
        self._datagram_counter += 1
        sent = EncodedMessage(
            kind=int(kind),
            sender=msgspec.Raw(own),
            recipient_instance_id=life,
            counter=self._datagram_counter,
            sequence=seq,
            target=target,
            records=[msgspec.Raw(data) for key, data in chosen if key[0] == "m"],  # type: ignore[index]
            entries=[msgspec.Raw(data) for key, data in chosen if key[0] == "i"],  # type: ignore[index]
            payload=extra,
        )
        self.outgoing.append((address, self._sealer.seal(self._sealer.encode(sent))))
        return left

    def _encoded(self, key: Hashable) -> bytes | None:
        assert isinstance(key, tuple)
        if key[0] == "m":
            if key[1] == self.name:
                return self._encode_self()
            member = self.table.members.get(key[1])
            return None if member is None else self._sealer.encode(member.record)
        entry = self.replicated_map.get(key[1], key[2], key[3])
        if entry is None:
            return None
        age_ms = max(0, (self.now_us - entry.written_us) // 1000)
        return self._sealer.encode(msgspec.structs.replace(entry.entry, age_ms=age_ms))

    def _encode_self(self) -> bytes:
        if self._own_row is None or self._own_row[0] is not self.local.record:
            self._own_row = self.local.record, self._sealer.encode(self.local.record)
        return self._own_row[1]

    # what is known

    def _put_self(self) -> None:
        self._news(("m", self.name))

    def _news(self, key: tuple[str, str]) -> None:
        """What is claimed of a member has changed: others may not know."""
        self._dissemination_buffer.add(key)
        claim = self.local.record if key[1] == self.name else self.table.members[key[1]].record
        self._known(key, claim.precedence)

    def _known(self, key: Hashable, stamp: Hashable) -> None:
        self._bucket_index.record(key, stamp)

    def _follow_changes(self) -> None:
        """Members that came take a place in the order, those that are forgotten leave nothing behind."""
        changes, self.table.changes = self.table.changes, []
        self._changes += changes
        for change in changes:
            if change.before is None:
                self._prober.add_member(change.name)
                if len(self.table.live_names) <= GOSSIP_FANOUT:
                    self._ask_what_differs(
                        self.table.members[change.name]
                    )  # one of the first: it knows the others
            elif change.after is MemberState.ALIVE:
                # A refutation has to come to all before their time for it is over: each passes it on soon.
                self._urgent[("m", change.name)] = None
            elif (
                change.after is MemberState.SUSPECT
                and self._chance.randrange(self.live_count) < GOSSIP_FANOUT
            ):
                self._prober.probe_soon(change.name)  # independent confirmations shorten its time
            elif (
                change.after is MemberState.UNCONFIRMED_DEAD
                and self._chance.randrange(self.live_count) < GOSSIP_FANOUT
            ):
                self._send(
                    self.table.members[change.name], MessageKind.PING, target=change.name
                )  # it may not know yet
            if change.after is None:
                self._bucket_index.discard(("m", change.name))
                for writer, kind, part in self.replicated_map.remove_writer(change.name):
                    self._bucket_index.discard(("i", writer, kind, part))

    def _fade(self) -> None:
        """Members forget the dead at different times: what is about to be forgotten is not compared any more."""
        for member in self.table.departed():
            if self.table.is_expiring(member, self.now_us):
                name = member.record.name
                self._bucket_index.discard(("m", name))
                for writer, kind, part in self.replicated_map.ids_of(name):
                    self._bucket_index.discard(("i", writer, kind, part))
