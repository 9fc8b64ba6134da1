"""Bounds how often all placers together connect to one machine.

What is harmless from one placer is a flood from a thousand. Placers do not count each other's connections;
each computes its own delay from its number in the settings, which spreads them evenly. Few placers are not
delayed. Durations are in seconds.
"""

from __future__ import annotations

CONNECTS_PER_S = 64.0  # that all placers together make to a machine they have no task for yet
MAX_SIMULTANEOUS_CONNECTS = 32  # so many placers may connect to it at once
MAX_RECONNECT_DELAY_S = 4.0  # reports on tasks that run on a machine are due within 8 s


def turn_offset(me: int, machine: int, placers: int) -> float:
    """Return this placer's position within a machine's round of all placers, from 0 to 1.

    Placers with neighbouring numbers are neighbours in time.
    """
    count = max(1, placers)
    return (me + machine) % count / count


def initial_connect_delay_s(me: int, machine: int, placers: int) -> float:
    """Return how long after a machine is first listed to connect to it, where no task is waiting for it."""
    round_s = max(0.0, (placers - MAX_SIMULTANEOUS_CONNECTS) / CONNECTS_PER_S)
    return round_s * turn_offset(me, machine, placers)


def reconnect_delay_s(usual_s: float, placers: int) -> float:
    """Return how long to wait before connecting again to a machine that could not be reached."""
    return max(usual_s, min(MAX_RECONNECT_DELAY_S, placers / CONNECTS_PER_S))
