"""Decodes the ``subset`` table of the operator's file."""

from __future__ import annotations

from thornshelf.configuration import schema
from thornshelf.configuration.model import Config, ZoneSubsetConfig
from thornshelf.errors import ConfigError, InvalidParameterError
from thornshelf.subsetting import SubsetConfig

_US_PER_S = 1_000_000


def decode_subset(table: schema.SubsetTable, config: Config) -> ZoneSubsetConfig:
    """Convert the table to the program's types and units. The zone defaults to that of the settings.

    Raises ``ConfigError``, which names the key, if the table contradicts the rest of the configuration.
    """
    if config.fleet is not None and "allowances" in config.fleet.policies:
        problem = "must be false if there is a subset table, which divides quotas by the zone's dispatchers"
        raise ConfigError(f"fleet.uses.allowances: {problem}")
    if table.dispatchers > config.settings.placers:
        problem = f"more than the {config.settings.placers} dispatchers in the settings"
        raise ConfigError(f"subset.dispatchers: {problem}: {table.dispatchers}")
    try:
        selection = SubsetConfig(
            zone=table.zone or config.settings.zone,
            member=config.name,
            spare_step=table.spare_step,
            max_spares=table.most_spare,
            short_fraction=table.short_share,
            rejected_fraction=table.refused_share,
            cooldown_us=table.quiet_s * _US_PER_S,
        )
    except InvalidParameterError as error:
        raise ConfigError(f"subset.{error}") from None
    return ZoneSubsetConfig(selection, table.dispatchers)
