"""Writes this member's entries of the replicated map, paced by the fleet's traffic budget."""

from __future__ import annotations

from dataclasses import dataclass

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.datagram_sender import DatagramSender
from thornshelf.membership.fleet_state import FleetState
from thornshelf.membership.keys import EntryKey

ENTRY_OVERHEAD_BYTES = 40  # size of an encoded entry without its value


@dataclass(slots=True)
class PendingWrite:
    """A new value of one of this member's entries that waits to be written."""

    value: bytes
    due_us: int
    is_urgent: bool


class EntryPublisher:
    """The pending writes of this member; a later value of an entry replaces an earlier one."""

    def __init__(self, config: MembershipConfig, state: FleetState, sender: DatagramSender) -> None:
        self._config = config
        self._state = state
        self._sender = sender
        self.pending: dict[tuple[str, int], PendingWrite] = {}  # by kind and part
        self._written_us: dict[tuple[str, int], int] = {}

    def publish(self, kind: str, part: int, value: bytes, min_interval_us: int | None, now_us: int) -> None:
        """Write a value once ``min_interval_us`` has passed since the last write, and gossip it immediately.

        Without ``min_interval_us`` the interval follows from the traffic budget, and the value is only piggybacked.
        """
        stored = self._state.replicated_map.get(self._state.local.record.name, kind, part)
        current = stored.entry.value if stored is not None else b""
        if (kind, part) not in self.pending and current == value:
            return
        if min_interval_us is None:
            entry_bytes = len(value) + ENTRY_OVERHEAD_BYTES
            interval_us = self._config.write_interval_us(self._state.live_count, entry_bytes)
        else:
            interval_us = min_interval_us
        due_us = max(now_us, self._written_us.get((kind, part), -interval_us) + interval_us)
        self.pending[kind, part] = PendingWrite(value, due_us, min_interval_us is not None)

    def next_due_us(self) -> int | None:
        """Returns when the next write is due, or None if none is pending."""
        if not self.pending:
            return None
        return min(write.due_us for write in self.pending.values())

    def tick(self, now_us: int) -> None:
        """Write the entries that are due."""
        for (kind, part), write in list(self.pending.items()):
            if write.due_us <= now_us:
                del self.pending[kind, part]
                self._written_us[kind, part] = now_us
                key = self._write(kind, part, write.value, now_us)
                if write.is_urgent:
                    self._sender.gossip(key, now_us)

    def rewrite(self, kind: str, part: int, now_us: int) -> None:
        """Write the current value again, with a stamp above the one that other members have."""
        stored = self._state.replicated_map.get(self._state.local.record.name, kind, part)
        self._write(kind, part, stored.entry.value if stored is not None else b"", now_us)

    def _write(self, kind: str, part: int, value: bytes, now_us: int) -> EntryKey:
        entry = self._state.replicated_map.write(
            kind, part, value, self._state.local.record.incarnation, now_us
        )
        key = EntryKey(entry.writer, kind, part)
        self._state.update(key, entry.stamp)
        return key
