"""The record's frames and the recovery plan: cuts and damage at each byte, and words that contradict one another."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from thornshelf.cli import cli
from thornshelf.wal import entries as rec
from thornshelf.wal.recovery_plan import (
    AdoptTask,
    BlockKey,
    FleetSnapshot,
    NodeAnswer,
    QueryNode,
    RecoveredState,
    RecoveredTask,
    Resolution,
    SendRelease,
    TaskStatus,
    plan_recovery,
    replay,
    resolve,
)

NODE = "s-1"
STANDS = rec.TaskRunning(
    5, 50, 50, "ledger-batch", "hollis-county", 7, 6.0, 14.0, None, NODE, "10.1.0.1", 1_000
)
LIFE: list[rec.AnyEntry] = [
    rec.ProcessStarted(3, 500),
    rec.AttemptIntent(5, 50, "ledger-batch", NODE, 900),
    STANDS,
    rec.ReleasePending(50, "10.1.0.1", 1, 0, 2_000),
    rec.ReleaseDone(50),
    rec.CleanShutdown(),
]
FLEET = FleetSnapshot(frozenset({NODE, "s-2"}), frozenset({NODE}))
FIXED = settings(derandomize=True, max_examples=80, deadline=None)


def whole(data: bytes) -> tuple[list[rec.AnyEntry], rec.TornTail | None]:
    found, torn = [], None
    for one in rec.read_frames(data):
        if isinstance(one, rec.TornTail):
            torn = one
        else:
            found.append(one[1])
    return found, torn


def test_what_was_written_is_read() -> None:
    assert whole(b"".join(map(rec.encode_frame, LIFE))) == (LIFE, None)
    with pytest.raises(ValueError):
        rec.encode_frame(rec.ReleasePending(1, "x" * 70_000, 1, 0, 0))


def test_a_record_cut_at_any_byte_loses_its_tail_and_nothing_else() -> None:
    frames = list(map(rec.encode_frame, LIFE))
    data, ends = b"".join(frames), [sum(map(len, frames[:n])) for n in range(len(frames) + 1)]
    for cut in range(len(data) + 1):
        found, torn = whole(data[:cut])
        count = max(n for n, end in enumerate(ends) if end <= cut)
        assert found == LIFE[:count] and (torn is None) == (cut in ends)
        assert torn is None or torn.offset == ends[count]


@FIXED
@given(st.data())
def test_a_damaged_byte_never_makes_another_entry(data: st.DataObject) -> None:
    frames = list(map(rec.encode_frame, LIFE))
    whole_data = bytearray(b"".join(frames))
    at = data.draw(st.integers(0, len(whole_data) - 1))
    whole_data[at] ^= data.draw(st.integers(1, 255))
    found, torn = whole(bytes(whole_data))
    damaged = next(n for n in range(len(frames)) if at < sum(map(len, frames[: n + 1])))
    assert found == LIFE[:damaged] and torn is not None


@FIXED
@given(st.binary(max_size=300))
def test_garbage_is_no_record(data: bytes) -> None:
    for one in rec.read_frames(data):
        assert isinstance(one, rec.TornTail)


def test_a_newer_version_is_refused_and_named() -> None:
    payload = b"\x91\x63"
    head = rec._HEADER.pack(rec.MAGIC, 9, len(payload), rec._checksum(9, payload))
    with pytest.raises(rec.UnsupportedVersionError, match="version 9 at byte"):
        list(rec.read_frames(rec.encode_frame(LIFE[0]) + head + payload))


@pytest.mark.parametrize(
    ("count", "steps"),
    [
        (1, []),  # killed before the intent: nothing may run
        (2, [QueryNode(5, 50, NODE)]),  # between intent and offer, or offer and yes: the node tells
        (3, [AdoptTask(STANDS)]),  # between yes and end
        (4, [SendRelease(rec.ReleasePending(50, "10.1.0.1", 1, 0, 2_000))]),  # between end and release
        (5, []),
        (6, []),
    ],
)
def test_a_kill_at_each_point_of_a_life(count: int, steps: list[object]) -> None:
    memory = replay(LIFE[:count])
    assert plan_recovery(memory, FLEET, 3_000, 30_000) == steps
    assert memory.clean_shutdown == (count == 6) and memory.epoch == 3
    assert (
        plan_recovery(replay(memory.snapshot()), FLEET, 3_000, 30_000) == steps
    )  # a compaction changes nothing
    assert replay(memory.snapshot()).clean_shutdown == memory.clean_shutdown


def test_an_attempt_that_never_ran_frees_the_name_and_one_that_may_have_does_not() -> None:
    intent = rec.AttemptIntent(5, 50, "ledger-batch", "s-2", 900)
    assert replay([intent, rec.AttemptEnded(5, 50, True)]).by_uid == {}
    memory = replay([intent, rec.AttemptEnded(5, 50, False)])
    assert plan_recovery(memory, FLEET, 1_000, 30_000) == [BlockKey(5, 50, 30_900)]  # s-2 can't be asked
    assert plan_recovery(memory, FLEET, 31_000, 30_000) == []  # long after, it is another task


def test_nodes_that_are_gone_or_began_anew() -> None:
    gone = FleetSnapshot(frozenset({"s-2"}))
    assert plan_recovery(replay([STANDS]), gone, 3_000, 30_000) == [
        SendRelease(rec.ReleasePending(50, "10.1.0.1", 5, 0, 3_000))
    ]
    anew = FleetSnapshot(frozenset({NODE}), frozenset({NODE}), {NODE: 2_500})
    assert isinstance(plan_recovery(replay([STANDS]), anew, 3_000, 30_000)[0], SendRelease)
    assert plan_recovery(replay(LIFE[:2]), anew, 3_000, 30_000) == [BlockKey(5, 50, 30_900)]


def test_a_clock_that_stepped_back() -> None:
    late = rec.AttemptIntent(5, 50, "ledger-batch", "s-2", 900_000)
    assert plan_recovery(replay([late]), FLEET, 1_000, 30_000) == [
        BlockKey(5, 50, 31_000)
    ]  # no longer than it may be


def test_a_second_id_of_one_name_and_releases_of_unknown_tasks() -> None:
    memory = replay(
        [
            rec.AttemptIntent(5, 50, "x", NODE, 1),
            rec.AttemptIntent(5, 51, "x", NODE, 2),
            rec.AttemptEnded(5, 50, True),
        ]
    )
    assert memory.by_key == {5: 51}
    assert replay([rec.ReleasePending(9, "h", 1, 0, 1)]).by_uid[9].status is TaskStatus.RELEASE_PENDING
    assert replay([rec.ReleaseDone(9)]).by_uid == {}


@pytest.mark.parametrize("status", list(TaskStatus))
@pytest.mark.parametrize("word", [None, *NodeAnswer])
@pytest.mark.parametrize("young", [False, True])
@pytest.mark.parametrize("handed", [None, NODE])
def test_the_order_of_trust(
    status: TaskStatus, word: NodeAnswer | None, young: bool, handed: str | None
) -> None:
    task = RecoveredTask(5, 50, status, NODE, since_us=1_000)
    verdict = resolve(task, word, 2_000 if young else 0, handed)
    if word is NodeAnswer.RUNNING:
        assert verdict is Resolution.ADOPT
    elif word is NodeAnswer.ENDED:
        assert verdict is Resolution.ENDED
    elif word is NodeAnswer.NEVER_RAN and not young:
        assert verdict is Resolution.START  # by the node's own word, whatever the record says
    elif handed:
        assert verdict is Resolution.ADOPT
    elif status is TaskStatus.UNCERTAIN:
        assert verdict is Resolution.UNCERTAIN  # never started on the record's word
    elif status is TaskStatus.RUNNING:
        assert verdict is (Resolution.ENDED if young else Resolution.ADOPT)
    else:
        assert verdict is Resolution.START
    assert resolve(None, None, 0) is Resolution.START


@FIXED
@given(
    st.lists(
        st.one_of(
            st.builds(
                rec.AttemptIntent,
                st.integers(1, 3),
                st.integers(1, 6),
                st.just("x"),
                st.just(NODE),
                st.integers(0, 99),
            ),
            st.builds(rec.AttemptEnded, st.integers(1, 3), st.integers(1, 6), st.booleans()),
            st.builds(
                rec.ReleasePending,
                st.integers(1, 6),
                st.just("h"),
                st.just(1),
                st.just(0),
                st.integers(0, 99),
            ),
            st.builds(rec.ReleaseDone, st.integers(1, 6)),
            st.just(rec.CleanShutdown()),
        ),
        max_size=30,
    )
)
def test_a_snapshot_folds_to_the_same_plan(found: list[rec.AnyEntry]) -> None:
    memory = replay(found)
    again = replay(memory.snapshot())
    assert plan_recovery(again, FLEET, 100, 1_000) == plan_recovery(memory, FLEET, 100, 1_000)
    assert all(memory.by_uid[uid].key == key for key, uid in memory.by_key.items())


def test_the_record_can_be_looked_at(tmp_path: Path) -> None:
    file, run = tmp_path / "record", CliRunner().invoke
    file.write_bytes(b"".join(map(rec.encode_frame, LIFE[:3])))
    said = run(cli, ["record", "inspect", str(file)])
    assert (
        said.exit_code == 0
        and "Intent(key=5" in said.output
        and "3 entries, epoch 3, {'stands': 1}" in said.output
    )
    file.write_bytes(file.read_bytes()[:-1])
    said = run(cli, ["record", "verify", str(file)])
    assert said.exit_code == 1 and "torn at byte" in said.output and "Intent" not in said.output
    payload = b"\x91\x63"
    file.write_bytes(rec._HEADER.pack(rec.MAGIC, 9, len(payload), rec._checksum(9, payload)) + payload)
    assert run(cli, ["record", "verify", str(file)]).exit_code == 2


def test_an_empty_record() -> None:
    assert (
        replay([]).snapshot() == [rec.ProcessStarted(0, 0), rec.CleanShutdown()]
        and plan_recovery(RecoveredState(), FLEET, 0, 1) == []
    )
