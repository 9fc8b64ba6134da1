"""Moving averages of how long machines take to answer attempts and to start tasks."""

from __future__ import annotations

from thornshelf.placement.context import LEARNING_RATE, PlacementContext
from thornshelf.placement.requests import Attempt, PendingRequest

TIMEOUT_FACTOR = 4.0  # an attempt times out after this multiple of the mean latency
MIN_TIMEOUT_S = 0.001


class LatencyTracker:
    """Tracks the latency of answers and starts, and derives the timeouts of attempts."""

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        self._mean_answer_s = 0.0
        self.mean_start_s = 0.0  # over all machines; 0: no start observed yet

    def record_answer(self, latency_s: float) -> None:
        """Record the latency of an answer, or of an attempt that timed out."""
        self._mean_answer_s += LEARNING_RATE * (latency_s - self._mean_answer_s)

    def record_start(self, request: PendingRequest, attempt: Attempt) -> None:
        """Record the start of an attempt's task; its latency is ignored if the placer itself was delayed."""
        if not self.discard_pending_start(request, attempt) or self._context.stalled:
            return
        machine = attempt.machine
        latency_s = self._context.now - attempt.sent_at
        if machine.start_delay_s is None:
            machine.start_delay_s = latency_s
        else:
            machine.start_delay_s += 2.0 * LEARNING_RATE * (latency_s - machine.start_delay_s)
        if self.mean_start_s:
            self.mean_start_s += LEARNING_RATE * (latency_s - self.mean_start_s)
        else:
            self.mean_start_s = latency_s

    def discard_pending_start(self, request: PendingRequest, attempt: Attempt) -> bool:
        """Stop waiting for the start of an attempt; return whether it was pending."""
        return attempt.machine.pending_starts.pop(request.spec.request_id, None) is not None

    def attempt_timeout_s(self, request: PendingRequest) -> float:
        """Return the timeout of the next attempt.

        It grows with the mean latency of answers: while all machines are slow, retries would only add load.
        """
        remaining_s = request.deadline - self._context.now
        task_class = request.task_class
        if self._context.settings.accepts_before_running:
            base_timeout_s = task_class.latency_objective_s / 2.0
        else:
            base_timeout_s = task_class.deadline_s / 2.0
        return max(min(max(base_timeout_s, TIMEOUT_FACTOR * self._mean_answer_s), remaining_s), MIN_TIMEOUT_S)
