"""The mechanism and what is done where it breaks."""

from __future__ import annotations

from dataclasses import replace

from tests.conftest import SAFE, answers, ask, ended, entry, listing, offers, placer, settings
from thornshelf.placement import interface as api
from thornshelf.placement.placer import Placer
from thornshelf.placement.pricing import is_under_threshold, unit_costs


def test_an_empty_list_refuses_at_once() -> None:
    assert answers(placer().handle(1.0, [ask(1)])) == [api.Reject(1)]


def test_a_task_larger_than_any_machine_is_refused_at_once() -> None:
    assert answers(placer(entry(1)).handle(1.0, [ask(1, cores=9.0)])) == [api.Reject(1)]


def test_a_request_with_no_time_left_is_refused() -> None:
    assert answers(placer(entry(1)).handle(1.0, [ask(1, budget_s=0.0)])) == [api.Reject(1)]


def test_the_gate_refuses_what_is_dear_on_the_pooled_fleet() -> None:
    costs = unit_costs((8.0, 8.0), (10.0, 10.0), (2.0, 2.0))
    assert [round(cost, 3) for cost in costs] == [0.969, 0.969]
    assert not is_under_threshold(costs)
    assert is_under_threshold(unit_costs((0.0, 0.0), (10.0, 10.0), (2.0, 2.0)))


def test_a_task_failing_the_gate_on_an_empty_machine_goes_by_fit() -> None:
    one = placer(entry(1))
    assert offers(one.handle(1.0, [ask(1, cores=6.0, memory=6.0)]))


def test_asked_together_the_cheapest_goes_first_and_the_shorter_life_on_ties() -> None:
    one = placer(entry(1, kind="large"))
    batch = [ask(1, cores=4.0), ask(2, lifetime_hint_s=9.0), ask(3, lifetime_hint_s=2.0)]
    assert [offer.request_id for offer in offers(one.handle(1.0, batch))] == [3, 2, 1]


def test_the_kind_a_class_needs_is_kept() -> None:
    needy = replace(SAFE, machine_kind=1)
    one = placer(entry(1), entry(2, kind="large"), entry(3, kind="unheard"), using=settings(needy))
    assert {offer.machine for offer in offers(one.handle(1.0, [ask(n) for n in range(9)]))} == {2}


def test_the_least_cost_machine_takes_a_task_of_a_new_service() -> None:
    one = placer(entry(1), entry(2))
    full = api.LoadReport(free_cores=1.0, free_memory=2.0)
    empty = api.LoadReport(free_cores=8.0, free_memory=16.0)
    answered = [
        api.HealthCheckResult(1, api.Outcome.OK, 0.1, full),
        api.HealthCheckResult(2, api.Outcome.OK, 0.1, empty),
    ]
    one.handle(1.0, answered)
    assert [offer.machine for offer in offers(one.handle(1.1, [ask(1)]))] == [2]


def test_a_service_stays_where_its_program_is() -> None:
    one = placer(*(entry(n) for n in range(1, 9)))
    first = offers(one.handle(1.0, [ask(1)]))[0].machine
    assert offers(one.handle(1.1, [ask(2)]))[0].machine == first


def test_a_refused_offer_goes_elsewhere_then_is_refused() -> None:
    one = placer(entry(1), entry(2))
    first = offers(one.handle(1.0, [ask(1)]))[0].machine
    second = offers(one.handle(1.1, [ended(1, first, api.Outcome.REFUSED)]))[0].machine
    assert second != first
    last = one.handle(1.2, [ended(1, second, api.Outcome.REFUSED, attempt=1)])
    assert answers(last) == [api.Reject(1)] and not offers(last)


def test_a_machine_that_times_out_again_and_again_is_left_alone_and_probed() -> None:
    one = placer(entry(1), entry(2))
    first = offers(one.handle(1.0, [ask(1)]))[0].machine
    assert len(offers(one.handle(1.0, [ask(20)]))) == 1
    actions = one.handle(1.5, [ended(n, first, api.Outcome.TIMED_OUT) for n in (1, 20)])
    assert api.CheckHealth(first) in actions
    others = one.handle(1.6, [ask(n, service=n) for n in range(2, 6)])
    assert first not in {offer.machine for offer in offers(others)}
    one.handle(1.7, [api.HealthCheckResult(first, api.Outcome.OK, 0.1, None)])
    assert first in {o.machine for o in offers(one.handle(1.8, [ask(n, service=n) for n in range(8, 14)]))}


def test_one_time_out_makes_a_machine_dear_but_not_shut() -> None:
    """Guards against shutting out machine after machine where the whole fleet is slow (i6baab8, ic43f5f)."""
    one = placer(entry(1))
    one.handle(1.0, [ask(1)])
    assert answers(one.handle(1.5, [ended(1, 1, api.Outcome.TIMED_OUT)]))
    assert offers(one.handle(1.6, [ask(2)]))


def test_patience_follows_how_long_answers_take() -> None:
    """Guards against offers that time out only because all answers are slow, and then come again."""
    one = placer(entry(1, kind="large"))
    assert offers(one.handle(1.0, [ask(1)]))[0].timeout_s == 0.5
    for n in range(1, 30):
        one.handle(1.0 + n, [api.AttemptAccepted(n, 1, 0, 0.4), ask(n + 1)])
    assert (offers(one.handle(40.0, [ask(99)]))[0].timeout_s or 0.0) > 1.0


def test_late_starts_make_a_machine_dear() -> None:
    """Guards against a machine that accepts at once but starts late."""
    one = placer(*(entry(m, kind="large") for m in range(1, 11)))
    for n in range(200):
        clock = 1.0 + n
        for offer in offers(one.handle(clock, [ask(n, cores=0.01, memory=0.01, service=n)])):
            wait = 0.9 if offer.machine == 1 else 0.01
            one.handle(clock, [api.AttemptAccepted(n, offer.machine, 0, 0.0)])
            one.handle(clock + wait, [api.TaskUpdate(n, offer.machine, 0, api.TaskUpdateKind.STARTED, 1.0)])
            one.handle(clock + wait, [ended(n, offer.machine, api.Outcome.OK, last=True)])
    late = [o.machine for o in offers(one.handle(300.0, [ask(n, service=n) for n in range(300, 340)]))]
    assert late.count(1) < len(late) / 20


def test_use_that_is_told_sends_tasks_elsewhere_and_then_goes_by_what_is_admitted() -> None:
    """Guards against refusing what a machine would take, where use leaves no room (i1d9071)."""
    using = settings(overcommit_memory=2.0, overcommit_cores=4.0)
    for machines in ((entry(1),), (entry(1), entry(2))):
        one = placer(*machines, using=using)
        one.handle(1.0, [api.TaskAdopted(ask(n, memory=4.0), 1) for n in range(4)])
        one.handle(1.1, [api.TaskUpdate(n, 1, 0, api.TaskUpdateKind.MEMORY_USED, 3.9) for n in range(4)])
        sent = [offer.machine for offer in offers(one.handle(1.2, [ask(9, memory=4.0)]))]
        assert sent == [machines[-1].machine]


def test_the_roomiest_machine_is_kept_for_large_tasks() -> None:
    """Guards against small tasks of less worth filling every machine that a large task needs (i6baab8)."""
    batch = replace(SAFE, name="batch", machine_kind=1, priority_weight=5.0)
    one = placer(entry(1, kind="large"), entry(2, kind="large"), using=settings(SAFE, batch))
    one.handle(1.0, [api.TaskAdopted(ask(500, task_class="batch", cores=20.0, memory=20.0), 1)])
    one.handle(2.0, [ask(n, service=n) for n in range(60)])
    assert offers(one.handle(3.0, [ask(600, task_class="batch", cores=20.0, memory=20.0)]))


def test_a_peer_s_digest_counts() -> None:
    quiet = settings(placers=2, may_gossip=True, reports_in_answers=False, reports_in_probes=False)
    teller = placer(entry(1), entry(2), using=quiet)
    told = teller.handle(1.0, [api.TaskAdopted(ask(n, cores=2.0), 1) for n in range(4)])
    hearer = Placer(replace(quiet, me=1), 2)
    hearer.handle(0.0, [listing(entry(1), entry(2))])
    hearer.handle(1.1, [api.GossipMessage(0, digest(told))])
    assert [offer.machine for offer in offers(hearer.handle(1.2, [ask(9)]))] == [2]
    sent = offers(
        hearer.handle(1.3, [api.GossipMessage(0, b"\x01"), *(ask(n, service=n) for n in range(10, 18))])
    )
    assert {offer.machine for offer in sent} == {1, 2}


def digest(actions: list[api.Action]) -> bytes:
    """What was told to a peer."""
    return next(action.data for action in actions if isinstance(action, api.SendGossip))


def test_what_no_machine_told_refuses_nothing() -> None:
    """Guards against refusing on peers' old word (chikugo-east big-1: a zone lost, 19% refused)."""
    quiet = settings(placers=2, may_gossip=True, reports_in_answers=False, reports_in_probes=False)
    told = placer(entry(1), using=quiet).handle(
        1.0, [api.TaskAdopted(ask(n, cores=2.0), 1) for n in range(4)]
    )
    hearer = Placer(replace(quiet, me=1), 2)
    hearer.handle(0.0, [listing(entry(1))])
    hearer.handle(1.1, [api.GossipMessage(0, digest(told))])
    assert offers(hearer.handle(1.2, [ask(9)]))
    full = ended(9, 1, api.Outcome.REFUSED, reason=api.Reason.NO_CORES)
    assert answers(hearer.handle(1.3, [full])) == [api.Reject(9)]
    assert answers(hearer.handle(1.4, [ask(10)])) == [api.Reject(10)]


def test_a_list_on_request_is_watched_and_asked_again_after_a_failure() -> None:
    one = Placer(settings(list_on_request=True), 1)
    assert api.WatchEndpoints(True) in one.handle(0.0, [listing(entry(1))])
    assert api.WatchEndpoints(True) not in one.handle(1.0, [api.EndpointWatchFailed()])
    assert api.WatchEndpoints(True) in one.handle(4.0, [api.TimerFired(1 << 40)])


def test_late_events_for_ended_requests_are_ignored() -> None:
    one = placer(entry(1))
    late: list[api.Event] = [
        ended(5, 1, api.Outcome.OK),
        api.TimerFired(5),
        api.RequestCancelled(5),
        api.AttemptAccepted(5, 1, 0, 0.1),
        api.TaskUpdate(5, 1, 0, api.TaskUpdateKind.STARTED, 1.0),
        api.HealthCheckResult(77, api.Outcome.OK, 0.1, None),
        api.GossipMessage(3, b"odd"),
    ]
    assert not offers(one.handle(1.0, late)) and not answers(one.handle(1.1, late))


def test_a_machine_back_cold_does_not_hide_what_peers_place_there() -> None:
    """Guards against a restarted machine that looked empty for good where nothing is reported."""
    quiet = settings(placers=2, may_gossip=True, reports_in_answers=False, reports_in_probes=False)
    hearer = Placer(quiet, 2)
    hearer.handle(0.0, [listing(entry(1), entry(2))])
    hearer.handle(1.0, [listing(entry(1, started_at=0.9), complete=False)])
    teller = placer(entry(1), using=replace(quiet, me=1))
    told = teller.handle(2.0, [api.TaskAdopted(ask(n, cores=2.0), 1) for n in range(4)])
    hearer.handle(2.1, [api.GossipMessage(1, digest(told))])
    assert [offer.machine for offer in offers(hearer.handle(2.2, [ask(9)]))] == [2]


def test_own_binds_are_not_scaled_once_peers_are_heard() -> None:
    """Guards against full-looking machines that peers simply do not use."""
    quiet = settings(placers=8, may_gossip=True, reports_in_answers=False, reports_in_probes=False)
    one = placer(entry(1), using=quiet)
    one.handle(
        1.0, [api.TaskAdopted(ask(1, cores=2.0), 1), *(api.GossipMessage(n, b"\x01") for n in range(1, 8))]
    )
    assert offers(one.handle(1.1, [ask(2)]))


def test_load_is_spread_where_overcommitted_machines_do_not_tell_their_use() -> None:
    """Guards against crowding that nobody would notice (chikugo-east big-2): no pool there."""
    for tells, spread in ((True, False), (False, True)):
        using = settings(fleet=0.2, overcommit_cores=2.0, reports_usage=tells)
        one = placer(*(entry(n, kind="large") for n in range(1, 9)), using=using)
        sent = offers(one.handle(1.0, [ask(n, service=n, cores=0.5) for n in range(40)]))
        assert (len({offer.machine for offer in sent}) > 4) is spread


def test_a_tenant_beyond_its_share_takes_no_room_that_is_short() -> None:
    tenants = (api.Tenant("one", quota_cores=4.0), api.Tenant("two", quota_cores=40.0))
    one = placer(entry(1), using=settings(tenants=tenants, overcommit_cores=2.0))
    one.handle(1.0, [api.TaskAdopted(ask(n, cores=2.0, tenant="one"), 1) for n in range(4)])
    one.handle(1.1, [api.TaskUpdate(n, 1, 0, api.TaskUpdateKind.CORES_USED, 2.0) for n in range(4)])
    actions = one.handle(1.2, [ask(8, tenant="one"), ask(9, tenant="two")])
    assert answers(actions) == [api.Reject(8)] and [offer.request_id for offer in offers(actions)] == [9]


def test_what_comes_late_by_an_own_stall_blames_no_machine() -> None:
    """Guards against shutting machines out for time-outs that the placer's own stall brought about."""
    for stall, shut in ((0.1, True), (1.5, False)):
        one = placer(entry(1))
        tick = next(
            a.at for a in one.handle(1.0, [ask(1), ask(2)]) if isinstance(a, api.SetTimer) and a.token > 9
        )
        late = [ended(n, 1, api.Outcome.TIMED_OUT) for n in (1, 2)]
        one.handle(tick + stall, late)
        assert bool(answers(one.handle(tick + stall + 0.1, [ask(3)]))) is shut


def test_full_for_one_class_is_not_full_for_another() -> None:
    """Guards against machines that turn one class away though they have room (throttles)."""
    other = replace(SAFE, name="other")
    one = placer(entry(1), using=settings(SAFE, other))
    one.handle(1.0, [ask(1)])
    full = ended(1, 1, api.Outcome.REFUSED, reason=api.Reason.NO_CORES)
    assert answers(one.handle(1.1, [full])) == [api.Reject(1)]
    actions = one.handle(1.2, [ask(2), ask(3, task_class="other")])
    assert answers(actions) == [api.Reject(2)] and [offer.request_id for offer in offers(actions)] == [3]


def test_many_placers_agree_on_few_homes_of_a_service() -> None:
    """Guards against starts without the program: in a large fleet a service had as many homes as machines."""
    found = set()
    for seed in range(30):
        one = placer(*(entry(n, kind="large") for n in range(60)), using=settings(me=seed, placers=200))
        one.handle(1.0, [api.TaskAdopted(ask(900 + seed, service=900 + seed), seed)])
        for n in range(60):  # each placer has seen the machines at other moments
            free = 10.0 + 7.0 * n * (seed + 1) % 20.0
            one.handle(1.1, [api.HealthCheckResult(n, api.Outcome.OK, 0.1, api.LoadReport(free, 2.0 * free))])
        found |= {offer.machine for offer in offers(one.handle(2.0, [ask(1, service=7)]))}
    assert len(found) <= 3


def test_a_large_task_goes_by_room_before_homes() -> None:
    """Guards against large tasks crowding the homes of their service (chikugo-later big-2)."""
    one = placer(*(entry(n, kind="large") for n in range(60)), using=settings(placers=200))
    one.handle(1.0, [api.TaskAdopted(ask(n, service=n), n) for n in range(100, 160)])
    request = one.track(ask(1, service=7, cores=16.0, memory=16.0))
    small = one.track(ask(2, service=7))
    one.update_averages()
    spread = [max(one.pricing.program_powers(r, m) for m in one.endpoints.index.up) for r in (request, small)]
    assert spread[0] <= 2.0 < spread[1]


def errors(one: Placer, now: float, request: int, count: int) -> list[int]:
    """Ask for a task that so many machines answer with an error; gives those that it was offered to."""
    said, machines = one.handle(now, [ask(request)]), list[int]()
    for attempt in range(count):
        machines += [offer.machine for offer in offers(said)]
        said = one.handle(now, [ended(request, machines[-1], api.Outcome.ERROR, attempt)])
    return machines + [offer.machine for offer in offers(said)]


def test_a_task_that_all_machines_answer_with_an_error_blames_none() -> None:
    """Bad clients send what no machine can use: that must not shut out machines that serve the others."""
    one = placer(entry(1), entry(2))
    for request in range(9):
        assert sorted(errors(one, 1.0, request, 2)) == [1, 2]
    assert not any(m.consecutive_failures for m in one.machines.values())


def test_a_machine_whose_errors_others_do_not_share_is_left_alone_whatever_a_probe_says() -> None:
    one = placer(entry(1), entry(2))
    for request in (1, 2):
        one.machines[2].consecutive_failures = 9  # dearer than the bad one
        assert errors(one, 1.1, request, 1) == [1, 2]
        one.handle(1.1, [api.AttemptAccepted(request, 2, 1, 0.1)])
    one.handle(1.2, [api.HealthCheckResult(1, api.Outcome.OK, 0.1, None)])
    one.machines[2].consecutive_failures = 9
    assert errors(one, 1.3, 3, 0) == [2]
    one.machines[2].consecutive_failures = 9
    assert errors(one, 2.2, 4, 0) == [1]


def test_what_breaks_in_one_moment_is_one_sign() -> None:
    """A spoilt answer costs a connection and all that was on it: that shuts out no machine."""
    one = placer(entry(1))
    one.handle(1.0, [ask(request) for request in range(5)])
    one.handle(1.1, [ended(request, 1, api.Outcome.BROKEN) for request in range(4)])
    assert one.machines[1].consecutive_failures == 1 and one.machines[1].ejected_until == 0.0
    one.handle(1.2, [ended(4, 1, api.Outcome.BROKEN)])
    assert one.machines[1].ejected_until > 1.2


def test_room_is_not_kept_for_what_no_machine_could_hold() -> None:
    """Guards against one absurd ask that keeps the roomiest machine from all others for a minute."""
    one = placer(entry(1), using=settings(placers=2))
    assert answers(one.handle(1.0, [ask(1, cores=1e6, memory=1e6)])) == [api.Reject(1)]
    assert not one.reservations.largest_demands


def test_nothing_is_kept_of_machines_that_are_gone_and_services_that_ended() -> None:
    one = placer(entry(1))
    for number in range(2, 40):
        gone = entry(number, health=api.Health.REMOVED)
        one.handle(float(number), [listing(entry(number), complete=False), ask(number, service=number)])
        held = next(a for a in one.requests[number].attempts)
        one.handle(float(number), [api.AttemptAccepted(number, held.machine.id, 0, 0.1)])
        one.handle(float(number), [ended(number, held.machine.id, api.Outcome.OK, last=True)])
        one.handle(number + 0.5, [listing(gone, complete=False)])
    one.handle(60.0, [])
    assert list(one.machines) == [1] and not one.machines[1].last_ended_by_service and not one.requests
