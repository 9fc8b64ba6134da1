"""The uses of the membership: quotas, outliers, drains and shared health checks."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conftest import SAFE, endpoint, endpoint_update, placement_request, started_attempts
from tests.conftest import settings as deployment
from thornshelf import placement as api
from thornshelf.lab.membership import SECOND, Network, run_until_settled
from thornshelf.membership.drain_gossip import GOSSIP_LIFETIME_US, MAX_PAGES, DrainGossip, NodeStage
from thornshelf.membership.outlier_gossip import Observation, OutlierGossip, health_checkers
from thornshelf.membership.policies import DRAINS, OBSERVATIONS, PLACER_GOSSIP, FleetPolicies, PolicyChanges
from thornshelf.membership.quota_division import NO_QUOTA, Quota, QuotaConfig, QuotaDivision
from thornshelf.placement.placer import Placer

ALL_POLICIES = frozenset(("allowances", "news", "probes", "evidence", "messages"))


def member_names(count: int) -> list[str]:
    return [f"m{number:02d}" for number in range(count)]


# quotas


class Fleet:
    """Members that divide quotas on one clock, in groups without links; each sees new members with a delay."""

    def __init__(self, count: int, configured: int) -> None:
        self.now = 0
        self.configured = configured
        self.members: dict[str, QuotaDivision] = {}
        self.group: dict[str, int] = {}
        self.dead: dict[str, int] = {}
        self.unseen_until: dict[tuple[str, str], int] = {}  # by observer and new member
        for name in member_names(count):
            self.start(name, with_fleet=True)

    def start(self, name: str, with_fleet: bool = False) -> None:
        is_returning = name in self.dead or with_fleet
        self.dead.pop(name, None)
        self.members[name] = QuotaDivision(QuotaConfig(self.configured), name, self.now)
        self.group[name] = 0
        for other in self.members:
            self.unseen_until[other, name] = self.now + 2 * SECOND
        if not with_fleet:
            self.members[name].mark_joining()
            if is_returning:
                self.members[name].mark_rejoined()

    def live_for(self, name: str) -> list[str]:
        return [
            other
            for other in self.members
            if self.group[other] == self.group[name]
            and (other == name or self.unseen_until.get((name, other), 0) <= self.now)
        ]

    def step(self) -> dict[str, Quota]:
        self.now += SECOND // 4
        return {
            name: division.quota(self.live_for(name), self.now) for name, division in self.members.items()
        }

    def check(self) -> None:
        quotas = self.step()
        total = sum(
            1.0 / quota.strict_divisor for quota in quotas.values() if quota.strict_divisor < NO_QUOTA
        )
        assert total <= 1.0 + 1e-9, (self.now, quotas)
        assigned = Counter(
            (quota.index, quota.strict_divisor) for quota in quotas.values() if quota.round_robin
        )
        assert not assigned or max(assigned.values()) == 1 or len({self.group[name] for name in quotas}) > 1


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["kill", "return", "join", "part", "heal", "wait", "long"]), st.integers(0, 15)
        ),
        max_size=6,
    )
)
@settings(derandomize=True, max_examples=40, deadline=None)
def test_the_quotas_of_offers_to_nodes_in_slow_start_never_sum_up_to_more_than_one(
    steps: list[tuple[str, int]],
) -> None:
    """Guards against exceeding the fleet's limit for a node in slow start as members crash, join and are cut off."""
    fleet = Fleet(8, 8)
    for _ in range(120):  # past the start of the fleet
        fleet.check()
    for step, number in steps:
        name = f"m{number % 12:02d}"
        if step == "kill" and name in fleet.members and len(fleet.members) > 1:
            del fleet.members[name]
            fleet.dead[name] = fleet.now
        elif (
            step == "return"
            and name in fleet.dead
            or step == "join"
            and name not in fleet.members
            and name not in fleet.dead
        ):
            fleet.start(name)
        elif step == "part":
            for index, one in enumerate(sorted(fleet.members)):
                fleet.group[one] = int(index * 16 >= number * len(fleet.members))
        elif step == "heal":
            fleet.group = dict.fromkeys(fleet.group, 0)
        for _ in range({"wait": 20, "long": 400}.get(step, 4)):
            fleet.check()


def test_members_that_are_long_dead_do_not_count_and_each_has_an_index_of_its_own() -> None:
    fleet = Fleet(12, 16)
    for _ in range(200):
        quotas = fleet.step()
    assert {quota.strict_divisor for quota in quotas.values()} == {12}
    assert {quota.index for quota in quotas.values()} == set(range(12))
    for name in member_names(12)[9:]:
        del fleet.members[name]
    quotas = fleet.step()
    assert {quota.strict_divisor for quota in quotas.values()} == {12}
    assert {quota.soft_divisor for quota in quotas.values()} == {9}
    for _ in range(280):
        quotas = fleet.step()
    assert {quota.strict_divisor for quota in quotas.values()} == {9}
    assert all(quota.round_robin for quota in quotas.values())
    assert {quota.index for quota in quotas.values()} == set(range(9))


def test_the_minority_takes_no_quota_before_the_majority_drops_it() -> None:
    fleet = Fleet(8, 8)
    for _ in range(120):
        fleet.check()
    for name in member_names(8)[:3]:
        fleet.group[name] = 1
    for _ in range(400):
        quotas = fleet.step()
    assert [quotas[name].strict_divisor for name in member_names(8)] == [NO_QUOTA] * 3 + [5] * 5


def test_invented_members_reduce_a_quota_to_half_at_most() -> None:
    division = QuotaDivision(QuotaConfig(12), "m00", 0)
    for _ in range(100):
        quota = division.quota(member_names(12), 20 * SECOND)
    quota = division.quota([*member_names(12), *(f"invented{n}" for n in range(4000))], 21 * SECOND)
    assert quota.strict_divisor == 24


def test_the_placer_takes_a_quota_and_partitions_nothing_while_members_disagree() -> None:
    rules = {"slow_start_attempts": 51.0, "slow_start_window_s": 3.0, "slow_start_s": 14.0}
    placer = Placer(deployment(SAFE, placers=16, **rules), 1)
    placer.handle(0.0, [endpoint_update(endpoint(1, started_at=0.5, kind="large"))])
    counts = []
    for strict_divisor, round_robin in ((16, False), (8, False), (NO_QUOTA, False)):
        placer.set_quota(0, 8, strict_divisor, round_robin)
        placer.machines[1].recent_attempts.clear()
        counts.append(
            sum(
                bool(started_attempts(placer.handle(1.0, [placement_request(n, cores=0.01, memory=0.01)])))
                for n in range(20)
            )
        )
        for request in list(placer.requests.values()):
            for attempt in request.attempts:
                attempt.live = False
            request.open = False
            placer.discard_if_done(request)
    assert counts == [3, 6, 0]


# outliers


def test_reports_make_a_fifth_of_the_nodes_outliers_at_most_and_decay() -> None:
    nodes, live = [f"s-{n}" for n in range(20)], member_names(5)
    own, malicious_members = OutlierGossip("m00"), [OutlierGossip(name) for name in member_names(5)[1:3]]
    for malicious in malicious_members:
        for _ in range(3):
            for node in nodes:
                malicious.observe(node, Observation.NO_RESPONSE, 0)
        assert own.receive(malicious._name, malicious.encode(0), 0)
    assert 0 < len(own.outliers(nodes, live, 0)) <= 4
    assert own.outliers(nodes, live, 30 * SECOND) == set()


def test_one_reporter_is_not_enough_where_there_are_two_others() -> None:
    own, other = OutlierGossip("m00"), OutlierGossip("m01")
    other.observe("s-1", Observation.CONNECTION_REFUSED, 0)
    own.receive("m01", other.encode(0), 0)
    nodes = [f"s-{n}" for n in range(10)]
    assert own.outliers(nodes, member_names(3), 0) == set()
    assert own.outliers(nodes, member_names(2), 0) == {"s-1"}
    own.discard_member("m01")
    assert own.outliers(nodes, member_names(2), 0) == set()


def test_an_outlier_is_less_preferred_but_never_excluded() -> None:
    placer = Placer(deployment(SAFE), 1)
    placer.handle(0.0, [endpoint_update(endpoint(1, kind="large"), endpoint(2, kind="large"))])
    placer.machines[1].gossip_penalty = 1.0
    chosen = Counter(
        offer.machine
        for n in range(6)
        for offer in started_attempts(placer.handle(0.1, [placement_request(n, service=n)]))
    )
    assert chosen[2] == 6
    placer.handle(0.2, [endpoint_update(endpoint(2, health=api.Health.DRAINING), complete=False)])
    assert [offer.machine for offer in started_attempts(placer.handle(0.3, [placement_request(90)]))] == [1]


def test_two_members_check_a_suspect_for_all_and_when_one_goes_the_others_keep_theirs() -> None:
    live, nodes = member_names(12), [f"s-{n:04d}" for n in range(300)]
    before = {node: health_checkers(node, live) for node in nodes}
    counts = Counter(name for chosen in before.values() for name in chosen)
    assert set(counts) == set(live)
    assert max(counts.values()) < 2 * min(counts.values())
    after = {node: health_checkers(node, live[:-1]) for node in nodes}
    moved = [node for node in nodes if live[-1] not in before[node] and before[node] != after[node]]
    assert not moved


def test_malformed_observations_are_ignored() -> None:
    own = OutlierGossip("m00")
    for value in (b"\xc1", b"\x91\x93\xa0\x09\x00", b"\x00" * 50):
        assert not own.receive("m01", value, 0)


# drains


def drain_gossip(*rows: tuple[str, int, int]) -> DrainGossip:
    gossip = DrainGossip()
    for node, started, stage in rows:
        gossip.update_local(node, started, stage, 0)
    return gossip


def exchange(receiver: DrainGossip, **writers: DrainGossip) -> None:
    for name, writer in writers.items():
        for part, value in enumerate(writer.encode_pages(1)):
            assert receiver.receive(name, part, value)


def test_a_drain_that_two_report_reaches_a_member_whose_endpoint_watch_is_unresponsive() -> None:
    own, live = drain_gossip(("s-1", 0, NodeStage.UP), ("s-2", 0, NodeStage.UP)), member_names(4)
    exchange(own, m01=drain_gossip(("s-1", 0, NodeStage.DRAINING)))
    assert own.nodes_to_avoid(True, live) == set()  # a single report is not enough
    exchange(own, m02=drain_gossip(("s-1", 0, NodeStage.REMOVED)))
    assert own.nodes_to_avoid(True, live) == {"s-1"}
    assert own.nodes_to_avoid(False, live) == set()  # the own watch responds, so its list takes precedence


def test_reports_of_a_former_process_are_ignored() -> None:
    """Guards against a report on an earlier process of a node that affects its current one."""
    own = drain_gossip(("s-1", 500, NodeStage.UP))
    other = drain_gossip(("s-1", 400, NodeStage.REMOVED))
    exchange(own, m01=other, m02=other)
    assert own.nodes_to_avoid(True, member_names(4)) == set()
    later = drain_gossip(("s-1", 600, NodeStage.DRAINING))
    exchange(own, m01=later, m02=later)
    assert own.nodes_to_avoid(True, member_names(4)) == {"s-1"}
    own.update_local("s-1", 600, NodeStage.UP, 2)
    # The own list has the new process, but the others report that this one drains, too.
    assert own.nodes_to_avoid(True, member_names(4)) == {"s-1"}
    own.update_local("s-1", 700, NodeStage.UP, 3)
    assert own.nodes_to_avoid(True, member_names(4)) == set()


def test_drains_of_a_complete_fleet_are_reported_by_a_few_in_bounded_pages() -> None:
    reporter = drain_gossip(*((f"s-{n:04d}", 0, NodeStage.DRAINING) for n in range(400)))
    values = reporter.encode_pages(1)
    assert len(values) <= MAX_PAGES
    assert max(map(len, values)) <= 800
    unchanged = reporter.encode_pages(2)
    assert unchanged == values
    late_reporter = drain_gossip(*((f"s-{n:04d}", 0, NodeStage.DRAINING) for n in range(20)))
    for name in ("m01", "m02", "m03"):
        exchange(late_reporter, **{name: reporter})
    assert sum(map(len, late_reporter.encode_pages(2))) < sum(map(len, values))
    assert reporter.encode_pages(GOSSIP_LIFETIME_US + 2) == [b""] * len(values)


# policies of simulated members


def start_policies(count: int) -> tuple[Network, dict[str, FleetPolicies]]:
    network = Network(3)
    assert run_until_settled(network, member_names(count), 30 * SECOND) is not None
    policies = {
        name: FleetPolicies(member, ALL_POLICIES, count, 60 * SECOND, network.now)
        for name, member in network.members.items()
    }
    return network, policies


def run_reviews(
    network: Network,
    policies: dict[str, FleetPolicies],
    seconds: float,
    unresponsive: frozenset[str] = frozenset(),
) -> dict[str, list[PolicyChanges]]:
    """Reviews the policies of all members every quarter of a second; returns the changes of each member."""
    changes_by_member: dict[str, list[PolicyChanges]] = {name: [] for name in policies}
    nodes = [f"s-{n}" for n in range(10)]
    for _ in range(int(seconds * 4)):
        network.run(network.now + SECOND // 4)
        for name, policy in policies.items():
            member = network.members[name]
            member.now_us = network.now
            entries = member.replicated_map
            for stored in [*entries.entries_of_kind(OBSERVATIONS), *entries.entries_of_kind(DRAINS)]:
                if stored.entry.writer != name:
                    age_ms = (network.now - stored.written_us) // 1000
                    policy.entry_received(msgspec.structs.replace(stored.entry, age_ms=age_ms), network.now)
            changes_by_member[name].append(policy.review(nodes, name in unresponsive, network.now))
            network._flush(name, member)
    return changes_by_member


def test_a_suspect_is_checked_by_two_and_the_others_receive_the_result() -> None:
    network, policies = start_policies(6)
    live = member_names(6)
    chosen = health_checkers("s-3", live)
    delegating = [name for name in live if policies[name].delegate_health_check("s-3", network.now)]
    assert sorted(delegating) == sorted(set(live) - set(chosen))
    policies[delegating[0]].observe("s-3", Observation.NO_RESPONSE, network.now)
    changes_by_member = run_reviews(network, policies, 2.0)
    checking = {name for name in live if any("s-3" in one.nodes_to_check for one in changes_by_member[name])}
    assert checking == set(chosen)
    results = [
        result
        for name in delegating
        for changes in changes_by_member[name]
        for result in changes.check_results
    ]
    # No member reported the node as healthy, so the health check counts as failed.
    assert results
    assert not any(result.is_healthy for result in results)
    for name in chosen:
        policies[name].observe("s-3", Observation.NO_RESPONSE, network.now)
        policies[name].observe("s-3", Observation.HEALTHY, network.now)
    assert policies[delegating[1]].delegate_health_check("s-3", network.now)
    changes_by_member = run_reviews(network, policies, 2.0)
    assert ("s-3", True) in [
        one for review in changes_by_member[delegating[1]] for one in review.check_results
    ]


def test_a_drain_reaches_a_member_with_an_unresponsive_endpoint_watch_through_the_fleet() -> None:
    network, policies = start_policies(6)
    for name, policy in policies.items():
        policy.drain_gossip.update_local("s-4", 0, NodeStage.UP, network.now)
        if name != "m05":
            policy.drain_gossip.update_local("s-4", 0, NodeStage.DRAINING, network.now)
    changes_by_member = run_reviews(network, policies, 2.0, frozenset(("m05",)))
    avoided = [
        review.avoided_nodes for review in changes_by_member["m05"] if review.avoided_nodes is not None
    ]
    assert avoided == [{"s-4"}]
    assert not any(review.avoided_nodes for name in member_names(5) for review in changes_by_member[name])


def test_policies_that_are_disabled_do_nothing() -> None:
    network = Network(3)
    assert run_until_settled(network, member_names(4), 30 * SECOND) is not None
    policies = FleetPolicies(network.members["m00"], frozenset(), 4, 60 * SECOND, network.now)
    policies.observe("s-1", Observation.NO_RESPONSE, network.now)
    policies.publish_placer_gossip(b"gossip")
    assert not policies.delegate_health_check("s-1", network.now)
    changes = policies.review(["s-1"], True, network.now)
    assert (changes.quota, changes.outliers, changes.avoided_nodes, changes.nodes_to_check) == (
        None,
        None,
        None,
        [],
    )
    assert not network.members["m00"].publisher.pending


@pytest.mark.parametrize("seed", range(3))
def test_gossip_of_placers_reaches_all_within_the_traffic_budget(seed: int) -> None:
    network = Network(seed)
    assert run_until_settled(network, member_names(12), 30 * SECOND) is not None
    network.run(network.now + 3 * SECOND)
    bytes_before, rng = network.bytes, random.Random(seed)
    for _ in range(120):
        for name in member_names(12):
            network.members[name].now_us = network.now
            network.members[name].publish(PLACER_GOSSIP, 0, rng.randbytes(240))
        network.run(network.now + SECOND // 4)
    assert all(
        len(list(member.replicated_map.entries_of_kind(PLACER_GOSSIP))) == 12
        for member in network.members.values()
    )
    assert (network.bytes - bytes_before) / 12 / 30 < 12_000
