"""An index of the machines that are up: their summed usage and capacity, and their order.

Functions passed in compute a machine's usage and its group in the order. The cost of an update depends on
the number of machines that changed since the last decision, not on the size of the fleet. As estimates of
usage age, all of them are recomputed in rounds; a round is split into slices, so that no decision waits for
all of it.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Any, Generic, TypeVar

from thornshelf.placement.fit import Fit

ResourcePair = tuple[float, float]  # cores and memory
RESOURCES = (0, 1)  # the indices of a pair
REFRESH_SLICE_SIZE = 64  # machines refreshed with each decision, at about the cost of the decision itself
MAX_CALLS_PER_REFRESH = 4  # of ``advance_refresh``, which complete a round however few decisions there are
MIN_USAGE_RATIO = -4.0  # reported usage is clamped to this range, in multiples of the capacity
MAX_USAGE_RATIO = 2.0


def clamp_usage(usage: ResourcePair, capacity: ResourcePair) -> ResourcePair:
    """Return the reported usage, clamped to a plausible range relative to the capacity.

    Else one machine with faulty reports would distort the sums by which all tasks are priced.
    """
    return _clamp(usage[0], capacity[0]), _clamp(usage[1], capacity[1])


def _clamp(usage: float, capacity: float) -> float:
    return max(MIN_USAGE_RATIO * capacity, min(usage, MAX_USAGE_RATIO * capacity))


class IndexedMachine:
    """The fields of a machine that the index uses."""

    def __init__(self, order_key: float, changed: list[Any]) -> None:
        """``changed`` is the index's list of machines to update; the machine adds itself to it."""
        self.order_key = order_key  # orders the machines of a group, from 0 to 1
        self.capacity: ResourcePair = (0.0, 0.0)  # the cores and memory that it admits demand for
        self.usage: tuple[float, ...] | None = None  # estimated cores and memory; None: to be recomputed
        self.cost_by_demand: dict[ResourcePair, tuple[float, Fit]] = {}  # cached mean cost and fit
        self.gossip_penalty = 0.0  # added to the rank's exponent for an outlier that peers report
        self.position = -1  # in ``MachineIndex.up``; -1: not up
        self.serial = 0  # unique among machines that are up, to order equal keys; 0: not up
        self.indexed_usage: tuple[float, ...] = (0.0, 0.0)  # the values that the sums contain
        self.indexed_capacity: ResourcePair = (0.0, 0.0)
        self.group = (False, 0)  # as returned by the index's ``group_of``
        self._changed = changed

    def invalidate(self) -> None:
        """Drop the cached values, and have the index updated before the next decision."""
        self.cost_by_demand.clear()
        if self.usage is not None:
            self.usage = None
            self._changed.append(self)


MachineT = TypeVar("MachineT", bound=IndexedMachine)


class MachineIndex(Generic[MachineT]):
    """Keeps sums over the machines that are up, and their order by group and order key."""

    def __init__(
        self,
        usage_of: Callable[[MachineT], tuple[float, ...]],
        group_of: Callable[[MachineT], tuple[bool, int]],
    ) -> None:
        """``usage_of`` estimates a machine's usage; ``group_of`` returns its group, in ascending order."""
        self.up: list[MachineT] = []  # in the order of the endpoint table
        self.changed: list[MachineT] = []  # machines whose usage may have changed
        self._usage_of = usage_of
        self._group_of = group_of
        self._groups: dict[tuple[bool, int], list[tuple[float, int, MachineT]]] = {}
        self._usage_sums = [0.0, 0.0]
        self._capacity_sums = [0.0, 0.0]
        self._refresh_queue: deque[MachineT] = deque()  # the machines that are left in the current round
        self._last_serial = 0

    def replace(self, up: Iterable[MachineT]) -> None:
        """Set the machines that are up; the sums and the order are updated by the differences only."""
        before = self.up
        self.up = list(up)
        for machine in before:
            machine.position = -1
        for position, machine in enumerate(self.up):
            machine.position = position
        for machine in before:
            if machine.position < 0:
                self._remove(machine)
        for machine in self.up:
            if not machine.serial:
                self._last_serial += 1
                machine.serial = self._last_serial
                self._add(machine)
            elif machine.capacity != machine.indexed_capacity:
                self._remove(machine, machine.serial)
                self._add(machine)

    def advance_refresh(self) -> None:
        """Begin a round that recomputes all estimates, or continue the current one."""
        if not self._refresh_queue:
            self._refresh_queue.extend(self.up)
        minimum_count = -(-len(self.up) // MAX_CALLS_PER_REFRESH)
        self._refresh(max(REFRESH_SLICE_SIZE, minimum_count))

    def apply_changes(self) -> None:
        """Update sums and order for the machines that changed, and continue the current round, if any."""
        if self._refresh_queue:
            self._refresh(REFRESH_SLICE_SIZE)
        if self.changed:
            for machine in self.changed:
                if machine.position >= 0 and self._usage_of(machine) is not machine.indexed_usage:
                    self._reindex(machine)
            self.changed.clear()

    def _refresh(self, count: int) -> None:
        """Recompute the next ``count`` machines; a round ends by summing anew, to drop rounding errors."""
        queue = self._refresh_queue
        for _ in range(min(count, len(queue))):
            machine = queue.popleft()
            if machine.position >= 0:
                machine.usage = None
                machine.cost_by_demand.clear()
                self._reindex(machine)
        if not queue:
            for resource in RESOURCES:
                self._usage_sums[resource] = sum(m.indexed_usage[resource] for m in self.up)
                self._capacity_sums[resource] = sum(m.capacity[resource] for m in self.up)

    def _reindex(self, machine: MachineT) -> None:
        """Update the sums for a machine's current usage, and its place in the order if its group changed."""
        usage = self._usage_of(machine)
        before = machine.indexed_usage
        machine.indexed_usage = usage
        sums = self._usage_sums
        sums[0] += usage[0] - before[0]
        sums[1] += usage[1] - before[1]
        group = self._group_of(machine)
        if group != machine.group:
            self._remove_from_order(machine)
            machine.group = group
            self._insert_into_order(machine)

    def _add(self, machine: MachineT) -> None:
        machine.indexed_usage = self._usage_of(machine)
        machine.indexed_capacity = machine.capacity
        machine.group = self._group_of(machine)
        for resource in RESOURCES:
            self._usage_sums[resource] += machine.indexed_usage[resource]
            self._capacity_sums[resource] += machine.indexed_capacity[resource]
        self._insert_into_order(machine)

    def _remove(self, machine: MachineT, serial: int = 0) -> None:
        for resource in RESOURCES:
            self._usage_sums[resource] -= machine.indexed_usage[resource]
            self._capacity_sums[resource] -= machine.indexed_capacity[resource]
        self._remove_from_order(machine)
        machine.serial = serial

    def _insert_into_order(self, machine: MachineT) -> None:
        entries = self._groups.setdefault(machine.group, [])
        insort(entries, (machine.order_key, machine.serial, machine))

    def _remove_from_order(self, machine: MachineT) -> None:
        entries = self._groups[machine.group]
        del entries[bisect_left(entries, (machine.order_key, machine.serial))]
        if not entries:
            del self._groups[machine.group]

    def totals(self, excluded: Collection[MachineT] = ()) -> tuple[list[float], list[float]]:
        """Return the summed usage and the summed capacity of all machines except the excluded ones."""
        usage = self._usage_sums
        capacity = self._capacity_sums
        if not excluded:
            return list(usage), list(capacity)
        return (
            [usage[k] - sum(m.indexed_usage[k] for m in excluded) for k in RESOURCES],
            [capacity[k] - sum(m.capacity[k] for m in excluded) for k in RESOURCES],
        )

    def ordered(self) -> Iterator[MachineT]:
        """Iterate over all machines by group and order key."""
        for _, entries in sorted(self._groups.items()):
            for _, _, machine in entries:
                yield machine
