"""The map that all members replicate: each entry has one writer, the greatest stamp prevails, memory is bounded.

Merging is commutative and idempotent. A writer that receives one of its own entries with a greater stamp than it has
written, from a former process or a forger, writes the entry again with a stamp above that.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from thornshelf.membership.datagrams import MAX_INCARNATION, MapEntry
from thornshelf.membership.keys import EntryKey

MAX_ENTRIES_PER_WRITER = 24
MAX_VALUE_BYTES = 16 * 1024 * 1024  # total of all values


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """An entry, and its time of writing by this member's clock."""

    entry: MapEntry
    written_us: int


class ReplicatedMap:
    """The entries of all members. ``local_name`` is this member's name as a writer."""

    def __init__(self, local_name: str, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        self._local_name = local_name
        self._max_value_bytes = max_value_bytes
        self._by_writer: dict[str, dict[tuple[str, int], StoredEntry]] = {}
        self.value_bytes = 0

    def get(self, writer: str, kind: str, part: int = 0) -> StoredEntry | None:
        """Returns an entry, or None if it is unknown. An empty value marks a deleted entry."""
        return self._by_writer.get(writer, {}).get((kind, part))

    def entries_of_kind(self, kind: str) -> Iterator[StoredEntry]:
        """Yields the entries of a kind by all writers, except deleted ones."""
        for entries in self._by_writer.values():
            for (name, _), stored in entries.items():
                if name == kind and stored.entry.value:
                    yield stored

    def all_entries(self) -> Iterator[StoredEntry]:
        """Yields all entries, including deleted ones."""
        for entries in self._by_writer.values():
            yield from entries.values()

    def write(self, kind: str, part: int, value: bytes, incarnation: int, now_us: int) -> MapEntry:
        """Write and return a new version of one of this member's entries."""
        old = self.get(self._local_name, kind, part)
        old_incarnation = 0 if old is None else old.entry.incarnation
        old_version = 0 if old is None else old.entry.version
        version = old_version + 1 if old_incarnation >= incarnation else 1
        entry = MapEntry(self._local_name, kind, part, max(old_incarnation, incarnation), version, 0, value)
        self._put(entry, now_us)
        return entry

    def merge(self, entry: MapEntry, now_us: int) -> bool:
        """Merge a received entry; returns whether it is newer.

        If it is, and this member is its writer, the caller has to write the entry again.
        """
        old = self.get(entry.writer, entry.kind, entry.part)
        if old is not None and entry.stamp <= old.entry.stamp:
            return False
        if entry.writer == self._local_name:
            return self._merge_own(entry, old, now_us)
        if old is None and not self._has_space_for(entry):
            return False
        self._put(entry, now_us - entry.age_ms * 1000)
        return True

    def _has_space_for(self, entry: MapEntry) -> bool:
        if len(self._by_writer.get(entry.writer, {})) >= MAX_ENTRIES_PER_WRITER:
            return False
        return self.value_bytes + len(entry.value) <= self._max_value_bytes

    def _merge_own(self, entry: MapEntry, old: StoredEntry | None, now_us: int) -> bool:
        if entry.version >= MAX_INCARNATION - 1:
            return False  # out of reach for honest processes; no greater version would be left
        # Keeps the value of this process and adopts only the stamp, so that the next version exceeds it.
        value = old.entry.value if old is not None else b""
        self._put(msgspec.structs.replace(entry, age_ms=0, value=value), now_us)
        return True

    def _put(self, entry: MapEntry, written_us: int) -> None:
        entries = self._by_writer.setdefault(entry.writer, {})
        old = entries.get((entry.kind, entry.part))
        self.value_bytes += len(entry.value) - (len(old.entry.value) if old is not None else 0)
        entries[entry.kind, entry.part] = StoredEntry(entry, written_us)

    def keys_of(self, writer: str) -> list[EntryKey]:
        """Returns the keys of a writer's entries."""
        return [EntryKey(writer, kind, part) for kind, part in self._by_writer.get(writer, {})]

    def remove_writer(self, writer: str) -> list[EntryKey]:
        """Remove all entries of an evicted member; returns their keys."""
        removed = self._by_writer.pop(writer, {})
        self.value_bytes -= sum(len(stored.entry.value) for stored in removed.values())
        return [EntryKey(writer, kind, part) for kind, part in removed]
