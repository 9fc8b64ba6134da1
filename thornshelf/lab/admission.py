"""Experiment: a flood of hostile clients, while two known client networks go on as usual.

The flood comes from addresses of the loopback range that no rule lists as known; the known clients connect from
prefixes that the operator's file lists. What is counted is what the clients saw.
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
from thornshelf.lab.flood import KINDS, PHASE_S, connect_from, launch, run_flood
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
VISIT_INTERVAL_US = 60_000  # between two connections of one client network

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
    """What the known clients saw in one part of the run."""

    visits: int = 0
    connected: int = 0
    asked: int = 0
    in_time: int = 0
    words: Counter[str] = field(default_factory=Counter)
    answers: Any = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))


def merged(parts: list[Tally]) -> Tally:
    """Several parts of the run as one."""
    total = Tally()
    for part in parts:
        total.visits += part.visits
        total.connected += part.connected
        total.asked += part.asked
        total.in_time += part.in_time
        total.words.update(part.words)
        total.answers.add(part.answers)
    return total


class KnownClients:
    """The known clients: short visits, each on a connection of its own."""

    def __init__(self, loop: Loop, to: tuple[str, int], rng: random.Random) -> None:
        self.loop, self.to, self.rng = loop, to, rng
        self.tally = Tally()
        self.uid = 1 << 40
        self.running = True
        for county in KNOWN_CLIENT_PREFIXES:
            loop.spawn(self._visits(county))

    def _visits(self, county: str) -> Generator[Wait, int, None]:
        while self.running:
            self.loop.spawn(self._visit(county, self.tally))
            yield Wait(until=self.loop.now + VISIT_INTERVAL_US)

    def _visit(self, county: str, tally: Tally) -> Generator[Wait, int, None]:
        tally.visits += 1
        source = KNOWN_CLIENT_PREFIXES[county] + str(self.rng.randrange(1, 20))
        began = self.loop.now
        stream = yield from connect_from(self.loop, source, self.to, 2_000_000)
        if isinstance(stream, int):
            tally.words[errno.errorcode.get(stream, str(stream))] += 1
            return
        open_uids = set()
        for _ in range(self.rng.randrange(1, 4)):
            self.uid += 1
            open_uids.add(self.uid)
            stream.send(launch(self.uid, county, self.rng.randrange(1, 20)))
        tally.asked += len(open_uids)
        reader, standing, until = jsonl.LineReader(), set[int](), began + 4_000_000
        answered = False
        while (open_uids or standing) and (data := (yield from stream.read(until))):
            reader.feed(data)
            while (line := reader.next()) is not None:
                if line.uid in open_uids and not answered:
                    # A connection counts once somebody has answered on it; one that the backlog took and nobody
                    # served does not.
                    answered = True
                    tally.connected += 1
                if line.uid in open_uids:
                    open_uids.discard(line.uid)
                    tally.words[line.kind if line.kind == "running" else f"stop {line.reason}"] += 1
                    taken = max(1, self.loop.now - began)
                    tally.answers.record_value(taken)
                    if line.kind == "running":
                        standing.add(line.uid)
                        tally.in_time += taken <= TARGET_US
                elif line.uid == jsonl.UNKNOWN_UID:
                    tally.words["turned away"] += 1
                else:
                    standing.discard(line.uid)
        tally.words["unanswered"] += len(open_uids)
        stream.close()


class FloodRun:
    """A dispatcher under load by known clients; ``peak_descriptors``: the most that it had open."""

    def __init__(self, seed: int, operator: str, folder: Path) -> None:
        self.loop = Loop()
        rng = random.Random(seed)
        nodes = [LoadNode(self.loop, BINARY, Oracle(), rng) for _ in range(4)]
        for node in nodes:
            node.rejected_fraction = 0.0
            node.mean_lifetime_us = 300_000
        ports = [node.port for node in nodes]
        self.dispatcher = DispatcherProcess(folder, ports, operator, sockets=SOCKETS)
        self.known = KnownClients(self.loop, self.dispatcher.addresses[JSON], rng)
        self.peak_descriptors = 0

    def run_for(self, seconds: float) -> Tally:
        """Run the loop for a while; returns what the known clients saw meanwhile."""
        self.known.tally = tally = Tally()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.loop.after(10_000, lambda: None)
            self.loop.turn()
            if self.dispatcher.process.poll() is None:
                self.peak_descriptors = max(self.peak_descriptors, self.dispatcher.descriptors)
        return tally

    def flood(self, seed: int) -> tuple[list[Tally], dict[str, int]]:
        """Run the flood; returns what the known clients saw during each kind, and what the flood saw."""
        context = get_context("spawn")
        results = context.Queue()
        process = context.Process(target=run_flood, args=(self.dispatcher.addresses, seed, results))
        process.start()
        self.run_for(0.5)
        parts = [self.run_for(PHASE_S) for _ in range(KINDS)]
        counts = results.get(timeout=10)
        process.join(10)
        return parts, counts


def run(seed: int, door: bool = True, plant: str | None = None) -> dict[str, Any]:
    """The whole experiment; returns the report that is printed.

    ``door``: with admission; ``plant``: ``no-reserve`` for admission without reserved connections.
    """
    operator = GRPC_CONFIG
    if door:
        operator += ADMISSION_CONFIG.format(**(WITHOUT_RESERVE if plant == "no-reserve" else WITH_RESERVE))
    with tempfile.TemporaryDirectory() as folder:
        experiment = FloodRun(seed, operator, Path(folder))
        dispatcher = experiment.dispatcher
        experiment.run_for(WARM_UP_S)
        calm = experiment.run_for(CALM_S)
        rss_kb = dispatcher.rss_kb
        parts, counts = experiment.flood(seed)
        experiment.known.running = False
        experiment.run_for(2.5)
        is_up = dispatcher.process.poll() is None
        grown_mb = (dispatcher.rss_kb - rss_kb) / 1024 if is_up else 0.0
        exit_code = dispatcher.terminate()
        log = dispatcher.log_counts()
    experiment.loop.close()
    phases = [float(round(part.answers.get_value_at_percentile(99) / 1000, 1)) for part in parts]
    report = _report(
        seed, calm, merged(parts), counts, experiment.peak_descriptors, grown_mb, is_up and exit_code == 0
    )
    return report | {"p99_by_phase": phases, "log": log, "door": door}


def _report(
    seed: int, calm: Tally, stormy: Tally, counts: dict[str, int], peak: int, grown: float, up: bool
) -> dict[str, Any]:
    clean = counts.get("turned away with a word", 0) + counts.get("closed", 0)
    unclean = counts.get("reset", 0) + sum(
        n for name, n in counts.items() if name.startswith("not connected")
    )
    answers = stormy.answers

    def worth(tally: Tally) -> float:
        return tally.in_time / max(1, tally.asked)

    def ms(share: float) -> float:
        return float(round(answers.get_value_at_percentile(share) / 1000, 1))

    return {
        "seed": seed,
        "known_visits": stormy.visits,
        "known_connected_share": round(stormy.connected / max(1, stormy.visits), 5),
        "known_answer_ms": {"p50": ms(50), "p99": ms(99)},
        "known_words": dict(stormy.words),
        "known_worth_vs_calm": round(worth(stormy) / worth(calm), 4) if worth(calm) else 0.0,
        "calm_worth": round(worth(calm), 4),
        "flood": counts,
        "flood_refused_cleanly_share": round(clean / max(1, clean + unclean), 4),
        "peak_descriptors": peak,
        "descriptor_limit": SOCKETS,
        "rss_growth_mb": round(grown, 2),
        "process_up": up,
    }


def passed(report: dict[str, Any]) -> bool:
    """The known counties did not feel it, and the process kept within its limit and stayed up."""
    return bool(
        report["known_connected_share"] == 1
        and report["known_answer_ms"]["p99"] <= 800
        and report["known_worth_vs_calm"] >= 0.98
        and report["peak_descriptors"] <= report["descriptor_limit"]
        and report["process_up"]
    )
