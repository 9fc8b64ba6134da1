"""The five rules, by example and over generated sequences of events."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from tests.conftest import SAFE, answers, ask, ended, entry, listing, offers, placer, settings
from thornshelf.placement import interface as api

WITH_KEY = replace(SAFE, idempotency=api.Idempotency.WITH_KEY, idempotency_window_s=5.0)
NOT_IDEMPOTENT = replace(SAFE, idempotency=api.Idempotency.NEVER)
PROVEN = (api.Outcome.REFUSED, api.Outcome.NOT_CONNECTED, api.Outcome.NOT_SENT)
UNPROVEN = (api.Outcome.TIMED_OUT, api.Outcome.ERROR, api.Outcome.BROKEN, api.Outcome.CANCELLED)


def test_rule_1_an_open_request_fails_just_before_its_deadline() -> None:
    one = placer(entry(1))
    actions = one.handle(1.0, [ask(1, budget_s=2.0)])
    due = next(action for action in actions if isinstance(action, api.SetTimer) and action.token == 1)
    assert 2.9 < due.at < 3.0
    assert answers(one.handle(due.at, [api.TimerFired(1)])) == [api.Fail(1)]
    assert not offers(one.handle(3.1, [ended(1, 1, api.Outcome.REFUSED)]))


@pytest.mark.parametrize("outcome", UNPROVEN)
def test_rule_2_a_non_idempotent_task_that_may_have_run_is_neither_retried_nor_rejected(
    outcome: api.Outcome,
) -> None:
    one = placer(entry(1), entry(2), using=settings(NOT_IDEMPOTENT))
    first = offers(one.handle(1.0, [ask(1)]))[0].machine
    actions = one.handle(1.5, [ended(1, first, outcome)])
    assert not offers(actions) and answers(actions) == [api.Fail(1)]


@pytest.mark.parametrize("outcome", PROVEN)
def test_rule_2_a_non_idempotent_task_that_never_ran_is_retried(outcome: api.Outcome) -> None:
    one = placer(entry(1), entry(2), using=settings(NOT_IDEMPOTENT))
    first = offers(one.handle(1.0, [ask(1)]))[0].machine
    assert offers(one.handle(1.5, [ended(1, first, outcome)]))


@pytest.mark.parametrize(
    ("group", "zone", "cell", "sent"),
    [
        (api.Scope.ALL, "there", 2, True),
        (api.Scope.ZONE, "there", 1, False),
        (api.Scope.ZONE, "here", 2, True),
        (api.Scope.CELL, "here", 2, False),
        (api.Scope.CELL, "here", 1, True),
    ],
)
def test_rule_2_a_task_with_an_idempotency_key_stays_in_its_scope(
    group: api.Scope, zone: str, cell: int, sent: bool
) -> None:
    one = placer(entry(1), using=settings(replace(WITH_KEY, idempotency_scope=group)))
    one.handle(1.0, [ask(1)])
    one.handle(1.1, [listing(entry(2, zone=zone, cell=cell), complete=False)])
    actions = one.handle(1.5, [ended(1, 1, api.Outcome.TIMED_OUT)])
    assert bool(offers(actions)) is sent
    if not sent:
        assert answers(actions) == [api.Fail(1)]


def test_rule_2_a_task_with_a_key_is_not_retried_after_its_window_but_rejected_in_scope_all() -> None:
    one = placer(entry(1), entry(2), using=settings(WITH_KEY))
    first = offers(one.handle(1.0, [ask(1, budget_s=9.0)]))[0].machine
    assert answers(one.handle(6.0, [ended(1, first, api.Outcome.TIMED_OUT)])) == [api.Reject(1)]


def test_rule_3_no_attempt_at_a_machine_that_drains_or_is_removed() -> None:
    one = placer(entry(1), entry(2), entry(3))
    one.handle(1.0, [listing(entry(1, health=api.Health.DRAINING), complete=False)])
    one.handle(1.1, [listing(entry(1, health=api.Health.DRAINING), entry(2))])
    assert {offer.machine for offer in offers(one.handle(2.0, [ask(n) for n in range(30)]))} == {2}
    one.handle(2.1, [listing(entry(2, health=api.Health.REMOVED), complete=False)])
    assert not offers(one.handle(2.2, [ask(n) for n in range(40, 50)]))


def test_rule_4_all_placers_together_stay_within_the_slow_start_attempts() -> None:
    """Few slow-start attempts for many placers: some have none, and the sum is what is alldeadlines."""
    sent = 0
    for me in range(20):
        one = placer(entry(1, kind="large", started_at=0.5), using=settings(me=me, placers=20))
        for n in range(40):
            actions = one.handle(1.0 + 0.02 * n, [ask(n, cores=0.1, memory=0.1)])
            sent += len(offers(actions))
            one.handle(1.0 + 0.02 * n, [ended(n, 1, api.Outcome.REFUSED)])
    assert sent <= 12


@pytest.mark.parametrize(
    ("scope", "zone", "cell", "sent"),
    [
        (api.Scope.MACHINE, "here", 1, 1),
        (api.Scope.CELL, "there", 1, 0),
        (api.Scope.CELL, "here", 2, 1),
        (api.Scope.ZONE, "here", 2, 0),
        (api.Scope.ZONE, "there", 2, 1),
    ],
)
def test_rule_5_spread_counts_adopted_tasks_and_attempts(
    scope: api.Scope, zone: str, cell: int, sent: int
) -> None:
    spread = replace(SAFE, spread_scope=scope, max_per_domain=2)
    one = placer(entry(1), using=settings(spread))
    one.handle(0.5, [api.TaskAdopted(ask(90), 1)])
    assert len(offers(one.handle(1.0, [ask(1), ask(2)]))) == 1
    one.handle(1.1, [listing(entry(2, zone=zone, cell=cell), complete=False)])
    assert len(offers(one.handle(1.2, [ask(3)]))) == sent


STEP = st.tuples(
    st.sampled_from(
        ["ask", "ask", "end", "end", "place", "list", "adopt", "timer", "abandon", "note", "peer"]
    ),
    st.integers(0, 7),
    st.sampled_from(list(api.Outcome)),
    st.sampled_from(list(api.Health)),
    st.floats(0.0, 1.5),
)


def together(spread: api.Scope, one: api.Endpoint, other: api.Endpoint) -> bool:
    """Whether two machines lie in one place of the spread."""
    if spread is api.Scope.MACHINE:
        return one.machine == other.machine
    return one.cell == other.cell if spread is api.Scope.CELL else one.zone == other.zone


@runs(derandomize=True, deadline=None, max_examples=150)
@given(
    steps=st.lists(STEP, max_size=60),
    effect=st.sampled_from(list(api.Idempotency)),
    group=st.sampled_from([api.Scope.ALL, api.Scope.ZONE, api.Scope.CELL]),
    spread=st.sampled_from([api.Scope.NONE, api.Scope.MACHINE, api.Scope.CELL, api.Scope.ZONE]),
    running=st.booleans(),
)
def test_all_rules_over_any_sequence(
    steps: list[tuple[str, int, api.Outcome, api.Health, float]],
    effect: api.Idempotency,
    group: api.Scope,
    spread: api.Scope,
    running: bool,
) -> None:
    terms = replace(
        SAFE,
        idempotency=effect,
        idempotency_scope=group,
        idempotency_window_s=2.0,
        spread_scope=spread,
        max_per_domain=2,
    )
    using = settings(
        terms, placers=3, may_gossip=True, accepts_before_running=not running, slow_start_attempts=5.0
    )
    enattempts = {
        n: entry(n, zone=("here", "there")[n % 2], cell=n % 3, started_at=float(n == 3)) for n in range(6)
    }
    one = placer(*enattempts.values(), using=using)
    clock = 1.0
    last_request = 0
    deadlines: dict[int, float] = {}
    service: dict[int, int] = {}
    attempts: dict[int, list[tuple[int, float, str]]] = {}  # machine, time, state
    slow_start: list[float] = []

    for kind, pick, outcome, health, wait in steps:
        clock += wait * 0.4
        in_flight = [
            (r, n)
            for r, made in attempts.items()
            for n, attempt in enumerate(made)
            if attempt[2] in ("out", "bound")
        ]
        events: list[api.Event] = [api.TimerFired(r) for r, at in deadlines.items() if clock >= at - 0.005]
        if kind == "ask":
            last_request += 1
            deadlines[last_request] = clock + 1.0 + wait
            service[last_request] = pick % 3
            attempts[last_request] = []
            events.append(ask(last_request, service=pick % 3, budget_s=1.0 + wait))
        elif kind in ("end", "place", "note") and in_flight:
            request, number = in_flight[pick % len(in_flight)]
            machine, at, state = attempts[request][number]
            if kind == "note":
                events.append(api.TaskUpdate(request, machine, number, api.TaskUpdateKind.CORES_USED, wait))
            elif kind == "end":
                proven = outcome in PROVEN and state == "out"
                attempts[request][number] = (machine, at, "never" if proven else "maybe")
                events.append(ended(request, machine, outcome, number, last=state == "bound"))
            elif state == "out" and request in deadlines:
                attempts[request][number] = (machine, at, "bound")
                del deadlines[request]
                events.append(api.AttemptAccepted(request, machine, number, 0.1))
        elif kind == "list":
            machine = pick % 6
            enattempts[machine] = replace(enattempts[machine], health=health)
            events.append(listing(enattempts[machine], complete=False))
        elif kind == "adopt":
            last_request += 1
            service[last_request] = pick % 3
            attempts[last_request] = [(pick % 6, clock, "bound")]
            events.append(api.TaskAdopted(ask(last_request, service=pick % 3), pick % 6))
        elif kind == "abandon" and deadlines and not events:
            cancelled = sorted(deadlines)[pick % len(deadlines)]
            del deadlines[cancelled]
            events = [api.RequestCancelled(cancelled)]
        elif kind == "peer":
            events.append(api.GossipMessage(pick % 3, bytes([1, *range(pick)])))
        for action in one.handle(clock, events):
            match action:
                case api.StartAttempt(request, machine, _):
                    assert request in deadlines
                    made = attempts[request]
                    assert all(state != "out" for _, _, state in made)
                    maybe = [(m, at) for m, at, state in made if state == "maybe"]
                    if maybe and effect is api.Idempotency.NEVER:
                        pytest.fail("a task that is not idempotent was retried")
                    if maybe and effect is api.Idempotency.WITH_KEY:
                        assert clock <= min(at for _, at in maybe) + 2.0
                        for m, _ in maybe:
                            assert (
                                group is not api.Scope.ZONE or enattempts[m].zone == enattempts[machine].zone
                            )
                            assert (
                                group is not api.Scope.CELL or enattempts[m].cell == enattempts[machine].cell
                            )
                    assert enattempts[machine].health is api.Health.UP
                    if machine == 3 and clock < 11.0:
                        slow_start.append(clock)
                        assert sum(at > clock - 1.0 for at in slow_start) <= 2
                    made.append((machine, clock, "out"))
                    if spread is not api.Scope.NONE:
                        there = sum(
                            state in ("out", "bound") and together(spread, enattempts[m], enattempts[machine])
                            for r, made in attempts.items()
                            if service[r] == service[request]
                            for m, _, state in made
                        )
                        assert there <= 2
                case api.Reject(request, _):
                    assert request in deadlines
                    del deadlines[request]
                    if any(state != "never" for _, _, state in attempts[request]):
                        assert effect is api.Idempotency.ALWAYS or (
                            effect is api.Idempotency.WITH_KEY and group is api.Scope.ALL
                        )
                case api.Fail(request):
                    assert request in deadlines
                    del deadlines[request]
                case _:
                    pass
        assert all(at - 0.005 > clock for at in deadlines.values())


def test_rule_4_holds_in_every_window_and_its_quotas_rotate() -> None:
    """More placers than slow-start attempts: each in turn has one, and no window of the rule has more."""
    sent = []
    for me in range(40):
        one = placer(entry(1, kind="large", started_at=0.5), using=settings(me=me, placers=40))
        for n in range(80):
            clock = 1.0 + 0.1 * n
            sent += [(clock, me) for _ in offers(one.handle(clock, [ask(n, cores=0.1, memory=0.1)]))]
            one.handle(clock, [ended(n, 1, api.Outcome.REFUSED)])
    assert max(sum(start <= at < start + 1.0 for at, _ in sent) for start, _ in sent) <= 12
    assert len({me for _, me in sent}) > 12


def test_unexpected_input_breaks_no_rule_and_blames_no_machine() -> None:
    """A clock that jumps, gossip that is truncated, foreign or repeated, and events long after their time."""
    using = settings(placers=3, may_gossip=True)
    one = placer(entry(1), entry(2), using=using)
    messages = [b"", b"\x01", b"\x02abcdefgh", b"\x01short", b"\x01" + b"\xff" * 8, b"\x01" + b"\xff" * 8]
    one.handle(1.0, [api.GossipMessage(sender, data) for sender in (1, 2, 99) for data in messages])
    first = offers(one.handle(1.1, [ask(1, budget_s=6.0)]))[0].machine
    jumped = one.handle(500.0, [api.TimerFired(1), ended(1, first, api.Outcome.TIMED_OUT)])
    assert len(answers(jumped)) == 1 and not offers(jumped)
    assert not [action for action in jumped if isinstance(action, api.Log | api.CheckHealth)]
    one.handle(500.1, [ended(1, first, api.Outcome.OK), api.AttemptAccepted(1, first, 0, 499.0)])
    assert len(offers(one.handle(500.2, [ask(n, service=n) for n in range(2, 6)]))) == 4


def test_a_load_report_does_not_undo_what_is_known_to_run() -> None:
    """Guards against a delayed report that shows a machine empty while own tasks fill it."""
    one = placer(entry(1))
    one.handle(1.0, [api.TaskAdopted(ask(n, cores=2.0), 1) for n in range(4)])
    empty = api.LoadReport(free_cores=8.0, free_memory=16.0)
    one.handle(5.0, [api.HealthCheckResult(1, api.Outcome.OK, 0.1, empty)])
    assert answers(one.handle(5.1, [ask(9)])) == [api.Reject(9)]
