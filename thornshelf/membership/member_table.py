"""The table of other members: the prevailing record and state of each, and former addresses to reconnect to."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

import msgspec

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.states import (
    REPORT_EVENTS,
    Member,
    MemberEvent,
    MemberRecord,
    MemberState,
    RecordStatus,
)

MAX_LOCAL_HEALTH_MULTIPLIER = 3  # a higher one would delay the detection of a partition too long
# The most by which a reported incarnation may exceed the known one, so that false reports cannot exhaust the range.
# The limit does not apply to a member's own record.
MAX_INCARNATION_JUMP = 1 << 20
MAX_CONFIRMATIONS = 4  # further independent suspicions are not counted
SAMPLE_ATTEMPTS = 4  # random draws per member of a sample
# Names of counters, as the shell shows them.
INCARNATION_JUMPS = "jump"
TABLE_FULL = "no-room"


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of a member's state. ``before`` is None for a new member, ``after`` is None for an evicted one."""

    name: str
    before: MemberState | None
    after: MemberState | None


class MemberTable:
    """All other members, with their records and states.

    ``on_record_change`` is called with the name of each member whose record has changed and has to be gossiped.
    """

    def __init__(
        self,
        config: MembershipConfig,
        random_source: random.Random,
        on_record_change: Callable[[str], None],
    ) -> None:
        self.config = config
        self._random = random_source
        self._on_record_change = on_record_change
        self.members: dict[str, Member] = {}
        self.counters: Counter[str] = Counter()
        self.changes: list[MemberChange] = []
        self.local_health_multiplier = 0  # of Lifeguard: 0 is healthy; more extends all timeouts
        self.live_names: list[str] = []
        self.former_addresses: dict[str, None] = {}  # ordered, the latest last
        self._live_index: dict[str, int] = {}  # the index of each live member in ``live_names``
        self._live_address_counts: Counter[str] = Counter()
        self._awaiting_refutation: dict[str, None] = {}
        self._departed: dict[str, None] = {}  # dead or left, ordered by time

    def state_of(self, name: str) -> MemberState | None:
        """Returns the state of a member, or None if it is unknown."""
        member = self.members.get(name)
        return None if member is None else member.state

    def sample(self, count: int, exclude: str = "") -> list[str]:
        """Returns the names of up to ``count`` random live members other than ``exclude``."""
        if count >= len(self.live_names):
            names = [name for name in self.live_names if name != exclude]
            self._random.shuffle(names)
            return names[:count]
        names = []
        for _ in range(SAMPLE_ATTEMPTS * count):
            name = self.live_names[self._random.randrange(len(self.live_names))]
            if name != exclude and name not in names:
                names.append(name)
                if len(names) == count:
                    break
        return names

    def live_addresses(self) -> Collection[str]:
        """Returns the addresses of the live members."""
        return self._live_address_counts.keys()

    def departed(self) -> Iterator[Member]:
        """Yields the retained members that are dead or have left."""
        for name in self._departed:
            yield self.members[name]

    def next_deadline_us(self) -> int | None:
        """Returns the earliest refutation deadline, or None if no member has to refute anything."""
        if not self._awaiting_refutation:
            return None
        return min(self.members[name].refutation_deadline_us for name in self._awaiting_refutation)

    def update_from_sender(self, record: MemberRecord, now_us: int) -> bool:
        """Apply the record that a known member sent of itself.

        Returns False if the record is outdated: then the member has to be sent what is gossiped about it.
        """
        member = self.members[record.name]
        if record.precedence > member.record.precedence:
            self._set_record(member, record)
            has_left = record.status == RecordStatus.LEFT
            event = MemberEvent.LEAVE_ANNOUNCED if has_left else MemberEvent.REFUTED
            self._transition(member, event, now_us)
        elif record.precedence < member.record.precedence:
            return False
        member.last_seen_us = now_us
        return True

    def add(self, record: MemberRecord, now_us: int) -> bool:
        """Add a member that has acknowledged a ping; returns False if the table is full."""
        if not self._ensure_space():
            return False
        alive = replace_record(record, status=int(RecordStatus.ALIVE))
        self.members[record.name] = Member(
            alive, state_since_us=now_us, last_seen_us=now_us, live_since_us=now_us
        )
        self._add_live(record.name)
        self._on_record_change(record.name)
        self.changes.append(MemberChange(record.name, None, MemberState.ALIVE))
        return True

    def update_from_gossip(self, record: MemberRecord, now_us: int) -> None:
        """Apply another member's report on a known member."""
        member = self.members[record.name]
        if record.incarnation > member.record.incarnation + MAX_INCARNATION_JUMP:
            self.counters[INCARNATION_JUMPS] += 1
        elif record.precedence > member.record.precedence:
            self._apply_report(member, record, now_us)
        elif (
            record.precedence == member.record.precedence
            and member.state is MemberState.SUSPECT
            and record.reported_by not in member.suspected_by
        ):
            self._confirm_suspicion(member, record.reported_by, now_us)

    def _apply_report(self, member: Member, record: MemberRecord, now_us: int) -> None:
        """Apply a report whose record prevails over the known one."""
        self._set_record(member, record)
        if record.status == RecordStatus.ALIVE:
            event = MemberEvent.REFUTED
        else:
            event = REPORT_EVENTS[RecordStatus(record.status)]
        if event is MemberEvent.REPORTED_SUSPECT:
            member.suspected_by = frozenset((record.reported_by,))
        self._transition(member, event, now_us)
        self._set_deadline(member, now_us)

    def probe_failed(self, name: str, now_us: int) -> None:
        """Suspect a live member that acknowledged neither the direct probe nor the indirect ones."""
        member = self.members.get(name)
        if member is None or not member.is_live:
            return
        if member.state is MemberState.ALIVE:
            member.suspected_by = frozenset((self.config.name,))
            suspicion = self._report(member, RecordStatus.SUSPECT)
            self._transition(member, MemberEvent.PROBE_FAILED, now_us)
            self._set_record(member, suspicion)
            self._set_deadline(member, now_us)
        elif member.state is MemberState.SUSPECT and self.config.name not in member.suspected_by:
            self._confirm_suspicion(member, self.config.name, now_us)

    def _report(self, member: Member, status: RecordStatus) -> MemberRecord:
        """Returns the record with which this member reports another as suspect or dead."""
        return replace_record(member.record, status=int(status), reported_by=self.config.name)

    def _confirm_suspicion(self, member: Member, reported_by: str, now_us: int) -> None:
        if len(member.suspected_by) < MAX_CONFIRMATIONS:
            member.suspected_by |= {reported_by}
            member.record = replace_record(member.record, reported_by=reported_by)
            self._on_record_change(member.record.name)
            self._set_deadline(member, now_us)

    def tick(self, now_us: int) -> None:
        """Declare members dead whose refutation deadline has passed, and evict those whose retention has ended."""
        expired = [
            name for name in self._awaiting_refutation if self.members[name].refutation_deadline_us <= now_us
        ]
        for name in expired:
            member = self.members[name]
            if member.record.status < RecordStatus.DEAD:
                self._set_record(member, self._report(member, RecordStatus.DEAD))
            self._transition(member, MemberEvent.REFUTATION_TIMEOUT, now_us)
        to_evict = [
            name
            for name in self._departed
            if now_us - self.members[name].state_since_us >= self.config.dead_retention_us
        ]
        for name in to_evict:
            self.evict(name)

    def extend_deadlines(self, stall_us: int) -> None:
        """Extend all refutation deadlines by the time for which this process was stalled.

        Otherwise a process that was stopped would declare the others dead as it resumes, while their acknowledgements
        and refutations are still unread in its socket buffer.
        """
        for name in self._awaiting_refutation:
            self.members[name].refutation_deadline_us += stall_us
        self.raise_health_multiplier()

    def raise_health_multiplier(self) -> None:
        """Record a sign that this member itself is unhealthy."""
        self.local_health_multiplier = min(MAX_LOCAL_HEALTH_MULTIPLIER, self.local_health_multiplier + 1)

    def lower_health_multiplier(self) -> None:
        """Record a sign that this member itself is healthy."""
        self.local_health_multiplier = max(0, self.local_health_multiplier - 1)

    def is_expiring(self, member: Member, now_us: int) -> bool:
        """Returns whether push-pull rounds omit a departed member, as others may have evicted it already."""
        return not member.is_live and now_us - member.state_since_us >= self.config.dead_retention_us // 2

    def evict(self, name: str) -> None:
        """Remove a member. Its address is kept for reconnecting, unless it has left."""
        self._remove_live(name)
        member = self.members.pop(name)
        self._awaiting_refutation.pop(name, None)
        self._departed.pop(name, None)
        if member.state is not MemberState.LEFT:
            self._keep_address(member.record.address)
        self.changes.append(MemberChange(name, member.state, None))

    def _set_record(self, member: Member, record: MemberRecord) -> None:
        if member.record.address != record.address:
            self._keep_address(member.record.address)
            if record.name in self._live_index:
                self._count_address(member.record.address, -1)
                self._count_address(record.address, 1)
        member.record = record
        self._on_record_change(record.name)

    def _transition(self, member: Member, event: MemberEvent, now_us: int) -> None:
        before = member.state
        name = member.record.name
        if not member.apply(event, now_us):
            return
        self._awaiting_refutation.pop(name, None)
        if member.state in (MemberState.SUSPECT, MemberState.UNCONFIRMED_DEAD):
            self._awaiting_refutation[name] = None
            self._set_deadline(member, now_us)
        if member.is_live:
            self._departed.pop(name, None)
            self._add_live(name)
        else:
            self._departed[name] = None
            self._remove_live(name)
        self.changes.append(MemberChange(name, before, member.state))

    def _set_deadline(self, member: Member, now_us: int) -> None:
        if member.state is MemberState.SUSPECT:
            timeout_us = self.config.suspicion_timeout_us(
                len(self.live_names) + 1, len(member.suspected_by), self.local_health_multiplier
            )
            member.refutation_deadline_us = max(now_us, member.state_since_us + timeout_us)
        elif member.state is MemberState.UNCONFIRMED_DEAD:
            grace_us = self.config.refutation_grace_us * (1 + self.local_health_multiplier)
            member.refutation_deadline_us = member.state_since_us + grace_us

    def _count_address(self, address: str, change: int) -> None:
        self._live_address_counts[address] += change
        if not self._live_address_counts[address]:
            del self._live_address_counts[address]

    def _add_live(self, name: str) -> None:
        if name not in self._live_index:
            self._count_address(self.members[name].record.address, 1)
            self._live_index[name] = len(self.live_names)
            self.live_names.append(name)

    def _remove_live(self, name: str) -> None:
        """Remove a member from the live ones in constant time: the last name takes its place in the list."""
        if (index := self._live_index.pop(name, None)) is not None:
            self._count_address(self.members[name].record.address, -1)
            last = self.live_names.pop()
            if last != name:
                self.live_names[index] = last
                self._live_index[last] = index

    def _keep_address(self, address: str) -> None:
        self.former_addresses.pop(address, None)
        self.former_addresses[address] = None
        if len(self.former_addresses) > self.config.max_known_addresses:
            del self.former_addresses[next(iter(self.former_addresses))]

    def _ensure_space(self) -> bool:
        """If the table is full, evict the member that departed first; returns whether there is space."""
        if len(self.members) < self.config.max_members:
            return True
        if (oldest := next(iter(self._departed), None)) is None:
            self.counters[TABLE_FULL] += 1
            return False
        self.evict(oldest)
        return True


def replace_record(record: MemberRecord, **changes: int | str) -> MemberRecord:
    """Returns a copy of a record with some fields changed."""
    return msgspec.structs.replace(record, **changes)
