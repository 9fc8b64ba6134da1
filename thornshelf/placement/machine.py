"""What a placer knows of one machine."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from thornshelf.placement.events import Health
from thornshelf.placement.hashing import unit_hash
from thornshelf.placement.machine_index import IndexedMachine, ResourcePair, clamp_usage


class DemandChange(NamedTuple):
    """A change of what own tasks on a machine ask for."""

    at: float
    cores: float
    memory: float


class Rejection(NamedTuple):
    """A demand that a machine refused for lack of resources; it is assumed to lack them until a time."""

    until: float
    demand: ResourcePair


class Machine(IndexedMachine):
    """A machine, with this placer's own tasks there and what is known of its load and health."""

    def __init__(self, machine: int, changed: list[Machine]) -> None:
        """``changed``: the index's list of machines to reindex."""
        super().__init__(unit_hash(machine, 0), changed)  # all placers share the order of these keys
        self.id = machine
        self.kind = "?"
        self.kind_index = -1  # into ``Settings.kinds``; -1: the settings do not know its kind
        self.zone = "?"
        self.in_other_zone = False
        self.cell = 0
        self.health = Health.REMOVED
        self.started_at = 0.0
        self.physical: ResourcePair = (0.0, 0.0)  # cores and memory of the hardware
        self.recent_attempts: deque[float] = deque()  # when, as far as slow start has to count
        self.tasks_by_service: dict[int, int] = {}  # own tasks and attempts here
        self.own_demand = [0.0, 0.0]  # what they ask for
        self.peer_demand = [0.0, 0.0]  # what peers' tasks ask for, by gossip
        self.measured_usage = [0.0, 0.0]  # usage of those own tasks that report it
        self.measured_demand = [0.0, 0.0]  # and what these ask for
        self.reset()

    def reset(self) -> None:
        """Discard what depends on the machine's process: it is new, or was restarted."""
        self.reported_usage: ResourcePair | None = None  # by the latest load report
        self.reported_at = -math.inf  # the moment that the report describes
        self.demand_changes: deque[DemandChange] = deque()  # of own tasks, since that moment
        self.demand_since_report = [0.0, 0.0]  # their sum
        self.last_ended_by_service: dict[int, float] = {}  # when the last own task of a service ended
        self.usage_limit: ResourcePair | None = None  # cached until reported usage or capacity changes
        self.invalidate()
        self.consecutive_failures = 0
        self.health_check_pending = False
        self.connection_lost_at = -math.inf
        self.ejected_until = 0.0
        self.backoff_until = 0.0
        self.pressure = 0.0  # the part of its work that the machine is short of, from 0 to 1
        self.pressure_at = 0.0
        self.rejections_by_class: dict[str, Rejection] = {}
        self.pending_starts: dict[int, float] = {}  # own attempts not started yet, by request: since when
        self.start_delay_s: float | None = None  # a running mean

    def apply_report(self, at: float, usage: ResourcePair) -> None:
        """Take a report of the usage at a time; own demand since then counts on top of it."""
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
        """Take how much of its work the machine is short of, from 0 to 1."""
        self.pressure = pressure
        self.pressure_at = at
