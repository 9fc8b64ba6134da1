"""Which nodes are draining or gone, from members with a working endpoint watch to those whose watch is silent.

Every start of a dispatcher numbers the events of the endpoint list anew, so that numbers of two dispatchers cannot be
compared. What is compared is a node's name, the start of its process and its stage, which only moves forward: up,
draining, gone. Reports of others keep new offers away from a node and do no more: tasks that run there are ended by
this dispatcher's own endpoint list only. Two members have to report it, where there are two others.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterator
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

GOSSIP_LIFETIME_US = 30_000_000  # a change is gossiped for so long
SUFFICIENT_REPORTERS = 3  # members that report the same: no more need to
MIN_REPORTERS = 2
ROWS_PER_PAGE = 16
MAX_PAGES = 8


class NodeStage(enum.IntEnum):
    """The stage of a node's process. The values are those on the wire."""

    UP = 0
    DRAINING = 1
    REMOVED = 2


STAGE_NAMES = ("up", "draining", "gone")  # by value, as the shell shows them


class NodeProgress(NamedTuple):
    """How far a node is; the greater one is the later. ``started_ms``: Unix ms, 0 for a start long ago."""

    started_ms: int
    stage: int


class DatedProgress(NamedTuple):
    """A node's progress, and when this member learned of it."""

    progress: NodeProgress
    learned_us: int


class DrainRow(msgspec.Struct, frozen=True, array_like=True):
    """One node's progress on the wire."""

    node: Annotated[str, Meta(min_length=1, max_length=64)]
    started_ms: Annotated[int, Meta(ge=0, lt=1 << 60)]
    stage: Annotated[int, Meta(ge=0, le=2)]


class ReportedProgress(NamedTuple):
    """A node's progress by one reporter, which is empty for the own endpoint list."""

    node: str
    reporter: str
    started_ms: int
    stage: int
    is_avoided: bool


class Page(NamedTuple):
    """One entry of the replicated map: a part of what a member reports."""

    writer: str
    part: int


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[DrainRow]] = msgspec.msgpack.Decoder(list[DrainRow])


class DrainGossip:
    """What the own endpoint list says, what other members report, and which nodes are avoided therefore."""

    def __init__(self) -> None:
        self._own: dict[str, DatedProgress] = {}
        self._others: dict[str, dict[Page, NodeProgress]] = {}  # by node
        self._avoided: dict[str, NodeProgress] = {}  # with the own list's progress at that time
        self._pages: list[list[str]] = []

    def update_own(self, node: str, started_ms: int, stage: int, now_us: int) -> None:
        """Take over what the own endpoint list says."""
        progress = NodeProgress(started_ms, stage)
        old = self._own.get(node)
        is_changed = old is None or old.progress != progress
        if is_changed or (stage == NodeStage.REMOVED and node not in self._others):
            self._own[node] = DatedProgress(progress, now_us)

    def expire(self, now_us: int) -> None:
        """Discard nodes that are long gone."""
        for node, own in list(self._own.items()):
            if own.progress.stage == NodeStage.REMOVED and now_us - own.learned_us > 2 * GOSSIP_LIFETIME_US:
                del self._own[node]

    def encode_pages(self, now_us: int) -> list[bytes]:
        """What this member reports, by pages."""
        due = [node for node, own in self._own.items() if self._is_published(node, own, now_us)]
        # A node stays on its page, so that a page that has not changed is not written again.
        remaining = set(due)
        self._pages = [[node for node in page if node in remaining] for page in self._pages]
        for node in due:
            if not self._is_on_page(node):
                self._add_to_page(node)
        return [self._encode_page(page) for page in self._pages]

    def _is_published(self, node: str, own: DatedProgress, now_us: int) -> bool:
        """Whether a node is reported: one that enough other members report is left to them."""
        return (
            own.progress.stage > NodeStage.UP
            and now_us - own.learned_us < GOSSIP_LIFETIME_US
            and (self._is_on_page(node) or self._count_agreeing(node) < SUFFICIENT_REPORTERS)
        )

    def _is_on_page(self, node: str) -> bool:
        return any(node in page for page in self._pages)

    def _add_to_page(self, node: str) -> None:
        """Put a node on the first page with space, if there is one."""
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
        """How many other members report a node as far as the own list has it, or further."""
        own = self._own[node].progress
        reports = self._others.get(node, {})
        return len({page.writer for page, progress in reports.items() if progress >= own})

    def receive(self, writer: str, part: int, value: bytes) -> bool:
        """Take over a page of another member's reports; returns False where it cannot be decoded."""
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
        """Discard the reports of a member that is gone."""
        reports = self._others.values()
        self._discard({page for by_page in reports for page in by_page if page.writer == writer})

    def _discard(self, pages: Collection[Page]) -> None:
        for node, by_page in list(self._others.items()):
            for page in pages:
                by_page.pop(page, None)
            if not by_page:
                del self._others[node]

    def reporters(self, node: str) -> list[str]:
        """The members that report a node as further than the own list has it."""
        own = self._own.get(node)
        if own is None:
            return []
        reports = self._others.get(node, {})
        return sorted({page.writer for page, progress in reports.items() if progress > own.progress})

    def nodes_to_avoid(self, watch_unresponsive: bool, live: Collection[str]) -> set[str]:
        """The nodes that nothing new may be offered to, as enough live members report that they drain.

        None while the own endpoint watch works: then its list alone counts.
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
            if self.own_progress(node) != progress:
                del self._avoided[node]  # the own list has moved on
        return set(self._avoided)

    def rows(self) -> Iterator[ReportedProgress]:
        """The progress of all nodes, by the own list and by each report."""
        for node, own in list(self._own.items()):
            yield ReportedProgress(node, "", *own.progress, node in self._avoided)
        for node, reports in list(self._others.items()):
            for page, progress in reports.items():
                yield ReportedProgress(node, page.writer, *progress, node in self._avoided)

    def own_progress(self, node: str) -> NodeProgress | None:
        """The progress of a node by the own endpoint list."""
        own = self._own.get(node)
        return None if own is None else own.progress
