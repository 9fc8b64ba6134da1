"""Tables, slices, words, questions to the fleet, and SQL over them: without a process."""

from __future__ import annotations

import gc
import os
import random
import socket
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornshelf import errors
from thornshelf.components.control_socket import open_control_socket
from thornshelf.control import framing
from thornshelf.control.history import ErrorCounters, History
from thornshelf.control.query_sessions import (
    MAX_QUERIES_PER_CLIENT,
    STALLED_CLIENT_TIMEOUT_US,
    TURN_BYTE_BUDGET,
    TURN_TIME_BUDGET_US,
    QuerySessions,
)
from thornshelf.control.settings_table import flatten_settings
from thornshelf.control.tables import INTEGER, TEXT, Catalog, Table, TableReader, declare_columns
from thornshelf.core.task_table import TaskPages
from thornshelf.membership import scatter_gather
from thornshelf.membership.query_gatherer import QueryGatherer
from thornshelf.membership.scatter_gather import QueryResponder
from thornshelf.placement import Outcome
from thornshelf.shell import output, saved_queries
from thornshelf.shell.client import ResponseSummary
from thornshelf.shell.engine import QueryEngine, QueryLimits, QueryResult
from thornshelf.shell.explanations import is_task_id, placement_reasons
from thornshelf.shell.prompt import unquote

FIXED = settings(derandomize=True, deadline=None, max_examples=60)


def numbers(count: int, name: str = "numbers") -> Table:
    """Rows of a number and a text; every tenth item is gone."""
    shape = declare_columns(("n", INTEGER, "a number"), ("text", TEXT, "a text"))
    return Table(
        name, "numbers", shape, lambda: range(count), lambda n: None if n % 10 == 9 else (n, f"t{n}")
    )


class Clock:
    """Each look costs a while."""

    def __init__(self, step: int) -> None:
        self.step, self.at, self.looks = step, 0, 0

    def __call__(self) -> int:
        self.at += self.step
        self.looks += 1
        return self.at


# tables and slices


def test_a_table_is_read_in_slices_by_the_clock_without_losing_rows() -> None:
    reading, found, slices = TableReader(numbers(100_000), ["n"], {}), list[Any](), 0
    clock = Clock(10)
    while not reading.exhausted:
        before = clock.at
        found += reading.read_rows(clock, before + 300, 10_000)
        slices += 1
        assert clock.at - before <= 300 + 2 * clock.step  # so long a slice, whatever the table's size
    assert [row[0] for row in found] == [n for n in range(100_000) if n % 10 != 9]
    assert slices > 100
    assert reading.examined_count == 100_000


def test_a_table_reader_returns_the_columns_and_filters_requested_up_to_its_limit() -> None:
    reading = TableReader(numbers(30), ["text", "n"], {"n": 7})
    assert reading.read_rows(lambda: 0, 1, 99) == [["t7", 7]]
    assert reading.exhausted
    reading = TableReader(numbers(30), ["n"], {}, max_rows=5)
    assert len(reading.read_rows(lambda: 0, 1, 99)) == 5
    assert reading.exhausted
    assert reading.truncated
    for wanted, only in ((["x"], {}), (["n"], {"y": 1})):
        with pytest.raises(errors.UnknownTableError, match="has no column"):
            TableReader(numbers(3), wanted, only)
    with pytest.raises(errors.UnknownTableError, match="no table"):
        Catalog().table("x")


def test_history_is_bounded_and_errors_are_counted_also_where_lines_are_suppressed() -> None:
    history = History(1000)
    for number in range(2000):
        history.record(number, number, 1, "ended", 3, Outcome.TIMED_OUT, "", "untold")
    gc.collect()
    kept = [step for run in history.pages for step in run]
    assert [step[1] for step in kept] == list(range(history.dropped, 2000))
    assert 1000 <= len(kept) <= 1600
    assert kept[-1][5] == "timed_out"
    assert not any(gc.is_tracked(step) for step in kept)
    tallies = ErrorCounters()
    for number in range(70):
        tallies.count_line(number, {"code": "TS2001"}, f"line {number}")
    tallies.count_line(5, {"code": "nonsense"}, "x")
    tallies.count_line(5, {}, "no error")
    assert set(tallies.by_code) == {"TS2001"}
    assert tallies.by_code["TS2001"].count == 70
    assert tallies.by_code["TS2001"].last_text == "line 69"


def test_settings_are_shown_without_the_key() -> None:
    from thornshelf.membership.config import MembershipConfig

    told = dict(flatten_settings(MembershipConfig(fleet="f", name="n", address="a:1", key=b"secret" * 4)))
    assert told["fleet"] == "f"
    assert not any("secret" in str(value) for value in told.values())


# words


@FIXED
@given(st.lists(st.binary(max_size=300), max_size=8), st.lists(st.integers(1, 400), max_size=20))
def test_messages_are_the_same_however_the_stream_is_split(bodies: list[bytes], cuts: list[int]) -> None:
    stream = b"".join(len(body).to_bytes(4, "big") + body for body in bodies)
    words, found = framing.FrameDecoder(1000), list[bytes]()
    for cut in cuts:
        found += words.feed(stream[:cut])
        stream = stream[cut:]
    assert found + words.feed(stream) == bodies


@FIXED
@given(st.binary(max_size=200))
def test_a_malformed_message_is_a_protocol_error(data: bytes) -> None:
    for read in (framing.decode_request, framing.decode_reply):
        with suppress(errors.ControlProtocolError):
            read(data)
    with pytest.raises(errors.ControlProtocolError):
        framing.FrameDecoder(100).feed(b"\xff\xff\xff\xff" + data)


# questions to the fleet


class Wire:
    """Members' answers and one asker on one clock, over links that lose, double and reorder."""

    def __init__(self, seed: int, members: dict[str, QueryResponder], loss: float, count: int = 1) -> None:
        self.chance, self.members, self.loss = random.Random(seed), members, loss
        self.now, self.sent, self.dead = 0, 0, set[str]()
        self.asker = QueryGatherer(count, "numbers", ["n"], {}, members, 0)

    def run(self, until: int = 20_000_000) -> dict[str, list[int]]:
        """Until all have told or are given up; the rows of each."""
        found: dict[str, list[int]] = {name: [] for name in self.members}
        while not self.asker.finished and self.now < until:
            self.turn(found)
        self.turn(found)
        return found

    def turn(self, found: dict[str, list[int]]) -> None:
        """One millisecond."""
        self.now += 1_000
        self.asker.tick(self.now)
        for name, data in self._links(self.asker.outgoing):
            if name not in self.dead:
                self.members[name].receive("me", data, self.now)
        for name, answerer in self.members.items():
            answerer.serve(self.now, 7, lambda: 0, 1)
            for _, data in self._links(answerer.outgoing):
                if name not in self.dead:
                    self.sent += 1
                    self.asker.receive(name, data, self.now)
        for name, at_ms, rows in self.asker.batches:
            assert at_ms == 7
            found[name] += [int(str(row[0])) for row in rows]
        self.asker.batches.clear()

    def _links(self, out: list[tuple[str, bytes]]) -> Iterator[tuple[str, bytes]]:
        carried = [one for one in out for _ in range(1 + (self.chance.random() < self.loss))]
        out.clear()
        self.chance.shuffle(carried)
        for _, data in carried:
            assert (
                len(data) <= scatter_gather.MAX_CHUNK_BYTES + 180
            )  # beside a sender's own row it fits a datagram
        return iter([one for one in carried if self.chance.random() >= self.loss])


def responder(count: int) -> QueryResponder:
    catalog = Catalog()
    catalog.add(numbers(count))
    return QueryResponder(lambda table, wanted, only: TableReader(catalog.table(table), wanted, only))


def wanted(count: int) -> list[int]:
    return [n for n in range(count) if n % 10 != 9]


@FIXED
@given(st.integers(0, 999), st.sampled_from([0.0, 0.1, 0.3]))
def test_all_rows_come_once_and_in_order_through_loss_duplicates_and_reordering(
    seed: int, loss: float
) -> None:
    counts = {"a": 0, "b": 3, "c": 700, "d": 4_000}
    wire = Wire(seed, {name: responder(count) for name, count in counts.items()}, loss)
    found = wire.run()
    for name, count in counts.items():
        if name in wire.asker.incomplete:  # named, and what came of it is its beginning
            assert loss
            assert found[name] == wanted(count)[: len(found[name])]
        else:
            assert found[name] == wanted(count)
    assert loss or not wire.asker.incomplete
    assert set(wire.asker.complete_members) | set(wire.asker.incomplete) == set(counts)
    if not loss:
        assert not any(len(answerer) for answerer in wire.members.values())  # and nothing is kept of it


@pytest.mark.parametrize("after", [0, 1, 12, 40])
def test_a_member_that_stops_responding_midway_is_named(after: int) -> None:
    wire = Wire(1, {"a": responder(60_000), "b": responder(50)}, 0.0)
    found: dict[str, list[int]] = {"a": [], "b": []}
    while wire.sent < after:
        wire.turn(found)
    wire.dead.add("a")
    found["b"] += wire.run()["b"]
    assert wire.asker.finished
    assert wire.now < 5_000_000
    why = wire.asker.incomplete["a"]
    assert "does not answer" in why or "fell silent after" in why
    assert set(wire.asker.incomplete) <= {"a", "b"}
    assert "b" in wire.asker.incomplete or found["b"] == wanted(50)


def test_a_member_that_restarts_midway_is_named() -> None:
    wire = Wire(1, {"a": responder(60_000)}, 0.0)
    found: dict[str, list[int]] = {"a": []}
    while not found["a"]:
        wire.turn(found)
    wire.members["a"] = responder(60_000)
    wire.run()
    assert "started anew" in wire.asker.incomplete["a"]


def test_replies_are_bounded_in_length_and_in_number_at_once() -> None:
    chance = random.Random(3)
    noise = [chance.getrandbits(62) for _ in range(120_000)]
    shape = declare_columns(("n", INTEGER, "noise"))
    table = Table("numbers", "noise", shape, lambda: noise, lambda one: (one,))
    wire = Wire(1, {"a": QueryResponder(lambda *_: TableReader(table, ["n"], {}))}, 0.0)
    wire.run()
    assert "too long" in wire.asker.incomplete["a"]
    busy = responder(60_000)
    for number in range(scatter_gather.MAX_OPEN_QUERIES):
        busy.receive("other", msgspec.msgpack.encode([number, "numbers", ["n"], {}, 0]), 0)
    late = Wire(1, {"a": busy}, 0.0, 99)
    late.run()
    assert "too many questions" in late.asker.incomplete["a"]
    busy.serve(scatter_gather.IDLE_TIMEOUT_US + 10_000_000, 7, lambda: 0, 1)
    assert not len(busy)  # nobody asked on


def test_a_malicious_member_costs_only_its_own_reply() -> None:
    import zlib

    bomb = zlib.compress(bytes(50_000_000), 9)[: scatter_gather.MAX_CHUNK_BYTES - 4]
    wrong = zlib.compress(msgspec.msgpack.encode((7, [["one", "too many"]])))
    for block in (bomb, wrong, b"\x00" * 50):
        asker = QueryGatherer(1, "numbers", ["n"], {}, ["liar", "b"], 0)
        data = len(block).to_bytes(4, "big") + block
        asker.receive("liar", msgspec.msgpack.encode([1, 0, False, data, ""]), 5)
        assert asker.incomplete == {"liar": "its answer can't be read"}
        assert not asker.batches
    asker.receive("stranger", msgspec.msgpack.encode([1, 0, True, b"", ""]), 5)
    asker.receive("b", b"\xc1", 5)
    asker.receive("b", msgspec.msgpack.encode([1, 9999, True, b"", ""]), 5)  # far beyond what is on its way
    assert not asker.finished


# query sessions


class FakeQueryClient:
    """A client that reads, or not."""

    def __init__(self) -> None:
        self.can_accept = self.is_open = True
        self.replies: list[Any] = []
        self.error: errors.ThornshelfError | None = None

    def send(self, reply: Any) -> int:
        self.replies.append(reply)
        return len(framing.encode_frame(reply))

    def close_with_error(self, error: errors.ThornshelfError) -> None:
        self.error = error
        self.is_open = False


def query_sessions_of(count: int = 20_000, max_clients: int = 2) -> QuerySessions:
    catalog = Catalog()
    catalog.add(numbers(count))
    return QuerySessions("me", catalog, None, lambda: 1, max_clients)


def test_queries_take_turns_within_the_time_budget() -> None:
    sessions, clock = query_sessions_of(), Clock(10)
    clients = [FakeQueryClient(), FakeQueryClient()]
    for client in clients:
        sessions.start(client, framing.QueryRequest(4, "numbers", ["n"]), 0)
    turns = 0
    while len(sessions):
        before = clock.at
        sessions.run_turn(turns, 7, clock, has_backlog=False)
        assert clock.at - before <= TURN_TIME_BUDGET_US + 4 * clock.step
        turns += 1
        if turns == 5:  # both are on their way
            assert all(client.replies for client in clients)
    for client in clients:
        rows = [
            row[0] for reply in client.replies if isinstance(reply, framing.RowPage) for row in reply.rows
        ]
        assert rows == wanted(20_000)
        assert client.replies[-1] == framing.QueryEnd(4, ["me"], [])
    assert turns > 3


def test_a_stalled_client_is_disconnected_and_delays_nobody() -> None:
    sessions, stalled, reading = query_sessions_of(), FakeQueryClient(), FakeQueryClient()
    sessions.start(stalled, framing.QueryRequest(1, "numbers", ["n"]), 0)
    sessions.start(reading, framing.QueryRequest(2, "numbers", ["n"]), 0)
    stalled.can_accept = False
    for now in range(0, STALLED_CLIENT_TIMEOUT_US + 2_000_000, 100_000):
        sessions.run_turn(now, 7, Clock(1), has_backlog=False)
    assert isinstance(stalled.error, errors.ControlProtocolError)
    assert not stalled.replies
    assert isinstance(reading.replies[-1], framing.QueryEnd)
    assert not len(sessions)


def test_a_turn_sends_no_more_than_its_byte_budget_and_one_page() -> None:
    catalog = Catalog()
    catalog.add(
        Table(
            "numbers",
            "wide",
            declare_columns(("n", TEXT, "")),
            lambda: range(2_000),
            lambda n: ("x" * 2_000,),
        )
    )
    sessions, clients = (
        QuerySessions("me", catalog, None, lambda: 1, 4),
        [FakeQueryClient() for _ in range(4)],
    )
    for client in clients:
        sessions.start(client, framing.QueryRequest(1, "numbers", ["n"]), 0)
    sent = 0
    while len(sessions):
        sessions.run_turn(0, 7, lambda: 0, has_backlog=False)  # no time passes: the bytes alone bound it
        now = sum(len(framing.encode_frame(reply)) for client in clients for reply in client.replies)
        assert now - sent < TURN_BYTE_BUDGET + 1_100_000
        sent = now
    assert sent > 4 * 2_000 * 2_000


def test_a_query_that_cannot_be_served_is_answered_with_its_error() -> None:
    sessions, client = query_sessions_of(), FakeQueryClient()
    sessions.start(client, framing.QueryRequest(1, "nothing", []), 0)
    sessions.start(client, framing.QueryRequest(2, "numbers", ["x"]), 0)
    for number in range(MAX_QUERIES_PER_CLIENT + 1):
        sessions.start(client, framing.QueryRequest(10 + number, "numbers", ["n"]), 0)
    assert [(reply.number, reply.code) for reply in client.replies] == [
        (1, "TS5004"),
        (2, "TS5004"),
        (14, "TS5005"),
    ]
    sessions.remove_client(client)
    assert not len(sessions)


# the socket


def test_the_socket_admits_its_user_alone_whatever_the_umask(tmp_path: Path) -> None:
    folder = tmp_path / ("x" * 120)  # longer than a socket's path may be
    folder.mkdir()
    place = folder / "control.sock"
    before = os.umask(0)
    try:
        sock = open_control_socket(place)
    finally:
        os.umask(before)
    assert os.stat(place).st_mode & 0o777 == 0o600
    with pytest.raises(errors.SocketInUseError):
        open_control_socket(place)
    sock.close()
    open_control_socket(place).close()  # what a process that died left behind makes way


@pytest.mark.parametrize("what", ["folder", "file", "nothing"])
def test_a_socket_path_that_others_may_write_to_or_that_is_invalid_is_rejected(
    tmp_path: Path, what: str
) -> None:
    folder = tmp_path / "run"
    if what != "nothing":
        folder.mkdir(mode=0o700)
    if what == "folder":
        folder.chmod(0o777)
    if what == "file":
        (folder / "s").write_text("precious")
    with pytest.raises(errors.ControlSocketError) as found:
        open_control_socket(folder / "s")
    assert "control.socket" in str(found.value)
    assert "mkdir -m 700" in found.value.remedy
    assert what != "file" or (folder / "s").read_text() == "precious"


# SQL


class FakeControlClient:
    """A client of a dispatcher with the given rows."""

    timeout_s = 5.0

    def __init__(
        self, rows: dict[str, list[dict[str, Any]]], missing: list[tuple[str, str]] | None = None
    ) -> None:
        self.tables = rows
        self.missing = missing or []
        self.requests: list[tuple[str, list[str]]] = []

    def fetch_catalog(self) -> framing.CatalogReply:
        shapes = [
            framing.TableSchema(name, "x", [(column, "TEXT", "") for column in (rows[0] if rows else {})])
            for name, rows in self.tables.items()
        ]
        return framing.CatalogReply(0, "m0", "1", True, shapes)

    def fetch_rows(
        self, table: str, names: list[str], fleet: bool, filters: Any, summary: ResponseSummary
    ) -> Iterator[framing.RowPage]:
        self.requests.append((table, names))
        summary.missing += self.missing
        page = framing.RowPage(1, "m0", 5, [[row[name] for name in names] for row in self.tables[table]])
        summary.add_page(page)
        yield page


HOSTILE_NAME = 's-"q" [red]x[/red] \'\x1b[2J\n\u202e'


ONE_SECOND = QueryLimits(timeout_s=1.0)


def engine(limits: QueryLimits = ONE_SECOND, **more: Any) -> tuple[QueryEngine, FakeControlClient]:
    client = FakeControlClient(
        {"nodes": [{"node": HOSTILE_NAME, "health": "up"}, {"node": "b", "health": "draining"}], "t": []},
        **more,
    )
    return QueryEngine(client, limits), client  # type: ignore[arg-type]


def test_only_what_a_query_reads_is_fetched() -> None:
    found, client = engine()
    assert found.query("SELECT count(*) FROM nodes").rows == [(2,)]
    assert found.query(
        "WITH x AS (SELECT member, health FROM nodes) SELECT * FROM x WHERE health = 'up'"
    ).rows
    assert client.requests == [("nodes", []), ("nodes", ["health"])]
    assert found.query("SELECT 1").rows == [(1,)]
    assert len(client.requests) == 2


@pytest.mark.parametrize(
    "sql",
    [
        "DELETE FROM nodes", "INSERT INTO nodes (node) VALUES ('x')", "CREATE TABLE x (y)", "DROP TABLE nodes",
        "ATTACH '/tmp/x' AS y", "PRAGMA writable_schema = 1", "SELECT 1; DROP TABLE nodes", "SELECT x FROM nodes",
        "VACUUM INTO '/tmp/x'", "SELECT load_extension('x')", "nonsense", "", "SELECT zeroblob(999999999)",
        "SELECT * FROM nowhere", "BEGIN", "SELECT '\x00'", "\ud800",
    ],
)  # fmt: skip
def test_sql_that_writes_or_is_invalid_is_rejected_and_nothing_is_fetched(sql: str) -> None:
    found, client = engine()
    with pytest.raises(errors.QueryError):
        found.query(sql)
    assert not client.requests
    assert found.query("SELECT count(*) FROM nodes").rows == [(2,)]


def test_a_query_that_never_ends_or_returns_too_much_is_bounded_and_reported() -> None:
    endless = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n) SELECT "
    found, _ = engine(QueryLimits(timeout_s=0.2, max_rows=10))
    with pytest.raises(errors.QueryLimitError, match="not over"):
        found.query(endless + "sum(i) FROM n")
    cut = found.query(endless + "i FROM n")
    assert len(cut.rows) == 10
    assert not cut.complete
    assert "first 10 rows" in cut.truncation


def test_members_without_a_reply_are_in_the_result_and_in_a_table() -> None:
    found, _ = engine(missing=[("m3", "it does not answer")])
    result = found.query("SELECT u.member, u.why FROM unanswered u, nodes LIMIT 1")
    assert result.rows == [("m3", "it does not answer")]
    assert not result.complete
    assert "NOT ALL MEMBERS: m3: it does not answer" in output.summary_lines(result)
    assert '"unanswered": [{"member": "m3"' in output.as_json(result)


def test_names_cannot_move_the_cursor_and_are_not_markup() -> None:
    found, _ = engine()
    result = found.query("SELECT node FROM nodes LIMIT 1")
    assert result.rows == [(HOSTILE_NAME,)]
    from rich.console import Console

    console = Console(width=200, record=True, file=open(os.devnull, "w"))  # noqa: SIM115
    console.print(output.render_table(result))
    shown = console.export_text()
    for text in (shown, output.as_csv(result), output.sanitize(HOSTILE_NAME), output.as_json(result)):
        assert "\x1b" not in text
        assert "\u202e" not in text
    assert "[red]x[/red]" in shown
    assert "\\x1b[2J\\n\\u202e" in shown
    assert unquote(output.sanitize(HOSTILE_NAME)) == HOSTILE_NAME  # as it is shown it can be typed


def test_saved_queries_and_differences_are_sql_over_the_tables() -> None:
    from thornshelf.control.core_tables import CoreTables
    from thornshelf.control.fleet_tables import (
        drain_gossip_table,
        members_table,
        outlier_evidence_table,
        quota_table,
    )

    nothing: Any = None
    core: Any = SimpleNamespace(page_tasks=lambda: None)
    made = (*CoreTables(core, History(1), ErrorCounters(), nothing).tables(nothing), members_table(nothing))
    shown = (
        *made,
        outlier_evidence_table(nothing, nothing),
        drain_gossip_table(nothing),
        quota_table(nothing),
    )
    client = FakeControlClient(
        {table.name: [{column.name: None for column in table.columns}] for table in shown}
    )
    found = QueryEngine(client)  # type: ignore[arg-type]
    for one in saved_queries.SAVED_QUERIES:
        assert found.referenced_columns(one.sql), one.name
    for name in saved_queries.COMPARED_COLUMNS:
        assert found.referenced_columns(str(saved_queries.difference_query(name)))
    assert saved_queries.difference_query("tasks") is None
    assert len(shown) == len({table.name for table in shown}) == 12


# reasons

FINE = {
    "member": "m1", "health": "up", "reach": "connected", "standing": 0, "suspect_ms": 0, "strikes": 0, "shut_ms": 0,
    "cold": 0, "cold_left": None, "second_choice": 0, "cores": 10.0, "taken_cores": 1.0, "memory": 10.0,
    "taken_memory": 1.0, "late_ms": None, "waits": 0, "waits_ms": None,
}  # fmt: skip


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"health": "draining"}, "its list says that the node drains"),
        ({"reach": "unreachable"}, "can't be reached"),
        ({"suspect_ms": 900, "strikes": 3}, "kept away for 900 ms more"),
        ({"strikes": 1}, "1 sign"),
        ({"shut_ms": 300}, "left alone for 300 ms"),
        ({"cold": 1, "cold_left": 0}, "share of offers to it is used up"),
        ({"cold": 1, "cold_left": 4}, "4 more offers"),
        ({"second_choice": 1}, "second choice by the word of m2"),
        ({"taken_cores": 9.9}, "taken of its cores"),
        ({"late_ms": 3000}, "starts take 3000 ms"),
        ({"waits": 9, "waits_ms": 20}, "9 task(s) of this member wait"),
        ({"waits": 1, "waits_ms": 1500}, "for 1500 ms"),
        ({"cores": None}, "does not know it yet"),
    ],
)
def test_each_reason_against_a_node_is_reported(change: dict[str, Any], said: str) -> None:
    seen = [{"by": "m2", "sight": "silent", "member": "m1"}, {"by": "m1", "sight": "silent", "member": "m1"}]
    assert placement_reasons(FINE, [], False) == []
    (reason,) = placement_reasons(FINE | change, seen, False)
    assert said in reason
    assert "by others' word" in placement_reasons(FINE | {"health": "draining"}, seen, True)[0]


def test_a_task_id_is_recognized_by_its_form() -> None:
    assert is_task_id("9b1f03aa5c7e2d41")
    assert is_task_id("7F")
    assert not is_task_id("s-00000001")
    assert not is_task_id("")


def test_numbers_and_nulls_are_shown_as_they_are() -> None:
    result = QueryResult(["a", "b"], [(1, None), (2.5, "x")], ResponseSummary())
    assert output.as_csv(result) == "a,b\r\n1,\r\n2.5,x\r\n"
    assert result.complete


def test_a_peer_is_identified_by_the_system(tmp_path: Path) -> None:
    """What the dispatcher reads of a shell's user comes from the kernel, in this shape."""
    from thornshelf.components.control_socket import PEER_CREDENTIALS

    left, right = socket.socketpair(socket.AF_UNIX)
    credentials = left.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    process, user, _ = PEER_CREDENTIALS.unpack(credentials)
    assert (process, user) == (os.getpid(), os.geteuid())
    left.close()
    right.close()


def test_task_pages_hold_all_tasks_and_a_table_reads_them_page_by_page_as_they_change() -> None:
    chance, known = random.Random(5), dict[int, Any]({1: "early"})
    runs: Any = TaskPages(known)
    for number in range(2, 6_000):
        runs[number] = known[number] = f"t{number}"
        if chance.random() < 0.6:
            gone = chance.choice(list(known)[-50:])
            del runs[gone], known[gone]
    assert runs == known
    assert len(runs) == len(known) > 1_000
    assert {n: t for run in runs.pages.values() for n, t in run.items()} == known
    assert all(runs.pages.values())

    def run(place: int) -> list[Any]:
        return list(runs.pages.get(place, {}).values())

    table = Table("t", "", declare_columns(("t", TEXT, "")), lambda: list(runs.pages), lambda t: (t,), run)
    reading, found, stayed = TableReader(table, ["t"], {}), list[Any](), set(known)
    while not reading.exhausted:
        found += [row[0] for row in reading.read_rows(Clock(100), 200, 40)]
        gone = chance.choice(list(known))
        del runs[gone], known[gone]
        stayed.discard(gone)
        runs[10_000 + len(found)] = known[10_000 + len(found)] = "later"
    told = [one for one in found if one != "later"]
    assert len(told) == len(set(told))
    assert {str(known[number]) for number in stayed} <= set(told)
