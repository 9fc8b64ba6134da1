"""The one place where configuration is read, checked and given defaults; errors name the faulty key."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from thornshelf.errors import ConfigError as ConfigError
from thornshelf.errors import InvalidParameterError, KeyFileError, SchemaError
from thornshelf.errors import WireError as SettingsError
from thornshelf.placement import interface as api
from thornshelf.placement.simulator.settings import decode_settings

if TYPE_CHECKING:
    from thornshelf import schema
    from thornshelf.admission.fair_queue import FairQueueConfig
    from thornshelf.frontends.admission_filter import AdmissionFilterConfig
    from thornshelf.membership.config import FleetConfig
    from thornshelf.retries.jitter import JitterConfig
    from thornshelf.subsetting import SubsetConfig
    from thornshelf.translation.translator import TranslationConfig

DEFAULT_SOCKETS = 1024
LEAST_KEY, MOST_KEY = 16, 4096  # bytes of a key
RESERVED = 96  # descriptors that a door keeps for nodes, change log, log and the rest, where there are plenty
OVERHEAD = 24  # descriptors for the change log, log, listeners and the rest, where there is no door
RESERVED_SHARE = 4  # else one in so many
CLIENTS_SHARE = 3  # owners hold at most one in so many, by the protocol: these are theirs in any case


@dataclass(frozen=True, slots=True)
class GrpcConfig:
    """The operator's file: the second front and the nodes that speak gRPC."""

    listen: tuple[str, int] | None = None
    nodes: frozenset[str] = frozenset()
    all_nodes: bool = False

    @property
    def has_nodes(self) -> bool:
        """Some nodes are called by gRPC."""
        return self.all_nodes or bool(self.nodes)

    def is_grpc_node(self, name: str) -> bool:
        """Whether a node is to be called by gRPC."""
        return self.all_nodes or name in self.nodes


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """Where shells ask, how many at once, and how many steps in the lives of tasks are kept for them."""

    socket: Path
    readers: int
    history: int


@dataclass(frozen=True, slots=True)
class ZoneSubsetConfig:
    """Which nodes are held, and how many dispatchers hold those of this zone."""

    selection: SubsetConfig
    dispatchers: int


@dataclass(frozen=True, slots=True)
class Config:
    """All that a dispatcher is told at its start."""

    name: str
    listen: tuple[str, int]
    seed: int
    max_descriptors: int
    endpoint_source: tuple[str, int] | None
    initial_endpoints: Mapping[str, Any]
    settings: api.Settings
    grpc: GrpcConfig = field(default_factory=GrpcConfig)
    syslog_collector: tuple[str, tuple[str, int]] | None = None  # "udp" or "tcp", and where
    translation: TranslationConfig | None = (
        None  # the translation layer, where the operator's file sets one up
    )
    admission: AdmissionFilterConfig | None = None  # the door, likewise
    fair_queue: FairQueueConfig | None = (
        None  # the order by share, likewise, and when those that are refused come again
    )
    retry_after_jitter: JitterConfig | None = None
    fleet: FleetConfig | None = None  # the view of the fleet, likewise
    control: ControlConfig | None = None  # the socket on which shells ask, likewise
    subset: ZoneSubsetConfig | None = None  # the part of the nodes that is held, likewise

    def reloaded(self, new: Config) -> tuple[Config, list[str]]:
        """This with what may change in a running process; and the changed keys that wait for a restart."""
        kept = replace(self, endpoint_source=new.endpoint_source, max_descriptors=new.max_descriptors)
        if self.admission is not None and new.admission is not None:
            kept = replace(kept, admission=new.admission)  # a door can change, but neither come nor go
        # 'known' is only a start's word: the change log itself goes on from the last number.
        keys = {"syslog_collector": "syslog.collector", **{name: name for name in ("name", "listen", "seed")}}
        keys |= {"settings": "settings", "grpc": "grpc", "translation": "translate"}
        keys |= {"admission": "admission", "fair_queue": "admission.shares", "fleet": "fleet"}
        keys |= {"control": "control", "subset": "subset"}
        return kept, [key for name, key in keys.items() if getattr(kept, name) != getattr(new, name)]


def read_address(value: object, key: str) -> tuple[str, int]:
    """host:port."""
    host, sign, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not sign or not host or not port.isdecimal() or int(port) > 65535:
        raise ConfigError(f"{key}: not of the form host:port: {value!r}")
    return host, int(port)


def _pairs(value: object, path: str = "") -> Iterator[str]:
    """Nested settings as the adapter's path=value texts."""
    if isinstance(value, dict):
        for name, one in value.items():
            yield from _pairs(one, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and value and all(isinstance(one, dict) for one in value):
        yield f"{path}.count={len(value)}"
        for index, one in enumerate(value):
            yield from _pairs(one, f"{path}.{index}")
    elif isinstance(value, list):
        yield f"{path}={','.join(_plain(one) for one in value)}"
    else:
        yield f"{path}={_plain(value)}"


def _plain(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _read_json(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
    except OSError as fault:
        raise ConfigError(f"LB_CONFIG: {path}: {fault.strerror}") from None
    except (ValueError, RecursionError) as fault:
        raise ConfigError(f"LB_CONFIG: {path}: no JSON: {fault}") from None
    if not isinstance(value, dict):
        raise ConfigError(f"LB_CONFIG: {path}: no JSON object")
    return value


def read_config(environment: Mapping[str, str], operator_file: str | None = None) -> Config:
    """The platform's variables and file, and the operator's file where one is named."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: not set: it names the configuration file")
    value = _read_json(path)
    if not isinstance(value.get("settings"), dict):
        raise ConfigError("settings: missing or no object")
    try:
        settings = decode_settings(_pairs(value["settings"])).settings
    except SettingsError as fault:
        raise ConfigError(f"settings: {fault}") from None
    try:
        seed = int(str(value.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: not made of hex digits: {value.get('seed')!r}") from None
    limits = value.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: no object")
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 32:
        raise ConfigError(f"limits.sockets: not a whole number of at least 32: {sockets!r}")
    known = value.get("known", {"seq": 0, "results": []})
    if not isinstance(known, dict):
        raise ConfigError("known: no object")
    changelog = value.get("changelog")
    config = Config(
        name=str(environment.get("LB_NAME") or value.get("name") or "thornshelf"),
        listen=read_address(environment.get("LB_LISTEN") or value.get("listen"), "listen"),
        seed=seed,
        max_descriptors=sockets,
        endpoint_source=None if changelog is None else read_address(changelog, "changelog"),
        initial_endpoints=known,
        settings=settings,
    )
    return read_operator_file(operator_file, config) if operator_file else config


def read_collector(value: object) -> tuple[str, tuple[str, int]]:
    """udp:host:port or tcp:host:port."""
    transport, _, address = value.partition(":") if isinstance(value, str) else ("", "", "")
    if transport not in ("udp", "tcp"):
        raise ConfigError(f"syslog.collector: not of the form udp:host:port or tcp:host:port: {value!r}")
    return transport, read_address(address, "syslog.collector")


def read_operator_file(path: str, config: Config) -> Config:
    """The configuration with what an operator's TOML file adds, checked by the schema."""
    try:
        with open(path, "rb") as file:
            value = tomllib.load(file)
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror}") from None
    except tomllib.TOMLDecodeError as fault:
        raise ConfigError(f"{path}: no TOML: {fault}") from None
    from thornshelf import schema  # a dispatcher without such a file loads no schema library

    try:
        tables = schema.convert(value)
    except SchemaError as fault:
        raise ConfigError(f"{fault} (in {path})") from None
    nodes, listen, collector = tables.grpc.nodes, tables.grpc.listen, tables.syslog.collector
    grpc = GrpcConfig(
        listen=None if listen is None else read_address(listen, "grpc.listen"),
        nodes=frozenset() if nodes == "all" else frozenset(nodes),
        all_nodes=nodes == "all",
    )
    config = replace(
        config, grpc=grpc, syslog_collector=None if collector is None else read_collector(collector)
    )
    if tables.translate is not None:
        classes = [one.name for one in config.settings.classes]
        config = replace(config, translation=read_translation(tables.translate, grpc, classes))
    if (control := tables.control) is not None:
        place = Path(path).parent / control.socket  # named from the operator's file's folder
        config = replace(config, control=ControlConfig(place, control.readers, control.history))
    if tables.fleet is not None:
        config = replace(config, fleet=read_fleet(tables.fleet, config, Path(path).parent))
    if tables.subset is not None:
        config = replace(config, subset=read_subset(tables.subset, config))
    return config if tables.admission is None else read_admission(tables.admission, config)


def read_subset(table: schema.SubsetTable, config: Config) -> ZoneSubsetConfig:
    """The table ``subset``; the zone is the settings' own where the table names none."""
    from thornshelf.subsetting import SubsetConfig

    if config.fleet is not None and "allowances" in config.fleet.policies:
        text = "must be false beside a table subset, which divides allowances by the dispatchers of a zone"
        raise ConfigError(f"fleet.uses.allowances: {text}")
    if table.dispatchers > config.settings.placers:
        text = f"more than the {config.settings.placers} dispatchers of the settings"
        raise ConfigError(f"subset.dispatchers: {text}: {table.dispatchers}")
    try:
        terms = SubsetConfig(
            zone=table.zone or config.settings.zone,
            member=config.name,
            spare_step=table.spare_step,
            max_spares=table.most_spare,
            short_fraction=table.short_share,
            rejected_fraction=table.refused_share,
            cooldown_us=table.quiet_s * 1_000_000,
        )
    except InvalidParameterError as fault:
        raise ConfigError(f"subset.{fault}") from None
    return ZoneSubsetConfig(terms, table.dispatchers)


def read_key(path: Path, key: str) -> bytes:
    """A secret that all members share; one that others may read is none."""
    try:
        value, mode = path.read_bytes().strip(), path.stat().st_mode
    except OSError as fault:
        raise KeyFileError(f"{key}: {path}: {fault.strerror}") from None
    if mode & 0o077:
        raise KeyFileError(f"{key}: {path}: may be read by others: mode {mode & 0o777:o}")
    if not LEAST_KEY <= len(value) <= MOST_KEY:
        raise KeyFileError(f"{key}: {path}: {len(value)} bytes, where {LEAST_KEY} to {MOST_KEY} are asked")
    return value


def read_fleet(table: schema.Fleet, config: Config, folder: Path) -> FleetConfig:
    """The table ``fleet`` in the units of the program; files are named from the operator's file's folder."""
    from thornshelf.membership.config import FleetConfig, MembershipConfig

    listen = read_address(table.listen, "fleet.listen")
    if table.advertise is not None:
        read_address(table.advertise, "fleet.advertise")
    for index, seed in enumerate(table.seeds):
        read_address(seed, f"fleet.seeds.{index}")
    try:
        terms = MembershipConfig(
            fleet=table.name,
            name=config.name,
            address=table.advertise or "",
            seeds=tuple(table.seeds),
            key=read_key(folder / table.key_file, "fleet.key_file"),
            probe_interval_us=table.probe_ms * 1000,
            probe_timeout_us=table.answer_ms * 1000,
            min_suspicion_us=table.suspicion_ms * 1000,
            refutation_grace_us=table.grace_ms * 1000,
            reconnect_interval_us=table.recall_ms * 1000,
            push_pull_interval_us=table.sync_ms * 1000,
            dead_retention_us=table.remember_s * 1_000_000,
            max_members=table.most_members,
            entry_bytes_per_s=table.bytes_per_s,
        )
    except InvalidParameterError as fault:
        raise ConfigError(f"fleet.{fault}") from None
    uses = frozenset(name for name in table.uses.__struct_fields__ if getattr(table.uses, name))
    return FleetConfig(terms, listen, uses, table.hold_s * 1_000_000)


def read_admission(table: schema.Admission, config: Config) -> Config:
    """The table ``admission`` in the units of the program; shares are those of the settings' tenants."""
    from thornshelf.admission.controller import AdmissionConfig, Limits, PrefixRule
    from thornshelf.admission.fair_queue import FairQueueConfig
    from thornshelf.admission.gcra import Rate
    from thornshelf.admission.overload import OverloadConfig
    from thornshelf.admission.prefixes import parse_prefix
    from thornshelf.admission.reputation import ReputationConfig
    from thornshelf.admission.reserved_connections import ReservedConnectionsConfig
    from thornshelf.frontends.admission_filter import AdmissionFilterConfig
    from thornshelf.retries.jitter import JitterConfig

    def rate(per_s: int | None) -> Rate | None:
        return None if per_s is None else Rate(per_s, 1_000_000, per_s)

    def limits(connections: int | None, connections_per_s: int | None, set_ups_per_s: int | None) -> Limits:
        return Limits(connections, rate(connections_per_s), rate(set_ups_per_s))

    rules: list[PrefixRule] = []
    names: set[str] = set()
    for index, one in enumerate(table.rule):
        key = f"admission.rule.{index}"
        try:
            prefix = parse_prefix(one.prefix)
        except ValueError as fault:
            raise ConfigError(f"{key}.prefix: {fault}") from None
        if one.name in names or prefix in (rule.prefix for rule in rules):
            raise ConfigError(f"{key}.name: another rule has this name or prefix: {one.name!r}")
        names.add(one.name)
        each = (one.each_connections, one.each_connections_per_s, one.each_set_ups_per_s)
        rules.append(
            PrefixRule(
                name=one.name,
                prefix=prefix,
                known=one.known,
                prefix_limits=limits(one.connections, one.connections_per_s, one.set_ups_per_s),
                source_limits=limits(*each) if any(each) else None,
            )
        )
    floors = {name: getattr(table.descriptors, name) for name in table.descriptors.__struct_fields__}
    capacity = config.max_descriptors - min(RESERVED, config.max_descriptors // RESERVED_SHARE)
    if sum(floors.values()) > config.max_descriptors:
        raise ConfigError("admission.descriptors: the floors are more than limits.sockets")
    try:
        reserve = ReservedConnectionsConfig(capacity, table.reserve, table.reserve_floor)
    except ValueError:
        text = f"not between reserve_floor and the {capacity} connections that there are"
        raise ConfigError(f"admission.reserve: {text}: {table.reserve}") from None
    door = AdmissionConfig(
        reserved_connections=reserve,
        rules=tuple(rules),
        source_limits=limits(table.connections, table.connections_per_s, table.set_ups_per_s),
        unknown_request_rate=rate(table.unknown_set_ups_per_s),
        reputation=ReputationConfig(table.known_after, table.known_half_life_s * 1_000_000),
        max_sources=table.most_sources,
    )
    config = replace(config, admission=AdmissionFilterConfig(door, floors))
    if (shares := table.shares) is None:
        return config
    tenants = config.settings.tenants
    quotas = {
        one.name: Rate(
            max(1, round(one.quota_per_s * 1000)), 1_000_000_000, max(1, round(2 * one.quota_per_s))
        )
        for one in tenants
        if one.quota_per_s > 0.0
    }
    terms = FairQueueConfig(
        weights={one.name: one.fraction for one in tenants if one.fraction > 0.0},
        quotas=quotas,
        batch_size=shares.asks_a_turn,
        max_waiting=shares.most_waiting,
        overload=OverloadConfig(shares.target_ms * 1000, shares.interval_ms * 1000),
    )
    longest = int(config.settings.limits.max_retry_after_s * 1e6)
    return replace(config, fair_queue=terms, retry_after_jitter=JitterConfig(shares.returns_per_s, longest))


def read_translation(table: schema.Translate, grpc: GrpcConfig, classes: list[str]) -> TranslationConfig:
    """The table ``translate`` in the units of the program; ``grpc.nodes`` holds for nodes it does not name."""
    from thornshelf.retries.budget import MILLI_PER_TOKEN, RetryBudgetConfig
    from thornshelf.retries.deadline_queue import DeadlineQueueConfig
    from thornshelf.retries.jitter import JitterConfig
    from thornshelf.translation.failures import WireFormat
    from thornshelf.translation.missing_fields import MissingFieldAction, MissingFieldPolicy
    from thornshelf.translation.translator import TranslationConfig

    names = {"binary": WireFormat.BINARY, "v1": WireFormat.GRPC_V1, "v2": WireFormat.GRPC_V2}

    def forms(given: list[Any]) -> tuple[WireFormat, ...]:
        return tuple(names[one] for one in given)

    gaps, at_least = {}, {}
    for name, one in table.classes.items():
        if name not in classes:
            raise ConfigError(f"translate.class.{name}: the settings know no such class")
        try:
            us = None if one.assumed_hint_ms is None else one.assumed_hint_ms * 1000
            gaps[name] = MissingFieldPolicy(MissingFieldAction(one.missing_hint), us)
        except ValueError as fault:
            raise ConfigError(f"translate.class.{name}.assumed_hint_ms: {fault}") from None
        if one.generation:
            at_least[name] = one.generation
    nodes = {name: (WireFormat.GRPC_V1,) for name in grpc.nodes} | {
        name: forms(one) for name, one in table.nodes.items()
    }
    terms = TranslationConfig(
        missing_field_policies=gaps,
        node_formats=nodes,
        default_formats=(WireFormat.GRPC_V1,) if grpc.all_nodes else forms(table.otherwise),
        minimum_generations=at_least,
        hello_timeout_us=table.hello_ms * 1000,
        query_timeout_us=table.settle_ms * 1000,
        uncertain_retention_us=table.remember_s * 1_000_000,
        max_uncertain=table.most_doubts,
    )
    if (retries := table.retries) is None:
        return terms

    def budget(share: float, floor: float, most: int) -> RetryBudgetConfig:
        return RetryBudgetConfig(
            round(share * MILLI_PER_TOKEN), round(floor * MILLI_PER_TOKEN), most * MILLI_PER_TOKEN
        )

    return replace(
        terms,
        limits_retries=True,
        service_budget=budget(retries.service_share, retries.service_floor_per_s, retries.service_most),
        fleet_budget=budget(retries.fleet_share, retries.fleet_floor_per_s, retries.fleet_most),
        jitter=JitterConfig(returns_per_s=retries.returns_per_s),
        queue=DeadlineQueueConfig(batch_size=retries.asks_a_turn, max_waiting=retries.most_waiting),
    )
