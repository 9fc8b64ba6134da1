"""Slow start (rule 4): limits the attempts that placers send a machine shortly after its start."""

from __future__ import annotations

from collections.abc import Iterable

from thornshelf.placement.context import PlacementContext
from thornshelf.placement.machine import Machine

WINDOW_FACTOR = 1.5  # windows are longer than the rule's, as attempts may be delayed on their way


class SlowStart:
    """Limits own attempts to machines in slow start to this placer's quota of the attempts of all placers."""

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        self.machines: list[Machine] = []  # in slow start, as of the last ``update_machines``
        self.set_quota(context.settings.placers, True)

    def set_quota(self, placers: int, partition_remainder: bool) -> None:
        """Divide the permitted attempts among the placers.

        With ``partition_remainder``, all placers have distinct indices, so the remainder is given out too.
        """
        rules = self._context.settings.rules
        self.placers = max(1, placers)
        self._partition_remainder = partition_remainder
        self.attempts_per_window, self._remainder = divmod(int(rules.slow_start_attempts), self.placers)
        self.window_s = WINDOW_FACTOR * rules.slow_start_window_s

    def update_machines(self, machines: Iterable[Machine]) -> None:
        """Update the list of machines in slow start; ``machines`` are those that are up."""
        self.machines = [machine for machine in machines if self.is_warming_up(machine)]

    def is_warming_up(self, machine: Machine) -> bool:
        """Return whether the machine is in slow start, when it may not run at full speed yet."""
        started_at = machine.started_at
        return started_at > 0.0 and self._context.now < started_at + self._context.settings.rules.slow_start_s

    def allows_attempt(self, machine: Machine) -> bool:
        """Return whether this placer's quota permits another attempt; refused attempts count too.

        The remainder of the division is given to other placers in each time slot: one attempt each to half as
        many placers as the remainder, since a window may overlap two slots.
        """
        if not self.is_warming_up(machine):
            return True
        context = self._context
        slot = int(context.now / self.window_s) if self.window_s > 0.0 else 0
        extra_attempts = self._remainder // 2
        has_extra = (
            self._partition_remainder
            and (context.settings.me + machine.id + slot * extra_attempts) % self.placers < extra_attempts
        )
        # Attempts are counted per window, so an extra one does not lapse with its slot.
        return self.attempts_in_window(machine) < self.attempts_per_window + has_extra

    def attempts_in_window(self, machine: Machine) -> int:
        """Return the number of own attempts in the last window, even those before the start was listed."""
        attempts = machine.recent_attempts
        while attempts and attempts[0] <= self._context.now - self.window_s:
            attempts.popleft()
        return len(attempts)

    def record_attempt(self, machine: Machine) -> None:
        """Record an attempt; beyond the quota, further ones need no record."""
        if self.attempts_in_window(machine) <= self.attempts_per_window:
            machine.recent_attempts.append(self._context.now)

    def assume_quota_used(self, machine: Machine) -> None:
        """Count the quota as used: an earlier process of this placer may have used it before a restart."""
        assumed_at = self._context.now - self.window_s / 3.0
        machine.recent_attempts.extend([assumed_at] * (self.attempts_per_window + 1))
