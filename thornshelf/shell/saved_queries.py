"""Saved queries for common questions of operators; ``.queries`` lists them, ``.run NAME`` runs one."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SavedQuery:
    """A query and the question that it answers; ``fleet``: it is only useful over the rows of all members."""

    name: str
    question: str
    sql: str
    fleet: bool = True


SAVED_QUERIES = (
    SavedQuery(
        "down",
        "Who is down, and which members report it?",
        "SELECT name, state, group_concat(DISTINCT member) AS seen_by, count(*) AS seers,"
        " group_concat(DISTINCT nullif(by, '')) AS by_word_of, min(heard_ms) AS heard_ms FROM members"
        " WHERE state <> 'alive' GROUP BY name, state ORDER BY name, seers DESC",
    ),
    SavedQuery(
        "open",
        "Which tasks have no outcome yet, the oldest first?",
        "SELECT member, uid, class, age_ms, left_ms, attempts, waiting, node, why FROM tasks"
        " WHERE state = 'open' ORDER BY age_ms DESC LIMIT 50",
    ),
    SavedQuery(
        "differ",
        "On which nodes do members disagree?",
        "SELECT node, health, started_ms, count(*) AS members, group_concat(member) AS held_by FROM nodes"
        " WHERE node IN (SELECT node FROM nodes GROUP BY node"
        " HAVING count(DISTINCT health) > 1 OR count(DISTINCT started_ms) > 1"
        " OR count(*) < (SELECT count(DISTINCT member) FROM nodes))"
        " GROUP BY node, health, started_ms ORDER BY node, members DESC",
    ),
    SavedQuery(
        "shunned",
        "Which nodes get no new tasks, or are chosen last, and why?",
        "SELECT node, member, health, reach, strikes, suspect_ms, shut_ms, cold, cold_left, second_choice, waits_ms"
        " FROM nodes"
        " WHERE health <> 'up' OR reach = 'unreachable' OR strikes > 0 OR suspect_ms > 0 OR shut_ms > 0"
        " OR (cold = 1 AND cold_left = 0) OR second_choice = 1 OR waits_ms > 1000 ORDER BY node, member",
    ),
    SavedQuery(
        "owed",
        "Which clients have not been notified of the end of a task yet, and for how long?",
        "SELECT member, uid, client, outcome, owed_ms FROM releases ORDER BY owed_ms DESC",
    ),
    SavedQuery(
        "allowances",
        "Which quotas of the fleet are in force?",
        "SELECT name, value, count(*) AS members, group_concat(member) AS held_by FROM allowances"
        " GROUP BY name, value ORDER BY name, value",
    ),
    SavedQuery(
        "load",
        "How full are the nodes, as members count them?",
        "SELECT node, max(cores) AS cores, round(max(taken_cores), 1) AS taken_cores, max(memory) AS memory,"
        " round(max(taken_memory), 1) AS taken_memory, sum(standing) AS standing, sum(out) AS out FROM nodes"
        " GROUP BY node ORDER BY taken_cores / cores DESC",
    ),
    SavedQuery(
        "doubt",
        "Which tasks are uncertain, so that their nodes are being queried?",
        "SELECT member, uid, key, class, node, age_ms FROM tasks WHERE in_doubt = 1 ORDER BY age_ms DESC",
    ),
    SavedQuery(
        "errors",
        "Which errors occurred, and what can be done about them?",
        "SELECT code, error, sum(count) AS count, max(last_ms) AS last_ms, group_concat(DISTINCT member) AS members,"
        " remedy FROM errors GROUP BY code, error, remedy ORDER BY count DESC",
    ),
    SavedQuery(
        "outcomes",
        "What are the outcomes of tasks, by member?",
        "SELECT member, name, value FROM counters WHERE part = 'core' ORDER BY member, name",
    ),
)
QUERIES_BY_NAME = {query.name: query for query in SAVED_QUERIES}

# What ``.diff`` compares, by table: the columns that identify a row, and the columns in which members should agree.
COMPARED_COLUMNS = {
    "nodes": (("node",), ("address", "health", "started_ms", "zone", "kind")),
    "members": (("name",), ("state", "address", "incarnation")),
    "settings": (("key",), ("value",)),
    "allowances": (("name",), ("value",)),
}
# By table, the keys whose values differ between members by design.
MEMBER_SPECIFIC_KEYS = {
    "settings": (
        "name", "listen", "seed", "settings.me", "changelog", "control.socket",
        "fleet.listen", "fleet.terms.name", "fleet.terms.address",
    )
}  # fmt: skip


def difference_query(table: str) -> str | None:
    """Returns SQL for the rows of a table in which members differ, or None if the table can't be compared."""
    if table not in COMPARED_COLUMNS:
        return None
    key_columns, value_columns = COMPARED_COLUMNS[table]
    key = ", ".join(key_columns)
    values = ", ".join(value_columns)
    differs = " OR ".join(f"count(DISTINCT coalesce({column}, '')) > 1" for column in value_columns)
    excluded_keys = ", ".join(map(repr, MEMBER_SPECIFIC_KEYS.get(table, ())))
    where = f" WHERE key NOT IN ({excluded_keys})" if excluded_keys else ""
    is_incomplete = f"count(DISTINCT member) < (SELECT count(DISTINCT member) FROM {table})"
    return (
        f"SELECT {key}, {values}, count(*) AS members, group_concat(member) AS held_by FROM {table}"
        f" WHERE {key} IN (SELECT {key} FROM {table}{where} GROUP BY {key} HAVING {differs} OR {is_incomplete})"
        f" GROUP BY {key}, {values} ORDER BY {key}, members DESC"
    )
