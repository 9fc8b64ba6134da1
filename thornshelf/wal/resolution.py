"""The resolution of a task by everything that is known of it, where the sources contradict each other.

The order of trust is

1. a node's own answer about an idempotency key, unless its process started after the attempt: a new process knows
   nothing of earlier runs, so its "never ran" proves nothing, and what the old process ran ended with it;
2. a client that asks to adopt a task and names its node, because it has received the node's description;
3. the write-ahead log;
4. the endpoint list: what ran on a node that is no longer listed is over.

A task that may have run is never started again on the evidence of 3 or 4 alone.
"""

from __future__ import annotations

import enum

from thornshelf.wal.recovered_state import RecoveredTask, TaskStatus


class NodeAnswer(enum.Enum):
    """A node's answer about an idempotency key."""

    NEVER_RAN = "never ran"
    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


class Resolution(enum.Enum):
    """What becomes of an uncertain task, or of a request with its key."""

    START = "start"  # it never ran, and may be started
    ADOPT = "adopt"  # it runs on the node
    ENDED = "ended"  # it ran, and its end is to be reported
    UNCERTAIN = "uncertain"  # it may have run, and must not be started


def resolve(
    task: RecoveredTask | None,
    answer: NodeAnswer | None,
    node_started_us: int,
    named_node: str | None = None,
) -> Resolution:
    """Resolve a task in the order of trust.

    ``task`` is what the log says and ``answer`` the node's answer, None where it was not queried.
    ``node_started_us`` is when the node's present process started (wall-clock time; 0 if long ago), and
    ``named_node`` the node on which a client says that the task runs.
    """
    since_us = task.since_us if task is not None else 0
    process_replaced = node_started_us > since_us > 0
    if answer is NodeAnswer.RUNNING:
        return Resolution.ADOPT
    if answer is NodeAnswer.ENDED:
        return Resolution.ENDED
    if answer is NodeAnswer.NEVER_RAN and not process_replaced:
        return Resolution.START
    if named_node:
        return Resolution.ADOPT
    return _resolve_by_log(task, process_replaced)


def _resolve_by_log(task: RecoveredTask | None, process_replaced: bool) -> Resolution:
    if task is None or task.status in (TaskStatus.FREE, TaskStatus.ENDED, TaskStatus.RELEASE_PENDING):
        return Resolution.START
    if task.status is TaskStatus.UNCERTAIN:
        return Resolution.UNCERTAIN
    # The task was running: it ended with the process that ran it, if that process has been replaced.
    return Resolution.ENDED if process_replaced else Resolution.ADOPT
