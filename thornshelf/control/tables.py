"""Tables: what a dispatcher's state looks like from outside. Each part declares its own, in one place each.

A table is read as of no single moment: its items are counted up at once, its rows are made slice by slice, and each
slice says when. An item that is gone by then gives no row.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from thornshelf.errors import UnknownTableError

Value = str | int | float | None
TEXT, INTEGER, REAL = "TEXT", "INTEGER", "REAL"


@dataclass(frozen=True, slots=True)
class Column:
    """``kind``: how SQLite is to hold it."""

    name: str
    sql_type: str
    meaning: str


@dataclass(frozen=True, slots=True)
class Table:
    """``items``: what there is now, cheaply; ``row``: an item's values, one a column, or None where it is gone.

    ``run``: where there may be very many, ``items`` gives runs of them, and this a run's items, as it is come to.
    """

    name: str
    meaning: str
    columns: tuple[Column, ...]
    items: Callable[[], Sequence[Any]]
    row: Callable[[Any], Sequence[Value] | None]
    page_items: Callable[[Any], Sequence[Any]] | None = None

    def column_indexes(self, columns: Sequence[str]) -> list[int]:
        """Where some columns are; an error names one that it has not."""
        known = {column.name: place for place, column in enumerate(self.columns)}
        for name in columns:
            if name not in known:
                raise UnknownTableError(f"{self.name} has no column {name!r:.80}")
        return [known[name] for name in columns]


def declare_columns(*lines: tuple[str, str, str]) -> tuple[Column, ...]:
    """A declaration's columns."""
    return tuple(Column(*line) for line in lines)


class Catalog:
    """The tables of one dispatcher."""

    def __init__(self) -> None:
        self.tables: dict[str, Table] = {}

    def add(self, *tables: Table) -> None:
        """Tables of a part."""
        for table in tables:
            assert table.name not in self.tables, table.name
            self.tables[table.name] = table

    def table(self, name: str) -> Table:
        """One by its name."""
        found = self.tables.get(name)
        if found is None:
            raise UnknownTableError(f"no table is called {name!r:.80}")
        return found


class TableReader:
    """One table, or some columns of it, on its way out.

    ``only``: rows with exactly these values. ``rows`` and ``looked`` count what it has given, and gone through.
    """

    ROWS_PER_CLOCK_CHECK = 16  # rows between two looks at the clock

    def __init__(
        self, table: Table, columns: Sequence[str], filters: Mapping[str, Value], max_rows: int = 1_000_000
    ) -> None:
        self._table, self._column_indexes = table, table.column_indexes(columns)
        self._filters = list(zip(table.column_indexes(list(filters)), filters.values(), strict=True))
        self._items: Sequence[Any] = ()
        self._pages: Iterator[Any] | None = None
        self._position = 0  # in the items that are at hand
        self._max_rows = max_rows
        self.row_count = self.examined_count = 0
        self.truncated = False  # there was more than may be told
        self.exhausted = False

    def read_rows(self, spent: Callable[[], int], until: int, max_rows: int) -> list[list[Value]]:
        """The next rows: until ``spent()`` has come to ``until``, or so many are found."""
        found = list[list[Value]]()
        while self._has_item():
            if self.row_count >= self._max_rows:
                self.truncated = True
                break
            values = self._table.row(self._items[self._position])
            self._position += 1
            self.examined_count += 1
            if values is not None and all(values[place] == value for place, value in self._filters):
                found.append([values[place] for place in self._column_indexes])
                self.row_count += 1
            if len(found) >= max_rows or (
                self.examined_count % self.ROWS_PER_CLOCK_CHECK == 0 and spent() >= until
            ):
                return found
        self.exhausted, self._items, self._pages = True, (), iter(())
        return found

    def _has_item(self) -> bool:
        """Whether there is an item to look at; takes up the next run where there is none."""
        table = self._table
        if self._pages is None:
            self._pages = iter([None] if table.page_items is None else table.items())
        while self._position >= len(self._items):
            for run in self._pages:
                self._items, self._position = (
                    table.items() if table.page_items is None else table.page_items(run),
                    0,
                )
                break
            else:
                return False
        return True
