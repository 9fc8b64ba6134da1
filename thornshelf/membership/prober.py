"""Whom this member probes, whom it asks to try for it, and what it tries for others.

SWIM's cycle: one member a period, in an order that comes to each in turn; where it is silent, some others are asked
to try; where they get no answer either, it is suspected. Lifeguard's refinement: a member that misses what it should
have heard looks to itself first, and takes more time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.member_table import MemberTable

NACK_TIMEOUT_FRACTION = (
    0.8  # of the time for an answer: then one who was asked to try says that it has none either
)
MAX_INDIRECT_PROBES = 256


@dataclass(slots=True)
class Probe:
    """The probe that is out."""

    target: str
    sequence: int
    indirect_us: int  # others, then
    end_us: int
    indirect_pings: int = 0
    nacks: int = 0


@dataclass(slots=True)
class IndirectProbe:
    """A probe on another's behalf."""

    requester: str
    sequence: int  # the asker's
    target: str
    nack_us: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Send a ping."""

    target: str
    sequence: int


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """Ask a member to ping another."""

    relay: str
    target: str
    sequence: int


@dataclass(frozen=True, slots=True)
class IndirectPingResult:
    """Tell an asker of its errand's end."""

    requester: str
    sequence: int
    acknowledged: bool


ProbeAction = Ping | IndirectPing | IndirectPingResult


class Prober:
    """The cycle; its calls say what is to be sent."""

    def __init__(
        self, terms: MembershipConfig, table: MemberTable, chance: random.Random, now_us: int
    ) -> None:
        self._terms, self._table, self._chance = terms, table, chance
        self._next_us = now_us + chance.randrange(
            terms.probe_interval_us
        )  # members that start together keep apart
        self._ring: list[str] = []
        self._seq = chance.randrange(1 << 30)
        self._probe: Probe | None = None
        self._errands: dict[int, IndirectProbe] = {}

    def next_due_us(self) -> int:
        """When ``pass_time`` has something to do next."""
        due = self._next_us
        if self._probe is not None:
            due = min(due, self._probe.end_us if self._probe.indirect_pings else self._probe.indirect_us)
        for errand in self._errands.values():
            due = min(due, errand.nack_us)
        return due

    def tick(self, now_us: int) -> list[ProbeAction]:
        """What is to be sent now."""
        orders: list[ProbeAction] = []
        probe, health = self._probe, self._table.local_health_multiplier
        if probe is not None and not probe.indirect_pings and now_us >= probe.indirect_us:
            relays = self._table.sample(self._terms.indirect_probes, probe.target)
            probe.indirect_pings = max(1, len(relays))
            probe.nacks = 0 if relays else 1
            orders += [IndirectPing(relay, probe.target, probe.sequence) for relay in relays]
        if probe is not None and now_us >= probe.end_us:
            self._probe = None
            if probe.nacks < probe.indirect_pings:
                self._table.raise_health_multiplier()  # those that were asked are silent, too: the fault may be here
            self._table.probe_failed(probe.target, now_us)
        for seq in [seq for seq, errand in self._errands.items() if now_us >= errand.nack_us]:
            errand = self._errands.pop(seq)
            orders.append(IndirectPingResult(errand.requester, errand.sequence, False))
        if now_us >= self._next_us:
            period = self._terms.probe_interval_us * (1 + health)
            self._next_us = max(self._next_us + period, now_us + period // 2)
            if (name := self._next_name()) is not None and self._probe is None:
                self._seq += 1
                # What is asked of others has to come back before the next period begins.
                self._probe = Probe(
                    name, self._seq, now_us + self._terms.probe_timeout_us * (1 + health), self._next_us - 1
                )
                orders.append(Ping(name, self._seq))
        return orders

    def compensate_stall(self, gap_us: int) -> None:
        """This member was away: the probe that was out proves nothing."""
        self._probe = None
        self._errands.clear()
        self._next_us += gap_us

    def ack_received(self, name: str, seq: int) -> list[ProbeAction]:
        """An answer to a ping."""
        if (errand := self._errands.pop(seq, None)) is not None:
            return (
                [IndirectPingResult(errand.requester, errand.sequence, True)] if errand.target == name else []
            )
        probe = self._probe
        if (
            probe is not None and probe.sequence == seq
        ):  # by the member itself, or by one that was asked to try
            self._probe = None
            self._table.lower_health_multiplier()
        return []

    def nack_received(self, seq: int) -> None:
        """One that was asked to try has no answer either."""
        if self._probe is not None and self._probe.sequence == seq:
            self._probe.nacks += 1

    def probe_for(self, asker: str, name: str, seq: int, now_us: int) -> list[ProbeAction]:
        """Another asks to try a member."""
        if len(self._errands) >= MAX_INDIRECT_PROBES or name not in self._table.members:
            return []
        self._seq += 1
        nack_us = now_us + int(self._terms.probe_timeout_us * NACK_TIMEOUT_FRACTION)
        self._errands[self._seq] = IndirectProbe(asker, seq, name, nack_us)
        return [Ping(name, self._seq)]

    def _next_name(self) -> str | None:
        """Each live member in turn."""
        for _ in range(2):
            while self._ring:
                name = self._ring.pop()
                if (member := self._table.members.get(name)) is not None and member.is_live:
                    return name
            self._ring = list(self._table.live_names)
            self._chance.shuffle(self._ring)
        return None

    def probe_soon(self, name: str) -> None:
        """Somebody suspects it: this member looks for itself."""
        if self._probe is None or self._probe.target != name:
            self._ring.append(name)

    def add_member(self, name: str) -> None:
        """A new member takes a place in the order."""
        self._ring.insert(self._chance.randrange(len(self._ring) + 1), name)
