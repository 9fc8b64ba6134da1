"""Serves the simulator on standard input and output: ``python -m thornshelf.placement.simulator``."""

from __future__ import annotations

import sys

from thornshelf.errors import WireError
from thornshelf.placement.simulator.session import LineReader, Session

EXIT_OK = 0
EXIT_BROKEN_PIPE = 1
EXIT_MALFORMED = 2


def main() -> int:
    """Serve until the input ends, and return the exit code.

    On malformed input, write one line with the number of the input line to standard error.
    """
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    reader = LineReader(sys.stdin)
    try:
        Session(reader, sys.stdout).run()
    except WireError as error:
        print(f"thornshelf: line {reader.line}: {error}", file=sys.stderr)
        return EXIT_MALFORMED
    except BrokenPipeError:
        return EXIT_BROKEN_PIPE
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
