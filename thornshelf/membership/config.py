"""The figures of a fleet's view. Times are whole microseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

from thornshelf.errors import InvalidParameterError

MAX_DATAGRAM_BYTES = 1_200  # bytes: below any path's limit, so that nothing is cut to pieces on its way
MIN_MEMBER_LIMIT = 1_024


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """What one member goes by."""

    fleet: str
    name: str
    address: str  # host:port, where others reach it
    seeds: tuple[str, ...] = ()
    key: bytes = b""
    probe_interval_us: int = 500_000  # one member is probed each so often, while this one is in good health
    probe_timeout_us: int = 160_000  # so long for an answer; then others are asked to try
    indirect_probes: int = 3  # so many others
    min_suspicion_us: int = 800_000  # the shortest time to refute a suspicion, at up to ten members
    max_suspicion_factor: int = 3  # the longest is so many times that: without others' confirmation
    refutation_grace_us: int = 400_000  # the time to refute another's word that one is dead
    reconnect_interval_us: int = (
        700_000  # one that is dead, or a seed that is not there, is called each so often
    )
    push_pull_interval_us: int = 2_000_000  # with one other all that is known is compared each so often
    dead_retention_us: int = 120_000_000  # the dead and those that left are told of so long, then only called
    max_members: int = 4_096
    max_known_addresses: int = 4_096  # addresses that are called again however long their members are gone
    stall_threshold_us: int = 350_000  # a member whose own turns come so late blames nobody for that time
    entry_bytes_per_s: int = (
        1_200  # of shared entries that a member may hear in a second, all writers together
    )

    def __post_init__(self) -> None:
        if self.max_members < MIN_MEMBER_LIMIT:
            raise InvalidParameterError(f"most_members: at least {MIN_MEMBER_LIMIT}: {self.max_members}")
        if self.probe_timeout_us * 3 > self.probe_interval_us:
            raise InvalidParameterError(
                "answer_ms: a probe has to leave time for the answers of others: a third of probe_ms"
            )

    def suspicion_timeout_us(self, live_count: int, confirmations: int, local_health_multiplier: int) -> int:
        """How long a suspect has to refute, by the number of members and of those that found it silent themselves.

        It shrinks with independent confirmations, and longer where this member itself is in bad health (Lifeguard).
        """
        least = self.min_suspicion_us * max(1.0, math.log10(max(1, live_count)))
        most = least * self.max_suspicion_factor
        wanted = min(3, max(0, live_count - 2))  # confirmations that there can be
        if not wanted:
            return int(least * (1 + local_health_multiplier))
        share = math.log(min(confirmations, wanted + 1)) / math.log(wanted + 1) if confirmations > 1 else 0.0
        return int(max(least, most - (most - least) * share) * (1 + local_health_multiplier / 2))

    def retransmit_limit(self, live_count: int) -> int:
        """How often a rumour is passed on by one member."""
        return max(1, live_count).bit_length() + 3  # what misses a member all the same is found by comparing

    def write_interval_us(self, live_count: int, entry_bytes: int) -> int:
        """How long a writer waits between two versions of an entry, so that all of them together fit the budget."""
        return max(1_000_000, live_count * entry_bytes * 1_000_000 // self.entry_bytes_per_s)


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The operator's table: the terms, where to listen, what the view is used for, and how long allowances hold."""

    membership: MembershipConfig
    listen: tuple[str, int]
    policies: frozenset[str]
    quota_hold_us: int
