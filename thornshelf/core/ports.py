"""Ports of the core: what it asks of nodes, other dispatchers, the request queue and the history.

Client connections have their own, ``thornshelf.core.client_connection``. Nodes, membership, queues and control
implement these protocols structurally, and the core imports none of them. Times are microseconds on the loop's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    from thornshelf.core.messages import Attempt, HealthCheckCompleted
    from thornshelf.placement import Outcome, Reason

QueuedItem = TypeVar("QueuedItem")
LogFunction = Callable[[int, str, dict[str, object], str], None]
"""Writes one log line: its severity by RFC 5424, its message id, its parameters and its text."""


class NodeConnection(Protocol):
    """What the core asks of a node; its answers arrive in the core's inbox."""

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt; ends in ``TaskStarted`` or ``TaskFinished`` unless it is withdrawn."""

    def withdraw_attempt(self, attempt: Attempt) -> bool:
        """Give an attempt up; true where no byte of it had left. No answer to it is reported after this."""

    def cancel_task(self, uid: int) -> None:
        """End a task that runs on the node."""

    def watch_task(self, uid: int) -> None:
        """Report the end of a task that runs on the node."""

    def unwatch_task(self, uid: int) -> None:
        """Report nothing more of a task."""

    def query_task(self, idempotency_key: int, uid: int) -> None:
        """Ask whether a task with this key runs or ran; ends in ``TaskStatusReply``, or in no reply at all."""

    def reconnect(self) -> None:
        """Finish what is in flight on the present connection, and open another."""

    def handshake_completed(self) -> None:
        """The node's capabilities are recorded: attempts that waited for the handshake may be sent."""

    def check_health(self) -> None:
        """Ask for a load report; ends in ``HealthCheckCompleted``."""

    @property
    def has_pending_data(self) -> bool:
        """Whether anything still has to be sent to the node."""

    def drain(self) -> list[Attempt]:
        """Send no new attempts from now on; gives back the attempts of which no byte had left."""

    def process_restarted(self, started_us: int) -> None:
        """The node's process started at this time: attempts sent to the one before it end as broken."""

    def resume(self) -> None:
        """Send attempts again: the node does not drain, or no longer."""

    def close(self) -> None:
        """Drop the connection: the node was removed."""


class Gossip(Protocol):
    """The other dispatchers of the fleet, where the operator has configured one."""

    def broadcast(self, data: bytes) -> None:
        """Send a message of the decision module to its peers."""

    def is_checked_by_peer(self, machine: int) -> bool:
        """Whether another dispatcher checks this node for all; its result arrives in the core's inbox."""

    def health_checked(self, item: HealthCheckCompleted) -> None:
        """Record the result of a health check."""

    def attempt_ended(self, machine: int, outcome: Outcome, reason: Reason) -> None:
        """Record how an attempt at a node ended."""


class RequestQueue(Protocol[QueuedItem]):
    """The order in which requests go to the decision module; ``max_waiting`` may be changed at any time."""

    max_waiting: int

    def put(
        self, item: QueuedItem, priority: int, deadline_us: int, tenant: str | None = None, now_us: int = 0
    ) -> int:
        """Add a request; returns the ticket by which it can be removed."""

    def remove(self, ticket: int) -> None:
        """Remove a request; nothing happens where it has left the queue."""

    def pop_expired(self, now_us: int) -> list[QueuedItem]:
        """Take out those that can't start in time any more, and those beyond the queue's capacity."""

    def pop_batch(self, now_us: int = 0) -> list[QueuedItem]:
        """Take out the next requests for the decision module."""

    def __len__(self) -> int:
        """How many requests wait."""


class TaskHistory(Protocol):
    """A bounded record of the events of tasks, where a control socket is configured."""

    def record(self, at_us: int, uid: int, key: int, event: str, machine: int = 0, *detail: object) -> None:
        """Record one event of a task; ``machine`` 0 stands for no node."""


class NodeConnectionPool(Protocol):
    """The limit on connections to nodes, where descriptors are few; the core only passes it on to its nodes."""

    def acquire(self, node: Any, now_us: int, wanted: bool = True) -> bool:
        """Make room for one more connection; false where there is none."""

    def touch(self, node: Any, now_us: int) -> None:
        """Record that an attempt was sent on the node's connection."""

    def release(self, node: Any) -> None:
        """Release the node's connection: it is closed, or was not established."""
