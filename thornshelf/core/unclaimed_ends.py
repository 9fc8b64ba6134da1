"""Keeps reported ends of tasks that are not known here yet, until a client hands the task over.

After a restart, a node reports ends on the first connection that it gets, which is often before the client's request
that names the running task has arrived. The node doesn't report them again.

Only ends that a node reported belong here. An end that was concluded from a broken connection proves nothing: the
task may have started, and be handed over later while it runs.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from thornshelf.core.messages import TaskFinished

UNCLAIMED_TTL_US = (
    60_000_000  # ends are dropped after this time, as no client is expected to name the task any more
)
MAX_UNCLAIMED_ENDS = 16_384  # the oldest is dropped beyond this number


@dataclass(frozen=True, slots=True)
class _UnclaimedEnd:
    received_us: int
    item: TaskFinished


class UnclaimedEnds:
    """The ends of unknown tasks by node and task id, oldest first; bounded in number and age.

    Does no I/O. Times are in microseconds on the loop's clock.
    """

    def __init__(self) -> None:
        self._ends: dict[tuple[int, int], _UnclaimedEnd] = {}

    def __len__(self) -> int:
        return len(self._ends)

    def add(self, item: TaskFinished, now_us: int) -> None:
        """Keep an end; it replaces an earlier one of the same task. Its load report is not kept, as it gets old."""
        key = (item.machine, item.uid)
        self._ends.pop(key, None)
        self._ends[key] = _UnclaimedEnd(now_us, replace(item, load_report=None))
        if len(self._ends) > MAX_UNCLAIMED_ENDS:
            self._drop_oldest()
        self._drop_expired(now_us)

    def take(self, machine: int, uid: int, now_us: int) -> TaskFinished | None:
        """Remove and return the end that a node reported for a task, or None if there is none."""
        self._drop_expired(now_us)
        end = self._ends.pop((machine, uid), None)
        return None if end is None else end.item

    def _drop_expired(self, now_us: int) -> None:
        while self._ends and self._oldest().received_us < now_us - UNCLAIMED_TTL_US:
            self._drop_oldest()

    def _oldest(self) -> _UnclaimedEnd:
        return next(iter(self._ends.values()))

    def _drop_oldest(self) -> None:
        del self._ends[next(iter(self._ends))]
