"""Protocols by which the parts of a node connection use each other.

The node connection imports its link and its reconnector. These protocols declare what the two use of the node
connection, so that they don't import it. Only type checkers load this module.
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
    machine: int
    hello_timeout_us: int
    draining: bool

    @property
    def in_flight(self) -> MutableMapping[int, Any]:
        """Attempts, by id, that were sent and have neither started nor ended."""

    @property
    def running(self) -> MutableSet[int]:
        """Ids of tasks whose end the node has to report."""

    @property
    def idle(self) -> bool:
        """Whether nothing is expected of the node."""

    def idle_timeout_us(self) -> int:
        """Return how long an idle link is kept, in microseconds."""

    def open_replacement(self) -> None:
        """Open another connection, which takes the place of the present one if that succeeds."""


class MonitoredLink(Protocol):
    """A link, as its liveness monitor sees it."""

    stream: Stream

    @property
    def node(self) -> LinkOwner:
        """The node connection that the link belongs to."""

    @property
    def mid_message(self) -> bool:
        """Whether a message was received in part."""

    @property
    def ping_is_free(self) -> bool:
        """Whether a ping has no price by the settings."""

    def ping(self) -> None:
        """Send a message that a live node always answers."""

    def touch(self) -> None:
        """Send a message without an answer and without a price."""

    def close(self, reason: str) -> None:
        """Close the link as unusable; the attempts in flight on it end."""


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
        """Ids of tasks whose end the node has to report."""

    @property
    def pending_cancellations(self) -> MutableMapping[int, Any]:
        """Cancellations, by task id, that may not have arrived."""

    @property
    def idle(self) -> bool:
        """Whether nothing is expected of the node."""

    @property
    def listening_only(self) -> bool:
        """Whether nothing but updates of running tasks is expected of the node."""

    def evict(self) -> None:
        """Close the link, because another node needs its descriptor more."""

    def close_link(self, reason: str) -> None:
        """Close the link as unusable, if there is one."""

    def serve_link(self, stream: Stream) -> Generator[Wait, int, DisconnectReason]:
        """Serve a new connection until it ends; returns the reason."""

    def connect_failed(self, outcome: Outcome = Outcome.NOT_CONNECTED) -> None:
        """Fail the attempts and the health check that waited for a link, as the node could not be reached."""
