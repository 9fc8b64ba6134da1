"""The subsetting component: the core gets the nodes of this dispatcher's zone and some spares of other zones.

It filters updates between the endpoint watch and the core, and opens no sockets. ``thornshelf.subsetting`` makes all
decisions; see docs/subsetting.md.
"""

from __future__ import annotations

from dataclasses import replace

from thornshelf.components import Component, Host
from thornshelf.configuration import Config, ZoneSubsetConfig
from thornshelf.core import EndpointListUpdate, NodeEndpoint
from thornshelf.placement import Health, Settings
from thornshelf.subsetting import RequestCounts, Subset
from thornshelf.subsetting.subset import log_fields


def with_health(endpoint: NodeEndpoint, health: Health) -> NodeEndpoint:
    """Returns a copy of the endpoint with another health."""
    return replace(endpoint, health=health)


def zone_settings(settings: Settings, subset: ZoneSubsetConfig) -> Settings:
    """Returns the settings for a placer that counts only the dispatchers of its zone.

    The placer divides the tenants' quotas by the number of dispatchers. The quotas are scaled to the zone, so that
    each dispatcher's part of them stays the same.
    """
    zone_fraction = subset.dispatchers / max(1, settings.placers)
    tenants = tuple(
        replace(tenant, quota_cores=tenant.quota_cores * zone_fraction) for tenant in settings.tenants
    )
    zone = subset.selection.zone
    return replace(settings, placers=subset.dispatchers, zone=zone, tenants=tenants)


class SubsettingComponent(Component):
    """Limits the core's endpoint list to the subset, and adds spare nodes of other zones while they are needed."""

    def prepare(self) -> None:
        """Replace the core's settings by those of its zone, and install the filter of the endpoint list."""
        host = self.host
        config = host.config.subset
        assert config is not None
        self._all_dispatchers = host.settings.placers
        host.settings = zone_settings(host.settings, config)
        self.subset: Subset[NodeEndpoint] = Subset(
            config.selection, host.loop.now, with_health, lambda name: not host.core.endpoints.has_work(name)
        )
        host.endpoint_filter = self.filter_update

    def start(self) -> None:
        """Start the periodic reviews of the subset.

        The limit on attempts to nodes in slow start is still divided by the dispatchers of all zones, since a node
        may be a spare of any of them.
        """
        host = self.host
        config = host.config.subset
        assert config is not None
        host.core.placer.set_quota(host.settings.me, config.dispatchers, self._all_dispatchers)
        host.core.endpoints.on_new_endpoint = self._retain_unknown
        host.loop.call_later(config.selection.review_interval_us, self._review)
        self._logged_fields = log_fields(self.subset)
        parameters: dict[str, object] = {"zone": config.selection.zone} | self._logged_fields
        host.log(6, "subset-changed", parameters, "this dispatcher uses a subset of the nodes")

    def reload(self, config: Config) -> None:
        """Do nothing: the table takes effect after a restart."""

    def filter_update(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Returns the part of an endpoint list update that concerns the subset."""
        endpoints = self.subset.apply(update.complete, update.endpoints, self.host.loop.now)
        return EndpointListUpdate(update.complete, update.version, endpoints)

    def _retain_unknown(self, name: str) -> None:
        """Add a node outside the subset on which a client's task runs."""
        self._update_core(self.subset.retain(name))
        self._relist_if_needed()

    def _update_core(self, endpoints: list[NodeEndpoint]) -> None:
        if endpoints:
            self.host.core.update_endpoints(EndpointListUpdate(False, 0, endpoints))

    def _relist_if_needed(self) -> None:
        if self.subset.needs_relist(self.host.loop.now) and self.host.endpoint_watch is not None:
            self.host.log(
                5, "subset-changed", {"zones": len(self.subset.zones) + 1}, "the complete list is read again"
            )
            self.host.endpoint_watch.relist()

    def _review(self) -> None:
        host = self.host
        counters = host.core.counters
        counts = RequestCounts(counters["taken"], counters["refused"])
        self._update_core(self.subset.review(counts, host.loop.now))
        fields = log_fields(self.subset)
        if fields != self._logged_fields:
            self._logged_fields = fields
            host.log(6, "subset-changed", fields, "the subset has changed")
        self._relist_if_needed()
        host.loop.call_later(self.subset.config.review_interval_us, self._review)


def create_component(host: Host) -> Component:
    """Create the subsetting component."""
    return SubsettingComponent(host)
