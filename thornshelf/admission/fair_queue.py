"""The order by share and deadline: set-ups that wait for the decision module, county by county.

Within its share a county comes by weight (stride scheduling: the one that has had least for its share is next);
what it asks beyond its share comes when nobody within theirs waits, again by weight. Within a county the higher
priority is first, then the nearest deadline. What can't start in time any more is given back at once, and under
pressure what is beyond a share is, the last of its order first.
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
UNASSIGNED_TENANT = ""  # the county of set-ups that name none, or one without a share


@dataclass(frozen=True, slots=True)
class FairQueueConfig:
    """``shares``: weights by county; ``quotas``: set-ups within the share, by county (none: all are);
    ``a_turn``, ``least_us`` and ``most`` as in ``retries.queue``."""

    weights: Mapping[str, float] = field(default_factory=dict)
    quotas: Mapping[str, Rate] = field(default_factory=dict)
    batch_size: int = 16
    min_remaining_us: int = 20_000
    max_waiting: int = 10_000
    overload: OverloadConfig = field(default_factory=OverloadConfig)


@dataclass(slots=True)
class _Waiting(Generic[T]):
    item: T
    county: str
    within: bool
    priority: int
    deadline_us: int
    came_us: int


class _Lane:
    """One county's set-ups of one kind, within its share or beyond it."""

    __slots__ = ("heap", "passed", "stride")

    def __init__(self, weight: float) -> None:
        self.heap: list[tuple[int, int, int]] = []
        self.stride = max(1, int(STRIDE_SCALE / max(weight, 1e-6)))
        self.passed = 0


class FairQueue(Generic[T]):
    """Waiting set-ups; takes the place of ``retries.queue.AskQueue``."""

    def __init__(self, config: FairQueueConfig) -> None:
        self.config, self.max_waiting = config, config.max_waiting
        self.overload = OverloadDetector(config.overload)
        self._tickets = itertools.count()
        self._items: dict[int, _Waiting[T]] = {}
        self._lanes: dict[tuple[str, bool], _Lane] = {}
        self._deadlines: list[tuple[int, int]] = []
        self._tats: dict[str, int] = {}
        self._passed = {True: 0, False: 0}  # how far each order has come
        self._spared: list[T] = []  # turned away under pressure, to be given back
        self.shed_count = 0

    def __len__(self) -> int:
        return len(self._items)

    def __bool__(self) -> bool:
        return bool(self._items or self._spared)

    def put(
        self, item: T, priority: int, deadline_us: int, tenant: str | None = None, now_us: int = 0
    ) -> int:
        """Add one; the ticket takes it back."""
        name = tenant if tenant in self.config.weights else UNASSIGNED_TENANT
        within = self._within(name or UNASSIGNED_TENANT, now_us)
        lane = self._lane(name or UNASSIGNED_TENANT, within)
        ticket = next(self._tickets)
        if not lane.heap:
            # A county that was idle has no claim on what it did not ask for then.
            lane.passed = max(lane.passed, self._passed[within])
        self._items[ticket] = _Waiting(item, name or UNASSIGNED_TENANT, within, priority, deadline_us, now_us)
        heapq.heappush(lane.heap, (-priority, deadline_us, ticket))
        heapq.heappush(self._deadlines, (deadline_us, ticket))
        return ticket

    def remove(self, ticket: int) -> None:
        """Its owner gave it up."""
        self._items.pop(ticket, None)

    def pop_expired(self, now_us: int) -> list[T]:
        """Those that can't start any more, those beyond the most, and those turned away under pressure."""
        found, self._spared = self._spared, []
        while self._deadlines and self._deadlines[0][0] - now_us < self.config.min_remaining_us:
            ticket = heapq.heappop(self._deadlines)[1]
            if ticket in self._items:
                found.append(self._items.pop(ticket).item)
        while len(self._items) > self.max_waiting:
            found.append(self._items.pop(self._last()).item)
        if len(self._deadlines) > 64 + 2 * len(self._items):
            self._deadlines = [one for one in self._deadlines if one[1] in self._items]
            heapq.heapify(self._deadlines)
        return found

    def pop_batch(self, now_us: int = 0) -> list[T]:
        """The next ones for the module."""
        found: list[T] = []
        while len(found) < self.config.batch_size and (ticket := self._next()) is not None:
            one = self._items.pop(ticket)
            found.append(one.item)
            if (
                self.overload.record_wait(now_us - one.came_us, now_us)
                and (spare := self._spare()) is not None
            ):
                self._spared.append(self._items.pop(spare).item)
                self.shed_count += 1
        if not self._items:
            self.overload.reset()
        return found

    def _within(self, county: str, now_us: int) -> bool:
        quota = self.config.quotas.get(county)
        if quota is None:
            return county in self.config.weights or not self.config.weights
        tat = next_arrival_time(quota, self._tats.get(county, 0), now_us)
        if tat is not None:
            self._tats[county] = tat
        return tat is not None

    def _lane(self, county: str, within: bool) -> _Lane:
        if (lane := self._lanes.get((county, within))) is None:
            least = min(self.config.weights.values(), default=1.0)
            lane = self._lanes[county, within] = _Lane(self.config.weights.get(county, least))
        return lane

    def _top(self, lane: _Lane) -> int | None:
        while lane.heap and lane.heap[0][2] not in self._items:
            heapq.heappop(lane.heap)
        return lane.heap[0][2] if lane.heap else None

    def _next(self) -> int | None:
        for within in (True, False):
            best: tuple[int, str] | None = None
            for (county, kind), lane in self._lanes.items():
                if kind is within and self._top(lane) is not None:
                    best = min(best, (lane.passed, county)) if best else (lane.passed, county)
            if best is not None:
                lane = self._lanes[best[1], within]
                self._passed[within] = lane.passed
                lane.passed += lane.stride
                return heapq.heappop(lane.heap)[2]
        return None

    def _spare(self) -> int | None:
        """What goes first under pressure: beyond a share, of least priority, with the most time left."""
        beyond = [ticket for ticket, one in self._items.items() if not one.within]
        return max(beyond, key=self._order) if beyond else None

    def _last(self) -> int:
        return max(self._items, key=self._order)

    def _order(self, ticket: int) -> tuple[bool, int, int, int]:
        one = self._items[ticket]
        return not one.within, -one.priority, one.deadline_us, ticket
