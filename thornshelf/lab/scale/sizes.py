"""What a real dispatcher costs by the size of its list: one that holds all nodes, and beside it one of a subset."""

from __future__ import annotations

import os
import signal
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import median

from thornshelf.lab.scale.bounds import Bounds
from thornshelf.lab.scale.hollow import Count, Drain, Kill, Nodes, NodeTally, Rise
from thornshelf.lab.scale.layout import ZONES, Layout
from thornshelf.lab.scale.testbed import Dispatcher, ScaleTestbed

SETTLE_S = 40.0  # a start, or a lost zone, is waited for no longer
CHANGES = 40
RELOADS = 8
WINDOWS = 4  # of rest
RELOAD_S, RELOAD_NODE_S = 0.2, 1.5e-5  # between two of them: longer than one takes
CHANGE_S, CHANGE_NODE_S = 0.02, 6e-6  # between two changes: each is to be read by itself
TASKS_S = 15.0  # the last tasks of a load are waited for no longer


@dataclass(frozen=True, slots=True)
class Spans:
    """How long each part of a measurement takes, in seconds, and how many set-ups a second its load has."""

    rest_s: float
    load_s: float
    per_s: float
    keepalive_s: float  # idle links are closed so soon, so that rest is reached within seconds


@dataclass(slots=True)
class Found:
    """Quantities of the dispatcher that holds all nodes, and of the one of a subset."""

    whole: dict[str, float]
    subset: dict[str, float]
    lost: int
    doubled: int
    late: int


def at_size(
    count: int, layout: Layout, nodes: Nodes, folder: Path, bounds: Bounds, spans: Spans, placers: int
) -> Found:
    """Start, rest, load, changes, a reload, a lost zone and its return, with a list of so many nodes."""
    before = nodes.tell(Count())
    world = ScaleTestbed(layout, nodes, count, 2, folder, bounds, placers)
    world.keepalive_s = spans.keepalive_s
    try:
        pair = (world.start_real(0, False), world.start_real(1, True))
        world.ready()
        found: tuple[dict[str, float], dict[str, float]] = ({}, {})
        _start(world, pair, found)
        _rest(world, pair, found, spans)
        _changes(world, pair, found)
        _load(world, pair, found, spans)
        _reload(world, pair, found)
        _zone(world, pair, found)
        world.rest(0.5)
        late = nodes.tell(Count()).late - before.late
        return Found(*found, *_outcomes(world, nodes), late)
    finally:
        world.close()


def _start(world: ScaleTestbed, pair: tuple[Dispatcher, ...], found: tuple[dict[str, float], ...]) -> None:
    """Until all nodes of its part have been called."""
    world.quiet(SETTLE_S)
    for one, mine in zip(pair, found, strict=True):
        mine["start_ms"] = one.ready_s * 1e3
        mine["start_cpu_ms"] = one.cpu_us / 1e3
        mine["descriptors"] = float(one.most_descriptors)
        mine["started_kb"] = one.kb


def _rest(
    world: ScaleTestbed, pair: tuple[Dispatcher, ...], found: tuple[dict[str, float], ...], spans: Spans
) -> None:
    """With nothing to do: idle links have been closed. Work is the median of some windows."""
    world.rest(2.0 * spans.keepalive_s)
    sent, tally, began = _sent(world, pair), world.nodes.tell(Count()), time.monotonic()
    windows = [_window(world, pair, spans.rest_s / WINDOWS) for _ in range(WINDOWS)]
    passed = time.monotonic() - began
    links = (world.nodes.tell(Count()).bytes - tally.bytes) / passed / len(pair)
    for place, mine in enumerate(found):
        mine["rest_us"] = median(window[place] for window in windows)
        mine["rest_bytes"] = (_sent(world, pair)[place] - sent[place]) / passed + links
        mine["held_kb"] = max(mine.pop("started_kb"), pair[place].kb)


def _window(world: ScaleTestbed, pair: tuple[Dispatcher, ...], seconds: float) -> list[float]:
    """Processor time a second of each, while so long passes."""
    cpu, began = _spent(pair), time.monotonic()
    world.rest(seconds)
    passed = time.monotonic() - began
    return [(after - before) / passed for before, after in zip(cpu, _spent(pair), strict=True)]


def _changes(world: ScaleTestbed, pair: tuple[Dispatcher, ...], found: tuple[dict[str, float], ...]) -> None:
    """Single nodes start anew, one after another."""
    cpu, sent = _spent(pair), _sent(world, pair)
    began = time.monotonic()
    for number in range(CHANGES):
        world.tell(world.layout.entry(number % world.count, started_ms=1_000 + number))
        world.rest(CHANGE_S + CHANGE_NODE_S * world.count)
    world.quiet(5.0)
    passed = time.monotonic() - began
    for place, mine in enumerate(found):
        rest = mine["rest_us"] * passed
        mine["list_change_us"] = max(0.0, _spent(pair)[place] - cpu[place] - rest) / CHANGES
        mine["list_change_bytes"] = (
            _sent(world, pair)[place] - sent[place] - mine["rest_bytes"] * passed
        ) / CHANGES


def _load(
    world: ScaleTestbed, pair: tuple[Dispatcher, ...], found: tuple[dict[str, float], ...], spans: Spans
) -> None:
    """Set-ups at a steady rate, until their tasks have ended."""
    cpu, logs, tally = _spent(pair), [one.log_bytes for one in pair], world.nodes.tell(Count())
    counties = [one.county for one in pair if one.county is not None]
    began = time.monotonic()
    starts = max(1, world.load(spans.load_s, spans.per_s))
    after: NodeTally = world.nodes.tell(Count())
    passed = time.monotonic() - began
    for place, mine in enumerate(found):
        mine["start_us"] = (_spent(pair)[place] - cpu[place] - mine["rest_us"] * passed) / starts
        mine["log_bytes_a_start"] = (pair[place].log_bytes - logs[place]) / starts
        mine["client_bytes_a_start"] = counties[place].bytes / starts
        mine["client_messages_a_start"] = counties[place].messages / starts
        mine["node_bytes_a_start"] = (after.bytes - tally.bytes) / starts / len(pair)
        mine["node_messages_a_start"] = (after.messages - tally.messages) / starts / len(pair)
    world.until(lambda: all(task["done"] for one in counties for task in one.tasks.values()), TASKS_S)
    world.quiet(SETTLE_S)


def _reload(world: ScaleTestbed, pair: tuple[Dispatcher, ...], found: tuple[dict[str, float], ...]) -> None:
    """SIGHUP, with the file as it is; the median of some."""
    seconds = RELOAD_S + RELOAD_NODE_S * world.count
    windows = []
    for _ in range(RELOADS):
        for one in pair:
            os.kill(one.pid, signal.SIGHUP)
        windows.append(_window(world, pair, seconds))
    world.quiet(SETTLE_S)
    for place, mine in enumerate(found):
        mine["reload_us"] = (median(window[place] for window in windows) - mine["rest_us"]) * seconds


def _zone(world: ScaleTestbed, pair: tuple[Dispatcher, ...], found: tuple[dict[str, float], ...]) -> None:
    """All nodes of zone 1, the subset's own, are lost at once, and come back cold."""
    lost = range(1, world.count, ZONES)
    cpu, began = _spent(pair), time.monotonic()
    world.nodes.tell(Kill(lost))
    world.tell(*(world.layout.entry(node, "terminated") for node in lost))
    world.rest(0.3)
    world.quiet(SETTLE_S)
    for place, mine in enumerate(found):
        rest = mine["rest_us"] * (time.monotonic() - began)
        mine["zone_lost_ms"] = (_spent(pair)[place] - cpu[place] - rest) / 1e3
    cpu, began = _spent(pair), time.monotonic()
    world.nodes.tell(Rise(lost))
    now_ms = time.time_ns() // 1_000_000
    world.tell(*(world.layout.entry(node, started_ms=now_ms) for node in lost))
    world.rest(0.3)
    world.quiet(SETTLE_S)
    for place, mine in enumerate(found):
        rest = mine["rest_us"] * (time.monotonic() - began)
        mine["zone_back_ms"] = (_spent(pair)[place] - cpu[place] - rest) / 1e3
    world.nodes.tell(Drain(lost, False))


def _outcomes(world: ScaleTestbed, nodes: Nodes) -> tuple[int, int]:
    """Tasks lost and doubled, by the stand-ins' own count."""
    tally = nodes.tell(Count())
    world.truth.over = tally.over
    return len(world.truth.lost(world.loop.now, 2_000_000)), len(world.truth.doubled())


def _spent(pair: tuple[Dispatcher, ...]) -> list[float]:
    return [one.cpu_us for one in pair]


def _sent(world: ScaleTestbed, pair: tuple[Dispatcher, ...]) -> list[float]:
    return [float(world.keeper.sent[one.index]) for one in pair]
