"""The records that members gossip about each other, the states that they draw from them, and every transition.

A *record* is what travels. Records of one member are ordered by incarnation, then by instance id, then by status, and
the greatest prevails, in whatever order and however often they arrive.
A *state* is what one member itself takes for true. It follows records, but never at once where somebody else reports
that a member is dead or has left: the member concerned first gets time to refute that. So a false report costs a
refutation, and never a member.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import msgspec

NEVER_US = -1_000_000_000  # long before any time of the loop's clock


class RecordStatus(enum.IntEnum):
    """The status in a record; at one incarnation the greater value prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberState(enum.Enum):
    """The state of a member as this one sees it. The values are shown to operators and logged."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # a probe failed here or elsewhere; the suspicion timeout runs
    UNCONFIRMED_DEAD = "doomed"  # others report it as dead or departed; a short time to refute that runs
    DEAD = "dead"  # retained, and contacted again now and then
    LEFT = "left"  # shut down gracefully: retained, and not contacted


LIVE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT, MemberState.UNCONFIRMED_DEAD))


class MemberEvent(enum.Enum):
    """What may happen to a member, as this one sees it."""

    PROBE_FAILED = "neither the direct nor the indirect probes of this member were acknowledged"
    REPORTED_SUSPECT = "another member suspects it"
    REPORTED_DEAD = "another member reports that it is dead"
    REPORTED_LEFT = "another member reports that it has left"
    LEAVE_ANNOUNCED = "it announces that it leaves"
    REFUTED = "it is alive, with a newer incarnation"
    REFUTATION_TIMEOUT = "the time to refute is over"


# Every state under every event, also where the state stays as it is, so that a test can check for completeness.
TRANSITIONS: dict[tuple[MemberState, MemberEvent], MemberState] = {
    (MemberState.ALIVE, MemberEvent.PROBE_FAILED): MemberState.SUSPECT,
    (MemberState.ALIVE, MemberEvent.REPORTED_SUSPECT): MemberState.SUSPECT,
    (MemberState.ALIVE, MemberEvent.REPORTED_DEAD): MemberState.UNCONFIRMED_DEAD,
    (MemberState.ALIVE, MemberEvent.REPORTED_LEFT): MemberState.UNCONFIRMED_DEAD,
    (MemberState.ALIVE, MemberEvent.LEAVE_ANNOUNCED): MemberState.LEFT,
    (MemberState.ALIVE, MemberEvent.REFUTED): MemberState.ALIVE,
    (MemberState.ALIVE, MemberEvent.REFUTATION_TIMEOUT): MemberState.ALIVE,  # of a refuted suspicion
    (MemberState.SUSPECT, MemberEvent.PROBE_FAILED): MemberState.SUSPECT,
    (MemberState.SUSPECT, MemberEvent.REPORTED_SUSPECT): MemberState.SUSPECT,  # a confirmation
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
    (MemberState.UNCONFIRMED_DEAD, MemberEvent.REFUTATION_TIMEOUT): MemberState.DEAD,  # LEFT, if reported so
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
    """What members gossip about one member."""

    name: str
    address: str  # host:port at which it is reached
    incarnation: int
    instance_id: int  # a random number of its process, which tells its restarts apart
    status: int  # a value of RecordStatus; kept as an integer, as push-pull rounds hash its form
    uptime_ms: int  # how long its process had run when it took this incarnation, by a monotonic clock
    reported_by: str = ""  # who suspects it first; independent suspicions confirm each other

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The record with the greater precedence prevails."""
        return self.incarnation, self.instance_id, self.status


def prevailing_record(first: MemberRecord | None, second: MemberRecord) -> MemberRecord:
    """The record with the greater precedence; of equal ones the first."""
    return second if first is None or second.precedence > first.precedence else first


@dataclass(slots=True, eq=False)
class Member:
    """Another member, as this one sees it. Times are microseconds of the loop's clock."""

    record: MemberRecord
    state: MemberState = MemberState.ALIVE
    state_since_us: int = 0
    refutation_deadline_us: int = 0
    last_seen_us: int = -1  # when its last datagram arrived, -1 for never
    live_since_us: int = 0  # since when it has been live without interruption
    suspected_by: frozenset[str] = frozenset()  # members that suspect it independently of each other
    last_corrected_us: int = NEVER_US  # when it last was sent the record that is gossiped about it

    @property
    def is_live(self) -> bool:
        """Whether it counts as a member that is up."""
        return self.state in LIVE_STATES

    def apply(self, event: MemberEvent, now_us: int) -> bool:
        """Take the transition for an event; returns whether the state has changed."""
        state = TRANSITIONS[self.state, event]
        reported_left = self.record.status == RecordStatus.LEFT
        if (
            event is MemberEvent.REFUTATION_TIMEOUT
            and self.state is MemberState.UNCONFIRMED_DEAD
            and reported_left
        ):
            state = MemberState.LEFT
        if state is self.state:
            return False
        if state is MemberState.ALIVE:
            self.suspected_by = frozenset()
            if not self.is_live:
                self.live_since_us = now_us
        self.state = state
        self.state_since_us = now_us
        return True
