"""What a dispatcher makes of its view: shares that never sum up to more than one, hearsay that bars nobody."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conftest import SAFE, ask, entry, listing, offers
from tests.conftest import settings as deployment
from thornshelf.lab.membership import SECOND, Network, run_until_settled
from thornshelf.membership import drain_gossip
from thornshelf.membership.drain_gossip import DrainGossip
from thornshelf.membership.outlier_gossip import Observation, OutlierGossip, health_checkers
from thornshelf.membership.policies import FleetPolicies, PolicyChanges
from thornshelf.membership.quota_division import NO_QUOTA, Quota, QuotaConfig, QuotaDivision
from thornshelf.placement import interface as api
from thornshelf.placement.placer import Placer

ALL = frozenset(("allowances", "news", "probes", "evidence", "messages"))


def names(count: int) -> list[str]:
    return [f"m{number:02d}" for number in range(count)]


# allowances


class Fleet:
    """Members with allowances on one clock, and links that are cut; a view follows the truth with a lag."""

    def __init__(self, count: int, configured: int) -> None:
        self.now, self.configured = 0, configured
        self.members: dict[str, QuotaDivision] = {}
        self.group: dict[str, int] = {}
        self.dead: dict[str, int] = {}
        self.lag: dict[tuple[str, str], int] = {}  # until then a member does not know of another's coming
        for name in names(count):
            self.begin(name, fresh=True)

    def begin(self, name: str, fresh: bool = False) -> None:
        back = name in self.dead or fresh
        self.dead.pop(name, None)
        self.members[name] = QuotaDivision(QuotaConfig(self.configured), name, self.now)
        self.group[name] = 0
        for other in self.members:
            self.lag[other, name] = self.now + 2 * SECOND
        if not fresh:
            self.members[name].mark_joining()
            if back:
                self.members[name].mark_rejoined()

    def sees(self, name: str) -> list[str]:
        return [
            other
            for other in self.members
            if self.group[other] == self.group[name]
            and (other == name or self.lag.get((name, other), 0) <= self.now)
        ]

    def step(self) -> dict[str, Quota]:
        self.now += SECOND // 4
        return {name: one.quota(self.sees(name), self.now) for name, one in self.members.items()}

    def check(self) -> None:
        shares = self.step()
        total = sum(
            1.0 / share.strict_divisor for share in shares.values() if share.strict_divisor < NO_QUOTA
        )
        assert total <= 1.0 + 1e-9, (self.now, shares)
        dealt = Counter((share.index, share.strict_divisor) for share in shares.values() if share.round_robin)
        assert not dealt or max(dealt.values()) == 1 or len({self.group[name] for name in shares}) > 1


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["kill", "return", "join", "part", "heal", "wait", "long"]), st.integers(0, 15)
        ),
        max_size=6,
    )
)
@settings(derandomize=True, max_examples=40, deadline=None)
def test_the_shares_of_offers_to_cold_nodes_never_sum_up_to_more_than_one(
    steps: list[tuple[str, int]],
) -> None:
    """Whatever dies, returns, joins and parts: the rule on cold nodes is one for all."""
    fleet = Fleet(8, 8)
    for _ in range(120):  # it has long begun
        fleet.check()
    for what, number in steps:
        name = f"m{number % 12:02d}"
        if what == "kill" and name in fleet.members and len(fleet.members) > 1:
            del fleet.members[name]
            fleet.dead[name] = fleet.now
        elif (
            what == "return"
            and name in fleet.dead
            or what == "join"
            and name not in fleet.members
            and name not in fleet.dead
        ):
            fleet.begin(name)
        elif what == "part":
            for index, one in enumerate(sorted(fleet.members)):
                fleet.group[one] = int(index * 16 >= number * len(fleet.members))
        elif what == "heal":
            fleet.group = dict.fromkeys(fleet.group, 0)
        for _ in range({"wait": 20, "long": 400}.get(what, 4)):
            fleet.check()


def test_the_long_dead_do_not_count_and_what_is_dealt_is_dealt_to_each_once() -> None:
    fleet = Fleet(12, 16)
    for _ in range(200):
        shares = fleet.step()
    assert {share.strict_divisor for share in shares.values()} == {12} and {
        share.index for share in shares.values()
    } == set(range(12))
    for name in names(12)[9:]:
        del fleet.members[name]
    shares = fleet.step()
    assert {share.strict_divisor for share in shares.values()} == {12} and {
        share.soft_divisor for share in shares.values()
    } == {9}
    for _ in range(280):
        shares = fleet.step()
    assert {share.strict_divisor for share in shares.values()} == {9}
    assert all(share.round_robin for share in shares.values()) and {
        share.index for share in shares.values()
    } == set(range(9))


def test_the_smaller_part_gives_way_before_the_larger_takes_its_share() -> None:
    fleet = Fleet(8, 8)
    for _ in range(120):
        fleet.check()
    for name in names(8)[:3]:
        fleet.group[name] = 1
    for _ in range(400):
        shares = fleet.step()
    assert [shares[name].strict_divisor for name in names(8)] == [NO_QUOTA] * 3 + [5] * 5


def test_hearsay_moves_a_share_to_half_at_most() -> None:
    allowances = QuotaDivision(QuotaConfig(12), "m00", 0)
    for _ in range(100):
        share = allowances.quota(names(12), 20 * SECOND)
    share = allowances.quota([*names(12), *(f"invented{n}" for n in range(4000))], 21 * SECOND)
    assert share.strict_divisor == 24


def test_the_module_takes_a_share_and_deals_no_turns_while_views_differ() -> None:
    rules = {"slow_start_attempts": 51.0, "slow_start_window_s": 3.0, "slow_start_s": 14.0}
    one = Placer(deployment(SAFE, placers=16, **rules), 1)
    one.handle(0.0, [listing(entry(1, started_at=0.5, kind="large"))])
    counts = []
    for cold, deal in ((16, False), (8, False), (NO_QUOTA, False)):
        one.set_quota(0, 8, cold, deal)
        one.machines[1].recent_attempts.clear()
        counts.append(
            sum(bool(offers(one.handle(1.0, [ask(n, cores=0.01, memory=0.01)]))) for n in range(20))
        )
        for request in list(one.requests.values()):
            for attempt in request.attempts:
                attempt.live = False
            request.open = False
            one.discard_if_done(request)
    assert counts == [3, 6, 0]


# evidence


def test_others_word_is_second_choice_for_a_fifth_at_most_and_fades() -> None:
    nodes, live = [f"s-{n}" for n in range(20)], names(5)
    mine, liars = OutlierGossip("m00"), [OutlierGossip(name) for name in names(5)[1:3]]
    for liar in liars:
        for _ in range(3):
            for node in nodes:
                liar.observe(node, Observation.SILENT, 0)
        assert mine.receive(liar._name, liar.encode(0), 0)
    assert 0 < len(mine.outliers(nodes, live, 0)) <= 4
    assert mine.outliers(nodes, live, 30 * SECOND) == set()


def test_one_witness_is_none_where_there_are_two_others() -> None:
    mine, other = OutlierGossip("m00"), OutlierGossip("m01")
    other.observe("s-1", Observation.REFUSED, 0)
    mine.receive("m01", other.encode(0), 0)
    nodes = [f"s-{n}" for n in range(10)]
    assert mine.outliers(nodes, names(3), 0) == set()
    assert mine.outliers(nodes, names(2), 0) == {"s-1"}
    mine.discard_member("m01")
    assert mine.outliers(nodes, names(2), 0) == set()


def test_second_choice_is_dearer_and_never_barred() -> None:
    one = Placer(deployment(SAFE), 1)
    one.handle(0.0, [listing(entry(1, kind="large"), entry(2, kind="large"))])
    one.machines[1].gossip_penalty = 1.0
    chosen = Counter(
        offer.machine for n in range(6) for offer in offers(one.handle(0.1, [ask(n, service=n)]))
    )
    assert chosen[2] == 6
    one.handle(0.2, [listing(entry(2, health=api.Health.DRAINING), complete=False)])
    assert [offer.machine for offer in offers(one.handle(0.3, [ask(90)]))] == [1]


def test_two_probe_a_suspect_for_all_and_when_one_goes_the_others_keep_theirs() -> None:
    live, nodes = names(12), [f"s-{n:04d}" for n in range(300)]
    before = {node: health_checkers(node, live) for node in nodes}
    shares = Counter(name for chosen in before.values() for name in chosen)
    assert set(shares) == set(live) and max(shares.values()) < 2 * min(shares.values())
    after = {node: health_checkers(node, live[:-1]) for node in nodes}
    moved = [node for node in nodes if live[-1] not in before[node] and before[node] != after[node]]
    assert not moved


def test_bad_evidence_is_no_evidence() -> None:
    mine = OutlierGossip("m00")
    for value in (b"\xc1", b"\x91\x93\xa0\x09\x00", b"\x00" * 50):
        assert not mine.receive("m01", value, 0)


# news


def told(*rows: tuple[str, int, int]) -> DrainGossip:
    found = DrainGossip()
    for node, started, rank in rows:
        found.update_own(node, started, rank, 0)
    return found


def spread(mine: DrainGossip, **writers: DrainGossip) -> None:
    for name, one in writers.items():
        for part, value in enumerate(one.encode_pages(1)):
            assert mine.receive(name, part, value, 1)


def test_a_drain_known_to_two_reaches_one_whose_change_log_is_silent() -> None:
    mine, live = told(("s-1", 0, drain_gossip.UP), ("s-2", 0, drain_gossip.UP)), names(4)
    spread(mine, m01=told(("s-1", 0, drain_gossip.DRAINING)))
    assert mine.nodes_to_avoid(True, live) == set()  # one says so: it may lie
    spread(mine, m02=told(("s-1", 0, drain_gossip.GONE)))
    assert mine.nodes_to_avoid(True, live) == {"s-1"}
    assert mine.nodes_to_avoid(False, live) == set()  # the own list speaks, and its word alone holds


def test_news_of_a_former_process_is_no_news() -> None:
    """Numbers of events can't be compared between dispatchers; starts and places in life can."""
    mine = told(("s-1", 500, drain_gossip.UP))
    other = told(("s-1", 400, drain_gossip.GONE))
    spread(mine, m01=other, m02=other)
    assert mine.nodes_to_avoid(True, names(4)) == set()
    later = told(("s-1", 600, drain_gossip.DRAINING))
    spread(mine, m01=later, m02=later)
    assert mine.nodes_to_avoid(True, names(4)) == {"s-1"}
    mine.update_own("s-1", 600, drain_gossip.UP, 2)  # the own list has moved on
    assert mine.nodes_to_avoid(True, names(4)) == {"s-1"}  # and the others say that this one drains, too
    mine.update_own("s-1", 700, drain_gossip.UP, 3)
    assert mine.nodes_to_avoid(True, names(4)) == set()


def test_a_whole_fleet_of_drains_is_told_by_a_few_in_bounded_pages() -> None:
    one = told(*((f"s-{n:04d}", 0, drain_gossip.DRAINING) for n in range(400)))
    values = one.encode_pages(1)
    assert len(values) <= drain_gossip.MAX_PAGES and max(map(len, values)) <= 800
    again = one.encode_pages(2)
    assert again == values
    late = told(*((f"s-{n:04d}", 0, drain_gossip.DRAINING) for n in range(20)))
    for name in ("m01", "m02", "m03"):
        spread(late, **{name: one})
    assert sum(map(len, late.encode_pages(2))) < sum(map(len, values))
    assert one.encode_pages(drain_gossip.GOSSIP_LIFETIME_US + 2) == [b""] * len(values)


# together, over real views


def settled(count: int) -> tuple[Network, dict[str, FleetPolicies]]:
    network = Network(3)
    assert run_until_settled(network, names(count), 30 * SECOND) is not None
    uses = {
        name: FleetPolicies(view, ALL, count, 60 * SECOND, network.now)
        for name, view in network.views.items()
    }
    return network, uses


def pump(
    network: Network, uses: dict[str, FleetPolicies], seconds: float, silent: frozenset[str] = frozenset()
) -> dict[str, list[PolicyChanges]]:
    """Reviews of all, a quarter of a second apart; what each was told to do."""
    found: dict[str, list[PolicyChanges]] = {name: [] for name in uses}
    nodes = [f"s-{n}" for n in range(10)]
    for _ in range(int(seconds * 4)):
        network.run(network.now + SECOND // 4)
        for name, one in uses.items():
            view = network.views[name]
            view.now_us = network.now
            for held in [
                *view.replicated_map.entries_of_kind("seen"),
                *view.replicated_map.entries_of_kind("list"),
            ]:
                if held.entry.writer != name:
                    age_ms = (network.now - held.written_us) // 1000
                    one.entry_received(msgspec.structs.replace(held.entry, age_ms=age_ms), network.now)
            found[name].append(one.review(nodes, name in silent, network.now))
            network._flush(name, view)
    return found


def test_a_suspect_is_probed_by_two_and_the_others_hear_what_they_found() -> None:
    network, uses = settled(6)
    live = names(6)
    chosen = health_checkers("s-3", live)
    asked = [name for name in live if uses[name].delegate_health_check("s-3", network.now)]
    assert sorted(asked) == sorted(set(live) - set(chosen))
    uses[asked[0]].observe("s-3", Observation.SILENT, network.now)
    found = pump(network, uses, 2.0)
    probing = {name for name in live if any("s-3" in review.nodes_to_check for review in found[name])}
    assert probing == set(chosen)
    answers = [one for name in asked for review in found[name] for one in review.check_results]
    assert answers and not any(
        well for _, well in answers
    )  # nobody said that it answers: as if it was silent
    for name in chosen:
        uses[name].observe("s-3", Observation.SILENT, network.now)
        uses[name].observe("s-3", Observation.WELL, network.now)
    assert uses[asked[1]].delegate_health_check("s-3", network.now)
    found = pump(network, uses, 2.0)
    assert ("s-3", True) in [one for review in found[asked[1]] for one in review.check_results]


def test_a_drain_reaches_the_one_with_a_silent_change_log_through_the_fleet() -> None:
    network, uses = settled(6)
    for name, one in uses.items():
        one.drain_gossip.update_own("s-4", 0, drain_gossip.UP, network.now)
        if name != "m05":
            one.drain_gossip.update_own("s-4", 0, drain_gossip.DRAINING, network.now)
    found = pump(network, uses, 2.0, frozenset(("m05",)))
    away = [review.avoided_nodes for review in found["m05"] if review.avoided_nodes is not None]
    assert away == [{"s-4"}]
    assert not any(review.avoided_nodes for name in names(5) for review in found[name])


def test_a_part_that_is_switched_off_does_nothing() -> None:
    network = Network(3)
    assert run_until_settled(network, names(4), 30 * SECOND) is not None
    one = FleetPolicies(network.views["m00"], frozenset(), 4, 60 * SECOND, network.now)
    one.observe("s-1", Observation.SILENT, network.now)
    one.publish_placer_gossip(b"words")
    assert not one.delegate_health_check("s-1", network.now)
    review = one.review(["s-1"], True, network.now)
    assert (review.quota, review.outliers, review.avoided_nodes, review.nodes_to_check) == (
        None,
        None,
        None,
        [],
    )
    assert not network.views["m00"]._pending_writes


@pytest.mark.parametrize("seed", range(3))
def test_peers_words_reach_all_within_the_traffic_that_is_allowed(seed: int) -> None:
    network = Network(seed)
    assert run_until_settled(network, names(12), 30 * SECOND) is not None
    network.run(network.now + 3 * SECOND)
    before, chance = network.bytes, random.Random(seed)
    for _ in range(120):
        for name in names(12):
            network.views[name].now_us = network.now
            network.views[name].publish("peers", 0, chance.randbytes(240))
        network.run(network.now + SECOND // 4)
    assert all(
        len(list(view.replicated_map.entries_of_kind("peers"))) == 12 for view in network.views.values()
    )
    assert (network.bytes - before) / 12 / 30 < 12_000
