"""The events that a placer handles. Times are in seconds, on the clock that ``Placer.handle`` is given."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum


class Health(Enum):
    """The state of a machine in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    BROKEN = "broken"  # the connection was lost while the attempt was in flight
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class Reason(Enum):
    """Why a machine refused an attempt, or why a placed task ended early."""

    UNSPECIFIED = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_SERVING = 4
    EVICTED = 5
    PREEMPTED = 6
    DRAINED = 7


class TaskUpdateKind(Enum):
    """What a ``TaskUpdate`` reports."""

    STARTED = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVED_FRACTION = 4  # the fraction of the requested processor time that the task was given
    MACHINE_MEMORY = 5  # the fraction of the machine's memory in use


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a machine reports, with a delay and some noise; None for what it does not report."""

    free_cores: float | None = None
    free_memory: float | None = None
    active: float | None = None
    waiting: float | None = None
    busy: float | None = None
    start_ms: float | None = None
    starts_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The entry of one machine in the endpoint list."""

    machine: int
    health: Health
    kind: str
    zone: str
    cell: int
    free_cores: float
    free_memory: float
    weight: float
    started_at: float  # 0: unknown, so the machine is not in slow start


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The complete endpoint list, or the entries that changed."""

    complete: bool
    version: int
    entries: Sequence[Endpoint]


@dataclass(frozen=True, slots=True)
class EndpointWatchFailed:
    """A call for the endpoint list failed, or the subscription ended; the last list remains valid."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request to place a task; it is answered exactly once, unless it is cancelled."""

    request_id: int
    task_class: str
    tenant: str | None
    task: int
    budget_s: float  # the time until the request's deadline
    lifetime_hint_s: float | None
    service: int
    cores: float
    memory: float
    repeat: bool = False
    is_retry: bool = False
    is_eligible: Callable[[int], bool] | None = None  # takes a machine id; None: every machine is eligible


@dataclass(frozen=True, slots=True)
class TaskAdopted:
    """A running task is handed over to this placer, as attempt 0 of its request."""

    request: PlacementRequest
    machine: int


@dataclass(frozen=True, slots=True)
class AttemptAccepted:
    """An attempt succeeded, which answers the request.

    With ``Settings.accepts_before_running`` the machine has accepted the task; else the task runs.
    """

    request_id: int
    machine: int
    attempt: int
    latency_s: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; there is one such event for each attempt."""

    request_id: int
    machine: int
    attempt: int
    outcome: Outcome
    reason: Reason
    last: bool  # no further attempt of the request is wanted
    latency_s: float
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class TaskUpdate:
    """A report on an attempt that has not ended yet."""

    request_id: int
    machine: int
    attempt: int
    kind: TaskUpdateKind
    value: float


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of a health check."""

    machine: int
    outcome: Outcome
    latency_s: float
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """A message from another placer."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The client has cancelled the request: it expects no answer."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set with ``SetTimer`` is due."""

    token: int


Event = (
    EndpointUpdate
    | EndpointWatchFailed
    | PlacementRequest
    | TaskAdopted
    | AttemptAccepted
    | AttemptEnded
    | TaskUpdate
    | HealthCheckResult
    | GossipMessage
    | RequestCancelled
    | TimerFired
)
