"""Whose share of what all dispatchers together may do is how large, by the live members instead of a fixed number.

Two figures. ``placers`` divides what may be exceeded for a moment (tenants' quotas, averages): the live members.
``cold`` divides what must never be exceeded (offers to cold nodes), so that the shares of all members, whatever each
sees, sum up to one at most:

- A member counts from the moment that it is seen, and until it has left in order, or has been gone for ``hold_us``
  while those that are there are more than half of all.
- Those that are half or fewer drop nobody, and those that are fewer than half take no share from half of that time
  on: before the others, should they live, drop them.
- Those that were fewer than half, and are no longer, wait as long again: one that is now cut off in their stead may
  not know that they are back.
- A newcomer takes none until all others have long seen it, and one that comes back under its name none for a few
  seconds. In a fleet that has just begun all count as configured.

What hearsay can do is bounded: members are counted up to twice the larger of the configured number and of those that
have been there for a while.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

NO_QUOTA = 1 << 30  # a share of nothing


@dataclass(frozen=True, slots=True)
class QuotaConfig:
    """``configured``: dispatchers by the settings; times in microseconds."""

    configured: int
    departed_hold_us: int = 60_000_000
    established_after_us: int = (
        15_000_000  # a member that was there for so long is one; an invented one is not by then
    )
    startup_us: int = 5_000_000  # a fleet in which nobody has run longer has just begun
    stable_after_us: int = (
        5_000_000  # what is dealt in turns is dealt only where nothing has changed for so long
    )


@dataclass(frozen=True, slots=True)
class Quota:
    """This member's place among so many, for what may and for what must not be exceeded; ``deal``: turns hold."""

    index: int
    soft_divisor: int
    strict_divisor: int
    round_robin: bool


class QuotaDivision:
    """Works out this member's share."""

    def __init__(self, terms: QuotaConfig, name: str, now_us: int) -> None:
        self.config, self._name = terms, name
        self._start_us = now_us
        self._since: dict[str, int] = {}  # live without a break since then, or gone since then, below 0
        self._proven: dict[str, None] = {}  # those that have been there for a while
        self._last: tuple[str, ...] = ()
        self._changed_us = now_us
        self._returns = self._joins = False
        self._alone_us = -terms.departed_hold_us  # when it last was among the fewer

    def mark_rejoined(self) -> None:
        """This member's name was known: a former process of it still counts at the others."""
        self._returns = True

    def mark_joining(self) -> None:
        """Others have been there for longer than a fleet takes to begin: this member is new among them."""
        self._joins = True

    def member_left(self, name: str) -> None:
        """A member ended in order: it takes its share with it at once."""
        self._since.pop(name, None)
        self._proven.pop(name, None)

    def quota(self, live: Collection[str], now_us: int) -> Quota:
        """This member's share; ``live``: all that are there, this one among them."""
        terms, there = self.config, set(live) | {self._name}
        for name in there:
            if self._since.get(name, -1) < 0:
                self._since[name] = now_us
        for name, since in list(self._since.items()):
            if name in there:
                if now_us - since >= terms.established_after_us or name == self._name:
                    self._proven[name] = None
            elif since >= 0:
                self._since[name] = -now_us - 1
        self._drop(there, now_us)
        known = tuple(sorted(self._since))
        if known != self._last:
            self._last, self._changed_us = known, now_us
        count = self._capped(len(there))
        placers = max(count, terms.configured if now_us - self._start_us < terms.startup_us else 1)
        cold = max(placers, self._capped(len(known)))
        if self._alone(there, now_us):
            self._alone_us = now_us
        if now_us - self._alone_us < terms.departed_hold_us // 2 + terms.startup_us or self._is_new(now_us):
            cold = NO_QUOTA
        deal = now_us - self._changed_us >= terms.stable_after_us and cold == len(known)
        return Quota(known.index(self._name), placers, cold, deal)

    def _capped(self, count: int) -> int:
        return min(count, 2 * max(self.config.configured, len(self._proven)))

    def _drop(self, there: set[str], now_us: int) -> None:
        """Those that are gone for good, where those that are there are the majority."""
        if 2 * len(there) <= len(self._since):
            return
        for name, since in list(self._since.items()):
            if since < 0 and now_us + since + 1 >= self.config.departed_hold_us:
                self.member_left(name)

    def _alone(self, there: set[str], now_us: int) -> bool:
        """Fewer than half are there, and for so long that the others may soon drop them."""
        gone = [-since - 1 for since in self._since.values() if since < 0]
        few = 2 * len(there) < len(self._since)
        return few and any(now_us - since >= self.config.departed_hold_us // 2 for since in gone)

    def _is_new(self, now_us: int) -> bool:
        # One that was cut off before it had seen the newcomer takes no share any more by then.
        time = (
            self.config.startup_us
            if self._returns
            else self.config.departed_hold_us // 2 + 2 * self.config.startup_us
        )
        return self._joins and now_us - self._start_us < time
