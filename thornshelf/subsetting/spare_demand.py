"""Computes how many spare nodes of other zones a dispatcher wants. Does no I/O.

They replace nodes that its own zone lacks, and add capacity while too many requests are rejected.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from thornshelf.subsetting.config import SubsetConfig


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """How many requests this dispatcher has received and rejected since it started."""

    received: int
    rejected: int


@dataclass(frozen=True, slots=True)
class ZoneSize:
    """How many nodes of the own zone were up, and until when this number counts for the peak."""

    up_count: int
    until_us: int


class SpareDemand:
    """Computes the target number of spare nodes. Times are in microseconds."""

    def __init__(self, config: SubsetConfig, now_us: int) -> None:
        self._config = config
        self._own_up_count = 0
        self._recent_sizes: deque[ZoneSize] = deque()  # sliding-window maximum: sizes fall from left to right
        self._rejection_spares = 0  # spare nodes wanted because of rejected requests
        self._last_counts = RequestCounts(0, 0)
        self._step_changed_us = now_us

    def record_zone_size(self, up_count: int, now_us: int) -> None:
        """Record how many nodes of the own zone are up now."""
        self._own_up_count = up_count
        sizes = self._recent_sizes
        while sizes and sizes[0].until_us <= now_us:
            sizes.popleft()
        while sizes and sizes[-1].up_count <= up_count:
            sizes.pop()
        sizes.append(ZoneSize(up_count, now_us + self._config.peak_window_us))

    def record_requests(self, counts: RequestCounts, now_us: int) -> None:
        """Want ``spare_step`` more spare nodes if too many requests were rejected, and half after each cooldown."""
        config = self._config
        received = counts.received - self._last_counts.received
        rejected = counts.rejected - self._last_counts.rejected
        if received >= config.min_requests:
            self._last_counts = counts
            if rejected > config.rejected_fraction * received:
                self._rejection_spares = min(config.max_spares, self._rejection_spares + config.spare_step)
                self._step_changed_us = now_us
        if self._rejection_spares and now_us - self._step_changed_us >= config.cooldown_us:
            self._rejection_spares //= 2
            self._step_changed_us = now_us

    def target(self) -> int:
        """Return how many spare nodes are wanted; the greater of the two demands counts, up to ``max_spares``."""
        config = self._config
        peak = self._recent_sizes[0].up_count
        shortfall = 0
        if self._own_up_count < config.short_fraction * peak:
            shortfall = peak - self._own_up_count
        if not self._own_up_count:
            shortfall = max(shortfall, config.spare_step)  # also covers a zone that never had a node
        return min(config.max_spares, max(shortfall, self._rejection_spares))
