"""Summaries of rejections for the log, instead of a line for each, so that a flood of clients does not fill the log.

Memory is bounded: a summary names only the sources with the most rejections, with a lower bound of the count of each.
"""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.admission.heavy_hitters import SpaceSavingCounter

Source = tuple[int, int]


@dataclass(frozen=True, slots=True)
class RejectionLogConfig:
    """``interval_us``: between summaries; ``top_sources``: how many each names; ``max_sources``: tracked at once."""

    interval_us: int = 1_000_000
    top_sources: int = 3
    max_sources: int = 512


@dataclass(frozen=True, slots=True)
class RejectionSummary:
    """Rejections since the last summary, by kind, and the top sources with lower bounds of their rejections."""

    counts: dict[str, int]
    known_count: int  # rejections of known sources, which an operator should look into first
    top_sources: list[tuple[Source, int]]


class RejectionLog:
    """Collects rejections, and decides when a summary of them is due."""

    def __init__(self, config: RejectionLogConfig, now_us: int = 0) -> None:
        self.config = config
        self._last_summary_us = now_us - config.interval_us
        self._counts: dict[str, int] = {}
        self._known_count = 0
        self._sources: SpaceSavingCounter[Source] = SpaceSavingCounter(config.max_sources)

    def record(self, kind: str, source: Source, known: bool, now_us: int) -> int | None:
        """Counts a rejection.

        Returns when the next summary is due if this is the first rejection since the last summary, None otherwise.
        """
        is_first = not self._counts
        self._counts[kind] = self._counts.get(kind, 0) + 1
        self._known_count += known
        self._sources.add(source)
        return max(now_us, self._last_summary_us + self.config.interval_us) if is_first else None

    def take_summary(self, now_us: int) -> RejectionSummary | None:
        """Returns the summary to log now, and starts the next one; None if nothing was rejected."""
        if not self._counts:
            return None
        candidates = self._sources.top(self.config.top_sources)
        bounds = [(source, self._sources.lower_bound(source)) for source, _ in candidates]
        top_sources = [(source, count) for source, count in bounds if count]
        summary = RejectionSummary(self._counts, self._known_count, top_sources)
        self._last_summary_us = now_us
        self._counts = {}
        self._known_count = 0
        self._sources = SpaceSavingCounter(self.config.max_sources)
        return summary


def format_source(source: Source) -> str:
    """Formats a source as an IPv4 address, as an IPv6 /64, or as the name of a shared source."""
    version, value = source
    if version == 4:
        return ".".join(str(value >> shift & 255) for shift in (24, 16, 8, 0))
    if version == 6:
        groups = [f"{value >> shift & 0xFFFF:x}" for shift in (48, 32, 16, 0)]
        return ":".join(groups) + "::/64"
    return "unreadable" if value == 0 else "others"
