"""The record of one task: its state, its attempt, and all who are told what becomes of it."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from thornshelf.core.messages import Attempt, ClientConnection, TaskRequest
from thornshelf.loop import Timer
from thornshelf.placement.interface import Outcome, Reason
from thornshelf.translation.failures import FailureCause
from thornshelf.translation.uncertain_attempts import UncertainKey


class TaskState(enum.Enum):
    """Where a task is; one that is ANSWERED may still have an attempt out."""

    OPEN = 0
    RUNNING = 1
    CANCELLING = 2  # told to end by its owner or by MOVE: no release is owed
    ANSWERED = 3


class UncertainAttempt:
    """An attempt of which it is asked, by the task's name, whether it ran.

    ``outcome`` and ``reason`` are what the module is told where no answer settles it; ``before`` is the doubt that
    an earlier id left behind, where it is not this task's own attempt.
    """

    __slots__ = ("previous", "machine", "outcome", "reason", "timer")

    def __init__(
        self, machine: int, outcome: Outcome, reason: Reason, previous: UncertainKey | None = None
    ) -> None:
        self.machine, self.outcome, self.reason, self.previous = machine, outcome, reason, previous
        self.timer: Timer | None = None


@dataclass(frozen=True, slots=True)
class AttemptTimedOut:
    """An attempt that has had no answer within its time."""

    task: TaskRecord
    attempt: Attempt


class TaskRecord:
    """One task of this dispatcher.

    ``holders`` are told of it, each under an id of its own: more than one where a task that must not be started
    twice was asked for again under another id. At nodes it goes by ``node_uid``.
    """

    __slots__ = (
        "attempt",
        "node_description",
        "attempt_count",
        "uncertain",
        "subscribers",
        "machine",
        "possibly_running_at",
        "deduplicated",
        "never_ran_at",
        "node_uid",
        "number",
        "indexed_machines",
        "request",
        "created_us",
        "running_since_us",
        "state",
        "queue_ticket",
        "timer",
        "last_failure",
    )

    def __init__(self, request: TaskRequest, number: int, created_us: int = 0) -> None:
        self.request, self.number, self.created_us = (
            request,
            number,
            created_us,
        )  # number: the module's name for it
        self.subscribers: dict[int, ClientConnection] = {request.uid: request.client}
        self.node_uid = request.uid
        self.state = TaskState.OPEN
        self.attempt: Attempt | None = None  # the one in flight
        self.attempt_count = 0  # attempts made
        self.machine = 0
        self.indexed_machines: set[int] = set()  # nodes under which the core finds it
        self.running_since_us = 0
        self.timer: Timer | None = None
        self.deduplicated = False  # its name is in the table of those that must not be started twice
        self.possibly_running_at: int | None = (
            None  # the node of an attempt that may have run, and is not followed any more
        )
        self.never_ran_at: int | None = None  # the node that said of an attempt that it never ran
        self.uncertain: UncertainAttempt | None = None
        self.node_description: bytes | None = None  # kept for those who join, where the task is named
        self.last_failure: FailureCause | None = None  # the last cause that a node gave
        self.queue_ticket: int | None = None  # while it waits for its turn

    @property
    def has_connected_client(self) -> bool:
        """Somebody is there who would hear of it."""
        return any(owner.is_connected for owner in self.subscribers.values())

    def is_awaited(self) -> bool:
        """Somebody waits for its answer."""
        return any(owner.awaits_answer(uid) for uid, owner in self.subscribers.items())

    def each_subscriber(self) -> Iterator[tuple[int, ClientConnection]]:
        """All who are told, each with its id."""
        return iter(list(self.subscribers.items()))

    @property
    def uids(self) -> set[int]:
        """All ids under which it is known."""
        return {self.node_uid, self.request.uid, *self.subscribers}


class TaskPages(dict[int, TaskRecord]):
    """Tasks by number, and in runs of neighbouring numbers, for those who read them a run at a time.

    Guards against listing 100,000 tasks in one go: that alone holds a turn for 6 to 9 ms.
    """

    PAGE_BITS = 9  # bits: 512 numbers a run

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
        run = self.pages[number >> self.PAGE_BITS]
        del run[number]
        if not run:
            del self.pages[number >> self.PAGE_BITS]
