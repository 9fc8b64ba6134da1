"""Experiment: repeated graceful restarts under load, in which successors take over the listening sockets."""

from __future__ import annotations

import os
import random
import re
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from thornshelf.lab.admission import ADMISSION_CONFIG, GRPC_CONFIG, WITH_RESERVE
from thornshelf.lab.fakes.cluster import BINARY, JSON
from thornshelf.lab.load import LEDGER, LOOKUP, ClientPopulation, LoadNode
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.process import DispatcherProcess
from thornshelf.loop import Loop

SOCKETS = 256
HANDOVER_INTERVAL_S = 1.5
REQUESTS_PER_S = 60
LEDGER_FRACTION = 0.05  # of the requests
SLACK_US = 3_000_000  # after which a missing answer or release counts as lost
END_TIMEOUT_S = 15
LOG_LINES, LOG_LINE_CHARS = 12, 400  # quoted in the report if something failed
_HANDED_OVER = re.compile(r'successor-started \[\S+ pid="(\d+)"\] a successor')
_TAKEN_OVER = re.compile(r'tasks="(\d+)"\] taken over')


class HandoverRun:
    """A dispatcher under load that is restarted gracefully again and again.

    ``pids``: process ids of the dispatcher and its successors, in order; ``failed_handovers``: number of restarts
    without a successor; ``peak_descriptors``: most open descriptors of the last two processes together.
    """

    def __init__(self, seed: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.loop = Loop()
        self.oracle = Oracle()
        nodes = [LoadNode(self.loop, BINARY, self.oracle, self.rng) for _ in range(6)]
        self.dispatcher = DispatcherProcess(
            folder, [node.port for node in nodes], _operator_file(), sockets=SOCKETS
        )
        self.clients = ClientPopulation(self.loop, self.dispatcher.addresses, JSON, self.oracle, self.rng)
        self.pids = [self.dispatcher.process.pid]
        self.peak_descriptors = 0
        self.failed_handovers = 0

    def schedule_requests(self, seed: int, seconds: float) -> None:
        """Schedule requests evenly over the run."""
        for number in range(int(seconds * REQUESTS_PER_S)):
            key = seed * 1_000_003 + number * 7919 + 1
            task_class = LEDGER if self.rng.random() < LEDGER_FRACTION else LOOKUP
            request = (key, task_class, "1500", self.rng.randrange(1, 40))
            at_us = int(number / REQUESTS_PER_S * 1e6) + 500_000
            self.loop.call_later(at_us, lambda request=request: self.clients.ask(*request))  # type: ignore[misc]

    def run_until(self, deadline: float) -> None:
        """Run the loop, and record the peak number of descriptors of the last two processes."""
        while time.monotonic() < deadline:
            self.loop.call_later(10_000, lambda: None)
            self.loop.turn()
            descriptors = sum(_descriptors(pid) for pid in self.pids[-2:])
            self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def hand_over(self, handovers: int) -> None:
        """Restart the dispatcher gracefully, ``handovers`` times."""
        next_handover_s = time.monotonic() + HANDOVER_INTERVAL_S
        self.run_until(next_handover_s)
        for _ in range(handovers):
            os.kill(self.pids[-1], signal.SIGUSR2)
            next_handover_s += HANDOVER_INTERVAL_S
            self.run_until(next_handover_s)
            successors = _HANDED_OVER.findall(self.dispatcher.log_path.read_text())
            if len(successors) < len(self.pids):
                self.failed_handovers += 1
            elif _descriptors(int(successors[-1])):
                self.pids.append(int(successors[-1]))
        self.run_until(time.monotonic() + HANDOVER_INTERVAL_S + 4.0)

    def end(self) -> None:
        """End the last successor, and the original process."""
        if self.pids[-1] != self.dispatcher.process.pid:
            os.kill(self.pids[-1], signal.SIGTERM)
            deadline = time.monotonic() + END_TIMEOUT_S
            while _descriptors(self.pids[-1]) and time.monotonic() < deadline:
                time.sleep(0.05)
        self.dispatcher.terminate()

    def report(self, seed: int, handovers: int, log: str) -> dict[str, Any]:
        """Return the report, from what the fakes counted and the log."""
        lost = self.oracle.lost(self.loop.now, SLACK_US)
        doubled = self.oracle.duplicated()
        without_outcome = [
            str(self.oracle.requests[task["uid"]])
            for task in self.clients.tasks.values()
            if not (task.get("placed") or task["done"])
        ]
        self.clients.finish()
        quotes_log = lost or self.failed_handovers or len(self.pids) <= handovers
        log_tail = [line[:LOG_LINE_CHARS] for line in log.splitlines()[-LOG_LINES:]]
        return {
            "seed": seed,
            "handovers": len(self.pids) - 1,
            "failed_handovers": self.failed_handovers,
            "tasks": len(self.clients.tasks),
            "asked": len(self.oracle.requests),
            "outcomes": dict(self.clients.outcomes),
            "standing_handed_over": sum(map(int, _TAKEN_OVER.findall(log))),
            "refused_connections": self.clients.refused_connections,
            "lost": len(lost),
            "doubled": len(doubled),
            "ledger_batch_max_starts": max(self.oracle.starts_by_key.values(), default=0),
            "peak_descriptors": self.peak_descriptors,
            "descriptor_limit": SOCKETS,
            "log": log_tail if quotes_log else [],
            "none": without_outcome[:5],
            "details": [str(self.oracle.requests[uid]) for uid in (*lost, *doubled)][:10],
        }


def run(seed: int, handovers: int = 10) -> dict[str, Any]:
    """Run the experiment; returns its report."""
    with tempfile.TemporaryDirectory() as folder:
        experiment = HandoverRun(seed, Path(folder))
        experiment.schedule_requests(seed, (handovers + 2) * HANDOVER_INTERVAL_S)
        experiment.hand_over(handovers)
        log = experiment.dispatcher.log_path.read_text()
        experiment.end()
    report = experiment.report(seed, handovers, log)
    experiment.loop.close()
    return report


def _operator_file() -> str:
    """Return an operator's file whose admission limits are above the load of the experiment."""
    operator = GRPC_CONFIG + ADMISSION_CONFIG.format(**WITH_RESERVE)
    operator += '[translate]\notherwise = ["binary"]\n'
    for old, new in (
        ("set_ups_per_s = 60", "set_ups_per_s = 600"),
        ("connections = 24", ""),
        ("unknown_set_ups_per_s = 20", "unknown_set_ups_per_s = 600"),
        ("connections_per_s = 100", "connections_per_s = 1000"),
    ):
        operator = operator.replace(old, new)
    return operator


def _descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process; 0 if it has ended."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


def passed(report: dict[str, Any]) -> bool:
    """Whether no connection was rejected, nothing lost or sent twice, and the descriptors stayed within the limit."""
    return bool(
        report["handovers"] >= 10
        and not report["failed_handovers"]
        and not report["refused_connections"]
        and not report["lost"]
        and not report["doubled"]
        and report["ledger_batch_max_starts"] <= 1
        and report["peak_descriptors"] <= report["descriptor_limit"]
        and "none" not in report["outcomes"]
    )
