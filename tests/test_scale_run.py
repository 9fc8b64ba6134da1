"""A very small scale run: all its parts, its rules, its planted faults, and the end of its processes."""

from __future__ import annotations

import math
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from functools import partial

import psutil

from thornshelf.capacity.report import last_line
from thornshelf.capacity.rows import Aspect
from thornshelf.lab.scale import quantities
from thornshelf.lab.scale.bounds import Bounds, is_tracker
from thornshelf.lab.scale.run import MOST_GROWTH, SHORT, Jobs, Plan, run, run_faults
from thornshelf.lab.scale.sizes import Spans

TINY: Plan = replace(
    SHORT,
    nodes=(14, 28, 42, 56, 84),
    parts=(14, 28, 42, 56, 84),
    standing=(100, 150, 200, 250, 300),
    linked=(2, 3, 4, 5, 6),
    spans=Spans(0.5, 0.5, 20.0, 1.25),
    a_process=84,
    hollow=4,
    troubled=84,
)


def children() -> list[psutil.Process]:
    """This process's, but for the interpreter's own."""
    return [one for one in psutil.Process().children(recursive=True) if not is_tracker(one)]


def test_a_tiny_run_computes_every_row_meets_every_rule_and_leaves_no_process() -> None:
    """Its sizes are too small for slopes: whether the held-out points are met is the longer runs' matter."""
    before = {one.pid for one in children()}
    report = run(3, TINY)
    assert report.rules_broken == []
    assert report.lost == report.doubled == 0
    assert report.asked > 50
    assert report.served > report.asked / 2
    assert all(math.isfinite(row.at_target) for row in report.rows)
    found = {row.slope: row for row in report.rows}
    assert found["descriptors"].at_target > found["descriptors"].today > 14  # a link to each node
    assert found["held_kb"].at_target >= found["held_kb"].today > 5_000  # an interpreter and this program
    assert {row.aspect for row in report.rows} == set(Aspect)
    assert report.processes < 200
    assert report.short
    line = last_line(report)
    for name in (
        "sizes",
        "hollow",
        "real",
        "processes",
        "peak_memory_mb",
        "roles",
        "lost",
        "doubled",
        "mechanism",
    ):
        assert name in line
    assert {one.pid for one in children()} <= before


PLANTED = {
    "leak": "a dispatcher keeps state of nodes that have gone",
    "hold-all": "a subset holds more than half of the list",
}


def rules_broken_by(plant: str) -> list[str]:
    """The rules that the troubles break with a planted fault."""
    port = 7_380 + sorted(PLANTED).index(plant)
    with Jobs(1, plant, Bounds(100.0), lambda _: None) as jobs:
        (counted,) = jobs.run("planted", [partial(run_faults, 84, 5, port, 100.0, 4, 10.0, plant)])
    return list(counted.rules)


def test_each_injected_fault_breaks_its_rule_and_no_other() -> None:
    with ThreadPoolExecutor(len(PLANTED)) as pool:
        found = dict(zip(PLANTED, pool.map(rules_broken_by, PLANTED), strict=True))
    assert found == {plant: [rule] for plant, rule in PLANTED.items()}


def test_gossip_to_all_members_shows_in_the_growth_of_traffic() -> None:
    for plant, grows in ((None, False), ("all-to-all", True)):
        with Jobs(2, plant, Bounds(100.0), lambda _: None) as jobs:
            few, many = jobs.run("view", [partial(quantities.view_at, members, 3) for members in (4, 16)])
        assert (many["view_bytes"] > MOST_GROWTH * few["view_bytes"]) is grows
