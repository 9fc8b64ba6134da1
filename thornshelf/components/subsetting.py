"""Subsetting: the core gets a part of the endpoint list, the nodes of this dispatcher's zone and some spares.

All decisions are in ``thornshelf.subsetting``; see docs/subsetting.md. It stands between the endpoint watch and the
core, and opens no socket of its own.
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
    """The endpoint with another health."""
    return replace(endpoint, health=health)


def zone_settings(settings: Settings, subset: ZoneSubsetConfig) -> Settings:
    """The settings for the dispatchers of one zone alone.

    The placer divides quotas by the dispatchers that it knows of, so that those of a tenant are scaled to the zone:
    a dispatcher's part of them stays what it would be among all dispatchers.
    """
    zone_fraction = subset.dispatchers / max(1, settings.placers)
    tenants = tuple(
        replace(tenant, quota_cores=tenant.quota_cores * zone_fraction) for tenant in settings.tenants
    )
    zone = subset.selection.zone
    return replace(settings, placers=subset.dispatchers, zone=zone, tenants=tenants)


class SubsettingComponent(Component):
    """Passes updates of the subset's nodes to the core, and adds spares of other zones while they are needed."""

    def prepare(self) -> None:
        """Give the core the settings of its zone, and a filter for the endpoint list."""
        host = self.host
        config = host.config.subset
        assert config is not None
        self._all_dispatchers = host.settings.placers
        host.settings = zone_settings(host.settings, config)
        self.subset: Subset[NodeEndpoint] = Subset(
            config.selection, host.loop.now, with_health, lambda name: not host.core.endpoints.has_work(name)
        )
        host.endpoint_filter = self.filter_change

    def start(self) -> None:
        """Start the reviews of the subset.

        Attempts at nodes in slow start stay divided by all dispatchers, as any of them may have a node as a spare.
        """
        host = self.host
        config = host.config.subset
        assert config is not None
        host.core.placer.set_quota(host.settings.me, config.dispatchers, self._all_dispatchers)
        host.core.endpoints.on_unknown_endpoint = self._retain_unknown
        host.loop.after(config.selection.review_interval_us, self._review)
        self._logged_fields = log_fields(self.subset)
        values: dict[str, object] = {"zone": config.selection.zone} | self._logged_fields
        host.log(6, "subset-changed", values, "holding the nodes of a zone")

    def reload(self, config: Config) -> None:
        """Does nothing: the table takes effect after a restart."""

    def filter_change(self, change: EndpointListUpdate) -> EndpointListUpdate:
        """The part of an update of the endpoint list that concerns the subset."""
        endpoints = self.subset.apply(change.complete, change.endpoints, self.host.loop.now)
        return EndpointListUpdate(change.complete, change.version, endpoints)

    def _retain_unknown(self, name: str) -> None:
        """Add a node that the core does not know, where a client's task runs."""
        self._update_core(self.subset.retain(name))
        self._relist_if_needed()

    def _update_core(self, endpoints: list[NodeEndpoint]) -> None:
        if endpoints:
            self.host.core.update_endpoints(EndpointListUpdate(False, 0, endpoints))

    def _relist_if_needed(self) -> None:
        if self.subset.needs_relist(self.host.loop.now) and self.host.endpoint_watch is not None:
            self.host.log(
                5, "subset-changed", {"zones": len(self.subset.zones) + 1}, "the whole list is read again"
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
            host.log(6, "subset-changed", fields, "nodes held")
        self._relist_if_needed()
        host.loop.after(self.subset.config.review_interval_us, self._review)


def make(host: Host) -> Component:
    """The component of subsetting."""
    return SubsettingComponent(host)
