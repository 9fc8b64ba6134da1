"""Rate limits by the generic cell rate algorithm (ITU-T I.371, annex A, virtual scheduling), in integers.

A rate is ``count`` events in ``period_us`` microseconds, with a burst of up to ``burst``. The theoretical arrival
time is held in units of 1/count microseconds, so that no rate is rounded. A clock that stops or jumps never allows
more than the burst at once, as idle time earns no credit beyond it.
"""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError


@dataclass(frozen=True, slots=True)
class Rate:
    """A rate limit; raises ``InvalidParameterError`` unless all three values are at least 1."""

    count: int
    period_us: int
    burst: int

    def __post_init__(self) -> None:
        if self.count < 1 or self.period_us < 1 or self.burst < 1:
            raise InvalidParameterError("a rate needs a count, a period and a burst of at least 1")


def next_arrival_time(rate: Rate, arrival_time: int, now_us: int) -> int | None:
    """Returns the new theoretical arrival time if one more event conforms to the rate now; None if it does not.

    ``arrival_time``: the previous one, 0 initially. Both are in units of 1/rate.count microseconds.
    """
    now = now_us * rate.count
    arrival_time = max(arrival_time, now)
    if arrival_time - now > (rate.burst - 1) * rate.period_us:
        return None
    return arrival_time + rate.period_us


def wait_us(rate: Rate, arrival_time: int, now_us: int) -> int:
    """Returns the microseconds until one more event would conform; 0 if it would now."""
    excess = arrival_time - now_us * rate.count - (rate.burst - 1) * rate.period_us
    return max(0, -(-excess // rate.count))


def is_idle(rate: Rate, arrival_time: int, now_us: int) -> bool:
    """Returns whether the rate has recovered, so that its arrival time is equivalent to 0 and need not be stored."""
    return arrival_time <= now_us * rate.count
