"""The write-ahead log: truncated and damaged frames, and recovery from contradictory sources."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from thornshelf.cli import cli
from thornshelf.wal import entries as wal
from thornshelf.wal.recovered_state import RecoveredState, RecoveredTask, TaskStatus, replay
from thornshelf.wal.recovery_plan import (
    AdoptTask,
    BlockKey,
    EndpointSnapshot,
    QueryNode,
    SendRelease,
    plan_recovery,
)
from thornshelf.wal.resolution import NodeAnswer, Resolution, resolve

NODE = "s-1"
RETENTION_US = 30_000
RUNNING = wal.TaskRunning(
    key=5,
    uid=50,
    node_uid=50,
    task_class="ledger-batch",
    tenant="hollis-county",
    service=7,
    cores=6.0,
    memory=14.0,
    hint_us=None,
    node=NODE,
    peer="10.1.0.1",
    at_us=1_000,
)
RELEASE = wal.ReleasePending(50, "10.1.0.1", 1, 0, 2_000)
LIFECYCLE: list[wal.AnyEntry] = [
    wal.ProcessStarted(3, 500),
    wal.AttemptIntent(5, 50, "ledger-batch", NODE, 900),
    RUNNING,
    RELEASE,
    wal.ReleaseDone(50),
    wal.CleanShutdown(),
]
ENDPOINTS = EndpointSnapshot(listed=frozenset({NODE, "s-2"}), queryable=frozenset({NODE}))
FIXED = settings(derandomize=True, max_examples=80, deadline=None)


def read_all(data: bytes) -> tuple[list[wal.AnyEntry], wal.TornTail | None]:
    """Returns all entries, and the torn tail if there is one."""
    entries = []
    torn_tail = None
    for item in wal.read_frames(data):
        if isinstance(item, wal.TornTail):
            torn_tail = item
        else:
            entries.append(item.entry)
    return entries, torn_tail


def newer_frame() -> bytes:
    """Returns a frame of a version that this program does not know."""
    payload = b"\x91\x63"
    return wal._HEADER.pack(wal.MAGIC, 9, len(payload), wal._checksum(9, payload)) + payload


@pytest.fixture
def log_file(tmp_path: Path) -> Path:
    """A log file with the first three entries of ``LIFECYCLE``."""
    file = tmp_path / "record"
    file.write_bytes(b"".join(map(wal.encode_frame, LIFECYCLE[:3])))
    return file


def test_entries_are_unchanged_after_encoding_and_decoding() -> None:
    assert read_all(b"".join(map(wal.encode_frame, LIFECYCLE))) == (LIFECYCLE, None)
    with pytest.raises(ValueError):
        wal.encode_frame(wal.ReleasePending(50, "x" * 70_000, 1, 0, 0))


def test_a_log_truncated_at_any_byte_loses_only_its_incomplete_entry() -> None:
    frames = list(map(wal.encode_frame, LIFECYCLE))
    data = b"".join(frames)
    ends = [sum(map(len, frames[:count])) for count in range(len(frames) + 1)]
    for cut in range(len(data) + 1):
        entries, torn_tail = read_all(data[:cut])
        count = max(number for number, end in enumerate(ends) if end <= cut)
        assert entries == LIFECYCLE[:count]
        assert (torn_tail is None) == (cut in ends)
        assert torn_tail is None or torn_tail.offset == ends[count]


@FIXED
@given(st.data())
def test_a_damaged_byte_never_yields_another_entry(data: st.DataObject) -> None:
    frames = list(map(wal.encode_frame, LIFECYCLE))
    log = bytearray(b"".join(frames))
    offset = data.draw(st.integers(0, len(log) - 1))
    log[offset] ^= data.draw(st.integers(1, 255))
    entries, torn_tail = read_all(bytes(log))
    damaged = next(n for n in range(len(frames)) if offset < sum(map(len, frames[: n + 1])))
    assert entries == LIFECYCLE[:damaged]
    assert torn_tail is not None


@FIXED
@given(st.binary(max_size=300))
def test_random_bytes_yield_no_entry(data: bytes) -> None:
    for item in wal.read_frames(data):
        assert isinstance(item, wal.TornTail)


def test_a_newer_version_is_rejected_and_named() -> None:
    with pytest.raises(wal.UnsupportedVersionError, match="version 9 at byte"):
        list(wal.read_frames(wal.encode_frame(LIFECYCLE[0]) + newer_frame()))


@pytest.mark.parametrize(
    ("count", "steps"),
    [
        (1, []),  # killed before the intent was stored: nothing can run
        (2, [QueryNode(5, 50, NODE)]),  # between intent and start: only the node knows whether it runs
        (3, [AdoptTask(RUNNING)]),  # between start and end
        (4, [SendRelease(RELEASE)]),  # between end and release
        (5, []),
        (6, []),
    ],
)
def test_the_recovery_plan_of_a_kill_after_each_entry(count: int, steps: list[object]) -> None:
    state = replay(LIFECYCLE[:count])
    assert plan_recovery(state, ENDPOINTS, 3_000, RETENTION_US) == steps
    assert state.clean_shutdown == (count == 6)
    assert state.epoch == 3
    compacted = replay(state.snapshot())
    assert (
        plan_recovery(compacted, ENDPOINTS, 3_000, RETENTION_US) == steps
    )  # a compaction does not change the plan
    assert compacted.clean_shutdown == state.clean_shutdown


def test_an_attempt_that_never_ran_frees_its_key_and_one_that_may_have_run_does_not() -> None:
    intent = wal.AttemptIntent(5, 50, "ledger-batch", "s-2", 900)
    assert replay([intent, wal.AttemptEnded(5, 50, never_ran=True)]).by_uid == {}
    state = replay([intent, wal.AttemptEnded(5, 50, never_ran=False)])
    blocked = BlockKey(5, 50, 30_900)
    assert plan_recovery(state, ENDPOINTS, 1_000, RETENTION_US) == [blocked]  # s-2 can't be queried
    assert plan_recovery(state, ENDPOINTS, 31_000, RETENTION_US) == []  # the retention is over


def test_tasks_of_a_removed_or_restarted_node_are_released_or_blocked() -> None:
    removed = EndpointSnapshot(frozenset({"s-2"}))
    lost = SendRelease(wal.ReleasePending(50, "10.1.0.1", 5, 0, 3_000))
    assert plan_recovery(replay([RUNNING]), removed, 3_000, RETENTION_US) == [lost]
    restarted = EndpointSnapshot(frozenset({NODE}), frozenset({NODE}), {NODE: 2_500})
    assert isinstance(plan_recovery(replay([RUNNING]), restarted, 3_000, RETENTION_US)[0], SendRelease)
    blocked = BlockKey(5, 50, 30_900)
    assert plan_recovery(replay(LIFECYCLE[:2]), restarted, 3_000, RETENTION_US) == [blocked]


def test_a_key_is_blocked_no_longer_than_the_retention_after_a_clock_stepped_back() -> None:
    intent = wal.AttemptIntent(5, 50, "ledger-batch", "s-2", 900_000)
    blocked = BlockKey(5, 50, 31_000)
    assert plan_recovery(replay([intent]), ENDPOINTS, 1_000, RETENTION_US) == [blocked]


def test_a_second_id_of_one_key_and_releases_of_unknown_tasks() -> None:
    first = wal.AttemptIntent(5, 50, "x", NODE, 1)
    second = wal.AttemptIntent(5, 51, "x", NODE, 2)
    assert replay([first, second, wal.AttemptEnded(5, 50, never_ran=True)]).by_key == {5: 51}
    release = wal.ReleasePending(9, "h", 1, 0, 1)
    assert replay([release]).by_uid[9].status is TaskStatus.RELEASE_PENDING
    assert replay([wal.ReleaseDone(9)]).by_uid == {}


@pytest.mark.parametrize("status", list(TaskStatus))
@pytest.mark.parametrize("answer", [None, *NodeAnswer])
@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("named_node", [None, NODE])
def test_the_order_of_trust(
    status: TaskStatus, answer: NodeAnswer | None, restarted: bool, named_node: str | None
) -> None:
    task = RecoveredTask(5, 50, status, NODE, since_us=1_000)
    resolution = resolve(task, answer, 2_000 if restarted else 0, named_node)
    if answer is NodeAnswer.RUNNING:
        assert resolution is Resolution.ADOPT
    elif answer is NodeAnswer.ENDED:
        assert resolution is Resolution.ENDED
    elif answer is NodeAnswer.NEVER_RAN and not restarted:
        assert resolution is Resolution.START  # a trusted answer, whatever the log says
    elif named_node:
        assert resolution is Resolution.ADOPT
    elif status is TaskStatus.UNCERTAIN:
        assert resolution is Resolution.UNCERTAIN  # the log alone never allows a start
    elif status is TaskStatus.RUNNING:
        assert resolution is (Resolution.ENDED if restarted else Resolution.ADOPT)
    else:
        assert resolution is Resolution.START
    assert resolve(None, None, 0) is Resolution.START


KEYS = st.integers(1, 3)
UIDS = st.integers(1, 6)
TIMES = st.integers(0, 99)


@FIXED
@given(
    st.lists(
        st.one_of(
            st.builds(wal.AttemptIntent, KEYS, UIDS, st.just("x"), st.just(NODE), TIMES),
            st.builds(wal.AttemptEnded, KEYS, UIDS, st.booleans()),
            st.builds(wal.ReleasePending, UIDS, st.just("h"), st.just(1), st.just(0), TIMES),
            st.builds(wal.ReleaseDone, UIDS),
            st.just(wal.CleanShutdown()),
        ),
        max_size=30,
    )
)
def test_a_snapshot_replays_to_the_same_plan(entries: list[wal.AnyEntry]) -> None:
    state = replay(entries)
    compacted = replay(state.snapshot())
    assert plan_recovery(compacted, ENDPOINTS, 100, 1_000) == plan_recovery(state, ENDPOINTS, 100, 1_000)
    assert all(state.by_uid[uid].key == key for key, uid in state.by_key.items())


def test_the_record_commands_read_a_log(log_file: Path) -> None:
    run = CliRunner().invoke
    inspected = run(cli, ["record", "inspect", str(log_file)])
    assert inspected.exit_code == 0
    assert "AttemptIntent(key=5" in inspected.output
    assert "3 entries, epoch 3, {'running': 1}" in inspected.output
    log_file.write_bytes(log_file.read_bytes()[:-1])
    verified = run(cli, ["record", "verify", str(log_file)])
    assert verified.exit_code == 1
    assert "torn at byte" in verified.output
    assert "Intent" not in verified.output
    log_file.write_bytes(newer_frame())
    assert run(cli, ["record", "verify", str(log_file)]).exit_code == 2


def test_an_empty_log_recovers_nothing() -> None:
    assert replay([]).snapshot() == [wal.ProcessStarted(0, 0), wal.CleanShutdown()]
    assert plan_recovery(RecoveredState(), ENDPOINTS, 0, 1) == []
