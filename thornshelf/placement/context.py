"""What all parts of one placer share: its settings, the present moment, and the actions to return."""

from __future__ import annotations

import random

from thornshelf.placement.actions import Action
from thornshelf.placement.settings import Settings

LEARNING_RATE = 0.1  # the weight of a new observation in running means


class PlacementContext:
    """The shared state of one placer. ``Placer`` sets its fields; its parts read them and append actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0.0
        self.actions: list[Action] = []  # of the call in progress, in order
        self.stalled = False  # this call comes late by the placer's own fault: delays blame no machine
        self.next_housekeeping_at = 0.0

    def request_housekeeping(self) -> None:
        """Have the placer do its housekeeping at the end of this call."""
        self.next_housekeeping_at = self.now
