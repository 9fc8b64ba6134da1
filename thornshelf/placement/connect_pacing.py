"""Bounds how often all placers together connect to one machine.

Connects that are harmless from one placer are a flood from a thousand. Placers do not know of each other's
connections. Each computes its own delay from its index in the settings,
which spreads them evenly over time; a small number of placers is not delayed. Durations are in seconds.
"""

from __future__ import annotations

CONNECTS_PER_S = 64.0  # to one machine, by all placers together, where no task waits
MAX_SIMULTANEOUS_CONNECTS = 32  # placers that may connect to a machine at once
MAX_RECONNECT_DELAY_S = 4.0  # leaves time for reports on running tasks, due within 8 s


def slot_offset(me: int, machine: int, placers: int) -> float:
    """Return this placer's position, from 0 to 1, in the cycle in which all placers use one machine.

    Placers with adjacent indices have adjacent positions.
    """
    count = max(1, placers)
    return (me + machine) % count / count


def initial_connect_delay_s(me: int, machine: int, placers: int) -> float:
    """Return the delay of the first connect after a machine is first listed, if no task waits for it."""
    cycle_s = max(0.0, (placers - MAX_SIMULTANEOUS_CONNECTS) / CONNECTS_PER_S)
    return cycle_s * slot_offset(me, machine, placers)


def reconnect_delay_s(usual_s: float, placers: int) -> float:
    """Return the delay before the next connect to an unreachable machine; ``usual_s`` is the minimum."""
    return max(usual_s, min(MAX_RECONNECT_DELAY_S, placers / CONNECTS_PER_S))
