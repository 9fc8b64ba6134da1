"""Tables, frames, queries to the fleet, query sessions, the control socket and SQL, without a dispatcher process."""

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

REPRODUCIBLE = settings(derandomize=True, deadline=None, max_examples=60)


def numbers_table(count: int, name: str = "numbers") -> Table:
    """Returns a table of numbers and texts, in which every tenth item has disappeared and gives no row."""
    columns = declare_columns(("n", INTEGER, "a number"), ("text", TEXT, "a text"))
    return Table(
        name, "numbers", columns, lambda: range(count), lambda n: None if n % 10 == 9 else (n, f"t{n}")
    )


class FakeClock:
    """A clock that advances by a fixed step at each reading."""

    def __init__(self, step: int) -> None:
        self.step, self.now, self.read_count = step, 0, 0  # times in microseconds

    def __call__(self) -> int:
        self.now += self.step
        self.read_count += 1
        return self.now


# tables


def test_a_table_is_read_in_bounded_steps_without_losing_rows() -> None:
    reader, rows, step_count = TableReader(numbers_table(100_000), ["n"], {}), list[Any](), 0
    clock = FakeClock(10)
    while not reader.exhausted:
        started_us = clock.now
        rows += reader.read_rows(clock, started_us + 300, 10_000)
        step_count += 1
        assert clock.now - started_us <= 300 + 2 * clock.step
    assert [row[0] for row in rows] == [n for n in range(100_000) if n % 10 != 9]
    assert step_count > 100
    assert reader.examined_count == 100_000


def test_a_table_reader_returns_the_requested_columns_of_matching_rows_up_to_its_limit() -> None:
    reader = TableReader(numbers_table(30), ["text", "n"], {"n": 7})
    assert reader.read_rows(lambda: 0, 1, 99) == [["t7", 7]]
    assert reader.exhausted
    reader = TableReader(numbers_table(30), ["n"], {}, max_rows=5)
    assert len(reader.read_rows(lambda: 0, 1, 99)) == 5
    assert reader.exhausted
    assert reader.truncated
    for columns, filters in ((["x"], {}), (["n"], {"y": 1})):
        with pytest.raises(errors.UnknownTableError, match="has no column"):
            TableReader(numbers_table(3), columns, filters)
    with pytest.raises(errors.UnknownTableError, match="no table"):
        Catalog().table("x")


def test_history_is_bounded_and_errors_are_counted_by_code() -> None:
    history = History(1000)
    for number in range(2000):
        history.record(number, number, 1, "ended", 3, Outcome.TIMED_OUT, "", "untold")
    gc.collect()
    events = [event for page in history.pages for event in page]
    assert [event[1] for event in events] == list(range(history.dropped, 2000))
    assert 1000 <= len(events) <= 1600
    assert events[-1][5] == "timed_out"
    assert not any(gc.is_tracked(event) for event in events)
    counters = ErrorCounters()
    for number in range(70):
        counters.count_line(number, {"code": "TS2001"}, f"line {number}")
    counters.count_line(5, {"code": "nonsense"}, "x")
    counters.count_line(5, {}, "no error")
    assert set(counters.by_code) == {"TS2001"}
    assert counters.by_code["TS2001"].count == 70
    assert counters.by_code["TS2001"].last_text == "line 69"


def test_settings_are_shown_without_the_key() -> None:
    from thornshelf.membership.config import MembershipConfig

    shown = dict(flatten_settings(MembershipConfig(fleet="f", name="n", address="a:1", key=b"secret" * 4)))
    assert shown["fleet"] == "f"
    assert not any("secret" in str(value) for value in shown.values())


# frames


@REPRODUCIBLE
@given(st.lists(st.binary(max_size=300), max_size=8), st.lists(st.integers(1, 400), max_size=20))
def test_messages_are_the_same_however_the_stream_is_split(
    bodies: list[bytes], chunk_sizes: list[int]
) -> None:
    stream = b"".join(len(body).to_bytes(4, "big") + body for body in bodies)
    decoder, decoded = framing.FrameDecoder(1000), list[bytes]()
    for size in chunk_sizes:
        decoded += decoder.feed(stream[:size])
        stream = stream[size:]
    assert decoded + decoder.feed(stream) == bodies


@REPRODUCIBLE
@given(st.binary(max_size=200))
def test_a_malformed_message_is_a_protocol_error(data: bytes) -> None:
    for decode in (framing.decode_request, framing.decode_reply):
        with suppress(errors.ControlProtocolError):
            decode(data)
    with pytest.raises(errors.ControlProtocolError):
        framing.FrameDecoder(100).feed(b"\xff\xff\xff\xff" + data)


# queries to the fleet


class LossyNetwork:
    """Members that reply to one querier's query, over links that lose, duplicate and reorder datagrams.

    ``loss``: the probability that a datagram is lost, and that it is duplicated. ``replies_received``: so far, by the
    querier.
    """

    def __init__(self, seed: int, members: dict[str, QueryResponder], loss: float, query_id: int = 1) -> None:
        self.random, self.members, self.loss = random.Random(seed), members, loss
        self.now, self.replies_received, self.dead_members = 0, 0, set[str]()
        self.gatherer = QueryGatherer(query_id, "numbers", ["n"], {}, members, 0)

    def run(self, until_us: int = 20_000_000) -> dict[str, list[int]]:
        """Run until each member has replied or was given up; returns the numbers that each has sent."""
        received: dict[str, list[int]] = {name: [] for name in self.members}
        while not self.gatherer.finished and self.now < until_us:
            self.run_turn(received)
        self.run_turn(received)
        return received

    def run_turn(self, received: dict[str, list[int]]) -> None:
        """Advance by one millisecond, and add the numbers that have arrived."""
        self.now += 1_000
        self.gatherer.tick(self.now)
        for name, data in self._deliver(self.gatherer.outgoing):
            if name not in self.dead_members:
                self.members[name].receive("me", data, self.now)
        for name, responder in self.members.items():
            responder.serve(self.now, 7, lambda: 0, 1)
            for _, data in self._deliver(responder.outgoing):
                if name not in self.dead_members:
                    self.replies_received += 1
                    self.gatherer.receive(name, data, self.now)
        for name, at_ms, rows in self.gatherer.batches:
            assert at_ms == 7
            received[name] += [int(str(row[0])) for row in rows]
        self.gatherer.batches.clear()

    def _deliver(self, outgoing: list[tuple[str, bytes]]) -> Iterator[tuple[str, bytes]]:
        datagrams = [one for one in outgoing for _ in range(1 + (self.random.random() < self.loss))]
        outgoing.clear()
        self.random.shuffle(datagrams)
        for _, data in datagrams:
            # Leaves room in a datagram for the header and the sender's own record.
            assert len(data) <= scatter_gather.MAX_CHUNK_BYTES + 180
        return iter([one for one in datagrams if self.random.random() >= self.loss])


def make_responder(count: int) -> QueryResponder:
    catalog = Catalog()
    catalog.add(numbers_table(count))
    return QueryResponder(lambda table, columns, filters: TableReader(catalog.table(table), columns, filters))


def expected_numbers(count: int) -> list[int]:
    """Returns the numbers in the rows of ``numbers_table(count)``."""
    return [n for n in range(count) if n % 10 != 9]


@REPRODUCIBLE
@given(st.integers(0, 999), st.sampled_from([0.0, 0.1, 0.3]))
def test_all_rows_come_once_and_in_order_through_loss_duplicates_and_reordering(
    seed: int, loss: float
) -> None:
    counts = {"a": 0, "b": 3, "c": 700, "d": 4_000}
    network = LossyNetwork(seed, {name: make_responder(count) for name, count in counts.items()}, loss)
    received = network.run()
    for name, count in counts.items():
        if name in network.gatherer.incomplete:  # named, and the rows received are the first ones
            assert loss
            assert received[name] == expected_numbers(count)[: len(received[name])]
        else:
            assert received[name] == expected_numbers(count)
    assert loss or not network.gatherer.incomplete
    assert set(network.gatherer.complete_members) | set(network.gatherer.incomplete) == set(counts)
    if not loss:
        assert not any(len(responder) for responder in network.members.values())  # no query stays open


@pytest.mark.parametrize("reply_count", [0, 1, 12, 40])
def test_a_member_that_stops_responding_midway_is_named(reply_count: int) -> None:
    network = LossyNetwork(1, {"a": make_responder(60_000), "b": make_responder(50)}, 0.0)
    received: dict[str, list[int]] = {"a": [], "b": []}
    while network.replies_received < reply_count:
        network.run_turn(received)
    network.dead_members.add("a")
    received["b"] += network.run()["b"]
    assert network.gatherer.finished
    assert network.now < 5_000_000
    reason = network.gatherer.incomplete["a"]
    assert "does not answer" in reason or "fell silent after" in reason
    assert set(network.gatherer.incomplete) <= {"a", "b"}
    assert "b" in network.gatherer.incomplete or received["b"] == expected_numbers(50)


def test_a_member_that_restarts_midway_is_named() -> None:
    network = LossyNetwork(1, {"a": make_responder(60_000)}, 0.0)
    received: dict[str, list[int]] = {"a": []}
    while not received["a"]:
        network.run_turn(received)
    network.members["a"] = make_responder(60_000)
    network.run()
    assert "started anew" in network.gatherer.incomplete["a"]


def test_replies_are_bounded_in_length_and_in_number_at_once() -> None:
    random_source = random.Random(3)
    numbers = [random_source.getrandbits(62) for _ in range(120_000)]
    columns = declare_columns(("n", INTEGER, "incompressible"))
    table = Table("numbers", "incompressible", columns, lambda: numbers, lambda number: (number,))
    network = LossyNetwork(1, {"a": QueryResponder(lambda *_: TableReader(table, ["n"], {}))}, 0.0)
    network.run()
    assert "too long" in network.gatherer.incomplete["a"]
    busy = make_responder(60_000)
    for query_id in range(scatter_gather.MAX_OPEN_QUERIES):
        busy.receive("other", msgspec.msgpack.encode([query_id, "numbers", ["n"], {}, 0]), 0)
    late = LossyNetwork(1, {"a": busy}, 0.0, 99)
    late.run()
    assert "too many questions" in late.gatherer.incomplete["a"]
    busy.serve(scatter_gather.IDLE_TIMEOUT_US + 10_000_000, 7, lambda: 0, 1)
    assert not len(busy)  # queries whose chunks nobody requests are dropped


def test_a_malicious_member_costs_only_its_own_reply() -> None:
    import zlib

    decompression_bomb = zlib.compress(bytes(50_000_000), 9)[: scatter_gather.MAX_CHUNK_BYTES - 4]
    wrong_column_count = zlib.compress(msgspec.msgpack.encode((7, [["one", "too many"]])))
    for block in (decompression_bomb, wrong_column_count, b"\x00" * 50):
        gatherer = QueryGatherer(1, "numbers", ["n"], {}, ["malicious", "b"], 0)
        data = len(block).to_bytes(4, "big") + block
        gatherer.receive("malicious", msgspec.msgpack.encode([1, 0, False, data, ""]), 5)
        assert gatherer.incomplete == {"malicious": "its answer can't be read"}
        assert not gatherer.batches
    gatherer.receive("stranger", msgspec.msgpack.encode([1, 0, True, b"", ""]), 5)
    gatherer.receive("b", b"\xc1", 5)  # not MessagePack
    # A chunk beyond the send window.
    gatherer.receive("b", msgspec.msgpack.encode([1, 9999, True, b"", ""]), 5)
    assert not gatherer.finished


# query sessions


class FakeQueryClient:
    """A client that collects its replies; tests set ``can_accept`` to stall it."""

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


def make_sessions(count: int = 20_000, max_clients: int = 2) -> QuerySessions:
    catalog = Catalog()
    catalog.add(numbers_table(count))
    return QuerySessions("me", catalog, None, lambda: 1, max_clients)


def test_queries_take_turns_within_the_time_budget() -> None:
    sessions, clock = make_sessions(), FakeClock(10)
    clients = [FakeQueryClient(), FakeQueryClient()]
    for client in clients:
        sessions.start(client, framing.QueryRequest(4, "numbers", ["n"]), 0)
    turns = 0
    while len(sessions):
        started_us = clock.now
        sessions.run_turn(turns, 7, clock, has_backlog=False)
        assert clock.now - started_us <= TURN_TIME_BUDGET_US + 4 * clock.step
        turns += 1
        if turns == 5:  # the first query has not delayed the second one
            assert all(client.replies for client in clients)
    for client in clients:
        rows = [
            row[0] for reply in client.replies if isinstance(reply, framing.RowPage) for row in reply.rows
        ]
        assert rows == expected_numbers(20_000)
        assert client.replies[-1] == framing.QueryEnd(4, ["me"], [])
    assert turns > 3


def test_a_stalled_client_is_disconnected_and_delays_nobody() -> None:
    sessions, stalled, reading = make_sessions(), FakeQueryClient(), FakeQueryClient()
    sessions.start(stalled, framing.QueryRequest(1, "numbers", ["n"]), 0)
    sessions.start(reading, framing.QueryRequest(2, "numbers", ["n"]), 0)
    stalled.can_accept = False
    for now_us in range(0, STALLED_CLIENT_TIMEOUT_US + 2_000_000, 100_000):
        sessions.run_turn(now_us, 7, FakeClock(1), has_backlog=False)
    assert isinstance(stalled.error, errors.ControlProtocolError)
    assert not stalled.replies
    assert isinstance(reading.replies[-1], framing.QueryEnd)
    assert not len(sessions)


def test_a_turn_sends_no_more_than_its_byte_budget_and_one_page() -> None:
    catalog = Catalog()
    catalog.add(
        Table(
            "numbers",
            "wide rows",
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
    sent_bytes = 0
    while len(sessions):
        # The clock stands still, so only the byte budget ends a turn.
        sessions.run_turn(0, 7, lambda: 0, has_backlog=False)
        total_bytes = sum(len(framing.encode_frame(reply)) for client in clients for reply in client.replies)
        assert total_bytes - sent_bytes < TURN_BYTE_BUDGET + 1_100_000
        sent_bytes = total_bytes
    assert sent_bytes > 4 * 2_000 * 2_000


def test_a_query_that_cannot_be_served_is_answered_with_its_error() -> None:
    sessions, client = make_sessions(), FakeQueryClient()
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


# the control socket


def test_only_its_user_may_access_the_socket_whatever_the_umask(tmp_path: Path) -> None:
    folder = tmp_path / ("x" * 120)  # longer than the path in a socket address may be
    folder.mkdir()
    path = folder / "control.sock"
    previous_umask = os.umask(0)
    try:
        sock = open_control_socket(path)
    finally:
        os.umask(previous_umask)
    assert os.stat(path).st_mode & 0o777 == 0o600
    with pytest.raises(errors.SocketInUseError):
        open_control_socket(path)
    sock.close()
    open_control_socket(path).close()  # replaces the stale socket


@pytest.mark.parametrize("problem", ["open folder", "existing file", "no folder"])
def test_a_socket_path_that_others_may_write_to_or_that_is_invalid_is_rejected(
    tmp_path: Path, problem: str
) -> None:
    folder = tmp_path / "run"
    if problem != "no folder":
        folder.mkdir(mode=0o700)
    if problem == "open folder":
        folder.chmod(0o777)
    if problem == "existing file":
        (folder / "s").write_text("precious")
    with pytest.raises(errors.ControlSocketError) as raised:
        open_control_socket(folder / "s")
    assert "control.socket" in str(raised.value)
    assert "mkdir -m 700" in raised.value.remedy
    assert problem != "existing file" or (folder / "s").read_text() == "precious"


# SQL


class FakeControlClient:
    """A client of a dispatcher whose tables have the given rows."""

    timeout_s = 5.0

    def __init__(
        self, tables: dict[str, list[dict[str, Any]]], missing: list[tuple[str, str]] | None = None
    ) -> None:
        self.tables = tables
        self.missing = missing or []
        self.requests: list[tuple[str, list[str]]] = []

    def fetch_catalog(self) -> framing.CatalogReply:
        schemas = [
            framing.TableSchema(name, "x", [(column, "TEXT", "") for column in (rows[0] if rows else {})])
            for name, rows in self.tables.items()
        ]
        return framing.CatalogReply(0, "m0", "1", True, schemas)

    def fetch_rows(
        self, table: str, columns: list[str], fleet: bool, filters: Any, summary: ResponseSummary
    ) -> Iterator[framing.RowPage]:
        self.requests.append((table, columns))
        summary.missing += self.missing
        page = framing.RowPage(
            1, "m0", 5, [[row[column] for column in columns] for row in self.tables[table]]
        )
        summary.add_page(page)
        yield page


HOSTILE_NAME = 's-"q" [red]x[/red] \'\x1b[2J\n\u202e'


ONE_SECOND = QueryLimits(timeout_s=1.0)


def make_engine(limits: QueryLimits = ONE_SECOND, **options: Any) -> tuple[QueryEngine, FakeControlClient]:
    """Returns an engine whose client has two nodes, and the client; ``options`` are passed to the client."""
    client = FakeControlClient(
        {"nodes": [{"node": HOSTILE_NAME, "health": "up"}, {"node": "b", "health": "draining"}], "t": []},
        **options,
    )
    return QueryEngine(client, limits), client  # type: ignore[arg-type]


def test_only_what_a_query_reads_is_fetched() -> None:
    engine, client = make_engine()
    assert engine.query("SELECT count(*) FROM nodes").rows == [(2,)]
    assert engine.query(
        "WITH x AS (SELECT member, health FROM nodes) SELECT * FROM x WHERE health = 'up'"
    ).rows
    assert client.requests == [("nodes", []), ("nodes", ["health"])]
    assert engine.query("SELECT 1").rows == [(1,)]
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
    engine, client = make_engine()
    with pytest.raises(errors.QueryError):
        engine.query(sql)
    assert not client.requests
    assert engine.query("SELECT count(*) FROM nodes").rows == [(2,)]


def test_a_query_that_never_ends_or_returns_too_much_is_bounded_and_reported() -> None:
    endless = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n) SELECT "
    engine, _ = make_engine(QueryLimits(timeout_s=0.2, max_rows=10))
    with pytest.raises(errors.QueryLimitError, match="not over"):
        engine.query(endless + "sum(i) FROM n")
    result = engine.query(endless + "i FROM n")
    assert len(result.rows) == 10
    assert not result.complete
    assert "first 10 rows" in result.truncation


def test_members_without_a_reply_are_in_the_result_and_in_a_table() -> None:
    engine, _ = make_engine(missing=[("m3", "it does not answer")])
    result = engine.query("SELECT u.member, u.why FROM unanswered u, nodes LIMIT 1")
    assert result.rows == [("m3", "it does not answer")]
    assert not result.complete
    assert "NOT ALL MEMBERS: m3: it does not answer" in output.summary_lines(result)
    assert '"unanswered": [{"member": "m3"' in output.as_json(result)


def test_names_cannot_move_the_cursor_and_are_not_markup() -> None:
    engine, _ = make_engine()
    result = engine.query("SELECT node FROM nodes LIMIT 1")
    assert result.rows == [(HOSTILE_NAME,)]
    from rich.console import Console

    console = Console(width=200, record=True, file=open(os.devnull, "w"))  # noqa: SIM115
    console.print(output.render_table(result))
    printed = console.export_text()
    for text in (printed, output.as_csv(result), output.sanitize(HOSTILE_NAME), output.as_json(result)):
        assert "\x1b" not in text
        assert "\u202e" not in text
    assert "[red]x[/red]" in printed
    assert "\\x1b[2J\\n\\u202e" in printed
    # Operators can type the name as it is shown.
    assert unquote(output.sanitize(HOSTILE_NAME)) == HOSTILE_NAME


def test_saved_queries_and_differences_are_sql_over_the_tables() -> None:
    from thornshelf.control.core_tables import CoreTables
    from thornshelf.control.fleet_tables import (
        drain_gossip_table,
        members_table,
        outlier_evidence_table,
        quota_table,
    )

    unused: Any = None  # only the tables' declarations are used, not their rows
    core: Any = SimpleNamespace(page_tasks=lambda: None)
    first_tables = (
        *CoreTables(core, History(1), ErrorCounters(), unused).tables(unused),
        members_table(unused),
    )
    tables = (
        *first_tables,
        outlier_evidence_table(unused, unused),
        drain_gossip_table(unused),
        quota_table(unused),
    )
    client = FakeControlClient(
        {table.name: [{column.name: None for column in table.columns}] for table in tables}
    )
    engine = QueryEngine(client)  # type: ignore[arg-type]
    for query in saved_queries.SAVED_QUERIES:
        assert engine.referenced_columns(query.sql), query.name
    for table_name in saved_queries.COMPARED_COLUMNS:
        assert engine.referenced_columns(str(saved_queries.difference_query(table_name)))
    assert saved_queries.difference_query("tasks") is None
    assert len(tables) == len({table.name for table in tables}) == 12


# placement reasons

HEALTHY_NODE = {
    "member": "m1", "health": "up", "reach": "connected", "standing": 0, "suspect_ms": 0, "strikes": 0, "shut_ms": 0,
    "cold": 0, "cold_left": None, "second_choice": 0, "cores": 10.0, "taken_cores": 1.0, "memory": 10.0,
    "taken_memory": 1.0, "late_ms": None, "waits": 0, "waits_ms": None,
}  # fmt: skip


@pytest.mark.parametrize(
    ("change", "expected"),
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
def test_each_reason_against_a_node_is_reported(change: dict[str, Any], expected: str) -> None:
    evidence = [
        {"by": "m2", "sight": "silent", "member": "m1"},
        {"by": "m1", "sight": "silent", "member": "m1"},
    ]
    assert placement_reasons(HEALTHY_NODE, [], False) == []
    (reason,) = placement_reasons(HEALTHY_NODE | change, evidence, False)
    assert expected in reason
    assert "by others' word" in placement_reasons(HEALTHY_NODE | {"health": "draining"}, evidence, True)[0]


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
    """Guards against a wrong layout of the credentials that the kernel reports for a shell's process."""
    from thornshelf.components.control_socket import PEER_CREDENTIALS

    left, right = socket.socketpair(socket.AF_UNIX)
    credentials = left.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    process_id, user_id, _ = PEER_CREDENTIALS.unpack(credentials)
    assert (process_id, user_id) == (os.getpid(), os.geteuid())
    left.close()
    right.close()


def test_task_pages_hold_all_tasks_and_a_table_reads_them_page_by_page_as_they_change() -> None:
    random_source, expected = random.Random(5), dict[int, Any]({1: "early"})
    tasks: Any = TaskPages(expected)
    for number in range(2, 6_000):
        tasks[number] = expected[number] = f"t{number}"
        if random_source.random() < 0.6:
            removed = random_source.choice(list(expected)[-50:])
            del tasks[removed], expected[removed]
    assert tasks == expected
    assert len(tasks) == len(expected) > 1_000
    assert {n: t for page in tasks.pages.values() for n, t in page.items()} == expected
    assert all(tasks.pages.values())

    def page_tasks(page: int) -> list[Any]:
        return list(tasks.pages.get(page, {}).values())

    table = Table(
        "t", "", declare_columns(("t", TEXT, "")), lambda: list(tasks.pages), lambda t: (t,), page_tasks
    )
    reader, texts, remaining = TableReader(table, ["t"], {}), list[Any](), set(expected)
    while not reader.exhausted:
        texts += [row[0] for row in reader.read_rows(FakeClock(100), 200, 40)]
        removed = random_source.choice(list(expected))
        del tasks[removed], expected[removed]
        remaining.discard(removed)
        tasks[10_000 + len(texts)] = expected[10_000 + len(texts)] = "added during the read"
    initial_texts = [text for text in texts if text != "added during the read"]
    assert len(initial_texts) == len(set(initial_texts))
    assert {str(expected[number]) for number in remaining} <= set(initial_texts)
