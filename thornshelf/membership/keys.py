"""Keys of the data that members replicate: records of members, and entries of the replicated map."""

from __future__ import annotations

from typing import NamedTuple


class RecordKey(NamedTuple):
    """The key of a member's record.

    Push-pull rounds hash its ``repr``, which therefore is part of the protocol and the same in all versions.
    """

    name: str

    def __repr__(self) -> str:
        return repr(("m", self.name))


class EntryKey(NamedTuple):
    """The key of an entry of the replicated map. Its ``repr`` is part of the protocol, too."""

    writer: str
    kind: str
    part: int

    def __repr__(self) -> str:
        return repr(("i", self.writer, self.kind, self.part))


RumorKey = RecordKey | EntryKey
