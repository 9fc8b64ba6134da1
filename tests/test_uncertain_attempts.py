"""Uncertain attempts, idempotency keys and releases: with injected faults, nothing is lost or started twice."""

from __future__ import annotations

from typing import Any

import pytest

from tests.translation_helpers import (
    CLIENTS,
    FAILED,
    NON_IDEMPOTENT_CLASS,
    PLACED,
    REJECTED,
    counters,
    reason_text,
    start_count,
)
from thornshelf.lab.fakes.cluster import (
    BINARY,
    DESCRIPTION,
    GRPC,
    GRPC2,
    JSON,
    FakeCluster,
    FakeNode,
    NodeBehavior,
)
from thornshelf.translation.translator import TranslationConfig
from thornshelf.wire import placement_v2_pb2 as pb2

# uncertain attempts


@CLIENTS
@pytest.mark.parametrize(
    ("behavior", "expected", "starts"),
    [
        (
            NodeBehavior.TRUNCATE_BINDING,
            [PLACED],
            1,
        ),  # cut in the middle of the answer; a query finds the task running
        (NodeBehavior.DISCONNECT_AFTER_START, [PLACED], 1),
        (NodeBehavior.DISCONNECT_BEFORE_START, [REJECTED], 0),  # each node replies that the task never ran
    ],
)
def test_an_uncertain_attempt_is_resolved_before_the_deadline(
    frontend: str, behavior: NodeBehavior, expected: list[tuple[Any, ...]], starts: int
) -> None:
    cluster = FakeCluster(frontend, GRPC2)
    cluster.client.send_request(5, behavior, NON_IDEMPOTENT_CLASS)
    events = cluster.wait_for_events(5)
    cluster.run_for(100)
    assert [event[0] for event in events] == [event[0] for event in expected]
    assert start_count(cluster, 5) == starts
    assert len(cluster.client.events[5]) == 1


def test_without_status_queries_an_uncertain_attempt_fails() -> None:
    def disable_replies(node: FakeNode) -> None:
        node.profile.claims_to_answer = False

    for cluster in (
        FakeCluster(JSON, GRPC2, prepare_node=disable_replies),
        FakeCluster(JSON, BINARY, translation=TranslationConfig()),
    ):
        cluster.client.send_request(5, NodeBehavior.TRUNCATE_BINDING, NON_IDEMPOTENT_CLASS)
        assert cluster.wait_for_events(5) == [FAILED]
        assert start_count(cluster, 5) == 1
        cluster.client.send_request(6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, key=f"{5:016x}")
        assert cluster.wait_for_events(6) == [FAILED]
        assert start_count(cluster, 5) == 1
        assert reason_text(cluster.client.messages[6][0]).startswith("in doubt: ")


@pytest.mark.parametrize("second", [JSON, GRPC, GRPC2])
def test_a_retry_over_another_frontend_finds_a_cut_attempt_running(second: str) -> None:
    """The client disconnects as its answer is cut; a request under a new id finds the task running."""
    cluster = FakeCluster(JSON, GRPC2)
    other = cluster.connect_client(second)
    cluster.client.send_request(5, NodeBehavior.DELAY, NON_IDEMPOTENT_CLASS)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    running_node = next(node for node in cluster.nodes if node.received_messages)
    order, responder = running_node.delayed_tasks.pop(5)
    running_node.start_task(order, responder, sends_binding=False)
    responder.send_truncated_binding(5)
    cluster.client.stream.close()
    other.send_request(6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, key=f"{5:016x}")
    cluster.run_until(lambda: 6 in other.events)
    cluster.run_for(100)
    # The disconnect cancelled the task, so the second client may see its end as well.
    kinds = [event[0] for event in other.events[6]]
    assert kinds in (["placed"], ["placed", "released"])
    assert start_count(cluster, 5) == 1


def test_requests_of_several_clients_with_one_key_share_a_task() -> None:
    cluster = FakeCluster(JSON, GRPC2)
    other = cluster.connect_client(GRPC2)
    cluster.client.send_request(5, NodeBehavior.DELAY, NON_IDEMPOTENT_CLASS)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    other.send_request(6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, key=f"{5:016x}")
    cluster.run_for(50)
    assert cluster.client.events == {}
    assert other.events == {}
    running_node = next(node for node in cluster.nodes if node.received_messages)
    running_node.start_delayed(5)
    cluster.run_until(lambda: 5 in cluster.client.events and 6 in other.events)
    assert (cluster.client.events[5], other.events[6]) == ([PLACED], [PLACED])
    assert start_count(cluster, 5) == 1
    third = cluster.connect_client(GRPC)
    third.send_request(7, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, key=f"{5:016x}")  # the task runs by now
    cluster.run_until(lambda: 7 in third.events)
    assert third.events[7] == [PLACED]
    assert third.messages[7][0].binding.description == DESCRIPTION
    cluster.client.cancel(5)  # one of three clients; the task continues for the others
    cluster.run_for(50)
    assert 5 in running_node.running
    running_node.record_end(5, pb2.ENDED)
    running_node.responders[-1].end(5, 16, pb2.ENDED)
    cluster.run_until(lambda: len(other.events[6]) == 2 and len(third.events[7]) == 2)
    cluster.run_for(50)
    assert other.events[6] == third.events[7] == [PLACED, ("released", pb2.ENDED)]
    assert cluster.client.events[5] == [PLACED]
    assert not cluster.service.core.tasks_by_uid


def test_one_of_two_clients_disconnects_while_the_task_is_open() -> None:
    cluster = FakeCluster(JSON, GRPC2)
    other = cluster.connect_client(GRPC2)
    cluster.client.send_request(5, NodeBehavior.DELAY, NON_IDEMPOTENT_CLASS)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    other.send_request(6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, key=f"{5:016x}")
    cluster.run_for(50)
    cluster.client.stream.close()
    cluster.run_for(50)
    next(node for node in cluster.nodes if node.received_messages).start_delayed(5)
    cluster.run_until(lambda: 6 in other.events)
    assert other.events[6] == [PLACED]
    assert start_count(cluster, 5) == 1
    assert cluster.service.core.open_count == 0


def test_a_joined_request_is_answered_by_its_own_deadline() -> None:
    cluster = FakeCluster(JSON, GRPC2)
    cluster.client.send_request(5, NodeBehavior.DELAY, NON_IDEMPOTENT_CLASS)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    cluster.client.send_request(6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, key=f"{5:016x}", left="200")
    assert cluster.wait_for_events(6) == [FAILED]
    assert 5 not in cluster.client.events


def test_a_late_start_of_a_cancelled_attempt_is_cancelled_and_counted() -> None:
    cluster = FakeCluster(JSON, GRPC2, node_count=1)
    cluster.client.send_request(5, NodeBehavior.DELAY, NON_IDEMPOTENT_CLASS)
    node = cluster.nodes[0]
    cluster.run_until(lambda: 5 in node.delayed_tasks)
    order, responder = node.delayed_tasks[5]
    cluster.client.cancel(5)
    cluster.run_until(lambda: ("release", 5) in node.received_kinds)
    node.start_task(order, responder)  # the node starts the attempt despite the cancellation
    cluster.run_until(lambda: node.received_kinds.count(("release", 5)) == 2)
    cluster.run_for(50)
    assert 5 not in node.running
    assert counters(cluster)["late yes"] == 1
    assert cluster.client.events == {}
    # The key is uncertain, and the node replies that its task ran.
    cluster.client.send_request(6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, key=f"{5:016x}")
    assert [event[0] for event in cluster.wait_for_events(6, 2)] == ["placed", "released"]
    assert len(node.ended_by_key) == 1


def test_a_late_start_after_a_retry_with_the_key_is_cancelled() -> None:
    cluster = FakeCluster(JSON, GRPC2, node_count=1)
    cluster.client.send_request(5, NodeBehavior.DELAY, NON_IDEMPOTENT_CLASS)
    node = cluster.nodes[0]
    cluster.run_until(lambda: 5 in node.delayed_tasks)
    order, responder = node.delayed_tasks[5]
    cluster.client.cancel(5)
    cluster.client.send_request(6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, key=f"{5:016x}")
    cluster.run_until(lambda: ("question", 5) in node.received_kinds)
    assert cluster.wait_for_events(6) == [PLACED]
    assert len(node.running_by_key) == 1
    node.start_task(order, responder)  # the node starts the attempt after replying that it never ran
    cluster.run_until(lambda: node.received_kinds.count(("release", 5)) == 2)
    assert counters(cluster)["late yes"] == 1
    assert 6 in node.running


def test_late_starts_after_never_ran_replies_are_counted_against_the_node() -> None:
    cluster = FakeCluster(JSON, GRPC2, node_count=2)
    for uid in (5, 6):
        cluster.client.send_request(uid, NodeBehavior.DELAY, NON_IDEMPOTENT_CLASS)
    cluster.run_until(lambda: sum(len(fake_node.delayed_tasks) for fake_node in cluster.nodes) == 2)
    cluster.run_for(20)
    for node in cluster.nodes:
        node.profile.false_answers = {5: pb2.NEVER, 6: pb2.NEVER}
    pending = {
        uid: (node, *node.delayed_tasks[uid]) for node in cluster.nodes for uid in list(node.delayed_tasks)
    }
    for node in {entry[0] for entry in pending.values()}:
        node.break_streams()
    cluster.run_until(lambda: counters(cluster).get("asked: never ran", 0) >= 2)
    for uid, (node, order, _) in pending.items():
        cluster.run_until(lambda node=node: bool(node.responders))  # type: ignore[misc]
        node.delayed_tasks.pop(uid, None)
        node.start_task(order, node.responders[-1])
    cluster.run_until(lambda: counters(cluster).get("late yes", 0) >= 1)
    broken = [cluster.service.core.translator.profile(n).broken_promises for n in (1, 2)]  # type: ignore[union-attr]
    assert sum(broken) >= 1


def test_a_timed_out_attempt_is_resolved_by_a_query() -> None:
    """A timed-out attempt is cancelled and queried, and the node replies that it never ran."""
    cluster = FakeCluster(JSON, GRPC2, node_count=1)
    cluster.client.send_request(5, NodeBehavior.DELAY, NON_IDEMPOTENT_CLASS)
    node, core = cluster.nodes[0], cluster.service.core
    cluster.run_until(lambda: 5 in node.delayed_tasks)
    task = core.tasks_by_uid[5]
    attempt = task.attempt
    assert attempt is not None
    pending_attempt = node.delayed_tasks[5]
    core.attempts.timed_out(task, attempt)
    cluster.run_until(lambda: ("question", 5) in node.received_kinds)
    assert ("release", 5) in node.received_kinds
    events = cluster.wait_for_events(5)  # cancelled before the query, so it never ran
    assert events[0][0] == "refused"
    assert start_count(cluster, 5) == 0
    node.start_task(*pending_attempt)
    cluster.run_until(lambda: 5 not in node.running)
    assert counters(cluster)["late yes"] == 1
    assert cluster.client.events[5] == events


def test_a_node_with_a_pending_attempt_is_queried_again() -> None:
    cluster = FakeCluster(JSON, GRPC2, node_count=1)
    cluster.client.send_request(5, NodeBehavior.DELAY, NON_IDEMPOTENT_CLASS)
    node = cluster.nodes[0]
    cluster.run_until(lambda: 5 in node.delayed_tasks)
    order, _ = node.delayed_tasks[5]
    node.break_streams()
    cluster.run_until(lambda: node.received_kinds.count(("question", 5)) >= 2)
    node.delayed_tasks.pop(5)
    node.start_task(order, None, sends_binding=False)
    assert cluster.wait_for_events(5) == [PLACED]
    assert start_count(cluster, 5) == 1


def test_an_uncertain_key_expires_and_may_be_used_again() -> None:
    cluster = FakeCluster(JSON, BINARY, translation=TranslationConfig(uncertain_retention_us=300_000))
    cluster.client.send_request(5, NodeBehavior.TRUNCATE_BINDING, NON_IDEMPOTENT_CLASS)
    assert cluster.wait_for_events(5) == [FAILED]
    cluster.run_for(350)
    cluster.client.send_request(6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, key=f"{5:016x}")
    assert cluster.wait_for_events(6) == [PLACED]


def test_a_task_that_ended_releases_its_key_at_once() -> None:
    cluster = FakeCluster(JSON, GRPC2)
    for uid in (5, 6, 7):
        cluster.client.send_request(uid, NodeBehavior.END, NON_IDEMPOTENT_CLASS, key=f"{5:016x}")
        assert [event[0] for event in cluster.wait_for_events(uid, 2)] == ["placed", "released"]
    assert len(cluster.service.core.translator.idempotency_keys) == 0  # type: ignore[union-attr]


def test_idempotent_tasks_are_not_joined() -> None:
    cluster = FakeCluster(JSON, GRPC2)
    for uid in (5, 6):
        cluster.client.send_request(uid, NodeBehavior.RUN, key=f"{5:016x}")
        assert cluster.wait_for_events(uid) == [PLACED]
    assert cluster.offer_count(5) == cluster.offer_count(6) == 1


# running tasks and releases


def test_a_task_end_lost_with_a_broken_connection_is_found_by_a_query() -> None:
    cluster = FakeCluster(JSON, GRPC2, node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    node = cluster.nodes[0]
    node.record_end(5, pb2.ENDED)  # the report of this end is lost
    node.break_streams()
    assert cluster.wait_for_events(5, 2)[1] == ("released", pb2.ENDED)


def test_tasks_of_a_process_replaced_at_its_address_are_released() -> None:
    cluster = FakeCluster(JSON, GRPC2, node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    cluster.wait_for_events(5)
    node = cluster.nodes[0]
    node.running.clear()
    node.running_by_key.clear()
    node.break_streams()
    assert cluster.wait_for_events(5, 2)[1] == ("released", pb2.RESET)


@pytest.mark.parametrize("frontend", [JSON, GRPC2])
def test_an_unacknowledged_release_is_sent_again_on_another_connection(frontend: str) -> None:
    cluster = FakeCluster(frontend, BINARY, translation=TranslationConfig())
    other = cluster.connect_client(frontend)
    for client, uid in ((cluster.client, 5), (cluster.client, 6), (other, 7)):
        client.acknowledges_releases = True
        client.send_request(uid, NodeBehavior.RUN)
        cluster.run_until(lambda client=client, uid=uid: uid in client.events)  # type: ignore[misc]
    running_node = {uid: next(node for node in cluster.nodes if uid in node.running) for uid in (5, 6)}
    running_node[6].record_end(6, pb2.ENDED)
    running_node[6].responders[-1].end(6, 16, pb2.ENDED)
    assert cluster.wait_for_events(6, 2)[1][0] == "released"
    cluster.run_for(50)  # the acknowledgement has arrived
    cluster.client.receive = lambda _: None  # receives the release without acknowledging it
    running_node[5].record_end(5, pb2.ENDED)
    running_node[5].responders[-1].end(5, 16, pb2.ENDED)
    cluster.run_for(50)
    other.placed.update((5, 6))
    cluster.client.stream.close()
    cluster.run_until(lambda: 5 in other.events)
    cluster.run_for(400)
    assert other.events[5] == [("released", pb2.ENDED)]
    assert 6 not in other.events
