"""Converts the times that clients state in their requests."""

from __future__ import annotations

DEADLINE_MARGIN_US = (
    3_000  # an answer is decided this long before the client's deadline, so that it arrives in time
)
MAX_WAIT_MS = 1e9  # longer waits are cut to this
MAX_HINT_MS = 1e12  # and longer lifetime hints to this


def wait_us(wait_ms: float) -> int:
    """How long a client waits for its answer, in microseconds."""
    return int(min(wait_ms, MAX_WAIT_MS) * 1000)


def lifetime_hint_us(hint_ms: float | None) -> int | None:
    """How long a client expects its task to run, in microseconds; None where it gave no hint."""
    return None if hint_ms is None else int(min(hint_ms, MAX_HINT_MS) * 1000)
