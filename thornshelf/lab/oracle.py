"""What really happened in an experiment, as its fake clients and nodes count it; the dispatcher is not asked."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

FINAL_ANSWERS = ("placed", "refused", "failed")


@dataclass(slots=True)
class ObservedRequest:
    """One request for a task, and what its client received; times are those of the experiment's loop.

    ``answers``: the final ones; ``releases``: the connection on which each came; ``void``: the client has cancelled
    the request or closed its connection, and is owed nothing.
    """

    uid: int
    key: int
    at_most_once: bool
    sent_us: int
    deadline_us: int
    answers: list[str] = field(default_factory=list)
    releases: list[int] = field(default_factory=list)
    void: bool = False
    answered_us: int = 0


@dataclass(slots=True)
class Oracle:
    """All requests, starts and ends of one run.

    ``asked``: requests by uid; ``starts``: of tasks that must not be started twice, by idempotency key;
    ``has_client_hint``: by key, whether the client gave a lifetime hint; ``unmarked_hints``: how often a node got
    an assumed hint as if it were the client's; ``over``: when the node ended a task, by key;
    ``unknown_answers``: how many answers had the id of no request.
    """

    asked: dict[int, ObservedRequest] = field(default_factory=dict)
    starts: Counter[int] = field(default_factory=Counter)
    has_client_hint: dict[int, bool] = field(default_factory=dict)
    unmarked_hints: int = 0
    over: dict[int, int] = field(default_factory=dict)
    unknown_answers: int = 0

    def record_answer(self, uid: int, answer: str, now_us: int) -> None:
        """Record a final answer, one of ``FINAL_ANSWERS``."""
        request = self.asked.get(uid)
        if request is None:
            self.unknown_answers += 1
            return
        request.answers.append(answer)
        if len(request.answers) == 1:
            request.answered_us = now_us

    def record_release(self, uid: int, connection: int) -> None:
        """Record a release.

        A release may be sent again on another connection, where it is not known whether the first one arrived; the
        client recognizes it by the id. A second one on the same connection is a fault.
        """
        request = self.asked.get(uid)
        if request is None:
            self.unknown_answers += 1
        else:
            request.releases.append(connection)

    def lost(self, now_us: int, slack_us: int) -> list[int]:
        """Ids of requests without a final answer after their deadline, and of placed ones without a release."""
        found = []
        for request in self.asked.values():
            if request.void:
                continue
            if not request.answers and now_us > request.deadline_us + slack_us:
                found.append(request.uid)
            elif request.answers[:1] == ["placed"] and not request.releases:
                ended_us = self.over.get(request.key)
                if ended_us is None or ended_us < request.answered_us:
                    continue
                if now_us > ended_us + slack_us:
                    found.append(request.uid)
        return found

    def doubled(self) -> list[int]:
        """Ids of requests with two final answers, or with two releases on one connection."""
        return [
            request.uid
            for request in self.asked.values()
            if not request.void
            and (len(request.answers) > 1 or len(request.releases) > len(set(request.releases)))
        ]
