"""The five rules, by example and over generated sequences of events."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

import pytest
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from tests.conftest import (
    SAFE,
    answers,
    attempt_ended,
    endpoint,
    endpoint_update,
    make_placer,
    placement_request,
    settings,
    started_attempts,
)
from thornshelf import placement as api

WITH_KEY = replace(SAFE, idempotency=api.Idempotency.WITH_KEY, idempotency_window_s=5.0)
NOT_IDEMPOTENT = replace(SAFE, idempotency=api.Idempotency.NEVER)
NEVER_RAN_OUTCOMES = (api.Outcome.REFUSED, api.Outcome.NOT_CONNECTED, api.Outcome.NOT_SENT)
MAY_HAVE_RUN_OUTCOMES = (api.Outcome.TIMED_OUT, api.Outcome.ERROR, api.Outcome.BROKEN, api.Outcome.CANCELLED)


def test_rule_1_an_open_request_fails_just_before_its_deadline() -> None:
    one = make_placer(endpoint(1))
    actions = one.handle(1.0, [placement_request(1, budget_s=2.0)])
    due = next(action for action in actions if isinstance(action, api.SetTimer) and action.token == 1)
    assert 2.9 < due.at < 3.0
    assert answers(one.handle(due.at, [api.TimerFired(1)])) == [api.Fail(1)]
    assert not started_attempts(one.handle(3.1, [attempt_ended(1, 1, api.Outcome.REFUSED)]))


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN_OUTCOMES)
def test_rule_2_a_non_idempotent_task_that_may_have_run_is_neither_retried_nor_rejected(
    outcome: api.Outcome,
) -> None:
    one = make_placer(endpoint(1), endpoint(2), placer_settings=settings(NOT_IDEMPOTENT))
    first = started_attempts(one.handle(1.0, [placement_request(1)]))[0].machine
    actions = one.handle(1.5, [attempt_ended(1, first, outcome)])
    assert not started_attempts(actions)
    assert answers(actions) == [api.Fail(1)]


@pytest.mark.parametrize("outcome", NEVER_RAN_OUTCOMES)
def test_rule_2_a_non_idempotent_task_that_never_ran_is_retried(outcome: api.Outcome) -> None:
    one = make_placer(endpoint(1), endpoint(2), placer_settings=settings(NOT_IDEMPOTENT))
    first = started_attempts(one.handle(1.0, [placement_request(1)]))[0].machine
    assert started_attempts(one.handle(1.5, [attempt_ended(1, first, outcome)]))


@pytest.mark.parametrize(
    ("scope", "zone", "cell", "sent"),
    [
        (api.Scope.ALL, "there", 2, True),
        (api.Scope.ZONE, "there", 1, False),
        (api.Scope.ZONE, "here", 2, True),
        (api.Scope.CELL, "here", 2, False),
        (api.Scope.CELL, "here", 1, True),
    ],
)
def test_rule_2_a_task_with_an_idempotency_key_stays_in_its_scope(
    scope: api.Scope, zone: str, cell: int, sent: bool
) -> None:
    one = make_placer(endpoint(1), placer_settings=settings(replace(WITH_KEY, idempotency_scope=scope)))
    one.handle(1.0, [placement_request(1)])
    one.handle(1.1, [endpoint_update(endpoint(2, zone=zone, cell=cell), complete=False)])
    actions = one.handle(1.5, [attempt_ended(1, 1, api.Outcome.TIMED_OUT)])
    assert bool(started_attempts(actions)) is sent
    if not sent:
        assert answers(actions) == [api.Fail(1)]


def test_rule_2_a_task_with_a_key_is_not_retried_after_its_window_but_rejected_in_scope_all() -> None:
    one = make_placer(endpoint(1), endpoint(2), placer_settings=settings(WITH_KEY))
    first = started_attempts(one.handle(1.0, [placement_request(1, budget_s=9.0)]))[0].machine
    assert answers(one.handle(6.0, [attempt_ended(1, first, api.Outcome.TIMED_OUT)])) == [api.Reject(1)]


def test_rule_3_no_attempt_at_a_machine_that_drains_or_is_removed() -> None:
    one = make_placer(endpoint(1), endpoint(2), endpoint(3))
    one.handle(1.0, [endpoint_update(endpoint(1, health=api.Health.DRAINING), complete=False)])
    one.handle(1.1, [endpoint_update(endpoint(1, health=api.Health.DRAINING), endpoint(2))])
    assert {
        offer.machine
        for offer in started_attempts(one.handle(2.0, [placement_request(n) for n in range(30)]))
    } == {2}
    one.handle(2.1, [endpoint_update(endpoint(2, health=api.Health.REMOVED), complete=False)])
    assert not started_attempts(one.handle(2.2, [placement_request(n) for n in range(40, 50)]))


def test_rule_4_all_placers_together_stay_within_the_slow_start_attempts() -> None:
    """With fewer attempts than placers, some placers have none, and the sum is within the limit."""
    sent = 0
    for me in range(20):
        one = make_placer(
            endpoint(1, kind="large", started_at=0.5), placer_settings=settings(me=me, placers=20)
        )
        for n in range(40):
            actions = one.handle(1.0 + 0.02 * n, [placement_request(n, cores=0.1, memory=0.1)])
            sent += len(started_attempts(actions))
            one.handle(1.0 + 0.02 * n, [attempt_ended(n, 1, api.Outcome.REFUSED)])
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
    one = make_placer(endpoint(1), placer_settings=settings(spread))
    one.handle(0.5, [api.TaskAdopted(placement_request(90), 1)])
    assert len(started_attempts(one.handle(1.0, [placement_request(1), placement_request(2)]))) == 1
    one.handle(1.1, [endpoint_update(endpoint(2, zone=zone, cell=cell), complete=False)])
    assert len(started_attempts(one.handle(1.2, [placement_request(3)]))) == sent


class StepKind(enum.Enum):
    """The kind of a step in a generated sequence."""

    REQUEST = enum.auto()
    END = enum.auto()
    ACCEPT = enum.auto()
    ENDPOINT_UPDATE = enum.auto()
    ADOPT = enum.auto()
    TIMER = enum.auto()
    CANCEL = enum.auto()
    TASK_UPDATE = enum.auto()
    GOSSIP = enum.auto()


class AttemptState(enum.Enum):
    """The state of an attempt in the model."""

    IN_FLIGHT = enum.auto()
    RUNNING = enum.auto()
    NEVER_RAN = enum.auto()
    MAY_HAVE_RUN = enum.auto()


ACTIVE = (AttemptState.IN_FLIGHT, AttemptState.RUNNING)


@dataclass
class ModelAttempt:
    """An attempt in the model."""

    machine: int
    started_at: float
    state: AttemptState


@dataclass(frozen=True)
class Step:
    """One step of a generated sequence; ``choice`` selects its request, machine or service."""

    kind: StepKind
    choice: int
    outcome: api.Outcome
    health: api.Health
    wait_s: float


KINDS = (
    # Requests and ends are drawn more often than the others.
    *(StepKind.REQUEST, StepKind.REQUEST, StepKind.END, StepKind.END, StepKind.ACCEPT),
    *(StepKind.ENDPOINT_UPDATE, StepKind.ADOPT, StepKind.TIMER, StepKind.CANCEL),
    *(StepKind.TASK_UPDATE, StepKind.GOSSIP),
)
STEP = st.tuples(
    st.sampled_from(KINDS),
    st.integers(0, 7),
    st.sampled_from(list(api.Outcome)),
    st.sampled_from(list(api.Health)),
    st.floats(0.0, 1.5),
).map(lambda drawn: Step(*drawn))


class RuleModel:
    """A model of a placer's environment: turns steps into events, and checks actions against the five rules."""

    SLOW_START_MACHINE = 3
    DEADLINE_MARGIN_S = 0.005

    def __init__(self, task_class: api.TaskClass) -> None:
        self.task_class = task_class
        self.entries = {
            machine: endpoint(
                machine,
                zone=("here", "there")[machine % 2],
                cell=machine % 3,
                started_at=float(machine == self.SLOW_START_MACHINE),
            )
            for machine in range(6)
        }
        self.clock = 1.0
        self.last_request = 0
        self.deadlines: dict[int, float] = {}  # of the requests that are open
        self.service: dict[int, int] = {}
        self.attempts: dict[int, list[ModelAttempt]] = {}
        self.slow_start: list[float] = []  # times of attempts at the machine in slow start

    def events(self, step: Step) -> list[api.Event]:
        """Advance the clock, and return the timers that are due and the event of the step."""
        self.clock += step.wait_s * 0.4
        due = [request for request in self.deadlines if self._is_due(request)]
        timers: list[api.Event] = [api.TimerFired(request) for request in due]
        if step.kind is StepKind.CANCEL and not timers and self.deadlines:
            cancelled = sorted(self.deadlines)[step.choice % len(self.deadlines)]
            del self.deadlines[cancelled]
            return [api.RequestCancelled(cancelled)]
        return timers + self._step_events(step)

    def _is_due(self, request: int) -> bool:
        return self.clock >= self.deadlines[request] - self.DEADLINE_MARGIN_S

    def _step_events(self, step: Step) -> list[api.Event]:
        match step.kind:
            case StepKind.REQUEST:
                return [self._request(step)]
            case StepKind.ADOPT:
                return [self._adopt(step)]
            case StepKind.ENDPOINT_UPDATE:
                machine = step.choice % 6
                self.entries[machine] = replace(self.entries[machine], health=step.health)
                return [endpoint_update(self.entries[machine], complete=False)]
            case StepKind.GOSSIP:
                return [api.GossipMessage(step.choice % 3, bytes([1, *range(step.choice)]))]
            case StepKind.END | StepKind.ACCEPT | StepKind.TASK_UPDATE:
                return self._attempt_events(step)
            case _:
                return []

    def _request(self, step: Step) -> api.Event:
        self.last_request += 1
        request = self.last_request
        self.deadlines[request] = self.clock + 1.0 + step.wait_s
        self.service[request] = step.choice % 3
        self.attempts[request] = []
        return placement_request(request, service=step.choice % 3, budget_s=1.0 + step.wait_s)

    def _adopt(self, step: Step) -> api.Event:
        self.last_request += 1
        request = self.last_request
        self.service[request] = step.choice % 3
        self.attempts[request] = [ModelAttempt(step.choice % 6, self.clock, AttemptState.RUNNING)]
        return api.TaskAdopted(placement_request(request, service=step.choice % 3), step.choice % 6)

    def _attempt_events(self, step: Step) -> list[api.Event]:
        active = [
            (request, number, attempt)
            for request, attempts in self.attempts.items()
            for number, attempt in enumerate(attempts)
            if attempt.state in ACTIVE
        ]
        if not active:
            return []
        request, number, attempt = active[step.choice % len(active)]
        machine = attempt.machine
        was_running = attempt.state is AttemptState.RUNNING
        if step.kind is StepKind.TASK_UPDATE:
            kind = api.TaskUpdateKind.CORES_USED
            return [api.TaskUpdate(request, machine, number, kind, step.wait_s)]
        if step.kind is StepKind.END:
            never_ran = step.outcome in NEVER_RAN_OUTCOMES and not was_running
            attempt.state = AttemptState.NEVER_RAN if never_ran else AttemptState.MAY_HAVE_RUN
            return [attempt_ended(request, machine, step.outcome, number, last=was_running)]
        if not was_running and request in self.deadlines:
            attempt.state = AttemptState.RUNNING
            if not self._is_due(request):
                del self.deadlines[request]  # else its timer, which fires first, must fail it
            return [api.AttemptAccepted(request, machine, number, 0.1)]
        return []

    def check(self, action: api.Action) -> None:
        """Fail the test if an action breaks a rule; else apply it to the model."""
        match action:
            case api.StartAttempt(request, machine, _):
                self._check_attempt(request, machine)
            case api.Reject(request, _):
                self._check_answer(request)
                if any(attempt.state is not AttemptState.NEVER_RAN for attempt in self.attempts[request]):
                    idempotency = self.task_class.idempotency
                    assert idempotency is api.Idempotency.ALWAYS or (
                        idempotency is api.Idempotency.WITH_KEY
                        and self.task_class.idempotency_scope is api.Scope.ALL
                    )
            case api.Fail(request):
                self._check_answer(request)
            case _:
                pass

    def check_deadlines(self) -> None:
        """Fail the test if a request was not answered by its deadline."""
        assert all(at - self.DEADLINE_MARGIN_S > self.clock for at in self.deadlines.values())

    def _check_answer(self, request: int) -> None:
        assert request in self.deadlines
        del self.deadlines[request]

    def _check_attempt(self, request: int, machine: int) -> None:
        assert request in self.deadlines
        attempts = self.attempts[request]
        assert all(attempt.state is not AttemptState.IN_FLIGHT for attempt in attempts)
        self._check_retry(attempts, self.entries[machine])
        assert self.entries[machine].health is api.Health.UP
        if machine == self.SLOW_START_MACHINE and self.clock < 11.0:
            self.slow_start.append(self.clock)
            assert sum(at > self.clock - 1.0 for at in self.slow_start) <= 2
        attempts.append(ModelAttempt(machine, self.clock, AttemptState.IN_FLIGHT))
        if self.task_class.spread_scope is not api.Scope.NONE:
            assert self._count_in_domain(request, self.entries[machine]) <= 2

    def _check_retry(self, attempts: list[ModelAttempt], target: api.Endpoint) -> None:
        """Check rule 2: a task that may have run is retried only in the scope and window of its class."""
        uncertain = [attempt for attempt in attempts if attempt.state is AttemptState.MAY_HAVE_RUN]
        if not uncertain:
            return
        if self.task_class.idempotency is api.Idempotency.NEVER:
            pytest.fail("a task that is not idempotent was retried")
        if self.task_class.idempotency is api.Idempotency.WITH_KEY:
            assert self.clock <= min(attempt.started_at for attempt in uncertain) + 2.0
            scope = self.task_class.idempotency_scope
            for attempt in uncertain:
                before = self.entries[attempt.machine]
                assert scope is not api.Scope.ZONE or before.zone == target.zone
                assert scope is not api.Scope.CELL or before.cell == target.cell

    def _count_in_domain(self, request: int, target: api.Endpoint) -> int:
        """Return the active attempts of the request's service in the machine's failure domain (rule 5)."""
        return sum(
            attempt.state in ACTIVE and self._are_in_same_domain(self.entries[attempt.machine], target)
            for other, attempts in self.attempts.items()
            if self.service[other] == self.service[request]
            for attempt in attempts
        )

    def _are_in_same_domain(self, one: api.Endpoint, other: api.Endpoint) -> bool:
        scope = self.task_class.spread_scope
        if scope is api.Scope.MACHINE:
            return one.machine == other.machine
        return one.cell == other.cell if scope is api.Scope.CELL else one.zone == other.zone


@runs(derandomize=True, deadline=None, max_examples=400)
@given(
    steps=st.lists(STEP, max_size=60),
    idempotency=st.sampled_from(list(api.Idempotency)),
    scope=st.sampled_from([api.Scope.ALL, api.Scope.ZONE, api.Scope.CELL]),
    spread=st.sampled_from([api.Scope.NONE, api.Scope.MACHINE, api.Scope.CELL, api.Scope.ZONE]),
    running=st.booleans(),
)
def test_all_rules_over_any_sequence(
    steps: list[Step],
    idempotency: api.Idempotency,
    scope: api.Scope,
    spread: api.Scope,
    running: bool,
) -> None:
    task_class = replace(
        SAFE,
        idempotency=idempotency,
        idempotency_scope=scope,
        idempotency_window_s=2.0,
        spread_scope=spread,
        max_per_domain=2,
    )
    placer_settings = settings(
        task_class, placers=3, may_gossip=True, accepts_before_running=not running, slow_start_attempts=5.0
    )
    model = RuleModel(task_class)
    one = make_placer(*model.entries.values(), placer_settings=placer_settings)
    for step in steps:
        events = model.events(step)
        for action in one.handle(model.clock, events):
            model.check(action)
        model.check_deadlines()


def test_rule_4_holds_in_every_window_and_its_quotas_rotate() -> None:
    """With more placers than attempts, different placers send in each slot, within the limit of a window."""
    sent = []
    for me in range(40):
        one = make_placer(
            endpoint(1, kind="large", started_at=0.5), placer_settings=settings(me=me, placers=40)
        )
        for n in range(80):
            clock = 1.0 + 0.1 * n
            sent += [
                (clock, me)
                for _ in started_attempts(one.handle(clock, [placement_request(n, cores=0.1, memory=0.1)]))
            ]
            one.handle(clock, [attempt_ended(n, 1, api.Outcome.REFUSED)])
    assert max(sum(start <= at < start + 1.0 for at, _ in sent) for start, _ in sent) <= 12
    assert len({me for _, me in sent}) > 12


def test_unexpected_input_breaks_no_rule_and_ejects_no_machine() -> None:
    """A clock that jumps, gossip that is malformed or repeated, and events that arrive far too late."""
    placer_settings = settings(placers=3, may_gossip=True)
    one = make_placer(endpoint(1), endpoint(2), placer_settings=placer_settings)
    messages = [b"", b"\x01", b"\x02abcdefgh", b"\x01short", b"\x01" + b"\xff" * 8, b"\x01" + b"\xff" * 8]
    one.handle(1.0, [api.GossipMessage(sender, data) for sender in (1, 2, 99) for data in messages])
    first = started_attempts(one.handle(1.1, [placement_request(1, budget_s=6.0)]))[0].machine
    jumped = one.handle(500.0, [api.TimerFired(1), attempt_ended(1, first, api.Outcome.TIMED_OUT)])
    assert len(answers(jumped)) == 1
    assert not started_attempts(jumped)
    assert not [action for action in jumped if isinstance(action, api.Log | api.CheckHealth)]
    one.handle(500.1, [attempt_ended(1, first, api.Outcome.OK), api.AttemptAccepted(1, first, 0, 499.0)])
    assert (
        len(started_attempts(one.handle(500.2, [placement_request(n, service=n) for n in range(2, 6)]))) == 4
    )


def test_a_load_report_does_not_hide_own_running_tasks() -> None:
    """Guards against a delayed report that shows a machine as empty while own tasks fill it."""
    one = make_placer(endpoint(1))
    one.handle(1.0, [api.TaskAdopted(placement_request(n, cores=2.0), 1) for n in range(4)])
    empty = api.LoadReport(free_cores=8.0, free_memory=16.0)
    one.handle(5.0, [api.HealthCheckResult(1, api.Outcome.OK, 0.1, empty)])
    assert answers(one.handle(5.1, [placement_request(9)])) == [api.Reject(9)]
