"""Closes idle client connections when their descriptors are needed."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Protocol

from thornshelf.loop import Stream

MIN_QUIET_US = 100_000  # a connection is not closed until this long after the last send on it
EVICTION_BATCH_SIZE = 32  # idle connections collected by one search


class EvictableClient(Protocol):
    """The part of a client connection's interface that the evictor uses."""

    @property
    def stream(self) -> Stream:
        """The connection's byte stream."""

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and can be closed without losing an answer to the client."""

    @property
    def retention_rank(self) -> int:
        """Of idle connections, those of the lowest rank are evicted first."""


def is_quiescent(stream: Stream) -> bool:
    """Return whether all data has probably reached the client: none is buffered, and none was sent recently.

    Closing a connection with unread input resets it, and the client may lose a release that was sent just before.
    """
    return not stream.buffered_bytes and stream.loop.now - stream.last_send_us >= MIN_QUIET_US


class IdleEvictor:
    """Evicts idle connections. A search collects several, so that a flood does not cause a search for each."""

    def __init__(self, clients: Iterable[EvictableClient]) -> None:
        """``clients``: ordered by their latest requests, least recent first, which is the order within a rank."""
        self._clients = clients
        self._candidates: deque[EvictableClient] = deque()

    def evict_one(self) -> bool:
        """Close one idle connection; returns false if there is none."""
        if self._close_candidate():
            return True
        idle = [client for client in self._clients if client.is_idle]
        self._candidates.extend(sorted(idle, key=lambda client: client.retention_rank)[:EVICTION_BATCH_SIZE])
        return self._close_candidate()

    def _close_candidate(self) -> bool:
        """Close the first candidate that is still idle; returns false if none is."""
        while self._candidates:
            client = self._candidates.popleft()
            # A candidate may have been closed or used since it was collected. Unread input may be a request.
            if client.is_idle and not client.stream.has_unread_input:
                client.stream.close()
                return True
        return False
