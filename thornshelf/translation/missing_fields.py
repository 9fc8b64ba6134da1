"""Policies for fields that a newer node requires and a client did not declare, or its wire format can't express.

The operator sets a policy for each task class. By default the task goes to nodes that don't require the field, and is
rejected with the reason where there are none: no value is assumed unless the operator configured one.
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

    ``assumed_hint_us`` is the hint to assume, in microseconds; it is set for ASSUME and only for ASSUME. Raises
    ``InvalidParameterError`` otherwise.
    """

    on_missing_hint: MissingFieldAction = MissingFieldAction.REJECT
    assumed_hint_us: int | None = None

    def __post_init__(self) -> None:
        if (self.on_missing_hint is MissingFieldAction.ASSUME) != (self.assumed_hint_us is not None):
            raise InvalidParameterError("an assumed hint goes with 'assume', and with nothing else")


@dataclass(frozen=True, slots=True)
class DeclaredFields:
    """The values that a client declared for the fields that nodes may require; 0 or None if not declared."""

    hint_us: int | None
    tenant: str | None
    idempotency_key: int
    service: int


@dataclass(frozen=True, slots=True)
class LifetimeHint:
    """The expected lifetime of a task as sent to a node; ``assumed`` if the operator's policy set it."""

    duration_us: int
    assumed: bool


DEFAULT_POLICY = MissingFieldPolicy()


class MissingFieldPolicies:
    """The policies of all task classes."""

    def __init__(self, policies: Mapping[str, MissingFieldPolicy]) -> None:
        self._policies = dict(policies)

    def policy_for(self, task_class: str) -> MissingFieldPolicy:
        """The policy of a class; without one, missing fields are rejected."""
        return self._policies.get(task_class, DEFAULT_POLICY)

    def missing_fields(
        self, task_class: str, declared: DeclaredFields, required: set[int]
    ) -> list[RequiredField]:
        """The fields that a node requires and that neither the client nor the policy provides."""
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
                    continue  # of a newer generation: the node itself will reject the task and say why
            if is_missing:
                missing.append(RequiredField(number))
        return missing

    def effective_hint(
        self, task_class: str, declared: DeclaredFields, required: set[int]
    ) -> LifetimeHint | None:
        """The hint to send with an attempt: the client's, or an assumed one if the node requires any hint."""
        if declared.hint_us is not None:
            return LifetimeHint(declared.hint_us, assumed=False)
        assumed_us = self.policy_for(task_class).assumed_hint_us
        if assumed_us is not None and RequiredField.HINT in required:
            return LifetimeHint(assumed_us, assumed=True)
        return None
