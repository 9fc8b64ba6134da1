"""KNOWN-RED.txt lets pass just the failures that it names, and no more than three."""

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


def run(folder: Path, listed: str, *picked: str) -> tuple[int, str]:
    """The exit code and output of a run of these tests under such a list."""
    (folder / "test_some.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text(listed)
    tests = [f"test_some.py::{name}" for name in picked]
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider"]
    command += ["--rootdir", str(folder), *tests]
    done = subprocess.run(
        command, cwd=folder, env={"PYTHONPATH": str(ROOT)}, capture_output=True, text=True, timeout=60
    )
    return done.returncode, done.stdout + done.stderr


def line(test: str) -> str:
    return f"test_some.py::{test} | what is at fault | issue 1\n"


def test_a_listed_failure_passes_and_its_line_is_printed(tmp_path: Path) -> None:
    code, said = run(tmp_path, line("test_red"), "test_red", "test_green")
    assert code == 0
    assert "1 passed, 1 xfailed" in said
    assert f"known red: {line('test_red').strip()}" in said


def test_a_failure_that_is_not_listed_fails(tmp_path: Path) -> None:
    code, said = run(tmp_path, line("test_red"), "test_red", "test_other")
    assert code == 1
    assert "1 failed, 1 xfailed" in said


def test_a_listed_test_that_passes_again_fails(tmp_path: Path) -> None:
    code, said = run(tmp_path, line("test_green"), "test_green")
    assert code == 1
    assert "XPASS(strict)" in said


@pytest.mark.parametrize(
    "listed",
    [
        "".join(line(name) for name in ("test_red", "test_other", "test_green", "test_fourth")),
        line("test_gone"),
        "test_gone.py::test_red | what is at fault | issue 1\n",
        "test_some.py::test_red | no issue\n",
        line("test_red") * 2,
    ],
)
def test_a_list_that_is_too_long_malformed_or_names_no_test_fails(tmp_path: Path, listed: str) -> None:
    code, said = run(tmp_path, listed, "test_green", "test_red")
    assert code == 4
    assert "KNOWN-RED.txt: " in said
