"""A queue of waiting requests, ordered by priority and then by deadline.

Requests leave it in bounded batches. A request that can no longer start before its deadline is returned as expired as
soon as that is known, not when its deadline passes.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
COMPACTION_SLACK = 64  # heap entries allowed beyond twice the number of waiting requests before compaction


@dataclass(frozen=True, slots=True)
class DeadlineQueueConfig:
    """Limits of the queue.

    ``batch_size``: the maximum number of requests per batch.
    ``min_remaining_us``: a request with less time left than this expires.
    ``max_waiting``: the maximum number of waiting requests; beyond it, the last ones in order expire.
    """

    batch_size: int = 16
    min_remaining_us: int = 20_000
    max_waiting: int = 10_000


@dataclass(slots=True)
class _Waiting(Generic[T]):
    """A request in the queue."""

    item: T
    deadline_us: int
    priority: int


class DeadlineQueue(Generic[T]):
    """Orders waiting requests by descending priority, then by ascending deadline.

    Both heaps hold plain tuples, which compare fast. A removed request stays in them until it is popped or the heaps
    are compacted; only ``_waiting`` determines which requests wait.
    """

    def __init__(self, config: DeadlineQueueConfig) -> None:
        self.config = config
        self.max_waiting = config.max_waiting
        self._waiting: dict[int, _Waiting[T]] = {}  # by ticket
        self._order: list[tuple[int, int, int]] = []  # heap of (-priority, deadline_us, ticket)
        self._deadlines: list[tuple[int, int]] = []  # heap of (deadline_us, ticket)
        self._tickets = itertools.count()

    def __len__(self) -> int:
        return len(self._waiting)

    def put(
        self, item: T, priority: int, deadline_us: int, tenant: str | None = None, now_us: int = 0
    ) -> int:
        """Add a request and return a ticket to remove it; ``tenant`` and ``now_us`` are ignored."""
        ticket = next(self._tickets)
        self._waiting[ticket] = _Waiting(item, deadline_us, priority)
        heapq.heappush(self._order, (-priority, deadline_us, ticket))
        heapq.heappush(self._deadlines, (deadline_us, ticket))
        return ticket

    def remove(self, ticket: int) -> None:
        """Remove a request, for example because its client cancelled it; ignore an unknown ticket."""
        self._waiting.pop(ticket, None)

    def pop_expired(self, now_us: int) -> list[T]:
        """Remove and return the requests that can't start in time, then those beyond ``max_waiting``."""
        expired = []
        while self._deadlines and self._deadlines[0][0] - now_us < self.config.min_remaining_us:
            ticket = heapq.heappop(self._deadlines)[1]
            if ticket in self._waiting:
                expired.append(self._waiting.pop(ticket).item)
        excess = len(self._waiting) - self.max_waiting
        if excess > 0:
            expired += self._pop_last(excess)
        return expired

    def pop_batch(self, now_us: int = 0) -> list[T]:
        """Remove and return the next requests to place, at most ``batch_size``."""
        batch: list[T] = []
        while self._order and len(batch) < self.config.batch_size:
            ticket = heapq.heappop(self._order)[2]
            if ticket in self._waiting:
                batch.append(self._waiting.pop(ticket).item)
        if len(self._order) > COMPACTION_SLACK + 2 * len(self._waiting):
            self._compact()
        return batch

    def _pop_last(self, count: int) -> list[T]:
        """Remove and return the last requests in order: lowest priority first, then latest deadline first.

        They lose the least by being rejected, because they have the most time to retry.
        """
        order = [(-entry.priority, entry.deadline_us, ticket) for ticket, entry in self._waiting.items()]
        return [self._waiting.pop(ticket).item for _, _, ticket in heapq.nlargest(count, order)]

    def _compact(self) -> None:
        """Remove the heap entries of requests that no longer wait."""
        self._order = [entry for entry in self._order if entry[2] in self._waiting]
        self._deadlines = [entry for entry in self._deadlines if entry[1] in self._waiting]
        heapq.heapify(self._order)
        heapq.heapify(self._deadlines)
