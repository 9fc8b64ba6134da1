"""Accounting of file descriptors by kind: each kind has a floor that no other kind can use.

Callers report each descriptor that they open or close; the ledger never queries the operating system.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError

DESCRIPTOR_KINDS = ("listeners", "clients", "nodes", "changelog", "log", "spare")


@dataclass(frozen=True, slots=True)
class DescriptorLedgerConfig:
    """The limits of a ledger, in descriptors.

    ``limit``: the total that the process may open; ``baseline``: those that belong to no kind, open since the start;
    ``floors``: how many are reserved for each kind. Raises ``InvalidParameterError`` for an unknown kind, or if the
    floors and the baseline exceed the limit.
    """

    limit: int
    baseline: int
    floors: Mapping[str, int]

    def __post_init__(self) -> None:
        if unknown := set(self.floors) - set(DESCRIPTOR_KINDS):
            raise InvalidParameterError(f"unknown kinds of descriptors: {sorted(unknown)}")
        if sum(self.floors.values()) + self.baseline > self.limit:
            raise InvalidParameterError("the floors and the baseline exceed the limit")


class DescriptorLedger:
    """Counts open descriptors and failed acquisitions by kind."""

    def __init__(self, config: DescriptorLedgerConfig) -> None:
        self.config = config
        self.used = dict.fromkeys(DESCRIPTOR_KINDS, 0)
        self.peak = config.baseline
        self.rejected = dict.fromkeys(DESCRIPTOR_KINDS, 0)

    @property
    def open_count(self) -> int:
        """Number of open descriptors of all kinds, including the baseline."""
        return self.config.baseline + sum(self.used.values())

    def available(self, kind: str) -> int:
        """Returns how many more descriptors of a kind may be opened without using the floors of other kinds."""
        reserved_for_others = sum(
            max(0, floor - self.used[other]) for other, floor in self.config.floors.items() if other != kind
        )
        return max(0, self.config.limit - self.open_count - reserved_for_others)

    def acquire(self, kind: str) -> bool:
        """Counts one more descriptor of a kind as open; returns false if none is available."""
        if self.available(kind) <= 0:
            self.rejected[kind] += 1
            return False
        self.used[kind] += 1
        self.peak = max(self.peak, self.open_count)
        return True

    def release(self, kind: str) -> None:
        """Records that a descriptor of a kind was closed."""
        self.used[kind] -= 1

    def reconfigure(self, config: DescriptorLedgerConfig) -> int:
        """Applies new limits; returns by how many the open descriptors exceed the new limit. None is closed."""
        self.config = config
        return max(0, self.open_count - config.limit)
