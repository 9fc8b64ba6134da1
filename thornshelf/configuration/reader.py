"""Reads the platform's variables and JSON file, and has the operator's file read where one is named."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any

from thornshelf import placement as api
from thornshelf.configuration.addresses import Address, parse_address
from thornshelf.configuration.model import Config
from thornshelf.errors import ConfigError, WireError
from thornshelf.placement.simulator.settings import decode_settings
from thornshelf.placement.simulator.values import ABSENT

FILE_VARIABLE = "LB_CONFIG"
NAME_VARIABLE = "LB_NAME"
LISTEN_VARIABLE = "LB_LISTEN"

_DEFAULT_NAME = "thornshelf"
_DEFAULT_SEED = "0"
_DEFAULT_MAX_DESCRIPTORS = 1024
_MIN_DESCRIPTORS = 32


def read_config(environment: Mapping[str, str], operator_file: str | None = None) -> Config:
    """The configuration in the platform's variables and file, and in the operator's file where one is named.

    Raises ``ConfigError`` with the key that is missing or malformed.
    """
    path = environment.get(FILE_VARIABLE)
    if not path:
        raise ConfigError(f"{FILE_VARIABLE}: not set: it names the configuration file")
    config = _decode(_read_json(path), environment)
    if not operator_file:
        return config
    # Loaded here, as it needs the schema's library, which a dispatcher without such a file has no use for.
    from thornshelf.configuration.operator_file import read_operator_file

    return read_operator_file(operator_file, config)


def _decode(value: dict[str, Any], environment: Mapping[str, str]) -> Config:
    settings = _decode_settings(value)
    seed = _decode_seed(value)
    max_descriptors = _decode_max_descriptors(value)
    initial_endpoints = value.get("known", {"seq": 0, "results": []})
    if not isinstance(initial_endpoints, dict):
        raise ConfigError("known: not an object")
    return Config(
        name=str(environment.get(NAME_VARIABLE) or value.get("name") or _DEFAULT_NAME),
        listen=parse_address(environment.get(LISTEN_VARIABLE) or value.get("listen"), "listen"),
        seed=seed,
        max_descriptors=max_descriptors,
        endpoint_source=_decode_endpoint_source(value),
        initial_endpoints=initial_endpoints,
        settings=settings,
    )


def _read_json(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
    except OSError as fault:
        raise ConfigError(f"{FILE_VARIABLE}: {path}: {fault.strerror}") from None
    except (ValueError, RecursionError) as fault:
        raise ConfigError(f"{FILE_VARIABLE}: {path}: not JSON: {fault}") from None
    if not isinstance(value, dict):
        raise ConfigError(f"{FILE_VARIABLE}: {path}: not a JSON object")
    return value


def _decode_settings(value: dict[str, Any]) -> api.Settings:
    if not isinstance(value.get("settings"), dict):
        raise ConfigError("settings: missing or not an object")
    try:
        return decode_settings(_flatten(value["settings"])).settings
    except WireError as fault:
        raise ConfigError(f"settings: {fault}") from None


def _decode_seed(value: dict[str, Any]) -> int:
    try:
        return int(str(value.get("seed", _DEFAULT_SEED)), 16)
    except ValueError:
        raise ConfigError(f"seed: not made of hex digits: {value.get('seed')!r}") from None


def _decode_max_descriptors(value: dict[str, Any]) -> int:
    limits = value.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    sockets = limits.get("sockets", _DEFAULT_MAX_DESCRIPTORS)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < _MIN_DESCRIPTORS:
        raise ConfigError(f"limits.sockets: not a whole number of at least {_MIN_DESCRIPTORS}: {sockets!r}")
    return sockets


def _decode_endpoint_source(value: dict[str, Any]) -> Address | None:
    address = value.get("changelog")
    return None if address is None else parse_address(address, "changelog")


def _flatten(value: object, path: str = "") -> Iterator[str]:
    """Nested settings as the ``path=value`` texts that the simulator sends."""
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
