"""The rows of the capacity report, by role, and the required features that do not exist yet.

The texts are part of docs/capacity.json and docs/CAPACITY.md.
"""

from __future__ import annotations

from thornshelf.capacity.rows import Aspect, Budget, MissingFeature, RowDefinition

ENDPOINT_LIST = "list of nodes"
CONNECTIONS = "link to nodes"
PLACEMENT = "placing of tasks"
MEMBERSHIP = "view of the fleet"
CONFIGURATION = "configuration"
RESTART = "hand-over and restart"

ROWS: tuple[RowDefinition, ...] = (
    RowDefinition(
        "client front",
        Aspect.TRAFFIC,
        "bytes/s",
        "client_bytes_a_start",
        "starts_per_s",
        "frontends/json_lines.py",
    ),
    RowDefinition(
        "client front",
        Aspect.MESSAGES,
        "messages/s",
        "client_messages_a_start",
        "starts_per_s",
        "frontends/json_lines.py",
    ),
    RowDefinition(
        "client front",
        Aspect.PROCESSOR,
        "us/s",
        "start_us",
        "starts_per_s",
        "frontends, core and nodes together",
    ),
    RowDefinition(
        PLACEMENT,
        Aspect.PROCESSOR,
        "us/s",
        "decision_us",
        "starts_per_s",
        "placement/placer.py",
        waits_for=ENDPOINT_LIST,
    ),
    RowDefinition(
        PLACEMENT,
        Aspect.STATE,
        "bytes",
        "placement_bytes",
        "constant",
        "placement/placer.py, machine_index.py",
        waits_for=ENDPOINT_LIST,
    ),
    RowDefinition(
        PLACEMENT, Aspect.MEMORY, "bytes", "standing_bytes", "constant", "core/task.py, placement/placer.py"
    ),
    RowDefinition(
        CONNECTIONS, Aspect.TRAFFIC, "bytes/s", "node_bytes_a_start", "starts_per_s", "nodes/binary.py"
    ),
    RowDefinition(
        CONNECTIONS,
        Aspect.MESSAGES,
        "messages/s",
        "node_messages_a_start",
        "starts_per_s",
        "nodes/binary.py",
    ),
    RowDefinition(
        CONNECTIONS,
        Aspect.STATE,
        "descriptors",
        "descriptors",
        "constant",
        "nodes/node_connection.py, connection_pool.py",
        waits_for=ENDPOINT_LIST,
    ),
    RowDefinition(
        ENDPOINT_LIST,
        Aspect.MEMORY,
        "KB",
        "held_kb",
        "constant",
        "core/endpoint_registry.py, nodes, placement",
        Budget.MEMORY,
    ),
    RowDefinition(
        ENDPOINT_LIST, Aspect.STATE, "bytes", "list_bytes", "constant", "discovery/endpoint_watch.py"
    ),
    RowDefinition(
        ENDPOINT_LIST,
        Aspect.PROCESSOR,
        "us/s",
        "rest_us",
        "constant",
        "loop, core, nodes at rest",
        Budget.CORE,
        ENDPOINT_LIST,
    ),
    RowDefinition(
        ENDPOINT_LIST,
        Aspect.PROCESSOR,
        "us/s",
        "list_change_us",
        "list_changes_per_s",
        "core/endpoint_registry.py, placement/machine_index.py",
        Budget.CORE,
    ),
    RowDefinition(
        ENDPOINT_LIST,
        Aspect.TRAFFIC,
        "bytes/s",
        "list_change_bytes",
        "list_changes_per_s",
        "discovery/endpoint_watch.py",
        Budget.TRAFFIC,
    ),
    RowDefinition(
        ENDPOINT_LIST,
        Aspect.TRAFFIC,
        "bytes/s",
        "rest_bytes",
        "constant",
        "discovery/endpoint_watch.py, nodes/node_connection.py at rest",
        Budget.TRAFFIC,
    ),
    RowDefinition(
        MEMBERSHIP,
        Aspect.TRAFFIC,
        "bytes/s",
        "view_bytes",
        "constant",
        "membership, components/fleet.py",
        Budget.TRAFFIC,
    ),
    RowDefinition(
        MEMBERSHIP,
        Aspect.MESSAGES,
        "datagrams/s",
        "view_datagrams",
        "constant",
        "membership, components/fleet.py",
    ),
    RowDefinition(MEMBERSHIP, Aspect.PROCESSOR, "us/s", "view_us", "constant", "membership", Budget.CORE),
    RowDefinition(MEMBERSHIP, Aspect.MEMORY, "KB", "view_kb", "constant", "membership", Budget.MEMORY),
    RowDefinition(
        CONFIGURATION,
        Aspect.PROCESSOR,
        "us/s",
        "reload_us",
        "configuration_changes_per_s",
        "configuration.py, service.py (SIGHUP)",
        Budget.CORE,
        ENDPOINT_LIST,
    ),
    RowDefinition(RESTART, Aspect.TIME, "ms", "start_ms", "constant", "service.py", waits_for=ENDPOINT_LIST),
    RowDefinition(
        RESTART, Aspect.PROCESSOR, "ms", "start_cpu_ms", "constant", "service.py", waits_for=ENDPOINT_LIST
    ),
    RowDefinition(
        RESTART,
        Aspect.STATE,
        "bytes",
        "handover_bytes",
        "constant",
        "core/state_transfer.py, socket_handover.py",
    ),
    RowDefinition("log", Aspect.TRAFFIC, "bytes/s", "log_bytes_a_start", "starts_per_s", "syslog.py"),
    RowDefinition(
        "questions by the shell",
        Aspect.PROCESSOR,
        "us a question",
        "question_us",
        "constant",
        "control/tables.py",
        waits_for=ENDPOINT_LIST,
    ),
    RowDefinition("node", Aspect.STATE, "connections", "node_connections", "constant", "the node's own"),
)

MISSING_FEATURES: tuple[MissingFeature, ...] = (
    MissingFeature(
        "gangs",
        "up to 256 tasks that start together or not at all",
        "An ask with a number of members, all of them placed in one decision, and a message that starts or gives up "
        "all of them together; the protocol has set-ups of one task only.",
    ),
    MissingFeature(
        "accelerators",
        "25,000 among the nodes, as a resource that is asked for",
        "A third dimension beside cores and memory in asks, reports and prices; `extras` of a set-up and the report "
        "fields have no word for it.",
    ),
    MissingFeature(
        "urgent work",
        "starts within 1.6 s",
        "A class's aim is known, but nothing that runs may make room: the decision module never ends a task that "
        "stands, and a full fleet refuses.",
    ),
    MissingFeature(
        "spread of configuration",
        "10,000 changes a day, each in force at every dispatcher within 6 s",
        "A version of the settings, who has it in force, and a way that carries it: today each process reads its own "
        "file at SIGHUP.",
    ),
    MissingFeature(
        "quotas of teams",
        "74 teams with quotas that hold over all dispatchers",
        "Each dispatcher takes its part of a quota by the number of dispatchers; nothing moves what one leaves "
        "unused to another.",
    ),
)
