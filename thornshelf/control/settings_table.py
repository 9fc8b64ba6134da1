"""The table of settings: the configuration in force as keys and values."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum

from thornshelf.control.shown_names import SETTING_NAMES, qualified_setting_value_name, setting_value_name
from thornshelf.control.tables import TEXT, Table, Value, declare_columns

SECRET_FIELDS = frozenset({"key"})  # the key that authenticates the fleet's datagrams
HIDDEN_FIELDS = SECRET_FIELDS | {"file_shape"}  # the keys of the files, which are not settings
HIDDEN_PREFIX = "known."  # the initial endpoints, which are not settings


def flatten_settings(value: object, path: str = "") -> Iterator[tuple[str, Value]]:
    """Yields the settings in ``value`` as keys and values, without secrets.

    A key is the path of shown field names from the root of the configuration, joined by dots; ``path`` is the key of
    ``value`` itself.
    """
    if is_dataclass(value) and not isinstance(value, type):
        shown_names = SETTING_NAMES.get(type(value).__name__, {})
        for field in fields(value):
            if field.name not in HIDDEN_FIELDS:
                key = _join(path, shown_names.get(field.name, field.name))
                yield from flatten_settings(getattr(value, field.name), key)
    elif isinstance(value, Mapping):
        for name, item in value.items():
            yield from flatten_settings(item, _join(path, str(name)))
    elif isinstance(value, tuple | list) and any(is_dataclass(item) for item in value):
        for index, item in enumerate(value):
            yield from flatten_settings(item, f"{path}.{getattr(item, 'name', index)}")
    else:
        yield path, _shown_value(value)


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _shown_value(value: object) -> Value:
    """Convert the value of a setting to a table's value; collections are joined into one text."""
    if isinstance(value, bool):
        return int(value)
    if isinstance(value, int | float | str) or value is None:
        return value
    if isinstance(value, frozenset | set):
        return ",".join(sorted(map(_shown_item, value)))
    if isinstance(value, tuple | list):
        return ",".join(map(_shown_item, value))
    if isinstance(value, Enum):
        return setting_value_name(value)
    return str(getattr(value, "name", value))


def _shown_item(item: object) -> str:
    """Returns the text of one item of a collection."""
    return qualified_setting_value_name(item) if isinstance(item, Enum) else str(item)


def settings_table(settings: Callable[[], object]) -> Table:
    """Returns the table ``settings``; ``settings`` is called for the configuration in force."""

    def items() -> list[tuple[str, Value]]:
        return [
            (key, value) for key, value in flatten_settings(settings()) if not key.startswith(HIDDEN_PREFIX)
        ]

    return Table(
        "settings",
        "The configuration in force, key by key, without the key of the fleet.",
        declare_columns(("key", TEXT, "path of the setting"), ("value", TEXT, "its value")),
        items,
        lambda item: (item[0], None if item[1] is None else str(item[1])),
    )
