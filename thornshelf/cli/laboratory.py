"""The experiments: dispatchers under load and faults, with fake nodes and clients on loopback."""

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
    """Experiments with fake nodes and clients on loopback (needs the extra 'lab')."""


@lab.command()
def show() -> None:
    """The main job: old and new clients, new nodes, and what each of them receives."""
    from thornshelf.lab.show import show as play

    sys.exit(0 if play(click.echo) else EXIT_FAILED)


@lab.command()
@seed_option
@click.option("--tasks", type=click.IntRange(4), default=5200, show_default=True, help="Over all pairings.")
@click.option("--seconds", type=click.FloatRange(4, 600), default=22.0, show_default=True, help="Of load.")
@fault_option("double-start", "drop-answer", "silent-hint")
@click.option("--calm", is_flag=True, help="Without faults.")
@json_option
@click.option("--report", type=click.Path(path_type=Path, dir_okay=False), help="Write an HTML report there.")
def translation(
    seed: int, tasks: int, seconds: float, fault: str | None, calm: bool, as_json: bool, report: Path | None
) -> None:
    """Old clients against new nodes and the other pairings, across a mass resubmission with faults."""
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
    """A flood of connections, while two known clients are served as before."""
    from thornshelf.lab import admission as experiment

    result = experiment.run(seed, admission_control == "on", fault)
    exit_with_result(result, experiment.passed(result), as_json)


lab.add_command(hidden_alias(admission, "door"))


@lab.command()
@seed_option
@click.option("--handovers", type=click.IntRange(1, 100), default=10, show_default=True)
@json_option
def restart(seed: int, handovers: int, as_json: bool) -> None:
    """Hand-overs of the listening sockets under load."""
    from thornshelf.lab import restart as experiment

    result = experiment.run(seed, handovers)
    exit_with_result(result, experiment.passed(result), as_json)


@lab.command()
@seed_option
@click.option("--short", is_flag=True, help="Small sizes, within a minute.")
@fault_option("all-to-all", "leak", "hold-all")
@json_option
@click.option(
    "--page",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    help="Write capacity.json, its chart, and the tables of CAPACITY.md in this folder.",
)
def scale(seed: int, short: bool, fault: str | None, as_json: bool, page: Path | None) -> None:
    """Hollow nodes and dispatchers beside real ones: what each role costs by size, and at the target."""
    from thornshelf.capacity import report as results
    from thornshelf.lab.scale.output import Progress, write
    from thornshelf.lab.scale.run import FULL, SHORT, run

    with Progress(not as_json) as progress:
        found = run(seed, SHORT if short else FULL, fault, progress.say)
    if page is not None:
        write(found, page)
    exit_with_result(results.last_line(found), not found.errors, as_json)


@lab.command("members-at-size")
@click.option("--members", type=click.IntRange(3, 4096), default=230, show_default=True)
@seed_option
@json_option
@click.option(
    "--plot", type=click.Path(path_type=Path, dir_okay=False), help="Write a picture against size there."
)
def members_at_size(members: int, seed: int, as_json: bool, plot: Path | None) -> None:
    """The membership protocol alone in virtual time: joins, crashes, a partition and its end; beside 16 members."""
    from thornshelf.lab import membership as experiment

    result = experiment.run(members, seed, plot)
    exit_with_result(result, experiment.passed(result), as_json)


@lab.command("shell")
@seed_option
@fault_option("silent-gap")
@json_option
def shell_queries(seed: int, fault: str | None, as_json: bool) -> None:
    """Six processes under faults: their answers against what the fakes know; and what 20 queries a second cost."""
    from thornshelf.lab import shell as experiment

    result = experiment.run(seed, fault)
    exit_with_result(result, experiment.passed(result), as_json)


@lab.command("fleet-view")
@seed_option
@fault_option("no-refute", "no-heal", "trust-liar", "replay")
@json_option
def fleet_view(seed: int, fault: str | None, as_json: bool) -> None:
    """Twelve processes through joins, kills, stalls, one-way links, a liar, a silent list and a partition."""
    from thornshelf.lab import fleet as experiment

    result = experiment.run(seed, fault)
    exit_with_result(result, experiment.passed(result), as_json)
