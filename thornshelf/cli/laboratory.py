"""The commands of the lab: dispatchers under load and faults, with fake nodes and clients on loopback."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from thornshelf.cli.options import (
    EXIT_FAILED,
    AliasedOption,
    exit_with_result,
    fault_option,
    hidden_alias,
    json_option,
    seed_option,
)


@click.group()
def lab() -> None:
    """Run experiments with fake nodes and clients on loopback (needs the extra 'lab')."""


@lab.command()
def show() -> None:
    """Show old and new clients with new nodes, and what each of them receives."""
    from thornshelf.lab.show import show as play

    sys.exit(0 if play(click.echo) else EXIT_FAILED)


@lab.command()
@seed_option
@click.option(
    "--tasks",
    type=click.IntRange(4),
    default=5200,
    show_default=True,
    help="Number of tasks, over all pairings.",
)
@click.option(
    "--seconds", type=click.FloatRange(4, 600), default=22.0, show_default=True, help="Duration of the load."
)
@fault_option("double-start", "drop-answer", "silent-hint")
@click.option("--calm", is_flag=True, help="Run without faults.")
@json_option
@click.option(
    "--report", type=click.Path(path_type=Path, dir_okay=False), help="Write an HTML report to this file."
)
def translation(
    seed: int, tasks: int, seconds: float, fault: str | None, calm: bool, as_json: bool, report: Path | None
) -> None:
    """Load old and new clients and nodes in all pairings.

    The load includes a mass resubmission of tasks, with faults.
    """
    from thornshelf.lab import translation as experiment

    results = experiment.experiment(seed, tasks, seconds, fault, not calm)
    summary: dict[str, Any] = {"seed": seed} | experiment.summary(results)
    passed = experiment.passed(summary)
    if report is not None:
        from thornshelf.lab.report import write

        write(report, f"Translation, seed {seed}", results, summary, passed)
    if not as_json:
        for line in experiment.lines(results):
            click.echo(line)
    click.echo(json.dumps(summary))
    sys.exit(0 if passed else EXIT_FAILED)


@lab.command()
@seed_option
@click.option(
    "--admission",
    "--door",
    "admission_control",
    cls=AliasedOption,
    type=click.Choice(["on", "off"]),
    default="on",
    show_default=True,
)
@fault_option("no-reserve")
@json_option
def admission(seed: int, admission_control: str, fault: str | None, as_json: bool) -> None:
    """Flood a dispatcher with connections, and check that two known clients are served as before."""
    from thornshelf.lab import admission as experiment

    result = experiment.run(seed, admission_control == "on", fault)
    exit_with_result(result, experiment.passed(result), as_json)


lab.add_command(hidden_alias(admission, "door"))


@lab.command()
@seed_option
@click.option("--handovers", type=click.IntRange(1, 100), default=10, show_default=True)
@json_option
def restart(seed: int, handovers: int, as_json: bool) -> None:
    """Hand over the listening sockets to successors under load."""
    from thornshelf.lab import restart as experiment

    result = experiment.run(seed, handovers)
    exit_with_result(result, experiment.passed(result), as_json)


@lab.command()
@seed_option
@click.option("--short", is_flag=True, help="Only small sizes; takes less than a minute.")
@fault_option("all-to-all", "leak", "hold-all")
@json_option
@click.option(
    "--page",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    help="Write capacity.json, its chart, and the tables of CAPACITY.md to this folder.",
)
def scale(seed: int, short: bool, fault: str | None, as_json: bool, page: Path | None) -> None:
    """Measure what each role costs by fleet size, and at the target, with hollow nodes and dispatchers."""
    from thornshelf.capacity import report as capacity_report
    from thornshelf.lab.scale.output import Progress, write
    from thornshelf.lab.scale.run import FULL, SHORT, run

    with Progress(not as_json) as progress:
        result = run(seed, SHORT if short else FULL, fault, progress.say)
    if page is not None:
        write(result, page)
    exit_with_result(capacity_report.last_line(result), not result.errors, as_json)


@lab.command("members-at-size")
@click.option("--members", type=click.IntRange(3, 4096), default=230, show_default=True)
@seed_option
@json_option
@click.option(
    "--plot", type=click.Path(path_type=Path, dir_okay=False), help="Write a chart by size to this file."
)
def members_at_size(members: int, seed: int, as_json: bool, plot: Path | None) -> None:
    """Run the membership protocol alone, in virtual time.

    It goes through joins, crashes, a partition and its end, and is compared with a run of 16 members.
    """
    from thornshelf.lab import membership as experiment

    result = experiment.run(members, seed, plot)
    exit_with_result(result, experiment.passed(result), as_json)


@lab.command("shell")
@seed_option
@fault_option("silent-gap")
@json_option
def shell_queries(seed: int, fault: str | None, as_json: bool) -> None:
    """Query six processes under faults.

    Their answers are compared with what the fake nodes and clients counted, and the cost of 20 queries a second is
    measured.
    """
    from thornshelf.lab import shell as experiment

    result = experiment.run(seed, fault)
    exit_with_result(result, experiment.passed(result), as_json)


@lab.command("fleet-view")
@seed_option
@fault_option("no-refute", "no-heal", "trust-liar", "replay")
@json_option
def fleet_view(seed: int, fault: str | None, as_json: bool) -> None:
    """Run a fleet of twelve processes through faults.

    The faults are joins, kills, stalls, one-way links, false reports, an endpoint list that does not respond, and a
    partition.
    """
    from thornshelf.lab import fleet as experiment

    result = experiment.run(seed, fault)
    exit_with_result(result, experiment.passed(result), as_json)
