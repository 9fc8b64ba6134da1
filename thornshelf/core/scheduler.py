"""Queues requests, and decides which of them are placed or rejected as expired in each turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thornshelf import placement as api
from thornshelf.core.deadlines import shortest_deadline_us
from thornshelf.core.ports import RequestQueue
from thornshelf.core.task import TaskRecord
from thornshelf.retries.deadline_queue import DeadlineQueue, DeadlineQueueConfig
from thornshelf.translation.failures import FailureCause, FailureReason, failure_cause

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts
    from thornshelf.retries.jitter import RetryAfterJitter

PLACEMENT_TIME_PER_TURN_US = 10_000  # time per turn for placing requests
PLACEMENT_BATCH_SIZE = 4  # requests per call of the decision module; the clock is checked after each
COST_SMOOTHING = 0.1  # weight of the latest turn in the moving average of the cost per request
# A request is rejected with less time left than the smaller of these two: about two turns, so that the rejection is
# sent in time, or a fraction of the shortest class deadline, so that classes with short deadlines are placed at all.
MIN_REMAINING_US = 50_000
MIN_REMAINING_FRACTION = 0.125
MIN_QUEUE_CAPACITY = 256
MAX_QUEUE_CAPACITY = 16_384
QUEUE_RETRY_AFTER_US = 1_000_000  # Retry-After of requests that expire in the queue
EXPIRED_TEXT = "more came than can be placed in its time"


class RequestScheduler:
    """Owns the queue of requests, and measures the cost of placing a request.

    Without a ``queue``, requests are ordered by deadline, or as the translator's configuration says. ``jitter``
    spreads the Retry-After of rejections, and is None unless the operator has configured it.
    """

    def __init__(
        self, core: DispatcherParts, queue: RequestQueue[TaskRecord] | None, jitter: RetryAfterJitter | None
    ) -> None:
        self._core = core
        self._shortest_deadline_us = shortest_deadline_us(core.settings)
        self._mean_cost_us = 0.0
        translator = core.translator
        # A queue that the operator has configured limits batches and capacity itself.
        self._has_own_limits = True
        if queue is not None:
            self.queue = queue
        elif translator is not None and translator.config.limits_retries:
            self.queue = DeadlineQueue(translator.config.queue)
        else:
            self.queue = DeadlineQueue(self._default_config())
            self._has_own_limits = False
        self._jitter = jitter
        if translator is not None and translator.jitter is not None:
            self._jitter = translator.jitter

    def enqueue(self, task: TaskRecord) -> None:
        """Queue a task to be placed, or reject it if no node that is up can take it."""
        detail = self._rejection_by_all(task)
        if detail is not None:
            self._core.answers.reject(task, None, detail)
            return
        request = task.request
        priority = self._core.task_classes[request.task_class].priority if self._has_own_limits else 0
        task.queue_ticket = self.queue.put(
            task, priority, request.deadline_us, request.tenant, self._core.loop.now
        )

    def reject_expired(self) -> None:
        """Reject the requests that can no longer be placed before their deadline."""
        core = self._core
        if not self._has_own_limits and self._mean_cost_us:
            # Keep no more requests than can be placed within the shortest deadline; reject the last in order.
            capacity = int(self._shortest_deadline_us / self._mean_cost_us)
            self.queue.max_waiting = max(MIN_QUEUE_CAPACITY, min(MAX_QUEUE_CAPACITY, capacity))
        for task in self.queue.pop_expired(core.loop.now):
            task.queue_ticket = None
            limits = core.settings.limits
            wait_us = None
            if limits.retry_after:
                wait_us = min(QUEUE_RETRY_AFTER_US, int(limits.max_retry_after_s * 1e6))
            retry_after_us = self.retry_after_us(task, wait_us, FailureReason.OVERLOADED)
            core.answers.reject(task, retry_after_us, failure_cause(FailureReason.OVERLOADED, EXPIRED_TEXT))

    def place_waiting(self) -> None:
        """Place waiting requests in batches until the turn's time for it is used up."""
        loop = self._core.loop
        began_us = loop.turn_elapsed_us()
        placed = 0
        while self.queue and loop.turn_elapsed_us() - began_us < PLACEMENT_TIME_PER_TURN_US:
            batch = self.queue.pop_batch(loop.now)
            if not batch:
                break
            placed += len(batch)
            for task in batch:
                task.queue_ticket = None
                self._core.placement.events.append(self.placement_request(task))
            self._core.apply_decisions()
            if self._has_own_limits or loop.has_backlog:
                break  # a configured queue sets its own batch per turn; with a backlog, releases may be unread
        if placed:
            self._mean_cost_us += COST_SMOOTHING * (
                (loop.turn_elapsed_us() - began_us) / placed - self._mean_cost_us
            )

    def placement_request(self, task: TaskRecord) -> api.PlacementRequest:
        """Return the task's request as an event for the decision module."""
        request = task.request
        translator = self._core.translator
        is_eligible = None
        if translator is not None and translator.has_restrictions:
            is_eligible = translator.eligibility_filter(request.task_class, request.declared_fields)
        lifetime_hint_us = request.lifetime_hint_us
        return api.PlacementRequest(
            request_id=task.number,
            task_class=request.task_class,
            tenant=request.tenant,
            task=request.idempotency_key,
            budget_s=max(0.0, (request.deadline_us - self._core.loop.now) / 1e6),
            lifetime_hint_s=None if lifetime_hint_us is None else lifetime_hint_us / 1e6,
            service=request.service,
            cores=request.cores,
            memory=request.memory,
            is_eligible=is_eligible,
        )

    def retry_after_us(self, task: TaskRecord, wait_us: int | None, reason: FailureReason) -> int | None:
        """Return the Retry-After of a rejection, with jitter if the operator has configured it."""
        if self._jitter is None or wait_us is None:
            return wait_us
        if reason is FailureReason.HINT_NEEDED:
            return wait_us  # clients must change the request first, so retries are not synchronized
        priority = self._core.task_classes[task.request.task_class].priority
        return self._jitter.retry_after_us(wait_us, self._core.loop.now, priority)

    def rejection_detail(self, task: TaskRecord) -> FailureCause | None:
        """Return why a task is rejected: the last cause from a node, else the cause that rules out all nodes."""
        return task.last_failure or self._rejection_by_all(task)

    def _rejection_by_all(self, task: TaskRecord) -> FailureCause | None:
        translator = self._core.translator
        if translator is None or not translator.has_restrictions:
            return None
        request = task.request
        machines = self._core.endpoints.up_machines()
        return translator.rejection_by_all(request.task_class, request.declared_fields, machines)

    def _default_config(self) -> DeadlineQueueConfig:
        shortest_us = int(self._shortest_deadline_us * MIN_REMAINING_FRACTION)
        min_remaining_us = min(MIN_REMAINING_US, shortest_us)
        return DeadlineQueueConfig(batch_size=PLACEMENT_BATCH_SIZE, min_remaining_us=min_remaining_us)
