"""The state that a placer keeps for each machine."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from thornshelf.placement.events import Health
from thornshelf.placement.hashing import unit_hash
from thornshelf.placement.machine_index import IndexedMachine, ResourcePair, clamp_usage


class DemandChange(NamedTuple):
    """A change of the demand of own tasks on a machine."""

    at: float
    cores: float
    memory: float


class Rejection(NamedTuple):
    """A demand that a machine refused for lack of resources, which it is assumed to lack until ``until``."""

    until: float
    demand: ResourcePair


class Machine(IndexedMachine):
    """A machine, with this placer's own tasks on it and its last known load and health."""

    def __init__(self, machine_id: int, changed: list[Machine]) -> None:
        """``changed`` is the index's list of machines to update."""
        super().__init__(unit_hash(machine_id, 0), changed)  # the same key at every placer
        self.id = machine_id
        self.kind = "?"
        self.kind_index = -1  # into ``Settings.kinds``; -1: a kind that is not in the settings
        self.zone = "?"
        self.in_other_zone = False
        self.cell = 0
        self.health = Health.REMOVED
        self.started_at = 0.0
        self.physical: ResourcePair = (0.0, 0.0)  # cores and memory of the hardware
        self.recent_attempts: deque[float] = deque()  # the times of own attempts that slow start counts
        self.tasks_by_service: dict[int, int] = {}  # the number of own tasks and attempts
        self.own_demand = [0.0, 0.0]  # their cores and memory
        self.peer_demand = [0.0, 0.0]  # cores and memory of peers' tasks, by gossip
        self.measured_usage = [0.0, 0.0]  # the usage of own tasks, where they report it
        self.measured_demand = [0.0, 0.0]  # the demand of the same tasks
        self.reset()

    def reset(self) -> None:
        """Set the initial state of the machine's process, which is new or was restarted."""
        self.reported_usage: ResourcePair | None = None  # cores and memory by the latest load report
        self.reported_at = -math.inf  # the time that the report describes
        self.demand_changes: deque[DemandChange] = deque()  # of own tasks, since that time
        self.demand_since_report = [0.0, 0.0]  # their sum
        self.last_ended_by_service: dict[int, float] = {}  # when the last own task of a service ended
        self.usage_limit: ResourcePair | None = None  # cached until reported usage or capacity changes
        self.invalidate()
        self.consecutive_failures = 0
        self.health_check_pending = False
        self.connection_lost_at = -math.inf
        self.ejected_until = 0.0
        self.backoff_until = 0.0
        self.pressure = 0.0  # from 0 to 1: how overloaded the machine is
        self.pressure_at = 0.0
        self.rejections_by_class: dict[str, Rejection] = {}
        self.pending_starts: dict[int, float] = {}  # the time of own attempts not started yet, by request
        self.start_delay_s: float | None = None  # a moving average

    def apply_report(self, at: float, usage: ResourcePair) -> None:
        """Apply a report of the usage at time ``at``; own demand that started later is added to it."""
        if at < self.reported_at:
            return
        self.reported_usage = clamp_usage(usage, self.capacity)
        self.reported_at = at
        self.invalidate()
        changes = self.demand_changes
        while changes and changes[0].at <= at:
            changes.popleft()
        if changes:
            self.demand_since_report = [sum(c.cores for c in changes), sum(c.memory for c in changes)]
        else:
            self.demand_since_report = [0.0, 0.0]

    def record_pressure(self, at: float, pressure: float) -> None:
        """Record how overloaded the machine is, from 0 to 1."""
        self.pressure = pressure
        self.pressure_at = at
