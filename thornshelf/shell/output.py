"""Results as text: tables for people, JSON and CSV for scripts. What dispatchers tell moves no cursor."""

from __future__ import annotations

import csv
import io
import json
from datetime import UTC, datetime
from typing import Any

from thornshelf.shell.engine import QueryResult


def sanitize(value: object) -> str:
    """A value on one line: control characters, and others that print nothing, are told by their numbers.

    Guards against names that were chosen to move the cursor or to hide what stands beside them.
    """
    if value is None:
        return ""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text.isprintable():
        return text
    return "".join(one if one.isprintable() else one.encode("unicode_escape").decode() for one in text)


def format_time(at_ms: int) -> str:
    """Unix milliseconds as a time of the day, UTC."""
    return datetime.fromtimestamp(at_ms / 1000, UTC).strftime("%H:%M:%S.%f")[:-3]


def summary_lines(result: QueryResult) -> list[str]:
    """What has to be known beside the rows."""
    told, lines = result.summary, list[str]()
    who = f"{len(told.members)} members" if len(told.members) > 1 else "".join(map(sanitize, told.members))
    if told.first_ms:
        span = format_time(told.first_ms)
        if told.last_ms != told.first_ms:
            span += f" to {format_time(told.last_ms)}"
        lines.append(f"{len(result.rows)} rows, told by {who} at {span} UTC")
    else:
        lines.append(f"{len(result.rows)} rows" + (f", told by {who}" if who else ""))
    if result.truncation:
        lines.append(f"NOT ALL ROWS: {result.truncation}")
    lines += [f"NOT ALL MEMBERS: {sanitize(name)}: {sanitize(why)}" for name, why in told.missing]
    return lines


def as_json(result: QueryResult) -> str:
    """One object on one line."""
    value: dict[str, Any] = {
        "columns": result.columns,
        "rows": [list(row) for row in result.rows],
        "complete": result.complete,
        "unanswered": [{"member": name, "why": why} for name, why in result.summary.missing],
        "cut": result.truncation,
        "members": sorted(result.summary.members),
        "from_ms": result.summary.first_ms,
        "to_ms": result.summary.last_ms,
    }
    return json.dumps(value, default=lambda one: one.hex() if isinstance(one, bytes) else str(one))


def as_csv(result: QueryResult) -> str:
    """A head and rows, after RFC 4180; numbers as they are, texts as ``plain`` has them."""
    out = io.StringIO()
    writer = csv.writer(out)
    writer.writerow(map(sanitize, result.columns))
    writer.writerows(
        [one if isinstance(one, int | float) else sanitize(one) for one in row] for row in result.rows
    )
    return out.getvalue()


def render_table(result: QueryResult) -> Any:
    """A table for a terminal."""
    from rich import box
    from rich.table import Table
    from rich.text import Text

    found = Table(box=box.SIMPLE_HEAD, pad_edge=False, show_edge=False)
    for place, name in enumerate(result.columns):
        numbers = all(row[place] is None or isinstance(row[place], int | float) for row in result.rows)
        found.add_column(
            Text(sanitize(name)), justify="right" if numbers and result.rows else "left", overflow="fold"
        )
    for row in result.rows:
        found.add_row(*(Text(sanitize(value)) for value in row))  # a text is no markup
    return found
