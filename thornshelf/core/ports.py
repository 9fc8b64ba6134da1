"""Protocols for what the core depends on: node connections, other dispatchers, the request queue and the history.

The protocol of client connections is in ``thornshelf.core.client_connection``. The packages for nodes, membership,
queues and control implement these protocols structurally; the core imports none of them. Times are in microseconds on
the loop's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    from thornshelf.core.messages import Attempt, HealthCheckCompleted
    from thornshelf.placement import Outcome, Reason

QueuedItem = TypeVar("QueuedItem")
LogFunction = Callable[[int, str, dict[str, object], str], None]
"""Writes one log line; takes the severity (RFC 5424), the message id, the parameters and the text."""


class NodeConnection(Protocol):
    """The connection to one node; its replies arrive in the core's inbox."""

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt; the result is ``TaskStarted`` or ``TaskFinished``, unless the attempt is withdrawn."""

    def withdraw_attempt(self, attempt: Attempt) -> bool:
        """Withdraw an attempt and report no answer to it; return whether no byte of it had been sent."""

    def cancel_task(self, uid: int) -> None:
        """Tell the node to end a running task."""

    def watch_task(self, uid: int) -> None:
        """Report the end of a running task from now on."""

    def unwatch_task(self, uid: int) -> None:
        """Stop reporting anything about a task."""

    def query_task(self, idempotency_key: int, uid: int) -> None:
        """Ask whether a task with this key runs or ran; a ``TaskStatusReply`` may follow, but need not."""

    def reconnect(self) -> None:
        """Finish what is in flight on the present connection, and open a new one."""

    def handshake_completed(self) -> None:
        """Send the attempts that waited for the handshake, now that the node's capabilities are recorded."""

    def check_health(self) -> None:
        """Ask for a load report; the result is ``HealthCheckCompleted``."""

    @property
    def has_pending_data(self) -> bool:
        """Whether data waits to be sent to the node."""

    def drain(self) -> list[Attempt]:
        """Stop sending attempts; withdraw and return the attempts of which no byte had been sent."""

    def process_restarted(self, started_us: int) -> None:
        """Handle a restart of the node's process at this time: attempts sent to the previous one end as broken."""

    def resume(self) -> None:
        """Send attempts again, because the node is not draining."""

    def close(self) -> None:
        """Close the connection, because the node was removed."""


class Gossip(Protocol):
    """Communication with the other dispatchers of a configured fleet."""

    def broadcast(self, data: bytes) -> None:
        """Send a message of the decision module to the other dispatchers."""

    def is_checked_by_peer(self, machine: int) -> bool:
        """Return whether another dispatcher checks this node; its results arrive in the core's inbox."""

    def health_checked(self, item: HealthCheckCompleted) -> None:
        """Record the result of a health check."""

    def attempt_ended(self, machine: int, outcome: Outcome, reason: Reason) -> None:
        """Record how an attempt at a node ended."""


class RequestQueue(Protocol[QueuedItem]):
    """A queue of requests that wait to be placed; ``max_waiting`` may be changed at any time."""

    max_waiting: int

    def put(
        self, item: QueuedItem, priority: int, deadline_us: int, tenant: str | None = None, now_us: int = 0
    ) -> int:
        """Add a request and return the ticket by which it can be removed."""

    def remove(self, ticket: int) -> None:
        """Remove a request; do nothing if it has left the queue already."""

    def pop_expired(self, now_us: int) -> list[QueuedItem]:
        """Remove and return the requests that can't start in time, and those beyond the queue's capacity."""

    def pop_batch(self, now_us: int = 0) -> list[QueuedItem]:
        """Remove and return the next requests to place."""

    def __len__(self) -> int:
        """The number of requests that wait."""


class TaskHistory(Protocol):
    """A bounded record of task events, kept for the control socket."""

    def record(self, at_us: int, uid: int, key: int, event: str, machine: int = 0, *detail: object) -> None:
        """Record one event of a task; a ``machine`` of 0 means that no node is involved."""


class NodeConnectionPool(Protocol):
    """Limits the number of open node connections; the core only passes it on to the node connections."""

    def acquire(self, node: Any, now_us: int, wanted: bool = True) -> bool:
        """Make room for one more connection; return whether that succeeded."""

    def touch(self, node: Any, now_us: int) -> None:
        """Record that an attempt was sent on the node's connection."""

    def release(self, node: Any) -> None:
        """Return the reservation of a connection that was closed or not established."""
