"""Protocols through which the parts of the dispatcher use each other.

Each part owns one kind of state and reaches the others through the dispatcher. The protocols declare the members
that are used, so that no part has to import the dispatcher, which imports all of them. Only type checkers load this
module.
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
from thornshelf.core.task_release import Release
from thornshelf.core.task_table import TaskTable
from thornshelf.core.withdrawn_ids import WithdrawnIds
from thornshelf.loop import Loop
from thornshelf.placement import Outcome, Settings, TaskClass
from thornshelf.translation.failures import FailureCause, FailureReason
from thornshelf.translation.translator import Translator


class AnswersPart(Protocol):
    """Sends final answers and counts them; implemented by ``thornshelf.core.answers.Answers``."""

    counters: dict[str, int]
    open_count: int

    def reject(
        self, task: TaskRecord, retry_after_us: int | None, detail: FailureCause | None = None
    ) -> None:
        """Answer that the request was rejected and nothing of the task ran."""

    def fail(self, task: TaskRecord, detail: FailureCause | None = None) -> None:
        """Answer that the request failed and the task may have run."""

    def send_running(
        self, task: TaskRecord, subscribers: Mapping[int, ClientConnection], metadata: AnswerMetadata | None
    ) -> None:
        """Tell these subscribers that the task runs."""

    def close(self, task: TaskRecord) -> None:
        """Mark a task as answered and take it off the queue."""

    def unsubscribe(self, task: TaskRecord, uid: int) -> None:
        """Remove one of several subscribers of a task."""

    def send_release(self, client: ClientConnection, release: Release) -> None:
        """Notify a client that a running task is over."""


class AttemptsPart(Protocol):
    """Manages attempts in flight; implemented by ``thornshelf.core.attempts.Attempts``."""

    ended: deque[TaskFinished | AttemptTimedOut]
    withdrawn_ids: WithdrawnIds

    def start(self, action: api.StartAttempt) -> None:
        """Send an attempt to a node."""

    def cancel(self, action: api.CancelAttempt) -> None:
        """Withdraw an attempt on request of the decision module."""

    def withdraw(self, task: TaskRecord, attempt: Attempt, outcome: Outcome) -> None:
        """Withdraw an attempt in flight and report its outcome."""


class DeadlinesPart(Protocol):
    """Enforces request deadlines; implemented by ``thornshelf.core.deadlines.Deadlines``."""

    def limit(self, request: TaskRequest) -> None:
        """Shorten a deadline that is too far in the future."""

    def arm(self, task: TaskRecord) -> None:
        """Set a timer that fails a task at its deadline."""


class RequestsPart(Protocol):
    """Handles client requests; implemented by ``thornshelf.core.requests.Requests``."""

    def abandon(self, task: TaskRecord, counter: str = "given_up") -> None:
        """Close an open task without sending an answer."""


class RunningTasksPart(Protocol):
    """Follows running tasks; implemented by ``thornshelf.core.running_tasks.RunningTasks``."""

    def can_adopt(self, request: TaskRequest) -> bool:
        """Return whether another task may be handed over by the client of a request."""

    def adopt(self, task: TaskRecord, node_name: str) -> None:
        """Take over a task that already runs on the named node."""

    def mark_running(
        self, task: TaskRecord, machine: int, description: bytes, metadata: AnswerMetadata | None
    ) -> None:
        """Mark a task as running and tell all its subscribers."""

    def cancel(self, task: TaskRecord) -> None:
        """End a running task on its node."""

    def migrate(self, action: api.Migrate) -> None:
        """Stop a running task on request of the decision module, to be requested again."""


class SchedulerPart(Protocol):
    """Queues requests to be placed; implemented by ``thornshelf.core.scheduler.RequestScheduler``."""

    def enqueue(self, task: TaskRecord) -> None:
        """Queue a task to be placed."""

    def placement_request(self, task: TaskRecord) -> api.PlacementRequest:
        """Return the task's request as an event for the decision module."""

    def retry_after_us(self, task: TaskRecord, wait_us: int | None, reason: FailureReason) -> int | None:
        """Return the Retry-After of a rejection in microseconds, or None."""

    def rejection_detail(self, task: TaskRecord) -> FailureCause | None:
        """Return why a task is rejected, or None."""


class DispatcherParts(Protocol):
    """The dispatcher members that its parts use."""

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
        """The number of requests that have no final answer yet."""

    @property
    def queue(self) -> RequestQueue[TaskRecord]:
        """The requests that wait to be placed."""

    @property
    def answers(self) -> AnswersPart:
        """Sends final answers."""

    @property
    def attempts(self) -> AttemptsPart:
        """Manages attempts in flight."""

    @property
    def deadlines(self) -> DeadlinesPart:
        """Enforces request deadlines."""

    @property
    def requests(self) -> RequestsPart:
        """Handles client requests."""

    @property
    def running_tasks(self) -> RunningTasksPart:
        """Follows running tasks."""

    @property
    def scheduler(self) -> SchedulerPart:
        """Queues requests to be placed."""

    def apply_decisions(self) -> None:
        """Pass the pending events to the decision module and carry out the actions that it returns."""

    def discard(self, task: TaskRecord) -> None:
        """Forget a task that is answered, does not run and has no attempt in flight."""

    def record_event(self, task: TaskRecord, uid: int, event: str, machine: int = 0, *detail: object) -> None:
        """Record an event of a task if a history is configured."""
