"""Formats the results of queries: tables for people, JSON and CSV for scripts.

Values come from dispatchers and their nodes, and are sanitized so that none can control the terminal.
"""

from __future__ import annotations

import csv
import io
import json
from datetime import UTC, datetime
from typing import Any, Literal

from thornshelf.shell.engine import QueryResult


def sanitize(value: object) -> str:
    """Returns a value as one line, in which unprintable characters are replaced by escape sequences.

    A name may have been chosen to move the cursor, or to hide the text next to it.
    """
    if value is None:
        return ""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text.isprintable():
        return text
    return "".join(char if char.isprintable() else char.encode("unicode_escape").decode() for char in text)


def format_time(at_ms: int) -> str:
    """Format Unix milliseconds as the time of day in UTC."""
    return datetime.fromtimestamp(at_ms / 1000, UTC).strftime("%H:%M:%S.%f")[:-3]


def summary_lines(result: QueryResult) -> list[str]:
    """Returns the lines below the rows: their number, the members that sent them and when, and what is missing."""
    summary = result.summary
    members = summary.members
    source = f"{len(members)} members" if len(members) > 1 else "".join(map(sanitize, members))
    lines: list[str] = []
    if summary.first_ms:
        span = format_time(summary.first_ms)
        if summary.last_ms != summary.first_ms:
            span += f" to {format_time(summary.last_ms)}"
        lines.append(f"{len(result.rows)} rows, from {source} at {span} UTC")
    else:
        lines.append(f"{len(result.rows)} rows" + (f", from {source}" if source else ""))
    if result.truncation:
        lines.append(f"NOT ALL ROWS: {result.truncation}")
    lines += [f"NOT ALL MEMBERS: {sanitize(name)}: {sanitize(cause)}" for name, cause in summary.missing]
    return lines


def as_json(result: QueryResult) -> str:
    """Returns a result as one JSON object on one line."""
    value: dict[str, Any] = {
        "columns": result.columns,
        "rows": [list(row) for row in result.rows],
        "complete": result.complete,
        "unanswered": [{"member": name, "why": cause} for name, cause in result.summary.missing],
        "cut": result.truncation,
        "members": sorted(result.summary.members),
        "from_ms": result.summary.first_ms,
        "to_ms": result.summary.last_ms,
    }
    return json.dumps(value, default=lambda item: item.hex() if isinstance(item, bytes) else str(item))


def as_csv(result: QueryResult) -> str:
    """Returns a result as CSV by RFC 4180, with a header; values other than numbers are sanitized."""
    out = io.StringIO()
    writer = csv.writer(out)
    writer.writerow(map(sanitize, result.columns))
    writer.writerows(
        [value if isinstance(value, int | float) else sanitize(value) for value in row] for row in result.rows
    )
    return out.getvalue()


def render_table(result: QueryResult) -> Any:
    """Returns a result as a table that Rich can print on a terminal."""
    from rich import box
    from rich.table import Table
    from rich.text import Text

    table = Table(box=box.SIMPLE_HEAD, pad_edge=False, show_edge=False)
    for index, name in enumerate(result.columns):
        is_numeric = all(row[index] is None or isinstance(row[index], int | float) for row in result.rows)
        justify: Literal["left", "right"] = "right" if is_numeric and result.rows else "left"
        table.add_column(Text(sanitize(name)), justify=justify, overflow="fold")
    for row in result.rows:
        # A plain str would be read as markup.
        table.add_row(*(Text(sanitize(value)) for value in row))
    return table
