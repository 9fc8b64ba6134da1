"""Pressure, measured by how long set-ups wait in the dispatcher, after CoDel (RFC 8289, section 5).

While the shortest wait of an interval stays under the target there is none, however long the queue may be for a
moment. When it does not, set-ups are turned away one after another, faster the longer it lasts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OverloadConfig:
    """Microseconds."""

    target_us: int = 20_000
    interval_us: int = 200_000


class OverloadDetector:
    """The control law, told of each set-up's wait as it is taken from the queue."""

    def __init__(self, config: OverloadConfig) -> None:
        self.config = config
        self._overload_from_us: int | None = None  # when the wait will have been too long for an interval
        self._next_shed_us = 0
        self.shed_in_episode = 0
        self.is_overloaded = False

    def record_wait(self, wait_us: int, now_us: int) -> bool:
        """A set-up is taken from the queue; true where one that can be spared is to be turned away now."""
        terms = self.config
        if wait_us < terms.target_us:
            self._overload_from_us, self.is_overloaded = None, False
            return False
        if self._overload_from_us is None:
            self._overload_from_us = now_us + terms.interval_us
            return False
        if now_us < self._overload_from_us:
            return False
        if not self.is_overloaded:
            self.is_overloaded = True
            # Pressure that comes back soon goes on where it was.
            lately = now_us - self._next_shed_us < 8 * terms.interval_us
            self.shed_in_episode = max(1, self.shed_in_episode - 2) if lately else 1
            self._next_shed_us = now_us
        if now_us < self._next_shed_us:
            return False
        self._next_shed_us = max(now_us, self._next_shed_us) + int(
            terms.interval_us / math.sqrt(self.shed_in_episode)
        )
        self.shed_in_episode += 1
        return True

    def reset(self) -> None:
        """The queue is empty."""
        self._overload_from_us, self.is_overloaded = None, False
