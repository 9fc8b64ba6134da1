"""The local member's record: refutes false reports, overrides a former process, or yields to a later one."""

from __future__ import annotations

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.datagrams import MAX_INCARNATION
from thornshelf.membership.member_table import replace_record
from thornshelf.membership.states import MemberRecord, RecordStatus

MAX_OVERRIDDEN_INSTANCES = 64


class LocalMember:
    """The local member and its record.

    ``instance_id``: a random number that identifies this process. ``superseded``: whether a live process of the same
    name that started later has taken over.
    """

    def __init__(self, config: MembershipConfig, instance_id: int, incarnation: int, start_us: int) -> None:
        self._start_us = start_us
        self.record = MemberRecord(
            config.name, config.address, incarnation, instance_id, int(RecordStatus.ALIVE), 0
        )
        self.superseded = False
        # By instance id of another process of this name: the incarnation that overrode its record.
        self._overridden_at: dict[int, int] = {}

    def refute(self, record: MemberRecord, now_us: int) -> bool:
        """Process a received record about this member.

        Returns whether a new incarnation was taken, which has to be gossiped.
        """
        if self.superseded or self.record.status == RecordStatus.LEFT:
            return False
        if record.incarnation >= MAX_INCARNATION - 1:
            return False
        if record.instance_id == self.record.instance_id:
            if record.incarnation < self.record.incarnation or record.precedence <= self.record.precedence:
                return False
        elif (record.incarnation, record.instance_id) <= (self.record.incarnation, self.record.instance_id):
            return False
        elif record.status == RecordStatus.ALIVE and self._is_superseded_by(record, now_us):
            self.superseded = True
            return False
        self._take_incarnation(record.incarnation + 1, now_us)
        if record.instance_id != self.record.instance_id:
            if len(self._overridden_at) >= MAX_OVERRIDDEN_INSTANCES:
                self._overridden_at.clear()
            self._overridden_at[record.instance_id] = self.record.incarnation
        return True

    def _is_superseded_by(self, record: MemberRecord, now_us: int) -> bool:
        """Returns whether the record belongs to a live process of this name that started later.

        The record of an ended process is overridden once and never changes. Only a live process can override this
        member's record in turn. The later start is determined by uptimes, because wall clocks may be changed.
        """
        overridden_at = self._overridden_at.get(record.instance_id)
        if overridden_at is None or record.incarnation <= overridden_at:
            return False
        return (record.uptime_ms, record.instance_id) < (self._uptime_ms(now_us), self.record.instance_id)

    def _take_incarnation(self, incarnation: int, now_us: int) -> None:
        self.record = replace_record(self.record, incarnation=incarnation, uptime_ms=self._uptime_ms(now_us))

    def _uptime_ms(self, now_us: int) -> int:
        return (now_us - self._start_us) // 1000

    def leave(self) -> None:
        """Mark this member as left in its record."""
        self.record = replace_record(self.record, status=int(RecordStatus.LEFT))
