"""The translation layer's interface to the core: node profiles, routes, idempotency keys, retries and counters.

Nothing here does I/O, waits or writes to the log; times are passed in, in microseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from thornshelf.retries.budget import RetryBudget, RetryBudgetConfig
from thornshelf.retries.deadline_queue import DeadlineQueueConfig
from thornshelf.retries.jitter import JitterConfig, RetryAfterJitter
from thornshelf.translation.capabilities import NodeCapabilities, NodeProfile, WireFormatNegotiation
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.translation.field_mapping import MappingKind, mapping_for, omitted_subjects
from thornshelf.translation.missing_fields import (
    DeclaredFields,
    LifetimeHint,
    MissingFieldPolicies,
    MissingFieldPolicy,
)
from thornshelf.translation.routing import Router
from thornshelf.translation.uncertain_attempts import (
    DEFAULT_MAX_UNCERTAIN,
    DEFAULT_RETENTION_US,
    IdempotencyKeys,
    Resolution,
    resolve_status,
)

# The names of the mapping kinds in log parameters.
_COUNTER_LABELS = {
    MappingKind.DERIVED: "derived",
    MappingKind.REJECTED: "refused",
    MappingKind.OMITTED: "left_out",
}


@dataclass(frozen=True, slots=True)
class TranslationConfig:
    """All settings of the translation layer.

    ``node_formats``: by node name, the wire formats it may use; ``default_formats`` for all other nodes.
    ``minimum_generations``: by task class, the protocol generation that its nodes need.
    ``query_timeout_us``: how long a node's answer to a status query is awaited.
    """

    missing_field_policies: Mapping[str, MissingFieldPolicy] = field(default_factory=dict)
    node_formats: Mapping[str, tuple[WireFormat, ...]] = field(default_factory=dict)
    default_formats: tuple[WireFormat, ...] = (WireFormat.BINARY,)
    minimum_generations: Mapping[str, int] = field(default_factory=dict)
    hello_timeout_us: int = 500_000
    uncertain_retention_us: int = DEFAULT_RETENTION_US
    max_uncertain: int = DEFAULT_MAX_UNCERTAIN
    query_timeout_us: int = 1_000_000
    limits_retries: bool = False
    service_budget: RetryBudgetConfig = field(default_factory=RetryBudgetConfig)
    fleet_budget: RetryBudgetConfig = field(default_factory=lambda: RetryBudgetConfig(200, 10_000, 200_000))
    jitter: JitterConfig = field(default_factory=JitterConfig)
    queue: DeadlineQueueConfig = field(default_factory=DeadlineQueueConfig)


class Translator:
    """One dispatcher's translation layer."""

    def __init__(self, config: TranslationConfig, now_us: int = 0) -> None:
        self.config = config
        self.router = Router(
            MissingFieldPolicies(config.missing_field_policies), dict(config.minimum_generations)
        )
        self.idempotency_keys = IdempotencyKeys(config.uncertain_retention_us, config.max_uncertain)
        self.counters: Counter[str] = Counter()  # logged at the end; the keys name log parameters
        self.retry_budget: RetryBudget | None = None
        self.jitter: RetryAfterJitter | None = None
        if config.limits_retries:
            self.retry_budget = RetryBudget(config.service_budget, config.fleet_budget, now_us)
            self.jitter = RetryAfterJitter(config.jitter)
        self._profiles: dict[int, NodeProfile] = {}
        self._negotiations: dict[str, WireFormatNegotiation] = {}
        self._ineligible: dict[tuple[str, bool, bool, bool, bool], frozenset[int]] = {}
        self._restricted_nodes: set[int] = set()  # that require fields, or are not the listed node

    @property
    def has_restrictions(self) -> bool:
        """Whether some node may be unable to run some task, so that eligibility has to be checked."""
        return bool(self._restricted_nodes or self.config.minimum_generations)

    # nodes

    def allowed_formats(self, name: str) -> tuple[WireFormat, ...]:
        """The wire formats that a node may use."""
        return self.config.node_formats.get(name, self.config.default_formats)

    def negotiation(self, name: str) -> WireFormatNegotiation:
        """The wire format negotiation with a node; kept while the node is listed, also at another address."""
        if (found := self._negotiations.get(name)) is None:
            found = self._negotiations[name] = WireFormatNegotiation(self.allowed_formats(name))
        return found

    def profile(self, machine: int, name: str = "") -> NodeProfile:
        """What is known of a node; created on first use."""
        if (found := self._profiles.get(machine)) is None:
            found = self._profiles[machine] = NodeProfile(name)
        return found

    def remove_node(self, machine: int, name: str) -> None:
        """The node is not listed any more."""
        self._profiles.pop(machine, None)
        self._restricted_nodes.discard(machine)
        self._ineligible.clear()
        self._negotiations.pop(name, None)

    def _update_restrictions(self, machine: int) -> None:
        profile = self.profile(machine)
        self._ineligible.clear()
        if profile.required_fields or profile.mismatched_name:
            self._restricted_nodes.add(machine)
        else:
            self._restricted_nodes.discard(machine)

    def record_capabilities(
        self, machine: int, name: str, wire_format: WireFormat, capabilities: NodeCapabilities | None
    ) -> list[str]:
        """A handshake or a later hello; returns descriptions of all that is inconsistent in it."""
        profile = self.profile(machine, name)
        if capabilities is None or profile.wire_format is not wire_format:
            profile.reset_for_connection(wire_format)
        inconsistencies = [] if capabilities is None else profile.update_capabilities(capabilities)
        self._update_restrictions(machine)
        self.counters["odd hello"] += bool(inconsistencies)
        return inconsistencies

    # routes

    def ineligible_nodes(self, task_class: str, declared: DeclaredFields) -> frozenset[int]:
        """The nodes that can't run a task, by what is known of them.

        Only the presence of the declared fields matters, so that few kinds of tasks share the cached results; these
        are discarded when something is learned of a node.
        """
        kind = (
            task_class,
            declared.hint_us is None,
            bool(declared.tenant),
            bool(declared.idempotency_key),
            bool(declared.service),
        )
        ineligible = self._ineligible.get(kind)
        if ineligible is None:
            rejection_by = self.router.rejection_by
            ineligible = self._ineligible[kind] = frozenset(
                machine
                for machine, profile in self._profiles.items()
                if rejection_by(task_class, declared, profile) is not None
            )
        return ineligible

    def eligibility_filter(self, task_class: str, declared: DeclaredFields) -> Callable[[int], bool] | None:
        """Tells for a node whether it can run a task; None if all can."""
        if not self.ineligible_nodes(task_class, declared):
            return None
        return lambda machine: machine not in self.ineligible_nodes(task_class, declared)

    def rejection_by_all(
        self, task_class: str, declared: DeclaredFields, machines: Sequence[int]
    ) -> FailureCause | None:
        """Why none of the nodes can run a task; None if one may."""
        ineligible = self.ineligible_nodes(task_class, declared)
        if not ineligible or not ineligible.issuperset(machines):
            return None
        profiles = [self._profiles[machine] for machine in machines]
        cause = self.router.rejection_by_all(task_class, declared, profiles)
        if cause is not None:
            self.counters[f"nowhere: {cause.reason.name}"] += 1
        return cause

    def rejection_by(self, task_class: str, declared: DeclaredFields, machine: int) -> FailureCause | None:
        """Why a node can't run a task, by what is known of it; None if it may."""
        profile = self._profiles.get(machine)
        return None if profile is None else self.router.rejection_by(task_class, declared, profile)

    def effective_hint(self, task_class: str, declared: DeclaredFields, machine: int) -> LifetimeHint | None:
        """The lifetime hint to send with an attempt to a node; None without one."""
        required = self.profile(machine).required_fields
        hint = self.router.policies.effective_hint(task_class, declared, required)
        if hint is not None and hint.assumed:
            self.counters["hint assumed"] += 1
        return hint

    def record_rejection(self, machine: int, cause: FailureCause) -> bool:
        """A node rejected a task; true if that contradicts the capabilities it declared."""
        self.counters[f"refused: {cause.reason.name}"] += 1
        is_unexpected = self.profile(machine).record_rejection(cause.reason)
        self._update_restrictions(machine)
        return is_unexpected

    # counters of what a wire format could not carry

    def count_omitted_fields(
        self, wire_format: WireFormat, declared: DeclaredFields, cores: float, memory: float
    ) -> None:
        """An attempt was sent: counts the fields that its client declared and the format can't express."""
        omitted = omitted_subjects(wire_format)
        is_declared = {
            "hint": declared.hint_us is not None,
            "tenant": bool(declared.tenant),
            "service": bool(declared.service),
            "cores": cores > 0.0,
            "memory": memory > 0.0,
        }
        for subject, declares in is_declared.items():
            if declares and subject in omitted:
                self.counters[f"left out to {wire_format.value}: {subject}"] += 1

    def count_untranslated_cause(self, wire_format: WireFormat, cause: FailureCause) -> None:
        """A cause was sent to a client: counts what the format carried as text only, or not at all."""
        for subject in (f"reason {cause.reason.name}", "advice"):
            kind = mapping_for(subject, wire_format).kind
            if kind is not MappingKind.CARRIED and (subject != "advice" or cause.advice):
                self.counters[f"{_COUNTER_LABELS[kind]} to {wire_format.value}: {subject}"] += 1

    # idempotency keys

    def can_query(self, machine: int) -> bool:
        """Whether a node answers status queries about idempotency keys."""
        profile = self._profiles.get(machine)
        return profile is not None and profile.answers_queries

    def tracks_keys(self, machine: int) -> bool:
        """Whether a node knows tasks by idempotency key, and cancels an attempt that it starts late."""
        profile = self._profiles.get(machine)
        return profile is not None and profile.wire_format is WireFormat.GRPC_V2

    def resolve_status(self, machine: int, status: int) -> Resolution:
        """What a node's answer to a status query means."""
        resolution = resolve_status(status, self.can_query(machine))
        self.counters[f"asked: {resolution.value}"] += 1
        return resolution

    def record_late_start(self, machine: int, after_denial: bool) -> None:
        """A node started a cancelled attempt; ``after_denial``: although it had denied having it."""
        self.counters["late yes"] += 1
        if after_denial:
            self.profile(machine).record_broken_promise()

    # retries

    def record_first_attempt(self, service: int, now_us: int) -> None:
        """The first attempt of a task is sent."""
        if self.retry_budget is not None:
            self.retry_budget.record_first_attempt(service, now_us)

    def allow_retry(self, service: int, now_us: int, priority: int) -> bool:
        """Whether the retry budget allows another attempt."""
        if self.retry_budget is None or self.retry_budget.try_spend(service, now_us, priority):
            return True
        self.counters["over the retry budget"] += 1
        return False
