"""The commands that query a dispatcher, or its whole fleet, with SQL through its control socket."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import click

from thornshelf.cli.options import exit_with_error

if TYPE_CHECKING:
    from thornshelf.shell.engine import QueryLimits, QueryResult

_EXIT_COMPLETE = 0
_EXIT_BAD_QUERY = 1
_EXIT_NO_ANSWER = 2
_EXIT_INCOMPLETE = 3
_EXIT_LIMIT = 4


def _query_options(command: Any) -> Any:
    """Add the options of both commands: the socket, the scope and the limits of a query."""
    for option in (
        click.option(
            "--at", "place", required=True, type=click.Path(), help="The dispatcher's control socket."
        ),
        click.option(
            "--fleet/--here",
            default=None,
            help="Query all members, or this one alone; by default all if it is in a fleet.",
        ),
        click.option("--seconds", type=click.FloatRange(0.1, 600), default=10.0, show_default=True),
        click.option("--rows", type=click.IntRange(1, 1_000_000), default=10_000, show_default=True),
    ):
        command = option(command)
    return command


@click.command()
@_query_options
def shell(place: str, fleet: bool | None, seconds: float, rows: int) -> None:
    """Query a dispatcher, or its whole fleet, line by line."""
    from thornshelf.errors import ThornshelfError
    from thornshelf.shell.engine import QueryLimits
    from thornshelf.shell.prompt import run

    try:
        sys.exit(run(place, QueryLimits(seconds, rows), fleet))
    except ThornshelfError as error:
        exit_with_error(error, _EXIT_NO_ANSWER)


@click.command()
@_query_options
@click.option("--json", "output_format", flag_value="json", help="Print one JSON object.")
@click.option(
    "--csv", "output_format", flag_value="csv", help="Print CSV; the summary goes to standard error."
)
@click.argument("sql")
def query(
    place: str, fleet: bool | None, seconds: float, rows: int, output_format: str | None, sql: str
) -> None:
    """Run one SELECT, or a saved query by its name.

    Exit code: 0 complete, 1 invalid SQL, 2 no dispatcher answered, 3 rows of some members are missing, 4 a limit of
    time or rows was exceeded.
    """
    from thornshelf.shell.engine import QueryLimits

    result = _run_query(place, QueryLimits(seconds, rows), fleet, sql)
    _print_result(result, output_format)
    if result.truncation:
        sys.exit(_EXIT_LIMIT)
    sys.exit(_EXIT_INCOMPLETE if result.summary.missing else _EXIT_COMPLETE)


def _run_query(place: str, limits: QueryLimits, fleet: bool | None, sql: str) -> QueryResult:
    from thornshelf.errors import QueryError, QueryLimitError, ThornshelfError
    from thornshelf.shell import saved_queries
    from thornshelf.shell.client import ControlClient
    from thornshelf.shell.engine import QueryEngine

    try:
        with ControlClient(place, limits.timeout_s) as client:
            engine = QueryEngine(client, limits)
            text = (
                saved_queries.QUERIES_BY_NAME[sql].sql
                if sql in saved_queries.QUERIES_BY_NAME
                else sql.strip().rstrip(";")
            )
            return engine.query(text, engine.catalog.in_fleet if fleet is None else fleet)
    except QueryError as error:
        exit_with_error(error, _EXIT_BAD_QUERY)
    except QueryLimitError as error:
        exit_with_error(error, _EXIT_LIMIT)
    except ThornshelfError as error:
        exit_with_error(error, _EXIT_NO_ANSWER)


def _print_result(result: QueryResult, output_format: str | None) -> None:
    from thornshelf.shell import output

    if output_format == "json":
        click.echo(output.as_json(result))
        return
    if output_format == "csv":
        click.echo(output.as_csv(result), nl=False)
    else:
        from rich.console import Console

        from thornshelf.shell.prompt import OUTPUT_WIDTH

        width = None if sys.stdout.isatty() else OUTPUT_WIDTH
        Console(highlight=False, width=width).print(output.render_table(result))
    click.echo("\n".join(output.summary_lines(result)), err=True)
