"""Divides the limits of the whole fleet by the number of members, instead of by a configured number.

There are two divisors. ``soft_divisor`` applies to limits that may be exceeded briefly (quotas of tenants, averages):
it is the number of live members. ``strict_divisor`` applies to limits that must not be exceeded (offers to nodes in
slow start). The shares of all members have to sum up to at most one, even if their views of the fleet differ:

- A member is counted from when it is first seen until it leaves gracefully. After a crash it is counted for
  ``departed_hold_us`` longer, and then dropped only by a majority (live members are more than half of those counted).
- A minority (less than half) takes no quota once half of that time has passed: before a majority could drop it.
- Members of a former minority take no quota for about the same time again: another group that is cut off now may not
  know that they are back.
- A joining member takes no quota until all others have had time to count it. One that rejoins under its former name,
  which is still counted, only waits a few seconds. In a fleet that has just started, at least the configured number
  of dispatchers is counted.

False reports have a bounded effect: the count is at most ``MAX_COUNT_FACTOR`` times the larger of the configured
number and the number of established members.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

NO_QUOTA = 1 << 30  # a divisor so large that no quota is left
MAX_COUNT_FACTOR = 2  # relative to the configured or the established members


@dataclass(frozen=True, slots=True)
class QuotaConfig:
    """The settings of the division. ``configured``: the configured number of dispatchers. Times are microseconds."""

    configured: int
    departed_hold_us: int = 60_000_000
    established_after_us: int = 15_000_000  # longer than an invented member is taken for live
    startup_us: int = 5_000_000  # a fleet whose members all have a shorter uptime is starting
    stable_after_us: int = 5_000_000  # indices are valid after this time without a change of members


@dataclass(frozen=True, slots=True)
class Quota:
    """The index of this member in the sorted list of all, and the two divisors.

    ``round_robin``: whether indivisible units may be assigned round-robin, as all members have the same indices.
    """

    index: int
    soft_divisor: int
    strict_divisor: int
    round_robin: bool


class QuotaDivision:
    """Determines the quota of this member, called ``name``."""

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
        """Mark this member as rejoining: the other members still count its former process."""
        self._is_rejoining = True

    def mark_joining(self) -> None:
        """Mark this member as joining a fleet that has been running for longer than ``startup_us``."""
        self._is_joining = True

    def member_left(self, name: str) -> None:
        """Stop counting a member, because it has left gracefully."""
        self._live_since_us.pop(name, None)
        self._departed_since_us.pop(name, None)
        self._established.discard(name)

    def quota(self, live: Collection[str], now_us: int) -> Quota:
        """Returns this member's quota. ``live``: the names of all live members, including this one."""
        config = self.config
        live_names = set(live) | {self._name}
        self._update(live_names, now_us)
        self._drop_departed(live_names, now_us)
        known = tuple(sorted([*self._live_since_us, *self._departed_since_us]))
        if known != self._last_known:
            self._last_known = known
            self._changed_us = now_us
        is_starting = now_us - self._start_us < config.startup_us
        soft_divisor = max(self._bounded_count(len(live_names)), config.configured if is_starting else 1)
        strict_divisor = max(soft_divisor, self._bounded_count(len(known)))
        if self._is_minority(live_names, now_us):
            self._minority_us = now_us
        minority_hold_us = config.departed_hold_us // 2 + config.startup_us
        if now_us - self._minority_us < minority_hold_us or self._has_joined_recently(now_us):
            strict_divisor = NO_QUOTA
        is_stable = now_us - self._changed_us >= config.stable_after_us
        round_robin = is_stable and strict_divisor == len(known)
        return Quota(known.index(self._name), soft_divisor, strict_divisor, round_robin)

    def _update(self, live_names: set[str], now_us: int) -> None:
        """Update since when each member is live or departed, and which members are established."""
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

    def _bounded_count(self, count: int) -> int:
        return min(count, MAX_COUNT_FACTOR * max(self.config.configured, len(self._established)))

    def _known_count(self) -> int:
        return len(self._live_since_us) + len(self._departed_since_us)

    def _drop_departed(self, live_names: set[str], now_us: int) -> None:
        """Drop members that departed ``departed_hold_us`` ago, if the live ones are the majority."""
        if 2 * len(live_names) <= self._known_count():
            return
        for name, since_us in list(self._departed_since_us.items()):
            if now_us - since_us >= self.config.departed_hold_us:
                self.member_left(name)

    def _is_minority(self, live_names: set[str], now_us: int) -> bool:
        """Returns whether the live members are a minority that the other members may drop soon."""
        if 2 * len(live_names) >= self._known_count():
            return False
        limit_us = self.config.departed_hold_us // 2
        return any(now_us - since_us >= limit_us for since_us in self._departed_since_us.values())

    def _has_joined_recently(self, now_us: int) -> bool:
        """Returns whether this member joined so recently that others may not count it yet."""
        if self._is_rejoining:
            hold_us = self.config.startup_us
        else:
            # By then, a member that was cut off before it saw this one no longer takes a quota.
            hold_us = self.config.departed_hold_us // 2 + 2 * self.config.startup_us
        return self._is_joining and now_us - self._start_us < hold_us
