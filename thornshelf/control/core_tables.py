"""The tables of the core and of the whole program."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from thornshelf.control.history import ErrorCounters, History, TaskEvent
from thornshelf.control.node_table import NodeTable, node_name
from thornshelf.control.settings_table import settings_table
from thornshelf.control.shown_names import state_name
from thornshelf.control.tables import INTEGER, TEXT, Table, Value, declare_columns, to_milliseconds
from thornshelf.control.task_tables import TaskTables
from thornshelf.core import Dispatcher
from thornshelf.errors import ERRORS_BY_CODE


class CoreTables:
    """Declares the tables of a dispatcher.

    ``unix_ms`` converts a time of the loop's clock into Unix milliseconds. Components add their counters, by the
    component's name, to ``counters``.
    """

    def __init__(
        self, core: Dispatcher, history: History, error_counters: ErrorCounters, unix_ms: Callable[[int], int]
    ) -> None:
        self._core = core
        self._history = history
        self._error_counters = error_counters
        self._unix_ms = unix_ms
        self._nodes = NodeTable(core, unix_ms)
        self._tasks = TaskTables(core)
        self.counters: dict[str, Callable[[], Mapping[str, int]]] = {"core": self._core_counters}

    def tables(self, settings: Callable[[], object]) -> tuple[Table, ...]:
        """All tables; ``settings`` returns the configuration that is in force."""
        return (
            self._nodes.table(),
            self._tasks.tasks(),
            self._tasks.attempts(),
            self._releases_table(),
            self._history_table(),
            self._errors_table(),
            self._counters_table(),
            settings_table(settings),
        )

    def _core_counters(self) -> Mapping[str, int]:
        """What the core counts since its start, and what there is now."""
        core = self._core
        current = {
            "open": core.open_count,
            "waiting": len(core.queue),
            "nodes": len(core.endpoints.nodes),
            "tasks": core.task_count,
            "history_dropped": self._history.dropped,
        }
        return core.counters | current

    def _releases_table(self) -> Table:
        def row(pending: Any) -> Sequence[Value]:
            since_us, client_host, uid, outcome, reason, _ = pending
            pending_ms = to_milliseconds(self._core.loop.now - since_us)
            return f"{uid:016x}", client_host, state_name(outcome), state_name(reason), pending_ms

        return Table(
            "releases",
            "Releases of tasks for which no connection of the client is open.",
            declare_columns(
                ("uid", TEXT, "id of the task's request"),
                ("client", TEXT, "host of the client"),
                ("outcome", TEXT, "how the task ended"),
                ("reason", TEXT, "the reason that its node gave"),
                ("owed_ms", INTEGER, "since the release is pending"),
            ),
            lambda: list(self._core.releases.pending),
            row,
        )

    def _history_table(self) -> Table:
        def row(event: TaskEvent) -> Sequence[Value]:
            at_us, uid, key, name, machine, detail = event
            node = node_name(self._core, machine)
            return self._unix_ms(at_us), f"{uid:016x}", f"{key:016x}", name, node, detail

        return Table(
            "history",
            "The latest events in the lives of tasks; the setting `control.history` says how many are retained.",
            declare_columns(
                ("when_ms", INTEGER, "Unix ms"),
                ("uid", TEXT, "id of the request"),
                ("key", TEXT, "idempotency key"),
                (
                    "event",
                    TEXT,
                    "taken, adopted, offered, ended, answered, refused, failed, given-up, released",
                ),
                ("node", TEXT, "the node concerned, if any"),
                ("detail", TEXT, "details of the event"),
            ),
            lambda: list(self._history.pages),
            row,
            lambda page: page,
        )

    def _errors_table(self) -> Table:
        def row(code: str) -> Sequence[Value]:
            counted = self._error_counters.by_code[code]
            error_type = ERRORS_BY_CODE[code]
            return (
                code,
                error_type.__name__,
                counted.count,
                self._unix_ms(counted.last_us),
                counted.text,
                error_type.meaning,
                error_type.remedy,
            )

        return Table(
            "errors",
            "Errors of this dispatcher since its start, by code.",
            declare_columns(
                ("code", TEXT, "stable code: see `thornshelf explain CODE`"),
                ("error", TEXT, "type of the error"),
                ("count", INTEGER, "how many there were"),
                ("last_ms", INTEGER, "Unix ms of the last"),
                ("last", TEXT, "text of the last"),
                ("meaning", TEXT, "what the error means"),
                ("remedy", TEXT, "what can be done about it"),
            ),
            lambda: sorted(self._error_counters.by_code),
            row,
        )

    def _counters_table(self) -> Table:
        def items() -> list[tuple[str, str, int]]:
            by_component = {component: read() for component, read in self.counters.items()}
            return [
                (component, name, count)
                for component, counts in by_component.items()
                for name, count in counts.items()
            ]

        return Table(
            "counters",
            "Counters since the start, and current amounts.",
            declare_columns(
                ("part", TEXT, "the component that counts"),
                ("name", TEXT, "what is counted"),
                ("value", INTEGER, "the count"),
            ),
            items,
            lambda item: item,
        )
