"""What two members know, compared by hashes of buckets, and then by those of what is in the buckets that differ."""

from __future__ import annotations

import struct
from collections.abc import Hashable, Iterable

import xxhash

BUCKET_COUNT = 64
SUMMARY_ROW = struct.Struct(">QI")  # a thing's name and its stamp, as hashes
MAX_BUCKETS_PER_ROUND = 6  # are gone into at a time; the rest the next time


def key_hash(key: Hashable) -> int:
    """A thing's name."""
    return xxhash.xxh3_64_intdigest(repr(key).encode())


class BucketIndex:
    """Hashes over all that is known, kept as it changes."""

    def __init__(self) -> None:
        self._sums = [0] * BUCKET_COUNT
        self._held: list[dict[int, tuple[Hashable, int]]] = [{} for _ in range(BUCKET_COUNT)]

    def record(self, key: Hashable, stamp: Hashable) -> None:
        """It is known under this stamp now."""
        name = key_hash(key)
        bucket = name % BUCKET_COUNT
        stamped = xxhash.xxh3_64_intdigest(repr(stamp).encode(), seed=name) & 0xFFFFFFFF
        old = self._held[bucket].get(name)
        if old is not None:
            self._sums[bucket] ^= old[1]
        self._held[bucket][name] = key, stamped
        self._sums[bucket] ^= stamped

    def discard(self, key: Hashable) -> None:
        """It is not compared any more."""
        name = key_hash(key)
        if (old := self._held[name % BUCKET_COUNT].pop(name, None)) is not None:
            self._sums[name % BUCKET_COUNT] ^= old[1]

    def copy(self) -> BucketIndex:
        """Another that knows the same."""
        other = BucketIndex()
        other._sums, other._held = list(self._sums), [dict(held) for held in self._held]
        return other

    def digest(self) -> bytes:
        """A hash for each bucket."""
        return struct.pack(f">{BUCKET_COUNT}I", *self._sums)

    def differing_buckets(self, digest: bytes, start: int) -> list[int]:
        """Buckets in which another member knows other things, some of them, from a place that goes round."""
        if len(digest) != BUCKET_COUNT * 4:
            return []
        theirs = struct.unpack(f">{BUCKET_COUNT}I", digest)
        order = [(start + step) % BUCKET_COUNT for step in range(BUCKET_COUNT)]
        return [bucket for bucket in order if theirs[bucket] != self._sums[bucket]][:MAX_BUCKETS_PER_ROUND]

    def summaries(self, buckets: Iterable[int], room: int) -> list[bytes]:
        """Pages of what is in some buckets: each begins with its bucket, and says whether that is all of it."""
        pages = []
        most = max(1, (room - 2) // SUMMARY_ROW.size)
        for bucket in buckets:
            rows = [
                SUMMARY_ROW.pack(name, stamped) for name, (_, stamped) in sorted(self._held[bucket].items())
            ]
            whole = len(rows) <= most
            for first in range(0, max(1, len(rows)), most):
                pages.append(bytes((bucket, whole)) + b"".join(rows[first : first + most]))
        return pages

    def compare_summary(self, page: bytes) -> tuple[list[Hashable], list[int]]:
        """What to send for a page, and the names of what to ask for: both may hold the newer of what differs."""
        if len(page) < 2 or (len(page) - 2) % SUMMARY_ROW.size or page[0] >= BUCKET_COUNT:
            return [], []
        bucket, whole = page[0], page[1]
        theirs = dict(SUMMARY_ROW.iter_unpack(page[2:]))
        mine = self._held[bucket]
        send = [key for name, (key, stamped) in mine.items() if theirs.get(name, stamped) != stamped]
        if whole:
            send += [key for name, (key, _) in mine.items() if name not in theirs]
        want = [name for name, stamped in theirs.items() if name not in mine or mine[name][1] != stamped]
        return send, want

    def keys_of_hashes(self, names: bytes) -> list[Hashable]:
        """The things of some names."""
        found = []
        for (name,) in struct.iter_unpack(">Q", names[: len(names) // 8 * 8]):
            if (held := self._held[name % BUCKET_COUNT].get(name)) is not None:
                found.append(held[0])
        return found


def pack_hashes(names: list[int]) -> bytes:
    """Names as they are asked for."""
    return struct.pack(f">{len(names)}Q", *names)
