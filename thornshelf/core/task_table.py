"""Indexes the tasks of one dispatcher by id, by number and by node."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from thornshelf.core.messages import TaskRequest
from thornshelf.core.task import TaskRecord, TaskState


class TaskPages(dict[int, TaskRecord]):
    """Tasks by number, also grouped into pages of consecutive numbers.

    Readers take one page at a time, because listing 100,000 tasks at once would block a turn for 6 to 9 ms.
    """

    PAGE_BITS = 9  # 512 numbers per page

    def __init__(self, tasks: Mapping[int, TaskRecord]) -> None:
        super().__init__()
        self.pages: dict[int, dict[int, TaskRecord]] = {}
        for number, task in tasks.items():
            self[number] = task

    def __setitem__(self, number: int, task: TaskRecord) -> None:
        super().__setitem__(number, task)
        self.pages.setdefault(number >> self.PAGE_BITS, {})[number] = task

    def __delitem__(self, number: int) -> None:
        super().__delitem__(number)
        page = self.pages[number >> self.PAGE_BITS]
        del page[number]
        if not page:
            del self.pages[number >> self.PAGE_BITS]


class TaskTable:
    """All known tasks.

    ``by_uid`` has each task under all its ids, ``by_number`` under its decision module number, and ``by_machine``
    lists, by node and number, the tasks that were sent to a node or run on it.
    """

    def __init__(self) -> None:
        self.by_uid: dict[int, TaskRecord] = {}
        self.by_number: dict[int, TaskRecord] = {}
        self.by_machine: dict[int, dict[int, TaskRecord]] = {}
        self._last_number = 0

    def create(self, request: TaskRequest, now_us: int) -> TaskRecord:
        """Create the record of a task under the next number; call ``index`` to make it findable by its ids."""
        self._last_number += 1
        task = TaskRecord(request, self._last_number, now_us)
        self.by_number[task.number] = task
        return task

    def index(self, task: TaskRecord, *uids: int) -> None:
        """Make a task findable by these ids."""
        for uid in uids:
            self.by_uid[uid] = task

    def index_machine(self, task: TaskRecord, machine: int) -> None:
        """List a task under a node until the task is removed.

        The index avoids a scan of all tasks for each node that starts, drains or is removed; hundreds may do so at
        once.
        """
        task.indexed_machines.add(machine)
        self.by_machine.setdefault(machine, {})[task.number] = task

    def at_machine(self, machine: int) -> list[TaskRecord]:
        """Return the tasks that were sent to a node or run on it."""
        return list(self.by_machine.get(machine, {}).values())

    def running_at(self, machine: int) -> Iterator[int]:
        """Yield the ids, as the node knows them, of the tasks that run on a node."""
        for task in self.by_machine.get(machine, {}).values():
            if task.machine == machine and task.state is TaskState.RUNNING:
                yield task.node_uid

    def merge(self, task: TaskRecord, known: TaskRecord) -> None:
        """Move the subscribers of ``task`` to ``known``, the record that already serves the same task.

        The record ``task`` must not be used afterwards; its state is ANSWERED, so that its timers do nothing.
        """
        for uid, client in task.each_subscriber():
            known.subscribers[uid] = client
            self.by_uid[uid] = known
        del self.by_number[task.number]
        self._unindex_machines(task)
        task.state = TaskState.ANSWERED

    def unindex(self, task: TaskRecord, uid: int) -> None:
        """Remove an id from the index if the task no longer uses it."""
        if uid not in task.uids:
            self.by_uid.pop(uid, None)

    def remove(self, task: TaskRecord) -> None:
        """Remove a task from the table."""
        for uid in task.uids:
            if self.by_uid.get(uid) is task:
                del self.by_uid[uid]
        del self.by_number[task.number]
        self._unindex_machines(task)

    def paged(self) -> TaskPages:
        """Return all tasks in a mapping that can also be read page by page; it stays up to date."""
        pages = TaskPages(self.by_number)
        self.by_number = pages
        return pages

    def _unindex_machines(self, task: TaskRecord) -> None:
        for machine in task.indexed_machines:
            tasks = self.by_machine[machine]
            tasks.pop(task.number, None)
            if not tasks:
                del self.by_machine[machine]
        task.indexed_machines.clear()
