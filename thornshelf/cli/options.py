"""What the commands share: aliases of names that have changed, and how errors are printed.

An alias keeps an old name working for one version. Help shows the new name alone.
"""

from __future__ import annotations

import copy
import json
import sys
from collections.abc import Callable, Mapping
from typing import Any, NoReturn

import click

from thornshelf.errors import ThornshelfError

EXIT_FAILED = 1
EXIT_ERROR = 2

json_option = click.option("--json", "as_json", is_flag=True, help="Only the JSON object.")
seed_option = click.option("--seed", type=click.IntRange(0), default=1, show_default=True)


class AliasedOption(click.Option):
    """An option whose first name is shown in help, and whose other names are aliases for one version."""

    def get_help_record(self, ctx: click.Context) -> tuple[str, str] | None:
        """The line of the help, with the first name alone."""
        names = self.opts
        self.opts = names[:1]
        try:
            return super().get_help_record(ctx)
        finally:
            self.opts = names


def fault_option(*faults: str) -> Callable[[Any], Any]:
    """The option that injects one of the faults which an experiment must detect."""
    return click.option(
        "--inject-fault",
        "--plant",
        "fault",
        cls=AliasedOption,
        type=click.Choice(faults),
        help="A fault that the experiment must detect.",
    )


def hidden_alias(command: click.Command, name: str) -> click.Command:
    """The same command under an old name, which help does not list."""
    alias = copy.copy(command)
    alias.name = name
    alias.hidden = True
    return alias


def exit_with_error(error: ThornshelfError, exit_code: int) -> NoReturn:
    """Print an error with its code and its remedy, and end the process."""
    click.echo(f"thornshelf: {error} [{error.code}]\nWhat to do: {error.remedy}", err=True)
    sys.exit(exit_code)


def exit_with_result(result: Mapping[str, Any], passed: bool, as_json: bool) -> NoReturn:
    """Print the result of an experiment, with JSON in its last line, and end the process."""
    if not as_json:
        for name, value in result.items():
            click.echo(f"{name}: {value}")
    click.echo(json.dumps(result))
    sys.exit(0 if passed else EXIT_FAILED)
