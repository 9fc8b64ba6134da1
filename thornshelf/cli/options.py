"""Options, aliases of renamed commands and options, and exits that the commands share.

An alias keeps an old name working for one version; the help shows only the new name.
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

json_option = click.option("--json", "as_json", is_flag=True, help="Print only the JSON object.")
seed_option = click.option("--seed", type=click.IntRange(0), default=1, show_default=True)


class AliasedOption(click.Option):
    """An option whose first name is shown in the help, and whose other names are aliases for one version."""

    def get_help_record(self, ctx: click.Context) -> tuple[str, str] | None:
        """Returns the name and the text of the option for the help, with only the first name."""
        names = self.opts
        self.opts = names[:1]
        try:
            return super().get_help_record(ctx)
        finally:
            self.opts = names


def fault_option(*faults: str) -> Callable[[Any], Any]:
    """Returns the option that injects one of the faults that an experiment must detect."""
    return click.option(
        "--inject-fault",
        "--plant",
        "fault",
        cls=AliasedOption,
        type=click.Choice(faults),
        help="Inject a fault that the experiment must detect.",
    )


def hidden_alias(command: click.Command, name: str) -> click.Command:
    """Returns the same command under an old name, which the help does not list."""
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
