"""The schema of the operator's TOML file: every table and key, with its type, bounds and default.

Each structure is a table of the file, and its fields are the table's keys. The other modules of this package convert
them to the program's types. ``thornshelf schema`` prints the names and docstrings of the structures, so they are part
of the file's published format and stay as they are. This module needs ``msgspec`` and is imported only if there is an
operator's file.
"""

from __future__ import annotations

import json
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from thornshelf.errors import SchemaError

Ratio = Annotated[float, Meta(ge=0.0, le=10.0)]
Positive = Annotated[int, Meta(ge=1, le=1_000_000_000)]
Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]
FormatName = Literal["binary", "v1", "v2"]
Formats = Annotated[list[FormatName], Meta(min_length=1, max_length=3)]


class Grpc(Struct, forbid_unknown_fields=True):
    """gRPC for clients, and the nodes that speak its first generation and nothing else."""

    listen: str | None = None  # host:port for gRPC clients
    nodes: list[str] | Literal["all"] = []  # names of nodes that speak v1 only


class SyslogTable(Struct, forbid_unknown_fields=True):
    """Where the log goes."""

    collector: str | None = None  # udp:host:port or tcp:host:port


# How the translation layer treats the tasks of one class.
class ClassTable(Struct, forbid_unknown_fields=True):
    """What holds for the tasks of one class between the forms."""

    generation: Annotated[int, Meta(ge=0, le=2)] = 0  # the lowest that a node must speak; 0: any
    missing_hint: Literal["refuse", "assume"] = "refuse"  # for requests without a lifetime hint
    assumed_hint_ms: Milliseconds | None = None


# Retry budgets, and the queue and the Retry-After jitter of requests.
class RetryTable(Struct, forbid_unknown_fields=True):
    """Further attempts, and when refused tasks come again."""

    # The retry budget of each service: tokens earned per first attempt and per second, and its capacity.
    service_share: Ratio = 0.2
    service_floor_per_s: Ratio = 1.0
    service_most: Positive = 20
    # The retry budget of the fleet.
    fleet_share: Ratio = 0.2
    fleet_floor_per_s: Annotated[float, Meta(ge=0.0, le=100_000.0)] = 10.0
    fleet_most: Positive = 200
    returns_per_s: Positive = 200  # rejected clients that are told to return per second
    asks_a_turn: Positive = 16  # requests that are passed to the decision module in one turn
    most_waiting: Positive = 10_000  # capacity of the queue of these requests


class Translate(Struct, forbid_unknown_fields=True):
    """The translation layer."""

    # The wire formats that nodes may speak: of those in ``nodes`` by name, and of all others.
    otherwise: Formats = msgspec.field(default_factory=lambda: ["binary"])
    nodes: dict[str, Formats] = {}
    classes: dict[str, ClassTable] = msgspec.field(default_factory=dict, name="class")
    hello_ms: Milliseconds = 500  # timeout of the version handshake with a node
    settle_ms: Milliseconds = 1000  # timeout of a status query about an uncertain attempt
    remember_s: Annotated[int, Meta(ge=1, le=86_400)] = 30  # retention of uncertain attempts
    most_doubts: Positive = 100_000  # uncertain attempts that are retained
    retries: RetryTable | None = None


# Admission control for the sources in one network prefix.
class RuleTable(Struct, forbid_unknown_fields=True):
    """One prefix at the door. The limits hold for all of it together, those that begin with each_ for each source."""

    name: Annotated[str, Meta(min_length=1, max_length=60)]
    prefix: str
    known: bool = False  # its sources may use the reserved connections
    # Limits of all sources of the prefix together; a set-up is a request.
    connections: Positive | None = None
    connections_per_s: Positive | None = None
    set_ups_per_s: Positive | None = None
    # Limits of each source; they replace those of ``Admission`` and of shorter prefixes.
    each_connections: Positive | None = None
    each_connections_per_s: Positive | None = None
    each_set_ups_per_s: Positive | None = None


# The fair queue, which divides capacity between tenants by weight.
class SharesTable(Struct, forbid_unknown_fields=True):
    """Counties by share when more comes than can be placed."""

    # Overload: the wait in the queue exceeds ``target_ms`` for at least ``interval_ms``.
    target_ms: Milliseconds = 20
    interval_ms: Milliseconds = 200
    asks_a_turn: Positive = 16  # requests that are passed to the decision module in one turn
    most_waiting: Positive = 10_000  # capacity of the queue
    returns_per_s: Positive = 200  # rejected clients that are told to return per second


# The floor of each kind of file descriptor: the number that other kinds never use.
class DescriptorsTable(Struct, forbid_unknown_fields=True):
    """Descriptors that no other kind can take."""

    clients: Annotated[int, Meta(ge=0, le=1_000_000)] = 32
    nodes: Annotated[int, Meta(ge=0, le=1_000_000)] = 32
    changelog: Annotated[int, Meta(ge=0, le=100)] = 1
    log: Annotated[int, Meta(ge=0, le=100)] = 1
    listeners: Annotated[int, Meta(ge=0, le=100)] = 2
    spare: Annotated[int, Meta(ge=0, le=100)] = 1


# Admission control of connections and requests.
class Admission(Struct, forbid_unknown_fields=True):
    """The door."""

    reserve: Annotated[int, Meta(ge=0, le=1_000_000)] = 16  # connections reserved for known sources
    reserve_floor: Annotated[int, Meta(ge=0, le=1_000_000)] = 4  # of these, never lent to unknown sources
    # Limits of each source that no rule overrides.
    connections: Positive | None = 64
    connections_per_s: Positive | None = 50
    set_ups_per_s: Positive | None = None
    unknown_set_ups_per_s: Positive | None = None  # of all unknown sources together
    known_after: Positive = 4  # recent placements that make a source known
    known_half_life_s: Annotated[int, Meta(ge=1, le=86_400)] = 60  # after which a placement counts half
    most_sources: Positive = 20_000  # sources whose usage is tracked
    rule: list[RuleTable] = []
    shares: SharesTable | None = None
    descriptors: DescriptorsTable = msgspec.field(default_factory=DescriptorsTable)


# The policies that use the fleet's membership.
class FleetUses(Struct, forbid_unknown_fields=True):
    """What the view is used for; each may be off by itself."""

    allowances: bool = True  # quotas are divided by the number of live members, not the configured number
    news: bool = True  # members whose endpoint watch is broken learn from others which nodes drain
    probes: bool = True  # two members check the health of an ejected node for all
    evidence: bool = True  # outliers that other members report are avoided
    messages: bool = True  # the decision modules exchange gossip


# The membership protocol between dispatchers.
class Fleet(Struct, forbid_unknown_fields=True):
    """The view of the fleet that the dispatchers keep themselves."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    listen: str  # host:port of the UDP socket
    key_file: str
    seeds: list[str] = []  # host:port of members to contact first
    advertise: str | None = None  # host:port at which other members reach this one, if not ``listen``
    probe_ms: Annotated[int, Meta(ge=100, le=60_000)] = 500  # between two probes
    answer_ms: Annotated[int, Meta(ge=10, le=20_000)] = 160  # timeout of a direct probe
    suspicion_ms: Annotated[int, Meta(ge=100, le=600_000)] = 800  # the shortest suspicion timeout
    grace_ms: Annotated[int, Meta(ge=50, le=60_000)] = 400  # for a member reported as dead to refute that
    recall_ms: Annotated[int, Meta(ge=100, le=600_000)] = 700  # between two attempts to reach a dead member
    sync_ms: Annotated[int, Meta(ge=200, le=600_000)] = 2_000  # between two push-pull exchanges
    remember_s: Annotated[int, Meta(ge=10, le=86_400)] = 120  # retention of dead members
    hold_s: Annotated[int, Meta(ge=10, le=86_400)] = 60  # how long a member that is gone counts in quotas
    most_members: Annotated[int, Meta(ge=1024, le=65_536)] = 4_096
    bytes_per_s: Annotated[int, Meta(ge=100, le=1_000_000)] = 1_200  # of gossiped entries
    uses: FleetUses = msgspec.field(default_factory=FleetUses)


class Control(Struct, forbid_unknown_fields=True):
    """The socket on which shells ask."""

    socket: Annotated[str, Meta(min_length=1, max_length=4096)]
    readers: Annotated[int, Meta(ge=1, le=256)] = 16  # shells that may be connected at a time
    history: Annotated[int, Meta(ge=1_000, le=1_000_000)] = 20_000  # task events that are retained


class SubsetTable(Struct, forbid_unknown_fields=True):
    """Which nodes this dispatcher holds: its zone's, and spare ones of other zones while that is short."""

    zone: Annotated[str, Meta(min_length=1, max_length=64)] | None = None  # default: the zone of the settings
    dispatchers: Annotated[int, Meta(ge=1, le=65_536)] = 1  # in this zone
    spare_step: Positive = 64  # spare nodes that are requested at a time
    most_spare: Positive = 512
    short_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.9  # of the recent peak; below it spares are added
    refused_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.05  # of requests; above it spares are added
    quiet_s: Annotated[int, Meta(ge=1, le=86_400)] = 30  # time without demand before spares are released


class OperatorFile(Struct, forbid_unknown_fields=True):
    """The whole file."""

    grpc: Grpc = msgspec.field(default_factory=Grpc)
    syslog: SyslogTable = msgspec.field(default_factory=SyslogTable)
    translate: Translate | None = None
    admission: Admission | None = None
    fleet: Fleet | None = None
    control: Control | None = None
    subset: SubsetTable | None = None


def convert(document: Any) -> OperatorFile:
    """Validate a parsed file and return its tables. Raises ``SchemaError`` with the key that is not allowed."""
    try:
        return msgspec.convert(document, OperatorFile)
    except msgspec.ValidationError as error:
        message, _, path = str(error).rpartition(" - at `$")
        if not message:
            message = str(error)
            path = ""
        key = path.rstrip("`").lstrip(".")
        if "unknown field" in message:
            field = message.rpartition("field `")[2].rstrip("`")
            key = f"{key}.{field}" if key else field
            message = "not known"
        raise SchemaError(_resolve_key(document, key), message) from None


def _resolve_key(value: Any, key: str) -> str:
    """Replace the ``[...]`` that msgspec writes for a key of a mapping by the first key whose value is invalid."""
    if "[...]" not in key:
        return key
    before, _, after = key.partition("[...]")
    for table_name in before.split("."):
        value = value.get(table_name, {}) if isinstance(value, dict) else {}
    entry_type: Any = ClassTable if before.endswith("class") else Formats
    for name, entry in value.items() if isinstance(value, dict) else ():
        try:
            msgspec.convert(entry, entry_type)
        except msgspec.ValidationError:
            return f"{before}.{name}{after}"
    return f"{before}{after}"


def render_json_schema() -> str:
    """Returns the schema as JSON Schema (2020-12)."""
    return json.dumps(msgspec.json.schema(OperatorFile), indent=1)
