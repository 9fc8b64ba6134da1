"""Divides what all dispatchers together may do by the live members, instead of by a configured number.

There are two divisors. ``soft_divisor`` divides what may be exceeded for a moment (quotas of tenants, averages): it
is the number of live members. ``strict_divisor`` divides what must never be exceeded (offers to nodes in slow start),
so that the quotas of all members, whatever each of them sees, sum up to one at most:

- A member counts from the moment that it is seen, and until it has left gracefully, or has been away for
  ``departed_hold_us`` while the live members are more than half of all.
- A half or less of the members drops nobody, and less than half takes no quota from half of that time on: before the
  other members, should they be alive, drop them.
- Members that were less than half, and are no longer, wait as long again: one that is now cut off in their place may
  not know that they are back.
- A joining member takes no quota until all others have long seen it, and one that rejoins under its name none for a
  few seconds. In a fleet that has just started all configured dispatchers count.

What false reports can do is bounded: members are counted up to twice the larger of the configured number and the
number of established members.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

NO_QUOTA = 1 << 30  # a divisor that leaves nothing
MAX_COUNT_FACTOR = 2  # members are counted up to so many times the configured or the established ones


@dataclass(frozen=True, slots=True)
class QuotaConfig:
    """``configured``: the number of dispatchers by the settings. Times are microseconds."""

    configured: int
    departed_hold_us: int = 60_000_000
    established_after_us: int = 15_000_000  # an invented member does not stay live for so long
    startup_us: int = 5_000_000  # a fleet in which no member has run for longer has just started
    stable_after_us: int = 5_000_000  # indices are valid only where the members have not changed for so long


@dataclass(frozen=True, slots=True)
class Quota:
    """This member's index among all, and the two divisors.

    ``round_robin``: what cannot be divided may be dealt in turns, as all members see the same indices.
    """

    index: int
    soft_divisor: int
    strict_divisor: int
    round_robin: bool


class QuotaDivision:
    """Determines the quota of this member."""

    def __init__(self, config: QuotaConfig, name: str, now_us: int) -> None:
        self.config = config
        self._name = name
        self._start_us = now_us
        self._live_since_us: dict[str, int] = {}
        self._departed_since_us: dict[str, int] = {}
        self._established: set[str] = set()
        self._last_known: tuple[str, ...] = ()
        self._changed_us = now_us
        self._is_rejoining = False
        self._is_joining = False
        self._minority_us = -config.departed_hold_us  # when the live members last were a minority

    def mark_rejoined(self) -> None:
        """This member's name was known: a former process of it still counts at the other members."""
        self._is_rejoining = True

    def mark_joining(self) -> None:
        """Other members have run for longer than a fleet takes to start: this member is new among them."""
        self._is_joining = True

    def member_left(self, name: str) -> None:
        """A member has left gracefully: it counts no more at once."""
        self._live_since_us.pop(name, None)
        self._departed_since_us.pop(name, None)
        self._established.discard(name)

    def quota(self, live: Collection[str], now_us: int) -> Quota:
        """This member's quota. ``live``: the names of all live members, this one among them."""
        config = self.config
        live_names = set(live) | {self._name}
        self._update(live_names, now_us)
        self._drop_departed(live_names, now_us)
        known = tuple(sorted([*self._live_since_us, *self._departed_since_us]))
        if known != self._last_known:
            self._last_known = known
            self._changed_us = now_us
        is_starting = now_us - self._start_us < config.startup_us
        soft_divisor = max(self._bounded(len(live_names)), config.configured if is_starting else 1)
        strict_divisor = max(soft_divisor, self._bounded(len(known)))
        if self._is_minority(live_names, now_us):
            self._minority_us = now_us
        minority_hold_us = config.departed_hold_us // 2 + config.startup_us
        if now_us - self._minority_us < minority_hold_us or self._is_new(now_us):
            strict_divisor = NO_QUOTA
        is_stable = now_us - self._changed_us >= config.stable_after_us
        round_robin = is_stable and strict_divisor == len(known)
        return Quota(known.index(self._name), soft_divisor, strict_divisor, round_robin)

    def _update(self, live_names: set[str], now_us: int) -> None:
        """Note since when each member is live or away, and which ones are established."""
        for name in live_names:
            if name not in self._live_since_us:
                self._departed_since_us.pop(name, None)
                self._live_since_us[name] = now_us
        for name, since_us in list(self._live_since_us.items()):
            if name not in live_names:
                del self._live_since_us[name]
                self._departed_since_us[name] = now_us
            elif now_us - since_us >= self.config.established_after_us or name == self._name:
                self._established.add(name)

    def _bounded(self, count: int) -> int:
        return min(count, MAX_COUNT_FACTOR * max(self.config.configured, len(self._established)))

    def _known_count(self) -> int:
        return len(self._live_since_us) + len(self._departed_since_us)

    def _drop_departed(self, live_names: set[str], now_us: int) -> None:
        """Drop members that are away for good, where the live ones are the majority."""
        if 2 * len(live_names) <= self._known_count():
            return
        for name, since_us in list(self._departed_since_us.items()):
            if now_us - since_us >= self.config.departed_hold_us:
                self.member_left(name)

    def _is_minority(self, live_names: set[str], now_us: int) -> bool:
        """Whether less than half are live, and for so long that the other members may soon drop them."""
        if 2 * len(live_names) >= self._known_count():
            return False
        limit_us = self.config.departed_hold_us // 2
        return any(now_us - since_us >= limit_us for since_us in self._departed_since_us.values())

    def _is_new(self, now_us: int) -> bool:
        """Whether this member has joined so recently that others may not count it yet."""
        if self._is_rejoining:
            hold_us = self.config.startup_us
        else:
            # A member that was cut off before it had seen this one takes no quota any more by then.
            hold_us = self.config.departed_hold_us // 2 + 2 * self.config.startup_us
        return self._is_joining and now_us - self._start_us < hold_us
