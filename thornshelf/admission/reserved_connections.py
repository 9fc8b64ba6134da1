"""Connections reserved for known sources.

Unknown sources never use the last ``floor`` connections. They may use the rest of the reservation as long as it can
be reclaimed at once: an unknown connection without an open request can be closed in favour of a known source, a busy
one can't. So unused reserved connections are not wasted, and a known source never waits for one.
"""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError


@dataclass(frozen=True, slots=True)
class ReservedConnectionsConfig:
    """``capacity``: all connections; ``reserved``: those for known sources; ``floor``: those that unknown sources
    never use.

    The floor should be as large as the number of connections that known sources open while an unknown connection is
    closed. Raises ``InvalidParameterError`` unless 0 <= floor <= reserved <= capacity.
    """

    capacity: int
    reserved: int
    floor: int

    def __post_init__(self) -> None:
        if not 0 <= self.floor <= self.reserved <= self.capacity:
            raise InvalidParameterError(
                "reserved connections: 0 <= floor <= reserved <= capacity does not hold"
            )


class ReservedConnections:
    """Counts open connections of known and unknown sources.

    In its methods, ``busy`` is the number of unknown connections that can't be closed now.
    """

    def __init__(self, config: ReservedConnectionsConfig) -> None:
        self.config = config
        self.known_count = 0
        self.unknown_count = 0

    @property
    def open_count(self) -> int:
        """Number of all open connections."""
        return self.known_count + self.unknown_count

    def withheld_from_unknown(self, busy: int) -> int:
        """Returns how many free connections unknown sources may not use now."""
        unused = max(0, self.config.reserved - self.known_count)
        # Only connections that can be closed at once may use what is reserved.
        closable = max(0, self.unknown_count - busy)
        return max(min(unused, self.config.floor), unused - closable)

    def can_open(self, known: bool, busy: int) -> bool:
        """Returns whether a source may open a connection without another being closed."""
        free = self.config.capacity - self.open_count
        return free > 0 if known else free > self.withheld_from_unknown(busy)

    def can_replace(self, busy: int) -> bool:
        """Returns whether an unknown connection can be closed in favour of a known source."""
        return self.unknown_count > busy

    def record_open(self, known: bool) -> None:
        """Counts an opened connection."""
        if known:
            self.known_count += 1
        else:
            self.unknown_count += 1

    def record_close(self, known: bool) -> None:
        """Counts a closed connection."""
        if known:
            self.known_count -= 1
        else:
            self.unknown_count -= 1

    def record_promotion(self) -> None:
        """Counts an unknown connection as known from now on, as its source became known by its reputation."""
        self.unknown_count -= 1
        self.known_count += 1
