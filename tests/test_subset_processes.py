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
def world(tmp_path: Path) -> Iterator[ScaleTestbed]:
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


def placed_tasks(world: ScaleTestbed, one: Dispatcher) -> int:
    assert one.county is not None
    return sum(bool(task.get("placed")) for task in one.county.tasks.values())


def violations(world: ScaleTestbed) -> tuple[int, int, int]:
    """Tasks lost, doubled, and sent to a draining node, as the fake clients and nodes count them."""
    world.rest(3.0)
    tally = world.nodes.tell(Count())
    world.truth.over = tally.over
    lost, doubled = world.truth.lost(world.loop.now, 2_000_000), world.truth.doubled()
    return len(lost), len(doubled), tally.late


def test_a_stopped_process_of_a_lost_zone_continues_on_other_zones_and_loses_no_task(
    world: ScaleTestbed,
) -> None:
    """It is stopped as its zone is lost, and partitioned as that returns; another holds the complete list."""
    whole, part = world.real
    assert (
        last_logged(part, "own") == 3
        and last_logged(part, "known") == NODES
        and last_logged(whole, "own") == -1
    )
    world.load(1.0, 20.0)
    before = placed_tasks(world, part)
    assert before > 0
    os.kill(part.pid, signal.SIGSTOP)
    world.nodes.tell(Kill(ZONE))
    world.tell(*(world.layout.entry(node, "terminated") for node in ZONE))
    world.rest(0.7)
    os.kill(part.pid, signal.SIGCONT)
    assert world.until(lambda: last_logged(part, "spare") >= 3, 10.0)
    world.load(1.0, 20.0)
    assert world.until(lambda: placed_tasks(world, part) > before + 10, 5.0)
    world.keeper.silent.add(1)
    world.nodes.tell(Rise(ZONE))
    world.tell(*(world.layout.entry(node, started_ms=1) for node in ZONE))
    world.load(1.0, 20.0)
    assert last_logged(part, "own") == 0  # the return is not known to it, and it continues
    world.keeper.silent.clear()
    assert world.until(lambda: last_logged(part, "own") == 3, 10.0)
    world.load(1.0, 20.0)
    assert violations(world) == (0, 0, 0)
    assert whole.process.process.poll() is None and part.process.process.poll() is None
