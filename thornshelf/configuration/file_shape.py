"""Which keys the configuration files hold, so that a reload can reject a file that lacks some of them.

A file that was cut off, or written by a faulty program, may still be readable, and what it lacks would count as its
default. So a key of the files in force may not be missing in the files that are to replace them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from thornshelf.errors import ConfigError

_NAME_KEY = "name"  # identifies an item of a list
_OPAQUE_KEYS = frozenset({"known"})  # at the top of the JSON file; a reload doesn't use their content


@dataclass(frozen=True, slots=True)
class KeyTree:
    """The keys of a JSON value: of an object by key, of a list of named objects by their names."""

    keys: Mapping[str, KeyTree] = field(default_factory=dict)
    items: Mapping[str, KeyTree] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FileShape:
    """The form of the configuration files.

    ``json_keys``: the keys of the JSON file. ``operator_tables``: the paths of all tables of the operator's file,
    none without one. ``last_line_complete``: whether the operator's file ends with a line break, as a file that is
    cut off rarely does.
    """

    json_keys: KeyTree
    operator_tables: frozenset[str] = frozenset()
    last_line_complete: bool = True


def json_keys(document: Mapping[str, Any]) -> KeyTree:
    """Return the keys of a JSON file."""
    return KeyTree(
        {key: KeyTree() if key in _OPAQUE_KEYS else _key_tree(value) for key, value in document.items()}
    )


def table_paths(document: Mapping[str, Any], prefix: str = "") -> frozenset[str]:
    """Return the paths of all tables and lists of tables of an operator's file."""
    paths: set[str] = set()
    for key, value in document.items():
        path = f"{prefix}{key}"
        if isinstance(value, dict):
            paths |= {path} | table_paths(value, f"{path}.")
        elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
            paths.add(path)
    return frozenset(paths)


def check_complete(new: FileShape, in_force: FileShape) -> None:
    """Raise ``ConfigError``, which names the key, if the new files lack a key of those in force.

    An item of a list, such as a task class, may be missing as a whole.
    """
    path = _missing_path(new.json_keys, in_force.json_keys)
    if path is not None:
        raise ConfigError(f"{path}: missing, though the configuration in force has it")
    for table in sorted(in_force.operator_tables - new.operator_tables):
        raise ConfigError(f"{table}: missing in the operator's file, though the one in force has it")
    if in_force.last_line_complete and not new.last_line_complete:
        raise ConfigError("the operator's file: cut off, as its last line has no end")


def _key_tree(value: object) -> KeyTree:
    if isinstance(value, dict):
        return KeyTree({str(key): _key_tree(child) for key, child in value.items()})
    if isinstance(value, list):
        named = [item for item in value if isinstance(item, dict) and _NAME_KEY in item]
        return KeyTree(items={str(item[_NAME_KEY]): _key_tree(item) for item in named})
    return KeyTree()


def _missing_path(new: KeyTree, in_force: KeyTree) -> str | None:
    """Return the path of the first key that is missing, or None."""
    for key, children in in_force.keys.items():
        if key not in new.keys:
            return key
        if (path := _missing_path(new.keys[key], children)) is not None:
            return f"{key}.{path}"
    for name, children in in_force.items.items():
        if name in new.items and (path := _missing_path(new.items[name], children)) is not None:
            return f"{name}.{path}"
    return None
