"""Releases that their owners have not received, found by owner, by host and by tenant."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from enum import IntEnum

from thornshelf.core.client_connection import ClientConnection
from thornshelf.core.task_release import Release, TaskOwner


class OwnerMatch(IntEnum):
    """How surely a connection belongs to the owner of a task, in ascending order.

    Clients do not identify themselves. A connection's host is known, and the tenants of the requests on it.
    """

    NONE = 0
    SAME_HOST = 1  # nothing was requested on it, so its tenant is not known
    TENANT_REQUESTED = 2
    TENANT_PLACED = 3
    OWNER_REQUESTED = 4  # same host and tenant
    OWNER_PLACED = 5


class PendingRelease:
    """A release that has waited for its owner since ``since_us``.

    ``match`` tells which kind of connection it was sent on so far, and ``sent_to`` is the latest of them.
    """

    __slots__ = ("match", "release", "sent_to", "since_us")

    def __init__(self, release: Release, since_us: int) -> None:
        self.release = release
        self.since_us = since_us
        self.match = OwnerMatch.NONE
        self.sent_to: ClientConnection | None = None


_Key = tuple[TaskOwner, int]
_Entries = dict[_Key, PendingRelease]


class PendingReleases:
    """All pending releases, oldest first. At most one is kept for each owner and task id."""

    def __init__(self) -> None:
        self._entries: _Entries = {}
        self._by_owner: dict[Hashable, _Entries] = {}
        self._unsent_by_host: dict[Hashable, _Entries] = {}
        self._unsent_by_tenant: dict[Hashable, _Entries] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[PendingRelease]:
        return iter(self._entries.values())

    def __contains__(self, pending: object) -> bool:
        return isinstance(pending, PendingRelease) and self._entries.get(_key(pending)) is pending

    @property
    def oldest(self) -> PendingRelease | None:
        """The release that has waited longest, or None."""
        return next(iter(self._entries.values()), None)

    def add(self, pending: PendingRelease) -> None:
        """Add a release as the newest; it replaces the one of the same owner and task id."""
        if (known := self._entries.get(_key(pending))) is not None:
            self.remove(known)
        self._entries[_key(pending)] = pending
        _insert(self._by_owner, pending.release.owner, pending)
        _insert(self._unsent_by_host, pending.release.owner.host, pending)
        _insert(self._unsent_by_tenant, pending.release.owner.tenant, pending)

    def remove(self, pending: PendingRelease) -> None:
        """Remove a release."""
        del self._entries[_key(pending)]
        _delete(self._by_owner, pending.release.owner, pending)
        self._mark_sent(pending)

    def record_sent(self, pending: PendingRelease, client: ClientConnection, match: OwnerMatch) -> None:
        """Record that a release was sent on a connection that may not be its owner's."""
        pending.match = match
        pending.sent_to = client
        self._mark_sent(pending)

    @property
    def oldest_of_largest_owner(self) -> PendingRelease | None:
        """The oldest release of the owner that has most of them, or None."""
        largest = max(self._by_owner.values(), key=len, default=None)
        return None if largest is None else next(iter(largest.values()))

    def of_owner(self, owner: TaskOwner) -> list[PendingRelease]:
        """Return the releases for an owner."""
        return list(self._by_owner.get(owner, {}).values())

    def unsent_for_host(self, host: str) -> list[PendingRelease]:
        """Return the releases for owners on a host that were not sent on any connection."""
        return list(self._unsent_by_host.get(host, {}).values())

    def unsent_for_tenant(self, tenant: str | None) -> list[PendingRelease]:
        """Return the releases for owners of a tenant that were not sent on any connection."""
        return list(self._unsent_by_tenant.get(tenant, {}).values())

    def find(self, owner: TaskOwner, uid: int) -> PendingRelease | None:
        """Return the release of a task for this owner, or None."""
        return self._entries.get((owner, uid))

    def _mark_sent(self, pending: PendingRelease) -> None:
        _delete(self._unsent_by_host, pending.release.owner.host, pending)
        _delete(self._unsent_by_tenant, pending.release.owner.tenant, pending)


def _key(pending: PendingRelease) -> _Key:
    return pending.release.owner, pending.release.uid


def _insert(index: dict[Hashable, _Entries], name: Hashable, pending: PendingRelease) -> None:
    index.setdefault(name, {})[_key(pending)] = pending


def _delete(index: dict[Hashable, _Entries], name: Hashable, pending: PendingRelease) -> None:
    entries = index.get(name)
    if entries is None:
        return
    entries.pop(_key(pending), None)
    if not entries:
        del index[name]
