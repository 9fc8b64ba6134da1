"""The buffer of rumors that are piggybacked on outgoing datagrams, each a limited number of times."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from heapq import nsmallest
from typing import Generic, TypeVar

MAX_RUMORS = 8_192  # above it, the most transmitted ones are dropped; push-pull rounds repair that
DROPPED_AT_ONCE = MAX_RUMORS // 8
MAX_RUMORS_TRIED = 24  # per datagram

Key = TypeVar("Key", bound=Hashable)


class DisseminationBuffer(Generic[Key]):
    """Keys of records and entries to disseminate, with the number of transmissions of each."""

    def __init__(self) -> None:
        self._transmissions: dict[Key, int] = {}
        # The newest rumor has the lowest rank, so that a backlog of older ones does not delay it.
        self._ranks: dict[Key, int] = {}
        self._next_rank = 0

    def __len__(self) -> int:
        return len(self._transmissions)

    def add(self, key: Key) -> None:
        """Add or renew a rumor: its transmissions are counted from zero."""
        self._transmissions.pop(key, None)
        if len(self._transmissions) >= MAX_RUMORS:
            self._drop_excess()
        self._next_rank -= 1
        self._transmissions[key] = 0
        self._ranks[key] = self._next_rank

    def clear(self) -> None:
        """Drop all rumors."""
        self._transmissions.clear()
        self._ranks.clear()

    def _drop_excess(self) -> None:
        def rank(key: Key) -> tuple[int, int]:
            return -self._transmissions[key], -self._ranks[key]

        for key in nsmallest(DROPPED_AT_ONCE, self._transmissions, key=rank):
            self._drop(key)

    def _drop(self, key: Key) -> None:
        del self._transmissions[key]
        del self._ranks[key]

    def select(
        self,
        max_bytes: int,
        retransmit_limit: int,
        encode: Callable[[Key], bytes | None],
        first: Key | None = None,
    ) -> list[tuple[Key, bytes]]:
        """Select rumors that fit into ``max_bytes``, the least transmitted first, and count their transmission.

        Returns pairs of a key and its encoding. A rumor is dropped after ``retransmit_limit`` transmissions.
        ``encode`` returns None for a rumor that no longer exists. ``first`` is selected before all others, even if it
        is not in the buffer.
        """
        selected: list[tuple[Key, bytes]] = []
        if first is not None and (data := encode(first)) is not None and len(data) <= max_bytes:
            selected.append((first, data))
            max_bytes -= len(data)
        if not self._transmissions:
            return selected
        ranks = self._ranks
        order = nsmallest(
            MAX_RUMORS_TRIED, self._transmissions.items(), key=lambda one: (one[1], ranks[one[0]])
        )
        for key, transmissions in order:
            if key == first:
                continue
            data = encode(key)
            if data is None:
                self._drop(key)
            elif len(data) <= max_bytes:
                max_bytes -= len(data)
                selected.append((key, data))
                if transmissions + 1 >= retransmit_limit:
                    self._drop(key)
                else:
                    self._transmissions[key] = transmissions + 1
        return selected
