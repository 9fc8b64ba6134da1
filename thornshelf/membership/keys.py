"""Keys of what members disseminate and compare: records of members, and entries of the replicated map."""

from __future__ import annotations

from typing import NamedTuple


class RecordKey(NamedTuple):
    """Names the record of one member.

    Its ``repr`` is hashed in push-pull rounds, so all members of all versions have to agree on it.
    """

    name: str

    def __repr__(self) -> str:
        return repr(("m", self.name))


class EntryKey(NamedTuple):
    """Names one entry of the replicated map. Its ``repr`` is hashed in push-pull rounds, as that of a record is."""

    writer: str
    kind: str
    part: int

    def __repr__(self) -> str:
        return repr(("i", self.writer, self.kind, self.part))


RumorKey = RecordKey | EntryKey
