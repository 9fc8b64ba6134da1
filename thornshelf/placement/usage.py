"""Estimates of how much of a machine is used, and of how much of it may be promised to tasks."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence

from thornshelf.placement.context import LEARNING_RATE, PlacementContext
from thornshelf.placement.machine import Machine
from thornshelf.placement.machine_index import RESOURCES, ResourcePair

FULLNESS_STEPS = 4.0  # [D1] steps of fullness, coarse enough for placers with differing estimates to agree
FULL_MEMORY = 0.9  # [D2] memory in use is planned up to this part: tasks grow after their start
PRIOR_WEIGHT = 0.1  # [D2] the part of a machine's demand for which assumed usage counts beside the measured
USAGE_LEARNING_RATE = 0.2 * LEARNING_RATE
REPORT_DECAY_S = 10.0  # [D6] a report of others' tasks fades to the fleet's average over about so long


class UsageEstimator:
    """Estimates usage from load reports, gossip, own tasks, and the average of the fleet."""

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        settings = context.settings
        classes = settings.classes
        self._required_kinds = {one.machine_kind for one in classes if one.machine_kind is not None}
        # [D2] Until usage is reported, the operators' own overcommitment gives the ratio of usage to demand.
        overcommit = (settings.overcommit_cores, settings.overcommit_memory)
        self._usage_ratio = [1.0 / max(1.0, ratio) for ratio in overcommit]
        full_cores = min((one.full_speed_utilization for one in classes), default=1.0)
        self._full = (full_cores, FULL_MEMORY)
        self._mean = [0.0, 0.0]  # used part of the fleet's capacity
        self._unreported_fraction = 0.0  # the part of all placers from which no gossip came
        self.fullness_steps = FULLNESS_STEPS

    def estimate(self, machine: Machine) -> tuple[float, ...]:
        """Return the cores and memory used.

        What was reported, with own changes since, is mixed by the report's age with own and peers' tasks and
        the average of all others.
        """
        if machine.usage is None:
            own = machine.own_demand
            since = machine.demand_since_report
            reported = machine.reported_usage or (0.0, 0.0)
            trust = 0.0
            if machine.reported_usage is not None:  # [D6] an old report tends to the average
                age = self.report_age_s(machine)
                trust = 1.0 - self._unreported_fraction * (1.0 - math.exp(-age / REPORT_DECAY_S))
            filled = 1.0
            if machine.started_at:  # it was empty when it started
                filled -= math.exp(min(0.0, machine.started_at - self._context.now) / REPORT_DECAY_S)
            others = self._unreported_fraction * filled
            mean = self._mean
            capacity = machine.capacity
            peers = machine.peer_demand
            assumed = [others * mean[k] * capacity[k] + own[k] + peers[k] for k in RESOURCES]
            observed = [max(reported[k] + since[k], own[k]) for k in RESOURCES]
            machine.usage = tuple(trust * observed[k] + (1.0 - trust) * assumed[k] for k in RESOURCES)
        return machine.usage

    def report_age_s(self, machine: Machine) -> float:
        """Return the age of the last report; an endpoint list that shows free resources is current."""
        if self._context.settings.endpoint_list_shows_free and machine.reported_usage is not None:
            return 0.0
        return self._context.now - machine.reported_at

    def limit(self, machine: Machine) -> ResourcePair:
        """[D2] Return how much demand may be placed there before *usage* crowds cores or fills memory."""
        if machine.usage_limit is None:
            machine.usage_limit = self._resource_limit(machine, 0), self._resource_limit(machine, 1)
        return machine.usage_limit

    def _resource_limit(self, machine: Machine, resource: int) -> float:
        capacity = machine.capacity[resource]
        prior = PRIOR_WEIGHT * capacity
        demand = machine.measured_demand[resource] + prior
        ratio = 1.0
        if demand > 0.0:
            ratio = (machine.measured_usage[resource] + prior * self._usage_ratio[resource]) / demand
        if ratio <= 0.0:
            return capacity
        return min(capacity, self._full[resource] * machine.physical[resource] / ratio)

    def observe_usage_ratio(self, resource: int, ratio: float) -> None:
        """Take a task's usage of a resource, as a part of its demand, into the fleet's mean ratio."""
        self._usage_ratio[resource] += USAGE_LEARNING_RATE * (ratio - self._usage_ratio[resource])

    def fullness_group(self, machine: Machine) -> tuple[bool, int]:
        """[D1] Group machines that are about equally full: the fullest first, required kinds last."""
        usage = machine.usage or self.estimate(machine)
        cores = machine.capacity[0]
        fullness = round(self.fullness_steps * usage[0] / cores) if cores else 0
        return machine.kind_index in self._required_kinds, -fullness

    def adapt_fullness_steps(self, service_diversity: float) -> None:
        """[D1] Where services differ, distinguish fewer steps: placers' estimates differ more then."""
        self.fullness_steps = FULLNESS_STEPS * (1.0 - service_diversity)

    def update_averages(self, machines: Sequence[Machine], reporting_peers: Collection[int]) -> None:
        """Compute the used part of the fleet: of machines that reported, and of all known tasks as one more.

        Where there are many placers, own tasks on a machine say little of it: others' tasks count by average.
        """
        reporting_placers = 1 + len(reporting_peers)
        known = reporting_placers / max(1, self._context.settings.placers, reporting_placers)
        reported = [0.0, 0.0]
        reporting_capacity = [0.0, 0.0]
        capacity = [0.0, 0.0]
        known_demand = [0.0, 0.0]
        for machine in machines:
            for resource in RESOURCES:
                capacity[resource] += machine.capacity[resource]
                known_demand[resource] += machine.own_demand[resource] + machine.peer_demand[resource]
                if machine.reported_usage is not None:
                    reported[resource] += machine.reported_usage[resource]
                    reporting_capacity[resource] += machine.capacity[resource]
        count = max(1, len(machines))
        for resource in RESOURCES:
            if capacity[resource] > 0.0:
                used = reported[resource] + known_demand[resource] / known / count
                self._mean[resource] = used / (reporting_capacity[resource] + capacity[resource] / count)
        self._unreported_fraction = 1.0 - known
