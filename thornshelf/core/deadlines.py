"""Deadlines of requests: how far off they may be, and the answer where the decision module gave none by then."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thornshelf.core.messages import TaskRequest
from thornshelf.core.task import TaskRecord, TaskState
from thornshelf.placement import Settings

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts

MAX_CLASS_DEADLINES = 2  # a request waits for no longer than this many times its class's own deadline
DEFAULT_SHORTEST_DEADLINE_S = 1.0  # where the settings name no class


def shortest_deadline_us(settings: Settings) -> float:
    """The shortest deadline of all task classes, in microseconds."""
    shortest_s = min((one.deadline_s for one in settings.classes), default=DEFAULT_SHORTEST_DEADLINE_S)
    return shortest_s * 1e6


class Deadlines:
    """Limits the deadline of each request, and sees to it that it is answered by then."""

    def __init__(self, core: DispatcherParts) -> None:
        self._core = core

    def limit(self, request: TaskRequest) -> None:
        """Bring a request's deadline within bounds, so that what is kept for its task is freed again."""
        longest_s = MAX_CLASS_DEADLINES * self._core.task_classes[request.task_class].deadline_s
        latest_us = self._core.loop.now + int(longest_s * 1e6)
        request.deadline_us = min(request.deadline_us, latest_us)

    def arm(self, task: TaskRecord) -> None:
        """Fail a task at its deadline, should it still be open then."""
        self._core.loop.at(task.request.deadline_us, lambda: self._exceeded(task))

    def _exceeded(self, task: TaskRecord) -> None:
        if task.state is not TaskState.OPEN:
            return
        core = self._core
        values: dict[str, object] = {"uid": f"{task.request.uid:016x}"}
        core.log(3, "deadline-exceeded", values, "the decision module gave no answer; the task is failed")
        for uid, client in task.each_subscriber():
            core.record_event(task, uid, "failed", 0, "no answer came in its time")
            client.send_failed(uid, task.last_failure)
        core.requests.abandon(task, "failed")
