"""Requests to a node that are not confirmed yet: cancellations of running tasks, and the health check."""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.loop import Timer
from thornshelf.wire.pending_write import PendingWrite


@dataclass(eq=False, slots=True)
class PendingCancellation:
    """The cancellation of a running task whose end the node has not reported yet.

    ``write``: the request as it was sent, or None before it is sent on a link. ``since_us``: when it was requested,
    or last sent.
    """

    write: PendingWrite | None
    since_us: int

    def has_arrived(self, sent_before_us: int) -> bool:
        """Return whether the request was completely sent before this time."""
        return self.write is not None and self.write.fully_sent and self.since_us < sent_before_us


@dataclass(eq=False, slots=True)
class HealthCheck:
    """A health check without a result so far: when it was started, and the timer of its timeout."""

    started_us: int
    timeout: Timer
