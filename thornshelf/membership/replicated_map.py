"""The map that all members hold: one writer an entry, the greatest stamp holds, bounded in memory.

Entries merge in any order and however often they come. A writer that finds an entry of its own under a greater stamp
than its last (its former process wrote it, or somebody else did) writes it again above that.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from thornshelf.membership.datagrams import MAX_INCARNATION, MapEntry

MAX_ENTRIES_PER_WRITER = 24  # entries of one writer
MAX_VALUE_BYTES = 16 * 1024 * 1024  # of all values together
EntryId = tuple[str, str, int]  # writer, kind, part


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """An item, and when it was written by this member's clock."""

    entry: MapEntry
    written_us: int


class ReplicatedMap:
    """All members' entries; ``me`` writes its own."""

    def __init__(self, me: str, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        self._me, self._most_bytes = me, max_value_bytes
        self._entries: dict[str, dict[tuple[str, int], StoredEntry]] = {}  # by writer
        self.value_bytes = 0

    def get(self, writer: str, kind: str, part: int = 0) -> StoredEntry | None:
        """One entry; an empty value stands for none."""
        return self._entries.get(writer, {}).get((kind, part))

    def find(self, key: EntryId) -> StoredEntry | None:
        """One entry by its key."""
        return self.get(*key)

    def entries_of_kind(self, kind: str) -> Iterator[StoredEntry]:
        """All writers' entries of a kind."""
        for mine in self._entries.values():
            for (name, _), entry in mine.items():
                if name == kind and entry.entry.value:
                    yield entry

    def all_entries(self) -> Iterator[StoredEntry]:
        """Every entry."""
        for mine in self._entries.values():
            yield from mine.values()

    def write(self, kind: str, part: int, value: bytes, incarnation: int, now_us: int) -> MapEntry:
        """A new version of an entry of one's own."""
        old = self.get(self._me, kind, part)
        before = (0, 0) if old is None else (old.entry.incarnation, old.entry.version)
        version = before[1] + 1 if before[0] >= incarnation else 1
        item = MapEntry(self._me, kind, part, max(before[0], incarnation), version, 0, value)
        self._put(item, now_us)
        return item

    def merge(self, item: MapEntry, now_us: int) -> bool:
        """Another member's word; true where it is news. Of what is one's own, true where it has to be outbid."""
        old = self.get(item.writer, item.kind, item.part)
        if old is not None and item.stamp <= old.entry.stamp:
            return False
        if item.writer == self._me:
            if item.version >= MAX_INCARNATION - 1:
                return False  # no honest process comes there: nothing to outbid it with
            # What it holds is not ours: kept only so that the next version of our own goes above it.
            value = old.entry.value if old is not None else b""
            self._put(
                MapEntry(self._me, item.kind, item.part, item.incarnation, item.version, 0, value), now_us
            )
            return True
        mine = self._entries.get(item.writer, {})
        if old is None and (
            len(mine) >= MAX_ENTRIES_PER_WRITER or self.value_bytes + len(item.value) > self._most_bytes
        ):
            return False
        self._put(item, now_us - item.age_ms * 1000)
        return True

    def _put(self, item: MapEntry, written_us: int) -> None:
        mine = self._entries.setdefault(item.writer, {})
        old = mine.get((item.kind, item.part))
        self.value_bytes += len(item.value) - (len(old.entry.value) if old is not None else 0)
        mine[item.kind, item.part] = StoredEntry(item, written_us)

    def ids_of(self, writer: str) -> list[EntryId]:
        """What a writer has written."""
        return [(writer, *name) for name in self._entries.get(writer, {})]

    def remove_writer(self, writer: str) -> list[EntryId]:
        """Nothing is kept of a member that is forgotten; gives the keys."""
        gone = self._entries.pop(writer, {})
        self.value_bytes -= sum(len(entry.entry.value) for entry in gone.values())
        return [(writer, *name) for name in gone]
