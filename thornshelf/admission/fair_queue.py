"""A queue of requests for the placement module that shares capacity between tenants by weight and quota.

Requests within their tenant's quota are taken first, by weight (stride scheduling: the tenant that was served least
in proportion to its weight is next). Requests beyond a quota follow when no request within a quota waits, again by
weight. Among the requests of one tenant the highest priority is first, then the nearest deadline. ``pop_expired``
returns requests that can't start in time any more and, during an overload, requests beyond a quota that were shed.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from thornshelf.admission.gcra import Rate, next_arrival_time
from thornshelf.admission.overload import OverloadConfig, OverloadDetector

T = TypeVar("T")
STRIDE_SCALE = 1 << 20
MIN_WEIGHT = 1e-6
UNASSIGNED_TENANT = ""  # for requests that name no tenant, or a tenant without a weight
_STALE_DEADLINES = 64  # how many entries of removed requests the heap of deadlines holds before it is rebuilt


@dataclass(frozen=True, slots=True)
class FairQueueConfig:
    """The settings of a ``FairQueue``.

    ``weights``: by tenant; ``quotas``: by tenant, the rate of requests that count as within its quota (all requests
    of a tenant with a weight and no quota do); ``batch_size``, ``min_remaining_us`` and ``max_waiting``: as in
    ``retries.deadline_queue``.
    """

    weights: Mapping[str, float] = field(default_factory=dict)
    quotas: Mapping[str, Rate] = field(default_factory=dict)
    batch_size: int = 16
    min_remaining_us: int = 20_000
    max_waiting: int = 10_000
    overload: OverloadConfig = field(default_factory=OverloadConfig)


@dataclass(slots=True)
class _Waiting(Generic[T]):
    """A request in the queue."""

    item: T
    within_quota: bool
    priority: int
    deadline_us: int
    enqueued_us: int


class _Lane:
    """The requests of one tenant, either within its quota or beyond it."""

    __slots__ = ("heap", "stride", "virtual_time")

    def __init__(self, weight: float) -> None:
        self.heap: list[tuple[int, int, int]] = []  # negated priority, deadline in microseconds, ticket
        self.stride = max(1, int(STRIDE_SCALE / max(weight, MIN_WEIGHT)))
        self.virtual_time = 0


class FairQueue(Generic[T]):
    """Waiting requests; implements ``RequestQueue`` as ``retries.deadline_queue.DeadlineQueue`` does."""

    def __init__(self, config: FairQueueConfig) -> None:
        self.config = config
        self.max_waiting = config.max_waiting
        self.overload = OverloadDetector(config.overload)
        self.shed_count = 0
        self._tickets = itertools.count()
        self._items: dict[int, _Waiting[T]] = {}
        self._lanes: dict[tuple[str, bool], _Lane] = {}
        self._deadlines: list[tuple[int, int]] = []  # a heap of deadlines and tickets
        self._arrival_times: dict[str, int] = {}  # theoretical arrival times of the quotas, by tenant
        self._virtual_times = {True: 0, False: 0}  # by whether requests are within their quota
        self._shed: list[T] = []  # returned by the next call of ``pop_expired``

    def __len__(self) -> int:
        return len(self._items)

    def __bool__(self) -> bool:
        return bool(self._items or self._shed)

    def put(
        self, item: T, priority: int, deadline_us: int, tenant: str | None = None, now_us: int = 0
    ) -> int:
        """Adds a request; returns the ticket that removes it."""
        name = tenant if tenant is not None and tenant in self.config.weights else UNASSIGNED_TENANT
        within_quota = self._use_quota(name, now_us)
        lane = self._lane(name, within_quota)
        ticket = next(self._tickets)
        if not lane.heap:
            # An idle tenant earns no credit.
            lane.virtual_time = max(lane.virtual_time, self._virtual_times[within_quota])
        self._items[ticket] = _Waiting(item, within_quota, priority, deadline_us, now_us)
        heapq.heappush(lane.heap, (-priority, deadline_us, ticket))
        heapq.heappush(self._deadlines, (deadline_us, ticket))
        return ticket

    def remove(self, ticket: int) -> None:
        """Removes a cancelled request; does nothing if it was taken already."""
        self._items.pop(ticket, None)

    def pop_expired(self, now_us: int) -> list[T]:
        """Removes and returns requests that can't start in time, exceed ``max_waiting`` or were shed."""
        expired = self._shed
        self._shed = []
        while self._deadlines and self._deadlines[0][0] - now_us < self.config.min_remaining_us:
            ticket = heapq.heappop(self._deadlines)[1]
            if ticket in self._items:
                expired.append(self._items.pop(ticket).item)
        while len(self._items) > self.max_waiting:
            last = max(self._items, key=self._order)
            expired.append(self._items.pop(last).item)
        if len(self._deadlines) > _STALE_DEADLINES + 2 * len(self._items):
            self._deadlines = [entry for entry in self._deadlines if entry[1] in self._items]
            heapq.heapify(self._deadlines)
        return expired

    def pop_batch(self, now_us: int = 0) -> list[T]:
        """Removes and returns the next requests, at most ``batch_size``."""
        batch: list[T] = []
        while len(batch) < self.config.batch_size and (ticket := self._next_ticket()) is not None:
            waiting = self._items.pop(ticket)
            batch.append(waiting.item)
            if self.overload.record_wait(now_us - waiting.enqueued_us, now_us):
                self._shed_one()
        if not self._items:
            self.overload.reset()
        return batch

    def _use_quota(self, tenant: str, now_us: int) -> bool:
        """Returns whether a request is within its tenant's quota, and charges the quota if it is."""
        quota = self.config.quotas.get(tenant)
        if quota is None:
            return tenant in self.config.weights or not self.config.weights
        arrival_time = next_arrival_time(quota, self._arrival_times.get(tenant, 0), now_us)
        if arrival_time is None:
            return False
        self._arrival_times[tenant] = arrival_time
        return True

    def _lane(self, tenant: str, within_quota: bool) -> _Lane:
        if (lane := self._lanes.get((tenant, within_quota))) is None:
            lowest = min(self.config.weights.values(), default=1.0)
            lane = _Lane(self.config.weights.get(tenant, lowest))
            self._lanes[tenant, within_quota] = lane
        return lane

    def _has_waiting(self, lane: _Lane) -> bool:
        """Returns whether a lane has a request; drops tickets of removed requests from the top of its heap."""
        while lane.heap and lane.heap[0][2] not in self._items:
            heapq.heappop(lane.heap)
        return bool(lane.heap)

    def _next_ticket(self) -> int | None:
        """Takes the ticket of the request to serve next; None if there is none."""
        for within_quota in (True, False):
            best: tuple[int, str] | None = None
            for (tenant, kind), lane in self._lanes.items():
                if kind is within_quota and self._has_waiting(lane):
                    candidate = (lane.virtual_time, tenant)
                    best = min(best, candidate) if best else candidate
            if best is not None:
                lane = self._lanes[best[1], within_quota]
                self._virtual_times[within_quota] = lane.virtual_time
                lane.virtual_time += lane.stride
                return heapq.heappop(lane.heap)[2]
        return None

    def _shed_one(self) -> None:
        """Sheds the last in order of the requests beyond a quota, if there is one."""
        beyond_quota = [ticket for ticket, waiting in self._items.items() if not waiting.within_quota]
        if beyond_quota:
            last = max(beyond_quota, key=self._order)
            self._shed.append(self._items.pop(last).item)
            self.shed_count += 1

    def _order(self, ticket: int) -> tuple[bool, int, int, int]:
        """Returns the sort key of a request; the one with the highest key is rejected first."""
        waiting = self._items[ticket]
        return not waiting.within_quota, -waiting.priority, waiting.deadline_us, ticket
