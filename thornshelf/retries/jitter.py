"""When refused tasks are told to come again: spread, so that a crowd that was refused together does not return
together.

Places in time are given out one after another, so far apart that no more return a second than the fleet has been
seen to take. Nothing is held back by this: the refusal leaves at once, and names the wait.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JitterConfig:
    """``returns_per_s``: returns a second at most; ``longest_us``: no wait is longer (clients follow no more)."""

    returns_per_s: int = 200
    max_wait_us: int = 3_000_000


class RetryAfterJitter:
    """Gives out waits."""

    def __init__(self, config: JitterConfig) -> None:
        self.config = config
        self._next_slot_us = 0  # the next free place
        self._overflow_phase = 0

    def retry_after_us(self, base_us: int, now_us: int, priority: int = 0) -> int:
        """A wait in microseconds: at least ``base_us``, but never more than the longest.

        Where the places up to the longest wait are all given, later ones are dealt over the same stretch again,
        shifted by half a place, so that the crowd stays even. A higher priority keeps the base.
        """
        longest = max(self.config.max_wait_us, 0)
        if base_us >= longest:
            return longest
        if priority > 0:
            return base_us
        step = max(1, 1_000_000 // max(1, self.config.returns_per_s))
        at = max(self._next_slot_us, now_us + base_us)
        if at > now_us + longest:
            self._overflow_phase = (self._overflow_phase + 1) % 2
            at = now_us + base_us + self._overflow_phase * (step // 2)
        self._next_slot_us = at + step
        return at - now_us
