"""The settings of a placer: the deployment, its classes of tasks, and the limits, prices and rules in force.

The outer keys of these settings are in ``thornshelf.placement.simulator``. Durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a task of a class may be started more than once."""

    ALWAYS = "safe"  # a repeated start does no harm
    WITH_KEY = "keyed"  # machines drop duplicates by the idempotency key, within a scope and for a while
    NEVER = "unsafe"


class Scope(Enum):
    """A set of machines: none, all, those of one zone, those of one cell, or a single machine."""

    NONE = "none"
    ALL = "all"
    ZONE = "zone"
    CELL = "cell"
    MACHINE = "machine"


@dataclass(frozen=True, slots=True)
class TaskClass:
    """The terms on which tasks of one class are placed."""

    name: str
    idempotency: Idempotency = Idempotency.ALWAYS
    idempotency_scope: Scope = Scope.ALL  # machines that share their records of idempotency keys
    idempotency_window_s: float = 0.0  # how long a key is recorded
    latency_objective_s: float = 0.0
    latency_objective_stretch: float = 0.0
    deadline_s: float = 0.0
    priority_weight: float = 1.0
    priority_weight_past_objective: float = 0.0
    start_weight_s: float = 0.0
    machine_kind: int | None = None  # an index into ``Settings.kinds``; none: any kind
    priority: int = 0
    full_speed_utilization: float = 1.0  # tasks run at full speed up to this part of its cores in use
    lost_after: float = 0.0
    spread_scope: Scope = Scope.NONE  # the failure domain over which tasks of one service are spread
    max_per_domain: int = 0  # how many of them may run in one such domain


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota, over all placers together."""

    name: str
    quota_per_s: float = 0.0
    quota_cores: float = 0.0
    fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a deployment permits a placer to do."""

    max_attempts: int  # for each request
    may_cancel: bool = False
    may_probe: bool = False
    may_hedge: bool = False
    may_gossip: bool = False
    retry_after: bool = False  # whether a rejection may say when to retry
    max_retry_after_s: float = 0.0
    connect_timeout_s: float = 0.0
    keepalive_s: float = 0.0
    max_open_requests: int = 0  # 0: no limit


@dataclass(frozen=True, slots=True)
class Prices:
    """Points that are deducted from the result for each unit."""

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
    """The parameters of the rules that placers are held to."""

    answer_slack_s: float
    drain_grace_s: float
    slow_start_initial_speed: float
    slow_start_s: float  # how long a machine is in slow start after its start
    overload_multiple: float
    slow_start_window_s: float  # the window in which attempts to a machine in slow start are counted
    slow_start_attempts: float  # how many of them all placers together may send it within a window
    poll_interval_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a placer is given at its start."""

    me: int  # this placer's number, from 0
    placers: int  # how many placers there are
    zone: str
    zones: tuple[str, ...]
    kinds: tuple[str, ...]  # of machines; sizes by kind are below
    classes: tuple[TaskClass, ...]
    tenants: tuple[Tenant, ...]
    limits: Limits
    prices: Prices
    rules: Rules
    cores_by_kind: tuple[float, ...]
    memory_by_kind: tuple[float, ...]
    overcommit_cores: float  # a machine admits requests for so many times its cores
    overcommit_memory: float
    unit_cores: float
    mean_memory: float
    accepts_before_running: bool  # a machine's acceptance precedes the task's start
    reports_count_usage: bool
    reports_in_answers: bool
    reports_in_probes: bool
    endpoint_list_shows_free: bool
    reports_usage: bool  # machines report the usage of single tasks
    reports_pressure: bool
    preempts: bool
    single_home: bool
    confirmation_s: float
    over_quota_weight: float  # the priority weight of a task beyond its tenant's quota, as a fraction
    list_on_request: bool  # the endpoint list is sent only after a subscription
    tick_s: float  # the resolution of timers
