"""Measures the costs of single components, without sockets.

Each function returns quantities by name, at one value of a variable; ``QUANTITIES`` in run.py has their units. Each
runs in a process of its own, and processor time is that of the process.
"""

from __future__ import annotations

import gc
import json
import random
import time
import tracemalloc
from dataclasses import replace
from typing import Any

import psutil

from thornshelf import placement as api
from thornshelf.configuration import read_config
from thornshelf.control.core_tables import CoreTables
from thornshelf.control.history import ErrorCounters, History
from thornshelf.control.tables import Catalog, TableReader
from thornshelf.core import Attempt, Dispatcher, TaskRequest
from thornshelf.core.releases import DisconnectedClient
from thornshelf.core.state_transfer import export_state
from thornshelf.discovery.endpoint_events import decode_events
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG
from thornshelf.lab.membership import SECOND, Network, run_settled, run_until_settled
from thornshelf.lab.scale.layout import Layout
from thornshelf.loop import Loop
from thornshelf.placement.placer import Placer

DECISIONS = 240
MEMBERSHIP_SAMPLE_S = 10  # of virtual time, in large fleets
MAX_SIMULATED_JOINS = 64  # members whose joining is simulated; larger fleets start with a complete view


class IdleNode:
    """A node link that is always connected and ignores everything it is told."""

    connection_state, has_pending_data = "connected", False

    def __init__(self) -> None:
        self.in_flight: dict[int, Attempt] = {}
        self.running: set[int] = set()

    def __getattr__(self, name: str) -> Any:
        return lambda *_: []


def example_settings() -> api.Settings:
    """Returns the settings of the example configuration."""
    return read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)}).settings


def make_core(layout: Layout, nodes: int) -> Dispatcher:
    """Returns the core of a dispatcher whose endpoint list has ``nodes`` nodes."""
    core = Dispatcher(Loop(), example_settings(), 1, lambda *_: IdleNode(), lambda *_: None)
    if nodes:
        _, changes = decode_events(layout.full_list(nodes), 0, lambda us: us, _raise_fault)
        core.update_endpoints(changes[0])
        core.run_turn()
    return core


def _raise_fault(error: Exception) -> None:
    raise error


def _freeze_garbage() -> None:
    """Exempt existing objects from garbage collection, as a dispatcher does after its start."""
    gc.collect()
    gc.freeze()


def _cpu_us_per_call(started_s: float, count: int) -> float:
    return (time.process_time() - started_s) / count * 1e6


def measure_endpoint_list(nodes: int, seed: int) -> dict[str, float]:
    """Measure the size of the complete endpoint list in the JSON of the change log."""
    return {"list_bytes": float(len(json.dumps(Layout(seed).full_list(nodes))))}


def measure_placement(nodes: int, seed: int) -> dict[str, float]:
    """Measure the memory of the placer and the time per decision, with one task running on each node."""
    rng, layout = random.Random(seed), Layout(seed)
    settings = replace(example_settings(), placers=2)
    entries = tuple(
        api.Endpoint(n, api.Health.UP, layout.machine_type(n), settings.zone, 1, 0.0, 0.0, 1.0, 0.0)
        for n in range(nodes)
    )
    gc.collect()
    tracemalloc.start()
    placer = Placer(settings, seed)
    placer.handle(1.0, [api.EndpointUpdate(True, 1, entries)])
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for number in range(nodes):
        request = _placement_request(1 << 30 | number, number % 500, rng)
        placer.handle(1.0, [api.TaskAdopted(request, number)])
    now, cpu_s = 2.0, 0.0
    _freeze_garbage()
    for number in range(1, DECISIONS + 1):
        now += 0.01
        request = _placement_request(number, rng.randrange(500), rng)
        started_s = time.process_time()
        actions = placer.handle(now, [request])
        cpu_s += time.process_time() - started_s
        for action in actions:
            if isinstance(action, api.StartAttempt):
                placer.handle(now, [api.AttemptAccepted(number, action.machine, 0, 0.01)])
    return {"placement_bytes": float(size_bytes), "decision_us": cpu_s / DECISIONS * 1e6}


def _placement_request(number: int, service: int, rng: random.Random) -> api.PlacementRequest:
    cores, memory = rng.choice((0.5, 1.0, 2.0)), rng.choice((1.0, 2.0, 3.0))
    return api.PlacementRequest(number, "lookup", None, number, 8.0, 8.0, service, cores, memory)


def measure_running_tasks(tasks: int, seed: int) -> dict[str, float]:
    """Measure the memory of running tasks, and the size of their state transfer to a successor."""
    layout = Layout(seed)
    nodes = max(14, min(1_000, tasks // 10))
    core = make_core(layout, nodes)
    gc.collect()
    process = psutil.Process()
    rss_before = process.memory_info().rss
    owner = DisconnectedClient("127.0.0.1")
    for uid in range(1, tasks + 1):
        name = layout.name(uid % nodes)
        task = core.create_task(
            TaskRequest(
                owner,
                uid,
                "lookup",
                "hollis-county",
                uid,
                1 << 60,
                8_200_000,
                uid % 500,
                1.0,
                2.0,
                b"x" * 64,
                name,
            )
        )
        core.index_task(task, uid)
        core.adopt_task(task, name)
        if uid % 1_000 == 0:
            core.run_turn()
    core.run_turn()
    grown_bytes = process.memory_info().rss - rss_before
    transfer_bytes = sum(len(json.dumps(record)) + 1 for record in export_state(core))
    return {"standing_bytes": float(grown_bytes), "handover_bytes": float(transfer_bytes)}


def measure_query(nodes: int, seed: int) -> dict[str, float]:
    """Measure the time to read the complete table of nodes."""
    core = make_core(Layout(seed), nodes)
    catalog = Catalog()
    catalog.add(
        *CoreTables(core, History(1_000), ErrorCounters(), lambda us: us // 1000).tables(
            lambda: core.settings
        )
    )
    table = catalog.table("nodes")
    rounds = max(2, 4_000 // nodes)
    _freeze_garbage()
    started_s = time.process_time()
    for _ in range(rounds):
        reading = TableReader(table, [column.name for column in table.columns], {})
        while not reading.exhausted:
            reading.read_rows(lambda: 0, 1, 1 << 30)
    return {"question_us": _cpu_us_per_call(started_s, rounds)}


def measure_membership(members: int, seed: int) -> dict[str, float]:
    """Measure traffic, processor time and memory of one member of an idle fleet, in virtual time."""
    network, names = Network(seed), [f"m{number:04d}" for number in range(members)]
    if members <= MAX_SIMULATED_JOINS:
        run_until_settled(network, names, 120 * SECOND)
    else:
        run_until_settled(network, names[:MAX_SIMULATED_JOINS], 120 * SECOND)
        network = Network(seed)
        run_settled(network, names)
    network.run(network.now + 4 * SECOND)
    # Small fleets need longer for a measurable amount of work.
    sample_s = MEMBERSHIP_SAMPLE_S * max(1, MAX_SIMULATED_JOINS // members)
    bytes_before, sent_before, started_s = network.bytes, network.sent, time.process_time()
    network.run(network.now + sample_s * SECOND)
    cpu_s, member_seconds = time.process_time() - started_s, members * sample_s
    tracemalloc.start()
    newcomer = network.start("one-more", names[:2])
    for member in network.members[names[0]].table.members.values():
        newcomer.table.add(member.record, network.now)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "view_bytes": (network.bytes - bytes_before) / member_seconds,
        "view_datagrams": (network.sent - sent_before) / member_seconds,
        "view_us": cpu_s / member_seconds * 1e6,
        "view_kb": size_bytes / 1024,
    }
