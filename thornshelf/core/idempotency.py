"""Tasks that must not be started twice, by name: set-ups that join, attempts in doubt, and answers about them.

The table itself is ``translate.doubt``; this carries out what it says. Off without a translation layer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from thornshelf.core.endpoint_registry import EndpointRegistry
from thornshelf.core.messages import (
    AnswerMetadata,
    Attempt,
    TaskFinished,
    TaskRequest,
    TaskStarted,
    TaskStatusReply,
)
from thornshelf.core.ports import ClientConnection, LogFunction
from thornshelf.core.task import TaskRecord, TaskState, UncertainAttempt
from thornshelf.loop import Loop
from thornshelf.placement.interface import Idempotency, Outcome, Reason, TaskClass
from thornshelf.translation.failures import (
    ExecutionGuarantee,
    FailureCause,
    FailureReason,
    execution_guarantee,
    failure_cause,
)
from thornshelf.translation.uncertain_attempts import ActiveKey, KeyAction, Resolution, UncertainKey

if TYPE_CHECKING:
    from thornshelf.translation.translator import Translator

STATUS_QUERY_RETRY_US = 100_000  # a node that is still looking at the offer is asked again so often
DEADLINE_MARGIN_US = 20_000  # before a deadline, so that the answer that is left still goes out in time


class DispatcherPort(Protocol):
    """What named tasks ask of the core that holds them."""

    loop: Loop
    endpoints: EndpointRegistry
    task_classes: dict[str, TaskClass]
    counters: dict[str, int]
    inbox: deque[Any]

    @property
    def log(self) -> LogFunction:
        """One line."""

    def find_task(self, uid: int) -> TaskRecord | None:
        """A task by any id under which it is known."""

    def running_at(self, machine: int) -> Iterator[int]:
        """The ids, as the node knows them, of what stands at a node."""

    def enqueue(self, task: TaskRecord) -> None:
        """The module's turn."""

    def reject(self, task: TaskRecord, retry_after_us: int | None, cause: FailureCause | None = None) -> None:
        """The one final answer: nothing of it ran."""

    def fail(self, task: TaskRecord, cause: FailureCause | None = None) -> None:
        """The one final answer: it may have run."""

    def discard(self, task: TaskRecord) -> None:
        """Forget a task that is over."""

    def merge(self, task: TaskRecord, known: TaskRecord) -> None:
        """The holder of a set-up becomes one of a task that is served already."""

    def unsubscribe(self, task: TaskRecord, uid: int) -> None:
        """One of several holders wants the task no more."""

    def send_running(
        self, task: TaskRecord, subscribers: Mapping[int, ClientConnection], metadata: AnswerMetadata | None
    ) -> None:
        """The task stands."""

    def adopt_found(self, task: TaskRecord, machine: int, node_uid: int, description: bytes) -> None:
        """A set-up whose task is found to run already, under another id."""

    def report_outcome(
        self, task: TaskRecord, attempt: Attempt, outcome: Outcome, reason: Reason = Reason.UNSPECIFIED
    ) -> None:
        """Tell the module how an attempt ended."""


class IdempotencyTable:
    """The named tasks of one dispatcher."""

    def __init__(self, dispatcher: DispatcherPort, translator: Translator) -> None:
        self.dispatcher, self.translator = dispatcher, translator
        self._status_queries: dict[int, TaskRecord] = {}  # by key

    def deduplicates(self, setup: TaskRequest) -> bool:
        """A second start of it would do harm, and it has a name to tell it by."""
        return (
            bool(setup.idempotency_key)
            and self.dispatcher.task_classes[setup.task_class].idempotency is not Idempotency.ALWAYS
        )

    # set-ups

    def register(self, task: TaskRecord) -> bool:
        """A set-up of a named task; true where it may go on to the module now."""
        setup, now = task.request, self.dispatcher.loop.now
        entry = self.translator.idempotency_keys.lookup(setup.idempotency_key, now)
        machine = entry.machine if isinstance(entry, UncertainKey) else 0
        match self.translator.idempotency_keys.action_for(
            setup.idempotency_key, now, self._can_query(machine)
        ):
            case KeyAction.START:
                task.deduplicated = True
                self.translator.idempotency_keys.mark_active(setup.idempotency_key, setup.uid)
                return True
            case KeyAction.JOIN:
                assert isinstance(entry, ActiveKey)
                self._join_known(task, self.dispatcher.find_task(entry.uid))
            case KeyAction.QUERY_NODE:
                assert isinstance(entry, UncertainKey)
                task.deduplicated = True
                self.translator.idempotency_keys.mark_active(setup.idempotency_key, setup.uid)
                self._query_status(
                    task,
                    UncertainAttempt(entry.machine, Outcome.BROKEN, Reason.UNSPECIFIED, entry),
                    entry.uid,
                )
            case KeyAction.FAIL:
                self.translator.counters["in doubt: failed"] += 1
                self.dispatcher.fail(
                    task,
                    failure_cause(
                        FailureReason.IN_DOUBT, "a task of this name may run; its node can't be asked"
                    ),
                )
        return False

    def register_adopted(self, task: TaskRecord) -> None:
        """A task that a node holds, by its owner's word."""
        entry = self.translator.idempotency_keys.lookup(
            task.request.idempotency_key, self.dispatcher.loop.now
        )
        if entry is None or isinstance(entry, UncertainKey):
            task.deduplicated = True
            self.translator.idempotency_keys.mark_active(task.request.idempotency_key, task.request.uid)

    def _join_known(self, task: TaskRecord, known: TaskRecord | None) -> None:
        """Another id of a task that is served here: one start, and one fate for both."""
        (uid, owner), core = next(task.each_subscriber()), self.dispatcher
        if known is None or known.state in (TaskState.CANCELLING, TaskState.ANSWERED):
            # Its end is on the way: nothing new may start before it is known.
            self.translator.counters["joined: ending"] += 1
            core.reject(
                task, None, failure_cause(FailureReason.IN_DOUBT, "a task of this name is just ending")
            )
            return
        if known.state is TaskState.RUNNING and known.node_description is None:
            self.translator.counters["joined: no binding"] += 1
            core.fail(
                task,
                failure_cause(
                    FailureReason.IN_DOUBT, "a task of this name runs, and its description is not known"
                ),
            )
            return
        self.translator.counters["joined"] += 1
        core.log(
            5,
            "request-joined",
            {"uid": f"{uid:016x}", "first": f"{known.request.uid:016x}"},
            "one task, two ids",
        )
        core.merge(task, known)
        if known.state is TaskState.RUNNING and known.node_description is not None:
            core.send_running(known, {uid: owner}, AnswerMetadata(joined_running_task=True))
            return
        deadline = task.request.deadline_us
        if deadline < known.request.deadline_us:
            core.loop.at(deadline, lambda: self._joined_deadline(known, uid))

    def _joined_deadline(self, known: TaskRecord, uid: int) -> None:
        """The joined set-up's own deadline comes before the first one's: it gets its answer in time."""
        if known.state is TaskState.OPEN and (owner := known.subscribers.get(uid)) is not None:
            self.dispatcher.unsubscribe(known, uid)
            self.dispatcher.counters["failed"] += 1
            owner.send_failed(
                uid, failure_cause(FailureReason.IN_DOUBT, "the task is still being placed under another id")
            )

    # attempts in doubt

    def resolve_uncertain(self, task: TaskRecord, attempt: Attempt, outcome: Outcome, reason: Reason) -> bool:
        """An attempt has ended and may have run: ask, where its node can tell; true where the answer is awaited.

        The attempt counts as out until then, so that no other is made.
        """
        if (
            not task.deduplicated
            or not self.may_have_run(outcome)
            or task.state is not TaskState.OPEN
            or task.uncertain is not None
            or not self._can_query(attempt.machine)
            or self.dispatcher.loop.now >= task.request.deadline_us - DEADLINE_MARGIN_US
        ):
            return False
        self._query_status(task, UncertainAttempt(attempt.machine, outcome, reason), task.node_uid)
        return True

    def _can_query(self, machine: int) -> bool:
        return machine in self.dispatcher.endpoints.nodes and self.translator.can_query(machine)

    def _query_status(self, task: TaskRecord, doubtful: UncertainAttempt, uid: int) -> None:
        task.uncertain = doubtful
        self._status_queries[task.request.idempotency_key] = task
        until = min(
            self.dispatcher.loop.now + self.translator.config.query_timeout_us,
            task.request.deadline_us - DEADLINE_MARGIN_US,
        )
        doubtful.timer = self.dispatcher.loop.at(until, lambda: self._query_timed_out(task, doubtful))
        self.dispatcher.endpoints.nodes[doubtful.machine].query_task(task.request.idempotency_key, uid)

    def cancel_query(self, task: TaskRecord) -> None:
        """The question is void: its task was answered, given up or settled otherwise."""
        if (doubtful := task.uncertain) is not None:
            if doubtful.timer is not None:
                doubtful.timer.cancel()
            task.uncertain = None
            if self._status_queries.get(task.request.idempotency_key) is task:
                del self._status_queries[task.request.idempotency_key]
            if doubtful.previous is not None and task.attempt is None and task.state is not TaskState.RUNNING:
                task.possibly_running_at = (
                    doubtful.machine
                )  # what an earlier id left behind is as much in doubt as before

    def _query_timed_out(self, task: TaskRecord, doubtful: UncertainAttempt) -> None:
        """No answer came that settles it: what was known before holds."""
        if task.uncertain is doubtful:
            self.translator.counters["asked: no answer"] += 1
            self._leave_unresolved(task, doubtful)

    def _leave_unresolved(self, task: TaskRecord, doubtful: UncertainAttempt) -> None:
        attempt = task.attempt
        self.cancel_query(task)
        if doubtful.previous is None and attempt is not None:
            task.attempt = None
            task.possibly_running_at = doubtful.machine
            self.dispatcher.report_outcome(task, attempt, doubtful.outcome, doubtful.reason)
            self.dispatcher.discard(task)
        elif task.state is TaskState.OPEN:
            self.dispatcher.fail(
                task,
                failure_cause(
                    FailureReason.IN_DOUBT, "a task of this name may run, and its node does not tell"
                ),
            )

    def status_received(self, item: TaskStatusReply) -> None:
        """A node's answer."""
        task = self._status_queries.get(item.idempotency_key)
        if task is None or task.uncertain is None or task.uncertain.machine != item.machine:
            self._running_task_status(item)
            return
        doubtful = task.uncertain
        match self.translator.resolve_status(item.machine, item.status_code):
            case Resolution.NEVER_RAN:
                self._never_ran(task, doubtful)
            case Resolution.RUNNING:
                self._ran(task, doubtful, item, ended=False)
            case Resolution.ENDED:
                self._ran(task, doubtful, item, ended=True)
            case Resolution.PENDING:
                self.dispatcher.loop.after(STATUS_QUERY_RETRY_US, lambda: self._repeat_query(task, doubtful))
            case Resolution.UNRESOLVED:
                self._leave_unresolved(task, doubtful)

    # standing tasks, after a break

    def reconcile(self, machine: int) -> None:
        """A node that can be asked is back: ask about all that is thought to stand there.

        Guards against ends that were told on the connection which broke, and against a process that was replaced
        by one which holds nothing, at the same address and before the list tells of it.
        """
        if not self._can_query(machine):
            return
        node = self.dispatcher.endpoints.nodes[machine]
        for uid in self.dispatcher.running_at(machine):
            task = self.dispatcher.find_task(uid)
            if task is not None and task.request.idempotency_key:
                node.query_task(task.request.idempotency_key, uid)

    def _running_task_status(self, item: TaskStatusReply) -> None:
        task = self.dispatcher.find_task(item.queried_uid)
        if task is None or task.state is not TaskState.RUNNING or task.machine != item.machine:
            return
        if task.request.idempotency_key != item.idempotency_key or (item.uid and item.uid != task.node_uid):
            return
        match self.translator.resolve_status(item.machine, item.status_code):
            case Resolution.ENDED:
                self.dispatcher.inbox.append(
                    TaskFinished(item.machine, task.node_uid, item.outcome, item.reason)
                )
            case Resolution.NEVER_RAN:
                self.dispatcher.inbox.append(TaskFinished(item.machine, task.node_uid, Outcome.BROKEN))
            case _:
                pass  # it runs, or nothing is known

    def _repeat_query(self, task: TaskRecord, doubtful: UncertainAttempt) -> None:
        if (
            task.uncertain is doubtful
            and (node := self.dispatcher.endpoints.nodes.get(doubtful.machine)) is not None
        ):
            node.query_task(
                task.request.idempotency_key,
                task.node_uid if doubtful.previous is None else doubtful.previous.uid,
            )

    def _never_ran(self, task: TaskRecord, doubtful: UncertainAttempt) -> None:
        attempt = task.attempt
        doubtful.previous = None  # the doubt is gone
        self.cancel_query(task)
        task.never_ran_at = doubtful.machine
        if attempt is not None:
            task.attempt = None
            # For the module it was never reached: it blames the node as before, and may try another.
            self.dispatcher.report_outcome(task, attempt, Outcome.NOT_CONNECTED)
            self.dispatcher.discard(task)
        elif task.state is TaskState.OPEN:
            self.dispatcher.enqueue(task)

    def _ran(self, task: TaskRecord, doubtful: UncertainAttempt, item: TaskStatusReply, ended: bool) -> None:
        attempt, core = task.attempt, self.dispatcher
        if not item.description:
            self._leave_unresolved(task, doubtful)
            return
        doubtful.previous = None
        self.cancel_query(task)
        if attempt is not None:
            if not ended:
                core.endpoints.nodes[item.machine].watch_task(task.node_uid)
            core.inbox.append(TaskStarted(item.machine, task.node_uid, item.description))
        else:
            core.adopt_found(task, item.machine, item.uid or task.request.uid, item.description)
        if ended:
            core.inbox.append(TaskFinished(item.machine, task.node_uid, item.outcome, item.reason))

    def late_start(self, item: TaskStarted) -> None:
        """A yes for no attempt that is out: its node is told to end it, unless it is just being asked about."""
        task = self.dispatcher.find_task(item.uid)
        for asked in self._status_queries.values():
            doubtful = asked.uncertain
            if doubtful is not None and doubtful.machine == item.machine:
                before = doubtful.previous.uid if doubtful.previous is not None else asked.node_uid
                if before == item.uid:
                    return  # the answer about its name will tell
        if (
            task is not None
            and task.state in (TaskState.RUNNING, TaskState.CANCELLING)
            and task.machine == item.machine
        ):
            return  # the same yes twice
        node = self.dispatcher.endpoints.nodes.get(item.machine)
        if node is None or not self.translator.tracks_keys(item.machine):
            return
        self.translator.record_late_start(
            item.machine, task is not None and task.never_ran_at == item.machine
        )
        self.dispatcher.log(
            4, "late-start", {"uid": f"{item.uid:016x}"}, "given up before; its node is told to end it"
        )
        node.cancel_task(item.uid)

    # the end

    def release_key(self, task: TaskRecord) -> None:
        """The record goes: its name is in doubt, or free again."""
        if not task.deduplicated:
            return
        key, uid = task.request.idempotency_key, task.request.uid
        entry = self.translator.idempotency_keys.lookup(key, self.dispatcher.loop.now)
        if entry != ActiveKey(uid):
            return
        if task.possibly_running_at is not None:
            self.translator.idempotency_keys.mark_uncertain(
                key, task.possibly_running_at, task.node_uid, self.dispatcher.loop.now
            )
        else:
            self.translator.idempotency_keys.discard(key)

    @staticmethod
    def may_have_run(outcome: Outcome) -> bool:
        """The end of an attempt that leaves open whether it ran."""
        return execution_guarantee(outcome) is ExecutionGuarantee.MAY_HAVE_RUN
