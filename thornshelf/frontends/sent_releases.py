"""Releases that a client connection has sent and that may have to be sent again on another connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause

if TYPE_CHECKING:
    from thornshelf.loop import Chunk
    from thornshelf.wire.http2 import OutgoingMessage

MAX_UNACKNOWLEDGED_RELEASES = 4096  # of a client that acknowledges releases; the oldest are discarded first


class SentRelease:
    """A release, and the write that carries it.

    A plain class, as every dispatcher loads this module at its start, and a dataclass takes a millisecond to make.
    """

    __slots__ = ("detail", "outcome", "reason", "write")

    def __init__(
        self, write: Chunk | OutgoingMessage, outcome: Outcome, reason: Reason, detail: FailureCause | None
    ) -> None:
        self.write = write
        self.outcome = outcome
        self.reason = reason
        self.detail = detail


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
