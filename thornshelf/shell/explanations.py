"""Explains why a node is not chosen and what became of a task, from rows of all members. No I/O of its own."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from thornshelf.shell.engine import QueryEngine
from thornshelf.shell.output import format_time, sanitize

Row = Mapping[str, Any]
SLOW_START_MS = 1_000  # a start that takes longer is mentioned
MANY_WAITING = 3  # more tasks that wait for their start are mentioned
NEARLY_FULL = 0.95  # a node with a larger share of its capacity in use is mentioned


def placement_reasons(row: Row, evidence: Sequence[Row], drained_by_gossip: bool) -> list[str]:
    """Why one member does not choose a node, or chooses it late; empty where nothing speaks against it.

    ``row``: the member's row of the node; ``evidence``: the observations that it knows of that node;
    ``drained_by_gossip``: only other members' lists say that the node drains.
    """
    return [
        *_availability_reasons(row, drained_by_gossip),
        *_failure_reasons(row),
        *_slow_start_reasons(row),
        *_gossip_reasons(row, evidence),
        *_load_reasons(row),
    ]


def _availability_reasons(row: Row, drained_by_gossip: bool) -> Iterator[str]:
    if row["health"] == "draining":
        yield (
            "kept away by others' word that it drains: its own change log is silent"
            if drained_by_gossip
            else "its list says that the node drains: nothing new goes there"
        )
    if row["reach"] == "unreachable":
        yield "it can't be reached: the last call was refused or not answered"


def _failure_reasons(row: Row) -> Iterator[str]:
    if row["suspect_ms"]:
        yield (
            f"suspected after {row['strikes']} signs of trouble in a row: kept away for {row['suspect_ms']} ms more"
        )
    elif row["strikes"]:
        yield f"{row['strikes']} sign(s) of trouble: chosen later, each as dear as one power of the price"
    if row["shut_ms"]:
        yield f"its line of offers was full: left alone for {row['shut_ms']} ms more"


def _slow_start_reasons(row: Row) -> Iterator[str]:
    if not row["cold"]:
        return
    if row["cold_left"]:
        yield f"it is cold: {row['cold_left']} more offers within this member's share, and half as dear again"
    else:
        yield "it is cold, and this member's share of offers to it is used up"


def _gossip_reasons(row: Row, evidence: Sequence[Row]) -> Iterator[str]:
    if row["second_choice"]:
        reporters = sorted(
            {one["by"] for one in evidence if one["by"] != row["member"] and one["sight"] != "well"}
        )
        names = ", ".join(map(sanitize, reporters)) or "others"
        yield f"second choice by the word of {names}: chosen last, not barred"


def _load_reasons(row: Row) -> Iterator[str]:
    for resource in ("cores", "memory"):
        capacity = row[resource]
        used = row[f"taken_{resource}"]
        if capacity and used is not None and used >= NEARLY_FULL * capacity:
            yield f"taken of its {resource}: {used:g} of the {capacity:g} up to which it accepts asks"
    if row["late_ms"] and row["late_ms"] > SLOW_START_MS:
        yield f"starts take {row['late_ms']} ms there of late: dearer for that"
    if row["waits"] and (row["waits"] > MANY_WAITING or row["waits_ms"] > SLOW_START_MS):
        yield f"{row['waits']} task(s) of this member wait there for their start, for {row['waits_ms']} ms"
    if row["cores"] is None:
        yield "the decision module does not know it yet"


def query_rows(
    engine: QueryEngine, sql: str, filters: Mapping[str, Mapping[str, Any]], missing: dict[str, str]
) -> list[Row]:
    """The rows of a query by column; members whose rows are incomplete are added to ``missing``."""
    result = engine.query(sql, engine.catalog.in_fleet, filters)
    missing.update(result.summary.missing)
    return [dict(zip(result.columns, row, strict=True)) for row in result.rows]


def missing_lines(missing: Mapping[str, str]) -> list[str]:
    """Lines on the members whose rows an explanation lacks."""
    return [f"NOT HEARD: {sanitize(name)}: {sanitize(cause)}" for name, cause in sorted(missing.items())]


def explain_node(engine: QueryEngine, node: str) -> list[str]:
    """What each member makes of a node, in lines for an operator."""
    missing: dict[str, str] = {}
    filters = {"nodes": {"node": node}, "evidence": {"node": node}, "news": {"node": node}}
    nodes = query_rows(engine, "SELECT * FROM nodes", filters, missing)
    evidence: list[Row] = []
    drained_by_gossip: set[str] = set()
    if "evidence" in engine.schemas:
        evidence = query_rows(engine, "SELECT * FROM evidence", filters, missing)
        gossip = query_rows(
            engine, "SELECT member, kept_away FROM news WHERE kept_away = 1", filters, missing
        )
        drained_by_gossip = {row["member"] for row in gossip}
    if not nodes:
        unknown = f"no member's list names {sanitize(node)}: see SELECT node FROM nodes"
        return [unknown, *missing_lines(missing)]
    lines: list[str] = []
    for row in sorted(nodes, key=lambda row: str(row["member"])):
        lines += _member_lines(row, evidence, row["member"] in drained_by_gossip)
    return [*lines, *_evidence_lines(evidence), *missing_lines(missing)]


def _member_lines(row: Row, evidence: Sequence[Row], drained_by_gossip: bool) -> list[str]:
    """What one member makes of a node."""
    known_evidence = [one for one in evidence if one["member"] == row["member"]]
    reasons = placement_reasons(row, known_evidence, drained_by_gossip)
    state = f"{row['health']}, {row['reach']}, {row['standing']} of its tasks there"
    return [
        f"{sanitize(row['member'])} ({state}):",
        *(
            f"  - {reason}"
            for reason in reasons or ["nothing speaks against it: what is cheaper comes first"]
        ),
    ]


def _evidence_lines(evidence: Sequence[Row]) -> list[str]:
    """The observations of a node, each with its greatest weight at any member."""
    weights: dict[tuple[str, str], float] = {}
    for one in evidence:
        observation = str(one["by"]), str(one["sight"])
        weights[observation] = max(weights.get(observation, 0.0), float(one["weight"]))
    return [
        f"seen by {sanitize(by)}: {observation}, weight {weight:g} now"
        for (by, observation), weight in sorted(weights.items())
    ]


def is_task_id(text: str) -> bool:
    """Whether the text has the form of a request's id or an idempotency key: up to 16 hex digits."""
    return 1 <= len(text) <= 16 and all(digit in "0123456789abcdefABCDEF" for digit in text)


def explain_task(engine: QueryEngine, text: str) -> list[str]:
    """What became of a task, by its id or its idempotency key, at all members in the order of their clocks."""
    uid = f"{int(text, 16):016x}"
    missing: dict[str, str] = {}
    events: dict[tuple[Any, ...], Row] = {}
    current: list[Row] = []
    for column in ("uid", "key"):
        filters = {"history": {column: uid}, "tasks": {column: uid}}
        for row in query_rows(engine, "SELECT * FROM history", filters, missing):
            events[tuple(row[name] for name in _EVENT_IDENTITY)] = row
        tasks = query_rows(engine, "SELECT * FROM tasks", filters, missing)
        current += [row for row in tasks if row not in current]
    if not events and not current:
        return [
            f"no member knows or remembers {uid}: it never came, or so long ago that its steps are not kept"
            " (`control.history`)",
            *missing_lines(missing),
        ]
    # Events of the same millisecond keep the order in which they came.
    in_order = sorted(events.values(), key=lambda row: row["when_ms"])
    return [*map(_event_line, in_order), *_current_lines(current), *missing_lines(missing)]


_EVENT_IDENTITY = ("member", "when_ms", "uid", "event", "node", "detail")


def _event_line(row: Row) -> str:
    where = f" at {sanitize(row['node'])}" if row["node"] else ""
    detail = f" ({sanitize(row['detail'])})" if row["detail"] != "" else ""
    member = sanitize(row["member"])
    return f"{format_time(row['when_ms'])} {member} {row['uid']} {row['event']}{where}{detail}"


def _current_lines(rows: Sequence[Row]) -> list[str]:
    """Where a task is now, once for each member and request."""
    by_request: dict[tuple[Any, ...], Row] = {}
    for row in rows:
        by_request.setdefault((row["member"], row["uid"]), row)
    return [_current_line(row) for row in by_request.values()] or ["now: no member holds it any more"]


def _current_line(row: Row) -> str:
    """Where a task is now, at one member."""
    text = str(row["state"])
    if row["state"] == "open":
        text += f", {row['left_ms']} ms left, {row['attempts']} attempt(s) so far"
        if row["waiting"]:
            text += ", waits for its turn"
        elif row["node"]:
            text += f", out to {sanitize(row['node'])}"
    elif row["node"]:
        text += f" at {sanitize(row['node'])}"
    if row["in_doubt"]:
        text += ", in doubt: its node is being asked"
    if row["why"]:
        text += f"; last cause: {sanitize(row['why'])}"
    return f"now: {sanitize(row['member'])} holds it: {text}"
