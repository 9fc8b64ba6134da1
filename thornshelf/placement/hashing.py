"""Hash functions with the same result at every placer, so that placers agree without communication."""

from __future__ import annotations

from functools import lru_cache

_MASK = 0xFFFFFFFFFFFFFFFF
_FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
_SECOND_MULTIPLIER = 0x94D049BB133111EB
_MIDDLE_MULTIPLIER = 0x9E3779B97F4A7C15


@lru_cache(maxsize=1 << 14)  # requests of one service tend to arrive together
def unit_hash(first: int, second: int) -> float:
    """Return a hash of two ids as a number from 0 to 1."""
    mixed = (first * _FIRST_MULTIPLIER ^ second * _SECOND_MULTIPLIER) & _MASK
    mixed = (mixed ^ mixed >> 29) * _MIDDLE_MULTIPLIER & _MASK
    mixed = (mixed ^ mixed >> 32) * _FIRST_MULTIPLIER & _MASK
    return (mixed ^ mixed >> 29) / 2.0**64
