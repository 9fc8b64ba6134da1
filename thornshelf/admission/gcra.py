"""Rate limits by GCRA (ITU-T I.371, annex A, the virtual scheduling form), in whole numbers.

A limit is ``count`` in ``period_us`` microseconds with room for ``burst`` at once. The theoretical arrival time is
kept in units of 1/count of a microsecond, so that no rate is rounded. A clock that stands still, is late or jumps
ahead never gives more than the burst, as time earns nothing beyond it.
"""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError


@dataclass(frozen=True, slots=True)
class Rate:
    """A limit; ``burst`` at least 1."""

    count: int
    period_us: int
    burst: int

    def __post_init__(self) -> None:
        if self.count < 1 or self.period_us < 1 or self.burst < 1:
            raise InvalidParameterError("a rate needs a count, a period and a burst of at least 1")


def next_arrival_time(rate: Rate, arrival_time: int, now_us: int) -> int | None:
    """The new theoretical arrival time where one more conforms; none where it does not.

    ``tat``: the one before, 0 where nothing was seen. In units of 1/rate.count microseconds.
    """
    now = now_us * rate.count
    arrival_time = max(arrival_time, now)
    if arrival_time - now > (rate.burst - 1) * rate.period_us:
        return None
    return arrival_time + rate.period_us


def wait_us(rate: Rate, arrival_time: int, now_us: int) -> int:
    """How long until one more would conform; 0 for at once."""
    over = arrival_time - now_us * rate.count - (rate.burst - 1) * rate.period_us
    return max(0, -(-over // rate.count))


def is_idle(rate: Rate, arrival_time: int, now_us: int) -> bool:
    """Nothing of the past counts any more: its state need not be kept."""
    return arrival_time <= now_us * rate.count
