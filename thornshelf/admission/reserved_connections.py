"""Connections kept for known counties.

Unknown sources never use the last ``floor`` places. The rest of the reserve is lent to them as far as it could be
taken back at once: an unknown connection without an open set-up can be closed for a known one, one with an open
set-up can't. So an unused reserve is not wasted, and a known county finds a place without waiting for anybody.
"""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError


@dataclass(frozen=True, slots=True)
class ReservedConnectionsConfig:
    """``capacity``: connections in all; ``reserve`` of them for known sources; ``floor`` of these are never lent:
    as many as known sources may open in the time that it takes to close a lent one."""

    capacity: int
    reserved: int
    floor: int

    def __post_init__(self) -> None:
        if not 0 <= self.floor <= self.reserved <= self.capacity:
            raise InvalidParameterError("0 <= floor <= reserve <= capacity")


class ReservedConnections:
    """Counts of open connections; ``busy``: unknown ones that can't be closed now."""

    def __init__(self, config: ReservedConnectionsConfig) -> None:
        self.config = config
        self.known_count = 0
        self.unknown_count = 0

    @property
    def open_count(self) -> int:
        """All of them."""
        return self.known_count + self.unknown_count

    def withheld_from_unknown(self, busy: int) -> int:
        """Places that unknown sources may not take now."""
        terms = self.config
        unused = max(0, terms.reserved - self.known_count)
        # What is lent has to come back at once: only closable connections may stand on it.
        closable = max(0, self.unknown_count - busy)
        return max(min(unused, terms.floor), unused - closable)

    def can_open(self, known: bool, busy: int) -> bool:
        """There is a place as things are."""
        room = self.config.capacity - self.open_count
        return room > 0 if known else room > self.withheld_from_unknown(busy)

    def can_replace(self, busy: int) -> bool:
        """A known source may have the place of an unknown connection that can be closed."""
        return self.unknown_count > busy

    def record_open(self, known: bool) -> None:
        """One more."""
        if known:
            self.known_count += 1
        else:
            self.unknown_count += 1

    def record_close(self, known: bool) -> None:
        """One less."""
        if known:
            self.known_count -= 1
        else:
            self.unknown_count -= 1

    def record_promotion(self) -> None:
        """A source has become known by its conduct: one of its connections counts as known from now on."""
        self.unknown_count -= 1
        self.known_count += 1
