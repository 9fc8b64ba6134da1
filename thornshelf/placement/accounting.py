"""Accounts for the demand of own tasks: by machine, by service, and by tenant against its quota."""

from __future__ import annotations

from thornshelf.placement.context import PlacementContext
from thornshelf.placement.machine import DemandChange, Machine
from thornshelf.placement.machine_index import MAX_USAGE_RATIO, RESOURCES
from thornshelf.placement.requests import Attempt, AttemptState, PendingRequest


class DemandAccounting:
    """Keeps sums over the live attempts of this placer."""

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        self._tasks_by_service: dict[int, int] = {}
        self.cores_by_tenant: dict[str, float] = {}
        self.quota_cores: dict[str, float] = {}  # this placer's part of each tenant's quota
        self.divide_quotas(context.settings.placers)

    def divide_quotas(self, placers: int) -> None:
        """Divide the quota of each tenant evenly among the placers."""
        tenants = self._context.settings.tenants
        self.quota_cores = {tenant.name: tenant.quota_cores / max(1, placers) for tenant in tenants}

    def is_over_quota(self, request: PendingRequest) -> bool:
        """Return whether the task exceeds its tenant's quota; False if the settings don't penalize that."""
        tenant = request.spec.tenant or ""
        weight = self._context.settings.over_quota_weight
        quota = self.quota_cores.get(tenant, 0.0)
        used = self.cores_by_tenant.get(tenant, 0.0)
        return weight < 1.0 and 0.0 < quota < used + request.demand[0]

    def service_diversity(self) -> float:
        """Return the number of services per own task: 1 if no two tasks are of the same service."""
        return len(self._tasks_by_service) / max(1, sum(self._tasks_by_service.values()))

    def add(self, request: PendingRequest, attempt: Attempt) -> None:
        """Add an attempt that starts to the sums."""
        self._count(request, attempt, 1)

    def remove(self, request: PendingRequest, attempt: Attempt) -> None:
        """Remove an attempt that has ended from the sums."""
        self._count(request, attempt, -1)
        self._remove_measured_usage(request, attempt)

    def _count(self, request: PendingRequest, attempt: Attempt, sign: int) -> None:
        machine = attempt.machine
        service = request.spec.service
        tenant = request.spec.tenant or ""
        cores = sign * request.demand[0]
        memory = sign * request.demand[1]
        self.cores_by_tenant[tenant] = self.cores_by_tenant.get(tenant, 0.0) + cores
        own = machine.own_demand
        machine.own_demand = [own[0] + cores, own[1] + memory]
        since = machine.demand_since_report
        machine.demand_since_report = [since[0] + cores, since[1] + memory]
        machine.demand_changes.append(DemandChange(self._context.now, cores, memory))
        machine.invalidate()
        _count_service(machine.tasks_by_service, service, sign)
        _count_service(self._tasks_by_service, service, sign)
        if service not in machine.tasks_by_service and attempt.state is AttemptState.BOUND:
            machine.last_ended_by_service[service] = self._context.now

    def _remove_measured_usage(self, request: PendingRequest, attempt: Attempt) -> None:
        machine = attempt.machine
        for resource in RESOURCES:
            usage = attempt.measured_usage[resource]
            if usage is not None:
                machine.measured_usage[resource] -= usage
                machine.measured_demand[resource] -= request.demand[resource]
                machine.usage_limit = None


def record_usage(request: PendingRequest, attempt: Attempt, resource: int, usage: float) -> None:
    """Record the usage of a resource that a task reports, in place of its previous report."""
    machine: Machine = attempt.machine
    if (capacity := machine.capacity[resource]) > 0.0:
        usage = min(usage, MAX_USAGE_RATIO * capacity)  # as in reports of the machine
    before = attempt.measured_usage[resource]
    machine.measured_usage[resource] += usage - (before or 0.0)
    machine.measured_demand[resource] += request.demand[resource] if before is None else 0.0
    machine.usage_limit = None
    machine.cost_by_demand.clear()
    attempt.measured_usage[resource] = usage


def _count_service(tasks_by_service: dict[int, int], service: int, sign: int) -> None:
    tasks_by_service[service] = tasks_by_service.get(service, 0) + sign
    if tasks_by_service[service] <= 0:
        del tasks_by_service[service]
