"""The command line. ``python -m thornshelf [OPERATOR_FILE]`` serves without loading this package."""

from __future__ import annotations

import click

from thornshelf import __version__
from thornshelf.cli.dispatcher import check_config, explain, field_mapping, schema, serve
from thornshelf.cli.laboratory import lab
from thornshelf.cli.options import hidden_alias
from thornshelf.cli.queries import query, shell
from thornshelf.cli.record import record


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="thornshelf")
def cli() -> None:
    """A dispatcher of long-lived tasks that lets old clients reach new servers.

    Without a command, `python -m thornshelf [OPERATOR_FILE]` serves. The variable LB_CONFIG names the configuration.
    """


for command in (serve, check_config, schema, field_mapping, explain, shell, query, record, lab):
    cli.add_command(command)
cli.add_command(hidden_alias(field_mapping, "fates"))
