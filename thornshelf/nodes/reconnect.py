"""Connects to a node whenever something is expected of it, and reconnects with backoff when the connection ends."""

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

# These delays are limited because a node reports the ends of its tasks on the next connection, and the reports are
# due within some seconds.
DESCRIPTOR_BACKOFF_US = 1_500_000  # after a connect for which there was no descriptor, and after an eviction
RECONNECT_BACKOFF_US = 250_000  # after a failed connect, or the second short-lived connection in a row
FAST_RECONNECT_US = 10_000  # after any other connection that ended
DEFAULT_CONNECT_TIMEOUT_S = 0.25


class Reconnector:
    """Keeps one node connected while something is expected of it."""

    def __init__(self, node: ReconnectingNode) -> None:
        self._node = node
        self._task: Task | None = None
        self._replacement: Stream | None = None  # opened beside the present connection
        self._replacement_task: Task | None = None
        # The node closed the last connection, so that its process may be dead.
        self._last_closed_by_peer = False
        self._last_short_lived = False  # the last connection ended within RECONNECT_BACKOFF_US
        settings = node.core.settings
        self._backoff_us = int(reconnect_delay_s(RECONNECT_BACKOFF_US / 1e6, settings.placers) * 1e6)
        # Connect before it is needed: reports of the tasks that already run on the node go to an open connection,
        # and only the latest one is kept for a later connection. The first connect is delayed, unless it is needed
        # earlier, so that many dispatchers don't connect to a new node, or one dispatcher to many, all at once.
        self._initial_connect_due = True
        self._initial_timer: Timer | None = None
        delay_us = int(initial_connect_delay_s(settings.me, node.machine, settings.placers) * 1e6)
        if delay_us:
            self._initial_timer = node.loop.call_later(delay_us, self._connect_initially)
        else:
            self.ensure_connecting()

    @property
    def is_running(self) -> bool:
        """Whether a connection is open, being opened, or due after a backoff."""
        return self._task is not None and not self._task.done

    def ensure_connecting(self) -> None:
        """Start connecting, unless a connection is open or being opened."""
        if not self._node.closed and not self.is_running:
            self._task = self._node.loop.spawn(self._keep_connected())

    def open_replacement(self) -> None:
        """Open another connection, which takes the place of the present one if that succeeds."""
        if self._replacement_task is None or self._replacement_task.done:
            self._replacement_task = self._node.loop.spawn(self._open_replacement())

    def stop(self) -> None:
        """Close the connections and cancel the delayed first connect."""
        if self._replacement_task is not None:
            self._node.loop.cancel(self._replacement_task)
        self._close_replacement()
        if self._task is not None:
            self._node.loop.cancel(self._task)
        if self._initial_timer is not None:
            self._initial_timer.cancel()

    def _connect_initially(self) -> None:
        if self._initial_connect_due:
            self.ensure_connecting()

    def _keep_connected(self) -> Generator[Wait, int, None]:
        """Connect and serve the link, and reconnect while something is expected of the node."""

        node = self._node
        self._last_closed_by_peer = False
        self._last_short_lived = False
        while not node.closed and (self._initial_connect_due or not node.idle):
            self._initial_connect_due = False
            began_us = node.loop.now
            stream = self._take_replacement() or (yield from self._connect())
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
                delay_us = self._disconnected(reason, began_us)
                if self._replacement is None:
                    yield Wait(until=node.loop.now + delay_us)
        self._close_replacement()

    def _connect_failed(self, error_number: int) -> None:
        """Fail the attempts that waited for the connection, and the running tasks if the node's process is dead."""
        node = self._node
        # A lack of descriptors in this process proves nothing about the node.
        out_of_descriptors = error_number == errno.EMFILE
        node.connect_failed(Outcome.NOT_SENT if out_of_descriptors else Outcome.NOT_CONNECTED)
        if error_number != errno.ECONNREFUSED:
            return
        if self._last_closed_by_peer or (node.running and not node.draining):
            # A refused connection proves that the process is dead. Its tasks have ended, and their releases are due
            # at once, not when the endpoint list removes the node. But a draining node refuses new connections while
            # its tasks run on: it counts as dead only if it also closed the last connection.
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
        # The longer backoff applies only while nothing but updates of running tasks is expected.
        until_us = began_us + self._backoff_us
        while node.loop.now < until_us and not node.closed and node.listening_only:
            yield Wait(until=min(until_us, node.loop.now + RECONNECT_BACKOFF_US))

    def _disconnected(self, reason: DisconnectReason, began_us: int) -> int:
        """Log the end of a connection; returns the delay before the next one, in microseconds."""
        node = self._node
        fields: dict[str, object] = {"node": node.name, "standing": len(node.running)}
        node.core.log(NOTICE, "node-disconnected", fields | reason.log_fields, reason.text)
        # Guards against a tight loop with a node that closes each connection at once. A single short-lived connection
        # must not delay attempts.
        previous_short_lived = self._last_short_lived
        self._last_short_lived = node.loop.now - began_us < RECONNECT_BACKOFF_US
        if self._last_short_lived and previous_short_lived:
            return RECONNECT_BACKOFF_US
        return FAST_RECONNECT_US

    def _open_replacement(self) -> Generator[Wait, int, None]:
        """Open a connection beside the present one, and then close that."""
        stream = yield from self._connect()
        if isinstance(stream, int):
            return  # the present connection is still the best that there is
        if self._node.closed or not self.is_running:
            stream.close()
            return
        self._replacement = stream
        self._node.close_link("no data received, not even an answer to a ping; another connection is open")

    def _take_replacement(self) -> Stream | None:
        replacement, self._replacement = self._replacement, None
        pool = self._node.core.node_connections
        if replacement is not None and pool is not None:
            # The pool counts one connection for each node, and its entry went with the one that was replaced.
            pool.acquire(self._node, self._node.loop.now, wanted=False)
        return replacement

    def _close_replacement(self) -> None:
        if self._replacement is not None:
            self._replacement.close()
            self._replacement = None

    def _connect(self) -> Generator[Wait, int, Stream | int]:
        """Open a connection; returns the errno if that fails, with EMFILE if no descriptor is left for it."""
        timeout_s = self._node.core.settings.limits.connect_timeout_s or DEFAULT_CONNECT_TIMEOUT_S
        until_us = self._node.loop.now + int(timeout_s * 1e6)
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
        """Account for one more descriptor; returns the call that releases it, or None if none is left."""
        node = self._node
        pool, ledger = node.core.node_connections, node.core.descriptor_ledger
        if pool is not None:
            acquired = pool.acquire(node, node.loop.now, not node.idle)
            return (lambda: pool.release(node)) if acquired else None
        if ledger is not None:
            return (lambda: ledger.release("nodes")) if ledger.acquire("nodes") else None
        return _nothing_to_release


def _nothing_to_release() -> None:
    """Do nothing, as descriptors are not accounted for."""
