"""The figures of a subset. Times are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError


@dataclass(frozen=True, slots=True)
class SubsetConfig:
    """What one dispatcher goes by.

    ``zone``: its own; ``member``: its name, by which it draws other nodes than its neighbours do.
    """

    zone: str
    member: str
    spare_step: int = 64  # nodes of other zones: so many more at a time while set-ups are refused
    max_spares: int = 512  # held of other zones at most
    spares_per_review: int = (
        64  # taken in between two reviews, so that a lost zone is no burst of connections
    )
    short_fraction: float = 0.9  # the own zone is short below this share of the nodes that it had lately
    rejected_fraction: float = 0.05  # of the set-ups since the last review: above it more nodes are wanted
    min_requests: int = 20  # fewer since the last review say nothing
    review_interval_us: int = 500_000
    cooldown_us: int = 30_000_000  # without a want for so long, half of the spare nodes are given back
    peak_window_us: int = 600_000_000  # the number of the own zone's nodes is remembered for so long
    relist_interval_us: int = 60_000_000  # the whole list is asked for again no more often than so

    def __post_init__(self) -> None:
        if not self.zone or not self.member:
            raise InvalidParameterError("zone: a subset needs its zone and its member's name")
        if not 0 < self.spare_step <= self.max_spares:
            raise InvalidParameterError(f"spare_step: not between 1 and most_spare: {self.spare_step}")
        if not 0.0 < self.short_fraction <= 1.0 or not 0.0 < self.rejected_fraction <= 1.0:
            raise InvalidParameterError("short_share, refused_share: not between 0 and 1")

    def sample_size(self, zones: int) -> int:
        """So many whole entries are kept of each of the other zones: twice what it may have to give."""
        return max(8, -(-2 * self.max_spares // max(1, zones)))
