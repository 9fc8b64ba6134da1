"""Whom this member probes, whom it asks for indirect probes, and what it probes on behalf of others.

SWIM's failure detector: one member an interval, in a shuffled order that reaches each in turn. Where it does not
acknowledge, some others are asked for an indirect probe; where that fails as well, it is suspected. Lifeguard's
refinement: a member that misses what it should have received raises its own local health multiplier first.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.member_table import MemberTable

NACK_TIMEOUT_FRACTION = 0.8  # of the probe timeout: after it, an indirect probe is answered with a NACK
MAX_INDIRECT_PROBES = 256  # on behalf of others at a time
MAX_INITIAL_SEQUENCE = 1 << 30


@dataclass(slots=True)
class Probe:
    """The probe in flight. Times are microseconds of the loop's clock."""

    target: str
    sequence: int
    indirect_us: int  # when indirect probes are requested
    end_us: int
    indirect_pings: int = 0  # requested
    nacks: int = 0


@dataclass(slots=True)
class IndirectProbe:
    """A probe on behalf of another member."""

    requester: str
    sequence: int  # the requester's
    target: str
    nack_us: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Send a ping."""

    target: str
    sequence: int


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """Ask a member, the relay, to ping another."""

    relay: str
    target: str
    sequence: int


@dataclass(frozen=True, slots=True)
class IndirectPingResult:
    """Send the requester of an indirect probe its result, an ACK or a NACK."""

    requester: str
    sequence: int
    acknowledged: bool


ProbeAction = Ping | IndirectPing | IndirectPingResult


class Prober:
    """The failure detector; its calls return what is to be sent."""

    def __init__(
        self, config: MembershipConfig, table: MemberTable, random_source: random.Random, now_us: int
    ) -> None:
        self._config = config
        self._table = table
        self._random = random_source
        # Members that start together do not probe together.
        self._next_probe_us = now_us + random_source.randrange(config.probe_interval_us)
        self._probe_order: list[str] = []  # the next one last
        self._sequence = random_source.randrange(MAX_INITIAL_SEQUENCE)
        self._probe: Probe | None = None
        self._indirect_probes: dict[int, IndirectProbe] = {}  # by this member's own sequence number

    def next_due_us(self) -> int:
        """When ``tick`` has something to do next."""
        due = self._next_probe_us
        if self._probe is not None:
            due = min(due, self._probe.end_us if self._probe.indirect_pings else self._probe.indirect_us)
        for indirect in self._indirect_probes.values():
            due = min(due, indirect.nack_us)
        return due

    def tick(self, now_us: int) -> list[ProbeAction]:
        """Do what is due; returns what is to be sent."""
        multiplier = self._table.local_health_multiplier
        actions = self._request_indirect_probes(now_us)
        self._end_probe(now_us)
        actions += self._expire_indirect_probes(now_us)
        if now_us >= self._next_probe_us:
            actions += self._start_interval(now_us, multiplier)
        return actions

    def _request_indirect_probes(self, now_us: int) -> list[ProbeAction]:
        probe = self._probe
        if probe is None or probe.indirect_pings or now_us < probe.indirect_us:
            return []
        relays = self._table.sample(self._config.indirect_probes, probe.target)
        probe.indirect_pings = max(1, len(relays))
        probe.nacks = 0 if relays else 1
        return [IndirectPing(relay, probe.target, probe.sequence) for relay in relays]

    def _end_probe(self, now_us: int) -> None:
        probe = self._probe
        if probe is None or now_us < probe.end_us:
            return
        self._probe = None
        if probe.nacks < probe.indirect_pings:
            # The relays did not answer either, so the fault may be this member's own.
            self._table.raise_health_multiplier()
        self._table.probe_failed(probe.target, now_us)

    def _expire_indirect_probes(self, now_us: int) -> list[ProbeAction]:
        actions: list[ProbeAction] = []
        expired = [
            sequence for sequence, indirect in self._indirect_probes.items() if now_us >= indirect.nack_us
        ]
        for sequence in expired:
            indirect = self._indirect_probes.pop(sequence)
            actions.append(IndirectPingResult(indirect.requester, indirect.sequence, False))
        return actions

    def _start_interval(self, now_us: int, local_health_multiplier: int) -> list[ProbeAction]:
        """Begin a probe interval; the local health multiplier stretches it and the probe timeout."""
        interval_us = self._config.probe_interval_us * (1 + local_health_multiplier)
        self._next_probe_us = max(self._next_probe_us + interval_us, now_us + interval_us // 2)
        target = self._next_target()
        if target is None or self._probe is not None:
            return []
        self._sequence += 1
        timeout_us = self._config.probe_timeout_us * (1 + local_health_multiplier)
        # The answers to indirect probes have to arrive before the next interval begins.
        self._probe = Probe(target, self._sequence, now_us + timeout_us, self._next_probe_us - 1)
        return [Ping(target, self._sequence)]

    def compensate_stall(self, stall_us: int) -> None:
        """This member itself was stalled for so long: the probes in flight prove nothing."""
        self._probe = None
        self._indirect_probes.clear()
        self._next_probe_us += stall_us

    def ack_received(self, name: str, sequence: int) -> list[ProbeAction]:
        """Take an acknowledgement of a ping, by the member itself or through a relay."""
        if (indirect := self._indirect_probes.pop(sequence, None)) is not None:
            if indirect.target != name:
                return []
            return [IndirectPingResult(indirect.requester, indirect.sequence, True)]
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe = None
            self._table.lower_health_multiplier()
        return []

    def nack_received(self, sequence: int) -> None:
        """Take a relay's answer that the target has not acknowledged its ping either."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe.nacks += 1

    def probe_for(self, requester: str, target: str, sequence: int, now_us: int) -> list[ProbeAction]:
        """Probe a member on behalf of another."""
        if len(self._indirect_probes) >= MAX_INDIRECT_PROBES or target not in self._table.members:
            return []
        self._sequence += 1
        nack_us = now_us + int(self._config.probe_timeout_us * NACK_TIMEOUT_FRACTION)
        self._indirect_probes[self._sequence] = IndirectProbe(requester, sequence, target, nack_us)
        return [Ping(target, self._sequence)]

    def _next_target(self) -> str | None:
        """The next live member in the order, which is shuffled anew at its end."""
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                if (member := self._table.members.get(name)) is not None and member.is_live:
                    return name
            self._probe_order = list(self._table.live_names)
            self._random.shuffle(self._probe_order)
        return None

    def probe_soon(self, name: str) -> None:
        """Probe a member next, as others suspect it."""
        if self._probe is None or self._probe.target != name:
            self._probe_order.append(name)

    def add_member(self, name: str) -> None:
        """Put a new member into the order, at a random place."""
        self._probe_order.insert(self._random.randrange(len(self._probe_order) + 1), name)
