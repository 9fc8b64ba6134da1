"""Experiment: a flood of hostile clients, while clients of two known networks send requests as usual.

The known networks are prefixes in the operator's file; the flood comes from other loopback addresses. All figures
are what the clients observed.
"""

from __future__ import annotations

import errno
import random
import tempfile
import time
from collections import Counter
from collections.abc import Generator
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from thornshelf.lab.fakes.cluster import BINARY, JSON
from thornshelf.lab.flood import KINDS, PHASE_S, connect_from, encode_request, run_flood
from thornshelf.lab.load import LoadNode
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.process import DispatcherProcess
from thornshelf.loop import Loop, Wait
from thornshelf.wire import jsonl

SOCKETS = 256
KNOWN_CLIENT_PREFIXES = {"hollis-county": "127.1.0.", "pruett-county": "127.2.0."}
WARM_UP_S = 1.0
CALM_S = 5.0
TARGET_US = 800_000
VISIT_INTERVAL_US = 60_000  # between two connections from one network

GRPC_CONFIG = """
[grpc]
listen = "127.0.0.1:0"
"""
ADMISSION_CONFIG = """
[admission]
reserve = {reserve}
reserve_floor = {floor}
connections = 24
connections_per_s = 100
set_ups_per_s = 60
unknown_set_ups_per_s = 20
known_after = 20
[[admission.rule]]
name = "hollis-county"
prefix = "127.1.0.0/16"
known = {known}
[[admission.rule]]
name = "pruett-county"
prefix = "127.2.0.0/16"
known = {known}
[[admission.rule]]
name = "the crowd"
prefix = "127.9.0.0/16"
connections = {crowd}
[admission.shares]
[admission.descriptors]
nodes = 16
"""
WITHOUT_RESERVE = {"reserve": 0, "floor": 0, "known": "false", "crowd": 100000}
WITH_RESERVE = {"reserve": 64, "floor": 16, "known": "true", "crowd": 150}


@dataclass
class Tally:
    """What the known clients observed in one part of the run.

    ``visits``: attempted connections; ``connected``: those with an answer; ``asked``: requests; ``in_time``: those
    placed within ``TARGET_US``; ``outcomes``: number of requests and failed connections by outcome; ``latencies``:
    microseconds from the start of a visit to an answer.
    """

    visits: int = 0
    connected: int = 0
    asked: int = 0
    in_time: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: Any = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))


def merge_tallies(tallies: list[Tally]) -> Tally:
    """Return the sum of several tallies."""
    total = Tally()
    for tally in tallies:
        total.visits += tally.visits
        total.connected += tally.connected
        total.asked += tally.asked
        total.in_time += tally.in_time
        total.outcomes.update(tally.outcomes)
        total.latencies.add(tally.latencies)
    return total


class KnownClients:
    """Clients of the known networks: one connection and up to three requests each; ``tally``: the current one."""

    def __init__(self, loop: Loop, address: tuple[str, int], rng: random.Random) -> None:
        self.loop, self.address, self.rng = loop, address, rng
        self.tally = Tally()
        self.uid = 1 << 40
        self.running = True
        for network in KNOWN_CLIENT_PREFIXES:
            loop.spawn(self._visits(network))

    def _visits(self, network: str) -> Generator[Wait, int, None]:
        while self.running:
            self.loop.spawn(self._visit(network, self.tally))
            yield Wait(until=self.loop.now + VISIT_INTERVAL_US)

    def _visit(self, network: str, tally: Tally) -> Generator[Wait, int, None]:
        tally.visits += 1
        source = KNOWN_CLIENT_PREFIXES[network] + str(self.rng.randrange(1, 20))
        started_us = self.loop.now
        stream = yield from connect_from(self.loop, source, self.address, 2_000_000)
        if isinstance(stream, int):
            tally.outcomes[errno.errorcode.get(stream, str(stream))] += 1
            return
        open_uids = set()
        for _ in range(self.rng.randrange(1, 4)):
            self.uid += 1
            open_uids.add(self.uid)
            stream.send(encode_request(self.uid, network, self.rng.randrange(1, 20)))
        tally.asked += len(open_uids)
        reader, placed, deadline_us = jsonl.LineReader(), set[int](), started_us + 4_000_000
        has_answer = False
        while (open_uids or placed) and (data := (yield from stream.read(deadline_us))):
            reader.feed(data)
            while (line := reader.next()) is not None:
                if line.uid in open_uids and not has_answer:
                    # The kernel's backlog accepts connections that the dispatcher never serves: only an answer
                    # shows that one was served.
                    has_answer = True
                    tally.connected += 1
                if line.uid in open_uids:
                    open_uids.discard(line.uid)
                    tally.outcomes[line.kind if line.kind == "running" else f"stop {line.reason}"] += 1
                    latency_us = max(1, self.loop.now - started_us)
                    tally.latencies.record_value(latency_us)
                    if line.kind == "running":
                        placed.add(line.uid)
                        tally.in_time += latency_us <= TARGET_US
                elif line.uid == jsonl.UNKNOWN_UID:
                    tally.outcomes["turned away"] += 1
                else:
                    placed.discard(line.uid)
        tally.outcomes["unanswered"] += len(open_uids)
        stream.close()


class FloodRun:
    """A dispatcher with known clients and a flood; ``peak_descriptors``: the most that the dispatcher had open."""

    def __init__(self, seed: int, operator: str, folder: Path) -> None:
        self.loop = Loop()
        rng = random.Random(seed)
        nodes = [LoadNode(self.loop, BINARY, Oracle(), rng) for _ in range(4)]
        for node in nodes:
            node.rejected_fraction = 0.0
            node.mean_lifetime_us = 300_000
        ports = [node.port for node in nodes]
        self.dispatcher = DispatcherProcess(folder, ports, operator, sockets=SOCKETS)
        self.known_clients = KnownClients(self.loop, self.dispatcher.addresses[JSON], rng)
        self.peak_descriptors = 0

    def run_for(self, seconds: float) -> Tally:
        """Run the loop for a while; returns the known clients' tally of that time."""
        self.known_clients.tally = tally = Tally()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.loop.call_later(10_000, lambda: None)
            self.loop.turn()
            if self.dispatcher.process.poll() is None:
                self.peak_descriptors = max(self.peak_descriptors, self.dispatcher.descriptors)
        return tally

    def flood(self, seed: int) -> tuple[list[Tally], dict[str, int]]:
        """Run the flood; returns the known clients' tally for each kind of hostile client, and the flood's counts."""
        context = get_context("spawn")
        results = context.Queue()
        process = context.Process(target=run_flood, args=(self.dispatcher.addresses, seed, results))
        process.start()
        self.run_for(0.5)
        tallies = [self.run_for(PHASE_S) for _ in range(KINDS)]
        counts = results.get(timeout=10)
        process.join(10)
        return tallies, counts


def run(seed: int, with_admission: bool = True, injected_fault: str | None = None) -> dict[str, Any]:
    """Run the experiment; returns its report.

    ``with_admission``: with admission control; ``injected_fault``: ``no-reserve`` for no reserved connections.
    """
    operator = GRPC_CONFIG
    if with_admission:
        operator += ADMISSION_CONFIG.format(
            **(WITHOUT_RESERVE if injected_fault == "no-reserve" else WITH_RESERVE)
        )
    with tempfile.TemporaryDirectory() as folder:
        experiment = FloodRun(seed, operator, Path(folder))
        dispatcher = experiment.dispatcher
        experiment.run_for(WARM_UP_S)
        baseline = experiment.run_for(CALM_S)
        rss_kb = dispatcher.rss_kb
        tallies, counts = experiment.flood(seed)
        experiment.known_clients.running = False
        experiment.run_for(2.5)
        is_up = dispatcher.process.poll() is None
        rss_growth_mb = (dispatcher.rss_kb - rss_kb) / 1024 if is_up else 0.0
        exit_code = dispatcher.terminate()
        log_counts = dispatcher.log_counts()
    experiment.loop.close()
    p99_by_phase = [float(round(tally.latencies.get_value_at_percentile(99) / 1000, 1)) for tally in tallies]
    report = _report(
        seed,
        baseline,
        merge_tallies(tallies),
        counts,
        experiment.peak_descriptors,
        rss_growth_mb,
        is_up and exit_code == 0,
    )
    return report | {"p99_by_phase": p99_by_phase, "log": log_counts, "door": with_admission}


def _report(
    seed: int,
    baseline: Tally,
    flooded: Tally,
    counts: dict[str, int],
    peak_descriptors: int,
    rss_growth_mb: float,
    is_healthy: bool,
) -> dict[str, Any]:
    clean_rejections = counts.get("turned away with a word", 0) + counts.get("closed", 0)
    other_rejections = counts.get("reset", 0) + sum(
        count for name, count in counts.items() if name.startswith("not connected")
    )
    latencies = flooded.latencies

    def in_time_fraction(tally: Tally) -> float:
        return tally.in_time / max(1, tally.asked)

    def ms(percentile: float) -> float:
        return float(round(latencies.get_value_at_percentile(percentile) / 1000, 1))

    return {
        "seed": seed,
        "known_visits": flooded.visits,
        "known_connected_share": round(flooded.connected / max(1, flooded.visits), 5),
        "known_answer_ms": {"p50": ms(50), "p99": ms(99)},
        "known_words": dict(flooded.outcomes),
        "known_worth_vs_calm": round(in_time_fraction(flooded) / in_time_fraction(baseline), 4)
        if in_time_fraction(baseline)
        else 0.0,
        "calm_worth": round(in_time_fraction(baseline), 4),
        "flood": counts,
        "flood_refused_cleanly_share": round(
            clean_rejections / max(1, clean_rejections + other_rejections), 4
        ),
        "peak_descriptors": peak_descriptors,
        "descriptor_limit": SOCKETS,
        "rss_growth_mb": round(rss_growth_mb, 2),
        "process_up": is_healthy,
    }


def passed(report: dict[str, Any]) -> bool:
    """Whether known clients were served as before, within the descriptor limit, and the process ended normally."""
    return bool(
        report["known_connected_share"] == 1
        and report["known_answer_ms"]["p99"] <= 800
        and report["known_worth_vs_calm"] >= 0.98
        and report["peak_descriptors"] <= report["descriptor_limit"]
        and report["process_up"]
    )
