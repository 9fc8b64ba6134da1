"""A dispatcher as a child process, for experiments and tests."""

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

TICKS_PER_S = os.sysconf("SC_CLK_TCK")  # of processor time in /proc
START_TIMEOUT_S = 20
END_TIMEOUT_S = 15
LOG_TAIL_CHARS = 2000  # at the end of the log, which an error quotes


def example_config() -> dict[str, Any]:
    """Return a new copy of the example configuration."""
    return dict(json.loads(EXAMPLE_CONFIG.read_text()))


def write_config(folder: Path, value: dict[str, Any], operator: str) -> None:
    """Write ``config.json`` and ``operator.toml`` for a dispatcher into a folder."""
    (folder / "config.json").write_text(json.dumps(value))
    (folder / "operator.toml").write_text(operator)


class DispatcherProcess:
    """A dispatcher process; ``addresses``: of its frontends, by wire form, once it serves."""

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
        """Start the dispatcher; raises ``StartupError`` where ``wait`` is set and it does not start.

        ``nodes``: ports of the nodes; ``operator``: text of the operator's file; ``injected_fault``: names of faults,
        as ``fault_injection`` takes them; ``sockets``: the configured limit of sockets; ``own_limit``: the process's
        descriptor limit, if it is to differ; ``changes``: modifies the configuration in place; ``wait``: wait until
        the dispatcher serves, otherwise call ``ready``; ``tree``: working directory, for another version's sources.
        """
        config = example_config()
        config["limits"]["sockets"] = sockets
        config["known"]["results"][0]["fleet"]["instances"] = _endpoints(nodes)
        changes(config)
        write_config(folder, config, operator)
        self.log_path = folder / "log"
        module = ["thornshelf.lab.fault_injection", injected_fault] if injected_fault else ["thornshelf"]
        command = [sys.executable, "-B", "-m", *module, str(folder / "operator.toml")]
        if own_limit:
            command = ["/bin/sh", "-c", f'ulimit -n {own_limit}; exec "$@"', "sh", *command]
        environment = os.environ | {
            "LB_CONFIG": str(folder / "config.json"),
            "LB_LISTEN": config["listen"] if not wait else f"{HOST}:0",
        }
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT, env=environment, cwd=tree
            )
        self.addresses: dict[str, tuple[str, int]] = self._wait_until_ready() if wait else {}
        self._cpu_at_start = self.cpu_us

    def ready(self) -> bool:
        """Whether the dispatcher serves; raises ``StartupError`` if its process has ended."""
        if self.process.poll() is not None:
            raise StartupError(self._log()[-LOG_TAIL_CHARS:])
        match = re.search(r' listen="([^"]*):(\d+)"', self._log())
        if match and not self.addresses:
            self.addresses = {JSON: (match[1], int(match[2]))}
        return bool(self.addresses)

    def _wait_until_ready(self) -> dict[str, tuple[str, int]]:
        """Return the addresses of the frontends, from the log; raises ``StartupError`` if it does not start."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and self.process.poll() is None:
            match = re.search(r'listen="[^"]*:(\d+)" grpc="[^"]*:(\d+)"', self._log())
            if match:
                return {JSON: (HOST, int(match[1])), GRPC2: (HOST, int(match[2]))}
            time.sleep(0.02)
        self.process.kill()
        raise StartupError(f"the dispatcher did not start: {self._log()[-LOG_TAIL_CHARS:]}")

    def _log(self) -> str:
        """Return all that the process has logged so far."""
        return self.log_path.read_text(errors="replace")

    @property
    def cpu_us(self) -> float:
        """Processor time so far, in microseconds; 0 if the process has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S * 1e6

    @property
    def cpu_spent_us(self) -> float:
        """Processor time since the constructor returned, in microseconds."""
        return self.cpu_us - self._cpu_at_start

    @property
    def descriptors(self) -> int:
        """The number of open descriptors; 0 if the process has ended."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    @property
    def rss_kb(self) -> int:
        """The resident memory, in kB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", status)[1])  # type: ignore[index]

    def terminate(self) -> int:
        """Shut down gracefully, or kill the process after ``END_TIMEOUT_S``; returns the exit code."""
        self.process.terminate()
        try:
            return self.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def log_counts(self) -> dict[str, int]:
        """Return the number of log lines by message id."""
        message_ids = re.findall(r"^<\d+>1 \S+ \S+ \S+ \S+ (\S+) ", self._log(), re.M)
        return dict(Counter(message_ids))


def _endpoints(ports: list[int]) -> list[dict[str, Any]]:
    """Return the endpoint list's entries for nodes on loopback."""
    return [
        {
            "instanceId": f"s-{index + 1:08x}", "hostPort": f"{HOST}:{port}", "zone": "jackson-dc",
            "machineType": "node-small", "cell": 1, "lifecycle": "in_service", "weight": 1, "startedAtMs": 0,
        }
        for index, port in enumerate(ports)
    ]  # fmt: skip
