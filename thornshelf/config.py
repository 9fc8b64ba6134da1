"""The one place where configuration is read, checked and given defaults; errors name the faulty key."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from glenshift import interface as api
from glenshift.drill import WireError as SettingsError
from glenshift.drill import read_settings

DEFAULT_SOCKETS = 1024


class ConfigError(Exception):
    """A configuration that can't be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class GrpcConfig:
    """The operator's file: the second front and the nodes that speak gRPC."""

    listen: tuple[str, int] | None = None
    nodes: frozenset[str] = frozenset()
    all_nodes: bool = False

    def speaks(self, name: str) -> bool:
        """Whether a node is to be called by gRPC."""
        return self.all_nodes or name in self.nodes


@dataclass(frozen=True, slots=True)
class Config:
    """All that a dispatcher is told at its start."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    changelog: tuple[str, int] | None
    known: Mapping[str, Any]
    settings: api.Settings
    grpc: GrpcConfig = field(default_factory=GrpcConfig)
    collector: tuple[str, tuple[str, int]] | None = None  # "udp" or "tcp", and where

    def reloaded(self, new: Config) -> tuple[Config, list[str]]:
        """This with what may change in a running process; and the changed keys that wait for a restart."""
        kept = replace(self, changelog=new.changelog, sockets=new.sockets)
        # 'known' is only a start's word: the change log itself goes on from the last number.
        keys = {"collector": "syslog.collector", **{name: name for name in ("name", "listen", "seed")}}
        keys |= {"settings": "settings", "grpc": "grpc"}
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
        settings, _ = read_settings(_pairs(value["settings"]))
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
    grpc, collector = read_operator_file(operator_file) if operator_file else (GrpcConfig(), None)
    return Config(
        name=str(environment.get("LB_NAME") or value.get("name") or "thornshelf"),
        listen=read_address(environment.get("LB_LISTEN") or value.get("listen"), "listen"),
        seed=seed,
        sockets=sockets,
        changelog=None if changelog is None else read_address(changelog, "changelog"),
        known=known,
        settings=settings,
        grpc=grpc,
        collector=collector,
    )


def read_collector(value: object) -> tuple[str, tuple[str, int]]:
    """udp:host:port or tcp:host:port."""
    transport, _, address = value.partition(":") if isinstance(value, str) else ("", "", "")
    if transport not in ("udp", "tcp"):
        raise ConfigError(f"syslog.collector: not of the form udp:host:port or tcp:host:port: {value!r}")
    return transport, read_address(address, "syslog.collector")


def read_operator_file(path: str) -> tuple[GrpcConfig, tuple[str, tuple[str, int]] | None]:
    """The tables ``grpc`` and ``syslog`` of an operator's TOML file."""
    try:
        with open(path, "rb") as file:
            value = tomllib.load(file)
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror}") from None
    except tomllib.TOMLDecodeError as fault:
        raise ConfigError(f"{path}: no TOML: {fault}") from None
    tables = {"grpc": {"listen", "nodes"}, "syslog": {"collector"}}
    for table, one in value.items():
        if table not in tables:
            raise ConfigError(f"{table}: not known in {path}")
        if not isinstance(one, dict):
            raise ConfigError(f"{table}: no table in {path}")
        for key in one:
            if key not in tables[table]:
                raise ConfigError(f"{table}.{key}: not known in {path}")
    grpc, syslog = value.get("grpc", {}), value.get("syslog", {})
    nodes = grpc.get("nodes", [])
    if nodes != "all" and not (isinstance(nodes, list) and all(isinstance(one, str) for one in nodes)):
        raise ConfigError('grpc.nodes: neither "all" nor a list of node names')
    listen, collector = grpc.get("listen"), syslog.get("collector")
    return (
        GrpcConfig(
            listen=None if listen is None else read_address(listen, "grpc.listen"),
            nodes=frozenset() if nodes == "all" else frozenset(nodes),
            all_nodes=nodes == "all",
        ),
        None if collector is None else read_collector(collector),
    )
