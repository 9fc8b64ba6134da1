"""The port that a client's connection offers to the core, and what an answer carries beside the node's description.

Frontends implement the protocol structurally. Times are microseconds on the loop's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.translation.missing_fields import LifetimeHint


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What an answer carries beside the node's description, in wire forms that have fields for it.

    ``assumed_hint``: the lifetime that was assumed where the client gave none; ``joined_running_task``: the task was
    requested under another id before.
    """

    assumed_hint: LifetimeHint | None = None
    joined_running_task: bool = False


class ClientConnection(Protocol):
    """Where the answers of a request go: one connection or stream of a client."""

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""

    @property
    def accepts_any_release(self) -> bool:
        """Whether releases of tasks that were requested on another connection may be sent here."""

    @property
    def wire_form(self) -> WireFormat:
        """The wire form that the client speaks."""

    @property
    def peer(self) -> str:
        """The client's host."""

    def awaits_answer(self, uid: int) -> bool:
        """Whether the client has neither cancelled this request nor disconnected."""

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """Answer a request: its task runs, and the node describes it so."""

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Answer a request: it was rejected, nothing of it ran, and a retry does no harm."""

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Answer a request: it failed, and it may have run."""

    def reject_duplicate(self, uid: int) -> None:
        """End the connection, in the way of its wire form: it sent two open requests under one id."""

    def send_release(
        self, uid: int, outcome: Outcome, reason: Reason, detail: FailureCause | None = None
    ) -> None:
        """Notify the client that a running task is over."""

    def send_migrate(self, uid: int) -> None:
        """Notify the client that a running task was stopped, and should be requested again."""

    def task_cancelled(self, uid: int) -> None:
        """Discard the state of a task that the client has cancelled on any connection; nothing is sent."""
