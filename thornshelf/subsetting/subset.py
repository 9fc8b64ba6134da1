"""The nodes that one dispatcher holds: all of its own zone, and spare ones of other zones while that is short.

The list's changes go in, and the changes for the core come out. The rules:

* A change of a node that is held is passed on in the same call: a drain is never kept back.
* A spare node that is given back takes nothing new, and is dropped once nothing of this dispatcher stands there.
* A node that the list shows as draining is never shown as up.
* A node that a client names as holding its task is held like one that is given back, whatever its zone.
* What is kept of the other zones is bounded by 8 bytes a node and the sample of ``SubsetTerms.sample``.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from typing import Any, Generic

from thornshelf.placement.interface import Health
from thornshelf.subsetting.config import SubsetConfig
from thornshelf.subsetting.zone_summary import ListedNodeT, ZoneSummary, rendezvous_rank


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """Set-ups of this dispatcher since it started: all, and those that were refused."""

    received: int
    rejected: int


class Subset(Generic[ListedNodeT]):
    """One dispatcher's part of the list."""

    def __init__(
        self,
        config: SubsetConfig,
        now_us: int,
        with_health: Callable[[ListedNodeT, Health], ListedNodeT],
        is_idle: Callable[[str], bool],
    ) -> None:
        """``with_health``: an entry in another state; ``is_idle``: nothing of this dispatcher stands on a node."""
        self.config = config
        self.zones: dict[str, ZoneSummary[ListedNodeT]] = {}  # of the other zones
        self.own_zone_nodes: dict[str, ListedNodeT] = {}  # held, of the own zone
        self.spare_nodes: dict[str, ListedNodeT] = {}  # held, of other zones, and up
        self.draining_nodes: dict[str, ListedNodeT] = {}  # held, of other zones, until nothing stands there
        self._with_health, self._is_idle = with_health, is_idle
        self._sought: set[str] = set()  # named by clients, and not yet found in the list
        self._own_up = 0
        self._most_up: deque[tuple[int, int]] = (
            deque()
        )  # falling numbers of the own zone's nodes, and until when
        self._step = 0  # spare nodes that refused set-ups ask for
        self._load = RequestCounts(0, 0)
        self._pressed_us = now_us  # when set-ups were refused last, or a step was given up
        self._wanted_us = now_us  # when all spare nodes were wanted last, or some were given back
        self._reread_us = now_us - config.relist_interval_us

    # what is held

    @property
    def node_count(self) -> int:
        """Nodes that the core knows."""
        return len(self.own_zone_nodes) + len(self.spare_nodes) + len(self.draining_nodes)

    @property
    def known_up_count(self) -> int:
        """Nodes of the whole list that are up, as far as is known."""
        return self._own_up + sum(zone.up_count for zone in self.zones.values())

    # the list

    def apply(self, complete: bool, entries: Iterable[ListedNodeT], now_us: int) -> list[ListedNodeT]:
        """The whole list, or its changes; what the core is to be told of it, in that order.

        Where the list is complete, so is the result: what it does not name is gone.
        """
        told = (
            self._replace(list(entries))
            if complete
            else [one for entry in entries for one in self._take(entry)]
        )
        self._own_up = sum(entry.health is Health.UP for entry in self.own_zone_nodes.values())
        self._remember(now_us)
        return told

    def _replace(self, entries: Sequence[ListedNodeT]) -> list[ListedNodeT]:
        """A whole list: spare nodes are kept where it still has them."""
        spares, leaving = self.spare_nodes, self.draining_nodes
        self.zones, self.own_zone_nodes, self.spare_nodes, self.draining_nodes = {}, {}, {}, {}
        zones = {entry.zone for entry in entries}
        for entry in entries:
            if entry.zone == self.config.zone:
                if entry.health is not Health.REMOVED:
                    self.own_zone_nodes[entry.name] = entry
                continue
            self._summarize(entry, len(zones) - 1)
            if entry.health is Health.REMOVED:
                continue
            if entry.name in spares and entry.health is Health.UP:
                self.spare_nodes[entry.name] = entry
            elif entry.name in spares or entry.name in leaving or entry.name in self._sought:
                self.draining_nodes[entry.name] = self._with_health(entry, Health.DRAINING)
        self._sought.clear()
        return [*self.own_zone_nodes.values(), *self.spare_nodes.values(), *self.draining_nodes.values()]

    def _take(self, entry: ListedNodeT) -> list[ListedNodeT]:
        """One node's change; what the core is told of it: the entry, the entry as draining, or nothing."""
        name = entry.name
        if entry.zone == self.config.zone:
            known = self._forget(name)
            if entry.health is not Health.REMOVED:
                self.own_zone_nodes[name] = entry
            return [entry] if known or entry.health is not Health.REMOVED else []
        was_own = self.own_zone_nodes.pop(name, None) is not None
        self._summarize(entry, len(self.zones))
        if not (was_own or name in self.spare_nodes or name in self.draining_nodes or name in self._sought):
            return []
        self._sought.discard(name)
        was_spare = self.spare_nodes.pop(name, None) is not None
        self.draining_nodes.pop(name, None)
        if entry.health is Health.REMOVED:
            return [entry]
        if was_spare and entry.health is Health.UP:
            self.spare_nodes[name] = entry
            return [entry]
        draining = self.draining_nodes[name] = self._with_health(entry, Health.DRAINING)
        return [draining]

    def _summarize(self, entry: ListedNodeT, zones: int) -> None:
        zone = self.zones.get(entry.zone)
        if zone is None:
            zone = self.zones[entry.zone] = ZoneSummary(self.config.member)
        if entry.health is Health.UP:
            zone.add(entry, self.config.sample_size(zones))
            return
        zone.remove(entry.name)
        if not zone.up_count:
            del self.zones[entry.zone]

    def _forget(self, name: str) -> bool:
        """Keep nothing of a node; whether it was held."""
        self._sought.discard(name)
        known = name in self.own_zone_nodes or name in self.spare_nodes or name in self.draining_nodes
        for table in (self.own_zone_nodes, self.spare_nodes, self.draining_nodes):
            table.pop(name, None)
        return known

    def retain(self, name: str) -> list[ListedNodeT]:
        """A client names a node on which its task stands; what the core is to be told of it.

        Where no entry of it is kept, ``wants_list`` is true until the list has been read again.
        """
        if name in self.own_zone_nodes or name in self.spare_nodes or name in self.draining_nodes:
            return []
        for zone in self.zones.values():
            if (entry := zone.get(name)) is not None:
                draining = self.draining_nodes[name] = self._with_health(entry, Health.DRAINING)
                return [draining]
        self._sought.add(name)
        return []

    # spare nodes

    def review(self, load: RequestCounts, now_us: int) -> list[ListedNodeT]:
        """Take in, and give back, spare nodes; what the core is to be told. To be called each ``review_us``."""
        self._remember(now_us)
        self._press(load, now_us)
        wanted = self._wanted()
        told = self._drop_idle()
        if len(self.spare_nodes) <= wanted:
            self._wanted_us = now_us
            told += self._take_in(min(wanted - len(self.spare_nodes), self.config.spares_per_review))
        elif now_us - self._wanted_us >= self.config.cooldown_us:
            self._wanted_us = now_us
            told += self._give_back(-(-(len(self.spare_nodes) - wanted) // 2))
        return told

    def needs_relist(self, now_us: int) -> bool:
        """Whether the whole list has to be read again; what asked for it is then taken to be done.

        It has to where a client named a node that is not known, or, once in ``reread_us``, where a sample is thin.
        """
        if now_us - self._reread_us < self.config.review_interval_us:
            return False
        most = self.config.sample_size(len(self.zones))
        thin = any(zone.is_depleted(most) for zone in self.zones.values())
        if not self._sought and not (thin and now_us - self._reread_us >= self.config.relist_interval_us):
            return False
        self._reread_us = now_us
        return True

    def _remember(self, now_us: int) -> None:
        """The most nodes that the own zone had lately, as a queue of falling numbers."""
        while self._most_up and self._most_up[0][1] <= now_us:
            self._most_up.popleft()
        while self._most_up and self._most_up[-1][0] <= self._own_up:
            self._most_up.pop()
        self._most_up.append((self._own_up, now_us + self.config.peak_window_us))

    def _press(self, load: RequestCounts, now_us: int) -> None:
        """Refused set-ups ask for a step more; half of the steps are given up after each quiet time."""
        taken, refused = load.received - self._load.received, load.rejected - self._load.rejected
        if taken >= self.config.min_requests:
            self._load = load
            if refused > self.config.rejected_fraction * taken:
                self._step = min(self.config.max_spares, self._step + self.config.spare_step)
                self._pressed_us = now_us
        if self._step and now_us - self._pressed_us >= self.config.cooldown_us:
            self._step //= 2
            self._pressed_us = now_us

    def _wanted(self) -> int:
        """So many spare nodes are wanted: for those that the own zone lacks, or for set-ups that were refused."""
        usual = self._most_up[0][0]
        lacking = usual - self._own_up if self._own_up < self.config.short_fraction * usual else 0
        if not self._own_up:
            lacking = max(lacking, self.config.spare_step)  # a zone that never had a node lacks some, too
        return min(self.config.max_spares, max(lacking, self._step))

    def _take_in(self, count: int) -> list[ListedNodeT]:
        """The next spare nodes, each of the zone that has the fewest: none bears all of what another lacks."""
        held = Counter(entry.zone for entry in self.spare_nodes.values())
        waiting = {
            name: deque(entry for entry in zone.sample if entry.name not in self.spare_nodes)
            for name, zone in self.zones.items()
        }
        order = [
            (held[name], rendezvous_rank(self.config.member, name), name) for name in waiting if waiting[name]
        ]
        heapify(order)
        found: list[ListedNodeT] = []
        while order and len(found) < count:
            number, place, name = heappop(order)
            found.append(waiting[name].popleft())
            if waiting[name]:
                heappush(order, (number + 1, place, name))
        for entry in found:
            self.draining_nodes.pop(entry.name, None)
            self.spare_nodes[entry.name] = entry
        return found

    def _give_back(self, count: int) -> list[ListedNodeT]:
        """The spare nodes that were taken in last take nothing new."""
        told = []
        for name in list(self.spare_nodes)[-count:]:
            entry = self._with_health(self.spare_nodes.pop(name), Health.DRAINING)
            self.draining_nodes[name] = entry
            told.append(entry)
        return told

    def _drop_idle(self) -> list[ListedNodeT]:
        """Those that are given back, and on which nothing stands any more, are gone for the core."""
        idle = [name for name in self.draining_nodes if self._is_idle(name)]
        return [self._with_health(self.draining_nodes.pop(name), Health.REMOVED) for name in idle]


def log_fields(subset: Subset[Any]) -> dict[str, object]:
    """The figures of a log line."""
    return {
        "own": len(subset.own_zone_nodes),
        "spare": len(subset.spare_nodes),
        "leaving": len(subset.draining_nodes),
        "known": subset.known_up_count,
        "zones": len(subset.zones) + 1,
    }
