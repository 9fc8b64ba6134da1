"""Summary of a zone whose nodes a dispatcher does not hold: 8 bytes per node, and a bounded sample of entries."""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from typing import Generic, Protocol, TypeVar

import xxhash

from thornshelf.placement import Health


class ListedNode(Protocol):
    """An entry of the endpoint list."""

    @property
    def name(self) -> str:
        """The node's name, which never changes."""

    @property
    def zone(self) -> str:
        """The node's zone."""

    @property
    def health(self) -> Health:
        """Whether the node is up, draining or removed."""


ListedNodeT = TypeVar("ListedNodeT", bound=ListedNode)


def rendezvous_rank(member: str, name: str) -> int:
    """Return the rank of a node or a zone in one member's order of preference, by rendezvous hashing.

    Other members have other orders, so that they choose other spare nodes.
    """
    return xxhash.xxh3_64_intdigest(f"{member}\0{name}".encode())


class ZoneSummary(Generic[ListedNodeT]):
    """Counts a zone's nodes that are up, and keeps the entries of those with the lowest ranks for this member."""

    def __init__(self, member: str) -> None:
        self._member = member
        self._up_ranks = array("Q")  # of all nodes that are up, sorted
        self._sample_order: list[tuple[int, str]] = []  # rank and name, sorted
        self._sample_entries: dict[str, ListedNodeT] = {}

    @property
    def up_count(self) -> int:
        """How many nodes are up."""
        return len(self._up_ranks)

    @property
    def sample(self) -> list[ListedNodeT]:
        """The sampled entries, in this member's order of preference."""
        return [self._sample_entries[name] for _, name in self._sample_order]

    def get(self, name: str) -> ListedNodeT | None:
        """Return a node's entry if it is in the sample."""
        return self._sample_entries.get(name)

    def is_depleted(self, sample_size: int) -> bool:
        """Return whether less than half of the sample is left although the zone has more nodes.

        Only a relist can refill it.
        """
        return len(self._sample_entries) < min(sample_size, self.up_count) / 2

    def add(self, entry: ListedNodeT, sample_size: int) -> None:
        """Add a node that is up; the sample keeps at most ``sample_size`` entries."""
        rank = rendezvous_rank(self._member, entry.name)
        index = bisect_left(self._up_ranks, rank)
        if index == len(self._up_ranks) or self._up_ranks[index] != rank:
            self._up_ranks.insert(index, rank)
        if entry.name in self._sample_entries:
            self._sample_entries[entry.name] = entry
        elif len(self._sample_order) < sample_size or rank < self._sample_order[-1][0]:
            insort(self._sample_order, (rank, entry.name))
            self._sample_entries[entry.name] = entry
            if len(self._sample_order) > sample_size:
                _, last_name = self._sample_order.pop()
                del self._sample_entries[last_name]

    def remove(self, name: str) -> None:
        """Remove a node that is no longer up, if it was added."""
        rank = rendezvous_rank(self._member, name)
        index = bisect_left(self._up_ranks, rank)
        if index < len(self._up_ranks) and self._up_ranks[index] == rank:
            self._up_ranks.pop(index)
        if self._sample_entries.pop(name, None) is not None:
            self._sample_order.remove((rank, name))
