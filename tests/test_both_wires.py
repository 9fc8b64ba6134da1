"""One suite over both wire forms: the events of each task at its client have to be the same."""

from __future__ import annotations

from typing import Any

import pytest

from thornshelf.lab.fakes.cluster import BINARY, DESCRIPTION, GRPC, JSON, FakeCluster, NodeBehavior
from thornshelf.wire import placement_pb2 as pb

FORMS = [(JSON, BINARY), (GRPC, GRPC), (JSON, GRPC), (GRPC, BINARY)]
PLACED, REFUSED, FAILED = ("placed", DESCRIPTION), ("refused", "1000"), ("failed", None)
ONCE_ONLY = "ledger-batch"

# behaviour of the node, class, events at the client, and how many attempts the nodes received
CASES: list[tuple[NodeBehavior, str, list[tuple[Any, ...]], int]] = [
    (NodeBehavior.RUN, "lookup", [PLACED], 1),
    (NodeBehavior.RUN, ONCE_ONLY, [PLACED], 1),
    (NodeBehavior.END, "lookup", [PLACED, ("released", pb.ENDED)], 1),
    (NodeBehavior.EVICT, ONCE_ONLY, [PLACED, ("released", pb.RESET)], 1),
    (
        NodeBehavior.TWICE,
        "lookup",
        [PLACED],
        1,
    ),  # a second answer, and one for no attempt, are ignored
    (NodeBehavior.STRAY, "lookup", [PLACED], 1),
    (NodeBehavior.FULL_TWICE, ONCE_ONLY, [REFUSED], 2),
    (NodeBehavior.FULL, "lookup", [REFUSED], 2),
    (NodeBehavior.FULL, ONCE_ONLY, [REFUSED], 2),
    (NodeBehavior.MOOT, ONCE_ONLY, [REFUSED], 2),
    (NodeBehavior.FAULT, "lookup", [REFUSED], 2),
    (NodeBehavior.FAULT, ONCE_ONLY, [FAILED], 1),
    (NodeBehavior.RESET, "lookup", [REFUSED], 2),
    (NodeBehavior.RESET, ONCE_ONLY, [FAILED], 1),
    (NodeBehavior.CUT, "lookup", [REFUSED], 2),
    (NodeBehavior.CUT, ONCE_ONLY, [FAILED], 1),  # it may have run: never started twice
]


@pytest.mark.parametrize(("front", "node"), FORMS)
@pytest.mark.parametrize(("behavior", "task_class", "expected", "offers"), CASES)
def test_outcomes_are_the_same_on_both_wires(
    front: str,
    node: str,
    behavior: NodeBehavior,
    task_class: str,
    expected: list[tuple[Any, ...]],
    offers: int,
) -> None:
    cluster = FakeCluster(front, node)
    cluster.client.ask(5, behavior, task_class)
    first_events = cluster.wait_for_events(5, len(expected))
    cluster.run_for(5)
    assert (cluster.client.heard[5], cluster.offer_count(5)) == (expected, offers)
    assert first_events == expected


@pytest.mark.parametrize(("front", "node"), FORMS)
@pytest.mark.parametrize("task_class", ["lookup", ONCE_ONLY])
def test_a_deadline_is_answered_in_time_and_the_attempt_cancelled(
    front: str, node: str, task_class: str
) -> None:
    cluster = FakeCluster(front, node)
    requested_us = cluster.loop.now
    cluster.client.ask(5, NodeBehavior.SILENT, task_class, left="250")
    assert cluster.wait_for_events(5) == [FAILED]
    assert cluster.loop.now - requested_us < 2_000_000
    cluster.run_until(lambda: any(("release", 5) in one.seen for one in cluster.nodes))
    assert cluster.offer_count(5) == 1


@pytest.mark.parametrize(("front", "node"), FORMS)
def test_a_client_cancels_running_and_open_tasks(front: str, node: str) -> None:
    cluster = FakeCluster(front, node)
    cluster.client.ask(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    cluster.client.ask(6, NodeBehavior.SILENT)
    cluster.run_until(lambda: cluster.offer_count(6) == 1)
    cluster.client.give_up(5)
    cluster.client.give_up(6)
    cluster.run_until(lambda: all(any(("release", uid) in n.seen for n in cluster.nodes) for uid in (5, 6)))
    cluster.run_for()
    assert cluster.client.heard == {5: [PLACED]}  # a client that ends a task gets no release


@pytest.mark.parametrize(("front", "node"), FORMS)
def test_closing_a_connection_cancels_open_tasks_and_keeps_running_ones(front: str, node: str) -> None:
    cluster = FakeCluster(front, node)
    cluster.client.ask(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    cluster.client.ask(6, NodeBehavior.SILENT)
    cluster.run_until(lambda: cluster.offer_count(6) == 1)
    cluster.client.stream.close()
    cluster.run_until(lambda: any(("release", 6) in one.seen for one in cluster.nodes))
    assert not any(("release", 5) in one.seen for one in cluster.nodes)
    other = cluster.client = cluster.connect_client(front)
    other.give_up(5)  # a running task belongs to no connection
    cluster.run_until(lambda: any(("release", 5) in one.seen for one in cluster.nodes))


@pytest.mark.parametrize("node", [BINARY, GRPC])
def test_one_client_mixes_both_forms(node: str) -> None:
    cluster = FakeCluster(JSON, node)
    lines, calls = cluster.client, cluster.connect_client(GRPC)
    lines.ask(5, NodeBehavior.RUN)
    cluster.run_until(lambda: 5 in lines.heard)
    calls.ask(5, NodeBehavior.RUN)  # an id in use: its one answer was given in the other form
    calls.ask(6, NodeBehavior.RUN)
    cluster.run_until(lambda: 6 in calls.heard)
    calls.give_up(5)
    lines.give_up(6)
    cluster.run_until(lambda: all(any(("release", uid) in n.seen for n in cluster.nodes) for uid in (5, 6)))
    lines.ask(7, NodeBehavior.RUN)
    cluster.run_until(lambda: 7 in lines.heard)
    lines.stream.close()
    cluster.run_for()
    for one in cluster.nodes:
        one.die()  # the release of 7 goes to the connection that the client still has
    cluster.run_until(lambda: 7 in calls.heard)
    assert lines.heard == {5: [PLACED], 7: [PLACED]}
    assert calls.heard == {5: [FAILED], 6: [PLACED], 7: [("released", pb.RESET)]}
    assert [cluster.offer_count(uid) for uid in (5, 6, 7)] == [1, 1, 1]


@pytest.mark.parametrize(("front", "node"), FORMS)
def test_the_tasks_of_a_dead_node_are_released(front: str, node: str) -> None:
    cluster = FakeCluster(front, node)
    cluster.client.ask(5, NodeBehavior.RUN, ONCE_ONLY)
    cluster.wait_for_events(5)
    for one in cluster.nodes:
        one.die()
    assert cluster.wait_for_events(5, 2)[1] == ("released", pb.RESET)


@pytest.mark.parametrize(("front", "node"), FORMS)
def test_a_broken_connection_alone_releases_nothing(front: str, node: str) -> None:
    cluster = FakeCluster(front, node)
    cluster.client.ask(5, NodeBehavior.RUN, ONCE_ONLY)
    cluster.wait_for_events(5)
    holder = next(one for one in cluster.nodes if one.seen)
    holder.break_streams()
    cluster.run_until(lambda: len(holder.streams) == 2)  # it is connected to again, to receive the task's end
    cluster.run_for()
    assert cluster.client.heard[5] == [PLACED]


@pytest.mark.parametrize(("front", "node"), FORMS)
def test_no_attempt_is_sent_to_a_draining_node(front: str, node: str) -> None:
    cluster = FakeCluster(front, node)
    for index in (0, 1):
        cluster.update_lifecycle(index, "terminating")
    cluster.client.ask(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [REFUSED]
    assert cluster.offer_count(5) == 0


@pytest.mark.parametrize(("front", "node"), FORMS)
def test_a_task_handed_over_is_not_answered_but_released(front: str, node: str) -> None:
    cluster = FakeCluster(front, node)
    cluster.client.ask(5, NodeBehavior.RUN, at="s-00000001")
    cluster.run_until(lambda: bool(cluster.nodes[0].streams))  # to receive its end
    cluster.run_for()
    assert cluster.client.heard == {}
    assert cluster.offer_count(5) == 0
    cluster.update_lifecycle(0, "terminated")
    cluster.run_until(lambda: 5 in cluster.client.heard)
    assert cluster.client.heard[5][0][0] in ("released", "failed")


@pytest.mark.parametrize(("front", "node"), FORMS)
def test_bad_input_fails_its_message_alone(front: str, node: str) -> None:
    cluster = FakeCluster(front, node)
    cluster.client.ask(5, NodeBehavior.RUN, "no-such-class")
    cluster.client.ask(6, NodeBehavior.RUN, left="nan")
    cluster.client.ask(7, NodeBehavior.RUN)
    assert cluster.wait_for_events(7) == [PLACED]
    assert cluster.client.heard == {5: [FAILED], 6: [FAILED], 7: [PLACED]}
    assert len(cluster.logged) == 2
