"""What is passed on beside other datagrams: each rumour a bounded number of times, the least told first."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from heapq import nsmallest

MAX_RUMORS = 8_192  # rumours that wait; beyond, those told most often are let go: comparing finds them


class DisseminationBuffer:
    """Keys of claims and entries that others may not know yet."""

    def __init__(self) -> None:
        self._told: dict[Hashable, int] = {}
        self._order: dict[Hashable, int] = {}  # the newest least: a flood of old ones doesn't hold it up
        self._count = 0

    def __len__(self) -> int:
        return len(self._told)

    def add(self, key: Hashable) -> None:
        """Something new of this key: it is told from the beginning."""
        self._told.pop(key, None)
        if len(self._told) >= MAX_RUMORS:
            for old in nsmallest(
                MAX_RUMORS // 8, self._told, key=lambda one: (-self._told[one], -self._order[one])
            ):
                self._drop(old)
        self._count -= 1
        self._told[key], self._order[key] = 0, self._count

    def _drop(self, key: Hashable) -> None:
        del self._told[key], self._order[key]

    def select(
        self, room: int, most: int, encoded: Callable[[Hashable], bytes | None], first: Hashable = None
    ) -> list[tuple[Hashable, bytes]]:
        """Rumours that fit into ``room`` bytes, each counted as told; gone once it was told ``most`` times.

        ``encoded``: a rumour's bytes, None where there is nothing to tell any more; ``first``: goes before all
        others, whether it is a rumour or not.
        """
        found: list[tuple[Hashable, bytes]] = []
        if first is not None and (data := encoded(first)) is not None and len(data) <= room:
            found.append((first, data))
            room -= len(data)
        if not self._told:
            return found
        ranks = self._order
        order = nsmallest(24, self._told.items(), key=lambda one: (one[1], ranks[one[0]]))
        for key, told in order:
            if key == first:
                continue
            data = encoded(key)
            if data is None:
                self._drop(key)
            elif len(data) <= room:
                room -= len(data)
                found.append((key, data))
                if told + 1 >= most:
                    self._drop(key)
                else:
                    self._told[key] = told + 1
        return found
