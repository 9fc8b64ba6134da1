"""Decodes load reports: from the field names of the nodes' wire to the terms of the placement module."""

from __future__ import annotations

from thornshelf.placement import LoadReport

FIELD_NAMES = {
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
    """A load report by the wire's field names; None where no field is known."""
    known = {FIELD_NAMES[name]: value for name, value in fields.items() if name in FIELD_NAMES}
    return LoadReport(**known) if known else None
