"""Renders the tables of docs/CAPACITY.md from a report and leaves the text around them unchanged."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence

from thornshelf.capacity.curves import Slope
from thornshelf.capacity.report import SUBSET_SUFFIX, Report
from thornshelf.capacity.roles import MISSING_FEATURES
from thornshelf.capacity.rows import MISSING, Row
from thornshelf.capacity.target import MAX_SERVING_SHARE, MIN_DISPATCHERS_PER_ZONE, SECONDS_PER_DAY
from thornshelf.errors import CapacityError

_TABLE_MARKER = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)


def format_number(value: float | None) -> str:
    """Format with three significant digits, or as an integer with thousands separators from 100 on."""
    if value is None:
        return ""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def markdown_table(header: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    """Render a Markdown table."""
    rows = [header, ["---"] * len(header), *lines]
    return "".join("| " + " | ".join(row) + " |\n" for row in rows)


def _run_table(report: Report) -> str:
    machine = report.machine
    lines = [
        ("machine", f"{machine.processor}, {machine.cores} cores, {machine.memory_gb} GB, {machine.system}"),
        ("Python", machine.python),
        ("commit, seed", f"{report.commit}, {report.seed}"),
        ("run", "short" if report.short else "full"),
        ("lists of real dispatchers", ", ".join(map(str, report.sizes)) + " nodes; the largest held out"),
        ("hollow", f"{report.hollow_nodes:,} nodes, {report.hollow_dispatchers} dispatchers"),
        ("processes, memory", f"{report.processes} at most, {report.peak_memory_mb} MB together"),
        ("set-ups in the troubles", f"{report.asked:,} asked, {report.served:,} placed"),
        ("lost, doubled, rules broken", f"{report.lost}, {report.doubled}, {len(report.rules_broken)}"),
        ("seconds", format_number(report.seconds)),
        ("result", "passed" if not report.errors else "failed: " + "; ".join(report.errors)),
    ]
    return markdown_table(("what", "figure"), lines)


def _dispatcher_table(report: Report) -> str:
    target = report.target
    by_load = target.peak_starts_per_s * report.start_us / 1e6 / MAX_SERVING_SHARE
    lines = [
        ("work of serving one task, of a subset, at the target", f"{format_number(report.start_us)} us"),
        ("starts a second that half a core bears", format_number(1e6 * MAX_SERVING_SHARE / report.start_us)),
        (f"dispatchers for {target.peak_starts_per_s:g} starts a second", format_number(by_load)),
        (
            f"dispatchers for {target.zones} zones, {MIN_DISPATCHERS_PER_ZONE} each",
            str(MIN_DISPATCHERS_PER_ZONE * target.zones),
        ),
        ("dispatchers at the target: the greater", str(report.dispatchers)),
        ("on each of the machines set aside", format_number(report.dispatchers / target.machines)),
    ]
    return markdown_table(("what", "figure"), lines)


def _row_cells(report: Report, row: Row) -> tuple[str, ...]:
    slope = report.slopes.get(row.slope)
    formula = MISSING if slope is None else f"`{row.slope}` = {slope.text}"
    errors = ("", "") if slope is None else (f"{slope.fit_error:.0%}", f"{slope.held_out_error:.0%}")
    return (
        row.role, row.aspect.value, row.unit, format_number(row.today), format_number(row.at_target),
        format_number(row.at_half), format_number(row.at_twice), formula, *errors, row.mechanism,
        format_number(row.budget), format_number(row.factor),
    )  # fmt: skip


_ROW_HEADER = (
    "role", "of it", "unit", "today", "target", "half the dispatchers", "twice", "slope", "fit error",
    "held-out error", "carried by", "budget", "factor",
)  # fmt: skip


def _row_table(report: Report) -> str:
    return markdown_table(_ROW_HEADER, [_row_cells(report, row) for row in report.rows])


def _total_table(report: Report) -> str:
    header = ("all of control", "unit", "budget", "holding all nodes", "factor", "with a subset", "factor")
    pairs = zip(report.totals, report.totals_with, strict=True)
    return markdown_table(
        header,
        [
            (
                complete.aspect.value, complete.unit, format_number(complete.budget),
                format_number(complete.at_target), format_number(complete.factor),
                format_number(subset.at_target), format_number(subset.factor),
            )
            for complete, subset in pairs
        ],
    )  # fmt: skip


def _subset_table(report: Report) -> str:
    changed = [row for row in report.rows_with if row.slope.endswith(SUBSET_SUFFIX)]
    return markdown_table(_ROW_HEADER, [_row_cells(report, row) for row in changed])


def _missing_feature_table(report: Report) -> str:
    return markdown_table(
        ("role", "wanted", "mechanism", "what it would need"),
        [(feature.role, feature.requirement, MISSING, feature.remedy) for feature in MISSING_FEATURES],
    )


def _slope_table(report: Report) -> str:
    def points(slope: Slope) -> str:
        return ", ".join(f"{point.x:g}: {format_number(point.y)}" for point in slope.points)

    header = (
        "slope",
        "quantity",
        "unit",
        "variable",
        "curve",
        "points",
        "held out",
        "predicted",
        "fit error",
        "held-out error",
    )
    lines = [
        (
            f"`{slope.name}`", slope.quantity, slope.unit, slope.variable, slope.text, points(slope),
            f"{slope.held_out.x:g}: {format_number(slope.held_out.y)}", format_number(slope.at(slope.held_out.x)),
            f"{slope.fit_error:.0%}", f"{slope.held_out_error:.0%}",
        )
        for slope in report.slopes.values()
    ]  # fmt: skip
    return markdown_table(header, lines)


def _fault_table(report: Report) -> str:
    target, slopes = report.target, report.slopes
    nodes = target.nodes

    def costs_at(name: str) -> tuple[float, float]:
        every = slopes[name].at(nodes)
        return every, slopes[name + SUBSET_SUFFIX].at(nodes) if name + SUBSET_SUFFIX in slopes else every

    change_us, reload_us = costs_at("list_change_us"), costs_at("reload_us")
    burst_changes = 3 * target.replacements_a_day
    rate = target.list_changes_per_s
    cases: list[tuple[str, str, tuple[float, float]]] = [
        (f"a zone is lost: {target.nodes_per_zone} nodes at once", "ms", costs_at("zone_lost_ms")),
        ("it returns, cold", "ms", costs_at("zone_back_ms")),
        (
            f"{target.replacements_a_day:,} replacements in a burst",
            "ms",
            (change_us[0] * burst_changes / 1e3, change_us[1] * burst_changes / 1e3),
        ),
        ("the same spread over the day", "us/s", (change_us[0] * rate, change_us[1] * rate)),
        (f"start with a list of {nodes:,}, until it serves", "ms", costs_at("start_ms")),
        ("start, work until all its nodes are called", "ms", costs_at("start_cpu_ms")),
        ("a change of configuration during each, beside it", "ms", (reload_us[0] / 1e3, reload_us[1] / 1e3)),
        (f"{target.configuration_changes_a_day:,} changes of configuration a day", "us/s", (
            reload_us[0] * target.configuration_changes_a_day / SECONDS_PER_DAY,
            reload_us[1] * target.configuration_changes_a_day / SECONDS_PER_DAY,
        )),
    ]  # fmt: skip
    lines = [
        (name, unit, format_number(complete), format_number(subset))
        for name, unit, (complete, subset) in cases
    ]
    return markdown_table(("trouble", "unit", "holding all nodes", "with a subset"), lines)


def _mechanism_table(report: Report) -> str:
    mechanism = report.mechanism
    if mechanism is None:
        return "Every budget holds.\n"
    lines = [
        ("mechanism", mechanism.name),
        ("row", f"{mechanism.role}, {mechanism.row}, {mechanism.unit}"),
        ("slope before, after", f"{mechanism.slope_before}; {mechanism.slope_after}"),
        (
            "at the target before, after",
            f"{format_number(mechanism.before)}; {format_number(mechanism.after)}",
        ),
        ("budget", format_number(mechanism.budget)),
        (
            "factor before, after",
            f"{format_number(mechanism.factor_before)}; {format_number(mechanism.factor_after)}",
        ),
    ]
    return markdown_table(("what", "figure"), lines)


TABLES: dict[str, Callable[[Report], str]] = {
    "run": _run_table,
    "dispatchers": _dispatcher_table,
    "rows": _row_table,
    "totals": _total_table,
    "subset": _subset_table,
    "troubles": _fault_table,
    "missing": _missing_feature_table,
    "mechanism": _mechanism_table,
    "slopes": _slope_table,
}


def render(text: str, report: Report) -> str:
    """Returns the page with all its tables replaced.

    Raises ``CapacityError`` if the page does not contain each known table exactly once, or contains an unknown one.
    """
    present = [match[2] for match in _TABLE_MARKER.finditer(text)]
    if sorted(present) != sorted(TABLES):
        raise CapacityError(
            f"the page has the tables {', '.join(sorted(present))}, expected {', '.join(sorted(TABLES))}"
        )
    return _TABLE_MARKER.sub(lambda match: f"{match[1]}{TABLES[match[2]](report)}{match[3]}", text)
