"""The protocol through which the idempotency table and its status queries use the dispatcher."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from typing import Any, Protocol

from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.core.endpoint_registry import EndpointRegistry
from thornshelf.core.messages import Attempt
from thornshelf.core.ports import LogFunction
from thornshelf.core.task import TaskRecord
from thornshelf.loop import Loop
from thornshelf.placement import Outcome, Reason, TaskClass
from thornshelf.translation.failures import FailureCause


class DispatcherPort(Protocol):
    """The dispatcher members that the idempotency table and status queries use."""

    loop: Loop
    endpoints: EndpointRegistry
    task_classes: dict[str, TaskClass]
    counters: dict[str, int]
    inbox: deque[Any]

    @property
    def log(self) -> LogFunction:
        """Write one log line."""

    def find_task(self, uid: int) -> TaskRecord | None:
        """Return the task with this id, or None."""

    def running_at(self, machine: int) -> Iterator[int]:
        """Yield the ids, as the node knows them, of the tasks that run on a node."""

    def enqueue(self, task: TaskRecord) -> None:
        """Queue a task to be placed."""

    def reject(self, task: TaskRecord, retry_after_us: int | None, cause: FailureCause | None = None) -> None:
        """Send the final answer that the request was rejected and nothing of the task ran."""

    def fail(self, task: TaskRecord, cause: FailureCause | None = None) -> None:
        """Send the final answer that the request failed and the task may have run."""

    def discard(self, task: TaskRecord) -> None:
        """Forget a task that is answered, does not run and has no attempt in flight."""

    def merge(self, task: TaskRecord, known: TaskRecord) -> None:
        """Move the subscribers of one task record to another one."""

    def unsubscribe(self, task: TaskRecord, uid: int) -> None:
        """Remove one of several subscribers of a task."""

    def send_running(
        self, task: TaskRecord, subscribers: Mapping[int, ClientConnection], metadata: AnswerMetadata | None
    ) -> None:
        """Send the final answer that the task runs."""

    def adopt_already_running(
        self, task: TaskRecord, machine: int, node_uid: int, description: bytes
    ) -> None:
        """Answer a request whose task already runs under another id, and follow that task."""

    def report_outcome(
        self, task: TaskRecord, attempt: Attempt, outcome: Outcome, reason: Reason = Reason.UNSPECIFIED
    ) -> None:
        """Report how an attempt ended to the decision module, peers and the history."""
