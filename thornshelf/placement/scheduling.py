"""Schedules requests: the order of placement, the sending of attempts, and the final answer."""

from __future__ import annotations

from thornshelf.placement.accounting import DemandAccounting
from thornshelf.placement.actions import CancelAttempt, Fail, Reject, StartAttempt
from thornshelf.placement.candidates import CandidateSelector
from thornshelf.placement.context import PlacementContext
from thornshelf.placement.endpoints import EndpointTable
from thornshelf.placement.latency import LatencyTracker
from thornshelf.placement.machine import Machine
from thornshelf.placement.pricing import unit_costs
from thornshelf.placement.requests import Attempt, AttemptState, PendingRequest, RequestTable
from thornshelf.placement.rules import PlacementRules
from thornshelf.placement.slow_start import SlowStart

RETRY_AFTER_S = 1.0  # within less time, little capacity is released


class RequestScheduler:
    """Sends requests to machines, or answers those that can't be placed."""

    def __init__(
        self,
        context: PlacementContext,
        requests: RequestTable,
        endpoints: EndpointTable,
        candidates: CandidateSelector,
        rules: PlacementRules,
        slow_start: SlowStart,
        latency: LatencyTracker,
        accounting: DemandAccounting,
    ) -> None:
        self._context = context
        self._requests = requests
        self._endpoints = endpoints
        self._candidates = candidates
        self._rules = rules
        self._slow_start = slow_start
        self._latency = latency
        self._accounting = accounting

    def place_batch(self, batch: list[PendingRequest]) -> None:
        """Place concurrent requests: the cheapest first, then the shorter lifetime, else in random order."""
        requests = [request for request in batch if request.open]
        index = self._endpoints.index
        if len(requests) > 1 and index.up:
            index.apply_changes()
            totals = index.totals()
            self._context.random.shuffle(requests)
            requests.sort(key=lambda r: (sum(unit_costs(*totals, r.demand)), r.spec.lifetime_hint_s or 0.0))
        for request in requests:
            self.place(request)

    def place(self, request: PendingRequest) -> None:
        """Send the request to the machine of lowest rank, or answer it if there is none."""
        if not request.open or request.has_pending_attempt():
            return
        max_attempts = self._context.settings.limits.max_attempts
        machine = None
        if len(request.attempts) < max_attempts and request.deadline > self._context.now:
            machine = self._candidates.find_machine(request)
        if machine is None:
            self.answer_without_machine(request)
        else:
            self._start_attempt(request, machine)

    def _start_attempt(self, request: PendingRequest, machine: Machine) -> None:
        """Start an attempt on the machine and account for its demand."""
        context = self._context
        attempt = Attempt(machine, context.now, AttemptState.PENDING)
        request.attempts.append(attempt)
        self._slow_start.record_attempt(machine)
        request_id = request.spec.request_id
        machine.pending_starts[request_id] = context.now
        self._accounting.add(request, attempt)
        timeout_s = self._latency.attempt_timeout_s(request)
        context.actions.append(StartAttempt(request_id, machine.id, timeout_s))

    def answer_without_machine(self, request: PendingRequest) -> None:
        """Answer an open request (rule 1): reject it if rule 2 permits that, else fail it."""
        if not request.open:
            return
        request.open = False
        request_id = request.spec.request_id
        if self._rules.allows_rejection(request) and not request.has_live_attempt():
            self._context.actions.append(Reject(request_id, self._retry_after_s()))
        else:
            self._context.actions.append(Fail(request_id))
            self._cancel_attempts(request)
        self._requests.discard_if_done(request)

    def _retry_after_s(self) -> float | None:
        limits = self._context.settings.limits
        return min(RETRY_AFTER_S, limits.max_retry_after_s) if limits.retry_after else None

    def _cancel_attempts(self, request: PendingRequest) -> None:
        if not self._context.settings.limits.may_cancel:
            return
        for number, attempt in enumerate(request.attempts):
            if attempt.live:
                self._context.actions.append(CancelAttempt(request.spec.request_id, number))
