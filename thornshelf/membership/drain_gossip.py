"""News of the list, from those whose change log speaks to those whose change log is silent.

Every start of a dispatcher numbers the list's events anew, so numbers of two dispatchers say nothing of each other.
News is compared by the node's name, its process's start and the place in its life, which only moves forward: in
service, draining, gone. What comes from others keeps offers away from a node and does no more: tasks there are ended
by nobody's word but the own list's. Two members have to say it, where there are two others.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import Annotated

import msgspec
from msgspec import Meta

UP, DRAINING, GONE = 0, 1, 2
STAGE_NAMES = ("up", "draining", "gone")
GOSSIP_LIFETIME_US = 30_000_000  # news is passed on for so long
SILENT_US = 1_000_000  # a change log that has not answered for so long beyond its time is silent
SUFFICIENT_REPORTERS = 3  # members who say a thing already
ROWS_PER_PAGE, MAX_PAGES = 16, 8

NodeProgress = tuple[int, int]  # the process's start, Unix ms (0: long ago), and the place in its life


class DrainRow(msgspec.Struct, frozen=True, array_like=True):
    """One node's place in its life."""

    node: Annotated[str, Meta(min_length=1, max_length=64)]
    started_ms: Annotated[int, Meta(ge=0, lt=1 << 60)]
    stage: Annotated[int, Meta(ge=0, le=2)]


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[DrainRow]] = msgspec.msgpack.Decoder(list[DrainRow])


class DrainGossip:
    """What the own list says, what others say, and what follows."""

    def __init__(self) -> None:
        self._own: dict[str, tuple[NodeProgress, int]] = {}  # and when it was told
        self._others: dict[
            str, dict[tuple[str, int], tuple[NodeProgress, int]]
        ] = {}  # by node, by writer and part
        self._kept_away: dict[str, NodeProgress] = {}  # by others' word
        self._pages: list[list[str]] = []

    def update_own(self, node: str, started_ms: int, rank: int, now_us: int) -> None:
        """The own list's word."""
        place = started_ms, rank
        old = self._own.get(node)
        if old is None or old[0] != place:
            self._own[node] = place, now_us
        if rank == GONE and node not in self._others:
            self._own[node] = place, now_us

    def expire(self, now_us: int) -> None:
        """Nodes that went long ago."""
        for node, (place, at) in list(self._own.items()):
            if place[1] == GONE and now_us - at > 2 * GOSSIP_LIFETIME_US:
                del self._own[node]

    def encode_pages(self, now_us: int) -> list[bytes]:
        """What this member tells, by parts; a node that enough others tell of is left to them."""
        fresh = [
            node
            for node, (place, at) in self._own.items()
            if place[1] > UP
            and now_us - at < GOSSIP_LIFETIME_US
            and (self._in_pages(node) or self._tellers(node) < SUFFICIENT_REPORTERS)
        ]
        # A node stays on its page, so that a page that has not changed is not written again.
        self._pages = [[node for node in page if node in set(fresh)] for page in self._pages]
        for node in fresh:
            if not self._in_pages(node):
                page = next((page for page in self._pages if len(page) < ROWS_PER_PAGE), None)
                if page is None and len(self._pages) < MAX_PAGES:
                    self._pages.append(page := [])
                if page is not None:
                    page.append(node)
        return [
            _encoder.encode([DrainRow(node, *self._own[node][0]) for node in page]) if page else b""
            for page in self._pages
        ]

    def _in_pages(self, node: str) -> bool:
        return any(node in page for page in self._pages)

    def _tellers(self, node: str) -> int:
        own = self._own[node][0]
        return len({writer for (writer, _), (place, _) in self._others.get(node, {}).items() if place >= own})

    def receive(self, writer: str, part: int, value: bytes, now_us: int) -> bool:
        """What another tells now; false where it can't be read."""
        try:
            rows = _decoder.decode(value) if value else []
        except msgspec.MsgspecError:
            return False
        self._drop(writer, part)
        for row in rows[:ROWS_PER_PAGE]:
            if row.stage > UP:
                said = (row.started_ms, row.stage), now_us
                self._others.setdefault(row.node, {})[writer, part] = said
        return True

    def discard_member(self, writer: str) -> None:
        """A member's word counts no more."""
        self._drop(writer, None)

    def _drop(self, writer: str, part: int | None) -> None:
        for node, said in list(self._others.items()):
            for key in [key for key in said if key[0] == writer and part in (None, key[1])]:
                del said[key]
            if not said:
                del self._others[node]

    def reporters(self, node: str) -> list[str]:
        """Who says that a node is further in its life than the own list has it."""
        own = self._own.get(node)
        if own is None:
            return []
        return sorted(
            {writer for (writer, _), (place, _) in self._others.get(node, {}).items() if place > own[0]}
        )

    def nodes_to_avoid(self, silent: bool, live: Collection[str]) -> set[str]:
        """The nodes that nothing new may be offered to by others' word.

        ``silent``: the own change log says nothing. Where it speaks, its word alone holds.
        """
        wanted = min(2, max(1, len(live) - 1))
        if not silent:
            self._kept_away.clear()
            return set()
        for node in self._others:
            own = self._own.get(node)
            tellers = set(self.reporters(node)) & set(live)
            if own is not None and own[0][1] == UP and len(tellers) >= wanted:
                self._kept_away[node] = own[0]
        for node, place in list(self._kept_away.items()):
            if self._own.get(node, ((0, GONE), 0))[0] != place:
                del self._kept_away[node]  # the own list has moved on
        return set(self._kept_away)

    def rows(self) -> Iterator[tuple[str, str, int, int, bool]]:
        """A node, who says it (empty: the own list), its process's start, its place, whether it is kept away."""
        for node, ((started, rank), _) in list(self._own.items()):
            yield node, "", started, rank, node in self._kept_away
        for node, said in list(self._others.items()):
            for (writer, _), ((started, rank), _) in said.items():
                yield node, writer, started, rank, node in self._kept_away

    def own_progress(self, node: str) -> NodeProgress | None:
        """What the own list says of a node."""
        own = self._own.get(node)
        return None if own is None else own[0]
