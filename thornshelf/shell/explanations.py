"""Explains why a node is not chosen, and what became of a task, from the rows of all members."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from thornshelf.shell.engine import QueryEngine
from thornshelf.shell.output import format_time, sanitize

Row = Mapping[str, Any]
# What exceeds these limits is named as a reason.
MAX_START_DELAY_MS = 1_000
MAX_WAITING_TASKS = 3
MAX_USED_SHARE = 0.95  # of a node's capacity


def placement_reasons(row: Row, evidence: Sequence[Row], drained_by_gossip: bool) -> list[str]:
    """Returns why one member does not choose a node, or prefers others; empty if nothing speaks against it.

    ``row``: the member's row of the table ``nodes``; ``evidence``: its rows of the table ``evidence`` for that node;
    ``drained_by_gossip``: the node is draining only according to other members.
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
            "excluded by others' word that it drains, as this member's own endpoint list does not respond"
            if drained_by_gossip
            else "its list says that the node drains: it gets no new tasks"
        )
    if row["reach"] == "unreachable":
        yield "it can't be reached: the last connection attempt failed"


def _failure_reasons(row: Row) -> Iterator[str]:
    if row["suspect_ms"]:
        yield (
            f"ejected after {row['strikes']} consecutive failures: kept away for {row['suspect_ms']} ms more"
        )
    elif row["strikes"]:
        yield f"{row['strikes']} sign(s) of failure in a row: each raises the price, so that others are preferred"
    if row["shut_ms"]:
        yield f"its queue was full: left alone for {row['shut_ms']} ms more"


def _slow_start_reasons(row: Row) -> Iterator[str]:
    if not row["cold"]:
        return
    if row["cold_left"]:
        yield f"slow start: {row['cold_left']} more offers within this member's share, and a higher price"
    else:
        yield "slow start: this member's share of offers to it is used up"


def _gossip_reasons(row: Row, evidence: Sequence[Row]) -> Iterator[str]:
    if row["second_choice"]:
        reporters = sorted(
            {
                observation["by"]
                for observation in evidence
                if observation["by"] != row["member"] and observation["sight"] != "well"
            }
        )
        names = ", ".join(map(sanitize, reporters)) or "others"
        yield f"second choice by the word of {names}: chosen last, but not excluded"


def _load_reasons(row: Row) -> Iterator[str]:
    for resource in ("cores", "memory"):
        capacity = row[resource]
        used = row[f"taken_{resource}"]
        if capacity and used is not None and used >= MAX_USED_SHARE * capacity:
            yield f"taken of its {resource}: {used:g} of the {capacity:g} up to which it accepts tasks"
    if row["late_ms"] and row["late_ms"] > MAX_START_DELAY_MS:
        yield f"starts take {row['late_ms']} ms there recently, which raises its price"
    if row["waits"] and (row["waits"] > MAX_WAITING_TASKS or row["waits_ms"] > MAX_START_DELAY_MS):
        yield f"{row['waits']} task(s) of this member wait there for their start, the oldest for {row['waits_ms']} ms"
    if row["cores"] is None:
        yield "the placement module does not know it yet"


def query_rows(
    engine: QueryEngine, sql: str, filters: Mapping[str, Mapping[str, Any]], missing: dict[str, str]
) -> list[Row]:
    """Returns the rows of a query as mappings; adds the members with incomplete rows, and why, to ``missing``."""
    result = engine.query(sql, engine.catalog.in_fleet, filters)
    missing.update(result.summary.missing)
    return [dict(zip(result.columns, row, strict=True)) for row in result.rows]


def missing_lines(missing: Mapping[str, str]) -> list[str]:
    """Returns a line for each member whose rows are missing from an explanation."""
    return [f"NOT HEARD: {sanitize(name)}: {sanitize(cause)}" for name, cause in sorted(missing.items())]


def explain_node(engine: QueryEngine, node: str) -> list[str]:
    """Returns lines that explain how each member treats a node."""
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
        not_found = f"no member lists a node {sanitize(node)}: see SELECT node FROM nodes"
        return [not_found, *missing_lines(missing)]
    lines: list[str] = []
    for row in sorted(nodes, key=lambda row: str(row["member"])):
        lines += _member_lines(row, evidence, row["member"] in drained_by_gossip)
    return [*lines, *_evidence_lines(evidence), *missing_lines(missing)]


def _member_lines(row: Row, evidence: Sequence[Row], drained_by_gossip: bool) -> list[str]:
    """Returns a member's view of a node, and its reasons against it."""
    known_evidence = [observation for observation in evidence if observation["member"] == row["member"]]
    reasons = placement_reasons(row, known_evidence, drained_by_gossip)
    state = f"{row['health']}, {row['reach']}, {row['standing']} of its tasks there"
    return [
        f"{sanitize(row['member'])} ({state}):",
        *(
            f"  - {reason}"
            for reason in reasons or ["nothing speaks against it: cheaper nodes are preferred"]
        ),
    ]


def _evidence_lines(evidence: Sequence[Row]) -> list[str]:
    """Returns a line for each observation of a node, with its greatest weight at any member."""
    weights: dict[tuple[str, str], float] = {}
    for row in evidence:
        observation = str(row["by"]), str(row["sight"])
        weights[observation] = max(weights.get(observation, 0.0), float(row["weight"]))
    return [
        f"observed by {sanitize(by)}: {sight}, current weight {weight:g}"
        for (by, sight), weight in sorted(weights.items())
    ]


def is_task_id(text: str) -> bool:
    """Whether a text has the form of a request's id or an idempotency key: 1 to 16 hexadecimal digits."""
    return 1 <= len(text) <= 16 and all(digit in "0123456789abcdefABCDEF" for digit in text)


def explain_task(engine: QueryEngine, task_id: str) -> list[str]:
    """Returns the events of a task at all members by time, and its current state.

    ``task_id``: its id or its idempotency key, in hexadecimal digits.
    """
    uid = f"{int(task_id, 16):016x}"
    missing: dict[str, str] = {}
    events: dict[tuple[Any, ...], Row] = {}
    current_rows: list[Row] = []
    for column in ("uid", "key"):
        filters = {"history": {column: uid}, "tasks": {column: uid}}
        for row in query_rows(engine, "SELECT * FROM history", filters, missing):
            events[tuple(row[name] for name in _EVENT_IDENTITY)] = row
        tasks = query_rows(engine, "SELECT * FROM tasks", filters, missing)
        current_rows += [row for row in tasks if row not in current_rows]
    if not events and not current_rows:
        return [
            f"no member knows {uid}: it was never requested, or its events are no longer kept"
            " (`control.history`)",
            *missing_lines(missing),
        ]
    # The sort is stable: events of the same millisecond keep the order of their arrival.
    ordered_events = sorted(events.values(), key=lambda row: row["when_ms"])
    return [*map(_event_line, ordered_events), *_current_lines(current_rows), *missing_lines(missing)]


_EVENT_IDENTITY = ("member", "when_ms", "uid", "event", "node", "detail")


def _event_line(row: Row) -> str:
    where = f" at {sanitize(row['node'])}" if row["node"] else ""
    detail = f" ({sanitize(row['detail'])})" if row["detail"] != "" else ""
    member = sanitize(row["member"])
    return f"{format_time(row['when_ms'])} {member} {row['uid']} {row['event']}{where}{detail}"


def _current_lines(rows: Sequence[Row]) -> list[str]:
    """Returns a line on the current state of a task for each member and request."""
    by_request: dict[tuple[Any, ...], Row] = {}
    for row in rows:
        by_request.setdefault((row["member"], row["uid"]), row)
    return [_current_line(row) for row in by_request.values()] or ["now: no member has it any more"]


def _current_line(row: Row) -> str:
    """Returns a line on the current state of a task at one member."""
    text = str(row["state"])
    if row["state"] == "open":
        text += f", {row['left_ms']} ms left, {row['attempts']} attempt(s) so far"
        if row["waiting"]:
            text += ", waiting to be placed"
        elif row["node"]:
            text += f", sent to {sanitize(row['node'])}"
    elif row["node"]:
        text += f" at {sanitize(row['node'])}"
    if row["in_doubt"]:
        text += ", uncertain: its node is being queried"
    if row["why"]:
        text += f"; last cause: {sanitize(row['why'])}"
    return f"now: {sanitize(row['member'])} has it: {text}"
