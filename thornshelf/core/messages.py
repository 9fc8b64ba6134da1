"""Message types of the core: attempts sent to nodes, and the inbox items that frontends, nodes and peers add.

Times are in microseconds on the loop's clock. ``Outcome``, ``Reason``, ``TaskUpdateKind``, ``Health`` and
``LoadReport`` are types of the decision module.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.core.task_release import Release
from thornshelf.placement import Health, LoadReport, Outcome, Reason, TaskUpdateKind
from thornshelf.translation.capabilities import NodeCapabilities
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.translation.missing_fields import DeclaredFields

# to nodes


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to start a task on a node.

    ``request`` is the client's request, for wire formats that forward more of it; ``metadata`` describes fields that
    were added on the client's behalf; ``is_awaited`` returns whether a client still waits for the task.
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
    """A request to place a task.

    ``running_on``: the node on which the task already runs. ``deduplication_key``: by which the nodes of a keyed
    class let one copy of a task run; the client sends the same with all tries.
    """

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
    deduplication_key: str | None = None

    @property
    def declared_fields(self) -> DeclaredFields:
        """The values that the client declared for fields that nodes may require."""
        return DeclaredFields(self.lifetime_hint_us, self.tenant, self.idempotency_key, self.service)


@dataclass(frozen=True, slots=True)
class CancelTask:
    """A client cancels an open request or ends a running task."""

    uid: int


@dataclass(frozen=True, slots=True)
class ClientConnected:
    """A client's connection was opened."""

    client: ClientConnection


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client's connection was closed, which cancels its open requests.

    ``pending_releases`` lists the releases that may not have reached it.
    """

    client: ClientConnection
    pending_releases: Sequence[Release] = ()


# from nodes


@dataclass(frozen=True, slots=True)
class TaskStarted:
    """A node reports that the task of an attempt runs; ``description`` tells the client how to reach it."""

    machine: int
    uid: int
    description: bytes


@dataclass(frozen=True, slots=True)
class TaskFinished:
    """An attempt or a running task has ended.

    ``detail``: the cause from the node, if its wire format has one. ``reported_by_node``: the node itself reported
    the end; otherwise this dispatcher concluded it, for instance from a broken connection.
    """

    machine: int
    uid: int
    outcome: Outcome
    reason: Reason = Reason.UNSPECIFIED
    load_report: LoadReport | None = None
    detail: FailureCause | None = None
    reported_by_node: bool = False


@dataclass(frozen=True, slots=True)
class TaskProgress:
    """A node reports a measured value of an attempt or a running task."""

    machine: int
    uid: int
    fact: TaskUpdateKind
    level: float


@dataclass(frozen=True, slots=True)
class TaskStatusReply:
    """A node's reply to a query by idempotency key.

    ``status_code`` is the numeric status of thornshelf.v2, ``queried_uid`` the task id in the query, and ``uid`` the
    id under which the task runs or ran.
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
    """A node's wire format is known; ``capabilities``: what generation v2 announces and may update."""

    machine: int
    wire_format: WireFormat
    capabilities: NodeCapabilities | None = None
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
    """A node's process is known to be dead, so its tasks have ended."""

    machine: int


# from other dispatchers, and from the endpoint list


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message from another dispatcher's decision module."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class NodeEndpoint:
    """One entry of the endpoint list; ``started_us`` is when its process started, None if that is long ago."""

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
