"""Shells that ask several processes of the program, while members die, hang, or are cut off in the middle."""

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

LIMIT_S = 30.0  # nothing waits longer
LARGE = 700  # bytes: only pieces of long answers are so large here
ROOT = Path(__file__).parent.parent
T = TypeVar("T")


class Asking:
    """A fleet, and shells beside it."""

    def __init__(self, testbed: FleetTestbed) -> None:
        self.testbed = testbed
        self.pool = ThreadPoolExecutor(12)

    def begin(self, call: Callable[[QueryEngine], T], member: int = 0, seconds: float = 15.0) -> Future[T]:
        """Something that a shell does at a member."""

        def do() -> T:
            with ControlClient(place(self.testbed, self.testbed.members[member]), seconds) as client:
                return call(QueryEngine(client, QueryLimits(seconds)))

        return self.pool.submit(do)

    def wait(self, future: Future[T]) -> T:
        """Its end, while the world turns."""
        assert self.testbed.run_until(future.done, LIMIT_S) is not None
        return future.result()

    def query(self, sql: str, member: int = 0) -> QueryResult:
        """One question to all."""
        return self.wait(self.begin(lambda engine: engine.query(sql, True), member))

    def until(self, sql: str, truth: list[tuple[Any, ...]] | Callable[[], Any], member: int = 0) -> None:
        """A question again and again, until it is answered so."""
        found = list[Any]()
        began = time.monotonic()
        while time.monotonic() - began < LIMIT_S:
            if (found := self.query(sql, member).rows) == (truth() if callable(truth) else truth):
                return
            self.testbed.run_for(0.1)
        raise AssertionError((sql, found))

    def command(self, *arguments: str, text: str | None = None) -> subprocess.CompletedProcess[str]:
        """A command of the program in a process of its own."""
        process = subprocess.Popen(
            [sys.executable, "-m", "thornshelf", *arguments], cwd=ROOT, text=True,
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        )  # fmt: skip
        out, err = self.wait(self.pool.submit(process.communicate, text))
        return subprocess.CompletedProcess(arguments, process.returncode, out, err)


def make(folder: Path, members: int, more: str = CONTROL) -> FleetTestbed:
    testbed = FleetTestbed(7, True, None, members, 3, folder)
    testbed.fleet_settings = more
    testbed.start(*testbed.members)
    assert testbed.run_until(testbed.agreed, LIMIT_S) is not None
    return testbed


@pytest.fixture
def asking(tmp_path: Path) -> Iterator[Asking]:
    found = Asking(make(tmp_path, 4))
    yield found
    found.pool.shutdown(cancel_futures=True)
    found.testbed.shut_down()


def load(asking: Asking, count: int) -> None:
    """Tasks, until so many were placed."""
    testbed = asking.testbed
    testbed.pause_us, testbed.loading = 20_000, True
    testbed.send_requests()

    def placed() -> bool:
        return sum(one.answers[:1] == ["placed"] for one in testbed.oracle.requests.values()) >= count

    assert testbed.run_until(placed, LIMIT_S) is not None
    testbed.loading = False


def query_during(asking: Asking, fault: Callable[[MemberProcess], None]) -> QueryResult:
    """The last member's answer is long, and after some pieces of it the fault happens; its relays pass no more."""
    testbed, victim, seen = asking.testbed, asking.testbed.members[3], [0]
    load(asking, 300)

    def cut(sender: int, receiver: int) -> bool:
        return victim.index in (sender, receiver) and seen[0] >= 4

    deliver = testbed.relays._relay

    def count(sender: int, receiver: int, data: bytes) -> None:
        seen[0] += sender == victim.index and len(data) > LARGE
        if seen[0] == 4:
            fault(victim)
            seen[0] += 1
        deliver(sender, receiver, data)

    testbed.relays._relay = count  # type: ignore[method-assign]
    testbed.relays.cut = cut
    return asking.query("SELECT member, when_ms, uid, key, event, node, detail FROM history")


@pytest.mark.parametrize("how", ["dies", "hangs", "is cut off"])
def test_a_member_that_fails_during_its_reply_is_named_and_the_others_are_complete(
    asking: Asking, how: str
) -> None:
    def fault(victim: MemberProcess) -> None:
        if how == "dies":
            asking.testbed.kill(victim)
        elif how == "hangs":
            asking.testbed.kill(victim, number=signal.SIGSTOP)

    result = query_during(asking, fault)
    assert [name for name, _ in result.summary.missing] == ["m03"]
    assert "rows" in result.summary.missing[0][1] or "held for dead" in result.summary.missing[0][1]
    assert not result.complete
    assert result.summary.members >= {"m00", "m01", "m02"}
    counts = dict(asking.query("SELECT member, count(*) FROM history GROUP BY member").rows)
    for name in ("m00", "m01", "m02"):  # whole: what has come since then is more, and nothing is less
        told = [row for row in result.rows if row[0] == name]
        assert 300 < len(told) <= counts[name]
        assert told[0][4] == "taken"
    if how == "hangs" and (process := asking.testbed.members[3].process) is not None:
        os.kill(process.process.pid, signal.SIGCONT)


def test_a_dead_member_is_named_at_once_and_no_more_once_it_is_back(asking: Asking) -> None:
    testbed, dead = asking.testbed, asking.testbed.members[2]
    testbed.kill(dead)
    assert testbed.run_until(testbed.agreed, LIMIT_S) is not None
    result = asking.query("SELECT DISTINCT member FROM counters ORDER BY member")
    assert result.rows == [("m00",), ("m01",), ("m03",)]
    assert result.summary.missing == [("m02", "it is held for dead")]
    testbed.start(dead)
    asking.until("SELECT DISTINCT member FROM counters ORDER BY member", [(f"m0{i}",) for i in range(4)])
    assert asking.query("SELECT 1 FROM counters").complete


def test_tables_match_what_the_fakes_know_through_a_mass_resubmission(asking: Asking) -> None:
    testbed = asking.testbed
    load(asking, 100)
    testbed.resubmit()
    busy = [
        asking.begin(lambda engine: [engine.query("SELECT * FROM tasks", True) for _ in range(10)], i)
        for i in range(4)
    ]
    for one in busy:
        assert all(result.complete for result in asking.wait(one))
    testbed.run_for(2.5)
    assert (
        testbed.run_until(lambda: not testbed.oracle.lost(testbed.loop.now, 2_000_000), LIMIT_S) is not None
    )
    assert not testbed.oracle.duplicated()

    def count(word: str) -> list[tuple[int]]:
        asked = [(uid >> 40, one) for uid, one in testbed.oracle.requests.items()]
        return [
            (sum(owner == i + 1 and (not word or word in one.answers) for owner, one in asked),)
            for i in range(4)
        ]

    def running() -> list[tuple[str, int]]:
        return [(f"s-{i + 1:08x}", len(node.tasks)) for i, node in enumerate(testbed.nodes)]

    sql = "SELECT value FROM counters WHERE part = 'core' AND name = '{}' ORDER BY member"
    asking.until(sql.format("taken"), lambda: count(""))
    asking.until(sql.format("answered"), lambda: count("placed"))
    asking.until("SELECT node, sum(standing) FROM nodes GROUP BY node ORDER BY node", running)
    given_up = next(uid for uid, one in testbed.oracle.requests.items() if one.void)
    story = asking.wait(asking.begin(lambda engine: explain_task(engine, f"{given_up:x}")))
    assert any("taken" in line for line in story)
    assert any("given-up" in line for line in story)


def test_members_without_a_control_socket_or_without_support_for_queries(tmp_path: Path) -> None:
    """A fleet is updated member by member: what can't answer says so, or is named."""
    testbed = FleetTestbed(7, True, None, 3, 2, tmp_path)
    asking = Asking(testbed)
    try:
        testbed.fleet_settings = CONTROL
        testbed.start(*testbed.members[:2])
        testbed.fleet_settings = ""
        testbed.start(testbed.members[2])
        assert testbed.run_until(testbed.agreed, LIMIT_S) is not None
        result = asking.query("SELECT DISTINCT member FROM counters")
        assert result.summary.missing == [("m02", "it has no control socket")]
        assert {row[0] for row in result.rows} == {"m00", "m01"}
    finally:
        asking.pool.shutdown()
        testbed.shut_down()


def test_ten_shells_at_once_and_one_too_many(tmp_path: Path) -> None:
    asking = Asking(make(tmp_path, 2, CONTROL + "readers = 10\n"))
    testbed = asking.testbed
    try:
        at = place(testbed, testbed.members[0])
        clients = [ControlClient(at) for _ in range(10)]
        futures = [
            asking.pool.submit(QueryEngine(client).query, "SELECT * FROM nodes", True) for client in clients
        ]
        for future in futures:
            result = asking.wait(future)
            assert result.complete
            assert len(result.rows) == 6
        late = ControlClient(at)
        with pytest.raises(TooManySessionsError, match="10 shells are connected"):
            late.fetch_catalog()
        said = f'code="{TooManySessionsError.code}"'
        assert testbed.run_until(lambda: said in testbed.members[0].logs[0].read_text(), LIMIT_S) is not None
        clients.pop().close()
        asking.until("SELECT count(*) FROM nodes", [(6,)])
        for client in [*clients, late]:
            client.close()
    finally:
        asking.pool.shutdown()
        testbed.shut_down()


def test_a_stalled_and_a_malformed_client_are_disconnected_alone(
    asking: Asking,
) -> None:
    load(asking, 200)
    at = place(asking.testbed, asking.testbed.members[0])
    deaf = socket.socket(socket.AF_UNIX)
    deaf.connect(at)
    asked = [encode_frame(QueryRequest(number, "history", ["uid", "key"] * 32)) for number in range(4)]
    deaf.sendall(b"".join(asked))  # the answers are more than any buffer holds
    odd = socket.socket(socket.AF_UNIX)
    odd.connect(at)
    odd.sendall(b"GET / HTTP/1.1\r\n\r\n")
    log = asking.testbed.members[0].logs[0]

    def dropped() -> bool:
        return log.read_text().count('code="TS5003"') >= 2

    assert asking.testbed.run_until(dropped, LIMIT_S) is not None, log.read_text()[-2000:]
    odd.settimeout(5.0)
    assert odd.recv(10) == b""
    deaf.close()
    odd.close()
    assert asking.query("SELECT 1 FROM nodes LIMIT 1").complete
    told = asking.query("SELECT code, count FROM errors WHERE member = 'm00' AND code = 'TS5003'")
    assert told.rows == [("TS5003", 2)]


def test_a_name_of_quotes_brackets_and_control_characters(asking: Asking) -> None:
    odd = 's-"q" [bold]\'\x1b[2J'
    entry = asking.testbed.endpoint(1) | {"instanceId": odd}
    asking.testbed.endpoint_source.publish([entry])
    asking.until("SELECT count(*) FROM nodes WHERE node LIKE 's-\"q\"%'", [(4,)])
    lines = asking.wait(asking.begin(lambda engine: explain_node(engine, odd)))
    assert sum(line.startswith("m0") for line in lines) == 4
    at = place(asking.testbed, asking.testbed.members[0])
    for form in ([], ["--csv"], ["--json"]):
        done = asking.command(
            "query", "--at", at, *form, "SELECT node FROM nodes WHERE node LIKE 's-\"q\"%' LIMIT 1"
        )
        assert done.returncode == 0, done.stderr
        assert "\x1b" not in done.stdout
        assert "[bold]" in done.stdout
    assert json.loads(done.stdout)["rows"] == [[odd]]


def test_a_script_learns_the_outcome_from_the_exit_code(asking: Asking) -> None:
    testbed = asking.testbed
    at = place(testbed, testbed.members[0])

    def code(*arguments: str) -> int:
        done = asking.command("query", "--at", at, *arguments)
        assert done.returncode == 0 or "thornshelf:" in done.stderr or "NOT ALL" in done.stderr
        return done.returncode

    assert code("SELECT count(*) FROM nodes") == 0
    assert code("down") == 0
    assert code("DELETE FROM nodes") == 1
    assert code("--rows", "1", "SELECT node FROM nodes") == 4
    endless = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n) SELECT sum(i) FROM n"
    assert code("--seconds", "0.5", endless) == 4
    testbed.kill(testbed.members[3])
    assert code("SELECT count(*) FROM nodes") == 3
    assert code("--here", "SELECT count(*) FROM nodes") == 0
    testbed.kill(testbed.members[0])
    done = asking.command("query", "--at", at, "SELECT 1")
    assert done.returncode == 2
    assert "TS5006" in done.stderr
    assert "What to do:" in done.stderr


def test_a_shell_that_reads_lines_from_a_pipe(asking: Asking) -> None:
    load(asking, 40)
    testbed = asking.testbed
    testbed.kill(testbed.members[3])
    assert testbed.run_until(testbed.agreed, LIMIT_S) is not None
    uid = next(
        uid
        for uid, one in testbed.oracle.requests.items()
        if one.answers[:1] == ["placed"] and uid >> 40 == 2
    )
    lines = [
        ".help", ".tables", ".columns nodes", ".queries", ".run down", ".diff members", ".why s-00000001",
        f".why {uid:x}", ".here", "SELECT count(*) AS how_many FROM members;", ".quit", "never read",
    ]  # fmt: skip
    done = asking.command("shell", "--at", place(testbed, testbed.members[0]), text="\n".join(lines))
    assert done.returncode == 0, done.stdout + done.stderr
    out = done.stdout
    for word in (
        "allowances",
        "by the endpoint list",
        "Who is down",
        "dead",
        "answered at s-0000000",
        "how_many",
    ):
        assert word in out, out
    assert out.count("NOT ALL MEMBERS: m03: it is held for dead") >= 2
    assert "NOT HEARD: m03" in out
    assert "m01 (up, connected" in out
    done = asking.command(
        "shell", "--at", place(testbed, testbed.members[0]), text="SELECT nonsense\n.nonsense\n"
    )
    assert done.returncode == 1
    assert "TS5007" in done.stdout


def test_a_stale_socket_is_replaced_and_a_live_one_is_not(tmp_path: Path) -> None:
    testbed = FleetTestbed(7, True, None, 2, 2, tmp_path)
    asking = Asking(testbed)
    at = tmp_path / "one.sock"
    try:
        testbed.fleet_settings = f'[control]\nsocket = "{at}"\n'
        testbed.start(testbed.members[0])
        with pytest.raises(ThornshelfError, match="TS5002"):
            testbed.start(testbed.members[1])
        testbed.members[1].process = None
        testbed.kill(testbed.members[0])
        assert at.exists()
        testbed.start(testbed.members[1])
        with ControlClient(at) as client:
            assert client.fetch_catalog().member == "m01"
        (tmp_path / "open").mkdir()
        (tmp_path / "open").chmod(0o777)
        testbed.members[0].process = None
        testbed.fleet_settings = f'[control]\nsocket = "{tmp_path}/open/s"\n'
        with pytest.raises(ThornshelfError, match="another user may write there.*TS5001"):
            testbed.start(testbed.members[0])
    finally:
        asking.pool.shutdown()
        testbed.shut_down()
    assert not at.exists()  # one that ends in order leaves nothing behind


def test_a_hundred_thousand_tasks_are_read_while_others_are_served(tmp_path: Path) -> None:
    testbed = FleetTestbed(7, True, None, 2, 3, tmp_path)
    asking = Asking(testbed)
    try:
        testbed.fleet_settings = CONTROL
        testbed.start(testbed.members[0], injected_fault="crowd")
        testbed.start(testbed.members[1])
        assert testbed.run_until(testbed.agreed, LIMIT_S) is not None
        testbed.loading = True
        testbed.send_requests()
        for member in (0, 1):  # by itself, and as another's answer
            begun = asking.begin(lambda engine: engine.query("SELECT uid, age_ms FROM tasks", True), member)
            before = len(testbed.oracle.requests)
            result = asking.wait(begun)
            crowd = [row for row in result.rows if row[0] >= f"{1 << 60:016x}"]
            assert len({row[0] for row in crowd}) == len(crowd) > 9_000
            assert result.truncation
            if result.summary.missing:  # what travels of one answer is bounded, and it says so
                assert member == 1
                assert "too long" in result.summary.missing[0][1]
            assert len(testbed.oracle.requests) > before
        count = "SELECT count(DISTINCT uid) FROM tasks WHERE uid >= '1000000000000000'"
        assert asking.query(count).rows == [(100_000,)]
        testbed.loading = False
        testbed.run_for(1.0)
        assert not testbed.oracle.duplicated()
        assert all(one.answers for one in testbed.oracle.requests.values() if not one.void)
    finally:
        asking.pool.shutdown()
        testbed.shut_down()
