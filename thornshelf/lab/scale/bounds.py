"""Limits the memory, processes and time of a scale run, and terminates the processes that it started."""

from __future__ import annotations

import time
from contextlib import suppress

import psutil

from thornshelf.errors import ResourceLimitError

MAX_MEMORY_SHARE = 0.5
MAX_PROCESSES = 200
CHECK_INTERVAL_S = 0.5
RESOURCE_TRACKER = "multiprocessing.resource_tracker"


class Bounds:
    """The resource limits of one run and the peaks observed so far.

    ``max_seconds`` limits its duration, counted from the creation of this object.
    """

    def __init__(self, max_seconds: float) -> None:
        self.started_s, self.max_seconds = time.monotonic(), max_seconds
        self.max_memory_bytes = psutil.virtual_memory().total * MAX_MEMORY_SHARE
        self.peak_memory_bytes = 0
        self.peak_processes = 0
        self._process = psutil.Process()
        self._last_check_s = 0.0

    def check(self) -> None:
        """Raises ``ResourceLimitError`` if a limit is exceeded; measures at most twice a second."""
        now = time.monotonic()
        if now - self._last_check_s < CHECK_INTERVAL_S:
            return
        self._last_check_s = now
        if now - self.started_s > self.max_seconds:
            raise ResourceLimitError(f"the run takes longer than {self.max_seconds:.0f} s")
        rss_bytes, count = 0, 0
        for process in (self._process, *self._process.children(recursive=True)):
            try:
                rss_bytes += process.memory_info().rss
                count += 1
            except psutil.Error:
                continue  # the process has ended
        self.peak_memory_bytes, self.peak_processes = (
            max(self.peak_memory_bytes, rss_bytes),
            max(self.peak_processes, count),
        )
        if rss_bytes > self.max_memory_bytes:
            raise ResourceLimitError(
                f"the run uses {rss_bytes >> 20} MB of memory, more than {int(self.max_memory_bytes) >> 20} MB"
            )
        if count > MAX_PROCESSES:
            raise ResourceLimitError(f"the run has {count} processes, more than {MAX_PROCESSES}")

    def terminate_children(self) -> None:
        """Terminate all remaining child processes, and kill those that do not end within 3 s."""
        children = [
            child for child in self._process.children(recursive=True) if not is_resource_tracker(child)
        ]
        for process in children:
            with suppress(psutil.Error):
                process.terminate()
        _, alive = psutil.wait_procs(children, timeout=3)
        for process in alive:
            with suppress(psutil.Error):
                process.kill()
        psutil.wait_procs(alive, timeout=3)


def is_resource_tracker(process: psutil.Process) -> bool:
    """Whether this is the resource tracker of ``multiprocessing``, which ends with its parent."""
    try:
        return any(RESOURCE_TRACKER in part for part in process.cmdline())
    except psutil.Error:
        return False
