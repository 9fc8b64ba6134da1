"""What a member may be in another's view, and every transition; and claims about members, merged without order.

A *claim* is what members tell each other: so much of it travels. Claims about one member are ordered by incarnation,
then by the process's life, then by state, and the greatest holds, whoever hears them in whatever order.
A *state* is what one member itself holds true. It follows claims, but never at once where they say that somebody is
gone: the one who is spoken of is given the time to answer first. So a lie costs a refutation, and no member.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import msgspec


class RecordStatus(enum.IntEnum):
    """What a claim says; of one incarnation the greater word holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberState(enum.Enum):
    """What a member is to this one."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # it did not answer, or somebody says so: its time to refute that runs
    UNCONFIRMED_DEAD = "doomed"  # somebody holds it for dead or gone: a short time to refute that runs
    DEAD = "dead"  # remembered, and called again now and then
    LEFT = "left"  # it ended in order: remembered, and not called


LIVE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT, MemberState.UNCONFIRMED_DEAD))


class MemberEvent(enum.Enum):
    """What may happen to a member in this one's view."""

    PROBE_FAILED = "it did not answer this member's probe"
    REPORTED_SUSPECT = "another says that it does not answer"
    REPORTED_DEAD = "another says that it is dead"
    REPORTED_LEFT = "another says that it has left"
    LEAVE_ANNOUNCED = "it says itself that it leaves"
    REFUTED = "it is alive, by a newer incarnation"
    REFUTATION_TIMEOUT = "the time to refute is over"


# Every state under every event. None: forgotten. What is not a change is written down all the same.
TRANSITIONS: dict[tuple[MemberState, MemberEvent], MemberState] = {
    (MemberState.ALIVE, MemberEvent.PROBE_FAILED): MemberState.SUSPECT,
    (MemberState.ALIVE, MemberEvent.REPORTED_SUSPECT): MemberState.SUSPECT,
    (MemberState.ALIVE, MemberEvent.REPORTED_DEAD): MemberState.UNCONFIRMED_DEAD,
    (MemberState.ALIVE, MemberEvent.REPORTED_LEFT): MemberState.UNCONFIRMED_DEAD,
    (MemberState.ALIVE, MemberEvent.LEAVE_ANNOUNCED): MemberState.LEFT,
    (MemberState.ALIVE, MemberEvent.REFUTED): MemberState.ALIVE,
    (MemberState.ALIVE, MemberEvent.REFUTATION_TIMEOUT): MemberState.ALIVE,  # of a suspicion that was refuted
    (MemberState.SUSPECT, MemberEvent.PROBE_FAILED): MemberState.SUSPECT,
    (
        MemberState.SUSPECT,
        MemberEvent.REPORTED_SUSPECT,
    ): MemberState.SUSPECT,  # a confirmation: its time shrinks
    (MemberState.SUSPECT, MemberEvent.REPORTED_DEAD): MemberState.UNCONFIRMED_DEAD,
    (MemberState.SUSPECT, MemberEvent.REPORTED_LEFT): MemberState.UNCONFIRMED_DEAD,
    (MemberState.SUSPECT, MemberEvent.LEAVE_ANNOUNCED): MemberState.LEFT,
    (MemberState.SUSPECT, MemberEvent.REFUTED): MemberState.ALIVE,
    (MemberState.SUSPECT, MemberEvent.REFUTATION_TIMEOUT): MemberState.DEAD,
    (MemberState.UNCONFIRMED_DEAD, MemberEvent.PROBE_FAILED): MemberState.UNCONFIRMED_DEAD,
    (MemberState.UNCONFIRMED_DEAD, MemberEvent.REPORTED_SUSPECT): MemberState.UNCONFIRMED_DEAD,
    (MemberState.UNCONFIRMED_DEAD, MemberEvent.REPORTED_DEAD): MemberState.UNCONFIRMED_DEAD,
    (MemberState.UNCONFIRMED_DEAD, MemberEvent.REPORTED_LEFT): MemberState.UNCONFIRMED_DEAD,
    (MemberState.UNCONFIRMED_DEAD, MemberEvent.LEAVE_ANNOUNCED): MemberState.LEFT,
    (MemberState.UNCONFIRMED_DEAD, MemberEvent.REFUTED): MemberState.ALIVE,
    (
        MemberState.UNCONFIRMED_DEAD,
        MemberEvent.REFUTATION_TIMEOUT,
    ): MemberState.DEAD,  # or LEFT, where that is what was said
    (MemberState.DEAD, MemberEvent.PROBE_FAILED): MemberState.DEAD,
    (MemberState.DEAD, MemberEvent.REPORTED_SUSPECT): MemberState.DEAD,
    (MemberState.DEAD, MemberEvent.REPORTED_DEAD): MemberState.DEAD,
    (MemberState.DEAD, MemberEvent.REPORTED_LEFT): MemberState.DEAD,
    (MemberState.DEAD, MemberEvent.LEAVE_ANNOUNCED): MemberState.LEFT,
    (MemberState.DEAD, MemberEvent.REFUTED): MemberState.ALIVE,
    (MemberState.DEAD, MemberEvent.REFUTATION_TIMEOUT): MemberState.DEAD,
    (MemberState.LEFT, MemberEvent.PROBE_FAILED): MemberState.LEFT,
    (MemberState.LEFT, MemberEvent.REPORTED_SUSPECT): MemberState.LEFT,
    (MemberState.LEFT, MemberEvent.REPORTED_DEAD): MemberState.LEFT,
    (MemberState.LEFT, MemberEvent.REPORTED_LEFT): MemberState.LEFT,
    (MemberState.LEFT, MemberEvent.LEAVE_ANNOUNCED): MemberState.LEFT,
    (MemberState.LEFT, MemberEvent.REFUTED): MemberState.ALIVE,
    (MemberState.LEFT, MemberEvent.REFUTATION_TIMEOUT): MemberState.LEFT,
}

REPORT_EVENTS = {
    RecordStatus.SUSPECT: MemberEvent.REPORTED_SUSPECT,
    RecordStatus.DEAD: MemberEvent.REPORTED_DEAD,
    RecordStatus.LEFT: MemberEvent.REPORTED_LEFT,
}


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is told of one member."""

    name: str
    address: str  # where it is to be reached, host:port
    incarnation: int
    instance_id: int  # a random number of its process
    status: int
    uptime_ms: int  # how long its process had run when it took this incarnation, by a clock that is never set
    reported_by: str = ""  # who says so first, of a suspicion: independent ones are counted

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The greater one holds."""
        return self.incarnation, self.instance_id, self.status


def prevailing_record(one: MemberRecord | None, other: MemberRecord) -> MemberRecord:
    """The claim that holds; of equals the first."""
    return other if one is None or other.precedence > one.precedence else one


@dataclass(slots=True, eq=False)
class Member:
    """Another member, as this one sees it; times in microseconds."""

    record: MemberRecord
    state: MemberState = MemberState.ALIVE
    state_since_us: int = 0  # in this state
    refutation_deadline_us: int = 0  # when the time to refute is over
    last_seen_us: int = -1  # when it last spoke itself, -1 for never
    live_since_us: int = 0  # since when it has been live without a break
    suspected_by: frozenset[str] = frozenset()  # who suspect it of their own
    last_corrected_us: int = -1_000_000_000  # when it was last told what is said of it

    @property
    def is_live(self) -> bool:
        """It counts among those that are there."""
        return self.state in LIVE_STATES

    def apply(self, event: MemberEvent, now_us: int) -> bool:
        """Take a transition; true where the state is another one."""
        state = TRANSITIONS[self.state, event]
        if (
            event is MemberEvent.REFUTATION_TIMEOUT
            and self.state is MemberState.UNCONFIRMED_DEAD
            and self.record.status == RecordStatus.LEFT
        ):
            state = MemberState.LEFT
        if state is self.state:
            return False
        if state is MemberState.ALIVE:
            self.suspected_by = frozenset()
            if not self.is_live:
                self.live_since_us = now_us
        self.state, self.state_since_us = state, now_us
        return True
