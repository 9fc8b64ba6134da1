"""How well a task fits on a machine."""

from __future__ import annotations

from enum import IntEnum


class Fit(IntEnum):
    """How well a task fits on a machine; a larger value is better."""

    RECENTLY_REFUSED = -1  # the machine refused such a demand a short time ago
    NONE = 0  # the demand exceeds the capacity that is left
    ADMITTED = 1  # within the capacity, but above the limit for full speed and safe use of memory
    UNCROWDED = 2  # within that limit too
