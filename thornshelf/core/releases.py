"""Sends releases: notifications to clients that a running task has ended.

Running tasks outlive connections, and a release is due within 1 s. It goes to the connection that requested the task,
otherwise to another connection of the owner: one from the same host on which a task of the same tenant was placed.
If the owner has none, the release is kept until it comes back. Meanwhile a copy is sent on the connection that most
likely belongs to the owner, but never on one that is known to belong to other tenants only.
"""

from __future__ import annotations

from collections.abc import Collection

from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.core.pending_releases import OwnerMatch, PendingRelease, PendingReleases
from thornshelf.core.ports import LogFunction
from thornshelf.core.task_release import Release, TaskOwner
from thornshelf.loop import Loop
from thornshelf.translation.failures import FailureCause, WireFormat

COPY_AFTER_US = 300_000  # wait for the owner's own connection before a copy is sent on another one
PENDING_TTL_US = 60_000_000  # pending releases are dropped after this time
MAX_PENDING_RELEASES = 16_384  # beyond it, the oldest is dropped


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

    def send_release(self, release: Release) -> None:
        """Do nothing: releases go to open connections, so this is never called."""

    def send_migrate(self, uid: int) -> None:
        """Discard the message."""

    def task_cancelled(self, uid: int) -> None:
        """Do nothing: no state is kept for this connection."""


class ReleaseNotifier:
    """Tracks open client connections, and keeps releases until their owners have received them.

    ``tenants`` are those that the settings define; owners are not distinguished by any other tenant.
    ``open_requests`` holds, for each open connection, the ids of its requests that have no answer yet.
    """

    def __init__(self, loop: Loop, log: LogFunction, tenants: Collection[str] = ()) -> None:
        self.loop = loop
        self.log = log
        self._tenants = frozenset(tenants)
        self.open_requests: dict[ClientConnection, set[int]] = {}
        # For each connection, the tenants for which a task was placed or requested on it; the latest connection last.
        self._placed_tenants: dict[ClientConnection, set[str | None]] = {}
        self._requesting_tenants: dict[ClientConnection, set[str | None]] = {}
        self._pending = PendingReleases()

    @property
    def pending(self) -> tuple[PendingRelease, ...]:
        """The releases that wait for their owners, oldest first."""
        return tuple(self._pending)

    def owner_of(self, client: ClientConnection, tenant: str | None) -> TaskOwner:
        """Return the owner of a task that was requested on this connection for this tenant."""
        return TaskOwner(client.peer, self._known_tenant(tenant))

    def client_connected(self, client: ClientConnection) -> None:
        """Add a new client connection, and send copies of releases for which no other connection is open."""
        self.open_requests.setdefault(client, set())
        for pending in self._pending.unsent_for_host(client.peer):
            self._offer(pending, client)

    def client_disconnected(self, client: ClientConnection) -> list[int]:
        """Remove a closed client connection; return the ids of its open requests in ascending order."""
        self._placed_tenants.pop(client, None)
        self._requesting_tenants.pop(client, None)
        return sorted(self.open_requests.pop(client, ()))

    def request_received(self, client: ClientConnection, tenant: str | None) -> None:
        """Record that a client has requested a task for a tenant."""
        self._add_tenant(self._requesting_tenants, client, tenant)

    def request_answered(self, client: ClientConnection, uid: int) -> None:
        """Record that a request is no longer open."""
        if (requests := self.open_requests.get(client)) is not None:
            requests.discard(uid)

    def task_placed(self, client: ClientConnection, tenant: str | None) -> None:
        """Record that a task was placed for a client and its tenant."""
        self._add_tenant(self._placed_tenants, client, tenant)

    def notify(self, client: ClientConnection, release: Release) -> None:
        """Send a release on the task's own connection, or keep it until its owner can receive it."""
        if client in self.open_requests and client.is_connected:
            client.send_release(release)
        else:
            self.add_pending(release)

    def add_pending(self, release: Release) -> None:
        """Keep a release until its owner can receive it."""
        pending = PendingRelease(release, self.loop.now)
        if (owner := self._latest_client(pending, OwnerMatch.OWNER_PLACED)) is not None:
            owner.send_release(release)
            return
        self._pending.add(pending)
        self._drop_expired()
        self.loop.call_later(COPY_AFTER_US, lambda: self._send_copy(pending))

    def claim(self, client: ClientConnection, tenant: str | None, uid: int) -> bool:
        """Send the pending release of a task that its owner names; return whether there was one."""
        pending = self._pending.find(self.owner_of(client, tenant), uid)
        if pending is None:
            return False
        self._pending.remove(pending)
        if pending.sent_to is not client:
            client.send_release(pending.release)
        return True

    def take_pending(self) -> tuple[PendingRelease, ...]:
        """Remove and return all pending releases, for the handover to a successor."""
        pending = self.pending
        self._pending = PendingReleases()
        return pending

    def _add_tenant(
        self, tenants: dict[ClientConnection, set[str | None]], client: ClientConnection, tenant: str | None
    ) -> None:
        """Move a connection to the end of a table; if the tenant is new there, offer it the tenant's releases."""
        if client not in self.open_requests or not client.accepts_any_release:
            return
        tenant = self._known_tenant(tenant)
        known = tenants.pop(client, set())
        tenants[client] = known
        if tenant in known:
            return
        known.add(tenant)
        for pending in self._pending.of_owner(TaskOwner(client.peer, tenant)):
            self._offer(pending, client)
        for pending in self._pending.unsent_for_tenant(tenant):
            self._offer(pending, client)

    def _known_tenant(self, tenant: str | None) -> str | None:
        return tenant if tenant in self._tenants else None

    def _send_copy(self, pending: PendingRelease) -> None:
        """Send a release that still waits on the connection that most likely belongs to its owner."""
        if pending not in self._pending or pending.match is not OwnerMatch.NONE:
            return
        for match in sorted(OwnerMatch, reverse=True):
            if match is not OwnerMatch.NONE and (client := self._latest_client(pending, match)) is not None:
                self._offer(pending, client)
                return

    def _offer(self, pending: PendingRelease, client: ClientConnection) -> None:
        """Send a release on a connection that more likely belongs to its owner than those it was sent on before."""
        match = self._match(pending, client)
        is_owner = match is OwnerMatch.OWNER_PLACED
        is_due = self.loop.now >= pending.since_us + COPY_AFTER_US
        if not is_owner and (match <= pending.match or not is_due):
            return
        was_sent_here = pending.sent_to is client
        if is_owner:
            self._pending.remove(pending)
        else:
            self._pending.record_sent(pending, client, match)
        if not was_sent_here:
            client.send_release(pending.release)

    def _match(self, pending: PendingRelease, client: ClientConnection) -> OwnerMatch:
        """Return how surely a connection belongs to the owner of a pending release."""
        if not client.accepts_any_release or not client.is_connected:
            return OwnerMatch.NONE
        owner = pending.release.owner
        same_host = client.peer == owner.host
        if owner.tenant in self._placed_tenants.get(client, ()):
            return OwnerMatch.OWNER_PLACED if same_host else OwnerMatch.TENANT_PLACED
        requested = self._requesting_tenants.get(client, ())
        if owner.tenant in requested:
            return OwnerMatch.OWNER_REQUESTED if same_host else OwnerMatch.TENANT_REQUESTED
        return OwnerMatch.SAME_HOST if same_host and not requested else OwnerMatch.NONE

    def _latest_client(self, pending: PendingRelease, match: OwnerMatch) -> ClientConnection | None:
        """Return the latest connection that matches the owner of a release to this degree, or None."""
        clients: dict[ClientConnection, set[int]] | dict[ClientConnection, set[str | None]]
        clients = self.open_requests if match is OwnerMatch.SAME_HOST else self._requesting_tenants
        matching = (client for client in reversed(clients) if self._match(pending, client) is match)
        return next(matching, None)

    def _drop_expired(self) -> None:
        """Drop releases that have waited too long, and while too many are left, those of the owner with the most."""
        expired_us = self.loop.now - PENDING_TTL_US
        while (oldest := self._pending.oldest) is not None and oldest.since_us < expired_us:
            self._drop(oldest)
        while len(self._pending) > MAX_PENDING_RELEASES:
            if (excess := self._pending.oldest_of_largest_owner) is not None:
                self._drop(excess)

    def _drop(self, pending: PendingRelease) -> None:
        self._pending.remove(pending)
        if pending.match is OwnerMatch.NONE:
            values: dict[str, object] = {"uid": f"{pending.release.uid:016x}"}
            text = "no client that could receive the release connected in time"
            self.log(4, "release-dropped", values, text)
