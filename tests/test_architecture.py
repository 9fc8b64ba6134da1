"""The architecture page names only what exists, and imports follow the layers that it describes."""

from __future__ import annotations

import ast
import importlib
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "thornshelf"
PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text(encoding="utf-8")
NAMES = sorted(set(re.findall(r"`(thornshelf(?:\.\w+)+)`", PAGE)))
LOG_IDS = sorted(set(re.findall(r"`([a-z]+(?:-[a-z]+)+)`", PAGE)))
# Commands on the page that look like log ids.
NOT_LOG_IDS = {"check-config", "field-mapping"}
AUDIT = PACKAGE / "translation" / "field_mapping_audit.py"  # exempt: it inspects modules of higher layers
# Packages of one layer that may import each other, as the page says.
SAME_LAYER_IMPORTS = {("components", "lifecycle"), ("lifecycle", "components")}


def read_layers() -> dict[str, int]:
    """Returns the number of the layer of each package, from the table on the page."""
    table = PAGE.partition("<!-- layers")[2].partition("\n## ")[0]
    rows = re.findall(r"^\| (\d+) \| ([^|]+) \|", table, re.MULTILINE)
    return {name: int(layer) for layer, packages in rows for name in re.findall(r"`(\w+)`", packages)}


LAYERS = read_layers()


def resolve(name: str) -> object:
    """Returns the module, or the object in a module, that has a dotted name."""
    parts = name.split(".")
    for length in range(len(parts), 0, -1):
        try:
            resolved: object = importlib.import_module(".".join(parts[:length]))
        except ModuleNotFoundError:
            continue
        for part in parts[length:]:
            resolved = getattr(resolved, part)
        return resolved
    raise ModuleNotFoundError(name)


def package_of(path: Path) -> str:
    """Returns the package directly under ``thornshelf`` that contains a file, or the module if it is not in one."""
    return path.relative_to(PACKAGE).parts[0].removesuffix(".py")


def is_for_type_checkers(node: ast.AST) -> bool:
    return isinstance(node, ast.If) and ast.unparse(node.test) == "TYPE_CHECKING"


def imports(node: ast.AST) -> Iterator[str]:
    """Yields the project's packages that a module imports at run time, including in functions."""
    for child in ast.iter_child_nodes(node):
        if is_for_type_checkers(child):
            continue
        if isinstance(child, ast.ImportFrom) and child.module == "thornshelf":
            yield from (alias.name for alias in child.names if alias.name != "__version__")
        elif isinstance(child, ast.ImportFrom) and (child.module or "").startswith("thornshelf."):
            yield str(child.module).split(".")[1]
        elif isinstance(child, ast.Import):
            yield from (
                alias.name.split(".")[1] for alias in child.names if alias.name.startswith("thornshelf.")
            )
        yield from imports(child)


@pytest.mark.parametrize("name", NAMES)
def test_each_name_on_the_page_exists(name: str) -> None:
    assert resolve(name) is not None


@pytest.mark.parametrize("log_id", [name for name in LOG_IDS if name not in NOT_LOG_IDS])
def test_each_log_id_on_the_page_is_written_by_the_program(log_id: str) -> None:
    assert any(f'"{log_id}"' in path.read_text(encoding="utf-8") for path in PACKAGE.rglob("*.py"))


def test_the_page_names_modules_and_log_ids() -> None:
    """Guards against a change of the page's markup that would leave nothing to check."""
    assert len(NAMES) >= 30
    assert len(LOG_IDS) >= 10
    assert len(LAYERS) >= 20


def test_each_package_has_a_layer() -> None:
    present = {package_of(path) for path in PACKAGE.rglob("*.py")} - {"__init__"}
    assert present == LAYERS.keys()


@pytest.mark.parametrize("package", sorted(LAYERS))
def test_imports_go_down_the_layers(package: str) -> None:
    files = [path for path in PACKAGE.rglob("*.py") if package_of(path) == package and path != AUDIT]
    for path in files:
        for imported in imports(ast.parse(path.read_text(encoding="utf-8"))):
            is_allowed = imported == package or (package, imported) in SAME_LAYER_IMPORTS
            assert is_allowed or LAYERS[imported] < LAYERS[package], f"{path.name} imports {imported}"
