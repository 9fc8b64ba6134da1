"""Resolves whether a task runs, ended or may be started, from sources that may contradict each other.

In decreasing order of trust, the sources are

1. a node's own answer about an idempotency key. "Never ran" counts only if the node's process is older than the
   attempt, because a new process knows nothing of earlier runs, and what the old process ran ended with it;
2. a client that requests the adoption of a task and names its node, because it has received the node's description;
3. the write-ahead log;
4. the endpoint list: a task ended with the process that ran it, and on a node that is no longer listed.

A task that may have run is never started again because of sources 3 and 4 alone.
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
    """What to do about an uncertain task, or a request with its key."""

    START = "start"  # it did not run, and may be started
    ADOPT = "adopt"  # it runs on the node
    ENDED = "ended"  # it ran, and its end is to be reported
    UNCERTAIN = "uncertain"  # it may have run, and must not be started


def resolve(
    task: RecoveredTask | None,
    answer: NodeAnswer | None,
    node_started_us: int,
    named_node: str | None = None,
) -> Resolution:
    """Resolve a task in the order of trust above.

    ``task`` is the task in the log, and ``answer`` the node's answer; None if there is none. ``node_started_us`` is
    when the node's current process started (wall-clock time; 0 if long ago), and ``named_node`` the node on which the
    task runs according to a client.
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
    # The task was running, and ended with its process if the node has a new one.
    return Resolution.ENDED if process_replaced else Resolution.ADOPT
