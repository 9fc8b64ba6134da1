"""Releases sent on a client connection, which may have to be sent again on another one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from thornshelf.core.task_release import Release
    from thornshelf.loop import Chunk
    from thornshelf.wire.http2 import OutgoingMessage

MAX_UNACKNOWLEDGED_RELEASES = 4096  # kept for one connection; beyond it, the oldest is forgotten


class SentRelease:
    """A release, and the write that carries it.

    Not a dataclass, because creating one would slow down the start of every dispatcher.
    """

    __slots__ = ("release", "write")

    def __init__(self, write: Chunk | OutgoingMessage, release: Release) -> None:
        self.write = write
        self.release = release


def pending_releases(releases: dict[int, SentRelease], acknowledges_releases: bool) -> list[Release]:
    """Return the releases that the client of a closed connection may not have received.

    If the client acknowledges releases, these are all that are still in ``releases``, otherwise only those that were
    not handed to the operating system completely.
    """
    return [sent.release for sent in releases.values() if acknowledges_releases or not sent.write.fully_sent]


def not_fully_sent(releases: dict[int, SentRelease]) -> dict[int, SentRelease]:
    """Return the releases that were not handed to the operating system completely."""
    return {uid: sent for uid, sent in releases.items() if not sent.write.fully_sent}


def discard_oldest(releases: dict[int, SentRelease]) -> None:
    """Forget the release that was sent first."""
    del releases[next(iter(releases))]
