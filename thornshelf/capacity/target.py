"""The deployment sizes that costs are computed for: the current one and the operators' target."""

from __future__ import annotations

import math

import msgspec

SECONDS_PER_DAY = 86_400.0
MAX_SERVING_SHARE = 0.5  # of a core, at peak load; the rest is headroom for restarts and zone failures
MIN_DISPATCHERS_PER_ZONE = 2  # one keeps serving while the other restarts


class Target(msgspec.Struct, frozen=True):
    """The operators' target size; the field names are keys of docs/capacity.json.

    The fields ``control_*`` are the budgets of one dispatcher for everything except serving tasks.
    """

    nodes: int = 18_000
    accelerators: int = 25_000
    starts_a_day: int = 83_000
    peak_starts_per_s: float = 940.0
    standing: int = 180_000
    largest_gang: int = 256
    tenants: int = 74
    urgent_start_s: float = 1.6
    regions: int = 7
    zones: int = 28
    configuration_changes_a_day: int = 10_000
    configuration_in_force_s: float = 6.0
    control_core_share: float = 0.011
    control_memory_mb: float = 32.0
    control_bytes_per_s: float = 3_000.0
    machines: int = 16
    failures_a_day: int = 98
    replacements_a_day: int = 1_100

    @property
    def nodes_per_zone(self) -> int:
        """Nodes in one zone, with nodes spread evenly."""
        return math.ceil(self.nodes / self.zones)

    @property
    def list_changes_per_s(self) -> float:
        """Changes of the endpoint list: two for a failed node that returns, three for one that is replaced."""
        return (2 * self.failures_a_day + 3 * self.replacements_a_day) / SECONDS_PER_DAY

    @property
    def configuration_changes_per_s(self) -> float:
        """Average rate over a day."""
        return self.configuration_changes_a_day / SECONDS_PER_DAY


class Deployment(msgspec.Struct, frozen=True):
    """The size and load of a deployment, as one dispatcher sees it: costs are functions of these fields.

    ``standing`` counts running tasks and ``starts_per_s`` task starts, both of one dispatcher. Slopes and rows refer
    to the fields by name. ``constant`` is the multiplier of rows without a rate.
    """

    nodes: float
    dispatchers: float
    standing: float
    starts_per_s: float
    list_changes_per_s: float
    configuration_changes_per_s: float
    nodes_per_zone: float
    constant: float = 1.0


CURRENT_DEPLOYMENT = Deployment(
    nodes=14,
    dispatchers=2,
    standing=14 * 30,
    starts_per_s=25,
    list_changes_per_s=3 * 14 / SECONDS_PER_DAY,
    configuration_changes_per_s=1 / SECONDS_PER_DAY,
    nodes_per_zone=14,
)


def dispatchers_needed(target: Target, start_us: float) -> int:
    """Returns the number of dispatchers that the target needs, from the microseconds of work per task start.

    It is the greater of two counts: enough to serve peak load with half a core each, and two in each zone.
    """
    by_load = math.ceil(target.peak_starts_per_s * start_us / 1e6 / MAX_SERVING_SHARE)
    return max(by_load, MIN_DISPATCHERS_PER_ZONE * target.zones)


def target_deployment(target: Target, dispatchers: int, subset_size: float | None = None) -> Deployment:
    """Returns the target as one dispatcher sees it; ``subset_size`` is its number of nodes, if not all."""
    return Deployment(
        nodes=target.nodes if subset_size is None else subset_size,
        dispatchers=dispatchers,
        standing=target.standing / dispatchers,
        starts_per_s=target.peak_starts_per_s / dispatchers,
        list_changes_per_s=target.list_changes_per_s,
        configuration_changes_per_s=target.configuration_changes_per_s,
        nodes_per_zone=target.nodes_per_zone,
    )
