"""``python -m thornshelf [OPERATOR_FILE]`` runs one dispatcher, configured by the platform's environment variables.

With a command or an option instead of a file, it runs the command line of ``thornshelf.cli``, imported only then.
"""

from __future__ import annotations

import os
import sys

from thornshelf.configuration import Config, ConfigError, read_config
from thornshelf.service import Service

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2

# Commands and their aliases. An operator's file with one of these names has to be given with its directory.
COMMANDS = (
    "serve",
    "check-config",
    "schema",
    "field-mapping",
    "fates",
    "record",
    "explain",
    "lab",
    "shell",
    "query",
)


def serve(operator_file: str | None) -> int:
    """Run a dispatcher until it is shut down; returns the exit code."""

    def read() -> Config:
        return read_config(os.environ, operator_file)

    try:
        service = Service(read(), reread=read)
    except ConfigError as error:
        print(f"thornshelf: {error} [{error.code}]", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    service.run()
    return EXIT_OK


def main() -> int:
    """Run a dispatcher or the given command; returns the exit code."""
    arguments = sys.argv[1:]
    if not arguments:
        return serve(None)
    if len(arguments) == 1 and not arguments[0].startswith("-") and arguments[0] not in COMMANDS:
        return serve(arguments[0])
    from thornshelf.cli import cli

    cli(prog_name="thornshelf", obj=serve)
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
