"""Which nodes hold a connection where descriptors are too few for all of them. No I/O; times in microseconds."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MIN_REST_US = 1_000_000  # a connection is kept so long after its node was offered a task, or it was made


class PooledConnection(Protocol):
    """A node, as far as its connection may have to make room."""

    @property
    def idle(self) -> bool:
        """Nothing is waited for on it."""

    @property
    def listening_only(self) -> bool:
        """Only news of standing tasks is waited for: the node tells it on the next connection as well."""

    def evict(self) -> None:
        """Close the connection, which calls ``give``."""


class ConnectionPool:
    """The open node connections, the one used longest ago first.

    ``most``: how many there may be now, as clients come and go.
    """

    def __init__(self, max_open: Callable[[], int]) -> None:
        self._max_open = max_open
        self._open: dict[PooledConnection, int] = {}  # since when it has rested

    def __len__(self) -> int:
        return len(self._open)

    def acquire(self, node: PooledConnection, now_us: int, wanted: bool = True) -> bool:
        """Make room for one more; an idle one goes first, then one that only listens and has rested.

        ``wanted``: something waits for it; else none is closed for its sake. False where there is no room.
        """
        while len(self._open) >= self._max_open():
            if not wanted or (victim := self._eviction_candidate(now_us)) is None:
                return False
            del self._open[victim]
            victim.evict()
        self._open[node] = now_us
        return True

    def touch(self, node: PooledConnection, now_us: int) -> None:
        """A task was offered to it."""
        if self._open.pop(node, None) is not None:
            self._open[node] = now_us

    def release(self, node: PooledConnection) -> None:
        """Its connection is closed, or did not come up."""
        self._open.pop(node, None)

    def _eviction_candidate(self, now_us: int) -> PooledConnection | None:
        spare = None
        for node, since in self._open.items():
            if node.idle:
                return node
            if spare is None and node.listening_only and now_us - since >= MIN_REST_US:
                spare = node
        return spare
