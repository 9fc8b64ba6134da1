"""Hands batches of events to the decision module, on its clock, and contains its faults."""

from __future__ import annotations

import traceback
from collections.abc import Sequence

from thornshelf import placement as api
from thornshelf.core.ports import LogFunction
from thornshelf.errors import PlacementFaultError
from thornshelf.loop import Loop
from thornshelf.placement.placer import Placer

ROUNDING_US = 2  # added to a time of the decision module: its fraction may have been rounded down


class PlacementDriver:
    """Owns the placer and the events that it has not been given yet.

    ``unix_offset_us``: what a time of the loop's clock lacks to Unix time, in microseconds.
    """

    def __init__(self, loop: Loop, placer: Placer, log: LogFunction, unix_offset_us: int) -> None:
        self.placer = placer
        self.events: list[api.Event] = []
        self._loop = loop
        self._log = log
        self._unix_offset_us = unix_offset_us

    def unix_seconds(self, at_us: int) -> float:
        """A time on the decision module's clock: Unix time, so that all dispatchers divide quotas by one clock."""
        return (at_us + self._unix_offset_us) / 1e6

    def loop_us(self, at_s: float) -> int:
        """A time of the decision module on the loop's clock; never earlier, however its fraction was rounded."""
        return int(at_s * 1e6) - self._unix_offset_us + ROUNDING_US

    def decide(self) -> Sequence[api.Action]:
        """The actions for all pending events; a fault of the placer costs neither the process nor other tasks.

        A task that gets no answer because of such a fault is failed at its deadline.
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
        """Give the placer a ``TimerFired`` event at or after a time on its clock."""
        self._loop.at(self.loop_us(at_s), lambda: self.events.append(api.TimerFired(token)))
