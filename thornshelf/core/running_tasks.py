"""Follows tasks that run on nodes, from their start or adoption to their end."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from thornshelf import placement as api
from thornshelf.core.client_connection import AnswerMetadata
from thornshelf.core.messages import TaskFinished, TaskProgress, TaskRequest
from thornshelf.core.task import TaskRecord, TaskState
from thornshelf.core.task_release import Release, TaskOwner
from thornshelf.core.unclaimed_ends import UnclaimedEnds
from thornshelf.placement import Outcome

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts

CANCEL_TIMEOUT_US = 2_000_000  # longest wait for a node to confirm a cancellation
MAX_ADOPTED_TASKS = 4096  # nothing but their clients' word tells that these tasks run
MAX_ADOPTED_TASKS_PER_OWNER = MAX_ADOPTED_TASKS // 2
MAX_UNLISTED_NODES = 512  # that handed-over tasks name, and no endpoint list
MAX_TASK_FIGURE = 1e9  # of a node's measurement of a task
UNKNOWN_NODE_TIMEOUT_US = 2_000_000  # longest wait for the endpoint list to name an adopted task's node


class RunningTasks:
    """Starts, adopts, cancels and ends running tasks, and notifies their clients."""

    def __init__(self, core: DispatcherParts) -> None:
        self._core = core
        self.unclaimed_ends = UnclaimedEnds()
        self._adopted_counts: Counter[TaskOwner] = Counter()
        self._adopted_count = 0

    # starting

    def can_adopt(self, request: TaskRequest) -> bool:
        """Return whether another task may be handed over by the client of a request.

        Guards against memory that grows without end with the tasks that a client only claims to run.
        """
        endpoints = self._core.endpoints
        owner = self._core.releases.owner_of(request.client, request.tenant)
        node_name = request.running_on or ""
        return (
            (endpoints.is_known(node_name) or endpoints.unlisted_count < MAX_UNLISTED_NODES)
            and self._adopted_count < MAX_ADOPTED_TASKS
            and self._adopted_counts[owner] < MAX_ADOPTED_TASKS_PER_OWNER
        )

    def forget_adopted(self, task: TaskRecord) -> None:
        """Count a task that is being forgotten no longer as handed over."""
        if (owner := task.adopted_for) is None:
            return
        task.adopted_for = None
        self._adopted_count -= 1
        self._adopted_counts[owner] -= 1
        if not self._adopted_counts[owner]:
            del self._adopted_counts[owner]

    def adopt(self, task: TaskRecord, node_name: str) -> None:
        """Take over a task that already runs on a node; its client gets no answer, only a release at its end.

        The node may have reported that end already, before the client's request arrived.
        """
        core = self._core
        machine = core.endpoints.machine_id(node_name)
        task.adopted_for = core.releases.owner_of(task.request.client, task.request.tenant)
        self._adopted_counts[task.adopted_for] += 1
        self._adopted_count += 1
        task.machine = machine
        task.state = TaskState.RUNNING
        task.running_since_us = core.loop.now
        task.attempt_count = 1
        core.tasks.index_machine(task, machine)
        core.record_event(task, task.request.uid, "adopted", machine)
        core.placement.events.append(api.TaskAdopted(core.scheduler.placement_request(task), machine))
        if core.idempotency is not None and core.idempotency.deduplicates(task.request):
            core.idempotency.register_adopted(task)
        end = self.unclaimed_ends.take(machine, task.node_uid, core.loop.now)
        if end is not None:
            values: dict[str, object] = {"uid": f"{task.node_uid:016x}", "node": node_name}
            core.log(6, "end-claimed", values, "the node reported the task's end before it was handed over")
            core.inbox.append(end)
            return
        node = core.endpoints.nodes.get(machine)
        if node is not None:
            node.watch_task(task.node_uid)
        else:
            # The endpoint list update that names the node may not have arrived yet.
            uid = task.node_uid
            core.loop.call_later(UNKNOWN_NODE_TIMEOUT_US, lambda: self._end_if_unlisted(uid, machine))

    def adopt_already_running(
        self, task: TaskRecord, machine: int, node_uid: int, description: bytes
    ) -> None:
        """Answer a request whose task already runs under another id, and follow that task."""
        core = self._core
        task.node_uid = node_uid
        task.attempt_count = 1
        core.tasks.by_uid.setdefault(node_uid, task)
        core.placement.events.append(api.TaskAdopted(core.scheduler.placement_request(task), machine))
        node = core.endpoints.nodes.get(machine)
        if node is not None:
            node.watch_task(node_uid)
        self.mark_running(task, machine, description, AnswerMetadata(joined_running_task=True))

    def mark_running(
        self, task: TaskRecord, machine: int, description: bytes, metadata: AnswerMetadata | None
    ) -> None:
        """Mark a task as running and tell all its subscribers; cancel it if no client is connected any more."""
        core = self._core
        task.machine = machine
        task.running_since_us = core.loop.now
        task.state = TaskState.RUNNING
        core.tasks.index_machine(task, machine)
        task.node_description = description
        core.answers.send_running(task, task.subscribers, metadata)
        if not task.deduplicated:
            task.node_description = None
        if not task.has_connected_client:
            # The connection closed during this turn, which cancels the request; no client would learn of the task.
            self.cancel(task)

    def progress(self, item: TaskProgress) -> None:
        """Pass a value that a node measured on a running task or an attempt to the decision module."""
        core = self._core
        task = core.tasks.by_uid.get(item.uid)
        if task is None or not abs(item.level) <= MAX_TASK_FIGURE:  # a NaN fails the comparison
            return
        attempt = task.attempt
        machine = attempt.machine if attempt is not None else task.machine
        if machine == item.machine:
            number = attempt.number if attempt is not None else task.attempt_count - 1
            core.placement.events.append(api.TaskUpdate(task.number, machine, number, item.fact, item.level))

    # ending

    def finished(self, item: TaskFinished) -> None:
        """End a running task and notify its clients at once, or queue the end of an attempt.

        Ended attempts are processed a few per turn, and releases must not wait behind them. The end of an unknown
        task is kept if its node reported it, as the request that hands the task over may still be on its way.
        """
        core = self._core
        task = core.tasks.by_uid.get(item.uid)
        if task is None:
            if item.reported_by_node:
                self.unclaimed_ends.add(item, core.loop.now)
            return
        if task.attempt is not None:
            core.attempts.ended.append(item)
            return
        if task.machine != item.machine or task.state not in (TaskState.RUNNING, TaskState.CANCELLING):
            return
        task.cancel_timer()
        node = core.endpoints.nodes.get(item.machine)
        if node is not None:
            node.unwatch_task(item.uid)
        self._report_end(task, item)
        is_release_due = task.state is TaskState.RUNNING
        task.state = TaskState.ANSWERED
        core.discard(task)
        if is_release_due:
            for uid, client in task.each_subscriber():
                core.record_event(task, uid, "released", item.machine, item.outcome, item.reason)
                owner = core.releases.owner_of(client, task.request.tenant)
                release = Release(uid, owner, item.outcome, item.reason, item.detail)
                core.answers.send_release(client, release)

    def cancel(self, task: TaskRecord) -> None:
        """End a running task on its node without sending a release."""
        core = self._core
        task.state = TaskState.CANCELLING
        node = core.endpoints.nodes.get(task.machine)
        if node is not None:
            node.cancel_task(task.node_uid)
            task.timer = core.loop.call_later(CANCEL_TIMEOUT_US, lambda: self._cancel_unconfirmed(task))
        else:
            core.inbox.append(TaskFinished(task.machine, task.node_uid, Outcome.CANCELLED))

    def migrate(self, action: api.Migrate) -> None:
        """Stop a running task on request of the decision module, and tell its clients to request it again."""
        task = self._core.tasks.by_number.get(action.request_id)
        if task is None or task.state is not TaskState.RUNNING:
            return
        for uid, client in task.each_subscriber():
            client.send_migrate(uid)
        self.cancel(task)

    def end_lost_tasks(self, machine: int, before_us: int | None) -> None:
        """End the tasks that started on a node before ``before_us``, when its process was restarted.

        With None the process is dead, and all tasks that run or are in flight there end.
        """
        core = self._core
        before = core.loop.now + 1 if before_us is None else before_us
        for task in core.tasks.at_machine(machine):
            attempt = task.attempt
            if attempt is not None and attempt.machine == machine:
                if (
                    before_us is None
                ):  # otherwise the node connection knows which process received the attempt
                    node = core.endpoints.nodes.get(machine)
                    if node is not None:
                        # The attempt may still wait for a connection; sent later, it would start a second copy.
                        node.withdraw_attempt(attempt)
                    core.inbox.append(TaskFinished(machine, task.node_uid, Outcome.BROKEN))
            elif attempt is None and task.machine == machine and task.running_since_us < before:
                core.inbox.append(TaskFinished(machine, task.node_uid, Outcome.BROKEN))

    def _report_end(self, task: TaskRecord, item: TaskFinished) -> None:
        """Report the end of a running task to the decision module."""
        core = self._core
        latency_s = (core.loop.now - task.running_since_us) / 1e6
        core.placement.events.append(
            api.AttemptEnded(
                request_id=task.number,
                machine=item.machine,
                attempt=task.attempt_count - 1,
                outcome=item.outcome,
                reason=item.reason,
                last=True,
                latency_s=latency_s,
                report=item.load_report,
            )
        )

    def _cancel_unconfirmed(self, task: TaskRecord) -> None:
        task.possibly_running_at = task.machine  # without confirmation, the task may still run
        self._core.inbox.append(TaskFinished(task.machine, task.node_uid, Outcome.CANCELLED))

    def _end_if_unlisted(self, uid: int, machine: int) -> None:
        """End an adopted task if the endpoint list still does not name its node."""
        core = self._core
        if machine not in core.endpoints.nodes:
            values: dict[str, object] = {"uid": f"{uid:016x}", "machine": machine}
            core.log(5, "node-unknown", values, "the endpoint list does not name the node of an adopted task")
            core.endpoints.discard(machine)
            core.inbox.append(TaskFinished(machine, uid, Outcome.BROKEN))
