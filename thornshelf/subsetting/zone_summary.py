"""What a dispatcher keeps of a zone whose nodes it does not hold: 8 bytes a node, and a bounded sample of entries."""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from typing import Generic, Protocol, TypeVar

import xxhash

from thornshelf.placement.interface import Health


class ListedNode(Protocol):
    """A node as the list shows it."""

    @property
    def name(self) -> str:
        """The same for all its life."""

    @property
    def zone(self) -> str:
        """Where it stands."""

    @property
    def health(self) -> Health:
        """Up, draining or gone."""


ListedNodeT = TypeVar("ListedNodeT", bound=ListedNode)


def rendezvous_rank(member: str, name: str) -> int:
    """A node's place in one member's order: other members have other orders, so they hold other nodes."""
    return xxhash.xxh3_64_intdigest(f"{member}\0{name}".encode())


class ZoneSummary(Generic[ListedNodeT]):
    """One zone: how many of its nodes are up, and those of them that come first in this member's order."""

    def __init__(self, member: str) -> None:
        self._member = member
        self._up = array("Q")  # the draws of all that are up, in their order
        self._order: list[tuple[int, str]] = []  # of the sample
        self._entries: dict[str, ListedNodeT] = {}  # the sample
        self.version = 0  # grows with each change of the sample

    @property
    def up_count(self) -> int:
        """How many nodes are up."""
        return len(self._up)

    @property
    def sample(self) -> list[ListedNodeT]:
        """The entries that are kept, in this member's order."""
        return [self._entries[name] for _, name in self._order]

    def get(self, name: str) -> ListedNodeT | None:
        """An entry of the sample."""
        return self._entries.get(name)

    def is_depleted(self, sample_size: int) -> bool:
        """Less than half of the sample is left though the zone has more: only the whole list can fill it."""
        return len(self._entries) < min(sample_size, self.up_count) / 2

    def add(self, entry: ListedNodeT, sample_size: int) -> None:
        """A node is up."""
        key = rendezvous_rank(self._member, entry.name)
        place = bisect_left(self._up, key)
        if place == len(self._up) or self._up[place] != key:
            self._up.insert(place, key)
        if entry.name in self._entries:
            self._entries[entry.name] = entry
            self.version += 1
        elif len(self._order) < sample_size or key < self._order[-1][0]:
            insort(self._order, (key, entry.name))
            self._entries[entry.name] = entry
            self.version += 1
            if len(self._order) > sample_size:
                del self._entries[self._order.pop()[1]]

    def remove(self, name: str) -> None:
        """A node is up no more."""
        key = rendezvous_rank(self._member, name)
        place = bisect_left(self._up, key)
        if place < len(self._up) and self._up[place] == key:
            self._up.pop(place)
        if self._entries.pop(name, None) is not None:
            self._order.remove((key, name))
            self.version += 1
