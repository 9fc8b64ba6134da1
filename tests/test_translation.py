"""Old clients, new servers: what each hears, and that nothing is lost, doubled or guessed, with faults caused."""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from thornshelf.lab.fakes.cluster import (
    BINARY,
    DESCRIPTION,
    GRPC,
    GRPC2,
    JSON,
    WIRE_FORMATS,
    FakeNode,
    NodeBehavior,
    ReceivedOrder,
    FakeCluster,
)
from thornshelf.retries.budget import RetryBudgetConfig
from thornshelf.retries.deadline_queue import DeadlineQueueConfig
from thornshelf.translation.failures import WireFormat
from thornshelf.translation.missing_fields import MissingFieldAction, MissingFieldPolicy
from thornshelf.translation.translator import TranslationConfig
from thornshelf.wire import placement_v2_pb2 as pb2

ONCE_ONLY = "ledger-batch"
PLACED, REFUSED, FAILED = ("placed", DESCRIPTION), ("refused", "1000"), ("failed", None)
CLIENTS = pytest.mark.parametrize("front", [JSON, GRPC, GRPC2])
ASSUME = TranslationConfig(
    missing_field_policies={"lookup": MissingFieldPolicy(MissingFieldAction.ASSUME, 15_000_000)}
)


def needs_hint(node: FakeNode) -> None:
    node.manners.requires = (pb2.HINT,)


def account(world: FakeCluster) -> dict[str, int]:
    desk = world.service.core.translator
    assert desk is not None
    return desk.counters


def starts(world: FakeCluster, key: int) -> int:
    """How many nodes run or ran a task of this name."""
    return sum((key in node.runs) + (key in node.ran) for node in world.nodes)


def logged(world: FakeCluster, name: str) -> list[dict[str, object]]:
    return [values for _, word, values, _ in world.logged if word == name]


def why_of(message: Any) -> str:
    return str(message.meta["why"] if hasattr(message, "meta") else message.refusal.text)


# gaps


@CLIENTS
def test_a_missing_hint_is_refused_with_the_reason(front: str) -> None:
    world = FakeCluster(front, GRPC2, manners=needs_hint)
    world.run_for(50)  # their hellos have come
    world.client.ask(5, NodeBehavior.RUN, hint=None)
    assert world.wait_for_events(5)[0][0] == "refused" and world.offer_count(5) == 0
    message = world.client.said[5][0]
    if front == JSON:
        assert message.reason == 34 and message.meta["why"].startswith("hint needed: ")
    if front == GRPC2:
        assert (message.refusal.reason, message.refusal.advice) == (pb2.HINT_NEEDED, pb2.CHANGED)
    world.client.ask(6, NodeBehavior.RUN)
    assert world.wait_for_events(6) == [PLACED]


@CLIENTS
def test_a_missing_hint_is_assumed_where_the_operator_says_so_and_never_in_silence(front: str) -> None:
    world = FakeCluster(front, GRPC2, terms=ASSUME, manners=needs_hint)
    world.client.ask(5, NodeBehavior.RUN, hint=None)
    world.client.ask(6, NodeBehavior.RUN, ONCE_ONLY, hint=None)  # not of the class that it is said of
    assert world.wait_for_events(5) == [PLACED] and world.wait_for_events(6)[0][0] == "refused"
    (order,) = (one for node in world.nodes for one in node.orders if one.uid == 5)
    assert (order.hint_ms, order.assumed) == (15_000.0, True)
    assert [values["ms"] for values in logged(world, "hint-assumed")] == [15_000]
    message = world.client.said[5][0]
    if front == JSON:
        assert message.meta == {"hint": "15000", "assumed": "hint"}
    if front == GRPC2:
        assert message.binding.hint == pb2.Hint(ms=15_000.0, assumed=True)


def test_an_assumed_hint_is_no_owners_word_on_the_way_in() -> None:
    world = FakeCluster(GRPC2, GRPC2, manners=needs_hint)
    world.run_for(50)
    ask = world.client.message(5, NodeBehavior.RUN, "lookup")
    ask.hint.assumed = True
    world.client.h2.send(world.client.call, _frame(pb2.ClientMessage(ask=ask)))
    assert world.wait_for_events(5)[0][0] == "refused"


def test_an_owners_own_hint_and_figures_reach_a_new_node() -> None:
    world = FakeCluster(JSON, GRPC2)
    world.client.ask(5, NodeBehavior.RUN, ONCE_ONLY, hint="8200.0")
    world.wait_for_events(5)
    (order,) = (one for node in world.nodes for one in node.orders)
    offer = order.more
    assert (offer.hint.ms, offer.hint.assumed, offer.tenant, offer.key) == (8200.0, False, "hollis-county", 5)
    assert (offer.cores, offer.memory, offer.service, offer.priority) == (1.0, 2.0, 7, 1)
    assert offer.never_twice


def test_what_an_old_node_is_not_told_is_counted() -> None:
    world = FakeCluster(GRPC2, BINARY, terms=TranslationConfig())
    world.client.ask(5, NodeBehavior.RUN)
    world.wait_for_events(5)
    assert account(world)["left out to binary messages: hint"] == 1
    assert account(world)["left out to binary messages: cores"] == 1


# reasons


@CLIENTS
@pytest.mark.parametrize(
    ("conduct", "trouble", "words"),
    [
        (NodeBehavior.LICENCE, pb2.LICENCE, "licence: no licence for this program"),
        (NodeBehavior.QUARANTINED, pb2.QUARANTINED, "quarantined: under repair"),
        (NodeBehavior.NEWER, pb2.UNTOLD, "untold: a word of tomorrow"),
    ],
)
def test_a_reason_without_an_old_word_keeps_its_promise_and_its_text(
    front: str, conduct: NodeBehavior, trouble: int, words: str
) -> None:
    world = FakeCluster(front, GRPC2)
    world.client.ask(5, conduct, ONCE_ONLY)
    assert (
        world.wait_for_events(5)[0][0] == "refused"
    )  # it never ran: also a task that must not be started twice
    message = world.client.said[5][0]
    if front == JSON:
        assert (message.reason, message.meta["why"]) == (34, words)
    if front == GRPC2:
        assert message.refusal.reason == trouble and message.refusal.text in words
    assert starts(world, 5) == 0


def test_the_tasks_own_trouble_does_not_shut_the_node_to_others() -> None:
    world = FakeCluster(JSON, GRPC2, nodes=1)
    for uid in range(5, 9):
        world.client.ask(uid, NodeBehavior.LICENCE)
        world.wait_for_events(uid)
    world.client.ask(9, NodeBehavior.RUN)
    assert world.wait_for_events(9) == [PLACED]


def test_a_new_client_hears_an_old_nodes_reason() -> None:
    world = FakeCluster(GRPC2, BINARY, terms=TranslationConfig())
    world.client.ask(5, NodeBehavior.FULL)
    world.wait_for_events(5)
    assert world.client.said[5][0].refusal.reason == pb2.NO_CORES


# routes


def test_no_node_of_a_fitting_generation_is_answered_at_once() -> None:
    world = FakeCluster(JSON, BINARY, terms=TranslationConfig(minimum_generations={ONCE_ONLY: 2}))
    world.run_for(50)
    asked = world.loop.now
    world.client.ask(5, NodeBehavior.RUN, ONCE_ONLY)
    assert world.wait_for_events(5)[0][0] == "refused" and world.loop.now - asked < 500_000
    assert why_of(world.client.said[5][0]).startswith(
        "wrong generation: ledger-batch wants nodes of generation 2"
    )
    assert world.offer_count(5) == 0
    world.client.ask(6, NodeBehavior.RUN)
    assert world.wait_for_events(6) == [PLACED]


def test_in_a_mixed_fleet_a_class_goes_where_it_can() -> None:
    terms = TranslationConfig(
        minimum_generations={ONCE_ONLY: 2}, default_formats=(WireFormat.GRPC_V2, WireFormat.BINARY)
    )
    world = FakeCluster(JSON, BINARY, nodes=3, terms=terms)
    world.nodes[2].form = GRPC2
    for uid in range(5, 11):
        world.client.ask(uid, NodeBehavior.RUN, ONCE_ONLY)
        assert world.wait_for_events(uid) == [PLACED]
    assert [len(node.runs) for node in world.nodes] == [0, 0, 6]


@pytest.mark.parametrize(
    ("before", "after"), [(BINARY, GRPC2), (GRPC2, BINARY), (GRPC, GRPC2), (GRPC2, GRPC)]
)
def test_a_node_is_upgraded_or_downgraded_in_place(before: str, after: str) -> None:
    terms = TranslationConfig(default_formats=(WireFormat.GRPC_V2, WireFormat.GRPC_V1, WireFormat.BINARY))
    world = FakeCluster(JSON, before, nodes=1, terms=terms)
    world.client.ask(5, NodeBehavior.RUN, ONCE_ONLY)
    assert world.wait_for_events(5) == [PLACED]
    node = world.nodes[0]
    node.form = after
    node.running.clear()
    node.runs.clear()
    node.break_streams()
    uid = 6
    while True:  # until it is reached in its new form; no offer may be lost or started twice on the way
        world.client.ask(uid, NodeBehavior.RUN, ONCE_ONLY)
        heard = world.wait_for_events(uid)[0]
        assert heard[0] in ("placed", "refused")
        if heard == PLACED:
            break
        uid += 1
    profile = world.service.core.translator.profile(1)  # type: ignore[union-attr]
    assert profile.wire_format is WIRE_FORMATS[after]
    assert [one.uid for one in node.orders if one.kind == "offer"] == [5, uid]


def test_a_node_upgraded_between_attempt_and_retry() -> None:
    """The first attempt is refused by an old node; the second finds a new one there that needs a hint."""
    terms = TranslationConfig(default_formats=(WireFormat.GRPC_V2, WireFormat.BINARY))
    world = FakeCluster(JSON, BINARY, nodes=2, terms=terms)
    world.client.ask(4, NodeBehavior.RUN)
    world.wait_for_events(4)
    world.run_for(100)
    for node in world.nodes:
        node.form, node.manners.requires = GRPC2, (pb2.HINT,)
        node.break_streams()
    world.client.ask(5, NodeBehavior.RUN, hint=None)
    assert world.wait_for_events(5)[0][0] == "refused" and world.offer_count(5) == 0


def test_the_other_node_is_upgraded_as_the_first_attempt_is_refused() -> None:
    """Between the attempt and the retry; what the new process requires is known before the retry leaves."""
    terms = TranslationConfig(default_formats=(WireFormat.GRPC_V2, WireFormat.BINARY))
    world = FakeCluster(JSON, BINARY, nodes=2, terms=terms)
    world.client.ask(4, NodeBehavior.RUN)
    world.wait_for_events(4)
    world.run_for(100)
    usual = {node: node.order for node in world.nodes}

    def order(node: FakeNode, order: ReceivedOrder, say: Any) -> None:
        for other in world.nodes:
            if other is not node and not other.manners.requires:
                other.form, other.manners.requires = GRPC2, (pb2.HINT,)
                other.break_streams()
        usual[node](order, say)

    for node in world.nodes:
        node.order = partial(order, node)  # type: ignore[method-assign]
    world.client.ask(5, NodeBehavior.FULL, ONCE_ONLY, hint=None)
    assert world.wait_for_events(5)[0][0] in ("refused", "failed") and starts(world, 5) == 0
    world.run_for(100)
    assert len(world.client.heard[5]) == 1 and world.offer_count(5) == 1
    world.client.ask(6, NodeBehavior.RUN, ONCE_ONLY)
    assert world.wait_for_events(6)[0][0] in ("placed", "refused")


def test_fields_of_a_newer_peer_are_passed_over() -> None:
    """A field that this generation does not know, in a report, a hello and an ask."""
    extra = b"\xfa\x3e\x03new"  # field 1007, length-delimited
    report = pb2.NodeReport.FromString(
        pb2.NodeReport(uid=5, hello=pb2.Hello(generation=3)).SerializeToString() + extra
    )
    assert report.WhichOneof("kind") == "hello" and report.hello.generation == 3
    world = FakeCluster(GRPC2, GRPC2, manners=lambda node: setattr(node.manners, "generation", 3))
    ask = world.client.message(5, NodeBehavior.RUN, "lookup").SerializeToString() + extra
    body = pb2.ClientMessage(ask=pb2.Ask.FromString(ask)).SerializeToString()
    assert extra in body  # it is kept as it came
    world.client.h2.send(world.client.call, b"\0" + len(body).to_bytes(4, "big") + body)
    assert world.wait_for_events(5) == [PLACED]


def test_a_hello_of_another_node_than_the_list_names_keeps_offers_away() -> None:
    def impostor(node: FakeNode) -> None:
        node.manners.name = "s-0000ffff"

    world = FakeCluster(JSON, GRPC2, manners=impostor)
    world.run_for(50)
    world.client.ask(5, NodeBehavior.RUN)
    assert world.wait_for_events(5)[0][0] == "refused" and world.offer_count(5) == 0
    assert "not the node that the list names" in why_of(world.client.said[5][0])
    assert len(logged(world, "handshake-inconsistent")) == 2


def test_a_node_that_requires_more_than_it_says() -> None:
    world = FakeCluster(JSON, GRPC2, nodes=1)
    world.client.ask(5, NodeBehavior.NEEDS_HINT, hint=None)
    assert world.wait_for_events(5)[0][0] == "refused" and world.offer_count(5) == 1
    assert len(logged(world, "rejection-unexpected")) == 1
    world.client.ask(6, NodeBehavior.RUN, hint=None)
    assert world.wait_for_events(6)[0][0] == "refused" and world.offer_count(6) == 0  # once was enough


def test_a_node_that_never_says_hello_gets_nothing_and_costs_no_doubt() -> None:
    def rude(node: FakeNode) -> None:
        node.manners.greets = False

    world = FakeCluster(JSON, GRPC2, terms=TranslationConfig(hello_timeout_us=100_000), manners=rude)
    world.client.ask(5, NodeBehavior.RUN, ONCE_ONLY)
    assert world.wait_for_events(5)[0][0] == "refused" and world.offer_count(5) == 0


@pytest.mark.parametrize("front", [GRPC, GRPC2])
def test_both_generations_are_served_to_clients(front: str) -> None:
    world = FakeCluster(front, BINARY)
    world.client.ask(5, NodeBehavior.END)
    assert world.wait_for_events(5, 2) == [PLACED, ("released", pb2.ENDED)]
    call = world.client.open("Place")
    ask = world.client.message(6, NodeBehavior.FULL, "lookup")
    world.client.h2.send(call, _frame(ask))
    world.client.h2.finish(call, [])
    world.run_until(lambda: call in world.client.status)
    # v2 tells all by its verdict; v1 by the status
    assert world.client.status[call]["grpc-status"] == ("0" if front == GRPC2 else "8")
    assert (6 in world.client.heard) == (front == GRPC2)


def _frame(message: Any) -> bytes:
    from thornshelf.wire import grpc

    return grpc.frame(message)


# names in doubt


@CLIENTS
@pytest.mark.parametrize(
    ("conduct", "expected", "ran"),
    [
        (
            NodeBehavior.CUT,
            [PLACED],
            1,
        ),  # the stream is cut midway through the binding: it runs, and that is found out
        (NodeBehavior.CUT_AFTER, [PLACED], 1),
        (NodeBehavior.CUT_BEFORE, [REFUSED], 0),  # it never ran, says each node
    ],
)
def test_what_ran_is_settled_before_the_deadline(
    front: str, conduct: NodeBehavior, expected: list[tuple[Any, ...]], ran: int
) -> None:
    world = FakeCluster(front, GRPC2)
    world.client.ask(5, conduct, ONCE_ONLY)
    heard = world.wait_for_events(5)
    world.run_for(100)
    assert [one[0] for one in heard] == [one[0] for one in expected]
    assert starts(world, 5) == ran and len(world.client.heard[5]) == 1


def test_without_a_node_that_can_be_asked_todays_rule_stands() -> None:
    def mute(node: FakeNode) -> None:
        node.manners.answers = False

    for world in (
        FakeCluster(JSON, GRPC2, manners=mute),
        FakeCluster(JSON, BINARY, terms=TranslationConfig()),
    ):
        world.client.ask(5, NodeBehavior.CUT, ONCE_ONLY)
        assert world.wait_for_events(5) == [FAILED] and starts(world, 5) == 1
        world.client.ask(6, NodeBehavior.RUN, ONCE_ONLY, key=f"{5:016x}")
        assert (
            world.wait_for_events(6) == [FAILED] and starts(world, 5) == 1
        )  # nor does another id start it again
        assert why_of(world.client.said[6][0]).startswith("in doubt: ")


@pytest.mark.parametrize("second", [JSON, GRPC, GRPC2])
def test_cut_midway_and_asked_for_again_over_another_front(second: str) -> None:
    """The client goes as its binding is cut; the same task comes under a new id, and is found to run."""
    world = FakeCluster(JSON, GRPC2)
    other = world.connect_client(second)
    world.client.ask(5, NodeBehavior.LATE, ONCE_ONLY)
    world.run_until(lambda: world.offer_count(5) == 1)
    holder = next(node for node in world.nodes if node.orders)
    order, say = holder.waiting.pop(5)
    holder.begin(order, say, tell=False)
    say.cut(5)
    world.client.stream.close()
    other.ask(6, NodeBehavior.RUN, ONCE_ONLY, key=f"{5:016x}")
    world.run_until(lambda: 6 in other.heard)
    world.run_for(100)
    # It was told to end as its client went: what is told is that it ran, and that it is over.
    words = [one[0] for one in other.heard[6]]
    assert words in (["placed"], ["placed", "released"]) and starts(world, 5) == 1


def test_the_same_name_from_two_clients_at_once_on_two_fronts() -> None:
    world = FakeCluster(JSON, GRPC2)
    other = world.connect_client(GRPC2)
    world.client.ask(5, NodeBehavior.LATE, ONCE_ONLY)
    world.run_until(lambda: world.offer_count(5) == 1)
    other.ask(6, NodeBehavior.RUN, ONCE_ONLY, key=f"{5:016x}")
    world.run_for(50)
    assert world.client.heard == {} and other.heard == {}
    holder = next(node for node in world.nodes if node.orders)
    holder.start(5)
    world.run_until(lambda: 5 in world.client.heard and 6 in other.heard)
    assert (world.client.heard[5], other.heard[6]) == ([PLACED], [PLACED]) and starts(world, 5) == 1
    third = world.connect_client(GRPC)
    third.ask(7, NodeBehavior.RUN, ONCE_ONLY, key=f"{5:016x}")  # it stands by now
    world.run_until(lambda: 7 in third.heard)
    assert third.heard[7] == [PLACED] and third.said[7][0].binding.description == DESCRIPTION
    world.client.give_up(5)  # one of three: the others' task runs on
    world.run_for(50)
    assert 5 in holder.running
    holder.over(5, pb2.ENDED)
    holder.voices[-1].end(5, 16, pb2.ENDED)
    world.run_until(lambda: len(other.heard[6]) == 2 and len(third.heard[7]) == 2)
    world.run_for(50)
    assert other.heard[6] == third.heard[7] == [PLACED, ("released", pb2.ENDED)]
    assert world.client.heard[5] == [PLACED] and not world.service.core.tasks_by_uid


def test_one_of_two_owners_goes_while_the_task_is_open() -> None:
    world = FakeCluster(JSON, GRPC2)
    other = world.connect_client(GRPC2)
    world.client.ask(5, NodeBehavior.LATE, ONCE_ONLY)
    world.run_until(lambda: world.offer_count(5) == 1)
    other.ask(6, NodeBehavior.RUN, ONCE_ONLY, key=f"{5:016x}")
    world.run_for(50)
    world.client.stream.close()
    world.run_for(50)
    next(node for node in world.nodes if node.orders).start(5)
    world.run_until(lambda: 6 in other.heard)
    assert other.heard[6] == [PLACED] and starts(world, 5) == 1
    assert world.service.core.open_count == 0


def test_a_joined_set_up_is_answered_by_its_own_deadline() -> None:
    world = FakeCluster(JSON, GRPC2)
    world.client.ask(5, NodeBehavior.LATE, ONCE_ONLY)
    world.run_until(lambda: world.offer_count(5) == 1)
    world.client.ask(6, NodeBehavior.RUN, ONCE_ONLY, key=f"{5:016x}", left="200")
    assert world.wait_for_events(6) == [FAILED] and 5 not in world.client.heard


def test_a_yes_after_the_give_up_is_ended_and_accounted_for() -> None:
    world = FakeCluster(JSON, GRPC2, nodes=1)
    world.client.ask(5, NodeBehavior.LATE, ONCE_ONLY)
    node = world.nodes[0]
    world.run_until(lambda: 5 in node.waiting)
    order, say = node.waiting[5]
    world.client.give_up(5)
    world.run_until(lambda: ("release", 5) in node.seen)
    node.begin(order, say)  # it says yes all the same
    world.run_until(lambda: node.seen.count(("release", 5)) == 2)
    world.run_for(50)
    assert 5 not in node.running and account(world)["late yes"] == 1 and world.client.heard == {}
    world.client.ask(
        6, NodeBehavior.RUN, ONCE_ONLY, key=f"{5:016x}"
    )  # the name is in doubt: the node tells that it ran
    assert [one[0] for one in world.wait_for_events(6, 2)] == ["placed", "released"] and len(node.ran) == 1


def test_a_yes_after_the_key_came_back_is_settled_by_the_answer() -> None:
    world = FakeCluster(JSON, GRPC2, nodes=1)
    world.client.ask(5, NodeBehavior.LATE, ONCE_ONLY)
    node = world.nodes[0]
    world.run_until(lambda: 5 in node.waiting)
    order, say = node.waiting[5]
    world.client.give_up(5)
    world.client.ask(6, NodeBehavior.RUN, ONCE_ONLY, key=f"{5:016x}")
    world.run_until(lambda: ("question", 5) in node.seen)
    assert (
        world.wait_for_events(6) == [PLACED] and len(node.runs) == 1
    )  # never ran under the first id: it may start
    node.begin(order, say)  # ...and then the node breaks its word
    world.run_until(lambda: node.seen.count(("release", 5)) == 2)
    assert account(world)["late yes"] == 1 and 6 in node.running


def test_a_node_that_breaks_its_word_is_not_believed_any_more() -> None:
    world = FakeCluster(JSON, GRPC2, nodes=2)
    for uid in (5, 6):
        world.client.ask(uid, NodeBehavior.LATE, ONCE_ONLY)
    world.run_until(lambda: sum(len(one.waiting) for one in world.nodes) == 2)
    world.run_for(20)
    for node in world.nodes:
        node.manners.standings = {5: pb2.NEVER, 6: pb2.NEVER}
    held = {uid: (node, *node.waiting[uid]) for node in world.nodes for uid in list(node.waiting)}
    for node in {one[0] for one in held.values()}:
        node.break_streams()
    world.run_until(lambda: account(world).get("asked: never ran", 0) >= 2)
    for uid, (node, order, _) in held.items():
        world.run_until(lambda node=node: bool(node.voices))  # type: ignore[misc]
        node.waiting.pop(uid, None)
        node.begin(order, node.voices[-1])
    world.run_until(lambda: account(world).get("late yes", 0) >= 1)
    broken = [world.service.core.translator.profile(n).broken_promises for n in (1, 2)]  # type: ignore[union-attr]
    assert sum(broken) >= 1


def test_a_reply_after_the_time_out_of_the_attempt() -> None:
    """The class's patience is half its deadline; the node is asked then, and says that it waits."""
    world = FakeCluster(JSON, GRPC2, nodes=1)
    world.client.ask(5, NodeBehavior.LATE, ONCE_ONLY)
    node, core = world.nodes[0], world.service.core
    world.run_until(lambda: 5 in node.waiting)
    task = core.tasks_by_uid[5]
    attempt = task.attempt
    assert attempt is not None
    kept = node.waiting[5]
    core.attempts.timed_out(task, attempt)
    world.run_until(lambda: ("question", 5) in node.seen)
    assert ("release", 5) in node.seen
    heard = world.wait_for_events(5)  # it was told to end before it was asked: it never ran
    assert heard[0][0] == "refused" and starts(world, 5) == 0
    node.begin(*kept)
    world.run_until(lambda: 5 not in node.running)
    assert account(world)["late yes"] == 1 and world.client.heard[5] == heard


def test_a_node_that_still_looks_at_the_offer_is_asked_again() -> None:
    world = FakeCluster(JSON, GRPC2, nodes=1)
    world.client.ask(5, NodeBehavior.LATE, ONCE_ONLY)
    node = world.nodes[0]
    world.run_until(lambda: 5 in node.waiting)
    order, _ = node.waiting[5]
    node.break_streams()
    world.run_until(lambda: node.seen.count(("question", 5)) >= 2)
    node.waiting.pop(5)
    node.begin(order, None, tell=False)
    assert world.wait_for_events(5) == [PLACED] and starts(world, 5) == 1


def test_a_doubt_is_forgotten_long_after_and_the_name_is_another_tasks() -> None:
    world = FakeCluster(JSON, BINARY, terms=TranslationConfig(uncertain_retention_us=300_000))
    world.client.ask(5, NodeBehavior.CUT, ONCE_ONLY)
    assert world.wait_for_events(5) == [FAILED]
    world.run_for(350)
    world.client.ask(6, NodeBehavior.RUN, ONCE_ONLY, key=f"{5:016x}")
    assert world.wait_for_events(6) == [PLACED]


def test_a_task_that_ended_frees_its_name_at_once() -> None:
    world = FakeCluster(JSON, GRPC2)
    for uid in (5, 6, 7):
        world.client.ask(uid, NodeBehavior.END, ONCE_ONLY, key=f"{5:016x}")
        assert [one[0] for one in world.wait_for_events(uid, 2)] == ["placed", "released"]
    assert len(world.service.core.translator.idempotency_keys) == 0  # type: ignore[union-attr]


def test_harmless_tasks_are_not_joined() -> None:
    world = FakeCluster(JSON, GRPC2)
    for uid in (5, 6):
        world.client.ask(uid, NodeBehavior.RUN, key=f"{5:016x}")
        assert world.wait_for_events(uid) == [PLACED]
    assert world.offer_count(5) == world.offer_count(6) == 1


# standing tasks and releases


def test_an_end_that_was_told_on_a_connection_which_broke_is_asked_for() -> None:
    world = FakeCluster(JSON, GRPC2, nodes=1)
    world.client.ask(5, NodeBehavior.RUN)
    world.wait_for_events(5)
    node = world.nodes[0]
    node.over(5, pb2.ENDED)  # and its word is lost
    node.break_streams()
    assert world.wait_for_events(5, 2)[1] == ("released", pb2.ENDED)


def test_a_process_that_was_replaced_at_its_address_holds_nothing() -> None:
    world = FakeCluster(JSON, GRPC2, nodes=1)
    world.client.ask(5, NodeBehavior.RUN, ONCE_ONLY)
    world.wait_for_events(5)
    node = world.nodes[0]
    node.running.clear()
    node.runs.clear()
    node.break_streams()
    assert world.wait_for_events(5, 2)[1] == ("released", pb2.RESET)


@pytest.mark.parametrize("front", [JSON, GRPC2])
def test_a_release_that_was_not_heard_is_told_again_on_another_connection(front: str) -> None:
    world = FakeCluster(front, BINARY, terms=TranslationConfig())
    other = world.connect_client(front)
    for client, uid in ((world.client, 5), (world.client, 6), (other, 7)):
        client.hears = True
        client.ask(uid, NodeBehavior.RUN)
        world.run_until(lambda client=client, uid=uid: uid in client.heard)  # type: ignore[misc]
    holder = {uid: next(node for node in world.nodes if uid in node.running) for uid in (5, 6)}
    holder[6].over(6, pb2.ENDED)
    holder[6].voices[-1].end(6, 16, pb2.ENDED)
    assert world.wait_for_events(6, 2)[1][0] == "released"
    world.run_for(50)  # that it was heard has come
    world.client.take = lambda _: None  # it reads and breaks before it has understood
    holder[5].over(5, pb2.ENDED)
    holder[5].voices[-1].end(5, 16, pb2.ENDED)
    world.run_for(50)
    other.placed.update((5, 6))
    world.client.stream.close()
    world.run_until(lambda: 5 in other.heard)
    world.run_for(400)
    assert other.heard[5] == [("released", pb2.ENDED)] and 6 not in other.heard


# retries


def test_further_attempts_are_bounded_by_the_budget() -> None:
    none = RetryBudgetConfig(earned_per_attempt_milli=0, earned_per_s_milli=0, capacity_milli=0)
    world = FakeCluster(GRPC2, BINARY, terms=TranslationConfig(limits_retries=True, service_budget=none))
    world.client.ask(5, NodeBehavior.FULL)
    assert world.wait_for_events(5)[0][0] == "refused" and world.offer_count(5) == 1
    assert world.client.said[5][0].refusal.reason == pb2.OVERLOADED
    plain = FakeCluster(GRPC2, BINARY, terms=TranslationConfig())
    plain.client.ask(5, NodeBehavior.FULL)
    assert plain.wait_for_events(5)[0][0] == "refused" and plain.offer_count(5) == 2


def test_the_waits_of_a_crowd_are_spread() -> None:
    world = FakeCluster(JSON, BINARY, terms=TranslationConfig(limits_retries=True))
    for uid in range(10, 60):
        world.client.ask(uid, NodeBehavior.FULL)
    waits = [int(world.wait_for_events(uid)[0][1]) for uid in range(10, 60)]
    assert len(set(waits)) > 25 and all(1000 <= one <= 3000 for one in waits)


def test_a_crowd_is_taken_by_priority_and_what_can_not_start_is_answered_at_once() -> None:
    terms = TranslationConfig(
        limits_retries=True, queue=DeadlineQueueConfig(batch_size=1, min_remaining_us=100_000, max_waiting=10)
    )
    world = FakeCluster(JSON, BINARY, nodes=1, terms=terms)
    world.run_for(20)
    for uid in range(10, 30):
        world.client.ask(uid, NodeBehavior.RUN, left="60" if uid == 20 else "8000")
    world.client.ask(30, NodeBehavior.RUN, ONCE_ONLY)
    heard = {uid: world.wait_for_events(uid)[0][0] for uid in range(10, 31)}
    order = [one.uid for one in world.nodes[0].orders]
    assert heard[20] == "refused" and heard[30] == "placed" and order[0] == 30
    assert world.service.core.open_count == 0 and not world.service.core.queue
    refused = [uid for uid, word in heard.items() if word == "refused"]
    assert len(refused) >= 10 and why_of(world.client.said[20][0]).startswith("overloaded")


def test_descriptions_of_any_bytes_pass_unchanged_between_the_forms() -> None:
    """Through JSON lines too, where a lone byte travels as a lone surrogate."""
    from thornshelf.wire import jsonl

    for data in (bytes(range(256)), b"\xff\xfe\x00", "é\r\n".encode(), b"\xed\xa0\x80"):
        line = jsonl.parse_line(jsonl.encode_line("running", 5, body=data))
        text = line.body
        assert text is not None
        back = (
            text.decode("utf-8", "surrogatepass").encode("utf-8", "surrogateescape") if text != data else text
        )
        assert back == data
