"""The decision module: the size of its files, its imports, and no use of the clock or global randomness."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "thornshelf" / "placement"
ERRORS = PACKAGE.parent / "errors.py"  # the only module imported from outside the package
MODULES = [*sorted(PACKAGE.rglob("*.py")), ERRORS]
MAX_MODULE_LINES = 400
MAX_LINE_LENGTH = 110


def lines_of(path: Path) -> list[str]:
    return path.read_text(encoding="utf-8").splitlines()


@pytest.mark.parametrize("path", sorted(PACKAGE.glob("*.py")), ids=lambda path: path.name)
def test_each_module_is_short(path: Path) -> None:
    lines = lines_of(path)
    assert len(lines) <= MAX_MODULE_LINES
    assert max(map(len, lines)) <= MAX_LINE_LENGTH


def test_the_placer_names_the_modules_of_its_types() -> None:
    docstring = ast.get_docstring(ast.parse((PACKAGE / "placer.py").read_text(encoding="utf-8"))) or ""
    assert all(name in docstring for name in ("settings.py", "events.py", "actions.py"))


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_only_the_standard_library_is_imported(path: Path) -> None:
    def is_allowed(module: str) -> bool:
        own = module == "thornshelf.errors" or module.startswith("thornshelf.placement")
        return own or module.split(".")[0] in sys.stdlib_module_names

    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            assert all(is_allowed(name.name) for name in node.names)
        elif isinstance(node, ast.ImportFrom):
            module = node.module or ""
            assert is_allowed(module) or all(is_allowed(f"{module}.{name.name}") for name in node.names)


@pytest.mark.parametrize("path", sorted(PACKAGE.glob("*.py")), ids=lambda path: path.name)
def test_no_module_reads_the_clock_or_global_randomness(path: Path) -> None:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    imported = {name.name for node in ast.walk(tree) if isinstance(node, ast.Import) for name in node.names}
    imported |= {node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    assert not imported & {"time", "datetime", "os", "io", "socket", "secrets"}
    used = [n for n in ast.walk(tree) if isinstance(n, ast.Attribute) and isinstance(n.value, ast.Name)]
    from_random = {node.attr for node in used if getattr(node.value, "id", "") == "random"}
    assert from_random == ({"Random"} if path.name == "context.py" else set())
