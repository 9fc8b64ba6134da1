"""Several processes of the program, with kills, stops, cut links and a silent change log between them."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from thornshelf.lab.fleet_testbed import FleetTestbed, MemberProcess

LIMIT_S = 40.0  # nothing waits longer


@pytest.fixture
def world(tmp_path: Path) -> Iterator[FleetTestbed]:
    found = FleetTestbed(7, True, None, 4, 3, tmp_path)
    found.start(*found.members)
    wait(found, found.agreed)
    yield found
    found.end()


def wait(world: FleetTestbed, done: Callable[[], bool]) -> None:
    assert world.until(done, LIMIT_S) is not None, {one.name: one.states for one in world.members}


def log(member: MemberProcess) -> str:
    return "".join(path.read_text(errors="replace") for path in member.logs)


def test_a_killed_one_is_found_and_comes_back_and_tasks_are_served_throughout(world: FleetTestbed) -> None:
    world.loading = True
    world.load()
    world.kill(world.members[3])
    wait(world, world.agreed)
    world.start(world.members[3])
    wait(world, world.agreed)
    wait(world, lambda: sum(one.answers[:1] == ["placed"] for one in world.truth.asked.values()) > 100)
    world.loading = False
    world.rest(2.5)
    assert not world.truth.doubled()
    assert not world.truth.lost(world.loop.now, 2_000_000)


def test_a_stopped_one_that_wakes_holds_nobody_for_dead(world: FleetTestbed) -> None:
    stopped = world.members[2]
    assert stopped.process is not None
    world.kill(stopped, number=signal.SIGSTOP)
    wait(world, world.agreed)  # the others hold it for dead
    os.kill(stopped.process.process.pid, signal.SIGCONT)
    world.absent.discard(stopped.name)
    wait(world, world.agreed)
    assert 'after="dead"' not in log(stopped)
    assert 'after="dead"' in log(world.members[0])


def test_a_partition_heals(world: FleetTestbed) -> None:
    world.relays.cut = lambda sender, receiver: (sender < 2) != (receiver < 2)
    halves = {"m00", "m01"}, {"m02", "m03"}
    wait(world, lambda: all(one.live == halves[one.index >= 2] for one in world.members))
    world.relays.cut = lambda sender, receiver: False
    wait(world, world.agreed)


def test_of_two_processes_of_one_name_the_later_start_wins(world: FleetTestbed) -> None:
    """By its error the earlier one says so, and goes on serving."""
    earlier, gone = world.members[1], world.members[3]
    world.kill(gone)
    wait(world, world.agreed)
    later = MemberProcess(3)
    later.name, later.starts = "m01", 5  # at another address
    world.members.append(later)
    world.start(later)
    wait(world, lambda: 'code="TS4002"' in log(earlier))
    assert "Give each process a name of its own" in log(earlier)
    assert 'code="TS4002"' not in log(later)
    assert earlier.process is not None and earlier.process.process.poll() is None
    world.members.remove(later)
    assert later.process is not None
    later.process.terminate()


def test_a_drain_reaches_the_one_whose_change_log_is_silent(world: FleetTestbed) -> None:
    world.keeper.silent.add(2)
    wait(world, lambda: "silent" in log(world.members[2]))
    world.keeper.publish([world.entry(1, "terminating")])
    wait(world, lambda: "kept-away" in log(world.members[2]))
    assert 'node="s-00000002"' in log(world.members[2])
    assert not any("kept-away" in log(world.members[index]) for index in (0, 1, 3))


def test_forged_and_replayed_datagrams_cost_a_line_and_a_counter(world: FleetTestbed) -> None:
    world.relays.keep = True
    wait(world, lambda: len(world.relays.kept) > 20)
    world.relays.keep = False
    for receiver, data in world.relays.kept:
        world.relays.deliver(receiver, data)
        world.relays.deliver(receiver, data[:-1] + bytes((data[-1] ^ 1,)))
    for reason in ("replayed", "forged"):
        wait(world, lambda reason=reason: f'reason="{reason}"' in log(world.members[0]))  # type: ignore[misc]
    assert log(world.members[0]).count(" datagram ") <= 4
    wait(world, world.agreed)


def test_a_member_that_leaves_in_order_is_held_for_left(world: FleetTestbed) -> None:
    leaver = world.members[3]
    world.kill(leaver, number=signal.SIGTERM)
    wait(world, lambda: all(one.states.get("m03") == "left" for one in world.members[:3]))
    assert leaver.process is not None
    wait(world, lambda: leaver.process.process.poll() is not None)  # type: ignore[union-attr]
    assert leaver.process.process.poll() == 0


# fleets of other sizes and beginnings


@pytest.fixture
def make(tmp_path: Path) -> Iterator[Callable[[int], FleetTestbed]]:
    made: list[FleetTestbed] = []

    def one(members: int) -> FleetTestbed:
        made.append(FleetTestbed(7, True, None, members, 2, tmp_path))
        return made[-1]

    yield one
    for world in made:
        world.end()


def test_ten_join_at_once_through_one_seed_that_then_dies(make: Callable[[int], FleetTestbed]) -> None:
    world = make(11)
    world.seeds = 1
    world.start(world.members[0])
    world.start(*world.members[1:])
    # One that has met nobody but a seed which dies in that moment can find nobody: each has to know one other.
    wait(world, lambda: all(one.live - {"m00", one.name} for one in world.members[1:]))
    world.kill(world.members[0])
    wait(world, world.agreed)
    assert world.members[5].live == {f"m{index:02d}" for index in range(1, 11)}


def test_all_seeds_dead_at_a_start_are_called_until_they_are_there(
    make: Callable[[int], FleetTestbed],
) -> None:
    world = make(4)
    world.absent = {"m00", "m01"}
    world.start(*world.members[2:])
    world.rest(1.0)
    assert world.members[2].live == {"m02"}
    world.start(*world.members[:2])
    wait(world, world.agreed)


def test_a_crash_is_found_through_loss_doubles_and_reordering_and_all_agree_once_the_links_are_well(
    make: Callable[[int], FleetTestbed],
) -> None:
    """That nobody is held for dead meanwhile is shown in virtual time, where it hangs on no machine's load."""
    world = make(6)
    world.start(*world.members)
    wait(world, world.agreed)
    world.relays.loss, world.relays.doubles, world.relays.late_us = 0.3, 0.3, 40_000
    world.relays.cut = lambda sender, receiver: (sender, receiver) == (1, 2)
    world.kill(world.members[5])
    wait(world, lambda: all(one.states.get("m05") == "dead" for one in world.members[:5]))
    world.relays.loss = world.relays.doubles = 0.0
    world.relays.cut = lambda sender, receiver: False
    wait(world, world.agreed)


def test_nearly_all_restarted_within_seconds(make: Callable[[int], FleetTestbed]) -> None:
    world = make(8)
    world.start(*world.members)
    wait(world, world.agreed)
    for member in world.members[1:]:
        world.kill(member)
        world.start(member)  # within the time to refute: its name is known, under another life
    wait(world, world.agreed)
    assert all(member.live == {f"m{index:02d}" for index in range(8)} for member in world.members)


def test_another_name_at_an_address_that_was_used(make: Callable[[int], FleetTestbed]) -> None:
    world = make(3)
    world.start(*world.members)
    wait(world, world.agreed)
    old = world.members[2]
    world.kill(old)
    world.members[2] = new = MemberProcess(2)
    new.name = "other"
    world.start(new)
    there = {"m00", "m01", "other"}
    wait(world, lambda: all(one.live == there for one in world.members))


def test_a_partition_in_three_parts_longer_than_the_time_to_forget_heals(
    make: Callable[[int], FleetTestbed],
) -> None:
    world = make(6)
    world.more = "remember_s = 10\n"
    world.start(*world.members)
    wait(world, world.agreed)
    world.relays.cut = lambda sender, receiver: sender // 2 != receiver // 2
    wait(world, lambda: all(len(one.states) and "unknown" in one.states.values() for one in world.members))
    world.relays.cut = lambda sender, receiver: False
    wait(world, world.agreed)


def test_members_of_two_versions_serve_on_and_say_that_they_do_not_see_each_other(
    make: Callable[[int], FleetTestbed],
) -> None:
    found = make(3)
    found.start(*found.members[:2])
    found.start(found.members[2], odd="newer")
    both = {"m00", "m01"}
    wait(found, lambda: all(one.live == both for one in found.members[:2]))
    wait(found, lambda: 'code="TS4013"' in log(found.members[0]) + log(found.members[1]))
    assert found.members[2].live == {"m02"}
    found.loading = True
    found.load()

    def served() -> set[int]:
        return {uid >> 40 for uid, one in found.truth.asked.items() if one.answers[:1] == ["placed"]}

    wait(found, lambda: served() == {1, 2, 3})
    found.kill(found.members[2])
    found.start(found.members[2])
    wait(found, found.agreed)  # once it is of their version


def test_a_restart_within_the_time_to_refute_with_the_clock_stepped_back(world: FleetTestbed) -> None:
    one = world.members[2]
    world.kill(one)
    world.start(one, odd="clock-back")  # before the others can hold it for dead
    wait(world, world.agreed)
    assert world.members[2].starts == 2 and "TS4002" not in log(one)
    world.kill(one)
    wait(world, world.agreed)
    world.start(one)  # and the clock comes forward again
    wait(world, world.agreed)


@pytest.mark.parametrize("away_s", [1.0, 20.0])
def test_one_that_is_stopped_for_a_while_holds_nobody_for_dead_when_it_wakes(
    world: FleetTestbed, away_s: float
) -> None:
    stopped = world.members[1]
    assert stopped.process is not None
    world.kill(stopped, number=signal.SIGSTOP)
    world.rest(away_s)
    os.kill(stopped.process.process.pid, signal.SIGCONT)
    world.absent.discard(stopped.name)
    wait(world, world.agreed)
    assert 'after="dead"' not in log(stopped)


def test_after_a_link_that_worked_one_way_all_agree(world: FleetTestbed) -> None:
    world.relays.cut = lambda sender, receiver: (sender, receiver) == (1, 2)
    world.rest(6.0)
    wait(
        world, lambda: "m02" in world.members[1].live and "m01" in world.members[2].live
    )  # others try for them
    world.relays.cut = lambda sender, receiver: False
    wait(world, world.agreed)
