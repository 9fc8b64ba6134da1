"""Heavy hitters in bounded memory: the space-saving algorithm (Metwally, Agrawal, El Abbadi 2005), with decay.

At most ``capacity`` sources are tracked. A new source replaces the one with the lowest count and inherits that count.
So a count is never too low, and it is too high by at most the total divided by the capacity. Sources with equal
counts share a bucket, so that an addition takes amortised constant time.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

from thornshelf.errors import InvalidParameterError

K = TypeVar("K", bound=Hashable)


class SpaceSavingCounter(Generic[K]):
    """Approximate counts by source; raises ``InvalidParameterError`` for a capacity below 1."""

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise InvalidParameterError("the capacity is less than 1")
        self.capacity = capacity
        self.total = 0
        self._counts: dict[K, int] = {}
        self._errors: dict[K, int] = {}  # the part of a count that was inherited from replaced sources
        self._buckets: dict[int, dict[K, None]] = {}  # by count; in each the oldest source is first
        self._lowest_count = 0

    def __len__(self) -> int:
        return len(self._counts)

    def upper_bound(self, source: K) -> int:
        """Returns an upper bound of the true count of a tracked source; 0 for others."""
        return self._counts.get(source, 0)

    def lower_bound(self, source: K) -> int:
        """Returns a lower bound of the true count of a source."""
        return self._counts.get(source, 0) - self._errors.get(source, 0)

    def add(self, source: K, count: int = 1) -> int:
        """Adds to the count of a source; returns the new upper bound."""
        self.total += count
        previous = self._counts.get(source)
        if previous is None:
            previous = self._errors[source] = self._make_room()
        else:
            self._remove_from_bucket(source, previous)
        new_count = previous + count
        self._counts[source] = new_count
        self._buckets.setdefault(new_count, {})[source] = None
        if len(self._counts) > 1:
            self._lowest_count = min(self._lowest_count, new_count)
        else:
            self._lowest_count = new_count
        return new_count

    def decay(self) -> None:
        """Halves all counts; sources whose count becomes 0 are dropped."""
        counts = self._counts
        errors = self._errors
        self._counts = {}
        self._errors = {}
        self._buckets = {}
        self.total //= 2
        for source, count in counts.items():
            if half := count // 2:
                self._counts[source] = half
                self._errors[source] = errors[source] // 2
                self._buckets.setdefault(half, {})[source] = None
        self._lowest_count = min(self._buckets, default=0)

    def top(self, count: int) -> list[tuple[K, int]]:
        """Returns the ``count`` sources with the highest upper bounds, with these bounds, the highest first."""
        return sorted(self._counts.items(), key=lambda item: -item[1])[:count]

    def _make_room(self) -> int:
        """Makes room for a new source; returns the count that it inherits."""
        if len(self._counts) < self.capacity:
            return 0
        lowest = self._find_lowest_count()
        replaced = next(iter(self._buckets[lowest]))
        self._remove_from_bucket(replaced, lowest)
        del self._counts[replaced]
        del self._errors[replaced]
        return lowest

    def _remove_from_bucket(self, source: K, count: int) -> None:
        bucket = self._buckets[count]
        del bucket[source]
        if not bucket:
            del self._buckets[count]

    def _find_lowest_count(self) -> int:
        # Counts only grow between two decays, so the search goes on from where the last one ended.
        while self._lowest_count not in self._buckets:
            self._lowest_count += 1
            if self._lowest_count > self.total:
                self._lowest_count = min(self._buckets)
        return self._lowest_count
