"""Configuration of the membership protocol. Times are whole microseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError

MAX_DATAGRAM_BYTES = 1_200  # below the MTU of any path, so that no datagram is fragmented
MIN_MEMBER_LIMIT = 1_024
MIN_PROBES_PER_INTERVAL = 3  # a probe interval has to leave time for direct and indirect probes
MAX_EXPECTED_CONFIRMATIONS = 3  # more independent suspicions do not shorten the timeout any further
RETRANSMIT_EXTRA = 3  # transmissions of a rumor beyond the logarithm of the fleet's size
MIN_WRITE_INTERVAL_US = 1_000_000


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Settings of one member.

    Raises ``InvalidParameterError`` where the limit of members is too small, or the probe timeout too long for the
    probe interval. Its texts name the keys of the operator's file.
    """

    fleet: str
    name: str
    address: str  # host:port at which the other members reach this one
    seeds: tuple[str, ...] = ()
    key: bytes = b""
    probe_interval_us: int = 500_000  # between two probes, while the local health multiplier is 0
    probe_timeout_us: int = 160_000  # for the direct ACK; after it, indirect probes are requested
    indirect_probes: int = 3  # members that are asked for an indirect probe
    min_suspicion_us: int = 800_000  # the shortest suspicion timeout, in a fleet of up to ten members
    max_suspicion_factor: int = 3  # the longest timeout, without confirmation, is so many times that
    refutation_grace_us: int = 400_000  # a member that others report as dead has so long to refute that
    reconnect_interval_us: int = 700_000  # between two attempts to reach a dead member or a missing seed
    push_pull_interval_us: int = 2_000_000  # between two comparisons with a random member
    dead_retention_us: int = 120_000_000  # dead and departed members are gossiped so long, then evicted
    max_members: int = 4_096
    max_known_addresses: int = 4_096  # of evicted members; reconnecting goes on however long they are away
    stall_threshold_us: int = 350_000  # a member that ran so late itself suspects nobody for that time
    entry_bytes_per_s: int = 1_200  # of map entries that a member receives from all writers together

    def __post_init__(self) -> None:
        if self.max_members < MIN_MEMBER_LIMIT:
            raise InvalidParameterError(f"most_members: at least {MIN_MEMBER_LIMIT}: {self.max_members}")
        if self.probe_timeout_us * MIN_PROBES_PER_INTERVAL > self.probe_interval_us:
            raise InvalidParameterError(
                "answer_ms: a probe has to leave time for the answers of others: a third of probe_ms"
            )

    def suspicion_timeout_us(self, live_count: int, confirmations: int, local_health_multiplier: int) -> int:
        """How long a suspected member has to refute the suspicion.

        The timeout shrinks with every independent suspicion (``confirmations``, the first one included), and grows
        with the fleet and with this member's own local health multiplier (Lifeguard).
        """
        shortest = self.min_suspicion_us * max(1.0, math.log10(max(1, live_count)))
        longest = shortest * self.max_suspicion_factor
        expected = min(MAX_EXPECTED_CONFIRMATIONS, max(0, live_count - 2))
        if not expected:
            return int(shortest * (1 + local_health_multiplier))
        progress = 0.0  # from the longest timeout to the shortest
        if confirmations > 1:
            progress = math.log(min(confirmations, expected + 1)) / math.log(expected + 1)
        timeout = max(shortest, longest - (longest - shortest) * progress)
        return int(timeout * (1 + local_health_multiplier / 2))

    def retransmit_limit(self, live_count: int) -> int:
        """How often one member passes on a rumor. Push-pull rounds repair what is lost all the same."""
        return max(1, live_count).bit_length() + RETRANSMIT_EXTRA

    def write_interval_us(self, live_count: int, entry_bytes: int) -> int:
        """How long a writer waits between two versions of an entry, so that all writers together keep the budget."""
        return max(MIN_WRITE_INTERVAL_US, live_count * entry_bytes * 1_000_000 // self.entry_bytes_per_s)


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The operator's table ``fleet``.

    ``listen``: host and port of the datagram socket. ``policies``: what the membership is used for, by the names
    of the operator's keys ``fleet.uses``. ``quota_hold_us``: how long a member that is gone still counts in quotas.
    """

    membership: MembershipConfig
    listen: tuple[str, int]
    policies: frozenset[str]
    quota_hold_us: int
