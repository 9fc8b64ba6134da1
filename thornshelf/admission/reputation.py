"""Sources that are known by their conduct: tasks were placed for them lately.

Bounded and decaying: a county that moves to another address is known there after a few placings, and one that is
gone is forgotten. Only what can't be another source's counts, so that a crowd of addresses can't make itself known
by pushing others out.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from thornshelf.admission.heavy_hitters import SpaceSavingCounter


@dataclass(frozen=True, slots=True)
class ReputationConfig:
    """``placed``: so many tasks placed make a source known; ``half_life_us``: after which they count half."""

    known_after: int = 4
    half_life_us: int = 60_000_000
    max_sources: int = 4096


class Reputation:
    """Who is known."""

    def __init__(self, config: ReputationConfig, now_us: int = 0) -> None:
        self.config = config
        self._placements: SpaceSavingCounter[Hashable] = SpaceSavingCounter(config.max_sources)
        self._halved_us = now_us

    def record_placement(self, source: Hashable, now_us: int) -> None:
        """A task was placed for a source."""
        self._decay(now_us)
        self._placements.add(source)

    def is_known(self, source: Hashable, now_us: int) -> bool:
        """It has had tasks placed lately."""
        self._decay(now_us)
        return self._placements.lower_bound(source) >= self.config.known_after

    def _decay(self, now_us: int) -> None:
        # A long gap is a few halvings, not one for each half-life that has passed.
        steps = min(32, max(0, now_us - self._halved_us) // self.config.half_life_us)
        for _ in range(steps):
            self._placements.decay()
        if steps:
            self._halved_us = now_us
