"""Tables through which operators query a dispatcher's state.

A read of a table is not a snapshot: its items are listed at once, but their rows are made in several steps, each of
which shows the state at its own time. An item that has disappeared by then gives no row.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from thornshelf.errors import UnknownTableError

Value = str | int | float | None
TEXT, INTEGER, REAL = "TEXT", "INTEGER", "REAL"  # column types of SQLite


def to_milliseconds(us: int) -> int:
    """Convert microseconds to whole milliseconds, rounded down."""
    return us // 1000


@dataclass(frozen=True, slots=True)
class Column:
    """The declaration of a column; ``sql_type`` is its type in SQLite."""

    name: str
    sql_type: str
    meaning: str


@dataclass(frozen=True, slots=True)
class Table:
    """The declaration of a table.

    ``items``: lists the current items; it must be cheap. ``row``: returns an item's values, one for each column, or
    None if the item has disappeared. A table with very many items is divided into pages: then ``items`` lists the
    pages, and ``page_items`` the items of a page.
    """

    name: str
    meaning: str
    columns: tuple[Column, ...]
    items: Callable[[], Sequence[Any]]
    row: Callable[[Any], Sequence[Value] | None]
    page_items: Callable[[Any], Sequence[Any]] | None = None

    def column_indexes(self, columns: Sequence[str]) -> list[int]:
        """Returns the positions of columns in a row. Raises ``UnknownTableError`` for an unknown column."""
        index_by_name = {column.name: index for index, column in enumerate(self.columns)}
        for name in columns:
            if name not in index_by_name:
                raise UnknownTableError(f"{self.name} has no column {name!r:.80}")
        return [index_by_name[name] for name in columns]


def declare_columns(*declarations: tuple[str, str, str]) -> tuple[Column, ...]:
    """Returns columns with the given names, types and meanings."""
    return tuple(Column(*declaration) for declaration in declarations)


class Catalog:
    """The tables of one dispatcher."""

    def __init__(self) -> None:
        self.tables: dict[str, Table] = {}

    def add(self, *tables: Table) -> None:
        """Add tables; their names must not be in use."""
        for table in tables:
            assert table.name not in self.tables, table.name
            self.tables[table.name] = table

    def table(self, name: str) -> Table:
        """Returns a table by name. Raises ``UnknownTableError`` if there is none."""
        table = self.tables.get(name)
        if table is None:
            raise UnknownTableError(f"no table is called {name!r:.80}")
        return table


class TableReader:
    """Reads columns of a table in several steps.

    ``filters``: only rows with exactly these values are returned. ``max_rows``: the limit of all steps together.
    ``row_count``: rows returned so far; ``examined_count``: items examined so far.
    """

    ITEMS_PER_CLOCK_CHECK = 16

    def __init__(
        self, table: Table, columns: Sequence[str], filters: Mapping[str, Value], max_rows: int = 1_000_000
    ) -> None:
        """Raises ``UnknownTableError`` for an unknown column."""
        self._table = table
        self._column_indexes = table.column_indexes(columns)
        self._filters = list(zip(table.column_indexes(list(filters)), filters.values(), strict=True))
        self._items: Sequence[Any] = ()  # of the current page
        self._pages: Iterator[Any] | None = None  # the remaining pages; None before the first read
        self._position = 0  # of the next item in ``_items``
        self._max_rows = max_rows
        self.row_count = 0
        self.examined_count = 0
        self.truncated = False  # whether rows beyond ``max_rows`` were left out
        self.exhausted = False  # whether all rows have been returned

    def read_rows(self, elapsed_us: Callable[[], int], until_us: int, max_rows: int) -> list[list[Value]]:
        """Returns the next rows: at most ``max_rows``, and no more once ``elapsed_us()`` reaches ``until_us``."""
        rows = list[list[Value]]()
        while self._find_next_item():
            if self.row_count >= self._max_rows:
                self.truncated = True
                break
            values = self._table.row(self._items[self._position])
            self._position += 1
            self.examined_count += 1
            if values is not None and all(values[index] == value for index, value in self._filters):
                rows.append([values[index] for index in self._column_indexes])
                self.row_count += 1
            should_check_clock = self.examined_count % self.ITEMS_PER_CLOCK_CHECK == 0
            if len(rows) >= max_rows or (should_check_clock and elapsed_us() >= until_us):
                return rows
        self.exhausted = True
        self._items = ()
        self._pages = iter(())
        return rows

    def _find_next_item(self) -> bool:
        """Move to the next page at the end of the current one; returns whether there is another item.

        A table without pages is read as a single page.
        """
        if self._pages is None:
            self._pages = iter([None] if self._table.page_items is None else self._table.items())
        while self._position >= len(self._items):
            if not self._start_next_page(self._pages):
                return False
        return True

    def _start_next_page(self, pages: Iterator[Any]) -> bool:
        """Move to the start of the next page; returns whether there is one."""
        for page in pages:
            page_items = self._table.page_items
            self._items = self._table.items() if page_items is None else page_items(page)
            self._position = 0
            return True
        return False
