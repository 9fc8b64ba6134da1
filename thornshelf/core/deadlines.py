"""Limits request deadlines, and fails requests that have no answer by their deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thornshelf.core.messages import TaskRequest
from thornshelf.core.task import TaskRecord, TaskState
from thornshelf.placement import Settings

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts

MAX_DEADLINE_FACTOR = 2  # the longest deadline of a request, as a multiple of its class's own
DEFAULT_SHORTEST_DEADLINE_S = 1.0  # used if the settings define no class


def shortest_deadline_us(settings: Settings) -> float:
    """Return the shortest deadline of all task classes, in microseconds."""
    shortest_s = min(
        (task_class.deadline_s for task_class in settings.classes), default=DEFAULT_SHORTEST_DEADLINE_S
    )
    return shortest_s * 1e6


class Deadlines:
    """Limits the deadline of each request, and fails requests that are still open at their deadline."""

    def __init__(self, core: DispatcherParts) -> None:
        self._core = core

    def limit(self, request: TaskRequest) -> None:
        """Shorten a deadline that is too far in the future, so that a task's state is freed in bounded time."""
        longest_s = MAX_DEADLINE_FACTOR * self._core.task_classes[request.task_class].deadline_s
        latest_us = self._core.loop.now + int(longest_s * 1e6)
        request.deadline_us = min(request.deadline_us, latest_us)

    def arm(self, task: TaskRecord) -> None:
        """Set a timer that fails a task if it is still open at its deadline."""
        deadline_us = task.request.deadline_us
        task.deadline_timer = self._core.loop.call_at(deadline_us, lambda: self._deadline_exceeded(task))

    def _deadline_exceeded(self, task: TaskRecord) -> None:
        if task.state is not TaskState.OPEN:
            return
        core = self._core
        values: dict[str, object] = {"uid": f"{task.request.uid:016x}"}
        core.log(
            3,
            "deadline-exceeded",
            values,
            "the decision module gave no answer by the deadline; the request failed",
        )
        for uid, client in task.each_subscriber():
            core.record_event(task, uid, "failed", 0, "no answer by the deadline")
            client.send_failed(uid, task.last_failure)
        core.requests.abandon(task, "failed")
