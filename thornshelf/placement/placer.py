"""The placer: dispatches events to the components that handle them and returns the resulting actions.

The types are in settings.py, events.py and actions.py. The algorithm is Online-OBO: a task is priced by the
current usage of the pooled fleet and rejected at once where the price is above a threshold; otherwise it goes
to the machine of lowest cost on which it fits. docs/design.md cites the paper and describes our deviations,
marked [D1] to [D6].
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from thornshelf.placement.accounting import DemandAccounting, record_usage
from thornshelf.placement.actions import Action, SetTimer
from thornshelf.placement.candidates import CandidateSelector
from thornshelf.placement.context import PlacementContext
from thornshelf.placement.endpoints import EndpointTable
from thornshelf.placement.events import (
    AttemptAccepted,
    AttemptEnded,
    EndpointUpdate,
    EndpointWatchFailed,
    Event,
    GossipMessage,
    HealthCheckResult,
    Outcome,
    PlacementRequest,
    Reason,
    RequestCancelled,
    TaskAdopted,
    TaskUpdate,
    TaskUpdateKind,
    TimerFired,
)
from thornshelf.placement.latency import LatencyTracker
from thornshelf.placement.load_digest import LoadGossip
from thornshelf.placement.machine import Machine
from thornshelf.placement.outliers import OutlierDetector
from thornshelf.placement.pricing import PROGRAM_CACHE_TTL_S, Pricing
from thornshelf.placement.requests import Attempt, AttemptState, PendingRequest, RequestTable
from thornshelf.placement.reservations import LargeTaskReservations
from thornshelf.placement.rules import PlacementRules
from thornshelf.placement.scheduling import RequestScheduler
from thornshelf.placement.settings import Settings
from thornshelf.placement.slow_start import SlowStart
from thornshelf.placement.usage import UsageEstimator

AVERAGES_INTERVAL_S = 0.25
HOUSEKEEPING_INTERVAL_S = 0.25
IDLE_HOUSEKEEPING_INTERVAL_S = 1.0  # where no machine is ejected
HOUSEKEEPING_TOKEN = 1 << 40  # above all request ids, which are the tokens of request timers
NEVER_RAN_OUTCOMES = frozenset({Outcome.REFUSED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT})


class Placer:
    """Places tasks on machines. Pass all events to ``handle`` and carry out the actions that it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """``seed`` makes the random choices among equal machines and equal requests reproducible."""
        self._context = context = PlacementContext(settings, seed)
        self._task_classes = {task_class.name: task_class for task_class in settings.classes}
        self._retries: list[PendingRequest] = []  # requests to retry at the end of the current call
        self._averages_updated_at = -math.inf
        self._program_cache_expires_at = 0.0
        self._requests = RequestTable()
        self.latency = LatencyTracker(context)
        self.usage = UsageEstimator(context)
        self.slow_start = SlowStart(context)
        self.endpoints = EndpointTable(context, self.usage, self.slow_start)
        self.accounting = DemandAccounting(context)
        self.reservations = LargeTaskReservations(context, self.endpoints, self.usage)
        self.outliers = OutlierDetector(context, self.endpoints)
        self.gossip = LoadGossip(context, self.endpoints)
        self.rules = PlacementRules(context, self.endpoints, self.slow_start)
        self.pricing = Pricing(context, self.usage, self.slow_start, self.latency, self.reservations)
        self.candidates = CandidateSelector(
            context,
            self.endpoints,
            self.usage,
            self.pricing,
            self.rules,
            self.reservations,
            self.outliers,
            self.accounting,
        )
        self.scheduler = RequestScheduler(
            context,
            self._requests,
            self.endpoints,
            self.candidates,
            self.rules,
            self.slow_start,
            self.latency,
            self.accounting,
        )
        self._handlers = self._event_handlers()

    def _event_handlers(self) -> dict[type[Event], Callable[[Any], None]]:
        """Return the handler of each type of event; ``handle`` collects requests and places them last."""
        return {
            EndpointUpdate: self._update_endpoints,
            EndpointWatchFailed: self.endpoints.record_watch_failure,
            TaskAdopted: self._adopt_task,
            AttemptAccepted: self._accept_attempt,
            AttemptEnded: self._end_attempt,
            TaskUpdate: self._update_task,
            HealthCheckResult: self.outliers.record_health_check,
            GossipMessage: self.gossip.record_digest,
            RequestCancelled: self._cancel_request,
            TimerFired: self._expire_request,
        }

    @property
    def actions(self) -> list[Action]:
        """The actions of the last call of ``handle``, even if it raised an exception."""
        return self._context.actions

    @property
    def settings(self) -> Settings:
        """The current settings: those given at the start, with the changes made by ``set_quota``."""
        return self._context.settings

    @property
    def machines(self) -> dict[int, Machine]:
        """All known machines, by id."""
        return self.endpoints.machines

    @property
    def requests(self) -> dict[int, PendingRequest]:
        """The requests that are unanswered or whose tasks run, by id."""
        return self._requests.requests

    @property
    def slow_start_window_s(self) -> float:
        """The window, in seconds, over which attempts to a machine in slow start are counted."""
        return self.slow_start.window_s

    @property
    def slow_start_quota(self) -> int:
        """The number of attempts per window that this placer may always send a machine in slow start."""
        return self.slow_start.attempts_per_window

    def is_warming_up(self, machine: Machine) -> bool:
        """Return whether the machine is in slow start, when it may not run at full speed yet."""
        return self.slow_start.is_warming_up(machine)

    def set_quota(
        self, me: int, placers: int, slow_start_placers: int = 0, partition_remainder: bool = True
    ) -> None:
        """Set this placer's index and the number of placers that share quotas.

        ``slow_start_placers`` is the number of placers that share the attempts to machines in slow start; 0
        means ``placers``. With ``partition_remainder``, all placers have distinct indices, so the remainder
        of that division is used too.
        """
        context = self._context
        context.settings = replace(context.settings, me=me, placers=placers)
        self.outliers.set_quota(me, placers)
        self.slow_start.set_quota(slow_start_placers or placers, partition_remainder)
        self.accounting.divide_quotas(placers)

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        """Handle the events up to ``now``, in seconds, and return the actions to carry out, in order.

        Placement requests are handled after all other events, and retries before new requests.
        """
        context = self._context
        context.now = now
        context.actions = []
        housekeeping_due_at = context.next_housekeeping_at + HOUSEKEEPING_INTERVAL_S
        context.stalled = now > housekeeping_due_at > HOUSEKEEPING_INTERVAL_S  # [D4] own timer fired late
        requests: list[PendingRequest] = []
        self._retries = []
        for event in events:
            if isinstance(event, PlacementRequest):
                requests.append(self._accept_request(event))
            else:
                self._handlers[type(event)](event)
        if (requests or self._retries) and now >= self._averages_updated_at + AVERAGES_INTERVAL_S:
            self.update_averages()
        for request in self._retries:
            self.scheduler.place(request)
        self.scheduler.place_batch(requests)
        if now >= context.next_housekeeping_at:
            self._do_housekeeping()
        return context.actions

    # requests

    def _accept_request(self, spec: PlacementRequest) -> PendingRequest:
        """Track a new request and set a timer that fires just before its deadline."""
        request = self.track(spec)
        timer_at = request.deadline - 2.0 * self._context.settings.tick_s
        self._context.actions.append(SetTimer(timer_at, spec.request_id))
        self.gossip.record_request()
        return request

    def track(self, spec: PlacementRequest) -> PendingRequest:
        """Track a request until it is answered and its task has ended."""
        deadline = self._context.now + spec.budget_s
        request = PendingRequest(spec, self._task_classes[spec.task_class], deadline)
        self._requests.add(request)
        self.reservations.record(request.task_class, request.demand)
        return request

    def discard_if_done(self, request: PendingRequest) -> None:
        """Discard a request that is answered and whose attempts have all ended."""
        self._requests.discard_if_done(request)

    def _cancel_request(self, event: RequestCancelled) -> None:
        """Mark a request as cancelled: it needs no answer."""
        request = self._requests.get(event.request_id)
        if request is not None:
            request.open = False
            self._requests.discard_if_done(request)

    def _expire_request(self, event: TimerFired) -> None:
        """Answer a request whose timer fired, just before its deadline (rule 1)."""
        request = self._requests.get(event.token)
        if request is not None:
            self.scheduler.answer_without_machine(request)

    def _adopt_task(self, event: TaskAdopted) -> None:
        """Track a running task that was handed over."""
        machine = self.endpoints.get_or_add(event.machine)
        request = self.track(self.endpoints.limit_demand(event.request, machine))
        request.open = False
        attempt = Attempt(machine, self._context.now, AttemptState.BOUND)
        request.attempts.append(attempt)
        self.accounting.add(request, attempt)

    # attempts

    def _accept_attempt(self, event: AttemptAccepted) -> None:
        """Bind the task to this attempt, which answers the request."""
        found = self._requests.find_live_attempt(event.request_id, event.attempt)
        if found is None:
            return
        request, attempt = found
        request.open = False
        attempt.state = AttemptState.BOUND
        self.latency.record_answer(event.latency_s)
        if not self._context.settings.accepts_before_running:
            self.latency.record_start(request, attempt)
        self.outliers.record_success(attempt.machine)
        # [D4] The task is valid, as this machine accepted it: earlier errors were the other machines' fault.
        for machine in request.errored_machines:
            self.outliers.record_failure(machine, Outcome.ERROR)

    def _end_attempt(self, event: AttemptEnded) -> None:
        """Record the outcome of an attempt, and retry the request if it is still open."""
        known = self.machines.get(event.machine)
        if known is not None:
            self.endpoints.record_report(known, event.report)
        found = self._requests.find_live_attempt(event.request_id, event.attempt)
        if found is None:
            return
        request, attempt = found
        self.latency.discard_pending_start(request, attempt)
        attempt.live = False
        self.accounting.remove(request, attempt)
        was_bound = attempt.state is AttemptState.BOUND
        if not was_bound:
            never_ran = event.outcome in NEVER_RAN_OUTCOMES
            attempt.state = AttemptState.NEVER_RAN if never_ran else AttemptState.MAY_HAVE_RUN
            request.tried_machine_ids.add(attempt.machine.id)
        self._record_outcome(request, attempt.machine, event)
        if event.last or was_bound:
            request.open = False
        self._requests.discard_if_done(request)
        if request.open:
            self._retries.append(request)

    def _record_outcome(self, request: PendingRequest, machine: Machine, event: AttemptEnded) -> None:
        """Update the machine's health and latency by the outcome of an attempt."""
        match event.outcome:
            case Outcome.REFUSED:
                self.outliers.record_rejection(request, machine, event.reason)
            case Outcome.ERROR:
                request.errored_machines.append(machine)  # counted once the task succeeds elsewhere
            case Outcome.TIMED_OUT:
                self.outliers.record_failure(machine, event.outcome)
                self.latency.record_answer(event.latency_s)
            case Outcome.NOT_CONNECTED:
                self.outliers.record_failure(machine, event.outcome)
            case Outcome.BROKEN if event.reason is Reason.UNSPECIFIED:
                self.outliers.record_failure(machine, event.outcome)
            case _ if event.reason is Reason.EVICTED:
                machine.record_pressure(self._context.now, 1.0)

    def _update_task(self, event: TaskUpdate) -> None:
        """Apply a report on a live attempt."""
        found = self._requests.find_live_attempt(event.request_id, event.attempt)
        if found is None:
            return
        request, attempt = found
        match event.kind:
            case TaskUpdateKind.STARTED:
                self.latency.record_start(request, attempt)
            case TaskUpdateKind.CORES_USED:
                self._record_usage(request, attempt, 0, event.value)
            case TaskUpdateKind.MEMORY_USED:
                self._record_usage(request, attempt, 1, event.value)
            case TaskUpdateKind.SERVED_FRACTION:
                attempt.machine.record_pressure(self._context.now, 1.0 - event.value)
            case TaskUpdateKind.MACHINE_MEMORY:
                attempt.machine.record_pressure(self._context.now, event.value)

    def _record_usage(self, request: PendingRequest, attempt: Attempt, resource: int, usage: float) -> None:
        """Record the usage that a task reports; ``resource`` is 0 for cores and 1 for memory."""
        demand = request.demand[resource]
        if demand > 0.0:
            record_usage(request, attempt, resource, usage)
            self.usage.observe_usage_ratio(resource, usage / demand)

    # fleet

    def _update_endpoints(self, event: EndpointUpdate) -> None:
        """Apply the endpoint list or its changes, and mark the averages as outdated if the index changed."""
        if self.endpoints.update(event):
            self._averages_updated_at = -math.inf

    def update_averages(self) -> None:
        """Recompute the averages over the fleet, and refresh the next slice of usage estimates."""
        self._averages_updated_at = self._context.now
        up = self.endpoints.index.up
        self.usage.update_averages(up, self.gossip.digests)
        diversity = self.accounting.service_diversity()
        self.usage.update_utilization_steps(diversity)
        self.pricing.update_affinity_scale(diversity, len(up))
        self.endpoints.index.advance_refresh()
        self.slow_start.update_machines(up)

    def _do_housekeeping(self) -> None:
        """Run periodic work: endpoint subscription, health checks, expiry and gossip."""
        context = self._context
        interval_s = HOUSEKEEPING_INTERVAL_S if self.outliers.ejected_ids else IDLE_HOUSEKEEPING_INTERVAL_S
        context.next_housekeeping_at = context.now + interval_s
        context.actions.append(SetTimer(context.next_housekeeping_at, HOUSEKEEPING_TOKEN))
        self.endpoints.watch_if_due()
        self.outliers.check_health()
        self.endpoints.remove_unused()
        if context.now >= self._program_cache_expires_at:
            self._program_cache_expires_at = context.now + PROGRAM_CACHE_TTL_S
            self._expire_program_cache()
        self.gossip.expire()
        self.gossip.send_if_due()

    def _expire_program_cache(self) -> None:
        """Discard the records of services whose programs machines no longer cache."""
        now = self._context.now
        for machine in self.endpoints.index.up:
            recent = {
                s: at for s, at in machine.last_ended_by_service.items() if now - at < PROGRAM_CACHE_TTL_S
            }
            machine.last_ended_by_service = recent
