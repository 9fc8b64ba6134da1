"""The order in which set-ups are taken when more come than can be placed: priority first, then the least time left.

The decision module gets so many a turn; the others wait here for the next turns. What could not start in time any
more is given back as hopeless at once, while it waits and not when its deadline comes.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class DeadlineQueueConfig:
    """``a_turn``: set-ups for the module in one turn; ``least_us``: with less time left none can start;
    ``most``: set-ups that wait, beyond which the last of the order is given back."""

    batch_size: int = 16
    min_remaining_us: int = 20_000
    max_waiting: int = 10_000


class DeadlineQueue(Generic[T]):
    """Waiting set-ups."""

    def __init__(self, config: DeadlineQueueConfig) -> None:
        self.config, self.max_waiting = config, config.max_waiting
        self._heap: list[tuple[int, int, int]] = []
        self._items: dict[int, tuple[T, int, int]] = {}  # item, deadline, priority, by ticket
        self._deadlines: list[tuple[int, int]] = []
        self._tickets = itertools.count()

    def __len__(self) -> int:
        return len(self._items)

    def put(
        self, item: T, priority: int, deadline_us: int, tenant: str | None = None, now_us: int = 0
    ) -> int:
        """Add one; the ticket takes it back. This order knows no counties."""
        ticket = next(self._tickets)
        self._items[ticket] = item, deadline_us, priority
        heapq.heappush(self._heap, (-priority, deadline_us, ticket))
        heapq.heappush(self._deadlines, (deadline_us, ticket))
        return ticket

    def remove(self, ticket: int) -> None:
        """Its owner gave it up."""
        self._items.pop(ticket, None)

    def pop_expired(self, now_us: int) -> list[T]:
        """Those that can't start any more, and those beyond the most that wait: they are to be answered now."""
        found = []
        while self._deadlines and self._deadlines[0][0] - now_us < self.config.min_remaining_us:
            ticket = heapq.heappop(self._deadlines)[1]
            if ticket in self._items:
                found.append(self._items.pop(ticket)[0])
        if (beyond := len(self._items) - self.max_waiting) > 0:
            # the last of the order: least priority, and of those the most time left, who can best come again
            for _, _, ticket in heapq.nlargest(
                beyond, [(-p, deadline, ticket) for ticket, (_, deadline, p) in self._items.items()]
            ):
                found.append(self._items.pop(ticket)[0])
        return found

    def pop_batch(self, now_us: int = 0) -> list[T]:
        """The next ones for the module."""
        found: list[T] = []
        while self._heap and len(found) < self.config.batch_size:
            ticket = heapq.heappop(self._heap)[2]
            if ticket in self._items:
                found.append(self._items.pop(ticket)[0])
        if len(self._heap) > 64 + 2 * len(self._items):
            self._compact()
        return found

    def _compact(self) -> None:
        """Entries of set-ups that were taken back go."""
        self._heap = [one for one in self._heap if one[2] in self._items]
        self._deadlines = [one for one in self._deadlines if one[1] in self._items]
        heapq.heapify(self._heap)
        heapq.heapify(self._deadlines)
