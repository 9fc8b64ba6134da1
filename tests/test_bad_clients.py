"""Clients that send what can't be used, or nothing: they get a word or a close, and cost nobody else."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Sized
from typing import Any

import pytest

from thornshelf.core import TaskFinished, deadlines, releases, running_tasks
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


def hurry(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections are given 50 ms."""
    for front in (json_lines, grpc_front):
        monkeypatch.setattr(front, "FIRST_MESSAGE_TIMEOUT_US", 50_000)
        monkeypatch.setattr(front, "MESSAGE_TIMEOUT_US", 50_000)


def stranger(world: FakeCluster, front: str, host: str = HOST) -> socket.socket:
    """A connection that says nothing yet, from an address of its own."""
    address = world.service.frontends[front == GRPC].listener.address
    sock = socket.create_connection(address, timeout=TIMEOUT_S, source_address=(host, 0))
    sock.setblocking(False)
    return sock


def read_all(world: FakeCluster, sock: socket.socket) -> bytes:
    """What comes until the connection ends."""
    said, ended = b"", False
    limit = time.monotonic() + TIMEOUT_S
    while not ended:
        assert time.monotonic() < limit
        world.run_for(1)
        try:
            data = sock.recv(1 << 16)
            said, ended = said + data, not data
        except BlockingIOError:
            pass
        except ConnectionResetError:
            ended = True
    sock.close()
    return said


@FRONTS
def test_a_connection_that_says_nothing_is_closed_and_one_that_was_of_use_may_be_idle(
    front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    hurry(monkeypatch)
    world = FakeCluster(front)
    world.client.ask(5, NodeBehavior.END)
    world.wait_for_events(5, 2)
    silent = stranger(world, front)
    read_all(world, silent)
    world.run_for(150)
    world.client.ask(6, NodeBehavior.RUN)
    assert world.wait_for_events(6) == [PLACED]
    assert not world.client.closed


@FRONTS
def test_a_message_that_never_ends_costs_its_connection(front: str, monkeypatch: pytest.MonkeyPatch) -> None:
    hurry(monkeypatch)
    world = FakeCluster(front, nodes=1)
    other = world.connect_client(front)
    for client, uid in ((world.client, 5), (other, 6)):
        client.ask(uid, NodeBehavior.SILENT)
        world.run_until(lambda uid=uid: world.offer_count(uid) == 1)  # type: ignore[misc]
    world.client.stream.send(b'{"kind":"stop"' if front == JSON else b"\0\0\x20\0\0\0\0\0\x01half")
    world.run_until(lambda: world.client.closed)
    world.run_until(lambda: ("release", 5) in world.nodes[0].seen)  # what was open there is given up
    world.run_for(100)
    assert not other.closed
    assert ("release", 6) not in world.nodes[0].seen


def test_an_unreadable_line_gets_a_word_though_its_id_is_not_known() -> None:
    world = FakeCluster()
    for line in (b"no json\n", b'{"kind":"launch","meta":{}}\n', b"\xff\xfe\n"):
        world.client.send(line)
    told: list[Any] = world.wait_for_events(jsonl.UNKNOWN_UID, 3)
    assert told == [FAILED] * 3


@FRONTS
def test_two_set_ups_under_one_id_end_what_they_came_on(front: str) -> None:
    """Guards against a second answer: the client could not tell which of the two it is for."""
    world = FakeCluster(front, nodes=1)
    for _ in range(3):
        world.client.ask(5, NodeBehavior.RUN)
    if front == JSON:
        world.run_until(lambda: world.client.closed)
    else:
        world.run_until(lambda: world.client.call in world.client.status)
        assert world.client.status[world.client.call]["grpc-status"] == str(grpc.INVALID_ARGUMENT)
    world.run_until(lambda: 5 not in world.service.core.tasks_by_uid or ("offer", 5) in world.nodes[0].seen)
    assert len(world.client.heard.get(5, [])) <= 1
    assert world.service.core.open_count == 0


@FRONTS
def test_an_id_in_use_on_another_connection_fails_there_alone(front: str) -> None:
    world = FakeCluster(front)
    other = world.connect_client(front)
    world.client.ask(5, NodeBehavior.SILENT, left="400")
    world.run_until(lambda: world.offer_count(5) == 1)
    other.ask(5, NodeBehavior.RUN)
    world.run_until(lambda: 5 in other.heard)
    assert other.heard == {5: [FAILED]}
    assert world.client.heard == {}
    assert world.wait_for_events(5) == [FAILED]
    assert world.offer_count(5) == 1


@FRONTS
@pytest.mark.parametrize("change", [{"tenant": "nobody"}, {"left": "1e300"}, {"left": "-1"}])
def test_what_the_settings_do_not_know_is_answered_and_kept_nowhere(
    front: str, change: dict[str, str]
) -> None:
    world = FakeCluster(front)
    world.client.ask(5, NodeBehavior.RUN, **change)
    assert world.wait_for_events(5) == [FAILED]
    assert world.offer_count(5) == 0
    assert not world.service.core.tasks_by_uid
    assert not world.service.core.placer.accounting.cores_by_tenant


@FRONTS
def test_nobody_is_waited_for_far_beyond_the_class_s_deadline(front: str) -> None:
    """Guards against timers and tasks that a bad client's figure would keep for days."""
    world = FakeCluster(front)
    world.client.ask(5, NodeBehavior.SILENT, left="999999999")
    world.run_until(lambda: world.offer_count(5) == 1)
    core = world.service.core
    longest = deadlines.MAX_CLASS_DEADLINES * core.task_classes["lookup"].deadline_s
    assert core.tasks_by_uid[5].request.deadline_us <= world.loop.now + longest * 1e6


@FRONTS
def test_a_flood_on_one_connection_leaves_time_for_others(front: str) -> None:
    world = FakeCluster(front)
    other = world.connect_client(front)
    for uid in range(100, 1100):
        world.client.ask(uid, NodeBehavior.RUN, "no-such-class")
    other.ask(5, NodeBehavior.RUN)
    most = 0
    while 5 not in other.heard:
        before = len(world.logged)
        world.loop.turn()
        most = max(most, len(world.logged) - before)
    assert most <= 64
    assert len(world.logged) < 1000
    world.run_until(lambda: len(world.client.heard) == 1000)


def test_releases_are_not_told_to_strangers() -> None:
    """A release told to whoever opened a connection last is lost; what tasks are placed for is a client's."""
    world = FakeCluster(nodes=1)
    world.client.ask(5, NodeBehavior.RUN)
    world.wait_for_events(5)
    # one of the strangers calls from the client's own host
    sound, silent = stranger(world, JSON, "127.0.0.2"), stranger(world, JSON, "127.0.0.1")
    meta = {"class": "lookup", "left": 8000, "extras": "cores:1;memory:2"}
    line = {"kind": "launch", "uid": f"{6:016x}", "meta": meta, "body": NodeBehavior.RUN.value.decode()}
    sound.sendall(json.dumps(line).encode() + b"\n")
    world.run_until(lambda: 6 in world.nodes[0].running)
    late = stranger(world, JSON, "127.0.0.4")
    world.client.stream.close()
    world.run_for(10)
    world.nodes[0].die()
    limit, said = time.monotonic() + TIMEOUT_S, b""
    while said.count(b'"stop"') < 2 and time.monotonic() < limit:
        world.run_for(20)
        try:
            said += sound.recv(1 << 16)
        except BlockingIOError:
            continue
    assert f'"uid":"{5:016x}"'.encode() in said
    assert f'"uid":"{6:016x}"'.encode() in said
    for sock in (silent, late):
        with pytest.raises(BlockingIOError):
            sock.recv(100)
    for sock in (sound, silent, late):
        sock.close()


@FRONTS
def test_room_is_made_by_those_that_said_nothing(front: str) -> None:
    world = FakeCluster(front, BINARY)
    world.client.ask(5, NodeBehavior.RUN if front == JSON else NodeBehavior.END)
    world.wait_for_events(5)
    if front == GRPC:  # a call that lasts would keep its connection
        world.client.h2.finish(world.client.call, [])
        world.run_until(lambda: world.client.call in world.client.status)
    silent = stranger(world, front)
    world.run_until(lambda: world.service.connection_budget.client_count == 2)
    world.service.connection_budget.total = world.service.connection_budget.client_floor = 2
    world.connect_client(front)
    read_all(world, silent)
    assert not world.client.closed


@FRONTS
def test_a_crowd_in_one_turn_takes_no_more_descriptors_than_there_are(front: str) -> None:
    """Guards against making room twice by one connection that is closed already: the table ran full."""
    world = FakeCluster(front)
    budget = world.service.connection_budget
    budget.total = budget.client_floor = 10
    crowd = [stranger(world, front) for _ in range(50)]
    most, listener = 0, world.service.frontends[front == GRPC]
    while budget.client_count < 10 or any(sock.fileno() < 0 for sock in crowd):
        world.loop.turn()
    for _ in range(20):
        world.loop.after(1000, lambda: None)
        world.loop.turn()
        clients: Any = listener._idle_evictor._clients
        most = max(most, sum(one.stream.open for one in clients))
    assert most <= 11  # one may be in hand until there is room
    for sock in crowd:
        sock.close()


@FRONTS
def test_a_task_ended_on_another_connection_leaves_nothing_on_its_own(front: str) -> None:
    """Guards against a table that grows for as long as a connection lasts."""
    world = FakeCluster(front)
    world.client.ask(5, NodeBehavior.RUN)
    world.wait_for_events(5)
    owner: Any = world.service.core.tasks_by_uid[5].subscribers[5]
    assert owner.running == {5}
    world.connect_client(front).give_up(5)
    world.run_until(lambda: 5 not in world.service.core.tasks_by_uid)
    assert not owner.running
    assert world.client.heard[5] == [PLACED]


def test_a_stream_that_ends_with_its_last_release_has_told_it() -> None:
    """The release was in the buffer as the call ended, and was owed a second time."""
    world = FakeCluster(GRPC)
    core = world.service.core
    for uid in (5, 6):
        world.client.ask(uid, NodeBehavior.RUN)
        world.wait_for_events(uid)
    world.client.h2.finish(world.client.call, [])
    world.run_for(10)
    core.inbox.extend(TaskFinished(core.tasks_by_uid[uid].machine, uid, Outcome.OK) for uid in (5, 6))
    world.run_until(lambda: world.client.call in world.client.status)
    assert [len(world.client.heard[uid]) for uid in (5, 6)] == [2, 2]
    assert core.counters["released"] == 2
    assert not core.releases._pending


def test_releases_that_no_client_comes_for_are_not_kept_for_good(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(releases, "PENDING_TTL_US", 20_000)
    world = FakeCluster(nodes=1)
    for uid in (5, 6):
        world.client.ask(uid, NodeBehavior.RUN)
        world.wait_for_events(uid)
    core = world.service.core
    owner = core.tasks_by_uid[5].subscribers[5]
    world.client.stream.close()
    world.run_for(10)
    for uid in (5, 6):
        world.run_for(40)
        core.answers.send_release(owner, uid, Outcome.OK, Reason.UNSPECIFIED, None)
    assert [one[2] for one in core.releases._pending] == [6]
    assert world.logged[-1][1] == "release-dropped"


def test_a_connection_is_not_closed_for_room_while_its_release_is_on_its_way() -> None:
    world = FakeCluster()
    world.client.ask(5, NodeBehavior.END)
    world.wait_for_events(5, 2)
    (connection,) = world.service.json_frontend._connections
    connection.stream.last_send_us = world.loop.now
    assert not world.service.json_frontend.evict_idle()
    connection.stream.last_send_us = 0
    assert world.service.json_frontend.evict_idle()


@FRONTS
def test_nothing_is_kept_of_clients_and_nodes_that_went(front: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(running_tasks, "UNKNOWN_NODE_TIMEOUT_US", 100_000)
    world = FakeCluster(front, nodes=1)
    core = world.service.core
    for uid in range(1, 30):
        name = f"s-{uid + 100:08x}"
        world.update_endpoint(world.endpoint(0) | {"instanceId": name})
        client = world.connect_client(front)
        client.ask(uid, NodeBehavior.RUN, at="s-0000ffff") if uid % 2 else client.ask(uid, NodeBehavior.RUN)
        world.run_until(lambda uid=uid: uid in core.tasks_by_uid)  # type: ignore[misc]
        client.give_up(uid)
        client.stream.flush()
        client.stream.close()
        world.update_endpoint(world.endpoint(0) | {"instanceId": name, "lifecycle": "terminated"})
    world.update_lifecycle(0, "terminated")
    world.run_until(lambda: not core.tasks_by_uid and len(core.releases.open_requests) == 1)
    world.run_for(150)
    roster, owed = core.endpoints, core.releases
    kept: tuple[Sized, ...] = (
        core.tasks_by_uid,
        core.tasks_by_number,
        roster._machine_by_name,
        roster.entries,
        roster.nodes,
    )
    kept += (owed._placed_clients, owed._pending)
    assert [len(one) for one in kept] == [0] * len(kept)
    assert world.service.connection_budget.client_count == 1
    assert not core.placer.requests
    assert not any(m.tasks_by_service for m in core.placer.machines.values())


@FRONTS
def test_who_names_another_s_standing_task_does_not_get_its_release(front: str) -> None:
    """Guards against a bad client that hands over a task by an id in use, and hears of its end in place of its owner.

    On the bench (join, 30 nodes): 'call b4c7cec9585ef2c9 was over, and node n13 did not tell its caller in time'.
    """
    world = FakeCluster(front, BINARY)
    stranger_client = world.connect_client(front)
    world.client.ask(5, NodeBehavior.RUN)
    assert world.wait_for_events(5) == [PLACED]
    core = world.service.core
    machine = core.tasks_by_uid[5].machine
    stranger_client.ask(5, NodeBehavior.RUN, at=f"s-{machine:08x}")
    stranger_client.ask(6, NodeBehavior.RUN)  # read after it
    world.run_until(lambda: 6 in stranger_client.heard)
    core.inbox.append(TaskFinished(machine, 5, Outcome.OK))
    assert len(world.wait_for_events(5, 2)) == 2
    assert 5 not in stranger_client.heard


@FRONTS
def test_an_owner_that_comes_again_and_names_its_task_is_told_of_its_end(front: str) -> None:
    world = FakeCluster(front, BINARY)
    world.client.ask(5, NodeBehavior.RUN)
    assert world.wait_for_events(5) == [PLACED]
    core = world.service.core
    machine = core.tasks_by_uid[5].machine
    world.client.stream.close()
    again = world.connect_client(front)
    again.ask(5, NodeBehavior.RUN, at=f"s-{machine:08x}")
    again.ask(6, NodeBehavior.RUN)
    world.run_until(lambda: 6 in again.heard)
    core.inbox.append(TaskFinished(machine, 5, Outcome.OK))
    world.run_until(lambda: 5 in again.heard)
