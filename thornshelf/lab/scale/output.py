"""What a scale run leaves: progress on a terminal, the file, the page's tables, and the chart beside it."""

from __future__ import annotations

import math
from pathlib import Path
from types import TracebackType

from rich.console import Console

from thornshelf.capacity.page import render
from thornshelf.capacity.report import SUBSET_SUFFIX, Report, encode
from thornshelf.capacity.rows import Row

FILE, PAGE, CHART = "capacity.json", "CAPACITY.md", "capacity.svg"
STEPS = 60  # points of a drawn curve


class Progress:
    """One line of what is going on; nothing where the output is no terminal, or only JSON is wanted."""

    def __init__(self, shown: bool) -> None:
        self._console = Console(stderr=True)
        self._status = self._console.status("scale run") if shown and self._console.is_terminal else None

    def __enter__(self) -> Progress:
        if self._status is not None:
            self._status.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self._status is not None:
            self._status.stop()

    def say(self, text: str) -> None:
        """What is going on now."""
        if self._status is not None:
            self._status.update(text)


def write(report: Report, folder: Path) -> None:
    """The file, the page's tables and the chart: one run makes all three."""
    page = folder / PAGE
    text = render(page.read_text(), report)
    (folder / FILE).write_bytes(encode(report))
    page.write_text(text)
    draw(report, folder / CHART)


def draw(report: Report, path: Path) -> None:
    """Measured points, curve, target and budget of each row with a budget."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "capacity"  # the same report gives the same file
    from matplotlib import pyplot

    rows = [row for row in report.rows if row.budget is not None]
    wide = math.ceil(len(rows) / 3)
    figure, axes = pyplot.subplots(3, wide, figsize=(4.6 * wide, 10), constrained_layout=True)
    for axis in axes.flat[len(rows) :]:
        axis.set_visible(False)
    for row, axis in zip(rows, axes.flat, strict=False):
        _draw_row(report, row, axis)
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _draw_row(report: Report, row: Row, axis: object) -> None:
    from matplotlib.axes import Axes

    assert isinstance(axis, Axes)
    for name, colour in ((row.slope, "tab:blue"), (row.slope + SUBSET_SUFFIX, "tab:green")):
        slope = report.slopes.get(name)
        if slope is None:
            continue
        target = _target(report, slope.variable)
        points = [*slope.points, slope.held_out]
        axis.plot([one.x for one in points], [one.y * row.rate for one in points], "o", color=colour)
        most = max(points[-1].x, target)
        places = [most * (step + 1) / STEPS for step in range(STEPS)]
        axis.plot(places, [slope.at(x) * row.rate for x in places], "-", color=colour, label=name)
        axis.axvline(target, color="grey", linestyle=":")
    if row.budget is not None:
        axis.axhline(row.budget, color="tab:red", label="budget of all control")
    axis.set_title(f"{row.role}: {row.aspect.value}, {row.unit}", fontsize=9)
    axis.set_xscale("log")
    axis.set_yscale("symlog")
    axis.legend(fontsize=7)


def _target(report: Report, variable: str) -> float:
    return {
        "nodes": float(report.target.nodes),
        "dispatchers": float(report.dispatchers),
        "standing": report.target.standing / report.dispatchers,
    }[variable]
