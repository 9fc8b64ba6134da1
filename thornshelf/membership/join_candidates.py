"""Join candidates: unknown names, each of which has to acknowledge a ping of this member before it becomes a member.

No candidate is accepted or gossiped on another member's report alone. This limits the harm of a malicious member that
reports invented members or impersonates them. Candidates that sent a datagram themselves are pinged before those that
were only reported.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from thornshelf.membership.states import MemberRecord, prevailing_record

MAX_CANDIDATES = 512
MAX_CANDIDATES_PER_SOURCE = 64  # reported by the same member
PINGS_PER_S = 100
PINGS_PER_BATCH = PINGS_PER_S // 10  # the pings of a tenth of a second are sent together
MAX_ATTEMPTS = 4  # the last one is indirect, in case the link works in one direction only
RETRY_INTERVAL_US = 300_000
MIN_SEQUENCE = 1 << 31  # above the range of the prober
MAX_SEQUENCE = 1 << 62


@dataclass(slots=True)
class Candidate:
    """A candidate and the state of its pings."""

    record: MemberRecord
    source: str  # the member that first reported it; its own name if it sent a datagram itself
    attempts: int = 0
    due_us: int = 0
    sequence: int = 0

    @property
    def is_reported(self) -> bool:
        """Whether the candidate is known only from another member's report."""
        return self.source != self.record.name


@dataclass(frozen=True, slots=True)
class CandidatePing:
    """An action: ping a candidate, through other members if ``indirect``."""

    record: MemberRecord
    sequence: int
    indirect: bool


class JoinCandidates:
    """The candidates that have not acknowledged a ping yet, bounded in total and per source."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._candidates: dict[str, Candidate] = {}
        self._count_by_source: Counter[str] = Counter()
        self._name_by_sequence: dict[int, str] = {}
        self._next_ping_us = 0  # rate limit of all pings

    def __len__(self) -> int:
        return len(self._candidates)

    def add(self, record: MemberRecord, source: str, now_us: int) -> bool:
        """Add or update a candidate; returns False if the limits leave no space for it."""
        known = self._candidates.get(record.name)
        if known is not None:
            self._update(known, record, source, now_us)
            return True
        if self._count_by_source[source] >= MAX_CANDIDATES_PER_SOURCE:
            return False
        if len(self._candidates) >= MAX_CANDIDATES:
            reported = next((one for one in self._candidates.values() if one.is_reported), None)
            if source != record.name or reported is None:
                return False
            self._drop(reported)
        self._candidates[record.name] = Candidate(record, source, due_us=now_us)
        self._count_by_source[source] += 1
        return True

    def _update(self, candidate: Candidate, record: MemberRecord, source: str, now_us: int) -> None:
        candidate.record = prevailing_record(candidate.record, record)
        if source == record.name and candidate.source != source:
            self._count_by_source[candidate.source] -= 1
            self._count_by_source[source] += 1
            candidate.source = source
            candidate.attempts = 0
            candidate.due_us = now_us

    def next_due_us(self) -> int | None:
        """Returns when the next ping is due, or None without candidates."""
        if not self._candidates:
            return None
        return max(self._next_ping_us, min(one.due_us for one in self._candidates.values()))

    def due_pings(self, now_us: int) -> list[CandidatePing]:
        """Returns the pings due within the rate limit, and drops candidates without remaining attempts."""
        pings: list[CandidatePing] = []
        if now_us < self._next_ping_us:
            return pings
        due = [one for one in self._candidates.values() if one.due_us <= now_us]
        due.sort(key=lambda one: (one.is_reported, one.due_us))
        for candidate in due[:PINGS_PER_BATCH]:
            self._name_by_sequence.pop(candidate.sequence, None)
            if candidate.attempts >= MAX_ATTEMPTS:
                self._drop(candidate)
            else:
                pings.append(self._ping(candidate, now_us))
        if pings:
            self._next_ping_us = now_us + len(pings) * 1_000_000 // PINGS_PER_S
        return pings

    def _ping(self, candidate: Candidate, now_us: int) -> CandidatePing:
        candidate.attempts += 1
        candidate.due_us = now_us + RETRY_INTERVAL_US
        # Random, so that an acknowledgement cannot be forged without having received the ping.
        candidate.sequence = self._random.randrange(MIN_SEQUENCE, MAX_SEQUENCE)
        self._name_by_sequence[candidate.sequence] = candidate.record.name
        return CandidatePing(candidate.record, candidate.sequence, candidate.attempts == MAX_ATTEMPTS)

    def ack_received(self, sequence: int) -> MemberRecord | None:
        """Remove and return the candidate whose ping has this sequence number; None if there is none."""
        name = self._name_by_sequence.get(sequence)
        if name is None:
            return None
        candidate = self._candidates[name]
        self._drop(candidate)
        return candidate.record

    def _drop(self, candidate: Candidate) -> None:
        self._name_by_sequence.pop(candidate.sequence, None)
        del self._candidates[candidate.record.name]
        self._count_by_source[candidate.source] -= 1
        if self._count_by_source[candidate.source] <= 0:
            del self._count_by_source[candidate.source]
