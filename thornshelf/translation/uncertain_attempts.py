"""Tasks that must never be started twice, by the name that stays the same whenever they come again.

One entry a name: a task that is open or stands here (LIVE), or an attempt that may have run and of which the end
is not known (DOUBT). A set-up under another id joins what is live, and asks about what is in doubt: it never makes
a start of its own. The table is bounded, and doubts age: a name that comes again long after is another task.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass

DEFAULT_RETENTION_US = 30_000_000
DEFAULT_MAX_UNCERTAIN = 100_000


class ExecutionStatus(enum.IntEnum):
    """A node's word on a task's name; numbered as in thornshelf.v2."""

    UNKNOWN = 0
    NEVER_RAN = 1
    PENDING = 2
    RUNNING = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class ActiveKey:
    """It is open or stands, under this id."""

    uid: int


@dataclass(frozen=True, slots=True)
class UncertainKey:
    """It may run, or have run, at this node, where it was offered under this id; since when (microseconds)."""

    machine: int
    uid: int
    since_us: int


KeyState = ActiveKey | UncertainKey


class KeyAction(enum.Enum):
    """What is to be done with a set-up."""

    START = "start"  # nothing is known of the name
    JOIN = "join"  # another id of the same task is served here
    QUERY_NODE = "ask"  # its node can be asked
    FAIL = "refuse"  # it may run, and nobody can be asked: today's answer, 'failed'


class IdempotencyKeys:
    """The table."""

    def __init__(
        self, retention_us: int = DEFAULT_RETENTION_US, max_uncertain: int = DEFAULT_MAX_UNCERTAIN
    ) -> None:
        self.retention_us, self.max_uncertain = retention_us, max_uncertain
        self._states: OrderedDict[int, KeyState] = OrderedDict()  # doubts oldest first among themselves
        self._uncertain_keys: OrderedDict[int, None] = OrderedDict()
        self.evicted_count = 0  # doubts that went for lack of room, before their time

    def __len__(self) -> int:
        return len(self._states)

    @property
    def uncertain_count(self) -> int:
        """How many names are in doubt."""
        return len(self._uncertain_keys)

    def expire(self, now_us: int) -> None:
        """Drop doubts that are older than they are remembered."""
        while self._uncertain_keys:
            key = next(iter(self._uncertain_keys))
            entry = self._states[key]
            assert isinstance(entry, UncertainKey)
            if now_us - entry.since_us < self.retention_us:
                return
            self.discard(key)

    def lookup(self, key: int, now_us: int) -> KeyState | None:
        """What is known of a name."""
        self.expire(now_us)
        return self._states.get(key)

    def action_for(self, key: int, now_us: int, can_query: bool) -> KeyAction:
        """What to do with a set-up of this name; ``can_ask``: the node in doubt can be asked."""
        match self.lookup(key, now_us):
            case None:
                return KeyAction.START
            case ActiveKey():
                return KeyAction.JOIN
            case _:
                return KeyAction.QUERY_NODE if can_query else KeyAction.FAIL

    def mark_active(self, key: int, uid: int) -> None:
        """A task of this name is served under an id."""
        self._uncertain_keys.pop(key, None)
        self._states[key] = ActiveKey(uid)

    def mark_uncertain(self, key: int, machine: int, uid: int, now_us: int) -> None:
        """An attempt may have run and is not followed any more."""
        self.discard(key)
        self._states[key] = UncertainKey(machine, uid, now_us)
        self._uncertain_keys[key] = None
        while len(self._uncertain_keys) > self.max_uncertain:
            self.discard(next(iter(self._uncertain_keys)))
            self.evicted_count += 1

    def discard(self, key: int) -> None:
        """Nothing of this name runs, and its owner knows."""
        self._states.pop(key, None)
        self._uncertain_keys.pop(key, None)

    def discard_if_active_as(self, key: int, uid: int) -> None:
        """The same, unless the name is served under another id by now."""
        entry = self._states.get(key)
        if entry is not None and entry.uid == uid:
            self.discard(key)


class Resolution(enum.Enum):
    """What a node's word on a name means for an attempt in doubt."""

    NEVER_RAN = "never ran"
    RUNNING = "runs"
    ENDED = "ran"
    PENDING = "wait for its end"
    UNRESOLVED = "still in doubt"


def resolve_status(status: int, trusted: bool) -> Resolution:
    """Read a node's word. 'Never' is believed only of a node that has kept its word so far."""
    match status:
        case ExecutionStatus.NEVER_RAN if trusted:
            return Resolution.NEVER_RAN
        case ExecutionStatus.RUNNING:
            return Resolution.RUNNING
        case ExecutionStatus.ENDED:
            return Resolution.ENDED
        case ExecutionStatus.PENDING:
            return Resolution.PENDING
        case _:
            return Resolution.UNRESOLVED  # it has forgotten, or says what a newer generation knows
