"""Configuration of the membership protocol. Times are whole microseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError

MAX_DATAGRAM_BYTES = 1_200  # below the usual path MTU, so that no datagram is fragmented
MIN_MEMBER_LIMIT = 1_024
MIN_PROBES_PER_INTERVAL = 3  # probe timeouts that a probe interval has to cover
MAX_EXPECTED_CONFIRMATIONS = 3  # further ones do not shorten the suspicion timeout
RETRANSMIT_EXTRA = 3  # transmissions of a rumor in addition to the logarithm of the fleet size
MIN_WRITE_INTERVAL_US = 1_000_000


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Settings of one member.

    Raises ``InvalidParameterError`` if ``max_members`` is too small, or the probe timeout too long for the probe
    interval. The messages name the keys of the operator's file.
    """

    fleet: str
    name: str
    address: str  # host:port at which other members reach this one
    seeds: tuple[str, ...] = ()
    key: bytes = b""
    probe_interval_us: int = 500_000  # between two probes at a local health multiplier of 0
    probe_timeout_us: int = 160_000  # of the direct probe; then indirect probes are requested
    indirect_probes: int = 3  # members asked for an indirect probe
    min_suspicion_us: int = 800_000  # shortest suspicion timeout, in a fleet of up to ten members
    max_suspicion_factor: int = 3  # longest (unconfirmed) to shortest suspicion timeout
    refutation_grace_us: int = 400_000  # time for a member reported as dead to refute that
    reconnect_interval_us: int = 700_000  # between attempts to reach dead members and missing seeds
    push_pull_interval_us: int = 2_000_000  # mean time between two push-pull rounds
    dead_retention_us: int = 120_000_000  # dead and departed members are evicted after this time
    max_members: int = 4_096
    max_known_addresses: int = 4_096  # former addresses kept for reconnecting
    stall_threshold_us: int = 350_000  # a timer later than this counts as a stall of this process
    entry_bytes_per_s: int = 1_200  # budget of map entries received from all writers together

    def __post_init__(self) -> None:
        if self.max_members < MIN_MEMBER_LIMIT:
            raise InvalidParameterError(f"most_members: at least {MIN_MEMBER_LIMIT}: {self.max_members}")
        if self.probe_timeout_us * MIN_PROBES_PER_INTERVAL > self.probe_interval_us:
            raise InvalidParameterError(
                "answer_ms: at most a third of probe_ms, to leave time for indirect probes"
            )

    def suspicion_timeout_us(self, live_count: int, confirmations: int, local_health_multiplier: int) -> int:
        """Returns how long a suspected member has to refute the suspicion.

        The timeout shrinks with every independent suspicion (``confirmations``, which includes the first one), and
        grows with the size of the fleet and with the local health multiplier of this member (Lifeguard).
        """
        shortest = self.min_suspicion_us * max(1.0, math.log10(max(1, live_count)))
        longest = shortest * self.max_suspicion_factor
        expected = min(MAX_EXPECTED_CONFIRMATIONS, max(0, live_count - 2))
        if not expected:
            return int(shortest * (1 + local_health_multiplier))
        progress = 0.0  # 0 for the longest timeout, 1 for the shortest
        if confirmations > 1:
            progress = math.log(min(confirmations, expected + 1)) / math.log(expected + 1)
        timeout = max(shortest, longest - (longest - shortest) * progress)
        return int(timeout * (1 + local_health_multiplier / 2))

    def retransmit_limit(self, live_count: int) -> int:
        """Returns how often a member transmits a rumor. Push-pull rounds repair what is lost nevertheless."""
        return max(1, live_count).bit_length() + RETRANSMIT_EXTRA

    def write_interval_us(self, live_count: int, entry_bytes: int) -> int:
        """Returns the time between two writes of an entry that keeps all writers within the traffic budget."""
        return max(MIN_WRITE_INTERVAL_US, live_count * entry_bytes * 1_000_000 // self.entry_bytes_per_s)


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The operator's table ``fleet``.

    ``listen``: host and port of the datagram socket. ``policies``: the enabled uses of the membership, by their names
    in ``fleet.uses``. ``quota_hold_us``: how long a departed member still counts in quotas.
    """

    membership: MembershipConfig
    listen: tuple[str, int]
    policies: frozenset[str]
    quota_hold_us: int
