"""Heavy sources in bounded memory: space-saving (Metwally, Agrawal, El Abbadi 2005), with decay.

At most ``size`` sources are kept. A new one takes the place of the lightest and inherits its weight, so that a
weight is never too low, and too high by at most the total over the size. Buckets of equal weight are linked by a
dict, so that an addition costs the same however many sources there are.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

from thornshelf.errors import InvalidParameterError

K = TypeVar("K", bound=Hashable)


class SpaceSavingCounter(Generic[K]):
    """Counts by source. Whole numbers; ``halve`` lets the past count half."""

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise InvalidParameterError("at least one source has to be kept")
        self.capacity = capacity
        self.total = 0
        self._weights: dict[K, int] = {}
        self._over: dict[K, int] = {}  # how much of it may be others'
        self._buckets: dict[int, dict[K, None]] = {}  # by weight; in each the one that came first is first
        self._least = 0

    def __len__(self) -> int:
        return len(self._weights)

    def upper_bound(self, source: K) -> int:
        """At least its count; 0 where it is not kept."""
        return self._weights.get(source, 0)

    def lower_bound(self, source: K) -> int:
        """At most its count: what can't be others'."""
        return self._weights.get(source, 0) - self._over.get(source, 0)

    def add(self, source: K, count: int = 1) -> int:
        """Count a source; its weight now."""
        self.total += count
        weight = self._weights.get(source)
        if weight is None:
            if len(self._weights) < self.capacity:
                weight = 0
                self._over[source] = 0
            else:
                weight = self._lightest()
                bucket = self._buckets[weight]
                gone = next(iter(bucket))
                self._leave(gone, weight)
                del self._weights[gone], self._over[gone]
                self._over[source] = weight
        else:
            self._leave(source, weight)
        weight += count
        self._weights[source] = weight
        self._buckets.setdefault(weight, {})[source] = None
        self._least = min(self._least, weight) if len(self._weights) > 1 else weight
        return weight

    def decay(self) -> None:
        """Decay: all weights count half, and what comes to nothing goes."""
        weights, over = self._weights, self._over
        self._weights, self._over, self._buckets, self.total = {}, {}, {}, self.total // 2
        for source, weight in weights.items():
            if half := weight // 2:
                self._weights[source], self._over[source] = half, over[source] // 2
                self._buckets.setdefault(half, {})[source] = None
        self._least = min(self._buckets, default=0)

    def top(self, count: int) -> list[tuple[K, int]]:
        """The heaviest, with their weights."""
        return sorted(self._weights.items(), key=lambda one: -one[1])[:count]

    def _leave(self, source: K, weight: int) -> None:
        bucket = self._buckets[weight]
        del bucket[source]
        if not bucket:
            del self._buckets[weight]

    def _lightest(self) -> int:
        # Weights only grow between two halvings, so the least one moves up by few steps in all.
        while self._least not in self._buckets:
            self._least += 1
            if self._least > self.total:
                self._least = min(self._buckets)
        return self._least
