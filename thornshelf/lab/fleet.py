"""Experiment: a fleet of dispatchers under faults, once with membership and once without, in parallel."""

from __future__ import annotations

import os
import re
import signal
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from thornshelf.lab.fleet_testbed import FleetTestbed

MAX_SETTLING_MS = 5_000  # until all members agree after a crash, a return, a stall or the end of a partition
LATENCY_OBJECTIVE_US = 800_000
# Of the replayed datagrams; a process that ends does not log the last ones that it rejected.
MIN_REJECTED_FRACTION = 0.75


def run_phases(testbed: FleetTestbed) -> dict[str, Any]:
    """Inject the faults one after another under load; returns the results and the settling time after each fault."""
    phases: dict[str, int] = {}
    members = testbed.members
    testbed.start(*members)
    phases["join"] = testbed.settle()
    testbed.loading = True
    testbed.send_requests()
    testbed.counts_false_detections = True
    testbed.run_for(1.0)
    before, started_at = testbed.relays.bytes, time.monotonic()
    testbed.run_for(3.0)
    bytes_per_s = (testbed.relays.bytes - before) / len(members) / (time.monotonic() - started_at)
    testbed.relays.is_recording = True
    killed = testbed.rng.sample(members[2:-1], 3)
    testbed.kill(*killed)
    phases["crash"] = testbed.settle()
    testbed.start(*killed)
    phases["return"] = testbed.settle()
    phases["replay"] = _replay(testbed)
    stopped = next(one for one in members[2:-1] if one not in killed)
    testbed.kill(stopped, number=signal.SIGSTOP)
    testbed.run_for(4.0)
    os.kill(stopped.process.process.pid, signal.SIGCONT)  # type: ignore[union-attr]
    testbed.run_until(lambda: False, 0.3)  # time to learn that it was declared dead
    testbed.unavailable_members.discard(stopped.name)
    phases["stall"] = testbed.settle()
    phases["one-way"] = _one_way(testbed)
    phases["liar"] = _liar(testbed)
    late_attempts = _unresponsive_endpoint_source(testbed)
    phases["partition"], phases["heal"] = _partition(testbed)
    testbed.loading = False
    testbed.run_for(3.0)
    report = _counts(testbed)
    return report | {"phases": phases, "bytes_per_s": round(bytes_per_s), "late_sends": late_attempts}


def _replay(testbed: FleetTestbed) -> int:
    """Replay the datagrams recorded since the kills, also to processes that were started later."""
    testbed.relays.is_recording = False
    for receiver, data in testbed.relays.recorded:
        testbed.relays.deliver(receiver, data)
    testbed.run_for(1.0)
    return testbed.settle()


def _one_way(testbed: FleetTestbed) -> int:
    """Cut one direction of a random link for a while."""
    pair = testbed.rng.sample(range(len(testbed.members)), 2)
    testbed.relays.cut = lambda sender, receiver: [sender, receiver] == pair
    testbed.run_for(4.0)
    testbed.relays.cut = lambda sender, receiver: False
    return testbed.settle()


def _liar(testbed: FleetTestbed) -> int:
    """Have the last member make false reports for a while, which it does while the file ``lie`` exists."""
    lie_file = testbed.folder / "lie"
    lie_file.touch()
    testbed.run_for(4.0)
    lie_file.unlink()
    return testbed.settle()


def _unresponsive_endpoint_source(testbed: FleetTestbed) -> int:
    """Stop one member's endpoint source while a node drains; returns the number of attempts that came too late."""
    testbed.endpoint_source.silent.add(4)
    testbed.run_for(3.2)
    node = testbed.nodes[3]
    testbed.endpoint_source.publish([testbed.endpoint(3, "terminating")])
    node.draining_since_us = testbed.loop.now
    testbed.run_for(4.0)
    late_attempts = node.late_attempts
    testbed.endpoint_source.silent.clear()
    testbed.run_for(0.5)
    node.draining_since_us, node.slow_start_until_us = 0, testbed.loop.now + 14_000_000
    testbed.endpoint_source.publish([testbed.endpoint(3, "in_service", time.time_ns() // 1_000_000)])
    return late_attempts


def _partition(testbed: FleetTestbed) -> tuple[int, int]:
    """Cut the fleet into halves, then restore all links; returns the settling time of each, in milliseconds."""
    half = set(range(len(testbed.members) // 2))
    testbed.counts_false_detections = False
    testbed.relays.cut = lambda sender, receiver: (sender in half) != (receiver in half)

    def is_partitioned() -> bool:
        sides = [
            {one.name for one in testbed.members if (one.index in half) == is_first_half}
            for is_first_half in (True, False)
        ]
        return not testbed.has_membership or all(
            one.live_names == sides[one.index not in half] for one in testbed.members
        )

    testbed.resubmit()
    elapsed_s = testbed.run_until(is_partitioned, 15.0)
    testbed.run_for(2.0)
    testbed.relays.cut = lambda sender, receiver: False
    heal_ms = testbed.settle()
    testbed.counts_false_detections = True
    return int((15.0 if elapsed_s is None else elapsed_s) * 1000), heal_ms


def _counts(testbed: FleetTestbed) -> dict[str, Any]:
    """Return the counts of the oracle, the nodes and the logs, with the keys of the report."""
    oracle, now = testbed.oracle, testbed.loop.now
    lookups = [one for one in oracle.requests.values() if not one.at_most_once and not one.void]
    in_time = sum(
        one.answers[:1] == ["placed"] and one.answered_us - one.sent_us <= LATENCY_OBJECTIVE_US
        for one in lookups
    )
    rejected_replays = sum(
        sum(map(int, re.findall(r'replayed="(\d+)"', path.read_text(errors="replace"))[-1:]))
        for member in testbed.members
        for path in member.logs
    )
    return {
        "views_equal": testbed.agreed(),
        "wrongly_dead": testbed.false_detections,
        "asked": len(lookups),
        "worth": round(in_time / max(1, len(lookups)), 4),
        "lost": len(oracle.lost(now, 2_000_000)),
        "doubled": len(oracle.duplicated()),
        "rules_broken": sum(node.excess_attempts for node in testbed.nodes),
        "ledger_batch_max_starts": max(oracle.starts_by_key.values(), default=0),
        "replays": len(testbed.relays.recorded),
        "replays_refused": rejected_replays,
    }


def run_testbed(
    seed: int, has_membership: bool, injected_fault: str | None, members: int, nodes: int
) -> dict[str, Any]:
    """Run the experiment on one testbed, in a process of its own; returns its results."""
    with tempfile.TemporaryDirectory() as folder:
        testbed = FleetTestbed(seed, has_membership, injected_fault, members, nodes, Path(folder))
        testbed.has_liar = has_membership
        try:
            report = run_phases(testbed)
        finally:
            exit_code = testbed.shut_down()
        return report | {"exit": exit_code}


def run(seed: int, injected_fault: str | None = None, members: int = 12, nodes: int = 10) -> dict[str, Any]:
    """Run both testbeds in parallel; returns the report of the experiment."""
    began = time.monotonic()
    with ProcessPoolExecutor(2, mp_context=get_context("spawn")) as pool:
        with_membership = pool.submit(run_testbed, seed, True, injected_fault, members, nodes)
        without_membership = pool.submit(run_testbed, seed, False, None, members, nodes)
        measured, baseline = with_membership.result(), without_membership.result()
    result = {
        "seed": seed,
        "processes": members,
        "phases": {phase: {"settled_ms": settled_ms} for phase, settled_ms in measured["phases"].items()},
    }
    for name in ("views_equal", "wrongly_dead", "lost", "doubled", "rules_broken", "ledger_batch_max_starts"):
        result[name] = measured[name]
    result |= {
        "bytes_per_s": measured["bytes_per_s"],
        "replays": measured["replays"],
        "replays_refused": measured["replays_refused"],
        "exit": measured["exit"],
    }
    result |= {"worth_on": measured["worth"], "worth_off": baseline["worth"], "asked": measured["asked"]}
    result |= {"late_sends_on": measured["late_sends"], "late_sends_off": baseline["late_sends"]}
    return result | {"plant": injected_fault, "seconds": round(time.monotonic() - began, 1)}


def passed(report: dict[str, Any]) -> bool:
    """Whether a report of ``run`` meets all requirements."""
    settled = {name: phase["settled_ms"] for name, phase in report["phases"].items()}
    return bool(
        report["views_equal"]
        and not any(report[name] for name in ("wrongly_dead", "lost", "doubled", "rules_broken", "exit"))
        and report["ledger_batch_max_starts"] <= 1
        and all(settled[name] <= MAX_SETTLING_MS for name in ("crash", "heal", "return", "stall"))
        and report["late_sends_on"] == 0
        and report["replays_refused"] >= MIN_REJECTED_FRACTION * report["replays"] > 0
    )
