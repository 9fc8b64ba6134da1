"""Limits on work that grows with the number of dispatchers and nodes, at 1,024 of each."""

from __future__ import annotations

import errno
import random
from collections import Counter
from collections.abc import Generator, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

import pytest

from tests.conftest import (
    SAFE,
    attempt_ended,
    endpoint,
    endpoint_update,
    placement_request,
    settings,
    started_attempts,
)
from tests.test_fleet import FLEET, LEDGER, FullScanPlacer, run_both_placers
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


def connect_times(
    monkeypatch: pytest.MonkeyPatch, dispatchers: Sequence[int], nodes: int, placers: int, seconds: int
) -> list[int]:
    """Run real dispatchers with unreachable nodes; return the times of all connects, in microseconds."""
    loop, clock = a_loop()
    began, connects = loop.now, list[int]()

    def connect(*_: Any) -> Generator[Wait, int, int]:
        connects.append(loop.now - began)
        yield Wait(until=loop.now)
        return errno.ECONNREFUSED

    monkeypatch.setattr(reconnect, "connect", connect)
    for me in dispatchers:
        placer_settings = replace(settings(SAFE, placers=placers), me=me)
        core = Dispatcher(
            loop,
            placer_settings,
            1,
            lambda machine, entry, core: BinaryNodeConnection(loop, machine, entry, core),
            lambda *_: None,
        )
        core.update_endpoints(EndpointListUpdate(True, 1, entries(nodes=range(nodes))))
    for _ in range(seconds * 1_000_000_000 // TURN_NS):
        loop.turn(True)
        clock.ns += TURN_NS
    loop.close()
    return connects


def max_per_second(times: Sequence[int]) -> int:
    """Return the maximum number of times within one second."""
    each = Counter(at // 50_000 for at in times)
    return max(sum(each[k + part] for part in range(20)) for k in range(max(each) + 1))


def test_dispatchers_that_start_together_do_not_connect_to_a_node_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 1,024 simultaneous connects at each node when a fleet of dispatchers restarts."""
    connects = connect_times(monkeypatch, range(MANY), 1, MANY, 20)
    assert len(connects) == MANY
    assert max_per_second(connects) <= connect_pacing.CONNECTS_PER_S * 1.1


def test_a_dispatcher_that_starts_does_not_connect_to_all_nodes_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connects = connect_times(monkeypatch, [77], MANY, MANY, 20)
    assert len(connects) == MANY
    assert max_per_second(connects) <= connect_pacing.CONNECTS_PER_S * 1.1


def test_few_dispatchers_connect_to_their_nodes_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against needless delay: reports on running tasks need open connections."""
    connects = connect_times(monkeypatch, range(16), 20, 16, 1)
    assert len(connects) == 320
    assert max(connects) <= 100_000


def test_an_attempt_does_not_wait_for_the_initial_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    loop, _ = a_loop()
    connects: list[int] = []

    def connect(*_: Any) -> Generator[Wait, int, int]:
        connects.append(loop.now)
        yield Wait(until=loop.now)
        return errno.ECONNREFUSED

    monkeypatch.setattr(reconnect, "connect", connect)
    placer_settings = replace(settings(SAFE, placers=MANY), me=500)
    core = Dispatcher(
        loop,
        placer_settings,
        1,
        lambda machine, entry, core: BinaryNodeConnection(loop, machine, entry, core),
        lambda *_: None,
    )
    core.update_endpoints(EndpointListUpdate(True, 1, entries(nodes=range(1))))
    loop.turn(True)
    assert not connects
    core.endpoints.nodes[1].watch_task(7)
    loop.turn(True)
    assert len(connects) == 1
    loop.close()


@pytest.mark.parametrize(("placers", "limit_per_s"), [(16, 64.0), (230, 64.0), (1024, 128.0)])
def test_an_ejected_machine_is_health_checked_by_all_placers_within_a_bound(
    placers: int, limit_per_s: float
) -> None:
    """Guards against 4,096 health checks per second of a node that all dispatchers eject at once."""
    all_placers = []
    for me in range(placers):
        one = Placer(replace(settings(SAFE, placers=placers), me=me), 1)
        one.handle(0.0, [endpoint_update(endpoint(1))])
        now = 0.1
        for number in (1, 2):
            assert started_attempts(one.handle(now, [placement_request(number)]))
            one.handle(now + 0.01, [attempt_ended(number, 1, api.Outcome.NOT_CONNECTED, 0, last=True)])
            one.handle(now + 0.01, [api.HealthCheckResult(1, api.Outcome.TIMED_OUT, 0.1, None)])
            now += 1.0
        assert one.outliers.ejected_ids == {1}
        all_placers.append(one)
    check_times: list[int] = []
    for tick in range(17 * 4):
        now = 1.25 + tick * 0.25
        for one in all_placers:
            if any(isinstance(action, api.CheckHealth) for action in one.handle(now, [])):
                check_times.append(round(now * 1e6))
                one.handle(now, [api.HealthCheckResult(1, api.Outcome.TIMED_OUT, 0.1, None)])
    assert max_per_second(check_times) <= limit_per_s * 1.2  # slots begin at ticks
    assert len(check_times) >= placers * 2  # each placer checks at least once in 8 s


def test_the_first_health_check_slot_begins_after_the_ejection() -> None:
    schedule = HealthCheckSchedule(3, 1024)
    assert not schedule.is_due(9, 100.0)
    assert sum(schedule.is_due(9, 100.0 + tick / 4) for tick in range(1, 33)) == 1
    schedule.retain([])
    assert not schedule.is_due(9, 500.0)


def test_cancelled_timers_do_not_accumulate() -> None:
    """Guards against a heap that keeps cancelled timers until they are due."""
    loop, _ = a_loop()
    active = [loop.call_later(10_000_000, lambda: None) for _ in range(100)]
    for _ in range(100_000):
        loop.call_later(5_000_000, lambda: None).cancel()
        assert len(loop._timers) <= 2 * 100 + 300
    assert sum(entry[2].call is not None for entry in loop._timers) == len(active)
    loop.close()


def test_a_heap_without_its_cancelled_timers_fires_all_others() -> None:
    loop, clock = a_loop()
    rng, fired, expected = random.Random(3), list[int](), list[tuple[int, int]]()
    timers = []
    for number in range(3000):
        due = loop.now + rng.randrange(1_000_000)
        timers.append((due, number, loop.call_at(due, partial(fired.append, number))))
    for due, number, timer in timers:
        if rng.random() < 0.8:
            timer.cancel()
            timer.cancel()
        else:
            expected.append((due, number))
    clock.ns += 2_000_000_000
    loop.turn(True)
    assert fired == [number for _, number in sorted(expected)]
    assert loop._cancelled_timers == 0
    assert not loop._timers
    loop.close()


def test_a_thousand_nodes_that_disconnect_at_once_write_a_bounded_number_of_log_lines() -> None:
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


# refresh of the index in slices


class IndexOrderPlacer(FullScanPlacer):
    """The full scan in the index's order, with its refresh in the same slices."""

    def find_machine(self, request: PendingRequest) -> Machine | None:
        if self.reservations.fits_empty_machine(request.demand):
            self.endpoints.index.apply_changes()
        return super().find_machine(request)

    def order(self, candidates: list[Machine]) -> list[Machine]:
        return sorted(candidates, key=lambda m: (m.group, m.order_key))


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("slice_size", [1, 7])
def test_in_the_middle_of_a_refresh_the_index_chooses_as_the_full_scan_does(
    seed: int, slice_size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(machine_index, "REFRESH_SLICE_SIZE", slice_size)
    placer_settings = settings(SAFE, LEDGER, placers=16, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET)
    both = Placer(placer_settings, 1), IndexOrderPlacer(placer_settings, 1)
    assert run_both_placers(random.Random(seed), both, 40, 150) > 50
    for one in both:  # the index equals a complete recomputation
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
    """Guards against calls that recompute all estimates at once."""
    one = Placer(settings(placers=1024, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET), 1)
    one.handle(0.0, [endpoint_update(*(endpoint(m, kind="large") for m in range(1, MANY + 1)))])
    refreshed: Counter[int] = Counter()
    reindex = one.endpoints.index._reindex

    def count(machine: Machine) -> None:
        refreshed[machine.id] += 1
        reindex(machine)

    one.endpoints.index._reindex = count  # type: ignore[method-assign]
    max_refreshed = 0
    for call in range(200):
        before = refreshed.total()
        one.handle(1.0 + call * 0.05, [placement_request(call + 1, service=call % 8, cores=0.1, memory=0.1)])
        max_refreshed = max(max_refreshed, refreshed.total() - before)
    assert max_refreshed <= 448  # a quarter of the fleet, and 64 per decision
    assert min(refreshed.values()) >= 8
    assert len(refreshed) == MANY


def test_with_few_decisions_a_refresh_is_complete_after_four_calls() -> None:
    one = Placer(settings(placers=1024, overcommit_cores=2.5, overcommit_memory=1.5, **FLEET), 1)
    one.handle(0.0, [endpoint_update(*(endpoint(m, kind="large") for m in range(1, MANY + 1)))])
    for call in range(5):
        one.handle(1.0 + call, [placement_request(call + 1, cores=0.1, memory=0.1)])
        if not one.endpoints.index._refresh_queue:
            return
    raise AssertionError("the refresh is not complete")


def small_task(request: int, service: int, *eligible: int) -> api.PlacementRequest:
    """Return a request so small that affinity to its service's preferred machines decides."""
    return placement_request(
        request,
        service=service,
        cores=0.25,
        memory=0.25,
        is_eligible=(lambda m: m in eligible) if eligible else None,
    )


def placer_with_failed_machine(machines: int) -> tuple[Placer, int, int]:
    """Return a placer, a machine with a failure, and a healthy machine that service 2 prefers less.

    The failed task is of another service. No service is requested twice, so affinity has its full scale.
    """
    one = Placer(settings(SAFE), 1)
    one.handle(0.0, [endpoint_update(*(endpoint(machine) for machine in range(machines)))])
    order = sorted(range(machines), key=lambda machine: unit_hash(2, machine))
    failed, healthy = order[machines // 3], order[machines // 2]
    one.handle(0.1, [small_task(1, 1, failed)])
    one.handle(0.2, [attempt_ended(1, failed, api.Outcome.TIMED_OUT)])
    one.handle(0.6, [small_task(2, 3, order[0])])
    return one, failed, healthy


def test_a_failure_outweighs_affinity_at_4096_machines() -> None:
    """Guards against an affinity exponent that outgrows all others in a large fleet."""
    one, failed, healthy = placer_with_failed_machine(4096)
    actions = one.handle(1.2, [small_task(3, 2, failed, healthy)])
    assert [offer.machine for offer in started_attempts(actions)] == [healthy]


def test_the_most_preferred_machines_keep_their_exponents_at_any_fleet_size() -> None:
    """Guards against an affinity exponent that is not scaled to the fleet."""
    for machines in (80, 4096, 18_000):
        one, *_ = placer_with_failed_machine(machines)
        request = one.track(small_task(9, 5))
        one.update_averages()
        order = sorted(one.endpoints.index.up, key=lambda m: unit_hash(5, m.id))
        first, sixth = (one.pricing.program_exponent(request, order[place]) for place in (0, 5))
        assert sixth - first == pytest.approx(
            (unit_hash(5, order[5].id) - unit_hash(5, order[0].id)) * one.pricing.affinity_scale
        )
        assert one.pricing.affinity_scale == pytest.approx(machines / AFFINITY_PLACES_PER_EXPONENT)


def test_a_fleet_of_18000_is_ranked_whatever_failed_there() -> None:
    """Guards against an exponent beyond the range of a float after many failures."""
    one, failed, healthy = placer_with_failed_machine(18_000)
    one.machines[failed].consecutive_failures = 10_000
    actions = one.handle(1.2, [small_task(3, 2, failed, healthy)])
    assert [offer.machine for offer in started_attempts(actions)] == [healthy]
    actions = one.handle(1.7, [small_task(4, 2, failed)])
    assert [offer.machine for offer in started_attempts(actions)] == [failed]


@pytest.mark.parametrize("free", [-1e9, 1e9, -1e300])
def test_reports_out_of_range_from_one_machine_do_not_affect_the_others(free: float) -> None:
    """Guards against sums distorted by one machine, by which all tasks are priced."""
    one = Placer(settings(SAFE), 1)
    one.handle(0.0, [endpoint_update(*(endpoint(machine) for machine in range(8)))])
    one.handle(0.1, [small_task(1, 1, 3)])
    report = api.LoadReport(free_cores=free, free_memory=free)
    one.handle(
        0.2,
        [api.AttemptAccepted(1, 3, 0, 0.1), attempt_ended(1, 3, api.Outcome.OK, last=True, report=report)],
    )
    for number in range(2, 8):
        actions = one.handle(0.2 + number, [small_task(number, number), small_task(100 + number, number)])
        assert len(started_attempts(actions)) == 2


@pytest.mark.parametrize("cores", [1e4, 1e6, 1e9])
def test_a_task_of_any_size_does_not_affect_those_requested_with_it(cores: float) -> None:
    """Guards against overflow: tasks are ordered by price before those that fit nowhere are rejected."""
    one = Placer(settings(SAFE), 1)
    one.handle(0.0, [endpoint_update(*(endpoint(machine) for machine in range(8)))])
    actions = one.handle(0.1, [placement_request(1, cores=cores), small_task(2, 1)])
    assert [offer.request_id for offer in started_attempts(actions)] == [2]
    assert [action.request_id for action in actions if isinstance(action, api.Reject)] == [1]
