"""Graceful shutdown: requests that arrive in time are accepted, read and answered, and all data is sent."""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass
from typing import Any

import pytest

from tests.test_bad_clients import connect_raw, read_all
from thornshelf.lab.fakes.cluster import BINARY, DESCRIPTION, GRPC, HOST, JSON, FakeCluster, NodeBehavior
from thornshelf.lifecycle import graceful_shutdown
from thornshelf.wire import jsonl

PLACED = ("placed", DESCRIPTION)
WIRES = pytest.mark.parametrize(("front", "node"), [(JSON, BINARY), (GRPC, GRPC)])
DELAY_US = 100_000


@dataclass(frozen=True)
class Shutdown:
    """A started shutdown: when the dispatcher has stopped, if it has, and when it starts to close connections."""

    stopped_at: list[int]
    closes_at: int


@pytest.fixture(autouse=True)
def _short_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the time for which a dispatcher keeps serving."""
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_DELAY_US", DELAY_US)


def connected_cluster(front: str = JSON, node: str = BINARY, **options: Any) -> FakeCluster:
    """Return a cluster in which all nodes are connected."""
    cluster = FakeCluster(front, node, **options)
    cluster.run_until(lambda: all(fake_node.streams for fake_node in cluster.nodes))
    return cluster


def shut_down(cluster: FakeCluster) -> Shutdown:
    """Start the shutdown. The loop keeps running for the fakes after the dispatcher has stopped."""
    stopped_at: list[int] = []
    cluster.loop.stop = lambda: stopped_at.append(cluster.loop.now)  # type: ignore[method-assign]
    cluster.service.shut_down()
    cluster.loop.turn(True)
    return Shutdown(stopped_at, cluster.loop.now + DELAY_US)


def launch_line(uid: int, behavior: NodeBehavior, at: str = "") -> bytes:
    """Return the line of a client's request for a task."""
    extras = f"cores:1;memory:2;service:{7:016x}" + (f";at:{at}" if at else "")
    meta = {"class": "lookup", "left": "8000", "key": f"{uid:016x}", "extras": extras}
    value = {"kind": "launch", "uid": f"{uid:016x}", "meta": meta, "body": behavior.value.decode()}
    return json.dumps(value).encode() + b"\n"


def answers(received: bytes) -> dict[int, str]:
    """Return the kind of the last received line about each task."""
    reader = jsonl.LineReader()
    reader.feed(received)
    found = {}
    while (line := reader.next()) is not None:
        found[line.uid] = line.kind
    return found


def test_connections_that_wait_to_be_accepted_at_shutdown_are_served() -> None:
    """Guards against closing the listener with connections in its backlog, as one turn accepts only some of them."""
    cluster = connected_cluster()
    shutdown = shut_down(cluster)
    crowd: list[socket.socket] = []

    def connect_crowd() -> None:  # called after the poll of the turn in which the shutdown closes connections
        for uid in range(100, 250):
            crowd.append(socket.create_connection(cluster.service.json_frontend.listener.address))
            crowd[-1].sendall(launch_line(uid, NodeBehavior.RUN))
            crowd[-1].setblocking(False)

    cluster.loop.call_at(shutdown.closes_at, connect_crowd)
    cluster.run_until(lambda: bool(shutdown.stopped_at))
    received = {uid: kind for sock in crowd for uid, kind in answers(read_all(cluster, sock)).items()}
    assert received.keys() == set(range(100, 250))
    assert "running" in received.values()


@pytest.mark.parametrize("rest", [b"", b"x"])
def test_unread_input_at_shutdown_is_answered_and_not_reset(rest: bytes) -> None:
    """Guards against resetting a connection by a close, if its request has arrived after the last poll."""
    cluster = connected_cluster()
    sock = connect_raw(cluster, JSON)
    cluster.run_for(20)
    shutdown = shut_down(cluster)
    request = launch_line(100, NodeBehavior.DELAY)
    cluster.loop.call_at(
        shutdown.closes_at, lambda: sock.sendall(request[: len(request) // 2] if rest else request)
    )
    if rest:
        cluster.loop.call_at(shutdown.closes_at + 20_000, lambda: sock.sendall(request[len(request) // 2 :]))
    cluster.run_until(lambda: cluster.offer_count(100) == 1)
    cluster.run_for(150)  # longer than the delay and the intervals of the shutdown
    assert not shutdown.stopped_at
    for node in cluster.nodes:
        if 100 in node.delayed_tasks:
            node.start_delayed(100)
    cluster.run_until(lambda: bool(shutdown.stopped_at))
    assert answers(read_all(cluster, sock)) == {100: "running"}


@WIRES
def test_it_stops_once_the_last_answer_is_sent_to_a_slow_reader(front: str, node: str) -> None:
    cluster = connected_cluster(front, node)
    cluster.client.send_request(5, NodeBehavior.DELAY)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    shutdown = shut_down(cluster)
    cluster.run_for(200)
    assert not shutdown.stopped_at
    frontend: Any = cluster.service.frontends[front == GRPC]
    connection = next(iter(frontend._connections))
    writable: list[bool] = []
    write = connection.stream._write
    connection.stream._write = lambda: False if len(writable) == 0 else write()
    for waiting_node in cluster.nodes:
        if 5 in waiting_node.delayed_tasks:
            waiting_node.start_delayed(5)
    cluster.run_until(lambda: bool(connection.stream.buffered_bytes))
    cluster.run_for(200)
    assert not shutdown.stopped_at
    writable.append(True)
    cluster.run_until(lambda: bool(shutdown.stopped_at))
    cluster.run_until(lambda: 5 in cluster.client.events)
    assert cluster.client.events[5] == [PLACED]


@WIRES
def test_a_release_is_sent_before_it_stops(front: str, node: str) -> None:
    """Guards against a task that runs on without a client because its node's connection is still being opened."""
    cluster = connected_cluster(front, node, node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    (fake_node,) = cluster.nodes
    shutdown = shut_down(cluster)
    cluster.loop.call_at(shutdown.closes_at - 30_000, lambda: cluster.client.cancel(5))
    cluster.loop.call_at(shutdown.closes_at - 30_000, fake_node.break_streams)
    cluster.run_until(lambda: bool(shutdown.stopped_at))
    assert ("release", 5) in fake_node.received_kinds


@WIRES
def test_a_release_is_sent_again_where_its_connection_broke(front: str, node: str) -> None:
    """Guards against a release that is lost in the operating system's buffers when the connection is reset."""
    cluster = FakeCluster(front, node, node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    (fake_node,) = cluster.nodes
    link: Any = cluster.service.core.endpoints.nodes[1].link  # type: ignore[attr-defined]
    fake_node.ignores_input = True
    cluster.client.cancel(5)
    cluster.run_until(
        lambda: 1 in cluster.service.core.tasks_by_machine
        and bool(cluster.service.core.endpoints.nodes[1].pending_cancellations)  # type: ignore[attr-defined]
    )
    cluster.run_for(20)
    assert not link.stream.buffered_bytes
    assert ("release", 5) not in fake_node.received_kinds
    fake_node.break_streams()
    fake_node.ignores_input = False
    cluster.run_until(lambda: ("release", 5) in fake_node.received_kinds)
    cluster.run_until(lambda: not cluster.service.core.endpoints.nodes[1].pending_cancellations)  # type: ignore[attr-defined]
    assert fake_node.received_kinds.count(("release", 5)) == 1


def test_a_connection_with_unsent_data_makes_no_room() -> None:
    """Guards against evicting a connection whose release was written and has not arrived."""
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    node: Any = cluster.service.core.endpoints.nodes[1]
    node.cancel_task(5)
    assert not node.idle
    assert not node.listening_only
    cluster.run_until(lambda: ("release", 5) in cluster.nodes[0].received_kinds)
    cluster.run_until(lambda: node.idle)


def test_a_client_that_has_just_sent_makes_no_room_for_another() -> None:
    """Guards against evicting a client whose request has arrived and was not read yet."""
    cluster = FakeCluster(node_count=0)
    silent = connect_raw(cluster, JSON)
    active = connect_raw(cluster, JSON)
    cluster.run_until(lambda: len(cluster.service.json_frontend._connections) == 3)
    cluster.run_for(20)
    active.sendall(launch_line(6, NodeBehavior.RUN))
    silent.sendall(b"")
    closed = [cluster.service.json_frontend.evict_idle() for _ in range(3)]
    assert closed.count(True) == 2  # the silent client, and the cluster's own, which has sent no request
    cluster.run_for(50)
    assert answers(active.recv(4096)) == {6: "stop"}  # rejected, as there is no node
    active.close()
    assert read_all(cluster, silent) == b""


def test_a_second_signal_or_a_client_that_never_reads_does_not_delay_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(graceful_shutdown, "FLUSH_TIMEOUT_US", 50_000)
    cluster = connected_cluster()
    sock = connect_raw(cluster, JSON, HOST)
    sock.sendall(launch_line(100, NodeBehavior.RUN)[:30])  # an incomplete request
    cluster.run_for(20)
    shutdown = shut_down(cluster)
    cluster.service.shut_down()
    cluster.run_until(lambda: bool(shutdown.stopped_at))
    sock.close()
