"""Decodes the settings of a placer from ``path=value`` texts.

The paths are those in the simulator's ``BORN`` message and under the key ``settings`` of a dispatcher's configuration
file. Only this module maps them to the fields of ``Settings``; unknown paths are ignored.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from thornshelf import placement as api
from thornshelf.errors import WireError
from thornshelf.placement.simulator.values import ABSENT, parse_choice, parse_integer, parse_number

_IDEMPOTENCY = {member.value: member for member in api.Idempotency}
_SCOPES = {scope.value: scope for scope in api.Scope}
_ACCEPTED = "accepted"  # family-info.ack: machines accept a task before it starts
_USED = "used"  # family-info.counts: load reports count the usage of tasks, not their demand
_ON_REQUEST = "on_request"  # registry-mode: the endpoint list is sent to subscribers only
_IN_ANSWERS = "answers"  # report.via: load reports come with answers and health checks
_IN_HEALTH_CHECKS = "probe"  # report.via: load reports come with health checks only
_ANY_MACHINE_KIND = -1.0


class DecodedSettings(NamedTuple):
    """The settings of one placer, and the columns of its load reports in their order."""

    settings: api.Settings
    report_columns: tuple[str, ...]


class SettingsTable:
    """The texts of settings by path.

    Methods raise ``WireError`` with the path if a required value is missing, or if a value is malformed.
    """

    def __init__(self, fields: Iterable[str]) -> None:
        self._values: dict[str, str] = {}
        for field in fields:
            path, separator, value = field.partition("=")
            if not separator:
                raise WireError(f"setting without a value: {field!r}")
            self._values[path] = value

    def __contains__(self, path: str) -> bool:
        return path in self._values

    def text(self, path: str) -> str:
        """Return a required text."""
        try:
            return self._values[path]
        except KeyError:
            raise WireError(f"setting missing: {path}") from None

    def optional_text(self, path: str, default: str) -> str:
        """Return a text, or the default if the path is missing."""
        return self._values.get(path, default)

    def number(self, path: str, default: float | None = None) -> float:
        """Return a finite number, or the default if it is missing or absent; without a default it is required."""
        text = self._values.get(path, ABSENT)
        if text in (ABSENT, "") and default is not None:
            return default
        return parse_number(self.text(path), path)

    def positive_number(self, path: str) -> float:
        """Return a required finite number over 0."""
        value = self.number(path)
        if value <= 0.0:
            raise WireError(f"{path} is not over 0: {self.text(path)!r}")
        return value

    def integer(self, path: str) -> int:
        """Return a required integer of at least 0."""
        return parse_integer(self.text(path), path)

    def positive_integer(self, path: str) -> int:
        """Return a required integer over 0."""
        value = self.integer(path)
        if value == 0:
            raise WireError(f"{path} is not over 0: {self.text(path)!r}")
        return value

    def flag(self, path: str) -> bool:
        """Return a flag; False if the path is missing."""
        text = self._values.get(path, "false")
        if text in ("true", "1"):
            return True
        if text in ("false", "0", ABSENT):
            return False
        raise WireError(f"{path} is neither true nor false: {text!r}")

    def texts(self, path: str) -> list[str]:
        """Return the items of a comma-separated list, which is empty if the path is missing."""
        text = self._values.get(path, "")
        return text.split(",") if text not in ("", ABSENT) else []

    def numbers(self, path: str) -> tuple[float, ...]:
        """Return the items of a comma-separated list of numbers, which is empty if the path is missing."""
        return tuple(parse_number(item, path) for item in self.texts(path))


def decode_settings(fields: Iterable[str]) -> DecodedSettings:
    """Decode settings from ``path=value`` texts.

    Raises ``WireError`` with the path of a setting that is missing or malformed.
    """
    table = SettingsTable(fields)
    settings = _decode_placer(table)
    return DecodedSettings(settings, tuple(table.texts("report.columns")))


def _decode_placer(table: SettingsTable) -> api.Settings:
    limits = _decode_limits(table)
    prices = _decode_prices(table)
    rules = _decode_rules(table)
    report_source = table.optional_text("report.via", "none")
    return api.Settings(
        me=table.integer("me"),
        placers=table.integer("n-instances"),
        zone=table.optional_text("az", ""),
        zones=tuple(table.texts("zones")),
        kinds=tuple(table.texts("kinds")),
        classes=_decode_task_classes(table),
        tenants=_decode_tenants(table),
        limits=limits,
        prices=prices,
        rules=rules,
        cores_by_kind=table.numbers("family-info.cores-by-kind"),
        memory_by_kind=table.numbers("family-info.size-memory"),
        overcommit_cores=table.number("family-info.admit-cores", 1.0),
        overcommit_memory=table.number("family-info.admit-memory", 1.0),
        unit_cores=table.number("family-info.unit-cores", 1.0),
        mean_memory=table.number("family-info.mean-memory", 1.0),
        accepts_before_running=table.optional_text("family-info.ack", "running") == _ACCEPTED,
        reports_count_usage=table.optional_text("family-info.counts", "asked") == _USED,
        reports_in_answers=report_source == _IN_ANSWERS,
        reports_in_probes=report_source in (_IN_ANSWERS, _IN_HEALTH_CHECKS),
        endpoint_list_shows_free=table.flag("family-info.shows-free"),
        reports_usage=table.flag("family-info.use-notes"),
        reports_pressure=table.flag("family-info.tells-pressure"),
        preempts=table.flag("family-info.makes-room"),
        single_home=table.flag("family-info.one-home"),
        confirmation_s=table.number("family-info.make-sure-s", 0.0),
        over_quota_weight=table.number("over-share-worth", 1.0),
        list_on_request=table.optional_text("registry-mode", "pushed") == _ON_REQUEST,
        tick_s=table.number("tick-s", 0.0),
    )


def _decode_limits(table: SettingsTable) -> api.Limits:
    return api.Limits(
        max_attempts=table.positive_integer("limits.send-cap"),
        may_cancel=table.flag("limits.may-cancel"),
        may_probe=table.flag("limits.may-probe"),
        may_hedge=table.flag("limits.may-duplicate"),
        may_gossip=table.flag("limits.peer-messages"),
        retry_after=table.flag("limits.retry-after"),
        max_retry_after_s=table.number("limits.max-retry-after-s", 0.0),
        connect_timeout_s=table.number("limits.connect-timeout-s", 0.0),
        keepalive_s=table.number("limits.keepalive-s", 0.0),
        max_open_requests=int(table.number("limits.open-cap", 0.0)),
    )


def _decode_prices(table: SettingsTable) -> api.Prices:
    return api.Prices(
        fleet=table.number("prices.fleet", 0.0),
        migrations=table.number("prices.moves", 0.0),
        waste=table.number("prices.waste", 0.0),
        cross_zone=table.number("prices.cross-zone", 0.0),
        gossip=table.number("prices.peer", 0.0),
        health_check=table.number("prices.probe", 0.0),
        rejected_attempt=table.number("family-info.refused-price", 0.0),
        migrations_per_eviction=table.number("family-info.evict-weight", 1.0),
        endpoint_list_lines=table.number("prices.registry-mode", 0.0),
        connection=table.number("prices.connection", 0.0),
        handshake=table.number("prices.handshake", 0.0),
    )


def _decode_rules(table: SettingsTable) -> api.Rules:
    return api.Rules(
        answer_slack_s=table.number("rules.answer-slack-s", 0.0),
        drain_grace_s=table.number("rules.drain-grace-s", 0.0),
        slow_start_initial_speed=table.number("rules.cold-from", 1.0),
        slow_start_s=table.number("rules.cold-s", 0.0),
        overload_multiple=table.number("rules.tip-multiple", 1.0),
        slow_start_window_s=table.number("rules.fall-s", 0.0),
        slow_start_attempts=table.number("family-info.cold-sends", 0.0),
        poll_interval_s=table.number("rules.ask-every-s", 0.0),
    )


class _ClassLists(NamedTuple):
    """The settings that are lists with one item per task class, in the order of the classes."""

    machine_kinds: tuple[float, ...]
    start_weights_s: tuple[float, ...]
    full_speed_utilizations: tuple[float, ...]
    lost_after: tuple[float, ...]
    max_per_domain: tuple[float, ...]
    priorities: tuple[float, ...]
    spread_scopes: list[str]


def _decode_class_lists(table: SettingsTable) -> _ClassLists:
    return _ClassLists(
        machine_kinds=table.numbers("family-info.class-kind"),
        start_weights_s=table.numbers("family-info.class-start-s"),
        full_speed_utilizations=table.numbers("family-info.full-up-to"),
        lost_after=table.numbers("family-info.lost-after"),
        max_per_domain=table.numbers("family-info.most-together"),
        priorities=table.numbers("family-info.precedence"),
        spread_scopes=table.texts("family-info.spread-over"),
    )


def _decode_task_classes(table: SettingsTable) -> tuple[api.TaskClass, ...]:
    lists = _decode_class_lists(table)
    count = table.integer("categories.count")
    return tuple(_decode_task_class(table, lists, index) for index in range(count))


def _decode_task_class(table: SettingsTable, lists: _ClassLists, index: int) -> api.TaskClass:
    path = f"categories.{index}."
    machine_kind = int(_item(lists.machine_kinds, index, _ANY_MACHINE_KIND))
    spread_scopes = lists.spread_scopes
    spread_scope = spread_scopes[index] if index < len(spread_scopes) else "none"
    idempotency_scope = table.optional_text(path + "group", "all")
    return api.TaskClass(
        name=table.text(path + "name"),
        idempotency=parse_choice(_IDEMPOTENCY, table.text(path + "effect"), path + "effect"),
        idempotency_scope=parse_choice(_SCOPES, idempotency_scope, path + "group"),
        idempotency_window_s=table.number(path + "dedup-window-s", 0.0),
        latency_objective_s=table.number(path + "aim-s"),
        latency_objective_stretch=table.number(path + "aim-stretch", 0.0),
        deadline_s=table.positive_number(path + "deadline-s"),
        priority_weight=table.number(path + "worth", 1.0),
        priority_weight_past_objective=table.number(path + "late-worth", 0.0),
        start_weight_s=_item(lists.start_weights_s, index, 0.0),
        machine_kind=None if machine_kind < 0 else machine_kind,
        priority=int(_item(lists.priorities, index, 0.0)),
        full_speed_utilization=_item(lists.full_speed_utilizations, index, 1.0),
        lost_after=_item(lists.lost_after, index, 0.0),
        spread_scope=parse_choice(_SCOPES, spread_scope, "family-info.spread-over"),
        max_per_domain=int(_item(lists.max_per_domain, index, 0.0)),
    )


def _decode_tenants(table: SettingsTable) -> tuple[api.Tenant, ...]:
    quota_cores = table.numbers("family-info.quota-cores")
    count = table.integer("tenants.count") if "tenants.count" in table else 0
    return tuple(
        api.Tenant(
            name=table.text(f"tenants.{index}.name"),
            quota_per_s=table.number(f"tenants.{index}.quota-per-s", 0.0),
            quota_cores=_item(quota_cores, index, 0.0),
            fraction=table.number(f"tenants.{index}.fraction", 0.0),
        )
        for index in range(count)
    )


def _item(values: Sequence[float], index: int, default: float) -> float:
    return values[index] if index < len(values) else default
