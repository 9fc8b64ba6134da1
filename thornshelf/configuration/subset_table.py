"""Decodes the table ``subset`` of the operator's file."""

from __future__ import annotations

from thornshelf.configuration import schema
from thornshelf.configuration.model import Config, ZoneSubsetConfig
from thornshelf.errors import ConfigError, InvalidParameterError
from thornshelf.subsetting import SubsetConfig

_MICROSECONDS = 1_000_000  # in a second


def decode_subset(table: schema.SubsetTable, config: Config) -> ZoneSubsetConfig:
    """The table in the units of the program; the zone is that of the settings where the table names none.

    Raises ``ConfigError`` with the key where the table contradicts the rest of the configuration.
    """
    if config.fleet is not None and "allowances" in config.fleet.policies:
        text = "must be false beside a table subset, which divides quotas by the dispatchers of a zone"
        raise ConfigError(f"fleet.uses.allowances: {text}")
    if table.dispatchers > config.settings.placers:
        text = f"more than the {config.settings.placers} dispatchers of the settings"
        raise ConfigError(f"subset.dispatchers: {text}: {table.dispatchers}")
    try:
        selection = SubsetConfig(
            zone=table.zone or config.settings.zone,
            member=config.name,
            spare_step=table.spare_step,
            max_spares=table.most_spare,
            short_fraction=table.short_share,
            rejected_fraction=table.refused_share,
            cooldown_us=table.quiet_s * _MICROSECONDS,
        )
    except InvalidParameterError as fault:
        raise ConfigError(f"subset.{fault}") from None
    return ZoneSubsetConfig(selection, table.dispatchers)
