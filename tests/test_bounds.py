"""What grows with the number of dispatchers and nodes stays under figures, counted with 1,024 of both."""

from __future__ import annotations

import errno
import random
from collections import Counter
from collections.abc import Generator, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

import pytest

from tests.conftest import SAFE, ask, ended, entry, listing, offers, settings
from tests.test_fleet import FLEET, LEDGER, Counting, Plain, day
from tests.test_turns import a_loop, entries
from thornshelf.core import Dispatcher, EndpointListUpdate
from thornshelf.loop import Wait
from thornshelf.nodes import reconnect
from thornshelf.nodes.binary import BinaryNodeConnection
from thornshelf.placement import health_check_schedule, machine_index
from thornshelf.placement import interface as api
from thornshelf.placement.hashing import unit_hash
from thornshelf.placement.placer import HOMES_PER_POWER, Machine, PendingRequest, Placer
from thornshelf.syslog import MAX_LINES_PER_SECOND, Syslog

MANY = 1024
TURN_NS = 50_000_000


def starts(
    monkeypatch: pytest.MonkeyPatch, dispatchers: Sequence[int], nodes: int, placers: int, seconds: int
) -> list[int]:
    """Real dispatchers with real nodes that can't be reached, on one clock: when each connect was tried, in us."""
    loop, clock = a_loop()
    began, tried = loop.now, list[int]()

    def connect(*_: Any) -> Generator[Wait, int, int]:
        tried.append(loop.now - began)
        yield Wait(until=loop.now)
        return errno.ECONNREFUSED

    monkeypatch.setattr(reconnect, "connect", connect)
    for me in dispatchers:
        terms = replace(settings(SAFE, placers=placers), me=me)
        core = Dispatcher(
            loop,
            terms,
            1,
            lambda machine, entry, core: BinaryNodeConnection(loop, machine, entry, core),
            lambda *_: None,
        )
        core.update_endpoints(EndpointListUpdate(True, 1, entries(nodes=range(nodes))))
    for _ in range(seconds * 1_000_000_000 // TURN_NS):
        loop.turn(True)
        clock.ns += TURN_NS
    loop.close()
    return tried


def busiest(times: Sequence[int]) -> int:
    """The most of them in any one second."""
    each = Counter(at // 50_000 for at in times)
    return max(sum(each[k + part] for part in range(20)) for k in range(max(each) + 1))


def test_a_node_is_not_called_by_all_dispatchers_in_the_moment_in_which_they_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 1,024 connects at once at each node when a fleet of dispatchers comes back."""
    tried = starts(monkeypatch, range(MANY), 1, MANY, 20)
    assert len(tried) == MANY
    assert busiest(tried) <= health_check_schedule.CONNECTS_PER_S * 1.1


def test_a_dispatcher_does_not_call_all_nodes_in_the_moment_in_which_it_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tried = starts(monkeypatch, [77], MANY, MANY, 20)
    assert len(tried) == MANY
    assert busiest(tried) <= health_check_schedule.CONNECTS_PER_S * 1.1


def test_few_dispatchers_call_their_nodes_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing is held back where nothing is too much: news of what stands goes to open connections."""
    tried = starts(monkeypatch, range(16), 20, 16, 1)
    assert len(tried) == 320 and max(tried) <= 100_000


def test_an_offer_does_not_wait_for_the_greeting(monkeypatch: pytest.MonkeyPatch) -> None:
    loop, _ = a_loop()
    tried: list[int] = []

    def connect(*_: Any) -> Generator[Wait, int, int]:
        tried.append(loop.now)
        yield Wait(until=loop.now)
        return errno.ECONNREFUSED

    monkeypatch.setattr(reconnect, "connect", connect)
    terms = replace(settings(SAFE, placers=MANY), me=500)
    core = Dispatcher(
        loop,
        terms,
        1,
        lambda machine, entry, core: BinaryNodeConnection(loop, machine, entry, core),
        lambda *_: None,
    )
    core.update_endpoints(EndpointListUpdate(True, 1, entries(nodes=range(1))))
    loop.turn(True)
    assert not tried
    core.endpoints.nodes[1].watch_task(7)
    loop.turn(True)
    assert len(tried) == 1
    loop.close()


@pytest.mark.parametrize(("placers", "most"), [(16, 64.0), (230, 64.0), (1024, 128.0)])
def test_a_suspect_is_probed_by_all_together_no_more_often_than_it_bears(placers: int, most: float) -> None:
    """Guards against 4,096 probes a second at a node that all dispatchers found silent in the same moment."""
    all_of_them = []
    for me in range(placers):
        one = Placer(replace(settings(SAFE, placers=placers), me=me), 1)
        one.handle(0.0, [listing(entry(1))])
        now = 0.1
        for number in (1, 2):
            assert offers(one.handle(now, [ask(number)]))
            one.handle(now + 0.01, [ended(number, 1, api.Outcome.NOT_CONNECTED, 0, last=True)])
            one.handle(now + 0.01, [api.HealthCheckResult(1, api.Outcome.TIMED_OUT, 0.1, None)])
            now += 1.0
        assert one.ejected_ids == {1}
        all_of_them.append(one)
    probes: list[int] = []
    for tick in range(17 * 4):
        now = 1.25 + tick * 0.25
        for one in all_of_them:
            if any(isinstance(action, api.CheckHealth) for action in one.handle(now, [])):
                probes.append(round(now * 1e6))
                one.handle(now, [api.HealthCheckResult(1, api.Outcome.TIMED_OUT, 0.1, None)])
    assert busiest(probes) <= most * 1.2  # turns begin at ticks
    assert len(probes) >= placers * 2  # and each of them does find out, once in 8 s at the latest


def test_a_probe_turn_begins_after_the_suspicion() -> None:
    turns = health_check_schedule.HealthCheckSchedule(3, 1024)
    assert not turns.is_due(9, 100.0)
    assert sum(turns.is_due(9, 100.0 + tick / 4) for tick in range(1, 33)) == 1
    turns.retain([])
    assert not turns.is_due(9, 500.0)


def test_cancelled_timers_do_not_pile_up() -> None:
    """Guards against a heap that holds every cancelled timer of some seconds' traffic until it is due."""
    loop, _ = a_loop()
    kept = [loop.after(10_000_000, lambda: None) for _ in range(100)]
    for _ in range(100_000):
        loop.after(5_000_000, lambda: None).cancel()
        assert len(loop._timers) <= 2 * 100 + 300
    assert sum(entry[2].call is not None for entry in loop._timers) == len(kept)
    loop.close()


def test_a_swept_heap_calls_what_is_due_and_nothing_else() -> None:
    loop, clock = a_loop()
    chance, called, wanted = random.Random(3), list[int](), list[tuple[int, int]]()
    timers = []
    for number in range(3000):
        due = loop.now + chance.randrange(1_000_000)
        timers.append((due, number, loop.at(due, partial(called.append, number))))
    for due, number, timer in timers:
        if chance.random() < 0.8:
            timer.cancel()
            timer.cancel()
        else:
            wanted.append((due, number))
    clock.ns += 2_000_000_000
    loop.turn(True)
    assert called == [number for _, number in sorted(wanted)]
    assert loop._cancelled_timers == 0 and not loop._timers
    loop.close()


def test_a_thousand_nodes_that_close_at_once_cost_a_bounded_number_of_lines() -> None:
    loop, clock = a_loop()
    log = Syslog(loop, "n", "thornshelf", 0)
    written: list[bytes] = []

    class Sink:
        def write(self, lines: Any) -> int:
            written.extend(lines)
            lines.clear()
            return 0

    log._sink = Sink()
    for second in range(3):
        for number in range(MANY):
            log(5, "node-disconnected", {"node": str(number)}, "connection ended by the node or the network")
        loop.turn(True)
        clock.ns += 1_000_000_000
        loop.turn(True)
        assert len(written) <= (MAX_LINES_PER_SECOND + 1) * (second + 1)
    loop.close()


# a round goes by slices


class Ordered(Plain):
    """The plain scan, in the order by each machine's group as of its last look; its round goes on as the index's."""

    def place(self, request: PendingRequest) -> None:
        if request.open and not any(one.live and one.state == 0 for one in request.attempts):
            left = len(request.attempts) < self.settings.limits.max_attempts and request.deadline > self.now
            if left and self.fits_empty_machine(request.demand):
                self.index.apply_changes()
        super().place(request)

    def prefix(self, request: PendingRequest, able: list[Machine], taken: Sequence[float]) -> list[Machine]:
        from thornshelf.placement.placer import TARGET_UTILIZATION

        order = sorted(able, key=lambda m: (m.group, m.order_key))
        wanted = [taken[k] + request.demand[k] for k in (0, 1)]
        for count, m in enumerate(order, 1):
            wanted = [wanted[k] - TARGET_UTILIZATION * self.usage_limit(m)[k] for k in (0, 1)]
            if max(wanted) <= 0.0:
                return order[:count]
        return order


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("slice_of", [1, 7])
def test_in_the_middle_of_a_round_the_index_chooses_as_the_plain_scan_does(
    seed: int, slice_of: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(machine_index, "SLICE", slice_of)
    terms = settings(SAFE, LEDGER, placers=16, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET)
    both = Placer(terms, 1), Ordered(terms, 1)
    assert day(random.Random(seed), both, 40, 150) > 50
    for one in both:  # and the index is true: what it holds is what working all out anew would give
        one.index._refresh_queue.clear()
        one.index._refresh_queue.extend(one.index.up)
        one.index._refresh(len(one.index.up))
        assert [m.group for m in one.index.up] == [one.fullness_group(m) for m in one.index.up]
        assert {m.id for m in one.index.ordered()} == {m.id for m in one.index.up}
        for k in (0, 1):
            assert one.index.totals()[0][k] == pytest.approx(sum(one.usage(m)[k] for m in one.index.up))
            assert one.index.totals()[1][k] == pytest.approx(sum(m.capacity[k] for m in one.index.up))


class Aging(Counting):
    """Counts the views worked out in the present call."""


def test_no_call_works_out_all_views_of_a_large_fleet() -> None:
    """Guards against 20 ms in one go, four times a second."""
    one = Aging(settings(placers=1024, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET), 1)
    one.handle(0.0, [listing(*(entry(m, kind="large") for m in range(1, MANY + 1)))])
    looked: Counter[int] = Counter()
    usual = one.index._reindex

    def recount(m: Machine) -> None:
        looked[m.id] += 1
        usual(m)

    one.index._reindex = recount  # type: ignore[method-assign]
    most = 0
    for call in range(200):
        before = looked.total()
        one.handle(1.0 + call * 0.05, [ask(call + 1, service=call % 8, cores=0.1, memory=0.1)])
        most = max(most, looked.total() - before)
    assert most <= 448  # a quarter of the fleet, and 64 a decision
    assert (
        min(looked.values()) >= 8 and len(looked) == MANY
    )  # 10 s: every view was worked out at least each 1.25 s


def test_with_few_decisions_a_round_is_over_in_four_surveys_all_the_same() -> None:
    one = Placer(settings(placers=1024, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET), 1)
    one.handle(0.0, [listing(*(entry(m, kind="large") for m in range(1, MANY + 1)))])
    for call in range(5):
        one.handle(1.0 + call, [ask(call + 1, cores=0.1, memory=0.1)])
        if not one.index._refresh_queue:
            return
    raise AssertionError("the round goes on")


def small(request: int, service: int, *able: int) -> api.PlacementRequest:
    """A task so small that it keeps to its service's homes."""
    return ask(
        request, service=service, cores=0.25, memory=0.25, is_eligible=(lambda m: m in able) if able else None
    )


def far_from_home(machines: int) -> tuple[Placer, int, int]:
    """A placer that meets no service twice, and a near and a far machine of one service's order, both down it.

    A strike of the near one came with another service's task.
    """
    one = Placer(settings(SAFE), 1)
    one.handle(0.0, [listing(*(entry(machine) for machine in range(machines)))])
    order = sorted(range(machines), key=lambda machine: unit_hash(2, machine))
    near, far = order[machines // 3], order[machines // 2]
    one.handle(0.1, [small(1, 1, near)])
    one.handle(0.2, [ended(1, near, api.Outcome.TIMED_OUT)])
    one.handle(0.6, [small(2, 3, order[0])])
    return one, near, far


def test_a_strike_counts_beside_the_order_of_homes_at_4096() -> None:
    """At 4,096 machines the order alone was worth hundreds of powers of the price's base."""
    one, near, far = far_from_home(4096)
    actions = one.handle(1.2, [small(3, 2, near, far)])
    assert [offer.machine for offer in offers(actions)] == [far]


def test_the_first_places_of_the_order_keep_their_price_at_any_size() -> None:
    """Five places down a service's order are one power of the base, with 80 machines as with 18,000."""
    for machines in (80, 4096, 18_000):
        one, *_ = far_from_home(machines)
        request = one.accept(small(9, 5))
        one.update_averages()
        order = sorted(one.index.up, key=lambda m: unit_hash(5, m.id))
        first, sixth = (one.program_cost(request, order[place]) for place in (0, 5))
        assert sixth - first == pytest.approx(
            (unit_hash(5, order[5].id) - unit_hash(5, order[0].id)) * one.home_cost_scale
        )
        assert one.home_cost_scale == pytest.approx(machines / HOMES_PER_POWER)


def test_a_list_of_18000_is_ranked_whatever_went_wrong_there() -> None:
    """No sum of terms leaves the range of floating-point numbers: one machine may have failed for hours."""
    one, near, far = far_from_home(18_000)
    one.machines[near].consecutive_failures = 10_000
    actions = one.handle(1.2, [small(3, 2, near, far)])
    assert [offer.machine for offer in offers(actions)] == [far]
    actions = one.handle(1.7, [small(4, 2, near)])
    assert [offer.machine for offer in offers(actions)] == [near]


@pytest.mark.parametrize("free", [-1e9, 1e9, -1e300])
def test_one_machine_with_figures_out_of_range_costs_the_others_nothing(free: float) -> None:
    """The price of all tasks was worked out with them: no decision was made any more."""
    one = Placer(settings(SAFE), 1)
    one.handle(0.0, [listing(*(entry(machine) for machine in range(8)))])
    one.handle(0.1, [small(1, 1, 3)])
    report = api.LoadReport(free_cores=free, free_memory=free)
    one.handle(
        0.2, [api.AttemptAccepted(1, 3, 0, 0.1), ended(1, 3, api.Outcome.OK, last=True, report=report)]
    )
    for number in range(2, 8):
        actions = one.handle(0.2 + number, [small(number, number), small(100 + number, number)])
        assert len(offers(actions)) == 2


@pytest.mark.parametrize("cores", [1e4, 1e6, 1e9])
def test_a_task_of_any_size_costs_those_that_are_asked_for_with_it_nothing(cores: float) -> None:
    """They are put in order by their price before those that fit nowhere are refused."""
    one = Placer(settings(SAFE), 1)
    one.handle(0.0, [listing(*(entry(machine) for machine in range(8)))])
    actions = one.handle(0.1, [ask(1, cores=cores), small(2, 1)])
    assert [offer.request_id for offer in offers(actions)] == [2]
    assert [action.request_id for action in actions if isinstance(action, api.Reject)] == [1]
