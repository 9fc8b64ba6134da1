"""The commands that read a dispatcher's write-ahead log. They change nothing."""

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
    """Look at a dispatcher's write-ahead log; nothing is changed."""


@record.command()
@_file_argument
def inspect(file: Path) -> None:
    """Print the entries, and what a start would recover from them."""
    _read_log(file, click.echo)


@record.command()
@_file_argument
def verify(file: Path) -> None:
    """Check that all of it can be read; exit 1 where its tail is torn, 2 where it is of a newer version."""
    _read_log(file, lambda _: None)


def _read_log(file: Path, print_entry: Callable[[str], object]) -> None:
    from thornshelf.wal import entries
    from thornshelf.wal.recovered_state import RecoveredState

    state = RecoveredState()
    count = 0
    torn_tail: entries.TornTail | None = None
    try:
        for frame in entries.read_frames(file.read_bytes()):
            if isinstance(frame, entries.TornTail):
                torn_tail = frame
                continue
            print_entry(f"{frame[0]:>10} {frame[1]}")
            state.apply(frame[1])
            count += 1
    except entries.UnsupportedVersionError as fault:
        click.echo(f"{file}: {fault}", err=True)
        sys.exit(EXIT_ERROR)
    statuses = Counter(task.status.value for task in state.by_uid.values())
    ended = "clean" if state.clean_shutdown else "not ended in order"
    click.echo(f"{count} entries, epoch {state.epoch}, {dict(statuses)}, {ended}")
    if torn_tail is not None:
        click.echo(f"torn at byte {torn_tail.offset}: {torn_tail.reason}", err=True)
        sys.exit(EXIT_FAILED)
