"""Fleets of real processes with crashes, stops, partitions, packet loss and an unresponsive endpoint watch."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from thornshelf.lab.fleet_testbed import FleetTestbed, MemberProcess

TIMEOUT_S = 40.0  # of each wait


@pytest.fixture
def testbed(tmp_path: Path) -> Iterator[FleetTestbed]:
    testbed = FleetTestbed(7, True, None, 4, 3, tmp_path)
    testbed.start(*testbed.members)
    wait_until(testbed, testbed.agreed)
    yield testbed
    testbed.shut_down()


def wait_until(testbed: FleetTestbed, done: Callable[[], bool]) -> None:
    assert testbed.run_until(done, TIMEOUT_S) is not None, {one.name: one.states for one in testbed.members}


def read_logs(member: MemberProcess) -> str:
    return "".join(path.read_text(errors="replace") for path in member.logs)


def test_a_crash_is_detected_and_tasks_are_served_throughout(testbed: FleetTestbed) -> None:
    testbed.loading = True
    testbed.send_requests()
    testbed.kill(testbed.members[3])
    wait_until(testbed, testbed.agreed)
    testbed.start(testbed.members[3])
    wait_until(testbed, testbed.agreed)
    wait_until(
        testbed, lambda: sum(one.answers[:1] == ["placed"] for one in testbed.oracle.requests.values()) > 100
    )
    testbed.loading = False
    testbed.run_for(2.5)
    assert not testbed.oracle.duplicated()
    assert not testbed.oracle.lost(testbed.loop.now, 2_000_000)


def test_a_process_that_was_stopped_declares_nobody_dead(testbed: FleetTestbed) -> None:
    stopped = testbed.members[2]
    assert stopped.process is not None
    testbed.kill(stopped, number=signal.SIGSTOP)
    wait_until(testbed, testbed.agreed)  # the others declare it dead
    os.kill(stopped.process.process.pid, signal.SIGCONT)
    testbed.unavailable_members.discard(stopped.name)
    wait_until(testbed, testbed.agreed)
    assert 'after="dead"' not in read_logs(stopped)
    assert 'after="dead"' in read_logs(testbed.members[0])


def test_a_partition_heals(testbed: FleetTestbed) -> None:
    testbed.relays.cut = lambda sender, receiver: (sender < 2) != (receiver < 2)
    halves = {"m00", "m01"}, {"m02", "m03"}
    wait_until(testbed, lambda: all(one.live_names == halves[one.index >= 2] for one in testbed.members))
    testbed.relays.cut = lambda sender, receiver: False
    wait_until(testbed, testbed.agreed)


def test_of_two_processes_of_one_name_the_later_start_wins(testbed: FleetTestbed) -> None:
    """The earlier process logs the error and continues to serve."""
    earlier = testbed.members[1]
    testbed.kill(testbed.members[3])
    wait_until(testbed, testbed.agreed)
    later = MemberProcess(3)
    later.name, later.starts = "m01", 5  # at another address
    testbed.members.append(later)
    testbed.start(later)
    wait_until(testbed, lambda: 'code="TS4002"' in read_logs(earlier))
    assert "Give each process a name of its own" in read_logs(earlier)
    assert 'code="TS4002"' not in read_logs(later)
    assert earlier.process is not None
    assert earlier.process.process.poll() is None
    testbed.members.remove(later)
    assert later.process is not None
    later.process.terminate()


def test_a_drain_reaches_a_member_whose_endpoint_watch_is_unresponsive(testbed: FleetTestbed) -> None:
    testbed.endpoint_source.silent.add(2)
    wait_until(testbed, lambda: "silent" in read_logs(testbed.members[2]))
    testbed.endpoint_source.publish([testbed.endpoint(1, "terminating")])
    wait_until(testbed, lambda: "node-avoided" in read_logs(testbed.members[2]))
    assert 'node="s-00000002"' in read_logs(testbed.members[2])
    assert not any("node-avoided" in read_logs(testbed.members[index]) for index in (0, 1, 3))


def test_forged_and_replayed_datagrams_only_cost_a_log_line_and_a_counter(testbed: FleetTestbed) -> None:
    testbed.relays.is_recording = True
    wait_until(testbed, lambda: len(testbed.relays.recorded) > 20)
    testbed.relays.is_recording = False
    for receiver, data in testbed.relays.recorded:
        testbed.relays.deliver(receiver, data)
        testbed.relays.deliver(receiver, data[:-1] + bytes((data[-1] ^ 1,)))
    for reason in ("replayed", "forged"):
        wait_until(testbed, lambda reason=reason: f'reason="{reason}"' in read_logs(testbed.members[0]))  # type: ignore[misc]
    assert read_logs(testbed.members[0]).count(" datagram-rejected ") <= 4
    wait_until(testbed, testbed.agreed)


def test_a_member_that_shuts_down_gracefully_has_left(testbed: FleetTestbed) -> None:
    leaver = testbed.members[3]
    testbed.kill(leaver, number=signal.SIGTERM)
    wait_until(testbed, lambda: all(one.states.get("m03") == "left" for one in testbed.members[:3]))
    assert leaver.process is not None
    wait_until(testbed, lambda: leaver.process.process.poll() is not None)  # type: ignore[union-attr]
    assert leaver.process.process.poll() == 0


# fleets of other sizes and starts


@pytest.fixture
def make_testbed(tmp_path: Path) -> Iterator[Callable[[int], FleetTestbed]]:
    made: list[FleetTestbed] = []

    def create(members: int) -> FleetTestbed:
        made.append(FleetTestbed(7, True, None, members, 2, tmp_path))
        return made[-1]

    yield create
    for testbed in made:
        testbed.shut_down()


def test_ten_members_join_at_once_through_one_seed_that_then_crashes(
    make_testbed: Callable[[int], FleetTestbed],
) -> None:
    testbed = make_testbed(11)
    testbed.seeds = 1
    testbed.start(testbed.members[0])
    testbed.start(*testbed.members[1:])
    # Groups that know of each other only through the seed cannot find each other once it has crashed. So the crash
    # comes as soon as what the others know of each other connects all of them.
    wait_until(testbed, lambda: are_connected(testbed.members[1:]))
    testbed.kill(testbed.members[0])
    wait_until(testbed, testbed.agreed)
    assert testbed.members[5].live_names == {f"m{index:02d}" for index in range(1, 11)}


def are_connected(members: list[MemberProcess]) -> bool:
    """Return whether all members can be reached from the first one through members that know each other."""
    unreached = {one.name: one for one in members[1:]}
    reached = [members[0]]
    for one in reached:
        found = [
            other
            for other in unreached.values()
            if other.name in one.live_names or one.name in other.live_names
        ]
        reached += found
        for other in found:
            del unreached[other.name]
    return not unreached


def test_seeds_that_are_down_at_a_start_are_contacted_until_they_are_up(
    make_testbed: Callable[[int], FleetTestbed],
) -> None:
    testbed = make_testbed(4)
    testbed.unavailable_members = {"m00", "m01"}
    testbed.start(*testbed.members[2:])
    testbed.run_for(1.0)
    assert testbed.members[2].live_names == {"m02"}
    testbed.start(*testbed.members[:2])
    wait_until(testbed, testbed.agreed)


def test_a_crash_is_detected_through_loss_duplicates_and_reordering_and_all_agree_once_the_links_work(
    make_testbed: Callable[[int], FleetTestbed],
) -> None:
    """False detections are tested in simulated time, because here they depend on the load of the machine."""
    testbed = make_testbed(6)
    testbed.start(*testbed.members)
    wait_until(testbed, testbed.agreed)
    testbed.relays.loss_fraction, testbed.relays.duplicate_fraction, testbed.relays.max_delay_us = (
        0.3,
        0.3,
        40_000,
    )
    testbed.relays.cut = lambda sender, receiver: (sender, receiver) == (1, 2)
    testbed.kill(testbed.members[5])
    wait_until(testbed, lambda: all(one.states.get("m05") == "dead" for one in testbed.members[:5]))
    testbed.relays.loss_fraction = testbed.relays.duplicate_fraction = 0.0
    testbed.relays.cut = lambda sender, receiver: False
    wait_until(testbed, testbed.agreed)


def test_members_agree_after_nearly_all_restarted_within_seconds(
    make_testbed: Callable[[int], FleetTestbed],
) -> None:
    testbed = make_testbed(8)
    testbed.start(*testbed.members)
    wait_until(testbed, testbed.agreed)
    for member in testbed.members[1:]:
        testbed.kill(member)
        testbed.start(member)  # within the suspicion timeout, so the others know it by its former instance id
    wait_until(testbed, testbed.agreed)
    assert all(member.live_names == {f"m{index:02d}" for index in range(8)} for member in testbed.members)


def test_a_member_under_a_new_name_replaces_the_former_owner_of_its_address(
    make_testbed: Callable[[int], FleetTestbed],
) -> None:
    testbed = make_testbed(3)
    testbed.start(*testbed.members)
    wait_until(testbed, testbed.agreed)
    old = testbed.members[2]
    testbed.kill(old)
    testbed.members[2] = new = MemberProcess(2)
    new.name = "other"
    testbed.start(new)
    expected = {"m00", "m01", "other"}
    wait_until(testbed, lambda: all(one.live_names == expected for one in testbed.members))


def test_a_partition_in_three_parts_longer_than_the_retention_heals(
    make_testbed: Callable[[int], FleetTestbed],
) -> None:
    testbed = make_testbed(6)
    testbed.fleet_settings = "remember_s = 10\n"
    testbed.start(*testbed.members)
    wait_until(testbed, testbed.agreed)
    testbed.relays.cut = lambda sender, receiver: sender // 2 != receiver // 2
    wait_until(
        testbed, lambda: all(len(one.states) and "unknown" in one.states.values() for one in testbed.members)
    )
    testbed.relays.cut = lambda sender, receiver: False
    wait_until(testbed, testbed.agreed)


def test_members_of_two_versions_go_on_serving_and_log_that_they_do_not_see_each_other(
    make_testbed: Callable[[int], FleetTestbed],
) -> None:
    testbed = make_testbed(3)
    testbed.start(*testbed.members[:2])
    testbed.start(testbed.members[2], injected_fault="newer")
    same_version = {"m00", "m01"}
    wait_until(testbed, lambda: all(one.live_names == same_version for one in testbed.members[:2]))
    wait_until(
        testbed, lambda: 'code="TS4013"' in read_logs(testbed.members[0]) + read_logs(testbed.members[1])
    )
    assert testbed.members[2].live_names == {"m02"}
    testbed.loading = True
    testbed.send_requests()

    def served() -> set[int]:
        return {uid >> 40 for uid, one in testbed.oracle.requests.items() if one.answers[:1] == ["placed"]}

    wait_until(testbed, lambda: served() == {1, 2, 3})
    testbed.kill(testbed.members[2])
    testbed.start(testbed.members[2])
    wait_until(testbed, testbed.agreed)  # it has the same version now


def test_a_restart_within_the_suspicion_timeout_with_the_clock_stepped_back(testbed: FleetTestbed) -> None:
    restarted = testbed.members[2]
    testbed.kill(restarted)
    testbed.start(restarted, injected_fault="clock-back")  # before the others can declare it dead
    wait_until(testbed, testbed.agreed)
    assert testbed.members[2].starts == 2
    assert "TS4002" not in read_logs(restarted)
    testbed.kill(restarted)
    wait_until(testbed, testbed.agreed)
    testbed.start(restarted)  # without the clock step
    wait_until(testbed, testbed.agreed)


@pytest.mark.parametrize("stopped_s", [1.0, 20.0])
def test_a_process_that_is_stopped_for_a_while_declares_nobody_dead_as_it_resumes(
    testbed: FleetTestbed, stopped_s: float
) -> None:
    stopped = testbed.members[1]
    assert stopped.process is not None
    testbed.kill(stopped, number=signal.SIGSTOP)
    testbed.run_for(stopped_s)
    os.kill(stopped.process.process.pid, signal.SIGCONT)
    testbed.unavailable_members.discard(stopped.name)
    wait_until(testbed, testbed.agreed)
    assert 'after="dead"' not in read_logs(stopped)


def test_all_agree_after_a_link_that_worked_one_way_only(testbed: FleetTestbed) -> None:
    testbed.relays.cut = lambda sender, receiver: (sender, receiver) == (1, 2)
    testbed.run_for(6.0)
    # Indirect probes keep both members alive.
    wait_until(
        testbed, lambda: "m02" in testbed.members[1].live_names and "m01" in testbed.members[2].live_names
    )
    testbed.relays.cut = lambda sender, receiver: False
    wait_until(testbed, testbed.agreed)
