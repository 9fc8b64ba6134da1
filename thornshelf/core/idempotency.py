"""Deduplicates requests by idempotency key, so that a non-idempotent task is never started twice.

A request whose key is in use joins the task with that key. A request whose key belongs to an uncertain attempt waits
for the reply of that attempt's node. ``translation.uncertain_attempts`` holds the states of the keys, and this module
acts on them. It is used only if translation is configured.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from thornshelf.core.client_connection import AnswerMetadata
from thornshelf.core.messages import Attempt, TaskRequest, TaskStarted, TaskStatusReply
from thornshelf.core.status_queries import DEADLINE_MARGIN_US, StatusQueries
from thornshelf.core.task import TaskRecord, TaskState, UncertainAttempt
from thornshelf.placement import Idempotency, Outcome, Reason
from thornshelf.translation.failures import (
    ExecutionGuarantee,
    FailureCause,
    FailureReason,
    execution_guarantee,
    failure_cause,
)
from thornshelf.translation.uncertain_attempts import ActiveKeyState, KeyAction, UncertainKeyState

if TYPE_CHECKING:
    from thornshelf.core.dispatcher_port import DispatcherPort
    from thornshelf.translation.translator import Translator


class IdempotencyTable:
    """Joins requests that share an idempotency key, and resolves uncertain attempts."""

    def __init__(self, dispatcher: DispatcherPort, translator: Translator) -> None:
        self.dispatcher = dispatcher
        self.translator = translator
        self._queries = StatusQueries(dispatcher, translator)

    def deduplicates(self, request: TaskRequest) -> bool:
        """Return whether a request has an idempotency key and a class that must not run twice."""
        task_class = self.dispatcher.task_classes[request.task_class]
        return bool(request.idempotency_key) and task_class.idempotency is not Idempotency.ALWAYS

    # requests

    def register(self, task: TaskRecord) -> bool:
        """Register a new deduplicated request; return whether it may be placed now."""
        request = task.request
        now = self.dispatcher.loop.now
        keys = self.translator.idempotency_keys
        known = keys.lookup(request.idempotency_key, now)
        machine = known.machine if isinstance(known, UncertainKeyState) else 0
        match keys.action_for(request.idempotency_key, now, self._queries.can_query(machine)):
            case KeyAction.START:
                self._activate(task)
                return True
            case KeyAction.JOIN:
                assert isinstance(known, ActiveKeyState)
                self._join(task, self.dispatcher.find_task(known.uid))
            case KeyAction.QUERY_NODE:
                assert isinstance(known, UncertainKeyState)
                self._activate(task)
                uncertain = UncertainAttempt(machine, Outcome.BROKEN, Reason.UNSPECIFIED, known)
                self._queries.query(task, uncertain, known.uid)
            case KeyAction.FAIL:
                self.translator.counters["in doubt: failed"] += 1
                cause = _uncertain_cause("a task of this name may run; its node can't be asked")
                self.dispatcher.fail(task, cause)
        return False

    def register_adopted(self, task: TaskRecord) -> None:
        """Register a running task that was adopted, unless its key is active for another task."""
        known = self.translator.idempotency_keys.lookup(
            task.request.idempotency_key, self.dispatcher.loop.now
        )
        if known is None or isinstance(known, UncertainKeyState):
            self._activate(task)

    def release_key(self, task: TaskRecord) -> None:
        """Release the key of a task that is being forgotten; it becomes uncertain if an attempt may have run."""
        if not task.deduplicated:
            return
        key = task.request.idempotency_key
        keys = self.translator.idempotency_keys
        if keys.lookup(key, self.dispatcher.loop.now) != ActiveKeyState(task.request.uid):
            return
        if task.possibly_running_at is not None:
            keys.mark_uncertain(key, task.possibly_running_at, task.node_uid, self.dispatcher.loop.now)
        else:
            keys.discard(key)

    def _activate(self, task: TaskRecord) -> None:
        task.deduplicated = True
        self.translator.idempotency_keys.mark_active(task.request.idempotency_key, task.request.uid)

    def _join(self, task: TaskRecord, known: TaskRecord | None) -> None:
        """Subscribe a request to the task with the same key."""
        uid, client = next(task.each_subscriber())
        if known is None or known.state in (TaskState.CANCELLING, TaskState.ANSWERED):
            # No second start before the end of the task is confirmed.
            self.translator.counters["joined: ending"] += 1
            cause = _uncertain_cause("a task of this name is just ending")
            self.dispatcher.reject(task, None, cause)
            return
        description_missing = known.state is TaskState.RUNNING and known.node_description is None
        if description_missing:
            self.translator.counters["joined: no binding"] += 1
            cause = _uncertain_cause("a task of this name runs, and its description is not known")
            self.dispatcher.fail(task, cause)
            return
        self.translator.counters["joined"] += 1
        values: dict[str, object] = {"uid": f"{uid:016x}", "joined_uid": f"{known.request.uid:016x}"}
        self.dispatcher.log(
            5, "request-joined", values, "the request joined the task that has its idempotency key"
        )
        self.dispatcher.merge(task, known)
        if known.state is TaskState.RUNNING:
            self.dispatcher.send_running(known, {uid: client}, AnswerMetadata(joined_running_task=True))
            return
        deadline_us = task.request.deadline_us
        if deadline_us < known.request.deadline_us:
            self.dispatcher.loop.call_at(deadline_us, lambda: self._joined_deadline_exceeded(known, uid))

    def _joined_deadline_exceeded(self, known: TaskRecord, uid: int) -> None:
        """Fail a joined request if its own deadline passes before the task runs."""
        client = known.subscribers.get(uid)
        if known.state is not TaskState.OPEN or client is None:
            return
        self.dispatcher.unsubscribe(known, uid)
        self.dispatcher.counters["failed"] += 1
        client.send_failed(uid, _uncertain_cause("the task is still being placed under another id"))

    # uncertain attempts

    @staticmethod
    def may_have_run(outcome: Outcome) -> bool:
        """Return whether an attempt with this outcome may have run."""
        return execution_guarantee(outcome) is ExecutionGuarantee.MAY_HAVE_RUN

    def resolve_uncertain(self, task: TaskRecord, attempt: Attempt, outcome: Outcome, reason: Reason) -> bool:
        """Query the node of an ended attempt that may have run, if possible; return whether a query was sent.

        The attempt stays in flight until the query is resolved, so that no other attempt is made.
        """
        if not task.deduplicated or not self.may_have_run(outcome):
            return False
        if task.state is not TaskState.OPEN or task.uncertain is not None:
            return False
        if not self._queries.can_query(attempt.machine):
            return False
        if self.dispatcher.loop.now >= task.request.deadline_us - DEADLINE_MARGIN_US:
            return False
        self._queries.query(task, UncertainAttempt(attempt.machine, outcome, reason), task.node_uid)
        return True

    def cancel_query(self, task: TaskRecord) -> None:
        """Cancel the status query about a task, if one is pending."""
        self._queries.cancel(task)

    def status_received(self, reply: TaskStatusReply) -> None:
        """Handle a node's reply to a status query."""
        self._queries.status_received(reply)

    def reconcile(self, machine: int) -> None:
        """Query a reconnected node about all tasks that should run there."""
        self._queries.reconcile(machine)

    def late_start(self, item: TaskStarted) -> None:
        """Handle a node's report of a start without an attempt in flight."""
        self._queries.late_start(item)


def _uncertain_cause(text: str) -> FailureCause:
    return failure_cause(FailureReason.IN_DOUBT, text)
