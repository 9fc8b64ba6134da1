"""The part of the list that a dispatcher holds: rules that hold after any events, and what follows from trouble."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornshelf.errors import InvalidParameterError
from thornshelf.placement.interface import Health
from thornshelf.subsetting import RequestCounts, Subset, SubsetConfig
from thornshelf.subsetting.zone_summary import ZoneSummary, rendezvous_rank

SECOND = 1_000_000
UP, DRAINING, GONE = Health.UP, Health.DRAINING, Health.REMOVED
OWN, ZONES = "zone-00", ("zone-00", "zone-01", "zone-02", "zone-03")
TERMS = SubsetConfig(OWN, "m01", spare_step=4, max_spares=12, spares_per_review=5, cooldown_us=5 * SECOND)


@dataclass(frozen=True, slots=True)
class Node:
    """A line of the list."""

    name: str
    zone: str
    health: Health = UP
    life: int = 0


def with_health(node: Node, health: Health) -> Node:
    return replace(node, health=health)


def a_list(each: int = 20) -> list[Node]:
    """So many nodes of each zone."""
    return [Node(f"n{zone[-2:]}-{number:02d}", zone) for zone in ZONES for number in range(each)]


@dataclass
class Core:
    """What a core would know by what it was told; it breaks a rule where it could."""

    known: dict[str, Node] = field(default_factory=dict)
    busy: set[str] = field(default_factory=set)
    lost: list[str] = field(default_factory=list)  # nodes that went while something of ours stood there
    now: int = SECOND

    def __post_init__(self) -> None:
        self.subset: Subset[Node] = Subset(TERMS, self.now, with_health, lambda name: name not in self.busy)
        self.taken = self.refused = 0

    def hear(self, told: Sequence[Node], complete: bool = False) -> None:
        if complete:
            names = {node.name for node in told}
            self.lost += [name for name in self.known.keys() - names if name in self.busy]
            self.known = {name: node for name, node in self.known.items() if name in names}
        for node in told:
            if node.health is GONE:
                self.known.pop(node.name, None)
                self.lost += [node.name] if node.name in self.busy else []
            else:
                self.known[node.name] = node

    def change(self, *nodes: Node, complete: bool = False) -> None:
        self.hear(self.subset.apply(complete, nodes, self.now), complete)

    def review(self, count: int = 1, taken: int = 0, refused: int = 0) -> None:
        for _ in range(count):
            self.now += TERMS.review_interval_us
            self.taken, self.refused = self.taken + taken, self.refused + refused
            self.hear(self.subset.review(RequestCounts(self.taken, self.refused), self.now))

    def up(self, zone: str | None = None) -> set[str]:
        """Nodes that this core may offer tasks to: of its own zone, or of others."""
        return {
            name
            for name, node in self.known.items()
            if node.health is UP and (node.zone == zone if zone else node.zone != OWN)
        }


def settled(each: int = 20) -> Core:
    core = Core()
    core.change(*a_list(each), complete=True)
    core.review()
    return core


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("state"), st.integers(0, 31), st.sampled_from((UP, DRAINING, GONE))),
        st.tuples(st.just("review"), st.integers(1, 12), st.integers(0, 40)),
        st.tuples(st.just("busy"), st.integers(0, 31), st.booleans()),
        st.tuples(st.just("seek"), st.integers(0, 31), st.none()),
        st.tuples(st.just("list"), st.none(), st.none()),
    ),
    max_size=60,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(STEPS)
def test_whatever_happens_the_core_knows_what_it_may_and_no_more(
    steps: list[tuple[str, int, object]],
) -> None:
    """Own nodes all of the time; of others only live ones as up, and none that is busy is dropped by us."""
    core, truth = Core(), {node.name: node for node in a_list(8)}
    core.change(*truth.values(), complete=True)
    names = sorted(truth)
    for kind, number, what in steps:
        name = names[number] if kind in ("state", "busy", "seek") else ""
        if kind == "state" and isinstance(what, Health):
            old = truth[name]
            if what is UP or old.health is not GONE:
                truth[name] = replace(old, health=what, life=old.life + (what is UP))
                if what is GONE:
                    core.busy.discard(name)  # the list's own word: what stood there is over
                core.change(truth[name])
        elif kind == "review" and isinstance(what, int):
            core.review(number, 40, what)
        elif kind == "busy":
            core.busy = core.busy | {name} if what and name in core.known else core.busy - {name}
        elif kind == "seek":
            core.hear(core.subset.retain(name))
        elif kind == "list":
            core.change(*(node for node in truth.values() if node.health is not GONE), complete=True)
        listed = {name: node for name, node in truth.items() if node.health is not GONE}
        assert {name for name, node in core.known.items() if node.zone == OWN} == {
            name for name, node in listed.items() if node.zone == OWN
        }
        for name, node in core.known.items():
            assert name in listed and node.life == listed[name].life
            assert node.health is listed[name].health or node.health is DRAINING
            assert node.zone != OWN or node.health is listed[name].health
        assert core.lost == []
        assert len(core.subset.spare_nodes) <= TERMS.max_spares
        assert (
            set(core.known)
            == core.subset.own_zone_nodes.keys()
            | core.subset.spare_nodes.keys()
            | core.subset.draining_nodes.keys()
        )
        for zone in ZONES[1:]:
            alive = sum(node.zone == zone and node.health is UP for node in truth.values())
            summary = core.subset.zones.get(zone)
            assert (summary.up_count if summary else 0) == alive
            assert summary is None or len(summary.sample) <= TERMS.sample_size(1)


def test_in_calm_only_the_own_zone_is_held() -> None:
    core = settled()
    core.review(20, taken=100, refused=2)
    assert core.up(OWN) == set(core.known) and len(core.known) == 20
    assert core.subset.known_up_count == 80 and not core.subset.spare_nodes


def test_a_lost_zone_is_made_up_for_by_all_others_alike_and_by_steps() -> None:
    core = settled()
    core.change(*(replace(node, health=GONE) for node in a_list() if node.zone == OWN))
    assert not core.known
    core.review()
    assert len(core.up()) == TERMS.spares_per_review
    core.review(4)
    assert len(core.up()) == TERMS.max_spares
    assert {zone: len(core.up(zone)) for zone in ZONES[1:]} == dict.fromkeys(ZONES[1:], 4)


def test_two_members_hold_other_spare_nodes() -> None:
    """So that a lost zone is not made up for by the same few nodes of each other zone."""
    nodes = [f"n{number}" for number in range(1000)]
    first = set(sorted(nodes, key=lambda name: rendezvous_rank("m01", name))[:100])
    second = set(sorted(nodes, key=lambda name: rendezvous_rank("m02", name))[:100])
    assert len(first & second) < 30


def test_a_zone_that_is_back_gets_its_tasks_again_and_the_spares_go_once_they_are_idle() -> None:
    core = settled()
    core.change(*(replace(node, health=GONE) for node in a_list() if node.zone == OWN))
    core.review(4)
    core.busy = set(sorted(core.up())[:2])
    core.change(*(replace(node, life=1) for node in a_list() if node.zone == OWN))
    core.review(9)
    assert len(core.up()) == TERMS.max_spares  # the own zone is cold yet
    core.review(80)
    assert core.up() == set() and len(core.up(OWN)) == 20
    assert {name for name in core.known if core.known[name].zone != OWN} == core.busy
    core.busy = set()
    core.review()
    assert len(core.known) == 20


def test_refused_set_ups_open_step_after_step_and_a_quiet_time_closes_them() -> None:
    core = settled()
    core.review(1, taken=40, refused=1)
    assert not core.up()
    core.review(1, taken=40, refused=8)
    assert len(core.up()) == TERMS.spare_step
    core.review(4, taken=40, refused=8)
    assert len(core.up()) == TERMS.max_spares
    core.review(200, taken=40, refused=0)
    assert not core.up() and len(core.known) == 20


def test_a_zone_without_any_node_is_served_by_others() -> None:
    core = Core()
    core.change(*(node for node in a_list() if node.zone != OWN), complete=True)
    core.review()
    assert len(core.up()) == TERMS.spare_step


def test_few_set_ups_say_nothing() -> None:
    core = settled()
    core.review(3, taken=3, refused=3)
    assert not core.up()


def test_a_drain_of_a_spare_node_is_passed_on_at_once_and_another_takes_its_place() -> None:
    core = settled()
    core.change(*(replace(node, health=GONE) for node in a_list() if node.zone == OWN))
    core.review(4)
    name = sorted(core.up())[0]
    core.busy = {name}
    core.change(replace(core.known[name], health=DRAINING))
    assert core.known[name].health is DRAINING
    core.review()
    assert len(core.up()) == TERMS.max_spares and name not in core.up() and name in core.known


def test_what_is_kept_of_other_zones_does_not_grow_with_them() -> None:
    small, large = settled(20), Core()
    large.change(*a_list(2_000), complete=True)
    kept = [sum(len(zone.sample) for zone in core.subset.zones.values()) for core in (small, large)]
    assert kept[0] == kept[1] == 3 * TERMS.sample_size(3)
    assert large.subset.known_up_count == 8_000 and len(large.known) == 2_000


def test_a_sample_that_runs_thin_asks_for_the_whole_list_and_no_more_than_once_a_minute() -> None:
    core = Core()
    core.change(*a_list(40), complete=True)
    core.review(130)
    gone = [replace(node, health=GONE) for zone in core.subset.zones.values() for node in zone.sample]
    core.change(*gone)
    assert core.subset.needs_relist(core.now) and not core.subset.needs_relist(core.now + SECOND)
    names = {node.name for node in gone}
    core.change(*(node for node in a_list(40) if node.name not in names), complete=True)
    core.now += 2 * TERMS.relist_interval_us
    assert not core.subset.needs_relist(core.now)


def test_a_node_that_a_client_names_is_held_for_its_end_only() -> None:
    """A dispatcher that was started anew holds no spare nodes, and tasks of its predecessor stand on some."""
    core = Core()
    core.change(*a_list(200), complete=True)
    sampled = {node.name for zone in core.subset.zones.values() for node in zone.sample}
    near, far = (
        sorted(sampled)[0],
        next(n.name for n in a_list(200) if n.zone != OWN and n.name not in sampled),
    )
    core.busy = {near, far}
    core.hear(core.subset.retain(near))
    core.hear(core.subset.retain(far))
    assert core.known[near].health is DRAINING and far not in core.known
    core.now += SECOND
    assert core.subset.needs_relist(core.now)
    core.change(*a_list(200), complete=True)
    assert core.known[far].health is DRAINING and core.known[near].health is DRAINING
    core.review(3)
    assert far in core.known
    core.busy = set()
    core.review()
    assert len(core.known) == 200


def test_an_end_that_the_list_tells_again_holds_nothing() -> None:
    """Guards against reading the list without end: an old event names a node that has long gone."""
    core = settled()
    core.change(Node("n00-99", OWN, GONE), Node("n01-99", "zone-01", GONE))
    assert "n00-99" not in core.known and not core.subset.needs_relist(core.now + SECOND)


def test_a_summary_counts_each_node_once() -> None:
    zone = ZoneSummary[Node]("m01")
    for life in range(3):
        zone.add(Node("a", "zone-01", UP, life), 2)
    zone.add(Node("b", "zone-01"), 2)
    zone.add(Node("c", "zone-01"), 2)
    zone.remove("c")
    zone.remove("c")
    assert zone.up_count == 2 and len(zone.sample) <= 2


@pytest.mark.parametrize(
    "changes", [{"zone": ""}, {"member": ""}, {"spare_step": 0}, {"spare_step": 600}, {"short_fraction": 0.0}]
)
def test_terms_that_contradict_each_other_are_refused(changes: dict[str, object]) -> None:
    with pytest.raises(InvalidParameterError):
        replace(SubsetConfig(OWN, "m01"), **changes)  # type: ignore[arg-type]
