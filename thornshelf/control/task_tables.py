"""The tables of tasks and of attempts in flight, which are read page by page."""

from __future__ import annotations

from collections.abc import Sequence

from thornshelf.control.node_table import node_name
from thornshelf.control.shown_names import state_name
from thornshelf.control.tables import INTEGER, REAL, TEXT, Table, Value, declare_columns, to_milliseconds
from thornshelf.core import Dispatcher
from thornshelf.core.task import TaskRecord, TaskState
from thornshelf.translation.failures import FailureCause

_TASK_COLUMNS = (
    ("uid", TEXT, "id of the request, 16 hex digits"),
    ("key", TEXT, "idempotency key, 16 hex digits"),
    ("class", TEXT, "task class, as in the settings"),
    ("tenant", TEXT, "tenant, as in the settings"),
    ("service", TEXT, "service, 8 hex digits"),
    ("state", TEXT, "open, standing (running), ending (being cancelled) or answered"),
    ("node", TEXT, "where it runs, or where its attempt went"),
    ("age_ms", INTEGER, "time since the request arrived"),
    ("left_ms", INTEGER, "time until the client's deadline; null unless it is open"),
    ("standing_ms", INTEGER, "how long it has been running; null unless it runs"),
    ("attempts", INTEGER, "attempts made so far"),
    ("waiting", INTEGER, "1: it is queued for a placement decision"),
    ("holders", INTEGER, "number of ids under which clients wait for its answer or its end"),
    ("in_doubt", INTEGER, "1: its node is being queried whether it runs"),
    ("cores", REAL, "requested cores"),
    ("memory", REAL, "requested memory"),
    ("why", TEXT, "cause of its last failure"),
)
_ATTEMPT_COLUMNS = (
    ("uid", TEXT, "id of the task's request"),
    ("number", INTEGER, "number of the attempt, from 0"),
    ("node", TEXT, "the node it was sent to"),
    ("out_ms", INTEGER, "time since the placement decision"),
    ("left_ms", INTEGER, "time until its timeout"),
    ("never_twice", INTEGER, "1: a task of its class must not be started twice"),
    ("in_doubt", INTEGER, "1: the node is being queried about it"),
)


class TaskTables:
    """The tables ``tasks`` and ``attempts``."""

    def __init__(self, core: Dispatcher) -> None:
        self._core = core
        self._task_pages = core.page_tasks()

    def tasks(self) -> Table:
        """Returns the declaration of the table of tasks."""
        return Table(
            "tasks",
            "Tasks that this dispatcher knows now: open, running, or answered with an attempt still in flight.",
            declare_columns(*_TASK_COLUMNS),
            self._page_numbers,
            self._task_row,
            self._page_tasks,
        )

    def attempts(self) -> Table:
        """Returns the declaration of the table of attempts in flight."""
        return Table(
            "attempts",
            "Attempts in flight: sent, or about to be, and not answered.",
            declare_columns(*_ATTEMPT_COLUMNS),
            self._page_numbers,
            self._attempt_row,
            self._page_tasks,
        )

    def _page_numbers(self) -> Sequence[int]:
        return list(self._task_pages.pages)

    def _page_tasks(self, page: int) -> Sequence[TaskRecord]:
        return list(self._task_pages.pages.get(page, {}).values())

    def _task_row(self, task: TaskRecord) -> Sequence[Value] | None:
        if self._core.find_by_number(task.number) is not task:
            return None
        now_us = self._core.loop.now
        request = task.request
        machine = task.attempt.machine if task.attempt is not None else task.machine
        is_open = task.state is TaskState.OPEN
        is_running = task.state in (TaskState.RUNNING, TaskState.CANCELLING)
        return (
            f"{request.uid:016x}",
            f"{request.idempotency_key:016x}",
            request.task_class,
            request.tenant,
            f"{request.service:08x}",
            state_name(task.state),
            node_name(self._core, machine),
            to_milliseconds(now_us - task.created_us),
            to_milliseconds(request.deadline_us - now_us) if is_open else None,
            to_milliseconds(now_us - task.running_since_us) if is_running else None,
            task.attempt_count,
            int(task.queue_ticket is not None),
            len(task.subscribers),
            int(task.uncertain is not None),
            request.cores,
            request.memory,
            _failure_text(task.last_failure),
        )

    def _attempt_row(self, task: TaskRecord) -> Sequence[Value] | None:
        attempt = task.attempt
        if attempt is None:
            return None
        now_us = self._core.loop.now
        return (
            f"{task.request.uid:016x}",
            attempt.number,
            node_name(self._core, attempt.machine),
            to_milliseconds(now_us - attempt.sent_us),
            to_milliseconds(attempt.deadline_us - now_us),
            int(attempt.at_most_once),
            int(task.uncertain is not None),
        )


def _failure_text(cause: FailureCause | None) -> str:
    return "" if cause is None else f"{state_name(cause.reason)} {cause.text}".strip()
