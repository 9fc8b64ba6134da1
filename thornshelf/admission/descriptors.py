"""One ledger of all descriptors: each kind has a floor that no other kind can take.

The limit is the smaller of the configured one and the process's own, less what is open at the start. Counts are
kept where descriptors are made and closed; the ledger never looks at the system.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError

DESCRIPTOR_KINDS = ("listeners", "clients", "nodes", "changelog", "log", "spare")


@dataclass(frozen=True, slots=True)
class DescriptorLedgerConfig:
    """``limit``: descriptors in all; ``base``: those that are not counted by kind; ``floors``: by kind."""

    limit: int
    baseline: int
    floors: Mapping[str, int]

    def __post_init__(self) -> None:
        if unknown := set(self.floors) - set(DESCRIPTOR_KINDS):
            raise InvalidParameterError(f"no such kind: {sorted(unknown)}")
        if sum(self.floors.values()) + self.baseline > self.limit:
            raise InvalidParameterError("the floors are more than there is")


class DescriptorLedger:
    """What is open, by kind."""

    def __init__(self, config: DescriptorLedgerConfig) -> None:
        self.config = config
        self.used = dict.fromkeys(DESCRIPTOR_KINDS, 0)
        self.peak = config.baseline
        self.rejected = dict.fromkeys(DESCRIPTOR_KINDS, 0)

    @property
    def open_count(self) -> int:
        """All of them."""
        return self.config.baseline + sum(self.used.values())

    def available(self, kind: str) -> int:
        """How many more of a kind may be opened: the limit, less what is open and what others' floors keep."""
        kept = sum(
            max(0, floor - self.used[other]) for other, floor in self.config.floors.items() if other != kind
        )
        return max(0, self.config.limit - self.open_count - kept)

    def acquire(self, kind: str) -> bool:
        """Open one more; false where there is no room for it."""
        if self.available(kind) <= 0:
            self.rejected[kind] += 1
            return False
        self.used[kind] += 1
        self.peak = max(self.peak, self.open_count)
        return True

    def release(self, kind: str) -> None:
        """One was closed."""
        self.used[kind] -= 1

    def reconfigure(self, config: DescriptorLedgerConfig) -> int:
        """New terms, maybe below what is open: nothing is dropped by them; how many are too many now."""
        self.config = config
        return max(0, self.open_count - config.limit)
