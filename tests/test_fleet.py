"""Decisions by the index equal those by a full scan, and their cost depends on changes only."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import pytest

from tests.conftest import (
    SAFE,
    attempt_ended,
    endpoint,
    endpoint_update,
    placement_request,
    settings,
    started_attempts,
)
from thornshelf import placement as api
from thornshelf.placement.candidates import RANK_TOLERANCE, TARGET_UTILIZATION
from thornshelf.placement.fit import Fit
from thornshelf.placement.machine import Machine
from thornshelf.placement.placer import Placer
from thornshelf.placement.pricing import is_admitted
from thornshelf.placement.requests import PendingRequest
from thornshelf.placement.reservations import LARGE_RESERVATION_S
from thornshelf.placement.usage import REPORT_DECAY_S

LEDGER = replace(SAFE, name="ledger", idempotency=api.Idempotency.NEVER, priority_weight=3.0, priority=1)
FLEET = {"fleet": 0.2, "slow_start_s": 6.0, "retry_after": True, "max_retry_after_s": 3.0}


class FullScanPlacer(Placer):
    """The reference implementation: examines every machine for every task."""

    def __init__(self, placer_settings: api.Settings, seed: int) -> None:
        super().__init__(placer_settings, seed)
        self.candidates.find_machine = self.find_machine  # type: ignore[method-assign]

    def find_machine(self, request: PendingRequest) -> Machine | None:
        if not self.reservations.fits_empty_machine(request.demand):
            return None
        up = self.endpoints.index.up
        eligible = [m for m in up if self.rules.allows_attempt(request, m)]
        usages = [self.usage.estimate(m) for m in eligible]
        capacities = [m.capacity for m in eligible]
        usage, capacity = ([sum(one[k] for one in pairs) for k in (0, 1)] for pairs in (usages, capacities))
        if not eligible:
            return None
        largest = self.endpoints.largest_capacity
        if not request.attempts and not is_admitted(request.demand, (usage, capacity), largest):
            return None
        return self.choose(request, eligible, usage)

    def choose(
        self, request: PendingRequest, eligible: list[Machine], usage: Sequence[float]
    ) -> Machine | None:
        context = self._context
        candidates = [m for m in eligible if m.id not in request.tried_machine_ids]
        candidates = [m for m in candidates if context.now >= max(m.ejected_until, m.backoff_until)]
        reserved = self.reserve(request, candidates)
        candidates = [m for m in candidates if m not in reserved]
        weight = request.task_class.priority_weight
        outranked = [m for m, reserved_for in reserved.items() if weight >= reserved_for]
        has_peers = context.settings.placers > 1
        unreported = [m for m in candidates if has_peers and self.usage.report_age_s(m) > REPORT_DECAY_S]
        groups = [
            (self.pool(request, candidates, usage), Fit.UNCROWDED),
            (candidates, Fit.UNCROWDED),
            (candidates, Fit.ADMITTED),
            (outranked, Fit.ADMITTED),
            (unreported, Fit.NONE),
        ]
        for group, minimum in groups[: 2 if self.accounting.is_over_quota(request) else 5]:
            fitting = [m for m in group if self.pricing.fit(request, m) >= minimum]
            ranked = [(self.pricing.rank(request, m), m) for m in fitting]
            if ranked:
                lowest = min(rank for rank, _ in ranked)
                tied = [m for rank, m in ranked if rank <= lowest * RANK_TOLERANCE]
                return tied[context.random.randrange(len(tied))] if len(tied) > 1 else tied[0]
        return None

    def reserve(self, request: PendingRequest, candidates: list[Machine]) -> dict[Machine, float]:
        reserved: dict[Machine, float] = {}
        for task_class, demand, seen_at in self.reservations.largest_demands.values():
            is_recent = self._context.now - seen_at <= LARGE_RESERVATION_S
            if is_recent and not self.reservations.is_large(request.demand) and len(candidates) > 1:
                usages = [self.usage.estimate(m) for m in candidates]
                counts = [
                    min((m.capacity[k] - usage[k]) / demand[k] for k in (0, 1))
                    for m, usage in zip(candidates, usages, strict=True)
                ]
                if max(counts) < 1.0 + max(request.demand[k] / demand[k] for k in (0, 1)):
                    machine = candidates[counts.index(max(counts))]
                    reserved[machine] = max(task_class.priority_weight, reserved.get(machine, 0.0))
        return reserved

    def order(self, candidates: list[Machine]) -> list[Machine]:
        def key(machine: Machine) -> tuple[int, float]:
            fullness = self.usage.utilization_steps * self.usage.estimate(machine)[0] / machine.capacity[0]
            return -round(fullness), machine.order_key

        return sorted(candidates, key=key)

    def pool(
        self, request: PendingRequest, candidates: list[Machine], usage: Sequence[float]
    ) -> list[Machine]:
        order = self.order(candidates)
        remaining = [usage[k] + request.demand[k] for k in (0, 1)]
        for count, machine in enumerate(order, 1):
            limit = self.usage.limit(machine)
            remaining = [remaining[k] - TARGET_UTILIZATION * limit[k] for k in (0, 1)]
            if max(remaining) <= 0.0:
                return order[:count]
        return order


def run_both_placers(rng: random.Random, placers: tuple[Placer, Placer], machines: int, steps: int) -> int:
    """Pass random events to both placers and compare their actions; return the number of attempts."""
    now, number, attempts_started = 0.0, 0, 0
    live_attempts: list[tuple[int, int, int, bool]] = []
    states = {m: endpoint(m, kind=rng.choice(("small", "large"))) for m in range(1, machines + 1)}
    events: list[api.Event] = [endpoint_update(*states.values())]
    for _ in range(steps):
        now += rng.choice((0.002, 0.05, 0.3))
        for _ in range(rng.randrange(12)):
            number += 1
            request_fields: dict[str, Any] = {
                "cores": rng.choice((0.5, 1.0, 2.0)),
                "memory": rng.choice((1.0, 3.0)),
            }
            if rng.random() < 0.1:
                request_fields = {"cores": 6.0, "memory": 14.0, "task_class": "ledger"}
            events.append(placement_request(number, service=rng.randrange(30), **request_fields))
        for _ in range(min(len(live_attempts), rng.randrange(14))):
            request, machine, attempt, bound = live_attempts.pop(rng.randrange(len(live_attempts)))
            report = api.LoadReport(rng.uniform(-4.0, 30.0), rng.uniform(0.0, 60.0))
            if not bound and rng.random() < 0.8:
                events.append(api.AttemptAccepted(request, machine, attempt, 0.1))
                events.append(
                    api.TaskUpdate(request, machine, attempt, api.TaskUpdateKind.CORES_USED, rng.random())
                )
                live_attempts.append((request, machine, attempt, True))
                continue
            outcome = rng.choice((api.Outcome.OK, api.Outcome.REFUSED, api.Outcome.TIMED_OUT))
            outcome = api.Outcome.OK if bound else outcome
            reason = rng.choice((api.Reason.QUEUE_FULL, api.Reason.NO_CORES, api.Reason.UNSPECIFIED))
            events.append(
                attempt_ended(request, machine, outcome, attempt, reason=reason, last=bound, report=report)
            )
        if rng.random() < 0.15:
            changed = rng.choice(list(states))
            health = rng.choice((api.Health.UP, api.Health.UP, api.Health.DRAINING, api.Health.REMOVED))
            states[changed] = replace(states[changed], health=health, started_at=now)
            events.append(endpoint_update(states[changed], complete=False))
        one, other = (placer.handle(now, events) for placer in placers)
        assert one == other
        attempts_started += len(started_attempts(one))
        for offer in started_attempts(one):
            attempt = len(placers[0].requests[offer.request_id].attempts) - 1
            live_attempts.append((offer.request_id, offer.machine, attempt, False))
        events = []
    return attempts_started


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("placers", [1, 16, 230])
def test_the_index_chooses_as_the_full_scan_does(seed: int, placers: int) -> None:
    placer_settings = settings(
        SAFE, LEDGER, placers=placers, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET
    )
    both = Placer(placer_settings, 1), FullScanPlacer(placer_settings, 1)
    assert run_both_placers(random.Random(seed), both, (5, 40)[seed % 2], 120) > 50


class CountingPlacer(Placer):
    """Counts computations of estimates, costs and ranks."""

    def __init__(self, placer_settings: api.Settings, seed: int) -> None:
        super().__init__(placer_settings, seed)
        self.work = 0
        usage, mean_cost, rank = self.usage.estimate, self.pricing.mean_cost, self.pricing.rank

        def counted_usage(machine: Machine) -> tuple[float, ...]:
            self.work += machine.usage is None
            return usage(machine)

        def counted_mean_cost(machine: Machine, demand: tuple[float, float]) -> tuple[float, Fit]:
            self.work += 1
            return mean_cost(machine, demand)

        def counted_rank(request: PendingRequest, machine: Machine) -> float:
            self.work += 1
            return rank(request, machine)

        self.usage.estimate = counted_usage  # type: ignore[method-assign]
        self.endpoints.index._usage_of = counted_usage
        self.pricing.mean_cost = counted_mean_cost  # type: ignore[method-assign]
        self.pricing.rank = counted_rank  # type: ignore[method-assign]


@pytest.mark.parametrize("machines", [64, 1024])
def test_a_decision_computes_what_has_changed_and_no_more(machines: int) -> None:
    """Guards against decisions whose cost grows with the fleet."""
    one = CountingPlacer(settings(placers=1024, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET), 1)
    one.handle(0.0, [endpoint_update(*(endpoint(m, kind="large") for m in range(1, machines + 1)))])

    def requests(first: int, count: int) -> list[api.Event]:
        return [
            placement_request(n, service=n % 8, cores=0.1, memory=0.1) for n in range(first, first + count)
        ]

    one.handle(1.0, requests(1, 64))
    one.work = 0
    assert len(started_attempts(one.handle(1.1, requests(65, 100)))) == 100
    assert one.work < 100 * 30  # a full scan takes at least 100 times the number of machines
