"""Push-pull rounds: a member compares all that it knows with a random other one, and both fetch what they missed.

The initiator sends a digest, one hash for each bucket. The other answers with summaries of buckets that differ. The
initiator sends what it has newer, and requests the rest.
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

FOLLOW_UP_US = 250_000  # a round that brought much is followed by the next one so soon
FOLLOW_UP_RUMORS = 8
SUMMARY_BYTES = 1_000  # of one page
BUCKET_STEP = 7  # by which the first bucket of a comparison moves on; prime to the number of buckets
MAX_REQUESTED_KEYS = 120  # in one datagram


class PushPull:
    """The rounds of one member. ``next_round_us``: when the next one is due."""

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
        self._learned = 0  # new rumors since the last round began

    def tick(self, now_us: int) -> None:
        """Begin the next round, if it is due."""
        if now_us < self.next_round_us:
            return
        jitter_us = self._random.randrange(self._interval_us // 2)
        self.next_round_us = now_us + self._interval_us * 3 // 4 + jitter_us
        self._learned = 0
        for name in self._table.sample(1):
            self.send_digest(self._table.members[name], now_us)

    def send_digest(self, member: Member, now_us: int) -> None:
        """Begin a comparison with a member."""
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
        """Answer the digest of a sender that is no member here."""
        for page in self._summaries(digest):
            message = OutgoingMessage(MessageKind.PUSH_PULL_SUMMARY, payload=page)
            self._sender.send(sender.address, sender.instance_id, message, now_us)

    def _summaries(self, digest: bytes) -> list[bytes]:
        return self._index.summaries(self._index.differing_buckets(digest, self._first_bucket), SUMMARY_BYTES)

    def summary_received(self, member: Member, page: bytes, now_us: int) -> None:
        """Send what differs from a page of a member's summary, and request it: either side may have the newer."""
        differences = self._index.compare_summary(page)
        self._sender.send_keys(member, differences.to_send, now_us)
        if differences.to_request:
            hashes = pack_hashes(differences.to_request[:MAX_REQUESTED_KEYS])
            message = OutgoingMessage(MessageKind.PUSH_PULL_REQUEST, payload=hashes)
            self._sender.send_to_member(member, message, now_us)

    def request_received(self, member: Member, hashes: bytes, now_us: int) -> None:
        """Send what a member requests."""
        self._sender.send_keys(member, self._index.keys_of_hashes(hashes), now_us)

    def rumors_learned(self, count: int) -> None:
        """Count rumors that were new here."""
        self._learned += count

    def gossip_received(self, now_us: int) -> None:
        """Bring the next round forward if this one brought much, as there is probably more to fetch."""
        if self._learned >= FOLLOW_UP_RUMORS:
            self._learned = 0
            self.next_round_us = min(self.next_round_us, now_us + FOLLOW_UP_US)
