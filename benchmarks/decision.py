"""What a decision costs as the fleet grows: the module beside the plain scan of all machines, in one run.

    python -m benchmarks.decision

Tasks of many services come in batches and stay; each machine reports what it really holds, of all placers' tasks.
"""

from __future__ import annotations

import random
import statistics
import time
from collections import deque
from dataclasses import replace

from tests.conftest import SAFE, entry, listing, settings
from tests.test_fleet import LEDGER, FullScanPlacer
from thornshelf.placement import interface as api
from thornshelf.placement import machine_index
from thornshelf.placement.placer import Placer

PLACERS = 16
LOOKUP = replace(SAFE, deadline_s=8.0, latency_objective_s=0.8)


class Timed(Placer):
    """Notes how long each look at all views holds a call up."""

    def __init__(self, terms: api.Settings, seed: int) -> None:
        super().__init__(terms, seed)
        self.surveys: list[float] = []

    def update_averages(self) -> None:
        began = time.perf_counter()
        super().update_averages()
        self.surveys.append((time.perf_counter() - began) * 1e3)


def run(make: type[Placer], machines: int, batches: int) -> tuple[float, float, int, Placer]:
    """Milliseconds a decision, the longest call in milliseconds, how many tasks were offered, and the placer."""
    chance = random.Random(5)
    terms = settings(
        LOOKUP,
        replace(LEDGER, deadline_s=10.0),
        placers=PLACERS,
        fleet=0.2,
        overcommit_cores=3.0,
        overcommit_memory=2.0,
    )
    one = make(terms, 1)
    kinds = {m: chance.choice(("small", "large")) for m in range(1, machines + 1)}
    one.handle(0.0, [listing(*(entry(m, kind=kind) for m, kind in kinds.items()))])
    held = dict.fromkeys(kinds, (0.0, 0.0))
    standing: deque[tuple[float, api.PlacementRequest, int]] = deque()
    spent = longest = now = 0.0
    asked = offered = 0
    shapes = [(chance.choice((0.5, 1.0, 2.0)), chance.choice((1.0, 2.0, 3.0))) for _ in range(2 * machines)]
    for number in range(batches):
        now += 0.02
        events: list[api.Event] = []
        while standing and standing[0][0] <= now:
            _, ask, m = standing.popleft()
            held[m] = held[m][0] - ask.cores, held[m][1] - ask.memory
            size = (8.0, 16.0) if kinds[m] == "small" else (32.0, 64.0)
            report = api.LoadReport(*(size[k] - PLACERS * held[m][k] for k in (0, 1)))
            events.append(
                api.AttemptEnded(
                    ask.request_id, m, 0, api.Outcome.OK, api.Reason.UNSPECIFIED, True, 1.0, report
                )
            )
        service = chance.randrange(len(shapes))
        asks = {}
        for _ in range(4):
            asked += 1
            cores, memory = shapes[service]
            asks[asked] = api.PlacementRequest(asked, "safe", None, asked, 8.0, None, service, cores, memory)
        if number % 20 == 0:
            asks[asked] = api.PlacementRequest(asked, "ledger", None, asked, 10.0, None, asked, 6.0, 14.0)
        began = time.perf_counter()
        actions = one.handle(now, [*events, *asks.values()])
        took = time.perf_counter() - began
        spent, longest = spent + took, max(longest, took)
        for action in actions:
            if isinstance(action, api.StartAttempt):
                ask, m, offered = asks[action.request_id], action.machine, offered + 1
                one.handle(now, [api.AttemptAccepted(ask.request_id, m, 0, 0.1)])
                held[m] = held[m][0] + ask.cores, held[m][1] + ask.memory
                standing.append((now + machines / 100.0, ask, m))
    return spent / asked * 1e3, longest * 1e3, offered, one


def rounds(machines: int, batches: int) -> None:
    """What working all views out anew costs in one go, and by slices; a line."""
    usual, found = machine_index.SLICE, []
    for slice_of in (1 << 30, usual):
        machine_index.SLICE = slice_of
        cost, _, offered, one = run(Timed, machines, batches)
        assert isinstance(one, Timed)
        found.append((statistics.median(one.surveys), max(one.surveys), cost, offered))
    machine_index.SLICE = usual
    print(
        f"{machines:5} machines: a look at all views holds a call up for"
        f" {found[0][0]:5.2f} ms (at most {found[0][1]:5.2f}) in one go,"
        f" {found[1][0]:5.2f} ({found[1][1]:5.2f}) by slices; a decision {found[0][2]:.2f} and {found[1][2]:.2f} ms;"
        f" {found[0][3]} and {found[1][3]} offers"
    )


def main() -> None:
    """Print a line a size."""
    for machines in (14, 200, 400, 1024):
        batches = 600 if machines < 1000 else 300
        plain, now = run(FullScanPlacer, machines, batches), run(Placer, machines, batches)
        assert plain[2] == now[2], "the choices differ"
        print(
            f"{machines:5} machines: {plain[0]:7.3f} ms a decision by the plain scan, {now[0]:6.3f} now;"
            f" the longest call {plain[1]:6.1f} and {now[1]:5.1f} ms; {now[2]} offers in both"
        )
    for machines in (64, 400, 1024):
        rounds(machines, 300)


if __name__ == "__main__":
    main()
