"""What the parts of the dispatcher use of each other.

Each part owns one kind of state and reaches the others through the dispatcher. These protocols name what is used, so
that no part has to import the dispatcher, which imports them all. Only type checkers load this module.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any, Protocol

from thornshelf import placement as api
from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.core.endpoint_registry import EndpointRegistry
from thornshelf.core.idempotency import IdempotencyTable
from thornshelf.core.messages import Attempt, TaskFinished, TaskRequest
from thornshelf.core.placement_driver import PlacementDriver
from thornshelf.core.ports import Gossip, LogFunction, RequestQueue
from thornshelf.core.releases import ReleaseNotifier
from thornshelf.core.task import AttemptTimedOut, TaskRecord
from thornshelf.core.task_table import TaskTable
from thornshelf.loop import Loop
from thornshelf.placement import Outcome, Reason, Settings, TaskClass
from thornshelf.translation.failures import FailureCause, FailureReason
from thornshelf.translation.translator import Translator


class AnswersPart(Protocol):
    """Answers requests, and counts the answers: ``thornshelf.core.answers.Answers``."""

    counters: dict[str, int]
    open_count: int

    def reject(
        self, task: TaskRecord, retry_after_us: int | None, detail: FailureCause | None = None
    ) -> None:
        """Answer that the task was rejected: nothing of it ran."""

    def fail(self, task: TaskRecord, detail: FailureCause | None = None) -> None:
        """Answer that the task failed: it may have run."""

    def send_running(
        self, task: TaskRecord, subscribers: Mapping[int, ClientConnection], metadata: AnswerMetadata | None
    ) -> None:
        """Answer these subscribers of a task that it runs."""

    def close(self, task: TaskRecord) -> None:
        """Mark a task as answered."""

    def unsubscribe(self, task: TaskRecord, uid: int) -> None:
        """Remove one of several subscribers of a task."""

    def send_release(
        self,
        client: ClientConnection,
        uid: int,
        outcome: Outcome,
        reason: Reason,
        detail: FailureCause | None,
    ) -> None:
        """Notify a client that a running task is over."""


class AttemptsPart(Protocol):
    """The attempts in flight: ``thornshelf.core.attempts.Attempts``."""

    ended: deque[TaskFinished | AttemptTimedOut]

    def start(self, action: api.StartAttempt) -> None:
        """Send a task to a node."""

    def cancel(self, action: api.CancelAttempt) -> None:
        """Withdraw an attempt, as the decision module asks."""

    def withdraw(self, task: TaskRecord, attempt: Attempt, outcome: Outcome) -> None:
        """Stop waiting for an attempt."""


class DeadlinesPart(Protocol):
    """The deadlines of requests: ``thornshelf.core.deadlines.Deadlines``."""

    def limit(self, request: TaskRequest) -> None:
        """Shorten a deadline that lies too far ahead."""

    def arm(self, task: TaskRecord) -> None:
        """Set the timer of a task's deadline."""


class RequestsPart(Protocol):
    """The requests of clients: ``thornshelf.core.requests.Requests``."""

    def abandon(self, task: TaskRecord, counter: str = "given_up") -> None:
        """Close a task that no client waits for any more."""


class RunningTasksPart(Protocol):
    """The tasks that run: ``thornshelf.core.running_tasks.RunningTasks``."""

    def adopt(self, task: TaskRecord, node_name: str) -> None:
        """Take over a task that runs on a node already."""

    def mark_running(
        self, task: TaskRecord, machine: int, description: bytes, metadata: AnswerMetadata | None
    ) -> None:
        """Answer all subscribers of a task that it runs."""

    def cancel(self, task: TaskRecord) -> None:
        """End a running task on its node."""

    def migrate(self, action: api.Migrate) -> None:
        """Stop a running task, as the decision module asks."""


class SchedulerPart(Protocol):
    """The requests that wait for the decision module: ``thornshelf.core.scheduler.RequestScheduler``."""

    def enqueue(self, task: TaskRecord) -> None:
        """Queue a task for the decision module."""

    def placement_request(self, task: TaskRecord) -> api.PlacementRequest:
        """The task's request, as the decision module takes it."""

    def retry_after_us(self, task: TaskRecord, wait_us: int | None, reason: FailureReason) -> int | None:
        """The Retry-After of a rejection."""

    def rejection_detail(self, task: TaskRecord) -> FailureCause | None:
        """Why a task is rejected."""


class DispatcherParts(Protocol):
    """The dispatcher, as its parts see it."""

    loop: Loop
    settings: Settings
    translator: Translator | None
    task_classes: dict[str, TaskClass]
    inbox: deque[Any]
    placement: PlacementDriver
    tasks: TaskTable
    releases: ReleaseNotifier
    endpoints: EndpointRegistry
    idempotency: IdempotencyTable | None
    gossip: Gossip | None

    @property
    def log(self) -> LogFunction:
        """Write one log line."""

    @property
    def open_count(self) -> int:
        """How many requests still wait for their answer."""

    @property
    def queue(self) -> RequestQueue[TaskRecord]:
        """The requests that wait for the decision module."""

    @property
    def answers(self) -> AnswersPart:
        """Answers to requests."""

    @property
    def attempts(self) -> AttemptsPart:
        """The attempts in flight."""

    @property
    def deadlines(self) -> DeadlinesPart:
        """The deadlines of requests."""

    @property
    def requests(self) -> RequestsPart:
        """The requests of clients."""

    @property
    def running_tasks(self) -> RunningTasksPart:
        """The tasks that run."""

    @property
    def scheduler(self) -> SchedulerPart:
        """The requests that wait for the decision module."""

    def apply_decisions(self) -> None:
        """Carry out what the decision module answers to the pending events."""

    def discard(self, task: TaskRecord) -> None:
        """Discard a task that is answered, and neither runs nor has an attempt in flight."""

    def record_event(self, task: TaskRecord, uid: int, event: str, machine: int = 0, *detail: object) -> None:
        """Record an event of a task, where a history is kept."""
