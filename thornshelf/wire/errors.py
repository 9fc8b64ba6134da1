"""Errors that input raises, and why a connection ended, as log lines state it."""

from __future__ import annotations

import enum
from typing import NamedTuple

from thornshelf.errors import WireError


class DisconnectCause(enum.Enum):
    """What ended a connection, as far as the next attempt to connect depends on it."""

    IDLE = enum.auto()
    EVICTED = enum.auto()
    CLOSED_BY_PEER = enum.auto()
    INVALID_INPUT = enum.auto()
    UNUSABLE = enum.auto()  # anything else: the text says what


class DisconnectReason(NamedTuple):
    """Why a connection ended; ``text`` is the sentence of the log line."""

    cause: DisconnectCause
    text: str

    @classmethod
    def unusable(cls, text: str) -> DisconnectReason:
        """The connection can't serve any longer, for the reason that the text states."""
        return cls(DisconnectCause.UNUSABLE, text)

    @classmethod
    def invalid_input(cls, error: Exception) -> DisconnectReason:
        """The peer sent what its format does not allow."""
        return cls(DisconnectCause.INVALID_INPUT, f"unreadable: {error}")

    @property
    def log_fields(self) -> dict[str, object]:
        """The code of ``WireError`` as a field of a log line, where invalid input ended the connection."""
        return {"code": WireError.code} if self.cause is DisconnectCause.INVALID_INPUT else {}


__all__ = ["DisconnectCause", "DisconnectReason", "WireError"]
