"""The translation layer's pure parts: promises, profiles, gaps, routes, names in doubt, and the total table."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from thornshelf.placement.interface import Outcome, Reason
from thornshelf.translation import element_bindings, field_mapping, field_mapping_audit
from thornshelf.translation.capabilities import (
    NodeCapabilities,
    NodeProfile,
    RequiredField,
    WireFormatNegotiation,
)
from thornshelf.translation.failures import (
    ExecutionGuarantee,
    FailureReason,
    RetryAdvice,
    WireFormat,
    decode_reason,
    execution_guarantee,
    failure_cause,
    sanitize_text,
    to_placement_outcome,
)
from thornshelf.translation.missing_fields import (
    DeclaredFields,
    MissingFieldAction,
    MissingFieldPolicies,
    MissingFieldPolicy,
)
from thornshelf.translation.routing import Router
from thornshelf.translation.uncertain_attempts import (
    ActiveKey,
    IdempotencyKeys,
    KeyAction,
    Resolution,
    UncertainKey,
    resolve_status,
)

NOTHING = DeclaredFields(None, None, 0, 0)
ALL = DeclaredFields(1000, "hollis-county", 5, 7)


def test_the_table_is_total_and_the_page_is_its_own() -> None:
    assert field_mapping_audit.find_problems() == []
    page = Path(__file__).parent.parent / "docs" / "field-mapping.md"
    assert page.read_text() == field_mapping_audit.render_page()


@pytest.mark.parametrize("form", list(WireFormat))
def test_a_field_without_a_fate_is_found(form: WireFormat, monkeypatch: pytest.MonkeyPatch) -> None:
    bound = dict(element_bindings.ELEMENT_BINDINGS[form])
    gone = next(name for name, thing in bound.items() if not thing.startswith("="))
    del bound[gone]
    monkeypatch.setitem(element_bindings.ELEMENT_BINDINGS, form, bound)
    assert f"{form.value}: {gone} has no binding" in field_mapping_audit.find_problems()


def test_a_fate_that_the_form_has_no_word_for_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    row = dict(field_mapping.RESPONSE_MAPPINGS["advice"]) | {WireFormat.GRPC_V1: field_mapping.CARRIED}
    monkeypatch.setitem(field_mapping.RESPONSE_MAPPINGS, "advice", row)
    assert any("advice is declared as carried" in one for one in field_mapping_audit.find_problems())


@pytest.mark.parametrize("trouble", list(FailureReason))
@pytest.mark.parametrize("outcome", list(Outcome))
def test_no_translation_promises_more_than_the_node(outcome: Outcome, trouble: FailureReason) -> None:
    told, reason = to_placement_outcome(outcome, trouble)
    assert execution_guarantee(told) <= execution_guarantee(outcome)
    if trouble <= FailureReason.SENT_AWAY:
        assert (told, reason) == (outcome, Reason(int(trouble)))


def test_the_tasks_own_troubles_do_not_shut_a_node() -> None:
    assert to_placement_outcome(Outcome.REFUSED, FailureReason.HINT_NEEDED)[0] is Outcome.NOT_SENT
    assert to_placement_outcome(Outcome.REFUSED, FailureReason.QUARANTINED) == (
        Outcome.REFUSED,
        Reason.NOT_SERVING,
    )
    assert (
        execution_guarantee(Outcome.BROKEN) is ExecutionGuarantee.MAY_HAVE_RUN
        and execution_guarantee(Outcome.NOT_SENT) is ExecutionGuarantee.NEVER_RAN
    )


def test_words_of_a_newer_generation_are_the_weakest_of_this_one() -> None:
    assert decode_reason(99) is FailureReason.UNTOLD
    assert failure_cause(FailureReason.LICENCE).advice is RetryAdvice.CHANGED
    assert failure_cause(FailureReason.LICENCE, advice=RetryAdvice.LATER).advice is RetryAdvice.LATER
    assert sanitize_text("a\nb\x00" + "c" * 500) == "a b " + "c" * 196


def test_gap_policies() -> None:
    gaps = MissingFieldPolicies({"lookup": MissingFieldPolicy(MissingFieldAction.ASSUME, 15_000)})
    hint = {RequiredField.HINT.value}
    assert gaps.missing_fields("lookup", NOTHING, hint) == []
    assert gaps.missing_fields("ledger-batch", NOTHING, hint) == [RequiredField.HINT]
    assert gaps.missing_fields("lookup", NOTHING, {RequiredField.CLIENT_HINT.value}) == [
        RequiredField.CLIENT_HINT
    ]
    assert (
        gaps.missing_fields("lookup", ALL, set(RequiredField)) == []
        and gaps.missing_fields("lookup", NOTHING, {77}) == []
    )
    assert [one.name for one in gaps.missing_fields("lookup", NOTHING, {3, 4, 5})] == [
        "TENANT",
        "KEY",
        "SERVICE",
    ]
    filled = gaps.effective_hint("lookup", NOTHING, hint)
    assert filled is not None and (filled.duration_us, filled.assumed) == (15_000, True)
    assert gaps.effective_hint("lookup", NOTHING, set()) is None  # not required: not made up
    own = gaps.effective_hint("lookup", ALL, hint)
    assert own is not None and (own.duration_us, own.assumed) == (1000, False)
    with pytest.raises(ValueError):
        MissingFieldPolicy(MissingFieldAction.ASSUME)
    with pytest.raises(ValueError):
        MissingFieldPolicy(MissingFieldAction.REJECT, 5)


def test_routes_by_generation_and_by_what_a_node_requires() -> None:
    router = Router(MissingFieldPolicies({}), {"ledger-batch": 2})
    old, new = NodeProfile("s-1"), NodeProfile("s-2")
    assert router.rejection_by("ledger-batch", ALL, old) is None  # not known yet: its own word comes first
    old.reset_for_connection(WireFormat.BINARY)
    new.reset_for_connection(WireFormat.GRPC_V2)
    new.update_capabilities(NodeCapabilities(2, "s-2", frozenset({RequiredField.HINT.value}), True))
    found = router.rejection_by("ledger-batch", ALL, old)
    assert (
        found is not None and found.reason is FailureReason.WRONG_GENERATION and "generation 2" in found.text
    )
    assert router.rejection_by_all("ledger-batch", ALL, [old, new]) is None
    nowhere = router.rejection_by_all("ledger-batch", NOTHING, [old, new])
    assert (
        nowhere is not None
        and nowhere.reason is FailureReason.HINT_NEEDED
        and nowhere.advice is RetryAdvice.CHANGED
    )
    assert router.rejection_by_all("lookup", NOTHING, []) is None and router.accepts_every_task("lookup", old)
    assert not router.accepts_every_task("ledger-batch", old) and not router.accepts_every_task("lookup", new)


def test_a_hello_that_contradicts_what_is_known() -> None:
    node = NodeProfile("s-1")
    node.reset_for_connection(WireFormat.GRPC_V2)
    assert (
        node.update_capabilities(NodeCapabilities(2, "s-1", frozenset(), True)) == [] and node.answers_queries
    )
    assert (
        node.update_capabilities(NodeCapabilities(2, "s-9", frozenset(), True))
        and node.mismatched_name == "s-9"
        and not node.answers_queries
    )
    assert Router(MissingFieldPolicies({})).rejection_by("lookup", ALL, node) is not None
    assert (
        node.update_capabilities(NodeCapabilities(1, "s-1", frozenset({55}), True))
        and not node.answers_queries
    )
    node.update_capabilities(NodeCapabilities(2, "s-1", frozenset(), True))
    assert node.record_rejection(FailureReason.HINT_NEEDED) and not node.record_rejection(
        FailureReason.HINT_NEEDED
    )
    assert node.required_fields == {RequiredField.HINT} and not node.record_rejection(FailureReason.LICENCE)
    for _ in range(2):
        node.record_broken_promise()
    assert not node.answers_queries
    node.reset_for_connection(WireFormat.GRPC_V1)
    assert node.required_fields == set() and not node.answers_queries


def test_the_form_of_a_node_is_found_and_found_again() -> None:
    choice = WireFormatNegotiation((WireFormat.BINARY, WireFormat.GRPC_V2, WireFormat.GRPC_V1))
    assert choice.current is WireFormat.GRPC_V2 and not choice.is_fixed
    choice.reject_current()
    after = choice.current  # but one that was proven older is not waited for twice
    assert after.value == "thornshelf.v1"
    choice.connection_closed(False)  # it has never been heard in this form: one silent end is enough
    assert choice.current.value == "binary messages" and choice.has_untried_format
    choice.reject_current()
    assert not choice.has_untried_format  # all have been tried: what waits is not held any longer
    choice.current = WireFormat.BINARY
    choice.confirm()
    assert choice.has_untried_format
    choice.connection_closed(True)
    assert choice.current.value == "thornshelf.v2"  # a node that was restarted may be a newer one
    choice.connection_closed(False)
    assert choice.current.value == "thornshelf.v1"  # but one that was proven older is not waited for twice
    assert WireFormatNegotiation((WireFormat.GRPC_V2,)).is_fixed
    with pytest.raises(ValueError):
        WireFormatNegotiation(())


def test_what_a_nodes_word_means() -> None:
    assert resolve_status(1, trusted=True) is Resolution.NEVER_RAN
    assert resolve_status(1, trusted=False) is Resolution.UNRESOLVED  # it has broken its word before
    assert [resolve_status(n, True) for n in (0, 2, 3, 4, 99)] == [
        Resolution.UNRESOLVED, Resolution.PENDING, Resolution.RUNNING, Resolution.ENDED, Resolution.UNRESOLVED
    ]  # fmt: skip


def test_doubts_age_and_are_bounded() -> None:
    doubts = IdempotencyKeys(retention_us=100, max_uncertain=2)
    for key in (1, 2, 3):
        doubts.mark_uncertain(key, 9, key, key)
    assert doubts.lookup(1, 3) is None and doubts.evicted_count == 1 and doubts.uncertain_count == 2
    assert (
        doubts.action_for(2, 50, True) is KeyAction.QUERY_NODE
        and doubts.action_for(2, 50, False) is KeyAction.FAIL
    )
    assert doubts.action_for(2, 102, True) is KeyAction.START  # long after it is another task
    doubts.mark_active(3, 7)
    assert doubts.action_for(3, 10_000, False) is KeyAction.JOIN  # what is live does not age
    doubts.discard_if_active_as(3, 8)
    assert doubts.lookup(3, 0) == ActiveKey(7)
    doubts.discard_if_active_as(3, 7)
    assert len(doubts) == 0


class DoubtsMachine(RuleBasedStateMachine):
    """The table against a plain one."""

    def __init__(self) -> None:
        super().__init__()
        self.doubts, self.plain, self.now = (
            IdempotencyKeys(retention_us=50, max_uncertain=1000),
            dict[int, ActiveKey | UncertainKey](),
            0,
        )

    @rule(passed=st.integers(0, 30))
    def wait(self, passed: int) -> None:
        self.now += passed

    @rule(key=st.integers(1, 5), uid=st.integers(1, 99))
    def live(self, key: int, uid: int) -> None:
        self.doubts.mark_active(key, uid)
        self.plain[key] = ActiveKey(uid)

    @rule(key=st.integers(1, 5), uid=st.integers(1, 99), machine=st.integers(1, 3))
    def doubt(self, key: int, uid: int, machine: int) -> None:
        self.doubts.mark_uncertain(key, machine, uid, self.now)
        self.plain[key] = UncertainKey(machine, uid, self.now)

    @rule(key=st.integers(1, 5))
    def over(self, key: int) -> None:
        self.doubts.discard(key)
        self.plain.pop(key, None)

    @invariant()
    def same(self) -> None:
        for key in range(1, 6):
            known = self.plain.get(key)
            if isinstance(known, UncertainKey) and self.now - known.since_us >= 50:
                known = None
            assert self.doubts.lookup(key, self.now) == known
        assert self.doubts.uncertain_count <= len(self.doubts)


def test_the_table_of_names_against_a_plain_one() -> None:
    terms = settings(derandomize=True, max_examples=60, deadline=None)
    run_state_machine_as_test(DoubtsMachine, settings=terms)  # type: ignore[no-untyped-call]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.text(max_size=300))
def test_a_peers_text_can_go_anywhere(text: str) -> None:
    said = sanitize_text(text)
    assert len(said) <= 200 and all(one.isprintable() for one in said)
