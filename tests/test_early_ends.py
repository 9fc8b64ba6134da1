"""Ends of tasks that their node reports before the client's request hands the task over.

Guards against a restart that loses releases: the node reports an end once, on the first connection, and the request
that names the running task comes later.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.test_platform import connect_raw
from thornshelf.core import unclaimed_ends
from thornshelf.core.messages import TaskFinished
from thornshelf.core.state_transfer import RunningTaskRecord, import_record
from thornshelf.core.unclaimed_ends import UnclaimedEnds
from thornshelf.lab.fakes.cluster import BINARY, GRPC, GRPC2, HOST, JSON, FakeCluster, NodeBehavior
from thornshelf.placement import LoadReport, Outcome
from thornshelf.wire import placement_pb2 as pb

NODE = "s-00000001"
NON_IDEMPOTENT_CLASS = "ledger-batch"
NODE_FORMATS = pytest.mark.parametrize("node_format", [BINARY, GRPC, GRPC2])
EVERY_WIRE = pytest.mark.parametrize(
    ("frontend", "node_format"), [(JSON, BINARY), (JSON, GRPC), (JSON, GRPC2), (GRPC, BINARY), (GRPC2, GRPC2)]
)


def hand_over_line(uid: int) -> bytes:
    meta = {"class": NON_IDEMPOTENT_CLASS, "left": "8000", "extras": f"cores:1;memory:2;at:{NODE}"}
    return json.dumps({"kind": "launch", "uid": f"{uid:016x}", "meta": meta, "body": "run"}).encode() + b"\n"


def report_end(cluster: FakeCluster, uid: int, index: int = 0) -> None:
    """Have a node report the end of a task that the dispatcher doesn't know, and wait until it is processed."""
    node = cluster.nodes[index]
    core = cluster.service.core
    connection: Any = core.endpoints.nodes[index + 1]
    cluster.run_until(
        lambda: bool(node.responders and connection.link and connection.link.handshake_complete)
    )
    link = connection.link
    received_before = link.messages_received
    node.responders[-1].end(uid, 16, pb.ENDED)
    cluster.run_until(lambda: link.messages_received > received_before and not core.inbox)


def assert_released(cluster: FakeCluster, uid: int) -> None:
    """Wait for the release of a task; before a placement, the fake JSON client takes it for a failure."""
    cluster.wait_for_events(uid)
    counters = cluster.service.core.counters
    assert (counters["released"], counters["failed"]) == (1, 0)
    assert not cluster.service.core.task_count


@EVERY_WIRE
def test_a_task_that_ended_before_it_was_handed_over_is_released(frontend: str, node_format: str) -> None:
    """Guards against a release that is lost because the task's end arrives before the request with ``at``."""
    cluster = FakeCluster(frontend, node_format, node_count=1)
    report_end(cluster, 5)
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, at=NODE)
    assert_released(cluster, 5)
    assert not cluster.offer_count(5)


def test_a_task_that_ends_between_two_pieces_of_its_hand_over_is_released() -> None:
    """Guards against a lost release where the end arrives while the request is read in part."""
    cluster = FakeCluster(node_count=1)
    with connect_raw(cluster) as sock:
        line = hand_over_line(5)
        sock.sendall(line[:60])
        cluster.run_for(20)
        report_end(cluster, 5)
        sock.sendall(line[60:])
        cluster.run_until(lambda: cluster.service.core.counters["released"] == 1)
        assert b'"kind":"stop"' in sock.recv(4096)


@NODE_FORMATS
def test_a_task_that_ended_before_its_predecessor_handed_it_over_is_released(node_format: str) -> None:
    """Guards against the same at a restart by SIGUSR2: the successor is connected before the state arrives."""
    cluster = FakeCluster(JSON, node_format, node_count=1)
    report_end(cluster, 9)
    record = RunningTaskRecord(5, NON_IDEMPOTENT_CLASS, None, 5, None, 7, 1.0, 1.0, NODE, 9, HOST)
    assert import_record(cluster.service.core, record.encode())
    assert_released(cluster, 5)


def test_an_end_counts_only_for_the_node_that_reported_it() -> None:
    """Guards against releasing a task that runs, because an earlier attempt ended on another node."""
    cluster = FakeCluster(node_count=2)
    report_end(cluster, 5, index=1)
    cluster.client.send_request(5, NodeBehavior.RUN, at=NODE)
    cluster.run_until(lambda: 5 in cluster.service.core.tasks_by_uid)
    cluster.run_for(30)
    assert cluster.client.events == {}


def test_an_end_that_no_node_reported_releases_no_task() -> None:
    """Guards against releasing a task that runs: a broken connection doesn't tell whether the attempt started."""
    cluster = FakeCluster(node_count=1)
    core = cluster.service.core
    core.inbox.append(TaskFinished(1, 5, Outcome.BROKEN))
    cluster.client.send_request(5, NodeBehavior.RUN, at=NODE)
    cluster.run_until(lambda: 5 in core.tasks_by_uid)
    cluster.run_for(30)
    assert cluster.client.events == {}


def test_the_kept_ends_are_bounded_in_number_and_age(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with ends that nobody asks for."""
    monkeypatch.setattr(unclaimed_ends, "MAX_UNCLAIMED_ENDS", 3)
    ends = UnclaimedEnds()
    for uid in (1, 2, 1, 3, 4):
        ends.add(TaskFinished(7, uid, Outcome.OK, load_report=LoadReport(1.0)), uid)
    assert len(ends) == 3
    assert ends.take(7, 2, 5) is None  # the oldest, as the first task's end was reported again
    assert ends.take(7, 1, 5) == TaskFinished(7, 1, Outcome.OK)
    assert ends.take(7, 1, 5) is None
    assert ends.take(7, 3, 3 + unclaimed_ends.UNCLAIMED_TTL_US) is not None
    assert ends.take(7, 4, 5 + unclaimed_ends.UNCLAIMED_TTL_US) is None
    assert not len(ends)
