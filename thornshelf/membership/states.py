"""The records that members gossip about each other, the states derived from them, and the table of transitions.

A *record* is what is transmitted. The records of one member are ordered by incarnation, instance id and status. The
greatest prevails, so the outcome does not depend on the order of arrival or on duplicates.
A *state* is one member's own view of another. It follows the records, except that a report by a third party that a
member is dead or has left takes effect only after a grace period in which that member can refute it. A false report
therefore costs one refutation and cannot remove a live member.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import msgspec

NEVER_US = -1_000_000_000  # earlier than any time of the loop's clock


class RecordStatus(enum.IntEnum):
    """The status in a record. Within one incarnation and instance the greater value prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberState(enum.Enum):
    """The state of a member in the view of this one. The values are logged and shown to operators."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # a probe failed, here or at another member; the suspicion timeout is running
    UNCONFIRMED_DEAD = (
        "doomed"  # others report it as dead or left; its grace period to refute that is running
    )
    DEAD = "dead"  # retained, and contacted again periodically
    LEFT = "left"  # shut down gracefully: retained, but not contacted


LIVE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT, MemberState.UNCONFIRMED_DEAD))


class MemberEvent(enum.Enum):
    """An event that may change the state of a member."""

    PROBE_FAILED = "neither the direct nor the indirect probes of this member were acknowledged"
    REPORTED_SUSPECT = "another member suspects it"
    REPORTED_DEAD = "another member reports that it is dead"
    REPORTED_LEFT = "another member reports that it has left"
    LEAVE_ANNOUNCED = "it announced a graceful shutdown"
    REFUTED = "it is alive with a newer incarnation"
    REFUTATION_TIMEOUT = "the time to refute has expired"


# Lists every combination of state and event, including those that change nothing; a test checks for completeness.
TRANSITIONS: dict[tuple[MemberState, MemberEvent], MemberState] = {
    (MemberState.ALIVE, MemberEvent.PROBE_FAILED): MemberState.SUSPECT,
    (MemberState.ALIVE, MemberEvent.REPORTED_SUSPECT): MemberState.SUSPECT,
    (MemberState.ALIVE, MemberEvent.REPORTED_DEAD): MemberState.UNCONFIRMED_DEAD,
    (MemberState.ALIVE, MemberEvent.REPORTED_LEFT): MemberState.UNCONFIRMED_DEAD,
    (MemberState.ALIVE, MemberEvent.LEAVE_ANNOUNCED): MemberState.LEFT,
    (MemberState.ALIVE, MemberEvent.REFUTED): MemberState.ALIVE,
    (MemberState.ALIVE, MemberEvent.REFUTATION_TIMEOUT): MemberState.ALIVE,  # the suspicion was refuted
    (MemberState.SUSPECT, MemberEvent.PROBE_FAILED): MemberState.SUSPECT,
    (MemberState.SUSPECT, MemberEvent.REPORTED_SUSPECT): MemberState.SUSPECT,  # confirms the suspicion
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
    (MemberState.UNCONFIRMED_DEAD, MemberEvent.REFUTATION_TIMEOUT): MemberState.DEAD,  # LEFT if reported so
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
    """What members gossip about one member. The field order is the wire format."""

    name: str
    address: str  # host:port at which other members reach it
    incarnation: int
    instance_id: int  # random per process, to distinguish restarts
    status: int  # a RecordStatus, as an integer because push-pull rounds hash its repr
    uptime_ms: int  # uptime of its process when it took this incarnation, by a monotonic clock
    reported_by: str = ""  # the member that suspects it; independent suspicions confirm each other

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The sort key of a member's records; the record with the greatest one prevails."""
        return self.incarnation, self.instance_id, self.status


def prevailing_record(first: MemberRecord | None, second: MemberRecord) -> MemberRecord:
    """Returns the record with the greater precedence, ``first`` if they are equal."""
    return second if first is None or second.precedence > first.precedence else first


@dataclass(slots=True, eq=False)
class Member:
    """Another member in the view of this one. Times are microseconds of the loop's clock."""

    record: MemberRecord
    state: MemberState = MemberState.ALIVE
    state_since_us: int = 0
    refutation_deadline_us: int = 0
    last_seen_us: int = -1  # when its last datagram arrived; -1 for never
    live_since_us: int = 0  # start of its current uninterrupted live period
    suspected_by: frozenset[str] = frozenset()  # members that suspect it independently of each other
    last_corrected_us: int = NEVER_US  # when it was last sent the record that is gossiped about it

    @property
    def is_live(self) -> bool:
        """Whether the member counts as live."""
        return self.state in LIVE_STATES

    def apply(self, event: MemberEvent, now_us: int) -> bool:
        """Apply the transition for an event; returns whether the state changed."""
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
