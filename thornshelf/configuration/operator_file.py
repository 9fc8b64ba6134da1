"""Reads the operator's TOML file, validates it with the schema, and adds its tables to the configuration."""

from __future__ import annotations

import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

from thornshelf.configuration import schema
from thornshelf.configuration.addresses import parse_address, parse_collector
from thornshelf.configuration.file_shape import FileShape, table_paths
from thornshelf.configuration.model import Config, ControlConfig, GrpcConfig
from thornshelf.errors import ConfigError, SchemaError

_ALL_NODES = "all"


def read_operator_file(path: str, config: Config) -> Config:
    """Returns the configuration with the settings of an operator's file added.

    Paths in the file are relative to its folder. Raises ``ConfigError``, which names the key that is missing or
    invalid.
    """
    text = _read_text(path)
    document = _parse_toml(text, path)
    try:
        tables = schema.convert(document)
    except SchemaError as error:
        raise ConfigError(f"{error} (in {path})") from None
    config = _apply_tables(tables, config, Path(path).parent)
    return replace(config, file_shape=_add_shape(config.file_shape, document, text))


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None


def _parse_toml(text: str, path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None


def _add_shape(shape: FileShape | None, document: dict[str, Any], text: str) -> FileShape | None:
    """Add the operator's file to the shape of the configuration files."""
    if shape is None:
        return None
    return replace(shape, operator_tables=table_paths(document), last_line_complete=text.endswith("\n"))


def _apply_tables(tables: schema.OperatorFile, config: Config, folder: Path) -> Config:
    """Add the tables to the configuration; a table's module is imported only if the file has that table."""
    config = _apply_grpc_and_syslog(tables, config)
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


def _apply_grpc_and_syslog(tables: schema.OperatorFile, config: Config) -> Config:
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
