"""The state that all parts of a placer share: its settings, the current time, and the actions to return."""

from __future__ import annotations

import random

from thornshelf.placement.actions import Action
from thornshelf.placement.settings import Settings

LEARNING_RATE = 0.1  # the weight of a new sample in exponential moving averages


class PlacementContext:
    """The shared state of one placer: ``Placer`` sets the fields, its parts read them and append actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0.0
        self.actions: list[Action] = []  # of the current call, in order
        self.stalled = (
            False  # the placer itself was delayed, so this call's latencies say nothing about machines
        )
        self.next_housekeeping_at = 0.0

    def request_housekeeping(self) -> None:
        """Schedule housekeeping for the end of the current call."""
        self.next_housekeeping_at = self.now
