"""Decodes the ``admission`` table of the operator's file."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from thornshelf import placement as api
from thornshelf.admission.controller import AdmissionConfig, Limits, PrefixRule
from thornshelf.admission.fair_queue import FairQueueConfig
from thornshelf.admission.gcra import Rate
from thornshelf.admission.overload import OverloadConfig
from thornshelf.admission.prefixes import parse_prefix
from thornshelf.admission.reputation import ReputationConfig
from thornshelf.admission.reserved_connections import ReservedConnectionsConfig
from thornshelf.configuration import schema
from thornshelf.configuration.descriptors import RESERVED_DESCRIPTORS, cap_reserved
from thornshelf.configuration.model import Config
from thornshelf.errors import ConfigError
from thornshelf.frontends.admission_filter import AdmissionFilterConfig
from thornshelf.retries.jitter import JitterConfig

_US_PER_S = 1_000_000
_QUOTA_SCALE = 1000  # quotas are converted to whole thousandths of a request per second
_QUOTA_BURST_S = 2  # a tenant may use the quota of this many seconds in one burst


def apply_admission(table: schema.Admission, config: Config) -> Config:
    """Returns the configuration with admission control, and with the fair queue if ``admission.shares`` is set.

    The fair queue's weights and quotas are those of the tenants in the settings. Raises ``ConfigError``, which names
    the key, if the table contradicts itself or the rest of the configuration.
    """
    rules = _decode_rules(table.rule)
    floors = {name: getattr(table.descriptors, name) for name in table.descriptors.__struct_fields__}
    if sum(floors.values()) > config.max_descriptors:
        raise ConfigError("admission.descriptors: the sum of the floors exceeds limits.sockets")
    controller = AdmissionConfig(
        reserved_connections=_decode_reserved_connections(table, config.max_descriptors),
        rules=tuple(rules),
        source_limits=_decode_limits(table.connections, table.connections_per_s, table.set_ups_per_s),
        unknown_request_rate=_decode_rate(table.unknown_set_ups_per_s),
        reputation=ReputationConfig(table.known_after, table.known_half_life_s * _US_PER_S),
        max_sources=table.most_sources,
    )
    config = replace(config, admission=AdmissionFilterConfig(controller, floors))
    if table.shares is None:
        return config
    max_wait_us = int(config.settings.limits.max_retry_after_s * 1e6)
    return replace(
        config,
        fair_queue=_decode_fair_queue(table.shares, config.settings.tenants),
        retry_after_jitter=JitterConfig(table.shares.returns_per_s, max_wait_us),
    )


def _decode_rules(tables: Sequence[schema.RuleTable]) -> list[PrefixRule]:
    rules: list[PrefixRule] = []
    for index, table in enumerate(tables):
        key = f"admission.rule.{index}"
        try:
            prefix = parse_prefix(table.prefix)
        except ValueError as error:
            raise ConfigError(f"{key}.prefix: {error}") from None
        if any(table.name == rule.name or prefix == rule.prefix for rule in rules):
            raise ConfigError(f"{key}.name: another rule has the same name or prefix: {table.name!r}")
        source_limits = (table.each_connections, table.each_connections_per_s, table.each_set_ups_per_s)
        rule = PrefixRule(
            name=table.name,
            prefix=prefix,
            known=table.known,
            prefix_limits=_decode_limits(table.connections, table.connections_per_s, table.set_ups_per_s),
            source_limits=_decode_limits(*source_limits) if any(source_limits) else None,
        )
        rules.append(rule)
    return rules


def _decode_reserved_connections(table: schema.Admission, max_descriptors: int) -> ReservedConnectionsConfig:
    capacity = max_descriptors - cap_reserved(RESERVED_DESCRIPTORS, max_descriptors)
    try:
        return ReservedConnectionsConfig(capacity, table.reserve, table.reserve_floor)
    except ValueError:
        problem = f"not between reserve_floor and the {capacity} available connections"
        raise ConfigError(f"admission.reserve: {problem}: {table.reserve}") from None


def _decode_fair_queue(table: schema.SharesTable, tenants: Sequence[api.Tenant]) -> FairQueueConfig:
    return FairQueueConfig(
        weights={tenant.name: tenant.fraction for tenant in tenants if tenant.fraction > 0.0},
        quotas={tenant.name: _decode_quota(tenant) for tenant in tenants if tenant.quota_per_s > 0.0},
        batch_size=table.asks_a_turn,
        max_waiting=table.most_waiting,
        overload=OverloadConfig(table.target_ms * 1000, table.interval_ms * 1000),
    )


def _decode_quota(tenant: api.Tenant) -> Rate:
    return Rate(
        count=max(1, round(tenant.quota_per_s * _QUOTA_SCALE)),
        period_us=_QUOTA_SCALE * _US_PER_S,
        burst=max(1, round(_QUOTA_BURST_S * tenant.quota_per_s)),
    )


def _decode_rate(per_s: int | None) -> Rate | None:
    """Returns a rate limit that allows a burst of one second's events; None is no limit."""
    return None if per_s is None else Rate(count=per_s, period_us=_US_PER_S, burst=per_s)


def _decode_limits(
    connections: int | None, connections_per_s: int | None, requests_per_s: int | None
) -> Limits:
    return Limits(connections, _decode_rate(connections_per_s), _decode_rate(requests_per_s))
