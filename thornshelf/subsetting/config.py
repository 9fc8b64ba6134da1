"""The settings of a subset. Times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError

MIN_SAMPLE_SIZE = 8


@dataclass(frozen=True, slots=True)
class SubsetConfig:
    """How one dispatcher chooses its nodes. Raises ``InvalidParameterError`` for invalid values.

    ``zone``: the dispatcher's own zone. ``member``: its name, which decides which nodes of other zones it prefers.

    ``spare_step``: how many spare nodes to add to the target whenever too many requests were rejected.
    ``max_spares``: the limit of that target. ``spares_per_review``: how many of them are added at one review at most,
    so that a lost zone causes no burst of connections. ``short_fraction``: the own zone lacks nodes if fewer than
    this fraction of its recent peak are up. ``rejected_fraction``: too many requests were rejected if it was more
    than this fraction of at least ``min_requests``.

    ``review_interval_us``: the time between two reviews. ``cooldown_us``: after this time without demand, half of the
    surplus nodes are released. ``peak_window_us``: how long a size of the own zone counts for its peak.
    ``relist_interval_us``: the minimum time between two relists for a depleted sample.
    """

    zone: str
    member: str
    spare_step: int = 64
    max_spares: int = 512
    spares_per_review: int = 64
    short_fraction: float = 0.9
    rejected_fraction: float = 0.05
    min_requests: int = 20
    review_interval_us: int = 500_000
    cooldown_us: int = 30_000_000
    peak_window_us: int = 600_000_000
    relist_interval_us: int = 60_000_000

    def __post_init__(self) -> None:
        # The texts name the keys of the operator's file.
        if not self.zone or not self.member:
            raise InvalidParameterError("zone: a subset needs its zone and its member's name")
        if not 0 < self.spare_step <= self.max_spares:
            raise InvalidParameterError(f"spare_step: not between 1 and most_spare: {self.spare_step}")
        if not 0.0 < self.short_fraction <= 1.0 or not 0.0 < self.rejected_fraction <= 1.0:
            raise InvalidParameterError("short_share, refused_share: not between 0 and 1")

    def sample_size(self, zones: int) -> int:
        """Return how many entries to keep of each other zone: twice its share of ``max_spares``."""
        return max(MIN_SAMPLE_SIZE, -(-2 * self.max_spares // max(1, zones)))
