"""Measures the cost of a decision by fleet size: the index compared with a full scan of all machines.

    python -m benchmarks.decision

Tasks of many services arrive in batches and keep running; machines report the load of the tasks of all placers.
"""

from __future__ import annotations

import random
import statistics
import time
from collections import deque
from dataclasses import dataclass, replace

from tests.conftest import SAFE, endpoint, endpoint_update, settings
from tests.test_fleet import LEDGER, FullScanPlacer
from thornshelf import placement as api
from thornshelf.placement import Placer, machine_index

PLACERS = 16
LOOKUP = replace(SAFE, deadline_s=8.0, latency_objective_s=0.8)
SIZES = {"small": (8.0, 16.0), "large": (32.0, 64.0)}  # cores and memory by kind
BATCH_INTERVAL_S = 0.02
BATCH_SIZE = 4
LARGE_TASK_EVERY = 20  # batches
UNSLICED = 1 << 30


@dataclass(frozen=True)
class Result:
    """The cost of the decisions of one run."""

    decision_ms: float
    longest_call_ms: float
    attempts: int
    placer: Placer


class TimedPlacer(Placer):
    """A placer that records how long each update of the averages takes."""

    def __init__(self, placer_settings: api.Settings, seed: int) -> None:
        super().__init__(placer_settings, seed)
        self.updates_ms: list[float] = []

    def update_averages(self) -> None:
        """Update the averages, and record how long that takes."""
        started_at = time.perf_counter()
        super().update_averages()
        self.updates_ms.append((time.perf_counter() - started_at) * 1e3)


class Workload:
    """Batches of requests to one placer, and the tasks that run on its machines."""

    def __init__(self, machines: int) -> None:
        self.random = random.Random(5)
        self.kinds = {m: self.random.choice(("small", "large")) for m in range(1, machines + 1)}
        self.used = dict.fromkeys(self.kinds, (0.0, 0.0))
        self.running: deque[tuple[float, api.PlacementRequest, int]] = deque()  # end, request, machine
        self.demands = [self.draw_demand() for _ in range(2 * machines)]  # by service
        self.requested = 0

    def draw_demand(self) -> tuple[float, float]:
        """Draw the cores and memory that tasks of one service request."""
        return self.random.choice((0.5, 1.0, 2.0)), self.random.choice((1.0, 2.0, 3.0))

    def ended_tasks(self, now: float) -> list[api.Event]:
        """End the tasks that are due."""
        events: list[api.Event] = []
        while self.running and self.running[0][0] <= now:
            _, request, machine = self.running.popleft()
            cores, memory = self.used[machine]
            self.used[machine] = cores - request.cores, memory - request.memory
            size = SIZES[self.kinds[machine]]
            report = api.LoadReport(*(size[k] - PLACERS * self.used[machine][k] for k in (0, 1)))
            ended = (api.Outcome.OK, api.Reason.UNSPECIFIED, True, 1.0, report)
            events.append(api.AttemptEnded(request.request_id, machine, 0, *ended))
        return events

    def batch(self, number: int) -> dict[int, api.PlacementRequest]:
        """Draw the requests of one batch, all of one service; every 20th batch ends with a large task."""
        service = self.random.randrange(len(self.demands))
        requests: dict[int, api.PlacementRequest] = {}
        for _ in range(BATCH_SIZE):
            self.requested += 1
            request_id = self.requested
            demand = self.demands[service]
            requests[request_id] = api.PlacementRequest(
                request_id, "safe", None, request_id, 8.0, None, service, *demand
            )
        if number % LARGE_TASK_EVERY == 0:
            request_id = self.requested
            requests[request_id] = api.PlacementRequest(
                request_id, "ledger", None, request_id, 10.0, None, request_id, 6.0, 14.0
            )
        return requests

    def start(self, request: api.PlacementRequest, machine: int, until: float) -> None:
        """Run a task on a machine until a time."""
        cores, memory = self.used[machine]
        self.used[machine] = cores + request.cores, memory + request.memory
        self.running.append((until, request, machine))


def run(placer_type: type[Placer], machines: int, batches: int) -> Result:
    """Measure the decisions of a placer of this type."""
    workload = Workload(machines)
    placer_settings = settings(
        LOOKUP,
        replace(LEDGER, deadline_s=10.0),
        placers=PLACERS,
        fleet=0.2,
        overcommit_cores=3.0,
        overcommit_memory=2.0,
    )
    placer = placer_type(placer_settings, 1)
    placer.handle(0.0, [endpoint_update(*(endpoint(m, kind=kind) for m, kind in workload.kinds.items()))])
    spent_s = longest_s = now = 0.0
    attempts = 0
    for number in range(batches):
        now += BATCH_INTERVAL_S
        events = workload.ended_tasks(now)
        requests = workload.batch(number)
        started_at = time.perf_counter()
        actions = placer.handle(now, [*events, *requests.values()])
        took_s = time.perf_counter() - started_at
        spent_s += took_s
        longest_s = max(longest_s, took_s)
        for action in actions:
            if isinstance(action, api.StartAttempt):
                attempts += 1
                placer.handle(now, [api.AttemptAccepted(action.request_id, action.machine, 0, 0.1)])
                workload.start(requests[action.request_id], action.machine, now + machines / 100.0)
    return Result(spent_s / workload.requested * 1e3, longest_s * 1e3, attempts, placer)


def compare_slices(machines: int, batches: int) -> None:
    """Print the cost of updating all averages at once, and in slices."""
    default_slice = machine_index.REFRESH_SLICE_SIZE
    descriptions = []
    for slice_size in (UNSLICED, default_slice):
        machine_index.REFRESH_SLICE_SIZE = slice_size
        result = run(TimedPlacer, machines, batches)
        assert isinstance(result.placer, TimedPlacer)
        updates_ms = result.placer.updates_ms
        descriptions.append(
            f"{statistics.median(updates_ms):5.2f} ms (at most {max(updates_ms):5.2f}), a decision"
            f" {result.decision_ms:.2f} ms, {result.attempts} attempts"
        )
    machine_index.REFRESH_SLICE_SIZE = default_slice
    print(
        f"{machines:5} machines: an update of all averages at once {descriptions[0]}; in slices {descriptions[1]}"
    )


def main() -> None:
    """Print one line per fleet size."""
    for machines in (14, 200, 400, 1024):
        batches = 600 if machines < 1000 else 300
        scan = run(FullScanPlacer, machines, batches)
        indexed = run(Placer, machines, batches)
        assert scan.attempts == indexed.attempts, "the index and the full scan placed different tasks"
        print(
            f"{machines:5} machines: {scan.decision_ms:7.3f} ms a decision by the full scan,"
            f" {indexed.decision_ms:6.3f} by the index; the longest call {scan.longest_call_ms:6.1f} and"
            f" {indexed.longest_call_ms:5.1f} ms; {indexed.attempts} attempts in both"
        )
    for machines in (64, 400, 1024):
        compare_slices(machines, 300)


if __name__ == "__main__":
    main()
