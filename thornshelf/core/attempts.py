"""Starts, withdraws and ends attempts; a task has at most one attempt in flight."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from thornshelf import placement as api
from thornshelf.core.messages import Attempt, TaskFinished, TaskStarted
from thornshelf.core.task import AttemptTimedOut, TaskRecord, TaskState
from thornshelf.core.withdrawn_ids import WithdrawnIds
from thornshelf.placement import Idempotency, Outcome, Reason
from thornshelf.translation.failures import FailureReason, failure_cause

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts

MAX_ENDED_ATTEMPTS_PER_TURN = 16  # the decision module may place the task of each of them again
RETRY_BUDGET_EXHAUSTED_TEXT = "the retry budget is spent"


class Attempts:
    """Starts attempts, and ends each of them with exactly one outcome.

    ``ended`` queues attempts that are over; each turn processes a limited number of them.
    """

    def __init__(self, core: DispatcherParts) -> None:
        self._core = core
        self.ended: deque[TaskFinished | AttemptTimedOut] = deque()
        self.withdrawn_ids = WithdrawnIds()

    # starting

    def start(self, action: api.StartAttempt) -> None:
        """Send an attempt that the decision module requests; one that can't be sent ends at once as NOT_SENT."""
        core = self._core
        task = core.tasks.by_number.get(action.request_id)
        if task is None:
            return
        machine = action.machine
        node = core.endpoints.nodes.get(machine)
        attempt = self._create(task, action)
        if task.state is TaskState.OPEN and not task.is_awaited():
            # The client has disconnected, but the inbox item that reports this is still queued.
            core.requests.abandon(task)
        if node is None or not self._can_send(task, attempt):
            self.report_outcome(task, attempt, Outcome.NOT_SENT)
            return
        task.attempt = attempt
        core.tasks.index_machine(task, machine)
        core.record_event(task, task.request.uid, "offered", machine, "attempt", attempt.number)
        task.timer = core.loop.call_at(
            attempt.deadline_us, lambda: core.inbox.append(AttemptTimedOut(task, attempt))
        )
        node.send_attempt(attempt)

    def _create(self, task: TaskRecord, action: api.StartAttempt) -> Attempt:
        """Create the next attempt of a task; it counts as made even if it is not sent."""
        core = self._core
        request = task.request
        task_class = core.task_classes[request.task_class]
        number = task.attempt_count
        task.attempt_count += 1
        deadline_us = request.deadline_us
        if action.timeout_s is not None:
            deadline_us = min(deadline_us, core.loop.now + int(action.timeout_s * 1e6))
        return Attempt(
            uid=task.node_uid,
            number=number,
            task_class=request.task_class,
            idempotency_key=request.idempotency_key,
            description=request.description,
            sent_us=core.loop.now,
            deadline_us=deadline_us,
            machine=action.machine,
            request=request,
            priority=task_class.priority,
            at_most_once=task_class.idempotency is not Idempotency.ALWAYS,
            is_awaited=task.is_awaited,
        )

    def _can_send(self, task: TaskRecord, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent, and charge the retry budgets if so."""
        core = self._core
        return (
            task.state is TaskState.OPEN
            and task.attempt is None  # at most one attempt in flight
            and attempt.number < core.settings.limits.max_attempts
            and attempt.deadline_us > core.loop.now
            and core.endpoints.is_up(attempt.machine)
            and self._within_retry_budget(task, attempt)
        )

    def _within_retry_budget(self, task: TaskRecord, attempt: Attempt) -> bool:
        """Return whether the retry budgets allow the attempt; there are none without a translator."""
        translator = self._core.translator
        if translator is None:
            return True
        service = task.request.service
        now = self._core.loop.now
        if attempt.number == 0:
            translator.record_first_attempt(service, now)
            return True
        if translator.allow_retry(service, now, attempt.priority):
            return True
        task.last_failure = failure_cause(FailureReason.OVERLOADED, RETRY_BUDGET_EXHAUSTED_TEXT)
        return False

    # reports of nodes

    def started(self, item: TaskStarted) -> None:
        """Handle a node's report that the task of an attempt runs."""
        core = self._core
        task = core.tasks.by_uid.get(item.uid)
        attempt = task.attempt if task is not None else None
        if task is None or attempt is None or attempt.machine != item.machine:
            values: dict[str, object] = {"uid": f"{item.uid:016x}"}
            core.log(
                6, "answer-unmatched", values, "a node reported a start, but no attempt is in flight there"
            )
            if core.idempotency is not None:
                core.idempotency.late_start(item)
            return
        if core.idempotency is not None:
            core.idempotency.cancel_query(task)  # the report answers the status query
        task.cancel_timer()
        task.attempt = None
        if task.state is not TaskState.OPEN:
            return
        latency_s = (core.loop.now - attempt.sent_us) / 1e6
        accepted = api.AttemptAccepted(task.number, item.machine, attempt.number, latency_s)
        core.placement.events.append(accepted)
        core.running_tasks.mark_running(task, item.machine, item.description, attempt.metadata)

    def process_ended(self) -> None:
        """End the oldest queued attempts, up to the limit of a turn."""
        for _ in range(min(len(self.ended), MAX_ENDED_ATTEMPTS_PER_TURN)):
            item = self.ended.popleft()
            try:
                self._end(item)
            except Exception as error:  # one end must not keep the others from being processed
                self._core.loop.report_exception(error)

    def _end(self, item: TaskFinished | AttemptTimedOut) -> None:
        if isinstance(item, AttemptTimedOut):
            self.timed_out(item.task, item.attempt)
            return
        task = self._core.tasks.by_uid.get(item.uid)
        if task is not None and task.attempt is not None:
            self._attempt_finished(task, task.attempt, item)

    def _attempt_finished(self, task: TaskRecord, attempt: Attempt, item: TaskFinished) -> None:
        """Handle a report of a node or its connection that an attempt has ended."""
        core = self._core
        idempotency = core.idempotency
        if attempt.machine != item.machine:
            return
        if idempotency is not None and task.uncertain is not None:
            if idempotency.may_have_run(item.outcome):
                return  # nothing new: a status query about the attempt is pending
            idempotency.cancel_query(task)
        task.cancel_timer()
        node = core.endpoints.nodes.get(item.machine)
        if node is not None:
            node.unwatch_task(item.uid)
        self._record_failure(task, item)
        if idempotency is not None and idempotency.resolve_uncertain(
            task, attempt, item.outcome, item.reason
        ):
            return
        task.attempt = None
        self.report_outcome(task, attempt, item.outcome, item.reason, item.load_report)
        core.discard(task)

    def _record_failure(self, task: TaskRecord, item: TaskFinished) -> None:
        """Store the cause of a failed attempt for the final answer, and record an unannounced rejection."""
        core = self._core
        translator = core.translator
        if translator is None:
            return
        detail = item.detail
        if detail is not None:
            task.last_failure = detail
            if translator.record_rejection(item.machine, detail):
                values: dict[str, object] = {"machine": item.machine, "reason": detail.reason.name}
                text = "the node rejected a task for a reason that its capabilities do not announce"
                core.log(4, "rejection-unexpected", values, text)
        elif item.reason is not Reason.UNSPECIFIED:
            task.last_failure = failure_cause(FailureReason(item.reason.value))

    # ending

    def timed_out(self, task: TaskRecord, attempt: Attempt) -> None:
        """Withdraw an attempt whose time limit has passed, unless it has ended or a status query is pending."""
        if task.attempt is attempt and task.uncertain is None:
            self.withdraw(task, attempt, Outcome.TIMED_OUT)
            self._core.discard(task)

    def cancel(self, action: api.CancelAttempt) -> None:
        """Withdraw an attempt on request of the decision module."""
        task = self._core.tasks.by_number.get(action.request_id)
        if task is None or task.attempt is None or task.attempt.number != action.attempt:
            return
        self.withdraw(task, task.attempt, Outcome.CANCELLED)
        self._core.discard(task)

    def withdraw(self, task: TaskRecord, attempt: Attempt, outcome: Outcome) -> None:
        """Withdraw an attempt in flight; it ends as NOT_SENT if nothing of it was sent, else with ``outcome``."""
        core = self._core
        idempotency = core.idempotency
        task.cancel_timer()
        node = core.endpoints.nodes.get(attempt.machine)
        was_queried = task.uncertain is not None
        if idempotency is not None:
            idempotency.cancel_query(task)
        if was_queried and node is not None:
            node.cancel_task(task.node_uid)  # the task may run, and the connection it was sent on is closed
        never_sent = not was_queried and node is not None and node.withdraw_attempt(attempt)
        if (
            idempotency is not None
            and not never_sent
            and not was_queried
            and idempotency.resolve_uncertain(task, attempt, outcome, Reason.UNSPECIFIED)
        ):
            return
        task.attempt = None
        if not never_sent:
            self.withdrawn_ids.add(task.node_uid, core.loop.now)
        self.report_outcome(task, attempt, Outcome.NOT_SENT if never_sent else outcome)

    def report_outcome(
        self,
        task: TaskRecord,
        attempt: Attempt,
        outcome: Outcome,
        reason: Reason = Reason.UNSPECIFIED,
        load_report: api.LoadReport | None = None,
    ) -> None:
        """Report how an attempt ended to the decision module, peers and the history."""
        core = self._core
        machine = attempt.machine
        latency_s = (core.loop.now - attempt.sent_us) / 1e6
        is_last = task.state is not TaskState.OPEN
        if core.gossip is not None:
            core.gossip.attempt_ended(machine, outcome, reason)
        idempotency = core.idempotency
        if task.deduplicated and idempotency is not None and idempotency.may_have_run(outcome):
            task.possibly_running_at = machine
        core.record_event(task, task.request.uid, "ended", machine, outcome, reason)
        core.placement.events.append(
            api.AttemptEnded(
                task.number, machine, attempt.number, outcome, reason, is_last, latency_s, load_report
            )
        )
