"""Experiment: all pairings of old and new clients and nodes, with faults and a mass resubmission.

Each pairing has a dispatcher process of its own, with both frontends, and one process of fakes that records what
happens. All pairings run in parallel, so that their processor times can be compared.
"""

from __future__ import annotations

import json
import random
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from thornshelf.lab.fakes.cluster import BINARY, GRPC2, JSON
from thornshelf.lab.load import LEDGER, LOOKUP, ClientPopulation, LoadNode
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.process import DispatcherProcess
from thornshelf.loop import Loop
from thornshelf.wire import placement_v2_pb2 as pb2

PAIRINGS = {
    "old to old": (JSON, BINARY),
    "old to new": (JSON, GRPC2),
    "new to old": (GRPC2, BINARY),
    "new to new": (GRPC2, GRPC2),
}
NODES = 8
SERVICES = 60  # of the clients
LEDGER_SHARE = 0.05  # of the tasks
NO_HINT_SHARE = 0.1  # of the tasks
SLACK_US = 2_500_000  # after which a missing answer or release counts as lost
INJECTABLE_FAULTS = ("double-start", "drop-answer", "silent-hint")

OPERATOR_FILE = """
[grpc]
listen = "127.0.0.1:0"
[translate]
otherwise = {forms}
[translate.class.lookup]
missing_hint = "assume"
assumed_hint_ms = 15000
[translate.class.ledger-batch]
missing_hint = "refuse"
[translate.retries]
returns_per_s = 300
"""


@dataclass
class Plan:
    """The parameters of one pairing's run; ``name``: a key of ``PAIRINGS``."""

    name: str
    seed: int
    tasks: int
    seconds: float
    plant: str | None = None
    faults: bool = True


@dataclass
class Result:
    """What one pairing's fakes counted.

    ``asked``: requests, of which a task may need several; ``lost`` and ``doubled``: see ``Oracle``; ``unknown``:
    answers whose id belongs to no request; ``silent_hints``: assumed hints that were not marked as assumed;
    ``histogram``: encoded, of microseconds from a lookup's request to its binding; ``resubmitted``: tasks;
    ``log``: log lines by message id; ``dispatcher_ended``: its exit code; ``details``: the requests that were lost
    or doubled.
    """

    name: str
    tasks: int = 0
    asked: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    lost: int = 0
    doubled: int = 0
    unknown: int = 0
    silent_hints: int = 0
    ledger_batch: int = 0
    ledger_batch_max_starts: int = 0
    cpu_us_a_task: float = 0.0
    histogram: str = ""
    resubmitted: int = 0
    log: dict[str, int] = field(default_factory=dict)
    dispatcher_ended: int = 0
    details: list[str] = field(default_factory=list)


def _schedule_faults(
    loop: Loop, rng: random.Random, nodes: list[LoadNode], clients: ClientPopulation, plan: Plan, is_v2: bool
) -> None:
    """Schedule all faults, at fractions of the run's length."""

    def at_fraction(fraction: float, action: Any) -> None:
        loop.call_later(int(fraction * plan.seconds * 1e6), action)

    unresponsive, restarted, broken, downgraded = rng.sample(nodes, 4)
    for node in nodes:
        node.cut_binding_fraction = 0.08
    at_fraction(0.15, lambda: setattr(unresponsive, "unresponsive_until_us", loop.now + 700_000))
    at_fraction(0.3, lambda: restarted.restart(restarted.form))
    at_fraction(0.45, broken.break_streams)
    at_fraction(0.6, broken.break_streams)
    for fraction in (0.2, 0.4, 0.7):
        at_fraction(fraction, clients.drop_connection)
    if is_v2:  # a node is downgraded in place, and upgraded again
        at_fraction(0.35, lambda: downgraded.restart(BINARY))
        at_fraction(0.65, lambda: downgraded.restart(GRPC2))


def run(plan: Plan) -> Result:
    """Run one pairing in this process, with its dispatcher in another."""
    rng = random.Random(f"{plan.seed} {plan.name}")
    frontend, form = PAIRINGS[plan.name]
    loop, oracle, result = Loop(), Oracle(), Result(plan.name)
    nodes = [LoadNode(loop, form, oracle, rng) for _ in range(NODES)]
    if form == GRPC2:
        for node in nodes[: NODES // 2]:
            node.profile.requires = (pb2.HINT,)
    with tempfile.TemporaryDirectory() as folder:
        operator = OPERATOR_FILE.format(forms=json.dumps(["v2", "binary"] if form == GRPC2 else ["binary"]))
        dispatcher = DispatcherProcess(Path(folder), [node.port for node in nodes], operator, plan.plant)
        try:
            clients = ClientPopulation(loop, dispatcher.addresses, frontend, oracle, rng)
            _schedule_requests(loop, rng, clients, plan, result)
            if plan.faults:
                _schedule_faults(loop, rng, nodes, clients, plan, form == GRPC2)
            _run_for(loop, plan.seconds)
            cpu_us = dispatcher.cpu_spent_us
            _run_for(loop, 4.0)
        finally:
            result.dispatcher_ended = dispatcher.terminate()
        clients.finish()
        result.log = dispatcher.log_counts()
    lost = oracle.lost(loop.now, SLACK_US)
    for uid in (*lost, *oracle.duplicated()):
        request = oracle.requests[uid]
        result.details.append(f"{request}, task ended at {oracle.ended_us.get(request.key)}, now {loop.now}")
    result.tasks, result.asked = len(clients.tasks), len(oracle.requests)
    result.outcomes = dict(clients.outcomes)
    result.lost, result.doubled = len(lost), len(oracle.duplicated())
    result.unknown, result.silent_hints = oracle.unknown_answers, oracle.unmarked_hints
    result.ledger_batch = sum(task["class"] == LEDGER for task in clients.tasks.values())
    result.ledger_batch_max_starts = max(oracle.starts_by_key.values(), default=0)
    result.cpu_us_a_task = cpu_us / max(1, result.asked)
    result.histogram = clients.starts.encode().decode()
    loop.close()
    return result


def _schedule_requests(
    loop: Loop, rng: random.Random, clients: ClientPopulation, plan: Plan, result: Result
) -> None:
    """Schedule requests at exponentially distributed intervals, and a mass resubmission half-way."""
    at_s = 0.0
    interval_s = 0.85 * plan.seconds / plan.tasks
    for number in range(plan.tasks):
        at_s += rng.expovariate(1 / interval_s)
        key = (plan.seed * 1_000_003 + number * 7919 + 1) & 0xFFFFFFFFFFFFFFFF
        is_ledger = rng.random() < LEDGER_SHARE
        hint = None if rng.random() < NO_HINT_SHARE else "1500"
        service = rng.randrange(SERVICES) + 1
        request = (key, LEDGER if is_ledger else LOOKUP, hint, service)
        loop.call_later(
            int(min(at_s, 0.95 * plan.seconds) * 1e6),
            lambda request=request: clients.ask(*request),  # type: ignore[misc]
        )
    fraction, within_s = rng.uniform(0.22, 0.56), rng.uniform(0.38, 3.0)

    def resubmit() -> None:
        result.resubmitted = clients.resubmit(fraction, int(within_s * 1e6))

    loop.call_later(int(0.5 * plan.seconds * 1e6), resubmit)


def _run_for(loop: Loop, seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        loop.call_later(20_000, lambda: None)
        loop.turn()


def summary(results: list[Result]) -> dict[str, Any]:
    """Return the report of all pairings together."""
    starts = HdrHistogram(1, 60_000_000, 3)
    for one in results:
        starts.decode_and_add(one.histogram)
    outcomes: Counter[str] = Counter()
    for one in results:
        outcomes.update(one.outcomes)
    by_name = {one.name: one for one in results}
    old_cpu_us, new_cpu_us = by_name["old to old"].cpu_us_a_task, by_name["old to new"].cpu_us_a_task

    def ms(histogram: HdrHistogram, percentile: float) -> float:
        return float(round(histogram.get_value_at_percentile(percentile) / 1000, 1))

    def percentiles(histogram: HdrHistogram) -> dict[str, float]:
        return {"p50": ms(histogram, 50), "p99": ms(histogram, 99), "p99.9": ms(histogram, 99.9)}

    return {
        "tasks": sum(one.tasks for one in results),
        "ledger_batch": sum(one.ledger_batch for one in results),
        "asked": sum(one.asked for one in results),
        "resubmitted": sum(one.resubmitted for one in results),
        "outcomes": dict(sorted(outcomes.items())),
        "lost": sum(one.lost for one in results),
        "doubled": sum(one.doubled for one in results),
        "unknown": sum(one.unknown for one in results),
        "silent_hints": sum(one.silent_hints for one in results),
        "ledger_batch_max_starts": max(one.ledger_batch_max_starts for one in results),
        "start_ms": percentiles(starts),
        "cost_ratio": round(new_cpu_us / old_cpu_us, 3) if old_cpu_us else None,
        "cpu_us_a_set_up": {one.name: round(one.cpu_us_a_task) for one in results},
        "pairings": {one.name: percentiles(HdrHistogram.decode(one.histogram)) for one in results},
        "exits": [one.dispatcher_ended for one in results],
    }


def passed(report: dict[str, Any]) -> bool:
    """Whether a report of ``summary`` meets all requirements."""
    must_be_zero = ("lost", "doubled", "unknown", "silent_hints")
    return (
        not any(report[name] for name in must_be_zero)
        and report["ledger_batch_max_starts"] <= 1
        and "none" not in report["outcomes"]
        and not any(report["exits"])
    )


def experiment(
    seed: int, tasks: int, seconds: float, injected_fault: str | None, faults: bool = True
) -> list[Result]:
    """Run all pairings in parallel, with ``tasks`` in total; returns a result for each."""
    tasks_per_pairing = -(-tasks // len(PAIRINGS))
    plans = [Plan(name, seed, tasks_per_pairing, seconds, injected_fault, faults) for name in PAIRINGS]
    with ProcessPoolExecutor(len(plans), get_context("spawn")) as pool:
        return list(pool.map(run, plans))


def lines(results: list[Result]) -> Iterator[str]:
    """Yield a text for each pairing, its details and its log counts."""
    for result in results:
        yield (
            f"{result.name}: {result.tasks} tasks ({result.ledger_batch} ledger-batch), {result.asked} requests, "
            f"{result.outcomes}, lost {result.lost}, doubled {result.doubled}, "
            f"most starts {result.ledger_batch_max_starts}, {result.cpu_us_a_task:.0f} us of CPU per request"
        )
        yield from (f"  {text}" for text in result.details)
        yield f"  log: {dict(sorted(result.log.items()))}"


def as_dicts(results: list[Result]) -> list[dict[str, Any]]:
    """Return the results as dictionaries, for JSON."""
    return [asdict(result) for result in results]
