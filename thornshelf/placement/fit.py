"""How well a task fits on a machine."""

from __future__ import annotations

from enum import IntEnum


class Fit(IntEnum):
    """How well a task fits on a machine; a larger value is better."""

    REFUSED_LATELY = -1  # the machine refused such a demand
    NONE = 0
    ADMITTED = 1  # the machine admits it, but what is used there would be crowded
    UNCROWDED = 2
