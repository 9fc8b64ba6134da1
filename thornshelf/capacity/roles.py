"""The roles of a dispatcher and its nodes, with the slopes that their costs come from."""

from __future__ import annotations

from thornshelf.capacity.rows import Aspect, Budget, MissingRow, RowTerms

LIST = "list of nodes"
LINK = "link to nodes"
PLACING = "placing of tasks"
VIEW = "view of the fleet"
CONFIGURATION = "configuration"
START = "hand-over and restart"

ROWS: tuple[RowTerms, ...] = (
    RowTerms(
        "client front",
        Aspect.TRAFFIC,
        "bytes/s",
        "client_bytes_a_start",
        "starts_per_s",
        "frontends/json_lines.py",
    ),
    RowTerms(
        "client front",
        Aspect.MESSAGES,
        "messages/s",
        "client_messages_a_start",
        "starts_per_s",
        "frontends/json_lines.py",
    ),
    RowTerms(
        "client front",
        Aspect.PROCESSOR,
        "us/s",
        "start_us",
        "starts_per_s",
        "frontends, core and nodes together",
    ),
    RowTerms(
        PLACING,
        Aspect.PROCESSOR,
        "us/s",
        "decision_us",
        "starts_per_s",
        "placement/placer.py",
        waits_for=LIST,
    ),
    RowTerms(
        PLACING,
        Aspect.STATE,
        "bytes",
        "placement_bytes",
        "one",
        "placement/placer.py, machine_index.py",
        waits_for=LIST,
    ),
    RowTerms(PLACING, Aspect.MEMORY, "bytes", "standing_bytes", "one", "core/task.py, placement/placer.py"),
    RowTerms(LINK, Aspect.TRAFFIC, "bytes/s", "node_bytes_a_start", "starts_per_s", "nodes/binary.py"),
    RowTerms(LINK, Aspect.MESSAGES, "messages/s", "node_messages_a_start", "starts_per_s", "nodes/binary.py"),
    RowTerms(
        LINK,
        Aspect.STATE,
        "descriptors",
        "descriptors",
        "one",
        "nodes/node_connection.py, connection_pool.py",
        waits_for=LIST,
    ),
    RowTerms(
        LIST,
        Aspect.MEMORY,
        "KB",
        "held_kb",
        "one",
        "core/endpoint_registry.py, nodes, placement",
        Budget.MEMORY,
    ),
    RowTerms(LIST, Aspect.STATE, "bytes", "list_bytes", "one", "discovery/endpoint_watch.py"),
    RowTerms(
        LIST, Aspect.PROCESSOR, "us/s", "rest_us", "one", "loop, core, nodes at rest", Budget.CORE, LIST
    ),
    RowTerms(
        LIST,
        Aspect.PROCESSOR,
        "us/s",
        "list_change_us",
        "list_changes_per_s",
        "core/endpoint_registry.py, placement/machine_index.py",
        Budget.CORE,
    ),
    RowTerms(
        LIST,
        Aspect.TRAFFIC,
        "bytes/s",
        "list_change_bytes",
        "list_changes_per_s",
        "discovery/endpoint_watch.py",
        Budget.TRAFFIC,
    ),
    RowTerms(
        LIST,
        Aspect.TRAFFIC,
        "bytes/s",
        "rest_bytes",
        "one",
        "discovery/endpoint_watch.py, nodes/node_connection.py at rest",
        Budget.TRAFFIC,
    ),
    RowTerms(
        VIEW,
        Aspect.TRAFFIC,
        "bytes/s",
        "view_bytes",
        "one",
        "membership, components/fleet.py",
        Budget.TRAFFIC,
    ),
    RowTerms(
        VIEW, Aspect.MESSAGES, "datagrams/s", "view_datagrams", "one", "membership, components/fleet.py"
    ),
    RowTerms(VIEW, Aspect.PROCESSOR, "us/s", "view_us", "one", "membership", Budget.CORE),
    RowTerms(VIEW, Aspect.MEMORY, "KB", "view_kb", "one", "membership", Budget.MEMORY),
    RowTerms(
        CONFIGURATION,
        Aspect.PROCESSOR,
        "us/s",
        "reload_us",
        "configuration_changes_per_s",
        "configuration.py, service.py (SIGHUP)",
        Budget.CORE,
        LIST,
    ),
    RowTerms(START, Aspect.TIME, "ms", "start_ms", "one", "service.py", waits_for=LIST),
    RowTerms(START, Aspect.PROCESSOR, "ms", "start_cpu_ms", "one", "service.py", waits_for=LIST),
    RowTerms(
        START, Aspect.STATE, "bytes", "handover_bytes", "one", "core/state_transfer.py, socket_handover.py"
    ),
    RowTerms("log", Aspect.TRAFFIC, "bytes/s", "log_bytes_a_start", "starts_per_s", "syslog.py"),
    RowTerms(
        "questions by the shell",
        Aspect.PROCESSOR,
        "us a question",
        "question_us",
        "one",
        "control/tables.py",
        waits_for=LIST,
    ),
    RowTerms("node", Aspect.STATE, "connections", "node_connections", "one", "the node's own"),
)

CANNOT: tuple[MissingRow, ...] = (
    MissingRow(
        "gangs",
        "up to 256 tasks that start together or not at all",
        "An ask with a number of members, all of them placed in one decision, and a message that starts or gives up "
        "all of them together; the protocol has set-ups of one task only.",
    ),
    MissingRow(
        "accelerators",
        "25,000 among the nodes, as a resource that is asked for",
        "A third dimension beside cores and memory in asks, reports and prices; `extras` of a set-up and the report "
        "fields have no word for it.",
    ),
    MissingRow(
        "urgent work",
        "starts within 1.6 s",
        "A class's aim is known, but nothing that runs may make room: the decision module never ends a task that "
        "stands, and a full fleet refuses.",
    ),
    MissingRow(
        "spread of configuration",
        "10,000 changes a day, each in force at every dispatcher within 6 s",
        "A version of the settings, who has it in force, and a way that carries it: today each process reads its own "
        "file at SIGHUP.",
    ),
    MissingRow(
        "quotas of teams",
        "74 teams with quotas that hold over all dispatchers",
        "Each dispatcher takes its part of a quota by the number of dispatchers; nothing moves what one leaves "
        "unused to another.",
    ),
)
