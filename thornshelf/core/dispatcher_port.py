"""What the idempotency table and its status queries need of the dispatcher that has them."""

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
    """The part of a dispatcher that is used here."""

    loop: Loop
    endpoints: EndpointRegistry
    task_classes: dict[str, TaskClass]
    counters: dict[str, int]
    inbox: deque[Any]

    @property
    def log(self) -> LogFunction:
        """Write one log line."""

    def find_task(self, uid: int) -> TaskRecord | None:
        """A task by any id under which it is known."""

    def running_at(self, machine: int) -> Iterator[int]:
        """The ids, as the node knows them, of the tasks that run on a node."""

    def enqueue(self, task: TaskRecord) -> None:
        """Let the decision module place a task."""

    def reject(self, task: TaskRecord, retry_after_us: int | None, cause: FailureCause | None = None) -> None:
        """Send the final answer that nothing of the task ran."""

    def fail(self, task: TaskRecord, cause: FailureCause | None = None) -> None:
        """Send the final answer that the task may have run."""

    def discard(self, task: TaskRecord) -> None:
        """Discard a task that is over."""

    def merge(self, task: TaskRecord, known: TaskRecord) -> None:
        """Make the subscriber of a request one of a task that is served already."""

    def unsubscribe(self, task: TaskRecord, uid: int) -> None:
        """Remove one of several subscribers of a task."""

    def send_running(
        self, task: TaskRecord, subscribers: Mapping[int, ClientConnection], metadata: AnswerMetadata | None
    ) -> None:
        """Send the final answer that the task runs."""

    def adopt_found(self, task: TaskRecord, machine: int, node_uid: int, description: bytes) -> None:
        """Adopt a task that is found to run already, under another id."""

    def report_outcome(
        self, task: TaskRecord, attempt: Attempt, outcome: Outcome, reason: Reason = Reason.UNSPECIFIED
    ) -> None:
        """Report the end of an attempt to the decision module."""
