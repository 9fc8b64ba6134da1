"""Decodes the ``fleet`` table of the operator's file, and reads the key file that it names."""

from __future__ import annotations

from pathlib import Path

from thornshelf.configuration import schema
from thornshelf.configuration.addresses import parse_address
from thornshelf.configuration.model import Config
from thornshelf.errors import ConfigError, InvalidParameterError, KeyFileError
from thornshelf.membership.config import FleetConfig, MembershipConfig

_MIN_KEY_BYTES = 16
_MAX_KEY_BYTES = 4096
_NON_OWNER_PERMISSIONS = 0o077
_ALL_PERMISSIONS = 0o777
_US_PER_S = 1_000_000


def decode_fleet(table: schema.Fleet, config: Config, folder: Path) -> FleetConfig:
    """Convert the table to the program's types and units. The path of the key file is relative to ``folder``.

    Raises ``ConfigError``, which names the key, if a value is malformed or contradicts another, and
    ``KeyFileError`` if the key file can't be used.
    """
    listen = parse_address(table.listen, "fleet.listen")
    if table.advertise is not None:
        parse_address(table.advertise, "fleet.advertise")
    for index, seed in enumerate(table.seeds):
        parse_address(seed, f"fleet.seeds.{index}")
    try:
        membership = _decode_membership(table, config, folder)
    except InvalidParameterError as error:
        raise ConfigError(f"fleet.{error}") from None
    policies = frozenset(name for name in table.uses.__struct_fields__ if getattr(table.uses, name))
    return FleetConfig(membership, listen, policies, table.hold_s * _US_PER_S)


def _decode_membership(table: schema.Fleet, config: Config, folder: Path) -> MembershipConfig:
    return MembershipConfig(
        fleet=table.name,
        name=config.name,
        address=table.advertise or "",
        seeds=tuple(table.seeds),
        key=_read_key(folder / table.key_file, "fleet.key_file"),
        probe_interval_us=table.probe_ms * 1000,
        probe_timeout_us=table.answer_ms * 1000,
        min_suspicion_us=table.suspicion_ms * 1000,
        refutation_grace_us=table.grace_ms * 1000,
        reconnect_interval_us=table.recall_ms * 1000,
        push_pull_interval_us=table.sync_ms * 1000,
        dead_retention_us=table.remember_s * _US_PER_S,
        max_members=table.most_members,
        entry_bytes_per_s=table.bytes_per_s,
    )


def _read_key(path: Path, key: str) -> bytes:
    """Read the fleet's secret key. ``key`` is the configuration key that errors name.

    Raises ``KeyFileError`` if the file can't be read, other users have access to it, or its size is out of range.
    """
    try:
        secret = path.read_bytes().strip()
        mode = path.stat().st_mode
    except OSError as error:
        raise KeyFileError(f"{key}: {path}: {error.strerror}") from None
    if mode & _NON_OWNER_PERMISSIONS:
        raise KeyFileError(f"{key}: {path}: other users have access: mode {mode & _ALL_PERMISSIONS:o}")
    if not _MIN_KEY_BYTES <= len(secret) <= _MAX_KEY_BYTES:
        problem = f"{len(secret)} bytes, but {_MIN_KEY_BYTES} to {_MAX_KEY_BYTES} are required"
        raise KeyFileError(f"{key}: {path}: {problem}")
    return secret
