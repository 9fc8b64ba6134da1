"""The tasks of one dispatcher, found by id, by number and by node."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from thornshelf.core.messages import TaskRequest
from thornshelf.core.task import TaskRecord, TaskState


class TaskPages(dict[int, TaskRecord]):
    """Tasks by number, also in pages of neighbouring numbers, for readers that take one page at a time.

    Guards against listing 100,000 tasks in one go: that alone takes 6 to 9 ms of a turn.
    """

    PAGE_BITS = 9  # 512 numbers a page

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

    ``by_uid``: by each id under which a task is known; ``by_number``: by the number that the decision module knows
    it by; ``by_machine``: by node and number, those that were sent to a node or run there.
    """

    def __init__(self) -> None:
        self.by_uid: dict[int, TaskRecord] = {}
        self.by_number: dict[int, TaskRecord] = {}
        self.by_machine: dict[int, dict[int, TaskRecord]] = {}
        self._last_number = 0

    def create(self, request: TaskRequest, now_us: int) -> TaskRecord:
        """Add a record for a request under the next number; its ids are indexed by ``index``."""
        self._last_number += 1
        task = TaskRecord(request, self._last_number, now_us)
        self.by_number[task.number] = task
        return task

    def index(self, task: TaskRecord, *uids: int) -> None:
        """Find a task by these ids from now on."""
        for uid in uids:
            self.by_uid[uid] = task

    def index_machine(self, task: TaskRecord, machine: int) -> None:
        """Find a task by this node from now on, until it is removed.

        Guards against a scan of all tasks for each node that starts, drains or is removed: hundreds do at once.
        """
        task.indexed_machines.add(machine)
        self.by_machine.setdefault(machine, {})[task.number] = task

    def at_machine(self, machine: int) -> list[TaskRecord]:
        """The tasks that were sent to a node or run there."""
        return list(self.by_machine.get(machine, {}).values())

    def running_at(self, machine: int) -> Iterator[int]:
        """The ids, as the node knows them, of the tasks that run on a node."""
        for task in self.by_machine.get(machine, {}).values():
            if task.machine == machine and task.state is TaskState.RUNNING:
                yield task.node_uid

    def merge(self, task: TaskRecord, known: TaskRecord) -> None:
        """Make the subscribers of one record those of another, which serves the same task already.

        The record is void afterwards; its state is ANSWERED, so that its timer finds nothing to do.
        """
        for uid, client in task.each_subscriber():
            known.subscribers[uid] = client
            self.by_uid[uid] = known
        del self.by_number[task.number]
        self._unindex_machines(task)
        task.state = TaskState.ANSWERED

    def unindex(self, task: TaskRecord, uid: int) -> None:
        """Find a task no longer by an id that it does not go by any more."""
        if uid not in task.uids:
            self.by_uid.pop(uid, None)

    def remove(self, task: TaskRecord) -> None:
        """Discard a task under all its ids, its number and its nodes."""
        for uid in task.uids:
            if self.by_uid.get(uid) is task:
                del self.by_uid[uid]
        del self.by_number[task.number]
        self._unindex_machines(task)

    def paged(self) -> TaskPages:
        """All tasks, kept from now on so that they can be read a page at a time."""
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
