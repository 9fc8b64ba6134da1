"""An index of the machines that are up: sums of usage and capacity, and an order, updated as machines change.

The index decides nothing: a machine's usage, and its group in the order, are computed by functions passed in.
An update costs as much as has changed since the last decision, not as much as the fleet is large. Estimates
of usage age, so all of them are computed anew in rounds, and a round is done in slices, so that no decision
waits for a complete round.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Any, Generic, TypeVar

from thornshelf.placement.fit import Fit

ResourcePair = tuple[float, float]  # cores and memory
RESOURCES = (0, 1)  # the indices of a pair
SLICE = 64  # machines refreshed along with one decision: it costs about as much as the decision itself
MAX_CALLS_PER_REFRESH = 4  # however few decisions there are, so many calls complete a round
MIN_USAGE_RATIO = -4.0  # times the capacity: reported usage is clamped to what may be nearly true
MAX_USAGE_RATIO = 2.0


def clamp_usage(usage: ResourcePair, capacity: ResourcePair) -> ResourcePair:
    """Return the reported usage, clamped to a plausible range in terms of the machine's capacity.

    Guards against one machine whose figures are out of range: all tasks are priced by the sums.
    """
    return _clamp(usage[0], capacity[0]), _clamp(usage[1], capacity[1])


def _clamp(usage: float, capacity: float) -> float:
    return max(MIN_USAGE_RATIO * capacity, min(usage, MAX_USAGE_RATIO * capacity))


class IndexedMachine:
    """A machine as the index sees it."""

    def __init__(self, order_key: float, changed: list[Any]) -> None:
        """``changed``: the index's list of machines to reindex, to which the machine adds itself."""
        self.order_key = order_key  # its position within its group, from 0 to 1
        self.capacity: ResourcePair = (0.0, 0.0)  # cores and memory up to which it admits requests
        self.usage: tuple[float, ...] | None = None  # estimated, of the capacity; cached until it changes
        self.cost_by_demand: dict[ResourcePair, tuple[float, Fit]] = {}  # mean cost and fit, cached likewise
        self.gossip_penalty = 0.0  # powers of the cost's base, for outliers reported by peers
        self.position = -1  # among the machines that are up
        self.serial = 0  # unique since it is up, in case two order keys are equal
        self.indexed_usage: tuple[float, ...] = (0.0, 0.0)  # as contained in the sums
        self.indexed_capacity: ResourcePair = (0.0, 0.0)
        self.group = (False, 0)
        self._changed = changed

    def invalidate(self) -> None:
        """Drop the cached values; the index is updated before the next decision."""
        self.cost_by_demand.clear()
        if self.usage is not None:
            self.usage = None
            self._changed.append(self)


MachineT = TypeVar("MachineT", bound=IndexedMachine)


class MachineIndex(Generic[MachineT]):
    """Sums over the machines that are up, and their order by group and order key."""

    def __init__(
        self,
        usage_of: Callable[[MachineT], tuple[float, ...]],
        group_of: Callable[[MachineT], tuple[bool, int]],
    ) -> None:
        """``usage_of`` estimates a machine's usage; ``group_of`` gives its group, the first group least."""
        self.up: list[MachineT] = []  # in the order of the endpoint list
        self.changed: list[MachineT] = []  # machines whose usage may have changed
        self._usage_of = usage_of
        self._group_of = group_of
        self._groups: dict[tuple[bool, int], list[tuple[float, int, MachineT]]] = {}
        self._usage_sums = [0.0, 0.0]
        self._capacity_sums = [0.0, 0.0]
        self._refresh_queue: deque[MachineT] = deque()  # the machines that this round has not refreshed yet
        self._last_serial = 0

    def replace(self, up: Iterable[MachineT]) -> None:
        """Replace the machines that are up; the cost depends on the differences."""
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
        """Begin a round of refreshing all estimates, or continue the one in progress."""
        if not self._refresh_queue:
            self._refresh_queue.extend(self.up)
        quarter = -(-len(self.up) // MAX_CALLS_PER_REFRESH)
        self._refresh(max(SLICE, quarter))

    def apply_changes(self) -> None:
        """Update sums and order for the machines that changed, and continue a round in progress."""
        if self._refresh_queue:
            self._refresh(SLICE)
        if self.changed:
            for machine in self.changed:
                if machine.position >= 0 and self._usage_of(machine) is not machine.indexed_usage:
                    self._reindex(machine)
            self.changed.clear()

    def _refresh(self, count: int) -> None:
        """Refresh so many machines; the end of a round removes the rounding errors of single updates."""
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
        """Update the sums by the change of its usage, and its place in the order if its group changed."""
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
        ranked = self._groups.setdefault(machine.group, [])
        insort(ranked, (machine.order_key, machine.serial, machine))

    def _remove_from_order(self, machine: MachineT) -> None:
        ranked = self._groups[machine.group]
        del ranked[bisect_left(ranked, (machine.order_key, machine.serial))]
        if not ranked:
            del self._groups[machine.group]

    def totals(self, excluded: Collection[MachineT] = ()) -> tuple[list[float], list[float]]:
        """Return the summed usage and the summed capacity of all machines but the excluded ones."""
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
        for _, ranked in sorted(self._groups.items()):
            for _, _, machine in ranked:
                yield machine
