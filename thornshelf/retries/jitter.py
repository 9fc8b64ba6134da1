"""Jitter for Retry-After waits, so that clients rejected at the same moment do not all return at the same moment.

Return times are assigned in evenly spaced slots, so that the number of clients that return per second is limited. The
rejections themselves are not delayed; they only state the wait.
"""

from __future__ import annotations

from dataclasses import dataclass

US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class JitterConfig:
    """Limits of the jitter.

    ``returns_per_s``: the number of clients that may return per second.
    ``max_wait_us``: the longest wait to state.
    """

    returns_per_s: int = 200
    max_wait_us: int = 3_000_000


class RetryAfterJitter:
    """Assigns a Retry-After wait to each rejected request."""

    def __init__(self, config: JitterConfig) -> None:
        self.config = config
        self._next_slot_us = 0  # the earliest free return time
        self._overflow_phase = 0  # 0 or 1; with 1, return times are shifted by half a slot

    def retry_after_us(self, base_us: int, now_us: int, priority: int = 0) -> int:
        """Return a wait in microseconds of at least ``base_us``, but never more than ``max_wait_us``.

        When all slots up to the longest wait are taken, the same range is assigned again, shifted by half a slot in
        every second round, so that returns stay evenly spread. A priority above 0 gets the base wait.
        """
        max_wait_us = max(self.config.max_wait_us, 0)
        if base_us >= max_wait_us:
            return max_wait_us
        if priority > 0:
            return base_us
        slot_us = max(1, US_PER_S // max(1, self.config.returns_per_s))
        earliest_us = now_us + base_us
        return_at_us = max(self._next_slot_us, earliest_us)
        if return_at_us > now_us + max_wait_us:
            self._overflow_phase = (self._overflow_phase + 1) % 2
            return_at_us = earliest_us + self._overflow_phase * (slot_us // 2)
        self._next_slot_us = return_at_us + slot_us
        return return_at_us - now_us
