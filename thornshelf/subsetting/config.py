"""The settings of a subset. Times are integers, in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError

MIN_SAMPLE_SIZE = 8


@dataclass(frozen=True, slots=True)
class SubsetConfig:
    """How one dispatcher chooses its nodes. Raises ``InvalidParameterError`` for values that contradict each other.

    ``zone``: the dispatcher's own zone. ``member``: its name, which decides which nodes of other zones it prefers.

    ``spare_step``: so many more spare nodes are wanted each time that too many requests were rejected; at most
    ``max_spares`` altogether, and ``spares_per_review`` of them are added at one review, so that a lost zone causes
    no burst of connections. ``short_fraction``: the own zone is short of nodes below this fraction of its recent
    peak. ``rejected_fraction``: more nodes are wanted where more than this fraction of requests was rejected, of at
    least ``min_requests``, as fewer show nothing.

    ``cooldown_us``: after so long without demand, half of the surplus is released. ``peak_window_us``: how long the
    peak of the own zone counts. ``relist_interval_us``: a depleted sample asks for the complete list no more often.
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
        """How many complete entries are kept of each of the other zones: twice what one may have to provide."""
        return max(MIN_SAMPLE_SIZE, -(-2 * self.max_spares // max(1, zones)))
