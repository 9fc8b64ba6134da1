"""The report of a scale run, stored as docs/capacity.json, and its pass criteria."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import msgspec

from thornshelf.capacity.curves import Slope
from thornshelf.capacity.roles import ROWS
from thornshelf.capacity.rows import Row, RowDefinition, compute_rows, first_bottleneck, totals
from thornshelf.capacity.target import (
    CURRENT_DEPLOYMENT,
    Deployment,
    Target,
    dispatchers_needed,
    target_deployment,
)
from thornshelf.errors import CapacityError

MAX_HELD_OUT_ERROR = 0.25  # for slopes of rows with a budget
SUBSET_SUFFIX = "_subset"
MECHANISM_NAME = "subsetting by zone"


class Machine(msgspec.Struct, frozen=True):
    """The machine that the measurements were made on."""

    processor: str
    cores: int
    memory_gb: int
    python: str
    system: str


class Mechanism(msgspec.Struct, frozen=True):
    """The cost of the first row over budget at the target, before and after subsetting."""

    name: str
    role: str
    row: str
    unit: str
    slope_before: str
    slope_after: str
    before: float
    after: float
    budget: float
    factor_before: float
    factor_after: float


class Report(msgspec.Struct, frozen=True):
    """The results of one scale run; the field names are keys of docs/capacity.json.

    ``rows`` and ``totals`` are for a dispatcher that holds all nodes, ``rows_with`` and ``totals_with`` for one with
    a subset. ``real`` counts real dispatchers.
    """

    machine: Machine
    seed: int
    commit: str
    short: bool
    target: Target
    sizes: list[int]
    hollow_nodes: int
    hollow_dispatchers: int
    real: int
    processes: int
    peak_memory_mb: int
    dispatchers: int
    start_us: float
    slopes: dict[str, Slope]
    rows: list[Row]
    totals: list[Row]
    rows_with: list[Row]
    totals_with: list[Row]
    mechanism: Mechanism | None
    asked: int
    served: int
    lost: int
    doubled: int
    rules_broken: list[str]
    seconds: float

    @property
    def errors(self) -> list[str]:
        """The reasons why the run failed; empty if it passed."""
        reasons = list(self.rules_broken)
        reasons += [f"{self.lost} tasks lost"] if self.lost else []
        reasons += [f"{self.doubled} tasks doubled"] if self.doubled else []
        budgeted = {row.slope for row in [*self.rows, *self.rows_with] if row.budget is not None}
        for name in sorted(budgeted):
            error = self.slopes[name].held_out_error
            if error > MAX_HELD_OUT_ERROR:
                reasons.append(f"{name}: the held-out point is missed by {error:.0%}")
        return reasons


def rows_and_totals(
    slopes: Mapping[str, Slope], target: Target, deployments: Sequence[Deployment], suffix: str = ""
) -> tuple[list[Row], list[Row]]:
    """Compute all rows and their totals.

    A slope whose name has ``suffix`` replaces the one without. Raises ``CapacityError`` if a slope is missing.
    """
    definitions: list[RowDefinition] = [
        msgspec.structs.replace(definition, slope=definition.slope + suffix)
        if definition.slope + suffix in slopes
        else definition
        for definition in ROWS
    ]
    if unknown := [definition.slope for definition in definitions if definition.slope not in slopes]:
        raise CapacityError(f"slope {unknown[0]} is missing")
    rows = compute_rows(definitions, slopes, target, CURRENT_DEPLOYMENT, deployments)
    return rows, totals(rows, definitions, target)


def build_report(*, slopes: dict[str, Slope], **run_fields: object) -> Report:
    """Build a report from measured slopes and the other fields of the run, computing all rows for the target."""
    target = Target()
    start_us = (
        slopes["start_us" + SUBSET_SUFFIX].at(target.nodes) if "start_us" + SUBSET_SUFFIX in slopes else 0.0
    )
    start_us = start_us or slopes["start_us"].at(target.nodes_per_zone)
    dispatchers_at_target = dispatchers_needed(target, start_us)
    counts = (dispatchers_at_target, max(1, dispatchers_at_target // 2), 2 * dispatchers_at_target)
    deployments = [target_deployment(target, dispatchers) for dispatchers in counts]
    rows, row_totals = rows_and_totals(slopes, target, deployments)
    rows_with, row_totals_with = rows_and_totals(slopes, target, deployments, SUBSET_SUFFIX)
    values: dict[str, object] = {
        "target": target,
        "dispatchers": dispatchers_at_target,
        "start_us": start_us,
        "slopes": slopes,
        "rows": rows,
        "totals": row_totals,
        "rows_with": rows_with,
        "totals_with": row_totals_with,
        "mechanism": _describe_mechanism(rows, rows_with, slopes),
    }
    return msgspec.convert(values | run_fields, Report, from_attributes=True, strict=False)


def _describe_mechanism(
    rows: Sequence[Row], rows_with: Sequence[Row], slopes: Mapping[str, Slope]
) -> Mechanism | None:
    bottleneck = first_bottleneck(rows)
    if bottleneck is None or bottleneck.budget is None:
        return None
    after = rows_with[rows.index(bottleneck)]
    return Mechanism(
        name=MECHANISM_NAME,
        role=bottleneck.role,
        row=bottleneck.aspect.value,
        unit=bottleneck.unit,
        slope_before=slopes[bottleneck.slope].text,
        slope_after=slopes[after.slope].text,
        before=bottleneck.at_target,
        after=after.at_target,
        budget=bottleneck.budget,
        factor_before=bottleneck.at_target / bottleneck.budget,
        factor_after=after.at_target / bottleneck.budget,
    )


def read(path: Path) -> Report:
    """Read a report; raises ``CapacityError`` if the file cannot be read or decoded."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except (OSError, msgspec.DecodeError) as error:
        raise CapacityError(f"{path}: {error}") from None


def encode(report: Report) -> bytes:
    """Encode a report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n"


def last_line(report: Report) -> dict[str, object]:
    """Returns the summary that the command prints as JSON."""
    roles = [
        {
            "role": row.role,
            "aspect": row.aspect.value,
            "slope": report.slopes[row.slope].text,
            "unit": report.slopes[row.slope].unit,
            "points": len(report.slopes[row.slope].points),
            "fit_error": report.slopes[row.slope].fit_error,
            "held_out_error": report.slopes[row.slope].held_out_error,
            "at_target": round(row.at_target, 1),
            "budget": row.budget,
            "factor": None if row.factor is None else round(row.factor, 3),
        }
        for row in report.rows
    ]
    return {
        "seed": report.seed,
        "sizes": report.sizes,
        "hollow": {"nodes": report.hollow_nodes, "dispatchers": report.hollow_dispatchers},
        "real": report.real,
        "processes": report.processes,
        "peak_memory_mb": report.peak_memory_mb,
        "dispatchers": report.dispatchers,
        "roles": roles,
        "asked": report.asked,
        "served": report.served,
        "lost": report.lost,
        "doubled": report.doubled,
        "rules_broken": report.rules_broken,
        "errors": report.errors,
        "mechanism": None if report.mechanism is None else msgspec.to_builtins(report.mechanism),
        "seconds": report.seconds,
    }
