"""Costs of single parts of the program, measured in a process of their own with the program's own code.

Each function gives named quantities at one value of a variable. Processor time is the process's own, so other
processes on the machine change it little.
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
QUIET_S = 10
JOINED = 64  # members whose joining is played; larger fleets begin as if they had


class IdleNode:
    """A node without a connection."""

    connection_state, has_pending_data = "connected", False

    def __init__(self) -> None:
        self.in_flight: dict[int, Attempt] = {}
        self.running: set[int] = set()

    def __getattr__(self, name: str) -> Any:
        return lambda *_: []


def settings() -> api.Settings:
    """Those of the laboratory's configuration."""
    return read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)}).settings


def a_core(layout: Layout, nodes: int) -> Dispatcher:
    """The core of a dispatcher that knows so many nodes."""
    core = Dispatcher(Loop(), settings(), 1, lambda *_: IdleNode(), lambda *_: None)
    if nodes:
        _, changes = decode_events(layout.whole(nodes), 0, lambda us: us, _refuse)
        core.update_endpoints(changes[0])
        core.run_turn()
    return core


def _refuse(fault: Exception) -> None:
    raise fault


def _settle_memory() -> None:
    """As after a dispatcher's start: what was made until now is no work for the garbage collector."""
    gc.collect()
    gc.freeze()


def _us(began: float, count: int) -> float:
    return (time.process_time() - began) / count * 1e6


def list_at(nodes: int, seed: int) -> dict[str, float]:
    """A whole list, as the change log sends it."""
    return {"list_bytes": float(len(json.dumps(Layout(seed).whole(nodes))))}


def placement_at(nodes: int, seed: int) -> dict[str, float]:
    """The decision module's state, and the time of one decision, with half of what the nodes admit in use."""
    chance, layout = random.Random(seed), Layout(seed)
    terms = replace(settings(), placers=2)
    entries = tuple(
        api.Endpoint(n, api.Health.UP, layout.kind(n), terms.zone, 1, 0.0, 0.0, 1.0, 0.0)
        for n in range(nodes)
    )
    gc.collect()
    tracemalloc.start()
    placer = Placer(terms, seed)
    placer.handle(1.0, [api.EndpointUpdate(True, 1, entries)])
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for number in range(nodes):
        ask = _ask(1 << 30 | number, number % 500, chance)
        placer.handle(1.0, [api.TaskAdopted(ask, number)])
    now, spent = 2.0, 0.0
    _settle_memory()
    for number in range(1, DECISIONS + 1):
        now += 0.01
        ask = _ask(number, chance.randrange(500), chance)
        began = time.process_time()
        actions = placer.handle(now, [ask])
        spent += time.process_time() - began
        for action in actions:
            if isinstance(action, api.StartAttempt):
                placer.handle(now, [api.AttemptAccepted(number, action.machine, 0, 0.01)])
    return {"placement_bytes": float(size), "decision_us": spent / DECISIONS * 1e6}


def _ask(number: int, service: int, chance: random.Random) -> api.PlacementRequest:
    cores, memory = chance.choice((0.5, 1.0, 2.0)), chance.choice((1.0, 2.0, 3.0))
    return api.PlacementRequest(number, "lookup", None, number, 8.0, 8.0, service, cores, memory)


def standing_at(tasks: int, seed: int) -> dict[str, float]:
    """Tasks that stand: memory in the core's and the module's tables, and what a hand-over of them sends."""
    layout = Layout(seed)
    nodes = max(14, min(1_000, tasks // 10))
    core = a_core(layout, nodes)
    gc.collect()
    process = psutil.Process()
    before = process.memory_info().rss
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
    grown = process.memory_info().rss - before
    sent = sum(len(json.dumps(one)) + 1 for one in export_state(core))
    return {"standing_bytes": float(grown), "handover_bytes": float(sent)}


def question_at(nodes: int, seed: int) -> dict[str, float]:
    """A question for all nodes: the time that reading the table takes."""
    core = a_core(Layout(seed), nodes)
    catalog = Catalog()
    catalog.add(
        *CoreTables(core, History(1_000), ErrorCounters(), lambda us: us // 1000).tables(
            lambda: core.settings
        )
    )
    table = catalog.table("nodes")
    rounds = max(2, 4_000 // nodes)
    _settle_memory()
    began = time.process_time()
    for _ in range(rounds):
        reading = TableReader(table, [column.name for column in table.columns], {})
        while not reading.exhausted:
            reading.read_rows(lambda: 0, 1, 1 << 30)
    return {"question_us": _us(began, rounds)}


def view_at(members: int, seed: int) -> dict[str, float]:
    """The view of the fleet at rest, in virtual time: what one member sends, works and keeps."""
    network, names = Network(seed), [f"m{number:04d}" for number in range(members)]
    if members <= JOINED:
        run_until_settled(network, names, 120 * SECOND)
    else:
        run_until_settled(network, names[:JOINED], 120 * SECOND)
        network = Network(seed)
        run_settled(network, names)
    network.run(network.now + 4 * SECOND)
    quiet_s = QUIET_S * max(1, JOINED // members)  # few members work so little that it takes longer to tell
    bytes_before, sent_before, began = network.bytes, network.sent, time.process_time()
    network.run(network.now + quiet_s * SECOND)
    spent, each = time.process_time() - began, members * quiet_s
    tracemalloc.start()
    view = network.start("one-more", names[:2])
    for member in network.members[names[0]].table.members.values():
        view.table.add(member.record, network.now)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "view_bytes": (network.bytes - bytes_before) / each,
        "view_datagrams": (network.sent - sent_before) / each,
        "view_us": spent / each * 1e6,
        "view_kb": size / 1024,
    }
