"""Which members that are away, or seeds that were never reached, are contacted next."""

from __future__ import annotations

import random

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.member_table import MemberTable
from thornshelf.membership.states import MemberState

MAX_SEEDS_AT_ONCE = 8


def reconnect_addresses(
    config: MembershipConfig, table: MemberTable, random_source: random.Random
) -> list[str]:
    """Addresses to contact: one of a dead or evicted member, or of a seed, so that a partition of any length heals.

    Without any live member all missing seeds are contacted.
    """
    live = table.live_addresses()
    seeds = [address for address in config.seeds if address not in live and address != config.address]
    dead = [one.record.address for one in table.departed() if one.state is MemberState.DEAD]
    former = [address for address in [*dead, *table.address_book] if address not in live]
    if not table.live_names:
        return seeds[:MAX_SEEDS_AT_ONCE] + ([random_source.choice(former)] if former else [])
    groups = [seeds, former] if seeds and former else [seeds or former]
    group = random_source.choice(groups)
    return [random_source.choice(group)] if group else []
