"""The tables of the core and of the whole program: nodes, tasks, attempts, releases, counters, errors, settings."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import fields, is_dataclass
from typing import Any

from thornshelf.control.history import ErrorCounters, History, TaskEvent
from thornshelf.control.tables import INTEGER, REAL, TEXT, Table, Value, declare_columns
from thornshelf.core import Dispatcher
from thornshelf.core.task import TaskRecord, TaskState
from thornshelf.errors import ERRORS_BY_CODE
from thornshelf.placement.interface import Health

HEALTH_NAMES = {Health.UP: "up", Health.DRAINING: "draining", Health.REMOVED: "gone"}
SECRET_FIELDS = frozenset({"key"})
MAX_AGE_S = 1e6


def to_milliseconds(us: int) -> int:
    """Microseconds as whole milliseconds."""
    return us // 1000


class CoreTables:
    """Declares them; ``unix_ms`` gives a time of the loop's clock as Unix milliseconds."""

    def __init__(
        self, core: Dispatcher, history: History, error_counters: ErrorCounters, unix_ms: Callable[[int], int]
    ) -> None:
        self._core, self._history, self._error_counters, self._unix_ms = (
            core,
            history,
            error_counters,
            unix_ms,
        )
        self._task_pages = core.page_tasks()
        self.counters: dict[str, Callable[[], Mapping[str, int]]] = {"core": self._core_counters}

    def tables(self, settings: Callable[[], object]) -> tuple[Table, ...]:
        """All of them; ``settings``: the configuration that is in force."""
        return (
            self._nodes_table(),
            self._tasks_table(),
            self._attempts_table(),
            self._releases_table(),
            self._history_table(),
            self._errors_table(),
            self._counters_table(),
            _settings_table(settings),
        )

    def _core_counters(self) -> Mapping[str, int]:
        core = self._core
        now = {"open": core.open_count, "waiting": len(core.queue), "nodes": len(core.endpoints.nodes)}
        now |= {"tasks": core.task_count, "history_dropped": self._history.dropped}
        return core.counters | now

    def _node_name(self, machine: int) -> str:
        entry = self._core.endpoints.entries.get(machine)
        return entry.name if entry is not None else f"{machine:08x}" if machine else ""

    # nodes

    def _nodes_table(self) -> Table:
        return Table(
            "nodes",
            "The nodes of the list, and what this dispatcher makes of each.",
            declare_columns(
                ("node", TEXT, "its name in the list"),
                ("address", TEXT, "host:port"),
                ("zone", TEXT, "where it is"),
                ("kind", TEXT, "its machine type"),
                (
                    "health",
                    TEXT,
                    "up or draining, as it holds here: the list's word, or others' where it is silent",
                ),
                ("started_ms", INTEGER, "Unix ms of a late start, 0 for long ago"),
                ("reach", TEXT, "connected, or not: idle (nothing is wanted of it), calling, unreachable"),
                ("out", INTEGER, "offers of this dispatcher that wait for its answer"),
                ("standing", INTEGER, "tasks of this dispatcher that run there"),
                ("cores", REAL, "up to which it accepts asks"),
                ("memory", REAL, "likewise"),
                ("taken_cores", REAL, "as the decisions count them"),
                ("taken_memory", REAL, "likewise"),
                ("report_age_ms", INTEGER, "of its last report; none before the first"),
                ("strikes", INTEGER, "signs of trouble in a row"),
                ("suspect_ms", INTEGER, "offers are kept away for so long still, for trouble"),
                ("shut_ms", INTEGER, "likewise, as its line of offers was full"),
                ("cold", INTEGER, "1: it started so lately that offers to it are rationed"),
                (
                    "cold_left",
                    INTEGER,
                    "offers that this dispatcher's share still allows it while it is cold",
                ),
                ("second_choice", INTEGER, "1: by other members' word"),
                ("waits", INTEGER, "own tasks there that have not started yet"),
                ("waits_ms", INTEGER, "the oldest of them, for so long; none where there is none"),
                ("late_ms", INTEGER, "how long starts take there of late; none where none was seen"),
            ),
            lambda: list(self._core.endpoints.entries),
            self._node_row,
        )

    def _node_row(self, machine: int) -> Sequence[Value] | None:
        core = self._core
        entry, m = core.endpoints.entries.get(machine), core.placer.machines.get(machine)
        if entry is None:
            return None
        node: Any = core.endpoints.nodes.get(machine)
        now = core.unix_seconds(core.loop.now)
        started = 0 if entry.started_us is None else self._unix_ms(entry.started_us)
        row: list[Value] = [
            entry.name,
            entry.address,
            entry.zone,
            entry.kind,
            HEALTH_NAMES[entry.health],
            started,
        ]
        row += (
            ["unknown", 0, 0]
            if node is None
            else [node.connection_state, len(node.in_flight), len(node.running)]
        )
        if m is None:
            return row + [None] * 14
        age = now - m.reported_at
        cold = core.placer.is_warming_up(m)
        sent = sum(at > now - core.placer.slow_start_window_s for at in m.recent_attempts)
        row += [*m.capacity, *(round(value, 3) for value in m.indexed_usage)]
        row += [
            None if not math.isfinite(age) or age > MAX_AGE_S else int(age * 1000),
            m.consecutive_failures,
        ]
        row += [max(0, int((until - now) * 1000)) for until in (m.ejected_until, m.backoff_until)]
        row += [
            int(cold),
            max(0, core.placer.slow_start_quota - sent) if cold else None,
            int(m.gossip_penalty > 0.0),
        ]
        oldest = int((now - next(iter(m.pending_starts.values()))) * 1000) if m.pending_starts else None
        return [
            *row,
            len(m.pending_starts),
            oldest,
            None if m.start_delay_s is None else int(m.start_delay_s * 1000),
        ]

    # tasks

    def _page_numbers(self) -> Sequence[int]:
        return list(self._task_pages.pages)

    def _page_tasks(self, run: int) -> Sequence[TaskRecord]:
        return list(self._task_pages.pages.get(run, {}).values())

    def _tasks_table(self) -> Table:
        return Table(
            "tasks",
            "Tasks that this dispatcher knows now: open, standing, or answered with an attempt still out.",
            declare_columns(
                ("uid", TEXT, "the id of its set-up, 16 hex digits"),
                ("key", TEXT, "its name, 16 hex digits"),
                ("class", TEXT, "as in the settings"),
                ("tenant", TEXT, "likewise"),
                ("service", TEXT, "hex digits"),
                ("state", TEXT, "open, standing, ending (told to end) or answered"),
                ("node", TEXT, "where it stands or is offered"),
                ("age_ms", INTEGER, "since it came"),
                ("left_ms", INTEGER, "until its owner waits no longer; while it is open"),
                ("standing_ms", INTEGER, "since it stands"),
                ("attempts", INTEGER, "made so far"),
                ("waiting", INTEGER, "1: for its turn with the decision module"),
                ("holders", INTEGER, "ids under which it is wanted"),
                ("in_doubt", INTEGER, "1: its node is being asked whether it runs"),
                ("cores", REAL, "asked for"),
                ("memory", REAL, "asked for"),
                ("why", TEXT, "the last cause that a node gave"),
            ),
            self._page_numbers,
            self._task_row,
            self._page_tasks,
        )

    def _task_row(self, task: TaskRecord) -> Sequence[Value] | None:
        if self._core.find_by_number(task.number) is not task:
            return None
        now, setup, open_ = self._core.loop.now, task.request, task.state is TaskState.OPEN
        machine = task.attempt.machine if task.attempt is not None else task.machine
        standing = (
            to_milliseconds(now - task.running_since_us)
            if task.state in (TaskState.RUNNING, TaskState.CANCELLING)
            else None
        )
        return (
            f"{setup.uid:016x}",
            f"{setup.idempotency_key:016x}",
            setup.task_class,
            setup.tenant,
            f"{setup.service:08x}",
            task.state.name.lower(),
            self._node_name(machine),
            to_milliseconds(now - task.created_us),
            to_milliseconds(setup.deadline_us - now) if open_ else None,
            standing,
            task.attempt_count,
            int(task.queue_ticket is not None),
            len(task.subscribers),
            int(task.uncertain is not None),
            setup.cores,
            setup.memory,
            ""
            if task.last_failure is None
            else f"{task.last_failure.reason.name.lower()} {task.last_failure.text}".strip(),
        )

    def _attempts_table(self) -> Table:
        return Table(
            "attempts",
            "Offers that are out: sent, or about to be, and not answered.",
            declare_columns(
                ("uid", TEXT, "the task's"),
                ("number", INTEGER, "from 0"),
                ("node", TEXT, "to which"),
                ("out_ms", INTEGER, "since it was decided"),
                ("left_ms", INTEGER, "until it is given up"),
                ("never_twice", INTEGER, "1: its class must not be started twice"),
                ("in_doubt", INTEGER, "1: the node is being asked about it"),
            ),
            self._page_numbers,
            self._attempt_row,
            self._page_tasks,
        )

    def _attempt_row(self, task: TaskRecord) -> Sequence[Value] | None:
        attempt = task.attempt
        if attempt is None:
            return None
        now, doubt = self._core.loop.now, int(task.uncertain is not None)
        return (
            f"{task.request.uid:016x}",
            attempt.number,
            self._node_name(attempt.machine),
            to_milliseconds(now - attempt.sent_us),
            to_milliseconds(attempt.deadline_us - now),
            int(attempt.at_most_once),
            doubt,
        )

    def _releases_table(self) -> Table:
        def row(owed: Any) -> Sequence[Value]:
            at, peer, uid, outcome, reason, _ = owed
            waited = to_milliseconds(self._core.loop.now - at)
            return f"{uid:016x}", peer, outcome.name.lower(), reason.name.lower(), waited

        return Table(
            "releases",
            "Ends of tasks that no open connection could be told yet.",
            declare_columns(
                ("uid", TEXT, "the task's"),
                ("client", TEXT, "its owner's host"),
                ("outcome", TEXT, "how it ended"),
                ("reason", TEXT, "as its node told it"),
                ("owed_ms", INTEGER, "for so long"),
            ),
            lambda: list(self._core.releases.pending),
            row,
        )

    # what was noted down

    def _history_table(self) -> Table:
        def row(step: TaskEvent) -> Sequence[Value]:
            at_us, uid, key, event, machine, detail = step
            return (
                self._unix_ms(at_us), f"{uid:016x}", f"{key:016x}", event, self._node_name(machine), detail,
            )  # fmt: skip

        return Table(
            "history",
            "Steps in the lives of tasks, the last of them; `control.history` says how many are kept.",
            declare_columns(
                ("when_ms", INTEGER, "Unix ms"),
                ("uid", TEXT, "the task's id"),
                ("key", TEXT, "its name"),
                (
                    "event",
                    TEXT,
                    "taken, adopted, offered, ended, answered, refused, failed, given-up, released",
                ),
                ("node", TEXT, "where that concerns one"),
                ("detail", TEXT, "what goes with it"),
            ),
            lambda: list(self._history.pages),
            row,
            lambda run: run,
        )

    def _errors_table(self) -> Table:
        def row(code: str) -> Sequence[Value]:
            tally, kind = self._error_counters.by_code[code], ERRORS_BY_CODE[code]
            last = self._unix_ms(tally.last_us)
            return code, kind.__name__, tally.count, last, tally.text, kind.meaning, kind.remedy

        return Table(
            "errors",
            "Errors of this dispatcher since its start, by code.",
            declare_columns(
                ("code", TEXT, "stable: `thornshelf explain CODE`"),
                ("error", TEXT, "its type"),
                ("count", INTEGER, "so many"),
                ("last_ms", INTEGER, "Unix ms of the last"),
                ("last", TEXT, "the last one's text"),
                ("meaning", TEXT, "what it means"),
                ("remedy", TEXT, "what to do"),
            ),
            lambda: sorted(self._error_counters.by_code),
            row,
        )

    def _counters_table(self) -> Table:
        def items() -> list[tuple[str, str, int]]:
            parts = [(part, call()) for part, call in self.counters.items()]
            return [(part, name, count) for part, counts in parts for name, count in counts.items()]

        return Table(
            "counters",
            "What is counted: since the start, or now.",
            declare_columns(
                ("part", TEXT, "who counts"), ("name", TEXT, "what"), ("value", INTEGER, "how many")
            ),
            items,
            lambda item: item,
        )


def flatten_settings(value: object, path: str = "") -> Iterator[tuple[str, Value]]:
    """Settings as keys and values; secrets are left out."""
    if is_dataclass(value) and not isinstance(value, type):
        for field in fields(value):
            if field.name not in SECRET_FIELDS:
                yield from flatten_settings(
                    getattr(value, field.name), f"{path}.{field.name}" if path else field.name
                )
    elif isinstance(value, Mapping):
        for name, one in value.items():
            yield from flatten_settings(one, f"{path}.{name}" if path else str(name))
    elif isinstance(value, tuple | list) and any(is_dataclass(one) for one in value):
        for index, one in enumerate(value):
            yield from flatten_settings(one, f"{path}.{getattr(one, 'name', index)}")
    elif isinstance(value, bool):
        yield path, int(value)
    elif isinstance(value, int | float | str) or value is None:
        yield path, value
    elif isinstance(value, tuple | list | frozenset | set):
        yield (
            path,
            ",".join(sorted(map(str, value)) if isinstance(value, frozenset | set) else map(str, value)),
        )
    else:
        yield path, getattr(value, "name", str(value))


def _settings_table(settings: Callable[[], object]) -> Table:
    def items() -> list[tuple[str, Value]]:
        return [
            (key, value)
            for key, value in flatten_settings(settings())
            if not key.startswith("initial_endpoints.")
        ]

    return Table(
        "settings",
        "The configuration that is in force, key by key; the fleet's key is not told.",
        declare_columns(("key", TEXT, "its path"), ("value", TEXT, "its value")),
        items,
        lambda item: (item[0], None if item[1] is None else str(item[1])),
    )
