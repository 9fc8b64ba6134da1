"""The release of a task that ran and has ended, and the owner that it is meant for."""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause


@dataclass(frozen=True, slots=True)
class TaskOwner:
    """Whose task it is, as far as the protocols tell: the client's host, and the tenant that its request named."""

    host: str
    tenant: str | None


@dataclass(frozen=True, slots=True)
class Release:
    """Notifies the owner of a task that ran: the task has ended.

    ``detail``: the cause from the node, if its wire format has one.
    """

    uid: int
    owner: TaskOwner
    outcome: Outcome
    reason: Reason
    detail: FailureCause | None = None
