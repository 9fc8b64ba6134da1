"""Prices tasks on machines: the paper's unit cost and admission threshold, and the rank of a machine."""

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

COST_BASE = 4.0  # the paper's a: how many times more a full machine costs than an empty one
ADMISSION_THRESHOLD = 0.3  # the paper's theta: the threshold as a fraction of the highest unit cost
MAX_RANK_EXPONENT = 256.0  # keeps ranks within the range of a float
MAX_START_DELAY_EXPONENT = 2.0  # [D4] the most that delayed starts add to the exponent
SLOW_START_EXPONENT = 0.5  # as much as a utilization that is higher by one half
PRESSURE_TTL_S = 2.0  # how long reported pressure raises a machine's rank
PENDING_START_EXPONENT = 0.1  # for each own attempt that has not started yet
CROSS_ZONE_EXPONENT = 2.0  # for each point that a task in another zone costs by ``Prices.cross_zone``
PROGRAM_CACHE_TTL_S = 10.0  # [D3] about how long a machine caches a program after its last task
CACHED_PROGRAM_EXPONENT = 0.25
UNCACHED_PROGRAM_EXPONENT = 1.0
AFFINITY_PLACES_PER_EXPONENT = 5  # [D3] machines in a service's order of preference per unit of the exponent
MAX_LINEAR_AFFINITY = 16.0  # [D3] above it the exponent grows logarithmically: other terms still count


def unit_costs(usage: Sequence[float], capacity: Sequence[float], demand: Sequence[float]) -> list[float]:
    """Return the paper's unit cost of each requested resource; without capacity it is ``COST_BASE**2``."""
    return [
        _power(used / size) * (_power(requested / size) - 1.0) if size > 0.0 else COST_BASE**2
        for used, size, requested in zip(usage, capacity, demand, strict=True)
        if requested > 0.0
    ]


def _power(exponent: float) -> float:
    return math.pow(COST_BASE, min(exponent, MAX_RANK_EXPONENT))


def is_under_threshold(costs: Sequence[float]) -> bool:
    """Return whether each unit cost, and their mean, are within the admission threshold."""
    threshold = ADMISSION_THRESHOLD * (COST_BASE - 1.0)
    return not costs or (max(costs) <= threshold and sum(costs) / len(costs) <= threshold)


def is_admitted(
    demand: ResourcePair, totals: tuple[list[float], list[float]], largest_capacity: Sequence[float]
) -> bool:
    """Return whether the demand is within the threshold on the pooled machines.

    ``totals`` are the summed usage and the summed capacity of these. A task that is above the threshold even
    on the largest machine while empty is admitted too: it goes wherever it fits.
    """
    return is_under_threshold(unit_costs(*totals, demand)) or not is_under_threshold(
        unit_costs((0.0, 0.0), largest_capacity, demand)
    )


class Pricing:
    """Ranks machines for a request; the machine of lowest rank is preferred."""

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
        self._cross_zone_exponent = CROSS_ZONE_EXPONENT * context.settings.prices.cross_zone
        self.affinity_scale = 1.0  # [D3] the exponent of the last machine in a service's order of preference

    def rank(self, request: PendingRequest, machine: Machine) -> float:
        """Return the paper's mean cost, times ``COST_BASE`` to the power of all other disadvantages."""
        context = self._context
        exponent = self.program_exponent(request, machine) + self._cross_zone_exponent * machine.in_other_zone
        exponent += (
            PENDING_START_EXPONENT * len(machine.pending_starts)
            + machine.consecutive_failures
            + machine.gossip_penalty
            + (SLOW_START_EXPONENT if self._slow_start.is_warming_up(machine) else 0.0)
        )
        exponent += machine.pressure if context.now - machine.pressure_at < PRESSURE_TTL_S else 0.0
        if machine.start_delay_s or machine.pending_starts:
            exponent += self._start_delay_exponent(machine)
        cost = (machine.cost_by_demand.get(request.demand) or self.mean_cost(machine, request.demand))[0]
        return cost * math.pow(COST_BASE, min(exponent, MAX_RANK_EXPONENT))

    def mean_cost(self, machine: Machine, demand: ResourcePair) -> tuple[float, Fit]:
        """Return the paper's mean cost and how well the demand fits, and cache both on the machine.

        The result is a plain tuple for speed: it is unpacked for each machine of each decision.
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
        """Return how well the task fits on the machine, considering its recent refusals of the class."""
        rejection = machine.rejections_by_class.get(request.task_class.name)
        demand = request.demand
        if (
            rejection is not None
            and self._context.now < rejection.until
            and demand[0] >= rejection.demand[0]
            and demand[1] >= rejection.demand[1]
        ):
            return Fit.RECENTLY_REFUSED
        return (machine.cost_by_demand.get(demand) or self.mean_cost(machine, demand))[1]

    def program_exponent(self, request: PendingRequest, machine: Machine) -> float:
        """Return the exponent for a start on a machine that does not run the service yet [D3].

        All placers compute the same order of preferred machines for a service, so that its program is cached
        on few of them.
        """
        service = request.spec.service
        if machine.tasks_by_service.get(service):
            return 0.0
        last_ended = machine.last_ended_by_service.get(service, -PROGRAM_CACHE_TTL_S)
        is_cached = self._context.now - last_ended < PROGRAM_CACHE_TTL_S
        # For a large task, capacity matters more than a cached program.
        scale = 1.0 if self._reservations.is_large(request.demand) else self.affinity_scale
        affinity_exponent = unit_hash(service, machine.id) * scale
        if affinity_exponent > MAX_LINEAR_AFFINITY:
            affinity_exponent = MAX_LINEAR_AFFINITY + math.log1p(affinity_exponent - MAX_LINEAR_AFFINITY)
        return (CACHED_PROGRAM_EXPONENT if is_cached else UNCACHED_PROGRAM_EXPONENT) + affinity_exponent

    def update_affinity_scale(self, service_diversity: float, machines: int) -> None:
        """Scale affinity with the fleet [D3], so that at any size few machines cache a service's program."""
        scale = max(1, machines) / AFFINITY_PLACES_PER_EXPONENT
        self.affinity_scale = 1.0 + service_diversity * max(0.0, scale - 1.0)

    def _start_delay_exponent(self, machine: Machine) -> float:
        """Return the exponent for delayed starts [D4]: such a machine accepts tasks but runs them slowly."""
        pending_s = 0.0
        if machine.pending_starts:
            pending_s = self._context.now - next(iter(machine.pending_starts.values()))
        expected_s = max(machine.start_delay_s or 0.0, pending_s)
        threshold_s = TIMEOUT_FACTOR * self._latency.mean_start_s
        if expected_s > threshold_s > 0.0:
            return min(math.log(expected_s / threshold_s, COST_BASE), MAX_START_DELAY_EXPONENT)
        return 0.0
