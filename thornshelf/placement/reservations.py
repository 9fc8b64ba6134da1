"""[D5] Reservations: capacity on the emptiest machine is kept for large tasks that were requested lately."""

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

LARGE_TASK_RATIO = 0.1  # a task is large from this part of the largest machine on
LARGE_RESERVATION_S = 60.0  # how long after the last large request capacity is reserved


class LargeDemand(NamedTuple):
    """The largest demand among the recent large tasks of one class."""

    task_class: TaskClass
    demand: ResourcePair
    seen_at: float


class LargeTaskReservations:
    """Remembers what large tasks need, and reserves a machine for each class of them."""

    def __init__(self, context: PlacementContext, endpoints: EndpointTable, usage: UsageEstimator) -> None:
        self._context = context
        self._endpoints = endpoints
        self._usage = usage
        self.largest_demands: dict[str, LargeDemand] = {}  # by task class
        self._emptiest: dict[str, Machine] = {}  # where capacity was found last, by task class

    def is_large(self, demand: ResourcePair) -> bool:
        """Return whether capacity that is scattered over many machines may not hold the demand."""
        cores, memory = self._endpoints.largest_capacity
        return demand[0] > LARGE_TASK_RATIO * cores > 0.0 or demand[1] > LARGE_TASK_RATIO * memory > 0.0

    def fits_empty_machine(self, demand: ResourcePair) -> bool:
        """Return whether some machine could hold it, were it empty; nothing is reserved for larger tasks."""
        largest = self._endpoints.largest_capacity
        return all(wanted <= capacity for capacity, wanted in zip(largest, demand, strict=True))

    def record(self, task_class: TaskClass, demand: ResourcePair) -> None:
        """Take a request's demand; the largest of each class is remembered."""
        if min(demand) <= 0.0 or not self.is_large(demand) or not self.fits_empty_machine(demand):
            return
        before = self.largest_demands.get(task_class.name)
        largest = demand
        if before is not None:
            largest = (max(before.demand[0], demand[0]), max(before.demand[1], demand[1]))
        self.largest_demands[task_class.name] = LargeDemand(task_class, largest, self._context.now)

    def reserved(self, request: PendingRequest, excluded: Collection[Machine]) -> dict[Machine, float]:
        """Return the machines that are reserved for other tasks, each with the priority weight of these.

        ``excluded``: the machines that the request can't use anyway.
        """
        reserved: dict[Machine, float] = {}
        for task_class, demand, seen_at in self.largest_demands.values():
            if self._context.now - seen_at > LARGE_RESERVATION_S or self.is_large(request.demand):
                continue
            enough = 1.0 + max(request.demand[k] / demand[k] for k in RESOURCES)
            last = self._emptiest.get(task_class.name)
            if (
                last is not None
                and last.position >= 0
                and last not in excluded
                and self._count_fitting(last, demand) >= enough
            ):
                continue  # it still has capacity for both
            machine, fitting = self._find_emptiest(task_class, demand, excluded)
            if machine is not None and fitting < enough:
                reserved[machine] = max(task_class.priority_weight, reserved.get(machine, 0.0))
        return reserved

    def _find_emptiest(
        self, task_class: TaskClass, demand: ResourcePair, excluded: Collection[Machine]
    ) -> tuple[Machine | None, float]:
        """The machine that admits most tasks of this demand, and how many; none of a single machine."""
        candidates = [
            m
            for m in self._endpoints.index.up
            if m not in excluded and task_class.machine_kind in (None, m.kind_index)
        ]
        fitting = [self._count_fitting(m, demand) for m in candidates]
        if len(fitting) <= 1:
            return None, 0.0
        maximum = max(fitting)
        machine = candidates[fitting.index(maximum)]
        self._emptiest[task_class.name] = machine
        return machine, maximum

    def _count_fitting(self, machine: Machine, demand: ResourcePair) -> float:
        """How many tasks of this demand the machine still admits."""
        usage = machine.usage or self._usage.estimate(machine)
        capacity = machine.capacity
        return min((capacity[0] - usage[0]) / demand[0], (capacity[1] - usage[1]) / demand[1])
