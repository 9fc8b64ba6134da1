"""What the parts of a node connection use of each other.

The node connection imports its link and its reconnector. These protocols name what the two use of it in turn, so that
they don't import it. Only type checkers load this module.
"""

from __future__ import annotations

from collections.abc import Generator, MutableMapping, MutableSet
from typing import Any, Protocol

from thornshelf.core import Dispatcher
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.placement import Outcome
from thornshelf.wire.errors import DisconnectReason


class LinkOwner(Protocol):
    """The node connection, as its link sees it."""

    loop: Loop
    hello_timeout_us: int

    @property
    def in_flight(self) -> MutableMapping[int, Any]:
        """Attempts that were sent and have not ended, by id."""

    @property
    def idle(self) -> bool:
        """Whether nothing is expected of the node."""

    def idle_timeout_us(self) -> int:
        """How long a link may be idle before it is closed."""


class MonitoredLink(Protocol):
    """A link, as its liveness monitor sees it."""

    stream: Stream

    @property
    def node(self) -> LinkOwner:
        """The node connection that the link belongs to."""

    @property
    def mid_message(self) -> bool:
        """Whether a message has begun and not ended."""

    def ping(self) -> None:
        """Ask the peer for any reply."""

    def close(self, reason: str) -> None:
        """Close the link: the attempts in flight on it have ended."""


class ReconnectingNode(Protocol):
    """The node connection, as its reconnector sees it."""

    loop: Loop
    core: Dispatcher
    machine: int
    name: str
    host: str
    port: int
    closed: bool
    draining: bool

    @property
    def running(self) -> MutableSet[int]:
        """Tasks whose end the node is going to report."""

    @property
    def pending_cancellations(self) -> MutableMapping[int, Any]:
        """Running tasks that are to be ended, by id."""

    @property
    def idle(self) -> bool:
        """Whether nothing is expected of the node."""

    @property
    def listening_only(self) -> bool:
        """Whether the connection only waits for the end of running tasks."""

    def evict(self) -> None:
        """Close the connection, as its descriptor is needed elsewhere."""

    def serve_link(self, stream: Stream) -> Generator[Wait, int, DisconnectReason]:
        """Serve a new connection until it ends; returns why it did."""

    def connect_failed(self, outcome: Outcome = Outcome.NOT_CONNECTED) -> None:
        """The node could not be reached: what waited for the link has not run."""
