"""Tests of the scale run with very small sizes: its parts, rules, injected faults, and leftover processes."""

from __future__ import annotations

import math
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from functools import partial

import psutil

from thornshelf.capacity.report import last_line
from thornshelf.capacity.rows import Aspect
from thornshelf.lab.scale import quantities
from thornshelf.lab.scale.bounds import Bounds, is_resource_tracker
from thornshelf.lab.scale.run import MAX_MEMBERSHIP_GROWTH, SHORT, JobRunner, Plan, run, run_faults
from thornshelf.lab.scale.sizes import PhaseTimes

TINY: Plan = replace(
    SHORT,
    list_sizes=(14, 28, 42, 56, 84),
    component_sizes=(14, 28, 42, 56, 84),
    running_tasks=(100, 150, 200, 250, 300),
    connected_dispatchers=(2, 3, 4, 5, 6),
    times=PhaseTimes(0.5, 0.5, 20.0, 1.25),
    nodes_per_process=84,
    hollow_dispatchers=4,
    scenario_nodes=84,
)


def child_processes() -> list[psutil.Process]:
    """Child processes, without the resource tracker of the interpreter."""
    return [
        process for process in psutil.Process().children(recursive=True) if not is_resource_tracker(process)
    ]


def test_a_tiny_run_computes_every_row_meets_every_rule_and_leaves_no_process() -> None:
    """The sizes are too small for meaningful slopes, so held-out points are not checked."""
    before = {process.pid for process in child_processes()}
    report = run(3, TINY)
    assert report.rules_broken == []
    assert report.lost == report.doubled == 0
    assert report.asked > 50
    assert report.served > report.asked / 2
    assert all(math.isfinite(row.at_target) for row in report.rows)
    rows = {row.slope: row for row in report.rows}
    assert rows["descriptors"].at_target > rows["descriptors"].today > 14  # a connection to each node
    assert rows["held_kb"].at_target >= rows["held_kb"].today > 5_000  # at least the interpreter
    assert {row.aspect for row in report.rows} == set(Aspect)
    assert report.processes < 200
    assert report.short
    summary = last_line(report)
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
        assert name in summary
    assert {process.pid for process in child_processes()} <= before


BROKEN_RULES = {
    "leak": "a dispatcher keeps state of nodes that have gone",
    "hold-all": "a subset holds more than half of the list",
}


def rules_violated_with(fault: str) -> list[str]:
    """Returns the rules that the failure scenario violates with an injected fault."""
    port = 7_380 + sorted(BROKEN_RULES).index(fault)
    with JobRunner(1, fault, Bounds(100.0), lambda _: None) as jobs:
        (counts,) = jobs.run("faults", [partial(run_faults, 84, 5, port, 100.0, 4, 10.0, fault)])
    return list(counts.violated_rules)


def test_each_injected_fault_breaks_its_rule_and_no_other() -> None:
    with ThreadPoolExecutor(len(BROKEN_RULES)) as pool:
        violations = dict(zip(BROKEN_RULES, pool.map(rules_violated_with, BROKEN_RULES), strict=True))
    assert violations == {fault: [rule] for fault, rule in BROKEN_RULES.items()}


def test_gossip_to_all_members_shows_in_the_growth_of_traffic() -> None:
    for fault, grows in ((None, False), ("all-to-all", True)):
        with JobRunner(2, fault, Bounds(100.0), lambda _: None) as jobs:
            few, many = jobs.run(
                "view", [partial(quantities.measure_membership, members, 3) for members in (4, 16)]
            )
        assert (many["view_bytes"] > MAX_MEMBERSHIP_GROWTH * few["view_bytes"]) is grows
