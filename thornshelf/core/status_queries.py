"""Queries to nodes about tasks of which it is uncertain whether they run.

An attempt whose connection broke, or that timed out, may have run. Where its node can be queried by the task's
idempotency key, the attempt stays in flight until the node has replied, so that no other attempt is made meanwhile.
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

STATUS_QUERY_RETRY_US = (
    100_000  # a node that has not decided about an attempt yet is queried again after this time
)
DEADLINE_MARGIN_US = (
    20_000  # a query ends so long before the deadline, so that the answer is still sent in time
)


class StatusQueries:
    """The queries of one dispatcher that wait for a node's reply."""

    def __init__(self, dispatcher: DispatcherPort, translator: Translator) -> None:
        self.dispatcher = dispatcher
        self.translator = translator
        self._tasks: dict[int, TaskRecord] = {}  # those that wait for a reply, by idempotency key

    def can_query(self, machine: int) -> bool:
        """Whether a node is connected and replies to queries by idempotency key."""
        return machine in self.dispatcher.endpoints.nodes and self.translator.can_query(machine)

    def query(self, task: TaskRecord, uncertain: UncertainAttempt, uid: int) -> None:
        """Query the node of an uncertain attempt, which knows the task under the id ``uid``."""
        task.uncertain = uncertain
        self._tasks[task.request.idempotency_key] = task
        until = min(
            self.dispatcher.loop.now + self.translator.config.query_timeout_us,
            task.request.deadline_us - DEADLINE_MARGIN_US,
        )
        uncertain.timer = self.dispatcher.loop.at(until, lambda: self._timed_out(task, uncertain))
        self.dispatcher.endpoints.nodes[uncertain.machine].query_task(task.request.idempotency_key, uid)

    def cancel(self, task: TaskRecord) -> None:
        """Forget a query whose task was answered, cancelled or resolved otherwise."""
        uncertain = task.uncertain
        if uncertain is None:
            return
        if uncertain.timer is not None:
            uncertain.timer.cancel()
        task.uncertain = None
        if self._tasks.get(task.request.idempotency_key) is task:
            del self._tasks[task.request.idempotency_key]
        if uncertain.previous is not None and task.attempt is None and task.state is not TaskState.RUNNING:
            task.possibly_running_at = uncertain.machine  # the attempt under an earlier id is still uncertain

    def status_received(self, reply: TaskStatusReply) -> None:
        """Apply a node's reply to the task that waits for it, otherwise to the running task that it names."""
        task = self._tasks.get(reply.idempotency_key)
        if task is None or task.uncertain is None or task.uncertain.machine != reply.machine:
            self._reconcile_task(reply)
            return
        uncertain = task.uncertain
        match self.translator.resolve_status(reply.machine, reply.status_code):
            case Resolution.NEVER_RAN:
                self._never_ran(task, uncertain)
            case Resolution.RUNNING:
                self._ran(task, uncertain, reply, ended=False)
            case Resolution.ENDED:
                self._ran(task, uncertain, reply, ended=True)
            case Resolution.PENDING:
                self.dispatcher.loop.after(STATUS_QUERY_RETRY_US, lambda: self._repeat(task, uncertain))
            case Resolution.UNRESOLVED:
                self._leave_unresolved(task, uncertain)

    def reconcile(self, machine: int) -> None:
        """Query a node that is connected again about all tasks that are expected to run there.

        Guards against ends that were reported on the connection that broke, and against a process that was replaced
        by one without any task, at the same address and before the endpoint list shows it.
        """
        if not self.can_query(machine):
            return
        node = self.dispatcher.endpoints.nodes[machine]
        for uid in self.dispatcher.running_at(machine):
            task = self.dispatcher.find_task(uid)
            if task is not None and task.request.idempotency_key:
                node.query_task(task.request.idempotency_key, uid)

    def late_start(self, item: TaskStarted) -> None:
        """A node reports a start for which no attempt is in flight: cancel the task there.

        It is left alone while the node is being queried about it, because the reply will resolve it, and if it is
        the running task itself, reported twice.
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
            "the task started after its attempt was given up, so its node is told to cancel it",
        )
        node.cancel_task(item.uid)

    def _is_queried(self, item: TaskStarted) -> bool:
        """Whether the node that reports a start is being queried about this very attempt."""
        for task in self._tasks.values():
            uncertain = task.uncertain
            if uncertain is None or uncertain.machine != item.machine:
                continue
            if _queried_uid(task, uncertain) == item.uid:
                return True
        return False

    def _timed_out(self, task: TaskRecord, uncertain: UncertainAttempt) -> None:
        if task.uncertain is uncertain:
            self.translator.counters["asked: no answer"] += 1
            self._leave_unresolved(task, uncertain)

    def _leave_unresolved(self, task: TaskRecord, uncertain: UncertainAttempt) -> None:
        """No reply resolves the attempt: report the end that was seen, or fail the request."""
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
        """End a running task whose node replies that it has ended, or does not know it."""
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
                pass  # it runs, or nothing is known

    def _repeat(self, task: TaskRecord, uncertain: UncertainAttempt) -> None:
        node = self.dispatcher.endpoints.nodes.get(uncertain.machine)
        if task.uncertain is uncertain and node is not None:
            node.query_task(task.request.idempotency_key, _queried_uid(task, uncertain))

    def _never_ran(self, task: TaskRecord, uncertain: UncertainAttempt) -> None:
        attempt = task.attempt
        uncertain.previous = None  # nothing is uncertain any more
        self.cancel(task)
        task.never_ran_at = uncertain.machine
        if attempt is not None:
            task.attempt = None
            # The decision module counts it as not connected: that is a failure of the node, and allows a retry.
            self.dispatcher.report_outcome(task, attempt, Outcome.NOT_CONNECTED)
            self.dispatcher.discard(task)
        elif task.state is TaskState.OPEN:
            self.dispatcher.enqueue(task)

    def _ran(
        self, task: TaskRecord, uncertain: UncertainAttempt, reply: TaskStatusReply, ended: bool
    ) -> None:
        """The task runs or ran: continue as if its node had reported so by itself."""
        if not reply.description:
            self._leave_unresolved(task, uncertain)
            return
        attempt = task.attempt
        uncertain.previous = None
        self.cancel(task)
        if attempt is None:
            node_uid = reply.uid or task.request.uid
            self.dispatcher.adopt_found(task, reply.machine, node_uid, reply.description)
        else:
            if not ended:
                self.dispatcher.endpoints.nodes[reply.machine].watch_task(task.node_uid)
            started = TaskStarted(reply.machine, task.node_uid, reply.description)
            self.dispatcher.inbox.append(started)
        if ended:
            finished = TaskFinished(reply.machine, task.node_uid, reply.outcome, reply.reason)
            self.dispatcher.inbox.append(finished)


def _queried_uid(task: TaskRecord, uncertain: UncertainAttempt) -> int:
    """The id under which the queried node knows the task: that of an earlier request, where it was one's attempt."""
    return task.node_uid if uncertain.previous is None else uncertain.previous.uid
