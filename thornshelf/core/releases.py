"""Notifies clients that a running task has ended, which is called a release.

Running tasks outlive connections, and a release is due within 1 s: it goes to the task's own connection, otherwise to
another one of the same client, and soon to any connection that can be trusted with it.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.core.ports import LogFunction
from thornshelf.loop import Loop
from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause, WireFormat

ANY_CLIENT_AFTER_US = (
    300_000  # a release waits so long for its own client before any trusted connection gets it
)
PENDING_TTL_US = 60_000_000  # a release that no client came for is dropped after this time


class PendingRelease(NamedTuple):
    """A release that waits for a connection since ``since_us``; ``peer`` is the host of the task's client."""

    since_us: int
    peer: str
    uid: int
    outcome: Outcome
    reason: Reason
    cause: FailureCause | None


class DisconnectedClient:
    """The client of a task that a predecessor handed over: only its host is known.

    Its connection is never open: nothing is sent on it, and releases go to other connections.
    """

    is_connected = False
    accepts_any_release = False
    wire_form = WireFormat.JSON_LINES

    def __init__(self, peer: str) -> None:
        self.peer = peer

    def awaits_answer(self, uid: int) -> bool:
        """Never: the requests of this connection were answered by the predecessor."""
        return False

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """Discard the answer."""

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Discard the answer."""

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Discard the answer."""

    def reject_duplicate(self, uid: int) -> None:
        """Do nothing: no request comes on this connection."""

    def send_release(
        self, uid: int, outcome: Outcome, reason: Reason, detail: FailureCause | None = None
    ) -> None:
        """Never called: releases go to connections that are open."""

    def send_migrate(self, uid: int) -> None:
        """Discard the message."""

    def task_cancelled(self, uid: int) -> None:
        """Do nothing: nothing is stored for this connection."""


class ReleaseNotifier:
    """The open client connections with their open requests, and the releases that wait for a connection.

    ``open_requests`` has, for each open connection, the ids of its requests that have no answer yet.
    """

    def __init__(self, loop: Loop, log: LogFunction) -> None:
        self.loop = loop
        self.log = log
        self.open_requests: dict[ClientConnection, set[int]] = {}
        self._placed_clients: dict[ClientConnection, None] = {}  # a task was placed for them; the latest last
        self._requesting_clients: dict[ClientConnection, None] = {}  # they requested a task; the latest last
        self._pending: deque[PendingRelease] = deque()

    @property
    def pending(self) -> tuple[PendingRelease, ...]:
        """The releases that wait for a connection, the oldest first."""
        return tuple(self._pending)

    def client_connected(self, client: ClientConnection) -> None:
        """A client's connection is open."""
        self.open_requests.setdefault(client, set())
        self.send_pending()

    def client_disconnected(self, client: ClientConnection) -> list[int]:
        """A client's connection is closed; returns its open requests in ascending order."""
        self._placed_clients.pop(client, None)
        self._requesting_clients.pop(client, None)
        return sorted(self.open_requests.pop(client, ()))

    def request_received(self, client: ClientConnection) -> None:
        """A client has requested a task."""
        self._mark_active(client, self._requesting_clients)

    def request_answered(self, client: ClientConnection, uid: int) -> None:
        """A request of a client is no longer open."""
        if (requests := self.open_requests.get(client)) is not None:
            requests.discard(uid)

    def task_placed(self, client: ClientConnection) -> None:
        """A task was placed for a client."""
        self._mark_active(client, self._placed_clients)

    def notify(
        self,
        client: ClientConnection,
        uid: int,
        outcome: Outcome,
        reason: Reason,
        cause: FailureCause | None,
    ) -> None:
        """Send a release on the task's own connection, or keep it until another one can take it."""
        if client in self.open_requests and client.is_connected:
            client.send_release(uid, outcome, reason, cause)
            return
        self._pending.append(PendingRelease(self.loop.now, client.peer, uid, outcome, reason, cause))
        self._drop_stale()
        self._schedule()

    def add_pending(self, peer: str, uid: int, outcome: Outcome, reason: Reason) -> None:
        """Take over a pending release of a predecessor."""
        self._pending.append(PendingRelease(self.loop.now, peer, uid, outcome, reason, None))
        self._schedule()

    def take_pending(self) -> tuple[PendingRelease, ...]:
        """Remove and return all pending releases, to hand them to a successor."""
        pending = self.pending
        self._pending.clear()
        return pending

    def send_pending(self) -> None:
        """Send the pending releases for which there is a connection by now."""
        for _ in range(len(self._pending)):
            release = self._pending.popleft()
            any_client = self.loop.now >= release.since_us + ANY_CLIENT_AFTER_US
            client = self._recipient(release.peer, any_client)
            if client is not None:
                client.send_release(release.uid, release.outcome, release.reason, release.cause)
            else:
                self._pending.append(release)

    def _schedule(self) -> None:
        """Try at once, and again when any trusted connection will do."""
        self.send_pending()
        self.loop.after(ANY_CLIENT_AFTER_US, self.send_pending)

    def _drop_stale(self) -> None:
        while self._pending[0].since_us < self.loop.now - PENDING_TTL_US:
            release = self._pending.popleft()
            self.log(
                4,
                "release-dropped",
                {"uid": f"{release.uid:016x}"},
                "no client connected that could take this release in time",
            )

    def _recipient(self, peer: str, any_client: bool) -> ClientConnection | None:
        """The connection that gets a release of a task whose client has the host ``peer``.

        It is the latest one of that host for which a task was placed. With ``any_client`` it is the latest one of any
        host for which a task was placed, otherwise one that requested a task, otherwise any of the same host.

        Guards against unknown clients: bad clients open connections from the same hosts and request nothing useful,
        and a release that is sent to them is lost.
        """
        if not any_client:
            return _latest(self._placed_clients, peer)
        for clients in (self._placed_clients, self._requesting_clients):
            if (client := _latest(clients)) is not None:
                return client
        return _latest(self.open_requests, peer)

    def _mark_active(self, client: ClientConnection, clients: dict[ClientConnection, None]) -> None:
        """Make a connection the latest one of a table; it may be sent releases from now on."""
        if client in self.open_requests and client.accepts_any_release:
            clients.pop(client, None)
            clients[client] = None
            self.send_pending()


def _latest(clients: dict[ClientConnection, Any], peer: str | None = None) -> ClientConnection | None:
    """The last connection, of one host if given, that is open and accepts releases of tasks of other connections."""
    for client in reversed(clients):
        if client.accepts_any_release and client.is_connected and (peer is None or client.peer == peer):
            return client
    return None
