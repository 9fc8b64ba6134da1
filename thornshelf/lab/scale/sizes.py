"""Measures real dispatchers at one size of the endpoint list: one that holds all nodes, and one with a subset."""

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

MAX_SETTLE_S = 40.0  # maximum wait for idle dispatchers
CHANGES = 40
RELOADS = 8
IDLE_SAMPLES = 4  # samples of idle processor time; the median counts
RELOAD_INTERVAL_S, RELOAD_INTERVAL_PER_NODE_S = 0.2, 1.5e-5  # longer than a reload takes
CHANGE_INTERVAL_S, CHANGE_INTERVAL_PER_NODE_S = (
    0.02,
    6e-6,
)  # long enough for each change to be read separately
MAX_TASK_WAIT_S = 15.0  # maximum wait for the end of the last tasks


@dataclass(frozen=True, slots=True)
class PhaseTimes:
    """Durations of the phases of a measurement, and the request rate at each dispatcher under load."""

    rest_s: float
    load_s: float
    requests_per_s: float
    keepalive_s: float  # short, so that idle node connections close within seconds


@dataclass(slots=True)
class SizeMeasurement:
    """Quantities of the dispatcher with the complete list and of the one with a subset, and counts of errors."""

    complete: dict[str, float]
    subset: dict[str, float]
    lost: int
    doubled: int
    late_offers: int


def measure_size(
    count: int, layout: Layout, nodes: Nodes, folder: Path, bounds: Bounds, times: PhaseTimes, placers: int
) -> SizeMeasurement:
    """Measure start, idle state, list changes, load, reload, and loss and return of a zone, with ``count`` nodes.

    ``placers`` is the number of dispatchers that the settings assume in the fleet.
    """
    before = nodes.tell(Count())
    testbed = ScaleTestbed(layout, nodes, count, 2, folder, bounds, placers)
    testbed.keepalive_s = times.keepalive_s
    try:
        dispatchers = (testbed.start_real(0, False), testbed.start_real(1, True))
        testbed.wait_until_ready()
        results: tuple[dict[str, float], dict[str, float]] = ({}, {})
        _measure_start(testbed, dispatchers, results)
        _measure_idle(testbed, dispatchers, results, times)
        _measure_list_changes(testbed, dispatchers, results)
        _measure_load(testbed, dispatchers, results, times)
        _measure_reload(testbed, dispatchers, results)
        _measure_zone_loss(testbed, dispatchers, results)
        testbed.run_for(0.5)
        late_offers = nodes.tell(Count()).late - before.late
        return SizeMeasurement(*results, *_count_failures(testbed, nodes), late_offers)
    finally:
        testbed.close()


def _measure_start(
    testbed: ScaleTestbed, dispatchers: tuple[Dispatcher, ...], results: tuple[dict[str, float], ...]
) -> None:
    """Measure the start, until all nodes of the list or subset have been connected to."""
    testbed.wait_until_idle(MAX_SETTLE_S)
    for dispatcher, quantities in zip(dispatchers, results, strict=True):
        quantities["start_ms"] = dispatcher.ready_s * 1e3
        quantities["start_cpu_ms"] = dispatcher.cpu_us / 1e3
        quantities["descriptors"] = float(dispatcher.peak_descriptors)
        quantities["started_kb"] = dispatcher.memory_kb


def _measure_idle(
    testbed: ScaleTestbed,
    dispatchers: tuple[Dispatcher, ...],
    results: tuple[dict[str, float], ...],
    times: PhaseTimes,
) -> None:
    """Measure idle dispatchers, after idle node connections have been closed."""
    testbed.run_for(2.0 * times.keepalive_s)
    sent_before, tally_before, started_s = (
        _list_bytes_sent(testbed, dispatchers),
        testbed.nodes.tell(Count()),
        time.monotonic(),
    )
    samples = [_sample_cpu(testbed, dispatchers, times.rest_s / IDLE_SAMPLES) for _ in range(IDLE_SAMPLES)]
    elapsed_s = time.monotonic() - started_s
    node_bytes = (testbed.nodes.tell(Count()).bytes - tally_before.bytes) / elapsed_s / len(dispatchers)
    for index, quantities in enumerate(results):
        quantities["rest_us"] = median(sample[index] for sample in samples)
        quantities["rest_bytes"] = (
            _list_bytes_sent(testbed, dispatchers)[index] - sent_before[index]
        ) / elapsed_s + node_bytes
        quantities["held_kb"] = max(quantities.pop("started_kb"), dispatchers[index].memory_kb)


def _sample_cpu(testbed: ScaleTestbed, dispatchers: tuple[Dispatcher, ...], seconds: float) -> list[float]:
    """Returns the processor time per second of each dispatcher, measured over an interval."""
    cpu_before, started_s = _cpu_us(dispatchers), time.monotonic()
    testbed.run_for(seconds)
    elapsed_s = time.monotonic() - started_s
    return [
        (after - before) / elapsed_s for before, after in zip(cpu_before, _cpu_us(dispatchers), strict=True)
    ]


def _measure_list_changes(
    testbed: ScaleTestbed, dispatchers: tuple[Dispatcher, ...], results: tuple[dict[str, float], ...]
) -> None:
    """Measure list changes: single nodes restart, one after another."""
    cpu_before, sent_before = _cpu_us(dispatchers), _list_bytes_sent(testbed, dispatchers)
    started_s = time.monotonic()
    for number in range(CHANGES):
        testbed.publish_instances(testbed.layout.entry(number % testbed.count, started_ms=1_000 + number))
        testbed.run_for(CHANGE_INTERVAL_S + CHANGE_INTERVAL_PER_NODE_S * testbed.count)
    testbed.wait_until_idle(5.0)
    elapsed_s = time.monotonic() - started_s
    for index, quantities in enumerate(results):
        rest = quantities["rest_us"] * elapsed_s
        quantities["list_change_us"] = (
            max(0.0, _cpu_us(dispatchers)[index] - cpu_before[index] - rest) / CHANGES
        )
        quantities["list_change_bytes"] = (
            _list_bytes_sent(testbed, dispatchers)[index]
            - sent_before[index]
            - quantities["rest_bytes"] * elapsed_s
        ) / CHANGES


def _measure_load(
    testbed: ScaleTestbed,
    dispatchers: tuple[Dispatcher, ...],
    results: tuple[dict[str, float], ...],
    times: PhaseTimes,
) -> None:
    """Measure requests at a steady rate, then wait until their tasks have ended."""
    cpu_before, log_bytes_before, tally_before = (
        _cpu_us(dispatchers),
        [dispatcher.log_bytes for dispatcher in dispatchers],
        testbed.nodes.tell(Count()),
    )
    clients = [dispatcher.network for dispatcher in dispatchers if dispatcher.network is not None]
    started_s = time.monotonic()
    starts = max(1, testbed.send_requests(times.load_s, times.requests_per_s))
    tally: NodeTally = testbed.nodes.tell(Count())
    elapsed_s = time.monotonic() - started_s
    for index, quantities in enumerate(results):
        quantities["start_us"] = (
            _cpu_us(dispatchers)[index] - cpu_before[index] - quantities["rest_us"] * elapsed_s
        ) / starts
        quantities["log_bytes_a_start"] = (dispatchers[index].log_bytes - log_bytes_before[index]) / starts
        quantities["client_bytes_a_start"] = clients[index].bytes / starts
        quantities["client_messages_a_start"] = clients[index].messages / starts
        quantities["node_bytes_a_start"] = (tally.bytes - tally_before.bytes) / starts / len(dispatchers)
        quantities["node_messages_a_start"] = (
            (tally.messages - tally_before.messages) / starts / len(dispatchers)
        )
    testbed.run_until(
        lambda: all(task["done"] for population in clients for task in population.tasks.values()),
        MAX_TASK_WAIT_S,
    )
    testbed.wait_until_idle(MAX_SETTLE_S)


def _measure_reload(
    testbed: ScaleTestbed, dispatchers: tuple[Dispatcher, ...], results: tuple[dict[str, float], ...]
) -> None:
    """Measure the reload of an unchanged configuration on SIGHUP, as the median of several."""
    seconds = RELOAD_INTERVAL_S + RELOAD_INTERVAL_PER_NODE_S * testbed.count
    samples = []
    for _ in range(RELOADS):
        for dispatcher in dispatchers:
            os.kill(dispatcher.pid, signal.SIGHUP)
        samples.append(_sample_cpu(testbed, dispatchers, seconds))
    testbed.wait_until_idle(MAX_SETTLE_S)
    for index, quantities in enumerate(results):
        quantities["reload_us"] = (
            median(sample[index] for sample in samples) - quantities["rest_us"]
        ) * seconds


def _measure_zone_loss(
    testbed: ScaleTestbed, dispatchers: tuple[Dispatcher, ...], results: tuple[dict[str, float], ...]
) -> None:
    """Measure the loss of zone 1, the subset's own, and its return with restarted nodes."""
    lost = range(1, testbed.count, ZONES)
    cpu_before, started_s = _cpu_us(dispatchers), time.monotonic()
    testbed.nodes.tell(Kill(lost))
    testbed.publish_instances(*(testbed.layout.entry(node, "terminated") for node in lost))
    testbed.run_for(0.3)
    testbed.wait_until_idle(MAX_SETTLE_S)
    for index, quantities in enumerate(results):
        rest = quantities["rest_us"] * (time.monotonic() - started_s)
        quantities["zone_lost_ms"] = (_cpu_us(dispatchers)[index] - cpu_before[index] - rest) / 1e3
    cpu_before, started_s = _cpu_us(dispatchers), time.monotonic()
    testbed.nodes.tell(Rise(lost))
    now_ms = time.time_ns() // 1_000_000
    testbed.publish_instances(*(testbed.layout.entry(node, started_ms=now_ms) for node in lost))
    testbed.run_for(0.3)
    testbed.wait_until_idle(MAX_SETTLE_S)
    for index, quantities in enumerate(results):
        rest = quantities["rest_us"] * (time.monotonic() - started_s)
        quantities["zone_back_ms"] = (_cpu_us(dispatchers)[index] - cpu_before[index] - rest) / 1e3
    testbed.nodes.tell(Drain(lost, False))


def _count_failures(testbed: ScaleTestbed, nodes: Nodes) -> tuple[int, int]:
    """Returns the numbers of tasks lost and duplicated, as the fake clients and nodes count them."""
    tally = nodes.tell(Count())
    testbed.oracle.ended_us = tally.over
    return len(testbed.oracle.lost(testbed.loop.now, 2_000_000)), len(testbed.oracle.duplicated())


def _cpu_us(dispatchers: tuple[Dispatcher, ...]) -> list[float]:
    return [dispatcher.cpu_us for dispatcher in dispatchers]


def _list_bytes_sent(testbed: ScaleTestbed, dispatchers: tuple[Dispatcher, ...]) -> list[float]:
    return [float(testbed.endpoint_source.sent[dispatcher.index]) for dispatcher in dispatchers]
