"""The indexed decision makes the plain scan's choices, at a cost that doesn't grow with what hasn't changed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import pytest

from tests.conftest import SAFE, ask, ended, entry, listing, offers, settings
from thornshelf.placement import interface as api
from thornshelf.placement.placer import (
    LARGE_RESERVATION_S,
    RANK_TOLERANCE,
    REPORT_DECAY_S,
    TARGET_UTILIZATION,
    Machine,
    PendingRequest,
    Placer,
)

LEDGER = replace(SAFE, name="ledger", idempotency=api.Idempotency.NEVER, priority_weight=3.0, priority=1)
FLEET = {"fleet": 0.2, "slow_start_s": 6.0, "retry_after": True, "max_retry_after_s": 3.0}


class Plain(Placer):
    """The design as it reads: every machine is looked at for every task."""

    def place(self, request: PendingRequest) -> None:
        if not request.open or any(a.live and a.state == 0 for a in request.attempts):
            return
        machine, fleet = None, self.index.up
        left = len(request.attempts) < self.settings.limits.max_attempts and request.deadline > self.now
        if left and self.fits_empty_machine(request.demand):
            eligible = [m for m in fleet if self.is_allowed(request, m)]
            views, sizes = [self.usage(m) for m in eligible], [m.capacity for m in eligible]
            taken, size = ([sum(one[k] for one in pairs) for k in (0, 1)] for pairs in (views, sizes))
            if eligible and (request.attempts or self.is_admitted(request.demand, (taken, size))):
                machine = self.choice(request, eligible, taken)
        if machine is None:
            self.answer_without_machine(request)
        else:
            self.start_attempt(request, machine)

    def choice(
        self, request: PendingRequest, eligible: list[Machine], taken: Sequence[float]
    ) -> Machine | None:
        able = [m for m in eligible if m.id not in request.rejected_by]
        able = [m for m in able if self.now >= max(m.ejected_until, m.backoff_until)]
        kept = self.keep(request, able)
        able = [m for m in able if m not in kept]
        last = [m for m, worth in kept.items() if request.task_class.priority_weight >= worth]
        unsure = [m for m in able if self.settings.placers > 1 and self.report_age(m) > REPORT_DECAY_S]
        groups = [(self.prefix(request, able, taken), 2), (able, 2), (able, 1), (last, 1), (unsure, 0)]
        for group, check in groups[: 2 if self.is_over_quota(request) else 5]:
            fitting = [(self.rank(request, m), m) for m in group if self.fit(request, m) >= check]
            if fitting:
                least = min(rank for rank, _ in fitting)
                near = [m for rank, m in fitting if rank <= least * RANK_TOLERANCE]
                return near[self.random.randrange(len(near))] if len(near) > 1 else near[0]
        return None

    def keep(self, request: PendingRequest, able: list[Machine]) -> dict[Machine, float]:
        kept: dict[Machine, float] = {}
        for terms, need, seen in self.largest_demands.values():
            if self.now - seen <= LARGE_RESERVATION_S and not self.is_large(request.demand) and len(able) > 1:
                room = [min((m.capacity[k] - self.usage(m)[k]) / need[k] for k in (0, 1)) for m in able]
                if max(room) < 1.0 + max(request.demand[k] / need[k] for k in (0, 1)):
                    m = able[room.index(max(room))]
                    kept[m] = max(terms.priority_weight, kept.get(m, 0.0))
        return kept

    def prefix(self, request: PendingRequest, able: list[Machine], taken: Sequence[float]) -> list[Machine]:
        order = sorted(
            able, key=lambda m: (-round(self.fullness_steps * self.usage(m)[0] / m.capacity[0]), m.order_key)
        )
        wanted = [taken[k] + request.demand[k] for k in (0, 1)]
        for count, m in enumerate(order, 1):
            wanted = [wanted[k] - TARGET_UTILIZATION * self.usage_limit(m)[k] for k in (0, 1)]
            if max(wanted) <= 0.0:
                return order[:count]
        return order


def day(chance: random.Random, placers: tuple[Placer, Placer], machines: int, steps: int) -> int:
    """The same events to both; their actions must be the same. Gives the number of offers."""
    now, number, made = 0.0, 0, 0
    out: list[tuple[int, int, int, bool]] = []
    states = {m: entry(m, kind=chance.choice(("small", "large"))) for m in range(1, machines + 1)}
    events: list[api.Event] = [listing(*states.values())]
    for _ in range(steps):
        now += chance.choice((0.002, 0.05, 0.3))
        for _ in range(chance.randrange(12)):
            number += 1
            shape: dict[str, Any] = {
                "cores": chance.choice((0.5, 1.0, 2.0)),
                "memory": chance.choice((1.0, 3.0)),
            }
            if chance.random() < 0.1:
                shape = {"cores": 6.0, "memory": 14.0, "task_class": "ledger"}
            events.append(ask(number, service=chance.randrange(30), **shape))
        for _ in range(min(len(out), chance.randrange(14))):
            request, machine, attempt, bound = out.pop(chance.randrange(len(out)))
            report = api.LoadReport(chance.uniform(-4.0, 30.0), chance.uniform(0.0, 60.0))
            if not bound and chance.random() < 0.8:
                events.append(api.AttemptAccepted(request, machine, attempt, 0.1))
                events.append(
                    api.TaskUpdate(request, machine, attempt, api.TaskUpdateKind.CORES_USED, chance.random())
                )
                out.append((request, machine, attempt, True))
                continue
            outcome = chance.choice((api.Outcome.OK, api.Outcome.REFUSED, api.Outcome.TIMED_OUT))
            outcome = api.Outcome.OK if bound else outcome
            reason = chance.choice((api.Reason.QUEUE_FULL, api.Reason.NO_CORES, api.Reason.UNSPECIFIED))
            events.append(ended(request, machine, outcome, attempt, reason=reason, last=bound, report=report))
        if chance.random() < 0.15:
            changed = chance.choice(list(states))
            health = chance.choice((api.Health.UP, api.Health.UP, api.Health.DRAINING, api.Health.REMOVED))
            states[changed] = replace(states[changed], health=health, started_at=now)
            events.append(listing(states[changed], complete=False))
        one, other = (placer.handle(now, events) for placer in placers)
        assert one == other
        made += len(offers(one))
        for offer in offers(one):
            attempt = len(placers[0].requests[offer.request_id].attempts) - 1
            out.append((offer.request_id, offer.machine, attempt, False))
        events = []
    return made


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("placers", [1, 16, 230])
def test_the_index_chooses_as_the_plain_scan_does(seed: int, placers: int) -> None:
    terms = settings(SAFE, LEDGER, placers=placers, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET)
    both = Placer(terms, 1), Plain(terms, 1)
    assert day(random.Random(seed), both, (5, 40)[seed % 2], 120) > 50


class Counting(Placer):
    """Counts what is worked out anew."""

    work = 0

    def usage(self, m: Machine) -> tuple[float, ...]:
        self.work += m.usage is None
        return super().usage(m)

    def mean_cost(self, m: Machine, need: tuple[float, float]) -> tuple[float, int]:
        self.work += 1
        return super().mean_cost(m, need)

    def rank(self, request: PendingRequest, m: Machine) -> float:
        self.work += 1
        return super().rank(request, m)


@pytest.mark.parametrize("machines", [64, 1024])
def test_a_decision_works_out_what_has_changed_and_no_more(machines: int) -> None:
    """Guards against decisions that cost as much as the fleet is large: 13 ms each at 1,000 nodes."""
    one = Counting(settings(placers=1024, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET), 1)
    one.handle(0.0, [listing(*(entry(m, kind="large") for m in range(1, machines + 1)))])

    def asks(first: int, count: int) -> list[api.Event]:
        return [ask(n, service=n % 8, cores=0.1, memory=0.1) for n in range(first, first + count)]

    one.handle(1.0, asks(1, 64))
    one.work = 0
    assert len(offers(one.handle(1.1, asks(65, 100)))) == 100
    assert one.work < 100 * 30  # the plain scan: at least 100 times the fleet
