"""SWIM's failure detector: which members to probe directly, through relays, and on behalf of others.

Each interval one member is probed, in a shuffled round-robin order. If it does not acknowledge the ping, some relays
are asked for indirect probes; if these fail as well, it is suspected. As in Lifeguard, a member that does not receive
the expected answers of its relays raises its own local health multiplier.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.member_table import MemberTable

NACK_TIMEOUT_FRACTION = 0.8  # of the probe timeout, after which a relay answers with a NACK
MAX_INDIRECT_PROBES = 256  # concurrent ones on behalf of others
MAX_INITIAL_SEQUENCE = 1 << 30


@dataclass(slots=True)
class Probe:
    """A probe in flight. Times are microseconds of the loop's clock."""

    target: str
    sequence: int
    indirect_due_us: int  # when indirect probes are requested
    end_us: int
    relay_count: int = 0  # relays asked for indirect probes, 0 before that
    nacks: int = 0  # received from relays


@dataclass(slots=True)
class IndirectProbe:
    """A probe on behalf of another member."""

    requester: str
    sequence: int  # the requester's
    target: str
    nack_due_us: int


@dataclass(frozen=True, slots=True)
class Ping:
    """An action: send a ping."""

    target: str
    sequence: int


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """An action: ask a member, the relay, to ping the target."""

    relay: str
    target: str
    sequence: int


@dataclass(frozen=True, slots=True)
class IndirectPingResult:
    """An action: send the requester of an indirect probe its result, an ACK or a NACK."""

    requester: str
    sequence: int
    acknowledged: bool


ProbeAction = Ping | IndirectPing | IndirectPingResult


class Prober:
    """The failure detector. Its methods return the actions to perform."""

    def __init__(
        self, config: MembershipConfig, table: MemberTable, random_source: random.Random, now_us: int
    ) -> None:
        self._config = config
        self._table = table
        self._random = random_source
        # A random offset, so that members which start together do not probe at the same times.
        self._next_probe_us = now_us + random_source.randrange(config.probe_interval_us)
        self._probe_order: list[str] = []  # the next target is the last item
        self._sequence = random_source.randrange(MAX_INITIAL_SEQUENCE)
        self._probe: Probe | None = None
        self._indirect_probes: dict[int, IndirectProbe] = {}  # by the sequence number of this member's ping

    def next_due_us(self) -> int:
        """Returns when ``tick`` is due next."""
        due = self._next_probe_us
        if self._probe is not None:
            due = min(due, self._probe.end_us if self._probe.relay_count else self._probe.indirect_due_us)
        for indirect in self._indirect_probes.values():
            due = min(due, indirect.nack_due_us)
        return due

    def tick(self, now_us: int) -> list[ProbeAction]:
        """Run all due timers; returns the actions to perform."""
        multiplier = self._table.local_health_multiplier
        actions = self._request_indirect_probes(now_us)
        self._end_probe(now_us)
        actions += self._expire_indirect_probes(now_us)
        if now_us >= self._next_probe_us:
            actions += self._start_interval(now_us, multiplier)
        return actions

    def _request_indirect_probes(self, now_us: int) -> list[ProbeAction]:
        probe = self._probe
        if probe is None or probe.relay_count or now_us < probe.indirect_due_us:
            return []
        relays = self._table.sample(self._config.indirect_probes, probe.target)
        probe.relay_count = max(1, len(relays))
        probe.nacks = 0 if relays else 1
        return [IndirectPing(relay, probe.target, probe.sequence) for relay in relays]

    def _end_probe(self, now_us: int) -> None:
        probe = self._probe
        if probe is None or now_us < probe.end_us:
            return
        self._probe = None
        if probe.nacks < probe.relay_count:
            # Some relays sent neither an ACK nor a NACK, so this member itself may be the faulty one.
            self._table.raise_health_multiplier()
        self._table.probe_failed(probe.target, now_us)

    def _expire_indirect_probes(self, now_us: int) -> list[ProbeAction]:
        actions: list[ProbeAction] = []
        expired = [
            sequence for sequence, indirect in self._indirect_probes.items() if now_us >= indirect.nack_due_us
        ]
        for sequence in expired:
            indirect = self._indirect_probes.pop(sequence)
            actions.append(IndirectPingResult(indirect.requester, indirect.sequence, False))
        return actions

    def _start_interval(self, now_us: int, local_health_multiplier: int) -> list[ProbeAction]:
        """Begin a probe interval. The local health multiplier extends it and the probe timeout."""
        interval_us = self._config.probe_interval_us * (1 + local_health_multiplier)
        self._next_probe_us = max(self._next_probe_us + interval_us, now_us + interval_us // 2)
        target = self._next_target()
        if target is None or self._probe is not None:
            return []
        self._sequence += 1
        timeout_us = self._config.probe_timeout_us * (1 + local_health_multiplier)
        # The probe ends just before the next interval begins; by then the relays have to answer.
        self._probe = Probe(target, self._sequence, now_us + timeout_us, self._next_probe_us - 1)
        return [Ping(target, self._sequence)]

    def compensate_stall(self, stall_us: int) -> None:
        """Cancel all probes in flight, as this process was stalled for this time and may have missed the answers."""
        self._probe = None
        self._indirect_probes.clear()
        self._next_probe_us += stall_us

    def ack_received(self, name: str, sequence: int) -> list[ProbeAction]:
        """Process an acknowledgement of a ping, sent by the member itself or through a relay."""
        if (indirect := self._indirect_probes.pop(sequence, None)) is not None:
            if indirect.target != name:
                return []
            return [IndirectPingResult(indirect.requester, indirect.sequence, True)]
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe = None
            self._table.lower_health_multiplier()
        return []

    def nack_received(self, sequence: int) -> None:
        """Process a relay's answer that the target did not acknowledge its ping."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe.nacks += 1

    def probe_on_behalf(self, requester: str, target: str, sequence: int, now_us: int) -> list[ProbeAction]:
        """Probe a member on behalf of another; ignored if too many such probes are in flight."""
        if len(self._indirect_probes) >= MAX_INDIRECT_PROBES or target not in self._table.members:
            return []
        self._sequence += 1
        nack_due_us = now_us + int(self._config.probe_timeout_us * NACK_TIMEOUT_FRACTION)
        self._indirect_probes[self._sequence] = IndirectProbe(requester, sequence, target, nack_due_us)
        return [Ping(target, self._sequence)]

    def _next_target(self) -> str | None:
        """Returns the next live member in the probe order, which is reshuffled when it is exhausted."""
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                if (member := self._table.members.get(name)) is not None and member.is_live:
                    return name
            self._probe_order = list(self._table.live_names)
            self._random.shuffle(self._probe_order)
        return None

    def probe_soon(self, name: str) -> None:
        """Probe a member next, because others suspect it."""
        if self._probe is None or self._probe.target != name:
            self._probe_order.append(name)

    def add_member(self, name: str) -> None:
        """Insert a new member into the probe order at a random position."""
        self._probe_order.insert(self._random.randrange(len(self._probe_order) + 1), name)
