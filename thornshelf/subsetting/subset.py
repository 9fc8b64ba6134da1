"""The nodes that one dispatcher holds: all of its own zone, and spare ones of other zones while these are too few.

Changes of the endpoint list go in, and the changes for the core come out. The rules:

* A change of a node that is held is passed on in the same call, so that a drain is never delayed.
* A spare node that is released gets no new tasks, and is removed once no task of this dispatcher runs there.
* A node that the list shows as draining is never shown as up.
* A node on which a client says that its task runs is held as draining, whatever its zone.
* What is kept of the other zones is bounded by 8 bytes a node and the sample of ``SubsetConfig.sample_size``.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from heapq import heapify, heappop, heappush
from typing import Any, Generic

from thornshelf.placement import Health
from thornshelf.subsetting.config import SubsetConfig
from thornshelf.subsetting.spare_demand import RequestCounts, SpareDemand
from thornshelf.subsetting.zone_summary import ListedNodeT, ZoneSummary, rendezvous_rank


class Subset(Generic[ListedNodeT]):
    """One dispatcher's part of the endpoint list.

    ``zones``: summaries of the other zones. ``own_zone_nodes``, ``spare_nodes``, ``draining_nodes``: the nodes that
    are held, by name: those of the own zone, those of other zones that are up and get tasks, and those of other zones
    that are held only until no task of this dispatcher runs there.
    """

    def __init__(
        self,
        config: SubsetConfig,
        now_us: int,
        with_health: Callable[[ListedNodeT, Health], ListedNodeT],
        is_idle: Callable[[str], bool],
    ) -> None:
        """``with_health``: an entry with another health; ``is_idle``: no task of this dispatcher runs on a node."""
        self.config = config
        self.zones: dict[str, ZoneSummary[ListedNodeT]] = {}
        self.own_zone_nodes: dict[str, ListedNodeT] = {}
        self.spare_nodes: dict[str, ListedNodeT] = {}
        self.draining_nodes: dict[str, ListedNodeT] = {}
        self._with_health = with_health
        self._is_idle = is_idle
        self._requested_names: set[str] = set()  # named by clients, and not found in the list yet
        self._own_up_count = 0
        self._demand = SpareDemand(config, now_us)
        self._surplus_since_us = now_us  # when there were too few spare nodes last, or some were released
        self._last_relist_us = now_us - config.relist_interval_us

    # what is held

    @property
    def node_count(self) -> int:
        """How many nodes the core knows."""
        return len(self.own_zone_nodes) + len(self.spare_nodes) + len(self.draining_nodes)

    @property
    def known_up_count(self) -> int:
        """How many nodes of the complete list are up, as far as is known."""
        return self._own_up_count + sum(zone.up_count for zone in self.zones.values())

    def _holds(self, name: str) -> bool:
        return name in self.own_zone_nodes or name in self.spare_nodes or name in self.draining_nodes

    # the endpoint list

    def apply(self, complete: bool, entries: Iterable[ListedNodeT], now_us: int) -> list[ListedNodeT]:
        """Apply the complete list or changes of it; returns the changes for the core, in their order.

        Where the list is complete, so is the result: a node that it does not name is to be removed.
        """
        if complete:
            changes = self._replace(list(entries))
        else:
            changes = [change for entry in entries for change in self._apply_entry(entry)]
        self._own_up_count = sum(entry.health is Health.UP for entry in self.own_zone_nodes.values())
        self._demand.record_zone_size(self._own_up_count, now_us)
        return changes

    def _replace(self, entries: Sequence[ListedNodeT]) -> list[ListedNodeT]:
        """Apply a complete list: spare nodes are kept where it still names them."""
        old_spares = self.spare_nodes
        old_draining = self.draining_nodes
        self.zones = {}
        self.own_zone_nodes = {}
        self.spare_nodes = {}
        self.draining_nodes = {}
        other_zones = len({entry.zone for entry in entries}) - 1
        for entry in entries:
            name = entry.name
            if entry.zone == self.config.zone:
                if entry.health is not Health.REMOVED:
                    self.own_zone_nodes[name] = entry
                continue
            self._summarize(entry, other_zones)
            if entry.health is Health.REMOVED:
                continue
            if name in old_spares and entry.health is Health.UP:
                self.spare_nodes[name] = entry
            elif name in old_spares or name in old_draining or name in self._requested_names:
                self._hold_as_draining(entry)
        self._requested_names.clear()
        return [*self.own_zone_nodes.values(), *self.spare_nodes.values(), *self.draining_nodes.values()]

    def _apply_entry(self, entry: ListedNodeT) -> list[ListedNodeT]:
        """Apply one node's change; returns what the core is to know: the entry, the same as draining, or nothing."""
        name = entry.name
        if entry.zone == self.config.zone:
            was_known = self._evict(name)
            if entry.health is not Health.REMOVED:
                self.own_zone_nodes[name] = entry
            return [entry] if was_known or entry.health is not Health.REMOVED else []
        was_own = self.own_zone_nodes.pop(name, None) is not None
        self._summarize(entry, len(self.zones))
        if not (was_own or self._holds(name) or name in self._requested_names):
            return []
        self._requested_names.discard(name)
        was_spare = self.spare_nodes.pop(name, None) is not None
        self.draining_nodes.pop(name, None)
        if entry.health is Health.REMOVED:
            return [entry]
        if was_spare and entry.health is Health.UP:
            self.spare_nodes[name] = entry
            return [entry]
        return [self._hold_as_draining(entry)]

    def _hold_as_draining(self, entry: ListedNodeT) -> ListedNodeT:
        draining = self._with_health(entry, Health.DRAINING)
        self.draining_nodes[entry.name] = draining
        return draining

    def _summarize(self, entry: ListedNodeT, other_zones: int) -> None:
        zone = self.zones.get(entry.zone)
        if zone is None:
            zone = self.zones[entry.zone] = ZoneSummary(self.config.member)
        if entry.health is Health.UP:
            zone.add(entry, self.config.sample_size(other_zones))
            return
        zone.remove(entry.name)
        if not zone.up_count:
            del self.zones[entry.zone]

    def _evict(self, name: str) -> bool:
        """Keep nothing of a node; returns whether it was held."""
        self._requested_names.discard(name)
        was_known = self._holds(name)
        for nodes in (self.own_zone_nodes, self.spare_nodes, self.draining_nodes):
            nodes.pop(name, None)
        return was_known

    def retain(self, name: str) -> list[ListedNodeT]:
        """Hold a node on which a client says that its task runs; returns the changes for the core.

        Where no entry of it is kept, ``needs_relist`` is true until the complete list has been read again.
        """
        if self._holds(name):
            return []
        for zone in self.zones.values():
            if (entry := zone.get(name)) is not None:
                return [self._hold_as_draining(entry)]
        self._requested_names.add(name)
        return []

    def needs_relist(self, now_us: int) -> bool:
        """Whether the complete list has to be read again; a true answer counts as its being read.

        It has to where a client named a node that is not known, or, once in ``relist_interval_us``, where a sample is
        depleted.
        """
        since_relist_us = now_us - self._last_relist_us
        if since_relist_us < self.config.review_interval_us:
            return False
        sample_size = self.config.sample_size(len(self.zones))
        is_depleted = any(zone.is_depleted(sample_size) for zone in self.zones.values())
        refill_is_due = is_depleted and since_relist_us >= self.config.relist_interval_us
        if not self._requested_names and not refill_is_due:
            return False
        self._last_relist_us = now_us
        return True

    # spare nodes

    def review(self, counts: RequestCounts, now_us: int) -> list[ListedNodeT]:
        """Add or release spare nodes; returns the changes for the core. To be called each ``review_interval_us``."""
        self._demand.record_zone_size(self._own_up_count, now_us)
        self._demand.record_requests(counts, now_us)
        target = self._demand.target()
        changes = self._remove_idle()
        surplus = len(self.spare_nodes) - target
        if surplus <= 0:
            self._surplus_since_us = now_us
            changes += self._add_spares(min(-surplus, self.config.spares_per_review))
        elif now_us - self._surplus_since_us >= self.config.cooldown_us:
            self._surplus_since_us = now_us
            changes += self._release_spares(-(-surplus // 2))
        return changes

    def _add_spares(self, count: int) -> list[ListedNodeT]:
        """Add spare nodes, each of the zone that provides the fewest: no zone bears all of what another lacks."""
        spares_by_zone = Counter(entry.zone for entry in self.spare_nodes.values())
        candidates = {
            name: deque(entry for entry in zone.sample if entry.name not in self.spare_nodes)
            for name, zone in self.zones.items()
        }
        queue = [
            (spares_by_zone[name], rendezvous_rank(self.config.member, name), name)
            for name in candidates
            if candidates[name]
        ]
        heapify(queue)
        added: list[ListedNodeT] = []
        while queue and len(added) < count:
            spares, rank, name = heappop(queue)
            added.append(candidates[name].popleft())
            if candidates[name]:
                heappush(queue, (spares + 1, rank, name))
        for entry in added:
            self.draining_nodes.pop(entry.name, None)
            self.spare_nodes[entry.name] = entry
        return added

    def _release_spares(self, count: int) -> list[ListedNodeT]:
        """The spare nodes that were added last get no new tasks."""
        names = list(self.spare_nodes)[-count:]
        return [self._hold_as_draining(self.spare_nodes.pop(name)) for name in names]

    def _remove_idle(self) -> list[ListedNodeT]:
        """Remove the draining nodes on which no task of this dispatcher runs any longer."""
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
