"""What operators are told of a flood: a summary a second, by heaviest source, instead of a line a refusal.

Bounded whatever comes: the sketch names the heaviest sources, and says at least how often each was turned away.
"""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.admission.heavy_hitters import SpaceSavingCounter

Source = tuple[int, int]


@dataclass(frozen=True, slots=True)
class RejectionLogConfig:
    """``every_us``: between two summaries; ``named``: sources in each; ``size``: sources that are told apart."""

    interval_us: int = 1_000_000
    top_sources: int = 3
    max_sources: int = 512


@dataclass(frozen=True, slots=True)
class RejectionSummary:
    """Refusals since the last one, by kind, and the heaviest sources with the least that each had."""

    counts: dict[str, int]
    known_count: int  # of these, refusals of known sources: what an operator should look at first
    top_sources: list[tuple[Source, int]]


class RejectionLog:
    """Collects refusals, and says when they are to be told."""

    def __init__(self, config: RejectionLogConfig, now_us: int = 0) -> None:
        self.config = config
        self._told_us = now_us - config.interval_us
        self._clear()

    def _clear(self) -> None:
        self._refused: dict[str, int] = {}
        self._known = 0
        self._sources: SpaceSavingCounter[Source] = SpaceSavingCounter(self.config.max_sources)

    def record(self, kind: str, source: Source, known: bool, now_us: int) -> int | None:
        """One more; when a summary is due, where none was before: the first is told at once."""
        first = not self._refused
        self._refused[kind] = self._refused.get(kind, 0) + 1
        self._known += known
        self._sources.add(source)
        return max(now_us, self._told_us + self.config.interval_us) if first else None

    def take_summary(self, now_us: int) -> RejectionSummary | None:
        """What is to be told now; none where nothing was refused."""
        if not self._refused:
            return None
        heaviest = [
            (source, self._sources.lower_bound(source))
            for source, _ in self._sources.top(self.config.top_sources)
        ]
        found = RejectionSummary(self._refused, self._known, [one for one in heaviest if one[1]])
        self._told_us = now_us
        self._clear()
        return found


def format_source(source: Source) -> str:
    """A source as an address, or a /64."""
    version, value = source
    if version == 4:
        return ".".join(str(value >> shift & 255) for shift in (24, 16, 8, 0))
    if version == 6:
        groups = [f"{value >> shift & 0xFFFF:x}" for shift in (48, 32, 16, 0)]
        return ":".join(groups) + "::/64"
    return "unreadable" if value == 0 else "others"
