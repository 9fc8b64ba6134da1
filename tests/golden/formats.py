"""All formats, one data file each."""

from __future__ import annotations

from tests.golden import fleet, operator, wires

FORMATS = [*fleet.FORMATS, *wires.FORMATS, *operator.FORMATS]
