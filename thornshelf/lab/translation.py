"""Old clients against new nodes, and the three other pairings, across a mass resubmission with faults.

Each pairing has a dispatcher process of its own, with both fronts open, and one process of stand-ins that counts
what really happened. All pairings run at once, so that what they cost can be compared.
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
SERVICES = 60
LEDGER_SHARE = 0.05
NO_HINT_SHARE = 0.1
SLACK_US = 2_500_000
PLANTS = ("double-start", "drop-answer", "silent-hint")

OPERATOR = """
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
    """One pairing's run."""

    name: str
    seed: int
    tasks: int
    seconds: float
    plant: str | None = None
    faults: bool = True


@dataclass
class Result:
    """What the stand-ins counted."""

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
    details: list[str] = field(default_factory=list)  # of what was lost or doubled


def _faults(
    loop: Loop, rng: random.Random, nodes: list[LoadNode], county: ClientPopulation, plan: Plan, newer: bool
) -> None:
    """What goes wrong, and when: shares of the run's length."""

    def at(share: float, call: Any) -> None:
        loop.after(int(share * plan.seconds * 1e6), call)

    hung, restarted, broken, changed = rng.sample(nodes, 4)
    for node in nodes:
        node.cut_binding_fraction = 0.08
    at(0.15, lambda: setattr(hung, "unresponsive_until_us", loop.now + 700_000))
    at(0.3, lambda: restarted.restart(restarted.form))
    at(0.45, broken.break_streams)
    at(0.6, broken.break_streams)
    for share in (0.2, 0.4, 0.7):
        at(share, county.drop_connection)
    if newer:  # a node is downgraded in place, and upgraded again
        at(0.35, lambda: changed.restart(BINARY))
        at(0.65, lambda: changed.restart(GRPC2))


def run(plan: Plan) -> Result:
    """One pairing, in this process, with its dispatcher in another."""
    rng = random.Random(f"{plan.seed} {plan.name}")
    front, form = PAIRINGS[plan.name]
    loop, truth, result = Loop(), Oracle(), Result(plan.name)
    nodes = [LoadNode(loop, form, truth, rng) for _ in range(NODES)]
    if form == GRPC2:
        for node in nodes[: NODES // 2]:
            node.manners.requires = (pb2.HINT,)
    with tempfile.TemporaryDirectory() as folder:
        operator = OPERATOR.format(forms=json.dumps(["v2", "binary"] if form == GRPC2 else ["binary"]))
        dispatcher = DispatcherProcess(Path(folder), [node.port for node in nodes], operator, plan.plant)
        try:
            county = ClientPopulation(loop, dispatcher.addresses, front, truth, rng)
            _load(loop, rng, county, plan, result)
            if plan.faults:
                _faults(loop, rng, nodes, county, plan, form == GRPC2)
            _turn(loop, plan.seconds)
            spent = dispatcher.cpu_spent_us
            _turn(loop, 4.0)
        finally:
            result.dispatcher_ended = dispatcher.terminate()
        county.finish()
        result.log = dispatcher.log_counts()
    lost = truth.lost(loop.now, SLACK_US)
    for uid in (*lost, *truth.doubled()):
        one = truth.asked[uid]
        result.details.append(f"{one}, run over at {truth.over.get(one.key)}, it is {loop.now}")
    result.tasks, result.asked = len(county.tasks), len(truth.asked)
    result.outcomes = dict(county.outcomes)
    result.lost, result.doubled = len(lost), len(truth.doubled())
    result.unknown, result.silent_hints = truth.unknown_answers, truth.unmarked_hints
    result.ledger_batch = sum(task["class"] == LEDGER for task in county.tasks.values())
    result.ledger_batch_max_starts = max(truth.starts.values(), default=0)
    result.cpu_us_a_task = spent / max(1, result.asked)
    result.histogram = county.starts.encode().decode()
    loop.close()
    return result


def _load(loop: Loop, rng: random.Random, county: ClientPopulation, plan: Plan, result: Result) -> None:
    """Tasks arrive evenly on the whole, at random in the small; half-way comes the mass resubmission."""
    at = 0.0
    step = 0.85 * plan.seconds / plan.tasks
    for number in range(plan.tasks):
        at += rng.expovariate(1 / step)
        key = (plan.seed * 1_000_003 + number * 7919 + 1) & 0xFFFFFFFFFFFFFFFF
        ledger = rng.random() < LEDGER_SHARE
        hint = None if rng.random() < NO_HINT_SHARE else "1500"
        service = rng.randrange(SERVICES) + 1
        args = (key, LEDGER if ledger else LOOKUP, hint, service)
        loop.after(int(min(at, 0.95 * plan.seconds) * 1e6), lambda args=args: county.ask(*args))  # type: ignore[misc]
    share, within = rng.uniform(0.22, 0.56), rng.uniform(0.38, 3.0)

    def resubmit() -> None:
        result.resubmitted = county.resubmit(share, int(within * 1e6))

    loop.after(int(0.5 * plan.seconds * 1e6), resubmit)


def _turn(loop: Loop, seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        loop.after(20_000, lambda: None)
        loop.turn()


def summary(results: list[Result]) -> dict[str, Any]:
    """All pairings together, as it is printed."""
    starts = HdrHistogram(1, 60_000_000, 3)
    for one in results:
        starts.decode_and_add(one.histogram)
    outcomes: Counter[str] = Counter()
    for one in results:
        outcomes.update(one.outcomes)
    by_name = {one.name: one for one in results}
    old, new = by_name["old to old"].cpu_us_a_task, by_name["old to new"].cpu_us_a_task

    def ms(one: HdrHistogram, share: float) -> float:
        return float(round(one.get_value_at_percentile(share) / 1000, 1))

    def tail(one: HdrHistogram) -> dict[str, float]:
        return {"p50": ms(one, 50), "p99": ms(one, 99), "p99.9": ms(one, 99.9)}

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
        "start_ms": tail(starts),
        "cost_ratio": round(new / old, 3) if old else None,
        "cpu_us_a_set_up": {one.name: round(one.cpu_us_a_task) for one in results},
        "pairings": {one.name: tail(HdrHistogram.decode(one.histogram)) for one in results},
        "exits": [one.dispatcher_ended for one in results],
    }


def passed(said: dict[str, Any]) -> bool:
    """Nothing lost, nothing doubled, nothing guessed in silence, and no task without its one outcome."""
    nothing = ("lost", "doubled", "unknown", "silent_hints")
    return (
        not any(said[name] for name in nothing)
        and said["ledger_batch_max_starts"] <= 1
        and "none" not in said["outcomes"]
        and not any(said["exits"])
    )


def experiment(seed: int, tasks: int, seconds: float, plant: str | None, faults: bool = True) -> list[Result]:
    """All pairings at once."""
    share = -(-tasks // len(PAIRINGS))
    plans = [Plan(name, seed, share, seconds, plant, faults) for name in PAIRINGS]
    with ProcessPoolExecutor(len(plans), get_context("spawn")) as pool:
        return list(pool.map(run, plans))


def lines(results: list[Result]) -> Iterator[str]:
    """For people."""
    for one in results:
        yield (
            f"{one.name}: {one.tasks} tasks ({one.ledger_batch} ledger-batch), {one.asked} set-ups, {one.outcomes}, "
            f"lost {one.lost}, doubled {one.doubled}, most starts {one.ledger_batch_max_starts}, "
            f"{one.cpu_us_a_task:.0f} us of CPU a set-up"
        )
        yield from (f"  {text}" for text in one.details)
        yield f"  log: {dict(sorted(one.log.items()))}"


def as_dicts(results: list[Result]) -> list[dict[str, Any]]:
    """For a file."""
    return [asdict(one) for one in results]
