"""All formats that have expected bytes, each in one data file."""

from __future__ import annotations

from tests.golden import fleet, operator, wires

FORMATS = [*fleet.FORMATS, *wires.FORMATS, *operator.FORMATS]
