"""Ids of attempts that were withdrawn after they had been sent, whose late answers may still arrive."""

from __future__ import annotations

WITHDRAWN_TTL_US = 2_000_000  # as long as a cancellation may take to be confirmed
MAX_WITHDRAWN_IDS = 16_384  # beyond it, the oldest is forgotten


class WithdrawnIds:
    """Remembers task ids for ``WITHDRAWN_TTL_US`` after an attempt under them was withdrawn.

    A new request under such an id must wait: the node's late answer to the old attempt could not be distinguished
    from the answer to the new one, and the end of the old one would be taken for the end of a task that runs.
    """

    def __init__(self) -> None:
        self._until_us: dict[int, int] = {}  # oldest first

    def add(self, uid: int, now_us: int) -> None:
        """Remember an id from now on."""
        self._until_us.pop(uid, None)
        self._until_us[uid] = now_us + WITHDRAWN_TTL_US
        if len(self._until_us) > MAX_WITHDRAWN_IDS:
            del self._until_us[next(iter(self._until_us))]

    def remaining_us(self, uid: int, now_us: int) -> int:
        """Return how long a new request under an id has to wait, in microseconds; 0 if it need not."""
        while self._until_us:
            oldest = next(iter(self._until_us))
            if self._until_us[oldest] > now_us:
                break
            del self._until_us[oldest]
        return max(0, self._until_us.get(uid, 0) - now_us)
