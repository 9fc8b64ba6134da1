"""Estimates how much of a machine is used, and how much demand may be placed on it."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence

from thornshelf.placement.context import LEARNING_RATE, PlacementContext
from thornshelf.placement.machine import Machine
from thornshelf.placement.machine_index import RESOURCES, ResourcePair

UTILIZATION_STEPS = 4.0  # [D1] per machine; coarse, so that placers with different estimates agree
MAX_MEMORY_UTILIZATION = 0.9  # [D2] the rest is for tasks that grow after their start
PRIOR_CAPACITY_FRACTION = 0.1  # [D2] assumed usage counts as if measured on this fraction of the capacity
USAGE_LEARNING_RATE = 0.2 * LEARNING_RATE
REPORT_DECAY_S = 10.0  # [D6] how fast an old report's weight decays in favour of the fleet's mean


class UsageEstimator:
    """Estimates usage from load reports, gossip, own tasks and the mean utilization of the fleet."""

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        settings = context.settings
        classes = settings.classes
        self._required_kinds = {one.machine_kind for one in classes if one.machine_kind is not None}
        # [D2] Until usage is reported, the configured overcommitment implies the ratio of usage to demand.
        overcommit = (settings.overcommit_cores, settings.overcommit_memory)
        self._usage_ratio = [1.0 / max(1.0, ratio) for ratio in overcommit]
        max_core_utilization = min((one.full_speed_utilization for one in classes), default=1.0)
        self._usable_fraction = (max_core_utilization, MAX_MEMORY_UTILIZATION)
        self._mean_utilization = [0.0, 0.0]  # of the fleet's cores and memory
        self._unreported_fraction = 0.0  # the fraction of placers without a current digest
        self.utilization_steps = UTILIZATION_STEPS

    def estimate(self, machine: Machine) -> tuple[float, ...]:
        """Return the estimated usage of cores and memory.

        It is a weighted mean of the last load report, with own changes since, and of the known demand of own
        and peers' tasks plus the fleet's mean for all other placers. The report's weight decays with its age.
        """
        if machine.usage is None:
            own = machine.own_demand
            since = machine.demand_since_report
            reported = machine.reported_usage or (0.0, 0.0)
            report_weight = 0.0
            if machine.reported_usage is not None:  # [D6] decays with the age of the report
                age = self.report_age_s(machine)
                report_weight = 1.0 - self._unreported_fraction * (1.0 - math.exp(-age / REPORT_DECAY_S))
            refilled_fraction = 1.0
            if machine.started_at:  # the machine was empty when it started
                refilled_fraction -= math.exp(
                    min(0.0, machine.started_at - self._context.now) / REPORT_DECAY_S
                )
            unreported_weight = self._unreported_fraction * refilled_fraction
            mean_utilization = self._mean_utilization
            capacity = machine.capacity
            peers = machine.peer_demand
            assumed = [
                unreported_weight * mean_utilization[k] * capacity[k] + own[k] + peers[k] for k in RESOURCES
            ]
            observed = [max(reported[k] + since[k], own[k]) for k in RESOURCES]
            machine.usage = tuple(
                report_weight * observed[k] + (1.0 - report_weight) * assumed[k] for k in RESOURCES
            )
        return machine.usage

    def report_age_s(self, machine: Machine) -> float:
        """Return the age of the last load report; 0 where the endpoint list itself shows free resources."""
        if self._context.settings.endpoint_list_shows_free and machine.reported_usage is not None:
            return 0.0
        return self._context.now - machine.reported_at

    def limit(self, machine: Machine) -> ResourcePair:
        """Return the demand at which usage is expected to reach the usable part of the hardware [D2]."""
        if machine.usage_limit is None:
            machine.usage_limit = self._resource_limit(machine, 0), self._resource_limit(machine, 1)
        return machine.usage_limit

    def _resource_limit(self, machine: Machine, resource: int) -> float:
        capacity = machine.capacity[resource]
        prior_demand = PRIOR_CAPACITY_FRACTION * capacity
        demand = machine.measured_demand[resource] + prior_demand
        ratio = 1.0
        if demand > 0.0:
            ratio = (machine.measured_usage[resource] + prior_demand * self._usage_ratio[resource]) / demand
        if ratio <= 0.0:
            return capacity
        return min(capacity, self._usable_fraction[resource] * machine.physical[resource] / ratio)

    def observe_usage_ratio(self, resource: int, ratio: float) -> None:
        """Update the fleet's mean ratio of usage to demand by one task's ratio."""
        self._usage_ratio[resource] += USAGE_LEARNING_RATE * (ratio - self._usage_ratio[resource])

    def utilization_group(self, machine: Machine) -> tuple[bool, int]:
        """Return the machine's group in the order [D1]: highest utilization first, required kinds last."""
        usage = machine.usage or self.estimate(machine)
        cores = machine.capacity[0]
        step = round(self.utilization_steps * usage[0] / cores) if cores else 0
        return machine.kind_index in self._required_kinds, -step

    def update_utilization_steps(self, service_diversity: float) -> None:
        """Use fewer steps where services are diverse [D1]: the placers' estimates differ more then."""
        self.utilization_steps = UTILIZATION_STEPS * (1.0 - service_diversity)

    def update_averages(self, machines: Sequence[Machine], reporting_peers: Collection[int]) -> None:
        """Recompute the fleet's mean utilization from load reports and from known demand.

        The demand of own and peers' tasks, scaled up to all placers, counts as much as one machine's report.
        With many placers, own tasks on a machine say little about its usage.
        """
        reporting_placers = 1 + len(reporting_peers)
        known_fraction = reporting_placers / max(1, self._context.settings.placers, reporting_placers)
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
                used = reported[resource] + known_demand[resource] / known_fraction / count
                self._mean_utilization[resource] = used / (
                    reporting_capacity[resource] + capacity[resource] / count
                )
        self._unreported_fraction = 1.0 - known_fraction
