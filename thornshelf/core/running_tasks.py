"""Tasks that run on nodes: those that were placed, adopted or found running, and how each of them ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thornshelf import placement as api
from thornshelf.core.client_connection import AnswerMetadata
from thornshelf.core.messages import TaskFinished, TaskProgress
from thornshelf.core.task import TaskRecord, TaskState
from thornshelf.placement import Outcome

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts

CANCEL_TIMEOUT_US = 2_000_000  # a node that does not confirm a cancellation is not waited for longer
UNKNOWN_NODE_TIMEOUT_US = 2_000_000  # so long may an adopted task's node be missing from the endpoint list


class RunningTasks:
    """Follows running tasks to their end."""

    def __init__(self, core: DispatcherParts) -> None:
        self._core = core

    # tasks that come to run

    def adopt(self, task: TaskRecord, node_name: str) -> None:
        """Take over a task that runs on a node already: it wants no answer, but a release when it ends."""
        core = self._core
        machine = core.endpoints.machine_id(node_name)
        task.machine = machine
        task.state = TaskState.RUNNING
        task.running_since_us = core.loop.now
        task.attempt_count = 1
        core.tasks.index_machine(task, machine)
        core.record_event(task, task.request.uid, "adopted", machine)
        core.placement.events.append(api.TaskAdopted(core.scheduler.placement_request(task), machine))
        if core.idempotency is not None and core.idempotency.deduplicates(task.request):
            core.idempotency.register_adopted(task)
        node = core.endpoints.nodes.get(machine)
        if node is not None:
            node.watch_task(task.node_uid)
        else:
            # The update of the endpoint list that names the node may still be on its way.
            uid = task.node_uid
            core.loop.after(UNKNOWN_NODE_TIMEOUT_US, lambda: self._check_listed(uid, machine))

    def adopt_found(self, task: TaskRecord, machine: int, node_uid: int, description: bytes) -> None:
        """Answer a request whose task is found to run already, under another id."""
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
        """Answer all subscribers of a task that it runs; one without a connected client is cancelled."""
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
            # The connection closed in this very turn, which cancels the request: no client would hear of the task.
            self.cancel(task)

    def progress(self, item: TaskProgress) -> None:
        """Pass on what a node reports of a running task, or of an attempt."""
        core = self._core
        task = core.tasks.by_uid.get(item.uid)
        if task is None:
            return
        attempt = task.attempt
        machine = attempt.machine if attempt is not None else task.machine
        if machine == item.machine:
            number = attempt.number if attempt is not None else task.attempt_count - 1
            core.placement.events.append(api.TaskUpdate(task.number, machine, number, item.fact, item.level))

    # tasks that end

    def finished(self, item: TaskFinished) -> None:
        """Notify the clients of a running task that it is over; the end of an attempt waits for its turn.

        Guards against releases that wait behind many tasks which are placed anew: releases are due at once.
        """
        core = self._core
        task = core.tasks.by_uid.get(item.uid)
        if task is None:
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
                core.answers.send_release(client, uid, item.outcome, item.reason, item.detail)

    def cancel(self, task: TaskRecord) -> None:
        """End a running task on its node; its clients know, so no release is due."""
        core = self._core
        task.state = TaskState.CANCELLING
        node = core.endpoints.nodes.get(task.machine)
        if node is not None:
            node.cancel_task(task.node_uid)
            task.timer = core.loop.after(CANCEL_TIMEOUT_US, lambda: self._cancel_unconfirmed(task))
        else:
            core.inbox.append(TaskFinished(task.machine, task.node_uid, Outcome.CANCELLED))

    def migrate(self, action: api.Migrate) -> None:
        """Stop a running task, as the decision module asks, so that its clients request it again."""
        task = self._core.tasks.by_number.get(action.request_id)
        if task is None or task.state is not TaskState.RUNNING:
            return
        for uid, client in task.each_subscriber():
            client.send_migrate(uid)
        self.cancel(task)

    def lose(self, machine: int, before_us: int | None) -> None:
        """End the tasks that ran on a node before a time, as its process started anew then.

        Without a time the node's process is dead: all tasks that run or are in flight there end.
        """
        core = self._core
        before = core.loop.now + 1 if before_us is None else before_us
        for task in core.tasks.at_machine(machine):
            attempt = task.attempt
            if attempt is not None and attempt.machine == machine:
                if before_us is None:  # else the node knows to which of its processes the attempt was sent
                    node = core.endpoints.nodes.get(machine)
                    if node is not None:
                        # Guards against a second copy: the attempt may be newer, and wait for a connection.
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
        task.possibly_running_at = task.machine  # for all that is known it still runs
        self._core.inbox.append(TaskFinished(task.machine, task.node_uid, Outcome.CANCELLED))

    def _check_listed(self, uid: int, machine: int) -> None:
        """End an adopted task whose node no endpoint list has named."""
        core = self._core
        if machine not in core.endpoints.nodes:
            values: dict[str, object] = {"uid": f"{uid:016x}", "machine": machine}
            core.log(5, "node-unknown", values, "no endpoint list names the node of an adopted task")
            core.endpoints.discard(machine)
            core.inbox.append(TaskFinished(machine, uid, Outcome.BROKEN))
