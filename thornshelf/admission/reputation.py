"""Sources that are known by their reputation: enough tasks were placed for them recently.

The counts decay: a client network that moves to another address becomes known there after a few placements, and its
old address is forgotten. The lower bound of a source's placements decides, so that a flood of new addresses can't
become known by inheriting the counts of evicted ones.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from thornshelf.admission.heavy_hitters import SpaceSavingCounter

_MAX_HALVINGS = 32


@dataclass(frozen=True, slots=True)
class ReputationConfig:
    """``known_after``: placements that make a source known; ``half_life_us``: interval at which counts are halved;
    ``max_sources``: tracked at once."""

    known_after: int = 4
    half_life_us: int = 60_000_000
    max_sources: int = 4096


class Reputation:
    """Counts placements by source."""

    def __init__(self, config: ReputationConfig, now_us: int = 0) -> None:
        self.config = config
        self._placements: SpaceSavingCounter[Hashable] = SpaceSavingCounter(config.max_sources)
        self._halved_us = now_us

    def record_placement(self, source: Hashable, now_us: int) -> None:
        """Records that a task was placed for a source."""
        self._decay(now_us)
        self._placements.add(source)

    def is_known(self, source: Hashable, now_us: int) -> bool:
        """Returns whether enough tasks were placed for a source recently."""
        self._decay(now_us)
        return self._placements.lower_bound(source) >= self.config.known_after

    def _decay(self, now_us: int) -> None:
        # This many halvings leave no count, so a longer pause needs no more steps.
        steps = min(_MAX_HALVINGS, max(0, now_us - self._halved_us) // self.config.half_life_us)
        for _ in range(steps):
            self._placements.decay()
        if steps:
            self._halved_us = now_us
