"""How many spare nodes of other zones are wanted, by the own zone's size and by rejected requests. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from thornshelf.subsetting.config import SubsetConfig


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """Requests of this dispatcher since it started: all, and those that were rejected."""

    received: int
    rejected: int


@dataclass(frozen=True, slots=True)
class ZoneSize:
    """The number of the own zone's nodes that were up, and until when it counts for the peak."""

    up_count: int
    until_us: int


class SpareDemand:
    """Computes the target number of spare nodes; times are microseconds."""

    def __init__(self, config: SubsetConfig, now_us: int) -> None:
        self._config = config
        self._own_up_count = 0
        self._recent_sizes: deque[ZoneSize] = deque()  # sliding-window maximum: sizes fall from left to right
        self._rejection_step = 0  # spare nodes wanted as requests were rejected
        self._last_counts = RequestCounts(0, 0)
        self._step_changed_us = now_us

    def record_zone_size(self, up_count: int, now_us: int) -> None:
        """Record how many nodes of the own zone are up."""
        self._own_up_count = up_count
        sizes = self._recent_sizes
        while sizes and sizes[0].until_us <= now_us:
            sizes.popleft()
        while sizes and sizes[-1].up_count <= up_count:
            sizes.pop()
        sizes.append(ZoneSize(up_count, now_us + self._config.peak_window_us))

    def record_requests(self, counts: RequestCounts, now_us: int) -> None:
        """Want one step more where many requests were rejected, and half of the steps after each cooldown."""
        config = self._config
        received = counts.received - self._last_counts.received
        rejected = counts.rejected - self._last_counts.rejected
        if received >= config.min_requests:
            self._last_counts = counts
            if rejected > config.rejected_fraction * received:
                self._rejection_step = min(config.max_spares, self._rejection_step + config.spare_step)
                self._step_changed_us = now_us
        if self._rejection_step and now_us - self._step_changed_us >= config.cooldown_us:
            self._rejection_step //= 2
            self._step_changed_us = now_us

    def target(self) -> int:
        """How many spare nodes are wanted: for nodes that the own zone lacks, or for requests that were rejected."""
        config = self._config
        peak = self._recent_sizes[0].up_count
        lacking = 0
        if self._own_up_count < config.short_fraction * peak:
            lacking = peak - self._own_up_count
        if not self._own_up_count:
            lacking = max(lacking, config.spare_step)  # a zone that never had a node lacks some as well
        return min(config.max_spares, max(lacking, self._rejection_step))
