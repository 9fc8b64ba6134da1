"""Connections reserved for known sources.

Unknown sources never use the last ``floor`` connections. The rest of the reservation is available to them as far as
it could be reclaimed at once: an unknown connection without an open request can be closed for a known one, one with
an open request can't. So an unused reservation is not wasted, and a known source never waits for a connection.
"""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError


@dataclass(frozen=True, slots=True)
class ReservedConnectionsConfig:
    """``capacity``: all connections; ``reserved``: those for known sources; ``floor``: those that unknown sources
    never use, as many as known sources may open in the time that it takes to close an unknown connection.

    Raises ``InvalidParameterError`` unless 0 <= floor <= reserved <= capacity.
    """

    capacity: int
    reserved: int
    floor: int

    def __post_init__(self) -> None:
        if not 0 <= self.floor <= self.reserved <= self.capacity:
            raise InvalidParameterError("0 <= floor <= reserve <= capacity")


class ReservedConnections:
    """Counts of open connections. In its methods, ``busy``: unknown connections that can't be closed now."""

    def __init__(self, config: ReservedConnectionsConfig) -> None:
        self.config = config
        self.known_count = 0
        self.unknown_count = 0

    @property
    def open_count(self) -> int:
        """All open connections."""
        return self.known_count + self.unknown_count

    def withheld_from_unknown(self, busy: int) -> int:
        """Free connections that unknown sources may not use now."""
        unused = max(0, self.config.reserved - self.known_count)
        # Only connections that can be closed at once may use what is reserved.
        closable = max(0, self.unknown_count - busy)
        return max(min(unused, self.config.floor), unused - closable)

    def can_open(self, known: bool, busy: int) -> bool:
        """Whether a source may open a connection without closing another."""
        free = self.config.capacity - self.open_count
        return free > 0 if known else free > self.withheld_from_unknown(busy)

    def can_replace(self, busy: int) -> bool:
        """Whether an unknown connection can be closed in favour of a known source."""
        return self.unknown_count > busy

    def record_open(self, known: bool) -> None:
        """A connection was opened."""
        if known:
            self.known_count += 1
        else:
            self.unknown_count += 1

    def record_close(self, known: bool) -> None:
        """A connection was closed."""
        if known:
            self.known_count -= 1
        else:
            self.unknown_count -= 1

    def record_promotion(self) -> None:
        """The source of an unknown connection became known by its reputation: the connection counts as known."""
        self.unknown_count -= 1
        self.known_count += 1
