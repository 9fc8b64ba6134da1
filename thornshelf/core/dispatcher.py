"""The core: one final answer for each task, one attempt in flight, releases for what has stood.

Socket code only puts items into ``inbox``, and changes of the list into ``list_changed``. ``turn`` takes them to the
decision module and carries out its actions. Nothing else touches the module.

A turn is bounded: the list first, then what has happened, then, for as long as the turn may last, new set-ups, a few
at a time, the earliest deadline first. What is left over waits for the next turns, and what can't be placed in its
time any more is refused as soon as that is known.
"""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

from thornshelf.core.endpoint_registry import EndpointRegistry
from thornshelf.core.messages import (
    AnswerMetadata,
    Attempt,
    CancelTask,
    ClientConnected,
    ClientConnection,
    ClientDisconnected,
    EndpointListUpdate,
    Gossip,
    GossipReceived,
    HandshakeCompleted,
    HealthCheckCompleted,
    InboxItem,
    LogFunction,
    NodeConnection,
    NodeEndpoint,
    NodeLost,
    RequestQueue,
    TaskFinished,
    TaskProgress,
    TaskRequest,
    TaskStarted,
    TaskStatusReply,
)
from thornshelf.core.releases import ReleaseNotifier
from thornshelf.core.task import AttemptTimedOut, TaskPages, TaskRecord, TaskState
from thornshelf.errors import PlacementFaultError
from thornshelf.loop import Loop
from thornshelf.placement import interface as api
from thornshelf.placement.interface import Idempotency, Outcome, Reason
from thornshelf.placement.placer import Placer
from thornshelf.retries.deadline_queue import DeadlineQueue, DeadlineQueueConfig
from thornshelf.translation.failures import FailureCause, FailureReason, failure_cause

if TYPE_CHECKING:
    from thornshelf.admission.descriptors import DescriptorLedger
    from thornshelf.control.history import History
    from thornshelf.core.idempotency import IdempotencyTable
    from thornshelf.nodes.connection_pool import ConnectionPool
    from thornshelf.retries.jitter import RetryAfterJitter
    from thornshelf.translation.translator import Translator

CANCEL_TIMEOUT_US = 2_000_000  # a node that was told to end a task and says nothing is not waited for longer
MAX_ITEMS_PER_TURN = 256  # of what has happened
MAX_ENDED_ATTEMPTS_PER_TURN = 16  # of attempts: the module offers their tasks anew
PLACEMENT_TIME_PER_TURN_US = 10_000  # set-ups go to the module for so long in a turn
ENDPOINT_LIST_TIMEOUT_US = (
    250_000  # after the start set-ups wait no longer than this for the change log's first answer
)
COST_SMOOTHING = 0.1  # weight of a turn in the mean cost of a set-up
PLACEMENT_BATCH_SIZE = 4  # go to the module together, cheapest first, between two looks at the clock
MIN_REMAINING_US = (
    50_000  # a set-up that still waits with less time left is refused: two turns, so as not to be late
)
MIN_REMAINING_FRACTION = (
    0.125  # or with less than this of the shortest deadline: those with short ones are to be placed
)
MIN_QUEUE_CAPACITY, MAX_QUEUE_CAPACITY = (
    256,
    16_384,
)  # set-ups that wait, at most: as many as can be placed in their time
MAX_CLASS_DEADLINES = 2  # of its class: no set-up is waited for longer
QUEUE_RETRY_AFTER_US = (
    1_000_000  # a set-up that the queue gives back is told to stay away for at least so long
)
UNKNOWN_NODE_TIMEOUT_US = 2_000_000  # a task said to stand on a node that no list names is given so long


class Dispatcher:
    """Owns the module and all tasks; embed it with fronts and a way to make nodes.

    ``desk``: the translation layer, where the operator has set one up.
    """

    def __init__(
        self,
        loop: Loop,
        settings: api.Settings,
        seed: int,
        make_node: Callable[[int, NodeEndpoint, Dispatcher], NodeConnection],
        log: LogFunction,
        translator: Translator | None = None,
        queue: RequestQueue[TaskRecord] | None = None,
        jitter: RetryAfterJitter | None = None,
        unix_offset_us: int = 0,
    ) -> None:
        self.loop, self.settings, self.log, self.translator = loop, settings, log, translator
        self.placer = Placer(settings, seed)
        self.inbox: deque[InboxItem | AttemptTimedOut] = deque()
        self._endpoint_updates: deque[EndpointListUpdate] = deque()
        self._ended_attempts: deque[TaskFinished | AttemptTimedOut] = (
            deque()
        )  # of attempts: their tasks are to be placed anew
        self.task_classes = {one.name: one for one in settings.classes}
        self.counters = {"taken": 0, "answered": 0, "refused": 0, "failed": 0, "released": 0, "given_up": 0}
        self.endpoints = EndpointRegistry(
            lambda machine, entry: make_node(machine, entry, self),
            self.unix_seconds,
            self.running_at,
            self._lost_before,
            lambda machine, attempt: self.inbox.append(TaskFinished(machine, attempt.uid, Outcome.NOT_SENT)),
            self._unlisted,
        )
        self.releases = ReleaseNotifier(loop, log)
        self.idempotency: IdempotencyTable | None = None
        self._shortest_us = min((one.deadline_s for one in settings.classes), default=1.0) * 1e6
        terms = DeadlineQueueConfig(
            batch_size=PLACEMENT_BATCH_SIZE,
            min_remaining_us=min(MIN_REMAINING_US, int(self._shortest_us * MIN_REMAINING_FRACTION)),
        )
        self.queue: RequestQueue[TaskRecord] = DeadlineQueue(terms) if queue is None else queue
        self._ordered = queue is not None  # by more than the deadline
        self.is_endpoint_list_stale: Callable[[], bool] | None = (
            None  # where it holds, the list may be old: set-ups wait a little
        )
        self._ask_us = 0.0  # what a set-up costs of late
        self.jitter = jitter if translator is None or translator.jitter is None else translator.jitter
        self.descriptor_ledger: DescriptorLedger | None = None  # of descriptors, where there is a door
        self.node_connections: ConnectionPool | None = None  # to nodes, where there is none
        self.gossip: Gossip | None = None  # the fleet's view, where the operator has set one up
        self.history: History | None = None  # what became of tasks, where there is a control socket
        if translator is not None:
            from thornshelf.core.idempotency import IdempotencyTable  # a dispatcher without it stays small

            self.idempotency = IdempotencyTable(self, translator)
            if translator.config.limits_retries and queue is None:
                self.queue, self._ordered = DeadlineQueue(translator.config.queue), True
        self._start_us, self._offset_us = loop.now, unix_offset_us
        self.tasks_by_uid: dict[int, TaskRecord] = {}  # by each id under which it is known
        self.tasks_by_number: dict[int, TaskRecord] = {}  # by the module's number
        self.tasks_by_machine: dict[
            int, dict[int, TaskRecord]
        ] = {}  # by node, those that are or were offered or stand there
        self._last_number = 0
        self._tenants = {one.name for one in settings.tenants}
        self._events: list[api.Event] = []
        self.open_count = 0
        loop.on_turn.append(self.run_turn)

    def unix_seconds(self, at_us: int) -> float:
        """The module's clock: Unix time, so that what dispatchers deal by turns they deal by one clock."""
        return (at_us + self._offset_us) / 1e6

    def _loop_us(self, at_s: float) -> int:
        return int(at_s * 1e6) - self._offset_us + 2  # not before it, however the fraction was rounded

    # one turn

    def update_endpoints(self, change: EndpointListUpdate) -> None:
        """News of the list, which goes before all that has happened: drains don't wait behind other work."""
        self._endpoint_updates.append(change)

    def run_turn(self) -> bool:
        """Take what has come to the module, within bounds; true where that left more to be done."""
        while self._endpoint_updates:
            self._events.append(self.endpoints.apply(self._endpoint_updates.popleft()))
        for _ in range(min(len(self.inbox), MAX_ITEMS_PER_TURN)):
            item = self.inbox.popleft()
            match item:
                case TaskRequest():
                    self._set_up(item)
                case TaskStarted():
                    self._started(item)
                case TaskFinished():
                    self._finished(item)
                case AttemptTimedOut():
                    self._ended_attempts.append(item)
                case TaskProgress():
                    self._noted(item)
                case CancelTask():
                    self._give_up(item.uid)
                case ClientConnected():
                    self.releases.client_connected(item.client)
                case ClientDisconnected():
                    self._owner_gone(item)
                case HealthCheckCompleted():
                    if self.gossip is not None:
                        self.gossip.health_checked(item)
                    lag = item.latency_us / 1e6
                    self._events.append(
                        api.HealthCheckResult(item.machine, item.outcome, lag, item.load_report)
                    )
                case NodeLost():
                    self._lost_before(item.machine, None)
                case GossipReceived():
                    self._events.append(api.GossipMessage(item.sender, item.data))
                case TaskStatusReply():
                    if self.idempotency is not None:
                        self.idempotency.status_received(item)
                case HandshakeCompleted():
                    self._greeted(item)
        for _ in range(min(len(self._ended_attempts), MAX_ENDED_ATTEMPTS_PER_TURN)):
            ending = self._ended_attempts.popleft()
            if isinstance(ending, AttemptTimedOut):
                self._attempt_timed_out(ending.task, ending.attempt)
            elif (task := self.tasks_by_uid.get(ending.uid)) and (attempt := task.attempt):
                self._attempt_over(task, attempt, ending)
        self._refuse_hopeless()
        self._hand_in()
        if self.is_endpoint_list_stale is not None:
            if self.is_endpoint_list_stale() and self.loop.now - self._start_us < ENDPOINT_LIST_TIMEOUT_US:
                return bool(self.inbox or self._ended_attempts or self._events)
            self.is_endpoint_list_stale = None
        began, asks = self.loop.turn_elapsed_us(), 0
        while (
            self.queue
            and self.loop.turn_elapsed_us() - began < PLACEMENT_TIME_PER_TURN_US
            and (tasks := self.queue.pop_batch(self.loop.now))
        ):
            asks += len(tasks)
            for task in tasks:
                task.queue_ticket = None
                self._events.append(self._ask(task))
            self._hand_in()
            if self._ordered or self.loop.has_backlog:
                break  # its own terms say how many a turn; and releases may wait to be read
        if asks:
            self._ask_us += COST_SMOOTHING * ((self.loop.turn_elapsed_us() - began) / asks - self._ask_us)
        return bool(self.inbox or self._ended_attempts or self._events or self.queue)

    def _hand_in(self) -> None:
        if self._events:
            events, self._events = self._events, []
            for action in self._decide(events):
                self.apply_action(action)

    def _decide(self, events: list[api.Event]) -> list[api.Action]:
        """The module's word. A fault in it must cost neither the process nor the other tasks.

        A task that gets no answer for it is failed by ``_overdue``.
        """
        try:
            return self.placer.handle(self.unix_seconds(self.loop.now), events)
        except Exception as fault:
            text = "".join(traceback.format_exception(fault)).replace("\n", " | ")
            self.log(
                3, "placement-failed", {"code": PlacementFaultError.code, "type": type(fault).__name__}, text
            )
            return self.placer.actions

    # owners

    def validation_error(self, task_class: str, tenant: str | None) -> str | None:
        """What a set-up names that the settings don't; a table of the module would keep it for good."""
        if task_class not in self.task_classes:
            return f"class is not known: {task_class!r:.40}"
        if tenant is not None and self._tenants and tenant not in self._tenants:
            return f"tenant is not known: {tenant!r:.40}"
        return None

    def _set_up(self, item: TaskRequest) -> None:
        most = self.settings.limits.max_open_requests
        if item.running_on is None and 0 < most <= self.open_count:
            item.client.send_rejected(item.uid, None)
            return
        if item.uid in self.tasks_by_uid:
            # Guards against a second answer: what is held under this id keeps its one answer.
            known = self.tasks_by_uid[item.uid]
            if item.running_on is not None and known.state is TaskState.RUNNING:
                held = known.subscribers.get(
                    item.uid
                )  # guards against strangers: who is there keeps the release
                if held is None or (not held.is_connected and held.peer == item.client.peer):
                    known.subscribers[item.uid] = item.client
                return
            self.log(4, "request-duplicated", {"uid": f"{item.uid:016x}"}, "set-up with an id that is in use")
            if known.subscribers.get(item.uid) is item.client:
                item.client.reject_duplicate(item.uid)
            else:
                item.client.send_failed(item.uid)
            return
        # What is kept for a task must go again: nobody waits far beyond the class's own deadline.
        longest = int(MAX_CLASS_DEADLINES * self.task_classes[item.task_class].deadline_s * 1e6)
        item.deadline_us = min(item.deadline_us, self.loop.now + longest)
        task = self.create_task(item)
        self.index_task(task, item.uid)
        self.releases.request_received(item.client)
        if item.running_on is not None:
            self.adopt_task(task, item.running_on)
            return
        self.counters["taken"] += 1
        self.open_count += 1
        self.record_event(task, item.uid, "taken", 0, item.task_class)
        self.releases.open_requests.setdefault(item.client, set()).add(item.uid)
        self.loop.at(item.deadline_us, lambda: self._overdue(task))
        if (
            self.idempotency is not None
            and self.idempotency.deduplicates(item)
            and not self.idempotency.register(task)
        ):
            return
        self.enqueue(task)

    def enqueue(self, task: TaskRecord) -> None:
        """The module's turn: at once, or in the order of the queue; unless no node can take the task at all."""
        setup = task.request
        if (cause := self._nowhere(task)) is not None:
            self.reject(task, None, cause)
            return
        priority = self.task_classes[setup.task_class].priority if self._ordered else 0
        task.queue_ticket = self.queue.put(task, priority, setup.deadline_us, setup.tenant, self.loop.now)

    def _refuse_hopeless(self) -> None:
        """What can't be placed in its time any more is answered now."""
        if not self._ordered and self._ask_us:
            # No more wait than can be placed within the shortest deadline: the last of the order come again.
            self.queue.max_waiting = max(
                MIN_QUEUE_CAPACITY, min(MAX_QUEUE_CAPACITY, int(self._shortest_us / self._ask_us))
            )
        for task in self.queue.pop_expired(self.loop.now):
            task.queue_ticket = None
            limits = self.settings.limits
            wait = (
                min(QUEUE_RETRY_AFTER_US, int(limits.max_retry_after_s * 1e6)) if limits.retry_after else None
            )
            text = "more came than can be placed in its time"
            self.reject(
                task,
                self._wait(task, wait, FailureReason.OVERLOADED),
                failure_cause(FailureReason.OVERLOADED, text),
            )

    def _ask(self, task: TaskRecord) -> api.PlacementRequest:
        """The set-up in the module's words."""
        setup, able = task.request, None
        if self.translator is not None and self.translator.has_restrictions:
            able = self.translator.eligibility_filter(setup.task_class, setup.declared_fields)
        return api.PlacementRequest(
            request_id=task.number,
            task_class=setup.task_class,
            tenant=setup.tenant,
            task=setup.idempotency_key,
            budget_s=max(0.0, (setup.deadline_us - self.loop.now) / 1e6),
            lifetime_hint_s=None if setup.lifetime_hint_us is None else setup.lifetime_hint_us / 1e6,
            service=setup.service,
            cores=setup.cores,
            memory=setup.memory,
            is_eligible=able,
        )

    def _overdue(self, task: TaskRecord) -> None:
        """The one final answer, should the module have given none by now."""
        if task.state is TaskState.OPEN:
            self.log(
                3, "deadline-exceeded", {"uid": f"{task.request.uid:016x}"}, "no answer came from the module"
            )
            for uid, owner in task.each_subscriber():
                self.record_event(task, uid, "failed", 0, "no answer came in its time")
                owner.send_failed(uid, task.last_failure)
            self._abandon(task, "failed")

    def adopt_task(self, task: TaskRecord, name: str) -> None:
        """A task that stands already: it wants no answer, but its release is owed."""
        machine = self.endpoints.machine_id(name)
        task.machine, task.state, task.running_since_us, task.attempt_count = (
            machine,
            TaskState.RUNNING,
            self.loop.now,
            1,
        )
        self._put_at(task, machine)
        self.record_event(task, task.request.uid, "adopted", machine)
        self._events.append(api.TaskAdopted(self._ask(task), machine))
        if self.idempotency is not None and self.idempotency.deduplicates(task.request):
            self.idempotency.register_adopted(task)
        if node := self.endpoints.nodes.get(machine):
            node.watch_task(task.node_uid)
        else:
            # The node may be named by an event of the list that is still on its way.
            uid = task.node_uid
            self.loop.after(UNKNOWN_NODE_TIMEOUT_US, lambda: self._check_listed(uid, machine))

    def _check_listed(self, uid: int, machine: int) -> None:
        if machine not in self.endpoints.nodes:
            self.log(5, "node-unknown", {"uid": f"{uid:016x}", "machine": machine}, "no list names its node")
            self.endpoints.discard(machine)
            self.inbox.append(TaskFinished(machine, uid, Outcome.BROKEN))

    def _give_up(self, uid: int) -> None:
        task = self.tasks_by_uid.get(uid)
        if (
            task is None
            or task.state in (TaskState.CANCELLING, TaskState.ANSWERED)
            or uid not in task.subscribers
        ):
            return
        self.record_event(task, uid, "given-up", task.machine)
        if task.state is not TaskState.OPEN and (owner := task.subscribers[uid]).is_connected:
            # Owners may end a task on any connection; what is kept of it on its own must go, too.
            owner.task_cancelled(uid)
        if len(task.subscribers) > 1:
            self.unsubscribe(task, uid)  # another id of the task still wants it
        elif task.state is TaskState.OPEN:
            self._abandon(task)
        else:
            self._end(task)

    def _abandon(self, task: TaskRecord, count: str = "given_up") -> None:
        """No answer is owed any more; an attempt that is out is given up."""
        self.counters[count] += 1
        self._close(task)
        self._events.append(api.RequestCancelled(task.number))
        if (attempt := task.attempt) is not None:
            self._withdraw(task, attempt, Outcome.CANCELLED)
        elif self.idempotency is not None:
            self.idempotency.cancel_query(task)
        self.discard(task)

    def _end(self, task: TaskRecord) -> None:
        """Cut a task that stands; its owner knows, so no release is owed."""
        task.state = TaskState.CANCELLING
        uid, machine = task.node_uid, task.machine
        if node := self.endpoints.nodes.get(machine):
            node.cancel_task(uid)
            task.timer = self.loop.after(CANCEL_TIMEOUT_US, lambda: self._end_unheard(task))
        else:
            self.inbox.append(TaskFinished(machine, uid, Outcome.CANCELLED))

    def _end_unheard(self, task: TaskRecord) -> None:
        task.possibly_running_at = task.machine  # for all that is known it still runs
        self.inbox.append(TaskFinished(task.machine, task.node_uid, Outcome.CANCELLED))

    def _owner_gone(self, item: ClientDisconnected) -> None:
        for uid in self.releases.client_disconnected(item.client):
            if (task := self.tasks_by_uid.get(uid)) is not None and task.state is TaskState.OPEN:
                self.record_event(task, uid, "given-up", 0, "its connection closed")
                if len(task.subscribers) > 1:
                    self.unsubscribe(task, uid)
                else:
                    self._abandon(task)
        for uid, outcome, reason, cause in item.pending_releases:
            self._send_release(item.client, uid, outcome, reason, cause)

    def _send_release(
        self, owner: ClientConnection, uid: int, outcome: Outcome, reason: Reason, cause: FailureCause | None
    ) -> None:
        self.counters["released"] += 1
        self.releases.notify(owner, uid, outcome, reason, cause)

    # several ids of one task

    def find_task(self, uid: int) -> TaskRecord | None:
        """A task by any id under which it is known."""
        return self.tasks_by_uid.get(uid)

    def all_tasks(self) -> list[TaskRecord]:
        """All that is known."""
        return list(self.tasks_by_number.values())

    def find_by_number(self, number: int) -> TaskRecord | None:
        """One by the module's number."""
        return self.tasks_by_number.get(number)

    @property
    def task_count(self) -> int:
        """How many are known."""
        return len(self.tasks_by_number)

    def page_tasks(self) -> TaskPages:
        """All that is known, kept from now on so that it can be read a run of tasks at a time."""
        self.tasks_by_number = runs = TaskPages(self.tasks_by_number)
        return runs

    def record_event(self, task: TaskRecord, uid: int, event: str, machine: int = 0, *detail: object) -> None:
        """For those who ask later what became of a task."""
        if self.history is not None:
            self.history.record(self.loop.now, uid, task.request.idempotency_key, event, machine, *detail)

    def create_task(self, setup: TaskRequest) -> TaskRecord:
        """A new record, under the module's next number."""
        self._last_number += 1
        task = TaskRecord(setup, self._last_number, self.loop.now)
        self.tasks_by_number[task.number] = task
        return task

    def index_task(self, task: TaskRecord, *uids: int) -> None:
        """Find a task by these ids from now on."""
        for uid in uids:
            self.tasks_by_uid[uid] = task

    def merge(self, task: TaskRecord, known: TaskRecord) -> None:
        """The holder of a set-up becomes one of a task that is served already."""
        for uid, owner in task.each_subscriber():
            known.subscribers[uid] = owner
            self.tasks_by_uid[uid] = known
        del self.tasks_by_number[task.number]
        self._take_off(task)
        task.state = TaskState.ANSWERED  # this record is void: its timer must find nothing to do

    def unsubscribe(self, task: TaskRecord, uid: int) -> None:
        """One of several holders wants the task no more."""
        owner = task.subscribers.pop(uid)
        self.releases.request_answered(owner, uid)
        if task.state is TaskState.OPEN:
            self.open_count -= 1
            self.counters["given_up"] += 1
        if uid not in task.uids:
            self.tasks_by_uid.pop(uid, None)

    def send_running(
        self, task: TaskRecord, subscribers: Mapping[int, ClientConnection], metadata: AnswerMetadata | None
    ) -> None:
        """The task stands: the one final answer of each of these ids."""
        for uid, owner in subscribers.items():
            self.open_count -= 1
            self.releases.request_answered(owner, uid)
            if owner.is_connected:
                self.counters["answered"] += 1
                self.record_event(task, uid, "answered", task.machine)
                owner.send_running(uid, task.node_description or b"", metadata)
                self.releases.task_placed(owner)

    # nodes

    def running_at(self, machine: int) -> Iterator[int]:
        """The ids, as the node knows them, of what stands at a node."""
        for task in self.tasks_by_machine.get(machine, {}).values():
            if task.machine == machine and task.state is TaskState.RUNNING:
                yield task.node_uid

    def _put_at(self, task: TaskRecord, machine: int) -> None:
        """Find it by this node from now on, until it is dropped.

        Guards against looking through all tasks for each node that starts, drains or goes: hundreds do at once.
        """
        task.indexed_machines.add(machine)
        self.tasks_by_machine.setdefault(machine, {})[task.number] = task

    def _take_off(self, task: TaskRecord) -> None:
        for machine in task.indexed_machines:
            there = self.tasks_by_machine[machine]
            there.pop(task.number, None)
            if not there:
                del self.tasks_by_machine[machine]
        task.indexed_machines.clear()

    def _unlisted(self, machine: int, name: str) -> None:
        if self.translator is not None:
            self.translator.remove_node(machine, name)

    def _lost_before(self, machine: int, before_us: int | None) -> None:
        """What stood at a node before a time is over; without one, all that stands or is out there."""
        before = self.loop.now + 1 if before_us is None else before_us
        for task in list(self.tasks_by_machine.get(machine, {}).values()):
            if task.attempt is not None and task.attempt.machine == machine:
                if before_us is None:  # else the node knows to which of its processes it went
                    if (node := self.endpoints.nodes.get(machine)) is not None:
                        # Guards against a second copy: it may have come since then, and wait for a connection.
                        node.withdraw_attempt(task.attempt)
                    self.inbox.append(TaskFinished(machine, task.node_uid, Outcome.BROKEN))
            elif task.attempt is None and task.machine == machine and task.running_since_us < before:
                self.inbox.append(TaskFinished(machine, task.node_uid, Outcome.BROKEN))

    def _greeted(self, item: HandshakeCompleted) -> None:
        """A node's form, or its hello: routes see it before anything leaves on that connection."""
        entry, node = self.endpoints.entries.get(item.machine), self.endpoints.nodes.get(item.machine)
        if self.translator is None or entry is None or node is None:
            return
        odd = self.translator.record_capabilities(item.machine, entry.name, item.wire_form, item.hello)
        for text in odd:
            self.log(4, "handshake-inconsistent", {"node": entry.name}, text)
        node.handshake_completed()
        if self.idempotency is not None and item.is_new_connection:
            self.idempotency.reconcile(item.machine)

    def _started(self, item: TaskStarted) -> None:
        task = self.tasks_by_uid.get(item.uid)
        attempt = task.attempt if task is not None else None
        if task is None or attempt is None or attempt.machine != item.machine:
            self.log(6, "answer-unmatched", {"uid": f"{item.uid:016x}"}, "answer for no attempt that is out")
            if self.idempotency is not None:
                self.idempotency.late_start(item)
            return
        if self.idempotency is not None:
            self.idempotency.cancel_query(task)  # it came by itself, before the answer about it
        self._disarm(task)
        task.attempt = None
        if task.state is not TaskState.OPEN:
            return
        lag = (self.loop.now - attempt.sent_us) / 1e6
        self._events.append(api.AttemptAccepted(task.number, item.machine, attempt.number, lag))
        self._stand(task, item.machine, item.description, attempt.metadata)

    def adopt_found(self, task: TaskRecord, machine: int, node_uid: int, description: bytes) -> None:
        """A set-up whose task is found to run already, under another id."""
        task.node_uid, task.attempt_count = node_uid, 1
        self.tasks_by_uid.setdefault(node_uid, task)
        self._events.append(api.TaskAdopted(self._ask(task), machine))
        if node := self.endpoints.nodes.get(machine):
            node.watch_task(node_uid)
        self._stand(task, machine, description, AnswerMetadata(joined_running_task=True))

    def _stand(
        self, task: TaskRecord, machine: int, description: bytes, aside: AnswerMetadata | None
    ) -> None:
        task.machine, task.running_since_us, task.state = machine, self.loop.now, TaskState.RUNNING
        self._put_at(task, machine)
        task.node_description = description
        self.send_running(task, task.subscribers, aside)
        if not task.deduplicated:
            task.node_description = None
        if not task.has_connected_client:
            # The connection closed in this very turn, which gives the set-up up: nobody would know of it.
            self._end(task)

    def _finished(self, item: TaskFinished) -> None:
        """A task that stood is over, or an attempt, whose turn comes.

        Guards against releases that wait behind a crowd of tasks which are placed anew: they are owed at once.
        """
        task = self.tasks_by_uid.get(item.uid)
        if task is None:
            return
        if task.attempt is not None:
            self._ended_attempts.append(item)
            return
        if task.machine != item.machine or task.state not in (TaskState.RUNNING, TaskState.CANCELLING):
            return
        self._disarm(task)
        if node := self.endpoints.nodes.get(item.machine):
            node.unwatch_task(item.uid)
        number = task.attempt_count - 1
        lag = (self.loop.now - task.running_since_us) / 1e6
        self._events.append(
            api.AttemptEnded(
                task.number, item.machine, number, item.outcome, item.reason, True, lag, item.load_report
            )
        )
        owed = task.state is TaskState.RUNNING
        task.state = TaskState.ANSWERED
        self.discard(task)
        if owed:
            for uid, owner in task.each_subscriber():
                self.record_event(task, uid, "released", item.machine, item.outcome, item.reason)
                self._send_release(owner, uid, item.outcome, item.reason, item.detail)

    def _attempt_over(self, task: TaskRecord, attempt: Attempt, item: TaskFinished) -> None:
        if attempt.machine != item.machine:
            return
        if self.idempotency is not None and task.uncertain is not None:
            if self.idempotency.may_have_run(item.outcome):
                return  # nothing new: it is being asked about
            self.idempotency.cancel_query(task)
        self._disarm(task)
        if node := self.endpoints.nodes.get(item.machine):
            node.unwatch_task(item.uid)
        if self.translator is not None:
            self._learn(self.translator, task, item)
        if self.idempotency is not None and self.idempotency.resolve_uncertain(
            task, attempt, item.outcome, item.reason
        ):
            return
        task.attempt = None
        self.report_outcome(task, attempt, item.outcome, item.reason, item.load_report)
        self.discard(task)

    def _learn(self, desk: Translator, task: TaskRecord, item: TaskFinished) -> None:
        """Why an attempt ended: told with the final answer, and remembered of the node where it is news."""
        if item.detail is not None:
            task.last_failure = item.detail
            if desk.record_rejection(item.machine, item.detail):
                values: dict[str, object] = {"machine": item.machine, "trouble": item.detail.reason.name}
                self.log(4, "rejection-unexpected", values, "its hello does not say that it requires this")
        elif item.reason is not Reason.UNSPECIFIED:
            task.last_failure = failure_cause(FailureReason(item.reason.value))

    def _noted(self, item: TaskProgress) -> None:
        task = self.tasks_by_uid.get(item.uid)
        if task is None:
            return
        attempt = task.attempt
        machine = attempt.machine if attempt is not None else task.machine
        if machine == item.machine:
            number = attempt.number if attempt is not None else task.attempt_count - 1
            self._events.append(api.TaskUpdate(task.number, machine, number, item.fact, item.level))

    def report_outcome(
        self,
        task: TaskRecord,
        attempt: Attempt,
        outcome: Outcome,
        reason: Reason = Reason.UNSPECIFIED,
        load_report: api.LoadReport | None = None,
    ) -> None:
        """Tell the module how an attempt ended."""
        lag = (self.loop.now - attempt.sent_us) / 1e6
        last = task.state is not TaskState.OPEN
        if self.gossip is not None:
            self.gossip.attempt_ended(attempt.machine, outcome, reason)
        if task.deduplicated and self.idempotency is not None and self.idempotency.may_have_run(outcome):
            task.possibly_running_at = attempt.machine
        self.record_event(task, task.request.uid, "ended", attempt.machine, outcome, reason)
        self._events.append(
            api.AttemptEnded(
                task.number, attempt.machine, attempt.number, outcome, reason, last, lag, load_report
            )
        )

    def _withdraw(self, task: TaskRecord, attempt: Attempt, outcome: Outcome) -> None:
        """Stop waiting for an attempt; one that never left is known not to have run."""
        self._disarm(task)
        node = self.endpoints.nodes.get(attempt.machine)
        asked = task.uncertain is not None
        if self.idempotency is not None:
            self.idempotency.cancel_query(task)
        if asked and node is not None:
            node.cancel_task(task.node_uid)  # it may run: the connection that it went out on is gone
        never = not asked and node is not None and node.withdraw_attempt(attempt)
        ask = self.idempotency is not None and not never and not asked
        if (
            ask
            and self.idempotency is not None
            and self.idempotency.resolve_uncertain(task, attempt, outcome, Reason.UNSPECIFIED)
        ):
            return
        task.attempt = None
        self.report_outcome(task, attempt, Outcome.NOT_SENT if never else outcome)

    def _attempt_timed_out(self, task: TaskRecord, attempt: Attempt) -> None:
        if task.attempt is attempt and task.uncertain is None:
            self._withdraw(task, attempt, Outcome.TIMED_OUT)
            self.discard(task)

    # the module's actions

    def apply_action(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt(request, machine, timeout):
                self._offer(self.tasks_by_number.get(request), request, machine, timeout)
            case api.Reject(request, retry_in):
                if (task := self.tasks_by_number.get(request)) is not None and task.state is TaskState.OPEN:
                    limit = self.settings.limits.max_retry_after_s
                    advised = retry_in and self.settings.limits.retry_after
                    wait = int(min(retry_in, limit) * 1e6) if retry_in and advised else None
                    cause = self._why(task)
                    self.reject(
                        task, self._wait(task, wait, cause.reason if cause else FailureReason.UNTOLD), cause
                    )
            case api.Fail(request):
                if (task := self.tasks_by_number.get(request)) is not None and task.state is TaskState.OPEN:
                    self.fail(task, task.last_failure)
            case api.CancelAttempt(request, number):
                task = self.tasks_by_number.get(request)
                if task is not None and task.attempt is not None and task.attempt.number == number:
                    self._withdraw(task, task.attempt, Outcome.CANCELLED)
                    self.discard(task)
            case api.Migrate(request):
                if (
                    task := self.tasks_by_number.get(request)
                ) is not None and task.state is TaskState.RUNNING:
                    for uid, owner in task.each_subscriber():
                        owner.send_migrate(uid)
                    self._end(task)
            case api.CheckHealth(machine):
                if self.gossip is not None and self.gossip.is_checked_by_peer(machine):
                    pass  # another does it for all, and its answer comes to the inbox
                elif node := self.endpoints.nodes.get(machine):
                    node.check_health()
                else:
                    self.inbox.append(HealthCheckCompleted(machine, Outcome.NOT_CONNECTED, 0))
            case api.SetTimer(at, token):
                self.loop.at(self._loop_us(at), lambda: self._events.append(api.TimerFired(token)))
            case api.Log(text):
                self.log(6, "module", {}, text)
            case api.SendGossip(_, data):
                if self.gossip is not None:
                    self.gossip.broadcast(data)
            case api.WatchEndpoints() | api.ReloadEndpoints() | api.CloseIdleConnections():
                pass  # the list comes by itself, and nodes close idle connections themselves

    def _offer(self, task: TaskRecord | None, request: int, machine: int, timeout: float | None) -> None:
        if task is None:
            return
        number, task.attempt_count = task.attempt_count, task.attempt_count + 1
        setup, node = task.request, self.endpoints.nodes.get(machine)
        until = setup.deadline_us
        if timeout is not None:
            until = min(until, self.loop.now + int(timeout * 1e6))
        terms = self.task_classes[setup.task_class]
        attempt = Attempt(
            uid=task.node_uid,
            number=number,
            task_class=setup.task_class,
            idempotency_key=setup.idempotency_key,
            description=setup.description,
            sent_us=self.loop.now,
            deadline_us=until,
            machine=machine,
            request=setup,
            priority=terms.priority,
            at_most_once=terms.idempotency is not Idempotency.ALWAYS,
            is_awaited=task.is_awaited,
        )
        if task.state is TaskState.OPEN and not task.is_awaited():
            self._abandon(task)  # guards against an offer for one that has gone: word of it waits its turn
        if (
            task.state is not TaskState.OPEN
            or task.attempt is not None  # never two in flight
            or number >= self.settings.limits.max_attempts
            or until <= self.loop.now
            or node is None
            or not self.endpoints.is_up(machine)
            or not self._affordable(task, number, terms.priority)
        ):
            self.report_outcome(task, attempt, Outcome.NOT_SENT)
            return
        task.attempt = attempt
        self._put_at(task, machine)
        self.record_event(task, setup.uid, "offered", machine, "attempt", number)
        task.timer = self.loop.at(until, lambda: self.inbox.append(AttemptTimedOut(task, attempt)))
        node.send_attempt(attempt)

    def _affordable(self, task: TaskRecord, number: int, priority: int) -> bool:
        """A further attempt within the retry budgets; without a translation layer there are none."""
        if self.translator is None:
            return True
        if number == 0:
            self.translator.record_first_attempt(task.request.service, self.loop.now)
            return True
        if self.translator.allow_retry(task.request.service, self.loop.now, priority):
            return True
        task.last_failure = failure_cause(FailureReason.OVERLOADED, "the retry budget is spent")
        return False

    def _why(self, task: TaskRecord) -> FailureCause | None:
        """The cause that goes with a refusal: the last node's word, else that no node can take the task."""
        return task.last_failure or self._nowhere(task)

    def _nowhere(self, task: TaskRecord) -> FailureCause | None:
        """Why no node at all can take a task; none where one may."""
        if self.translator is None or not self.translator.has_restrictions:
            return None
        return self.translator.rejection_by_all(
            task.request.task_class, task.request.declared_fields, self.endpoints.up_machines()
        )

    def _wait(self, task: TaskRecord, wait: int | None, trouble: FailureReason) -> int | None:
        """The wait that goes with a refusal, spread where the operator wants it so."""
        if self.jitter is None or wait is None or trouble is FailureReason.HINT_NEEDED:
            return wait  # a task that must change first is told of none but the module's
        return self.jitter.retry_after_us(
            wait, self.loop.now, self.task_classes[task.request.task_class].priority
        )

    def reject(self, task: TaskRecord, retry_after_us: int | None, cause: FailureCause | None = None) -> None:
        """The one final answer: nothing of it ran."""
        if task.state is TaskState.OPEN:
            self._close(task)
            for uid, owner in task.each_subscriber():
                self.counters["refused"] += 1
                self.record_event(task, uid, "refused", 0, "" if cause is None else cause.reason)
                self._account(owner, cause)
                owner.send_rejected(uid, retry_after_us, cause)
            self.discard(task)

    def fail(self, task: TaskRecord, cause: FailureCause | None = None) -> None:
        """The one final answer: it may have run."""
        if task.state is TaskState.OPEN:
            self._close(task)
            for uid, owner in task.each_subscriber():
                self.counters["failed"] += 1
                self.record_event(task, uid, "failed", 0, "" if cause is None else cause.reason)
                self._account(owner, cause)
                owner.send_failed(uid, cause)
            self.discard(task)

    def _account(self, owner: ClientConnection, cause: FailureCause | None) -> None:
        if self.translator is not None and cause is not None:
            self.translator.count_untranslated_cause(owner.wire_form, cause)

    def _close(self, task: TaskRecord) -> None:
        """It is no longer among its owners' open set-ups, nor in the queue."""
        task.state = TaskState.ANSWERED
        if task.queue_ticket is not None:
            self.queue.remove(task.queue_ticket)
            task.queue_ticket = None
        for uid, owner in task.subscribers.items():
            self.open_count -= 1
            self.releases.request_answered(owner, uid)

    def _disarm(self, task: TaskRecord) -> None:
        if task.timer is not None:
            task.timer.cancel()
            task.timer = None

    def discard(self, task: TaskRecord) -> None:
        """Forget a task that is answered, has no attempt out and does not stand."""
        if (
            task.state is TaskState.ANSWERED
            and task.attempt is None
            and self.tasks_by_number.get(task.number) is task
        ):
            if self.idempotency is not None:
                self.idempotency.cancel_query(task)
                self.idempotency.release_key(task)
            for uid in task.uids:
                if self.tasks_by_uid.get(uid) is task:
                    del self.tasks_by_uid[uid]
            del self.tasks_by_number[task.number]
            self._take_off(task)
