"""The printed page: its size, its lines, and what the package imports."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "thornshelf" / "placement"


def test_the_brain_fits_its_pages() -> None:
    lines = (PACKAGE / "placer.py").read_text(encoding="utf-8").splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 750  # the operators run no longer module
    assert max(map(len, lines)) <= 110
    assert "thornshelf/placement/interface.py" in lines[0]


@pytest.mark.parametrize("path", sorted(PACKAGE.glob("*.py")), ids=lambda path: path.name)
def test_only_the_standard_library_is_imported(path: Path) -> None:
    def is_allowed(module: str) -> bool:
        top = module.split(".")[0]
        return top in sys.stdlib_module_names or f"{module}.".startswith("thornshelf.placement.")

    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            assert all(is_allowed(name.name) for name in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert is_allowed(node.module or "")


def test_the_brain_reads_no_clock_and_no_global_chance() -> None:
    tree = ast.parse((PACKAGE / "placer.py").read_text(encoding="utf-8"))
    imported = {name.name for node in ast.walk(tree) if isinstance(node, ast.Import) for name in node.names}
    assert not imported & {"time", "datetime", "os", "io", "socket", "secrets"}
    used = [n for n in ast.walk(tree) if isinstance(n, ast.Attribute) and isinstance(n.value, ast.Name)]
    assert {node.attr for node in used if getattr(node.value, "id", "") == "random"} == {"Random"}
