"""Bounds how often all placers together check the health of one machine.

All placers may eject a machine at the same time, and they do not know of each other's checks. Each uses
periodic time slots, which the index of the placer spreads evenly. Durations are in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from thornshelf.placement.connect_pacing import slot_offset

MAX_UNPACED_PLACERS = 16  # up to this number, placers stay within the bound without slots
HEALTH_CHECKS_PER_S = 64.0  # of one machine, by all placers together: four each of 16 placers
MAX_HEALTH_CHECK_INTERVAL_S = 8.0  # of one placer; no longer than an ejection


class HealthCheckSchedule:
    """Decides when this placer may check the health of an ejected machine.

    It may do so once in each of its slots, beginning with the first slot after the ejection.
    """

    def __init__(self, me: int, placers: int) -> None:
        self._me = me
        self._placers = placers
        self._interval_s = min(MAX_HEALTH_CHECK_INTERVAL_S, placers / HEALTH_CHECKS_PER_S)
        self._last_slot: dict[int, int] = {}  # the last slot used, by machine id

    def retain(self, ejected: Collection[int]) -> None:
        """Discard the slots of machines that are no longer ejected."""
        for machine in self._last_slot.keys() - ejected:
            del self._last_slot[machine]

    def is_due(self, machine: int, now: float) -> bool:
        """Return whether to check the machine's health now; True uses up the slot."""
        if self._placers <= MAX_UNPACED_PLACERS:
            return True
        slot = math.floor(now / self._interval_s - slot_offset(self._me, machine, self._placers))
        last_slot = self._last_slot.setdefault(machine, slot)
        self._last_slot[machine] = slot
        return slot > last_slot
