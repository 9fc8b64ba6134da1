"""An independent record of an experiment, kept by its fake clients and nodes, not by the dispatcher under test."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

FINAL_ANSWERS = ("placed", "refused", "failed")


@dataclass(slots=True)
class ObservedRequest:
    """One request for a task, and what its client received; times are those of the experiment's loop.

    ``key``: its idempotency key; ``at_most_once``: its task must not be started twice; ``answers``: final answers;
    ``releases``: number of the connection of each release; ``void``: the client has cancelled the request or closed
    its connection, so that a missing answer or release is not a fault; ``answered_us``: time of the first answer.
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

    ``requests``: requests by id; ``starts_by_key``: starts of each task that must not be started twice, by
    idempotency key; ``has_client_hint``: whether the client gave a lifetime hint, by key; ``unmarked_hints``: number
    of offers with an assumed hint that was not marked as assumed; ``ended_us``: when the node ended a task, by key;
    ``unknown_answers``: number of answers and releases whose id belongs to no request.
    """

    requests: dict[int, ObservedRequest] = field(default_factory=dict)
    starts_by_key: Counter[int] = field(default_factory=Counter)
    has_client_hint: dict[int, bool] = field(default_factory=dict)
    unmarked_hints: int = 0
    ended_us: dict[int, int] = field(default_factory=dict)
    unknown_answers: int = 0

    def record_answer(self, uid: int, answer: str, now_us: int) -> None:
        """Record a final answer, one of ``FINAL_ANSWERS``."""
        request = self.requests.get(uid)
        if request is None:
            self.unknown_answers += 1
            return
        request.answers.append(answer)
        if len(request.answers) == 1:
            request.answered_us = now_us

    def record_release(self, uid: int, connection: int) -> None:
        """Record a release.

        The dispatcher may send a release again on another connection if it does not know whether the first one
        arrived. A second release on the same connection is a fault.
        """
        request = self.requests.get(uid)
        if request is None:
            self.unknown_answers += 1
        else:
            request.releases.append(connection)

    def lost(self, now_us: int, slack_us: int) -> list[int]:
        """Return the ids of requests that lack their answer or release.

        A final answer is due at the deadline, the release of a placed request when the node has ended its task;
        ``slack_us`` is allowed after either.
        """
        found = []
        for request in self.requests.values():
            if request.void:
                continue
            if not request.answers and now_us > request.deadline_us + slack_us:
                found.append(request.uid)
            elif request.answers[:1] == ["placed"] and not request.releases:
                ended_us = self.ended_us.get(request.key)
                if ended_us is None or ended_us < request.answered_us:
                    continue
                if now_us > ended_us + slack_us:
                    found.append(request.uid)
        return found

    def duplicated(self) -> list[int]:
        """Return the ids of requests with several final answers, or with several releases on one connection."""
        return [
            request.uid
            for request in self.requests.values()
            if not request.void
            and (len(request.answers) > 1 or len(request.releases) > len(set(request.releases)))
        ]
