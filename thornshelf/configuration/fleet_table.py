"""Decodes the table ``fleet`` of the operator's file, and reads the key file that it names."""

from __future__ import annotations

from pathlib import Path

from thornshelf.configuration import schema
from thornshelf.configuration.addresses import parse_address
from thornshelf.configuration.model import Config
from thornshelf.errors import ConfigError, InvalidParameterError, KeyFileError
from thornshelf.membership.config import FleetConfig, MembershipConfig

_MIN_KEY_BYTES = 16
_MAX_KEY_BYTES = 4096
_OTHERS_MODE = 0o077  # the permissions of all but the owner
_PERMISSIONS = 0o777
_MICROSECONDS = 1_000_000  # in a second


def decode_fleet(table: schema.Fleet, config: Config, folder: Path) -> FleetConfig:
    """The table in the units of the program; the key file is relative to the folder.

    Raises ``ConfigError`` with the key where a value is malformed or contradicts another, and ``KeyFileError``
    where the key file can't be used.
    """
    listen = parse_address(table.listen, "fleet.listen")
    if table.advertise is not None:
        parse_address(table.advertise, "fleet.advertise")
    for index, seed in enumerate(table.seeds):
        parse_address(seed, f"fleet.seeds.{index}")
    try:
        membership = _decode_membership(table, config, folder)
    except InvalidParameterError as fault:
        raise ConfigError(f"fleet.{fault}") from None
    policies = frozenset(name for name in table.uses.__struct_fields__ if getattr(table.uses, name))
    return FleetConfig(membership, listen, policies, table.hold_s * _MICROSECONDS)


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
        dead_retention_us=table.remember_s * _MICROSECONDS,
        max_members=table.most_members,
        entry_bytes_per_s=table.bytes_per_s,
    )


def _read_key(path: Path, key: str) -> bytes:
    """The secret in a file; ``KeyFileError`` where others may read the file, or it has an odd size."""
    try:
        value = path.read_bytes().strip()
        mode = path.stat().st_mode
    except OSError as fault:
        raise KeyFileError(f"{key}: {path}: {fault.strerror}") from None
    if mode & _OTHERS_MODE:
        raise KeyFileError(f"{key}: {path}: may be read by others: mode {mode & _PERMISSIONS:o}")
    if not _MIN_KEY_BYTES <= len(value) <= _MAX_KEY_BYTES:
        size = f"{len(value)} bytes, where {_MIN_KEY_BYTES} to {_MAX_KEY_BYTES} are required"
        raise KeyFileError(f"{key}: {path}: {size}")
    return value
