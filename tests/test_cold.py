"""What all dispatchers together send a node that has just come up, whatever their number and whoever restarts."""

from __future__ import annotations

import math
import time

import pytest

from tests.conftest import ask, entry, listing, offers, settings
from tests.test_turns import a_loop
from thornshelf.core import Dispatcher, EndpointListUpdate, NodeEndpoint
from thornshelf.core.ports import NodeConnection
from thornshelf.placement import interface as api
from thornshelf.placement.placer import Placer

FALL_S, COLD_S = 3.0, 14.0
COLD = 7  # the machine
COUNTS = [(count, budget) for count in (1, 2, 16, 20, 30, 64, 230) for budget in (5, 29, 51, 59, 119, 300)]


class Fleet:
    """Placers that send the cold machine all that each may, whenever they are let."""

    def __init__(self, count: int, budget: float) -> None:
        self.count, self.budget, self.sent, self.asked = count, budget, list[float](), 0
        self.machines: tuple[api.Endpoint, ...] = ()
        self.placers = [self.born(me) for me in range(count)]

    def born(self, me: int) -> Placer:
        rules = {
            "slow_start_attempts": float(self.budget),
            "slow_start_window_s": FALL_S,
            "slow_start_s": COLD_S,
        }
        return Placer(settings(me=me, placers=self.count, **rules), me)

    def told(self, now: float, *machines: api.Endpoint, complete: bool = True) -> None:
        self.machines = machines
        for one in self.placers:
            one.handle(now, [listing(*machines, complete=complete)])

    def send(self, now: float) -> None:
        """Each uses up what it may send now."""
        for one in self.placers:
            while True:
                self.asked += 1
                if not offers(one.handle(now, [ask(self.asked, cores=0.001, memory=0.001)])):
                    break
                self.sent.append(now)

    def restart(self, now: float, mes: range) -> None:
        for me in mes:
            self.placers[me] = self.born(me)
            self.placers[me].handle(now, [listing(*self.machines)])

    def most(self) -> int:
        """In any window of the rule's length."""
        return max((sum(at <= one < at + FALL_S for one in self.sent) for at in set(self.sent)), default=0)


def chance(budget: float) -> float:
    """What the operators put down to chance."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


def up(started: float) -> api.Endpoint:
    return entry(COLD, started_at=started)


@pytest.mark.parametrize(("count", "budget"), COUNTS)
def test_the_sum_of_all_shares_is_within_the_budget(count: int, budget: int) -> None:
    """Sent at the end of one slot and the start of the next: what is dealt in each may not add to a full share."""
    for first in (1003.3, 1003.5, 1006.0, 1007.9):  # slots begin at 1003.5 and 1008
        fleet = Fleet(count, budget)
        fleet.told(990.0)
        fleet.told(first, up(first - 0.1))
        for step in (0.0, 0.2, 1.5, 3.0, 4.4, 4.6, 6.0):
            fleet.send(first + step)
        assert fleet.most() <= budget
        if budget >= 2 * count:
            assert fleet.most() >= budget - count  # and it is not kept from work


@pytest.mark.parametrize(("count", "budget"), COUNTS)
@pytest.mark.parametrize("share", [0.1, 0.7, 1.0])
def test_a_new_process_does_not_send_again_what_the_one_before_has_sent(
    count: int, budget: int, share: float
) -> None:
    """Guards against a node pushed over by dispatchers that are killed at once as a release begins."""
    fleet = Fleet(count, budget)
    fleet.told(990.0)
    fleet.told(1001.0, up(1000.9))
    fleet.send(1001.0)
    fleet.restart(1002.0, range(math.ceil(share * count)))
    for at in (1002.0, 1003.0, 1003.9):
        fleet.send(at)
    assert fleet.most() <= chance(budget)
    fleet.send(1006.0)  # later its share is its own
    assert fleet.most() <= chance(budget)
    assert budget < count or fleet.sent[-1] == 1006.0


def test_a_first_start_among_warm_nodes_holds_nothing_back() -> None:
    fleet = Fleet(1, 51)
    fleet.told(1000.0, up(0.0))
    fleet.restart(1000.1, range(1))
    fleet.placers[0].handle(1000.1, [ask(5)])
    (made,) = offers(fleet.placers[0].handle(1000.2, [ask(6)]))
    assert made.machine == COLD


def test_offers_before_a_start_was_told_count_as_well() -> None:
    """Guards against a second share: the process at that address is new for as long as its start says."""
    fleet = Fleet(4, 40)
    fleet.told(990.0, up(0.0))
    for one in fleet.placers:
        for number in range(10):
            fleet.asked += 1
            made = offers(one.handle(1001.0 + number / 100, [ask(fleet.asked, cores=0.01, memory=0.01)]))
            fleet.sent += [1001.0] * len(made)
    assert fleet.most() == 40
    fleet.told(1002.0, up(1000.9), complete=False)  # told a second late
    fleet.send(1002.0)
    fleet.send(1003.5)
    assert fleet.most() == 40


def test_all_processes_deal_by_one_clock_whenever_each_has_started() -> None:
    """Guards against turns that are dealt to all at once: each counted them from its own start."""

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
