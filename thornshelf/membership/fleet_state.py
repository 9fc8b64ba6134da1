"""The replicated state of the fleet at this member: records of members, and entries of the replicated map."""

from __future__ import annotations

import random
from collections.abc import Hashable

from thornshelf.membership.anti_entropy import BucketIndex
from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.dissemination import DisseminationBuffer
from thornshelf.membership.keys import RecordKey, RumorKey
from thornshelf.membership.local_member import LocalMember
from thornshelf.membership.member_table import MemberTable
from thornshelf.membership.replicated_map import ReplicatedMap
from thornshelf.membership.states import MemberRecord


class FleetState:
    """Holds records and entries, and adds each change to the dissemination buffer and the bucket index."""

    def __init__(
        self,
        config: MembershipConfig,
        instance_id: int,
        incarnation: int,
        random_source: random.Random,
        now_us: int,
    ) -> None:
        self.buffer: DisseminationBuffer[RumorKey] = DisseminationBuffer()
        self.index: BucketIndex[RumorKey] = BucketIndex()
        self.local = LocalMember(config, instance_id, incarnation, now_us)
        self.table = MemberTable(config, random_source, self._member_record_changed)
        self.replicated_map = ReplicatedMap(config.name)
        self.update_record(self.local.record)

    @property
    def live_count(self) -> int:
        """The number of live members, including this one."""
        return len(self.table.live_names) + 1

    def update(self, key: RumorKey, stamp: Hashable) -> None:
        """Index the new stamp of a record or an entry, and disseminate it."""
        self.buffer.add(key)
        self.index.record(key, stamp)

    def update_record(self, record: MemberRecord) -> None:
        """Index and disseminate a member's new record."""
        self.update(RecordKey(record.name), record.precedence)

    def _member_record_changed(self, name: str) -> None:
        self.update_record(self.table.members[name].record)

    def discard_departed(self, now_us: int) -> None:
        """Omit from push-pull rounds the departed members that others may have evicted already."""
        for member in self.table.departed():
            if self.table.is_expiring(member, now_us):
                name = member.record.name
                self.index.discard(RecordKey(name))
                for key in self.replicated_map.keys_of(name):
                    self.index.discard(key)

    def discard_evicted(self, name: str) -> None:
        """Remove the entries of an evicted member, and all its keys from the index."""
        self.index.discard(RecordKey(name))
        for key in self.replicated_map.remove_writer(name):
            self.index.discard(key)
