"""Releases that a client connection has sent and that may have to be sent again on another connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause

MAX_UNACKNOWLEDGED_RELEASES = 4096  # of a client that acknowledges releases; the oldest are discarded first


class PendingWrite(Protocol):
    """A message that has been queued on a connection."""

    @property
    def fully_sent(self) -> bool:
        """Whether all of it was handed to the operating system."""


@dataclass(eq=False, slots=True)
class SentRelease:
    """A release, and the write that carries it."""

    write: PendingWrite
    outcome: Outcome
    reason: Reason
    detail: FailureCause | None


def pending_releases(
    releases: dict[int, SentRelease], acknowledges_releases: bool
) -> list[tuple[int, Outcome, Reason, FailureCause | None]]:
    """The releases, by uid, that may not have reached the client of a connection that has closed.

    A client that acknowledges releases has not received those that are still in ``releases``. Of any other
    client only the releases that never left this process are known to be missing.
    """
    return [
        (uid, sent.outcome, sent.reason, sent.detail)
        for uid, sent in releases.items()
        if acknowledges_releases or not sent.write.fully_sent
    ]


def not_fully_sent(releases: dict[int, SentRelease]) -> dict[int, SentRelease]:
    """The releases of which at least one byte is still waiting to be sent."""
    return {uid: sent for uid, sent in releases.items() if not sent.write.fully_sent}


def discard_oldest(releases: dict[int, SentRelease]) -> None:
    """Remove the release that was sent first."""
    del releases[next(iter(releases))]
