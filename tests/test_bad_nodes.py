"""Nodes whose answers are corrupt, incomplete or missing: their tasks fail, or are retried on other nodes."""

from __future__ import annotations

from typing import Any

import pytest

from thornshelf.lab.fakes.cluster import BINARY, DESCRIPTION, GRPC, JSON, FakeCluster, NodeBehavior
from thornshelf.loop import loop as loop_module
from thornshelf.nodes import liveness, reconnect
from thornshelf.wire import binary
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire.errors import WireError

PLACED, FAILED = ("placed", DESCRIPTION), ("failed", None)
NON_IDEMPOTENT_CLASS = "ledger-batch"
WIRES = pytest.mark.parametrize(("frontend", "node"), [(JSON, BINARY), (GRPC, GRPC)])


def node_with_running_and_open_task(cluster: FakeCluster) -> Any:
    """Return a node on which one task runs, and another that must not run twice is in flight."""
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    cluster.client.send_request(6, NodeBehavior.IGNORE, NON_IDEMPOTENT_CLASS)
    cluster.run_until(lambda: cluster.offer_count(6) == 1)
    return cluster.nodes[0]


@WIRES
@pytest.mark.parametrize("failure", ["partial", "deaf"])
def test_an_unresponsive_connection_is_closed_and_running_tasks_are_kept(
    frontend: str, node: str, failure: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection stays open, so that only missing data reveals it; updates arrive on the next connection."""
    monkeypatch.setattr(liveness, "CHECK_INTERVAL_US", 5_000)
    cluster = FakeCluster(frontend, node, node_count=1)
    bad = node_with_running_and_open_task(cluster)
    if failure == "partial":
        bad.streams[0].send(b"\x00\x40half" if node == BINARY else b"\x00\x00\x40\x00half")
    else:
        bad.ignores_input = True
    assert cluster.wait_for_events(6) == [FAILED]  # it may have run
    bad.ignores_input = False
    cluster.run_until(lambda: len(bad.streams) == 2)
    assert cluster.client.events[5] == [PLACED]
    assert cluster.offer_count(6) == 1
    cluster.client.send_request(7, NodeBehavior.RUN)
    assert cluster.wait_for_events(7) == [PLACED]
    cluster.client.cancel(5)
    cluster.run_until(lambda: ("release", 5) in bad.received_kinds)


def test_a_wrong_length_that_swallows_later_messages_is_detected_though_bytes_arrive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without an attempt in flight, too, updates of running tasks would be lost until so much data has arrived."""
    monkeypatch.setattr(liveness, "CHECK_INTERVAL_US", 5_000)
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    (bad,) = cluster.nodes
    bad.streams[0].send(b"\x2f\xff")
    swallowed = 0
    while len(bad.streams) == 1:
        bad.streams[0].send(binary.encode(binary.PROGRESS, 5))
        swallowed += 1
        cluster.run_for(2)
    assert swallowed < 100
    assert cluster.client.events[5] == [PLACED]


@WIRES
def test_an_idempotent_task_on_it_is_retried_elsewhere(
    frontend: str, node: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(liveness, "CHECK_INTERVAL_US", 5_000)
    cluster = FakeCluster(frontend, node)
    cluster.run_until(lambda: all(candidate.streams for candidate in cluster.nodes))
    cluster.run_for(20)
    for candidate in cluster.nodes:
        candidate.ignores_input = True
    cluster.client.send_request(5, NodeBehavior.RUN)
    core = cluster.service.core
    cluster.run_until(lambda: 5 in core.tasks_by_uid and core.tasks_by_uid[5].attempt is not None)
    attempt: Any = core.tasks_by_uid[5].attempt
    other = cluster.nodes[2 - attempt.machine]
    other.ignores_input = False
    assert cluster.wait_for_events(5) == [PLACED]
    assert other.offer_count(5) == 1


@WIRES
def test_a_slow_node_that_answers_pings_keeps_its_connection(
    frontend: str, node: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node that answers pings may still answer the attempt."""
    monkeypatch.setattr(liveness, "CHECK_INTERVAL_US", 2_000)
    cluster = FakeCluster(frontend, node, node_count=1)
    slow = node_with_running_and_open_task(cluster)
    cluster.run_for(5 * liveness.MAX_UNANSWERED_CHECKS * 2)
    assert len(slow.streams) == 1
    assert slow.streams[0].open
    assert 6 not in cluster.client.events


CORRUPT_ANSWERS = [
    binary.encode(binary.ANSWER, 6),
    binary.encode(binary.ANSWER, 6, {binary.DESCRIPTION: b"noise \xff\xfe"}),
    binary.encode(binary.RELEASE, 6),
    binary.encode(99, 6, {binary.DESCRIPTION: DESCRIPTION}),
    binary.encode(binary.ANSWER, 6, {binary.DESCRIPTION: DESCRIPTION})[:-1] + b"\x00\x01",
]


@pytest.mark.parametrize("answer", CORRUPT_ANSWERS)
def test_a_corrupt_answer_is_never_passed_on(answer: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(liveness, "CHECK_INTERVAL_US", 5_000)
    cluster = FakeCluster(node_count=1)
    bad = node_with_running_and_open_task(cluster)
    bad.streams[0].send(answer)
    assert cluster.wait_for_events(6) == [FAILED]
    assert cluster.offer_count(6) == 1
    assert cluster.client.events[5] == [PLACED]
    cluster.run_until(lambda: len(bad.streams) == 2)


def test_a_binding_without_a_description_is_never_passed_on() -> None:
    cluster = FakeCluster(JSON, GRPC, node_count=1)
    node = node_with_running_and_open_task(cluster)
    link: Any = cluster.service.core.endpoints.nodes[1].link  # type: ignore[attr-defined]
    with pytest.raises(WireError, match="without a description"):
        link._process_report(pb.NodeReport(uid=6, binding=pb.Binding()))
    assert node.offer_count(6) == 1


@pytest.mark.parametrize("lifecycle", ["terminating", "in_service"])
def test_a_refused_connect_proves_a_draining_node_dead_only_after_its_own_break(lifecycle: str) -> None:
    """A draining node refuses connections while its tasks run on; a new dispatcher must not release these."""
    cluster = FakeCluster(node_count=1)
    (node,) = cluster.nodes
    cluster.loop.cancel(node._accepting)
    cluster.loop.unregister(node.sock.fileno())
    node.sock.close()
    cluster.update_endpoint(cluster.endpoint(0) | {"instanceId": "s-00000009", "lifecycle": lifecycle})
    cluster.client.send_request(5, NodeBehavior.RUN, at="s-00000009")
    cluster.run_until(lambda: 5 in cluster.service.core.tasks_by_uid or 5 in cluster.client.events)
    if lifecycle == "in_service":
        cluster.wait_for_events(5)
    else:
        cluster.run_for(600)
        assert cluster.client.events == {}
    assert len([line for line in cluster.logged if line[1] == "node-process-dead"]) == (
        lifecycle == "in_service"
    )


def test_a_connection_that_breaks_while_new_is_replaced_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against attempts delayed by a backoff that is meant for nodes that close every connection."""
    monkeypatch.setattr(reconnect, "RECONNECT_BACKOFF_US", 60_000_000)
    cluster = FakeCluster(node_count=1)
    node_with_running_and_open_task(cluster)
    cluster.nodes[0].break_streams()
    cluster.client.send_request(7, NodeBehavior.RUN)
    assert cluster.wait_for_events(7) == [PLACED]


@WIRES
@pytest.mark.parametrize("task_class", ["lookup", NON_IDEMPOTENT_CLASS])
def test_no_attempt_is_sent_on_a_connection_that_its_node_has_closed(
    frontend: str, node: str, task_class: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against failing a task that must not run twice because its attempt was sent on a closed connection.

    The request is read first, and the turn's budget ends before the node's close is read.
    """
    cluster = FakeCluster(frontend, node, node_count=1)
    cluster.run_until(lambda: bool(cluster.nodes[0].streams))
    cluster.run_for(30)
    (closing_node,) = cluster.nodes
    monkeypatch.setattr(loop_module, "STEPS_PER_CLOCK_CHECK", 1)
    monkeypatch.setattr(loop_module, "TURN_BUDGET_US", 0)
    cluster.client.send_request(5, NodeBehavior.RUN, task_class)
    cluster.client.stream.flush()
    closing_node.streams[0].close()
    assert cluster.wait_for_events(5) == [PLACED]
    assert cluster.offer_count(5) == 1
    assert len(closing_node.streams) == 2
    core = cluster.service.core
    assert not core.counters["failed"]
    assert core.placer.machines[1].consecutive_failures == 0
