"""Push-pull rounds (anti-entropy): a member compares its data with a random other one, and both exchange differences.

The initiator sends a digest, one hash per bucket. The other member answers with summaries of the buckets that differ.
The initiator sends its version of each key that differs, and requests that of the other member.
"""

from __future__ import annotations

import random

from thornshelf.membership.anti_entropy import BUCKET_COUNT, BucketIndex, pack_hashes
from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.datagram_sender import DatagramSender, OutgoingMessage
from thornshelf.membership.datagrams import MessageKind
from thornshelf.membership.keys import RumorKey
from thornshelf.membership.member_table import MemberTable
from thornshelf.membership.states import Member, MemberRecord

FOLLOW_UP_US = 250_000  # delay of the next round after one that brought many rumors
FOLLOW_UP_MIN_RUMORS = 8  # the number of rumors that counts as many
SUMMARY_BYTES = 1_000  # per page
BUCKET_STEP = 7  # offset of the first bucket of each comparison; coprime to the number of buckets
MAX_REQUESTED_KEYS = 120  # per datagram


class PushPull:
    """Runs the push-pull rounds of a member. ``next_round_us``: when the next one is due."""

    def __init__(
        self,
        config: MembershipConfig,
        table: MemberTable,
        sender: DatagramSender,
        index: BucketIndex[RumorKey],
        random_source: random.Random,
        now_us: int,
    ) -> None:
        self._interval_us = config.push_pull_interval_us
        self._table = table
        self._sender = sender
        self._index = index
        self._random = random_source
        self.next_round_us = now_us + random_source.randrange(self._interval_us)
        self._first_bucket = random_source.randrange(BUCKET_COUNT)
        self._learned_count = 0  # new rumors since the last round began

    def tick(self, now_us: int) -> None:
        """Start the next round if it is due."""
        if now_us < self.next_round_us:
            return
        jitter_us = self._random.randrange(self._interval_us // 2)
        self.next_round_us = now_us + self._interval_us * 3 // 4 + jitter_us
        self._learned_count = 0
        for name in self._table.sample(1):
            self.send_digest(self._table.members[name], now_us)

    def send_digest(self, member: Member, now_us: int) -> None:
        """Start a comparison with a member."""
        message = OutgoingMessage(MessageKind.PUSH_PULL_DIGEST, payload=self._index.digest())
        self._sender.send_to_member(member, message, now_us)

    def digest_received(self, member: Member, digest: bytes, now_us: int) -> None:
        """Answer a member's digest with summaries of the buckets that differ."""
        pages = self._summaries(digest)
        self._first_bucket = (self._first_bucket + BUCKET_STEP) % BUCKET_COUNT
        for page in pages:
            message = OutgoingMessage(MessageKind.PUSH_PULL_SUMMARY, payload=page)
            self._sender.send_to_member(member, message, now_us)

    def unknown_digest_received(self, sender: MemberRecord, digest: bytes, now_us: int) -> None:
        """Answer the digest of a sender that is not a known member."""
        for page in self._summaries(digest):
            message = OutgoingMessage(MessageKind.PUSH_PULL_SUMMARY, payload=page)
            self._sender.send(sender.address, sender.instance_id, message, now_us)

    def _summaries(self, digest: bytes) -> list[bytes]:
        return self._index.summaries(self._index.differing_buckets(digest, self._first_bucket), SUMMARY_BYTES)

    def summary_received(self, member: Member, page: bytes, now_us: int) -> None:
        """Send the keys that differ from a page of a member's summary, and request the member's versions."""
        differences = self._index.compare_summary(page)
        self._sender.send_keys(member, differences.to_send, now_us)
        if differences.to_request:
            hashes = pack_hashes(differences.to_request[:MAX_REQUESTED_KEYS])
            message = OutgoingMessage(MessageKind.PUSH_PULL_REQUEST, payload=hashes)
            self._sender.send_to_member(member, message, now_us)

    def request_received(self, member: Member, hashes: bytes, now_us: int) -> None:
        """Send the keys that a member requests."""
        self._sender.send_keys(member, self._index.keys_of_hashes(hashes), now_us)

    def rumors_learned(self, count: int) -> None:
        """Count rumors that were new to this member."""
        self._learned_count += count

    def gossip_received(self, now_us: int) -> None:
        """Advance the next round if this one brought many rumors, as there are probably more to fetch."""
        if self._learned_count >= FOLLOW_UP_MIN_RUMORS:
            self._learned_count = 0
            self.next_round_us = min(self.next_round_us, now_us + FOLLOW_UP_US)
