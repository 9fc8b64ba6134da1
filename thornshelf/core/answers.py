"""One final answer for each request, and the release that follows the end of its task."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.core.task import TaskRecord, TaskState
from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts


class Answers:
    """Answers requests, and counts those that are open and those that were answered.

    ``open_count``: requests that still wait for their answer, by id: a task with two subscribers counts twice.
    """

    def __init__(self, core: DispatcherParts) -> None:
        self._core = core
        self.open_count = 0
        self.counters = {"taken": 0, "answered": 0, "refused": 0, "failed": 0, "released": 0, "given_up": 0}

    def reject(
        self, task: TaskRecord, retry_after_us: int | None, detail: FailureCause | None = None
    ) -> None:
        """Answer that the task was rejected: nothing of it ran. A task that is not open is left alone."""
        if task.state is TaskState.OPEN:
            self.close(task)
            for uid, client in task.each_subscriber():
                self._count(task, uid, client, "refused", detail)
                client.send_rejected(uid, retry_after_us, detail)
            self._core.discard(task)

    def fail(self, task: TaskRecord, detail: FailureCause | None = None) -> None:
        """Answer that the task failed: it may have run. A task that is not open is left alone."""
        if task.state is TaskState.OPEN:
            self.close(task)
            for uid, client in task.each_subscriber():
                self._count(task, uid, client, "failed", detail)
                client.send_failed(uid, detail)
            self._core.discard(task)

    def send_running(
        self, task: TaskRecord, subscribers: Mapping[int, ClientConnection], metadata: AnswerMetadata | None
    ) -> None:
        """Answer these subscribers of a task that it runs."""
        for uid, client in subscribers.items():
            self.open_count -= 1
            self._core.releases.request_answered(client, uid)
            if client.is_connected:
                self.counters["answered"] += 1
                self._core.record_event(task, uid, "answered", task.machine)
                client.send_running(uid, task.node_description or b"", metadata)
                self._core.releases.task_placed(client)

    def close(self, task: TaskRecord) -> None:
        """Mark a task as answered: it is no longer open for its clients, nor in the queue."""
        task.state = TaskState.ANSWERED
        if task.queue_ticket is not None:
            self._core.queue.remove(task.queue_ticket)
            task.queue_ticket = None
        for uid, client in task.subscribers.items():
            self.open_count -= 1
            self._core.releases.request_answered(client, uid)

    def unsubscribe(self, task: TaskRecord, uid: int) -> None:
        """Remove one of several subscribers of a task, who gets no answer."""
        client = task.subscribers.pop(uid)
        self._core.releases.request_answered(client, uid)
        if task.state is TaskState.OPEN:
            self.open_count -= 1
            self.counters["given_up"] += 1
        self._core.tasks.unindex(task, uid)

    def send_release(
        self,
        client: ClientConnection,
        uid: int,
        outcome: Outcome,
        reason: Reason,
        detail: FailureCause | None,
    ) -> None:
        """Notify a client, or another that can be trusted with it, that a running task is over."""
        self.counters["released"] += 1
        self._core.releases.notify(client, uid, outcome, reason, detail)

    def _count(
        self,
        task: TaskRecord,
        uid: int,
        client: ClientConnection,
        counter: str,
        detail: FailureCause | None,
    ) -> None:
        self.counters[counter] += 1
        self._core.record_event(task, uid, counter, 0, "" if detail is None else detail.reason)
        translator = self._core.translator
        if translator is not None and detail is not None:
            translator.count_untranslated_cause(client.wire_form, detail)
