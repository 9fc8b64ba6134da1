"""Connects to a node whenever something is wanted there, and again with backoff when the connection ends."""

from __future__ import annotations

import errno
from collections.abc import Callable, Generator
from typing import TYPE_CHECKING

from thornshelf.core import NodeLost
from thornshelf.loop import Stream, Task, Timer, Wait
from thornshelf.loop.stream import connect
from thornshelf.placement import Outcome
from thornshelf.placement.connect_pacing import initial_connect_delay_s, reconnect_delay_s
from thornshelf.wire.errors import DisconnectCause, DisconnectReason
from thornshelf.wire.rfc5424 import NOTICE

if TYPE_CHECKING:
    from thornshelf.nodes.ports import ReconnectingNode

# The node reports the ends of its tasks on the next connection, and these are due within some seconds.
DESCRIPTOR_BACKOFF_US = 1_500_000  # after a connect for which there was no descriptor
RECONNECT_BACKOFF_US = 250_000  # after a connect that failed
FAST_RECONNECT_US = 10_000  # after a connection that broke, where the one before had lasted
DEFAULT_CONNECT_TIMEOUT_S = 0.25


class Reconnector:
    """Keeps one node connected for as long as its connection is wanted."""

    def __init__(self, node: ReconnectingNode) -> None:
        self._node = node
        self._task: Task | None = None
        self._last_closed_by_peer = False  # whether the process still lives is not known since
        self._last_short_lived = False
        settings = node.core.settings
        self._backoff_us = int(reconnect_delay_s(RECONNECT_BACKOFF_US / 1e6, settings.placers) * 1e6)
        # Guards against lost updates: what a node reports of the tasks that it is handed over with (their use of
        # cores and memory) goes to an open connection, and only the last report waits for one. So the connection
        # is made before it is needed. But hundreds of dispatchers must not connect to a node, or one dispatcher to
        # a crowd of new nodes, in one moment: the first connect is delayed, unless it is needed earlier.
        self._initial_connect_due = True
        self._initial_timer: Timer | None = None
        delay_us = int(initial_connect_delay_s(settings.me, node.machine, settings.placers) * 1e6)
        if delay_us:
            self._initial_timer = node.loop.after(delay_us, self._connect_initially)
        else:
            self.ensure_connecting()

    @property
    def is_running(self) -> bool:
        """Whether a connection is open, being made or waited for."""
        return self._task is not None and not self._task.done

    def ensure_connecting(self) -> None:
        """Connect, unless there is a connection or an attempt at one already."""
        if not self._node.closed and not self.is_running:
            self._task = self._node.loop.spawn(self._keep_connected())

    def stop(self) -> None:
        """Drop the connection, and make none again."""
        if self._task is not None:
            self._node.loop.cancel(self._task)
        if self._initial_timer is not None:
            self._initial_timer.cancel()

    def _connect_initially(self) -> None:
        if self._initial_connect_due:
            self.ensure_connecting()

    def _keep_connected(self) -> Generator[Wait, int, None]:
        """Connect, serve the link, and repeat for as long as something is wanted there."""
        node = self._node
        self._last_closed_by_peer = False
        self._last_short_lived = False
        while not node.closed and (self._initial_connect_due or not node.idle):
            self._initial_connect_due = False
            began_us = node.loop.now
            timeout_s = node.core.settings.limits.connect_timeout_s or DEFAULT_CONNECT_TIMEOUT_S
            stream = yield from self._connect(began_us + int(timeout_s * 1e6))
            if isinstance(stream, int):
                self._connect_failed(stream)
                if node.idle:
                    return
                yield from self._wait_to_reconnect(stream, began_us)
                continue
            reason = yield from node.serve_link(stream)
            self._last_closed_by_peer = reason.cause is DisconnectCause.CLOSED_BY_PEER
            if reason.cause is DisconnectCause.EVICTED:
                yield Wait(until=node.loop.now + DESCRIPTOR_BACKOFF_US)
            elif not node.closed and reason.cause is not DisconnectCause.IDLE:
                yield Wait(until=node.loop.now + self._disconnected(reason, began_us))

    def _connect_failed(self, error_number: int) -> None:
        """Fail the attempts that waited for the connection, and the running tasks where the node is proved dead."""
        node = self._node
        # A lack of descriptors of our own proves nothing of the node.
        out_of_descriptors = error_number == errno.EMFILE
        node.connect_failed(Outcome.NOT_SENT if out_of_descriptors else Outcome.NOT_CONNECTED)
        if error_number != errno.ECONNREFUSED:
            return
        if self._last_closed_by_peer or (node.running and not node.draining):
            # Guards against waiting for the endpoint list: a refused connection proves the process dead, and the
            # tasks of a dying process end, so that their releases are due at once. But a draining node refuses new
            # connections while its tasks run on: there the last connection must have been closed by it, too.
            fields: dict[str, object] = {"node": node.name, "standing": len(node.running)}
            node.core.log(NOTICE, "node-process-dead", fields, "refused")
            node.running.clear()
            node.pending_cancellations.clear()
            node.core.inbox.append(NodeLost(node.machine))
            self._last_closed_by_peer = False

    def _wait_to_reconnect(self, error_number: int, began_us: int) -> Generator[Wait, int, None]:
        node = self._node
        out_of_descriptors = error_number == errno.EMFILE
        pause_us = DESCRIPTOR_BACKOFF_US if out_of_descriptors else RECONNECT_BACKOFF_US
        yield Wait(until=max(node.loop.now, began_us) + pause_us)
        # An attempt does not wait for as long as updates of running tasks may.
        until_us = began_us + self._backoff_us
        while node.loop.now < until_us and not node.closed and node.listening_only:
            yield Wait(until=min(until_us, node.loop.now + RECONNECT_BACKOFF_US))

    def _disconnected(self, reason: DisconnectReason, began_us: int) -> int:
        """Log the end of a connection; returns the pause before the next one, in microseconds."""
        node = self._node
        fields: dict[str, object] = {"node": node.name, "standing": len(node.running)}
        node.core.log(NOTICE, "node-disconnected", fields | reason.log_fields, reason.text)
        # A node that closes each connection at once is not called in a tight loop, but a connection that is reset
        # while it is new must not make attempts wait.
        previous_short_lived = self._last_short_lived
        self._last_short_lived = node.loop.now - began_us < RECONNECT_BACKOFF_US
        if self._last_short_lived and previous_short_lived:
            return RECONNECT_BACKOFF_US
        return FAST_RECONNECT_US

    def _connect(self, until_us: int) -> Generator[Wait, int, Stream | int]:
        """A connection, or the number of the error; EMFILE where the budget of descriptors leaves none."""
        release = self._acquire_descriptor()
        if release is None:
            return errno.EMFILE
        stream: Stream | int = errno.ECANCELED
        try:
            stream = yield from connect(self._node.loop, self._node.host, self._node.port, until_us)
        finally:
            if isinstance(stream, int):
                release()
        if isinstance(stream, Stream):
            stream.on_close = release
        return stream

    def _acquire_descriptor(self) -> Callable[[], None] | None:
        """Account for one more descriptor; returns the call that gives it back, or None where there is none left."""
        node = self._node
        pool, ledger = node.core.node_connections, node.core.descriptor_ledger
        if pool is not None:
            acquired = pool.acquire(node, node.loop.now, not node.idle)
            return (lambda: pool.release(node)) if acquired else None
        if ledger is not None:
            return (lambda: ledger.release("nodes")) if ledger.acquire("nodes") else None
        return _nothing_to_release


def _nothing_to_release() -> None:
    """Descriptors are not accounted for."""
