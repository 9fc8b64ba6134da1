"""A bounded history of task events, and counts of errors by code."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from thornshelf.control.shown_names import state_name
from thornshelf.errors import ERRORS_BY_CODE

MAX_DETAIL_CHARS = 200
UNSPECIFIED_REASON = "untold"  # the shown name of the reason where a node gave none

# Time (loop's clock, microseconds), uid, idempotency key, event, placement's number of a node (0: none), detail.
# Plain tuples of plain values are not tracked by the garbage collector, whose passes would otherwise take longer the
# longer the history is.
TaskEvent = tuple[int, int, int, str, int, str]


def format_detail(detail: Iterable[object]) -> str:
    """The details of an event in one text; members of enums are given by their shown names."""
    texts = [state_name(item) if isinstance(item, Enum) else str(item) for item in detail]
    return " ".join(text for text in texts if text and text != UNSPECIFIED_REASON)[:MAX_DETAIL_CHARS]


class History:
    """The latest events of all tasks, in pages that readers take one at a time."""

    PAGE_SIZE = 512

    def __init__(self, max_events: int) -> None:
        self._max_pages = max(1, -(-max_events // self.PAGE_SIZE))
        self.pages: deque[list[TaskEvent]] = deque([[]])
        self.dropped = 0  # events that are not retained any more

    def record(self, at_us: int, uid: int, key: int, event: str, machine: int = 0, *detail: object) -> None:
        """Add an event; beyond the bound the oldest page is dropped."""
        page = self.pages[-1]
        if len(page) >= self.PAGE_SIZE:
            page = []
            self.pages.append(page)
            if len(self.pages) > self._max_pages + 1:
                self.dropped += len(self.pages.popleft())
        page.append((at_us, uid, key, event, machine, format_detail(detail) if detail else ""))


@dataclass(slots=True)
class ErrorCount:
    """How often an error occurred, and the last occurrence."""

    count: int = 0
    last_us: int = 0
    text: str = ""


class ErrorCounters:
    """Counts errors by code from the log lines, including those that the log's rate limit suppresses."""

    def __init__(self) -> None:
        self.by_code: dict[str, ErrorCount] = {}

    def count_line(self, at_us: int, values: Mapping[str, object], text: str) -> None:
        """Count a log line with the code of an error; ignore others."""
        code = values.get("code")
        if isinstance(code, str) and code in ERRORS_BY_CODE:
            self.add(code, at_us, text)

    def add(self, code: str, at_us: int, text: str) -> None:
        """Count one error."""
        counted = self.by_code.setdefault(code, ErrorCount())
        counted.count += 1
        counted.last_us = at_us
        counted.text = text[:MAX_DETAIL_CHARS]
