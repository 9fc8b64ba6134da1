"""Shells that query a fleet of dispatcher processes, while members are killed, stopped or disconnected."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

import pytest

from thornshelf.control.framing import QueryRequest, encode_frame
from thornshelf.errors import ThornshelfError, TooManySessionsError
from thornshelf.lab.fleet_testbed import FleetTestbed, MemberProcess
from thornshelf.lab.shell import CONTROL, place
from thornshelf.shell.client import ControlClient
from thornshelf.shell.engine import QueryEngine, QueryLimits, QueryResult
from thornshelf.shell.explanations import explain_node, explain_task

TIMEOUT_S = 30.0  # of each wait
LARGE_DATAGRAM_BYTES = 700  # only the pieces of a long reply are larger
ROOT = Path(__file__).parent.parent
T = TypeVar("T")


class ShellTestbed:
    """A fleet in processes, and shells in threads that query its members."""

    def __init__(self, fleet: FleetTestbed) -> None:
        self.fleet = fleet
        self.pool = ThreadPoolExecutor(12)

    def start(self, call: Callable[[QueryEngine], T], member: int = 0, seconds: float = 15.0) -> Future[T]:
        """Run a function with the query engine of a member, in a thread."""

        def run() -> T:
            with ControlClient(place(self.fleet, self.fleet.members[member]), seconds) as client:
                return call(QueryEngine(client, QueryLimits(seconds)))

        return self.pool.submit(run)

    def wait(self, future: Future[T]) -> T:
        """Run the loop of the testbed until a future is done; returns its result."""
        assert self.fleet.run_until(future.done, TIMEOUT_S) is not None
        return future.result()

    def query(self, sql: str, member: int = 0) -> QueryResult:
        """Query all members through one of them."""
        return self.wait(self.start(lambda engine: engine.query(sql, True), member))

    def wait_for_rows(
        self, sql: str, expected: list[tuple[Any, ...]] | Callable[[], Any], member: int = 0
    ) -> None:
        """Repeat a query until it returns the expected rows."""
        rows = list[Any]()
        started = time.monotonic()
        while time.monotonic() - started < TIMEOUT_S:
            if (rows := self.query(sql, member).rows) == (expected() if callable(expected) else expected):
                return
            self.fleet.run_for(0.1)
        raise AssertionError((sql, rows))

    def command(self, *arguments: str, text: str | None = None) -> subprocess.CompletedProcess[str]:
        """Run a command of the program in a process of its own; ``text`` is its input."""
        process = subprocess.Popen(
            [sys.executable, "-m", "thornshelf", *arguments], cwd=ROOT, text=True,
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        )  # fmt: skip
        out, err = self.wait(self.pool.submit(process.communicate, text))
        return subprocess.CompletedProcess(arguments, process.returncode, out, err)


def start_fleet(folder: Path, members: int, more: str = CONTROL) -> FleetTestbed:
    """Start a fleet and wait until its members agree; ``more``: lines of each operator's file."""
    fleet = FleetTestbed(7, True, None, members, 3, folder)
    fleet.fleet_settings = more
    fleet.start(*fleet.members)
    assert fleet.run_until(fleet.agreed, TIMEOUT_S) is not None
    return fleet


@pytest.fixture
def shells(tmp_path: Path) -> Iterator[ShellTestbed]:
    testbed = ShellTestbed(start_fleet(tmp_path, 4))
    yield testbed
    testbed.pool.shutdown(cancel_futures=True)
    testbed.fleet.shut_down()


def place_tasks(shells: ShellTestbed, count: int) -> None:
    """Send requests until so many tasks were placed."""
    fleet = shells.fleet
    fleet.pause_us, fleet.loading = 20_000, True
    fleet.send_requests()

    def placed() -> bool:
        return sum(request.answers[:1] == ["placed"] for request in fleet.oracle.requests.values()) >= count

    assert fleet.run_until(placed, TIMEOUT_S) is not None
    fleet.loading = False


def query_during(shells: ShellTestbed, fault: Callable[[MemberProcess], None]) -> QueryResult:
    """Query all members, and inject a fault and cut the links of the last one after the fourth piece of its reply."""
    fleet, faulty, pieces_sent = shells.fleet, shells.fleet.members[3], [0]
    place_tasks(shells, 300)

    def cut(sender: int, receiver: int) -> bool:
        return faulty.index in (sender, receiver) and pieces_sent[0] >= 4

    relay = fleet.relays._relay

    def count_pieces(sender: int, receiver: int, data: bytes) -> None:
        pieces_sent[0] += sender == faulty.index and len(data) > LARGE_DATAGRAM_BYTES
        if pieces_sent[0] == 4:
            fault(faulty)
            pieces_sent[0] += 1
        relay(sender, receiver, data)

    fleet.relays._relay = count_pieces  # type: ignore[method-assign]
    fleet.relays.cut = cut
    return shells.query("SELECT member, when_ms, uid, key, event, node, detail FROM history")


@pytest.mark.parametrize("how", ["dies", "hangs", "is cut off"])
def test_a_member_that_fails_during_its_reply_is_named_and_the_others_are_complete(
    shells: ShellTestbed, how: str
) -> None:
    def fault(member: MemberProcess) -> None:
        if how == "dies":
            shells.fleet.kill(member)
        elif how == "hangs":
            shells.fleet.kill(member, number=signal.SIGSTOP)

    result = query_during(shells, fault)
    assert [name for name, _ in result.summary.missing] == ["m03"]
    assert "rows" in result.summary.missing[0][1] or "held for dead" in result.summary.missing[0][1]
    assert not result.complete
    assert result.summary.members >= {"m00", "m01", "m02"}
    counts = dict(shells.query("SELECT member, count(*) FROM history GROUP BY member").rows)
    for name in ("m00", "m01", "m02"):  # complete; later events may have been added since
        rows = [row for row in result.rows if row[0] == name]
        assert 300 < len(rows) <= counts[name]
        assert rows[0][4] == "taken"
    if how == "hangs" and (process := shells.fleet.members[3].process) is not None:
        os.kill(process.process.pid, signal.SIGCONT)


def test_a_dead_member_is_named_at_once_until_it_is_started_again(shells: ShellTestbed) -> None:
    fleet, dead = shells.fleet, shells.fleet.members[2]
    fleet.kill(dead)
    assert fleet.run_until(fleet.agreed, TIMEOUT_S) is not None
    result = shells.query("SELECT DISTINCT member FROM counters ORDER BY member")
    assert result.rows == [("m00",), ("m01",), ("m03",)]
    assert result.summary.missing == [("m02", "it is held for dead")]
    fleet.start(dead)
    shells.wait_for_rows(
        "SELECT DISTINCT member FROM counters ORDER BY member", [(f"m0{i}",) for i in range(4)]
    )
    assert shells.query("SELECT 1 FROM counters").complete


def test_tables_match_the_counts_of_the_fakes_after_a_mass_resubmission(shells: ShellTestbed) -> None:
    fleet = shells.fleet
    place_tasks(shells, 100)
    fleet.resubmit()
    futures = [
        shells.start(lambda engine: [engine.query("SELECT * FROM tasks", True) for _ in range(10)], i)
        for i in range(4)
    ]
    for future in futures:
        assert all(result.complete for result in shells.wait(future))
    fleet.run_for(2.5)
    assert fleet.run_until(lambda: not fleet.oracle.lost(fleet.loop.now, 2_000_000), TIMEOUT_S) is not None
    assert not fleet.oracle.duplicated()

    def count_requests(answer: str) -> list[tuple[int]]:
        requests = [(uid >> 40, request) for uid, request in fleet.oracle.requests.items()]
        return [
            (
                sum(
                    owner == i + 1 and (not answer or answer in request.answers)
                    for owner, request in requests
                ),
            )
            for i in range(4)
        ]

    def count_running() -> list[tuple[str, int]]:
        return [(f"s-{i + 1:08x}", len(node.tasks)) for i, node in enumerate(fleet.nodes)]

    sql = "SELECT value FROM counters WHERE part = 'core' AND name = '{}' ORDER BY member"
    shells.wait_for_rows(sql.format("taken"), lambda: count_requests(""))
    shells.wait_for_rows(sql.format("answered"), lambda: count_requests("placed"))
    shells.wait_for_rows("SELECT node, sum(standing) FROM nodes GROUP BY node ORDER BY node", count_running)
    given_up = next(uid for uid, request in fleet.oracle.requests.items() if request.void)
    lines = shells.wait(shells.start(lambda engine: explain_task(engine, f"{given_up:x}")))
    assert any("taken" in line for line in lines)
    assert any("given-up" in line for line in lines)


def test_members_without_a_control_socket_or_without_support_for_queries(tmp_path: Path) -> None:
    """Guards fleets that are updated member by member: those that can't reply are named."""
    fleet = FleetTestbed(7, True, None, 3, 2, tmp_path)
    shells = ShellTestbed(fleet)
    try:
        fleet.fleet_settings = CONTROL
        fleet.start(*fleet.members[:2])
        fleet.fleet_settings = ""
        fleet.start(fleet.members[2])
        assert fleet.run_until(fleet.agreed, TIMEOUT_S) is not None
        result = shells.query("SELECT DISTINCT member FROM counters")
        assert result.summary.missing == [("m02", "it has no control socket")]
        assert {row[0] for row in result.rows} == {"m00", "m01"}
    finally:
        shells.pool.shutdown()
        fleet.shut_down()


def test_a_shell_beyond_the_limit_of_ten_is_rejected(tmp_path: Path) -> None:
    shells = ShellTestbed(start_fleet(tmp_path, 2, CONTROL + "readers = 10\n"))
    fleet = shells.fleet
    try:
        socket_path = place(fleet, fleet.members[0])
        clients = [ControlClient(socket_path) for _ in range(10)]
        futures = [
            shells.pool.submit(QueryEngine(client).query, "SELECT * FROM nodes", True) for client in clients
        ]
        for future in futures:
            result = shells.wait(future)
            assert result.complete
            assert len(result.rows) == 6
        extra_client = ControlClient(socket_path)
        with pytest.raises(TooManySessionsError, match="10 shells are connected"):
            extra_client.fetch_catalog()
        log_text = f'code="{TooManySessionsError.code}"'
        assert (
            fleet.run_until(lambda: log_text in fleet.members[0].logs[0].read_text(), TIMEOUT_S) is not None
        )
        clients.pop().close()
        shells.wait_for_rows("SELECT count(*) FROM nodes", [(6,)])
        for client in [*clients, extra_client]:
            client.close()
    finally:
        shells.pool.shutdown()
        fleet.shut_down()


def test_a_stalled_and_a_malformed_client_are_disconnected_and_others_are_not(shells: ShellTestbed) -> None:
    place_tasks(shells, 200)
    socket_path = place(shells.fleet, shells.fleet.members[0])
    stalled = socket.socket(socket.AF_UNIX)
    stalled.connect(socket_path)
    requests = [encode_frame(QueryRequest(number, "history", ["uid", "key"] * 32)) for number in range(4)]
    stalled.sendall(b"".join(requests))  # the replies exceed every buffer
    malformed = socket.socket(socket.AF_UNIX)
    malformed.connect(socket_path)
    malformed.sendall(b"GET / HTTP/1.1\r\n\r\n")
    log = shells.fleet.members[0].logs[0]

    def both_disconnected() -> bool:
        return log.read_text().count('code="TS5003"') >= 2

    assert shells.fleet.run_until(both_disconnected, TIMEOUT_S) is not None, log.read_text()[-2000:]
    malformed.settimeout(5.0)
    assert malformed.recv(10) == b""
    stalled.close()
    malformed.close()
    assert shells.query("SELECT 1 FROM nodes LIMIT 1").complete
    errors = shells.query("SELECT code, count FROM errors WHERE member = 'm00' AND code = 'TS5003'")
    assert errors.rows == [("TS5003", 2)]


def test_a_node_name_with_quotes_markup_and_control_characters_is_shown_escaped(shells: ShellTestbed) -> None:
    hostile_name = 's-"q" [bold]\'\x1b[2J'
    entry = shells.fleet.endpoint(1) | {"instanceId": hostile_name}
    shells.fleet.endpoint_source.publish([entry])
    shells.wait_for_rows("SELECT count(*) FROM nodes WHERE node LIKE 's-\"q\"%'", [(4,)])
    lines = shells.wait(shells.start(lambda engine: explain_node(engine, hostile_name)))
    assert sum(line.startswith("m0") for line in lines) == 4
    socket_path = place(shells.fleet, shells.fleet.members[0])
    for format_options in ([], ["--csv"], ["--json"]):
        completed = shells.command(
            "query",
            "--at",
            socket_path,
            *format_options,
            "SELECT node FROM nodes WHERE node LIKE 's-\"q\"%' LIMIT 1",
        )
        assert completed.returncode == 0, completed.stderr
        assert "\x1b" not in completed.stdout
        assert "[bold]" in completed.stdout
    assert json.loads(completed.stdout)["rows"] == [[hostile_name]]


def test_the_exit_code_tells_the_outcome_of_a_query(shells: ShellTestbed) -> None:
    fleet = shells.fleet
    socket_path = place(fleet, fleet.members[0])

    def exit_code(*arguments: str) -> int:
        completed = shells.command("query", "--at", socket_path, *arguments)
        assert completed.returncode == 0 or "thornshelf:" in completed.stderr or "NOT ALL" in completed.stderr
        return completed.returncode

    assert exit_code("SELECT count(*) FROM nodes") == 0
    assert exit_code("down") == 0
    assert exit_code("DELETE FROM nodes") == 1
    assert exit_code("--rows", "1", "SELECT node FROM nodes") == 4
    endless_query = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n) SELECT sum(i) FROM n"
    assert exit_code("--seconds", "0.5", endless_query) == 4
    fleet.kill(fleet.members[3])
    assert exit_code("SELECT count(*) FROM nodes") == 3
    assert exit_code("--here", "SELECT count(*) FROM nodes") == 0
    fleet.kill(fleet.members[0])
    completed = shells.command("query", "--at", socket_path, "SELECT 1")
    assert completed.returncode == 2
    assert "TS5006" in completed.stderr
    assert "What to do:" in completed.stderr


def test_a_shell_that_reads_lines_from_a_pipe(shells: ShellTestbed) -> None:
    place_tasks(shells, 40)
    fleet = shells.fleet
    fleet.kill(fleet.members[3])
    assert fleet.run_until(fleet.agreed, TIMEOUT_S) is not None
    uid = next(
        uid
        for uid, request in fleet.oracle.requests.items()
        if request.answers[:1] == ["placed"] and uid >> 40 == 2
    )
    lines = [
        ".help", ".tables", ".columns nodes", ".queries", ".run down", ".diff members", ".why s-00000001",
        f".why {uid:x}", ".here", "SELECT count(*) AS how_many FROM members;", ".quit", "never read",
    ]  # fmt: skip
    completed = shells.command("shell", "--at", place(fleet, fleet.members[0]), text="\n".join(lines))
    assert completed.returncode == 0, completed.stdout + completed.stderr
    output = completed.stdout
    for expected in (
        "allowances",
        "by the endpoint list",
        "Who is down",
        "dead",
        "answered at s-0000000",
        "how_many",
    ):
        assert expected in output, output
    assert output.count("NOT ALL MEMBERS: m03: it is held for dead") >= 2
    assert "NOT HEARD: m03" in output
    assert "m01 (up, connected" in output
    completed = shells.command(
        "shell", "--at", place(fleet, fleet.members[0]), text="SELECT nonsense\n.nonsense\n"
    )
    assert completed.returncode == 1
    assert "TS5007" in completed.stdout


def test_a_stale_control_socket_is_replaced_and_one_in_use_is_not(tmp_path: Path) -> None:
    fleet = FleetTestbed(7, True, None, 2, 2, tmp_path)
    shells = ShellTestbed(fleet)
    socket_path = tmp_path / "one.sock"
    try:
        fleet.fleet_settings = f'[control]\nsocket = "{socket_path}"\n'
        fleet.start(fleet.members[0])
        with pytest.raises(ThornshelfError, match="TS5002"):
            fleet.start(fleet.members[1])
        fleet.members[1].process = None
        fleet.kill(fleet.members[0])
        assert socket_path.exists()
        fleet.start(fleet.members[1])
        with ControlClient(socket_path) as client:
            assert client.fetch_catalog().member == "m01"
        (tmp_path / "open").mkdir()
        (tmp_path / "open").chmod(0o777)
        fleet.members[0].process = None
        fleet.fleet_settings = f'[control]\nsocket = "{tmp_path}/open/s"\n'
        with pytest.raises(ThornshelfError, match="another user may write there.*TS5001"):
            fleet.start(fleet.members[0])
    finally:
        shells.pool.shutdown()
        fleet.shut_down()
    assert not socket_path.exists()  # it is removed at a shutdown in order


def test_a_hundred_thousand_tasks_are_read_while_requests_are_served(tmp_path: Path) -> None:
    fleet = FleetTestbed(7, True, None, 2, 3, tmp_path)
    shells = ShellTestbed(fleet)
    try:
        fleet.fleet_settings = CONTROL
        fleet.start(fleet.members[0], injected_fault="crowd")
        fleet.start(fleet.members[1])
        assert fleet.run_until(fleet.agreed, TIMEOUT_S) is not None
        fleet.loading = True
        fleet.send_requests()
        for member in (0, 1):  # at the member that has the tasks, and through the other one
            future = shells.start(lambda engine: engine.query("SELECT uid, age_ms FROM tasks", True), member)
            requests_before = len(fleet.oracle.requests)
            result = shells.wait(future)
            extra_tasks = [row for row in result.rows if row[0] >= f"{1 << 60:016x}"]
            assert len({row[0] for row in extra_tasks}) == len(extra_tasks) > 9_000
            assert result.truncation
            if result.summary.missing:  # the size of a reply between members is limited
                assert member == 1
                assert "too long" in result.summary.missing[0][1]
            assert len(fleet.oracle.requests) > requests_before
        count_query = "SELECT count(DISTINCT uid) FROM tasks WHERE uid >= '1000000000000000'"
        assert shells.query(count_query).rows == [(100_000,)]
        fleet.loading = False
        fleet.run_for(1.0)
        assert not fleet.oracle.duplicated()
        assert all(request.answers for request in fleet.oracle.requests.values() if not request.void)
    finally:
        shells.pool.shutdown()
        fleet.shut_down()
