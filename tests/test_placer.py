"""The placer's decisions in normal operation, and when machines, peers or its own process fail."""

from __future__ import annotations

from dataclasses import replace

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
from thornshelf.placement.placer import Placer
from thornshelf.placement.pricing import is_under_threshold, unit_costs


def test_an_empty_endpoint_list_rejects_at_once() -> None:
    assert answers(make_placer().handle(1.0, [placement_request(1)])) == [api.Reject(1)]


def test_a_task_larger_than_any_machine_is_rejected_at_once() -> None:
    assert answers(make_placer(endpoint(1)).handle(1.0, [placement_request(1, cores=9.0)])) == [api.Reject(1)]


def test_a_request_with_no_time_left_is_rejected() -> None:
    assert answers(make_placer(endpoint(1)).handle(1.0, [placement_request(1, budget_s=0.0)])) == [
        api.Reject(1)
    ]


def test_the_threshold_rejects_what_is_expensive_on_the_pooled_fleet() -> None:
    costs = unit_costs((8.0, 8.0), (10.0, 10.0), (2.0, 2.0))
    assert [round(cost, 3) for cost in costs] == [0.969, 0.969]
    assert not is_under_threshold(costs)
    assert is_under_threshold(unit_costs((0.0, 0.0), (10.0, 10.0), (2.0, 2.0)))


def test_a_task_above_the_threshold_on_an_empty_machine_is_placed_by_fit() -> None:
    one = make_placer(endpoint(1))
    assert started_attempts(one.handle(1.0, [placement_request(1, cores=6.0, memory=6.0)]))


def test_of_concurrent_requests_the_cheapest_goes_first_and_the_shorter_lifetime_on_ties() -> None:
    one = make_placer(endpoint(1, kind="large"))
    batch = [
        placement_request(1, cores=4.0),
        placement_request(2, lifetime_hint_s=9.0),
        placement_request(3, lifetime_hint_s=2.0),
    ]
    assert [offer.request_id for offer in started_attempts(one.handle(1.0, batch))] == [3, 2, 1]


def test_a_class_is_placed_on_the_machine_kind_it_requires() -> None:
    required_kind = replace(SAFE, machine_kind=1)
    one = make_placer(
        endpoint(1),
        endpoint(2, kind="large"),
        endpoint(3, kind="unheard"),
        placer_settings=settings(required_kind),
    )
    assert {
        offer.machine for offer in started_attempts(one.handle(1.0, [placement_request(n) for n in range(9)]))
    } == {2}


def test_the_least_cost_machine_takes_a_task_of_a_new_service() -> None:
    one = make_placer(endpoint(1), endpoint(2))
    full = api.LoadReport(free_cores=1.0, free_memory=2.0)
    empty = api.LoadReport(free_cores=8.0, free_memory=16.0)
    answered = [
        api.HealthCheckResult(1, api.Outcome.OK, 0.1, full),
        api.HealthCheckResult(2, api.Outcome.OK, 0.1, empty),
    ]
    one.handle(1.0, answered)
    assert [offer.machine for offer in started_attempts(one.handle(1.1, [placement_request(1)]))] == [2]


def test_a_service_stays_where_its_program_is_cached() -> None:
    one = make_placer(*(endpoint(n) for n in range(1, 9)))
    first = started_attempts(one.handle(1.0, [placement_request(1)]))[0].machine
    assert started_attempts(one.handle(1.1, [placement_request(2)]))[0].machine == first


def test_a_refused_attempt_is_retried_elsewhere_then_rejected() -> None:
    one = make_placer(endpoint(1), endpoint(2))
    first = started_attempts(one.handle(1.0, [placement_request(1)]))[0].machine
    second = started_attempts(one.handle(1.1, [attempt_ended(1, first, api.Outcome.REFUSED)]))[0].machine
    assert second != first
    last = one.handle(1.2, [attempt_ended(1, second, api.Outcome.REFUSED, attempt=1)])
    assert answers(last) == [api.Reject(1)]
    assert not started_attempts(last)


def test_a_machine_that_times_out_repeatedly_is_ejected_and_its_health_checked() -> None:
    one = make_placer(endpoint(1), endpoint(2))
    first = started_attempts(one.handle(1.0, [placement_request(1)]))[0].machine
    assert len(started_attempts(one.handle(1.0, [placement_request(20)]))) == 1
    actions = one.handle(1.5, [attempt_ended(n, first, api.Outcome.TIMED_OUT) for n in (1, 20)])
    assert api.CheckHealth(first) in actions
    others = one.handle(1.6, [placement_request(n, service=n) for n in range(2, 6)])
    assert first not in {offer.machine for offer in started_attempts(others)}
    one.handle(1.7, [api.HealthCheckResult(first, api.Outcome.OK, 0.1, None)])
    assert first in {
        o.machine
        for o in started_attempts(one.handle(1.8, [placement_request(n, service=n) for n in range(8, 14)]))
    }


def test_one_timeout_makes_a_machine_expensive_but_does_not_eject_it() -> None:
    """Guards against ejecting machine after machine while the whole fleet is slow."""
    one = make_placer(endpoint(1))
    one.handle(1.0, [placement_request(1)])
    assert answers(one.handle(1.5, [attempt_ended(1, 1, api.Outcome.TIMED_OUT)]))
    assert started_attempts(one.handle(1.6, [placement_request(2)]))


def test_attempt_timeouts_follow_the_latency_of_answers() -> None:
    """Guards against retries of attempts that time out only because all answers are slow."""
    one = make_placer(endpoint(1, kind="large"))
    assert started_attempts(one.handle(1.0, [placement_request(1)]))[0].timeout_s == 0.5
    for n in range(1, 30):
        one.handle(1.0 + n, [api.AttemptAccepted(n, 1, 0, 0.4), placement_request(n + 1)])
    assert (started_attempts(one.handle(40.0, [placement_request(99)]))[0].timeout_s or 0.0) > 1.0


def test_delayed_starts_make_a_machine_expensive() -> None:
    """Guards against a machine that accepts tasks at once but starts them late."""
    one = make_placer(*(endpoint(m, kind="large") for m in range(1, 11)))
    for n in range(200):
        clock = 1.0 + n
        for offer in started_attempts(
            one.handle(clock, [placement_request(n, cores=0.01, memory=0.01, service=n)])
        ):
            wait = 0.9 if offer.machine == 1 else 0.01
            one.handle(clock, [api.AttemptAccepted(n, offer.machine, 0, 0.0)])
            one.handle(clock + wait, [api.TaskUpdate(n, offer.machine, 0, api.TaskUpdateKind.STARTED, 1.0)])
            one.handle(clock + wait, [attempt_ended(n, offer.machine, api.Outcome.OK, last=True)])
    delayed = [
        o.machine
        for o in started_attempts(
            one.handle(300.0, [placement_request(n, service=n) for n in range(300, 340)])
        )
    ]
    assert delayed.count(1) < len(delayed) / 20


def test_reported_usage_sends_tasks_elsewhere_but_rejects_nothing_that_a_machine_admits() -> None:
    """Guards against rejecting by usage what a machine would admit."""
    placer_settings = settings(overcommit_memory=2.0, overcommit_cores=4.0)
    for machines in ((endpoint(1),), (endpoint(1), endpoint(2))):
        one = make_placer(*machines, placer_settings=placer_settings)
        one.handle(1.0, [api.TaskAdopted(placement_request(n, memory=4.0), 1) for n in range(4)])
        one.handle(1.1, [api.TaskUpdate(n, 1, 0, api.TaskUpdateKind.MEMORY_USED, 3.9) for n in range(4)])
        sent = [
            offer.machine for offer in started_attempts(one.handle(1.2, [placement_request(9, memory=4.0)]))
        ]
        assert sent == [machines[-1].machine]


def test_the_emptiest_machine_is_reserved_for_large_tasks() -> None:
    """Guards against small tasks of lower weight filling every machine that a large task needs."""
    batch = replace(SAFE, name="batch", machine_kind=1, priority_weight=5.0)
    one = make_placer(
        endpoint(1, kind="large"), endpoint(2, kind="large"), placer_settings=settings(SAFE, batch)
    )
    one.handle(1.0, [api.TaskAdopted(placement_request(500, task_class="batch", cores=20.0, memory=20.0), 1)])
    one.handle(2.0, [placement_request(n, service=n) for n in range(60)])
    assert started_attempts(
        one.handle(3.0, [placement_request(600, task_class="batch", cores=20.0, memory=20.0)])
    )


def test_demand_in_a_peer_s_digest_counts() -> None:
    unreported = settings(placers=2, may_gossip=True, reports_in_answers=False, reports_in_probes=False)
    sender = make_placer(endpoint(1), endpoint(2), placer_settings=unreported)
    sent = sender.handle(1.0, [api.TaskAdopted(placement_request(n, cores=2.0), 1) for n in range(4)])
    receiver = Placer(replace(unreported, me=1), 2)
    receiver.handle(0.0, [endpoint_update(endpoint(1), endpoint(2))])
    receiver.handle(1.1, [api.GossipMessage(0, digest(sent))])
    assert [offer.machine for offer in started_attempts(receiver.handle(1.2, [placement_request(9)]))] == [2]
    started = started_attempts(
        receiver.handle(
            1.3, [api.GossipMessage(0, b"\x01"), *(placement_request(n, service=n) for n in range(10, 18))]
        )
    )
    assert {offer.machine for offer in started} == {1, 2}


def digest(actions: list[api.Action]) -> bytes:
    """Return the message that was sent to a peer."""
    return next(action.data for action in actions if isinstance(action, api.SendGossip))


def test_usage_that_no_machine_reported_rejects_nothing() -> None:
    """Guards against rejecting by outdated digests of peers."""
    unreported = settings(placers=2, may_gossip=True, reports_in_answers=False, reports_in_probes=False)
    sent = make_placer(endpoint(1), placer_settings=unreported).handle(
        1.0, [api.TaskAdopted(placement_request(n, cores=2.0), 1) for n in range(4)]
    )
    receiver = Placer(replace(unreported, me=1), 2)
    receiver.handle(0.0, [endpoint_update(endpoint(1))])
    receiver.handle(1.1, [api.GossipMessage(0, digest(sent))])
    assert started_attempts(receiver.handle(1.2, [placement_request(9)]))
    full = attempt_ended(9, 1, api.Outcome.REFUSED, reason=api.Reason.NO_CORES)
    assert answers(receiver.handle(1.3, [full])) == [api.Reject(9)]
    assert answers(receiver.handle(1.4, [placement_request(10)])) == [api.Reject(10)]


def test_an_endpoint_list_on_request_is_watched_and_watched_again_after_a_failure() -> None:
    one = Placer(settings(list_on_request=True), 1)
    assert api.WatchEndpoints(True) in one.handle(0.0, [endpoint_update(endpoint(1))])
    assert api.WatchEndpoints(True) not in one.handle(1.0, [api.EndpointWatchFailed()])
    assert api.WatchEndpoints(True) in one.handle(4.0, [api.TimerFired(1 << 40)])


def test_events_for_ended_requests_are_ignored() -> None:
    one = make_placer(endpoint(1))
    delayed: list[api.Event] = [
        attempt_ended(5, 1, api.Outcome.OK),
        api.TimerFired(5),
        api.RequestCancelled(5),
        api.AttemptAccepted(5, 1, 0, 0.1),
        api.TaskUpdate(5, 1, 0, api.TaskUpdateKind.STARTED, 1.0),
        api.HealthCheckResult(77, api.Outcome.OK, 0.1, None),
        api.GossipMessage(3, b"odd"),
    ]
    assert not started_attempts(one.handle(1.0, delayed))
    assert not answers(one.handle(1.1, delayed))


def test_a_restarted_machine_does_not_hide_what_peers_place_there() -> None:
    """Guards against a restarted machine that looks empty forever, as nothing is reported."""
    unreported = settings(placers=2, may_gossip=True, reports_in_answers=False, reports_in_probes=False)
    receiver = Placer(unreported, 2)
    receiver.handle(0.0, [endpoint_update(endpoint(1), endpoint(2))])
    receiver.handle(1.0, [endpoint_update(endpoint(1, started_at=0.9), complete=False)])
    sender = make_placer(endpoint(1), placer_settings=replace(unreported, me=1))
    sent = sender.handle(2.0, [api.TaskAdopted(placement_request(n, cores=2.0), 1) for n in range(4)])
    receiver.handle(2.1, [api.GossipMessage(1, digest(sent))])
    assert [offer.machine for offer in started_attempts(receiver.handle(2.2, [placement_request(9)]))] == [2]


def test_own_tasks_are_not_scaled_up_once_all_peers_have_sent_digests() -> None:
    """Guards against counting tasks of peers that reported none."""
    unreported = settings(placers=8, may_gossip=True, reports_in_answers=False, reports_in_probes=False)
    one = make_placer(endpoint(1), placer_settings=unreported)
    one.handle(
        1.0,
        [
            api.TaskAdopted(placement_request(1, cores=2.0), 1),
            *(api.GossipMessage(n, b"\x01") for n in range(1, 8)),
        ],
    )
    assert started_attempts(one.handle(1.1, [placement_request(2)]))


def test_load_is_spread_where_overcommitted_machines_do_not_report_usage() -> None:
    """Guards against a pool on machines whose overload would go unnoticed."""
    for reports, spread in ((True, False), (False, True)):
        placer_settings = settings(fleet=0.2, overcommit_cores=2.0, reports_usage=reports)
        one = make_placer(*(endpoint(n, kind="large") for n in range(1, 9)), placer_settings=placer_settings)
        attempts = started_attempts(
            one.handle(1.0, [placement_request(n, service=n, cores=0.5) for n in range(40)])
        )
        assert (len({offer.machine for offer in attempts}) > 4) is spread


def test_a_tenant_over_quota_takes_no_scarce_capacity() -> None:
    tenants = (api.Tenant("one", quota_cores=4.0), api.Tenant("two", quota_cores=40.0))
    one = make_placer(endpoint(1), placer_settings=settings(tenants=tenants, overcommit_cores=2.0))
    one.handle(1.0, [api.TaskAdopted(placement_request(n, cores=2.0, tenant="one"), 1) for n in range(4)])
    one.handle(1.1, [api.TaskUpdate(n, 1, 0, api.TaskUpdateKind.CORES_USED, 2.0) for n in range(4)])
    actions = one.handle(1.2, [placement_request(8, tenant="one"), placement_request(9, tenant="two")])
    assert answers(actions) == [api.Reject(8)]
    assert [offer.request_id for offer in started_attempts(actions)] == [9]


def test_delays_by_the_placer_s_own_stall_eject_no_machine() -> None:
    """Guards against ejecting machines for timeouts that the placer's own stall caused."""
    for stall, ejected in ((0.1, True), (1.5, False)):
        one = make_placer(endpoint(1))
        tick = next(
            a.at
            for a in one.handle(1.0, [placement_request(1), placement_request(2)])
            if isinstance(a, api.SetTimer) and a.token > 9
        )
        delayed = [attempt_ended(n, 1, api.Outcome.TIMED_OUT) for n in (1, 2)]
        one.handle(tick + stall, delayed)
        assert bool(answers(one.handle(tick + stall + 0.1, [placement_request(3)]))) is ejected


def test_a_refusal_of_one_class_does_not_count_for_another() -> None:
    """Guards against avoiding machines that refuse one class but have capacity for others."""
    other = replace(SAFE, name="other")
    one = make_placer(endpoint(1), placer_settings=settings(SAFE, other))
    one.handle(1.0, [placement_request(1)])
    full = attempt_ended(1, 1, api.Outcome.REFUSED, reason=api.Reason.NO_CORES)
    assert answers(one.handle(1.1, [full])) == [api.Reject(1)]
    actions = one.handle(1.2, [placement_request(2), placement_request(3, task_class="other")])
    assert answers(actions) == [api.Reject(2)]
    assert [offer.request_id for offer in started_attempts(actions)] == [3]


def test_many_placers_agree_on_few_machines_for_a_service() -> None:
    """Guards against starts without a cached program, as a service is spread over a large fleet."""
    machines_used = set()
    for seed in range(30):
        one = make_placer(
            *(endpoint(n, kind="large") for n in range(60)), placer_settings=settings(me=seed, placers=200)
        )
        one.handle(1.0, [api.TaskAdopted(placement_request(900 + seed, service=900 + seed), seed)])
        for n in range(60):  # the placers' reports differ
            free = 10.0 + 7.0 * n * (seed + 1) % 20.0
            one.handle(1.1, [api.HealthCheckResult(n, api.Outcome.OK, 0.1, api.LoadReport(free, 2.0 * free))])
        machines_used |= {
            offer.machine for offer in started_attempts(one.handle(2.0, [placement_request(1, service=7)]))
        }
    assert len(machines_used) <= 3


def test_capacity_outweighs_affinity_for_a_large_task() -> None:
    """Guards against large tasks that overload the preferred machines of their service."""
    one = make_placer(*(endpoint(n, kind="large") for n in range(60)), placer_settings=settings(placers=200))
    one.handle(1.0, [api.TaskAdopted(placement_request(n, service=n), n) for n in range(100, 160)])
    request = one.track(placement_request(1, service=7, cores=16.0, memory=16.0))
    small = one.track(placement_request(2, service=7))
    one.update_averages()
    spread = [
        max(one.pricing.program_exponent(r, m) for m in one.endpoints.index.up) for r in (request, small)
    ]
    assert spread[0] <= 2.0 < spread[1]


def machines_that_fail(one: Placer, now: float, request: int, count: int) -> list[int]:
    """Request a task whose first ``count`` attempts end with an error; return the machines that it was sent to."""
    actions = one.handle(now, [placement_request(request)])
    machines: list[int] = []
    for attempt in range(count):
        machines += [offer.machine for offer in started_attempts(actions)]
        actions = one.handle(now, [attempt_ended(request, machines[-1], api.Outcome.ERROR, attempt)])
    return machines + [offer.machine for offer in started_attempts(actions)]


def test_a_task_that_fails_on_all_machines_counts_as_no_machine_s_failure() -> None:
    """Guards against a faulty client that gets machines ejected which serve other clients."""
    one = make_placer(endpoint(1), endpoint(2))
    for request in range(9):
        assert sorted(machines_that_fail(one, 1.0, request, 2)) == [1, 2]
    assert not any(m.consecutive_failures for m in one.machines.values())


def test_a_machine_that_alone_answers_with_errors_is_in_back_off_even_if_a_health_check_passes() -> None:
    one = make_placer(endpoint(1), endpoint(2))
    for request in (1, 2):
        one.machines[2].consecutive_failures = 9  # ranks it behind the faulty one
        assert machines_that_fail(one, 1.1, request, 1) == [1, 2]
        one.handle(1.1, [api.AttemptAccepted(request, 2, 1, 0.1)])
    one.handle(1.2, [api.HealthCheckResult(1, api.Outcome.OK, 0.1, None)])
    one.machines[2].consecutive_failures = 9
    assert machines_that_fail(one, 1.3, 3, 0) == [2]
    one.machines[2].consecutive_failures = 9
    assert machines_that_fail(one, 2.2, 4, 0) == [1]


def test_attempts_lost_at_the_same_time_are_one_failure() -> None:
    """Guards against ejecting a machine for one lost connection with several attempts on it."""
    one = make_placer(endpoint(1))
    one.handle(1.0, [placement_request(request) for request in range(5)])
    one.handle(1.1, [attempt_ended(request, 1, api.Outcome.BROKEN) for request in range(4)])
    assert one.machines[1].consecutive_failures == 1
    assert one.machines[1].ejected_until == 0.0
    one.handle(1.2, [attempt_ended(4, 1, api.Outcome.BROKEN)])
    assert one.machines[1].ejected_until > 1.2


def test_nothing_is_reserved_for_a_task_larger_than_any_machine() -> None:
    """Guards against one impossible request that reserves the emptiest machine for a minute."""
    one = make_placer(endpoint(1), placer_settings=settings(placers=2))
    assert answers(one.handle(1.0, [placement_request(1, cores=1e6, memory=1e6)])) == [api.Reject(1)]
    assert not one.reservations.largest_demands


def test_removed_machines_and_ended_services_are_discarded() -> None:
    one = make_placer(endpoint(1))
    for number in range(2, 40):
        removed = endpoint(number, health=api.Health.REMOVED)
        one.handle(
            float(number),
            [endpoint_update(endpoint(number), complete=False), placement_request(number, service=number)],
        )
        attempt = next(a for a in one.requests[number].attempts)
        one.handle(float(number), [api.AttemptAccepted(number, attempt.machine.id, 0, 0.1)])
        one.handle(float(number), [attempt_ended(number, attempt.machine.id, api.Outcome.OK, last=True)])
        one.handle(number + 0.5, [endpoint_update(removed, complete=False)])
    one.handle(60.0, [])
    assert list(one.machines) == [1]
    assert not one.machines[1].last_ended_by_service
    assert not one.requests
