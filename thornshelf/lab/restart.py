"""Hand-overs under load: a successor takes the listening sockets over, again and again."""

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
SLACK_US = 3_000_000


def run(seed: int, handovers: int = 10) -> dict[str, Any]:
    """The whole run; the object that is printed."""
    rng, loop, oracle = random.Random(seed), Loop(), Oracle()
    nodes = [LoadNode(loop, BINARY, oracle, rng) for _ in range(6)]
    with tempfile.TemporaryDirectory() as folder:
        operator = (
            GRPC_CONFIG + ADMISSION_CONFIG.format(**WITH_RESERVE) + '[translate]\notherwise = ["binary"]\n'
        )
        operator = operator.replace("set_ups_per_s = 60", "set_ups_per_s = 600").replace(
            "connections = 24", ""
        )
        operator = operator.replace("unknown_set_ups_per_s = 20", "unknown_set_ups_per_s = 600")
        operator = operator.replace("connections_per_s = 100", "connections_per_s = 1000")
        dispatcher = DispatcherProcess(Path(folder), [node.port for node in nodes], operator, sockets=SOCKETS)
        clients = ClientPopulation(loop, dispatcher.addresses, JSON, oracle, rng)
        seconds = (handovers + 2) * HANDOVER_INTERVAL_S
        for number in range(int(seconds * 60)):
            key, ledger = seed * 1_000_003 + number * 7919 + 1, rng.random() < 0.05
            args = (key, LEDGER if ledger else LOOKUP, "1500", rng.randrange(1, 40))
            loop.after(int(number / 60 * 1e6) + 500_000, lambda args=args: clients.ask(*args))  # type: ignore[misc]
        pids, peak = [dispatcher.process.pid], 0

        def turn(until: float) -> None:
            nonlocal peak
            while time.monotonic() < until:
                loop.after(10_000, lambda: None)
                loop.turn()
                peak = max(peak, sum(_descriptors(pid) for pid in pids[-2:]))

        at = time.monotonic() + HANDOVER_INTERVAL_S
        turn(at)
        failed = 0
        for _ in range(handovers):
            os.kill(pids[-1], signal.SIGUSR2)
            at += HANDOVER_INTERVAL_S
            turn(at)
            found = re.findall(
                r'successor-started \[\S+ pid="(\d+)"\] a successor', dispatcher.log_path.read_text()
            )
            if len(found) < len(pids):
                failed += 1
            elif _descriptors(int(found[-1])):
                pids.append(int(found[-1]))
        turn(time.monotonic() + HANDOVER_INTERVAL_S + 4.0)
        log = dispatcher.log_path.read_text()
        if pids[-1] != dispatcher.process.pid:
            os.kill(pids[-1], signal.SIGTERM)
            until = time.monotonic() + 15
            while _descriptors(pids[-1]) and time.monotonic() < until:
                time.sleep(0.05)
        dispatcher.terminate()
    lost = oracle.lost(loop.now, SLACK_US)
    none = [
        str(oracle.asked[one["uid"]])
        for one in clients.tasks.values()
        if not (one.get("placed") or one["done"])
    ]
    clients.finish()
    handed = [int(one) for one in re.findall(r'tasks="(\d+)"\] taken over', log)]
    loop.close()
    return {
        "seed": seed,
        "handovers": len(pids) - 1,
        "failed_handovers": failed,
        "tasks": len(clients.tasks),
        "asked": len(oracle.asked),
        "outcomes": dict(clients.outcomes),
        "standing_handed_over": sum(handed),
        "refused_connections": clients.refused_connections,
        "lost": len(lost),
        "doubled": len(oracle.doubled()),
        "ledger_batch_max_starts": max(oracle.starts.values(), default=0),
        "peak_descriptors": peak,
        "descriptor_limit": SOCKETS,
        "log": [one[:400] for one in log.splitlines()[-12:]]
        if lost or failed or len(pids) <= handovers
        else [],
        "none": none[:5],
        "details": [str(oracle.asked[uid]) for uid in (*lost, *oracle.doubled())][:10],
    }


def _descriptors(pid: int) -> int:
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


def passed(report: dict[str, Any]) -> bool:
    """Nobody was refused, nothing lost, nothing told twice, and both processes kept within the limit together."""
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
