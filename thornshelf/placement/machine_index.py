"""The machines that are up, indexed for decisions: sums and an order, mended as single machines change.

It decides nothing: what is taken of a machine, and in which group it stands, are told by the decision module.
Sums and order cost what has changed since the last decision, not the size of the fleet. Views age, so all of them
are worked out anew in rounds, and a round goes by slices: no decision waits for a large fleet's whole round.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Any, Generic, TypeVar

ResourcePair = tuple[float, float]
SLICE = 64  # machines are worked out anew beside one decision: about what the decision itself costs
MIN_USAGE_RATIO, MAX_USAGE_RATIO = (
    -4.0,
    2.0,
)  # times what a machine admits: a report that says more, or less, is held to it
MAX_CALLS_PER_REFRESH = 4  # and however few decisions come, a round is over within so many surveys


def clamp_usage(taken: ResourcePair, admit: ResourcePair) -> ResourcePair:
    """What a report says is taken, within what can be true or nearly so, by what the machine admits.

    Guards against one machine whose figures are out of range: the price of all tasks is worked out with them.
    """
    cores, memory = (
        max(MIN_USAGE_RATIO * most, min(value, MAX_USAGE_RATIO * most))
        for value, most in zip(taken, admit, strict=True)
    )
    return cores, memory


class IndexedMachine:
    """A machine as the index sees it."""

    def __init__(self, draw: float, news: list[Any]) -> None:
        self.order_key = draw  # its place within its group, from 0 to 1
        self.capacity: ResourcePair = (0.0, 0.0)  # cores and memory up to which it accepts asks
        self.usage: tuple[float, ...] | None = None  # taken of them: kept until news comes, as are
        self.cost_by_demand: dict[ResourcePair, tuple[float, int]] = {}  # mean cost and room, by need
        self.gossip_penalty = 0.0  # others' word: so many powers of the price's base dearer, and never barred
        self.position = -1  # among those that are up
        self.serial = 0  # a number of its own since it is up, should two draws be the same
        self.indexed_usage: tuple[float, ...] = (0.0, 0.0)  # the view that the sums hold
        self.indexed_capacity: ResourcePair = (0.0, 0.0)
        self.group = (False, 0)
        self._changed = news

    def invalidate(self) -> None:
        """What was worked out for it holds no more; the index is mended before the next decision."""
        self.cost_by_demand.clear()
        if self.usage is not None:
            self.usage = None
            self._changed.append(self)


M = TypeVar("M", bound=IndexedMachine)


class MachineIndex(Generic[M]):
    """Sums over the machines that are up, and their order by group and draw."""

    def __init__(
        self, taken: Callable[[M], tuple[float, ...]], group: Callable[[M], tuple[bool, int]]
    ) -> None:
        """``taken``: a machine's view; ``group``: where it stands in the order, the first group least."""
        self.up: list[M] = []  # in the order of the list
        self.changed: list[M] = []  # those whose view may have changed
        self._usage_of, self._group_of = taken, group
        self._groups: dict[tuple[bool, int], list[tuple[float, int, M]]] = {}
        self._sums = [0.0, 0.0], [0.0, 0.0]  # what is taken, and what is admitted
        self._refresh_queue: deque[M] = deque()  # of this round, those that are still to be worked out anew
        self._serial = 0

    def replace(self, up: Iterable[M]) -> None:
        """Other machines are up, or are other than they were; costs what differs."""
        before, self.up = self.up, list(up)
        for m in before:
            m.position = -1
        for place, m in enumerate(self.up):
            m.position = place
        for m in before:
            if m.position < 0:
                self._remove(m)
        for m in self.up:
            if not m.serial:
                self._serial += 1
                m.serial = self._serial
                self._add(m)
            elif m.capacity != m.indexed_capacity:
                self._remove(m, m.serial)
                self._add(m)

    def advance_refresh(self) -> None:
        """Views have aged: begin a round, or bring the one that is under way forward."""
        if not self._refresh_queue:
            self._refresh_queue.extend(self.up)
        self._refresh(max(SLICE, -(-len(self.up) // MAX_CALLS_PER_REFRESH)))

    def apply_changes(self) -> None:
        """Bring sums and order up to date with the machines that have changed, and the round forward."""
        if self._refresh_queue:
            self._refresh(SLICE)
        if self.changed:
            for m in self.changed:
                if m.position >= 0 and self._usage_of(m) is not m.indexed_usage:
                    self._reindex(m)
            self.changed.clear()

    def _refresh(self, count: int) -> None:
        """Work out so many views anew; the end of a round takes the rounding errors of single changes out."""
        due = self._refresh_queue
        for _ in range(min(count, len(due))):
            m = due.popleft()
            if m.position >= 0:
                m.usage = None
                m.cost_by_demand.clear()
                self._reindex(m)
        if not due:
            for k in (0, 1):
                self._sums[0][k] = sum(m.indexed_usage[k] for m in self.up)
                self._sums[1][k] = sum(m.capacity[k] for m in self.up)

    def _reindex(self, m: M) -> None:
        """Its view, and its place in the order, where they are others than before."""
        view, old = self._usage_of(m), m.indexed_usage
        m.indexed_usage = view
        taken = self._sums[0]
        taken[0] += view[0] - old[0]
        taken[1] += view[1] - old[1]
        if (group := self._group_of(m)) != m.group:
            self._remove_from_order(m)
            m.group = group
            insort(self._groups.setdefault(group, []), (m.order_key, m.serial, m))

    def _add(self, m: M) -> None:
        m.indexed_usage, m.indexed_capacity, m.group = self._usage_of(m), m.capacity, self._group_of(m)
        for k in (0, 1):
            self._sums[0][k] += m.indexed_usage[k]
            self._sums[1][k] += m.indexed_capacity[k]
        insort(self._groups.setdefault(m.group, []), (m.order_key, m.serial, m))

    def _remove(self, m: M, serial: int = 0) -> None:
        for k in (0, 1):
            self._sums[0][k] -= m.indexed_usage[k]
            self._sums[1][k] -= m.indexed_capacity[k]
        self._remove_from_order(m)
        m.serial = serial

    def _remove_from_order(self, m: M) -> None:
        ranked = self._groups[m.group]
        del ranked[bisect_left(ranked, (m.order_key, m.serial))]
        if not ranked:
            del self._groups[m.group]

    def totals(self, barred: Collection[M] = ()) -> tuple[list[float], list[float]]:
        """What is taken of all but some, and what they admit, summed."""
        taken, sizes = self._sums
        if not barred:
            return list(taken), list(sizes)
        return (
            [taken[k] - sum(m.indexed_usage[k] for m in barred) for k in (0, 1)],
            [sizes[k] - sum(m.capacity[k] for m in barred) for k in (0, 1)],
        )

    def ordered(self) -> Iterator[M]:
        """All of them, by group and draw."""
        for _, ranked in sorted(self._groups.items()):
            for _, _, m in ranked:
                yield m
