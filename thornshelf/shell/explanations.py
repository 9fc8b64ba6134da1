"""Why a node is not chosen, and what became of a task: sentences from rows that members told. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from thornshelf.shell.engine import QueryEngine
from thornshelf.shell.output import format_time, sanitize

Row = Mapping[str, Any]
SLOW_START_MS = 1_000  # a start that takes longer is worth a word


def placement_reasons(row: Row, evidence: Sequence[Row], drained_by_gossip: bool) -> list[str]:
    """Why one member does not choose a node, or chooses it late, by its own rows; empty where nothing speaks against.

    ``evidence``: what it holds of that node; ``told_away``: others' word keeps it away.
    """
    found = []
    if row["health"] == "draining":
        found.append(
            "kept away by others' word that it drains: its own change log is silent"
            if drained_by_gossip
            else "its list says that the node drains: nothing new goes there"
        )
    if row["reach"] == "unreachable":
        found.append("it can't be reached: the last call was refused or not answered")
    if row["suspect_ms"]:
        found.append(
            f"suspected after {row['strikes']} signs of trouble in a row: kept away for {row['suspect_ms']} ms more"
        )
    elif row["strikes"]:
        found.append(
            f"{row['strikes']} sign(s) of trouble: chosen later, each as dear as one power of the price"
        )
    if row["shut_ms"]:
        found.append(f"its line of offers was full: left alone for {row['shut_ms']} ms more")
    if row["cold"]:
        left = row["cold_left"]
        found.append(
            "it is cold, and this member's share of offers to it is used up"
            if not left
            else f"it is cold: {left} more offers within this member's share, and half as dear again"
        )
    if row["second_choice"]:
        seen = sorted(
            {one["by"] for one in evidence if one["by"] != row["member"] and one["sight"] != "well"}
        )
        found.append(
            f"second choice by the word of {', '.join(map(sanitize, seen)) or 'others'}: chosen last, not barred"
        )
    for what in ("cores", "memory"):
        size, taken = row[what], row[f"taken_{what}"]
        if size and taken is not None and taken >= 0.95 * size:
            found.append(f"taken of its {what}: {taken:g} of the {size:g} up to which it accepts asks")
    if row["late_ms"] and row["late_ms"] > SLOW_START_MS:
        found.append(f"starts take {row['late_ms']} ms there of late: dearer for that")
    if row["waits"] and (row["waits"] > 3 or row["waits_ms"] > SLOW_START_MS):
        found.append(
            f"{row['waits']} task(s) of this member wait there for their start, for {row['waits_ms']} ms"
        )
    if row["cores"] is None:
        found.append("the decision module does not know it yet")
    return found


def query_rows(
    engine: QueryEngine, sql: str, filters: Mapping[str, Mapping[str, Any]], missing: dict[str, str]
) -> list[Row]:
    """A query's rows by column; who told nothing goes to ``missing``."""
    result = engine.query(sql, engine.catalog.in_fleet, filters)
    missing.update(result.summary.missing)
    return [dict(zip(result.columns, row, strict=True)) for row in result.rows]


def missing_lines(missing: Mapping[str, str]) -> list[str]:
    """Who is not heard in an explanation."""
    return [f"NOT HEARD: {sanitize(name)}: {sanitize(why)}" for name, why in sorted(missing.items())]


def explain_node(engine: QueryEngine, node: str) -> list[str]:
    """What each member makes of a node."""
    missing: dict[str, str] = {}
    only = {"nodes": {"node": node}, "evidence": {"node": node}, "news": {"node": node}}
    seen = query_rows(engine, "SELECT * FROM nodes", only, missing)
    evidence: list[Row] = []
    away: set[str] = set()
    if "evidence" in engine.schemas:
        evidence = query_rows(engine, "SELECT * FROM evidence", only, missing)
        news = query_rows(engine, "SELECT member, kept_away FROM news WHERE kept_away = 1", only, missing)
        away = {one["member"] for one in news}
    if not seen:
        return [
            f"no member's list names {sanitize(node)}: see SELECT node FROM nodes",
            *missing_lines(missing),
        ]
    lines = []
    for row in sorted(seen, key=lambda one: str(one["member"])):
        mine = [one for one in evidence if one["member"] == row["member"]]
        reasons = placement_reasons(row, mine, row["member"] in away)
        state = f"{row['health']}, {row['reach']}, {row['standing']} of its tasks there"
        lines.append(f"{sanitize(row['member'])} ({state}):")
        lines += [f"  - {one}" for one in reasons] or [
            "  - nothing speaks against it: what is cheaper comes first"
        ]
    weights: dict[tuple[str, str], float] = {}
    for one in evidence:
        name = str(one["by"]), str(one["sight"])
        weights[name] = max(weights.get(name, 0.0), float(one["weight"]))
    for (by, sight), weight in sorted(weights.items()):
        lines.append(f"seen by {sanitize(by)}: {sight}, weight {weight:g} now")
    return [*lines, *missing_lines(missing)]


def is_task_id(text: str) -> bool:
    """Whether it has the form of a task's id or name."""
    return 1 <= len(text) <= 16 and all(one in "0123456789abcdefABCDEF" for one in text)


def explain_task(engine: QueryEngine, text: str) -> list[str]:
    """What became of a task, by its id or its name, over all members, in the order of their clocks."""
    name, missing = f"{int(text, 16):016x}", dict[str, str]()
    steps: dict[tuple[Any, ...], Row] = {}
    now: list[Row] = []
    for column in ("uid", "key"):
        only = {"history": {column: name}, "tasks": {column: name}}
        for row in query_rows(engine, "SELECT * FROM history", only, missing):
            steps[tuple(row[one] for one in ("member", "when_ms", "uid", "event", "node", "detail"))] = row
        now += [one for one in query_rows(engine, "SELECT * FROM tasks", only, missing) if one not in now]
    if not steps and not now:
        return [
            f"no member knows or remembers {name}: it never came, or so long ago that its steps are not kept"
            " (`control.history`)",
            *missing_lines(missing),
        ]
    lines = []
    ordered = sorted(enumerate(steps.values()), key=lambda one: (one[1]["when_ms"], one[0]))
    for _, row in ordered:
        where = f" at {sanitize(row['node'])}" if row["node"] else ""
        detail = f" ({sanitize(row['detail'])})" if row["detail"] != "" else ""
        who, what = sanitize(row["member"]), f"{row['event']}{where}{detail}"
        lines.append(f"{format_time(row['when_ms'])} {who} {row['uid']} {what}")
    told: set[tuple[Any, ...]] = set()
    for row in now:
        if (held := (row["member"], row["uid"])) not in told:
            told.add(held)
            lines.append(_current_state(row))
    if not told:
        lines.append("now: no member holds it any more")
    return [*lines, *missing_lines(missing)]


def _current_state(row: Row) -> str:
    """Where a task is."""
    who, text = sanitize(row["member"]), str(row["state"])
    if row["state"] == "open":
        text += f", {row['left_ms']} ms left, {row['attempts']} attempt(s) so far"
        text += (
            ", waits for its turn"
            if row["waiting"]
            else f", out to {sanitize(row['node'])}"
            if row["node"]
            else ""
        )
    elif row["node"]:
        text += f" at {sanitize(row['node'])}"
    if row["in_doubt"]:
        text += ", in doubt: its node is being asked"
    if row["why"]:
        text += f"; last cause: {sanitize(row['why'])}"
    return f"now: {who} holds it: {text}"
