"""The subset of nodes that a dispatcher holds: invariants under any events, and the response to lost nodes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornshelf.errors import InvalidParameterError
from thornshelf.placement import Health
from thornshelf.subsetting import RequestCounts, Subset, SubsetConfig
from thornshelf.subsetting.zone_summary import ZoneSummary, rendezvous_rank

SECOND = 1_000_000
UP, DRAINING, REMOVED = Health.UP, Health.DRAINING, Health.REMOVED
OWN, ZONES = "zone-00", ("zone-00", "zone-01", "zone-02", "zone-03")
CONFIG = SubsetConfig(OWN, "m01", spare_step=4, max_spares=12, spares_per_review=5, cooldown_us=5 * SECOND)


@dataclass(frozen=True, slots=True)
class Node:
    """An entry of the endpoint list."""

    name: str
    zone: str
    health: Health = UP
    incarnation: int = 0


def with_health(node: Node, health: Health) -> Node:
    return replace(node, health=health)


def full_list(nodes_per_zone: int = 20) -> list[Node]:
    """Return a complete list of the nodes of all zones."""
    return [Node(f"n{zone[-2:]}-{number:02d}", zone) for zone in ZONES for number in range(nodes_per_zone)]


@dataclass
class Core:
    """Applies a subset's changes as the dispatcher core would, and records removed nodes that had tasks."""

    known: dict[str, Node] = field(default_factory=dict)
    busy: set[str] = field(default_factory=set)
    lost: list[str] = field(default_factory=list)  # nodes that were removed while a task ran there
    now: int = SECOND

    def __post_init__(self) -> None:
        self.subset: Subset[Node] = Subset(CONFIG, self.now, with_health, lambda name: name not in self.busy)
        self.received = self.rejected = 0

    def receive(self, changes: Sequence[Node], complete: bool = False) -> None:
        if complete:
            names = {node.name for node in changes}
            self.lost += [name for name in self.known.keys() - names if name in self.busy]
            self.known = {name: node for name, node in self.known.items() if name in names}
        for node in changes:
            if node.health is REMOVED:
                self.known.pop(node.name, None)
                self.lost += [node.name] if node.name in self.busy else []
            else:
                self.known[node.name] = node

    def apply(self, *nodes: Node, complete: bool = False) -> None:
        self.receive(self.subset.apply(complete, nodes, self.now), complete)

    def review(self, count: int = 1, received: int = 0, rejected: int = 0) -> None:
        for _ in range(count):
            self.now += CONFIG.review_interval_us
            self.received += received
            self.rejected += rejected
            self.receive(self.subset.review(RequestCounts(self.received, self.rejected), self.now))

    def up(self, zone: str | None = None) -> set[str]:
        """Return the nodes to which this core may send tasks: those of one zone, or of all but its own."""
        return {
            name
            for name, node in self.known.items()
            if node.health is UP and (node.zone == zone if zone else node.zone != OWN)
        }


def reviewed_core(nodes_per_zone: int = 20) -> Core:
    core = Core()
    core.apply(*full_list(nodes_per_zone), complete=True)
    core.review()
    return core


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("state"), st.integers(0, 31), st.sampled_from((UP, DRAINING, REMOVED))),
        st.tuples(st.just("review"), st.integers(1, 12), st.integers(0, 40)),
        st.tuples(st.just("busy"), st.integers(0, 31), st.booleans()),
        st.tuples(st.just("retain"), st.integers(0, 31), st.none()),
        st.tuples(st.just("list"), st.none(), st.none()),
    ),
    max_size=60,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(STEPS)
def test_the_core_knows_the_nodes_that_it_may_after_any_events(
    steps: list[tuple[str, int, object]],
) -> None:
    """The own zone is always known; others are up only if listed so, and are kept while a task runs there."""
    core, listed_nodes = Core(), {node.name: node for node in full_list(8)}
    core.apply(*listed_nodes.values(), complete=True)
    names = sorted(listed_nodes)
    for action, number, argument in steps:
        name = names[number] if action in ("state", "busy", "retain") else ""
        if action == "state" and isinstance(argument, Health):
            old = listed_nodes[name]
            if argument is UP or old.health is not REMOVED:
                listed_nodes[name] = replace(
                    old, health=argument, incarnation=old.incarnation + (argument is UP)
                )
                if argument is REMOVED:
                    core.busy.discard(name)  # the list has removed the node, so its tasks have ended
                core.apply(listed_nodes[name])
        elif action == "review" and isinstance(argument, int):
            core.review(number, 40, argument)
        elif action == "busy":
            core.busy = core.busy | {name} if argument and name in core.known else core.busy - {name}
        elif action == "retain":
            core.receive(core.subset.retain(name))
        elif action == "list":
            core.apply(*(node for node in listed_nodes.values() if node.health is not REMOVED), complete=True)
        listed = {name: node for name, node in listed_nodes.items() if node.health is not REMOVED}
        assert {name for name, node in core.known.items() if node.zone == OWN} == {
            name for name, node in listed.items() if node.zone == OWN
        }
        for name, node in core.known.items():
            assert name in listed
            assert node.incarnation == listed[name].incarnation
            assert node.health is listed[name].health or node.health is DRAINING
            assert node.zone != OWN or node.health is listed[name].health
        assert core.lost == []
        assert len(core.subset.spare_nodes) <= CONFIG.max_spares
        assert (
            set(core.known)
            == core.subset.own_zone_nodes.keys()
            | core.subset.spare_nodes.keys()
            | core.subset.draining_nodes.keys()
        )
        for zone in ZONES[1:]:
            alive = sum(node.zone == zone and node.health is UP for node in listed_nodes.values())
            summary = core.subset.zones.get(zone)
            assert (summary.up_count if summary else 0) == alive
            assert summary is None or len(summary.sample) <= CONFIG.sample_size(1)


def test_without_demand_only_the_own_zone_is_held() -> None:
    core = reviewed_core()
    core.review(20, received=100, rejected=2)
    assert core.up(OWN) == set(core.known)
    assert len(core.known) == 20
    assert core.subset.known_up_count == 80
    assert not core.subset.spare_nodes


def test_a_lost_zone_is_replaced_evenly_by_all_others_and_step_by_step() -> None:
    core = reviewed_core()
    core.apply(*(replace(node, health=REMOVED) for node in full_list() if node.zone == OWN))
    assert not core.known
    core.review()
    assert len(core.up()) == CONFIG.spares_per_review
    core.review(4)
    assert len(core.up()) == CONFIG.max_spares
    assert {zone: len(core.up(zone)) for zone in ZONES[1:]} == dict.fromkeys(ZONES[1:], 4)


def test_two_members_hold_different_spare_nodes() -> None:
    """Guards against members that all replace a lost zone by the same few nodes of other zones."""
    nodes = [f"n{number}" for number in range(1000)]
    first = set(sorted(nodes, key=lambda name: rendezvous_rank("m01", name))[:100])
    second = set(sorted(nodes, key=lambda name: rendezvous_rank("m02", name))[:100])
    assert len(first & second) < 30


def test_spare_nodes_are_released_after_the_own_zone_returns_once_they_are_idle() -> None:
    core = reviewed_core()
    core.apply(*(replace(node, health=REMOVED) for node in full_list() if node.zone == OWN))
    core.review(4)
    core.busy = set(sorted(core.up())[:2])
    core.apply(*(replace(node, incarnation=1) for node in full_list() if node.zone == OWN))
    core.review(9)
    assert len(core.up()) == CONFIG.max_spares  # the own zone is still warming up
    core.review(80)
    assert core.up() == set()
    assert len(core.up(OWN)) == 20
    assert {name for name in core.known if core.known[name].zone != OWN} == core.busy
    core.busy = set()
    core.review()
    assert len(core.known) == 20


def test_rejected_requests_add_spare_nodes_by_steps_and_cooldowns_release_them() -> None:
    core = reviewed_core()
    core.review(1, received=40, rejected=1)
    assert not core.up()
    core.review(1, received=40, rejected=8)
    assert len(core.up()) == CONFIG.spare_step
    core.review(4, received=40, rejected=8)
    assert len(core.up()) == CONFIG.max_spares
    core.review(200, received=40, rejected=0)
    assert not core.up()
    assert len(core.known) == 20


def test_a_zone_without_any_node_is_served_by_others() -> None:
    core = Core()
    core.apply(*(node for node in full_list() if node.zone != OWN), complete=True)
    core.review()
    assert len(core.up()) == CONFIG.spare_step


def test_few_requests_show_no_demand() -> None:
    core = reviewed_core()
    core.review(3, received=3, rejected=3)
    assert not core.up()


def test_a_drain_of_a_spare_node_is_passed_on_at_once_and_another_takes_its_place() -> None:
    core = reviewed_core()
    core.apply(*(replace(node, health=REMOVED) for node in full_list() if node.zone == OWN))
    core.review(4)
    name = sorted(core.up())[0]
    core.busy = {name}
    core.apply(replace(core.known[name], health=DRAINING))
    assert core.known[name].health is DRAINING
    core.review()
    assert len(core.up()) == CONFIG.max_spares
    assert name not in core.up()
    assert name in core.known


def test_the_samples_of_other_zones_do_not_grow_with_them() -> None:
    small, large = reviewed_core(20), Core()
    large.apply(*full_list(2_000), complete=True)
    sample_sizes = [sum(len(zone.sample) for zone in core.subset.zones.values()) for core in (small, large)]
    assert sample_sizes[0] == sample_sizes[1] == 3 * CONFIG.sample_size(3)
    assert large.subset.known_up_count == 8_000
    assert len(large.known) == 2_000


def test_a_depleted_sample_needs_a_relist_and_no_more_than_once_a_minute() -> None:
    core = Core()
    core.apply(*full_list(40), complete=True)
    core.review(130)
    removed = [replace(node, health=REMOVED) for zone in core.subset.zones.values() for node in zone.sample]
    core.apply(*removed)
    assert core.subset.needs_relist(core.now)
    assert not core.subset.needs_relist(core.now + SECOND)
    names = {node.name for node in removed}
    core.apply(*(node for node in full_list(40) if node.name not in names), complete=True)
    core.now += 2 * CONFIG.relist_interval_us
    assert not core.subset.needs_relist(core.now)


def test_a_node_named_by_a_client_is_held_until_its_tasks_end() -> None:
    """A restarted dispatcher holds no spare nodes yet, but its predecessor's tasks may run on some."""
    core = Core()
    core.apply(*full_list(200), complete=True)
    sampled = {node.name for zone in core.subset.zones.values() for node in zone.sample}
    sampled_name, unsampled_name = (
        sorted(sampled)[0],
        next(node.name for node in full_list(200) if node.zone != OWN and node.name not in sampled),
    )
    core.busy = {sampled_name, unsampled_name}
    core.receive(core.subset.retain(sampled_name))
    core.receive(core.subset.retain(unsampled_name))
    assert core.known[sampled_name].health is DRAINING
    assert unsampled_name not in core.known
    core.now += SECOND
    assert core.subset.needs_relist(core.now)
    core.apply(*full_list(200), complete=True)
    assert core.known[unsampled_name].health is DRAINING
    assert core.known[sampled_name].health is DRAINING
    core.review(3)
    assert unsampled_name in core.known
    core.busy = set()
    core.review()
    assert len(core.known) == 200


def test_a_repeated_removal_holds_no_node() -> None:
    """Guards against endless relists after an old event about a node that was removed long ago."""
    core = reviewed_core()
    core.apply(Node("n00-99", OWN, REMOVED), Node("n01-99", "zone-01", REMOVED))
    assert "n00-99" not in core.known
    assert not core.subset.needs_relist(core.now + SECOND)


def test_a_summary_counts_each_node_once() -> None:
    zone = ZoneSummary[Node]("m01")
    for incarnation in range(3):
        zone.add(Node("a", "zone-01", UP, incarnation), 2)
    zone.add(Node("b", "zone-01"), 2)
    zone.add(Node("c", "zone-01"), 2)
    zone.remove("c")
    zone.remove("c")
    assert zone.up_count == 2
    assert len(zone.sample) <= 2


@pytest.mark.parametrize(
    "changes", [{"zone": ""}, {"member": ""}, {"spare_step": 0}, {"spare_step": 600}, {"short_fraction": 0.0}]
)
def test_settings_that_contradict_each_other_are_rejected(changes: dict[str, object]) -> None:
    with pytest.raises(InvalidParameterError):
        replace(SubsetConfig(OWN, "m01"), **changes)  # type: ignore[arg-type]
