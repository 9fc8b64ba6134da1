"""Converts the times that clients state in their requests."""

from __future__ import annotations

# An answer is sent this long before the client's deadline at the latest, so that it arrives in time.
DEADLINE_MARGIN_US = 3_000
MAX_WAIT_MS = 1e9  # longer waits are capped
MAX_HINT_MS = 1e12  # longer lifetime hints are capped


def wait_us(wait_ms: float) -> int:
    """Return how long a client waits for its answer, in microseconds."""
    return int(min(wait_ms, MAX_WAIT_MS) * 1000)


def lifetime_hint_us(hint_ms: float | None) -> int | None:
    """Return how long a client expects its task to run, in microseconds; None if it gave no hint."""
    return None if hint_ms is None else int(min(hint_ms, MAX_HINT_MS) * 1000)
