"""What is done about a field that a newer node requires and an older client's form can't say, or did not.

The operator sets it for each class. Without a word from the operator the task goes to nodes that don't require the
field, and is refused with the reason where there are none: a figure is never made up in silence.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError
from thornshelf.translation.capabilities import RequiredField


class MissingFieldAction(enum.Enum):
    """What to do where a hint is missing."""

    REJECT = "refuse"
    ASSUME = "assume"


@dataclass(frozen=True, slots=True)
class MissingFieldPolicy:
    """For one class. ``assumed_us`` is the hint that is filled in, in microseconds, for ASSUME alone."""

    on_missing_hint: MissingFieldAction = MissingFieldAction.REJECT
    assumed_hint_us: int | None = None

    def __post_init__(self) -> None:
        if (self.on_missing_hint is MissingFieldAction.ASSUME) != (self.assumed_hint_us is not None):
            raise InvalidParameterError("an assumed hint goes with 'assume', and with nothing else")


@dataclass(frozen=True, slots=True)
class DeclaredFields:
    """What a set-up says of the fields that nodes may require."""

    hint_us: int | None
    tenant: str | None
    idempotency_key: int
    service: int


@dataclass(frozen=True, slots=True)
class LifetimeHint:
    """A lifetime hint as it goes to a node, in microseconds."""

    duration_us: int
    assumed: bool


DEFAULT_POLICY = MissingFieldPolicy()


class MissingFieldPolicies:
    """The policies of all classes."""

    def __init__(self, policies: Mapping[str, MissingFieldPolicy]) -> None:
        self._policies = dict(policies)

    def policy_for(self, task_class: str) -> MissingFieldPolicy:
        """A class's own, or the one that refuses."""
        return self._policies.get(task_class, DEFAULT_POLICY)

    def missing_fields(
        self, task_class: str, declared: DeclaredFields, required: set[int]
    ) -> list[RequiredField]:
        """What a node requires and neither the set-up nor the policy gives."""
        lacks = []
        for one in sorted(required):
            match one:
                case RequiredField.HINT:
                    lacking = declared.hint_us is None and self.policy_for(task_class).assumed_hint_us is None
                case RequiredField.CLIENT_HINT:
                    lacking = declared.hint_us is None
                case RequiredField.TENANT:
                    lacking = not declared.tenant
                case RequiredField.KEY:
                    lacking = not declared.idempotency_key
                case RequiredField.SERVICE:
                    lacking = not declared.service
                case _:
                    continue  # a later requirement: the node itself will say what it lacks
            if lacking:
                lacks.append(RequiredField(one))
        return lacks

    def effective_hint(
        self, task_class: str, declared: DeclaredFields, required: set[int]
    ) -> LifetimeHint | None:
        """The hint that an offer carries: the owner's own, else an assumed one where the node requires any."""
        if declared.hint_us is not None:
            return LifetimeHint(declared.hint_us, False)
        assumed = self.policy_for(task_class).assumed_hint_us
        if assumed is not None and RequiredField.HINT in required:
            return LifetimeHint(assumed, True)
        return None
