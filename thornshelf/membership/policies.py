"""The uses of the membership: quotas, outliers, nodes to avoid, shared health checks, and gossip of placers.

Sans-I/O: ``review`` returns the changes, and the caller applies them. Nodes have the names of the endpoint list.
"""

from __future__ import annotations

import enum
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from thornshelf.membership.datagrams import MapEntry
from thornshelf.membership.drain_gossip import DrainGossip
from thornshelf.membership.member_table import MemberChange
from thornshelf.membership.outlier_gossip import Observation, OutlierGossip, health_checkers
from thornshelf.membership.protocol import MembershipProtocol
from thornshelf.membership.quota_division import Quota, QuotaConfig, QuotaDivision
from thornshelf.membership.states import LIVE_STATES, MemberState

# The kinds of entries in the replicated map. The values are those on the wire.
PLACER_GOSSIP = "peers"
OBSERVATIONS = "seen"
DRAINS = "list"

OBSERVATIONS_INTERVAL_US = 1_000_000  # between two versions; receivers decay the weights
DRAINS_INTERVAL_US = 200_000
HEALTH_CHECK_TIMEOUT_US = 700_000  # of a delegated health check
MIN_MEMBERS_FOR_HEALTH_CHECKS = 3  # in a smaller fleet, each member checks all suspects


class Policy(enum.StrEnum):
    """A use of the membership that can be enabled. The values are those of the operator's key ``fleet.uses``."""

    QUOTAS = "allowances"
    OUTLIERS = "evidence"
    DRAINS = "news"
    HEALTH_CHECKS = "probes"
    PLACER_GOSSIP = "messages"


class HealthCheckReport(NamedTuple):
    """The result of a delegated health check. Without a report before the timeout, the node counts as unhealthy."""

    node: str
    is_healthy: bool


@dataclass(slots=True)
class PolicyChanges:
    """The changes to apply. None means unchanged."""

    quota: Quota | None = None
    outliers: set[str] | None = None
    avoided_nodes: set[str] | None = None  # get no new offers, by reports of other members
    nodes_to_check: list[str] = field(default_factory=list)
    check_results: list[HealthCheckReport] = field(default_factory=list)


class FleetPolicies:
    """The policies of one dispatcher.

    ``enabled``: values of ``Policy``. ``configured``: the configured number of dispatchers. ``quota_hold_us``: how
    long a departed member still counts in quotas.
    """

    def __init__(
        self,
        membership: MembershipProtocol,
        enabled: frozenset[str],
        configured: int,
        quota_hold_us: int,
        now_us: int,
    ) -> None:
        self.membership = membership
        self._enabled = enabled
        quota_config = QuotaConfig(max(1, configured), quota_hold_us)
        self.quota_division = QuotaDivision(quota_config, membership.name, now_us)
        self.outlier_gossip = OutlierGossip(membership.name)
        self.drain_gossip = DrainGossip()
        self._quota: Quota | None = None
        self._outliers: set[str] = set()
        self._avoided_nodes: set[str] = set()
        self._delegated_since_us: dict[str, int] = {}  # health checks that other members do, by node
        self._has_new_observations = False  # since the last publication

    @property
    def quota(self) -> Quota | None:
        """This member's quota by the live members; None if the configured number of dispatchers applies."""
        return None if self._is_superseded else self._quota

    @property
    def _is_superseded(self) -> bool:
        return self.membership.superseded is not None

    def member_changed(self, change: MemberChange) -> None:
        """Process a change of a member's state."""
        if change.after is MemberState.LEFT:
            self.quota_division.member_left(change.name)
        if change.after not in LIVE_STATES:
            self.outlier_gossip.discard_member(change.name)
            self.drain_gossip.discard_member(change.name)

    def entry_received(self, entry: MapEntry, now_us: int) -> None:
        """Process another member's entry. The kind ``PLACER_GOSSIP`` is ignored here and left to the caller."""
        if entry.kind == OBSERVATIONS:
            self.outlier_gossip.receive(entry.writer, entry.value, now_us - entry.age_ms * 1000)
        elif entry.kind == DRAINS:
            self.drain_gossip.receive(entry.writer, entry.part, entry.value)

    def observe(self, node: str, observation: Observation, now_us: int) -> None:
        """Record the outcome of an attempt or a health check at a node."""
        self.outlier_gossip.observe(node, observation, now_us)
        self._has_new_observations = True

    def publish_placer_gossip(self, data: bytes) -> None:
        """Publish the gossip of the decision module to its peers."""
        if Policy.PLACER_GOSSIP in self._enabled:
            self.membership.publish(PLACER_GOSSIP, 0, data)

    def delegate_health_check(self, node: str, now_us: int) -> bool:
        """Returns whether other members check this suspect; if so, ``review`` returns the result later."""
        is_shared = Policy.HEALTH_CHECKS in self._enabled and not self._is_superseded
        if not is_shared or self.membership.live_count < MIN_MEMBERS_FOR_HEALTH_CHECKS:
            return False
        if self.membership.name in health_checkers(node, self.membership.live_names()):
            return False
        self._delegated_since_us.setdefault(node, now_us)
        return True

    def review(self, nodes: Collection[str], watch_unresponsive: bool, now_us: int) -> PolicyChanges:
        """Returns the changes since the last call and the health checks to do, and publishes this member's entries.

        ``nodes``: the nodes in service. ``watch_unresponsive``: whether this dispatcher's endpoint watch does not
        respond.
        """
        changes = PolicyChanges()
        live = [self.membership.name] if self._is_superseded else self.membership.live_names()
        self._review_quota(changes, live, now_us)
        self._review_outliers(changes, nodes, live, now_us)
        self._review_avoided_nodes(changes, watch_unresponsive, live)
        if Policy.HEALTH_CHECKS in self._enabled and len(live) >= MIN_MEMBERS_FOR_HEALTH_CHECKS:
            changes.nodes_to_check = self.outlier_gossip.nodes_to_check(nodes, live, now_us)
        self._collect_check_results(changes, live, now_us)
        self._publish(now_us)
        return changes

    def _review_quota(self, changes: PolicyChanges, live: Collection[str], now_us: int) -> None:
        division = self.quota_division
        if self.membership.local.record.incarnation > 1:
            division.mark_rejoined()  # it had to override the record of a former process
        if self.membership.uptime_lag_us > division.config.startup_us:
            division.mark_joining()
        if Policy.QUOTAS in self._enabled and not self._is_superseded:
            quota = division.quota(live, now_us)
            if quota != self._quota:
                self._quota = quota
                changes.quota = quota

    def _review_outliers(
        self, changes: PolicyChanges, nodes: Collection[str], live: Collection[str], now_us: int
    ) -> None:
        outliers: set[str] = set()
        if Policy.OUTLIERS in self._enabled:
            outliers = self.outlier_gossip.outliers(nodes, live, now_us)
        if outliers != self._outliers:
            self._outliers = outliers
            changes.outliers = outliers

    def _review_avoided_nodes(
        self, changes: PolicyChanges, watch_unresponsive: bool, live: Collection[str]
    ) -> None:
        avoided: set[str] = set()
        if Policy.DRAINS in self._enabled:
            uses_reports = watch_unresponsive and not self._is_superseded
            avoided = self.drain_gossip.nodes_to_avoid(uses_reports, live)
        if avoided != self._avoided_nodes:
            self._avoided_nodes = avoided
            changes.avoided_nodes = set(avoided)

    def _collect_check_results(self, changes: PolicyChanges, live: Collection[str], now_us: int) -> None:
        """Collect the results of delegated health checks."""
        for node, since_us in list(self._delegated_since_us.items()):
            is_healthy = self.outlier_gossip.reported_healthy(node, live, now_us, since_us)
            if is_healthy or now_us - since_us >= HEALTH_CHECK_TIMEOUT_US:
                del self._delegated_since_us[node]
                changes.check_results.append(HealthCheckReport(node, is_healthy))

    def _publish(self, now_us: int) -> None:
        value = b""
        if Policy.OUTLIERS in self._enabled or Policy.HEALTH_CHECKS in self._enabled:
            value = self.outlier_gossip.encode(now_us)
        if self._has_new_observations or not value:
            self._has_new_observations = False
            self.membership.publish(OBSERVATIONS, 0, value, OBSERVATIONS_INTERVAL_US)
        if Policy.DRAINS in self._enabled:
            self.drain_gossip.expire(now_us)
            for part, page in enumerate(self.drain_gossip.encode_pages(now_us)):
                self.membership.publish(DRAINS, part, page, DRAINS_INTERVAL_US)


def member_number(name: str) -> int:
    """Returns a member's number for the decision module, which depends only on its name."""
    return xxhash.xxh32_intdigest(name.encode())
