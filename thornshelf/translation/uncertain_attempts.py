"""The state of idempotency keys: tasks that must not be started twice.

A key is either active (its task is open or running here) or uncertain (an attempt may have run, and its end is not
known). A request with a key that is known under another id never starts the task: it joins the active one, or has
the node queried. Uncertain keys are bounded in number and expire: the same key much later is another task.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass

DEFAULT_RETENTION_US = 30_000_000  # how long a key stays uncertain
DEFAULT_MAX_UNCERTAIN = 100_000  # keys


class ExecutionStatus(enum.IntEnum):
    """A node's answer about a key; numbered as ``Standing`` in ``thornshelf.v2``."""

    UNKNOWN = 0
    NEVER_RAN = 1
    PENDING = 2
    RUNNING = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class ActiveKeyState:
    """The task is open or running under this id."""

    uid: int


@dataclass(frozen=True, slots=True)
class UncertainKeyState:
    """An attempt under this id may be running, or have run, on this node; uncertain since ``since_us``."""

    machine: int
    uid: int
    since_us: int


KeyState = ActiveKeyState | UncertainKeyState


class KeyAction(enum.Enum):
    """What to do with a request that has an idempotency key."""

    START = "start"  # the key is not known
    JOIN = "join"  # the task is active under another id
    QUERY_NODE = "query node"  # the task may have run, and its node can answer a query
    FAIL = "fail"  # the task may have run, and its node can't be queried


class IdempotencyKeys:
    """All active and uncertain keys of one dispatcher.

    ``retention_us`` and ``max_uncertain`` bound the uncertain keys, of which the oldest are evicted first.
    """

    def __init__(
        self, retention_us: int = DEFAULT_RETENTION_US, max_uncertain: int = DEFAULT_MAX_UNCERTAIN
    ) -> None:
        self.retention_us = retention_us
        self.max_uncertain = max_uncertain
        self.evicted_count = 0  # uncertain keys that were evicted before their retention was over
        self._states: OrderedDict[int, KeyState] = OrderedDict()
        self._uncertain_keys: OrderedDict[int, None] = OrderedDict()  # oldest first

    def __len__(self) -> int:
        return len(self._states)

    @property
    def uncertain_count(self) -> int:
        """Number of uncertain keys."""
        return len(self._uncertain_keys)

    def expire(self, now_us: int) -> None:
        """Discard the uncertain keys that are older than the retention."""
        while self._uncertain_keys:
            key = next(iter(self._uncertain_keys))
            state = self._states[key]
            assert isinstance(state, UncertainKeyState)
            if now_us - state.since_us < self.retention_us:
                return
            self.discard(key)

    def lookup(self, key: int, now_us: int) -> KeyState | None:
        """The state of a key; None if it is not known or has expired."""
        self.expire(now_us)
        return self._states.get(key)

    def action_for(self, key: int, now_us: int, can_query: bool) -> KeyAction:
        """What to do with a request; ``can_query``: the node of an uncertain attempt can answer a query."""
        match self.lookup(key, now_us):
            case None:
                return KeyAction.START
            case ActiveKeyState():
                return KeyAction.JOIN
            case _:
                return KeyAction.QUERY_NODE if can_query else KeyAction.FAIL

    def mark_active(self, key: int, uid: int) -> None:
        """The task of a key is open or running under an id."""
        self._uncertain_keys.pop(key, None)
        self._states[key] = ActiveKeyState(uid)

    def mark_uncertain(self, key: int, machine: int, uid: int, now_us: int) -> None:
        """An attempt may have run and is not tracked any more; evicts the oldest keys beyond the bound."""
        self.discard(key)
        self._states[key] = UncertainKeyState(machine, uid, now_us)
        self._uncertain_keys[key] = None
        while len(self._uncertain_keys) > self.max_uncertain:
            self.discard(next(iter(self._uncertain_keys)))
            self.evicted_count += 1

    def discard(self, key: int) -> None:
        """The task of a key has ended, and its client was notified."""
        self._states.pop(key, None)
        self._uncertain_keys.pop(key, None)

    def discard_if_active_as(self, key: int, uid: int) -> None:
        """Discard a key unless its task is known under another id by now."""
        state = self._states.get(key)
        if state is not None and state.uid == uid:
            self.discard(key)


class Resolution(enum.Enum):
    """What a node's answer means for an uncertain attempt. The values name log parameters."""

    NEVER_RAN = "never ran"
    RUNNING = "runs"
    ENDED = "ran"
    PENDING = "wait for its end"
    UNRESOLVED = "still in doubt"


def resolve_status(status: int, trusted: bool) -> Resolution:
    """The meaning of a status number; NEVER_RAN only from a trusted node, whose answers proved right so far."""
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
            return Resolution.UNRESOLVED  # the node evicted the key, or the status is of a newer generation
