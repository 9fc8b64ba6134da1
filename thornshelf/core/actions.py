"""Maps each type of decision module action to the handler that carries it out."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from thornshelf import placement as api
from thornshelf.core.messages import HealthCheckCompleted
from thornshelf.core.task import TaskState
from thornshelf.placement import Outcome
from thornshelf.translation.failures import FailureReason

if TYPE_CHECKING:
    from thornshelf.core.parts import DispatcherParts

ActionHandlers = Mapping[type[Any], Callable[[Any], None]]


def action_handlers(core: DispatcherParts) -> ActionHandlers:
    """Return the handler of each action type, called with the action."""
    handlers = _ActionHandlers(core)
    return {
        api.StartAttempt: core.attempts.start,
        api.CancelAttempt: core.attempts.cancel,
        api.Migrate: core.running_tasks.migrate,
        api.Reject: handlers.reject,
        api.Fail: handlers.fail,
        api.CheckHealth: handlers.check_health,
        api.SetTimer: handlers.set_timer,
        api.SendGossip: handlers.send_gossip,
        api.Log: handlers.log,
        # Updates of the endpoint list arrive unrequested, and nodes close idle connections on their own.
        api.WatchEndpoints: handlers.ignore,
        api.ReloadEndpoints: handlers.ignore,
        api.CloseIdleConnections: handlers.ignore,
    }


class _ActionHandlers:
    """Handlers of the actions that no other part of the core carries out."""

    def __init__(self, core: DispatcherParts) -> None:
        self._core = core

    def reject(self, action: api.Reject) -> None:
        """Reject an open task, with a Retry-After if the settings allow one."""
        core = self._core
        task = core.tasks.by_number.get(action.request_id)
        if task is None or task.state is not TaskState.OPEN:
            return
        limits = core.settings.limits
        wait_us = None
        if action.retry_after_s and limits.retry_after:
            wait_us = int(min(action.retry_after_s, limits.max_retry_after_s) * 1e6)
        detail = core.scheduler.rejection_detail(task)
        reason = FailureReason.UNTOLD if detail is None else detail.reason
        core.answers.reject(task, core.scheduler.retry_after_us(task, wait_us, reason), detail)

    def fail(self, action: api.Fail) -> None:
        """Fail an open task."""
        task = self._core.tasks.by_number.get(action.request_id)
        if task is not None:
            self._core.answers.fail(task, task.last_failure)

    def check_health(self, action: api.CheckHealth) -> None:
        """Check a node's health, unless a peer checks it: the peer's results arrive in the inbox as well."""
        core = self._core
        machine = action.machine
        if core.gossip is not None and core.gossip.is_checked_by_peer(machine):
            return
        node = core.endpoints.nodes.get(machine)
        if node is not None:
            node.check_health()
        else:
            core.inbox.append(HealthCheckCompleted(machine, Outcome.NOT_CONNECTED, 0))

    def set_timer(self, action: api.SetTimer) -> None:
        """Set a timer for the decision module."""
        self._core.placement.set_timer(action.at, action.token)

    def send_gossip(self, action: api.SendGossip) -> None:
        """Send a message to the other dispatchers, if a fleet is configured."""
        if self._core.gossip is not None:
            self._core.gossip.broadcast(action.data)

    def log(self, action: api.Log) -> None:
        """Write a log line of the decision module."""
        self._core.log(6, "placement-note", {}, action.text)

    def ignore(self, action: api.Action) -> None:
        """Do nothing: the action needs no handling."""
