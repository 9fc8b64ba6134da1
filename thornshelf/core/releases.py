"""Sends releases: notifications to clients that a running task has ended.

Running tasks outlive connections, and a release is due within 1 s. It goes to the connection that requested the task,
otherwise to another connection from the same host, and after ``ANY_CLIENT_AFTER_US`` to any trusted connection.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.core.ports import LogFunction
from thornshelf.loop import Loop
from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause, WireFormat

ANY_CLIENT_AFTER_US = 300_000  # wait for the task's own client before any trusted connection is used
PENDING_TTL_US = 60_000_000  # pending releases are dropped after this time


class PendingRelease(NamedTuple):
    """A release that has waited for a connection since ``since_us``; ``peer`` is the host of the task's client."""

    since_us: int
    peer: str
    uid: int
    outcome: Outcome
    reason: Reason
    cause: FailureCause | None


class DisconnectedClient:
    """Stands for the client of a task that a predecessor handed over; only its host is known.

    It is never connected, so nothing is sent to it, and releases go to other connections.
    """

    is_connected = False
    accepts_any_release = False
    wire_format = WireFormat.JSON_LINES

    def __init__(self, peer: str) -> None:
        self.peer = peer

    def awaits_answer(self, uid: int) -> bool:
        """Return false: the predecessor answered the requests of this connection."""
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
        """Do nothing: releases go to open connections, so this is never called."""

    def send_migrate(self, uid: int) -> None:
        """Discard the message."""

    def task_cancelled(self, uid: int) -> None:
        """Do nothing: no state is kept for this connection."""


class ReleaseNotifier:
    """Tracks open client connections, and keeps releases until a connection can take them.

    ``open_requests`` holds, for each open connection, the ids of its requests that have no answer yet.
    """

    def __init__(self, loop: Loop, log: LogFunction) -> None:
        self.loop = loop
        self.log = log
        self.open_requests: dict[ClientConnection, set[int]] = {}
        self._placed_clients: dict[ClientConnection, None] = {}  # have had a task placed; latest last
        self._requesting_clients: dict[ClientConnection, None] = {}  # have requested a task; latest last
        self._pending: deque[PendingRelease] = deque()

    @property
    def pending(self) -> tuple[PendingRelease, ...]:
        """The releases that wait for a connection, oldest first."""
        return tuple(self._pending)

    def client_connected(self, client: ClientConnection) -> None:
        """Add a new client connection, and send it any pending releases that it can take."""
        self.open_requests.setdefault(client, set())
        self.send_pending()

    def client_disconnected(self, client: ClientConnection) -> list[int]:
        """Remove a closed client connection; return the ids of its open requests in ascending order."""
        self._placed_clients.pop(client, None)
        self._requesting_clients.pop(client, None)
        return sorted(self.open_requests.pop(client, ()))

    def request_received(self, client: ClientConnection) -> None:
        """Record that a client has requested a task."""
        self._mark_active(client, self._requesting_clients)

    def request_answered(self, client: ClientConnection, uid: int) -> None:
        """Record that a request is no longer open."""
        if (requests := self.open_requests.get(client)) is not None:
            requests.discard(uid)

    def task_placed(self, client: ClientConnection) -> None:
        """Record that a task was placed for a client."""
        self._mark_active(client, self._placed_clients)

    def notify(
        self,
        client: ClientConnection,
        uid: int,
        outcome: Outcome,
        reason: Reason,
        cause: FailureCause | None,
    ) -> None:
        """Send a release on the task's own connection, or keep it until another connection can take it."""
        if client in self.open_requests and client.is_connected:
            client.send_release(uid, outcome, reason, cause)
            return
        self._pending.append(PendingRelease(self.loop.now, client.peer, uid, outcome, reason, cause))
        self._drop_expired()
        self._schedule()

    def add_pending(self, peer: str, uid: int, outcome: Outcome, reason: Reason) -> None:
        """Take over a pending release from a predecessor."""
        self._pending.append(PendingRelease(self.loop.now, peer, uid, outcome, reason, None))
        self._schedule()

    def take_pending(self) -> tuple[PendingRelease, ...]:
        """Remove and return all pending releases, for the handover to a successor."""
        pending = self.pending
        self._pending.clear()
        return pending

    def send_pending(self) -> None:
        """Send the pending releases for which a connection is available now."""
        for _ in range(len(self._pending)):
            release = self._pending.popleft()
            any_client = self.loop.now >= release.since_us + ANY_CLIENT_AFTER_US
            client = self._find_recipient(release.peer, any_client)
            if client is not None:
                client.send_release(release.uid, release.outcome, release.reason, release.cause)
            else:
                self._pending.append(release)

    def _schedule(self) -> None:
        """Try to send pending releases now, and again when any trusted connection may take them."""
        self.send_pending()
        self.loop.call_later(ANY_CLIENT_AFTER_US, self.send_pending)

    def _drop_expired(self) -> None:
        while self._pending[0].since_us < self.loop.now - PENDING_TTL_US:
            release = self._pending.popleft()
            self.log(
                4,
                "release-dropped",
                {"uid": f"{release.uid:016x}"},
                "no client that could receive the release connected in time",
            )

    def _find_recipient(self, peer: str, any_client: bool) -> ClientConnection | None:
        """Return the connection that receives a release for the host ``peer``, or None.

        It is the latest connection from that host for which a task was placed. With ``any_client`` the host does not
        matter: it is the latest connection for which a task was placed, else the latest that requested a task, else
        the latest from the host ``peer``.

        Connections that never requested a task come last, because misbehaving clients on the same hosts open
        connections too, and a release that is sent to them is lost.
        """
        if not any_client:
            return _latest(self._placed_clients, peer)
        for clients in (self._placed_clients, self._requesting_clients):
            if (client := _latest(clients)) is not None:
                return client
        return _latest(self.open_requests, peer)

    def _mark_active(self, client: ClientConnection, clients: dict[ClientConnection, None]) -> None:
        """Move a connection to the end of a table, and send it any pending releases that it can take."""
        if client in self.open_requests and client.accepts_any_release:
            clients.pop(client, None)
            clients[client] = None
            self.send_pending()


def _latest(clients: dict[ClientConnection, Any], peer: str | None = None) -> ClientConnection | None:
    """Return the latest open connection that accepts any release, optionally only from one host, or None."""
    for client in reversed(clients):
        if client.accepts_any_release and client.is_connected and (peer is None or client.peer == peer):
            return client
    return None
