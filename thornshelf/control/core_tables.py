"""The tables of the core and of the process as a whole: releases, history, errors, counters and settings."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from thornshelf.control.history import ErrorCounters, History, TaskEvent
from thornshelf.control.node_table import NodeTable, node_name
from thornshelf.control.settings_table import settings_table
from thornshelf.control.shown_names import state_name
from thornshelf.control.tables import INTEGER, TEXT, Table, Value, declare_columns, to_milliseconds
from thornshelf.control.task_tables import TaskTables
from thornshelf.core import Dispatcher
from thornshelf.core.pending_releases import PendingRelease
from thornshelf.errors import ERRORS_BY_CODE


class CoreTables:
    """Declares all tables that exist without a fleet.

    ``unix_ms``: converts a time of the loop's clock in microseconds to Unix milliseconds. Components add functions
    that return their counters to ``counters``, by the component's name.
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
        """Returns all tables; ``settings`` is called for the configuration in force."""
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
        """Returns the core's counters since its start, and its current amounts."""
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
        def row(pending: PendingRelease) -> Sequence[Value]:
            release = pending.release
            pending_ms = to_milliseconds(self._core.loop.now - pending.since_us)
            outcome, reason = state_name(release.outcome), state_name(release.reason)
            return f"{release.uid:016x}", release.owner.host, outcome, reason, pending_ms

        return Table(
            "releases",
            "Releases of tasks that are pending because no connection of the client is open.",
            declare_columns(
                ("uid", TEXT, "id of the task's request"),
                ("client", TEXT, "host of the client"),
                ("outcome", TEXT, "how the task ended"),
                ("reason", TEXT, "the reason that its node gave"),
                ("owed_ms", INTEGER, "how long the release has been pending"),
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
            "The latest events of tasks; the setting `control.history` is the number of events that are retained.",
            declare_columns(
                ("when_ms", INTEGER, "Unix ms of the event"),
                ("uid", TEXT, "id of the task's request"),
                ("key", TEXT, "idempotency key"),
                (
                    "event",
                    TEXT,
                    "taken, adopted, offered, ended, answered, refused, failed, given-up or released",
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
            occurrences = self._error_counters.by_code[code]
            error_type = ERRORS_BY_CODE[code]
            return (
                code,
                error_type.__name__,
                occurrences.count,
                self._unix_ms(occurrences.last_us),
                occurrences.last_text,
                error_type.meaning,
                error_type.remedy,
            )

        return Table(
            "errors",
            "Errors of this dispatcher since its start, by code.",
            declare_columns(
                ("code", TEXT, "stable code; `thornshelf explain CODE` describes it"),
                ("error", TEXT, "type of the error"),
                ("count", INTEGER, "number of occurrences"),
                ("last_ms", INTEGER, "Unix ms of the last occurrence"),
                ("last", TEXT, "message of the last occurrence"),
                ("meaning", TEXT, "what the error means"),
                ("remedy", TEXT, "what to do about it"),
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
                ("name", TEXT, "name of the counter"),
                ("value", INTEGER, "value of the counter"),
            ),
            items,
            lambda item: item,
        )
