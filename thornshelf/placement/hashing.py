"""Draws that are the same at every placer."""

from __future__ import annotations

from functools import lru_cache


@lru_cache(maxsize=1 << 14)  # tasks of a service come together
def unit_hash(a: int, b: int) -> float:
    """A fixed draw from 0 to 1 for two ids, the same at every placer."""
    h = (a * 0xBF58476D1CE4E5B9 ^ b * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    h = (h ^ h >> 29) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    h = (h ^ h >> 32) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return (h ^ h >> 29) / 2.0**64
