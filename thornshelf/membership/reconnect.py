"""Selects the departed members and missing seeds that are contacted next."""

from __future__ import annotations

import random

from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.member_table import MemberTable
from thornshelf.membership.states import MemberState

MAX_SEEDS_AT_ONCE = 8


def reconnect_addresses(
    config: MembershipConfig, table: MemberTable, random_source: random.Random
) -> list[str]:
    """Returns one random address of a missing seed, or of a dead or evicted member, so that any partition heals.

    Without any live member, the addresses of up to ``MAX_SEEDS_AT_ONCE`` missing seeds are returned, too.
    """
    live = table.live_addresses()
    seeds = [address for address in config.seeds if address not in live and address != config.address]
    dead = [one.record.address for one in table.departed() if one.state is MemberState.DEAD]
    former = [address for address in [*dead, *table.former_addresses] if address not in live]
    if not table.live_names:
        return seeds[:MAX_SEEDS_AT_ONCE] + ([random_source.choice(former)] if former else [])
    groups = [seeds, former] if seeds and former else [seeds or former]
    group = random_source.choice(groups)
    return [random_source.choice(group)] if group else []
