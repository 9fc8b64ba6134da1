"""What all placers together do to one machine, bounded: each takes turns by its number in the settings.

What is harmless from one placer (a probe four times a second, a connection at once) is a flood from a thousand. No
placer hears the others, so the bound rests on turns that are spread evenly, not on counting. Up to 16 placers, what
each does by itself stays under the bounds, and nothing is held back. Times are seconds.
"""

from __future__ import annotations

import math
from collections.abc import Collection

MAX_UNPACED_PLACERS = 16  # so many placers probe as often as each sees fit
HEALTH_CHECKS_PER_S = (
    64.0  # a suspect machine gets so many probes a second, of all placers together: 16 placers' four each
)
MAX_HEALTH_CHECK_INTERVAL_S = (
    8.0  # but a placer probes a suspect once in so long: no longer than it is shut out
)
CONNECTS_PER_S = 64.0  # a machine is called so often a second by placers that want nothing of it yet
MAX_SIMULTANEOUS_CONNECTS = 32  # placers may call it at once
MAX_RECONNECT_DELAY_S = (
    4.0  # one that is not to be reached is called again after so long: news of tasks is owed in 8 s
)


def turn_offset(me: int, machine: int, placers: int) -> float:
    """This placer's part of a machine's round, from 0 to 1: neighbours in number are neighbours in time."""
    return (me + machine) % max(1, placers) / max(1, placers)


class HealthCheckSchedule:
    """When this placer may probe which suspect: once in each of its turns there, and not in the one that runs as it
    becomes suspect, since all placers may find it suspect in the same moment."""

    def __init__(self, me: int, placers: int) -> None:
        self._me, self._placers = me, placers
        self._every = min(MAX_HEALTH_CHECK_INTERVAL_S, placers / HEALTH_CHECKS_PER_S)
        self._last: dict[int, int] = {}  # by machine: the turn that was taken last

    def retain(self, suspects: Collection[int]) -> None:
        """The others are suspect no more."""
        for machine in self._last.keys() - suspects:
            del self._last[machine]

    def is_due(self, machine: int, now: float) -> bool:
        """Whether to probe it now."""
        if self._placers <= MAX_UNPACED_PLACERS:
            return True
        turn = math.floor(now / self._every - turn_offset(self._me, machine, self._placers))
        last = self._last.setdefault(machine, turn)
        self._last[machine] = turn
        return turn > last


def initial_connect_delay_s(me: int, machine: int, placers: int) -> float:
    """How long after it is named a machine is called that nothing is wanted of yet: the most recent news is there."""
    return max(0.0, (placers - MAX_SIMULTANEOUS_CONNECTS) / CONNECTS_PER_S) * turn_offset(
        me, machine, placers
    )


def reconnect_delay_s(usual: float, placers: int) -> float:
    """How long to wait before a machine that can't be reached is called again for news of what stands there."""
    return max(usual, min(MAX_RECONNECT_DELAY_S, placers / CONNECTS_PER_S))
