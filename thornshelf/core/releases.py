"""Whom to tell that a task is over: standing tasks outlive connections, and their release is owed within 1 s."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any

from thornshelf.core.messages import AnswerMetadata
from thornshelf.core.ports import ClientConnection, LogFunction
from thornshelf.loop import Loop
from thornshelf.placement.interface import Outcome, Reason
from thornshelf.translation.failures import FailureCause, WireFormat

ANY_CLIENT_AFTER_US = 300_000  # a release waits so long for its own client before any open connection will do
PENDING_TTL_US = 60_000_000  # and is kept no longer than this where no client comes

PendingRelease = tuple[int, str, int, Outcome, Reason, FailureCause | None]


class DisconnectedClient:
    """The owner of a task that was handed over by a predecessor: only its host is known."""

    is_connected = accepts_any_release = False
    wire_form = WireFormat.JSON_LINES

    def __init__(self, peer: str) -> None:
        self.peer = peer

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """Nobody is there to hear it."""

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Likewise."""

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Likewise."""

    def awaits_answer(self, uid: int) -> bool:
        """Likewise."""
        return False

    def reject_duplicate(self, uid: int) -> None:
        """Likewise."""

    def send_release(
        self, uid: int, outcome: Outcome, reason: Reason, detail: FailureCause | None = None
    ) -> None:
        """Not reached: releases go to those that are there."""

    def send_migrate(self, uid: int) -> None:
        """Likewise."""

    def task_cancelled(self, uid: int) -> None:
        """Likewise."""


class ReleaseNotifier:
    """The owners' open connections, with their open set-ups, and the releases that found none."""

    def __init__(self, loop: Loop, log: LogFunction) -> None:
        self.loop, self.log = loop, log
        self.open_requests: dict[ClientConnection, set[int]] = {}  # their open set-ups
        self._placed_clients: dict[
            ClientConnection, None
        ] = {}  # those that a task was placed for, the latest last
        self._requesting_clients: dict[ClientConnection, None] = {}  # those that asked for one, likewise
        self._pending: deque[PendingRelease] = deque()

    @property
    def pending(self) -> tuple[PendingRelease, ...]:
        """The releases that wait for a connection, each since when."""
        return tuple(self._pending)

    def client_connected(self, client: ClientConnection) -> None:
        """A client's connection is open."""
        self.open_requests.setdefault(client, set())
        self.send_pending()

    def client_disconnected(self, client: ClientConnection) -> list[int]:
        """It is closed; its open set-ups, in a fixed order."""
        self._placed_clients.pop(client, None)
        self._requesting_clients.pop(client, None)
        return sorted(self.open_requests.pop(client, ()))

    def request_received(self, client: ClientConnection) -> None:
        """It has asked for a task."""
        self._mark_active(client, self._requesting_clients)

    def request_answered(self, client: ClientConnection, uid: int) -> None:
        """A set-up of it is open no more."""
        if (mine := self.open_requests.get(client)) is not None:
            mine.discard(uid)

    def task_placed(self, client: ClientConnection) -> None:
        """A task was placed for it."""
        self._mark_active(client, self._placed_clients)

    def notify(
        self, client: ClientConnection, uid: int, outcome: Outcome, reason: Reason, why: FailureCause | None
    ) -> None:
        """Send a release on the task's own connection, else on another of that client, else keep it."""
        if client in self.open_requests and client.is_connected:
            client.send_release(uid, outcome, reason, why)
            return
        # Standing tasks outlive connections: the release goes to another of the client's, or, as it is owed
        # within a second, soon to any that can be trusted with it.
        self._pending.append((self.loop.now, client.peer, uid, outcome, reason, why))
        while self._pending[0][0] < self.loop.now - PENDING_TTL_US:
            dropped = self._pending.popleft()[2]
            self.log(4, "release-dropped", {"uid": f"{dropped:016x}"}, "no client came for it")
        self.send_pending()
        self.loop.after(ANY_CLIENT_AFTER_US, self.send_pending)

    def export_pending(self) -> list[dict[str, object]]:
        """The releases that are owed, for a successor."""
        found: list[dict[str, object]] = [
            {"owed": uid, "peer": peer, "outcome": outcome.value, "reason": reason.value}
            for _, peer, uid, outcome, reason, _ in self._pending
        ]
        self._pending.clear()
        return found

    def import_pending(self, value: Mapping[str, Any]) -> bool:
        """A release that a predecessor owed."""
        try:
            uid, outcome, reason = int(value["owed"]), Outcome(value["outcome"]), Reason(value["reason"])
            self._pending.append((self.loop.now, str(value["peer"]), uid, outcome, reason, None))
        except (KeyError, TypeError, ValueError):
            return False
        self.send_pending()
        self.loop.after(ANY_CLIENT_AFTER_US, self.send_pending)
        return True

    def send_pending(self) -> None:
        """Send the releases that waited for a connection."""
        for _ in range(len(self._pending)):
            at, peer, uid, outcome, reason, why = self._pending.popleft()
            owner = self._recipient(peer, self.loop.now >= at + ANY_CLIENT_AFTER_US)
            if owner is not None:
                owner.send_release(uid, outcome, reason, why)
            else:
                self._pending.append((at, peer, uid, outcome, reason, why))

    def _recipient(self, peer: str, anyone: bool) -> ClientConnection | None:
        """Whom to tell a release: one that a task was placed for lately, else one that has asked for any.

        Guards against strangers: bad clients open connections from the same hosts and ask for nothing of use,
        and what they are told is lost. One of the same host gets it only where there is nobody else.
        """
        tables: tuple[tuple[dict[ClientConnection, Any], bool], ...] = ((self._placed_clients, False),)
        if anyone:
            tables = (
                (self._placed_clients, True),
                (self._requesting_clients, True),
                (self.open_requests, False),
            )
        for table, any_peer in tables:
            for owner in reversed(table):
                if owner.accepts_any_release and owner.is_connected and (any_peer or owner.peer == peer):
                    return owner
        return None

    def _mark_active(self, owner: ClientConnection, table: dict[ClientConnection, None]) -> None:
        """An owner's set-up was taken, or placed: the latest is the last of its table."""
        if owner in self.open_requests and owner.accepts_any_release:
            table.pop(owner, None)
            table[owner] = None
            self.send_pending()
