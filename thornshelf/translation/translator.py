"""The translation layer's one face to the core: nodes' profiles, routes, names in doubt, retries, and the account.

Nothing here sends, reads, waits or logs. The core asks; time comes in as a value (microseconds).
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
    MissingFieldAction,
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


@dataclass(frozen=True, slots=True)
class TranslationConfig:
    """All that the operator sets. ``forms``: by node name, those it may speak; ``otherwise`` for all others."""

    missing_field_policies: Mapping[str, MissingFieldPolicy] = field(default_factory=dict)
    node_formats: Mapping[str, tuple[WireFormat, ...]] = field(default_factory=dict)
    default_formats: tuple[WireFormat, ...] = (WireFormat.BINARY,)
    minimum_generations: Mapping[str, int] = field(default_factory=dict)  # generation, by class
    hello_timeout_us: int = 500_000
    uncertain_retention_us: int = DEFAULT_RETENTION_US
    max_uncertain: int = DEFAULT_MAX_UNCERTAIN
    query_timeout_us: int = 1_000_000  # a node's answer about a name is waited for so long
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
        self.counters: Counter[str] = Counter()  # what was derived, left out or settled, by name
        self._profiles: dict[int, NodeProfile] = {}
        self._negotiations: dict[str, WireFormatNegotiation] = {}
        self._ineligible: dict[tuple[str, bool, bool, bool, bool], frozenset[int]] = {}
        self._restricted_nodes: set[int] = (
            set()
        )  # nodes that require something, or are not who they should be
        self.retry_budget = (
            RetryBudget(config.service_budget, config.fleet_budget, now_us) if config.limits_retries else None
        )
        self.jitter = RetryAfterJitter(config.jitter) if config.limits_retries else None

    @property
    def has_restrictions(self) -> bool:
        """Some node may be unable to take some task, so that routes have to be looked at."""
        return bool(self._restricted_nodes or self.config.minimum_generations)

    # nodes

    def allowed_formats(self, name: str) -> tuple[WireFormat, ...]:
        """The forms that a node may speak."""
        return self.config.node_formats.get(name, self.config.default_formats)

    def negotiation(self, name: str) -> WireFormatNegotiation:
        """Which form to speak with a node; kept while the list names it, whatever its address."""
        if (found := self._negotiations.get(name)) is None:
            found = self._negotiations[name] = WireFormatNegotiation(self.allowed_formats(name))
        return found

    def profile(self, machine: int, name: str = "") -> NodeProfile:
        """What is believed of a node."""
        if (found := self._profiles.get(machine)) is None:
            found = self._profiles[machine] = NodeProfile(name)
        return found

    def remove_node(self, machine: int, name: str) -> None:
        """The list names the node no more."""
        self._profiles.pop(machine, None)
        self._restricted_nodes.discard(machine)
        self._ineligible.clear()
        self._negotiations.pop(name, None)

    def _update_restrictions(self, machine: int) -> None:
        profile = self.profile(machine)
        self._ineligible.clear()
        (
            self._restricted_nodes.add
            if profile.required_fields or profile.mismatched_name
            else self._restricted_nodes.discard
        )(machine)

    def record_capabilities(
        self, machine: int, name: str, form: WireFormat, capabilities: NodeCapabilities | None
    ) -> list[str]:
        """What a node speaks on a new connection, or says later; what is odd about it."""
        profile = self.profile(machine, name)
        if capabilities is None or profile.wire_format is not form:
            profile.reset_for_connection(form)
        odd = [] if capabilities is None else profile.update_capabilities(capabilities)
        self._update_restrictions(machine)
        self.counters["odd hello"] += bool(odd)
        return odd

    # routes

    def ineligible_nodes(self, task_class: str, declared: DeclaredFields) -> frozenset[int]:
        """The nodes that can't take a task, by what is known of them.

        Verdicts look at which fields are there and not at what they say, so that few kinds of tasks share them; they
        are made anew when something is learned of a node.
        """
        kind = (
            task_class,
            declared.hint_us is None,
            bool(declared.tenant),
            bool(declared.idempotency_key),
            bool(declared.service),
        )
        found = self._ineligible.get(kind)
        if found is None:
            verdict = self.router.rejection_by
            found = self._ineligible[kind] = frozenset(
                machine
                for machine, one in self._profiles.items()
                if verdict(task_class, declared, one) is not None
            )
        return found

    def eligibility_filter(self, task_class: str, declared: DeclaredFields) -> Callable[[int], bool] | None:
        """Which nodes can take a task; none where all can, so that nothing has to be looked at."""
        if not self.ineligible_nodes(task_class, declared):
            return None
        return lambda machine: machine not in self.ineligible_nodes(task_class, declared)

    def rejection_by_all(
        self, task_class: str, declared: DeclaredFields, machines: Sequence[int]
    ) -> FailureCause | None:
        """Why no node can take a task; none where one may."""
        unable = self.ineligible_nodes(task_class, declared)
        if not unable or not unable.issuperset(machines):
            return None
        found = self.router.rejection_by_all(
            task_class, declared, [self._profiles[machine] for machine in machines]
        )
        if found is not None:
            self.counters[f"nowhere: {found.reason.name}"] += 1
        return found

    def rejection_by(self, task_class: str, declared: DeclaredFields, machine: int) -> FailureCause | None:
        """Why a node can't take a task, by what is known of it."""
        profile = self._profiles.get(machine)
        return None if profile is None else self.router.rejection_by(task_class, declared, profile)

    def effective_hint(self, task_class: str, declared: DeclaredFields, machine: int) -> LifetimeHint | None:
        """The hint that goes with an offer to a node."""
        hint = self.router.policies.effective_hint(
            task_class, declared, self.profile(machine).required_fields
        )
        if hint is not None and hint.assumed:
            self.counters["hint assumed"] += 1
        return hint

    def assumes_hint(self, task_class: str) -> bool:
        """The operator lets a missing hint be filled in."""
        return self.router.policies.policy_for(task_class).on_missing_hint is MissingFieldAction.ASSUME

    def record_rejection(self, machine: int, cause: FailureCause) -> bool:
        """A node's refusal; true where it contradicts its hello."""
        self.counters[f"refused: {cause.reason.name}"] += 1
        odd = self.profile(machine).record_rejection(cause.reason)
        self._update_restrictions(machine)
        return odd

    # the account of what the forms could not carry

    def count_omitted_fields(
        self, form: WireFormat, declared: DeclaredFields, cores: float, memory: float
    ) -> None:
        """An offer left in a form: count what its owner said and the form can't say."""
        gone = omitted_subjects(form)
        there = {
            "hint": declared.hint_us is not None,
            "tenant": bool(declared.tenant),
            "service": bool(declared.service),
            "cores": cores > 0.0,
            "memory": memory > 0.0,
        }
        for thing, given in there.items():
            if given and thing in gone:
                self.counters[f"left out to {form.value}: {thing}"] += 1

    def count_untranslated_cause(self, form: WireFormat, cause: FailureCause) -> None:
        """A cause went to a client in a form: count where it became words, or was left out."""
        for thing in (f"reason {cause.reason.name}", "advice"):
            found = mapping_for(thing, form)
            if found.kind is not MappingKind.CARRIED and (thing != "advice" or cause.advice):
                self.counters[f"{found.kind.name.lower()} to {form.value}: {thing}"] += 1

    # names

    def can_query(self, machine: int) -> bool:
        """A node can be asked about a task's name."""
        profile = self._profiles.get(machine)
        return profile is not None and profile.answers_queries

    def tracks_keys(self, machine: int) -> bool:
        """It knows tasks by name, and is told to end what was given up."""
        profile = self._profiles.get(machine)
        return profile is not None and profile.wire_format is WireFormat.GRPC_V2

    def resolve_status(self, machine: int, status: int) -> Resolution:
        """What a node's word on a name means."""
        found = resolve_status(status, self.can_query(machine))
        self.counters[f"asked: {found.value}"] += 1
        return found

    def record_late_start(self, machine: int, after_denial: bool) -> None:
        """A node began what had been given up; ``after_never``: though it had said that it would not."""
        self.counters["late yes"] += 1
        if after_denial:
            self.profile(machine).record_broken_promise()

    # retries

    def record_first_attempt(self, service: int, now_us: int) -> None:
        """A first attempt leaves."""
        if self.retry_budget is not None:
            self.retry_budget.record_first_attempt(service, now_us)

    def allow_retry(self, service: int, now_us: int, priority: int) -> bool:
        """Whether a further attempt may leave."""
        if self.retry_budget is None or self.retry_budget.try_spend(service, now_us, priority):
            return True
        self.counters["over the retry budget"] += 1
        return False
