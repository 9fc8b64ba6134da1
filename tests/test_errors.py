"""Errors share a base class and have codes and remedies, imports have no cycles, and config errors name the key."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from thornshelf import errors
from thornshelf.cli import cli
from thornshelf.configuration import ConfigError, read_config
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG

ROOT = Path(__file__).parent.parent
SOURCES = [path for path in sorted((ROOT / "thornshelf").rglob("*.py")) if not path.name.endswith("_pb2.py")]
BUILTIN_ERRORS = ("Exception", "RuntimeError", "ValueError", "TypeError")


def subclasses(error: type[BaseException]) -> Iterator[type[BaseException]]:
    """Yields all direct and indirect subclasses."""
    for subclass in error.__subclasses__():
        yield subclass
        yield from subclasses(subclass)


def syntax_nodes(path: Path) -> Iterator[ast.AST]:
    """Yields all nodes of a module's syntax tree."""
    return ast.walk(ast.parse(path.read_text()))


def test_each_error_has_a_code_of_its_own_and_a_remedy() -> None:
    concrete = [
        subclass
        for subclass in subclasses(errors.ThornshelfError)
        if subclass is not errors.RejectedDatagramError
    ]
    assert set(concrete) == set(errors.ERRORS_BY_CODE.values())
    for error in errors.ERRORS_BY_CODE.values():
        assert error.remedy != errors.ThornshelfError.remedy
        assert len(error.remedy) > 20
        assert error.meaning != errors.ThornshelfError.meaning
        assert "|" not in error.meaning + error.remedy
        assert error.__doc__


def test_no_builtin_error_is_raised() -> None:
    """Guards against errors without a code, which an operator could not look up."""
    locations = []
    for path in SOURCES:
        for node in syntax_nodes(path):
            if isinstance(node, ast.Raise) and node.exc is not None:
                error = node.exc.func if isinstance(node.exc, ast.Call) else node.exc
                if isinstance(error, ast.Name) and error.id in BUILTIN_ERRORS:
                    locations.append(f"{path.name}:{node.lineno}")
    assert not locations


def test_no_error_is_defined_in_another_module() -> None:
    defining_modules = []
    for path in SOURCES:
        if path.name == "errors.py":
            continue
        for node in syntax_nodes(path):
            bases = [base.id for base in getattr(node, "bases", []) if isinstance(base, ast.Name)]
            if any(base.endswith(("Error", "Exception")) for base in bases):
                defining_modules.append(path.name)
    assert not defining_modules


def test_the_page_is_up_to_date() -> None:
    assert (ROOT / "docs" / "errors.md").read_text() == errors.render_page()


def test_explain() -> None:
    runner = CliRunner()
    result = runner.invoke(cli, ["explain", "ts4002"])
    assert result.exit_code == 0
    assert "What to do: Give each process a name of its own" in result.output
    assert runner.invoke(cli, ["explain", "TS9999"]).exit_code == 2
    assert runner.invoke(cli, ["explain"]).output.count("\n") == len(errors.ERRORS_BY_CODE)
    assert runner.invoke(cli, ["explain", "--page"]).output == errors.render_page()


def imports(path: Path) -> set[str]:
    """Returns the program's modules that a module imports, including in functions and for type checkers."""
    imported = set()
    for node in syntax_nodes(path):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("thornshelf"):
            imported.add(node.module)
            imported |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names if alias.name.startswith("thornshelf")}
    return imported


def test_modules_import_each_other_without_cycles() -> None:
    """Imports in functions and for type checkers count as well."""
    modules = {".".join(path.relative_to(ROOT).with_suffix("").parts): path for path in SOURCES}
    graph = {name: imports(path) & modules.keys() for name, path in modules.items()}
    visiting: set[str] = set()
    visited: set[str] = set()

    def visit(name: str, chain: tuple[str, ...]) -> None:
        assert name not in visiting, f"import cycle: {' -> '.join((*chain, name))}"
        if name in visited:
            return
        visiting.add(name)
        for imported in sorted(graph[name]):
            visit(imported, (*chain, name))
        visiting.remove(name)
        visited.add(name)

    for name in sorted(graph):
        visit(name, ())


FLEET_TABLE = '[fleet]\nname = "jackson"\nlisten = "127.0.0.1:0"\nkey_file = "fleet.key"\n'


@pytest.mark.parametrize(
    ("text", "mode", "secret", "key"),
    [
        (FLEET_TABLE, 0o644, b"k" * 32, "fleet.key_file"),
        (FLEET_TABLE, 0o600, b"short", "fleet.key_file"),
        (FLEET_TABLE, 0o600, None, "fleet.key_file"),
        (FLEET_TABLE + 'seeds = ["nowhere"]\n', 0o600, b"k" * 32, "fleet.seeds.0"),
        (FLEET_TABLE + "answer_ms = 400\n", 0o600, b"k" * 32, "fleet.answer_ms"),
        (FLEET_TABLE + "most_members = 100\n", 0o600, b"k" * 32, "fleet.most_members"),
        (FLEET_TABLE + "[fleet.uses]\nguesses = true\n", 0o600, b"k" * 32, "fleet.uses.guesses"),
        (FLEET_TABLE.replace('name = "jackson"\n', ""), 0o600, b"k" * 32, "fleet"),
    ],
)
def test_a_bad_fleet_table_names_its_key(
    tmp_path: Path, text: str, mode: int, secret: bytes | None, key: str
) -> None:
    if secret is not None:
        (tmp_path / "fleet.key").write_bytes(secret)
        (tmp_path / "fleet.key").chmod(mode)
    (tmp_path / "operator.toml").write_text(text)
    with pytest.raises(ConfigError, match=f"^{key}"):
        read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)}, str(tmp_path / "operator.toml"))
