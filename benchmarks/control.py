"""How long questions hold a turn, with 100,000 tasks, 1,024 nodes and 20,000 steps: python -m benchmarks.control.

The tables, slices and readers of the program over a core without sockets; each table is read whole by two shells at
once. Milliseconds, by the processor and by the clock; and what a step in a task's life costs, with and without notes.
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

TASKS, NODES, STEPS = 100_000, 1_024, 20_000


class IdleNode:
    """A node that does nothing."""

    connection_state = "connected"

    def __init__(self) -> None:
        self.in_flight: dict[int, Attempt] = {}
        self.running: set[int] = set()

    def __getattr__(self, name: str) -> Any:
        return lambda *_: []


class CountingClient:
    """Counts what it is sent."""

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
        """Fail: no query may be aborted here."""
        raise error


def a_core() -> Dispatcher:
    """A dispatcher's core that knows so many nodes and tasks."""
    config = read_config({"LB_CONFIG": str(Path(__file__).parent.parent / "examples" / "config.json")})
    core = Dispatcher(Loop(), config.settings, 1, lambda *_: IdleNode(), lambda *_: None)
    named = [
        NodeEndpoint(
            f"s-{n + 1:08x}", f"127.0.0.1:{n + 1}", core_health(), "node-small", "jackson-dc", 1, 1.0, None
        )
        for n in range(NODES)
    ]
    core.update_endpoints(EndpointListUpdate(True, 1, named))
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


def core_health() -> Any:
    """In service."""
    from thornshelf.placement import Health

    return Health.UP


def read(core: Dispatcher, catalog: Catalog, table: str) -> dict[str, Any]:
    """One complete table, by two clients at once."""
    sessions = QuerySessions("m0", catalog, None, lambda: 1, 16)
    clients = [CountingClient(), CountingClient()]
    began, turns, worst, wall = time.monotonic(), 0, 0, 0
    for client in clients:
        names = [column.name for column in catalog.table(table).columns]
        sessions.start(client, QueryRequest(1, table, names), core.loop.now)
    while len(sessions):
        core.loop.turn(True)
        cpu, clock = time.thread_time_ns(), time.monotonic_ns()
        sessions.run_turn(core.loop.now, 1, core.loop.turn_elapsed_us, False)
        worst, wall = max(worst, time.thread_time_ns() - cpu), max(wall, time.monotonic_ns() - clock)
        turns += 1
    assert all(client.finished for client in clients)
    return {
        "rows": clients[0].rows, "turns": turns, "worst_turn_ms": round(worst / 1e6, 2),
        "worst_wall_ms": round(wall / 1e6, 2), "seconds": round(time.monotonic() - began, 2),
        "mb": round(clients[0].bytes / 1e6, 1),
    }  # fmt: skip


def main() -> None:
    """All tables."""
    core, history = a_core(), History(STEPS)
    for uid in range(1, STEPS + 1):
        history.record(core.loop.now, uid, uid, "offered", 1 + uid % NODES, "attempt", 0)
    catalog = Catalog()
    catalog.add(
        *CoreTables(core, history, ErrorCounters(), lambda us: us // 1000).tables(lambda: core.settings)
    )
    # In a dispatcher these tables are old before they are large; a young one of 100,000 costs a collection 17 ms.
    gc.collect()
    said: dict[str, Any] = {
        name: read(core, catalog, name) for name in ("tasks", "nodes", "attempts", "history")
    }
    task = next(iter(core.all_tasks()))
    count = 200_000
    for name, held in (("step_off_ns", None), ("step_on_ns", history)):
        core.history = held
        took = timeit.timeit(
            lambda: core.record_event(task, 1, "ended", 5, TaskState.OPEN, TaskState.OPEN), number=count
        )
        said[name] = round(took / count * 1e9)
    print(json.dumps(said))


if __name__ == "__main__":
    main()
