"""Policies for fields that a newer node requires, but the client did not declare or its wire format can't express.

The operator sets a policy for each task class. By default the task goes to nodes that don't require the field, and is
rejected with the reason if there are none. A value is assumed only if the operator configured one.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError
from thornshelf.translation.capabilities import RequiredField


class MissingFieldAction(enum.Enum):
    """What to do about a missing lifetime hint. The values are those of the operator's file."""

    REJECT = "refuse"
    ASSUME = "assume"


@dataclass(frozen=True, slots=True)
class MissingFieldPolicy:
    """The policy of one task class.

    ``assumed_hint_us`` is the hint to assume, in microseconds. Raises ``InvalidParameterError`` if it is missing with
    ASSUME, or set with REJECT.
    """

    on_missing_hint: MissingFieldAction = MissingFieldAction.REJECT
    assumed_hint_us: int | None = None

    def __post_init__(self) -> None:
        if (self.on_missing_hint is MissingFieldAction.ASSUME) != (self.assumed_hint_us is not None):
            raise InvalidParameterError(
                "an assumed hint is required with 'assume', and not allowed otherwise"
            )


@dataclass(frozen=True, slots=True)
class DeclaredFields:
    """The values that a client declared for the fields that nodes may require; 0 or None if it declared none."""

    hint_us: int | None
    tenant: str | None
    idempotency_key: int
    service: int


@dataclass(frozen=True, slots=True)
class LifetimeHint:
    """The expected lifetime of a task as sent to a node; ``assumed`` if it is from the operator's policy."""

    duration_us: int
    assumed: bool


DEFAULT_POLICY = MissingFieldPolicy()


class MissingFieldPolicies:
    """The policies of all task classes."""

    def __init__(self, policies: Mapping[str, MissingFieldPolicy]) -> None:
        self._policies = dict(policies)

    def policy_for(self, task_class: str) -> MissingFieldPolicy:
        """Returns the policy of a class; by default, missing fields are rejected."""
        return self._policies.get(task_class, DEFAULT_POLICY)

    def missing_fields(
        self, task_class: str, declared: DeclaredFields, required: set[int]
    ) -> list[RequiredField]:
        """Returns the fields that a node requires and neither the client nor the policy provides."""
        missing = []
        for number in sorted(required):
            match number:
                case RequiredField.HINT:
                    assumed_us = self.policy_for(task_class).assumed_hint_us
                    is_missing = declared.hint_us is None and assumed_us is None
                case RequiredField.CLIENT_HINT:
                    is_missing = declared.hint_us is None
                case RequiredField.TENANT:
                    is_missing = not declared.tenant
                case RequiredField.KEY:
                    is_missing = not declared.idempotency_key
                case RequiredField.SERVICE:
                    is_missing = not declared.service
                case _:
                    continue  # defined by a newer generation: the node itself rejects the task if it is missing
            if is_missing:
                missing.append(RequiredField(number))
        return missing

    def effective_hint(
        self, task_class: str, declared: DeclaredFields, required: set[int]
    ) -> LifetimeHint | None:
        """Returns the hint to send with an attempt: the client's, or the assumed one if the node requires a hint."""
        if declared.hint_us is not None:
            return LifetimeHint(declared.hint_us, assumed=False)
        assumed_us = self.policy_for(task_class).assumed_hint_us
        if assumed_us is not None and RequiredField.HINT in required:
            return LifetimeHint(assumed_us, assumed=True)
        return None
