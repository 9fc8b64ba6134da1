"""One node as the core uses it: its attempts and running tasks, and the link on which they are sent and reported.

Requests of the core that are made without a link wait here until a link has completed its handshake.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Generator

from thornshelf.core import Attempt, Dispatcher, HealthCheckCompleted, NodeEndpoint, TaskFinished
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.nodes.node_link import NodeLink
from thornshelf.nodes.pending_requests import HealthCheck, PendingCancellation
from thornshelf.nodes.reconnect import Reconnector
from thornshelf.placement import LoadReport, Outcome, Reason
from thornshelf.translation.failures import FailureCause
from thornshelf.wire.errors import DisconnectReason

HEALTH_CHECK_TIMEOUT_US = 250_000
# A cancellation is assumed to have arrived if it was sent this long ago and its link is still open.
CANCELLATION_ARRIVAL_US = 2_000_000
# An idle link is closed after this fraction of the time after which the node would close it.
IDLE_TIMEOUT_FRACTION = 0.8
MIN_KEEPALIVE_S = 1.0


class BaseNodeConnection:
    """A node with at most one link at a time; subclasses choose the wire format in ``make_link``.

    ``pending``: attempts that wait for a link. ``in_flight``: attempts, by id, that were sent and have neither
    started nor ended. ``running``: ids of tasks whose end the node has to report. ``pending_cancellations``:
    cancellations, by task id, that may not have arrived. ``pending_queries``: task ids to ask about, by idempotency
    key. ``hello_timeout_us``: how long a handshake may take before its link is closed. ``draining``: the node gets no
    new attempts.

    """

    def __init__(self, loop: Loop, machine: int, entry: NodeEndpoint, core: Dispatcher) -> None:
        self.loop = loop
        self.machine = machine
        self.core = core
        self.name = entry.name
        host, _, port = entry.address.rpartition(":")
        self.host = host
        self.port = int(port)
        self.pending: deque[Attempt] = deque()
        self.in_flight: dict[int, Attempt] = {}
        self.running: set[int] = set()
        self.pending_cancellations: dict[int, PendingCancellation] = {}
        self.pending_queries: dict[int, int] = {}
        self.hello_timeout_us = 0
        self.link: NodeLink | None = None
        self.closed = False
        self.draining = False
        self._unreachable = False
        self._health_check: HealthCheck | None = None
        self._health_check_pending = False  # the health check waits for a link
        self._reconnector = Reconnector(self)

    def make_link(self, stream: Stream) -> NodeLink:
        """Create a link in the node's wire format."""
        raise NotImplementedError

    # Requests of the core

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt now, or once there is a link.

        An attempt is not sent on a connection that the node has closed: it would never be read, but its outcome
        would be unknown.
        """
        link = self.link
        if link is not None and link.accepting and link.handshake_complete and not link.stream.peer_closed:
            self._send(link, attempt)
        else:
            self.pending.append(attempt)
            self._reconnector.ensure_connecting()

    def _send(self, link: NodeLink, attempt: Attempt) -> None:
        self.in_flight[attempt.uid] = attempt
        if (connections := self.core.node_connections) is not None:
            connections.touch(self, self.loop.now)
        if (cause := self.ineligibility(attempt)) is not None:
            self.attempt_finished(attempt.uid, Outcome.NOT_SENT, cause=cause)
            return
        link.send_attempt(attempt)
        link.liveness.watch()

    def ineligibility(self, attempt: Attempt) -> FailureCause | None:
        """Return why an attempt must not be sent to this node, by what the node declared; None if it may be sent."""
        return None

    def withdraw_attempt(self, attempt: Attempt) -> bool:
        """Withdraw an attempt, or else ask the node to cancel it; returns whether no byte of it had been sent."""
        if attempt in self.pending:
            self.pending.remove(attempt)
            return True
        if self.in_flight.pop(attempt.uid, None) is None or (link := self.link) is None:
            return False
        if link.retract_attempt(attempt.uid):
            return True
        # Guards against running the task twice: the cancellation must be written before the task is sent elsewhere,
        # and at the end of the turn another node's stream may be written first. If it can't be written, for which
        # flow control may be the reason, the connection is closed, which cancels the attempt as well.
        cancellation = link.cancel_attempt(attempt.uid)
        link.stream.flush()
        if not cancellation.fully_sent:
            link.close("a cancellation could not be written")
        return False

    def cancel_task(self, uid: int) -> None:
        """Ask the node to end a running task, as soon as there is a link."""
        self.running.discard(uid)
        link = self.link if self.link is not None and self.link.handshake_complete else None
        write = link.cancel_task(uid) if link else None
        self.pending_cancellations[uid] = PendingCancellation(write, self.loop.now)
        self._reconnector.ensure_connecting()

    def watch_task(self, uid: int) -> None:
        """Await the report of a running task's end, which the node sends on an open link or on the next one."""
        self._await_end(uid)
        self._reconnector.ensure_connecting()

    def unwatch_task(self, uid: int) -> None:
        """Stop awaiting the end of a task."""
        self.running.discard(uid)
        self.in_flight.pop(uid, None)

    def query_task(self, idempotency_key: int, uid: int) -> None:
        """Ask the node whether a task with this idempotency key runs or ran, as soon as there is a link."""
        if self.link is not None and self.link.handshake_complete:
            self.link.query_task(idempotency_key, uid)
            self.link.liveness.watch()
        else:
            self.pending_queries[idempotency_key] = uid
            self._reconnector.ensure_connecting()

    def reconnect(self) -> None:
        """Replace the link: only its attempts in flight are finished on it, and running tasks end on the next one."""
        if self.link is not None:
            self.link.accepting = False

    def handshake_completed(self) -> None:
        """Send the waiting requests, as the core has recorded the node's wire format and requirements."""
        link = self.link
        if link is not None and not link.handshake_complete:
            link.handshake_complete = True
            self._send_pending(link)

    def check_health(self) -> None:
        """Ask for a load report, unless a health check is still without a result."""
        if self._health_check is not None:
            return
        timeout = self.loop.call_later(HEALTH_CHECK_TIMEOUT_US, self._health_check_timed_out)
        self._health_check = HealthCheck(self.loop.now, timeout)
        if self.link is not None and self.link.handshake_complete:
            self.link.check_health()
        else:
            self._health_check_pending = True
            self._reconnector.ensure_connecting()

    def drain(self) -> list[Attempt]:
        """Withdraw and return the attempts of which no byte was sent; the node gets no new ones."""
        self.draining = True
        withdrawn = list(self.pending)
        self.pending.clear()
        link = self.link
        if link is None:
            return withdrawn
        for uid, attempt in list(self.in_flight.items()):
            if link.retract_attempt(uid):
                del self.in_flight[uid]
                withdrawn.append(attempt)
        return withdrawn

    def process_restarted(self, started_us: int) -> None:
        """Close the link if it was opened before the node's process was started, at ``started_us``.

        Guards against a second copy of a task: a link that was opened later leads to the new process, where its
        attempts are in flight, even those that were made before the start.
        """
        if self.link is not None and self.link.opened_us < started_us:
            self.link.close("the node's process was restarted")

    def resume(self) -> None:
        """Allow attempts again after a drain."""
        self.draining = False

    def close(self) -> None:
        """Close the link without a message, as the node was removed; its waiting attempts end as not connected."""
        self.closed = True
        self._reconnector.stop()
        self.link = None  # its stream was closed when the reconnector stopped
        if self._health_check is not None:
            self.health_check_completed(Outcome.NOT_CONNECTED, None)
        for attempt in self.pending:
            self.attempt_finished(attempt.uid, Outcome.NOT_CONNECTED)
        self.pending.clear()
        # The core itself ends the tasks that were in flight at a removed node.
        self.in_flight.clear()

    # Reports of links

    def task_started(self, uid: int) -> None:
        """Record that an attempt's task runs, so that it no longer depends on this link."""
        if self.in_flight.pop(uid, None) is not None:
            self._await_end(uid)

    def _await_end(self, uid: int) -> None:
        self.running.add(uid)
        if self.link is not None:
            self.link.liveness.watch_tasks()

    def end_reported(
        self,
        uid: int,
        outcome: Outcome,
        reason: Reason,
        report: LoadReport | None,
        cause: FailureCause | None = None,
    ) -> None:
        """Pass to the core the node's report that an attempt or a running task has ended."""
        self._finish(TaskFinished(self.machine, uid, outcome, reason, report, cause, reported_by_node=True))

    def attempt_finished(self, uid: int, outcome: Outcome, cause: FailureCause | None = None) -> None:
        """Report to the core that an attempt has ended, though the node has not reported it."""
        self._finish(TaskFinished(self.machine, uid, outcome, detail=cause))

    def _finish(self, item: TaskFinished) -> None:
        self.in_flight.pop(item.uid, None)
        self.running.discard(item.uid)
        self.pending_cancellations.pop(item.uid, None)
        self.core.inbox.append(item)

    def health_check_completed(self, outcome: Outcome, report: LoadReport | None) -> None:
        """Report the result of the health check to the core; ignored if no check is open."""
        check = self._health_check
        if check is None:
            return
        self._health_check = None
        self._health_check_pending = False
        check.timeout.cancel()
        latency_us = self.loop.now - check.started_us
        self.core.inbox.append(HealthCheckCompleted(self.machine, outcome, latency_us, report))

    def _health_check_timed_out(self) -> None:
        self.health_check_completed(Outcome.TIMED_OUT, None)

    # State of the connection

    @property
    def idle(self) -> bool:
        """Whether nothing is expected of the node."""
        return self.listening_only and not self.running

    @property
    def listening_only(self) -> bool:
        """Whether nothing but updates of running tasks is expected of the node."""
        return not (
            self.in_flight
            or self.pending
            or self.has_pending_data
            or self.pending_queries
            or self._health_check
        )

    @property
    def has_pending_data(self) -> bool:
        """Whether data is still to be sent to the node, or a cancellation may not have arrived there.

        Guards against a task that runs on although nobody awaits it: a connection that is closed or fails may lose
        the cancellation. It is sent again on the next link, unless it was sent long enough before.
        """
        sent_before_us = self.loop.now - CANCELLATION_ARRIVAL_US
        self.pending_cancellations = {
            uid: cancellation
            for uid, cancellation in self.pending_cancellations.items()
            if not cancellation.has_arrived(sent_before_us)
        }
        if self.pending_cancellations:
            return True
        return self.link is not None and bool(self.link.stream.buffered_bytes)

    def evict(self) -> None:
        """Close the link, because another node needs its descriptor more."""
        if self.link is not None:
            self.link.evict()

    def close_link(self, reason: str) -> None:
        """Close the link as unusable, if there is one."""
        if self.link is not None:
            self.link.close(reason)

    def open_replacement(self) -> None:
        """Open another connection, which takes the place of the present one if that succeeds."""
        self._reconnector.open_replacement()

    def idle_timeout_us(self) -> int:
        """Return how long an idle link is kept, in microseconds."""
        keepalive_s = self.core.settings.limits.keepalive_s * IDLE_TIMEOUT_FRACTION
        return int(max(MIN_KEEPALIVE_S, keepalive_s) * 1e6)

    @property
    def connection_state(self) -> str:
        """The link's state: connected, calling (connecting), unreachable, or idle if no link is wanted."""
        if self.link is not None:
            return "connected"
        if not self._reconnector.is_running:
            return "idle"
        return "unreachable" if self._unreachable else "calling"

    # Lifecycle of a link

    def serve_link(self, stream: Stream) -> Generator[Wait, int, DisconnectReason]:
        """Serve a new connection until it ends; returns the reason."""
        link = self.link = self.make_link(stream)
        self.loop.on_peer_close(stream.fd, stream.mark_peer_closed)
        self._unreachable = False
        if self.running:
            link.liveness.watch_tasks()
        try:
            if link.handshake_complete:
                self._send_pending(link)
            return (yield from link.run())
        finally:
            self._link_ended(link)
            stream.close()

    def link_closed(self, link: NodeLink) -> bool:
        """Record that a link has ended.

        Returns whether another wire format is to be tried before the node counts as unreachable.
        """
        return False

    def connect_failed(self, outcome: Outcome = Outcome.NOT_CONNECTED) -> None:
        """Fail the attempts and the health check that waited for a link, as the node could not be reached."""
        self._unreachable = True
        for attempt in self.pending:
            self.core.inbox.append(TaskFinished(self.machine, attempt.uid, outcome))
        self.pending.clear()
        if self._health_check is not None:
            self.health_check_completed(Outcome.NOT_CONNECTED, None)

    def _send_pending(self, link: NodeLink) -> None:
        for uid in self.pending_cancellations:
            self.pending_cancellations[uid] = PendingCancellation(link.cancel_task(uid), self.loop.now)
        while self.pending:
            attempt = self.pending.popleft()
            if attempt.is_awaited():
                self._send(link, attempt)
            else:
                self.attempt_finished(attempt.uid, Outcome.NOT_SENT)
        for idempotency_key, uid in self.pending_queries.items():
            link.query_task(idempotency_key, uid)
        self.pending_queries.clear()
        if self._health_check_pending:
            self._health_check_pending = False
            link.check_health()

    def _link_ended(self, link: NodeLink) -> None:
        lost = self.in_flight
        self.in_flight = {}
        self.pending_cancellations = {
            uid: PendingCancellation(None, cancellation.since_us)
            for uid, cancellation in self.pending_cancellations.items()
        }
        self.link = None
        for attempt in lost.values():
            # An attempt that was not completely sent can't have run; any other may have.
            may_run = link.may_have_arrived(attempt.uid)
            outcome = Outcome.BROKEN if may_run else Outcome.NOT_CONNECTED
            self.core.inbox.append(TaskFinished(self.machine, attempt.uid, outcome))
        tries_other_format = self.link_closed(link)
        if tries_other_format:
            return
        if not link.handshake_complete:
            self.connect_failed()
        if self._health_check is not None:
            self.health_check_completed(Outcome.BROKEN, None)
