"""The machines that are up, indexed for decisions: sums and an order, mended as single machines change.

It decides nothing: what is taken of a machine, and in which group it stands, are told by the decision module.
Between two surveys sums and order cost what has changed since the last decision, not the size of the fleet.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Any, Generic, TypeVar

Pair = tuple[float, float]


class Member:
    """A machine as the index sees it."""

    def __init__(self, draw: float, news: list[Any]) -> None:
        self.draw = draw  # its place within its group, from 0 to 1
        self.admit: Pair = (0.0, 0.0)  # cores and memory up to which it accepts asks
        self.view: tuple[float, ...] | None = None  # taken of them: kept until news comes, as are
        self.costs: dict[Pair, tuple[float, int]] = {}  # mean cost and room, by need
        self.place = -1  # among those that are up
        self.counted: tuple[float, ...] = (0.0, 0.0)  # the view that the sums hold
        self.group = (False, 0)
        self._news = news

    def stale(self) -> None:
        """What was worked out for it holds no more; the index is mended before the next decision."""
        self.costs.clear()
        if self.view is not None:
            self.view = None
            self._news.append(self)


M = TypeVar("M", bound=Member)


class Fleet(Generic[M]):
    """Sums over the machines that are up, and their order by group and draw."""

    def __init__(
        self, taken: Callable[[M], tuple[float, ...]], group: Callable[[M], tuple[bool, int]]
    ) -> None:
        """``taken``: a machine's view; ``group``: where it stands in the order, the first group least."""
        self.up: list[M] = []  # in the order of the list
        self.news: list[M] = []  # those whose view may have changed
        self._taken, self._group = taken, group
        self._groups: dict[tuple[bool, int], list[tuple[float, int, M]]] = {}
        self._sums = [0.0, 0.0], [0.0, 0.0]  # what is taken, and what is admitted

    def replace(self, up: Iterable[M]) -> None:
        """Other machines are up; ``survey`` has to follow before the next decision."""
        for m in self.up:
            m.place = -1
        self.up = list(up)

    def survey(self) -> None:
        """Work out sums and order anew, which also takes the rounding errors of single changes out."""
        self.news.clear()
        self._groups = {}
        for place, m in enumerate(self.up):
            m.view = None
            m.costs.clear()
            m.place, m.counted, m.group = place, self._taken(m), self._group(m)
            self._groups.setdefault(m.group, []).append((m.draw, place, m))
        for group in self._groups.values():
            group.sort()
        for k in (0, 1):
            self._sums[0][k] = sum(m.counted[k] for m in self.up)
            self._sums[1][k] = sum(m.admit[k] for m in self.up)

    def mend(self) -> None:
        """Bring sums and order up to date with the machines that have changed."""
        for m in self.news:
            if m.place < 0 or (view := self._taken(m)) is (old := m.counted):
                continue
            m.counted = view
            for k in (0, 1):
                self._sums[0][k] += view[k] - old[k]
            if (group := self._group(m)) != m.group:
                ranked = self._groups[m.group]
                del ranked[bisect_left(ranked, (m.draw, m.place))]
                insort(self._groups.setdefault(group, []), (m.draw, m.place, m))
                m.group = group
        self.news.clear()

    def pooled(self, barred: Collection[M] = ()) -> tuple[list[float], list[float]]:
        """What is taken of all but some, and what they admit, summed."""
        taken, sizes = self._sums
        if not barred:
            return list(taken), list(sizes)
        return (
            [taken[k] - sum(m.counted[k] for m in barred) for k in (0, 1)],
            [sizes[k] - sum(m.admit[k] for m in barred) for k in (0, 1)],
        )

    def ordered(self) -> Iterator[M]:
        """All of them, by group and draw."""
        for _, ranked in sorted(self._groups.items()):
            for _, _, m in ranked:
                yield m
