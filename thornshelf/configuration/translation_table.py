"""Decodes the ``translate`` table of the operator's file."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import replace

from thornshelf.configuration import schema
from thornshelf.configuration.model import GrpcConfig
from thornshelf.errors import ConfigError
from thornshelf.retries.budget import MILLI_PER_TOKEN, RetryBudgetConfig
from thornshelf.retries.deadline_queue import DeadlineQueueConfig
from thornshelf.retries.jitter import JitterConfig
from thornshelf.translation.failures import WireFormat
from thornshelf.translation.missing_fields import MissingFieldAction, MissingFieldPolicy
from thornshelf.translation.translator import TranslationConfig

_FORMATS = {"binary": WireFormat.BINARY, "v1": WireFormat.GRPC_V1, "v2": WireFormat.GRPC_V2}
_US_PER_S = 1_000_000


def decode_translation(
    table: schema.Translate, grpc: GrpcConfig, class_names: Collection[str]
) -> TranslationConfig:
    """Convert the table to the program's types and units. ``grpc`` applies to nodes that the table does not name.

    Raises ``ConfigError``, which names the key, if a task class is not in ``class_names`` or its policy for missing
    fields contradicts itself.
    """
    node_formats: dict[str, tuple[WireFormat, ...]] = dict.fromkeys(grpc.nodes, (WireFormat.GRPC_V1,))
    node_formats |= {name: _decode_formats(names) for name, names in table.nodes.items()}
    config = TranslationConfig(
        missing_field_policies=_decode_policies(table, class_names),
        node_formats=node_formats,
        default_formats=(WireFormat.GRPC_V1,) if grpc.all_nodes else _decode_formats(table.otherwise),
        minimum_generations={
            name: task_class.generation for name, task_class in table.classes.items() if task_class.generation
        },
        hello_timeout_us=table.hello_ms * 1000,
        query_timeout_us=table.settle_ms * 1000,
        uncertain_retention_us=table.remember_s * _US_PER_S,
        max_uncertain=table.most_doubts,
    )
    return config if table.retries is None else _add_retries(config, table.retries)


def _decode_policies(table: schema.Translate, class_names: Collection[str]) -> dict[str, MissingFieldPolicy]:
    policies = {}
    for name, task_class in table.classes.items():
        if name not in class_names:
            raise ConfigError(f"translate.class.{name}: the settings define no such class")
        hint_ms = task_class.assumed_hint_ms
        try:
            policies[name] = MissingFieldPolicy(
                MissingFieldAction(task_class.missing_hint), None if hint_ms is None else hint_ms * 1000
            )
        except ValueError as error:
            raise ConfigError(f"translate.class.{name}.assumed_hint_ms: {error}") from None
    return policies


def _add_retries(config: TranslationConfig, table: schema.RetryTable) -> TranslationConfig:
    service_floor = table.service_floor_per_s
    return replace(
        config,
        limits_retries=True,
        service_budget=_decode_budget(table.service_share, service_floor, table.service_most),
        fleet_budget=_decode_budget(table.fleet_share, table.fleet_floor_per_s, table.fleet_most),
        jitter=JitterConfig(returns_per_s=table.returns_per_s),
        queue=DeadlineQueueConfig(batch_size=table.asks_a_turn, max_waiting=table.most_waiting),
    )


def _decode_budget(earned_per_attempt: float, earned_per_s: float, capacity: int) -> RetryBudgetConfig:
    return RetryBudgetConfig(
        earned_per_attempt_milli=round(earned_per_attempt * MILLI_PER_TOKEN),
        earned_per_s_milli=round(earned_per_s * MILLI_PER_TOKEN),
        capacity_milli=capacity * MILLI_PER_TOKEN,
    )


def _decode_formats(names: Sequence[schema.FormatName]) -> tuple[WireFormat, ...]:
    return tuple(_FORMATS[name] for name in names)
