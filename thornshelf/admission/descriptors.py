"""A ledger of all file descriptors: each kind has a floor that no other kind can use.

The limit is the smaller of the configured one and that of the process. Descriptors are counted where they are opened
and closed; the ledger never queries the system.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError

DESCRIPTOR_KINDS = ("listeners", "clients", "nodes", "changelog", "log", "spare")


@dataclass(frozen=True, slots=True)
class DescriptorLedgerConfig:
    """The limits of a ledger, in descriptors.

    ``limit``: for all of them; ``baseline``: open at the start and not counted by kind; ``floors``: by kind, reserved
    for it. Raises ``InvalidParameterError`` for an unknown kind, or if the floors exceed the limit.
    """

    limit: int
    baseline: int
    floors: Mapping[str, int]

    def __post_init__(self) -> None:
        if unknown := set(self.floors) - set(DESCRIPTOR_KINDS):
            raise InvalidParameterError(f"no such kind: {sorted(unknown)}")
        if sum(self.floors.values()) + self.baseline > self.limit:
            raise InvalidParameterError("the floors are more than there is")


class DescriptorLedger:
    """Counts of open descriptors by kind, and of rejected requests for one."""

    def __init__(self, config: DescriptorLedgerConfig) -> None:
        self.config = config
        self.used = dict.fromkeys(DESCRIPTOR_KINDS, 0)
        self.peak = config.baseline
        self.rejected = dict.fromkeys(DESCRIPTOR_KINDS, 0)

    @property
    def open_count(self) -> int:
        """Open descriptors of all kinds, with the baseline."""
        return self.config.baseline + sum(self.used.values())

    def available(self, kind: str) -> int:
        """How many more of a kind may be opened without using the floors of other kinds."""
        reserved_for_others = sum(
            max(0, floor - self.used[other]) for other, floor in self.config.floors.items() if other != kind
        )
        return max(0, self.config.limit - self.open_count - reserved_for_others)

    def acquire(self, kind: str) -> bool:
        """Counts one more of a kind as open; false if none is available."""
        if self.available(kind) <= 0:
            self.rejected[kind] += 1
            return False
        self.used[kind] += 1
        self.peak = max(self.peak, self.open_count)
        return True

    def release(self, kind: str) -> None:
        """A descriptor of a kind was closed."""
        self.used[kind] -= 1

    def reconfigure(self, config: DescriptorLedgerConfig) -> int:
        """Applies new limits; returns how many open descriptors exceed them. None of these is closed."""
        self.config = config
        return max(0, self.open_count - config.limit)
