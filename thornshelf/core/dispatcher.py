"""The dispatcher: in each turn it passes events to the decision module and carries out the returned actions.

Socket code only appends items to ``inbox`` and passes updates of the endpoint list to ``update_endpoints``. Events
reach the decision module only from within a turn.

A turn has bounded work, in this order: updates of the endpoint list, a limited number of inbox items and of ended
attempts, and then new requests in batches, earliest deadline first, until the turn's time is used up. The rest waits
for the next turn. A request that can no longer be placed before its deadline is rejected at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Any

from thornshelf import placement as api
from thornshelf.core.actions import action_handlers
from thornshelf.core.answers import Answers
from thornshelf.core.attempts import Attempts
from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.core.deadlines import Deadlines
from thornshelf.core.endpoint_registry import EndpointRegistry
from thornshelf.core.messages import (
    Attempt,
    CancelTask,
    ClientConnected,
    ClientDisconnected,
    EndpointListUpdate,
    GossipReceived,
    HandshakeCompleted,
    HealthCheckCompleted,
    InboxItem,
    NodeEndpoint,
    NodeLost,
    TaskFinished,
    TaskProgress,
    TaskRequest,
    TaskStarted,
    TaskStatusReply,
)
from thornshelf.core.placement_driver import PlacementDriver
from thornshelf.core.ports import (
    Gossip,
    LogFunction,
    NodeConnection,
    NodeConnectionPool,
    RequestQueue,
    TaskHistory,
)
from thornshelf.core.releases import ReleaseNotifier
from thornshelf.core.requests import Requests
from thornshelf.core.running_tasks import RunningTasks
from thornshelf.core.scheduler import RequestScheduler
from thornshelf.core.task import AttemptTimedOut, TaskRecord, TaskState
from thornshelf.core.task_table import TaskPages, TaskTable
from thornshelf.loop import Loop
from thornshelf.placement import Outcome, Reason
from thornshelf.placement.placer import Placer
from thornshelf.translation.failures import FailureCause

if TYPE_CHECKING:
    from thornshelf.admission.descriptors import DescriptorLedger
    from thornshelf.core.idempotency import IdempotencyTable
    from thornshelf.retries.jitter import RetryAfterJitter
    from thornshelf.translation.translator import Translator

MAX_INBOX_ITEMS_PER_TURN = 256
MAX_INBOX_BACKLOG = 4 * MAX_INBOX_ITEMS_PER_TURN  # with more, frontends read no further requests
ENDPOINT_LIST_TIMEOUT_US = 250_000  # longest wait for the first endpoint list update after startup


class Dispatcher:
    """Owns the decision module and all tasks, and runs one turn of work per pass of the event loop.

    ``seed`` seeds the random numbers of the decision module, and ``make_node`` creates the connection to a node.
    ``translator`` is None unless the operator has configured translation. ``RequestScheduler`` documents ``queue``
    and ``jitter``, and ``PlacementDriver`` documents ``unix_offset_us``.

    The embedding program may set these attributes after construction: ``descriptor_ledger`` and ``node_connections``
    limit the connections to nodes, ``gossip`` reaches the other dispatchers, ``history`` records task events, and
    while ``is_endpoint_list_stale`` returns true after startup, requests are held back, for
    ``ENDPOINT_LIST_TIMEOUT_US`` at most.
    """

    descriptor_ledger: DescriptorLedger | None = None
    node_connections: NodeConnectionPool | None = None
    gossip: Gossip | None = None
    history: TaskHistory | None = None
    is_endpoint_list_stale: Callable[[], bool] | None = None

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
        self.loop = loop
        self.settings = settings
        self.log = log
        self.translator = translator
        self.task_classes = {task_class.name: task_class for task_class in settings.classes}
        self.placer = Placer(settings, seed)
        self.inbox: deque[InboxItem | AttemptTimedOut] = deque()
        self.placement = PlacementDriver(loop, self.placer, log, unix_offset_us)
        self.tasks = TaskTable()
        self.answers = Answers(self)
        self.counters = self.answers.counters
        self.attempts = Attempts(self)
        self.deadlines = Deadlines(self)
        self.requests = Requests(self)
        self.running_tasks = RunningTasks(self)
        self.releases = ReleaseNotifier(loop, log, [tenant.name for tenant in settings.tenants])
        self.scheduler = RequestScheduler(self, queue, jitter)
        self.endpoints = self._make_registry(make_node)
        self.idempotency = self._make_idempotency_table()
        self._endpoint_updates: deque[EndpointListUpdate] = deque()
        self._start_us = loop.now
        self._action_handlers = action_handlers(self)
        self._inbox_handlers = self._make_inbox_handlers()
        loop.turn_hooks.append(self.run_turn)

    def _make_registry(
        self, make_node: Callable[[int, NodeEndpoint, Dispatcher], NodeConnection]
    ) -> EndpointRegistry:
        return EndpointRegistry(
            make_node=lambda machine, endpoint: make_node(machine, endpoint, self),
            to_seconds=self.unix_seconds,
            running_at=self.running_at,
            on_tasks_lost=self.running_tasks.end_lost_tasks,
            on_attempt_withdrawn=self._attempt_withdrawn,
            on_discarded=self._endpoint_discarded,
        )

    def _make_idempotency_table(self) -> IdempotencyTable | None:
        if self.translator is None:
            return None
        # Imported only when needed, to keep a dispatcher without a translator small.
        from thornshelf.core.idempotency import IdempotencyTable

        return IdempotencyTable(self, self.translator)

    def _make_inbox_handlers(self) -> Mapping[type[Any], Callable[[Any], None]]:
        return {
            TaskRequest: self.requests.receive,
            CancelTask: self.requests.cancel,
            ClientConnected: self._client_connected,
            ClientDisconnected: self.requests.client_disconnected,
            TaskStarted: self.attempts.started,
            TaskFinished: self.running_tasks.finished,
            AttemptTimedOut: self.attempts.ended.append,
            TaskProgress: self.running_tasks.progress,
            TaskStatusReply: self._task_status_received,
            HandshakeCompleted: self._handshake_completed,
            HealthCheckCompleted: self._health_checked,
            NodeLost: self._node_lost,
            GossipReceived: self._gossip_received,
        }

    # turns

    def update_endpoints(self, update: EndpointListUpdate) -> None:
        """Queue an update of the endpoint list; the next turn applies it first, so that drains are not delayed."""
        self._endpoint_updates.append(update)

    def run_turn(self) -> bool:
        """Process a bounded amount of pending work; return whether some is left for another turn."""
        self._apply_endpoint_updates()
        self._process_inbox()
        self.attempts.process_ended()
        self.scheduler.reject_expired()
        self.apply_decisions()
        if self._awaits_endpoint_list():
            return self._has_pending_events
        self.scheduler.place_waiting()
        return self._has_pending_events or bool(self.queue)

    def apply_decisions(self) -> None:
        """Pass the pending events to the decision module and carry out the actions that it returns."""
        for action in self.placement.decide():
            try:
                self.apply_action(action)
            except Exception as error:  # one action must not keep the others from being carried out
                self.loop.report_exception(error)

    def apply_action(self, action: api.Action) -> None:
        """Carry out one action of the decision module."""
        self._action_handlers[type(action)](action)

    @property
    def has_inbox_backlog(self) -> bool:
        """Whether so many items wait that frontends should read no further requests in this turn."""
        return len(self.inbox) >= MAX_INBOX_BACKLOG

    @property
    def _has_pending_events(self) -> bool:
        return bool(self.inbox or self.attempts.ended or self.placement.events)

    def _apply_endpoint_updates(self) -> None:
        while self._endpoint_updates:
            update = self._endpoint_updates.popleft()
            self.placement.events.append(self.endpoints.apply(update))

    def _process_inbox(self) -> None:
        for _ in range(min(len(self.inbox), MAX_INBOX_ITEMS_PER_TURN)):
            item = self.inbox.popleft()
            try:
                self._inbox_handlers[type(item)](item)
            except Exception as error:  # one item must not keep the turn from the others
                if isinstance(item, TaskRequest):
                    self.requests.abort(item)
                self.loop.report_exception(error)

    def _awaits_endpoint_list(self) -> bool:
        """Return whether requests must still wait because the endpoint list may be stale after startup."""
        if self.is_endpoint_list_stale is None:
            return False
        if self.is_endpoint_list_stale() and self.loop.now - self._start_us < ENDPOINT_LIST_TIMEOUT_US:
            return True
        self.is_endpoint_list_stale = None
        return False

    # inbox items that no other part handles

    def _client_connected(self, item: ClientConnected) -> None:
        self.releases.client_connected(item.client)

    def _task_status_received(self, item: TaskStatusReply) -> None:
        if self.idempotency is not None:
            self.idempotency.status_received(item)

    def _handshake_completed(self, item: HandshakeCompleted) -> None:
        """Record a node's capabilities before anything is sent on the connection that announced them."""
        endpoint = self.endpoints.entries.get(item.machine)
        node = self.endpoints.nodes.get(item.machine)
        if self.translator is None or endpoint is None or node is None:
            return
        contradictions = self.translator.record_capabilities(
            item.machine, endpoint.name, item.wire_format, item.capabilities
        )
        for text in contradictions:
            self.log(4, "handshake-inconsistent", {"node": endpoint.name}, text)
        node.handshake_completed()
        if self.idempotency is not None and item.is_new_connection:
            self.idempotency.reconcile(item.machine)

    def _health_checked(self, item: HealthCheckCompleted) -> None:
        if self.gossip is not None:
            self.gossip.health_checked(item)
        latency_s = item.latency_us / 1e6
        result = api.HealthCheckResult(item.machine, item.outcome, latency_s, item.load_report)
        self.placement.events.append(result)

    def _node_lost(self, item: NodeLost) -> None:
        self.running_tasks.end_lost_tasks(item.machine, None)

    def _gossip_received(self, item: GossipReceived) -> None:
        self.placement.events.append(api.GossipMessage(item.sender, item.data))

    def _attempt_withdrawn(self, machine: int, attempt: Attempt) -> None:
        self.inbox.append(TaskFinished(machine, attempt.uid, Outcome.NOT_SENT))

    def _endpoint_discarded(self, machine: int, name: str) -> None:
        if self.translator is not None:
            self.translator.remove_node(machine, name)

    # access to tasks, for frontends, the control socket and state transfer

    @property
    def open_count(self) -> int:
        """The number of requests that have no final answer yet."""
        return self.answers.open_count

    @property
    def queue(self) -> RequestQueue[TaskRecord]:
        """The requests that wait to be placed."""
        return self.scheduler.queue

    @property
    def task_count(self) -> int:
        """The number of known tasks."""
        return len(self.tasks.by_number)

    @property
    def tasks_by_uid(self) -> Mapping[int, TaskRecord]:
        """All known tasks by task id; a task with several ids appears under each."""
        return self.tasks.by_uid

    @property
    def tasks_by_number(self) -> Mapping[int, TaskRecord]:
        """All known tasks by the number that identifies them to the decision module."""
        return self.tasks.by_number

    @property
    def tasks_by_machine(self) -> Mapping[int, Mapping[int, TaskRecord]]:
        """For each node, the tasks that were sent to it or run on it, by number."""
        return self.tasks.by_machine

    def all_tasks(self) -> list[TaskRecord]:
        """Return a list of all known tasks."""
        return list(self.tasks.by_number.values())

    def find_task(self, uid: int) -> TaskRecord | None:
        """Return the task with this id, or None."""
        return self.tasks.by_uid.get(uid)

    def find_by_number(self, number: int) -> TaskRecord | None:
        """Return the task with this decision module number, or None."""
        return self.tasks.by_number.get(number)

    def page_tasks(self) -> TaskPages:
        """Return all known tasks in a mapping that can also be read page by page; it stays up to date."""
        return self.tasks.paged()

    def running_at(self, machine: int) -> Iterator[int]:
        """Yield the ids, as the node knows them, of the tasks that run on a node."""
        return self.tasks.running_at(machine)

    def create_task(self, request: TaskRequest) -> TaskRecord:
        """Create and return the record of a new task; call ``index_task`` to make it findable by its ids."""
        return self.tasks.create(request, self.loop.now)

    def index_task(self, task: TaskRecord, *uids: int) -> None:
        """Make a task findable by these ids."""
        self.tasks.index(task, *uids)

    def adopt_task(self, task: TaskRecord, node_name: str) -> None:
        """Take over a task that already runs on the named node."""
        self.running_tasks.adopt(task, node_name)

    def discard(self, task: TaskRecord) -> None:
        """Forget a task if it is answered, does not run and has no attempt in flight."""
        if task.state is not TaskState.ANSWERED or task.attempt is not None:
            return
        if self.tasks.by_number.get(task.number) is not task:
            return
        if self.idempotency is not None:
            self.idempotency.cancel_query(task)
            self.idempotency.release_key(task)
        self.running_tasks.forget_adopted(task)
        self.tasks.remove(task)

    def record_event(self, task: TaskRecord, uid: int, event: str, machine: int = 0, *detail: object) -> None:
        """Record an event of a task if a history is configured."""
        if self.history is not None:
            self.history.record(self.loop.now, uid, task.request.idempotency_key, event, machine, *detail)

    def validation_error(
        self, task_class: str, tenant: str | None, running_on: str | None = None
    ) -> str | None:
        """Return why a request for this class and tenant, running on this node, is invalid; None if it is valid."""
        return self.requests.validation_error(task_class, tenant, running_on)

    def unix_seconds(self, at_us: int) -> float:
        """Convert a time on the loop's clock to Unix seconds, as the decision module uses them."""
        return self.placement.unix_seconds(at_us)

    # for the idempotency table (``thornshelf.core.dispatcher_port.DispatcherPort``)

    def enqueue(self, task: TaskRecord) -> None:
        """Queue a task to be placed."""
        self.scheduler.enqueue(task)

    def reject(
        self, task: TaskRecord, retry_after_us: int | None, detail: FailureCause | None = None
    ) -> None:
        """Answer that the requests of a task were rejected and nothing of it ran."""
        self.answers.reject(task, retry_after_us, detail)

    def fail(self, task: TaskRecord, detail: FailureCause | None = None) -> None:
        """Answer that the requests of a task failed and it may have run."""
        self.answers.fail(task, detail)

    def merge(self, task: TaskRecord, known: TaskRecord) -> None:
        """Move the subscribers of ``task`` to ``known``, the record that already serves the same task."""
        self.tasks.merge(task, known)

    def unsubscribe(self, task: TaskRecord, uid: int) -> None:
        """Remove one of several subscribers of a task."""
        self.answers.unsubscribe(task, uid)

    def send_running(
        self, task: TaskRecord, subscribers: Mapping[int, ClientConnection], metadata: AnswerMetadata | None
    ) -> None:
        """Tell these subscribers that the task runs."""
        self.answers.send_running(task, subscribers, metadata)

    def adopt_already_running(
        self, task: TaskRecord, machine: int, node_uid: int, description: bytes
    ) -> None:
        """Answer a request whose task already runs under another id, and follow that task."""
        self.running_tasks.adopt_already_running(task, machine, node_uid, description)

    def report_outcome(
        self, task: TaskRecord, attempt: Attempt, outcome: Outcome, reason: Reason = Reason.UNSPECIFIED
    ) -> None:
        """Report how an attempt ended to the decision module, peers and the history."""
        self.attempts.report_outcome(task, attempt, outcome, reason)
