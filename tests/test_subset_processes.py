"""A dispatcher process with a subset of the nodes, under load: paused, partitioned from the list, and zone lost."""

from __future__ import annotations

import os
import re
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from thornshelf.lab.fakes.network import free_port, member_host
from thornshelf.lab.scale.bounds import Bounds
from thornshelf.lab.scale.hollow import Count, Kill, Nodes, Rise
from thornshelf.lab.scale.layout import Layout
from thornshelf.lab.scale.testbed import Dispatcher, ScaleTestbed

NODES = 84  # three in each zone
ZONE = range(1, NODES, 28)  # the nodes of zone 1


@pytest.fixture
def testbed(tmp_path: Path) -> Iterator[ScaleTestbed]:
    """One dispatcher that holds all nodes and one of zone 1, with simulated nodes in a process of their own."""
    layout = Layout(11, free_port([member_host(0)]))
    nodes = Nodes(layout, NODES, NODES)
    scale_testbed = ScaleTestbed(layout, nodes, NODES, 2, tmp_path, Bounds(100.0), 2)
    try:
        scale_testbed.start_real(0, False)
        scale_testbed.start_real(1, True)
        scale_testbed.wait_until_ready()
        yield scale_testbed
    finally:
        scale_testbed.close()
        nodes.end()


def last_logged(dispatcher: Dispatcher, field: str) -> int:
    """Return a field of the last log line about the nodes that a dispatcher holds, or -1 if there is none."""
    found = re.findall(
        rf' subset-changed \[thornshelf@32473 .*?{field}="(\d+)"', dispatcher.process.log_path.read_text()
    )
    return int(found[-1]) if found else -1


def placed_tasks(testbed: ScaleTestbed, dispatcher: Dispatcher) -> int:
    assert dispatcher.network is not None
    return sum(bool(task.get("placed")) for task in dispatcher.network.tasks.values())


def violations(testbed: ScaleTestbed) -> tuple[int, int, int]:
    """Count the tasks that were lost, that ran twice, and that were sent to a draining node."""
    testbed.run_for(3.0)
    tally = testbed.nodes.tell(Count())
    testbed.oracle.ended_us = tally.over
    lost, doubled = testbed.oracle.lost(testbed.loop.now, 2_000_000), testbed.oracle.duplicated()
    return len(lost), len(doubled), tally.late


def test_a_stopped_process_of_a_lost_zone_continues_on_other_zones_and_loses_no_task(
    testbed: ScaleTestbed,
) -> None:
    """The process is paused while its zone is lost, and partitioned from the change log while the zone returns."""
    complete, subset = testbed.real
    assert last_logged(subset, "own") == 3
    assert last_logged(subset, "known") == NODES
    assert last_logged(complete, "own") == -1
    testbed.send_requests(1.0, 20.0)
    before = placed_tasks(testbed, subset)
    assert before > 0
    os.kill(subset.pid, signal.SIGSTOP)
    testbed.nodes.tell(Kill(ZONE))
    testbed.publish_instances(*(testbed.layout.entry(node, "terminated") for node in ZONE))
    testbed.run_for(0.7)
    os.kill(subset.pid, signal.SIGCONT)
    assert testbed.run_until(lambda: last_logged(subset, "spare") >= 3, 10.0)
    testbed.send_requests(1.0, 20.0)
    assert testbed.run_until(lambda: placed_tasks(testbed, subset) > before + 10, 5.0)
    testbed.endpoint_source.silent.add(1)
    testbed.nodes.tell(Rise(ZONE))
    testbed.publish_instances(*(testbed.layout.entry(node, started_ms=1) for node in ZONE))
    testbed.send_requests(1.0, 20.0)
    assert last_logged(subset, "own") == 0  # it does not know of the return, and keeps serving
    testbed.endpoint_source.silent.clear()
    assert testbed.run_until(lambda: last_logged(subset, "own") == 3, 10.0)
    testbed.send_requests(1.0, 20.0)
    assert violations(testbed) == (0, 0, 0)
    assert complete.process.process.poll() is None
    assert subset.process.process.poll() is None
