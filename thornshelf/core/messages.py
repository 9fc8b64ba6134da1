"""What fronts and nodes say to the core, and what the core asks of them.

Times are microseconds on the loop's clock. ``Outcome``, ``Reason``, ``Fact``, ``Health`` and ``Report`` are
the decision module's own words.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

from thornshelf.placement.interface import Health, LoadReport, Outcome, Reason, TaskUpdateKind
from thornshelf.translation.capabilities import NodeCapabilities
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.translation.missing_fields import DeclaredFields, LifetimeHint

T = TypeVar("T")
LogFunction = Callable[[int, str, dict[str, object], str], None]


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What an answer says beside the node's description, in forms that have room for it.

    ``hint``: what was assumed where the owner gave none; ``joined``: the task was asked for under another id before.
    """

    assumed_hint: LifetimeHint | None = None
    joined_running_task: bool = False


class ClientConnection(Protocol):
    """Where a task's answers go: one connection or stream of a client."""

    @property
    def is_connected(self) -> bool:
        """Its connection is open."""

    @property
    def accepts_any_release(self) -> bool:
        """It may be sent releases of tasks that were set up elsewhere."""

    @property
    def wire_form(self) -> WireFormat:
        """The wire form that it speaks."""

    @property
    def peer(self) -> str:
        """The client's host."""

    def awaits_answer(self, uid: int) -> bool:
        """It still waits for the answer to a set-up: it has neither given it up nor gone."""

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """The task stands."""

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Refused: asking again does no harm."""

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Failed: nothing is promised."""

    def reject_duplicate(self, uid: int) -> None:
        """It asked twice under one id: it must go, and is told so in its own wire's way."""

    def send_release(
        self, uid: int, outcome: Outcome, reason: Reason, detail: FailureCause | None = None
    ) -> None:
        """A task that stood is over."""

    def send_migrate(self, uid: int) -> None:
        """A task that stood is stopped; its owner should ask again."""

    def task_cancelled(self, uid: int) -> None:
        """A task that stood was ended by its owner, maybe elsewhere: nothing is to be sent."""


@dataclass(eq=False, slots=True)
class Attempt:
    """One offer of a task to a node."""

    uid: int
    number: int
    task_class: str
    idempotency_key: int
    description: bytes
    sent_us: int
    deadline_us: int
    machine: int = 0
    request: TaskRequest | None = None  # all that its owner said, for forms that have room for it
    priority: int = 0
    at_most_once: bool = False
    metadata: AnswerMetadata | None = None  # what the node was told beyond the owner's own words
    is_awaited: Callable[[], bool] = lambda: True  # somebody still waits for its task


class NodeConnection(Protocol):
    """What the core asks of a node; what comes back arrives in the core's inbox."""

    def send_attempt(self, attempt: Attempt) -> None:
        """Send a set-up; ends in ``Started`` or ``Finished`` unless it is withdrawn."""

    def withdraw_attempt(self, attempt: Attempt) -> bool:
        """Give an attempt up; true where no byte of it had left. Nothing of it comes back after this."""

    def cancel_task(self, uid: int) -> None:
        """End a task that stands there."""

    def watch_task(self, uid: int) -> None:
        """Listen for the end of a task that stands there."""

    def unwatch_task(self, uid: int) -> None:
        """Listen no more for a task."""

    def query_task(self, idempotency_key: int, uid: int) -> None:
        """Ask whether a task of this name runs or ran there; ends in ``Held``, or in nothing."""

    def reconnect(self) -> None:
        """Finish what is out on its connection, and make another."""

    def handshake_completed(self) -> None:
        """What it speaks and requires is known to the core: what waited for that may leave."""

    def check_health(self) -> None:
        """Ask for a report; ends in ``Probed``."""

    @property
    def has_pending_data(self) -> bool:
        """Something that was said to it has not left."""

    def drain(self) -> list[Attempt]:
        """Nothing new may leave from now on; gives back the attempts of which no byte had left."""

    def process_restarted(self, started_us: int) -> None:
        """Its process started at this time: what is out at the one before comes back as broken."""

    def resume(self) -> None:
        """It does not drain, or no longer."""

    def close(self) -> None:
        """The node is gone: drop the connection without a word."""


@dataclass(eq=False, slots=True)
class TaskRequest:
    """A task to be placed, or, with ``at``, one that stands on that node already."""

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
        """What it says of the fields that nodes may require."""
        return DeclaredFields(self.lifetime_hint_us, self.tenant, self.idempotency_key, self.service)


@dataclass(frozen=True, slots=True)
class CancelTask:
    """An owner gives a set-up up, or ends a task that stands."""

    uid: int


@dataclass(frozen=True, slots=True)
class ClientConnected:
    """A client's connection is open."""

    client: ClientConnection


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client's connection is closed: its open set-ups are given up; ``unsent`` releases never left."""

    client: ClientConnection
    pending_releases: Sequence[tuple[int, Outcome, Reason, FailureCause | None]] = ()


@dataclass(frozen=True, slots=True)
class TaskStarted:
    """A node says that the task runs."""

    machine: int
    uid: int
    description: bytes


@dataclass(frozen=True, slots=True)
class TaskFinished:
    """An attempt, or a task that stood, has ended."""

    machine: int
    uid: int
    outcome: Outcome
    reason: Reason = Reason.UNSPECIFIED
    load_report: LoadReport | None = None
    detail: FailureCause | None = None  # the node's own word, where its form has one that the module has not


@dataclass(frozen=True, slots=True)
class TaskStatusReply:
    """A node's answer about a task's name; ``standing`` by its number in thornshelf.v2."""

    machine: int
    idempotency_key: int
    status_code: int
    queried_uid: int = 0  # the id that the question named
    uid: int = 0  # under which it runs or ran
    description: bytes = b""
    outcome: Outcome = Outcome.OK
    reason: Reason = Reason.UNSPECIFIED


@dataclass(frozen=True, slots=True)
class HandshakeCompleted:
    """What a node speaks is known, and of the newer form its hello, or a later one."""

    machine: int
    wire_form: WireFormat
    hello: NodeCapabilities | None = None
    is_new_connection: bool = True  # the connection is new


@dataclass(frozen=True, slots=True)
class TaskProgress:
    """News of a task that stands, or of an attempt."""

    machine: int
    uid: int
    fact: TaskUpdateKind
    level: float


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """A probe's result."""

    machine: int
    outcome: Outcome
    latency_us: int
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class NodeLost:
    """A node's process is proved dead: what stood there is cut."""

    machine: int


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A peer's message to the module."""

    sender: int
    data: bytes


class Gossip(Protocol):
    """The other dispatchers, where the operator lets them talk."""

    def broadcast(self, data: bytes) -> None:
        """The module's message to its peers."""

    def is_checked_by_peer(self, machine: int) -> bool:
        """Whether another probes this suspect for all; its answer ends in ``Probed``."""

    def health_checked(self, item: HealthCheckCompleted) -> None:
        """A probe has its result."""

    def attempt_ended(self, machine: int, outcome: Outcome, reason: Reason) -> None:
        """An attempt at a node has ended so."""


@dataclass(frozen=True, slots=True)
class NodeEndpoint:
    """What the list of nodes says of one; ``started_us``: on the loop's clock, None if long ago."""

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
    """The whole list of nodes, or the entries that changed."""

    complete: bool
    version: int
    endpoints: Sequence[NodeEndpoint]


class RequestQueue(Protocol[T]):
    """The order in which set-ups go to the decision module; times in microseconds."""

    max_waiting: int  # that wait

    def put(
        self, item: T, priority: int, deadline_us: int, tenant: str | None = None, now_us: int = 0
    ) -> int:
        """Add one; the ticket takes it back."""

    def remove(self, ticket: int) -> None:
        """Its owner gave it up."""

    def pop_expired(self, now_us: int) -> list[T]:
        """Those that are to be refused now."""

    def pop_batch(self, now_us: int = 0) -> list[T]:
        """The next ones for the module."""

    def __len__(self) -> int:
        """How many wait."""


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
