"""Guards against KNOWN-RED.txt hiding failures that it does not name, or more than three."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
def test_red(): assert False
def test_other(): assert False
def test_green(): pass
"""


def run(folder: Path, known_failures: str, *test_names: str) -> tuple[int, str]:
    """Return the exit code and the output of a run of ``test_names`` with ``known_failures`` as the list."""
    (folder / "test_some.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text(known_failures)
    tests = [f"test_some.py::{name}" for name in test_names]
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider"]
    command += ["--rootdir", str(folder), *tests]
    completed = subprocess.run(
        command, cwd=folder, env={"PYTHONPATH": str(ROOT)}, capture_output=True, text=True, timeout=60
    )
    return completed.returncode, completed.stdout + completed.stderr


def list_line(test: str) -> str:
    return f"test_some.py::{test} | what is at fault | issue 1\n"


def test_a_listed_failure_passes_and_its_line_is_printed(tmp_path: Path) -> None:
    code, output = run(tmp_path, list_line("test_red"), "test_red", "test_green")
    assert code == 0
    assert "1 passed, 1 xfailed" in output
    assert f"known red: {list_line('test_red').strip()}" in output


def test_a_failure_that_is_not_listed_fails(tmp_path: Path) -> None:
    code, output = run(tmp_path, list_line("test_red"), "test_red", "test_other")
    assert code == 1
    assert "1 failed, 1 xfailed" in output


def test_a_listed_test_that_passes_again_fails(tmp_path: Path) -> None:
    code, output = run(tmp_path, list_line("test_green"), "test_green")
    assert code == 1
    assert "XPASS(strict)" in output


@pytest.mark.parametrize(("test", "result"), [("test_red", "1 xfailed"), ("test_green", "1 xpassed")])
def test_a_test_that_is_listed_as_intermittent_may_fail_and_pass(
    tmp_path: Path, test: str, result: str
) -> None:
    line = list_line(test).replace("issue 1", "issue 1 | intermittent")
    code, output = run(tmp_path, line, test)
    assert code == 0
    assert result in output
    assert f"known red: {line.strip()}" in output


def test_an_intermittent_entry_hides_no_other_failure(tmp_path: Path) -> None:
    line = list_line("test_green").replace("issue 1", "issue 1 | intermittent")
    code, output = run(tmp_path, line, "test_green", "test_other")
    assert code == 1
    assert "1 failed, 1 xpassed" in output


@pytest.mark.parametrize(
    "known_failures",
    [
        "".join(list_line(name) for name in ("test_red", "test_other", "test_green", "test_fourth")),
        list_line("test_gone"),
        "test_gone.py::test_red | what is at fault | issue 1\n",
        "test_some.py::test_red | no issue\n",
        list_line("test_red").replace("issue 1", "issue 1 | sometimes"),
        list_line("test_red").replace("issue 1", "issue 1 | intermittent | intermittent"),
        list_line("test_red") * 2,
    ],
)
def test_a_list_that_is_too_long_malformed_or_names_no_test_fails(
    tmp_path: Path, known_failures: str
) -> None:
    code, output = run(tmp_path, known_failures, "test_green", "test_red")
    assert code == 4
    assert "KNOWN-RED.txt: " in output
