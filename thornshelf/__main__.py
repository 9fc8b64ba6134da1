"""``python -m thornshelf [OPERATOR_FILE]``: one dispatcher, configured by the platform's variables.

With a command or an option instead of a file, it is the command line of ``thornshelf.cli``, loaded only then.
"""

from __future__ import annotations

import os
import sys

from thornshelf.configuration import Config, ConfigError, read_config
from thornshelf.service import Service

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2

# The names of the commands, and of their aliases, which an operator's file can't have as its path.
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
    """Start a dispatcher, and serve until it is told to end; the exit code."""

    def read() -> Config:
        return read_config(os.environ, operator_file)

    try:
        service = Service(read(), reread=read)
    except ConfigError as fault:
        print(f"thornshelf: {fault} [{fault.code}]", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    service.run()
    return EXIT_OK


def main() -> int:
    """Serve, or do what the command line says; the exit code."""
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
