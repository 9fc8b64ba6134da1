"""The settings of a placer: the deployment, its task classes, and the limits, prices and rules in force.

``thornshelf.placement.simulator`` maps the keys of the wire and of configuration files to these fields.
Durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a task of a class may be started more than once."""

    ALWAYS = "safe"  # a repeated start has no further effect
    WITH_KEY = "keyed"  # machines drop duplicates by idempotency key, within a scope and a time window
    NEVER = "unsafe"


class Scope(Enum):
    """A set of machines: none, all, those of one zone or one cell, or a single machine."""

    NONE = "none"
    ALL = "all"
    ZONE = "zone"
    CELL = "cell"
    MACHINE = "machine"


@dataclass(frozen=True, slots=True)
class TaskClass:
    """How tasks of one class are placed."""

    name: str
    idempotency: Idempotency = Idempotency.ALWAYS
    idempotency_scope: Scope = Scope.ALL  # the machines that share one record of keys
    idempotency_window_s: float = 0.0  # how long a machine remembers a key
    latency_objective_s: float = 0.0
    latency_objective_stretch: float = 0.0
    deadline_s: float = 0.0
    priority_weight: float = 1.0
    priority_weight_past_objective: float = 0.0
    start_weight_s: float = 0.0
    machine_kind: int | None = None  # an index into ``Settings.kinds``; None: any kind
    priority: int = 0
    full_speed_utilization: float = 1.0  # tasks slow down above this utilization of cores
    lost_after: float = 0.0
    spread_scope: Scope = Scope.NONE  # the failure domain over which tasks of one service are spread
    max_per_domain: int = 0  # the most tasks of one service in one such domain


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota, which all placers share."""

    name: str
    quota_per_s: float = 0.0
    quota_cores: float = 0.0
    fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a deployment permits a placer to do."""

    max_attempts: int  # per request
    may_cancel: bool = False
    may_probe: bool = False
    may_hedge: bool = False
    may_gossip: bool = False
    retry_after: bool = False  # a rejection may carry a delay before the next retry
    max_retry_after_s: float = 0.0
    connect_timeout_s: float = 0.0
    keepalive_s: float = 0.0
    max_open_requests: int = 0  # 0: no limit


@dataclass(frozen=True, slots=True)
class Prices:
    """The price of one unit of each cost, in points deducted from the score."""

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
    """The parameters of the rules that every placer must keep."""

    answer_slack_s: float
    drain_grace_s: float
    slow_start_initial_speed: float
    slow_start_s: float  # the time after its start during which a machine is in slow start
    overload_multiple: float
    slow_start_window_s: float  # the window over which attempts during slow start are counted
    slow_start_attempts: float  # the most attempts of all placers together in one window
    poll_interval_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The complete settings of one placer."""

    me: int  # the index of this placer, from 0
    placers: int  # the number of placers
    zone: str
    zones: tuple[str, ...]
    kinds: tuple[str, ...]  # of machines; the ``_by_kind`` fields are in the same order
    classes: tuple[TaskClass, ...]
    tenants: tuple[Tenant, ...]
    limits: Limits
    prices: Prices
    rules: Rules
    cores_by_kind: tuple[float, ...]
    memory_by_kind: tuple[float, ...]
    overcommit_cores: float  # a machine admits demand up to this multiple of its cores
    overcommit_memory: float  # and up to this multiple of its memory
    unit_cores: float
    mean_memory: float
    accepts_before_running: bool  # machines accept a task before it starts
    reports_count_usage: bool
    reports_in_answers: bool
    reports_in_probes: bool
    endpoint_list_shows_free: bool
    reports_usage: bool  # machines report the usage of each task
    reports_pressure: bool
    preempts: bool
    single_home: bool
    confirmation_s: float
    over_quota_weight: float  # the factor on the priority weight of a task beyond its tenant's quota
    list_on_request: bool  # the endpoint list is sent to subscribers only
    tick_s: float  # the resolution of timers
