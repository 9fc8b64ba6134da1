"""Decides which nodes can run a task at all, before the placement module ranks them.

A node can't if its protocol generation is too old for the task's class, if it requires a field that the task lacks,
or if its hello names another node than the endpoint list. A node that was never connected counts as able, because its
hello arrives before the attempt is sent.
"""

from __future__ import annotations

from collections.abc import Iterable

from thornshelf.translation.capabilities import NodeProfile, RequiredField
from thornshelf.translation.failures import GENERATION, FailureCause, FailureReason, failure_cause
from thornshelf.translation.missing_fields import DeclaredFields, MissingFieldPolicies

_FIELD_DESCRIPTIONS = {
    RequiredField.HINT: "a lifetime hint",
    RequiredField.CLIENT_HINT: "a lifetime hint of its owner's own",
    RequiredField.TENANT: "a tenant",
    RequiredField.KEY: "a key",
    RequiredField.SERVICE: "a service",
}


class Router:
    """Decides whether a node can run a task.

    ``minimum_generations``: by task class, the protocol generation that its nodes need at least.
    """

    def __init__(
        self, policies: MissingFieldPolicies, minimum_generations: dict[str, int] | None = None
    ) -> None:
        self.policies = policies
        self._minimum_generations = minimum_generations or {}

    def rejection_by(
        self, task_class: str, declared: DeclaredFields, profile: NodeProfile
    ) -> FailureCause | None:
        """Returns why a node can't run a task, or None if it can."""
        if profile.mismatched_name:
            text = f"{profile.name} is not the node that the list names"
            return failure_cause(FailureReason.WRONG_GENERATION, text)
        if not self._has_minimum_generation(task_class, profile) and profile.wire_format is not None:
            minimum = self._minimum_generations[task_class]
            requirement = f"{task_class} wants nodes of generation {minimum}"
            text = f"{requirement}; {profile.name} speaks {profile.wire_format.value}"
            return failure_cause(FailureReason.WRONG_GENERATION, text)
        if not profile.required_fields:
            return None
        missing = self.policies.missing_fields(task_class, declared, profile.required_fields)
        if not missing:
            return None
        lacks_hint = missing[0] in (RequiredField.HINT, RequiredField.CLIENT_HINT)
        reason = FailureReason.HINT_NEEDED if lacks_hint else FailureReason.WRONG_GENERATION
        descriptions = ", ".join(_FIELD_DESCRIPTIONS[required] for required in missing)
        return failure_cause(reason, f"{profile.name} requires {descriptions}")

    def rejection_by_all(
        self, task_class: str, declared: DeclaredFields, profiles: Iterable[NodeProfile]
    ) -> FailureCause | None:
        """Returns why none of the nodes can run a task, or None if one can or there are no nodes.

        Of several causes, a missing hint is preferred, because the client can correct it.
        """
        preferred: FailureCause | None = None
        for profile in profiles:
            cause = self.rejection_by(task_class, declared, profile)
            if cause is None:
                return None
            if preferred is None or (
                cause.reason is FailureReason.HINT_NEEDED
                and preferred.reason is not FailureReason.HINT_NEEDED
            ):
                preferred = cause
        return preferred

    def accepts_every_task(self, task_class: str, profile: NodeProfile) -> bool:
        """Whether a node can run every task of a class, whichever fields the task declares."""
        if profile.mismatched_name or profile.required_fields:
            return False
        return self._has_minimum_generation(task_class, profile)

    def _has_minimum_generation(self, task_class: str, profile: NodeProfile) -> bool:
        minimum = self._minimum_generations.get(task_class, 0)
        return profile.wire_format is None or GENERATION[profile.wire_format] >= minimum
