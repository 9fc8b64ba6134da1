"""The record of one task: its state, its attempt, and the clients that subscribe to it."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass

from thornshelf.core.client_connection import ClientConnection
from thornshelf.core.messages import Attempt, TaskRequest
from thornshelf.loop import Timer
from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause
from thornshelf.translation.uncertain_attempts import UncertainKey


class TaskState(enum.Enum):
    """The state of a task; one that is ANSWERED may still have an attempt in flight."""

    OPEN = 0
    RUNNING = 1
    CANCELLING = 2  # ended by its client or to be migrated: no release is due
    ANSWERED = 3


class UncertainAttempt:
    """An attempt whose node is being asked, by the task's idempotency key, whether it ran.

    ``outcome`` and ``reason`` are reported to the decision module where no reply settles it; ``previous`` is the
    uncertain attempt that an earlier id left behind, where it is not this task's own.
    """

    __slots__ = ("machine", "outcome", "previous", "reason", "timer")

    def __init__(
        self, machine: int, outcome: Outcome, reason: Reason, previous: UncertainKey | None = None
    ) -> None:
        self.machine = machine
        self.outcome = outcome
        self.reason = reason
        self.previous = previous
        self.timer: Timer | None = None


@dataclass(frozen=True, slots=True)
class AttemptTimedOut:
    """An inbox item: an attempt has had no answer within its time."""

    task: TaskRecord
    attempt: Attempt


class TaskRecord:
    """One task of this dispatcher.

    ``number``: the decision module's name for the task.
    ``subscribers``: the clients that are notified of it, each under an id of its own: more than one where a task that
    must not be started twice was requested again under another id. Nodes know the task by ``node_uid``.
    ``attempt``: the one in flight; ``attempt_count``: attempts made so far.
    ``machine``: the node where the task runs; ``indexed_machines``: all nodes by which the task table finds it.
    ``deduplicated``: its idempotency key is in the table of tasks that must not be started twice.
    ``possibly_running_at``: the node of an attempt that may have run, and is not followed any more.
    ``never_ran_at``: the node that replied about an attempt that it never ran.
    ``uncertain``: the attempt whose node is being asked.
    ``node_description``: kept for clients that join later, where the task is deduplicated.
    ``last_failure``: the last cause that a node gave.
    ``queue_ticket``: the task's place in the request queue, while it waits there.
    """

    __slots__ = (
        "attempt",
        "attempt_count",
        "created_us",
        "deduplicated",
        "indexed_machines",
        "last_failure",
        "machine",
        "never_ran_at",
        "node_description",
        "node_uid",
        "number",
        "possibly_running_at",
        "queue_ticket",
        "request",
        "running_since_us",
        "state",
        "subscribers",
        "timer",
        "uncertain",
    )

    def __init__(self, request: TaskRequest, number: int, created_us: int = 0) -> None:
        self.request = request
        self.number = number
        self.created_us = created_us
        self.subscribers: dict[int, ClientConnection] = {request.uid: request.client}
        self.node_uid = request.uid
        self.state = TaskState.OPEN
        self.attempt: Attempt | None = None
        self.attempt_count = 0
        self.machine = 0
        self.indexed_machines: set[int] = set()
        self.running_since_us = 0
        self.timer: Timer | None = None
        self.deduplicated = False
        self.possibly_running_at: int | None = None
        self.never_ran_at: int | None = None
        self.uncertain: UncertainAttempt | None = None
        self.node_description: bytes | None = None
        self.last_failure: FailureCause | None = None
        self.queue_ticket: int | None = None

    @property
    def has_connected_client(self) -> bool:
        """Whether any subscribed client is still connected."""
        return any(client.is_connected for client in self.subscribers.values())

    def is_awaited(self) -> bool:
        """Whether any subscribed client still waits for the answer."""
        return any(client.awaits_answer(uid) for uid, client in self.subscribers.items())

    def each_subscriber(self) -> Iterator[tuple[int, ClientConnection]]:
        """The subscribers of this moment, each with its id."""
        return iter(list(self.subscribers.items()))

    @property
    def uids(self) -> set[int]:
        """All ids under which the task is known."""
        return {self.node_uid, self.request.uid, *self.subscribers}

    def cancel_timer(self) -> None:
        """Cancel the timer of the attempt in flight, or of a cancellation, where one is set."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
