"""Queries nodes about uncertain attempts: attempts that may have run although no answer arrived.

An attempt may have run if its connection broke or it timed out. If its node can be queried by the task's idempotency
key, the attempt stays in flight until the node has replied, so that no other attempt is made in the meantime.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from thornshelf.core.messages import TaskFinished, TaskStarted, TaskStatusReply
from thornshelf.core.task import TaskRecord, TaskState, UncertainAttempt
from thornshelf.placement import Outcome
from thornshelf.translation.failures import FailureReason, failure_cause
from thornshelf.translation.uncertain_attempts import Resolution

if TYPE_CHECKING:
    from thornshelf.core.dispatcher_port import DispatcherPort
    from thornshelf.translation.translator import Translator

STATUS_QUERY_RETRY_US = 100_000  # interval of queries while the node has not decided about the attempt
DEADLINE_MARGIN_US = 20_000  # a query ends this long before the deadline, to leave time for the answer


class StatusQueries:
    """Sends status queries and applies the replies of nodes."""

    def __init__(self, dispatcher: DispatcherPort, translator: Translator) -> None:
        self.dispatcher = dispatcher
        self.translator = translator
        self._tasks: dict[int, TaskRecord] = {}  # tasks with a pending query, by idempotency key

    def can_query(self, machine: int) -> bool:
        """Return whether a node is known and replies to queries by idempotency key."""
        return machine in self.dispatcher.endpoints.nodes and self.translator.can_query(machine)

    def query(self, task: TaskRecord, uncertain: UncertainAttempt, uid: int) -> None:
        """Query the node of an uncertain attempt; ``uid`` is the task id that the node knows."""
        task.uncertain = uncertain
        self._tasks[task.request.idempotency_key] = task
        until = min(
            self.dispatcher.loop.now + self.translator.config.query_timeout_us,
            task.request.deadline_us - DEADLINE_MARGIN_US,
        )
        uncertain.timer = self.dispatcher.loop.call_at(until, lambda: self._query_timed_out(task, uncertain))
        self.dispatcher.endpoints.nodes[uncertain.machine].query_task(task.request.idempotency_key, uid)

    def cancel(self, task: TaskRecord) -> None:
        """Cancel the pending query of a task that was answered, cancelled or resolved otherwise."""
        uncertain = task.uncertain
        if uncertain is None:
            return
        if uncertain.timer is not None:
            uncertain.timer.cancel()
        task.uncertain = None
        if self._tasks.get(task.request.idempotency_key) is task:
            del self._tasks[task.request.idempotency_key]
        if uncertain.previous is not None and task.attempt is None and task.state is not TaskState.RUNNING:
            # The attempt of the earlier request is still uncertain.
            task.possibly_running_at = uncertain.machine

    def status_received(self, reply: TaskStatusReply) -> None:
        """Apply a reply to the task with a pending query, otherwise to the running task that the reply names."""
        task = self._tasks.get(reply.idempotency_key)
        if task is None or task.uncertain is None or task.uncertain.machine != reply.machine:
            self._reconcile_task(reply)
            return
        uncertain = task.uncertain
        match self.translator.resolve_status(reply.machine, reply.status_code):
            case Resolution.NEVER_RAN:
                self._resolve_never_ran(task, uncertain)
            case Resolution.RUNNING:
                self._resolve_started(task, uncertain, reply, ended=False)
            case Resolution.ENDED:
                self._resolve_started(task, uncertain, reply, ended=True)
            case Resolution.PENDING:
                self.dispatcher.loop.call_later(
                    STATUS_QUERY_RETRY_US, lambda: self._query_again(task, uncertain)
                )
            case Resolution.UNRESOLVED:
                self._leave_unresolved(task, uncertain)

    def reconcile(self, machine: int) -> None:
        """Query a reconnected node about all tasks that should run there.

        Finds tasks whose end was reported on the broken connection, and tasks that were lost because a new process
        took over the address before the endpoint list shows it.
        """
        if not self.can_query(machine):
            return
        node = self.dispatcher.endpoints.nodes[machine]
        for uid in self.dispatcher.running_at(machine):
            task = self.dispatcher.find_task(uid)
            if task is not None and task.request.idempotency_key:
                node.query_task(task.request.idempotency_key, uid)

    def late_start(self, item: TaskStarted) -> None:
        """Cancel a task on a node that reported its start without an attempt in flight.

        Nothing is done while a query about it is pending, because the reply resolves it, or if the node reports the
        start of a running task a second time.
        """
        if self._is_queried(item):
            return
        task = self.dispatcher.find_task(item.uid)
        active = task is not None and task.state in (TaskState.RUNNING, TaskState.CANCELLING)
        if active and task is not None and task.machine == item.machine:
            return
        node = self.dispatcher.endpoints.nodes.get(item.machine)
        if node is None or not self.translator.tracks_keys(item.machine):
            return
        after_denial = task is not None and task.never_ran_at == item.machine
        self.translator.record_late_start(item.machine, after_denial)
        self.dispatcher.log(
            4,
            "late-start",
            {"uid": f"{item.uid:016x}"},
            "the task started after its attempt was withdrawn, so its node is told to cancel it",
        )
        node.cancel_task(item.uid)

    def _is_queried(self, item: TaskStarted) -> bool:
        """Return whether a query about the reported start is pending at the node that reports it."""
        for task in self._tasks.values():
            uncertain = task.uncertain
            if uncertain is None or uncertain.machine != item.machine:
                continue
            if _queried_uid(task, uncertain) == item.uid:
                return True
        return False

    def _query_timed_out(self, task: TaskRecord, uncertain: UncertainAttempt) -> None:
        if task.uncertain is uncertain:
            self.translator.counters["asked: no answer"] += 1
            self._leave_unresolved(task, uncertain)

    def _leave_unresolved(self, task: TaskRecord, uncertain: UncertainAttempt) -> None:
        """Give up on a query: report the attempt's observed outcome, or fail the request."""
        attempt = task.attempt
        self.cancel(task)
        if uncertain.previous is None and attempt is not None:
            task.attempt = None
            task.possibly_running_at = uncertain.machine
            self.dispatcher.report_outcome(task, attempt, uncertain.outcome, uncertain.reason)
            self.dispatcher.discard(task)
        elif task.state is TaskState.OPEN:
            text = "a task of this name may run, and its node does not tell"
            self.dispatcher.fail(task, failure_cause(FailureReason.IN_DOUBT, text))

    def _reconcile_task(self, reply: TaskStatusReply) -> None:
        """End a running task if its node replies that it has ended or never ran."""
        task = self.dispatcher.find_task(reply.queried_uid)
        if task is None or task.state is not TaskState.RUNNING or task.machine != reply.machine:
            return
        if task.request.idempotency_key != reply.idempotency_key:
            return
        if reply.uid and reply.uid != task.node_uid:
            return
        match self.translator.resolve_status(reply.machine, reply.status_code):
            case Resolution.ENDED:
                finished = TaskFinished(reply.machine, task.node_uid, reply.outcome, reply.reason)
                self.dispatcher.inbox.append(finished)
            case Resolution.NEVER_RAN:
                self.dispatcher.inbox.append(TaskFinished(reply.machine, task.node_uid, Outcome.BROKEN))
            case _:
                pass  # the task still runs, or the reply is inconclusive

    def _query_again(self, task: TaskRecord, uncertain: UncertainAttempt) -> None:
        node = self.dispatcher.endpoints.nodes.get(uncertain.machine)
        if task.uncertain is uncertain and node is not None:
            node.query_task(task.request.idempotency_key, _queried_uid(task, uncertain))

    def _resolve_never_ran(self, task: TaskRecord, uncertain: UncertainAttempt) -> None:
        attempt = task.attempt
        uncertain.previous = None  # the reply has resolved it
        self.cancel(task)
        task.never_ran_at = uncertain.machine
        if attempt is not None:
            task.attempt = None
            # NOT_CONNECTED counts as a failure of the node and allows a retry.
            self.dispatcher.report_outcome(task, attempt, Outcome.NOT_CONNECTED)
            self.dispatcher.discard(task)
        elif task.state is TaskState.OPEN:
            self.dispatcher.enqueue(task)

    def _resolve_started(
        self, task: TaskRecord, uncertain: UncertainAttempt, reply: TaskStatusReply, ended: bool
    ) -> None:
        """Continue as if the node had reported the start, and the end if ``ended``, unasked."""
        if not reply.description:
            self._leave_unresolved(task, uncertain)
            return
        attempt = task.attempt
        uncertain.previous = None
        self.cancel(task)
        if attempt is None:
            node_uid = reply.uid or task.request.uid
            self.dispatcher.adopt_already_running(task, reply.machine, node_uid, reply.description)
        else:
            if not ended:
                self.dispatcher.endpoints.nodes[reply.machine].watch_task(task.node_uid)
            started = TaskStarted(reply.machine, task.node_uid, reply.description)
            self.dispatcher.inbox.append(started)
        if ended:
            finished = TaskFinished(reply.machine, task.node_uid, reply.outcome, reply.reason)
            self.dispatcher.inbox.append(finished)


def _queried_uid(task: TaskRecord, uncertain: UncertainAttempt) -> int:
    """Return the id under which the queried node knows the task, which may be that of an earlier request."""
    return task.node_uid if uncertain.previous is None else uncertain.previous.uid
