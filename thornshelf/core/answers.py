"""Sends the one final answer of each request, and a release when its running task ends."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.core.task import TaskRecord, TaskState
from thornshelf.core.task_release import Release
from thornshelf.translation.failures import FailureCause

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts


class Answers:
    """Sends answers and counts them.

    ``open_count`` is the number of requests without a final answer; a task with two subscribers counts twice.
    """

    def __init__(self, core: DispatcherParts) -> None:
        self._core = core
        self.open_count = 0
        self.counters = {"taken": 0, "answered": 0, "refused": 0, "failed": 0, "released": 0, "given_up": 0}

    def reject(
        self, task: TaskRecord, retry_after_us: int | None, detail: FailureCause | None = None
    ) -> None:
        """Answer an open task's requests that they were rejected and nothing ran; do nothing if it is not open."""
        if task.state is TaskState.OPEN:
            self.close(task)
            for uid, client in task.each_subscriber():
                self._record_answer(task, uid, client, "refused", detail)
                client.send_rejected(uid, retry_after_us, detail)
            self._core.discard(task)

    def fail(self, task: TaskRecord, detail: FailureCause | None = None) -> None:
        """Answer an open task's requests that they failed and the task may have run; do nothing if it is not open."""
        if task.state is TaskState.OPEN:
            self.close(task)
            for uid, client in task.each_subscriber():
                self._record_answer(task, uid, client, "failed", detail)
                client.send_failed(uid, detail)
            self._core.discard(task)

    def send_running(
        self, task: TaskRecord, subscribers: Mapping[int, ClientConnection], metadata: AnswerMetadata | None
    ) -> None:
        """Tell these subscribers that the task runs."""
        task.cancel_deadline()
        for uid, client in subscribers.items():
            self.open_count -= 1
            self._core.releases.request_answered(client, uid)
            if client.is_connected:
                self.counters["answered"] += 1
                self._core.record_event(task, uid, "answered", task.machine)
                client.send_running(uid, task.node_description or b"", metadata)
                self._core.releases.task_placed(client, task.request.tenant)

    def close(self, task: TaskRecord) -> None:
        """Mark a task as answered and take it off the queue; its requests are no longer open."""
        task.state = TaskState.ANSWERED
        task.cancel_deadline()
        if task.queue_ticket is not None:
            self._core.queue.remove(task.queue_ticket)
            task.queue_ticket = None
        for uid, client in task.subscribers.items():
            self.open_count -= 1
            self._core.releases.request_answered(client, uid)

    def unsubscribe(self, task: TaskRecord, uid: int) -> None:
        """Remove one of several subscribers of a task without an answer."""
        client = task.subscribers.pop(uid)
        self._core.releases.request_answered(client, uid)
        if task.state is TaskState.OPEN:
            self.open_count -= 1
            self.counters["given_up"] += 1
        self._core.tasks.unindex(task, uid)

    def send_release(self, client: ClientConnection, release: Release) -> None:
        """Notify a client, or its owner's other connections if it is disconnected, that a running task has ended."""
        self.counters["released"] += 1
        self._core.releases.notify(client, release)

    def _record_answer(
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
            translator.count_untranslated_cause(client.wire_format, detail)
