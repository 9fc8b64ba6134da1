"""The translation layer's interface to the core: node profiles, routes, idempotency keys, retries and counters.

Nothing here does I/O, waits or writes to the log. Callers pass the time, in microseconds.
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

# The mapping kinds in the names of counters.
_COUNTER_LABELS = {
    MappingKind.DERIVED: "derived",
    MappingKind.REJECTED: "refused",
    MappingKind.OMITTED: "left_out",
}


@dataclass(frozen=True, slots=True)
class TranslationConfig:
    """All settings of the translation layer.

    ``node_formats``: by node name, the wire formats it may use; all other nodes may use ``default_formats``.
    ``minimum_generations``: by task class, the protocol generation that its nodes need at least.
    ``uncertain_retention_us`` and ``max_uncertain``: see ``IdempotencyKeys``.
    ``query_timeout_us``: how long to wait for a node's answer to a status query.
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
        self.counters: Counter[str] = Counter()  # logged at shutdown, each key as a log parameter
        self.retry_budget: RetryBudget | None = None
        self.jitter: RetryAfterJitter | None = None
        if config.limits_retries:
            self.retry_budget = RetryBudget(config.service_budget, config.fleet_budget, now_us)
            self.jitter = RetryAfterJitter(config.jitter)
        self._profiles: dict[int, NodeProfile] = {}
        self._negotiations: dict[str, WireFormatNegotiation] = {}
        self._ineligible_cache: dict[tuple[str, bool, bool, bool, bool], frozenset[int]] = {}
        # Nodes that require fields, or whose hello has another name than the endpoint list.
        self._restricted_nodes: set[int] = set()

    @property
    def has_restrictions(self) -> bool:
        """Whether there may be a task that some node can't run, so that eligibility has to be checked."""
        return bool(self._restricted_nodes or self.config.minimum_generations)

    # nodes

    def allowed_formats(self, name: str) -> tuple[WireFormat, ...]:
        """Returns the wire formats that a node may use."""
        return self.config.node_formats.get(name, self.config.default_formats)

    def negotiation(self, name: str) -> WireFormatNegotiation:
        """Returns the wire format negotiation of a node, created on first use; it outlives a change of address."""
        if (negotiation := self._negotiations.get(name)) is None:
            negotiation = self._negotiations[name] = WireFormatNegotiation(self.allowed_formats(name))
        return negotiation

    def profile(self, machine: int, name: str = "") -> NodeProfile:
        """Returns what is known of a node; created on first use."""
        if (profile := self._profiles.get(machine)) is None:
            profile = self._profiles[machine] = NodeProfile(name)
        return profile

    def remove_node(self, machine: int, name: str) -> None:
        """Discard what is known of a node that is no longer in the endpoint list."""
        self._profiles.pop(machine, None)
        self._restricted_nodes.discard(machine)
        self._ineligible_cache.clear()
        self._negotiations.pop(name, None)

    def _update_restrictions(self, machine: int) -> None:
        profile = self.profile(machine)
        self._ineligible_cache.clear()
        if profile.required_fields or profile.mismatched_name:
            self._restricted_nodes.add(machine)
        else:
            self._restricted_nodes.discard(machine)

    def record_capabilities(
        self, machine: int, name: str, wire_format: WireFormat, capabilities: NodeCapabilities | None
    ) -> list[str]:
        """Record a handshake, or a later hello; returns a description of each inconsistency.

        ``capabilities`` is None if the wire format has no hello.
        """
        profile = self.profile(machine, name)
        if capabilities is None or profile.wire_format is not wire_format:
            profile.reset_for_connection(wire_format)
        inconsistencies = [] if capabilities is None else profile.update_capabilities(capabilities)
        self._update_restrictions(machine)
        self.counters["odd hello"] += bool(inconsistencies)
        return inconsistencies

    # routes

    def ineligible_nodes(self, task_class: str, declared: DeclaredFields) -> frozenset[int]:
        """Returns the nodes that are known to be unable to run a task.

        Results are cached by class and by which fields are declared, not by their values. The cache is cleared
        whenever a node's profile changes.
        """
        cache_key = (
            task_class,
            declared.hint_us is None,
            bool(declared.tenant),
            bool(declared.idempotency_key),
            bool(declared.service),
        )
        ineligible = self._ineligible_cache.get(cache_key)
        if ineligible is None:
            rejection_by = self.router.rejection_by
            ineligible = self._ineligible_cache[cache_key] = frozenset(
                machine
                for machine, profile in self._profiles.items()
                if rejection_by(task_class, declared, profile) is not None
            )
        return ineligible

    def eligibility_filter(self, task_class: str, declared: DeclaredFields) -> Callable[[int], bool] | None:
        """Returns a predicate that tells whether a node can run a task, or None if all nodes can."""
        if not self.ineligible_nodes(task_class, declared):
            return None
        return lambda machine: machine not in self.ineligible_nodes(task_class, declared)

    def rejection_by_all(
        self, task_class: str, declared: DeclaredFields, machines: Sequence[int]
    ) -> FailureCause | None:
        """Returns why none of the nodes can run a task, or None if one may be able to."""
        ineligible = self.ineligible_nodes(task_class, declared)
        if not ineligible or not ineligible.issuperset(machines):
            return None
        profiles = [self._profiles[machine] for machine in machines]
        cause = self.router.rejection_by_all(task_class, declared, profiles)
        if cause is not None:
            self.counters[f"nowhere: {cause.reason.name}"] += 1
        return cause

    def rejection_by(self, task_class: str, declared: DeclaredFields, machine: int) -> FailureCause | None:
        """Returns why a node can't run a task, or None if nothing known of it speaks against it."""
        profile = self._profiles.get(machine)
        return None if profile is None else self.router.rejection_by(task_class, declared, profile)

    def effective_hint(self, task_class: str, declared: DeclaredFields, machine: int) -> LifetimeHint | None:
        """Returns the lifetime hint to send with an attempt to a node, or None if there is none."""
        required = self.profile(machine).required_fields
        hint = self.router.policies.effective_hint(task_class, declared, required)
        if hint is not None and hint.assumed:
            self.counters["hint assumed"] += 1
        return hint

    def record_rejection(self, machine: int, cause: FailureCause) -> bool:
        """Record a rejection by a node; returns whether it contradicts the capabilities that the node declared."""
        self.counters[f"refused: {cause.reason.name}"] += 1
        is_unexpected = self.profile(machine).record_rejection(cause.reason)
        self._update_restrictions(machine)
        return is_unexpected

    # counters of what a wire format can't express

    def count_omitted_fields(
        self, wire_format: WireFormat, declared: DeclaredFields, cores: float, memory: float
    ) -> None:
        """Count the fields of a sent attempt that its client declared and the format omits."""
        omitted = omitted_subjects(wire_format)
        declared_by_subject = {
            "hint": declared.hint_us is not None,
            "tenant": bool(declared.tenant),
            "service": bool(declared.service),
            "cores": cores > 0.0,
            "memory": memory > 0.0,
        }
        for subject, is_declared in declared_by_subject.items():
            if is_declared and subject in omitted:
                self.counters[f"left out to {wire_format.value}: {subject}"] += 1

    def count_untranslated_cause(self, wire_format: WireFormat, cause: FailureCause) -> None:
        """Count the parts of a cause sent to a client that the format carried only as text, or not at all."""
        for subject in (f"reason {cause.reason.name}", "advice"):
            kind = mapping_for(subject, wire_format).kind
            if kind is not MappingKind.CARRIED and (subject != "advice" or cause.advice):
                self.counters[f"{_COUNTER_LABELS[kind]} to {wire_format.value}: {subject}"] += 1

    # idempotency keys

    def can_query(self, machine: int) -> bool:
        """Whether a node answers status queries about idempotency keys, and is trusted to."""
        profile = self._profiles.get(machine)
        return profile is not None and profile.answers_queries

    def tracks_keys(self, machine: int) -> bool:
        """Whether a node tracks tasks by idempotency key, so that an attempt that it starts late can be cancelled."""
        profile = self._profiles.get(machine)
        return profile is not None and profile.wire_format is WireFormat.GRPC_V2

    def resolve_status(self, machine: int, status: int) -> Resolution:
        """Interpret and count a node's answer to a status query, given as the number of its status."""
        resolution = resolve_status(status, self.can_query(machine))
        self.counters[f"asked: {resolution.value}"] += 1
        return resolution

    def record_late_start(self, machine: int, after_denial: bool) -> None:
        """Record that a node started an attempt already given up; ``after_denial``: it had denied having it."""
        self.counters["late yes"] += 1
        if after_denial:
            self.profile(machine).record_broken_promise()

    # retries

    def record_first_attempt(self, service: int, now_us: int) -> None:
        """Record the first attempt of a task, which earns retry budget."""
        if self.retry_budget is not None:
            self.retry_budget.record_first_attempt(service, now_us)

    def allow_retry(self, service: int, now_us: int, priority: int) -> bool:
        """Whether the retry budget allows another attempt; if so, it is spent."""
        if self.retry_budget is None or self.retry_budget.try_spend(service, now_us, priority):
            return True
        self.counters["over the retry budget"] += 1
        return False
