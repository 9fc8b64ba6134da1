"""Decodes the load reports of nodes for the placement module."""

from __future__ import annotations

from thornshelf.placement import LoadReport

_FIELD_BY_WIRE_NAME = {
    "active": "active",
    "waiting": "waiting",
    "queue": "waiting",
    "cpu": "busy",
    "avg_ms": "start_ms",
    "rps": "starts_per_s",
    "err_rps": "errors_per_s",
    "x0": "free_cores",
    "x1": "free_memory",
}


def decode_load_report(fields: dict[str, float]) -> LoadReport | None:
    """Convert the fields of a load report, by their names on the wire; returns None if none of them is known."""
    known = {
        _FIELD_BY_WIRE_NAME[name]: value for name, value in fields.items() if name in _FIELD_BY_WIRE_NAME
    }
    return LoadReport(**known) if known else None
