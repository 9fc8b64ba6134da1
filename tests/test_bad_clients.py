"""Clients that send invalid input or nothing: they get an answer or are disconnected, without affecting others."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Sized
from typing import Any

import pytest

from thornshelf.core import Release, TaskFinished, TaskOwner, deadlines, releases, running_tasks
from thornshelf.frontends import grpc as grpc_front
from thornshelf.frontends import json_lines
from thornshelf.lab.fakes.cluster import (
    BINARY,
    DESCRIPTION,
    GRPC,
    HOST,
    JSON,
    TIMEOUT_S,
    FakeCluster,
    NodeBehavior,
)
from thornshelf.placement import Outcome, Reason
from thornshelf.wire import grpc, jsonl

PLACED, FAILED = ("placed", DESCRIPTION), ("failed", None)
FRONTS = pytest.mark.parametrize("front", [JSON, GRPC])


def shorten_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sets the timeouts for messages of clients to 50 ms."""
    for front in (json_lines, grpc_front):
        monkeypatch.setattr(front, "FIRST_MESSAGE_TIMEOUT_US", 50_000)
        monkeypatch.setattr(front, "MESSAGE_TIMEOUT_US", 50_000)


def connect_raw(cluster: FakeCluster, front: str, host: str = HOST) -> socket.socket:
    """A connection from the address ``host`` that has sent nothing."""
    address = cluster.service.frontends[front == GRPC].listener.address
    sock = socket.create_connection(address, timeout=TIMEOUT_S, source_address=(host, 0))
    sock.setblocking(False)
    return sock


def read_all(cluster: FakeCluster, sock: socket.socket) -> bytes:
    """All data until the connection is closed; closes the socket."""
    received, ended = b"", False
    limit = time.monotonic() + TIMEOUT_S
    while not ended:
        assert time.monotonic() < limit
        cluster.run_for(1)
        try:
            data = sock.recv(1 << 16)
            received, ended = received + data, not data
        except BlockingIOError:
            pass
        except ConnectionResetError:
            ended = True
    sock.close()
    return received


@FRONTS
def test_a_connection_without_a_message_is_closed_and_one_that_was_used_may_be_idle(
    front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten_timeouts(monkeypatch)
    cluster = FakeCluster(front)
    cluster.client.send_request(5, NodeBehavior.END)
    cluster.wait_for_events(5, 2)
    silent = connect_raw(cluster, front)
    read_all(cluster, silent)
    cluster.run_for(150)
    cluster.client.send_request(6, NodeBehavior.RUN)
    assert cluster.wait_for_events(6) == [PLACED]
    assert not cluster.client.closed


@FRONTS
def test_an_incomplete_message_closes_its_connection(front: str, monkeypatch: pytest.MonkeyPatch) -> None:
    shorten_timeouts(monkeypatch)
    cluster = FakeCluster(front, node_count=1)
    other = cluster.connect_client(front)
    for client, uid in ((cluster.client, 5), (other, 6)):
        client.send_request(uid, NodeBehavior.IGNORE)
        cluster.run_until(lambda uid=uid: cluster.offer_count(uid) == 1)  # type: ignore[misc]
    cluster.client.stream.send(b'{"kind":"stop"' if front == JSON else b"\0\0\x20\0\0\0\0\0\x01half")
    cluster.run_until(lambda: cluster.client.closed)
    cluster.run_until(
        lambda: ("release", 5) in cluster.nodes[0].received_kinds
    )  # its open request is cancelled
    cluster.run_for(100)
    assert not other.closed
    assert ("release", 6) not in cluster.nodes[0].received_kinds


def test_a_malformed_line_is_answered_even_without_a_known_id() -> None:
    cluster = FakeCluster()
    for line in (b"no json\n", b'{"kind":"launch","meta":{}}\n', b"\xff\xfe\n"):
        cluster.client.send(line)
    answers: list[Any] = cluster.wait_for_events(jsonl.UNKNOWN_UID, 3)
    assert answers == [FAILED] * 3


@FRONTS
def test_two_requests_with_one_id_end_their_connection_or_stream(front: str) -> None:
    """Guards against a second answer, which the client could not match to a request."""
    cluster = FakeCluster(front, node_count=1)
    for _ in range(3):
        cluster.client.send_request(5, NodeBehavior.RUN)
    if front == JSON:
        cluster.run_until(lambda: cluster.client.closed)
    else:
        cluster.run_until(lambda: cluster.client.stream_id in cluster.client.status)
        assert cluster.client.status[cluster.client.stream_id]["grpc-status"] == str(grpc.INVALID_ARGUMENT)
    cluster.run_until(
        lambda: 5 not in cluster.service.core.tasks_by_uid or ("offer", 5) in cluster.nodes[0].received_kinds
    )
    assert len(cluster.client.events.get(5, [])) <= 1
    assert cluster.service.core.open_count == 0


@FRONTS
def test_an_id_in_use_on_another_connection_fails_only_the_second_request(front: str) -> None:
    cluster = FakeCluster(front)
    other = cluster.connect_client(front)
    cluster.client.send_request(5, NodeBehavior.IGNORE, left="400")
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    other.send_request(5, NodeBehavior.RUN)
    cluster.run_until(lambda: 5 in other.events)
    assert other.events == {5: [FAILED]}
    assert cluster.client.events == {}
    assert cluster.wait_for_events(5) == [FAILED]
    assert cluster.offer_count(5) == 1


@FRONTS
@pytest.mark.parametrize("change", [{"tenant": "nobody"}, {"left": "1e300"}, {"left": "-1"}])
def test_an_invalid_request_is_answered_and_leaves_no_state(front: str, change: dict[str, str]) -> None:
    cluster = FakeCluster(front)
    cluster.client.send_request(5, NodeBehavior.RUN, **change)
    assert cluster.wait_for_events(5) == [FAILED]
    assert cluster.offer_count(5) == 0
    assert not cluster.service.core.tasks_by_uid
    assert not cluster.service.core.placer.accounting.cores_by_tenant


@FRONTS
def test_a_request_deadline_is_limited_by_that_of_its_class(front: str) -> None:
    """Guards against timers and tasks that are kept for days because a client asked for it."""
    cluster = FakeCluster(front)
    cluster.client.send_request(5, NodeBehavior.IGNORE, left="999999999")
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    core = cluster.service.core
    max_wait_s = deadlines.MAX_DEADLINE_FACTOR * core.task_classes["lookup"].deadline_s
    assert core.tasks_by_uid[5].request.deadline_us <= cluster.loop.now + max_wait_s * 1e6


@FRONTS
def test_a_flood_on_one_connection_leaves_time_for_others(front: str) -> None:
    cluster = FakeCluster(front)
    other = cluster.connect_client(front)
    for uid in range(100, 1100):
        cluster.client.send_request(uid, NodeBehavior.RUN, "no-such-class")
    other.send_request(5, NodeBehavior.RUN)
    max_per_turn = 0
    while 5 not in other.events:
        before = len(cluster.logged)
        cluster.loop.turn()
        max_per_turn = max(max_per_turn, len(cluster.logged) - before)
    assert max_per_turn <= 64
    assert len(cluster.logged) < 1000
    cluster.run_until(lambda: len(cluster.client.events) == 1000)


def test_releases_are_sent_only_to_connections_that_requested_tasks() -> None:
    """Guards against losing a release by sending it to the newest connection, which never requested a task."""
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    # One of the idle connections comes from the client's own host.
    requester, silent = connect_raw(cluster, JSON, "127.0.0.2"), connect_raw(cluster, JSON, "127.0.0.1")
    meta = {"class": "lookup", "left": 8000, "tenant": "hollis-county", "extras": "cores:1;memory:2"}
    line = {"kind": "launch", "uid": f"{6:016x}", "meta": meta, "body": NodeBehavior.RUN.value.decode()}
    requester.sendall(json.dumps(line).encode() + b"\n")
    cluster.run_until(lambda: 6 in cluster.nodes[0].running)
    late = connect_raw(cluster, JSON, "127.0.0.4")
    cluster.client.stream.close()
    cluster.run_for(10)
    cluster.nodes[0].crash()
    limit, received = time.monotonic() + TIMEOUT_S, b""
    while received.count(b'"stop"') < 2 and time.monotonic() < limit:
        cluster.run_for(20)
        try:
            received += requester.recv(1 << 16)
        except BlockingIOError:
            continue
    assert f'"uid":"{5:016x}"'.encode() in received
    assert f'"uid":"{6:016x}"'.encode() in received
    for sock in (silent, late):
        with pytest.raises(BlockingIOError):
            sock.recv(100)
    for sock in (requester, silent, late):
        sock.close()


@FRONTS
def test_connections_without_a_message_are_evicted_first(front: str) -> None:
    cluster = FakeCluster(front, BINARY)
    cluster.client.send_request(5, NodeBehavior.RUN if front == JSON else NodeBehavior.END)
    cluster.wait_for_events(5)
    if front == GRPC:  # an open call would keep the connection from being idle
        cluster.client.h2.finish(cluster.client.stream_id, [])
        cluster.run_until(lambda: cluster.client.stream_id in cluster.client.status)
    silent = connect_raw(cluster, front)
    cluster.run_until(lambda: cluster.service.connection_budget.client_count == 2)
    cluster.service.connection_budget.total = cluster.service.connection_budget.client_floor = 2
    cluster.connect_client(front)
    read_all(cluster, silent)
    assert not cluster.client.closed


@FRONTS
def test_many_connections_in_one_turn_stay_within_the_budget(front: str) -> None:
    """Guards against counting the eviction of a connection that is closed already, which would exceed the budget."""
    cluster = FakeCluster(front)
    budget = cluster.service.connection_budget
    budget.total = budget.client_floor = 10
    socks = [connect_raw(cluster, front) for _ in range(50)]
    peak, frontend = 0, cluster.service.frontends[front == GRPC]
    while budget.client_count < 10 or any(sock.fileno() < 0 for sock in socks):
        cluster.loop.turn()
    for _ in range(20):
        cluster.loop.call_later(1000, lambda: None)
        cluster.loop.turn()
        clients: Any = frontend._idle_evictor._clients
        peak = max(peak, sum(client.stream.open for client in clients))
    assert peak <= 11  # one connection is accepted before another is evicted
    for sock in socks:
        sock.close()


@FRONTS
def test_a_task_ended_on_another_connection_is_removed_from_its_own(front: str) -> None:
    """Guards against a table of running tasks that grows as long as the connection is open."""
    cluster = FakeCluster(front)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    owner: Any = cluster.service.core.tasks_by_uid[5].subscribers[5]
    assert owner.running == {5}
    cluster.connect_client(front).cancel(5)
    cluster.run_until(lambda: 5 not in cluster.service.core.tasks_by_uid)
    assert not owner.running
    assert cluster.client.events[5] == [PLACED]


def test_releases_buffered_when_a_stream_ends_are_not_sent_twice() -> None:
    """Guards against treating a release that is still buffered when its call ends as not sent."""
    cluster = FakeCluster(GRPC)
    core = cluster.service.core
    for uid in (5, 6):
        cluster.client.send_request(uid, NodeBehavior.RUN)
        cluster.wait_for_events(uid)
    cluster.client.h2.finish(cluster.client.stream_id, [])
    cluster.run_for(10)
    core.inbox.extend(TaskFinished(core.tasks_by_uid[uid].machine, uid, Outcome.OK) for uid in (5, 6))
    cluster.run_until(lambda: cluster.client.stream_id in cluster.client.status)
    assert [len(cluster.client.events[uid]) for uid in (5, 6)] == [2, 2]
    assert core.counters["released"] == 2
    assert not core.releases._pending


def test_pending_releases_expire_if_no_client_connects(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(releases, "PENDING_TTL_US", 20_000)
    cluster = FakeCluster(node_count=1)
    for uid in (5, 6):
        cluster.client.send_request(uid, NodeBehavior.RUN)
        cluster.wait_for_events(uid)
    core = cluster.service.core
    owner = core.tasks_by_uid[5].subscribers[5]
    cluster.client.stream.close()
    cluster.run_for(10)
    for uid in (5, 6):
        cluster.run_for(40)
        release = Release(uid, TaskOwner(owner.peer, None), Outcome.OK, Reason.UNSPECIFIED)
        core.answers.send_release(owner, release)
    assert [pending.release.uid for pending in core.releases.pending] == [6]
    assert cluster.logged[-1][1] == "release-dropped"


def test_a_connection_is_not_evicted_while_its_release_is_in_transit() -> None:
    cluster = FakeCluster()
    cluster.client.send_request(5, NodeBehavior.END)
    cluster.wait_for_events(5, 2)
    (connection,) = cluster.service.json_frontend._connections
    connection.stream.last_send_us = cluster.loop.now
    assert not cluster.service.json_frontend.evict_idle()
    connection.stream.last_send_us = 0
    assert cluster.service.json_frontend.evict_idle()


@FRONTS
def test_no_state_is_kept_of_disconnected_clients_and_removed_nodes(
    front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(running_tasks, "UNKNOWN_NODE_TIMEOUT_US", 100_000)
    cluster = FakeCluster(front, node_count=1)
    core = cluster.service.core
    for uid in range(1, 30):
        name = f"s-{uid + 100:08x}"
        cluster.update_endpoint(cluster.endpoint(0) | {"instanceId": name})
        client = cluster.connect_client(front)
        client.send_request(uid, NodeBehavior.RUN, at="s-0000ffff") if uid % 2 else client.send_request(
            uid, NodeBehavior.RUN
        )
        cluster.run_until(lambda uid=uid: uid in core.tasks_by_uid)  # type: ignore[misc]
        client.cancel(uid)
        client.stream.flush()
        client.stream.close()
        cluster.update_endpoint(cluster.endpoint(0) | {"instanceId": name, "lifecycle": "terminated"})
    cluster.update_lifecycle(0, "terminated")
    cluster.run_until(lambda: not core.tasks_by_uid and len(core.releases.open_requests) == 1)
    cluster.run_for(150)
    endpoints, release_queue = core.endpoints, core.releases
    tables: tuple[Sized, ...] = (
        core.tasks_by_uid,
        core.tasks_by_number,
        endpoints._machine_by_name,
        endpoints.entries,
        endpoints.nodes,
    )
    tables += (release_queue._placed_tenants, release_queue._requesting_tenants, release_queue._pending)
    assert [len(table) for table in tables] == [0] * len(tables)
    assert cluster.service.connection_budget.client_count == 1
    assert not core.placer.requests
    assert not any(m.tasks_by_service for m in core.placer.machines.values())


@FRONTS
def test_a_client_that_claims_a_task_of_another_client_does_not_get_its_release(front: str) -> None:
    """Guards against diverting a release from its owner to a client that reports the same running task."""
    cluster = FakeCluster(front, BINARY)
    other = cluster.connect_client(front)
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    core = cluster.service.core
    machine = core.tasks_by_uid[5].machine
    other.send_request(5, NodeBehavior.RUN, at=f"s-{machine:08x}")
    other.send_request(6, NodeBehavior.RUN)  # handled after the claim
    cluster.run_until(lambda: 6 in other.events)
    core.inbox.append(TaskFinished(machine, 5, Outcome.OK))
    assert len(cluster.wait_for_events(5, 2)) == 2
    assert 5 not in other.events


@FRONTS
def test_an_owner_that_reconnects_and_claims_its_task_gets_its_release(front: str) -> None:
    cluster = FakeCluster(front, BINARY)
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    core = cluster.service.core
    machine = core.tasks_by_uid[5].machine
    cluster.client.stream.close()
    reconnected = cluster.connect_client(front)
    reconnected.send_request(5, NodeBehavior.RUN, at=f"s-{machine:08x}")
    reconnected.send_request(6, NodeBehavior.RUN)
    cluster.run_until(lambda: 6 in reconnected.events)
    core.inbox.append(TaskFinished(machine, 5, Outcome.OK))
    cluster.run_until(lambda: 5 in reconnected.events)
