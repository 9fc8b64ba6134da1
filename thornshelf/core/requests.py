"""Requests of clients: their receipt, their cancellation, and what follows when their client disconnects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thornshelf import placement as api
from thornshelf.core.messages import CancelTask, ClientDisconnected, TaskRequest
from thornshelf.core.task import TaskRecord, TaskState
from thornshelf.placement import Outcome

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts


class Requests:
    """Opens tasks for requests, and closes those that no client waits for any more."""

    def __init__(self, core: DispatcherParts) -> None:
        self._core = core
        self._tenants = {one.name for one in core.settings.tenants}

    def validation_error(self, task_class: str, tenant: str | None) -> str | None:
        """What a request names that the settings don't, as text; None where it can be taken.

        Such names must not reach the decision module, whose tables would keep them for good.
        """
        if task_class not in self._core.task_classes:
            return f"class is not known: {task_class!r:.40}"
        if tenant is not None and self._tenants and tenant not in self._tenants:
            return f"tenant is not known: {tenant!r:.40}"
        return None

    def receive(self, request: TaskRequest) -> None:
        """Open a task for a request, or adopt the running task that it names."""
        core = self._core
        max_open = core.settings.limits.max_open_requests
        if request.running_on is None and 0 < max_open <= core.open_count:
            request.client.send_rejected(request.uid, None)
            return
        known = core.tasks.by_uid.get(request.uid)
        if known is not None:
            self._receive_known(known, request)
            return
        core.deadlines.limit(request)
        task = core.tasks.create(request, core.loop.now)
        core.tasks.index(task, request.uid)
        core.releases.request_received(request.client)
        if request.running_on is not None:
            core.running_tasks.adopt(task, request.running_on)
        else:
            self._open(task)

    def cancel(self, item: CancelTask) -> None:
        """A client cancels a request, or ends a task that runs."""
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
            # A client may end a task on any connection; the one that it was requested on keeps state of it, too.
            client.task_cancelled(uid)
        if len(task.subscribers) > 1:
            core.answers.unsubscribe(task, uid)  # another client still wants the task
        elif task.state is TaskState.OPEN:
            self.abandon(task)
        else:
            core.running_tasks.cancel(task)

    def client_disconnected(self, item: ClientDisconnected) -> None:
        """Cancel the client's open requests, and send the releases that did not leave to another connection."""
        core = self._core
        for uid in core.releases.client_disconnected(item.client):
            task = core.tasks.by_uid.get(uid)
            if task is None or task.state is not TaskState.OPEN:
                continue
            core.record_event(task, uid, "given-up", 0, "its connection closed")
            if len(task.subscribers) > 1:
                core.answers.unsubscribe(task, uid)
            else:
                self.abandon(task)
        for uid, outcome, reason, detail in item.pending_releases:
            core.answers.send_release(item.client, uid, outcome, reason, detail)

    def abandon(self, task: TaskRecord, counter: str = "given_up") -> None:
        """Close an open task without an answer, and withdraw the attempt that is in flight.

        ``counter``: the counter of answers that this one belongs to.
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

    def _receive_known(self, known: TaskRecord, request: TaskRequest) -> None:
        """A request under an id that is in use: the task that is known keeps its one answer."""
        uid = request.uid
        client = request.client
        if request.running_on is not None and known.state is TaskState.RUNNING:
            # Guards against a client that does not own the running task: a connected owner keeps its release.
            owner = known.subscribers.get(uid)
            if owner is None or (not owner.is_connected and owner.peer == client.peer):
                known.subscribers[uid] = client
            return
        values: dict[str, object] = {"uid": f"{uid:016x}"}
        self._core.log(4, "request-duplicated", values, "a request came under an id that is in use")
        if known.subscribers.get(uid) is client:
            client.reject_duplicate(uid)
        else:
            client.send_failed(uid)

    def _open(self, task: TaskRecord) -> None:
        """Count a new task as open, and queue it unless another task has its idempotency key."""
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
