"""The membership protocol of one member. Sans-I/O: the caller passes in datagrams and the time, and sends the output.

Implements SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018). ``prober`` is the failure
detector, ``member_table`` keeps states and suspicions, ``datagram_sender`` piggybacks rumors on outgoing datagrams,
``push_pull`` repairs what gossip has missed, and ``message_handler`` processes each kind of message.
"""

from __future__ import annotations

import random
from collections import Counter

from thornshelf.errors import DuplicateNameError, RejectedDatagramError
from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.datagram_sender import (
    GOSSIP_FANOUT,
    DatagramSender,
    OutgoingDatagram,
    OutgoingMessage,
)
from thornshelf.membership.datagrams import MapEntry, MessageKind
from thornshelf.membership.entry_publisher import EntryPublisher
from thornshelf.membership.fleet_state import FleetState
from thornshelf.membership.keys import RecordKey
from thornshelf.membership.member_table import MemberChange
from thornshelf.membership.message_handler import MessageHandler, UserMessage
from thornshelf.membership.probe_messages import ProbeMessages
from thornshelf.membership.push_pull import PushPull
from thornshelf.membership.reconnect import reconnect_addresses
from thornshelf.membership.states import MemberState

GOSSIP_BATCH_US = 50_000  # refutations that arrive within this time are gossiped together
LEAVE_FANOUT = 2 * GOSSIP_FANOUT
EXPIRY_INTERVAL_US = 1_000_000
SUPERSEDED_TICK_INTERVAL_US = 1_000_000


class MembershipProtocol:
    """One member of the fleet.

    After each call the caller collects the accumulated output: ``take_outgoing`` returns the datagrams to send,
    ``take_changes`` the state changes of members, ``take_received_entries`` the map entries of other writers, and
    ``take_user_messages`` the queries and their replies. ``rejected_datagrams`` collects errors for the caller's log.

    ``instance_id`` is a random number that identifies this process. Times are microseconds of a monotonic clock.
    """

    def __init__(
        self,
        config: MembershipConfig,
        instance_id: int,
        now_us: int,
        random_source: random.Random,
        incarnation: int = 1,
    ) -> None:
        self.config = config
        self.now_us = now_us
        self.state = FleetState(config, instance_id, incarnation, random_source, now_us)
        self.local = self.state.local
        self.table = self.state.table
        self.replicated_map = self.state.replicated_map
        self.counters: Counter[str] = self.table.counters
        self.rejected_datagrams: list[RejectedDatagramError] = []
        self.sender = DatagramSender(config, self.state)
        self.publisher = EntryPublisher(config, self.state, self.sender)
        self._random = random_source
        self._probes = ProbeMessages(config, self.table, self.sender, random_source, now_us)
        self._push_pull = PushPull(config, self.table, self.sender, self.state.index, random_source, now_us)
        self._handler = MessageHandler(
            config, self.state, self.sender, self._probes, self._push_pull, self.publisher, now_us
        )
        self._changes: list[MemberChange] = []
        self._urgent_keys: dict[RecordKey, None] = {}  # refuted records, gossiped with the next batch
        self._last_tick_us = now_us
        self._next_gossip_us = now_us
        self._next_reconnect_us = now_us
        self._next_expiry_us = now_us

    # API of the caller

    @property
    def name(self) -> str:
        """This member's name."""
        return self.config.name

    @property
    def superseded(self) -> DuplicateNameError | None:
        """Set once another process has taken over this name; from then on nothing is sent."""
        return self._handler.superseded

    @property
    def uptime_lag_us(self) -> int:
        """By how much the uptime of the longest running member known exceeds that of this process."""
        return self._handler.uptime_lag_us

    @property
    def live_count(self) -> int:
        """The number of live members, including this one."""
        return self.state.live_count

    def live_names(self) -> list[str]:
        """Returns the sorted names of all live members, including this one."""
        return sorted([*self.table.live_names, self.name])

    def states(self) -> dict[str, MemberState]:
        """Returns the state of each known member, including this one."""
        return {self.name: MemberState.ALIVE} | {
            name: member.state for name, member in self.table.members.items()
        }

    def take_outgoing(self) -> list[OutgoingDatagram]:
        """Returns the datagrams built since the last call."""
        return self.sender.take_outgoing()

    def take_changes(self) -> list[MemberChange]:
        """Returns the state changes of members since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def take_received_entries(self) -> list[MapEntry]:
        """Returns the new map entries of other writers since the last call."""
        return self._handler.take_received_entries()

    def take_user_messages(self) -> list[UserMessage]:
        """Returns the queries and replies received from other members since the last call."""
        return self._handler.take_user_messages()

    def publish(self, kind: str, part: int, value: bytes, min_interval_us: int | None = None) -> None:
        """Publish an entry to all members; a later value replaces one that was not written yet.

        Writes are paced by the traffic budget. With ``min_interval_us`` the entry is urgent: it is written and
        gossiped immediately, at most once per that interval.
        """
        self.publisher.publish(kind, part, value, min_interval_us, self.now_us)

    def send_user_message(self, name: str, kind: MessageKind, content: bytes) -> None:
        """Send a query or a chunk of a reply; it is dropped if the member is no longer known."""
        if (member := self.table.members.get(name)) is not None:
            self.sender.send_to_member(member, OutgoingMessage(kind, payload=content), self.now_us)

    def tick(self, now_us: int) -> int:
        """Run all due timers; returns the time at which the next one is due."""
        last_tick_us = self._last_tick_us
        self._last_tick_us = now_us
        self.now_us = now_us
        if self.superseded is not None:
            return now_us + SUPERSEDED_TICK_INTERVAL_US
        self._compensate_stall(last_tick_us)
        self.table.tick(now_us)
        self._probes.tick(now_us)
        self._gossip_urgent()
        self.publisher.tick(now_us)
        if now_us >= self._next_reconnect_us:
            self._next_reconnect_us = now_us + self.config.reconnect_interval_us
            self._reconnect()
        self._push_pull.tick(now_us)
        if now_us >= self._next_expiry_us:
            self._next_expiry_us = now_us + EXPIRY_INTERVAL_US
            self.state.discard_departed(now_us)
        self._apply_changes()
        return self._earliest_due_us()

    def receive(self, data: bytes, now_us: int) -> None:
        """Process a datagram; an invalid one is counted by reason and added to ``rejected_datagrams``."""
        self.now_us = max(self.now_us, now_us)
        if self.superseded is not None:
            return
        try:
            self._handler.handle(self.sender.sealer.open(data), self.now_us)
        except RejectedDatagramError as fault:
            self.counters[fault.reason] += 1
            self.rejected_datagrams.append(fault)
        self._apply_changes()

    def leave(self) -> None:
        """Announce a graceful shutdown to some members, which gossip it, so that no failure has to be detected."""
        self.local.leave()
        self.state.update_record(self.local.record)
        message = OutgoingMessage(MessageKind.LEAVE)
        for name in self.table.sample(LEAVE_FANOUT):
            self.sender.send_to_member(self.table.members[name], message, self.now_us)

    def next_due_us(self) -> int:
        """Returns when ``tick`` is due next."""
        return (
            self._earliest_due_us() if self.superseded is None else self.now_us + SUPERSEDED_TICK_INTERVAL_US
        )

    # timers

    def _earliest_due_us(self) -> int:
        due_us = min(self._probes.next_due_us(), self._next_reconnect_us, self._push_pull.next_round_us)
        if self._urgent_keys:
            due_us = min(due_us, self._next_gossip_us)
        for other_us in (self.table.next_deadline_us(), self.publisher.next_due_us()):
            if other_us is not None:
                due_us = min(due_us, other_us)
        return due_us

    def _compensate_stall(self, last_tick_us: int) -> None:
        """Extend all deadlines by the time for which this process was stalled, so that it suspects nobody for it."""
        elapsed_us = self.now_us - last_tick_us
        expected_us = max(0, self._earliest_due_us() - last_tick_us)
        if elapsed_us > self.config.stall_threshold_us + expected_us:
            stall_us = elapsed_us - expected_us
            self.table.extend_deadlines(stall_us)
            self._probes.prober.compensate_stall(stall_us)
            self._push_pull.next_round_us = self.now_us

    def _gossip_urgent(self) -> None:
        if self._urgent_keys and self.now_us >= self._next_gossip_us:
            keys = list(self._urgent_keys)
            self._urgent_keys = {}
            self._next_gossip_us = self.now_us + GOSSIP_BATCH_US
            for name in self.table.sample(GOSSIP_FANOUT):
                self.sender.send_keys(self.table.members[name], keys, self.now_us)

    def _reconnect(self) -> None:
        message = OutgoingMessage(MessageKind.JOIN)
        for address in reconnect_addresses(self.config, self.table, self._random):
            self.sender.send(address, 0, message, self.now_us)

    # state changes

    def _apply_changes(self) -> None:
        """React to state changes of members."""
        changes = self.table.changes
        self.table.changes = []
        self._changes += changes
        for change in changes:
            if change.before is None:
                self._member_added(change.name)
            elif change.after is MemberState.ALIVE:
                # A refutation has to reach all members before their deadlines, so it is gossiped with priority.
                self._urgent_keys[RecordKey(change.name)] = None
            elif change.after is MemberState.SUSPECT and self._is_randomly_selected():
                # Independent confirmations shorten the suspicion timeout.
                self._probes.prober.probe_soon(change.name)
            elif change.after is MemberState.UNCONFIRMED_DEAD and self._is_randomly_selected():
                # The ping carries the report, which the member may not have received yet.
                self._probes.ping(self.table.members[change.name], self.now_us)
            if change.after is None:
                self.state.discard_evicted(change.name)

    def _member_added(self, name: str) -> None:
        self._probes.prober.add_member(name)
        if len(self.table.live_names) <= GOSSIP_FANOUT:
            # The new member may know others that this one does not.
            self._push_pull.send_digest(self.table.members[name], self.now_us)

    def _is_randomly_selected(self) -> bool:
        """Returns a random decision that on average ``GOSSIP_FANOUT`` members of the fleet answer with True."""
        return self._random.randrange(self.live_count) < GOSSIP_FANOUT
