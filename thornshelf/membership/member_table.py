"""The table of members: what is claimed of each, what holds true of each here, and who is called again."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

import msgspec

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.datagrams import MAX_INCARNATION
from thornshelf.membership.states import (
    REPORT_EVENTS,
    Member,
    MemberEvent,
    MemberRecord,
    MemberState,
    RecordStatus,
)

MAX_LOCAL_HEALTH_MULTIPLIER = (
    3  # so bad its own health may count; beyond, a partition would take too long to be seen
)
MAX_INCARNATION_JUMP = (
    1 << 20
)  # by so much an incarnation told by others may outrun what is known: a lie gains no more.
# What a member says of itself has no such limit.
MAX_CONFIRMATIONS = 4  # more confirmations of a suspicion change nothing


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member's state is another one; ``before`` is None for a new member, ``after`` for one that is forgotten."""

    name: str
    before: MemberState | None
    after: MemberState | None


class MemberTable:
    """All other members.

    ``news``: called with a member's name where others may not know yet what is claimed of it.
    """

    def __init__(self, terms: MembershipConfig, chance: random.Random, news: Callable[[str], None]) -> None:
        self.config, self._chance, self._on_record_change = terms, chance, news
        self.members: dict[str, Member] = {}
        self.counters: Counter[str] = Counter()
        self.changes: list[MemberChange] = []
        self.local_health_multiplier = (
            0  # of this member itself: 0 is good; others are given more time while it is not
        )
        self.live_names: list[str] = []
        self.address_book: dict[str, None] = {}  # addresses of members that were there once, the latest last
        self._places: dict[str, int] = {}  # in ``live``
        self._addresses: Counter[str] = Counter()  # of those that are live
        self._doubtful: dict[str, None] = {}  # those whose time to refute runs
        self._gone: dict[str, None] = {}  # dead or left, and remembered

    # looking

    def state_of(self, name: str) -> MemberState | None:
        """What a member is to this one; None where it is not known."""
        member = self.members.get(name)
        return None if member is None else member.state

    def sample(self, count: int, without: str = "") -> list[str]:
        """So many live members at random."""
        if count >= len(self.live_names):
            found = [name for name in self.live_names if name != without]
            self._chance.shuffle(found)
            return found[:count]
        found = []
        for _ in range(4 * count):
            name = self.live_names[self._chance.randrange(len(self.live_names))]
            if name != without and name not in found:
                found.append(name)
                if len(found) == count:
                    break
        return found

    def live_addresses(self) -> Collection[str]:
        """Where those that are live are to be reached."""
        return self._addresses.keys()

    def departed(self) -> Iterator[Member]:
        """Those that are remembered and not live."""
        for name in self._gone:
            yield self.members[name]

    def next_deadline_us(self) -> int | None:
        """When the next time to refute is over."""
        return min((self.members[name].refutation_deadline_us for name in self._doubtful), default=None)

    # what is heard

    def update_from_sender(self, claim: MemberRecord, now_us: int) -> bool:
        """A known member speaks; false where it must be told what is claimed of it, as it doesn't know that yet."""
        member = self.members[claim.name]
        if claim.precedence > member.record.precedence:
            self._claim(member, claim)
            self._happens(
                member,
                MemberEvent.LEAVE_ANNOUNCED if claim.status == RecordStatus.LEFT else MemberEvent.REFUTED,
                now_us,
            )
        elif claim.precedence < member.record.precedence:
            return False
        member.last_seen_us = now_us
        return True

    def add(self, claim: MemberRecord, now_us: int) -> bool:
        """A new member has answered; false where there is no room for it."""
        if not self._make_room():
            return False
        alive = replace_record(claim, status=int(RecordStatus.ALIVE))
        self.members[claim.name] = Member(
            alive, state_since_us=now_us, last_seen_us=now_us, live_since_us=now_us
        )
        self._add_live(claim.name)
        self._on_record_change(claim.name)
        self.changes.append(MemberChange(claim.name, None, MemberState.ALIVE))
        return True

    def update_from_gossip(self, claim: MemberRecord, now_us: int) -> None:
        """One member says something of another that is known."""
        member = self.members[claim.name]
        if claim.incarnation > member.record.incarnation + MAX_INCARNATION_JUMP:
            self.counters["jump"] += 1
        elif claim.precedence > member.record.precedence:
            self._claim(member, claim)
            event = (
                MemberEvent.REFUTED
                if claim.status == RecordStatus.ALIVE
                else REPORT_EVENTS[RecordStatus(claim.status)]
            )
            if event is MemberEvent.REPORTED_SUSPECT:
                member.suspected_by = frozenset((claim.reported_by,))
            self._happens(member, event, now_us)
            self._set_due(member, now_us)
        elif (
            claim.precedence == member.record.precedence
            and member.state is MemberState.SUSPECT
            and claim.reported_by not in member.suspected_by
        ):
            self._doubt(member, claim.reported_by, now_us)

    def probe_failed(self, name: str, now_us: int) -> None:
        """A live member answered neither this one nor those that were asked to try."""
        member = self.members.get(name)
        if member is None or not member.is_live:
            return
        if member.state is MemberState.ALIVE:
            member.suspected_by = frozenset((self.config.name,))
            claim = msgspec.structs.replace(
                member.record, status=int(RecordStatus.SUSPECT), reported_by=self.config.name
            )
            self._happens(member, MemberEvent.PROBE_FAILED, now_us)
            self._claim(member, claim)
            self._set_due(member, now_us)
        elif member.state is MemberState.SUSPECT and self.config.name not in member.suspected_by:
            self._doubt(member, self.config.name, now_us)

    def _doubt(self, member: Member, by: str, now_us: int) -> None:
        """An independent confirmation."""
        if len(member.suspected_by) < MAX_CONFIRMATIONS:
            member.suspected_by |= {by}
            member.record = msgspec.structs.replace(member.record, reported_by=by)
            self._on_record_change(member.record.name)
            self._set_due(member, now_us)

    # time

    def tick(self, now_us: int) -> None:
        """Times to refute that are over, and members that are forgotten."""
        for name in [name for name in self._doubtful if self.members[name].refutation_deadline_us <= now_us]:
            member = self.members[name]
            if member.record.status < RecordStatus.DEAD:
                self._claim(
                    member,
                    msgspec.structs.replace(
                        member.record, status=int(RecordStatus.DEAD), reported_by=self.config.name
                    ),
                )
            self._happens(member, MemberEvent.REFUTATION_TIMEOUT, now_us)
        for name in [
            name
            for name in self._gone
            if now_us - self.members[name].state_since_us >= self.config.dead_retention_us
        ]:
            self.evict(name)

    def extend_deadlines(self, gap_us: int) -> None:
        """This member itself was away for so long: nobody is to blame for that time.

        Guards against a process that was stopped and declares all others dead as it wakes: their answers and
        refutations lie unread in its socket.
        """
        for name in self._doubtful:
            self.members[name].refutation_deadline_us += gap_us
        self.raise_health_multiplier()

    def raise_health_multiplier(self) -> None:
        """A sign that this member itself is in bad health."""
        self.local_health_multiplier = min(MAX_LOCAL_HEALTH_MULTIPLIER, self.local_health_multiplier + 1)

    def lower_health_multiplier(self) -> None:
        """A sign that it is well."""
        self.local_health_multiplier = max(0, self.local_health_multiplier - 1)

    def is_expiring(self, member: Member, now_us: int) -> bool:
        """It is gone for so long that it is not compared any more: members forget it at different times."""
        return not member.is_live and now_us - member.state_since_us >= self.config.dead_retention_us // 2

    def evict(self, name: str) -> None:
        """Nothing is kept but its address."""
        self._drop_live(name)
        member = self.members.pop(name)
        self._doubtful.pop(name, None)
        self._gone.pop(name, None)
        if member.state is not MemberState.LEFT:
            self._note(member.record.address)
        self.changes.append(MemberChange(name, member.state, None))

    # within

    def _claim(self, member: Member, claim: MemberRecord) -> None:
        if member.record.address != claim.address:
            self._note(member.record.address)
            if claim.name in self._places:
                self._count(member.record.address, -1)
                self._count(claim.address, 1)
        member.record = claim
        self._on_record_change(claim.name)

    def _happens(self, member: Member, event: MemberEvent, now_us: int) -> None:
        before, name = member.state, member.record.name
        if not member.apply(event, now_us):
            return
        self._doubtful.pop(name, None)
        if member.state in (MemberState.SUSPECT, MemberState.UNCONFIRMED_DEAD):
            self._doubtful[name] = None
            self._set_due(member, now_us)
        if member.is_live:
            self._gone.pop(name, None)
            self._add_live(name)
        else:
            self._gone[name] = None
            self._drop_live(name)
        self.changes.append(MemberChange(name, before, member.state))

    def _set_due(self, member: Member, now_us: int) -> None:
        if member.state is MemberState.SUSPECT:
            time = self.config.suspicion_timeout_us(
                len(self.live_names) + 1, len(member.suspected_by), self.local_health_multiplier
            )
            member.refutation_deadline_us = max(now_us, member.state_since_us + time)
        elif member.state is MemberState.UNCONFIRMED_DEAD:
            member.refutation_deadline_us = member.state_since_us + self.config.refutation_grace_us * (
                1 + self.local_health_multiplier
            )

    def _count(self, address: str, change: int) -> None:
        self._addresses[address] += change
        if not self._addresses[address]:
            del self._addresses[address]

    def _add_live(self, name: str) -> None:
        if name not in self._places:
            self._count(self.members[name].record.address, 1)
            self._places[name] = len(self.live_names)
            self.live_names.append(name)

    def _drop_live(self, name: str) -> None:
        if (place := self._places.pop(name, None)) is not None:
            self._count(self.members[name].record.address, -1)
            last = self.live_names.pop()
            if last != name:
                self.live_names[place], self._places[last] = last, place

    def _note(self, address: str) -> None:
        self.address_book.pop(address, None)
        self.address_book[address] = None
        if len(self.address_book) > self.config.max_known_addresses:
            del self.address_book[next(iter(self.address_book))]

    def _make_room(self) -> bool:
        """Those that are gone make room, the one that has been so longest first."""
        if len(self.members) < self.config.max_members:
            return True
        if (old := next(iter(self._gone), None)) is None:
            self.counters["no-room"] += 1
            return False
        self.evict(old)
        return True


class LocalMember:
    """What is claimed of this very member, and its answer: refute, outbid a former life, or give way."""

    def __init__(self, terms: MembershipConfig, life: int, incarnation: int, start_us: int) -> None:
        self._start_us = start_us
        self.record = MemberRecord(terms.name, terms.address, incarnation, life, int(RecordStatus.ALIVE), 0)
        self.superseded = False
        self._rivals: dict[int, int] = {}  # by life: the incarnation that was to outbid it

    def refute(self, claim: MemberRecord, now_us: int) -> bool:
        """Something is claimed of this member; true where it has taken a new incarnation, which others must hear."""
        if (
            self.superseded
            or self.record.status == RecordStatus.LEFT
            or claim.incarnation >= MAX_INCARNATION - 1
        ):
            return False
        if claim.instance_id == self.record.instance_id:
            if claim.incarnation < self.record.incarnation or claim.precedence <= self.record.precedence:
                return False
        elif (claim.incarnation, claim.instance_id) <= (self.record.incarnation, self.record.instance_id):
            return False
        elif claim.status == RecordStatus.ALIVE and self._gives_way(claim, now_us):
            self.superseded = True
            return False
        self._bid(claim.incarnation + 1, now_us)
        if claim.instance_id != self.record.instance_id:
            if len(self._rivals) >= 64:
                self._rivals.clear()
            self._rivals[claim.instance_id] = self.record.incarnation
        return True

    def _gives_way(self, claim: MemberRecord, now_us: int) -> bool:
        """Whether a live process of this name was started later.

        A claim of a former life is outbid once and never comes back. One that outbids the answer comes from a live
        process; which of the two started later is told by how long each has run, as clocks may be set.
        """
        outbid = self._rivals.get(claim.instance_id)
        if outbid is None or claim.incarnation <= outbid:
            return False
        mine = (now_us - self._start_us) // 1000
        return (claim.uptime_ms, claim.instance_id) < (mine, self.record.instance_id)

    def _bid(self, incarnation: int, now_us: int) -> None:
        up_ms = (now_us - self._start_us) // 1000
        self.record = replace_record(self.record, incarnation=incarnation, uptime_ms=up_ms)

    def leave(self) -> None:
        """It ends in order."""
        self.record = replace_record(self.record, status=int(RecordStatus.LEFT))


def replace_record(claim: MemberRecord, **changes: int | str) -> MemberRecord:
    """A claim with other figures."""
    return msgspec.structs.replace(claim, **changes)
