"""The states of the idempotency keys of tasks that must not be started twice.

A key is either active (its task is open or running here) or uncertain (an attempt may have run, and its end is not
known). A request with such a key under another id does not start the task: it joins the active task, waits until the
node of the uncertain attempt has answered a query, or fails. Uncertain keys are bounded in number and expire; after
that, the same key counts as a new task.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass

DEFAULT_RETENTION_US = 30_000_000  # how long a key stays uncertain
DEFAULT_MAX_UNCERTAIN = 100_000  # keys


class ExecutionStatus(enum.IntEnum):
    """A node's answer about a key. The numbers are those of ``Standing`` in ``thornshelf.v2``."""

    UNKNOWN = 0
    NEVER_RAN = 1
    PENDING = 2
    RUNNING = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class ActiveKeyState:
    """The task is open, or running, under the id ``uid``."""

    uid: int


@dataclass(frozen=True, slots=True)
class UncertainKeyState:
    """The attempt with the id ``uid`` may run, or have run, on node ``machine``; uncertain since ``since_us``."""

    machine: int
    uid: int
    since_us: int


KeyState = ActiveKeyState | UncertainKeyState


class KeyAction(enum.Enum):
    """What to do with a new request that has an idempotency key."""

    START = "start"  # the key is not known
    JOIN = "join"  # the task is active under another id
    QUERY_NODE = "query node"  # an attempt is uncertain, and its node can be queried
    FAIL = "fail"  # an attempt is uncertain, and its node can't be queried


class IdempotencyKeys:
    """All active and uncertain keys of one dispatcher.

    An uncertain key expires after ``retention_us``; beyond ``max_uncertain`` of them, the oldest are evicted.
    """

    def __init__(
        self, retention_us: int = DEFAULT_RETENTION_US, max_uncertain: int = DEFAULT_MAX_UNCERTAIN
    ) -> None:
        self.retention_us = retention_us
        self.max_uncertain = max_uncertain
        self.evicted_count = 0  # uncertain keys evicted before they expired
        self._states: OrderedDict[int, KeyState] = OrderedDict()
        self._uncertain_keys: OrderedDict[int, None] = OrderedDict()  # oldest first

    def __len__(self) -> int:
        return len(self._states)

    @property
    def uncertain_count(self) -> int:
        """The number of uncertain keys."""
        return len(self._uncertain_keys)

    def expire(self, now_us: int) -> None:
        """Discard the uncertain keys whose retention is over."""
        while self._uncertain_keys:
            key = next(iter(self._uncertain_keys))
            state = self._states[key]
            assert isinstance(state, UncertainKeyState)
            if now_us - state.since_us < self.retention_us:
                return
            self.discard(key)

    def lookup(self, key: int, now_us: int) -> KeyState | None:
        """Returns the state of a key, or None if it is unknown or has expired."""
        self.expire(now_us)
        return self._states.get(key)

    def action_for(self, key: int, now_us: int, can_query: bool) -> KeyAction:
        """Returns what to do with a new request; ``can_query``: the node of the uncertain attempt can be queried."""
        match self.lookup(key, now_us):
            case None:
                return KeyAction.START
            case ActiveKeyState():
                return KeyAction.JOIN
            case _:
                return KeyAction.QUERY_NODE if can_query else KeyAction.FAIL

    def mark_active(self, key: int, uid: int) -> None:
        """Record that the task of a key is open, or running, under an id."""
        self._uncertain_keys.pop(key, None)
        self._states[key] = ActiveKeyState(uid)

    def mark_uncertain(self, key: int, machine: int, uid: int, now_us: int) -> None:
        """Record that an attempt may have run and is no longer tracked; evicts the oldest keys beyond the bound."""
        self.discard(key)
        self._states[key] = UncertainKeyState(machine, uid, now_us)
        self._uncertain_keys[key] = None
        while len(self._uncertain_keys) > self.max_uncertain:
            self.discard(next(iter(self._uncertain_keys)))
            self.evicted_count += 1

    def discard(self, key: int) -> None:
        """Forget a key, for example because its task has ended and the client was notified."""
        self._states.pop(key, None)
        self._uncertain_keys.pop(key, None)

    def discard_if_active_as(self, key: int, uid: int) -> None:
        """Forget a key unless its task is now known under another id."""
        state = self._states.get(key)
        if state is not None and state.uid == uid:
            self.discard(key)


class Resolution(enum.Enum):
    """What a node's answer means for an uncertain attempt. The values appear in the names of counters."""

    NEVER_RAN = "never ran"
    RUNNING = "runs"
    ENDED = "ran"
    PENDING = "wait for its end"
    UNRESOLVED = "still in doubt"


def resolve_status(status: int, trusted: bool) -> Resolution:
    """Returns the meaning of a status number; NEVER_RAN is accepted only from a trusted node."""
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
            return Resolution.UNRESOLVED  # the node does not know, or a newer generation defines the status
