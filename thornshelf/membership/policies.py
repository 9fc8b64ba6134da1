"""What a dispatcher makes of its view: its share, the nodes that stand back, those it probes, what it tells.

Decides only; ``review`` says what is to be done, and the part carries it out. Names of nodes are those of the list.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

import xxhash

from thornshelf.membership.datagrams import MapEntry
from thornshelf.membership.drain_gossip import DrainGossip
from thornshelf.membership.member_table import MemberChange
from thornshelf.membership.outlier_gossip import Observation, OutlierGossip, health_checkers
from thornshelf.membership.protocol import MembershipProtocol
from thornshelf.membership.quota_division import Quota, QuotaConfig, QuotaDivision
from thornshelf.membership.states import MemberState

PLACER_GOSSIP, OBSERVATIONS, DRAINS = "peers", "seen", "list"  # kinds of shared entries
OBSERVATIONS_INTERVAL_US = 1_000_000  # sights are told no more often; between, what was told fades by itself
DRAINS_INTERVAL_US = 200_000
HEALTH_CHECK_TIMEOUT_US = 700_000  # for a probe that another does


@dataclass(slots=True)
class PolicyChanges:
    """What is to be done now."""

    quota: Quota | None = None  # where it is another one
    outliers: set[str] | None = None  # nodes that are second choice, where these are others
    avoided_nodes: set[str] | None = None  # nodes that nothing new goes to by others' word, likewise
    nodes_to_check: list[str] = field(default_factory=list)
    check_results: list[tuple[str, bool]] = field(
        default_factory=list
    )  # probes that others did: a node, whether it answers


class FleetPolicies:
    """One dispatcher's."""

    def __init__(
        self, view: MembershipProtocol, uses: frozenset[str], configured: int, hold_us: int, now_us: int
    ) -> None:
        self.membership, self._uses = view, uses
        self.quota_division = QuotaDivision(QuotaConfig(max(1, configured), hold_us), view.name, now_us)
        self.outlier_gossip, self.drain_gossip = OutlierGossip(view.name), DrainGossip()
        self._share: Quota | None = None
        self._second: set[str] = set()
        self._kept_away: set[str] = set()
        self._waiting: dict[str, int] = {}  # suspects that another probes: since when
        self._fresh = False  # something was seen that has not been told

    @property
    def quota(self) -> Quota | None:
        """This member's share by the live members; none where the configured number holds."""
        return self._share if self.membership.superseded is None else None

    # what happens

    def member_changed(self, change: MemberChange) -> None:
        """A member's state is another one."""
        if change.after is MemberState.LEFT:
            self.quota_division.member_left(change.name)
        if change.after not in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.UNCONFIRMED_DEAD):
            self.outlier_gossip.discard_member(change.name)
            self.drain_gossip.discard_member(change.name)

    def entry_received(self, item: MapEntry, now_us: int) -> None:
        """Another member's entry. Others' words to the module are the part's own matter."""
        if item.kind == OBSERVATIONS:
            self.outlier_gossip.receive(item.writer, item.value, now_us - item.age_ms * 1000)
        elif item.kind == DRAINS:
            self.drain_gossip.receive(item.writer, item.part, item.value, now_us)

    def observe(self, node: str, sight: Observation, now_us: int) -> None:
        """An attempt or a probe at a node has ended so."""
        self.outlier_gossip.observe(node, sight, now_us)
        self._fresh = True

    def publish_placer_gossip(self, data: bytes) -> None:
        """The module's words to its peers."""
        if "messages" in self._uses:
            self.membership.publish(PLACER_GOSSIP, 0, data)

    def delegate_health_check(self, node: str, now_us: int) -> bool:
        """Whether others probe this suspect for all: then the answer comes by ``review``."""
        if (
            "probes" not in self._uses
            or self.membership.live_count < 3
            or self.membership.superseded is not None
        ):
            return False
        if self.membership.name in health_checkers(node, self.membership.live_names()):
            return False
        self._waiting.setdefault(node, now_us)
        return True

    # now and then

    def review(self, nodes: Collection[str], silent: bool, now_us: int) -> PolicyChanges:
        """What follows; ``nodes``: those in service, ``silent``: the own change log says nothing."""
        found, view, live = PolicyChanges(), self.membership, self.membership.live_names()
        if view.superseded is not None:
            live = [view.name]  # it is alone: all that it knew of others is void
        if view.local.record.incarnation > 1:
            self.quota_division.mark_rejoined()  # its name was known
        if view.uptime_lag_us > self.quota_division.config.startup_us:
            self.quota_division.mark_joining()  # and the others have been here for longer than a fleet takes to begin
        if "allowances" in self._uses and view.superseded is None:
            share = self.quota_division.quota(live, now_us)
            if share != self._share:
                self._share = found.quota = share
        second = self.outlier_gossip.outliers(nodes, live, now_us) if "evidence" in self._uses else set()
        if second != self._second:
            self._second = found.outliers = second
        away = (
            self.drain_gossip.nodes_to_avoid(silent and view.superseded is None, live)
            if "news" in self._uses
            else set()
        )
        if away != self._kept_away:
            self._kept_away = found.avoided_nodes = set(away)
        if "probes" in self._uses and len(live) >= 3:
            found.nodes_to_check = self.outlier_gossip.nodes_to_check(nodes, live, now_us)
        for node, since in list(self._waiting.items()):
            well = self.outlier_gossip.reported_healthy(node, live, now_us, since)
            if well or now_us - since >= HEALTH_CHECK_TIMEOUT_US:
                del self._waiting[node]
                found.check_results.append((node, well))
        self._tell(now_us)
        return found

    def _tell(self, now_us: int) -> None:
        value = (
            self.outlier_gossip.encode(now_us) if "evidence" in self._uses or "probes" in self._uses else b""
        )
        if self._fresh or not value:
            self._fresh = False
            self.membership.publish(OBSERVATIONS, 0, value, OBSERVATIONS_INTERVAL_US)
        if "news" in self._uses:
            self.drain_gossip.expire(now_us)
            for part, page in enumerate(self.drain_gossip.encode_pages(now_us)):
                self.membership.publish(DRAINS, part, page, DRAINS_INTERVAL_US)


def member_number(name: str) -> int:
    """A member's number for the module: the same at all, and no rank that moves as members come and go."""
    return xxhash.xxh32_intdigest(name.encode())
