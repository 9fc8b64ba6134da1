"""Which nodes can take a task at all, before the decision module ranks them.

A node can't where its form or its own requirements leave something out that must not be left out. A node of which
nothing is known yet (no connection so far) is taken to be able: its own word comes before the offer leaves.
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
    """Verdicts on pairs of a task and a node."""

    def __init__(
        self, policies: MissingFieldPolicies, minimum_generations: dict[str, int] | None = None
    ) -> None:
        self.policies = policies
        self._minimum_generations = (
            minimum_generations or {}
        )  # the generation that a class's nodes have to speak

    def rejection_by(
        self, task_class: str, declared: DeclaredFields, profile: NodeProfile
    ) -> FailureCause | None:
        """Why a node can't take a task; none where it can."""
        if profile.mismatched_name:
            return failure_cause(
                FailureReason.WRONG_GENERATION, f"{profile.name} is not the node that the list names"
            )
        least = self._minimum_generations.get(task_class, 0)
        if profile.wire_format is not None and GENERATION[profile.wire_format] < least:
            text = f"{task_class} wants nodes of generation {least}; {profile.name} speaks {profile.wire_format.value}"
            return failure_cause(FailureReason.WRONG_GENERATION, text)
        if not profile.required_fields:
            return None
        lacks = self.policies.missing_fields(task_class, declared, profile.required_fields)
        if not lacks:
            return None
        hint = lacks[0] in (RequiredField.HINT, RequiredField.CLIENT_HINT)
        trouble = FailureReason.HINT_NEEDED if hint else FailureReason.WRONG_GENERATION
        return failure_cause(
            trouble, f"{profile.name} requires " + ", ".join(_FIELD_DESCRIPTIONS[one] for one in lacks)
        )

    def rejection_by_all(
        self, task_class: str, declared: DeclaredFields, profiles: Iterable[NodeProfile]
    ) -> FailureCause | None:
        """Why no node at all can take a task; none where one can, or where there are no nodes.

        Of several causes the one is told that a client can do something about.
        """
        worst: FailureCause | None = None
        for profile in profiles:
            found = self.rejection_by(task_class, declared, profile)
            if found is None:
                return None
            if worst is None or (found.reason is FailureReason.HINT_NEEDED) > (
                worst.reason is FailureReason.HINT_NEEDED
            ):
                worst = found
        return worst

    def accepts_every_task(self, task_class: str, profile: NodeProfile) -> bool:
        """A node that takes any task of the class, whatever it says: nothing has to be looked at."""
        if profile.mismatched_name or profile.required_fields:
            return False
        least = self._minimum_generations.get(task_class, 0)
        return not least or profile.wire_format is None or GENERATION[profile.wire_format] >= least
