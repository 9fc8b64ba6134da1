"""Names that are not known yet: each has to answer a ping of this very member before it counts as one.

Guards against a member that invents others by the thousand, or speaks in their names: nobody is taken at another's
word, nor passed on. One that speaks itself is tried before hearsay.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from thornshelf.membership.states import MemberRecord, prevailing_record

MAX_CANDIDATES = 512  # that wait for their answer
MAX_CANDIDATES_PER_SOURCE = 64  # named by one member
PINGS_PER_S = 100
MAX_ATTEMPTS = 4  # the last through others, where its link to this member works one way
RETRY_INTERVAL_US = 300_000  # between two tries


@dataclass(slots=True)
class Candidate:
    """A name, and how it is being tried."""

    record: MemberRecord
    source: str  # who named it; itself, where it has spoken
    attempts: int = 0
    due_us: int = 0
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class CandidatePing:
    """Ping this one; through others where ``relayed``."""

    record: MemberRecord
    sequence: int
    indirect: bool


class JoinCandidates:
    """Those that wait for their answer."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._waiting: dict[str, Candidate] = {}
        self._by_teller: Counter[str] = Counter()
        self._by_seq: dict[int, str] = {}
        self._next_us = 0  # the next ping, whoever's

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, claim: MemberRecord, teller: str, now_us: int) -> bool:
        """A name; false where there is no room for it now. It will be heard again."""
        known = self._waiting.get(claim.name)
        if known is not None:
            known.record = prevailing_record(known.record, claim)
            if teller == claim.name and known.source != teller:
                self._by_teller[known.source] -= 1
                self._by_teller[teller] += 1
                known.source, known.attempts, known.due_us = teller, 0, now_us
            return True
        if self._by_teller[teller] >= MAX_CANDIDATES_PER_SOURCE:
            return False
        if len(self._waiting) >= MAX_CANDIDATES:
            hearsay = next((one for one in self._waiting.values() if one.source != one.record.name), None)
            if teller != claim.name or hearsay is None:
                return False
            self._drop(hearsay)
        self._waiting[claim.name] = Candidate(claim, teller, due_us=now_us)
        self._by_teller[teller] += 1
        return True

    def next_due_us(self) -> int | None:
        """When the next one is to be tried."""
        if not self._waiting:
            return None
        return max(self._next_us, min(one.due_us for one in self._waiting.values()))

    def due_pings(self, now_us: int) -> list[CandidatePing]:
        """Those that are to be tried now, as many as the pace allows; one that was tried often enough is dropped."""
        found: list[CandidatePing] = []
        if now_us < self._next_us:
            return found
        waiting = [one for one in self._waiting.values() if one.due_us <= now_us]
        waiting.sort(key=lambda one: (one.source != one.record.name, one.due_us))
        # A tenth of a second's pings may go together.
        for one in waiting[: PINGS_PER_S // 10]:
            self._by_seq.pop(one.sequence, None)
            if one.attempts >= MAX_ATTEMPTS:
                self._drop(one)
                continue
            one.attempts += 1
            one.due_us = now_us + RETRY_INTERVAL_US
            one.sequence = self._chance.randrange(
                1 << 31, 1 << 62
            )  # nobody can guess it, and no probe has it
            self._by_seq[one.sequence] = one.record.name
            found.append(CandidatePing(one.record, one.sequence, one.attempts == MAX_ATTEMPTS))
        if found:
            self._next_us = now_us + len(found) * 1_000_000 // PINGS_PER_S
        return found

    def ack_received(self, seq: int) -> MemberRecord | None:
        """Whose answer this is; it is a stranger no more."""
        name = self._by_seq.get(seq)
        if name is None:
            return None
        one = self._waiting[name]
        self._drop(one)
        return one.record

    def _drop(self, one: Candidate) -> None:
        self._by_seq.pop(one.sequence, None)
        del self._waiting[one.record.name]
        self._by_teller[one.source] -= 1
        if self._by_teller[one.source] <= 0:
            del self._by_teller[one.source]
