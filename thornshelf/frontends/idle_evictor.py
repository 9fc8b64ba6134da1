"""Closes idle client connections where descriptors are needed for others."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Protocol

from thornshelf.loop import Stream

MIN_QUIET_US = 100_000  # a connection is not closed within this time after something was sent on it
EVICTION_BATCH_SIZE = 32  # idle connections that are collected at once


class EvictableClient(Protocol):
    """A client's connection, as the evictor sees it."""

    @property
    def stream(self) -> Stream:
        """The connection's stream."""

    @property
    def is_idle(self) -> bool:
        """Whether it is open without an open request or anything in transit, so that closing it costs no answer."""

    @property
    def retention_rank(self) -> int:
        """Of idle connections the one with the lowest rank is evicted first."""


def is_quiescent(stream: Stream) -> bool:
    """Whether nothing is in transit to the client.

    A connection that is closed with unread input is reset, and the client may never read what was sent just before:
    a release could be lost.
    """
    return not stream.buffered_bytes and stream.loop.now - stream.last_send_us >= MIN_QUIET_US


class IdleEvictor:
    """Evicts idle connections, collecting several at once so that a flood does not cost a search per connection."""

    def __init__(self, clients: Iterable[EvictableClient]) -> None:
        """``clients``: in the order of their latest requests, which decides among equal ranks."""
        self._clients = clients
        self._candidates: deque[EvictableClient] = deque()

    def evict_one(self) -> bool:
        """Close one connection; false where none is idle."""
        if self._close_candidate():
            return True
        idle = [client for client in self._clients if client.is_idle]
        self._candidates.extend(sorted(idle, key=lambda client: client.retention_rank)[:EVICTION_BATCH_SIZE])
        return self._close_candidate()

    def _close_candidate(self) -> bool:
        """Close the first candidate that is still idle; false where none is."""
        while self._candidates:
            client = self._candidates.popleft()
            # A candidate may have been closed or used since it was collected, and unread input must not be reset.
            if client.is_idle and not client.stream.has_unread_input:
                client.stream.close()
                return True
        return False
