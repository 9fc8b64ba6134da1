"""Finds the differences between the data of two members: compares hashes of buckets, then hashes of single keys.

Keys and stamps are hashed by their ``repr``, which has to be the same at all members.
"""

from __future__ import annotations

import struct
from collections.abc import Hashable, Iterable
from typing import Generic, NamedTuple, TypeVar

import xxhash

BUCKET_COUNT = 64
MAX_BUCKETS_PER_ROUND = 6  # further differing buckets are left to later rounds
STAMP_MASK = 0xFFFFFFFF
DIGEST = struct.Struct(f">{BUCKET_COUNT}I")
SUMMARY_HEADER_BYTES = 2  # the bucket, and whether the page is complete
SUMMARY_ROW = struct.Struct(">QI")  # the hashes of a key and of its stamp
KEY_HASH = struct.Struct(">Q")

Key = TypeVar("Key", bound=Hashable)


def key_hash(key: Hashable) -> int:
    """Returns the hash that identifies a key on the wire."""
    return xxhash.xxh3_64_intdigest(repr(key).encode())


class IndexedKey(NamedTuple, Generic[Key]):
    """A key, and the hash of its current stamp."""

    key: Key
    stamp_hash: int


class Differences(NamedTuple, Generic[Key]):
    """The keys to send and the hashes of keys to request. Hashes have no order, so a key may be in both."""

    to_send: list[Key]
    to_request: list[int]


class BucketIndex(Generic[Key]):
    """An incrementally updated index of the keys and stamps that a member has, with a hash per bucket."""

    def __init__(self) -> None:
        self._bucket_hashes = [0] * BUCKET_COUNT
        self._buckets: list[dict[int, IndexedKey[Key]]] = [{} for _ in range(BUCKET_COUNT)]

    def record(self, key: Key, stamp: Hashable) -> None:
        """Add a key, or update its stamp."""
        hashed = key_hash(key)
        bucket = hashed % BUCKET_COUNT
        stamp_hash = xxhash.xxh3_64_intdigest(repr(stamp).encode(), seed=hashed) & STAMP_MASK
        old = self._buckets[bucket].get(hashed)
        if old is not None:
            self._bucket_hashes[bucket] ^= old.stamp_hash
        self._buckets[bucket][hashed] = IndexedKey(key, stamp_hash)
        self._bucket_hashes[bucket] ^= stamp_hash

    def discard(self, key: Key) -> None:
        """Remove a key."""
        hashed = key_hash(key)
        bucket = hashed % BUCKET_COUNT
        if (old := self._buckets[bucket].pop(hashed, None)) is not None:
            self._bucket_hashes[bucket] ^= old.stamp_hash

    def replace_with(self, other: BucketIndex[Key]) -> None:
        """Replace the content with that of another index."""
        self._bucket_hashes = list(other._bucket_hashes)
        self._buckets = [dict(bucket) for bucket in other._buckets]

    def digest(self) -> bytes:
        """Returns the packed hashes of all buckets."""
        return DIGEST.pack(*self._bucket_hashes)

    def differing_buckets(self, digest: bytes, start: int) -> list[int]:
        """Returns the buckets that differ from another member's digest, none if that is malformed.

        The comparison starts at the bucket ``start`` and ends after ``MAX_BUCKETS_PER_ROUND`` differences.
        """
        if len(digest) != DIGEST.size:
            return []
        remote = DIGEST.unpack(digest)
        order = [(start + step) % BUCKET_COUNT for step in range(BUCKET_COUNT)]
        differing = [bucket for bucket in order if remote[bucket] != self._bucket_hashes[bucket]]
        return differing[:MAX_BUCKETS_PER_ROUND]

    def summaries(self, buckets: Iterable[int], max_bytes: int) -> list[bytes]:
        """Returns the content of some buckets in pages, with a header of the bucket and whether it is on one page."""
        pages = []
        rows_per_page = max(1, (max_bytes - SUMMARY_HEADER_BYTES) // SUMMARY_ROW.size)
        for bucket in buckets:
            indexed = sorted(self._buckets[bucket].items())
            rows = [SUMMARY_ROW.pack(hashed, one.stamp_hash) for hashed, one in indexed]
            is_complete = len(rows) <= rows_per_page
            for first in range(0, max(1, len(rows)), rows_per_page):
                pages.append(bytes((bucket, is_complete)) + b"".join(rows[first : first + rows_per_page]))
        return pages

    def compare_summary(self, page: bytes) -> Differences[Key]:
        """Compare with a page of another member's summary; a malformed page has no differences."""
        rows_bytes = len(page) - SUMMARY_HEADER_BYTES
        if rows_bytes < 0 or rows_bytes % SUMMARY_ROW.size or page[0] >= BUCKET_COUNT:
            return Differences([], [])
        bucket, is_complete = page[0], page[1]
        remote = dict(SUMMARY_ROW.iter_unpack(page[SUMMARY_HEADER_BYTES:]))
        local = self._buckets[bucket]
        to_send = [
            one.key for hashed, one in local.items() if remote.get(hashed, one.stamp_hash) != one.stamp_hash
        ]
        if is_complete:
            to_send += [one.key for hashed, one in local.items() if hashed not in remote]
        to_request = [
            hashed
            for hashed, stamp_hash in remote.items()
            if hashed not in local or local[hashed].stamp_hash != stamp_hash
        ]
        return Differences(to_send, to_request)

    def keys_of_hashes(self, hashes: bytes) -> list[Key]:
        """Returns the keys of packed hashes; unknown ones are ignored."""
        found = []
        for (hashed,) in KEY_HASH.iter_unpack(hashes[: len(hashes) // KEY_HASH.size * KEY_HASH.size]):
            if (indexed := self._buckets[hashed % BUCKET_COUNT].get(hashed)) is not None:
                found.append(indexed.key)
        return found


def pack_hashes(hashes: list[int]) -> bytes:
    """Encode hashes of keys for a request."""
    return struct.pack(f">{len(hashes)}Q", *hashes)
