"""A pytest plugin for known failures, which are listed in KNOWN-RED.txt at the root.

The file has at most three lines of the form ``tests/file.py::test | cause | issue``. Only these tests may fail, and
their lines are printed. A listed test that passes fails the run, as does a line that is malformed or names no test.
A test that fails only now and then has a fourth field, ``intermittent``: it may pass as well.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3
_LINE = re.compile(
    r"(?P<test>[^|\s]+::[^|\s]+) \| (?P<cause>[^|]*\S) \| (?P<issue>[^|]*[^|\s])( \| (?P<mode>intermittent))?"
)


@dataclass(frozen=True)
class Entry:
    """A known failure.

    ``test``: a node id, which may lack the parameters. ``line``: the whole line. ``always_fails``: a run in which the
    test passes fails.
    """

    test: str
    line: str
    always_fails: bool


def read(path: Path) -> list[Entry]:
    """Return the entries of the file, none if it does not exist; raises ``UsageError`` if it is malformed."""
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    entries = []
    for line in lines:
        if not line.strip():
            continue
        if (match := _LINE.fullmatch(line.strip())) is None:
            raise pytest.UsageError(f"{FILE_NAME}: not of the form 'test | cause | issue': {line!r}")
        entries.append(Entry(match["test"], line.strip(), match["mode"] is None))
    if len(entries) > MAX_ENTRIES:
        raise pytest.UsageError(
            f"{FILE_NAME}: {len(entries)} entries, where {MAX_ENTRIES} at most are allowed"
        )
    if len({entry.test for entry in entries}) < len(entries):
        raise pytest.UsageError(f"{FILE_NAME}: a test is listed twice")
    return entries


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected to fail, strictly but for intermittent ones."""
    files = {item.nodeid.partition("::")[0] for item in items}
    for entry in read(config.rootpath / FILE_NAME):
        matching_items = [
            item for item in items if entry.test in (item.nodeid, item.nodeid.partition("[")[0])
        ]
        path = entry.test.partition("::")[0]
        if not matching_items and (path in files or not (config.rootpath / path).exists()):
            raise pytest.UsageError(f"{FILE_NAME}: there is no such test: {entry.test}")
        for item in matching_items:
            item.add_marker(pytest.mark.xfail(reason=entry.line, strict=entry.always_fails))


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    """Print the listed failures."""
    for entry in read(config.rootpath / FILE_NAME):
        terminalreporter.write_line(f"known red: {entry.line}")
