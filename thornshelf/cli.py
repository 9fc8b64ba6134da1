"""The command line. ``python -m thornshelf [OPERATOR_FILE]`` serves without loading any of this."""

from __future__ import annotations

import json
import os
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from thornshelf import __version__
from thornshelf.configuration import ConfigError, read_config


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="thornshelf")
def cli() -> None:
    """A dispatcher of long-lived tasks that lets old clients reach new servers.

    Without a command, `python -m thornshelf [OPERATOR_FILE]` serves. LB_CONFIG names the configuration.
    """


@cli.command()
@click.argument("operator_file", required=False)
def serve(operator_file: str | None) -> None:
    """Serve until told to end."""
    from thornshelf.start import serve as run

    sys.exit(run(operator_file))


@cli.command("check-config")
@click.argument("operator_file", required=False)
def check_config(operator_file: str | None) -> None:
    """Read the configuration as a start would, and say what is in force."""
    try:
        config = read_config(os.environ, operator_file)
    except ConfigError as fault:
        click.echo(f"thornshelf: {fault} [{fault.code}]", err=True)
        sys.exit(2)
    click.echo(
        f"name {config.name}, listen {config.listen[0]}:{config.listen[1]}, sockets {config.max_descriptors}"
    )
    if (fleet := config.fleet) is not None:
        click.echo(
            f"fleet {fleet.membership.fleet} as {config.name}, {len(fleet.membership.seeds)} seeds; used for: "
        )
        click.echo("  " + (", ".join(sorted(fleet.policies)) or "nothing"))
    if (control := config.control) is not None:
        click.echo(f"control socket {control.socket}, {control.readers} shells, {control.history} steps kept")
    click.echo(f"gRPC {'at ' + '%s:%d' % config.grpc.listen if config.grpc.listen else 'off'}")
    if config.admission is not None:
        door = config.admission.controller
        click.echo(
            f"door on; {door.reserved_connections.reserved} of {door.reserved_connections.capacity} connections are kept for known counties"
        )
        for rule in door.rules:
            click.echo(f"  {rule.name}{', known' if rule.known else ''}: {rule.prefix_limits}")
        click.echo(f"  order by share {'on' if config.fair_queue else 'off'}")
    if (terms := config.translation) is None:
        click.echo("translation layer off")
        return
    click.echo("translation layer on; nodes speak " + ", ".join(form.value for form in terms.default_formats))
    for name, forms in sorted(terms.node_formats.items()):
        click.echo(f"  {name}: " + ", ".join(form.value for form in forms))
    for name, policy in sorted(terms.missing_field_policies.items()):
        assumed = f" of {policy.assumed_hint_us // 1000} ms" if policy.assumed_hint_us else ""
        click.echo(f"  class {name}: a missing hint is {policy.on_missing_hint.value}d{assumed}")
    click.echo(f"  retry budget {'on' if terms.limits_retries else 'off'}")


@cli.command()
def schema() -> None:
    """Print the schema of the operator's file (JSON Schema)."""
    from thornshelf import schema as tables

    click.echo(tables.text())


@cli.command()
@click.option("--check", is_flag=True, help="Only look for fields without a declared fate.")
def fates(check: bool) -> None:
    """Print what becomes of each field and word between the forms."""
    from thornshelf.translation import field_mapping_audit

    if missing := field_mapping_audit.find_problems():
        click.echo("\n".join(missing), err=True)
        sys.exit(1)
    if not check:
        click.echo(field_mapping_audit.render_page(), nl=False)


@cli.command()
@click.argument("code", required=False)
@click.option("--page", is_flag=True, help="All of them, as docs/errors.md.")
def explain(code: str | None, page: bool) -> None:
    """What the code of an error means, and what can be done about it."""
    from thornshelf import errors

    if page:
        click.echo(errors.render_page(), nl=False)
        return
    for one in [code] if code else sorted(errors.ERRORS_BY_CODE):
        text = errors.explain(one)
        if text is None:
            click.echo(f"no error has the code {one}; `thornshelf explain` lists all", err=True)
            sys.exit(2)
        click.echo(text if code else text.splitlines()[0])


def _limits(function: Any) -> Any:
    """The options of whatever asks a dispatcher."""
    for option in (
        click.option(
            "--at", "place", required=True, type=click.Path(), help="The dispatcher's control socket."
        ),
        click.option(
            "--fleet/--here", default=None, help="Ask all members, or this one; all where it has a fleet."
        ),
        click.option("--seconds", type=click.FloatRange(0.1, 600), default=10.0, show_default=True),
        click.option("--rows", type=click.IntRange(1, 1_000_000), default=10_000, show_default=True),
    ):
        function = option(function)
    return function


@cli.command()
@_limits
def shell(place: str, fleet: bool | None, seconds: float, rows: int) -> None:
    """Ask a dispatcher, or its whole fleet, line by line."""
    from thornshelf.errors import ThornshelfError
    from thornshelf.shell.engine import QueryLimits
    from thornshelf.shell.prompt import run

    try:
        sys.exit(run(place, QueryLimits(seconds, rows), fleet))
    except ThornshelfError as fault:
        click.echo(f"thornshelf: {fault} [{fault.code}]\nWhat to do: {fault.remedy}", err=True)
        sys.exit(2)


@cli.command()
@_limits
@click.option("--json", "form", flag_value="json", help="One JSON object.")
@click.option("--csv", "form", flag_value="csv", help="CSV; what is missing goes to standard error.")
@click.argument("sql")
def query(place: str, fleet: bool | None, seconds: float, rows: int, form: str | None, sql: str) -> None:
    """Run one SELECT, or a ready query by its name.

    Exit code: 0 all told, 1 the SQL is at fault, 2 no dispatcher answered, 3 some member told nothing or not all,
    4 a bound of time or rows was met.
    """
    from thornshelf.errors import QueryError, QueryLimitError, ThornshelfError
    from thornshelf.shell import output, saved_queries
    from thornshelf.shell.client import ControlClient
    from thornshelf.shell.engine import QueryEngine, QueryLimits

    try:
        with ControlClient(place, seconds) as client:
            engine = QueryEngine(client, QueryLimits(seconds, rows))
            text = (
                saved_queries.QUERIES_BY_NAME[sql].sql
                if sql in saved_queries.QUERIES_BY_NAME
                else sql.strip().rstrip(";")
            )
            result = engine.query(text, engine.catalog.in_fleet if fleet is None else fleet)
    except ThornshelfError as fault:
        click.echo(f"thornshelf: {fault} [{fault.code}]\nWhat to do: {fault.remedy}", err=True)
        sys.exit(1 if isinstance(fault, QueryError) else 4 if isinstance(fault, QueryLimitError) else 2)
    if form == "json":
        click.echo(output.as_json(result))
    elif form == "csv":
        click.echo(output.as_csv(result), nl=False)
    else:
        from rich.console import Console

        from thornshelf.shell.prompt import OUTPUT_WIDTH

        width = None if sys.stdout.isatty() else OUTPUT_WIDTH
        Console(highlight=False, width=width).print(output.render_table(result))
    if form != "json":
        click.echo("\n".join(output.summary_lines(result)), err=True)
    sys.exit(4 if result.truncation else 3 if result.summary.missing else 0)


@cli.group()
def record() -> None:
    """Look at a dispatcher's record; nothing is changed."""


@record.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
def inspect(file: Path) -> None:
    """Print the entries, and what a start would know by them."""
    _read_record(file, click.echo)


@record.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
def verify(file: Path) -> None:
    """Say whether all of it can be read; exit 1 where its tail is torn, 2 where it is of a newer version."""
    _read_record(file, lambda _: None)


def _read_record(file: Path, say: Callable[[str], object]) -> None:
    from thornshelf.wal import entries
    from thornshelf.wal.recovered_state import RecoveredState

    memory, count, torn = RecoveredState(), 0, None
    try:
        for one in entries.read_frames(file.read_bytes()):
            if isinstance(one, entries.TornTail):
                torn = one
            else:
                say(f"{one[0]:>10} {one[1]}")
                memory.apply(one[1])
                count += 1
    except entries.UnsupportedVersionError as fault:
        click.echo(f"{file}: {fault}", err=True)
        sys.exit(2)
    states = Counter(task.status.value for task in memory.by_uid.values())
    click.echo(
        f"{count} entries, epoch {memory.epoch}, {dict(states)}, {'clean' if memory.clean_shutdown else 'not ended in order'}"
    )
    if torn is not None:
        click.echo(f"torn at byte {torn.offset}: {torn.reason}", err=True)
        sys.exit(1)


def _verdict(said: dict[str, Any], good: bool, as_json: bool) -> None:
    """An experiment's figures, as JSON in the last line, and its exit code."""
    if not as_json:
        for name, value in said.items():
            click.echo(f"{name}: {value}")
    click.echo(json.dumps(said))
    sys.exit(0 if good else 1)


@cli.group()
def lab() -> None:
    """Experiments with stand-ins on loopback (needs the extra 'lab')."""


@lab.command()
def show() -> None:
    """The main job: old and new clients, new nodes, and what each of them hears."""
    from thornshelf.lab.show import show as play

    sys.exit(0 if play(click.echo) else 1)


@lab.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--tasks", type=click.IntRange(4), default=5200, show_default=True, help="Over all pairings.")
@click.option("--seconds", type=click.FloatRange(4, 600), default=22.0, show_default=True, help="Of load.")
@click.option(
    "--plant", type=click.Choice(["double-start", "drop-answer", "silent-hint"]), help="A planted fault."
)
@click.option("--calm", is_flag=True, help="Without faults.")
@click.option("--json", "as_json", is_flag=True, help="Only the JSON object.")
@click.option("--report", type=click.Path(path_type=Path, dir_okay=False), help="Write an HTML report there.")
def translation(
    seed: int, tasks: int, seconds: float, plant: str | None, calm: bool, as_json: bool, report: Path | None
) -> None:
    """Old clients against new nodes and the other pairings, across a mass resubmission with faults."""
    from thornshelf.lab import translation as experiment

    results = experiment.experiment(seed, tasks, seconds, plant, not calm)
    said: dict[str, Any] = {"seed": seed} | experiment.summary(results)
    good = experiment.passed(said)
    if report is not None:
        from thornshelf.lab.report import write

        write(report, f"Translation, seed {seed}", results, said, good)
    if not as_json:
        for line in experiment.lines(results):
            click.echo(line)
    click.echo(json.dumps(said))
    sys.exit(0 if good else 1)


@lab.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--door", type=click.Choice(["on", "off"]), default="on", show_default=True)
@click.option("--plant", type=click.Choice(["no-reserve"]), help="A planted fault.")
@click.option("--json", "as_json", is_flag=True, help="Only the JSON object.")
def door(seed: int, door: str, plant: str | None, as_json: bool) -> None:
    """A flood at the door, while two known counties go on as ever."""
    from thornshelf.lab import admission as experiment

    said = experiment.run(seed, door == "on", plant)
    _verdict(said, experiment.passed(said), as_json)


@lab.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--handovers", type=click.IntRange(1, 100), default=10, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Only the JSON object.")
def restart(seed: int, handovers: int, as_json: bool) -> None:
    """Hand-overs of the listening sockets under load."""
    from thornshelf.lab import restart as experiment

    said = experiment.run(seed, handovers)
    _verdict(said, experiment.passed(said), as_json)


@lab.command("scale")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--short", is_flag=True, help="Small sizes, within a minute.")
@click.option("--plant", type=click.Choice(["all-to-all", "leak", "hold-all"]), help="A planted fault.")
@click.option("--json", "as_json", is_flag=True, help="Only the JSON object.")
@click.option(
    "--page",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    help="Write capacity.json, its chart, and the tables of CAPACITY.md in this folder.",
)
def scale(seed: int, short: bool, plant: str | None, as_json: bool, page: Path | None) -> None:
    """Hollow nodes and dispatchers beside real ones: what each role costs by size, and at the target."""
    from thornshelf.capacity import report as results
    from thornshelf.lab.scale.output import Progress, write
    from thornshelf.lab.scale.run import FULL, SHORT, run

    with Progress(not as_json) as progress:
        found = run(seed, SHORT if short else FULL, plant, progress.say)
    if page is not None:
        write(found, page)
    _verdict(results.last_line(found), not found.errors, as_json)


@lab.command("members-at-size")
@click.option("--members", type=click.IntRange(3, 4096), default=230, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Only the JSON object.")
@click.option(
    "--plot", type=click.Path(path_type=Path, dir_okay=False), help="Write a picture against size there."
)
def members_at_size(members: int, seed: int, as_json: bool, plot: Path | None) -> None:
    """The view alone in virtual time: joins, crashes, a partition and its end; beside 16 members."""
    from thornshelf.lab import membership as experiment

    said = experiment.run(members, seed, plot)
    _verdict(said, experiment.passed(said), as_json)


@lab.command("shell")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--plant", type=click.Choice(["silent-gap"]), help="A planted fault.")
@click.option("--json", "as_json", is_flag=True, help="Only the JSON object.")
def lab_shell(seed: int, plant: str | None, as_json: bool) -> None:
    """Six processes under faults, asked for what the stand-ins know; and what 20 queries a second cost."""
    from thornshelf.lab import shell as experiment

    said = experiment.run(seed, plant)
    _verdict(said, experiment.passed(said), as_json)


@lab.command("fleet-view")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--plant",
    type=click.Choice(["no-refute", "no-heal", "trust-liar", "replay"]),
    help="A planted fault.",
)
@click.option("--json", "as_json", is_flag=True, help="Only the JSON object.")
def fleet_view(seed: int, plant: str | None, as_json: bool) -> None:
    """Twelve processes through joins, kills, stalls, one-way links, a liar, a silent list and a partition."""
    from thornshelf.lab import fleet as experiment

    said = experiment.run(seed, plant)
    _verdict(said, experiment.passed(said), as_json)
