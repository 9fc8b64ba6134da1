"""Connections on which tasks only run: a quiet one is pinged, as a task's end may wait for the next connection."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from thornshelf.lab.fakes.cluster import BINARY, GRPC, GRPC2, JSON, FakeCluster, FakeNode, NodeBehavior
from thornshelf.nodes import liveness, node_connection, reconnect
from thornshelf.nodes.liveness import LivenessMonitor
from thornshelf.wire import placement_pb2 as pb

UID = 5
NON_IDEMPOTENT_CLASS = "ledger-batch"
RELEASE_DUE_US = 8_000_000  # after the end of a task, where its node could not report it, by the protocol
NODE_FORMATS = pytest.mark.parametrize("node_format", [BINARY, GRPC, GRPC2])


@pytest.fixture(autouse=True)
def _short_intervals(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    if "real_intervals" not in request.keywords:
        monkeypatch.setattr(liveness, "QUIET_CHECK_INTERVAL_US", 60_000)
        monkeypatch.setattr(liveness, "QUIET_CHECK_SPREAD_US", 0)
        monkeypatch.setattr(liveness, "QUIET_PING_INTERVAL_US", 150_000)
        monkeypatch.setattr(liveness, "CHECK_INTERVAL_US", 5_000)


def cluster_with_running_task(node_format: str = BINARY, lifecycle: str = "in_service") -> FakeCluster:
    """Return a cluster with one node, in this lifecycle, on which one task runs."""
    cluster = FakeCluster(JSON, node_format, node_count=1)
    cluster.client.send_request(UID, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    cluster.wait_for_events(UID)
    if lifecycle != "in_service":
        cluster.update_lifecycle(0, lifecycle)
        cluster.run_for(10)
    return cluster


def report_end_on_next_connection(cluster: FakeCluster) -> None:
    """Wait for the node's second connection, and have it report the end of the task there."""
    (node,) = cluster.nodes
    cluster.run_until(lambda: len(node.streams) == 2 and bool(node.responders))
    cluster.run_until(lambda: not node.streams[0].open)
    node.responders[-1].end(UID, 16, pb.ENDED)
    assert cluster.wait_for_events(UID, 2)[1] == ("released", pb.ENDED)


def refuse_connections(cluster: FakeCluster, node: FakeNode) -> None:
    """Have a node refuse new connections, and keep those that are open."""
    cluster.loop.cancel(node._accepting)
    cluster.loop.unregister(node.sock.fileno())
    node.sock.close()


def log_ids(cluster: FakeCluster) -> list[str]:
    return [line[1] for line in cluster.logged]


@NODE_FORMATS
@pytest.mark.parametrize("lifecycle", ["in_service", "terminating"])
def test_a_connection_that_its_node_forgot_is_found(node_format: str, lifecycle: str) -> None:
    """Guards against the end of a task that is never heard, because nothing is sent on a connection that is lost."""
    cluster = cluster_with_running_task(node_format, lifecycle)
    cluster.nodes[0].forgets_connections = True
    report_end_on_next_connection(cluster)


@NODE_FORMATS
@pytest.mark.parametrize("lifecycle", ["in_service", "terminating"])
def test_a_connection_that_has_become_silent_is_replaced(node_format: str, lifecycle: str) -> None:
    """Guards against the same where not even a reset comes back; a draining node's connection is replaced too."""
    cluster = cluster_with_running_task(node_format, lifecycle)
    cluster.nodes[0].deaf_streams.add(cluster.nodes[0].streams[0])
    report_end_on_next_connection(cluster)


@NODE_FORMATS
def test_a_quiet_connection_whose_pings_are_answered_is_kept(node_format: str) -> None:
    cluster = cluster_with_running_task(node_format)
    link: Any = cluster.service.core.endpoints.nodes[1].link  # type: ignore[attr-defined]
    pings = count_calls(link, "ping")
    cluster.run_until(lambda: len(pings) == 3)
    cluster.run_for(30)
    assert len(cluster.nodes[0].streams) == 1
    assert "node-disconnected" not in log_ids(cluster)


def count_calls(link: Any, method: str) -> list[int]:
    """Record the time of each call of a link's method."""
    times: list[int] = []
    send = getattr(link, method)

    def send_and_record() -> None:
        times.append(link.node.loop.now)
        send()

    setattr(link, method, send_and_record)
    return times


def test_a_connection_is_not_tried_while_no_task_runs_or_data_comes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the cost of checks that prove nothing: with many nodes most connections are idle or in use."""
    monkeypatch.setattr(node_connection, "MIN_KEEPALIVE_S", 0.2)
    monkeypatch.setattr(node_connection, "IDLE_TIMEOUT_FRACTION", 0.0)
    cluster = cluster_with_running_task()
    (node,) = cluster.nodes
    link: Any = cluster.service.core.endpoints.nodes[1].link  # type: ignore[attr-defined]
    pings, touches = count_calls(link, "ping"), count_calls(link, "touch")
    for _ in range(30):
        node.responders[-1].progress(UID)
        cluster.run_for(10)
    assert not pings + touches
    node.responders[-1].end(UID, 16, pb.ENDED)
    cluster.wait_for_events(UID, 2)
    cluster.run_until(lambda: not link.stream.open)  # closed as idle
    assert not pings + touches


def test_a_task_handed_over_on_a_connection_that_was_forgotten_is_released() -> None:
    """Guards against a connection that is tested only if it was used when its task started."""
    cluster = FakeCluster(node_count=1)
    cluster.run_until(lambda: bool(cluster.nodes[0].streams))
    cluster.run_for(100)
    cluster.nodes[0].forgets_connections = True
    cluster.client.send_request(UID, NodeBehavior.RUN, at="s-00000001")
    cluster.run_until(lambda: len(cluster.nodes[0].streams) == 2 and bool(cluster.nodes[0].responders))
    cluster.nodes[0].responders[-1].end(UID, 16, pb.ENDED)
    cluster.run_until(lambda: cluster.service.core.counters["released"] == 1)


def test_the_connection_of_a_draining_node_that_refuses_others_is_kept() -> None:
    """Guards against losing the only way on which a draining node can report the ends of its tasks."""
    cluster = cluster_with_running_task(lifecycle="terminating")
    (node,) = cluster.nodes
    refuse_connections(cluster, node)
    node.ignores_input = True
    cluster.run_for(400)
    assert node.streams[0].open
    assert "node-process-dead" not in log_ids(cluster)
    node.responders[-1].end(UID, 16, pb.ENDED)
    assert cluster.wait_for_events(UID, 2)[1] == ("released", pb.ENDED)


def test_a_draining_node_that_forgot_its_connection_does_not_count_as_dead() -> None:
    """Guards against releasing a task that runs: the reset answers the ping, and comes from no dying process."""
    cluster = cluster_with_running_task(lifecycle="terminating")
    (node,) = cluster.nodes
    refuse_connections(cluster, node)
    node.forgets_connections = True
    cluster.run_until(lambda: "node-disconnected" in log_ids(cluster))
    cluster.run_for(100)
    assert "node-process-dead" not in log_ids(cluster)
    assert len(cluster.client.events[UID]) == 1
    cluster.update_lifecycle(0, "terminated")
    assert cluster.wait_for_events(UID, 2)[1][0] == "released"


def test_a_replaced_connection_leaves_the_count_of_connections_right() -> None:
    """Guards against descriptors that are used beyond the limit after replacements."""
    cluster = cluster_with_running_task(lifecycle="terminating")
    (node,) = cluster.nodes
    node.ignores_input = True
    cluster.run_until(lambda: len(node.streams) == 3)
    node.ignores_input = False
    cluster.run_until(lambda: not node.streams[1].open)
    cluster.run_for(20)
    pool: Any = cluster.service.core.node_connections
    assert sum(stream.open for stream in node.streams) == len(pool) == 1
    cluster.update_lifecycle(0, "terminated")
    cluster.run_until(lambda: len(pool) == 0)


@pytest.mark.real_intervals
def test_a_forgotten_connection_is_found_in_time_for_the_release() -> None:
    """Guards against intervals that don't add up to the time in which a release is due, with one failed connect."""
    found_us = liveness.QUIET_CHECK_INTERVAL_US + liveness.CHECK_INTERVAL_US
    connect_us = int(reconnect.DEFAULT_CONNECT_TIMEOUT_S * 1e6) + reconnect.RECONNECT_BACKOFF_US
    assert found_us + reconnect.FAST_RECONNECT_US + connect_us < RELEASE_DUE_US


@pytest.mark.real_intervals
@NODE_FORMATS
def test_a_silent_connection_is_found_in_time_for_the_release(node_format: str) -> None:
    """Guards against the same where the connection is not even reset, so that only a missing answer shows it."""
    cluster = cluster_with_running_task(node_format)
    link: Any = cluster.service.core.endpoints.nodes[1].link  # type: ignore[attr-defined]
    ping_us = liveness.QUIET_CHECK_INTERVAL_US if link.ping_is_free else liveness.QUIET_PING_INTERVAL_US
    found_us = ping_us + liveness.MAX_UNANSWERED_CHECKS * liveness.CHECK_INTERVAL_US
    connect_us = int(reconnect.DEFAULT_CONNECT_TIMEOUT_S * 1e6) + reconnect.RECONNECT_BACKOFF_US
    assert found_us + reconnect.FAST_RECONNECT_US + connect_us < RELEASE_DUE_US


def test_binary_pings_are_rarer_than_checks() -> None:
    """Guards against the price of probes: the message of most checks has none."""
    cluster = cluster_with_running_task()
    link: Any = cluster.service.core.endpoints.nodes[1].link  # type: ignore[attr-defined]
    pings = count_calls(link, "ping")
    touches = count_calls(link, "touch")
    cluster.run_until(lambda: len(touches) == 6)
    assert len(pings) == 2


@pytest.mark.real_intervals
def test_connections_that_become_quiet_together_are_not_tried_together() -> None:
    """Guards against a turn that sends a message on each of 18,000 connections."""
    due: list[int] = []
    loop = SimpleNamespace(now=0, call_at=lambda at_us, _: due.append(at_us))
    for machine in range(18_000):
        node = SimpleNamespace(loop=loop, machine=machine)
        LivenessMonitor(SimpleNamespace(node=node)).watch_tasks()
    per_turn = Counter(due)
    assert 4_000_000 <= min(due) <= max(due) <= 5_000_000
    assert max(per_turn.values()) <= 18_000 // 8  # of 10 checks in the second over which they are spread
