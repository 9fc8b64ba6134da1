"""A release reaches the owner of the task, whose connection has closed, and never a client of another tenant."""

from __future__ import annotations

from typing import Any

import pytest

from thornshelf.core import Release, TaskFinished, TaskOwner, releases
from thornshelf.core.state_transfer import export_state, import_record
from thornshelf.lab.fakes.cluster import BINARY, GRPC, GRPC2, JSON, FakeCluster, NodeBehavior
from thornshelf.placement import Outcome, Reason

FRONTS = pytest.mark.parametrize("front", [JSON, GRPC, GRPC2])
OTHER_TENANT = "pruett-county"
COPY_WAIT_MS = 400  # longer than a release waits before a copy is sent


def cluster_with_other_tenant(front: str) -> tuple[FakeCluster, Any]:
    """A cluster, and a client of another tenant on the same host with a placed task."""
    cluster = FakeCluster(front, BINARY)
    other = cluster.connect_client(front)
    other.send_request(6, NodeBehavior.RUN, tenant=OTHER_TENANT)
    cluster.run_until(lambda: 6 in other.events)
    return cluster, other


def place(cluster: FakeCluster, client: Any, uid: int, **changes: Any) -> None:
    client.send_request(uid, NodeBehavior.RUN, **changes)
    cluster.run_until(lambda: uid in client.events)


def end_without_owner(cluster: FakeCluster, uid: int) -> None:
    """Close the owner's connection, and report the end of its task."""
    core = cluster.service.core
    cluster.client.stream.close()
    cluster.run_until(lambda: not core.tasks_by_uid[uid].has_connected_client)
    core.inbox.append(TaskFinished(core.tasks_by_uid[uid].machine, uid, Outcome.OK))
    cluster.run_for(COPY_WAIT_MS)


@FRONTS
@pytest.mark.parametrize("end", ["reported", "concluded"])
def test_a_release_waits_for_its_owner_and_is_not_sent_to_another_tenant(front: str, end: str) -> None:
    """Guards against a release that is sent to another tenant's client while the owner is away, and lost."""
    cluster, other = cluster_with_other_tenant(front)
    place(cluster, cluster.client, 5)
    if end == "reported":
        end_without_owner(cluster, 5)
    else:  # a refused connect proves the node's process dead
        cluster.client.stream.close()
        cluster.run_for(20)
        core = cluster.service.core
        cluster.nodes[core.tasks_by_uid[5].machine - 1].crash()
        cluster.run_until(lambda: 5 not in core.tasks_by_uid)
        cluster.run_for(COPY_WAIT_MS)
    assert 5 not in other.events
    returned = cluster.connect_client(front)
    place(cluster, returned, 7)
    cluster.run_until(lambda: 5 in returned.events)
    cluster.run_for(COPY_WAIT_MS)
    assert len(returned.events[5]) == 1
    assert 5 not in other.events
    assert not cluster.service.core.releases.pending


@FRONTS
def test_the_release_of_a_handed_over_task_waits_for_its_owner(front: str) -> None:
    """Guards against a release of a task with ``at`` that is sent to another tenant's client."""
    cluster, other = cluster_with_other_tenant(front)
    cluster.client.send_request(5, NodeBehavior.RUN, at="s-00000001")
    cluster.run_until(lambda: 5 in cluster.service.core.tasks_by_uid)
    end_without_owner(cluster, 5)
    returned = cluster.connect_client(front)
    place(cluster, returned, 7)
    cluster.run_until(lambda: 5 in returned.events)
    assert 5 not in other.events


@FRONTS
@pytest.mark.parametrize("ends_before_transfer", [True, False])
def test_a_successor_keeps_a_release_for_its_owner(front: str, ends_before_transfer: bool) -> None:
    """Guards against a release that a restart of the dispatcher (SIGUSR2) diverts to another tenant's client."""
    predecessor = FakeCluster(front, BINARY)
    place(predecessor, predecessor.client, 5)
    if ends_before_transfer:
        end_without_owner(predecessor, 5)
    records = export_state(predecessor.service.core)
    cluster, other = cluster_with_other_tenant(front)
    core = cluster.service.core
    assert all(import_record(core, record) for record in records)
    if not ends_before_transfer:
        core.inbox.append(TaskFinished(core.tasks_by_uid[5].machine, 5, Outcome.OK))
    cluster.run_until(lambda: len(core.releases.pending) == 1)
    cluster.run_for(COPY_WAIT_MS)
    place(cluster, cluster.client, 7)
    cluster.run_until(lambda: 5 in cluster.client.events)
    assert 5 not in other.events


@FRONTS
def test_an_owner_that_hands_over_an_ended_task_gets_its_pending_release(front: str) -> None:
    """Guards against adopting a task again whose release is pending: it would count as running for ever."""
    cluster, _ = cluster_with_other_tenant(front)
    place(cluster, cluster.client, 5)
    end_without_owner(cluster, 5)
    returned = cluster.connect_client(front)
    returned.send_request(5, NodeBehavior.RUN, at="s-00000001")
    cluster.run_until(lambda: 5 in returned.events)
    assert 5 not in cluster.service.core.tasks_by_uid


@FRONTS
def test_another_tenant_on_the_owners_host_cannot_take_over_its_task(front: str) -> None:
    """Guards against a client of another tenant that names a task whose owner is away, and gets its release."""
    cluster, other = cluster_with_other_tenant(front)
    place(cluster, cluster.client, 5)
    machine = cluster.service.core.tasks_by_uid[5].machine
    cluster.client.stream.close()
    cluster.run_for(20)
    other.send_request(5, NodeBehavior.RUN, tenant=OTHER_TENANT, at=f"s-{machine:08x}")
    place(cluster, other, 8, tenant=OTHER_TENANT)
    cluster.service.core.inbox.append(TaskFinished(machine, 5, Outcome.OK))
    cluster.run_for(COPY_WAIT_MS)
    assert 5 not in other.events


class HostClient:
    """A client connection from a given host that records the releases it gets."""

    accepts_any_release = is_connected = True

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.released: list[int] = []

    def send_release(self, release: Release) -> None:
        self.released.append(release.uid)


def test_an_owner_gets_its_release_though_a_copy_went_to_another_host_of_its_tenant() -> None:
    """Guards against a release that stays with the owner for ever, and against one that a copy replaces."""
    cluster = FakeCluster()
    notifier = cluster.service.core.releases
    away, colleague, owner = (HostClient(f"127.0.0.{host}") for host in (2, 3, 2))
    clients: Any = (away, colleague, owner)
    notifier.client_connected(clients[1])
    notifier.request_received(clients[1], "hollis-county")
    release = Release(5, TaskOwner("127.0.0.2", "hollis-county"), Outcome.OK, Reason.UNSPECIFIED)
    notifier.notify(clients[0], release)
    cluster.run_for(COPY_WAIT_MS)
    assert colleague.released == [5]
    notifier.client_connected(clients[2])
    notifier.request_received(clients[2], "hollis-county")
    notifier.task_placed(clients[2], "hollis-county")
    assert owner.released == [5]
    assert not notifier.pending


def test_the_number_of_pending_releases_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with the releases of owners that never come back."""
    monkeypatch.setattr(releases, "MAX_PENDING_RELEASES", 3)
    cluster = FakeCluster()
    notifier = cluster.service.core.releases
    for uid in range(1, 6):
        owner = TaskOwner("127.0.0.9", "hollis-county")
        notifier.add_pending(Release(uid, owner, Outcome.OK, Reason.UNSPECIFIED))
    assert [pending.release.uid for pending in notifier.pending] == [3, 4, 5]
