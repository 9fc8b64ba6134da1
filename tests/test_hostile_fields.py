"""Requests and notes with fields that can't be encoded, counted or believed: nobody else must suffer from them."""

from __future__ import annotations

from typing import Any

import pytest

from tests.test_bad_clients import connect_raw
from thornshelf.core import TaskProgress, dispatcher, running_tasks
from thornshelf.lab.fakes.cluster import BINARY, DESCRIPTION, GRPC, GRPC2, JSON, FakeCluster, NodeBehavior
from thornshelf.placement import TaskUpdateKind
from thornshelf.wire import grpc

FRONTS = pytest.mark.parametrize("front", [JSON, GRPC, GRPC2])
PLACED = [("placed", DESCRIPTION)]
NODE = "s-00000001"


def place(cluster: FakeCluster, uid: int) -> list[tuple[Any, ...]]:
    cluster.client.send_request(uid, NodeBehavior.RUN)
    return cluster.wait_for_events(uid)


def launch_line(uid: int, **meta: str) -> bytes:
    fields = ",".join(
        f'"{name}":"{value}"' for name, value in ({"class": "lookup", "left": "4000"} | meta).items()
    )
    return f'{{"kind":"launch","uid":"{uid:016x}","meta":{{{fields}}},"body":"x"}}\n'.encode()


@pytest.mark.parametrize("name", ["\\ud800", "x" * 300])
def test_a_node_or_tenant_that_is_no_name_is_answered_and_leaves_nothing(name: str) -> None:
    """Guards against a turn that ends with an error, and a task record that stays, for each such request."""
    cluster = FakeCluster()
    sock = connect_raw(cluster, JSON)
    sock.sendall(launch_line(5, extras=f"cores:1;at:s-{name}") + launch_line(6, tenant=name))
    cluster.run_for(50)
    received = sock.recv(1 << 16)
    assert [received.count(f'"uid":"{uid:016x}"'.encode()) for uid in (5, 6)] == [1, 1]
    assert received.count(b'"reason":100') == 2
    assert not cluster.service.core.tasks_by_uid
    sock.close()


@FRONTS
def test_an_item_that_raises_keeps_no_other_from_being_handled(
    front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a turn that ends at the first item whose handling fails, and against what it leaves behind."""
    cluster = FakeCluster(front)
    core = cluster.service.core
    errors: list[BaseException] = []
    cluster.loop.on_exception = errors.append

    def fail(name: str) -> int:
        raise ValueError(name)

    monkeypatch.setattr(core.endpoints, "machine_id", fail)
    for uid in range(10, 20):
        cluster.client.send_request(uid, NodeBehavior.RUN, at=NODE)
    cluster.client.send_request(20, NodeBehavior.RUN)
    turns: list[int] = []

    def count_errors() -> bool:
        turns.append(len(errors))
        return False

    cluster.loop.turn_hooks.append(count_errors)
    assert cluster.wait_for_events(20) == PLACED
    assert len(errors) == 10
    assert len({count for count in turns if count}) == 1  # all ten in one turn
    assert core.tasks_by_uid.keys() == {20}
    assert all(cluster.client.events[uid][0][0] == "failed" for uid in range(10, 20))


@FRONTS
def test_the_tasks_that_an_owner_only_claims_to_run_are_bounded(
    front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory that grows without end while a client hands over tasks at full speed."""
    monkeypatch.setattr(running_tasks, "MAX_ADOPTED_TASKS_PER_OWNER", 3)
    cluster = FakeCluster(front)
    core = cluster.service.core
    for uid in range(1, 6):
        cluster.client.send_request(uid, NodeBehavior.RUN, at=NODE)
    cluster.run_until(lambda: 5 in cluster.client.events)
    assert [cluster.client.events[uid][0][0] for uid in (4, 5)] == ["refused", "refused"]
    assert core.tasks_by_uid.keys() == {1, 2, 3}
    cluster.client.send_request(6, NodeBehavior.RUN, at=NODE, tenant="pruett-county")
    cluster.run_until(lambda: 6 in core.tasks_by_uid)  # another owner has a share of its own
    cluster.client.cancel(1)
    cluster.run_until(lambda: 1 not in core.tasks_by_uid)
    cluster.client.send_request(7, NodeBehavior.RUN, at=NODE)
    cluster.run_until(lambda: 7 in core.tasks_by_uid)


def test_requests_wait_in_their_connections_while_many_wait_for_the_core(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an inbox that grows without end while many connections send at full speed."""
    monkeypatch.setattr(dispatcher, "MAX_INBOX_ITEMS_PER_TURN", 8)
    monkeypatch.setattr(dispatcher, "MAX_INBOX_BACKLOG", 32)
    cluster = FakeCluster()
    core = cluster.service.core
    socks = [connect_raw(cluster, JSON) for _ in range(10)]
    for number, sock in enumerate(socks):
        sock.sendall(b"".join(launch_line(1000 * (number + 1) + index) for index in range(100)))
    longest = 0
    for _ in range(150):
        cluster.loop.call_later(1000, lambda: None)
        cluster.loop.turn()
        longest = max(longest, len(core.inbox))
    assert 8 < longest <= 32 + len(socks)  # and a message of each connection's own
    for sock in socks:
        sock.close()


@FRONTS
def test_a_claimed_demand_beyond_all_machines_does_not_end_placing(front: str) -> None:
    """Guards against one handed-over task of absurd size, after which no task was placed until a restart."""
    cluster = FakeCluster(front)
    if front == JSON:
        cluster.client.send(launch_line(5, extras=f"cores:1000000000;memory:1;at:{NODE}"))
    else:
        ask = cluster.client.make_ask(5, NodeBehavior.RUN, "lookup", at=NODE)
        ask.cores = 1e9
        message = cluster.client.protobuf.ClientMessage(ask=ask)
        cluster.client.h2.send(cluster.client.stream_id, grpc.encode_message(message))
    cluster.run_until(lambda: 5 in cluster.service.core.tasks_by_uid)
    assert [place(cluster, uid) for uid in range(6, 16)] == [PLACED] * 10


@pytest.mark.parametrize("level", [1e308, 1e9, float("nan")])
def test_an_absurd_measurement_of_one_task_does_not_end_placing(level: float) -> None:
    """Guards against a node's note on the use of cores that is far out of range, after which none was placed."""
    cluster = FakeCluster(JSON, BINARY)
    assert place(cluster, 5) == PLACED
    core = cluster.service.core
    core.inbox.append(TaskProgress(core.tasks_by_uid[5].machine, 5, TaskUpdateKind.CORES_USED, level))
    assert [place(cluster, uid) for uid in range(6, 16)] == [PLACED] * 10
    assert not [line for line in cluster.logged if line[1] == "placement-failed"]
