"""What a scale run may take of its machine, looked at while it runs, and the end of all processes that it started."""

from __future__ import annotations

import time
from contextlib import suppress

import psutil

from thornshelf.errors import ResourceLimitError

MEMORY_SHARE = 0.5
MOST_PROCESSES = 200
LOOK_S = 0.5
TRACKER = "multiprocessing.resource_tracker"


class Bounds:
    """Memory, processes and time of one run."""

    def __init__(self, seconds: float) -> None:
        self.began, self.seconds = time.monotonic(), seconds
        self.most_memory = psutil.virtual_memory().total * MEMORY_SHARE
        self.peak_memory = 0
        self.peak_processes = 0
        self._own = psutil.Process()
        self._looked = 0.0

    def look(self) -> None:
        """Raises ``RunBoundError`` where a bound is passed; cheap, as it looks twice a second at most."""
        now = time.monotonic()
        if now - self._looked < LOOK_S:
            return
        self._looked = now
        if now - self.began > self.seconds:
            raise ResourceLimitError(f"it takes longer than {self.seconds:.0f} s")
        memory, count = 0, 0
        for process in (self._own, *self._own.children(recursive=True)):
            try:
                memory += process.memory_info().rss
                count += 1
            except psutil.Error:
                continue  # it has ended
        self.peak_memory, self.peak_processes = max(self.peak_memory, memory), max(self.peak_processes, count)
        if memory > self.most_memory:
            raise ResourceLimitError(
                f"its processes hold {memory >> 20} MB, where {int(self.most_memory) >> 20} are allowed"
            )
        if count > MOST_PROCESSES:
            raise ResourceLimitError(f"{count} processes, where {MOST_PROCESSES} are allowed")

    def end_children(self) -> None:
        """End what is left of this run's processes, by their ids."""
        children = [one for one in self._own.children(recursive=True) if not is_tracker(one)]
        for process in children:
            with suppress(psutil.Error):
                process.terminate()
        _, alive = psutil.wait_procs(children, timeout=3)
        for process in alive:
            with suppress(psutil.Error):
                process.kill()
        psutil.wait_procs(alive, timeout=3)


def is_tracker(process: psutil.Process) -> bool:
    """The interpreter's own helper of multiprocessing, which ends with its parent."""
    try:
        return any(TRACKER in part for part in process.cmdline())
    except psutil.Error:
        return False
