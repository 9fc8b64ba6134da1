"""Handles client requests: new requests, cancellations, and clients that disconnect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thornshelf import placement as api
from thornshelf.core.client_connection import ClientConnection
from thornshelf.core.messages import CancelTask, ClientDisconnected, TaskRequest
from thornshelf.core.task import TaskRecord, TaskState
from thornshelf.placement import Outcome

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts


MAX_NAME_LENGTH = 256  # characters of a tenant's or node's name
REJECTED_HAND_OVER_RETRY_US = 1_000_000


def _is_name(text: str) -> bool:
    """Return whether a text of a client is short enough for a name, and can be encoded."""
    if len(text) > MAX_NAME_LENGTH:
        return False
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


class Requests:
    """Opens tasks for requests, and closes tasks that no client waits for any more."""

    def __init__(self, core: DispatcherParts) -> None:
        self._core = core
        self._tenants = {tenant.name for tenant in core.settings.tenants}

    def validation_error(
        self, task_class: str, tenant: str | None, running_on: str | None = None
    ) -> str | None:
        """Return an error text for a class or tenant that the settings don't define, or for a name that is no text.

        Returns None for a valid request. Unknown names must not reach the decision module, whose tables would keep
        them forever, and names that can't be encoded must not reach what hashes, forwards or stores them.
        """
        if task_class not in self._core.task_classes:
            return f"class is not known: {task_class!r:.40}"
        if tenant is not None and self._tenants and tenant not in self._tenants:
            return f"tenant is not known: {tenant!r:.40}"
        if tenant is not None and not _is_name(tenant):
            return f"tenant is not a name: {tenant!r:.40}"
        if running_on is not None and not _is_name(running_on):
            return f"node is not a name: {running_on!r:.40}"
        return None

    def receive(self, request: TaskRequest) -> None:
        """Open a task for a request, or adopt the running task that the request names."""
        core = self._core
        max_open = core.settings.limits.max_open_requests
        if request.running_on is None and 0 < max_open <= core.open_count:
            request.client.send_rejected(request.uid, None)
            return
        known = core.tasks.by_uid.get(request.uid)
        if known is not None:
            self._receive_duplicate(known, request)
            return
        if request.running_on is not None and core.releases.claim(
            request.client, request.tenant, request.uid
        ):
            return  # the task has ended, and adopting it again would never end
        if request.running_on is None:
            wait_us = core.attempts.withdrawn_ids.remaining_us(request.uid, core.loop.now)
            if wait_us:
                request.client.send_rejected(request.uid, wait_us)
                return
        if request.running_on is not None and not core.running_tasks.can_adopt(request):
            request.client.send_rejected(request.uid, REJECTED_HAND_OVER_RETRY_US)
            return
        core.deadlines.limit(request)
        task = core.tasks.create(request, core.loop.now)
        core.tasks.index(task, request.uid)
        core.releases.request_received(request.client, request.tenant)
        if request.running_on is not None:
            core.running_tasks.adopt(task, request.running_on)
        else:
            self._open_task(task)

    def cancel(self, item: CancelTask) -> None:
        """Cancel an open request, or end a running task, on request of its client."""
        uid = item.uid
        core = self._core
        task = core.tasks.by_uid.get(uid)
        if task is None or uid not in task.subscribers:
            return
        if task.state in (TaskState.CANCELLING, TaskState.ANSWERED):
            return
        core.record_event(task, uid, "given-up", task.machine)
        client = task.subscribers[uid]
        if task.state is not TaskState.OPEN and client.is_connected:
            # The client may use any connection to end a task; the one that requested it must drop its state as well.
            client.task_cancelled(uid)
        if len(task.subscribers) > 1:
            core.answers.unsubscribe(task, uid)  # other subscribers still want the task
        elif task.state is TaskState.OPEN:
            self.abandon(task)
        else:
            core.running_tasks.cancel(task)

    def client_disconnected(self, item: ClientDisconnected) -> None:
        """Cancel the client's open requests, and redirect its unsent releases to another connection."""
        core = self._core
        for uid in core.releases.client_disconnected(item.client):
            task = core.tasks.by_uid.get(uid)
            if task is None or task.state is not TaskState.OPEN:
                continue
            core.record_event(task, uid, "given-up", 0, "client disconnected")
            if len(task.subscribers) > 1:
                core.answers.unsubscribe(task, uid)
            else:
                self.abandon(task)
        for release in item.pending_releases:
            core.answers.send_release(item.client, release)

    def abandon(self, task: TaskRecord, counter: str = "given_up") -> None:
        """Close an open task without sending an answer, and withdraw its attempt in flight.

        ``counter`` names the counter in ``Answers.counters`` to increment.
        """
        core = self._core
        core.answers.counters[counter] += 1
        core.answers.close(task)
        core.placement.events.append(api.RequestCancelled(task.number))
        if task.attempt is not None:
            core.attempts.withdraw(task, task.attempt, Outcome.CANCELLED)
        elif core.idempotency is not None:
            core.idempotency.cancel_query(task)
        core.discard(task)

    def _receive_duplicate(self, known: TaskRecord, request: TaskRequest) -> None:
        """Handle a request whose id is already in use; the known task keeps its only answer."""
        uid = request.uid
        client = request.client
        if request.running_on is not None and known.state is TaskState.RUNNING:
            # A connected owner keeps the release; a disconnected one is replaced only by itself.
            subscriber = known.subscribers.get(uid)
            if subscriber is None or (
                not subscriber.is_connected and self._is_same_owner(known, subscriber, request)
            ):
                known.subscribers[uid] = client
            return
        values: dict[str, object] = {"uid": f"{uid:016x}"}
        self._core.log(4, "request-duplicated", values, "the id of the request is already in use")
        if known.subscribers.get(uid) is client:
            client.reject_duplicate(uid)
        else:
            client.send_failed(uid)

    def abort(self, request: TaskRequest) -> None:
        """Remove what exists of a request whose handling raised an exception, and answer that it failed."""
        core = self._core
        task = core.tasks.by_uid.get(request.uid)
        if task is not None and task.request is request:
            if task.state is TaskState.OPEN:
                self._core.placement.events.append(api.RequestCancelled(task.number))
                if request.uid in core.releases.open_requests.get(request.client, ()):
                    core.answers.close(task)
            task.state = TaskState.ANSWERED
            core.discard(task)
        request.client.send_failed(request.uid)

    def _is_same_owner(self, known: TaskRecord, subscriber: ClientConnection, request: TaskRequest) -> bool:
        """Return whether a request comes from the owner of a known task, whose connection was ``subscriber``."""
        owner_of = self._core.releases.owner_of
        return owner_of(subscriber, known.request.tenant) == owner_of(request.client, request.tenant)

    def _open_task(self, task: TaskRecord) -> None:
        """Register a new task as open and queue it, unless its idempotency key decides otherwise."""
        core = self._core
        request = task.request
        core.answers.counters["taken"] += 1
        core.answers.open_count += 1
        core.record_event(task, request.uid, "taken", 0, request.task_class)
        core.releases.open_requests.setdefault(request.client, set()).add(request.uid)
        core.deadlines.arm(task)
        idempotency = core.idempotency
        if idempotency is not None and idempotency.deduplicates(request) and not idempotency.register(task):
            return
        core.scheduler.enqueue(task)
