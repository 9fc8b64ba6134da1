"""The error of malformed input, and the reasons for the end of a connection."""

from __future__ import annotations

import enum
from typing import NamedTuple

from thornshelf.errors import WireError


class DisconnectCause(enum.Enum):
    """The cause of the end of a connection, as far as reconnecting depends on it."""

    IDLE = enum.auto()
    EVICTED = enum.auto()
    CLOSED_BY_PEER = enum.auto()
    INVALID_INPUT = enum.auto()
    OTHER = enum.auto()  # any other cause, which the text of the reason states


class DisconnectReason(NamedTuple):
    """Why a connection ended; ``text`` is the text of the log line."""

    cause: DisconnectCause
    text: str

    @classmethod
    def unusable(cls, text: str) -> DisconnectReason:
        """Return the reason for ending a connection that can't be used any longer; ``text`` says why."""
        return cls(DisconnectCause.OTHER, text)

    @classmethod
    def invalid_input(cls, error: Exception) -> DisconnectReason:
        """Return the reason for ending a connection on which the peer sent malformed input."""
        return cls(DisconnectCause.INVALID_INPUT, f"invalid input: {error}")

    @property
    def log_fields(self) -> dict[str, object]:
        """Fields for the log line: the code of ``WireError`` if invalid input ended the connection."""
        return {"code": WireError.code} if self.cause is DisconnectCause.INVALID_INPUT else {}


__all__ = ["DisconnectCause", "DisconnectReason", "WireError"]
