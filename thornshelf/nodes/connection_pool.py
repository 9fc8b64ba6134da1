"""Limits the number of open node connections if there are not enough descriptors for all nodes.

Does no I/O. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# A connection that awaits updates is not evicted until it has existed, and no attempt was sent on it, for this long.
MIN_UNUSED_US = 1_000_000


class PooledConnection(Protocol):
    """A node whose connection may be evicted."""

    @property
    def idle(self) -> bool:
        """Whether nothing is expected on the connection."""

    @property
    def listening_only(self) -> bool:
        """Whether only updates of running tasks are expected, which the node repeats on the next connection."""

    def evict(self) -> None:
        """Close the connection, which also calls ``ConnectionPool.release``."""


class ConnectionPool:
    """The open node connections, the least recently used first.

    ``max_open``: returns how many may be open now; this changes as clients connect and disconnect.
    """

    def __init__(self, max_open: Callable[[], int]) -> None:
        self._max_open = max_open
        self._last_used_us: dict[PooledConnection, int] = {}

    def __len__(self) -> int:
        return len(self._last_used_us)

    def acquire(self, node: PooledConnection, now_us: int, wanted: bool = True) -> bool:
        """Add a connection, and evict another one if there is no room; returns whether it may be opened.

        An idle connection is evicted first, otherwise one that only listens and was unused for ``MIN_UNUSED_US``.
        ``wanted``: a request waits for the new connection; otherwise none is evicted for it.
        """
        while len(self._last_used_us) >= self._max_open():
            if not wanted or (candidate := self._eviction_candidate(now_us)) is None:
                return False
            del self._last_used_us[candidate]
            candidate.evict()
        self._last_used_us[node] = now_us
        return True

    def touch(self, node: PooledConnection, now_us: int) -> None:
        """Mark the node's connection as most recently used, as an attempt is sent on it."""
        if self._last_used_us.pop(node, None) is not None:
            self._last_used_us[node] = now_us

    def release(self, node: PooledConnection) -> None:
        """Remove a connection that was closed or could not be opened."""
        self._last_used_us.pop(node, None)

    def _eviction_candidate(self, now_us: int) -> PooledConnection | None:
        listening_candidate: PooledConnection | None = None
        for node, last_used_us in self._last_used_us.items():
            if node.idle:
                return node
            if listening_candidate is None and node.listening_only and now_us - last_used_us >= MIN_UNUSED_US:
                listening_candidate = node
        return listening_candidate
