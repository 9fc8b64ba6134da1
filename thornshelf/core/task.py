"""The record of one task: its state, its attempt in flight and the clients that subscribe to it."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass

from thornshelf.core.client_connection import ClientConnection
from thornshelf.core.messages import Attempt, TaskRequest
from thornshelf.core.task_release import TaskOwner
from thornshelf.loop import Timer
from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause
from thornshelf.translation.uncertain_attempts import UncertainKeyState


class TaskState(enum.Enum):
    """The state of a task; an ANSWERED task may still have an attempt in flight."""

    OPEN = 0
    RUNNING = 1
    CANCELLING = 2  # being ended by its client or for a migration; no release is due
    ANSWERED = 3


class UncertainAttempt:
    """An attempt that may have run, with a pending query to its node.

    ``outcome`` and ``reason`` are reported to the decision module if no reply resolves the query. ``previous`` is set
    if the attempt was made for an earlier request with the same idempotency key.
    """

    __slots__ = ("machine", "outcome", "previous", "reason", "timer")

    def __init__(
        self, machine: int, outcome: Outcome, reason: Reason, previous: UncertainKeyState | None = None
    ) -> None:
        self.machine = machine
        self.outcome = outcome
        self.reason = reason
        self.previous = previous
        self.timer: Timer | None = None


@dataclass(frozen=True, slots=True)
class AttemptTimedOut:
    """An inbox item: an attempt got no answer in time."""

    task: TaskRecord
    attempt: Attempt


class TaskRecord:
    """One task of this dispatcher.

    ``number``: identifies the task to the decision module.
    ``subscribers``: the clients to notify, by task id; a deduplicated task may be requested under several ids.
    ``node_uid``: the id under which nodes know the task.
    ``attempt``: the attempt in flight; ``attempt_count``: the number of attempts made so far.
    ``machine``: the node where the task runs; ``indexed_machines``: all nodes under which the task table lists it.
    ``deduplicated``: whether its idempotency key is registered in the idempotency table.
    ``possibly_running_at``: the node of an attempt that may have run and is no longer followed.
    ``never_ran_at``: the node that replied that an attempt never ran.
    ``uncertain``: the uncertain attempt with a pending status query.
    ``node_description``: the node's answer, kept for clients that join a deduplicated task later.
    ``last_failure``: the last failure cause from a node.
    ``deadline_timer``: fails the task at its deadline, while it is open.
    ``adopted_for``: the owner that handed the task over; None for a task that was requested here.
    ``queue_ticket``: the ticket in the request queue while the task waits there.
    """

    __slots__ = (
        "adopted_for",
        "attempt",
        "attempt_count",
        "created_us",
        "deadline_timer",
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
        self.adopted_for: TaskOwner | None = None
        self.deadline_timer: Timer | None = None

    @property
    def has_connected_client(self) -> bool:
        """Whether any subscribed client is still connected."""
        return any(client.is_connected for client in self.subscribers.values())

    def is_awaited(self) -> bool:
        """Return whether any subscribed client still waits for the answer."""
        return any(client.awaits_answer(uid) for uid, client in self.subscribers.items())

    def each_subscriber(self) -> Iterator[tuple[int, ClientConnection]]:
        """Iterate over a snapshot of the subscribers as pairs of task id and client."""
        return iter(list(self.subscribers.items()))

    @property
    def uids(self) -> set[int]:
        """All ids under which the task is known."""
        return {self.node_uid, self.request.uid, *self.subscribers}

    def cancel_deadline(self) -> None:
        """Cancel the timer of the deadline, which holds the task until then, as the task is answered."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None

    def cancel_timer(self) -> None:
        """Cancel the timer of the attempt in flight or of a cancellation, if one is set."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
