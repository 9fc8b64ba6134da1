"""Processes that hold a part of the list, under load: stopped, partitioned from the list, without their zone."""

from __future__ import annotations

import os
import re
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from thornshelf.lab.fakes.network import free_port, private
from thornshelf.lab.scale.bounds import Bounds
from thornshelf.lab.scale.hollow import Count, Kill, Nodes, Rise
from thornshelf.lab.scale.layout import Layout
from thornshelf.lab.scale.testbed import Dispatcher, ScaleTestbed

NODES = 84  # three in each zone
ZONE = range(1, NODES, 28)  # the subset's own


@pytest.fixture
def testbed(tmp_path: Path) -> Iterator[ScaleTestbed]:
    """One dispatcher that holds all nodes, and one of zone 1, over hollow nodes in a process of their own."""
    layout = Layout(11, free_port([private(0)]))
    nodes = Nodes(layout, NODES, NODES)
    made = ScaleTestbed(layout, nodes, NODES, 2, tmp_path, Bounds(100.0), 2)
    try:
        made.start_real(0, False)
        made.start_real(1, True)
        made.ready()
        yield made
    finally:
        made.close()
        nodes.end()


def last_logged(one: Dispatcher, field: str) -> int:
    """A field of the last line in which a dispatcher logged the nodes that it holds; -1 without such a line."""
    found = re.findall(
        rf' subset-changed \[thornshelf@32473 .*?{field}="(\d+)"', one.process.log_path.read_text()
    )
    return int(found[-1]) if found else -1


def placed_tasks(testbed: ScaleTestbed, one: Dispatcher) -> int:
    assert one.county is not None
    return sum(bool(task.get("placed")) for task in one.county.tasks.values())


def violations(testbed: ScaleTestbed) -> tuple[int, int, int]:
    """Tasks lost, doubled, and sent to a draining node, as the fake clients and nodes count them."""
    testbed.rest(3.0)
    tally = testbed.nodes.tell(Count())
    testbed.truth.over = tally.over
    lost, doubled = testbed.truth.lost(testbed.loop.now, 2_000_000), testbed.truth.doubled()
    return len(lost), len(doubled), tally.late


def test_a_stopped_process_of_a_lost_zone_continues_on_other_zones_and_loses_no_task(
    testbed: ScaleTestbed,
) -> None:
    """It is stopped as its zone is lost, and partitioned as that returns; another holds the complete list."""
    complete, subset = testbed.real
    assert last_logged(subset, "own") == 3
    assert last_logged(subset, "known") == NODES
    assert last_logged(complete, "own") == -1
    testbed.load(1.0, 20.0)
    before = placed_tasks(testbed, subset)
    assert before > 0
    os.kill(subset.pid, signal.SIGSTOP)
    testbed.nodes.tell(Kill(ZONE))
    testbed.tell(*(testbed.layout.entry(node, "terminated") for node in ZONE))
    testbed.rest(0.7)
    os.kill(subset.pid, signal.SIGCONT)
    assert testbed.until(lambda: last_logged(subset, "spare") >= 3, 10.0)
    testbed.load(1.0, 20.0)
    assert testbed.until(lambda: placed_tasks(testbed, subset) > before + 10, 5.0)
    testbed.keeper.silent.add(1)
    testbed.nodes.tell(Rise(ZONE))
    testbed.tell(*(testbed.layout.entry(node, started_ms=1) for node in ZONE))
    testbed.load(1.0, 20.0)
    assert last_logged(subset, "own") == 0  # the return is not known to it, and it continues
    testbed.keeper.silent.clear()
    assert testbed.until(lambda: last_logged(subset, "own") == 3, 10.0)
    testbed.load(1.0, 20.0)
    assert violations(testbed) == (0, 0, 0)
    assert complete.process.process.poll() is None
    assert subset.process.process.poll() is None
