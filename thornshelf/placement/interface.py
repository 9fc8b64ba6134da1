"""What a placer is told and what it may ask for: settings, events and actions.

Only types stand here. Every decision is in ``brain.py``; the wire is in ``drill.py``.
All times are seconds on the clock of the batches.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a repeated start of a task of a class may do."""

    ALWAYS = "safe"
    WITH_KEY = "keyed"
    NEVER = "unsafe"


class Scope(Enum):
    """A set of machines: all of them, those of one zone, of one cell, or a single one."""

    NONE = "none"
    ALL = "all"
    ZONE = "zone"
    CELL = "cell"
    MACHINE = "machine"


class Health(Enum):
    """How the list of machines describes a machine."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class Outcome(Enum):
    """How an attempt, or a probe, ended."""

    OK = "ok"
    ERROR = "error"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class Reason(Enum):
    """Why a machine refused, or why a placed task ended early."""

    UNSPECIFIED = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_SERVING = 4
    EVICTED = 5
    PREEMPTED = 6
    DRAINED = 7


class TaskUpdateKind(Enum):
    """What a note about a live attempt tells."""

    STARTED = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVED_FRACTION = 4
    MACHINE_MEMORY = 5


@dataclass(frozen=True, slots=True)
class TaskClass:
    """The terms on which tasks of one class are placed."""

    name: str
    idempotency: Idempotency = Idempotency.ALWAYS
    idempotency_scope: Scope = Scope.ALL
    idempotency_window_s: float = 0.0
    latency_objective_s: float = 0.0
    latency_objective_stretch: float = 0.0
    deadline_s: float = 0.0
    priority_weight: float = 1.0
    priority_weight_past_objective: float = 0.0
    start_weight_s: float = 0.0
    machine_kind: int | None = None
    priority: int = 0
    full_speed_utilization: float = 1.0
    lost_after: float = 0.0
    spread_scope: Scope = Scope.NONE
    max_per_domain: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its share of the service, over all placers."""

    name: str
    quota_per_s: float = 0.0
    quota_cores: float = 0.0
    fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a deployment permits."""

    max_attempts: int
    may_cancel: bool = False
    may_probe: bool = False
    may_hedge: bool = False
    may_gossip: bool = False
    retry_after: bool = False
    max_retry_after_s: float = 0.0
    connect_timeout_s: float = 0.0
    keepalive_s: float = 0.0
    max_open_requests: int = 0


@dataclass(frozen=True, slots=True)
class Prices:
    """Points that come off the result for each unit."""

    fleet: float = 0.0
    migrations: float = 0.0
    waste: float = 0.0
    cross_zone: float = 0.0
    gossip: float = 0.0
    health_check: float = 0.0
    rejected_attempt: float = 0.0
    migrations_per_eviction: float = 1.0
    endpoint_list_lines: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules."""

    answer_slack_s: float
    drain_grace_s: float
    slow_start_initial_speed: float
    slow_start_s: float
    overload_multiple: float
    slow_start_window_s: float
    slow_start_attempts: float
    poll_interval_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a placer is told at its start."""

    me: int
    placers: int
    zone: str
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    classes: tuple[TaskClass, ...]
    tenants: tuple[Tenant, ...]
    limits: Limits
    prices: Prices
    rules: Rules
    cores_by_kind: tuple[float, ...]
    memory_by_kind: tuple[float, ...]
    overcommit_cores: float
    overcommit_memory: float
    unit_cores: float
    mean_memory: float
    accepts_before_running: bool
    reports_count_usage: bool
    reports_in_answers: bool
    reports_in_probes: bool
    endpoint_list_shows_free: bool
    reports_usage: bool
    reports_pressure: bool
    preempts: bool
    single_home: bool
    confirmation_s: float
    over_quota_weight: float
    list_on_request: bool
    tick_s: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A machine's own figures, each where it is told; late and a little noisy."""

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
    """One line of the list of machines."""

    machine: int
    health: Health
    kind: str
    zone: str
    cell: int
    free_cores: float
    free_memory: float
    weight: float
    started_at: float


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The whole list of machines, or the entries that changed."""

    complete: bool
    version: int
    entries: Sequence[Endpoint]


@dataclass(frozen=True, slots=True)
class EndpointWatchFailed:
    """A call to the list failed, or its subscription broke; the old list still holds."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A task is to be placed; one final answer is owed."""

    request_id: int
    task_class: str
    tenant: str | None
    task: int
    budget_s: float
    lifetime_hint_s: float | None
    service: int
    cores: float
    memory: float
    repeat: bool = False
    is_retry: bool = False
    is_eligible: Callable[[int], bool] | None = None  # which machines can take it at all; none: any of them


@dataclass(frozen=True, slots=True)
class TaskAdopted:
    """A task that runs already and is now this placer's to look after; attempt 0 is made."""

    request: PlacementRequest
    machine: int


@dataclass(frozen=True, slots=True)
class AttemptAccepted:
    """An attempt was accepted, or runs, as the settings say: the request is answered."""

    request_id: int
    machine: int
    attempt: int
    latency_s: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt."""

    request_id: int
    machine: int
    attempt: int
    outcome: Outcome
    reason: Reason
    last: bool
    latency_s: float
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class TaskUpdate:
    """News of an attempt that is still out."""

    request_id: int
    machine: int
    attempt: int
    kind: TaskUpdateKind
    value: float


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of a probe."""

    machine: int
    outcome: Outcome
    latency_s: float
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """Another placer's message."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The task is no longer wanted: no answer is owed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set earlier has come due."""

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


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Offer the task to a machine; no time-out means: until the owner gives up."""

    request_id: int
    machine: int
    timeout_s: float | None


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: declined, asking again does no harm."""

    request_id: int
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Migrate:
    """Stop a placed task, so that it is asked for again."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask a machine for its report."""

    machine: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a ``Timer`` at or after a time."""

    at: float
    token: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send bytes to one peer, or to all of them."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to changes of the list, or stop."""

    enable: bool


@dataclass(frozen=True, slots=True)
class ReloadEndpoints:
    """Ask for the complete list once."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections to a machine."""

    machine: int


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | Migrate
    | CheckHealth
    | SetTimer
    | SendGossip
    | WatchEndpoints
    | ReloadEndpoints
    | CloseIdleConnections
    | Log
)
