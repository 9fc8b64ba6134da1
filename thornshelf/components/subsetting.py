"""The part of the list of nodes that this dispatcher holds, between the change log and the core.

All decisions are in ``thornshelf.subsetting``; see docs/subsetting.md. This opens no socket of its own.
"""

from __future__ import annotations

from dataclasses import replace

from thornshelf.components import Component, Host
from thornshelf.configuration import Config, ZoneSubsetConfig
from thornshelf.core import EndpointListUpdate, NodeEndpoint
from thornshelf.placement.interface import Health, Settings
from thornshelf.subsetting import RequestCounts, Subset
from thornshelf.subsetting.subset import log_fields


def with_health(entry: NodeEndpoint, health: Health) -> NodeEndpoint:
    """The entry in another state."""
    return replace(entry, health=health)


def zone_settings(settings: Settings, subset: ZoneSubsetConfig) -> Settings:
    """The settings as the dispatchers of one zone share them: each tenant's quota stays divided by all of them."""
    share = subset.dispatchers / max(1, settings.placers)
    tenants = tuple(replace(one, quota_cores=one.quota_cores * share) for one in settings.tenants)
    zone = subset.selection.zone
    return replace(settings, placers=subset.dispatchers, zone=zone, tenants=tenants)


class SubsettingComponent(Component):
    """Passes on what concerns the nodes that are held, and takes in spare ones as they are wanted."""

    def prepare(self) -> None:
        """The core is to have the settings of its zone, and to hear of the nodes that are held only."""
        host, config = self.host, self.host.config.subset
        assert config is not None
        self._all = host.settings.placers
        host.settings = zone_settings(host.settings, config)
        self.subset: Subset[NodeEndpoint] = Subset(
            config.selection, host.loop.now, with_health, lambda name: not host.core.endpoints.has_work(name)
        )
        host.endpoint_filter = self.filter_change

    def start(self) -> None:
        """Offers to cold nodes stay divided by all dispatchers: any of them may hold a node as a spare one."""
        host, config = self.host, self.host.config.subset
        assert config is not None
        host.core.placer.set_quota(host.settings.me, config.dispatchers, self._all)
        host.core.endpoints.on_unknown_endpoint = self._unlisted
        host.loop.after(config.selection.review_interval_us, self._review)
        self._said = log_fields(self.subset)
        host.log(
            6, "subset-changed", {"zone": config.selection.zone} | self._said, "holding the nodes of a zone"
        )

    def reload(self, config: Config) -> None:
        """The table waits for a restart."""

    def filter_change(self, change: EndpointListUpdate) -> EndpointListUpdate:
        """What the core hears of a change of the list."""
        told = self.subset.apply(change.complete, change.endpoints, self.host.loop.now)
        return EndpointListUpdate(change.complete, change.version, told)

    def _unlisted(self, name: str) -> None:
        """A client's task stands on a node that the core does not know."""
        if told := self.subset.retain(name):
            self.host.core.update_endpoints(EndpointListUpdate(False, 0, told))
        self._read_again()

    def _read_again(self) -> None:
        if self.subset.needs_relist(self.host.loop.now) and self.host.endpoint_watch is not None:
            self.host.log(
                5, "subset-changed", {"zones": len(self.subset.zones) + 1}, "the whole list is read again"
            )
            self.host.endpoint_watch.relist()

    def _review(self) -> None:
        host, terms = self.host, self.subset.config
        counts = host.core.counters
        told = self.subset.review(RequestCounts(counts["taken"], counts["refused"]), host.loop.now)
        if told:
            host.core.update_endpoints(EndpointListUpdate(False, 0, told))
        if (said := log_fields(self.subset)) != self._said:
            self._said = said
            host.log(6, "subset-changed", said, "nodes held")
        self._read_again()
        host.loop.after(terms.review_interval_us, self._review)


def make(host: Host) -> Component:
    """The part."""
    return SubsettingComponent(host)
