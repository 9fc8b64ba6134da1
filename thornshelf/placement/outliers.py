"""Outlier detection [D4]: ejects machines after consecutive failures and checks their health."""

from __future__ import annotations

from thornshelf.placement.actions import CheckHealth, Log
from thornshelf.placement.context import PlacementContext
from thornshelf.placement.endpoints import EndpointTable
from thornshelf.placement.events import Health, HealthCheckResult, Outcome, Reason
from thornshelf.placement.health_check_schedule import HealthCheckSchedule
from thornshelf.placement.machine import Machine, Rejection
from thornshelf.placement.requests import AttemptState, PendingRequest

FAILURES_BEFORE_EJECTION = 2  # consecutive; a single failure may be chance
EJECTION_S = 1.0  # doubles with each further failure
MAX_EJECTION_S = 8.0
QUEUE_FULL_BACKOFF_S = 0.4  # from a machine that refused an attempt as its queue was full
REJECTION_TTL_S = 2.0  # how long a refusal for lack of resources counts


class OutlierDetector:
    """Counts failures, and excludes machines from placement: by ejection or by a back-off.

    An ejected machine returns early if it passes a health check.
    """

    def __init__(self, context: PlacementContext, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self.ejected_ids: set[int] = set()  # machines whose health is to be checked
        self._excluded: set[Machine] = set()  # ejected or in back-off, perhaps expired
        self.set_quota(context.settings.me, context.settings.placers)

    def set_quota(self, me: int, placers: int) -> None:
        """Set this placer's index and the number of placers that share the limit of health checks."""
        self._schedule = HealthCheckSchedule(me, placers)

    def excluded_machines(self) -> set[Machine]:
        """Return the machines that are ejected or in back-off."""
        now = self._context.now
        self._excluded = {m for m in self._excluded if now < m.ejected_until or now < m.backoff_until}
        return self._excluded

    def record_success(self, machine: Machine) -> None:
        """Clear the failures and the ejection of a machine that answered correctly."""
        machine.consecutive_failures = 0
        machine.ejected_until = 0.0
        self.ejected_ids.discard(machine.id)

    def record_failure(self, machine: Machine, outcome: Outcome) -> None:
        """Count a failure; consecutive ones exclude the machine.

        A single failure only raises its rank, as all machines may be slow at once.
        """
        context = self._context
        if outcome is Outcome.BROKEN:
            if context.now <= machine.connection_lost_at:
                return  # attempts lost at the same time were on one connection
            machine.connection_lost_at = context.now
        if context.stalled:
            return
        machine.consecutive_failures += 1
        is_error = outcome is Outcome.ERROR
        already_excluded_until = machine.backoff_until if is_error else machine.ejected_until
        if machine.consecutive_failures < FAILURES_BEFORE_EJECTION or context.now < already_excluded_until:
            return
        doublings = machine.consecutive_failures - FAILURES_BEFORE_EJECTION
        duration_s = min(EJECTION_S * 2.0**doublings, MAX_EJECTION_S)
        self._excluded.add(machine)
        if is_error:
            # Not ejected: a health check might pass all the same, and end the ejection.
            machine.backoff_until = context.now + duration_s
        else:
            machine.ejected_until = context.now + duration_s
            self.ejected_ids.add(machine.id)
            context.request_housekeeping()  # sends a health check at once
        context.actions.append(Log(f"suspect {machine.id} for {duration_s:g} s: {outcome.value}"))

    def record_rejection(self, request: PendingRequest, machine: Machine, reason: Reason) -> None:
        """Back off from a machine that refused an attempt, for as long as the reason suggests."""
        now = self._context.now
        self._excluded.add(machine)
        if reason is Reason.QUEUE_FULL:
            machine.backoff_until = now + QUEUE_FULL_BACKOFF_S
        elif reason is not Reason.NOT_SERVING:
            # Only this class: the machine may have capacity for other ones.
            rejection = Rejection(now + REJECTION_TTL_S, request.demand)
            machine.rejections_by_class[request.task_class.name] = rejection
        elif not any(a.state is AttemptState.MAY_HAVE_RUN for a in request.attempts):
            machine.backoff_until = now + EJECTION_S  # it drains, or the endpoint list is outdated

    def record_health_check(self, event: HealthCheckResult) -> None:
        """Record the result of a health check; a pass ends the ejection."""
        machine = self._endpoints.machines.get(event.machine)
        if machine is None:
            return
        machine.health_check_pending = False
        if event.outcome is Outcome.OK:
            self.record_success(machine)
            self._endpoints.record_report(machine, event.report)

    def check_health(self) -> None:
        """Send the health checks that are due."""
        machines = self._endpoints.machines
        self.ejected_ids &= machines.keys()
        self._schedule.retain(self.ejected_ids)
        if not self._context.settings.limits.may_probe:
            return
        for machine_id in sorted(self.ejected_ids):
            machine = machines[machine_id]
            if machine.health_check_pending or machine.health is not Health.UP:
                continue
            if self._schedule.is_due(machine_id, self._context.now):
                machine.health_check_pending = True
                self._context.actions.append(CheckHealth(machine.id))
