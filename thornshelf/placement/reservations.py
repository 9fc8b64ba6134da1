"""Reserves capacity on the emptiest machine for large tasks, while such tasks are requested [D5]."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from thornshelf.placement.context import PlacementContext
from thornshelf.placement.endpoints import EndpointTable
from thornshelf.placement.machine import Machine
from thornshelf.placement.machine_index import RESOURCES, ResourcePair
from thornshelf.placement.requests import PendingRequest
from thornshelf.placement.settings import TaskClass
from thornshelf.placement.usage import UsageEstimator

LARGE_TASK_RATIO = 0.1  # a task is large above this fraction of the largest machine
LARGE_RESERVATION_S = 60.0  # how long capacity stays reserved after the last large request


class LargeDemand(NamedTuple):
    """The largest demand of recent large tasks of one class."""

    task_class: TaskClass
    demand: ResourcePair
    seen_at: float


class LargeTaskReservations:
    """Tracks the demand of large tasks, and reserves a machine for each class of them."""

    def __init__(self, context: PlacementContext, endpoints: EndpointTable, usage: UsageEstimator) -> None:
        self._context = context
        self._endpoints = endpoints
        self._usage = usage
        self.largest_demands: dict[str, LargeDemand] = {}  # by task class
        self._emptiest: dict[str, Machine] = {}  # the last machine found with most capacity, by task class

    def is_large(self, demand: ResourcePair) -> bool:
        """Return whether the demand is so large that capacity scattered over machines may not hold it."""
        cores, memory = self._endpoints.largest_capacity
        return demand[0] > LARGE_TASK_RATIO * cores > 0.0 or demand[1] > LARGE_TASK_RATIO * memory > 0.0

    def fits_empty_machine(self, demand: ResourcePair) -> bool:
        """Return whether the demand is within the most cores and the most memory of any machine.

        Nothing is reserved for a larger task, as no machine could hold it even while empty.
        """
        largest = self._endpoints.largest_capacity
        return all(requested <= capacity for capacity, requested in zip(largest, demand, strict=True))

    def record(self, task_class: TaskClass, demand: ResourcePair) -> None:
        """Record a request's demand if it is large and could be placed at all."""
        if min(demand) <= 0.0 or not self.is_large(demand) or not self.fits_empty_machine(demand):
            return
        before = self.largest_demands.get(task_class.name)
        largest = demand
        if before is not None:
            largest = (max(before.demand[0], demand[0]), max(before.demand[1], demand[1]))
        self.largest_demands[task_class.name] = LargeDemand(task_class, largest, self._context.now)

    def reserved(self, request: PendingRequest, excluded: Collection[Machine]) -> dict[Machine, float]:
        """Return the machines reserved for other tasks, each with the highest priority weight of these.

        ``excluded`` are the machines that the request can't use in any case.
        """
        reserved: dict[Machine, float] = {}
        for task_class, demand, seen_at in self.largest_demands.values():
            if self._context.now - seen_at > LARGE_RESERVATION_S or self.is_large(request.demand):
                continue
            required_count = 1.0 + max(request.demand[k] / demand[k] for k in RESOURCES)
            previous = self._emptiest.get(task_class.name)
            if (
                previous is not None
                and previous.position >= 0
                and previous not in excluded
                and self._count_fitting(previous, demand) >= required_count
            ):
                continue  # it still has capacity for the large task and this one
            machine, fitting_count = self._find_emptiest(task_class, demand, excluded)
            if machine is not None and fitting_count < required_count:
                reserved[machine] = max(task_class.priority_weight, reserved.get(machine, 0.0))
        return reserved

    def _find_emptiest(
        self, task_class: TaskClass, demand: ResourcePair, excluded: Collection[Machine]
    ) -> tuple[Machine | None, float]:
        """Return the machine that can take most tasks of this demand, and their number.

        With fewer than two candidates, return None and 0: nothing is reserved.
        """
        candidates = [
            m
            for m in self._endpoints.index.up
            if m not in excluded and task_class.machine_kind in (None, m.kind_index)
        ]
        counts = [self._count_fitting(m, demand) for m in candidates]
        if len(counts) <= 1:
            return None, 0.0
        maximum = max(counts)
        machine = candidates[counts.index(maximum)]
        self._emptiest[task_class.name] = machine
        return machine, maximum

    def _count_fitting(self, machine: Machine, demand: ResourcePair) -> float:
        """Return how many more tasks of this demand the machine can take, with a fraction."""
        usage = machine.usage or self._usage.estimate(machine)
        capacity = machine.capacity
        return min((capacity[0] - usage[0]) / demand[0], (capacity[1] - usage[1]) / demand[1])
