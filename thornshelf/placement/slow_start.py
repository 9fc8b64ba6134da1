"""Slow start (rule 4): this placer's quota of the attempts that a machine bears shortly after its start."""

from __future__ import annotations

from collections.abc import Iterable

from thornshelf.placement.context import PlacementContext
from thornshelf.placement.machine import Machine

WINDOW_FACTOR = 1.5  # slots and windows are longer than the rule's, for attempts delayed on their way


class SlowStart:
    """Bounds own attempts to machines in slow start, so that all placers' attempts stay within the rule."""

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        self.machines: list[Machine] = []  # those that were in slow start when they were last looked through
        self.set_quota(context.settings.placers, True)

    def set_quota(self, placers: int, partition_remainder: bool) -> None:
        """Divide the permitted attempts among so many placers.

        ``partition_remainder``: all placers agree on their numbers, so the remainder is given out too.
        """
        rules = self._context.settings.rules
        self.placers = max(1, placers)
        self._partition_remainder = partition_remainder
        self.attempts_per_window, self._remainder = divmod(int(rules.slow_start_attempts), self.placers)
        self.window_s = WINDOW_FACTOR * rules.slow_start_window_s

    def update_machines(self, machines: Iterable[Machine]) -> None:
        """Look through the machines that are up for those in slow start."""
        self.machines = [machine for machine in machines if self.is_warming_up(machine)]

    def is_warming_up(self, machine: Machine) -> bool:
        """Return whether the machine started so lately that it may not run at full speed yet."""
        started_at = machine.started_at
        return started_at > 0.0 and self._context.now < started_at + self._context.settings.rules.slow_start_s

    def allows_attempt(self, machine: Machine) -> bool:
        """Return whether this placer's quota permits another attempt; refused attempts count.

        The remainder of the division is given out anew in each slot of time, to half as many placers as it
        has attempts: a window may overlap two slots.
        """
        if not self.is_warming_up(machine):
            return True
        context = self._context
        slot = int(context.now / self.window_s) if self.window_s > 0.0 else 0
        given_out = self._remainder // 2
        extra = (
            self._partition_remainder
            and (context.settings.me + machine.id + slot * given_out) % self.placers < given_out
        )
        # The extra attempt is counted in any window, not only within its slot.
        return self.attempts_in_window(machine) < self.attempts_per_window + extra

    def attempts_in_window(self, machine: Machine) -> int:
        """Return the number of own attempts in the last window, also of those before the start was listed."""
        attempts = machine.recent_attempts
        while attempts and attempts[0] <= self._context.now - self.window_s:
            attempts.popleft()
        return len(attempts)

    def record_attempt(self, machine: Machine) -> None:
        """Count an attempt; once the quota is exceeded, further attempts make no difference."""
        if self.attempts_in_window(machine) <= self.attempts_per_window:
            machine.recent_attempts.append(self._context.now)

    def assume_quota_used(self, machine: Machine) -> None:
        """Count the whole quota as used just now: an earlier process of this placer may have used it."""
        assumed_at = self._context.now - self.window_s / 3.0
        machine.recent_attempts.extend([assumed_at] * (self.attempts_per_window + 1))
