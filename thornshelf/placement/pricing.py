"""Prices of tasks on machines: the paper's unit cost, its admission threshold, and the rank of a machine."""

from __future__ import annotations

import math
from collections.abc import Sequence

from thornshelf.placement.context import PlacementContext
from thornshelf.placement.fit import Fit
from thornshelf.placement.hashing import unit_hash
from thornshelf.placement.latency import TIMEOUT_FACTOR, LatencyTracker
from thornshelf.placement.machine import Machine
from thornshelf.placement.machine_index import ResourcePair
from thornshelf.placement.requests import PendingRequest
from thornshelf.placement.reservations import LargeTaskReservations
from thornshelf.placement.slow_start import SlowStart
from thornshelf.placement.usage import UsageEstimator

COST_BASE = 4.0  # a: a full machine costs so many times what an empty one does (the design's figure)
ADMISSION_THRESHOLD = 0.3  # theta: the threshold's part of the highest unit cost (the design's figure)
MAX_POWERS = 256.0  # of the base, all terms of a rank together: beyond any choice, and within a float's range
MAX_DELAY_POWERS = 2.0  # [D4] late starts raise the rank by at most this power of the base
SLOW_START_POWERS = 0.5  # a machine in slow start is as expensive as one that is half as full again
PRESSURE_MEMORY_S = 2.0  # pressure that a machine reported raises its rank so long
PENDING_START_POWERS = 0.1
CROSS_ZONE_POWERS = 2.0  # for each point that a task in another zone costs
PROGRAM_CACHE_S = 10.0  # [D3] a machine keeps a program about so long after its service's last own task there
RECENT_PROGRAM_POWERS = 0.25
NO_PROGRAM_POWERS = 1.0
HOMES_PER_POWER = 5  # [D3] so many places down a service's order cost one power of the base
MAX_HOME_POWERS = 16.0  # [D3] of what is beyond, the logarithm counts, so that other terms still matter


def unit_costs(usage: Sequence[float], capacity: Sequence[float], demand: Sequence[float]) -> list[float]:
    """Return the paper's unit cost of each resource that is asked for."""
    return [
        COST_BASE ** (used / size) * (COST_BASE ** min(wanted / size, MAX_POWERS) - 1.0)
        if size > 0.0
        else COST_BASE**2
        for used, size, wanted in zip(usage, capacity, demand, strict=True)
        if wanted > 0.0
    ]


def is_under_threshold(costs: Sequence[float]) -> bool:
    """Return whether each unit cost, and their mean, is at most the admission threshold."""
    threshold = ADMISSION_THRESHOLD * (COST_BASE - 1.0)
    return not costs or (max(costs) <= threshold and sum(costs) / len(costs) <= threshold)


def is_admitted(
    demand: ResourcePair, totals: tuple[list[float], list[float]], largest_capacity: Sequence[float]
) -> bool:
    """Return whether the demand is under the threshold on the pooled machines (``totals``: usage, capacity).

    A task that would be above it even on the largest machine, empty, is admitted wherever it fits.
    """
    return is_under_threshold(unit_costs(*totals, demand)) or not is_under_threshold(
        unit_costs((0.0, 0.0), largest_capacity, demand)
    )


class Pricing:
    """Ranks machines for a request: the least rank is chosen."""

    def __init__(
        self,
        context: PlacementContext,
        usage: UsageEstimator,
        slow_start: SlowStart,
        latency: LatencyTracker,
        reservations: LargeTaskReservations,
    ) -> None:
        self._context = context
        self._usage = usage
        self._slow_start = slow_start
        self._latency = latency
        self._reservations = reservations
        self._cross_zone_powers = CROSS_ZONE_POWERS * context.settings.prices.cross_zone
        self.home_cost_scale = 1.0  # [D3] how much more a service's last home costs than its first

    def rank(self, request: PendingRequest, machine: Machine) -> float:
        """Return the paper's mean cost, times the base to the power of all else that makes it expensive."""
        context = self._context
        powers = self.program_powers(request, machine) + self._cross_zone_powers * machine.in_other_zone
        powers += (
            PENDING_START_POWERS * len(machine.pending_starts)
            + machine.consecutive_failures
            + machine.gossip_penalty
            + (SLOW_START_POWERS if self._slow_start.is_warming_up(machine) else 0.0)
        )
        powers += machine.pressure if context.now - machine.pressure_at < PRESSURE_MEMORY_S else 0.0
        if machine.start_delay_s or machine.pending_starts:
            powers += self._start_delay_powers(machine)
        cost = (machine.cost_by_demand.get(request.demand) or self.mean_cost(machine, request.demand))[0]
        return cost * math.pow(COST_BASE, min(powers, MAX_POWERS))

    def mean_cost(self, machine: Machine, demand: ResourcePair) -> tuple[float, Fit]:
        """Return the paper's mean cost and how well the demand fits, and cache them with the machine.

        The result is a plain tuple, as it is unpacked for each machine of each decision.
        """
        usage = machine.usage or self._usage.estimate(machine)
        limit = machine.usage_limit or self._usage.limit(machine)
        costs = unit_costs(usage, limit, demand)
        cores = usage[0] + demand[0]
        memory = usage[1] + demand[1]
        fit = Fit.NONE
        if cores <= limit[0] and memory <= limit[1]:
            fit = Fit.UNCROWDED
        elif cores <= machine.capacity[0] and memory <= machine.capacity[1]:
            fit = Fit.ADMITTED
        result = (sum(costs) / len(costs) if costs else 1.0, fit)
        machine.cost_by_demand[demand] = result
        return result

    def fit(self, request: PendingRequest, machine: Machine) -> Fit:
        """Return how well the task fits there, also by what the machine refused of late."""
        rejection = machine.rejections_by_class.get(request.task_class.name)
        demand = request.demand
        if (
            rejection is not None
            and self._context.now < rejection.until
            and demand[0] >= rejection.demand[0]
            and demand[1] >= rejection.demand[1]
        ):
            return Fit.REFUSED_LATELY
        return (machine.cost_by_demand.get(demand) or self.mean_cost(machine, demand))[1]

    def program_powers(self, request: PendingRequest, machine: Machine) -> float:
        """[D3] Return the powers for a start without the service's program; placers agree on its homes."""
        service = request.spec.service
        if machine.tasks_by_service.get(service):
            return 0.0
        last_ended = machine.last_ended_by_service.get(service, -PROGRAM_CACHE_S)
        is_recent = self._context.now - last_ended < PROGRAM_CACHE_S
        # A large task needs capacity first.
        scale = 1.0 if self._reservations.is_large(request.demand) else self.home_cost_scale
        home = unit_hash(service, machine.id) * scale
        if home > MAX_HOME_POWERS:
            home = MAX_HOME_POWERS + math.log1p(home - MAX_HOME_POWERS)
        return (RECENT_PROGRAM_POWERS if is_recent else NO_PROGRAM_POWERS) + home

    def adapt_home_cost(self, service_diversity: float, machines: int) -> None:
        """[D3] Scale the cost of homes so that placers agree on few of them in a fleet of any size."""
        homes = max(1, machines) / HOMES_PER_POWER
        self.home_cost_scale = 1.0 + service_diversity * max(0.0, homes - 1.0)

    def _start_delay_powers(self, machine: Machine) -> float:
        """[D4] Late or overdue starts make a machine expensive: it may accept tasks but run them slowly."""
        waiting_s = 0.0
        if machine.pending_starts:
            waiting_s = self._context.now - next(iter(machine.pending_starts.values()))
        expected_s = max(machine.start_delay_s or 0.0, waiting_s)
        usual_s = TIMEOUT_FACTOR * self._latency.usual_start_s
        if expected_s > usual_s > 0.0:
            return min(math.log(expected_s / usual_s, COST_BASE), MAX_DELAY_POWERS)
        return 0.0
