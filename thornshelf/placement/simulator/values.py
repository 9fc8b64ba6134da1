"""Parsers of single values on the simulator's wire.

Each takes the text and the wire's name of the value; it raises ``WireError`` with both if the text is malformed.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TypeVar

from thornshelf.errors import WireError

ABSENT = "-"  # stands for a value that is not given

_Choice = TypeVar("_Choice")


def parse_integer(text: str, name: str) -> int:
    """Return an integer of at least 0."""
    try:
        value = int(text)
    except ValueError:
        raise WireError(f"{name} is not a whole number: {text!r}") from None
    if value < 0:
        raise WireError(f"{name} is below 0: {text!r}")
    return value


def parse_optional_integer(text: str, name: str) -> int:
    """Return an integer of at least 0; an absent one is 0."""
    return 0 if text == ABSENT else parse_integer(text, name)


def parse_number(text: str, name: str) -> float:
    """Return a finite number."""
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{name} is not a number: {text!r}") from None
    if not math.isfinite(value):
        raise WireError(f"{name} is not finite: {text!r}")
    return value


def parse_optional_number(text: str, name: str) -> float | None:
    """Return a finite number, or None if it is absent."""
    return None if text == ABSENT else parse_number(text, name)


def parse_flag(text: str, name: str) -> bool:
    """Return True for ``1``, and False for ``0`` or an absent flag."""
    if text in ("0", "1"):
        return text == "1"
    if text == ABSENT:
        return False
    raise WireError(f"{name} is neither 1 nor 0: {text!r}")


def parse_choice(choices: Mapping[str, _Choice], text: str, name: str) -> _Choice:
    """Return the choice with this text on the wire."""
    try:
        return choices[text]
    except KeyError:
        raise WireError(f"{name} is not known: {text!r}") from None
