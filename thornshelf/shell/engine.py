"""Runs SQL over the dispatchers' tables, with SQLite in this process.

A query is first prepared against empty tables: SQLite reports which columns it reads, and writing statements are
rejected. Only these columns are then fetched into in-memory tables, on which the query runs within limits of time and
rows.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Mapping
from contextlib import closing
from dataclasses import dataclass, field
from typing import Any

from thornshelf.control.framing import CatalogReply, Cell, TableSchema
from thornshelf.errors import QueryError, QueryLimitError
from thornshelf.shell.client import ControlClient, ResponseSummary

# In every table: the member that sent the row, and when, in Unix ms.
ORIGIN_COLUMNS = (("member", "TEXT"), ("at_ms", "INTEGER"))
UNANSWERED_TABLE = "unanswered"  # made here: the members whose rows are incomplete, and why
MAX_TEXT_BYTES = 1_000_000  # of one value, and of the query
INSTRUCTIONS_PER_CLOCK_CHECK = 10_000  # of SQLite's virtual machine
MIN_EXECUTION_S = 0.5  # for the execution, even if fetching the rows has used up the timeout
READ_ACTIONS = frozenset(
    (sqlite3.SQLITE_SELECT, sqlite3.SQLITE_READ, sqlite3.SQLITE_FUNCTION, sqlite3.SQLITE_RECURSIVE)
)
FORBIDDEN_FUNCTIONS = frozenset(("load_extension", "fts3_tokenizer", "zeroblob", "randomblob"))


@dataclass(frozen=True, slots=True)
class QueryLimits:
    """The limits of one query: its time, the rows it may return, and the rows it may fetch of each table."""

    timeout_s: float = 10.0
    max_rows: int = 10_000
    max_rows_read: int = 2_000_000


@dataclass(slots=True)
class QueryResult:
    """The rows of a query, and whether they are complete.

    ``truncation``: why rows were left out, empty if none were; ``tables``: the tables that the query read.
    """

    columns: list[str]
    rows: list[tuple[Any, ...]]
    summary: ResponseSummary
    truncation: str = ""
    tables: list[str] = field(default_factory=list)
    elapsed_s: float = 0.0

    @property
    def complete(self) -> bool:
        """Whether all members have sent all rows, and none were left out."""
        return not self.summary.missing and not self.truncation


def quote_identifier(name: str) -> str:
    """Returns the name of a table or column, quoted for SQL."""
    return '"' + name.replace('"', '""') + '"'


class QueryEngine:
    """Runs queries over one connection to a dispatcher."""

    def __init__(self, client: ControlClient, limits: QueryLimits = QueryLimits()) -> None:  # noqa: B008
        """Fetch the catalog of tables; raises the errors of the client."""
        self.client = client
        self.limits = limits
        self.catalog: CatalogReply = client.fetch_catalog()
        self.schemas: dict[str, TableSchema] = {schema.name: schema for schema in self.catalog.tables}

    def query(
        self, sql: str, fleet: bool = False, filters: Mapping[str, Mapping[str, Cell]] | None = None
    ) -> QueryResult:
        """Run one SELECT and return its rows.

        ``fleet``: over the rows of all members; ``filters``: by table, fetch only rows with exactly these values.
        Raises ``QueryError`` for invalid or writing SQL, ``QueryLimitError``, and the errors of the client.
        """
        started = time.monotonic()
        columns_by_table = self.referenced_columns(sql)
        summary = ResponseSummary()
        with closing(self._create_database()) as database:
            for table, columns in columns_by_table.items():
                table_filters = (filters or {}).get(table, {})
                self._load_table(database, table, columns, fleet, table_filters, summary)
            database.executemany(f"INSERT INTO {UNANSWERED_TABLE} VALUES (?, ?)", summary.missing)
            selection = self._execute(database, sql, started + self.limits.timeout_s)
        truncation = f"only the first {len(selection.rows)} rows are returned" if selection.has_more else ""
        elapsed_s = time.monotonic() - started
        tables = sorted(columns_by_table)
        return QueryResult(selection.columns, selection.rows, summary, truncation, tables, elapsed_s)

    def referenced_columns(self, sql: str) -> dict[str, list[str]]:
        """Returns the columns that a query reads, by table; raises ``QueryError`` for invalid or writing SQL."""
        columns_by_table: dict[str, dict[str, None]] = {}

        def authorize(action: int, table: str | None, column: str | None, *_: str | None) -> int:
            if action == sqlite3.SQLITE_READ and table in self.schemas:
                columns_by_table.setdefault(table, {})
                if column:
                    columns_by_table[table][column] = None
            return _authorize(action, column)

        with closing(self._create_database()) as database:
            try:
                database.set_authorizer(authorize)
                database.execute(f"EXPLAIN {sql}").fetchall()
            except (sqlite3.Error, sqlite3.Warning, ValueError, UnicodeError) as error:
                text = _error_text(error)
                if "no such table" in text and not self.catalog.in_fleet:
                    text += " (this dispatcher is not in a fleet, and lacks the tables of one)"
                raise QueryError(text) from None
        return {table: list(columns) for table, columns in columns_by_table.items()}

    def _create_database(self) -> sqlite3.Connection:
        """Returns an in-memory database with all tables, empty."""
        database = sqlite3.connect(":memory:", isolation_level=None)
        database.setlimit(sqlite3.SQLITE_LIMIT_LENGTH, MAX_TEXT_BYTES)
        database.setlimit(sqlite3.SQLITE_LIMIT_ATTACHED, 0)
        origin_columns = [f"{quote_identifier(name)} {sql_type}" for name, sql_type in ORIGIN_COLUMNS]
        for schema in self.schemas.values():
            table_columns = [f"{quote_identifier(name)} {sql_type}" for name, sql_type, _ in schema.columns]
            columns = ", ".join([*origin_columns, *table_columns])
            database.execute(f"CREATE TABLE {quote_identifier(schema.name)} ({columns})")
        database.execute(f"CREATE TABLE {UNANSWERED_TABLE} (member TEXT, why TEXT)")
        return database

    def _load_table(
        self,
        database: sqlite3.Connection,
        table: str,
        referenced_columns: list[str],
        fleet: bool,
        filters: Mapping[str, Cell],
        summary: ResponseSummary,
    ) -> None:
        """Fetch the referenced columns of a table; raises ``QueryLimitError`` if it has too many rows."""
        origin_names = [name for name, _ in ORIGIN_COLUMNS]
        columns = [name for name in referenced_columns if name not in origin_names]
        names = ", ".join(map(quote_identifier, [*origin_names, *columns]))
        placeholders = ", ".join("?" * (len(origin_names) + len(columns)))
        insert = f"INSERT INTO {quote_identifier(table)} ({names}) VALUES ({placeholders})"
        table_summary = ResponseSummary()
        database.execute("BEGIN")
        for page in self.client.fetch_rows(table, columns, fleet, filters, table_summary):
            database.executemany(insert, [(page.member, page.at_ms, *row) for row in page.rows])
            if table_summary.rows > self.limits.max_rows_read:
                raise QueryLimitError(f"{table} has more than {self.limits.max_rows_read} rows")
        database.execute("COMMIT")
        summary.merge(table_summary)

    def _execute(self, database: sqlite3.Connection, sql: str, deadline: float) -> _Selection:
        """Run the query on the loaded tables; raises ``QueryLimitError`` and ``QueryError``."""
        deadline = max(deadline, time.monotonic() + MIN_EXECUTION_S)
        database.set_authorizer(lambda action, _, name, *__: _authorize(action, name))
        database.set_progress_handler(lambda: int(time.monotonic() > deadline), INSTRUCTIONS_PER_CLOCK_CHECK)
        try:
            cursor = database.execute(sql)
            columns = [column[0] for column in cursor.description or ()]
            rows = cursor.fetchmany(self.limits.max_rows)
            has_more = cursor.fetchone() is not None
        except sqlite3.OperationalError as error:
            if "interrupted" in str(error):
                raise QueryLimitError(f"it was not over within {self.limits.timeout_s:g} s") from None
            raise QueryError(_error_text(error)) from None
        except (sqlite3.Error, sqlite3.Warning, OverflowError, MemoryError) as error:
            raise QueryError(_error_text(error)) from None
        return _Selection(columns, rows, has_more)


@dataclass(frozen=True, slots=True)
class _Selection:
    """The rows that SQLite returned; ``has_more``: there are more rows than the limit allows."""

    columns: list[str]
    rows: list[tuple[Any, ...]]
    has_more: bool


def _authorize(action: int, name: str | None) -> int:
    """Authorizes an action of SQLite if it only reads."""
    if action not in READ_ACTIONS or (action == sqlite3.SQLITE_FUNCTION and name in FORBIDDEN_FUNCTIONS):
        return sqlite3.SQLITE_DENY
    return sqlite3.SQLITE_OK


def _error_text(error: BaseException) -> str:
    """Returns the text of SQLite's error, with an explanation if a query was denied because it does not only read."""
    text = str(error)
    if "not authorized" in text or "prohibited" in text:
        return f"a query may only read tables: {text}"
    return text
