"""Translation between protocol generations on sockets: missing fields, reasons, routes and retries."""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from tests.translation_helpers import (
    ASSUME,
    CLIENTS,
    NON_IDEMPOTENT_CLASS,
    PLACED,
    counters,
    log_lines,
    needs_hint,
    reason_text,
    start_count,
)
from thornshelf.lab.fakes.cluster import (
    BINARY,
    GRPC,
    GRPC2,
    JSON,
    WIRE_FORMATS,
    FakeCluster,
    FakeNode,
    NodeBehavior,
    ReceivedMessage,
)
from thornshelf.retries.budget import RetryBudgetConfig
from thornshelf.retries.deadline_queue import DeadlineQueueConfig
from thornshelf.translation.failures import WireFormat
from thornshelf.translation.translator import TranslationConfig
from thornshelf.wire import placement_v2_pb2 as pb2

# missing fields


@CLIENTS
def test_a_request_without_a_required_hint_is_rejected_with_the_reason(frontend: str) -> None:
    cluster = FakeCluster(frontend, GRPC2, prepare_node=needs_hint)
    cluster.run_for(50)  # until the hellos have arrived
    cluster.client.send_request(5, NodeBehavior.RUN, hint=None)
    assert cluster.wait_for_events(5)[0][0] == "refused"
    assert cluster.offer_count(5) == 0
    message = cluster.client.messages[5][0]
    if frontend == JSON:
        assert message.reason == 34
        assert message.meta["why"].startswith("hint needed: ")
    if frontend == GRPC2:
        assert (message.refusal.reason, message.refusal.advice) == (pb2.HINT_NEEDED, pb2.CHANGED)
    cluster.client.send_request(6, NodeBehavior.RUN)
    assert cluster.wait_for_events(6) == [PLACED]


@CLIENTS
def test_a_missing_hint_is_assumed_by_the_class_policy_and_reported(frontend: str) -> None:
    cluster = FakeCluster(frontend, GRPC2, translation=ASSUME, prepare_node=needs_hint)
    cluster.client.send_request(5, NodeBehavior.RUN, hint=None)
    cluster.client.send_request(
        6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, hint=None
    )  # a class without that policy
    assert cluster.wait_for_events(5) == [PLACED]
    assert cluster.wait_for_events(6)[0][0] == "refused"
    (order,) = (
        received for node in cluster.nodes for received in node.received_messages if received.uid == 5
    )
    assert (order.hint_ms, order.assumed) == (15_000.0, True)
    assert [values["ms"] for values in log_lines(cluster, "hint-assumed")] == [15_000]
    message = cluster.client.messages[5][0]
    if frontend == JSON:
        assert message.meta == {"hint": "15000", "assumed": "hint"}
    if frontend == GRPC2:
        assert message.binding.hint == pb2.Hint(ms=15_000.0, assumed=True)


def test_a_hint_assumed_by_another_dispatcher_counts_as_missing() -> None:
    cluster = FakeCluster(GRPC2, GRPC2, prepare_node=needs_hint)
    cluster.run_for(50)
    ask = cluster.client.make_ask(5, NodeBehavior.RUN, "lookup")
    ask.hint.assumed = True
    cluster.client.h2.send(cluster.client.stream_id, _frame(pb2.ClientMessage(ask=ask)))
    assert cluster.wait_for_events(5)[0][0] == "refused"


def test_a_clients_hint_and_resources_reach_a_new_node() -> None:
    cluster = FakeCluster(JSON, GRPC2)
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS, hint="8200.0")
    cluster.wait_for_events(5)
    (order,) = (received for node in cluster.nodes for received in node.received_messages)
    offer = order.v2_offer
    assert (offer.hint.ms, offer.hint.assumed, offer.tenant, offer.key) == (8200.0, False, "hollis-county", 5)
    assert (offer.cores, offer.memory, offer.service, offer.priority) == (1.0, 2.0, 7, 1)
    assert offer.never_twice


def test_fields_omitted_for_an_old_node_are_counted() -> None:
    cluster = FakeCluster(GRPC2, BINARY, translation=TranslationConfig())
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    assert counters(cluster)["left out to binary messages: hint"] == 1
    assert counters(cluster)["left out to binary messages: cores"] == 1


# reasons


@CLIENTS
@pytest.mark.parametrize(
    ("behavior", "reason", "text"),
    [
        (NodeBehavior.NEEDS_LICENCE, pb2.LICENCE, "licence: no licence for this program"),
        (NodeBehavior.QUARANTINED, pb2.QUARANTINED, "quarantined: under repair"),
        (NodeBehavior.UNKNOWN_REASON, pb2.UNTOLD, "untold: a word of tomorrow"),
    ],
)
def test_a_reason_unknown_to_the_format_keeps_its_guarantee_and_text(
    frontend: str, behavior: NodeBehavior, reason: int, text: str
) -> None:
    cluster = FakeCluster(frontend, GRPC2)
    cluster.client.send_request(5, behavior, NON_IDEMPOTENT_CLASS)
    # Rejected rather than failed, although the task must not be started twice: it is known not to have run.
    assert cluster.wait_for_events(5)[0][0] == "refused"
    message = cluster.client.messages[5][0]
    if frontend == JSON:
        assert (message.reason, message.meta["why"]) == (34, text)
    if frontend == GRPC2:
        assert message.refusal.reason == reason
        assert message.refusal.text in text
    assert start_count(cluster, 5) == 0


def test_a_rejection_that_concerns_only_the_task_does_not_exclude_the_node() -> None:
    cluster = FakeCluster(JSON, GRPC2, node_count=1)
    for uid in range(5, 9):
        cluster.client.send_request(uid, NodeBehavior.NEEDS_LICENCE)
        cluster.wait_for_events(uid)
    cluster.client.send_request(9, NodeBehavior.RUN)
    assert cluster.wait_for_events(9) == [PLACED]


def test_a_new_client_receives_the_reason_of_an_old_node() -> None:
    cluster = FakeCluster(GRPC2, BINARY, translation=TranslationConfig())
    cluster.client.send_request(5, NodeBehavior.REFUSE)
    cluster.wait_for_events(5)
    assert cluster.client.messages[5][0].refusal.reason == pb2.NO_CORES


# routes


def test_a_class_without_a_suitable_node_is_rejected_at_once() -> None:
    cluster = FakeCluster(
        JSON, BINARY, translation=TranslationConfig(minimum_generations={NON_IDEMPOTENT_CLASS: 2})
    )
    cluster.run_for(50)
    requested_us = cluster.loop.now
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    assert cluster.wait_for_events(5)[0][0] == "refused"
    assert cluster.loop.now - requested_us < 500_000
    assert reason_text(cluster.client.messages[5][0]).startswith(
        "wrong generation: ledger-batch wants nodes of generation 2"
    )
    assert cluster.offer_count(5) == 0
    cluster.client.send_request(6, NodeBehavior.RUN)
    assert cluster.wait_for_events(6) == [PLACED]


def test_in_a_mixed_fleet_a_class_is_routed_to_suitable_nodes() -> None:
    terms = TranslationConfig(
        minimum_generations={NON_IDEMPOTENT_CLASS: 2}, default_formats=(WireFormat.GRPC_V2, WireFormat.BINARY)
    )
    cluster = FakeCluster(JSON, BINARY, node_count=3, translation=terms)
    cluster.nodes[2].form = GRPC2
    for uid in range(5, 11):
        cluster.client.send_request(uid, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
        assert cluster.wait_for_events(uid) == [PLACED]
    assert [len(node.running_by_key) for node in cluster.nodes] == [0, 0, 6]


@pytest.mark.parametrize(
    ("before", "after"), [(BINARY, GRPC2), (GRPC2, BINARY), (GRPC, GRPC2), (GRPC2, GRPC)]
)
def test_a_node_is_upgraded_or_downgraded_in_place(before: str, after: str) -> None:
    terms = TranslationConfig(default_formats=(WireFormat.GRPC_V2, WireFormat.GRPC_V1, WireFormat.BINARY))
    cluster = FakeCluster(JSON, before, node_count=1, translation=terms)
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    assert cluster.wait_for_events(5) == [PLACED]
    node = cluster.nodes[0]
    node.form = after
    node.running.clear()
    node.running_by_key.clear()
    node.break_streams()
    uid = 6
    while True:  # until an attempt succeeds in the new format; none may be lost or started twice meanwhile
        cluster.client.send_request(uid, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
        event = cluster.wait_for_events(uid)[0]
        assert event[0] in ("placed", "refused")
        if event == PLACED:
            break
        uid += 1
    profile = cluster.service.core.translator.profile(1)  # type: ignore[union-attr]
    assert profile.wire_format is WIRE_FORMATS[after]
    assert [order.uid for order in node.received_messages if order.kind == "offer"] == [5, uid]


def test_nodes_upgraded_between_two_requests_require_a_hint_at_once() -> None:
    """Guards against sending an attempt without a hint to nodes whose new processes require one."""
    terms = TranslationConfig(default_formats=(WireFormat.GRPC_V2, WireFormat.BINARY))
    cluster = FakeCluster(JSON, BINARY, node_count=2, translation=terms)
    cluster.client.send_request(4, NodeBehavior.RUN)
    cluster.wait_for_events(4)
    cluster.run_for(100)
    for node in cluster.nodes:
        node.form, node.profile.requires = GRPC2, (pb2.HINT,)
        node.break_streams()
    cluster.client.send_request(5, NodeBehavior.RUN, hint=None)
    assert cluster.wait_for_events(5)[0][0] == "refused"
    assert cluster.offer_count(5) == 0


def test_a_node_upgraded_between_attempt_and_retry_is_sent_no_task_without_a_hint() -> None:
    """Guards against a retry that is sent before the new process has declared what it requires."""
    terms = TranslationConfig(default_formats=(WireFormat.GRPC_V2, WireFormat.BINARY))
    cluster = FakeCluster(JSON, BINARY, node_count=2, translation=terms)
    cluster.client.send_request(4, NodeBehavior.RUN)
    cluster.wait_for_events(4)
    cluster.run_for(100)
    original_handlers = {node: node.handle_message for node in cluster.nodes}

    def upgrade_other_node(node: FakeNode, order: ReceivedMessage, responder: Any) -> None:
        for other in cluster.nodes:
            if other is not node and not other.profile.requires:
                other.form, other.profile.requires = GRPC2, (pb2.HINT,)
                other.break_streams()
        original_handlers[node](order, responder)

    for node in cluster.nodes:
        node.handle_message = partial(upgrade_other_node, node)  # type: ignore[method-assign]
    cluster.client.send_request(5, NodeBehavior.REFUSE, NON_IDEMPOTENT_CLASS, hint=None)
    assert cluster.wait_for_events(5)[0][0] in ("refused", "failed")
    assert start_count(cluster, 5) == 0
    cluster.run_for(100)
    assert len(cluster.client.events[5]) == 1
    assert cluster.offer_count(5) == 1
    cluster.client.send_request(6, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    assert cluster.wait_for_events(6)[0][0] in ("placed", "refused")


def test_unknown_fields_of_a_newer_peer_are_ignored() -> None:
    """Guards against rejecting a report, a hello or a request with a field that this generation does not know."""
    unknown_field = b"\xfa\x3e\x03new"  # number 1007, length-delimited
    report = pb2.NodeReport.FromString(
        pb2.NodeReport(uid=5, hello=pb2.Hello(generation=3)).SerializeToString() + unknown_field
    )
    assert report.WhichOneof("kind") == "hello"
    assert report.hello.generation == 3
    cluster = FakeCluster(GRPC2, GRPC2, prepare_node=lambda node: setattr(node.profile, "generation", 3))
    ask = cluster.client.make_ask(5, NodeBehavior.RUN, "lookup").SerializeToString() + unknown_field
    body = pb2.ClientMessage(ask=pb2.Ask.FromString(ask)).SerializeToString()
    assert unknown_field in body  # protobuf preserves it
    cluster.client.h2.send(cluster.client.stream_id, b"\0" + len(body).to_bytes(4, "big") + body)
    assert cluster.wait_for_events(5) == [PLACED]


def test_a_node_with_another_name_than_the_listed_one_receives_no_attempts() -> None:
    def declare_other_name(node: FakeNode) -> None:
        node.profile.name = "s-0000ffff"

    cluster = FakeCluster(JSON, GRPC2, prepare_node=declare_other_name)
    cluster.run_for(50)
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5)[0][0] == "refused"
    assert cluster.offer_count(5) == 0
    assert "not the node that the list names" in reason_text(cluster.client.messages[5][0])
    assert len(log_lines(cluster, "handshake-inconsistent")) == 2


def test_an_undeclared_requirement_is_learned_from_a_rejection() -> None:
    cluster = FakeCluster(JSON, GRPC2, node_count=1)
    cluster.client.send_request(5, NodeBehavior.NEEDS_HINT, hint=None)
    assert cluster.wait_for_events(5)[0][0] == "refused"
    assert cluster.offer_count(5) == 1
    assert len(log_lines(cluster, "rejection-unexpected")) == 1
    cluster.client.send_request(6, NodeBehavior.RUN, hint=None)
    assert cluster.wait_for_events(6)[0][0] == "refused"
    assert cluster.offer_count(6) == 0


def test_a_node_without_a_hello_receives_no_attempts() -> None:
    def omit_hello(node: FakeNode) -> None:
        node.profile.sends_hello = False

    cluster = FakeCluster(
        JSON, GRPC2, translation=TranslationConfig(hello_timeout_us=100_000), prepare_node=omit_hello
    )
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    assert cluster.wait_for_events(5)[0][0] == "refused"
    assert cluster.offer_count(5) == 0


@pytest.mark.parametrize("frontend", [GRPC, GRPC2])
def test_clients_of_both_generations_are_served(frontend: str) -> None:
    cluster = FakeCluster(frontend, BINARY)
    cluster.client.send_request(5, NodeBehavior.END)
    assert cluster.wait_for_events(5, 2) == [PLACED, ("released", pb2.ENDED)]
    call = cluster.client.open_stream("Place")
    ask = cluster.client.make_ask(6, NodeBehavior.REFUSE, "lookup")
    cluster.client.h2.send(call, _frame(ask))
    cluster.client.h2.finish(call, [])
    cluster.run_until(lambda: call in cluster.client.status)
    # v2 rejects by a message, v1 by the status of the call
    assert cluster.client.status[call]["grpc-status"] == ("0" if frontend == GRPC2 else "8")
    assert (6 in cluster.client.events) == (frontend == GRPC2)


def _frame(message: Any) -> bytes:
    from thornshelf.wire import grpc

    return grpc.encode_message(message)


# retries


def test_retries_are_limited_by_the_budget() -> None:
    no_retries = RetryBudgetConfig(earned_per_attempt_milli=0, earned_per_s_milli=0, capacity_milli=0)
    cluster = FakeCluster(
        GRPC2, BINARY, translation=TranslationConfig(limits_retries=True, service_budget=no_retries)
    )
    cluster.client.send_request(5, NodeBehavior.REFUSE)
    assert cluster.wait_for_events(5)[0][0] == "refused"
    assert cluster.offer_count(5) == 1
    assert cluster.client.messages[5][0].refusal.reason == pb2.OVERLOADED
    unlimited = FakeCluster(GRPC2, BINARY, translation=TranslationConfig())
    unlimited.client.send_request(5, NodeBehavior.REFUSE)
    assert unlimited.wait_for_events(5)[0][0] == "refused"
    assert unlimited.offer_count(5) == 2


def test_the_retry_delays_of_many_rejected_requests_are_spread() -> None:
    cluster = FakeCluster(JSON, BINARY, translation=TranslationConfig(limits_retries=True))
    for uid in range(10, 60):
        cluster.client.send_request(uid, NodeBehavior.REFUSE)
    delays_ms = [int(cluster.wait_for_events(uid)[0][1]) for uid in range(10, 60)]
    assert len(set(delays_ms)) > 25
    assert all(1000 <= delay <= 3000 for delay in delays_ms)


def test_waiting_requests_are_placed_by_priority_and_rejected_when_too_little_time_is_left() -> None:
    terms = TranslationConfig(
        limits_retries=True, queue=DeadlineQueueConfig(batch_size=1, min_remaining_us=100_000, max_waiting=10)
    )
    cluster = FakeCluster(JSON, BINARY, node_count=1, translation=terms)
    cluster.run_for(20)
    for uid in range(10, 30):
        cluster.client.send_request(uid, NodeBehavior.RUN, left="60" if uid == 20 else "8000")
    cluster.client.send_request(30, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    events = {uid: cluster.wait_for_events(uid)[0][0] for uid in range(10, 31)}
    placed_order = [order.uid for order in cluster.nodes[0].received_messages]
    assert events[20] == "refused"
    assert events[30] == "placed"
    assert placed_order[0] == 30
    assert cluster.service.core.open_count == 0
    assert not cluster.service.core.queue
    rejected = [uid for uid, kind in events.items() if kind == "refused"]
    assert len(rejected) >= 10
    assert reason_text(cluster.client.messages[20][0]).startswith("overloaded")


def test_descriptions_of_any_bytes_survive_json_lines() -> None:
    """Guards against changed bytes: those that are not valid UTF-8 are sent as lone surrogates."""
    from thornshelf.wire import jsonl

    for data in (bytes(range(256)), b"\xff\xfe\x00", "é\r\n".encode(), b"\xed\xa0\x80"):
        line = jsonl.parse_line(jsonl.encode_line("running", 5, body=data))
        body = line.body
        assert body is not None
        decoded = (
            body.decode("utf-8", "surrogatepass").encode("utf-8", "surrogateescape") if body != data else body
        )
        assert decoded == data
