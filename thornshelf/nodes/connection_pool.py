"""Which nodes hold a connection where descriptors are too few for all of them. No I/O; times in microseconds."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MIN_REST_US = (
    1_000_000  # a connection is not evicted sooner after it was made or its node was sent an attempt
)


class PooledConnection(Protocol):
    """A node, as far as its connection may be evicted."""

    @property
    def idle(self) -> bool:
        """Whether nothing is waited for on the connection."""

    @property
    def listening_only(self) -> bool:
        """Whether only updates of running tasks are waited for: the node repeats these on the next connection."""

    def evict(self) -> None:
        """Close the connection, which calls ``ConnectionPool.release``."""


class ConnectionPool:
    """The open node connections, the least recently used first.

    ``max_open``: how many there may be now, as clients connect and disconnect.
    """

    def __init__(self, max_open: Callable[[], int]) -> None:
        self._max_open = max_open
        self._last_used_us: dict[PooledConnection, int] = {}

    def __len__(self) -> int:
        return len(self._last_used_us)

    def acquire(self, node: PooledConnection, now_us: int, wanted: bool = True) -> bool:
        """Add one more connection; an idle one is evicted for it first, then one that only listens and has rested.

        ``wanted``: something waits for the new one; no other is evicted otherwise. False where it can't be made.
        """
        while len(self._last_used_us) >= self._max_open():
            if not wanted or (candidate := self._eviction_candidate(now_us)) is None:
                return False
            del self._last_used_us[candidate]
            candidate.evict()
        self._last_used_us[node] = now_us
        return True

    def touch(self, node: PooledConnection, now_us: int) -> None:
        """Record that an attempt was sent on the node's connection."""
        if self._last_used_us.pop(node, None) is not None:
            self._last_used_us[node] = now_us

    def release(self, node: PooledConnection) -> None:
        """Remove a connection that is closed, or could not be made."""
        self._last_used_us.pop(node, None)

    def _eviction_candidate(self, now_us: int) -> PooledConnection | None:
        rested: PooledConnection | None = None
        for node, last_used_us in self._last_used_us.items():
            if node.idle:
                return node
            if rested is None and node.listening_only and now_us - last_used_us >= MIN_REST_US:
                rested = node
        return rested
