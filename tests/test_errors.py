"""Errors have one root, a code and a remedy each, modules import each other without cycles, bad keys are named."""

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
    """All direct and indirect subclasses."""
    for subclass in error.__subclasses__():
        yield subclass
        yield from subclasses(subclass)


def nodes(path: Path) -> Iterator[ast.AST]:
    """All nodes of a module's syntax tree."""
    return ast.walk(ast.parse(path.read_text()))


def test_each_error_has_a_code_of_its_own_and_a_remedy() -> None:
    found = [one for one in subclasses(errors.ThornshelfError) if one is not errors.RejectedDatagramError]
    assert set(found) == set(errors.ERRORS_BY_CODE.values())
    for error in errors.ERRORS_BY_CODE.values():
        assert error.remedy != errors.ThornshelfError.remedy
        assert len(error.remedy) > 20
        assert error.meaning != errors.ThornshelfError.meaning
        assert "|" not in error.meaning + error.remedy
        assert error.__doc__


def test_no_builtin_error_is_raised() -> None:
    """Guards against a text without a code: an operator could not look it up."""
    raised = []
    for path in SOURCES:
        for node in nodes(path):
            if isinstance(node, ast.Raise) and node.exc is not None:
                error = node.exc.func if isinstance(node.exc, ast.Call) else node.exc
                if isinstance(error, ast.Name) and error.id in BUILTIN_ERRORS:
                    raised.append(f"{path.name}:{node.lineno}")
    assert not raised


def test_no_error_is_defined_in_another_module() -> None:
    defining = []
    for path in SOURCES:
        if path.name == "errors.py":
            continue
        for node in nodes(path):
            bases = [base.id for base in getattr(node, "bases", []) if isinstance(base, ast.Name)]
            if any(base.endswith(("Error", "Exception")) for base in bases):
                defining.append(path.name)
    assert not defining


def test_the_page_is_up_to_date() -> None:
    assert (ROOT / "docs" / "errors.md").read_text() == errors.render_page()


def test_explain() -> None:
    runner = CliRunner()
    done = runner.invoke(cli, ["explain", "ts4002"])
    assert done.exit_code == 0
    assert "What to do: Give each process a name of its own" in done.output
    assert runner.invoke(cli, ["explain", "TS9999"]).exit_code == 2
    assert runner.invoke(cli, ["explain"]).output.count("\n") == len(errors.ERRORS_BY_CODE)
    assert runner.invoke(cli, ["explain", "--page"]).output == errors.render_page()


def imports(path: Path) -> set[str]:
    """The modules of the program that a module imports, also inside functions and only for types."""
    found = set()
    for node in nodes(path):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("thornshelf"):
            found.add(node.module)
            found |= {f"{node.module}.{one.name}" for one in node.names}
        elif isinstance(node, ast.Import):
            found |= {one.name for one in node.names if one.name.startswith("thornshelf")}
    return found


def test_modules_import_each_other_without_cycles() -> None:
    """Not even where one of the imports is only for types or inside a function."""
    modules = {".".join(path.relative_to(ROOT).with_suffix("").parts): path for path in SOURCES}
    graph = {name: imports(path) & modules.keys() for name, path in modules.items()}
    visiting: set[str] = set()
    visited: set[str] = set()

    def visit(name: str, trail: tuple[str, ...]) -> None:
        assert name not in visiting, f"a cycle: {' -> '.join((*trail, name))}"
        if name in visited:
            return
        visiting.add(name)
        for imported in sorted(graph[name]):
            visit(imported, (*trail, name))
        visiting.remove(name)
        visited.add(name)

    for name in sorted(graph):
        visit(name, ())


TABLE = '[fleet]\nname = "jackson"\nlisten = "127.0.0.1:0"\nkey_file = "fleet.key"\n'


@pytest.mark.parametrize(
    ("text", "mode", "key", "named"),
    [
        (TABLE, 0o644, b"k" * 32, "fleet.key_file"),
        (TABLE, 0o600, b"short", "fleet.key_file"),
        (TABLE, 0o600, None, "fleet.key_file"),
        (TABLE + 'seeds = ["nowhere"]\n', 0o600, b"k" * 32, "fleet.seeds.0"),
        (TABLE + "answer_ms = 400\n", 0o600, b"k" * 32, "fleet.answer_ms"),
        (TABLE + "most_members = 100\n", 0o600, b"k" * 32, "fleet.most_members"),
        (TABLE + "[fleet.uses]\nguesses = true\n", 0o600, b"k" * 32, "fleet.uses.guesses"),
        (TABLE.replace('name = "jackson"\n', ""), 0o600, b"k" * 32, "fleet"),
    ],
)
def test_a_bad_fleet_table_names_its_key(
    tmp_path: Path, text: str, mode: int, key: bytes | None, named: str
) -> None:
    if key is not None:
        (tmp_path / "fleet.key").write_bytes(key)
        (tmp_path / "fleet.key").chmod(mode)
    (tmp_path / "operator.toml").write_text(text)
    with pytest.raises(ConfigError, match=f"^{named}"):
        read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)}, str(tmp_path / "operator.toml"))
