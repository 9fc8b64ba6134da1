"""The nodes that one dispatcher holds: all of its own zone, and spare nodes of other zones while those are too few.

Takes changes of the complete endpoint list, and returns the changes for the core. The rules:

* A change of a held node is passed on in the same call, so that a drain is never delayed.
* A released spare node gets no new tasks, and is removed once no task of this dispatcher runs there.
* A node that is draining in the list is never passed on as up.
* A node on which a client's task runs, according to the client, is held as draining, whatever its zone.
* The memory for other zones is bounded: 8 bytes per node, and ``SubsetConfig.sample_size`` entries per zone.
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

    ``zones``: summaries of the other zones, by name. The held nodes, by name, are in ``own_zone_nodes``;
    ``spare_nodes``, which are nodes of other zones that are up and get tasks; and ``draining_nodes``, which are nodes
    of other zones that are held only until no task of this dispatcher runs there.
    """

    def __init__(
        self,
        config: SubsetConfig,
        now_us: int,
        with_health: Callable[[ListedNodeT, Health], ListedNodeT],
        is_idle: Callable[[str], bool],
    ) -> None:
        """``with_health``: returns a copy of an entry with the given health.

        ``is_idle``: returns whether no task of this dispatcher runs on the node with the given name.
        """
        self.config = config
        self.zones: dict[str, ZoneSummary[ListedNodeT]] = {}
        self.own_zone_nodes: dict[str, ListedNodeT] = {}
        self.spare_nodes: dict[str, ListedNodeT] = {}
        self.draining_nodes: dict[str, ListedNodeT] = {}
        self._with_health = with_health
        self._is_idle = is_idle
        self._requested_names: set[str] = set()  # named by clients, and without a known entry so far
        self._own_up_count = 0
        self._demand = SpareDemand(config, now_us)
        self._surplus_since_us = (
            now_us  # when there last was no surplus of spare nodes, or some were released
        )
        self._last_relist_us = now_us - config.relist_interval_us

    # Held nodes

    @property
    def node_count(self) -> int:
        """How many nodes are held, and so known to the core."""
        return len(self.own_zone_nodes) + len(self.spare_nodes) + len(self.draining_nodes)

    @property
    def known_up_count(self) -> int:
        """How many nodes of all zones are up."""
        return self._own_up_count + sum(zone.up_count for zone in self.zones.values())

    def _holds(self, name: str) -> bool:
        return name in self.own_zone_nodes or name in self.spare_nodes or name in self.draining_nodes

    # Changes of the endpoint list

    def apply(self, complete: bool, entries: Iterable[ListedNodeT], now_us: int) -> list[ListedNodeT]:
        """Apply a complete list or changes of it; returns the changes for the core, in the same order.

        If the list is complete, so is the result: the core removes nodes that are not in it.
        """
        if complete:
            changes = self._replace(list(entries))
        else:
            changes = [change for entry in entries for change in self._apply_entry(entry)]
        self._own_up_count = sum(entry.health is Health.UP for entry in self.own_zone_nodes.values())
        self._demand.record_zone_size(self._own_up_count, now_us)
        return changes

    def _replace(self, entries: Sequence[ListedNodeT]) -> list[ListedNodeT]:
        """Apply a complete list; spare nodes that it still contains are kept."""
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
        """Apply one node's change; returns the change for the core: the entry, a draining copy of it, or nothing."""
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
        """Remove a node from all held nodes; returns whether it was held."""
        self._requested_names.discard(name)
        was_known = self._holds(name)
        for nodes in (self.own_zone_nodes, self.spare_nodes, self.draining_nodes):
            nodes.pop(name, None)
        return was_known

    def retain(self, name: str) -> list[ListedNodeT]:
        """Hold the node on which, according to a client, its task runs; returns the changes for the core.

        If the node's entry is not in a sample, ``needs_relist`` asks for a relist, which finds it.
        """
        if self._holds(name):
            return []
        for zone in self.zones.values():
            if (entry := zone.get(name)) is not None:
                return [self._hold_as_draining(entry)]
        self._requested_names.add(name)
        return []

    def needs_relist(self, now_us: int) -> bool:
        """Return whether the caller has to read the complete list again, which it then must do.

        This is so if a client named a node whose entry is not known, or if a sample is depleted, in which case at
        most once in ``relist_interval_us``.
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

    # Spare nodes

    def review(self, counts: RequestCounts, now_us: int) -> list[ListedNodeT]:
        """Add or release spare nodes; returns the changes for the core. Call this every ``review_interval_us``."""
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
        """Add spare nodes, each from the zone that provides the fewest, so that the load is spread over all zones."""
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
        """Release the spare nodes that were added last: they are held as draining."""
        names = list(self.spare_nodes)[-count:]
        return [self._hold_as_draining(self.spare_nodes.pop(name)) for name in names]

    def _remove_idle(self) -> list[ListedNodeT]:
        """Remove the draining nodes on which no task of this dispatcher runs; returns the changes for the core."""
        idle = [name for name in self.draining_nodes if self._is_idle(name)]
        return [self._with_health(self.draining_nodes.pop(name), Health.REMOVED) for name in idle]


def log_fields(subset: Subset[Any]) -> dict[str, object]:
    """Return the sizes of a subset as parameters of a log line."""
    return {
        "own": len(subset.own_zone_nodes),
        "spare": len(subset.spare_nodes),
        "leaving": len(subset.draining_nodes),
        "known": subset.known_up_count,
        "zones": len(subset.zones) + 1,
    }
