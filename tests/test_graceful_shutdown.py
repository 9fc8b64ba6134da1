"""A graceful shutdown: what arrives in time is accepted, read and answered, and no byte is left unsent."""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass
from typing import Any

import pytest

from tests.test_bad_clients import read_all, stranger
from thornshelf.lab.fakes.cluster import BINARY, DESCRIPTION, GRPC, HOST, JSON, FakeCluster, NodeBehavior
from thornshelf.lifecycle import graceful_shutdown
from thornshelf.wire import jsonl

PLACED = ("placed", DESCRIPTION)
WIRES = pytest.mark.parametrize(("front", "node"), [(JSON, BINARY), (GRPC, GRPC)])


DELAY_US = 100_000


@dataclass(frozen=True)
class Shutdown:
    """A shutdown that has begun: when the dispatcher stopped, and when it starts to close connections."""

    stopped_at: list[int]
    closes_at: int


@pytest.fixture(autouse=True)
def _short_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """The dispatcher serves on for a shorter time than in operation."""
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_DELAY_US", DELAY_US)


def connected_cluster(front: str = JSON, node: str = BINARY, **options: Any) -> FakeCluster:
    """A cluster in which each node has its connection."""
    cluster = FakeCluster(front, node, **options)
    cluster.run_until(lambda: all(node.streams for node in cluster.nodes))
    return cluster


def shut_down(cluster: FakeCluster) -> Shutdown:
    """Begin the shutdown. The loop runs on after the dispatcher has stopped, for the fakes."""
    stopped_at: list[int] = []
    cluster.loop.stop = lambda: stopped_at.append(cluster.loop.now)  # type: ignore[method-assign]
    cluster.service.shut_down()
    cluster.loop.turn(True)
    return Shutdown(stopped_at, cluster.loop.now + DELAY_US)


def launch_line(uid: int, behavior: NodeBehavior, at: str = "") -> bytes:
    """A client's request for a task."""
    extras = f"cores:1;memory:2;service:{7:016x}" + (f";at:{at}" if at else "")
    meta = {"class": "lookup", "left": "8000", "key": f"{uid:016x}", "extras": extras}
    value = {"kind": "launch", "uid": f"{uid:016x}", "meta": meta, "body": behavior.value.decode()}
    return json.dumps(value).encode() + b"\n"


def answers(received: bytes) -> dict[int, str]:
    """The kind of the last line about each task."""
    reader = jsonl.LineReader()
    reader.feed(received)
    found = {}
    while (one := reader.next()) is not None:
        found[one.uid] = one.kind
    return found


def test_connections_that_wait_to_be_accepted_at_shutdown_are_served() -> None:
    """Guards against a starved process that closes its listener on them: one turn accepts only a part of them."""
    cluster = connected_cluster()
    shutdown = shut_down(cluster)
    crowd: list[socket.socket] = []

    def connect_crowd() -> None:  # in the turn that closes connections, after the descriptors were polled
        for uid in range(100, 250):
            crowd.append(socket.create_connection(cluster.service.json_frontend.listener.address))
            crowd[-1].sendall(launch_line(uid, NodeBehavior.RUN))
            crowd[-1].setblocking(False)

    cluster.loop.at(shutdown.closes_at, connect_crowd)
    cluster.run_until(lambda: bool(shutdown.stopped_at))
    heard = {uid: kind for one in crowd for uid, kind in answers(read_all(cluster, one)).items()}
    assert heard.keys() == set(range(100, 250))
    assert "running" in heard.values()


@pytest.mark.parametrize("rest", [b"", b"x"])
def test_unread_input_at_shutdown_is_answered_and_not_reset(rest: bytes) -> None:
    """Guards against a close that resets a connection whose request was received after the last poll."""
    cluster = connected_cluster()
    sock = stranger(cluster, JSON)
    cluster.run_for(20)
    shutdown = shut_down(cluster)
    request = launch_line(100, NodeBehavior.LATE)
    cluster.loop.at(
        shutdown.closes_at, lambda: sock.sendall(request[: len(request) // 2] if rest else request)
    )
    if rest:
        cluster.loop.at(shutdown.closes_at + 20_000, lambda: sock.sendall(request[len(request) // 2 :]))
    cluster.run_until(lambda: cluster.offer_count(100) == 1)
    cluster.run_for(150)  # longer than any interval of the shutdown itself
    assert not shutdown.stopped_at
    for one in cluster.nodes:
        if 100 in one.waiting:
            one.start(100)
    cluster.run_until(lambda: bool(shutdown.stopped_at))
    assert answers(read_all(cluster, sock)) == {100: "running"}


@WIRES
def test_it_stops_once_the_last_answer_is_sent_to_a_slow_reader(front: str, node: str) -> None:
    cluster = connected_cluster(front, node)
    cluster.client.ask(5, NodeBehavior.LATE)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    shutdown = shut_down(cluster)
    cluster.run_for(200)
    assert not shutdown.stopped_at
    served: Any = cluster.service.frontends[front == GRPC]
    listening = next(iter(served._connections))
    full: list[bool] = []
    write = listening.stream._write
    listening.stream._write = lambda: False if len(full) == 0 else write()
    for one in cluster.nodes:
        if 5 in one.waiting:
            one.start(5)
    cluster.run_until(lambda: bool(listening.stream.buffered_bytes))
    cluster.run_for(200)
    assert not shutdown.stopped_at
    full.append(True)
    cluster.run_until(lambda: bool(shutdown.stopped_at))
    cluster.run_until(lambda: 5 in cluster.client.heard)
    assert cluster.client.heard[5] == [PLACED]


@WIRES
def test_a_release_is_sent_before_it_stops(front: str, node: str) -> None:
    """Guards against a task that runs on without a client: the connection to its node was being opened."""
    cluster = connected_cluster(front, node, nodes=1)
    cluster.client.ask(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    (one,) = cluster.nodes
    shutdown = shut_down(cluster)
    cluster.loop.at(shutdown.closes_at - 30_000, lambda: cluster.client.give_up(5))
    cluster.loop.at(shutdown.closes_at - 30_000, one.break_streams)
    cluster.run_until(lambda: bool(shutdown.stopped_at))
    assert ("release", 5) in one.seen


@WIRES
def test_a_release_is_sent_again_where_its_connection_broke(front: str, node: str) -> None:
    """Guards against a release that is lost in the system's buffers when the connection is reset."""
    cluster = FakeCluster(front, node, nodes=1)
    cluster.client.ask(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    (one,) = cluster.nodes
    link: Any = cluster.service.core.endpoints.nodes[1].link  # type: ignore[attr-defined]
    one.deaf = True
    cluster.client.give_up(5)
    cluster.run_until(
        lambda: 1 in cluster.service.core.tasks_by_machine
        and bool(cluster.service.core.endpoints.nodes[1].pending_cancellations)  # type: ignore[attr-defined]
    )
    cluster.run_for(20)
    assert not link.stream.buffered_bytes
    assert ("release", 5) not in one.seen
    one.break_streams()
    one.deaf = False
    cluster.run_until(lambda: ("release", 5) in one.seen)
    cluster.run_until(lambda: not cluster.service.core.endpoints.nodes[1].pending_cancellations)  # type: ignore[attr-defined]
    assert one.seen.count(("release", 5)) == 1


def test_a_connection_with_unsent_data_makes_no_room() -> None:
    """Guards against a release that is written and never sent, as its connection is closed for another one."""
    cluster = FakeCluster(nodes=1)
    cluster.client.ask(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    node: Any = cluster.service.core.endpoints.nodes[1]
    node.cancel_task(5)
    assert not node.idle
    assert not node.listening_only
    cluster.run_until(lambda: ("release", 5) in cluster.nodes[0].seen)
    cluster.run_until(lambda: node.idle)


def test_a_client_that_has_just_sent_makes_no_room_for_another() -> None:
    """Guards against a reset of a request that was received but not read yet."""
    cluster = FakeCluster(nodes=0)
    silent = stranger(cluster, JSON)
    active = stranger(cluster, JSON)
    cluster.run_until(lambda: len(cluster.service.json_frontend._connections) == 3)
    cluster.run_for(20)
    active.sendall(launch_line(6, NodeBehavior.RUN))
    silent.sendall(b"")
    closed = [cluster.service.json_frontend.evict_idle() for _ in range(3)]
    assert closed.count(True) == 2  # the silent one, and the first client, which has asked for nothing
    cluster.run_for(50)
    assert answers(active.recv(4096)) == {6: "stop"}  # refused, as there is no node
    active.close()
    assert read_all(cluster, silent) == b""


def test_a_second_signal_or_a_client_that_never_reads_does_not_delay_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(graceful_shutdown, "FLUSH_TIMEOUT_US", 50_000)
    cluster = connected_cluster()
    sock = stranger(cluster, JSON, HOST)
    sock.sendall(launch_line(100, NodeBehavior.RUN)[:30])  # and no more
    cluster.run_for(20)
    shutdown = shut_down(cluster)
    cluster.service.shut_down()
    cluster.run_until(lambda: bool(shutdown.stopped_at))
    sock.close()
