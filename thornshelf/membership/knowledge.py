"""What this member knows: each change is disseminated, and indexed for push-pull rounds."""

from __future__ import annotations

from collections.abc import Hashable

from thornshelf.membership.anti_entropy import BucketIndex
from thornshelf.membership.dissemination import DisseminationBuffer
from thornshelf.membership.keys import RecordKey, RumorKey
from thornshelf.membership.states import MemberRecord


class Knowledge:
    """The dissemination buffer and the bucket index over the same keys."""

    def __init__(self) -> None:
        self.buffer: DisseminationBuffer[RumorKey] = DisseminationBuffer()
        self.index: BucketIndex[RumorKey] = BucketIndex()

    def update(self, key: RumorKey, stamp: Hashable) -> None:
        """A record or an entry is new here under this stamp, and others may not know it yet."""
        self.buffer.add(key)
        self.index.record(key, stamp)

    def update_record(self, record: MemberRecord) -> None:
        """The record of a member has changed here."""
        self.update(RecordKey(record.name), record.precedence)
