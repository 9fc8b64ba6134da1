"""The real and hollow dispatchers of one run over its hollow nodes, with their change logs, relays and clients."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import psutil

from thornshelf.lab.fakes.behavior import JSON
from thornshelf.lab.fakes.network import DatagramRelays, FakeEndpointSource, private, public
from thornshelf.lab.load import LOOKUP, ClientPopulation
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.process import DispatcherProcess, example_config, write_config
from thornshelf.lab.scale.bounds import Bounds
from thornshelf.lab.scale.hollow import Nodes, Worker, dispatchers
from thornshelf.lab.scale.layout import ZONES, Layout, zone
from thornshelf.loop import Loop

KEY = "only for this experiment, 32 byte"
SOCKETS = 19_500  # descriptors of a dispatcher: a link to each node of the target
QUIET_SHARE = 0.15  # of a core: below it a process has done what it had to
SERVICES = 200
_worlds = itertools.count(1)


def cpu_us(pid: int) -> float:
    """Processor time of a process so far, in microseconds; from the scheduler's own count where there is one."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e3
    except (OSError, ValueError, IndexError):
        times = psutil.Process(pid).cpu_times()
        return float(times.user + times.system) * 1e6


class Dispatcher:
    """A real dispatcher, as ``run`` starts it, with its clients."""

    def __init__(self, index: int, process: DispatcherProcess) -> None:
        self.index, self.process = index, process
        self.began = time.monotonic()
        self.ready_s = 0.0
        self.county: ClientPopulation | None = None
        self.handle = psutil.Process(process.process.pid)
        self.most_descriptors = 0

    @property
    def pid(self) -> int:
        """Its process's id."""
        return self.process.process.pid

    @property
    def cpu_us(self) -> float:
        """Processor time so far."""
        return cpu_us(self.pid)

    @property
    def kb(self) -> float:
        """Memory that is its own."""
        return float(self.handle.memory_full_info().uss) / 1024

    @property
    def descriptors(self) -> int:
        """Open ones."""
        return int(self.handle.num_fds())

    @property
    def log_bytes(self) -> int:
        """Written so far."""
        return self.process.log_path.stat().st_size


class ScaleTestbed:
    """One set of dispatchers over the first ``count`` nodes."""

    def __init__(
        self,
        layout: Layout,
        nodes: Nodes,
        count: int,
        members: int,
        folder: Path,
        bounds: Bounds,
        placers: int,
    ) -> None:
        """``placers``: how many dispatchers the settings name; ``members``: how many there may be here."""
        self.layout, self.nodes, self.count, self.folder, self.bounds = layout, nodes, count, folder, bounds
        self.placers, self.keepalive_s = placers, 30.0
        self.loop, self.chance, self.truth = Loop(), random.Random(layout.seed), Oracle()
        self.relays, self.keeper = (
            DatagramRelays(self.loop, members, layout.seed),
            FakeEndpointSource(self.loop, members),
        )
        self.keeper.events += layout.whole(count)["results"]
        self.real: list[Dispatcher] = []
        self.hollow: list[Worker] = []
        self.key = folder / "fleet.key"
        if not self.key.exists():
            self.key.write_text(KEY)
            self.key.chmod(0o600)
        self.asked = next(_worlds) << 32  # the names of this world's tasks come after it

    # dispatchers

    def operator(self, index: int, subset: bool) -> str:
        """The operator's file of a member."""
        seeds = ", ".join(f'"{public(one)}:{self.relays.port}"' for one in (0, 1))
        text = (
            f'[fleet]\nname = "scale"\nlisten = "{private(index)}:{self.relays.port}"\n'
            f'advertise = "{public(index)}:{self.relays.port}"\nseeds = [{seeds}]\nkey_file = "{self.key}"\n'
            "[fleet.uses]\nallowances = false\n"
        )
        return text + (f'[subset]\nzone = "{zone(index % ZONES)}"\ndispatchers = 2\n' if subset else "")

    def configuration(self, index: int, value: dict[str, Any]) -> None:
        """The configuration of a member, changed in place."""
        value["name"], value["listen"] = f"m{index:02d}", f"{private(index)}:0"
        value["changelog"] = f"{private(index)}:{self.keeper.ports[index]}"
        value["known"] = {"seq": 1, "results": self.keeper.events[:1]}
        value["limits"] = {"sockets": SOCKETS}
        settings = value["settings"]
        settings |= {"n-instances": self.placers, "me": index, "az": zone(index % ZONES)}
        settings["limits"]["keepalive-s"] = self.keepalive_s
        settings["limits"]["peer-messages"] = False

    def start_real(self, index: int, subset: bool, plant: str | None = None) -> Dispatcher:
        """A real dispatcher's process begins."""
        folder = self.folder / f"real-{index}-{len(self.real)}"
        folder.mkdir()
        process = DispatcherProcess(
            folder,
            [],
            self.operator(index, subset),
            plant,
            changes=lambda value: self.configuration(index, value),
            wait=False,
        )
        self.real.append(Dispatcher(index, process))
        return self.real[-1]

    def start_hollow(self, indices: list[int], subset: bool, plant: str | None = None) -> None:
        """Hollow dispatchers begin, all in one process."""
        folders = []
        for index in indices:
            folder = self.folder / f"hollow-{len(self.keeper.ports)}-{index}"
            folder.mkdir()
            value = example_config()
            self.configuration(index, value)
            write_config(folder, value, self.operator(index, subset))
            folders.append(folder)
        self.hollow.append(dispatchers(folders, plant))

    def ready(self, limit_s: float = 60.0) -> None:
        """Wait until all real dispatchers serve; note when each did."""

        def all_ready() -> bool:
            for one in self.real:
                if not one.ready_s and one.process.ready():
                    one.ready_s = time.monotonic() - one.began
                    one.county = ClientPopulation(
                        self.loop, one.process.addresses, JSON, self.truth, random.Random(one.index)
                    )
                    one.county.next_uid = one.index + 1 << 40
            return all(one.ready_s for one in self.real)

        self.until(all_ready, limit_s)

    # time

    def until(self, done: Callable[[], bool], limit_s: float) -> bool:
        """Turn until something holds, or for so long."""
        until, look = time.monotonic() + limit_s, 0.0
        while time.monotonic() < until:
            self.loop.after(5_000, lambda: None)
            self.loop.turn()
            if time.monotonic() - look >= 0.05:
                look = time.monotonic()
                self.bounds.look()
                if done():
                    return True
        return False

    def rest(self, seconds: float) -> None:
        """Turn for a while."""
        self.until(lambda: False, seconds)

    def quiet(self, limit_s: float) -> None:
        """Turn until all real dispatchers have done what they had to."""
        before, at = [one.cpu_us for one in self.real], time.monotonic()

        def still() -> bool:
            nonlocal before, at
            for one in self.real:
                one.most_descriptors = max(one.most_descriptors, one.descriptors)
            if time.monotonic() - at < 0.4:
                return False
            now, passed = [one.cpu_us for one in self.real], (time.monotonic() - at) * 1e6
            spent = max((b - a) / passed for a, b in zip(before, now, strict=True))
            before, at = now, time.monotonic()
            return spent < QUIET_SHARE

        self.until(still, limit_s)

    # traffic

    def tell(self, *entries: dict[str, Any]) -> None:
        """An event of the change log, to all."""
        self.keeper.publish(list(entries))

    def ask(self, one: Dispatcher, task_class: str = LOOKUP) -> None:
        """A new task at a real dispatcher."""
        assert one.county is not None
        self.asked += 1
        one.county.ask(self.asked, task_class, "1500", self.chance.randrange(SERVICES))

    def load(self, seconds: float, per_s: float) -> int:
        """Set-ups at each real dispatcher at a steady rate; how many each got."""
        count, pause_us = 0, int(1e6 / per_s)
        end = time.monotonic() + seconds

        def one_each() -> None:
            nonlocal count
            if time.monotonic() < end:
                count += 1
                for one in self.real:
                    self.ask(one)
                self.loop.after(pause_us, one_each)

        one_each()
        self.rest(seconds)
        return count

    def close(self) -> None:
        """End all dispatchers and give back all sockets."""
        for one in self.real:
            if one.process.process.poll() is None:
                one.process.process.terminate()
        for worker in self.hollow:
            worker.end()
        for one in self.real:
            one.process.terminate()
        self.relays.close()
        self.keeper.close()
        self.loop.close()
