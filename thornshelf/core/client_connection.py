"""The protocol of client connections, and the metadata of answers.

Frontends implement the protocol structurally. Times are in microseconds on the loop's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from thornshelf.core.task_release import Release
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.translation.missing_fields import LifetimeHint


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Additional fields of an answer, for wire formats that have them.

    ``assumed_hint`` is the lifetime hint that was assumed because the client gave none; ``joined_running_task`` is
    true if the task already ran for a request under another id.
    """

    assumed_hint: LifetimeHint | None = None
    joined_running_task: bool = False


class ClientConnection(Protocol):
    """One connection or stream of a client, which receives the answers to its requests."""

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""

    @property
    def accepts_any_release(self) -> bool:
        """Whether releases of tasks that were requested on other connections may be sent here."""

    @property
    def wire_format(self) -> WireFormat:
        """The wire format that the client uses."""

    @property
    def peer(self) -> str:
        """The host of the client."""

    def awaits_answer(self, uid: int) -> bool:
        """Return whether the client has neither cancelled this request nor disconnected."""

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """Answer a request: its task runs; ``description`` comes from the node."""

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Answer a request: it was rejected, nothing of its task ran, and a retry is safe."""

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Answer a request: it failed, and its task may have run."""

    def reject_duplicate(self, uid: int) -> None:
        """Handle a second open request under the same id as the wire format prescribes: end the connection."""

    def send_release(self, release: Release) -> None:
        """Notify the client that a running task has ended."""

    def send_migrate(self, uid: int) -> None:
        """Notify the client that a running task was stopped and should be requested again."""

    def task_cancelled(self, uid: int) -> None:
        """Drop the state of a task that the client cancelled, possibly on another connection; send nothing."""
