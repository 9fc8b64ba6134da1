"""Messages of the core: the items of its inbox, which frontends and nodes put there, and what goes out with a task.

Times are microseconds on the loop's clock. ``Outcome``, ``Reason``, ``TaskUpdateKind``, ``Health`` and ``LoadReport``
are the decision module's types.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.placement import Health, LoadReport, Outcome, Reason, TaskUpdateKind
from thornshelf.translation.capabilities import NodeCapabilities
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.translation.missing_fields import DeclaredFields

# what goes out


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to start a task on a node.

    ``request``: all that the client stated, for wire forms that have fields for it; ``metadata``: what the node was
    sent beyond that; ``is_awaited``: whether a client still waits for the task.
    """

    uid: int
    number: int
    task_class: str
    idempotency_key: int
    description: bytes
    sent_us: int
    deadline_us: int
    machine: int = 0
    request: TaskRequest | None = None
    priority: int = 0
    at_most_once: bool = False
    metadata: AnswerMetadata | None = None
    is_awaited: Callable[[], bool] = lambda: True


# from clients


@dataclass(eq=False, slots=True)
class TaskRequest:
    """A task to be placed, or, with ``running_on``, one that runs on the node of that name already."""

    client: ClientConnection
    uid: int
    task_class: str
    tenant: str | None
    idempotency_key: int
    deadline_us: int
    lifetime_hint_us: int | None
    service: int
    cores: float
    memory: float
    description: bytes
    running_on: str | None = None

    @property
    def declared_fields(self) -> DeclaredFields:
        """What the client states in the fields that nodes may require."""
        return DeclaredFields(self.lifetime_hint_us, self.tenant, self.idempotency_key, self.service)


@dataclass(frozen=True, slots=True)
class CancelTask:
    """A client cancels a request, or ends a task that runs."""

    uid: int


@dataclass(frozen=True, slots=True)
class ClientConnected:
    """A client's connection is open."""

    client: ClientConnection


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client's connection is closed, which cancels its open requests.

    ``pending_releases``: releases that were not sent: the task's id, its outcome, reason and detail.
    """

    client: ClientConnection
    pending_releases: Sequence[tuple[int, Outcome, Reason, FailureCause | None]] = ()


# from nodes


@dataclass(frozen=True, slots=True)
class TaskStarted:
    """A node reports that the task of an attempt runs; ``description``: how its client reaches it."""

    machine: int
    uid: int
    description: bytes


@dataclass(frozen=True, slots=True)
class TaskFinished:
    """An attempt, or a running task, has ended; ``detail``: the node's own, where its wire form carries one."""

    machine: int
    uid: int
    outcome: Outcome
    reason: Reason = Reason.UNSPECIFIED
    load_report: LoadReport | None = None
    detail: FailureCause | None = None


@dataclass(frozen=True, slots=True)
class TaskProgress:
    """A node reports a figure of a running task, or of an attempt."""

    machine: int
    uid: int
    fact: TaskUpdateKind
    level: float


@dataclass(frozen=True, slots=True)
class TaskStatusReply:
    """A node's reply to a query by idempotency key.

    ``status_code``: its number in thornshelf.v2; ``queried_uid``: the id that the query named; ``uid``: the id under
    which the task runs or ran.
    """

    machine: int
    idempotency_key: int
    status_code: int
    queried_uid: int = 0
    uid: int = 0
    description: bytes = b""
    outcome: Outcome = Outcome.OK
    reason: Reason = Reason.UNSPECIFIED


@dataclass(frozen=True, slots=True)
class HandshakeCompleted:
    """The wire form that a node speaks is known, and in the newer generation its capabilities, or later ones."""

    machine: int
    wire_form: WireFormat
    hello: NodeCapabilities | None = None
    is_new_connection: bool = True


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """The result of a health check."""

    machine: int
    outcome: Outcome
    latency_us: int
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class NodeLost:
    """A node's process is proved dead: the tasks that ran there have ended."""

    machine: int


# from other dispatchers, and from the endpoint list


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message of another dispatcher to the decision module."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class NodeEndpoint:
    """One entry of the endpoint list; ``started_us``: when its process started, None where that is long ago."""

    name: str
    address: str
    health: Health
    kind: str
    zone: str
    cell: int
    weight: float
    started_us: int | None


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The complete endpoint list, or the entries that changed."""

    complete: bool
    version: int
    endpoints: Sequence[NodeEndpoint]


InboxItem = (
    TaskRequest
    | CancelTask
    | ClientConnected
    | ClientDisconnected
    | TaskStarted
    | TaskFinished
    | TaskStatusReply
    | HandshakeCompleted
    | TaskProgress
    | HealthCheckCompleted
    | NodeLost
    | GossipReceived
)
