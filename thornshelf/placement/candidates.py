"""Selects a machine for a request: groups of candidates by preference, and the lowest rank in a group."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence

from thornshelf.placement.accounting import DemandAccounting
from thornshelf.placement.context import PlacementContext
from thornshelf.placement.endpoints import EndpointTable
from thornshelf.placement.fit import Fit
from thornshelf.placement.machine import Machine
from thornshelf.placement.outliers import OutlierDetector
from thornshelf.placement.pricing import COST_BASE, Pricing, is_admitted
from thornshelf.placement.requests import PendingRequest
from thornshelf.placement.reservations import LargeTaskReservations
from thornshelf.placement.rules import PlacementRules
from thornshelf.placement.usage import REPORT_DECAY_S, UsageEstimator

TARGET_UTILIZATION = 0.75  # [D1] of the pool; the rest absorbs bursts and failures between two decisions
RANK_TOLERANCE = 1.02  # ranks within this ratio count as equal: one is chosen at random


class CandidateSelector:
    """Selects the machine that a request is sent to."""

    def __init__(
        self,
        context: PlacementContext,
        endpoints: EndpointTable,
        usage: UsageEstimator,
        pricing: Pricing,
        rules: PlacementRules,
        reservations: LargeTaskReservations,
        outliers: OutlierDetector,
        accounting: DemandAccounting,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._usage = usage
        self._pricing = pricing
        self._rules = rules
        self._reservations = reservations
        self._outliers = outliers
        self._accounting = accounting

    def find_machine(self, request: PendingRequest) -> Machine | None:
        """Return the machine to send the request to, or None if it is not admitted or fits nowhere.

        A retry is not compared with the admission threshold again.
        """
        if not self._reservations.fits_empty_machine(request.demand):
            return None
        index = self._endpoints.index
        index.apply_changes()
        forbidden = self._rules.forbidden_machines(request)
        totals = index.totals(forbidden)
        if len(forbidden) >= len(index.up):
            return None
        largest = self._endpoints.largest_capacity
        if not request.attempts and not is_admitted(request.demand, totals, largest):
            return None
        return self._choose(request, forbidden, totals[0])

    def _choose(
        self, request: PendingRequest, forbidden: set[Machine], used: Sequence[float]
    ) -> Machine | None:
        """Return the machine of lowest rank in the pool [D1], else in the first fallback group with one."""
        excluded = forbidden | self._outliers.excluded_machines() | self._tried_machines(request)
        reserved = self._reservations.reserved(request, excluded)
        excluded.update(reserved)
        pool = self._pool(request, excluded, used)
        lowest = self._lowest_ranked(request, pool, Fit.UNCROWDED)
        if lowest:
            return self._choose_at_random(lowest)
        for group, minimum in self._fallback_groups(request, excluded, reserved):
            lowest = self._lowest_ranked(request, group, minimum)
            if lowest:
                return self._choose_at_random(lowest)
        return None

    def _tried_machines(self, request: PendingRequest) -> set[Machine]:
        """Return the machines on which an attempt of this request has failed."""
        machines = self._endpoints.machines
        return {machine for machine_id in request.tried_machine_ids if (machine := machines.get(machine_id))}

    def _fallback_groups(
        self, request: PendingRequest, excluded: Collection[Machine], reserved: dict[Machine, float]
    ) -> Sequence[tuple[list[Machine], Fit]]:
        """Return the groups to try after the pool, each with the minimum fit, in order of preference.

        First come all machines, uncrowded and then admitted; then machines reserved for tasks of no higher
        weight; last those without a recent report [D6], whose estimated usage must not cause a rejection.
        """
        eligible = [m for m in self._endpoints.index.up if m not in excluded]
        uncrowded = (eligible, Fit.UNCROWDED)
        if self._accounting.is_over_quota(request):
            return (uncrowded,)
        weight = request.task_class.priority_weight
        outranked = [m for m, reserved_for in reserved.items() if weight >= reserved_for]
        report_age_s = self._usage.report_age_s
        has_peers = self._context.settings.placers > 1
        unreported = [m for m in eligible if has_peers and report_age_s(m) > REPORT_DECAY_S]
        return (
            uncrowded,
            (eligible, Fit.ADMITTED),
            (outranked, Fit.ADMITTED),
            (unreported, Fit.NONE),
        )

    def _choose_at_random(self, machines: Sequence[Machine]) -> Machine:
        """Return one of the equally ranked machines at random."""
        if len(machines) == 1:
            return machines[0]
        return machines[self._context.random.randrange(len(machines))]

    def _pool(
        self, request: PendingRequest, excluded: Collection[Machine], used: Sequence[float]
    ) -> list[Machine]:
        """Return the machines that tasks are packed onto [D1]; the others may run empty.

        All placers order machines alike; the pool is the shortest prefix with capacity for the request and
        for ``used``, the summed usage.
        """
        settings = self._context.settings
        index = self._endpoints.index
        is_overcommitted = max(settings.overcommit_cores, settings.overcommit_memory) > 1.0
        # A pool saves nothing where machines have no price. On overcommitted machines that do not report
        # usage, overload of a pool would go unnoticed.
        if settings.prices.fleet <= 0.0 or (is_overcommitted and not settings.reports_usage):
            return [m for m in index.up if m not in excluded]
        demand = request.demand
        cores = (used[0] + demand[0]) / TARGET_UTILIZATION
        memory = (used[1] + demand[1]) / TARGET_UTILIZATION
        usage_limit = self._usage.limit
        pool: list[Machine] = []
        for machine in index.ordered():
            if machine not in excluded:
                pool.append(machine)
                limit = machine.usage_limit or usage_limit(machine)
                cores -= limit[0]
                memory -= limit[1]
                if cores <= 0.0 >= memory:
                    break
        return pool

    def _lowest_ranked(
        self, request: PendingRequest, group: Sequence[Machine], minimum: Fit
    ) -> list[Machine]:
        """Return the machines of lowest rank, within the tolerance, among those where the task fits.

        A machine whose mean cost alone exceeds the lowest rank so far is skipped without ranking it.
        """
        rank = self._pricing.rank
        mean_cost = self._pricing.mean_cost
        demand = request.demand
        service = request.spec.service
        max_rank = self._lowest_rank_with_program(request, group, minimum) * RANK_TOLERANCE
        ranked: list[tuple[float, Machine]] = []
        for machine in group:
            cost, fit = machine.cost_by_demand.get(demand) or mean_cost(machine, demand)
            if cost > max_rank or fit < minimum:
                continue
            if (
                cost * COST_BASE > max_rank
                and service not in machine.tasks_by_service
                and service not in machine.last_ended_by_service
            ):
                continue  # without the program the exponent is higher by at least 1
            if machine.rejections_by_class and self._pricing.fit(request, machine) < minimum:
                continue
            machine_rank = rank(request, machine)
            if machine_rank <= max_rank:
                ranked.append((machine_rank, machine))
                max_rank = min(max_rank, machine_rank * RANK_TOLERANCE)
        return [machine for machine_rank, machine in ranked if machine_rank <= max_rank]

    def _lowest_rank_with_program(
        self, request: PendingRequest, group: Sequence[Machine], minimum: Fit
    ) -> float:
        """Return the lowest rank of the machines that run the service: usually the lowest of all."""
        service = request.spec.service
        lowest = math.inf
        for machine in group:
            if service in machine.tasks_by_service and self._pricing.fit(request, machine) >= minimum:
                lowest = min(lowest, self._pricing.rank(request, machine))
        return lowest
