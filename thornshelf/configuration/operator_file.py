"""Reads the operator's TOML file, checks it by the schema, and adds its tables to the configuration."""

from __future__ import annotations

import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

from thornshelf.configuration import schema
from thornshelf.configuration.addresses import parse_address, parse_collector
from thornshelf.configuration.model import Config, ControlConfig, GrpcConfig
from thornshelf.errors import ConfigError, SchemaError

_ALL_NODES = "all"


def read_operator_file(path: str, config: Config) -> Config:
    """The configuration with what an operator's file adds.

    Raises ``ConfigError`` with the key that is missing or malformed. Paths in the file are relative to its folder.
    """
    value = _read_toml(path)
    try:
        tables = schema.convert(value)
    except SchemaError as fault:
        raise ConfigError(f"{fault} (in {path})") from None
    return _apply_tables(tables, config, Path(path).parent)


def _read_toml(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror}") from None
    except tomllib.TOMLDecodeError as fault:
        raise ConfigError(f"{path}: not TOML: {fault}") from None


def _apply_tables(tables: schema.OperatorFile, config: Config, folder: Path) -> Config:
    """Each table's module is loaded only where the file has that table."""
    config = _apply_grpc(tables, config)
    if tables.translate is not None:
        from thornshelf.configuration.translation_table import decode_translation

        class_names = [task_class.name for task_class in config.settings.classes]
        config = replace(config, translation=decode_translation(tables.translate, config.grpc, class_names))
    if tables.control is not None:
        config = replace(config, control=_decode_control(tables.control, folder))
    if tables.fleet is not None:
        from thornshelf.configuration.fleet_table import decode_fleet

        config = replace(config, fleet=decode_fleet(tables.fleet, config, folder))
    if tables.subset is not None:
        from thornshelf.configuration.subset_table import decode_subset

        config = replace(config, subset=decode_subset(tables.subset, config))
    if tables.admission is not None:
        from thornshelf.configuration.admission_table import apply_admission

        config = apply_admission(tables.admission, config)
    return config


def _apply_grpc(tables: schema.OperatorFile, config: Config) -> Config:
    listen = tables.grpc.listen
    nodes = tables.grpc.nodes
    collector = tables.syslog.collector
    grpc = GrpcConfig(
        listen=None if listen is None else parse_address(listen, "grpc.listen"),
        nodes=frozenset() if nodes == _ALL_NODES else frozenset(nodes),
        all_nodes=nodes == _ALL_NODES,
    )
    return replace(
        config, grpc=grpc, syslog_collector=None if collector is None else parse_collector(collector)
    )


def _decode_control(table: schema.Control, folder: Path) -> ControlConfig:
    return ControlConfig(folder / table.socket, table.readers, table.history)
