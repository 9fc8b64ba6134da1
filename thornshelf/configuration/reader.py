"""Reads the platform's environment variables and JSON file, and the operator's file if one is given."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any

from thornshelf import placement as api
from thornshelf.configuration.addresses import Address, parse_address
from thornshelf.configuration.file_shape import FileShape, json_keys
from thornshelf.configuration.model import Config
from thornshelf.errors import ConfigError, WireError
from thornshelf.placement.simulator.settings import decode_settings
from thornshelf.placement.simulator.values import ABSENT

# Environment variables: the path of the JSON file, and values that override its keys ``name`` and ``listen``.
FILE_VARIABLE = "LB_CONFIG"
NAME_VARIABLE = "LB_NAME"
LISTEN_VARIABLE = "LB_LISTEN"

_DEFAULT_NAME = "thornshelf"
_DEFAULT_SEED = "0"
_DEFAULT_MAX_DESCRIPTORS = 1024
_MIN_DESCRIPTORS = 32


def read_config(environment: Mapping[str, str], operator_file: str | None = None) -> Config:
    """Returns the configuration from the environment variables, the JSON file and the operator's file, if given.

    Raises ``ConfigError``, which names the key that is missing or invalid.
    """
    path = environment.get(FILE_VARIABLE)
    if not path:
        raise ConfigError(f"{FILE_VARIABLE}: not set; it must name the configuration file")
    config = _decode_config(_read_json(path), environment)
    if not operator_file:
        return config
    # Imported only here, since it loads msgspec, which a dispatcher without such a file does not need.
    from thornshelf.configuration.operator_file import read_operator_file

    return read_operator_file(operator_file, config)


def _decode_config(document: dict[str, Any], environment: Mapping[str, str]) -> Config:
    settings = _decode_settings(document)
    seed = _decode_seed(document)
    max_descriptors = _decode_max_descriptors(document)
    initial_endpoints = document.get("known", {"seq": 0, "results": []})
    if not isinstance(initial_endpoints, dict):
        raise ConfigError("known: not an object")
    return Config(
        name=str(environment.get(NAME_VARIABLE) or document.get("name") or _DEFAULT_NAME),
        listen=parse_address(environment.get(LISTEN_VARIABLE) or document.get("listen"), "listen"),
        seed=seed,
        max_descriptors=max_descriptors,
        endpoint_source=_decode_endpoint_source(document),
        initial_endpoints=initial_endpoints,
        settings=settings,
        file_shape=FileShape(json_keys(document)),
    )


def _read_json(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise ConfigError(f"{FILE_VARIABLE}: {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{FILE_VARIABLE}: {path}: not JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{FILE_VARIABLE}: {path}: not a JSON object")
    return document


def _decode_settings(document: dict[str, Any]) -> api.Settings:
    if not isinstance(document.get("settings"), dict):
        raise ConfigError("settings: missing or not an object")
    try:
        return decode_settings(_flatten(document["settings"])).settings
    except WireError as error:
        raise ConfigError(f"settings: {error}") from None


def _decode_seed(document: dict[str, Any]) -> int:
    try:
        return int(str(document.get("seed", _DEFAULT_SEED)), 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {document.get('seed')!r}") from None


def _decode_max_descriptors(document: dict[str, Any]) -> int:
    limits = document.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    sockets = limits.get("sockets", _DEFAULT_MAX_DESCRIPTORS)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < _MIN_DESCRIPTORS:
        raise ConfigError(f"limits.sockets: not an integer of at least {_MIN_DESCRIPTORS}: {sockets!r}")
    return sockets


def _decode_endpoint_source(document: dict[str, Any]) -> Address | None:
    address = document.get("changelog")
    return None if address is None else parse_address(address, "changelog")


def _flatten(value: object, path: str = "") -> Iterator[str]:
    """Yields nested settings as ``path=value`` strings, the form in which the simulator sends them.

    ``path`` is the path of ``value`` itself.
    """
    if isinstance(value, dict):
        for name, child in value.items():
            yield from _flatten(child, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and value and all(isinstance(child, dict) for child in value):
        yield f"{path}.count={len(value)}"
        for index, child in enumerate(value):
            yield from _flatten(child, f"{path}.{index}")
    elif isinstance(value, list):
        yield f"{path}={','.join(_format_scalar(child) for child in value)}"
    else:
        yield f"{path}={_format_scalar(value)}"


def _format_scalar(value: object) -> str:
    if value is None:
        return ABSENT
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)
