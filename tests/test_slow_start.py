"""The attempts of all placers together at a machine in slow start stay within the limit."""

from __future__ import annotations

import math
import time

import pytest

from tests.conftest import endpoint, endpoint_update, placement_request, settings, started_attempts
from tests.test_turns import a_loop
from thornshelf import placement as api
from thornshelf.core import Dispatcher, EndpointListUpdate, NodeEndpoint
from thornshelf.core.ports import NodeConnection
from thornshelf.placement.placer import Placer

WINDOW_S, SLOW_START_S = 3.0, 14.0
SLOW_START_MACHINE = 7
COUNTS = [
    (count, max_attempts)
    for count in (1, 2, 16, 20, 30, 64, 230)
    for max_attempts in (5, 29, 51, 59, 119, 300)
]


class PlacerFleet:
    """A number of placers that share the limit on attempts at one machine in slow start."""

    def __init__(self, count: int, max_attempts: float) -> None:
        self.count = count
        self.max_attempts = max_attempts
        self.sent: list[float] = []  # when each attempt was started
        self.requested = 0
        self.machines: tuple[api.Endpoint, ...] = ()
        self.placers = [self.start(me) for me in range(count)]

    def start(self, me: int) -> Placer:
        rules = {
            "slow_start_attempts": float(self.max_attempts),
            "slow_start_window_s": WINDOW_S,
            "slow_start_s": SLOW_START_S,
        }
        return Placer(settings(me=me, placers=self.count, **rules), me)

    def update_endpoints(self, now: float, *machines: api.Endpoint, complete: bool = True) -> None:
        self.machines = machines
        for one in self.placers:
            one.handle(now, [endpoint_update(*machines, complete=complete)])

    def send(self, now: float) -> None:
        """Have each placer send as many attempts as it may."""
        for one in self.placers:
            while True:
                self.requested += 1
                if not started_attempts(
                    one.handle(now, [placement_request(self.requested, cores=0.001, memory=0.001)])
                ):
                    break
                self.sent.append(now)

    def restart(self, now: float, numbers: range) -> None:
        for me in numbers:
            self.placers[me] = self.start(me)
            self.placers[me].handle(now, [endpoint_update(*self.machines)])

    def max_in_window(self) -> int:
        """Return the maximum number of attempts in any window of the rule's length."""
        return max((sum(at <= one < at + WINDOW_S for one in self.sent) for at in set(self.sent)), default=0)


def tolerated_attempts(max_attempts: float) -> float:
    """Return the number of attempts that is still within statistical fluctuation of the limit."""
    return max_attempts + 2.0 * math.sqrt(max_attempts) + 2.0


def warming_up_entry(started_at: float) -> api.Endpoint:
    return endpoint(SLOW_START_MACHINE, started_at=started_at)


@pytest.mark.parametrize(("count", "max_attempts"), COUNTS)
def test_the_sum_of_all_quotas_is_within_the_limit(count: int, max_attempts: int) -> None:
    """Guards against remainders of two adjacent slots that add up to more than the limit."""
    for first in (1003.3, 1003.5, 1006.0, 1007.9):  # slots begin at 1003.5 and 1008
        fleet = PlacerFleet(count, max_attempts)
        fleet.update_endpoints(990.0)
        fleet.update_endpoints(first, warming_up_entry(first - 0.1))
        for step in (0.0, 0.2, 1.5, 3.0, 4.4, 4.6, 6.0):
            fleet.send(first + step)
        assert fleet.max_in_window() <= max_attempts
        if max_attempts >= 2 * count:
            assert fleet.max_in_window() >= max_attempts - count  # the quota can be used up


@pytest.mark.parametrize(("count", "max_attempts"), COUNTS)
@pytest.mark.parametrize("restarted_fraction", [0.1, 0.7, 1.0])
def test_a_restarted_placer_does_not_use_its_quota_twice(
    count: int, max_attempts: int, restarted_fraction: float
) -> None:
    """Guards against overload of a node by dispatchers that all restart at once."""
    fleet = PlacerFleet(count, max_attempts)
    fleet.update_endpoints(990.0)
    fleet.update_endpoints(1001.0, warming_up_entry(1000.9))
    fleet.send(1001.0)
    fleet.restart(1002.0, range(math.ceil(restarted_fraction * count)))
    for at in (1002.0, 1003.0, 1003.9):
        fleet.send(at)
    assert fleet.max_in_window() <= tolerated_attempts(max_attempts)
    fleet.send(1006.0)  # the quota of the next window
    assert fleet.max_in_window() <= tolerated_attempts(max_attempts)
    assert max_attempts < count or fleet.sent[-1] == 1006.0


def test_a_first_start_among_warmed_up_machines_delays_nothing() -> None:
    fleet = PlacerFleet(1, 51)
    fleet.update_endpoints(1000.0, warming_up_entry(0.0))
    fleet.restart(1000.1, range(1))
    fleet.placers[0].handle(1000.1, [placement_request(5)])
    (made,) = started_attempts(fleet.placers[0].handle(1000.2, [placement_request(6)]))
    assert made.machine == SLOW_START_MACHINE


def test_attempts_before_a_start_was_listed_count_too() -> None:
    """Guards against a second quota once the endpoint list shows the restart."""
    fleet = PlacerFleet(4, 40)
    fleet.update_endpoints(990.0, warming_up_entry(0.0))
    for one in fleet.placers:
        for number in range(10):
            fleet.requested += 1
            made = started_attempts(
                one.handle(
                    1001.0 + number / 100, [placement_request(fleet.requested, cores=0.01, memory=0.01)]
                )
            )
            fleet.sent += [1001.0] * len(made)
    assert fleet.max_in_window() == 40
    fleet.update_endpoints(1002.0, warming_up_entry(1000.9), complete=False)  # listed a second late
    fleet.send(1002.0)
    fleet.send(1003.5)
    assert fleet.max_in_window() == 40


def test_all_processes_compute_slots_on_one_clock_whenever_each_has_started() -> None:
    """Guards against slots counted from the start of each process, which would coincide."""

    def no_node(machine: int, entry: NodeEndpoint, core: Dispatcher) -> NodeConnection:
        raise AssertionError

    cores, unix_offset_us = [], time.time_ns() // 1000 - time.monotonic_ns() // 1000
    for later_us in (0, 7_300_000):
        loop, clock = a_loop()
        clock.ns = time.monotonic_ns() + later_us * 1000
        loop.turn(True)
        core = Dispatcher(loop, settings(), 1, no_node, lambda *_: None, unix_offset_us=unix_offset_us)
        core.update_endpoints(EndpointListUpdate(True, 1, ()))
        cores.append((core, loop.now))
    (one, at), (other, _) = cores
    assert one.unix_seconds(at) == other.unix_seconds(at) == (at + unix_offset_us) / 1e6
    assert all(
        core.unix_seconds(core.placement.loop_us(at_s)) >= at_s
        for core, _ in cores
        for at_s in (one.unix_seconds(at) + k * 0.0137 for k in range(200))
    )
