"""Several processes of the program, with crashes, stops, cut links and a silent endpoint watch."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from thornshelf.lab.fleet_testbed import FleetTestbed, MemberProcess

TIMEOUT_S = 40.0  # of every wait


@pytest.fixture
def world(tmp_path: Path) -> Iterator[FleetTestbed]:
    found = FleetTestbed(7, True, None, 4, 3, tmp_path)
    found.start(*found.members)
    wait_until(found, found.agreed)
    yield found
    found.end()


def wait_until(world: FleetTestbed, done: Callable[[], bool]) -> None:
    assert world.until(done, TIMEOUT_S) is not None, {one.name: one.states for one in world.members}


def read_logs(member: MemberProcess) -> str:
    return "".join(path.read_text(errors="replace") for path in member.logs)


def test_a_crash_is_detected_and_tasks_are_served_throughout(world: FleetTestbed) -> None:
    world.loading = True
    world.load()
    world.kill(world.members[3])
    wait_until(world, world.agreed)
    world.start(world.members[3])
    wait_until(world, world.agreed)
    wait_until(world, lambda: sum(one.answers[:1] == ["placed"] for one in world.truth.asked.values()) > 100)
    world.loading = False
    world.rest(2.5)
    assert not world.truth.doubled()
    assert not world.truth.lost(world.loop.now, 2_000_000)


def test_a_process_that_was_stopped_declares_nobody_dead(world: FleetTestbed) -> None:
    stopped = world.members[2]
    assert stopped.process is not None
    world.kill(stopped, number=signal.SIGSTOP)
    wait_until(world, world.agreed)  # the others declare it dead
    os.kill(stopped.process.process.pid, signal.SIGCONT)
    world.absent.discard(stopped.name)
    wait_until(world, world.agreed)
    assert 'after="dead"' not in read_logs(stopped)
    assert 'after="dead"' in read_logs(world.members[0])


def test_a_partition_heals(world: FleetTestbed) -> None:
    world.relays.cut = lambda sender, receiver: (sender < 2) != (receiver < 2)
    halves = {"m00", "m01"}, {"m02", "m03"}
    wait_until(world, lambda: all(one.live == halves[one.index >= 2] for one in world.members))
    world.relays.cut = lambda sender, receiver: False
    wait_until(world, world.agreed)


def test_of_two_processes_of_one_name_the_later_start_wins(world: FleetTestbed) -> None:
    """The earlier one logs the error, and goes on serving."""
    earlier = world.members[1]
    world.kill(world.members[3])
    wait_until(world, world.agreed)
    later = MemberProcess(3)
    later.name, later.starts = "m01", 5  # at another address
    world.members.append(later)
    world.start(later)
    wait_until(world, lambda: 'code="TS4002"' in read_logs(earlier))
    assert "Give each process a name of its own" in read_logs(earlier)
    assert 'code="TS4002"' not in read_logs(later)
    assert earlier.process is not None
    assert earlier.process.process.poll() is None
    world.members.remove(later)
    assert later.process is not None
    later.process.terminate()


def test_a_drain_reaches_the_one_whose_endpoint_watch_is_silent(world: FleetTestbed) -> None:
    world.keeper.silent.add(2)
    wait_until(world, lambda: "silent" in read_logs(world.members[2]))
    world.keeper.publish([world.entry(1, "terminating")])
    wait_until(world, lambda: "node-avoided" in read_logs(world.members[2]))
    assert 'node="s-00000002"' in read_logs(world.members[2])
    assert not any("node-avoided" in read_logs(world.members[index]) for index in (0, 1, 3))


def test_forged_and_replayed_datagrams_only_cost_a_log_line_and_a_counter(world: FleetTestbed) -> None:
    world.relays.keep = True
    wait_until(world, lambda: len(world.relays.kept) > 20)
    world.relays.keep = False
    for receiver, data in world.relays.kept:
        world.relays.deliver(receiver, data)
        world.relays.deliver(receiver, data[:-1] + bytes((data[-1] ^ 1,)))
    for reason in ("replayed", "forged"):
        wait_until(world, lambda reason=reason: f'reason="{reason}"' in read_logs(world.members[0]))  # type: ignore[misc]
    assert read_logs(world.members[0]).count(" datagram-rejected ") <= 4
    wait_until(world, world.agreed)


def test_a_member_that_shuts_down_gracefully_has_left(world: FleetTestbed) -> None:
    leaver = world.members[3]
    world.kill(leaver, number=signal.SIGTERM)
    wait_until(world, lambda: all(one.states.get("m03") == "left" for one in world.members[:3]))
    assert leaver.process is not None
    wait_until(world, lambda: leaver.process.process.poll() is not None)  # type: ignore[union-attr]
    assert leaver.process.process.poll() == 0


# fleets of other sizes and starts


@pytest.fixture
def make(tmp_path: Path) -> Iterator[Callable[[int], FleetTestbed]]:
    made: list[FleetTestbed] = []

    def one(members: int) -> FleetTestbed:
        made.append(FleetTestbed(7, True, None, members, 2, tmp_path))
        return made[-1]

    yield one
    for world in made:
        world.end()


def test_ten_members_join_at_once_through_one_seed_that_then_crashes(
    make: Callable[[int], FleetTestbed],
) -> None:
    world = make(11)
    world.seeds = 1
    world.start(world.members[0])
    world.start(*world.members[1:])
    # A member that knows nobody but a seed which crashes at that moment finds nobody: each has to know one other.
    wait_until(world, lambda: all(one.live - {"m00", one.name} for one in world.members[1:]))
    world.kill(world.members[0])
    wait_until(world, world.agreed)
    assert world.members[5].live == {f"m{index:02d}" for index in range(1, 11)}


def test_seeds_that_are_down_at_a_start_are_contacted_until_they_are_up(
    make: Callable[[int], FleetTestbed],
) -> None:
    world = make(4)
    world.absent = {"m00", "m01"}
    world.start(*world.members[2:])
    world.rest(1.0)
    assert world.members[2].live == {"m02"}
    world.start(*world.members[:2])
    wait_until(world, world.agreed)


def test_a_crash_is_detected_through_loss_duplicates_and_reordering_and_all_agree_once_the_links_work(
    make: Callable[[int], FleetTestbed],
) -> None:
    """That nobody else is declared dead is tested in virtual time, where it does not depend on the machine's load."""
    world = make(6)
    world.start(*world.members)
    wait_until(world, world.agreed)
    world.relays.loss, world.relays.doubles, world.relays.late_us = 0.3, 0.3, 40_000
    world.relays.cut = lambda sender, receiver: (sender, receiver) == (1, 2)
    world.kill(world.members[5])
    wait_until(world, lambda: all(one.states.get("m05") == "dead" for one in world.members[:5]))
    world.relays.loss = world.relays.doubles = 0.0
    world.relays.cut = lambda sender, receiver: False
    wait_until(world, world.agreed)


def test_nearly_all_restarted_within_seconds(make: Callable[[int], FleetTestbed]) -> None:
    world = make(8)
    world.start(*world.members)
    wait_until(world, world.agreed)
    for member in world.members[1:]:
        world.kill(member)
        world.start(member)  # within the suspicion timeout: its name is known, with another instance id
    wait_until(world, world.agreed)
    assert all(member.live == {f"m{index:02d}" for index in range(8)} for member in world.members)


def test_a_member_under_a_new_name_at_the_address_of_another(make: Callable[[int], FleetTestbed]) -> None:
    world = make(3)
    world.start(*world.members)
    wait_until(world, world.agreed)
    old = world.members[2]
    world.kill(old)
    world.members[2] = new = MemberProcess(2)
    new.name = "other"
    world.start(new)
    there = {"m00", "m01", "other"}
    wait_until(world, lambda: all(one.live == there for one in world.members))


def test_a_partition_in_three_parts_longer_than_the_retention_heals(
    make: Callable[[int], FleetTestbed],
) -> None:
    world = make(6)
    world.more = "remember_s = 10\n"
    world.start(*world.members)
    wait_until(world, world.agreed)
    world.relays.cut = lambda sender, receiver: sender // 2 != receiver // 2
    wait_until(
        world, lambda: all(len(one.states) and "unknown" in one.states.values() for one in world.members)
    )
    world.relays.cut = lambda sender, receiver: False
    wait_until(world, world.agreed)


def test_members_of_two_versions_go_on_serving_and_log_that_they_do_not_see_each_other(
    make: Callable[[int], FleetTestbed],
) -> None:
    found = make(3)
    found.start(*found.members[:2])
    found.start(found.members[2], odd="newer")
    both = {"m00", "m01"}
    wait_until(found, lambda: all(one.live == both for one in found.members[:2]))
    wait_until(found, lambda: 'code="TS4013"' in read_logs(found.members[0]) + read_logs(found.members[1]))
    assert found.members[2].live == {"m02"}
    found.loading = True
    found.load()

    def served() -> set[int]:
        return {uid >> 40 for uid, one in found.truth.asked.items() if one.answers[:1] == ["placed"]}

    wait_until(found, lambda: served() == {1, 2, 3})
    found.kill(found.members[2])
    found.start(found.members[2])
    wait_until(found, found.agreed)  # now that it is of their version


def test_a_restart_within_the_suspicion_timeout_with_the_clock_stepped_back(world: FleetTestbed) -> None:
    one = world.members[2]
    world.kill(one)
    world.start(one, odd="clock-back")  # before the others can declare it dead
    wait_until(world, world.agreed)
    assert world.members[2].starts == 2
    assert "TS4002" not in read_logs(one)
    world.kill(one)
    wait_until(world, world.agreed)
    world.start(one)  # and the clock comes forward again
    wait_until(world, world.agreed)


@pytest.mark.parametrize("away_s", [1.0, 20.0])
def test_a_process_that_is_stopped_for_a_while_declares_nobody_dead_as_it_resumes(
    world: FleetTestbed, away_s: float
) -> None:
    stopped = world.members[1]
    assert stopped.process is not None
    world.kill(stopped, number=signal.SIGSTOP)
    world.rest(away_s)
    os.kill(stopped.process.process.pid, signal.SIGCONT)
    world.absent.discard(stopped.name)
    wait_until(world, world.agreed)
    assert 'after="dead"' not in read_logs(stopped)


def test_all_agree_after_a_link_that_worked_one_way_only(world: FleetTestbed) -> None:
    world.relays.cut = lambda sender, receiver: (sender, receiver) == (1, 2)
    world.rest(6.0)
    wait_until(
        world, lambda: "m02" in world.members[1].live and "m01" in world.members[2].live
    )  # by indirect probes
    world.relays.cut = lambda sender, receiver: False
    wait_until(world, world.agreed)
