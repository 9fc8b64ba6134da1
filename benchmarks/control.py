"""Measures how long queries delay a turn, with 100,000 tasks, 1,024 nodes and 20,000 history entries.

    python -m benchmarks.control

Two clients read each complete table at once, from a core without sockets. Prints the longest turn in milliseconds of
processor and wall-clock time, and the cost of a task event with and without recording it in the history.
"""

from __future__ import annotations

import gc
import json
import time
import timeit
from pathlib import Path
from typing import Any

from thornshelf.configuration import read_config
from thornshelf.control.core_tables import CoreTables
from thornshelf.control.framing import QueryEnd, QueryRequest, RowPage, encode_frame
from thornshelf.control.history import ErrorCounters, History
from thornshelf.control.query_sessions import QuerySessions
from thornshelf.control.tables import Catalog
from thornshelf.core import Attempt, Dispatcher, EndpointListUpdate, NodeEndpoint, TaskRequest
from thornshelf.core.releases import DisconnectedClient
from thornshelf.core.task import TaskState
from thornshelf.loop import Loop

TASKS, NODES, HISTORY_ENTRIES = 100_000, 1_024, 20_000


class IdleNode:
    """A node link that is always connected and ignores everything it is told."""

    connection_state = "connected"

    def __init__(self) -> None:
        self.in_flight: dict[int, Attempt] = {}
        self.running: set[int] = set()

    def __getattr__(self, name: str) -> Any:
        return lambda *_: []


class CountingClient:
    """A query client that counts rows, pages and bytes."""

    can_accept = is_open = True

    def __init__(self) -> None:
        self.rows = self.bytes = self.pages = 0
        self.finished = False

    def send(self, reply: Any) -> int:
        """Count a reply."""
        size = len(encode_frame(reply))
        self.bytes += size
        self.finished = self.finished or isinstance(reply, QueryEnd)
        if isinstance(reply, RowPage):
            self.rows += len(reply.rows)
            self.pages += 1
        return size

    def close_with_error(self, error: Exception) -> None:
        """Raise the error: no query may be aborted here."""
        raise error


def make_core() -> Dispatcher:
    """Returns the core of a dispatcher with ``NODES`` nodes and ``TASKS`` running tasks."""
    config = read_config({"LB_CONFIG": str(Path(__file__).parent.parent / "examples" / "config.json")})
    core = Dispatcher(Loop(), config.settings, 1, lambda *_: IdleNode(), lambda *_: None)
    endpoints = [
        NodeEndpoint(
            f"s-{n + 1:08x}", f"127.0.0.1:{n + 1}", node_health(), "node-small", "jackson-dc", 1, 1.0, None
        )
        for n in range(NODES)
    ]
    core.update_endpoints(EndpointListUpdate(True, 1, endpoints))
    core.run_turn()
    machines = list(core.endpoints.nodes)
    for uid in range(1, TASKS + 1):
        request = TaskRequest(
            DisconnectedClient("h"),
            uid,
            "lookup",
            "hollis-county",
            uid,
            core.loop.now + 8_000_000,
            None,
            uid % 997,
            1,
            2,
            b"",
        )
        task = core.create_task(request)
        core.index_task(task, uid)
        task.machine, task.state = machines[uid % NODES], TaskState.RUNNING
        core.endpoints.nodes[task.machine].running.add(uid)  # type: ignore[attr-defined]
    return core


def node_health() -> Any:
    """Returns the health of all nodes."""
    from thornshelf.placement import Health

    return Health.UP


def read_table(core: Dispatcher, catalog: Catalog, table: str) -> dict[str, Any]:
    """Measure the reading of a complete table by two clients at once."""
    sessions = QuerySessions("m0", catalog, None, lambda: 1, 16)
    clients = [CountingClient(), CountingClient()]
    started_s, turns, worst_cpu_ns, worst_wall_ns = time.monotonic(), 0, 0, 0
    for client in clients:
        names = [column.name for column in catalog.table(table).columns]
        sessions.start(client, QueryRequest(1, table, names), core.loop.now)
    while len(sessions):
        core.loop.turn(True)
        cpu_started_ns, started_ns = time.thread_time_ns(), time.monotonic_ns()
        sessions.run_turn(core.loop.now, 1, core.loop.turn_elapsed_us, False)
        worst_cpu_ns, worst_wall_ns = (
            max(worst_cpu_ns, time.thread_time_ns() - cpu_started_ns),
            max(worst_wall_ns, time.monotonic_ns() - started_ns),
        )
        turns += 1
    assert all(client.finished for client in clients)
    return {
        "rows": clients[0].rows, "turns": turns, "worst_turn_ms": round(worst_cpu_ns / 1e6, 2),
        "worst_wall_ms": round(worst_wall_ns / 1e6, 2), "seconds": round(time.monotonic() - started_s, 2),
        "mb": round(clients[0].bytes / 1e6, 1),
    }  # fmt: skip


def main() -> None:
    """Measure all tables and print the results as JSON."""
    core, history = make_core(), History(HISTORY_ENTRIES)
    for uid in range(1, HISTORY_ENTRIES + 1):
        history.record(core.loop.now, uid, uid, "offered", 1 + uid % NODES, "attempt", 0)
    catalog = Catalog()
    catalog.add(
        *CoreTables(core, history, ErrorCounters(), lambda us: us // 1000).tables(lambda: core.settings)
    )
    # Moves the tables to the oldest generation, as in a running dispatcher, so that no young collection scans them.
    gc.collect()
    results: dict[str, Any] = {
        name: read_table(core, catalog, name) for name in ("tasks", "nodes", "attempts", "history")
    }
    task = next(iter(core.all_tasks()))
    rounds = 200_000
    for name, recorder in (("step_off_ns", None), ("step_on_ns", history)):
        core.history = recorder
        elapsed_s = timeit.timeit(
            lambda: core.record_event(task, 1, "ended", 5, TaskState.OPEN, TaskState.OPEN), number=rounds
        )
        results[name] = round(elapsed_s / rounds * 1e9)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
