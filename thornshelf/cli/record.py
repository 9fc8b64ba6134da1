"""The commands that read a dispatcher's write-ahead log. They never write to it."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import click

from thornshelf.cli.options import EXIT_ERROR, EXIT_FAILED

_file_argument = click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))


@click.group()
def record() -> None:
    """Inspect or verify a dispatcher's write-ahead log, without changing it."""


@record.command()
@_file_argument
def inspect(file: Path) -> None:
    """Print the entries, and a summary of the state that they describe."""
    _read_log(file, click.echo)


@record.command()
@_file_argument
def verify(file: Path) -> None:
    """Check that the whole log can be read.

    Exit code: 0 readable, 1 torn tail, 2 written by a newer version of the program.
    """
    _read_log(file, lambda _: None)


def _read_log(file: Path, print_entry: Callable[[str], object]) -> None:
    """Print the entries and a summary of a log; exits with an error code if it can't be read to its end."""
    from thornshelf.wal import entries
    from thornshelf.wal.recovered_state import RecoveredState

    state = RecoveredState()
    count = 0
    torn_tail: entries.TornTail | None = None
    try:
        for item in entries.read_frames(file.read_bytes()):
            if isinstance(item, entries.TornTail):
                torn_tail = item
                continue
            print_entry(f"{item[0]:>10} {item[1]}")
            state.apply(item[1])
            count += 1
    except entries.UnsupportedVersionError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(EXIT_ERROR)
    statuses = Counter(task.status.value for task in state.by_uid.values())
    shutdown = "clean" if state.clean_shutdown else "no clean shutdown"
    click.echo(f"{count} entries, epoch {state.epoch}, {dict(statuses)}, {shutdown}")
    if torn_tail is not None:
        click.echo(f"torn at byte {torn_tail.offset}: {torn_tail.reason}", err=True)
        sys.exit(EXIT_FAILED)
