"""The table of nodes: their endpoints, connections, and state in the decision module."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any

from thornshelf.control.tables import INTEGER, REAL, TEXT, Table, Value, declare_columns
from thornshelf.core import Dispatcher
from thornshelf.placement import Health

HEALTH_NAMES = {Health.UP: "up", Health.DRAINING: "draining", Health.REMOVED: "gone"}
MAX_AGE_S = 1e6  # older load reports are shown as missing

_ENDPOINT_COLUMNS = (
    ("node", TEXT, "name in the endpoint list"),
    ("address", TEXT, "host:port"),
    ("zone", TEXT, "zone of the node"),
    ("kind", TEXT, "machine type"),
    (
        "health",
        TEXT,
        "up or draining, by the endpoint list or, if the endpoint watch is broken, by other members",
    ),
    ("started_ms", INTEGER, "Unix ms of its start if that is recent, 0 otherwise"),
)
_CONNECTION_COLUMNS = (
    ("reach", TEXT, "connected, idle (no connection is needed), calling, unreachable or unknown"),
    ("out", INTEGER, "attempts of this dispatcher that wait for an answer"),
    ("standing", INTEGER, "tasks of this dispatcher that run there"),
)
_PLACEMENT_COLUMNS = (
    ("cores", REAL, "cores up to which it accepts tasks"),
    ("memory", REAL, "memory up to which it accepts tasks"),
    ("taken_cores", REAL, "cores in use, as the decision module counts them"),
    ("taken_memory", REAL, "memory in use, as the decision module counts it"),
    ("report_age_ms", INTEGER, "age of its last load report; null before the first"),
    ("strikes", INTEGER, "consecutive failures"),
    ("suspect_ms", INTEGER, "remaining time of its ejection as an outlier"),
    ("shut_ms", INTEGER, "remaining time without attempts after its queue was full"),
    ("cold", INTEGER, "1: it is in slow start, and attempts to it are limited"),
    ("cold_left", INTEGER, "attempts that this dispatcher's quota still allows during slow start"),
    ("second_choice", INTEGER, "1: other members report failures of it"),
    ("waits", INTEGER, "tasks of this dispatcher that have not started there yet"),
    ("waits_ms", INTEGER, "how long the oldest of them has waited; null if there is none"),
    ("late_ms", INTEGER, "recent delay of task starts there; null if none was observed"),
)


def node_name(core: Dispatcher, machine: int) -> str:
    """Returns the name of a node by its machine number: empty for 0, the number in hex if the node is not listed."""
    if not machine:
        return ""
    endpoint = core.endpoints.entries.get(machine)
    return endpoint.name if endpoint is not None else f"{machine:08x}"


class NodeTable:
    """The table ``nodes``; ``unix_ms`` converts a time of the loop's clock in microseconds to Unix milliseconds."""

    def __init__(self, core: Dispatcher, unix_ms: Callable[[int], int]) -> None:
        self._core = core
        self._unix_ms = unix_ms

    def table(self) -> Table:
        """Returns the declaration of the table."""
        return Table(
            "nodes",
            "The nodes of the endpoint list, as this dispatcher sees them.",
            declare_columns(*_ENDPOINT_COLUMNS, *_CONNECTION_COLUMNS, *_PLACEMENT_COLUMNS),
            lambda: list(self._core.endpoints.entries),
            self._row,
        )

    def _row(self, machine: int) -> Sequence[Value] | None:
        endpoint = self._core.endpoints.entries.get(machine)
        if endpoint is None:
            return None
        return (
            endpoint.name,
            endpoint.address,
            endpoint.zone,
            endpoint.kind,
            HEALTH_NAMES[endpoint.health],
            0 if endpoint.started_us is None else self._unix_ms(endpoint.started_us),
            *self._connection_values(machine),
            *self._placement_values(machine),
        )

    def _connection_values(self, machine: int) -> Sequence[Value]:
        node: Any = self._core.endpoints.nodes.get(machine)
        if node is None:
            return "unknown", 0, 0
        return node.connection_state, len(node.in_flight), len(node.running)

    def _placement_values(self, machine: int) -> Sequence[Value]:
        placer = self._core.placer
        state = placer.machines.get(machine)
        if state is None:
            return (None,) * len(_PLACEMENT_COLUMNS)
        now_s = self._core.unix_seconds(self._core.loop.now)
        is_warming_up = placer.is_warming_up(state)
        recent_attempts = sum(sent_s > now_s - placer.slow_start_window_s for sent_s in state.recent_attempts)
        quota_left = max(0, placer.slow_start_quota - recent_attempts)
        return (
            *state.capacity,
            *(round(value, 3) for value in state.indexed_usage),
            _age_ms(now_s - state.reported_at),
            state.consecutive_failures,
            _remaining_ms(state.ejected_until - now_s),
            _remaining_ms(state.backoff_until - now_s),
            int(is_warming_up),
            quota_left if is_warming_up else None,
            int(state.gossip_penalty > 0.0),
            len(state.pending_starts),
            _oldest_wait_ms(state.pending_starts.values(), now_s),
            None if state.start_delay_s is None else int(state.start_delay_s * 1000),
        )


def _age_ms(age_s: float) -> int | None:
    """Convert an age to milliseconds; None if it is infinite or above ``MAX_AGE_S``."""
    return int(age_s * 1000) if math.isfinite(age_s) and age_s <= MAX_AGE_S else None


def _remaining_ms(remaining_s: float) -> int:
    """Convert a remaining time to milliseconds; 0 if it has passed."""
    return max(0, int(remaining_s * 1000))


def _oldest_wait_ms(waiting_since_s: Any, now_s: float) -> int | None:
    """Returns the milliseconds since the first of some ascending times, or None if there is none."""
    oldest_s = next(iter(waiting_since_s), None)
    return None if oldest_s is None else int((now_s - oldest_s) * 1000)
