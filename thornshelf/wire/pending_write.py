"""What a sender can learn of a message that it handed over."""

from __future__ import annotations

from typing import Protocol


class PendingWrite(Protocol):
    """A message on its way out."""

    @property
    def fully_sent(self) -> bool:
        """Whether all of it was given to the operating system, so that the peer may have it."""
