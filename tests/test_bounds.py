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
from tests.test_fleet import FLEET, LEDGER, FullScanPlacer, day
from tests.test_turns import a_loop, entries
from thornshelf import placement as api
from thornshelf.core import Dispatcher, EndpointListUpdate
from thornshelf.loop import Wait
from thornshelf.nodes import reconnect
from thornshelf.nodes.binary import BinaryNodeConnection
from thornshelf.placement import connect_pacing, machine_index
from thornshelf.placement.hashing import unit_hash
from thornshelf.placement.health_check_schedule import HealthCheckSchedule
from thornshelf.placement.machine import Machine
from thornshelf.placement.placer import Placer
from thornshelf.placement.pricing import AFFINITY_PLACES_PER_EXPONENT
from thornshelf.placement.requests import PendingRequest
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


def test_dispatchers_that_start_together_do_not_connect_to_a_node_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 1,024 connects at once at each node when a fleet of dispatchers comes back."""
    tried = starts(monkeypatch, range(MANY), 1, MANY, 20)
    assert len(tried) == MANY
    assert busiest(tried) <= connect_pacing.CONNECTS_PER_S * 1.1


def test_a_dispatcher_that_starts_does_not_connect_to_all_nodes_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tried = starts(monkeypatch, [77], MANY, MANY, 20)
    assert len(tried) == MANY
    assert busiest(tried) <= connect_pacing.CONNECTS_PER_S * 1.1


def test_few_dispatchers_connect_to_their_nodes_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing is delayed where the load is bounded: reports on running tasks go to open connections."""
    tried = starts(monkeypatch, range(16), 20, 16, 1)
    assert len(tried) == 320
    assert max(tried) <= 100_000


def test_an_attempt_does_not_wait_for_the_initial_connect(monkeypatch: pytest.MonkeyPatch) -> None:
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
def test_an_ejected_machine_is_health_checked_by_all_placers_within_a_bound(
    placers: int, most: float
) -> None:
    """Guards against 4,096 health checks a second of a node that all dispatchers ejected in the same moment."""
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
        assert one.outliers.ejected_ids == {1}
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


def test_a_health_check_turn_begins_after_the_ejection() -> None:
    turns = HealthCheckSchedule(3, 1024)
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
    assert loop._cancelled_timers == 0
    assert not loop._timers
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


# a refresh is done in slices


class IndexOrderPlacer(FullScanPlacer):
    """The full scan, in the order of the machines' groups when last indexed; its refresh goes on as the index's."""

    def find_machine(self, request: PendingRequest) -> Machine | None:
        if self.reservations.fits_empty_machine(request.demand):
            self.endpoints.index.apply_changes()
        return super().find_machine(request)

    def order(self, candidates: list[Machine]) -> list[Machine]:
        return sorted(candidates, key=lambda m: (m.group, m.order_key))


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("slice_of", [1, 7])
def test_in_the_middle_of_a_refresh_the_index_chooses_as_the_full_scan_does(
    seed: int, slice_of: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(machine_index, "SLICE", slice_of)
    terms = settings(SAFE, LEDGER, placers=16, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET)
    both = Placer(terms, 1), IndexOrderPlacer(terms, 1)
    assert day(random.Random(seed), both, 40, 150) > 50
    for one in both:  # and the index is true: it holds what computing all anew gives
        index = one.endpoints.index
        index._refresh_queue.clear()
        index._refresh_queue.extend(index.up)
        index._refresh(len(index.up))
        assert [m.group for m in index.up] == [one.usage.utilization_group(m) for m in index.up]
        assert {m.id for m in index.ordered()} == {m.id for m in index.up}
        for k in (0, 1):
            assert index.totals()[0][k] == pytest.approx(sum(one.usage.estimate(m)[k] for m in index.up))
            assert index.totals()[1][k] == pytest.approx(sum(m.capacity[k] for m in index.up))


def test_no_call_refreshes_all_estimates_of_a_large_fleet() -> None:
    """Guards against 20 ms in one go, four times a second."""
    one = Placer(settings(placers=1024, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET), 1)
    one.handle(0.0, [listing(*(entry(m, kind="large") for m in range(1, MANY + 1)))])
    refreshed: Counter[int] = Counter()
    usual = one.endpoints.index._reindex

    def count(machine: Machine) -> None:
        refreshed[machine.id] += 1
        usual(machine)

    one.endpoints.index._reindex = count  # type: ignore[method-assign]
    most = 0
    for call in range(200):
        before = refreshed.total()
        one.handle(1.0 + call * 0.05, [ask(call + 1, service=call % 8, cores=0.1, memory=0.1)])
        most = max(most, refreshed.total() - before)
    assert most <= 448  # a quarter of the fleet, and 64 a decision
    assert min(refreshed.values()) >= 8
    assert len(refreshed) == MANY


def test_with_few_decisions_a_refresh_is_complete_after_four_calls_all_the_same() -> None:
    one = Placer(settings(placers=1024, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET), 1)
    one.handle(0.0, [listing(*(entry(m, kind="large") for m in range(1, MANY + 1)))])
    for call in range(5):
        one.handle(1.0 + call, [ask(call + 1, cores=0.1, memory=0.1)])
        if not one.endpoints.index._refresh_queue:
            return
    raise AssertionError("the round goes on")


def small(request: int, service: int, *able: int) -> api.PlacementRequest:
    """A task so small that it keeps to its service's homes."""
    return ask(
        request, service=service, cores=0.25, memory=0.25, is_eligible=(lambda m: m in able) if able else None
    )


def far_from_home(machines: int) -> tuple[Placer, int, int]:
    """A placer that meets no service twice, and a near and a far machine of one service's order, both down it.

    A task of another service failed on the near one.
    """
    one = Placer(settings(SAFE), 1)
    one.handle(0.0, [listing(*(entry(machine) for machine in range(machines)))])
    order = sorted(range(machines), key=lambda machine: unit_hash(2, machine))
    near, far = order[machines // 3], order[machines // 2]
    one.handle(0.1, [small(1, 1, near)])
    one.handle(0.2, [ended(1, near, api.Outcome.TIMED_OUT)])
    one.handle(0.6, [small(2, 3, order[0])])
    return one, near, far


def test_a_failure_counts_along_with_the_order_of_homes_at_4096() -> None:
    """At 4,096 machines the order alone cost hundreds of powers of the price's base."""
    one, near, far = far_from_home(4096)
    actions = one.handle(1.2, [small(3, 2, near, far)])
    assert [offer.machine for offer in offers(actions)] == [far]


def test_the_first_homes_keep_their_price_at_any_size() -> None:
    """Five places down a service's order are one power of the base, with 80 machines as with 18,000."""
    for machines in (80, 4096, 18_000):
        one, *_ = far_from_home(machines)
        request = one.track(small(9, 5))
        one.update_averages()
        order = sorted(one.endpoints.index.up, key=lambda m: unit_hash(5, m.id))
        first, sixth = (one.pricing.program_exponent(request, order[place]) for place in (0, 5))
        assert sixth - first == pytest.approx(
            (unit_hash(5, order[5].id) - unit_hash(5, order[0].id)) * one.pricing.affinity_scale
        )
        assert one.pricing.affinity_scale == pytest.approx(machines / AFFINITY_PLACES_PER_EXPONENT)


def test_a_fleet_of_18000_is_ranked_whatever_failed_there() -> None:
    """No sum of terms leaves the range of floating-point numbers: one machine may have failed for hours."""
    one, near, far = far_from_home(18_000)
    one.machines[near].consecutive_failures = 10_000
    actions = one.handle(1.2, [small(3, 2, near, far)])
    assert [offer.machine for offer in offers(actions)] == [far]
    actions = one.handle(1.7, [small(4, 2, near)])
    assert [offer.machine for offer in offers(actions)] == [near]


@pytest.mark.parametrize("free", [-1e9, 1e9, -1e300])
def test_one_machine_with_figures_out_of_range_costs_the_others_nothing(free: float) -> None:
    """All tasks were priced with them: no decision was made any more."""
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
def test_a_task_of_any_size_does_not_affect_those_requested_with_it(cores: float) -> None:
    """Tasks are ordered by their price before those that fit nowhere are rejected."""
    one = Placer(settings(SAFE), 1)
    one.handle(0.0, [listing(*(entry(machine) for machine in range(8)))])
    actions = one.handle(0.1, [ask(1, cores=cores), small(2, 1)])
    assert [offer.request_id for offer in offers(actions)] == [2]
    assert [action.request_id for action in actions if isinstance(action, api.Reject)] == [1]
