"""Output of a scale run: progress on the terminal, the JSON report, the tables of the page, and a chart."""

from __future__ import annotations

import math
from pathlib import Path
from types import TracebackType

from rich.console import Console

from thornshelf.capacity.page import render
from thornshelf.capacity.report import SUBSET_SUFFIX, Report, encode
from thornshelf.capacity.rows import Row

REPORT_FILE, PAGE_FILE, CHART_FILE = "capacity.json", "CAPACITY.md", "capacity.svg"
CURVE_STEPS = 60  # points per drawn curve


class Progress:
    """A status line on standard error; nothing unless ``shown`` and standard error is a terminal."""

    def __init__(self, shown: bool) -> None:
        self._console = Console(stderr=True)
        self._status = self._console.status("scale run") if shown and self._console.is_terminal else None

    def __enter__(self) -> Progress:
        if self._status is not None:
            self._status.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self._status is not None:
            self._status.stop()

    def say(self, text: str) -> None:
        """Replace the text of the status line."""
        if self._status is not None:
            self._status.update(text)


def write(report: Report, folder: Path) -> None:
    """Write the report, the tables of the page and the chart into a folder that has the page."""
    page = folder / PAGE_FILE
    text = render(page.read_text(), report)
    (folder / REPORT_FILE).write_bytes(encode(report))
    page.write_text(text)
    draw_chart(report, folder / CHART_FILE)


def draw_chart(report: Report, path: Path) -> None:
    """Plot measurements, fitted curves, target and budget of each row that has a budget."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "capacity"  # makes the file reproducible
    from matplotlib import pyplot

    rows = [row for row in report.rows if row.budget is not None]
    columns = math.ceil(len(rows) / 3)
    figure, axes = pyplot.subplots(3, columns, figsize=(4.6 * columns, 10), constrained_layout=True)
    for axis in axes.flat[len(rows) :]:
        axis.set_visible(False)
    for row, axis in zip(rows, axes.flat, strict=False):
        _draw_row_chart(report, row, axis)
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _draw_row_chart(report: Report, row: Row, axis: object) -> None:
    from matplotlib.axes import Axes

    assert isinstance(axis, Axes)
    for name, color in ((row.slope, "tab:blue"), (row.slope + SUBSET_SUFFIX, "tab:green")):
        slope = report.slopes.get(name)
        if slope is None:
            continue
        target = _target_value(report, slope.variable)
        points = [*slope.points, slope.held_out]
        axis.plot([point.x for point in points], [point.y * row.rate for point in points], "o", color=color)
        max_x = max(points[-1].x, target)
        xs = [max_x * (step + 1) / CURVE_STEPS for step in range(CURVE_STEPS)]
        axis.plot(xs, [slope.at(x) * row.rate for x in xs], "-", color=color, label=name)
        axis.axvline(target, color="grey", linestyle=":")
    if row.budget is not None:
        axis.axhline(row.budget, color="tab:red", label="budget of all control")
    axis.set_title(f"{row.role}: {row.aspect.value}, {row.unit}", fontsize=9)
    axis.set_xscale("log")
    axis.set_yscale("symlog")
    axis.legend(fontsize=7)


def _target_value(report: Report, variable: str) -> float:
    return {
        "nodes": float(report.target.nodes),
        "dispatchers": float(report.dispatchers),
        "standing": report.target.standing / report.dispatchers,
    }[variable]
