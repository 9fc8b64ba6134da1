"""Processes that hold a part of the list, under load: stopped, cut off from the change log, without their zone."""

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

NODES = 84  # three a zone
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


def held(one: Dispatcher, what: str) -> int:
    """What a dispatcher said last that it holds."""
    found = re.findall(
        rf' subset-changed \[thornshelf@32473 .*?{what}="(\d+)"', one.process.log_path.read_text()
    )
    return int(found[-1]) if found else -1


def served(world: ScaleTestbed, one: Dispatcher) -> int:
    assert one.county is not None
    return sum(bool(task.get("placed")) for task in one.county.tasks.values())


def settled(world: ScaleTestbed) -> tuple[int, int, int]:
    """Tasks lost, doubled, and sent to a drained node, by the stand-ins' own count."""
    world.rest(3.0)
    tally = world.nodes.tell(Count())
    world.truth.over = tally.over
    lost, doubled = world.truth.lost(world.loop.now, 2_000_000), world.truth.doubled()
    return len(lost), len(doubled), tally.late


def test_a_stopped_process_of_a_lost_zone_goes_on_with_others_nodes_and_loses_nothing(
    world: ScaleTestbed,
) -> None:
    """It is stopped as its zone is lost, and cut off from the list as that returns; another holds the whole list."""
    whole, part = world.real
    assert held(part, "own") == 3 and held(part, "known") == NODES and held(whole, "own") == -1
    world.load(1.0, 20.0)
    before = served(world, part)
    assert before > 0
    os.kill(part.pid, signal.SIGSTOP)
    world.nodes.tell(Kill(ZONE))
    world.tell(*(world.layout.entry(node, "terminated") for node in ZONE))
    world.rest(0.7)
    os.kill(part.pid, signal.SIGCONT)
    assert world.until(lambda: held(part, "spare") >= 3, 10.0)
    world.load(1.0, 20.0)
    assert world.until(lambda: served(world, part) > before + 10, 5.0)
    world.keeper.silent.add(1)
    world.nodes.tell(Rise(ZONE))
    world.tell(*(world.layout.entry(node, started_ms=1) for node in ZONE))
    world.load(1.0, 20.0)
    assert held(part, "own") == 0  # it has not heard of the return, and serves on
    world.keeper.silent.clear()
    assert world.until(lambda: held(part, "own") == 3, 10.0)
    world.load(1.0, 20.0)
    assert settled(world) == (0, 0, 0)
    assert whole.process.process.poll() is None and part.process.process.poll() is None
