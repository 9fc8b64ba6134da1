"""Tables: a dispatcher's state as operators query it.

A table is not read as of a single moment: its items are listed at once, its rows are made slice by slice, and each
slice has its own time. An item that is gone by then gives no row.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from thornshelf.errors import UnknownTableError

Value = str | int | float | None
TEXT, INTEGER, REAL = "TEXT", "INTEGER", "REAL"  # SQLite's types of columns


def to_milliseconds(us: int) -> int:
    """Microseconds as whole milliseconds."""
    return us // 1000


@dataclass(frozen=True, slots=True)
class Column:
    """A column; ``sql_type`` is its type in SQLite."""

    name: str
    sql_type: str
    meaning: str


@dataclass(frozen=True, slots=True)
class Table:
    """A table's declaration.

    ``items`` lists cheaply what there is now; ``row`` returns an item's values, one for each column, or None where
    the item is gone. A table with very many items has pages: ``items`` lists the pages then, and ``page_items`` the
    items of one.
    """

    name: str
    meaning: str
    columns: tuple[Column, ...]
    items: Callable[[], Sequence[Any]]
    row: Callable[[Any], Sequence[Value] | None]
    page_items: Callable[[Any], Sequence[Any]] | None = None

    def column_indexes(self, columns: Sequence[str]) -> list[int]:
        """The positions of columns in a row; raises ``UnknownTableError`` for a name that is no column."""
        known = {column.name: index for index, column in enumerate(self.columns)}
        for name in columns:
            if name not in known:
                raise UnknownTableError(f"{self.name} has no column {name!r:.80}")
        return [known[name] for name in columns]


def declare_columns(*declarations: tuple[str, str, str]) -> tuple[Column, ...]:
    """Columns from their names, types and meanings."""
    return tuple(Column(*declaration) for declaration in declarations)


class Catalog:
    """The tables of one dispatcher."""

    def __init__(self) -> None:
        self.tables: dict[str, Table] = {}

    def add(self, *tables: Table) -> None:
        """Add tables, whose names must be new."""
        for table in tables:
            assert table.name not in self.tables, table.name
            self.tables[table.name] = table

    def table(self, name: str) -> Table:
        """The table of this name; raises ``UnknownTableError`` where there is none."""
        found = self.tables.get(name)
        if found is None:
            raise UnknownTableError(f"no table is called {name!r:.80}")
        return found


class TableReader:
    """Reads some columns of a table slice by slice.

    ``filters``: only rows with exactly these values are returned. ``row_count`` counts the returned rows, and
    ``examined_count`` all items that were looked at.
    """

    ROWS_PER_CLOCK_CHECK = 16

    def __init__(
        self, table: Table, columns: Sequence[str], filters: Mapping[str, Value], max_rows: int = 1_000_000
    ) -> None:
        """Raises ``UnknownTableError`` for a name that is no column."""
        self._table = table
        self._column_indexes = table.column_indexes(columns)
        self._filters = list(zip(table.column_indexes(list(filters)), filters.values(), strict=True))
        self._items: Sequence[Any] = ()  # of the page that is being read
        self._pages: Iterator[Any] | None = None
        self._position = 0  # in the items
        self._max_rows = max_rows
        self.row_count = 0
        self.examined_count = 0
        self.truncated = False  # there are more rows than may be returned
        self.exhausted = False

    def read_rows(self, elapsed_us: Callable[[], int], until_us: int, max_rows: int) -> list[list[Value]]:
        """The next rows: at most ``max_rows``, and until ``elapsed_us()`` reaches ``until_us``."""
        found = list[list[Value]]()
        while self._has_item():
            if self.row_count >= self._max_rows:
                self.truncated = True
                break
            values = self._table.row(self._items[self._position])
            self._position += 1
            self.examined_count += 1
            if values is not None and all(values[index] == value for index, value in self._filters):
                found.append([values[index] for index in self._column_indexes])
                self.row_count += 1
            checks_clock = self.examined_count % self.ROWS_PER_CLOCK_CHECK == 0
            if len(found) >= max_rows or (checks_clock and elapsed_us() >= until_us):
                return found
        self.exhausted = True
        self._items = ()
        self._pages = iter(())
        return found

    def _has_item(self) -> bool:
        """Whether there is an item to read; goes to the next page where the current one has ended."""
        if self._pages is None:
            self._pages = iter([None] if self._table.page_items is None else self._table.items())
        while self._position >= len(self._items):
            if not self._next_page(self._pages):
                return False
        return True

    def _next_page(self, pages: Iterator[Any]) -> bool:
        """Go to the next page; false where there is none."""
        for page in pages:
            page_items = self._table.page_items
            self._items = self._table.items() if page_items is None else page_items(page)
            self._position = 0
            return True
        return False
