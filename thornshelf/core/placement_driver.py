"""Passes batches of events to the decision module, converts between clocks, and catches its exceptions."""

from __future__ import annotations

import traceback
from collections.abc import Sequence

from thornshelf import placement as api
from thornshelf.core.ports import LogFunction
from thornshelf.errors import PlacementFaultError
from thornshelf.loop import Loop
from thornshelf.placement.placer import Placer

ROUNDING_MARGIN_US = 2  # covers the rounding of the decision module's fractional seconds


class PlacementDriver:
    """Owns the placer and the events that are pending for it.

    ``unix_offset_us`` is added to a time on the loop's clock to get Unix time, in microseconds.
    """

    def __init__(self, loop: Loop, placer: Placer, log: LogFunction, unix_offset_us: int) -> None:
        self.placer = placer
        self.events: list[api.Event] = []
        self._loop = loop
        self._log = log
        self._unix_offset_us = unix_offset_us

    def unix_seconds(self, at_us: int) -> float:
        """Convert a loop time to Unix seconds, the clock that all dispatchers share to divide quotas."""
        return (at_us + self._unix_offset_us) / 1e6

    def loop_us(self, at_s: float) -> int:
        """Convert Unix seconds to a loop time that is never earlier, however the seconds were rounded."""
        return int(at_s * 1e6) - self._unix_offset_us + ROUNDING_MARGIN_US

    def decide(self) -> Sequence[api.Action]:
        """Pass all pending events to the placer and return its actions.

        An exception in the placer is logged, and the actions that it produced so far are returned. Tasks that get no
        answer because of it fail at their deadline.
        """
        if not self.events:
            return ()
        events = self.events
        self.events = []
        try:
            return self.placer.handle(self.unix_seconds(self._loop.now), events)
        except Exception as fault:
            text = "".join(traceback.format_exception(fault)).replace("\n", " | ")
            values: dict[str, object] = {"code": PlacementFaultError.code, "type": type(fault).__name__}
            self._log(3, "placement-failed", values, text)
            return self.placer.actions

    def set_timer(self, at_s: float, token: int) -> None:
        """Set a timer that adds a ``TimerFired`` event for the placer at ``at_s`` Unix seconds or later."""
        self._loop.call_at(self.loop_us(at_s), lambda: self.events.append(api.TimerFired(token)))
