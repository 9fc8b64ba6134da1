"""What both kinds of node share: one connection, made when needed, and what is on it."""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Generator
from typing import Protocol

from thornshelf.core import Attempt, Dispatcher, HealthCheckCompleted, NodeEndpoint, NodeLost, TaskFinished
from thornshelf.loop import Loop, Stream, Task, Timer, Wait
from thornshelf.loop.stream import connect
from thornshelf.placement.connect_pacing import initial_connect_delay_s, reconnect_delay_s
from thornshelf.placement.interface import LoadReport, Outcome, Reason
from thornshelf.translation.failures import FailureCause
from thornshelf.wire.errors import UNREADABLE_PREFIX, WireError, error_code_fields

HEALTH_CHECK_TIMEOUT_US = 250_000  # a probe is not waited for longer
NO_ROOM_US = (
    1_500_000  # pause where descriptors are too few and tasks stand: news is owed within some seconds
)
RETRY_US = 250_000  # pause between connects where tasks stand and the node can't be reached
AGAIN_US = 10_000  # pause after a connection broke, where the one before had lasted
FINISH_US = 20_000  # a connection that only finishes what is out is looked at so often
LOOK_US = 100_000  # one that owes something is looked at so often, and its looks without a byte are counted:
HALF_LOOKS = 3  # so many, and a message that has begun is not going to end
QUIET_LOOKS = 4  # so many, and it is tested
DEAF_LOOKS = 12  # so many, and it is of no further use
CUT_US = 2_000_000  # a task's end that was told so long ago, on a connection that lasts, has come
IDLE_SHARE = 0.8  # an idle connection is closed this far into the time after which the node would close it

SHED = "closed to make room for another"
ENDED = "connection ended by the node or the network"

REPORT_FIELDS = {
    "active": "active",
    "waiting": "waiting",
    "queue": "waiting",
    "cpu": "busy",
    "avg_ms": "start_ms",
    "rps": "starts_per_s",
    "err_rps": "errors_per_s",
    "x0": "free_cores",
    "x1": "free_memory",
}


def decode_load_report(fields: dict[str, float]) -> LoadReport | None:
    """A load report in the module's words; none where nothing in it is known."""
    named = {REPORT_FIELDS[name]: value for name, value in fields.items() if name in REPORT_FIELDS}
    return LoadReport(**named) if named else None


class PendingWrite(Protocol):
    """A message on its way out."""

    @property
    def fully_sent(self) -> bool:
        """All of it was given to the system."""


class NodeLink:
    """One open connection in one wire form."""

    def __init__(self, node: BaseNodeConnection, stream: Stream) -> None:
        self.node, self.stream = node, stream
        self.opened_us = node.loop.now
        self.accepting = True  # False: it only finishes what is out, and new offers wait for the next
        self.handshake_complete = (
            True  # False: what the node speaks is not known yet, and nothing may leave for it
        )
        self._why = ENDED
        self._watching = self._tested = False
        self._looks = 0  # since its last byte
        self._half_looks = 0  # since its last whole message
        self.messages_received = 0  # whole ones so far

    def send_attempt(self, attempt: Attempt) -> None:
        """Send a set-up."""
        raise NotImplementedError

    def withdraw_attempt(self, uid: int) -> bool:
        """Give a set-up up; true where no byte of it had left."""
        raise NotImplementedError

    def may_have_arrived(self, uid: int) -> bool:
        """Whether all of a set-up has left, so that it may run."""
        raise NotImplementedError

    def cancel_task(self, uid: int) -> PendingWrite:
        """End a task that stands; gives the word on its way."""
        raise NotImplementedError

    def check_health(self) -> None:
        """Ask for a report."""
        raise NotImplementedError

    def query_task(self, idempotency_key: int, uid: int) -> None:
        """Ask about a task's name; only forms that have a word for it are asked."""

    def receive(self, data: bytes) -> str | None:
        """Bytes of the connection; says why it is over, where it is."""
        raise NotImplementedError

    def ping(self) -> None:
        """Ask for any byte at all."""
        raise NotImplementedError

    @property
    def mid_message(self) -> bool:
        """A message has begun and not ended."""
        raise NotImplementedError

    def watch_liveness(self) -> None:
        """See to it that what it owes comes.

        Guards against a spoilt connection that stays open: where a length swallows what follows, or an
        answer breaks off or never comes, all else on it, news of standing tasks too, would wait for nothing.
        Looks are counted, not time: a late turn of our own is one look, and the next reads what came.
        """
        if not self._watching:
            self._watching = True
            self.node.loop.after(LOOK_US, self._look)

    def _look(self) -> None:
        self._watching = False
        if not self.stream.open or not (self.mid_message or self._tested or self.node.in_flight):
            self._looks = 0
            return
        self._looks += 1
        self._half_looks += 1
        if self.mid_message and self._half_looks >= HALF_LOOKS:
            self.close("a message broke off")
        elif self._looks >= DEAF_LOOKS:
            self.close("it says nothing more")
        else:
            if self._looks >= QUIET_LOOKS and not self._tested:
                self._tested = True
                self.ping()
            self.watch_liveness()

    def close(self, reason: str) -> None:
        """Close it: what is out on it is given up."""
        self._why = reason
        self.stream.close()

    def run(self) -> Generator[Wait, int, str]:
        """Read until the connection ends or has long been idle; says why it ended, or nothing."""
        node = self.node
        began_us = quiet_since = node.loop.now
        while True:
            wait = FINISH_US if not self.accepting else node.idle_timeout_us() // 4
            if not self.handshake_complete:
                if node.loop.now - began_us >= node.hello_timeout_us:
                    return "it does not say what it speaks"
                wait = began_us + node.hello_timeout_us - node.loop.now
            data = yield from self.stream.read(node.loop.now + wait)
            if data is None:
                if not node.idle:
                    quiet_since = node.loop.now
                elif node.loop.now - quiet_since >= node.idle_timeout_us():
                    return ""
            elif not data:
                return self._why
            else:
                quiet_since = node.loop.now
                self._looks, self._tested, before = 0, False, self.messages_received
                began = self.mid_message
                try:
                    if (why := self.receive(data)) is not None:
                        return why
                except WireError as fault:
                    return f"{UNREADABLE_PREFIX}{fault}"
                if self.mid_message:
                    if not began or self.messages_received > before:
                        self._half_looks = 0  # it is another message that has begun
                    self.watch_liveness()
            if not self.accepting and not node.in_flight:
                return "the node wants another connection"


class BaseNodeConnection:
    """A node and its one connection; ``make_link`` gives it its wire form."""

    def __init__(self, loop: Loop, machine: int, entry: NodeEndpoint, core: Dispatcher) -> None:
        self.loop, self.machine, self.core, self.name = loop, machine, core, entry.name
        host, _, port = entry.address.rpartition(":")
        self.host, self.port = host, int(port)
        self.pending: deque[Attempt] = deque()  # wait for the connection
        self.in_flight: dict[int, Attempt] = {}  # sent and not ended
        self.running: set[int] = set()
        # To be ended, and not yet heard to be: the word on its way, where there is a connection, and since when.
        self.pending_cancellations: dict[int, tuple[PendingWrite | None, int]] = {}
        self.pending_queries: dict[int, int] = {}  # names to be asked about then, each with its task's id
        self.hello_timeout_us = 0  # a connection that is not ready after so long is of no use
        self.link: NodeLink | None = None
        self.closed = self.draining = False
        self._failed = False  # the last call found nobody
        # Guards against lost news: what a node tells of the tasks that it is handed over with (their use of
        # cores and memory) goes to an open connection, and only the last word of it waits for one. So the
        # connection is there before they are. But hundreds of dispatchers, or a crowd of new nodes, are not
        # greeted in one moment: what is wanted of a node in the meantime makes the connection at once.
        self._greeting = True
        self._task: Task | None = None
        terms = core.settings
        self._pause_us = int(reconnect_delay_s(RETRY_US / 1e6, terms.placers) * 1e6)
        self._greet: Timer | None = None
        if late_us := int(initial_connect_delay_s(terms.me, machine, terms.placers) * 1e6):
            self._greet = loop.after(late_us, lambda: self._ensure_connecting() if self._greeting else None)
        else:
            self._ensure_connecting()
        self._probe: tuple[int, Timer] | None = None
        self._probe_wanted = False

    def make_link(self, stream: Stream) -> NodeLink:
        """The wire form."""
        raise NotImplementedError

    # what the core asks

    def send_attempt(self, attempt: Attempt) -> None:
        """Send a set-up now, or once the connection is up.

        Guards against an offer on a connection that the node has closed: unread, for all that is known it may run.
        """
        link = self.link
        if link is not None and link.accepting and link.handshake_complete and not link.stream.peer_closed:
            self._send(link, attempt)
        else:
            self.pending.append(attempt)
            self._ensure_connecting()

    def _send(self, link: NodeLink, attempt: Attempt) -> None:
        self.in_flight[attempt.uid] = attempt
        if (connections := self.core.node_connections) is not None:
            connections.touch(self, self.loop.now)
        if (cause := self.ineligibility(attempt)) is not None:
            self.attempt_finished(attempt.uid, Outcome.NOT_SENT, cause=cause)
            return
        link.send_attempt(attempt)
        link.watch_liveness()

    def ineligibility(self, attempt: Attempt) -> FailureCause | None:
        """Why an offer must not leave for this node, by what it has said of itself; none where it may."""
        return None

    def withdraw_attempt(self, attempt: Attempt) -> bool:
        """Give an attempt up."""
        if attempt in self.pending:
            self.pending.remove(attempt)
            return True
        if self.in_flight.pop(attempt.uid, None) is None or (link := self.link) is None:
            return False
        if link.withdraw_attempt(attempt.uid):
            return True
        # Guards against two copies at once: the word must be out before the task is offered elsewhere, and at the
        # turn's end another node's stream may be written first. A closed connection says the same.
        link.stream.flush()
        if link.stream.buffered_bytes:
            link.close("it takes nothing more")
        return False

    def cancel_task(self, uid: int) -> None:
        """End a task that stands there; kept until there is a connection to say it on."""
        self.running.discard(uid)
        link = self.link if self.link is not None and self.link.handshake_complete else None
        self.pending_cancellations[uid] = (link.cancel_task(uid) if link else None), self.loop.now
        self._ensure_connecting()

    def watch_task(self, uid: int) -> None:
        """Hear of the task's end: a node sends it on any open connection, or on the next."""
        self.running.add(uid)
        self._ensure_connecting()

    def unwatch_task(self, uid: int) -> None:
        """The task is over."""
        self.running.discard(uid)
        self.in_flight.pop(uid, None)

    def query_task(self, idempotency_key: int, uid: int) -> None:
        """Ask about a task's name; kept until there is a connection to ask on."""
        if self.link is not None and self.link.handshake_complete:
            self.link.query_task(idempotency_key, uid)
            self.link.watch_liveness()
        else:
            self.pending_queries[idempotency_key] = uid
            self._ensure_connecting()

    def reconnect(self) -> None:
        """What is out ends on the present connection; what stands is heard of on the next."""
        if self.link is not None:
            self.link.accepting = False

    def handshake_completed(self) -> None:
        """What the node speaks and requires is known: what waited for that leaves now."""
        link = self.link
        if link is not None and not link.handshake_complete:
            link.handshake_complete = True
            self._send_pending(link)

    def check_health(self) -> None:
        """Ask for a report."""
        if self._probe is not None:
            return
        sent = self.loop.now
        timer = self.loop.after(
            HEALTH_CHECK_TIMEOUT_US, lambda: self.health_check_completed(Outcome.TIMED_OUT, None)
        )
        self._probe = (sent, timer)
        if self.link is not None and self.link.handshake_complete:
            self.link.check_health()
        else:
            self._probe_wanted = True
            self._ensure_connecting()

    def drain(self) -> list[Attempt]:
        """Nothing new from now on; what has not left is called back."""
        self.draining = True
        kept = list(self.pending)
        self.pending.clear()
        for uid, attempt in list(self.in_flight.items()):
            if (
                self.link is not None
                and not self.link.may_have_arrived(uid)
                and self.link.withdraw_attempt(uid)
            ):
                del self.in_flight[uid]
                kept.append(attempt)
        return kept

    def process_restarted(self, started_us: int) -> None:
        """Its process started anew at this time: what went out to the one before is over, and given up.

        Guards against a second copy: what was offered before that time, but left on a connection to the new
        process, is out there.
        """
        if self.link is not None and self.link.opened_us < started_us:
            self.link.close("its process started anew")

    def resume(self) -> None:
        """It takes offers."""
        self.draining = False

    def close(self) -> None:
        """The node is gone."""
        self.closed = True
        if self._task is not None:
            self.loop.cancel(self._task)
        if self._greet is not None:
            self._greet.cancel()
        self.link = None  # its connection was closed with the coroutine
        if self._probe is not None:
            self.health_check_completed(Outcome.NOT_CONNECTED, None)
        for attempt in self.pending:
            self.attempt_finished(attempt.uid, Outcome.NOT_CONNECTED)
        self.pending.clear()
        # What was out ends with the core's own word on the tasks of a node that is gone.
        self.in_flight.clear()

    # what links tell

    def task_started(self, uid: int) -> None:
        """The task runs: it no longer depends on this connection."""
        if self.in_flight.pop(uid, None) is not None:
            self.running.add(uid)

    def attempt_finished(
        self,
        uid: int,
        outcome: Outcome,
        reason: Reason = Reason.UNSPECIFIED,
        report: LoadReport | None = None,
        cause: FailureCause | None = None,
    ) -> None:
        """An attempt or a standing task has ended."""
        self.in_flight.pop(uid, None)
        self.running.discard(uid)
        self.pending_cancellations.pop(uid, None)
        self.core.inbox.append(TaskFinished(self.machine, uid, outcome, reason, report, cause))

    def health_check_completed(self, outcome: Outcome, report: LoadReport | None) -> None:
        """The probe has its result."""
        if self._probe is not None:
            sent, timer = self._probe
            self._probe, self._probe_wanted = None, False
            timer.cancel()
            self.core.inbox.append(HealthCheckCompleted(self.machine, outcome, self.loop.now - sent, report))

    # the connection

    @property
    def idle(self) -> bool:
        """Nothing waits for anything on this connection."""
        return self.listening_only and not self.running

    @property
    def listening_only(self) -> bool:
        """Only news of what stands is waited for."""
        return not (
            self.in_flight or self.pending or self.has_pending_data or self.pending_queries or self._probe
        )

    @property
    def has_pending_data(self) -> bool:
        """Something that was said to it has not left, or the end of a task may not have come there.

        Guards against a task that nobody wants and that runs for good: a connection that is closed or breaks may
        take the word of its end with it. That is said again on the next, unless it was out for long.
        """
        since = self.loop.now - CUT_US
        self.pending_cancellations = {
            uid: cut
            for uid, cut in self.pending_cancellations.items()
            if not (cut[0] and cut[0].fully_sent and cut[1] < since)
        }
        return bool(self.pending_cancellations) or (
            self.link is not None and bool(self.link.stream.buffered_bytes)
        )

    def evict(self) -> None:
        """Close the connection: others need its descriptor more."""
        if self.link is not None:
            self.link.close(SHED)

    def idle_timeout_us(self) -> int:
        """How long an idle connection is kept."""
        return int(max(1.0, self.core.settings.limits.keepalive_s * IDLE_SHARE) * 1e6)

    @property
    def connection_state(self) -> str:
        """How its connection stands: connected, calling, unreachable, or idle, where nothing is wanted of it."""
        if self.link is not None:
            return "connected"
        if self._task is None or self._task.done:
            return "idle"
        return "unreachable" if self._failed else "calling"

    def _ensure_connecting(self) -> None:
        if not self.closed and (self._task is None or self._task.done):
            self._task = self.loop.spawn(self._keep_connected())

    def _keep_connected(self) -> Generator[Wait, int, None]:
        """Connect, serve, and again for as long as something is wanted there."""
        broke = (
            False  # the node ended the last connection; it is not known yet whether its process still lives
        )
        short = False  # and it had hardly begun
        while not self.closed and (self._greeting or not self.idle):
            self._greeting = False
            timeout = self.core.settings.limits.connect_timeout_s or 0.25
            began = self.loop.now
            until = began + int(timeout * 1e6)
            stream = yield from self._connect(until)
            if isinstance(stream, int):
                # A full table of descriptors proves nothing of the node.
                no_room = stream == errno.EMFILE
                self._not_connected(Outcome.NOT_SENT if no_room else Outcome.NOT_CONNECTED)
                if stream == errno.ECONNREFUSED and (broke or (self.running and not self.draining)):
                    # Guards against waiting for the list: a refused connection proves the process dead, and
                    # a dying process cuts its tasks, whose releases are owed at once. But a draining node
                    # refuses new connections while its tasks run on: there the old one must have ended, too.
                    self.core.log(
                        5, "node-process-dead", {"node": self.name, "standing": len(self.running)}, "refused"
                    )
                    self.running.clear()
                    self.pending_cancellations.clear()
                    self.core.inbox.append(NodeLost(self.machine))
                    broke = False
                if self.idle:
                    return
                until = began + self._pause_us
                yield Wait(until=max(self.loop.now, began) + (NO_ROOM_US if no_room else RETRY_US))
                while self.loop.now < until and not self.closed and self.listening_only:
                    yield Wait(until=min(until, self.loop.now + RETRY_US))  # an offer doesn't wait so long
                continue
            why = yield from self._serve_link(stream)
            broke = why == ENDED
            if why == SHED:
                yield Wait(until=self.loop.now + NO_ROOM_US)
            elif not self.closed and why:
                values: dict[str, object] = {"node": self.name, "standing": len(self.running)}
                self.core.log(5, "node-disconnected", values | error_code_fields(why), why)
                # A node that ends each connection at once is not called in a tight circle, but a connection
                # that is reset while new must not make offers wait.
                again, short = short, self.loop.now - began < RETRY_US
                yield Wait(until=self.loop.now + (RETRY_US if short and again else AGAIN_US))

    def _connect(self, until: int) -> Generator[Wait, int, Stream | int]:
        """A connection within the ledger of descriptors, where there is one: what it refuses proves nothing."""
        ledger, connections = self.core.descriptor_ledger, self.core.node_connections
        if connections is not None:
            if not connections.acquire(self, self.loop.now, not self.idle):
                return errno.EMFILE
            made: Stream | int = errno.ECANCELED
            try:
                made = yield from connect(self.loop, self.host, self.port, until)
            finally:
                if isinstance(made, int):
                    connections.release(self)
            if isinstance(made, Stream):
                made.on_close = lambda: connections.release(self)
            return made
        if ledger is None:
            return (yield from connect(self.loop, self.host, self.port, until))
        if not ledger.acquire("nodes"):
            return errno.EMFILE
        stream: Stream | int = errno.ECANCELED
        try:
            stream = yield from connect(self.loop, self.host, self.port, until)
        finally:
            if isinstance(stream, int):
                ledger.release("nodes")
        if isinstance(stream, Stream):
            stream.on_close = lambda: ledger.release("nodes")
        return stream

    def _send_pending(self, link: NodeLink) -> None:
        """What waited for a connection."""
        for uid in self.pending_cancellations:
            self.pending_cancellations[uid] = link.cancel_task(uid), self.loop.now
        while self.pending:
            if (attempt := self.pending.popleft()).is_awaited():
                self._send(link, attempt)
            else:
                self.attempt_finished(attempt.uid, Outcome.NOT_SENT)
        for key, uid in self.pending_queries.items():
            link.query_task(key, uid)
        self.pending_queries.clear()
        if self._probe_wanted:
            self._probe_wanted = False
            link.check_health()

    def link_closed(self, link: NodeLink) -> bool:
        """A connection is over; true where another form is to be tried before the node counts as unreachable."""
        return False

    def _serve_link(self, stream: Stream) -> Generator[Wait, int, str]:
        link = self.link = self.make_link(stream)
        self.loop.on_peer_close(stream.fd, stream.mark_peer_closed)
        self._failed = False
        try:
            if link.handshake_complete:
                self._send_pending(link)
            return (yield from link.run())
        finally:
            lost, self.in_flight = self.in_flight, {}
            self.pending_cancellations = {
                uid: (None, since) for uid, (_, since) in self.pending_cancellations.items()
            }
            self.link = None
            for attempt in lost.values():
                # What never left as a whole can't have run; all else may have.
                may_run = link.may_have_arrived(attempt.uid)
                outcome = Outcome.BROKEN if may_run else Outcome.NOT_CONNECTED
                self.core.inbox.append(TaskFinished(self.machine, attempt.uid, outcome))
            again = self.link_closed(link)
            if not link.handshake_complete and not again:
                self._not_connected()
            if self._probe is not None and not again:
                self.health_check_completed(Outcome.BROKEN, None)
            stream.close()

    def _not_connected(self, outcome: Outcome = Outcome.NOT_CONNECTED) -> None:
        self._failed = True
        for attempt in self.pending:
            self.core.inbox.append(TaskFinished(self.machine, attempt.uid, outcome))
        self.pending.clear()
        if self._probe is not None:
            self.health_check_completed(Outcome.NOT_CONNECTED, None)
