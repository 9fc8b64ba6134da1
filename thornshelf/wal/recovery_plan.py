"""The recovery plan: what a starting dispatcher does about each task in the write-ahead log.

It adopts running tasks, queries nodes about uncertain ones, sends pending releases, and ignores the rest.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from thornshelf.wal.entries import ReleasePending, TaskRunning
from thornshelf.wal.recovered_state import RecoveredState, RecoveredTask, TaskStatus

OUTCOME_RESET = 5  # Outcome.RESET of thornshelf.v2: the connection to the node broke
REASON_UNSPECIFIED = 0  # Reason.UNTOLD of thornshelf.v2


@dataclass(frozen=True, slots=True)
class AdoptTask:
    """Adopt a running task, and watch for its end."""

    running: TaskRunning


@dataclass(frozen=True, slots=True)
class QueryNode:
    """Query a node about an idempotency key; no request with that key is started before it replies."""

    key: int
    uid: int
    node: str


@dataclass(frozen=True, slots=True)
class BlockKey:
    """Reject requests with a key until ``until_us`` (wall-clock time), because no node can be queried about it."""

    key: int
    uid: int
    until_us: int


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Notify the client of the end of its task."""

    pending_release: ReleasePending


RecoveryStep = AdoptTask | QueryNode | BlockKey | SendRelease


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The endpoint list at start-up, by node name.

    ``listed``: all nodes; ``queryable``: those that answer status queries; ``started_us``: when the process of a node
    started (wall-clock microseconds; 0 or absent if that is long ago).
    """

    listed: frozenset[str]
    queryable: frozenset[str] = frozenset()
    started_us: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """How a task ended, in the numbers of thornshelf.v2."""

    outcome: int
    reason: int


NODE_LOST = TaskEnd(OUTCOME_RESET, REASON_UNSPECIFIED)


def plan_recovery(
    state: RecoveredState,
    endpoints: EndpointSnapshot,
    now_us: int,
    retention_us: int,
    lost_end: TaskEnd = NODE_LOST,
) -> list[RecoveryStep]:
    """Returns the steps of the recovery; releases come first, because they are due within a second.

    ``now_us`` is wall-clock time, ``retention_us`` how long an uncertain task blocks its key, and ``lost_end`` the
    end that is reported of a running task whose node was removed or restarted.
    """
    releases: list[RecoveryStep] = []
    others: list[RecoveryStep] = []
    for task in state.by_uid.values():
        step = _plan_task(task, endpoints, now_us, retention_us, lost_end)
        if isinstance(step, SendRelease):
            releases.append(step)
        elif step is not None:
            others.append(step)
    return releases + others


def _plan_task(
    task: RecoveredTask, endpoints: EndpointSnapshot, now_us: int, retention_us: int, lost_end: TaskEnd
) -> RecoveryStep | None:
    since_us = min(task.since_us, now_us)  # an entry appears to be from the future if a clock stepped back
    is_lost = task.node not in endpoints.listed or endpoints.started_us.get(task.node, 0) > since_us
    match task.status:
        case TaskStatus.RELEASE_PENDING if task.pending_release is not None:
            return SendRelease(task.pending_release)
        case TaskStatus.RUNNING if task.running is not None:
            if not is_lost:
                return AdoptTask(task.running)
            peer = task.running.peer
            return SendRelease(ReleasePending(task.uid, peer, lost_end.outcome, lost_end.reason, now_us))
        case TaskStatus.UNCERTAIN:
            if not is_lost and task.node in endpoints.queryable:
                return QueryNode(task.key, task.uid, task.node)
            if now_us - since_us < retention_us:
                return BlockKey(task.key, task.uid, since_us + retention_us)
    return None
