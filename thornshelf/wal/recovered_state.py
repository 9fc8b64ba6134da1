"""The state that the write-ahead log describes: the status of each task, from replaying the entries in order."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from thornshelf.wal.entries import (
    AnyEntry,
    AttemptEnded,
    AttemptIntent,
    CleanShutdown,
    ProcessStarted,
    ReleaseDone,
    ReleasePending,
    TaskRunning,
)


class TaskStatus(enum.Enum):
    """The status of a task according to the log."""

    FREE = "free"  # no attempt runs, so its idempotency key may be started
    UNCERTAIN = "uncertain"  # an attempt may have run
    RUNNING = "running"
    RELEASE_PENDING = "release pending"  # it has ended, and its client has not been notified
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class RecoveredTask:
    """One task according to the log.

    ``key`` is the idempotency key, 0 if only the task's id is known; ``since_us`` is the wall-clock time of the entry
    that set the status.
    """

    key: int
    uid: int
    status: TaskStatus
    node: str = ""
    since_us: int = 0
    running: TaskRunning | None = None
    pending_release: ReleasePending | None = None


@dataclass(slots=True)
class RecoveredState:
    """The state after the entries applied so far.

    ``epoch`` is the highest one in use; ``clean_shutdown``: whether the last process shut down in order; ``by_uid``
    maps each task id to its task, and ``by_key`` each idempotency key to the task id that last used it.
    """

    epoch: int = 0
    clean_shutdown: bool = True
    by_uid: dict[int, RecoveredTask] = field(default_factory=dict)
    by_key: dict[int, int] = field(default_factory=dict)

    def apply(self, entry: AnyEntry) -> None:
        """Apply the next entry, which takes precedence over earlier ones that it contradicts."""
        match entry:
            case ProcessStarted():
                self.epoch = max(self.epoch, entry.epoch)
                self.clean_shutdown = False
            case CleanShutdown():
                self.clean_shutdown = True
            case AttemptIntent():
                task = RecoveredTask(entry.key, entry.uid, TaskStatus.UNCERTAIN, entry.node, entry.at_us)
                self._put(task)
            case AttemptEnded():
                self._attempt_ended(entry)
            case TaskRunning():
                self._task_running(entry)
            case ReleasePending():
                self._release_pending(entry)
            case ReleaseDone():
                self._remove(entry.uid)

    def snapshot(self) -> list[AnyEntry]:
        """Returns entries that replay to the same state, with which a compaction replaces all earlier ones."""
        entries: list[AnyEntry] = [ProcessStarted(self.epoch, 0)]
        for task in self.by_uid.values():
            if task.pending_release is not None:
                entries.append(task.pending_release)
            elif task.running is not None and task.status is TaskStatus.RUNNING:
                entries.append(task.running)
            elif task.status is TaskStatus.UNCERTAIN:
                entries.append(AttemptIntent(task.key, task.uid, "", task.node, task.since_us))
        if self.clean_shutdown:
            entries.append(CleanShutdown())
        return entries

    def _attempt_ended(self, entry: AttemptEnded) -> None:
        """Free an uncertain task that is proved never to have run; a running or ended task is left unchanged."""
        known = self.by_uid.get(entry.uid)
        if entry.never_ran and known is not None and known.status is TaskStatus.UNCERTAIN:
            self._remove(entry.uid)

    def _task_running(self, entry: TaskRunning) -> None:
        task = RecoveredTask(entry.key, entry.uid, TaskStatus.RUNNING, entry.node, entry.at_us, running=entry)
        self._put(task)

    def _release_pending(self, entry: ReleasePending) -> None:
        known = self.by_uid.get(entry.uid) or RecoveredTask(0, entry.uid, TaskStatus.RELEASE_PENDING)
        self._free_key(known)
        self.by_uid[entry.uid] = replace(
            known, status=TaskStatus.RELEASE_PENDING, since_us=entry.at_us, pending_release=entry
        )

    def _put(self, task: RecoveredTask) -> None:
        known = self.by_uid.get(task.uid)
        if known is not None and known.key != task.key:
            self._free_key(known)  # the id was reused for another task
        self.by_uid[task.uid] = task
        if task.key:
            self.by_key[task.key] = task.uid

    def _remove(self, uid: int) -> None:
        if (known := self.by_uid.pop(uid, None)) is not None:
            self._free_key(known)

    def _free_key(self, task: RecoveredTask) -> None:
        if task.key and self.by_key.get(task.key) == task.uid:
            del self.by_key[task.key]


def replay(entries: Iterable[AnyEntry]) -> RecoveredState:
    """Returns the state after all entries of a log."""
    state = RecoveredState()
    for entry in entries:
        state.apply(entry)
    return state
