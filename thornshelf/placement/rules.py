"""The rules for every attempt: health, machine kind, eligibility, idempotency, slow start and spread.

Rule 2 forbids attempts that may double an effect, and rule 3 attempts on draining machines; rule 4 limits
attempts during slow start, and rule 5 the tasks of a service in one failure domain. Rule 1, a single answer
before the deadline, is kept by ``scheduling``.
"""

from __future__ import annotations

from thornshelf.placement.context import PlacementContext
from thornshelf.placement.endpoints import EndpointTable
from thornshelf.placement.events import Health
from thornshelf.placement.machine import Machine
from thornshelf.placement.requests import AttemptState, PendingRequest
from thornshelf.placement.settings import Idempotency, Scope
from thornshelf.placement.slow_start import SlowStart


class PlacementRules:
    """Decides which machines a request may be sent to, regardless of cost."""

    def __init__(self, context: PlacementContext, endpoints: EndpointTable, slow_start: SlowStart) -> None:
        self._context = context
        self._endpoints = endpoints
        self._slow_start = slow_start

    def forbidden_machines(self, request: PendingRequest) -> set[Machine]:
        """Return the machines that are up but must not be sent the request.

        Most classes are restricted by slow start alone: then only machines in slow start are checked.
        """
        task_class = request.task_class
        if (
            task_class.machine_kind is not None
            or request.spec.is_eligible is not None
            or task_class.spread_scope is not Scope.NONE
            or (request.attempts and task_class.idempotency is not Idempotency.ALWAYS)
        ):
            return {m for m in self._endpoints.index.up if not self.allows_attempt(request, m)}
        slow_start = self._slow_start
        quota = slow_start.attempts_per_window
        return {
            m
            for m in slow_start.machines
            if len(m.recent_attempts) >= quota and not slow_start.allows_attempt(m)
        }

    def allows_attempt(self, request: PendingRequest, machine: Machine) -> bool:
        """Return whether all rules permit an attempt of the request on the machine."""
        kind = request.task_class.machine_kind
        is_eligible = request.spec.is_eligible
        return (
            machine.health is Health.UP  # rule 3: a draining machine is sent nothing
            and (kind is None or machine.kind_index == kind)
            and (is_eligible is None or is_eligible(machine.id))
            and self._allows_repeat_on(request, machine)
            and (machine.started_at <= 0.0 or self._slow_start.allows_attempt(machine))
            and self._allows_spread(request, machine)
        )

    def allows_rejection(self, request: PendingRequest) -> bool:
        """Return whether the client may safely retry after a rejection: no effect is doubled (rule 2)."""
        task_class = request.task_class
        return (
            not self._may_have_run(request)
            or task_class.idempotency is Idempotency.ALWAYS
            or (task_class.idempotency is Idempotency.WITH_KEY and task_class.idempotency_scope is Scope.ALL)
        )

    def _allows_repeat_on(self, request: PendingRequest, machine: Machine) -> bool:
        """Return whether another attempt on this machine is safe: no effect is doubled (rule 2)."""
        earlier = [a for a in request.attempts if a.state is not AttemptState.NEVER_RAN]
        task_class = request.task_class
        if not earlier or task_class.idempotency is Idempotency.ALWAYS:
            return True
        if task_class.idempotency is Idempotency.NEVER:
            return False
        keys_recorded_until = min(a.sent_at for a in earlier) + task_class.idempotency_window_s
        if self._context.now >= keys_recorded_until - 2.0 * self._context.settings.tick_s:
            return False
        scope = task_class.idempotency_scope
        return scope is Scope.ALL or all(_are_in_same_domain(scope, a.machine, machine) for a in earlier)

    def _may_have_run(self, request: PendingRequest) -> bool:
        return any(a.state is not AttemptState.NEVER_RAN for a in request.attempts)

    def _allows_spread(self, request: PendingRequest, machine: Machine) -> bool:
        """Return whether the service stays within its limit in the machine's failure domain (rule 5)."""
        task_class = request.task_class
        scope = task_class.spread_scope
        if scope is Scope.NONE:
            return True
        service = request.spec.service
        count = sum(
            other.tasks_by_service.get(service, 0)
            for other in self._endpoints.machines.values()
            if other is machine or _are_in_same_domain(scope, other, machine)
        )
        return count < task_class.max_per_domain


def _are_in_same_domain(scope: Scope, first: Machine, second: Machine) -> bool:
    """Return whether two machines are in the same zone or cell, as the scope demands."""
    return (scope is Scope.ZONE and first.zone == second.zone) or (
        scope is Scope.CELL and first.cell == second.cell
    )
