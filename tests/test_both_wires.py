"""Clients see the same events for each task, whichever wire formats the client and the nodes use."""

from __future__ import annotations

from typing import Any

import pytest

from thornshelf.lab.fakes.cluster import BINARY, DESCRIPTION, GRPC, JSON, FakeCluster, NodeBehavior
from thornshelf.wire import placement_pb2 as pb

WIRE_FORMATS = [(JSON, BINARY), (GRPC, GRPC), (JSON, GRPC), (GRPC, BINARY)]
PLACED, REFUSED, FAILED = ("placed", DESCRIPTION), ("refused", "1000"), ("failed", None)
NON_IDEMPOTENT_CLASS = "ledger-batch"

# behavior of the node, task class, events at the client, number of attempts that the nodes received
CASES: list[tuple[NodeBehavior, str, list[tuple[Any, ...]], int]] = [
    (NodeBehavior.RUN, "lookup", [PLACED], 1),
    (NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, [PLACED], 1),
    (NodeBehavior.END, "lookup", [PLACED, ("released", pb.ENDED)], 1),
    (NodeBehavior.EVICT, NON_IDEMPOTENT_CLASS, [PLACED, ("released", pb.RESET)], 1),
    (NodeBehavior.BIND_TWICE, "lookup", [PLACED], 1),  # a second answer is ignored
    (NodeBehavior.BIND_UNKNOWN, "lookup", [PLACED], 1),  # an answer without an attempt is ignored
    (NodeBehavior.REFUSE_TWICE, NON_IDEMPOTENT_CLASS, [REFUSED], 2),
    (NodeBehavior.REFUSE, "lookup", [REFUSED], 2),
    (NodeBehavior.REFUSE, NON_IDEMPOTENT_CLASS, [REFUSED], 2),
    (NodeBehavior.MOOT, NON_IDEMPOTENT_CLASS, [REFUSED], 2),
    (NodeBehavior.ERROR, "lookup", [REFUSED], 2),
    (NodeBehavior.ERROR, NON_IDEMPOTENT_CLASS, [FAILED], 1),
    (NodeBehavior.RESET, "lookup", [REFUSED], 2),
    (NodeBehavior.RESET, NON_IDEMPOTENT_CLASS, [FAILED], 1),
    (NodeBehavior.TRUNCATE_BINDING, "lookup", [REFUSED], 2),
    (
        NodeBehavior.TRUNCATE_BINDING,
        NON_IDEMPOTENT_CLASS,
        [FAILED],
        1,
    ),  # it may have run, so it is not started again
]


@pytest.mark.parametrize(("frontend", "node"), WIRE_FORMATS)
@pytest.mark.parametrize(("behavior", "task_class", "expected", "offers"), CASES)
def test_outcomes_are_the_same_for_all_wire_formats(
    frontend: str,
    node: str,
    behavior: NodeBehavior,
    task_class: str,
    expected: list[tuple[Any, ...]],
    offers: int,
) -> None:
    cluster = FakeCluster(frontend, node)
    cluster.client.send_request(5, behavior, task_class)
    first_events = cluster.wait_for_events(5, len(expected))
    cluster.run_for(5)
    assert (cluster.client.events[5], cluster.offer_count(5)) == (expected, offers)
    assert first_events == expected


@pytest.mark.parametrize(("frontend", "node"), WIRE_FORMATS)
@pytest.mark.parametrize("task_class", ["lookup", NON_IDEMPOTENT_CLASS])
def test_a_request_is_answered_by_its_deadline_and_its_attempt_cancelled(
    frontend: str, node: str, task_class: str
) -> None:
    cluster = FakeCluster(frontend, node)
    requested_us = cluster.loop.now
    cluster.client.send_request(5, NodeBehavior.IGNORE, task_class, left="250")
    assert cluster.wait_for_events(5) == [FAILED]
    assert cluster.loop.now - requested_us < 2_000_000
    cluster.run_until(lambda: any(("release", 5) in fake_node.received_kinds for fake_node in cluster.nodes))
    assert cluster.offer_count(5) == 1


@pytest.mark.parametrize(("frontend", "node"), WIRE_FORMATS)
def test_a_client_cancels_running_and_open_tasks(frontend: str, node: str) -> None:
    cluster = FakeCluster(frontend, node)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    cluster.client.send_request(6, NodeBehavior.IGNORE)
    cluster.run_until(lambda: cluster.offer_count(6) == 1)
    cluster.client.cancel(5)
    cluster.client.cancel(6)
    cluster.run_until(
        lambda: all(any(("release", uid) in n.received_kinds for n in cluster.nodes) for uid in (5, 6))
    )
    cluster.run_for()
    assert cluster.client.events == {5: [PLACED]}  # a client that ends a task gets no release


@pytest.mark.parametrize(("frontend", "node"), WIRE_FORMATS)
def test_closing_a_connection_cancels_open_tasks_and_keeps_running_ones(frontend: str, node: str) -> None:
    cluster = FakeCluster(frontend, node)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    cluster.client.send_request(6, NodeBehavior.IGNORE)
    cluster.run_until(lambda: cluster.offer_count(6) == 1)
    cluster.client.stream.close()
    cluster.run_until(lambda: any(("release", 6) in fake_node.received_kinds for fake_node in cluster.nodes))
    assert not any(("release", 5) in fake_node.received_kinds for fake_node in cluster.nodes)
    other = cluster.client = cluster.connect_client(frontend)
    other.cancel(5)  # a running task can be cancelled on any connection
    cluster.run_until(lambda: any(("release", 5) in fake_node.received_kinds for fake_node in cluster.nodes))


@pytest.mark.parametrize("node", [BINARY, GRPC])
def test_one_client_uses_both_wire_formats(node: str) -> None:
    cluster = FakeCluster(JSON, node)
    lines, calls = cluster.client, cluster.connect_client(GRPC)
    lines.send_request(5, NodeBehavior.RUN)
    cluster.run_until(lambda: 5 in lines.events)
    calls.send_request(
        5, NodeBehavior.RUN
    )  # the id is in use, and its only answer was sent in the other format
    calls.send_request(6, NodeBehavior.RUN)
    cluster.run_until(lambda: 6 in calls.events)
    calls.cancel(5)
    lines.cancel(6)
    cluster.run_until(
        lambda: all(any(("release", uid) in n.received_kinds for n in cluster.nodes) for uid in (5, 6))
    )
    lines.send_request(7, NodeBehavior.RUN)
    cluster.run_until(lambda: 7 in lines.events)
    lines.stream.close()
    cluster.run_for()
    for fake_node in cluster.nodes:
        fake_node.crash()  # the release of 7 goes to the client's remaining connection
    cluster.run_until(lambda: 7 in calls.events)
    assert lines.events == {5: [PLACED], 7: [PLACED]}
    assert calls.events == {5: [FAILED], 6: [PLACED], 7: [("released", pb.RESET)]}
    assert [cluster.offer_count(uid) for uid in (5, 6, 7)] == [1, 1, 1]


@pytest.mark.parametrize(("frontend", "node"), WIRE_FORMATS)
def test_the_tasks_of_a_dead_node_are_released(frontend: str, node: str) -> None:
    cluster = FakeCluster(frontend, node)
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    cluster.wait_for_events(5)
    for fake_node in cluster.nodes:
        fake_node.crash()
    assert cluster.wait_for_events(5, 2)[1] == ("released", pb.RESET)


@pytest.mark.parametrize(("frontend", "node"), WIRE_FORMATS)
def test_a_broken_node_connection_releases_no_task(frontend: str, node: str) -> None:
    cluster = FakeCluster(frontend, node)
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    cluster.wait_for_events(5)
    running_node = next(fake_node for fake_node in cluster.nodes if fake_node.received_kinds)
    running_node.break_streams()
    cluster.run_until(lambda: len(running_node.streams) == 2)  # reconnected, to receive the end of the task
    cluster.run_for()
    assert cluster.client.events[5] == [PLACED]


@pytest.mark.parametrize(("frontend", "node"), WIRE_FORMATS)
def test_no_attempt_is_sent_to_a_draining_node(frontend: str, node: str) -> None:
    cluster = FakeCluster(frontend, node)
    for index in (0, 1):
        cluster.update_lifecycle(index, "terminating")
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [REFUSED]
    assert cluster.offer_count(5) == 0


@pytest.mark.parametrize(("frontend", "node"), WIRE_FORMATS)
def test_a_handed_over_task_is_released_but_not_answered(frontend: str, node: str) -> None:
    cluster = FakeCluster(frontend, node)
    cluster.client.send_request(5, NodeBehavior.RUN, at="s-00000001")
    cluster.run_until(lambda: bool(cluster.nodes[0].streams))  # connected, to receive the end of the task
    cluster.run_for()
    assert cluster.client.events == {}
    assert cluster.offer_count(5) == 0
    cluster.update_lifecycle(0, "terminated")
    cluster.run_until(lambda: 5 in cluster.client.events)
    assert cluster.client.events[5][0][0] in ("released", "failed")


@pytest.mark.parametrize(("frontend", "node"), WIRE_FORMATS)
def test_an_invalid_request_fails_without_affecting_others(frontend: str, node: str) -> None:
    cluster = FakeCluster(frontend, node)
    cluster.client.send_request(5, NodeBehavior.RUN, "no-such-class")
    cluster.client.send_request(6, NodeBehavior.RUN, left="nan")
    cluster.client.send_request(7, NodeBehavior.RUN)
    assert cluster.wait_for_events(7) == [PLACED]
    assert cluster.client.events == {5: [FAILED], 6: [FAILED], 7: [PLACED]}
    assert len(cluster.logged) == 2
