"""Summaries of rejections for the log, in place of a line for each: a flood of clients must not fill the log.

Bounded in memory: a summary names the sources with the most rejections, and a lower bound of the count of each.
"""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.admission.heavy_hitters import SpaceSavingCounter

Source = tuple[int, int]


@dataclass(frozen=True, slots=True)
class RejectionLogConfig:
    """``interval_us``: between two summaries; ``top_sources``: named in each; ``max_sources``: counted apart."""

    interval_us: int = 1_000_000
    top_sources: int = 3
    max_sources: int = 512


@dataclass(frozen=True, slots=True)
class RejectionSummary:
    """Rejections since the last summary, by kind; the top sources with a lower bound of their rejections."""

    counts: dict[str, int]
    known_count: int  # of known sources: what an operator should look at first
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
        """Counts a rejection; returns when a summary is due if this is the first since the last one."""
        is_first = not self._counts
        self._counts[kind] = self._counts.get(kind, 0) + 1
        self._known_count += known
        self._sources.add(source)
        return max(now_us, self._last_summary_us + self.config.interval_us) if is_first else None

    def take_summary(self, now_us: int) -> RejectionSummary | None:
        """The summary to log now, and a new start; None without rejections."""
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
    """A source as an IPv4 address, as an IPv6 /64, or as the name of a shared source."""
    version, value = source
    if version == 4:
        return ".".join(str(value >> shift & 255) for shift in (24, 16, 8, 0))
    if version == 6:
        groups = [f"{value >> shift & 0xFFFF:x}" for shift in (48, 32, 16, 0)]
        return ":".join(groups) + "::/64"
    return "unreadable" if value == 0 else "others"
