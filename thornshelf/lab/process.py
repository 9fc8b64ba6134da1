"""A dispatcher in a process of its own, for the experiments."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from thornshelf.errors import StartupError
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG, GRPC2, HOST, JSON

TICK = os.sysconf("SC_CLK_TCK")


def example_config() -> dict[str, Any]:
    """The configuration that experiments start from."""
    return dict(json.loads(EXAMPLE_CONFIG.read_text()))


def write_config(folder: Path, value: dict[str, Any], operator: str) -> None:
    """The two files that a dispatcher is told by."""
    (folder / "config.json").write_text(json.dumps(value))
    (folder / "operator.toml").write_text(operator)


class DispatcherProcess:
    """A dispatcher of its own process, configured for some nodes."""

    def __init__(
        self,
        folder: Path,
        nodes: list[int],
        operator: str,
        injected_fault: str | None = None,
        sockets: int = 1024,
        own_limit: int | None = None,
        changes: Callable[[dict[str, Any]], None] = lambda value: None,
        wait: bool = True,
        tree: Path | None = None,
    ) -> None:
        """``nodes``: their ports; ``operator``: the text of the operator's file; ``own_limit``: the process's real
        limit of descriptors, where it is to be lower than the configured one; ``changes``: to the configuration.
        ``wait``: until it is ready; else ``ready`` says so. ``tree``: sources of another version."""
        value = example_config()
        value["limits"]["sockets"] = sockets
        value["known"]["results"][0]["fleet"]["instances"] = [
            {
                "instanceId": f"s-{index + 1:08x}", "hostPort": f"{HOST}:{port}", "zone": "jackson-dc",
                "machineType": "node-small", "cell": 1, "lifecycle": "in_service", "weight": 1, "startedAtMs": 0,
            }
            for index, port in enumerate(nodes)
        ]  # fmt: skip
        changes(value)
        write_config(folder, value, operator)
        self.log_path = folder / "log"
        module = ["thornshelf.lab.fault_injection", injected_fault] if injected_fault else ["thornshelf"]
        environment = os.environ | {
            "LB_CONFIG": str(folder / "config.json"),
            "LB_LISTEN": value["listen"] if not wait else f"{HOST}:0",
        }
        limited = ["/bin/sh", "-c", f'ulimit -n {own_limit}; exec "$@"', "sh"] if own_limit else []
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [*limited, sys.executable, "-B", "-m", *module, str(folder / "operator.toml")],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=tree,
            )
        self.addresses: dict[str, tuple[str, int]] = self._ready() if wait else {}
        self._cpu_at_start = self.cpu_us

    def ready(self) -> bool:
        """Whether it serves; an error where it never will."""
        if self.process.poll() is not None:
            raise StartupError(self.log_path.read_text(errors="replace")[-2000:])
        found = re.search(r' listen="([^"]*):(\d+)"', self.log_path.read_text(errors="replace"))
        if found and not self.addresses:
            self.addresses = {JSON: (found[1], int(found[2]))}
        return bool(self.addresses)

    def _ready(self) -> dict[str, tuple[str, int]]:
        until = time.monotonic() + 20
        while time.monotonic() < until and self.process.poll() is None:
            text = self.log_path.read_text(errors="replace")
            found = re.search(r'listen="[^"]*:(\d+)" grpc="[^"]*:(\d+)"', text)
            if found:
                return {JSON: (HOST, int(found[1])), GRPC2: (HOST, int(found[2]))}
            time.sleep(0.02)
        self.process.kill()
        raise StartupError(
            f"the dispatcher did not start: {self.log_path.read_text(errors='replace')[-2000:]}"
        )

    @property
    def cpu_us(self) -> float:
        """Processor time so far, in microseconds; 0 where it has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / TICK * 1e6

    @property
    def cpu_spent_us(self) -> float:
        """Since it was ready."""
        return self.cpu_us - self._cpu_at_start

    @property
    def descriptors(self) -> int:
        """How many it holds open."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    @property
    def rss_kb(self) -> int:
        """Memory that it holds."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1])  # type: ignore[index]

    def terminate(self) -> int:
        """SIGTERM, and its exit code."""
        self.process.terminate()
        try:
            return self.process.wait(15)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def log_counts(self) -> dict[str, int]:
        """Log lines by message id."""
        found = re.findall(r"^<\d+>1 \S+ \S+ \S+ \S+ (\S+) ", self.log_path.read_text(errors="replace"), re.M)
        return dict(Counter(found))
