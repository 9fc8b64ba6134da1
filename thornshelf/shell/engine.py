"""SQL over the dispatchers' tables: SQLite in this process, which is told which tables and columns a query reads.

A query is prepared against empty tables first: SQLite itself says what it reads, and refuses what would write. Only
that is asked for, put into tables in memory, and the query is run over them, within bounds of time and rows.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from thornshelf.control.framing import CatalogReply, Cell, TableSchema
from thornshelf.errors import QueryError, QueryLimitError
from thornshelf.shell.client import ControlClient, ResponseSummary

ORIGIN_COLUMNS = (("member", "TEXT"), ("at_ms", "INTEGER"))  # who tells a row, and of which moment, Unix ms
UNANSWERED_TABLE = "unanswered"  # a table of this process: who told nothing, or not all, and why
MAX_TEXT_BYTES = 1_000_000  # bytes of one value, and of the query
INSTRUCTIONS_PER_CLOCK_CHECK = 10_000  # of SQLite's machine between two looks at the clock
READ_ACTIONS = frozenset(
    (sqlite3.SQLITE_SELECT, sqlite3.SQLITE_READ, sqlite3.SQLITE_FUNCTION, sqlite3.SQLITE_RECURSIVE)
)
FORBIDDEN_FUNCTIONS = frozenset(("load_extension", "fts3_tokenizer", "zeroblob", "randomblob"))


@dataclass(frozen=True, slots=True)
class QueryLimits:
    """What one query may take."""

    timeout_s: float = 10.0
    max_rows: int = 10_000  # that it gives
    max_rows_read: int = 2_000_000  # that it reads


@dataclass(slots=True)
class QueryResult:
    """A query's rows, and what has to be known beside them."""

    columns: list[str]
    rows: list[tuple[Any, ...]]
    summary: ResponseSummary
    truncation: str = ""  # why there are not all rows
    tables: list[str] = field(default_factory=list)
    elapsed_s: float = 0.0

    @property
    def complete(self) -> bool:
        """Everybody has told all, and all of it is here."""
        return not self.summary.missing and not self.truncation


def quote_identifier(name: str) -> str:
    """A name of a table or column in SQL."""
    return '"' + name.replace('"', '""') + '"'


class QueryEngine:
    """Queries by one connection."""

    def __init__(self, client: ControlClient, limits: QueryLimits = QueryLimits()) -> None:  # noqa: B008
        self.client, self.limits = client, limits
        self.catalog: CatalogReply = client.fetch_catalog()
        self.schemas: dict[str, TableSchema] = {shape.name: shape for shape in self.catalog.tables}

    def query(
        self, sql: str, fleet: bool = False, filters: Mapping[str, Mapping[str, Cell]] | None = None
    ) -> QueryResult:
        """Run one SELECT. ``only``: by table, rows with exactly these values are asked for."""
        began = time.monotonic()
        until = began + self.limits.timeout_s
        reads = self.referenced_columns(sql)
        base, told = self._create_database(), ResponseSummary()
        try:
            for table, columns in reads.items():
                wanted = [one for one in columns if one not in dict(ORIGIN_COLUMNS)]
                self._load_table(base, table, wanted, fleet, (filters or {}).get(table, {}), told)
            base.executemany(f"INSERT INTO {UNANSWERED_TABLE} VALUES (?, ?)", told.missing)
            names, rows, cut = self._execute(base, sql, until)
        finally:
            base.close()
        return QueryResult(names, rows, told, cut, sorted(reads), time.monotonic() - began)

    def referenced_columns(self, sql: str) -> dict[str, list[str]]:
        """Which tables, and of each which columns, a query reads; an error where it is none, or would write."""
        found: dict[str, dict[str, None]] = {}

        def allow(action: int, table: str | None, column: str | None, *_: str | None) -> int:
            if action == sqlite3.SQLITE_READ and table in self.schemas:
                found.setdefault(table, {})
                if column:
                    found[table][column] = None
            return self._authorize(action, column)

        base = self._create_database()
        try:
            base.set_authorizer(allow)
            base.execute(f"EXPLAIN {sql}").fetchall()
        except (sqlite3.Error, sqlite3.Warning, ValueError, UnicodeError) as fault:
            text = self._error_text(fault)
            if "no such table" in text and not self.catalog.in_fleet:
                text += " (this dispatcher is in no fleet, and has no tables of one)"
            raise QueryError(text) from None
        finally:
            base.close()
        return {table: list(columns) for table, columns in found.items()}

    @staticmethod
    def _authorize(action: int, name: str | None) -> int:
        if action not in READ_ACTIONS or (action == sqlite3.SQLITE_FUNCTION and name in FORBIDDEN_FUNCTIONS):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK

    @staticmethod
    def _error_text(fault: BaseException) -> str:
        text = str(fault)
        if "not authorized" in text or "prohibited" in text:
            return f"a query only reads: {text}"
        return text

    def _create_database(self) -> sqlite3.Connection:
        base = sqlite3.connect(":memory:", isolation_level=None)
        base.setlimit(sqlite3.SQLITE_LIMIT_LENGTH, MAX_TEXT_BYTES)
        base.setlimit(sqlite3.SQLITE_LIMIT_ATTACHED, 0)
        for shape in self.schemas.values():
            beside = [f"{quote_identifier(name)} {kind}" for name, kind in ORIGIN_COLUMNS]
            own = [f"{quote_identifier(name)} {kind}" for name, kind, _ in shape.columns]
            base.execute(f"CREATE TABLE {quote_identifier(shape.name)} ({', '.join([*beside, *own])})")
        base.execute(f"CREATE TABLE {UNANSWERED_TABLE} (member TEXT, why TEXT)")
        return base

    def _load_table(
        self,
        base: sqlite3.Connection,
        table: str,
        columns: list[str],
        fleet: bool,
        only: Mapping[str, Cell],
        told: ResponseSummary,
    ) -> None:
        names = ", ".join(map(quote_identifier, [*dict(ORIGIN_COLUMNS), *columns]))
        marks = ", ".join("?" * (len(ORIGIN_COLUMNS) + len(columns)))
        put = f"INSERT INTO {quote_identifier(table)} ({names}) VALUES ({marks})"
        mine = ResponseSummary()
        base.execute("BEGIN")
        for page in self.client.fetch_rows(table, columns, fleet, only, mine):
            base.executemany(put, [(page.member, page.at_ms, *row) for row in page.rows])
            if mine.rows > self.limits.max_rows_read:
                raise QueryLimitError(f"{table} has more than {self.limits.max_rows_read} rows")
        base.execute("COMMIT")
        told.merge(mine)

    def _execute(
        self, base: sqlite3.Connection, sql: str, until: float
    ) -> tuple[list[str], list[tuple[Any, ...]], str]:
        until = max(until, time.monotonic() + 0.5)  # what was read shall not be for nothing
        base.set_authorizer(lambda action, _, name, *more: self._authorize(action, name))
        base.set_progress_handler(lambda: int(time.monotonic() > until), INSTRUCTIONS_PER_CLOCK_CHECK)
        try:
            cursor = base.execute(sql)
            names = [one[0] for one in cursor.description or ()]
            rows = cursor.fetchmany(self.limits.max_rows)
            more = cursor.fetchone() is not None
        except sqlite3.OperationalError as fault:
            if "interrupted" in str(fault):
                raise QueryLimitError(f"it was not over within {self.limits.timeout_s:g} s") from None
            raise QueryError(self._error_text(fault)) from None
        except (sqlite3.Error, sqlite3.Warning, OverflowError, MemoryError) as fault:
            raise QueryError(self._error_text(fault)) from None
        return names, rows, f"only the first {len(rows)} rows are here" if more else ""
