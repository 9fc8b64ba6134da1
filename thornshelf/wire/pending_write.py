"""The interface by which a sender learns whether its data was sent."""

from __future__ import annotations

from typing import Protocol


class PendingWrite(Protocol):
    """Data that is queued to be sent, or was sent."""

    @property
    def fully_sent(self) -> bool:
        """Whether all bytes were handed to the operating system, so that the peer may have received them."""
