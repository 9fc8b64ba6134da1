"""The names of settings and states in the tables that shells query.

Operators' queries and comparisons of dispatchers of different versions rely on these names, so they stay when a field
or an enum member is renamed in the code.
"""

from __future__ import annotations

from enum import Enum

from thornshelf.core.task import TaskState
from thornshelf.placement import Reason

# By class name of a configuration structure: the shown names of the fields whose shown name differs. Two classes are
# called Limits, one of the placement settings and one of admission control; they have no field in common.
SETTING_NAMES: dict[str, dict[str, str]] = {
    "Config": {
        "max_descriptors": "sockets",
        "endpoint_source": "changelog",
        "initial_endpoints": "known",
        "syslog_collector": "collector",
        "translation": "translate",
        "admission": "gate",
        "fair_queue": "shares",
        "retry_after_jitter": "returns",
    },
    "TaskClass": {
        "idempotency": "effect",
        "idempotency_scope": "group",
        "idempotency_window_s": "window_s",
        "latency_objective_s": "aim_s",
        "latency_objective_stretch": "aim_stretch",
        "priority_weight": "worth",
        "priority_weight_past_objective": "late_worth",
        "start_weight_s": "start_worth_s",
        "machine_kind": "kind",
        "full_speed_utilization": "full_up_to",
        "spread_scope": "spread_over",
        "max_per_domain": "most_together",
    },
    "Limits": {
        "max_attempts": "attempts",
        "may_hedge": "may_duplicate",
        "may_gossip": "peer_messages",
        "max_open_requests": "open_requests",
        "max_connections": "connections",
        "request_rate": "set_up_rate",
    },
    "Prices": {
        "migrations": "moves",
        "gossip": "peer",
        "health_check": "probe",
        "rejected_attempt": "refused_offer",
        "migrations_per_eviction": "evictions_as_moves",
        "endpoint_list_lines": "list_lines",
    },
    "Rules": {
        "slow_start_initial_speed": "cold_from",
        "slow_start_s": "cold_s",
        "overload_multiple": "tip_multiple",
        "slow_start_window_s": "fall_s",
        "slow_start_attempts": "cold_offers",
        "poll_interval_s": "ask_every_s",
    },
    "Settings": {
        "overcommit_cores": "admit_cores",
        "overcommit_memory": "admit_memory",
        "reports_count_usage": "reports_count_use",
        "endpoint_list_shows_free": "shows_free",
        "reports_usage": "tells_use",
        "reports_pressure": "tells_pressure",
        "preempts": "makes_room",
        "single_home": "one_home",
        "confirmation_s": "make_sure_s",
        "over_quota_weight": "over_share_worth",
    },
    "AdmissionFilterConfig": {
        "controller": "door",
        "descriptor_floors": "floors",
    },
    "AdmissionConfig": {
        "reserved_connections": "reserve",
        "source_limits": "each",
        "unknown_request_rate": "unknown_set_ups",
        "reputation": "conduct",
        "max_sources": "most_sources",
    },
    "ReservedConnectionsConfig": {
        "reserved": "reserve",
    },
    "PrefixRule": {
        "prefix_limits": "together",
        "source_limits": "each",
    },
    "ReputationConfig": {
        "known_after": "placed",
        "max_sources": "most",
    },
    "FairQueueConfig": {
        "weights": "shares",
        "batch_size": "a_turn",
        "min_remaining_us": "least_us",
        "max_waiting": "most",
        "overload": "pressure",
    },
    "JitterConfig": {
        "max_wait_us": "longest_us",
    },
    "FleetConfig": {
        "membership": "terms",
        "policies": "uses",
        "quota_hold_us": "hold_us",
    },
    "MembershipConfig": {
        "probe_interval_us": "probe_us",
        "probe_timeout_us": "answer_us",
        "indirect_probes": "relays",
        "min_suspicion_us": "suspicion_us",
        "max_suspicion_factor": "suspicion_factor",
        "refutation_grace_us": "grace_us",
        "reconnect_interval_us": "recall_us",
        "push_pull_interval_us": "sync_us",
        "dead_retention_us": "remember_us",
        "max_members": "most_members",
        "max_known_addresses": "most_address_book",
        "stall_threshold_us": "stall_us",
        "entry_bytes_per_s": "item_bytes_s",
    },
    "ZoneSubsetConfig": {
        "selection": "terms",
    },
    "SubsetConfig": {
        "max_spares": "most_spare",
        "spares_per_review": "spares_a_review",
        "short_fraction": "short_share",
        "rejected_fraction": "refused_share",
        "min_requests": "least_set_ups",
        "review_interval_us": "review_us",
        "cooldown_us": "quiet_us",
        "peak_window_us": "remember_us",
        "relist_interval_us": "reread_us",
    },
    "TranslationConfig": {
        "missing_field_policies": "gaps",
        "default_formats": "otherwise",
        "hello_timeout_us": "hello_us",
        "uncertain_retention_us": "remember_us",
        "max_uncertain": "most_doubts",
        "query_timeout_us": "settle_us",
        "limits_retries": "retries",
        "jitter": "spread",
    },
    "MissingFieldPolicy": {
        "assumed_hint_us": "assumed_us",
    },
    "RetryBudgetConfig": {
        "earned_per_attempt_milli": "share",
        "earned_per_s_milli": "floor",
        "capacity_milli": "most",
    },
    "DeadlineQueueConfig": {
        "batch_size": "a_turn",
        "min_remaining_us": "least_us",
        "max_waiting": "most",
    },
}

# By class name of an enum in the configuration: the shown name of the class, and the shown names of members, where
# they differ.
SETTING_CLASS_NAMES = {"WireFormat": "Form"}
SETTING_VALUE_NAMES: dict[str, dict[str, str]] = {
    "Idempotency": {"ALWAYS": "SAFE", "WITH_KEY": "KEYED", "NEVER": "UNSAFE"},
    "MissingFieldAction": {"REJECT": "REFUSE"},
    "WireFormat": {"JSON_LINES": "LINES", "BINARY": "MESSAGES", "GRPC_V1": "V1", "GRPC_V2": "V2"},
}

# Enum members whose shown name is not their own name in lower case. The keys are names, as enum members hash slowly
# and the history looks a name up for each event. No other enum in the tables has members of these names.
_STATE_NAMES: dict[str, str] = {
    TaskState.RUNNING.name: "standing",
    TaskState.CANCELLING.name: "ending",
    Reason.UNSPECIFIED.name: "untold",
    Reason.NOT_SERVING.name: "not_here",
    Reason.PREEMPTED.name: "pushed_out",
    Reason.DRAINED.name: "sent_away",
}


def state_name(member: Enum) -> str:
    """Returns the shown name of a state, an outcome or a reason in tables and in the history."""
    name: str = member._name_
    return _STATE_NAMES.get(name) or name.lower()


def setting_value_name(member: Enum) -> str:
    """Returns the shown name of an enum member that is the value of a setting."""
    return SETTING_VALUE_NAMES.get(type(member).__name__, {}).get(member.name, member.name)


def qualified_setting_value_name(member: Enum) -> str:
    """Returns the shown name of an enum member with that of its class, for settings that hold several members."""
    class_name = type(member).__name__
    return f"{SETTING_CLASS_NAMES.get(class_name, class_name)}.{setting_value_name(member)}"
