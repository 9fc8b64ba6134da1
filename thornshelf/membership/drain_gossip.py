"""Tells members whose endpoint watch is unresponsive which nodes are draining or removed.

Each dispatcher numbers the events of the endpoint list from its own start, so numbers of two dispatchers cannot be
compared. Instead, reports have a node's name, the start time of its process and its stage, which only advances: up,
draining, removed. Reports only keep new offers away from a node; tasks that run there are ended only by this
dispatcher's own endpoint list. They take effect if ``MIN_REPORTERS`` members agree (one, if there is only one other).
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterator
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

GOSSIP_LIFETIME_US = 30_000_000  # how long a change is gossiped
SUFFICIENT_REPORTERS = 3  # further members do not repeat the same report
MIN_REPORTERS = 2
ROWS_PER_PAGE = 16
MAX_PAGES = 8


class NodeStage(enum.IntEnum):
    """The stage of a node's process. The values are those on the wire."""

    UP = 0
    DRAINING = 1
    REMOVED = 2


STAGE_NAMES = ("up", "draining", "gone")  # by value; shown by the shell


class NodeProgress(NamedTuple):
    """The progress of a node; the greater one is later. ``started_ms``: Unix ms, 0 if it started long ago."""

    started_ms: int
    stage: int


class DatedProgress(NamedTuple):
    """A node's progress and when this member learned of it."""

    progress: NodeProgress
    learned_us: int


class DrainRow(msgspec.Struct, frozen=True, array_like=True):
    """A node's progress in the wire format."""

    node: Annotated[str, Meta(min_length=1, max_length=64)]
    started_ms: Annotated[int, Meta(ge=0, lt=1 << 60)]
    stage: Annotated[int, Meta(ge=0, le=2)]


class ReportedProgress(NamedTuple):
    """A node's progress according to ``reporter``, which is empty for this member's own endpoint list."""

    node: str
    reporter: str
    started_ms: int
    stage: int
    is_avoided: bool


class Page(NamedTuple):
    """Identifies one entry of the replicated map, which holds a part of a member's reports."""

    writer: str
    part: int


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[DrainRow]] = msgspec.msgpack.Decoder(list[DrainRow])


class DrainGossip:
    """The progress of nodes by this member's endpoint list and by reports, and the nodes to avoid."""

    def __init__(self) -> None:
        self._own: dict[str, DatedProgress] = {}
        self._others: dict[str, dict[Page, NodeProgress]] = {}  # by node and page
        # By node: its progress in the own list when enough members last reported it.
        self._avoided: dict[str, NodeProgress] = {}
        self._pages: list[list[str]] = []  # the nodes on each published page

    def update_local(self, node: str, started_ms: int, stage: int, now_us: int) -> None:
        """Update the progress of a node by this member's own endpoint list."""
        progress = NodeProgress(started_ms, stage)
        old = self._own.get(node)
        is_changed = old is None or old.progress != progress
        if is_changed or (stage == NodeStage.REMOVED and node not in self._others):
            self._own[node] = DatedProgress(progress, now_us)

    def expire(self, now_us: int) -> None:
        """Discard nodes that were removed long ago."""
        for node, own in list(self._own.items()):
            if own.progress.stage == NodeStage.REMOVED and now_us - own.learned_us > 2 * GOSSIP_LIFETIME_US:
                del self._own[node]

    def encode_pages(self, now_us: int) -> list[bytes]:
        """Returns the encoded reports of this member by page; an empty value is an empty page."""
        due = [node for node, own in self._own.items() if self._should_publish(node, own, now_us)]
        # A node stays on its page, so that unchanged pages are not written again.
        remaining = set(due)
        self._pages = [[node for node in page if node in remaining] for page in self._pages]
        for node in due:
            if not self._is_on_page(node):
                self._add_to_page(node)
        return [self._encode_page(page) for page in self._pages]

    def _should_publish(self, node: str, own: DatedProgress, now_us: int) -> bool:
        """Returns whether to report a node. One that enough other members report is omitted."""
        return (
            own.progress.stage > NodeStage.UP
            and now_us - own.learned_us < GOSSIP_LIFETIME_US
            and (self._is_on_page(node) or self._count_agreeing(node) < SUFFICIENT_REPORTERS)
        )

    def _is_on_page(self, node: str) -> bool:
        return any(node in page for page in self._pages)

    def _add_to_page(self, node: str) -> None:
        """Add a node to the first page with space; it is omitted if all pages are full."""
        for page in self._pages:
            if len(page) < ROWS_PER_PAGE:
                page.append(node)
                return
        if len(self._pages) < MAX_PAGES:
            self._pages.append([node])

    def _encode_page(self, nodes: list[str]) -> bytes:
        rows = [DrainRow(node, *self._own[node].progress) for node in nodes]
        return _encoder.encode(rows) if rows else b""

    def _count_agreeing(self, node: str) -> int:
        """Returns how many other members report a node to be at least as far as in the own list."""
        own = self._own[node].progress
        reports = self._others.get(node, {})
        return len({page.writer for page, progress in reports.items() if progress >= own})

    def receive(self, writer: str, part: int, value: bytes) -> bool:
        """Replace a page of another member's reports; returns False if the value cannot be decoded."""
        try:
            rows = _decoder.decode(value) if value else []
        except msgspec.MsgspecError:
            return False
        page = Page(writer, part)
        self._discard([page])
        for row in rows[:ROWS_PER_PAGE]:
            if row.stage > NodeStage.UP:
                self._others.setdefault(row.node, {})[page] = NodeProgress(row.started_ms, row.stage)
        return True

    def discard_member(self, writer: str) -> None:
        """Discard the reports of a departed member."""
        reports = self._others.values()
        self._discard({page for by_page in reports for page in by_page if page.writer == writer})

    def _discard(self, pages: Collection[Page]) -> None:
        for node, by_page in list(self._others.items()):
            for page in pages:
                by_page.pop(page, None)
            if not by_page:
                del self._others[node]

    def reporters(self, node: str) -> list[str]:
        """Returns the sorted names of the members that report a node to be further than in the own list."""
        own = self._own.get(node)
        if own is None:
            return []
        reports = self._others.get(node, {})
        return sorted({page.writer for page, progress in reports.items() if progress > own.progress})

    def nodes_to_avoid(self, watch_unresponsive: bool, live: Collection[str]) -> set[str]:
        """Returns the nodes to which no new offers are made, because enough live members report that they drain.

        The set is empty while this member's own endpoint watch responds, as its list takes precedence.
        """
        if not watch_unresponsive:
            self._avoided.clear()
            return set()
        min_reporters = min(MIN_REPORTERS, max(1, len(live) - 1))
        for node in self._others:
            own = self._own.get(node)
            reporters = set(self.reporters(node)) & set(live)
            if own is not None and own.progress.stage == NodeStage.UP and len(reporters) >= min_reporters:
                self._avoided[node] = own.progress
        for node, progress in list(self._avoided.items()):
            if self.local_progress(node) != progress:
                del self._avoided[node]  # the own list has a newer state
        return set(self._avoided)

    def rows(self) -> Iterator[ReportedProgress]:
        """Yields the progress of all nodes by the own list, then by each report."""
        for node, own in list(self._own.items()):
            yield ReportedProgress(node, "", *own.progress, node in self._avoided)
        for node, reports in list(self._others.items()):
            for page, progress in reports.items():
                yield ReportedProgress(node, page.writer, *progress, node in self._avoided)

    def local_progress(self, node: str) -> NodeProgress | None:
        """Returns the progress of a node by the own endpoint list, or None if the list does not have it."""
        own = self._own.get(node)
        return None if own is None else own.progress
