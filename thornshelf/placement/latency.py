"""Running means of how long machines take to answer attempts and to start tasks."""

from __future__ import annotations

from thornshelf.placement.context import LEARNING_RATE, PlacementContext
from thornshelf.placement.requests import Attempt, PendingRequest

TIMEOUT_FACTOR = 4.0  # an answer that takes so many times the usual is not expected any more
MIN_TIMEOUT_S = 0.001


class LatencyTracker:
    """Tracks the latency of answers and starts; the timeouts of attempts follow from it."""

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        self._answer_s = 0.0
        self.usual_start_s = 0.0  # the mean latency of starts on all machines; 0: none was observed yet

    def record_answer(self, latency_s: float) -> None:
        """Take the latency of an answer, or of a timeout."""
        self._answer_s += LEARNING_RATE * (latency_s - self._answer_s)

    def record_start(self, request: PendingRequest, attempt: Attempt) -> None:
        """The attempt's task has started; where this call is late by own fault, its latency says nothing."""
        if not self.discard_pending_start(request, attempt) or self._context.stalled:
            return
        machine = attempt.machine
        latency_s = self._context.now - attempt.sent_at
        if machine.start_delay_s is None:
            machine.start_delay_s = latency_s
        else:
            machine.start_delay_s += 2.0 * LEARNING_RATE * (latency_s - machine.start_delay_s)
        if self.usual_start_s:
            self.usual_start_s += LEARNING_RATE * (latency_s - self.usual_start_s)
        else:
            self.usual_start_s = latency_s

    def discard_pending_start(self, request: PendingRequest, attempt: Attempt) -> bool:
        """The attempt no longer waits for its start; return whether it did until now."""
        return attempt.machine.pending_starts.pop(request.spec.request_id, None) is not None

    def attempt_timeout_s(self, request: PendingRequest) -> float:
        """Return how long to wait for an attempt.

        The timeout grows with the latency of answers: where all machines are slow, retries only add load.
        """
        left_s = request.deadline - self._context.now
        task_class = request.task_class
        if self._context.settings.accepts_before_running:
            wanted_s = task_class.latency_objective_s / 2.0
        else:
            wanted_s = task_class.deadline_s / 2.0
        return max(min(max(wanted_s, TIMEOUT_FACTOR * self._answer_s), left_s), MIN_TIMEOUT_S)
