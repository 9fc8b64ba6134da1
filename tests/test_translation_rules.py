"""Translation without I/O: guarantees, node profiles, missing fields, routes, keys and the field mapping."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from thornshelf.placement import Outcome, Reason
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
    ActiveKeyState,
    IdempotencyKeys,
    KeyAction,
    Resolution,
    UncertainKeyState,
    resolve_status,
)

NOTHING = DeclaredFields(None, None, 0, 0)
ALL = DeclaredFields(1000, "hollis-county", 5, 7)


def test_the_field_mapping_is_complete_and_the_page_is_up_to_date() -> None:
    assert field_mapping_audit.find_problems() == []
    page = Path(__file__).parent.parent / "docs" / "field-mapping.md"
    assert page.read_text() == field_mapping_audit.render_page()


@pytest.mark.parametrize("wire_format", list(WireFormat))
def test_an_element_without_a_binding_is_found(
    wire_format: WireFormat, monkeypatch: pytest.MonkeyPatch
) -> None:
    bound = dict(element_bindings.ELEMENT_BINDINGS[wire_format])
    removed = next(name for name, subject in bound.items() if not subject.startswith("="))
    del bound[removed]
    monkeypatch.setitem(element_bindings.ELEMENT_BINDINGS, wire_format, bound)
    assert f"{wire_format.value}: {removed} has no binding" in field_mapping_audit.find_problems()


def test_a_carried_subject_without_an_element_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    row = dict(field_mapping.RESPONSE_MAPPINGS["advice"]) | {WireFormat.GRPC_V1: field_mapping.CARRIED}
    monkeypatch.setitem(field_mapping.RESPONSE_MAPPINGS, "advice", row)
    assert any("advice is declared as carried" in problem for problem in field_mapping_audit.find_problems())


@pytest.mark.parametrize("reason", list(FailureReason))
@pytest.mark.parametrize("outcome", list(Outcome))
def test_no_translation_guarantees_more_than_the_node(outcome: Outcome, reason: FailureReason) -> None:
    reported, reported_reason = to_placement_outcome(outcome, reason)
    assert execution_guarantee(reported) <= execution_guarantee(outcome)
    if reason <= FailureReason.SENT_AWAY:
        assert (reported, reported_reason) == (outcome, Reason(int(reason)))


def test_rejections_that_concern_only_the_task_do_not_exclude_the_node() -> None:
    assert to_placement_outcome(Outcome.REFUSED, FailureReason.HINT_NEEDED)[0] is Outcome.NOT_SENT
    assert to_placement_outcome(Outcome.REFUSED, FailureReason.QUARANTINED) == (
        Outcome.REFUSED,
        Reason.NOT_SERVING,
    )
    assert execution_guarantee(Outcome.BROKEN) is ExecutionGuarantee.MAY_HAVE_RUN
    assert execution_guarantee(Outcome.NOT_SENT) is ExecutionGuarantee.NEVER_RAN


def test_unknown_reasons_default_advice_and_the_sanitizing_of_texts() -> None:
    assert decode_reason(99) is FailureReason.UNTOLD
    assert failure_cause(FailureReason.LICENCE).advice is RetryAdvice.CHANGED
    assert failure_cause(FailureReason.LICENCE, advice=RetryAdvice.LATER).advice is RetryAdvice.LATER
    assert sanitize_text("a\nb\x00" + "c" * 500) == "a b " + "c" * 196


def test_a_missing_field_is_assumed_only_by_policy() -> None:
    policies = MissingFieldPolicies({"lookup": MissingFieldPolicy(MissingFieldAction.ASSUME, 15_000)})
    hint = {RequiredField.HINT.value}
    assert policies.missing_fields("lookup", NOTHING, hint) == []
    assert policies.missing_fields("ledger-batch", NOTHING, hint) == [RequiredField.HINT]
    assert policies.missing_fields("lookup", NOTHING, {RequiredField.CLIENT_HINT.value}) == [
        RequiredField.CLIENT_HINT
    ]
    assert policies.missing_fields("lookup", ALL, set(RequiredField)) == []
    assert policies.missing_fields("lookup", NOTHING, {77}) == []
    assert [field.name for field in policies.missing_fields("lookup", NOTHING, {3, 4, 5})] == [
        "TENANT",
        "KEY",
        "SERVICE",
    ]
    assumed = policies.effective_hint("lookup", NOTHING, hint)
    assert assumed is not None
    assert (assumed.duration_us, assumed.assumed) == (15_000, True)
    assert policies.effective_hint("lookup", NOTHING, set()) is None  # not required: not assumed
    own = policies.effective_hint("lookup", ALL, hint)
    assert own is not None
    assert (own.duration_us, own.assumed) == (1000, False)
    with pytest.raises(ValueError):
        MissingFieldPolicy(MissingFieldAction.ASSUME)
    with pytest.raises(ValueError):
        MissingFieldPolicy(MissingFieldAction.REJECT, 5)


def test_routes_depend_on_generations_and_required_fields() -> None:
    router = Router(MissingFieldPolicies({}), {"ledger-batch": 2})
    old, new = NodeProfile("s-1"), NodeProfile("s-2")
    assert router.rejection_by("ledger-batch", ALL, old) is None  # never connected: its hello comes first
    old.reset_for_connection(WireFormat.BINARY)
    new.reset_for_connection(WireFormat.GRPC_V2)
    new.update_capabilities(NodeCapabilities(2, "s-2", frozenset({RequiredField.HINT.value}), True))
    rejection = router.rejection_by("ledger-batch", ALL, old)
    assert rejection is not None
    assert rejection.reason is FailureReason.WRONG_GENERATION
    assert "generation 2" in rejection.text
    assert router.rejection_by_all("ledger-batch", ALL, [old, new]) is None
    cause = router.rejection_by_all("ledger-batch", NOTHING, [old, new])
    assert cause is not None
    assert cause.reason is FailureReason.HINT_NEEDED
    assert cause.advice is RetryAdvice.CHANGED
    assert router.rejection_by_all("lookup", NOTHING, []) is None
    assert router.accepts_every_task("lookup", old)
    assert not router.accepts_every_task("ledger-batch", old)
    assert not router.accepts_every_task("lookup", new)


def test_a_node_is_trusted_only_while_it_behaves_as_its_hello_declares() -> None:
    node = NodeProfile("s-1")
    node.reset_for_connection(WireFormat.GRPC_V2)
    assert node.update_capabilities(NodeCapabilities(2, "s-1", frozenset(), True)) == []
    assert node.answers_queries
    assert node.update_capabilities(NodeCapabilities(2, "s-9", frozenset(), True))
    assert node.mismatched_name == "s-9"
    assert not node.answers_queries
    assert Router(MissingFieldPolicies({})).rejection_by("lookup", ALL, node) is not None
    assert node.update_capabilities(NodeCapabilities(1, "s-1", frozenset({55}), True))
    assert not node.answers_queries
    node.update_capabilities(NodeCapabilities(2, "s-1", frozenset(), True))
    assert node.record_rejection(FailureReason.HINT_NEEDED)
    assert not node.record_rejection(FailureReason.HINT_NEEDED)
    assert node.required_fields == {RequiredField.HINT}
    assert not node.record_rejection(FailureReason.LICENCE)
    for _ in range(2):
        node.record_broken_promise()
    assert not node.answers_queries
    node.reset_for_connection(WireFormat.GRPC_V1)
    assert node.required_fields == set()
    assert not node.answers_queries


def test_the_wire_format_is_negotiated_again_after_a_restart() -> None:
    negotiation = WireFormatNegotiation((WireFormat.BINARY, WireFormat.GRPC_V2, WireFormat.GRPC_V1))
    assert negotiation.current is WireFormat.GRPC_V2
    assert not negotiation.is_fixed
    negotiation.reject_current()
    next_format = negotiation.current
    assert next_format.value == "thornshelf.v1"
    negotiation.connection_closed(False)  # this format was never confirmed: one close is enough
    assert negotiation.current.value == "binary messages"
    assert negotiation.has_untried_format
    negotiation.reject_current()
    assert not negotiation.has_untried_format  # attempts do not wait any longer
    negotiation.current = WireFormat.BINARY
    negotiation.confirm()
    assert negotiation.has_untried_format
    negotiation.connection_closed(True)
    assert negotiation.current.value == "thornshelf.v2"  # the node may have been upgraded
    negotiation.connection_closed(False)
    # One close without a message is enough, because the older format was confirmed last.
    assert negotiation.current.value == "thornshelf.v1"
    assert WireFormatNegotiation((WireFormat.GRPC_V2,)).is_fixed
    with pytest.raises(ValueError):
        WireFormatNegotiation(())


def test_the_meaning_of_a_status_reply() -> None:
    assert resolve_status(1, trusted=True) is Resolution.NEVER_RAN
    assert resolve_status(1, trusted=False) is Resolution.UNRESOLVED
    assert [resolve_status(n, True) for n in (0, 2, 3, 4, 99)] == [
        Resolution.UNRESOLVED, Resolution.PENDING, Resolution.RUNNING, Resolution.ENDED, Resolution.UNRESOLVED
    ]  # fmt: skip


def test_uncertain_keys_expire_and_are_bounded() -> None:
    keys = IdempotencyKeys(retention_us=100, max_uncertain=2)
    for key in (1, 2, 3):
        keys.mark_uncertain(key, 9, key, key)
    assert keys.lookup(1, 3) is None
    assert keys.evicted_count == 1
    assert keys.uncertain_count == 2
    assert keys.action_for(2, 50, True) is KeyAction.QUERY_NODE
    assert keys.action_for(2, 50, False) is KeyAction.FAIL
    assert keys.action_for(2, 102, True) is KeyAction.START  # expired
    keys.mark_active(3, 7)
    assert keys.action_for(3, 10_000, False) is KeyAction.JOIN  # active keys do not expire
    keys.discard_if_active_as(3, 8)
    assert keys.lookup(3, 0) == ActiveKeyState(7)
    keys.discard_if_active_as(3, 7)
    assert len(keys) == 0


class IdempotencyKeysMachine(RuleBasedStateMachine):
    """Compares the idempotency keys with a dictionary that never expires or evicts."""

    def __init__(self) -> None:
        super().__init__()
        self.keys, self.expected, self.now = (
            IdempotencyKeys(retention_us=50, max_uncertain=1000),
            dict[int, ActiveKeyState | UncertainKeyState](),
            0,
        )

    @rule(elapsed=st.integers(0, 30))
    def wait(self, elapsed: int) -> None:
        self.now += elapsed

    @rule(key=st.integers(1, 5), uid=st.integers(1, 99))
    def mark_active(self, key: int, uid: int) -> None:
        self.keys.mark_active(key, uid)
        self.expected[key] = ActiveKeyState(uid)

    @rule(key=st.integers(1, 5), uid=st.integers(1, 99), machine=st.integers(1, 3))
    def mark_uncertain(self, key: int, uid: int, machine: int) -> None:
        self.keys.mark_uncertain(key, machine, uid, self.now)
        self.expected[key] = UncertainKeyState(machine, uid, self.now)

    @rule(key=st.integers(1, 5))
    def discard(self, key: int) -> None:
        self.keys.discard(key)
        self.expected.pop(key, None)

    @invariant()
    def states_are_equal(self) -> None:
        for key in range(1, 6):
            state = self.expected.get(key)
            if isinstance(state, UncertainKeyState) and self.now - state.since_us >= 50:
                state = None
            assert self.keys.lookup(key, self.now) == state
        assert self.keys.uncertain_count <= len(self.keys)


def test_the_idempotency_keys_behave_like_a_dictionary() -> None:
    config = settings(derandomize=True, max_examples=60, deadline=None)
    run_state_machine_as_test(IdempotencyKeysMachine, settings=config)  # type: ignore[no-untyped-call]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.text(max_size=300))
def test_a_sanitized_text_is_short_and_printable(text: str) -> None:
    sanitized = sanitize_text(text)
    assert len(sanitized) <= 200
    assert all(char.isprintable() for char in sanitized)
