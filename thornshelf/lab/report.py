"""HTML report of the translation experiment: its figures, and the distribution of latencies by pairing."""

from __future__ import annotations

import base64
import io
import json
from pathlib import Path
from typing import Any

import jinja2
import matplotlib

matplotlib.use("Agg")
from hdrh.histogram import HdrHistogram
from matplotlib import pyplot

from thornshelf.lab.translation import Result

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ title }}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}
td:first-child,th:first-child{text-align:left}.bad{color:#b00020}</style>
<h1>{{ title }}</h1>
<p class="{{ '' if passed else 'bad' }}">{{ 'Passed' if passed else 'NOT passed' }}: {{ report.tasks }} tasks,
{{ report.asked }} requests, lost {{ report.lost }}, doubled {{ report.doubled }},
most starts of one ledger batch {{ report.ledger_batch_max_starts }}.</p>
<table><tr><th>pairing</th><th>tasks</th><th>requests</th>{% for name in outcomes %}<th>{{ name }}</th>{% endfor %}
<th>lost</th><th>doubled</th><th>CPU per request</th></tr>
{% for result in results %}<tr><td>{{ result.name }}</td><td>{{ result.tasks }}</td><td>{{ result.asked }}</td>
{% for name in outcomes %}<td>{{ result.outcomes.get(name, 0) }}</td>{% endfor %}<td>{{ result.lost }}</td>
<td>{{ result.doubled }}</td><td>{{ '%.0f' % result.cpu_us_a_task }} us</td></tr>{% endfor %}</table>
<h2>Time from a request to its binding</h2><img alt="latencies" src="data:image/png;base64,{{ plot }}">
<h2>Figures</h2><pre>{{ figures }}</pre></html>"""


def plot(results: list[Result]) -> bytes:
    """Return a PNG of the fraction of lookups that took longer than a time, on logarithmic axes."""
    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    fractions = [1 - 10 ** (-step / 20) for step in range(61)]
    for result in results:
        histogram = HdrHistogram.decode(result.histogram)
        latencies_ms = [histogram.get_value_at_percentile(100 * fraction) / 1000 for fraction in fractions]
        axes.plot(latencies_ms, [1 - fraction for fraction in fractions], label=result.name)
    axes.axvline(800, color="grey", linestyle=":", label="target, 800 ms")
    axes.set(xscale="log", yscale="log", xlabel="milliseconds", ylabel="fraction that took longer")
    axes.legend()
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format="png", dpi=110)
    pyplot.close(figure)
    return buffer.getvalue()


def write(path: Path, title: str, results: list[Result], report: dict[str, Any], passed: bool) -> None:
    """Write the report as one HTML file; ``report``: the summary of all results."""
    page = jinja2.Environment(autoescape=True).from_string(PAGE)
    outcomes = sorted({outcome for result in results for outcome in result.outcomes})
    encoded_plot = base64.b64encode(plot(results)).decode()
    figures = json.dumps(report, indent=1)
    path.write_text(
        page.render(
            title=title,
            results=results,
            report=report,
            passed=passed,
            outcomes=outcomes,
            plot=encoded_plot,
            figures=figures,
        )
    )
