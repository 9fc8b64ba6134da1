"""Recovery: what the record says of each task, and what a start does about it.

Entries are folded in their order into one of five states a task. A start then holds what stands, asks about what is
in doubt, tells what is owed, and leaves the rest. Later words may contradict the record; the order of trust is

1. a node's own answer about a name, unless its process began after the attempt: a new process knows of no old run, so
   its 'never' proves nothing, and what the old one ran was cut with it;
2. an owner that hands a task over, naming its node: it has made sure;
3. the record;
4. that no list names the node any more: what was there is over.

What may have run is never started again on the word of 3 or 4 alone.
"""

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
    """Where the record leaves a task."""

    FREE = "free"  # nothing of it may run: its name may be started
    UNCERTAIN = "in doubt"
    RUNNING = "stands"
    RELEASE_PENDING = "owed"
    ENDED = "over"


@dataclass(frozen=True, slots=True)
class RecoveredTask:
    """What the record knows of one task; ``key`` is 0 where only its id is known."""

    key: int
    uid: int
    status: TaskStatus
    node: str = ""
    since_us: int = 0
    running: TaskRunning | None = None
    pending_release: ReleasePending | None = None


@dataclass(slots=True)
class RecoveredState:
    """The record, folded."""

    epoch: int = 0
    clean_shutdown: bool = True
    by_uid: dict[int, RecoveredTask] = field(default_factory=dict)
    by_key: dict[int, int] = field(default_factory=dict)  # the id that a name was last offered or stood under

    def apply(self, entry: AnyEntry) -> None:
        """The next entry. One that contradicts what came before is taken at its word: it is the later one."""
        match entry:
            case ProcessStarted():
                self.epoch, self.clean_shutdown = max(self.epoch, entry.epoch), False
            case CleanShutdown():
                self.clean_shutdown = True
            case AttemptIntent():
                self._put(RecoveredTask(entry.key, entry.uid, TaskStatus.UNCERTAIN, entry.node, entry.at_us))
            case AttemptEnded():
                # What stood or is owed is not undone by a late word on an attempt of it.
                known = self.by_uid.get(entry.uid)
                if entry.never_ran and known is not None and known.status is TaskStatus.UNCERTAIN:
                    self._drop(entry.uid)
            case TaskRunning():
                self._put(
                    RecoveredTask(
                        entry.key, entry.uid, TaskStatus.RUNNING, entry.node, entry.at_us, running=entry
                    )
                )
            case ReleasePending():
                known = self.by_uid.get(entry.uid) or RecoveredTask(0, entry.uid, TaskStatus.RELEASE_PENDING)
                self._free_name(known)
                self.by_uid[entry.uid] = replace(
                    known, status=TaskStatus.RELEASE_PENDING, since_us=entry.at_us, pending_release=entry
                )
            case ReleaseDone():
                self._drop(entry.uid)

    def _put(self, task: RecoveredTask) -> None:
        known = self.by_uid.get(task.uid)
        if known is not None and known.key != task.key:
            self._free_name(known)  # the id came again for another task
        self.by_uid[task.uid] = task
        if task.key:
            self.by_key[task.key] = task.uid

    def _drop(self, uid: int) -> None:
        if (known := self.by_uid.pop(uid, None)) is not None:
            self._free_name(known)

    def _free_name(self, task: RecoveredTask) -> None:
        if task.key and self.by_key.get(task.key) == task.uid:
            del self.by_key[task.key]

    def snapshot(self) -> list[AnyEntry]:
        """Entries that fold to the same memory: what a compaction writes in place of all before."""
        found: list[AnyEntry] = [ProcessStarted(self.epoch, 0)]
        for task in self.by_uid.values():
            if task.pending_release is not None:
                found.append(task.pending_release)
            elif task.running is not None and task.status is TaskStatus.RUNNING:
                found.append(task.running)
            elif task.status is TaskStatus.UNCERTAIN:
                found.append(AttemptIntent(task.key, task.uid, "", task.node, task.since_us))
        if self.clean_shutdown:
            found.append(CleanShutdown())
        return found


def replay(entries: Iterable[AnyEntry]) -> RecoveredState:
    """All entries of a record."""
    memory = RecoveredState()
    for entry in entries:
        memory.apply(entry)
    return memory


@dataclass(frozen=True, slots=True)
class AdoptTask:
    """Adopt a task that stands, and listen for its end."""

    running: TaskRunning


@dataclass(frozen=True, slots=True)
class QueryNode:
    """Ask a node about a name; until then a set-up of that name is not started."""

    key: int
    uid: int
    node: str


@dataclass(frozen=True, slots=True)
class BlockKey:
    """Nobody can be asked: a set-up of that name is refused until then (microseconds on the system's clock)."""

    key: int
    uid: int
    until_us: int


@dataclass(frozen=True, slots=True)
class SendRelease:
    """A release that is owed."""

    pending_release: ReleasePending


RecoveryStep = AdoptTask | QueryNode | BlockKey | SendRelease


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """What the list says: the nodes that it names, those that can be asked, and when each process began
    (microseconds on the system's clock; 0 where it is long ago)."""

    listed: frozenset[str]
    queryable: frozenset[str] = frozenset()
    started_us: dict[str, int] = field(default_factory=dict)


def plan_recovery(
    state: RecoveredState,
    fleet: FleetSnapshot,
    now_us: int,
    retention_us: int,
    lost_end: tuple[int, int] = (5, 0),
) -> list[RecoveryStep]:
    """What a start does, releases first, as they are owed within a second.

    ``lost``: outcome and reason of a task whose node is gone, by the numbers of thornshelf.v2.
    """
    told: list[RecoveryStep] = []
    rest: list[RecoveryStep] = []
    for task in state.by_uid.values():
        # A clock that stepped back makes nothing younger than now.
        since = min(task.since_us, now_us)
        gone = task.node not in fleet.listed or fleet.started_us.get(task.node, 0) > since
        match task.status:
            case TaskStatus.RELEASE_PENDING if task.pending_release is not None:
                told.append(SendRelease(task.pending_release))
            case TaskStatus.RUNNING if task.running is not None:
                if gone:
                    told.append(SendRelease(ReleasePending(task.uid, task.running.peer, *lost_end, now_us)))
                else:
                    rest.append(AdoptTask(task.running))
            case TaskStatus.UNCERTAIN:
                if not gone and task.node in fleet.queryable:
                    rest.append(QueryNode(task.key, task.uid, task.node))
                elif now_us - since < retention_us:
                    rest.append(BlockKey(task.key, task.uid, since + retention_us))
    return told + rest


class NodeAnswer(enum.Enum):
    """A node's answer about a name."""

    NEVER_RAN = "never"
    RUNNING = "runs"
    ENDED = "ran"
    UNKNOWN = "unknown"


class Resolution(enum.Enum):
    """What becomes of a task in doubt, or of a set-up of its name."""

    START = "start"  # it never ran: it may be started
    ADOPT = "adopt"  # it stands there
    ENDED = "over"  # it ran, and its end is told
    UNCERTAIN = "doubt"  # it may have run: not to be started


def resolve(
    task: RecoveredTask | None,
    answer: NodeAnswer | None,
    node_started_us: int,
    named_node: str | None = None,
) -> Resolution:
    """All that is known, in the order of trust.

    ``word``: the node's answer, none where it was not asked; ``node_began_us``: when its present process began, 0 for
    long ago; ``handed_over``: the node that an owner names, which holds the task by its word.
    """
    since = task.since_us if task is not None else 0
    young = node_started_us > since > 0
    if answer is NodeAnswer.RUNNING:
        return Resolution.ADOPT
    if answer is NodeAnswer.ENDED:
        return Resolution.ENDED
    if answer is NodeAnswer.NEVER_RAN and not young:
        return Resolution.START
    if named_node:
        return Resolution.ADOPT
    if task is None or task.status in (TaskStatus.FREE, TaskStatus.ENDED, TaskStatus.RELEASE_PENDING):
        return Resolution.START
    if young and task.status is TaskStatus.RUNNING:
        return Resolution.ENDED  # it was cut with the process that ran it
    return Resolution.UNCERTAIN if task.status is TaskStatus.UNCERTAIN else Resolution.ADOPT
