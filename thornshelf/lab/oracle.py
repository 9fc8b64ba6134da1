"""What really happened, by the stand-ins' own count: never by the dispatcher's."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

FINAL_ANSWERS = ("placed", "refused", "failed")


@dataclass(slots=True)
class ObservedRequest:
    """One set-up of one task: an id, and what its client heard."""

    uid: int
    key: int
    ledger: bool
    sent_us: int
    deadline_us: int
    answers: list[str] = field(default_factory=list)  # final ones
    ends: list[int] = field(default_factory=list)  # releases, by the connection that each came on
    void: bool = False  # its client gave it up, or closed its connection: nothing is owed
    answered_us: int = 0


@dataclass(slots=True)
class Oracle:
    """All set-ups, all starts and all ends of one run."""

    asked: dict[int, ObservedRequest] = field(default_factory=dict)
    starts: Counter[int] = field(default_factory=Counter)  # by key, of tasks that must not be started twice
    own_hints: dict[int, bool] = field(default_factory=dict)  # by key: its owner gave one
    silent_hints: int = 0  # a node was given a hint as the owner's own, and the owner had given none
    over: dict[int, int] = field(default_factory=dict)  # by key: when its node ended its run
    unknown: int = 0  # answers about ids that nobody asked under

    def final(self, uid: int, word: str, now_us: int) -> None:
        """A client hears a final answer."""
        asked = self.asked.get(uid)
        if asked is None:
            self.unknown += 1
            return
        asked.answers.append(word)
        if len(asked.answers) == 1:
            asked.answered_us = now_us

    def released(self, uid: int, connection: int) -> None:
        """A client hears that a task which stood is over.

        It knows by the id what it has heard before: a release told again on another connection, as it could not be
        known whether the first came through, is no second end. On the same one it is.
        """
        asked = self.asked.get(uid)
        if asked is None:
            self.unknown += 1
        else:
            asked.ends.append(connection)

    def lost(self, now_us: int, slack_us: int) -> list[int]:
        """Ids without a final answer after their time, and placed ones whose end was never told."""
        found = []
        for one in self.asked.values():
            if one.void:
                continue
            if not one.answers and now_us > one.deadline_us + slack_us:
                found.append(one.uid)
            elif one.answers[:1] == ["placed"] and not one.ends:
                ended = self.over.get(one.key)
                if ended is not None and ended >= one.answered_us and now_us > ended + slack_us:
                    found.append(one.uid)
        return found

    def doubled(self) -> list[int]:
        """Ids with two final answers, or with two ends; what was given up is owed nothing, and knows nothing."""
        kept = [one for one in self.asked.values() if not one.void]
        return [one.uid for one in kept if len(one.answers) > 1 or len(one.ends) > len(set(one.ends))]
