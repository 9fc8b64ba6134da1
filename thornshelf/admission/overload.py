"""Overload detection by the time that requests wait in the queue, after CoDel (RFC 8289, section 5).

There is an overload when all waits of an interval have reached the target; a queue that is long only for a moment
does not count. During an overload requests are shed one after another, at a rate that grows while it lasts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# An overload that returns within this many intervals resumes at nearly the rate of shedding reached before.
_RESUME_INTERVALS = 8


@dataclass(frozen=True, slots=True)
class OverloadConfig:
    """``target_us``: shorter waits are acceptable; ``interval_us``: how long waits must reach it for an overload."""

    target_us: int = 20_000
    interval_us: int = 200_000


class OverloadDetector:
    """Detects overload from the wait of each request that is taken from the queue, and paces the shedding."""

    def __init__(self, config: OverloadConfig) -> None:
        self.config = config
        self.shed_in_episode = 0
        self.is_overloaded = False
        # When the waits will have reached the target for an interval; None while they are acceptable.
        self._overload_from_us: int | None = None
        self._next_shed_us = 0

    def record_wait(self, wait_us: int, now_us: int) -> bool:
        """Records the wait of a request taken from the queue; returns whether to shed another request now."""
        if wait_us < self.config.target_us:
            self.reset()
            return False
        if self._overload_from_us is None:
            self._overload_from_us = now_us + self.config.interval_us
            return False
        if now_us < self._overload_from_us:
            return False
        if not self.is_overloaded:
            self._begin_episode(now_us)
        if now_us < self._next_shed_us:
            return False
        pause_us = int(self.config.interval_us / math.sqrt(self.shed_in_episode))
        self._next_shed_us = max(now_us, self._next_shed_us) + pause_us
        self.shed_in_episode += 1
        return True

    def reset(self) -> None:
        """Ends an overload, as the queue is empty or the wait acceptable."""
        self._overload_from_us = None
        self.is_overloaded = False

    def _begin_episode(self, now_us: int) -> None:
        """Begins an overload, at nearly the previous rate of shedding if the last one ended recently."""
        self.is_overloaded = True
        is_resumed = now_us - self._next_shed_us < _RESUME_INTERVALS * self.config.interval_us
        self.shed_in_episode = max(1, self.shed_in_episode - 2) if is_resumed else 1
        self._next_shed_us = now_us
