"""A bounded history of task events, and counts of errors by code."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from thornshelf.control.shown_names import state_name
from thornshelf.errors import ERRORS_BY_CODE

MAX_DETAIL_CHARS = 200
UNSPECIFIED_REASON = "untold"  # the shown name of ``Reason.UNSPECIFIED``, which details leave out

# Time (loop's clock, microseconds), uid, idempotency key, event, machine number of a node (0: none), detail.
# The garbage collector does not track plain tuples of numbers and strings, so a long history does not slow it down.
TaskEvent = tuple[int, int, int, str, int, str]


def format_detail(detail: Iterable[object]) -> str:
    """Join the details of an event into one text. Enum members are given by their shown names."""
    texts = [state_name(item) if isinstance(item, Enum) else str(item) for item in detail]
    return " ".join(text for text in texts if text and text != UNSPECIFIED_REASON)[:MAX_DETAIL_CHARS]


class History:
    """The last ``max_events`` events of all tasks and some older ones, in pages that are read one at a time."""

    PAGE_SIZE = 512

    def __init__(self, max_events: int) -> None:
        self._max_pages = max(1, -(-max_events // self.PAGE_SIZE))
        self.pages: deque[list[TaskEvent]] = deque([[]])
        self.dropped = 0  # number of events that are no longer retained

    def record(self, at_us: int, uid: int, key: int, event: str, machine: int = 0, *detail: object) -> None:
        """Add an event; drop the oldest page if there are too many. ``machine``: 0 if no node is concerned."""
        page = self.pages[-1]
        if len(page) >= self.PAGE_SIZE:
            page = []
            self.pages.append(page)
            if len(self.pages) > self._max_pages + 1:
                self.dropped += len(self.pages.popleft())
        page.append((at_us, uid, key, event, machine, format_detail(detail) if detail else ""))


@dataclass(slots=True)
class ErrorCount:
    """The number of occurrences of an error, and the time and message of the last one."""

    count: int = 0
    last_us: int = 0
    last_text: str = ""


class ErrorCounters:
    """Counts errors by their codes in log lines, including lines that the log's rate limit suppresses."""

    def __init__(self) -> None:
        self.by_code: dict[str, ErrorCount] = {}

    def count_line(self, at_us: int, parameters: Mapping[str, object], text: str) -> None:
        """Count a log line whose parameter ``code`` is the code of an error; ignore other lines."""
        code = parameters.get("code")
        if isinstance(code, str) and code in ERRORS_BY_CODE:
            self.add(code, at_us, text)

    def add(self, code: str, at_us: int, text: str) -> None:
        """Count one occurrence of an error."""
        occurrences = self.by_code.setdefault(code, ErrorCount())
        occurrences.count += 1
        occurrences.last_us = at_us
        occurrences.last_text = text[:MAX_DETAIL_CHARS]
