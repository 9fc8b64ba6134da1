"""The schema of the operator's file (TOML): every table and key, with its type, bounds and default.

The structures mirror the file: their fields are its keys, and the modules of this package that decode its tables
map them to the terms of the program. ``thornshelf schema`` prints their names and doc comments, which are a part of
the file's format. This module needs ``msgspec`` and is loaded only where there is such a file.
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

    listen: str | None = None
    nodes: list[str] | Literal["all"] = []


class SyslogTable(Struct, forbid_unknown_fields=True):
    """Where the log goes."""

    collector: str | None = None


class ClassTable(Struct, forbid_unknown_fields=True):
    """What holds for the tasks of one class between the forms."""

    generation: Annotated[int, Meta(ge=0, le=2)] = 0
    missing_hint: Literal["refuse", "assume"] = "refuse"
    assumed_hint_ms: Milliseconds | None = None


class RetryTable(Struct, forbid_unknown_fields=True):
    """Further attempts, and when refused tasks come again."""

    service_share: Ratio = 0.2
    service_floor_per_s: Ratio = 1.0
    service_most: Positive = 20
    fleet_share: Ratio = 0.2
    fleet_floor_per_s: Annotated[float, Meta(ge=0.0, le=100_000.0)] = 10.0
    fleet_most: Positive = 200
    returns_per_s: Positive = 200
    asks_a_turn: Positive = 16
    most_waiting: Positive = 10_000


class Translate(Struct, forbid_unknown_fields=True):
    """The translation layer."""

    otherwise: Formats = msgspec.field(default_factory=lambda: ["binary"])
    nodes: dict[str, Formats] = {}
    classes: dict[str, ClassTable] = msgspec.field(default_factory=dict, name="class")
    hello_ms: Milliseconds = 500
    settle_ms: Milliseconds = 1000
    remember_s: Annotated[int, Meta(ge=1, le=86_400)] = 30
    most_doubts: Positive = 100_000
    retries: RetryTable | None = None


class RuleTable(Struct, forbid_unknown_fields=True):
    """One prefix at the door. The limits hold for all of it together, those that begin with each_ for each source."""

    name: Annotated[str, Meta(min_length=1, max_length=60)]
    prefix: str
    known: bool = False
    connections: Positive | None = None
    connections_per_s: Positive | None = None
    set_ups_per_s: Positive | None = None
    each_connections: Positive | None = None
    each_connections_per_s: Positive | None = None
    each_set_ups_per_s: Positive | None = None


class SharesTable(Struct, forbid_unknown_fields=True):
    """Counties by share when more comes than can be placed."""

    target_ms: Milliseconds = 20
    interval_ms: Milliseconds = 200
    asks_a_turn: Positive = 16
    most_waiting: Positive = 10_000
    returns_per_s: Positive = 200


class DescriptorsTable(Struct, forbid_unknown_fields=True):
    """Descriptors that no other kind can take."""

    clients: Annotated[int, Meta(ge=0, le=1_000_000)] = 32
    nodes: Annotated[int, Meta(ge=0, le=1_000_000)] = 32
    changelog: Annotated[int, Meta(ge=0, le=100)] = 1
    log: Annotated[int, Meta(ge=0, le=100)] = 1
    listeners: Annotated[int, Meta(ge=0, le=100)] = 2
    spare: Annotated[int, Meta(ge=0, le=100)] = 1


class Admission(Struct, forbid_unknown_fields=True):
    """The door."""

    reserve: Annotated[int, Meta(ge=0, le=1_000_000)] = 16
    reserve_floor: Annotated[int, Meta(ge=0, le=1_000_000)] = 4
    connections: Positive | None = 64
    connections_per_s: Positive | None = 50
    set_ups_per_s: Positive | None = None
    unknown_set_ups_per_s: Positive | None = None
    known_after: Positive = 4
    known_half_life_s: Annotated[int, Meta(ge=1, le=86_400)] = 60
    most_sources: Positive = 20_000
    rule: list[RuleTable] = []
    shares: SharesTable | None = None
    descriptors: DescriptorsTable = msgspec.field(default_factory=DescriptorsTable)


class FleetUses(Struct, forbid_unknown_fields=True):
    """What the view is used for; each may be off by itself."""

    allowances: bool = True  # quotas are divided by the live members in place of the configured number
    news: bool = True  # drains reach members whose watch of the endpoint list is broken
    probes: bool = True  # two members check the health of an ejected node for all
    evidence: bool = True  # outliers that other members report are avoided
    messages: bool = True  # the decision modules exchange gossip


class Fleet(Struct, forbid_unknown_fields=True):
    """The view of the fleet that the dispatchers keep themselves."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    listen: str
    key_file: str
    seeds: list[str] = []
    advertise: str | None = None
    probe_ms: Annotated[int, Meta(ge=100, le=60_000)] = 500
    answer_ms: Annotated[int, Meta(ge=10, le=20_000)] = 160
    suspicion_ms: Annotated[int, Meta(ge=100, le=600_000)] = 800
    grace_ms: Annotated[int, Meta(ge=50, le=60_000)] = 400
    recall_ms: Annotated[int, Meta(ge=100, le=600_000)] = 700
    sync_ms: Annotated[int, Meta(ge=200, le=600_000)] = 2_000
    remember_s: Annotated[int, Meta(ge=10, le=86_400)] = 120
    hold_s: Annotated[int, Meta(ge=10, le=86_400)] = 60
    most_members: Annotated[int, Meta(ge=1024, le=65_536)] = 4_096
    bytes_per_s: Annotated[int, Meta(ge=100, le=1_000_000)] = 1_200
    uses: FleetUses = msgspec.field(default_factory=FleetUses)


class Control(Struct, forbid_unknown_fields=True):
    """The socket on which shells ask."""

    socket: Annotated[str, Meta(min_length=1, max_length=4096)]
    readers: Annotated[int, Meta(ge=1, le=256)] = 16
    history: Annotated[int, Meta(ge=1_000, le=1_000_000)] = 20_000


class SubsetTable(Struct, forbid_unknown_fields=True):
    """Which nodes this dispatcher holds: its zone's, and spare ones of other zones while that is short."""

    zone: Annotated[str, Meta(min_length=1, max_length=64)] | None = None
    dispatchers: Annotated[int, Meta(ge=1, le=65_536)] = 1  # in this zone
    spare_step: Positive = 64
    most_spare: Positive = 512
    short_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.9
    refused_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.05
    quiet_s: Annotated[int, Meta(ge=1, le=86_400)] = 30


class OperatorFile(Struct, forbid_unknown_fields=True):
    """The whole file."""

    grpc: Grpc = msgspec.field(default_factory=Grpc)
    syslog: SyslogTable = msgspec.field(default_factory=SyslogTable)
    translate: Translate | None = None
    admission: Admission | None = None
    fleet: Fleet | None = None
    control: Control | None = None
    subset: SubsetTable | None = None


def convert(value: Any) -> OperatorFile:
    """The tables of a parsed file; ``SchemaError`` with the key where a value is not allowed."""
    try:
        return msgspec.convert(value, OperatorFile)
    except msgspec.ValidationError as fault:
        text, _, path = str(fault).rpartition(" - at `$")
        if not text:
            text = str(fault)
            path = ""
        key = path.rstrip("`").lstrip(".")
        if "unknown field" in text:
            field = text.rpartition("field `")[2].rstrip("`")
            key = f"{key}.{field}" if key else field
            text = "not known"
        raise SchemaError(_resolve_key(value, key), text) from None


def _resolve_key(value: Any, key: str) -> str:
    """The key with the name of the table at fault, where msgspec writes ``[...]`` for any key of a mapping."""
    if "[...]" not in key:
        return key
    before, _, after = key.partition("[...]")
    for part in before.split("."):
        value = value.get(part, {}) if isinstance(value, dict) else {}
    entry_type: Any = ClassTable if before.endswith("class") else Formats
    for name, entry in value.items() if isinstance(value, dict) else ():
        try:
            msgspec.convert(entry, entry_type)
        except msgspec.ValidationError:
            return f"{before}.{name}{after}"
    return f"{before}{after}"


def render_json_schema() -> str:
    """The schema as JSON Schema (2020-12)."""
    return json.dumps(msgspec.json.schema(OperatorFile), indent=1)
