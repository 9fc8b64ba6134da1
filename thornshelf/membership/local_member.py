"""This very member's record, and its defence: refute what others report, outbid a former process, or give way."""

from __future__ import annotations

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.datagrams import MAX_INCARNATION
from thornshelf.membership.member_table import replace_record
from thornshelf.membership.states import MemberRecord, RecordStatus

MAX_RIVALS = 64


class LocalMember:
    """The local member.

    ``instance_id``: a random number of this process. ``superseded``: a live process of the same name that was started
    later has taken over.
    """

    def __init__(self, config: MembershipConfig, instance_id: int, incarnation: int, start_us: int) -> None:
        self._start_us = start_us
        self.record = MemberRecord(
            config.name, config.address, incarnation, instance_id, int(RecordStatus.ALIVE), 0
        )
        self.superseded = False
        self._outbid: dict[int, int] = {}  # by instance id of a rival: the incarnation that outbid it

    def refute(self, record: MemberRecord, now_us: int) -> bool:
        """Answer a record of this member; returns whether it took a new incarnation, which others must receive."""
        if self.superseded or self.record.status == RecordStatus.LEFT:
            return False
        if record.incarnation >= MAX_INCARNATION - 1:
            return False
        if record.instance_id == self.record.instance_id:
            if record.incarnation < self.record.incarnation or record.precedence <= self.record.precedence:
                return False
        elif (record.incarnation, record.instance_id) <= (self.record.incarnation, self.record.instance_id):
            return False
        elif record.status == RecordStatus.ALIVE and self._gives_way_to(record, now_us):
            self.superseded = True
            return False
        self._take_incarnation(record.incarnation + 1, now_us)
        if record.instance_id != self.record.instance_id:
            if len(self._outbid) >= MAX_RIVALS:
                self._outbid.clear()
            self._outbid[record.instance_id] = self.record.incarnation
        return True

    def _gives_way_to(self, record: MemberRecord, now_us: int) -> bool:
        """Whether a live process of this name was started later.

        The record of a former process is outbid once and never comes back. One that outbids the answer comes from a
        live process. Which of the two started later is decided by how long each has run, as wall clocks may be set.
        """
        outbid = self._outbid.get(record.instance_id)
        if outbid is None or record.incarnation <= outbid:
            return False
        return (record.uptime_ms, record.instance_id) < (self._uptime_ms(now_us), self.record.instance_id)

    def _take_incarnation(self, incarnation: int, now_us: int) -> None:
        self.record = replace_record(self.record, incarnation=incarnation, uptime_ms=self._uptime_ms(now_us))

    def _uptime_ms(self, now_us: int) -> int:
        return (now_us - self._start_us) // 1000

    def leave(self) -> None:
        """Announce a graceful shutdown in the record."""
        self.record = replace_record(self.record, status=int(RecordStatus.LEFT))
