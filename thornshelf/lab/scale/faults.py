"""Replays the target's failures at small scale, under load, and checks that no task is lost or duplicated.

Two real dispatchers, one with all nodes and one with a subset, share the fleet with hollow ones. The fake clients and
nodes count the outcomes.
"""

from __future__ import annotations

import os
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

from thornshelf.lab.load import LEDGER, LOOKUP
from thornshelf.lab.scale.bounds import Bounds
from thornshelf.lab.scale.hollow import Count, Drain, Kill, Nodes, Rise, Silence
from thornshelf.lab.scale.layout import Layout
from thornshelf.lab.scale.testbed import ScaleTestbed

LEDGER_SHARE = 0.05
REPLACED_NODES = 21  # nodes that are replaced, and as many that are restarted
MAX_SUBSET_SHARE = 0.5  # maximum share of the list in a subset


@dataclass(slots=True)
class ScenarioCounts:
    """Counts by the fake clients and nodes, and the state of the hollow dispatchers at the end.

    ``served`` are tasks placed at the first answer; ``late_offers`` are offers to nodes that were already draining.
    """

    asked: int = 0
    served: int = 0
    lost: int = 0
    doubled: int = 0
    late_offers: int = 0
    ledger_starts: int = 0
    held_nodes: list[int] = field(default_factory=list)  # in the list of each hollow dispatcher
    stale_entries: list[int] = field(default_factory=list)  # of removed nodes, in each hollow dispatcher
    membership_bytes_per_s: float = 0.0
    reloads: int = 0
    reloads_applied: int = 0
    violated_rules: list[str] = field(default_factory=list)


class FaultScenario:
    """One sequence of failures, over the first ``count`` nodes.

    ``hollow`` is the number of hollow dispatchers; the second half of them has a subset.
    """

    def __init__(
        self, layout: Layout, nodes: Nodes, count: int, hollow: int, folder: Path, bounds: Bounds,
        requests_per_s: float, injected_fault: str | None,
    ) -> None:  # fmt: skip
        members = 2 + 2 * (hollow // 2)
        self.testbed = ScaleTestbed(layout, nodes, count, members, folder, bounds, members)
        self.requests_per_s, self.count, self.replacements = requests_per_s, count, 0
        self.counts, self.loading, self.injected_fault = ScenarioCounts(), False, injected_fault
        self._before = nodes.tell(Count())

    def run(self) -> ScenarioCounts:
        """Inject all failures, each repaired before the next, and count the outcomes."""
        testbed = self.testbed
        try:
            testbed.start_real(0, False, self.injected_fault)
            testbed.start_real(1, True, self.injected_fault)
            hollow_members = list(range(2, 2 + len(testbed.endpoint_source.ports) - 2))
            testbed.start_hollow(hollow_members[: len(hollow_members) // 2], False, self.injected_fault)
            testbed.start_hollow(hollow_members[len(hollow_members) // 2 :], True, self.injected_fault)
            testbed.wait_until_ready()
            testbed.run_for(1.0)
            self._start_load()
            self._measure_membership()
            self._replace_nodes()
            self._restart_nodes()
            self._lose_zone()
            self._silence_region()
            self.loading = False
            testbed.run_for(4.0)
            return self._collect_counts()
        finally:
            testbed.close()

    def _start_load(self) -> None:
        """Start requests at each real dispatcher and a reload of its configuration every second."""
        self.loading = True
        testbed, pause_us = self.testbed, int(1e6 / self.requests_per_s)

        def send_request() -> None:
            if self.loading:
                for dispatcher in testbed.real:
                    testbed.submit_task(dispatcher, LEDGER if testbed.rng.random() < LEDGER_SHARE else LOOKUP)
                testbed.loop.call_later(pause_us, send_request)

        def reload() -> None:
            if self.loading:
                for dispatcher in testbed.real:
                    self.counts.reloads += 1
                    os.kill(dispatcher.pid, signal.SIGHUP)
                testbed.loop.call_later(1_000_000, reload)

        send_request()
        reload()

    def _measure_membership(self) -> None:
        """Measure the membership traffic of a real dispatcher."""
        sent, started_s = self.testbed.relays.sent[0], time.monotonic()
        self.testbed.run_for(2.0)
        self.counts.membership_bytes_per_s = (self.testbed.relays.sent[0] - sent) / (
            time.monotonic() - started_s
        )

    def _replace_nodes(self) -> None:
        """Drain and remove nodes, and start others at their addresses under new names."""
        testbed, layout = self.testbed, self.testbed.layout
        for node in range(REPLACED_NODES):
            testbed.publish_instances(layout.entry(node, "terminating"))
            testbed.nodes.tell(Drain([node]))
            testbed.run_for(0.05)
        testbed.run_for(2.5)  # their tasks end
        for node in range(REPLACED_NODES):
            testbed.publish_instances(layout.entry(node, "terminated"))
            testbed.nodes.tell(Kill([node]))
        self.replacements += 1
        testbed.run_for(0.2)
        testbed.nodes.tell(Drain(range(REPLACED_NODES), False))
        testbed.nodes.tell(Rise(range(REPLACED_NODES)))
        now_ms = time.time_ns() // 1_000_000
        testbed.publish_instances(
            *(
                layout.entry(node, started_ms=now_ms, replacement=self.replacements)
                for node in range(REPLACED_NODES)
            )
        )
        testbed.run_for(1.0)

    def _restart_nodes(self) -> None:
        """Restart node processes under the same names."""
        testbed, restarted = self.testbed, range(REPLACED_NODES, 2 * REPLACED_NODES)
        testbed.nodes.tell(Kill(restarted))
        testbed.run_for(0.1)
        testbed.nodes.tell(Rise(restarted))
        now_ms = time.time_ns() // 1_000_000
        testbed.publish_instances(*(testbed.layout.entry(node, started_ms=now_ms) for node in restarted))
        testbed.run_for(1.0)

    def _lose_zone(self) -> None:
        """Stop all nodes in the zone of the real dispatcher with a subset, and restart them."""
        testbed = self.testbed
        lost = [node for node in range(2 * REPLACED_NODES, self.count) if testbed.layout.zone_of(node) == 1]
        testbed.nodes.tell(Kill(lost))
        testbed.publish_instances(*(testbed.layout.entry(node, "terminated") for node in lost))
        testbed.run_for(3.0)
        testbed.nodes.tell(Rise(lost))
        now_ms = time.time_ns() // 1_000_000
        testbed.publish_instances(*(testbed.layout.entry(node, started_ms=now_ms) for node in lost))
        testbed.run_for(2.0)

    def _silence_region(self) -> None:
        """Silence the nodes of a region, and the change log of the real dispatcher there, for 3 s."""
        testbed = self.testbed
        silenced = [node for node in range(self.count) if testbed.layout.region_of(node) == 1]
        testbed.nodes.tell(Silence(silenced, 3_000_000))
        testbed.endpoint_source.silent.add(1)
        testbed.run_for(3.0)
        testbed.endpoint_source.silent.clear()
        testbed.run_for(3.0)

    def _collect_counts(self) -> ScenarioCounts:
        """Collect the counts of the fakes and the state of the hollow dispatchers."""
        testbed, counts = self.testbed, self.counts
        tally = testbed.nodes.tell(Count())
        testbed.oracle.ended_us = tally.over
        real_tasks = {
            task
            for dispatcher in testbed.real
            if dispatcher.network is not None
            for task in dispatcher.network.tasks
        }
        asked = [request for request in testbed.oracle.requests.values() if not request.void]
        counts.asked, counts.served = len(asked), sum(request.answers[:1] == ["placed"] for request in asked)
        counts.lost = len(testbed.oracle.lost(testbed.loop.now, 2_000_000))
        counts.doubled = len(testbed.oracle.duplicated())
        counts.late_offers = tally.late - self._before.late
        counts.ledger_starts = max(
            (count for key, count in tally.starts.items() if key in real_tasks), default=0
        )
        for worker in testbed.hollow:
            state = worker.tell(Count())
            counts.held_nodes += state.held_nodes
            counts.stale_entries += state.stale_entries
        counts.reloads_applied = sum(
            dispatcher.process.log_counts().get("config-reloaded", 0) for dispatcher in testbed.real
        )
        counts.violated_rules = violated_rules(counts, self.count)
        return counts


def violated_rules(counts: ScenarioCounts, count: int) -> list[str]:
    """Returns the rules that are violated, in the words of the report."""
    complete_sizes, subset_sizes = (
        counts.held_nodes[: len(counts.held_nodes) // 2],
        counts.held_nodes[len(counts.held_nodes) // 2 :],
    )
    violations = {
        "a task was lost": counts.lost > 0,
        "a task had two answers": counts.doubled > 0,
        "an offer went to a drained node": counts.late_offers > 0,
        "a ledger batch was started twice": counts.ledger_starts > 1,
        "under half of the set-ups were placed": counts.served < 0.5 * counts.asked,
        "a dispatcher keeps state of nodes that have gone": any(
            entries > 0 for entries in counts.stale_entries
        ),
        "a dispatcher does not hold the whole list": any(held != count for held in complete_sizes),
        "a subset holds more than half of the list": any(
            held > MAX_SUBSET_SHARE * count for held in subset_sizes
        ),
        "a configuration was not read": counts.reloads_applied < counts.reloads,
    }
    return [rule for rule, violated in violations.items() if violated]
