"""Bounds how often all placers together check the health of one machine.

All placers may eject a machine in the same moment. They do not count each other's checks; each takes turns
that are spread evenly by its number in the settings. Durations are in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from thornshelf.placement.connect_pacing import turn_offset

MAX_UNPACED_PLACERS = 16  # so few stay within the bound without taking turns
HEALTH_CHECKS_PER_S = 64.0  # for one machine, from all placers together: four each of 16 placers
MAX_HEALTH_CHECK_INTERVAL_S = 8.0  # of one placer: no longer than an ejection lasts


class HealthCheckSchedule:
    """Decides when this placer may check the health of which ejected machine.

    It may do so once in each of its turns, except in the turn during which the machine is ejected.
    """

    def __init__(self, me: int, placers: int) -> None:
        self._me = me
        self._placers = placers
        self._interval_s = min(MAX_HEALTH_CHECK_INTERVAL_S, placers / HEALTH_CHECKS_PER_S)
        self._last_turn: dict[int, int] = {}  # the turn last taken, by machine

    def retain(self, ejected: Collection[int]) -> None:
        """Discard the turns of all machines but the ejected ones."""
        for machine in self._last_turn.keys() - ejected:
            del self._last_turn[machine]

    def is_due(self, machine: int, now: float) -> bool:
        """Return whether to check the machine's health now, and use up the turn if so."""
        if self._placers <= MAX_UNPACED_PLACERS:
            return True
        turn = math.floor(now / self._interval_s - turn_offset(self._me, machine, self._placers))
        last = self._last_turn.setdefault(machine, turn)
        self._last_turn[machine] = turn
        return turn > last
