"""What all placers together send a machine in slow start, whatever their number and whoever restarts."""

from __future__ import annotations

import math
import time

import pytest

from tests.conftest import ask, entry, listing, offers, settings
from tests.test_turns import a_loop
from thornshelf import placement as api
from thornshelf.core import Dispatcher, EndpointListUpdate, NodeEndpoint
from thornshelf.core.ports import NodeConnection
from thornshelf.placement.placer import Placer

WINDOW_S, SLOW_START_S = 3.0, 14.0
STARTED_MACHINE = 7
COUNTS = [(count, budget) for count in (1, 2, 16, 20, 30, 64, 230) for budget in (5, 29, 51, 59, 119, 300)]


class PlacerFleet:
    """Placers that send the machine in slow start as many attempts as each may, on demand."""

    def __init__(self, count: int, budget: float) -> None:
        self.count = count
        self.budget = budget
        self.sent: list[float] = []  # when each attempt was started
        self.requested = 0
        self.machines: tuple[api.Endpoint, ...] = ()
        self.placers = [self.start(me) for me in range(count)]

    def start(self, me: int) -> Placer:
        rules = {
            "slow_start_attempts": float(self.budget),
            "slow_start_window_s": WINDOW_S,
            "slow_start_s": SLOW_START_S,
        }
        return Placer(settings(me=me, placers=self.count, **rules), me)

    def update_endpoints(self, now: float, *machines: api.Endpoint, complete: bool = True) -> None:
        self.machines = machines
        for one in self.placers:
            one.handle(now, [listing(*machines, complete=complete)])

    def send(self, now: float) -> None:
        """Have each placer use up its quota now."""
        for one in self.placers:
            while True:
                self.requested += 1
                if not offers(one.handle(now, [ask(self.requested, cores=0.001, memory=0.001)])):
                    break
                self.sent.append(now)

    def restart(self, now: float, numbers: range) -> None:
        for me in numbers:
            self.placers[me] = self.start(me)
            self.placers[me].handle(now, [listing(*self.machines)])

    def max_in_window(self) -> int:
        """Return the most attempts in any window of the rule's length."""
        return max((sum(at <= one < at + WINDOW_S for one in self.sent) for at in set(self.sent)), default=0)


def tolerated(budget: float) -> float:
    """Return the number that the operators still attribute to chance."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


def up(started_at: float) -> api.Endpoint:
    return entry(STARTED_MACHINE, started_at=started_at)


@pytest.mark.parametrize(("count", "budget"), COUNTS)
def test_the_sum_of_all_quotas_is_within_the_budget(count: int, budget: int) -> None:
    """Sent at the end of one slot and the start of the next: remainders of both must not add up to a full quota."""
    for first in (1003.3, 1003.5, 1006.0, 1007.9):  # slots begin at 1003.5 and 1008
        fleet = PlacerFleet(count, budget)
        fleet.update_endpoints(990.0)
        fleet.update_endpoints(first, up(first - 0.1))
        for step in (0.0, 0.2, 1.5, 3.0, 4.4, 4.6, 6.0):
            fleet.send(first + step)
        assert fleet.max_in_window() <= budget
        if budget >= 2 * count:
            assert fleet.max_in_window() >= budget - count  # and the quota is usable


@pytest.mark.parametrize(("count", "budget"), COUNTS)
@pytest.mark.parametrize("share", [0.1, 0.7, 1.0])
def test_a_restarted_placer_does_not_use_its_quota_twice(count: int, budget: int, share: float) -> None:
    """Guards against a node overloaded by dispatchers that are killed at once as a release begins."""
    fleet = PlacerFleet(count, budget)
    fleet.update_endpoints(990.0)
    fleet.update_endpoints(1001.0, up(1000.9))
    fleet.send(1001.0)
    fleet.restart(1002.0, range(math.ceil(share * count)))
    for at in (1002.0, 1003.0, 1003.9):
        fleet.send(at)
    assert fleet.max_in_window() <= tolerated(budget)
    fleet.send(1006.0)  # later its share is its own
    assert fleet.max_in_window() <= tolerated(budget)
    assert budget < count or fleet.sent[-1] == 1006.0


def test_a_first_start_among_warm_machines_delays_nothing() -> None:
    fleet = PlacerFleet(1, 51)
    fleet.update_endpoints(1000.0, up(0.0))
    fleet.restart(1000.1, range(1))
    fleet.placers[0].handle(1000.1, [ask(5)])
    (made,) = offers(fleet.placers[0].handle(1000.2, [ask(6)]))
    assert made.machine == STARTED_MACHINE


def test_attempts_before_a_start_was_listed_count_as_well() -> None:
    """Guards against a second quota: the machine's process is new since the time of its start."""
    fleet = PlacerFleet(4, 40)
    fleet.update_endpoints(990.0, up(0.0))
    for one in fleet.placers:
        for number in range(10):
            fleet.requested += 1
            made = offers(one.handle(1001.0 + number / 100, [ask(fleet.requested, cores=0.01, memory=0.01)]))
            fleet.sent += [1001.0] * len(made)
    assert fleet.max_in_window() == 40
    fleet.update_endpoints(1002.0, up(1000.9), complete=False)  # listed a second late
    fleet.send(1002.0)
    fleet.send(1003.5)
    assert fleet.max_in_window() == 40


def test_all_processes_partition_by_one_clock_whenever_each_has_started() -> None:
    """Guards against slots that come at the same time for all: each counted them from its own start."""

    def no_node(machine: int, entry: NodeEndpoint, core: Dispatcher) -> NodeConnection:
        raise AssertionError

    cores, offset = [], time.time_ns() // 1000 - time.monotonic_ns() // 1000
    for later_us in (0, 7_300_000):
        loop, clock = a_loop()
        clock.ns = time.monotonic_ns() + later_us * 1000
        loop.turn(True)
        core = Dispatcher(loop, settings(), 1, no_node, lambda *_: None, unix_offset_us=offset)
        core.update_endpoints(EndpointListUpdate(True, 1, ()))
        cores.append((core, loop.now))
    (one, at), (other, _) = cores
    assert one.unix_seconds(at) == other.unix_seconds(at) == (at + offset) / 1e6
    assert all(
        core.unix_seconds(core.placement.loop_us(at_s)) >= at_s
        for core, _ in cores
        for at_s in (one.unix_seconds(at) + k * 0.0137 for k in range(200))
    )
