"""Sets up real and hollow dispatchers over hollow nodes, with change logs, datagram relays and clients."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import psutil

from thornshelf.lab.fakes.behavior import JSON
from thornshelf.lab.fakes.network import DatagramRelays, FakeEndpointSource, member_host, relay_host
from thornshelf.lab.load import LOOKUP, ClientPopulation
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.process import DispatcherProcess, example_config, write_config
from thornshelf.lab.scale.bounds import Bounds
from thornshelf.lab.scale.hollow import Nodes, Worker, start_dispatchers
from thornshelf.lab.scale.layout import ZONES, Layout, zone_name
from thornshelf.loop import Loop

FLEET_KEY = "only for this experiment, 32 byte"
MAX_SOCKETS = 19_500  # limit of a dispatcher: enough for a connection to each node of the target
IDLE_SHARE = 0.15  # of a core: a process that uses less is idle
SERVICES = 200
_testbed_numbers = itertools.count(1)


def cpu_us(pid: int) -> float:
    """Returns the processor time of a process in microseconds, from the scheduler's statistics if available."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e3
    except (OSError, ValueError, IndexError):
        times = psutil.Process(pid).cpu_times()
        return float(times.user + times.system) * 1e6


class Dispatcher:
    """A real dispatcher process and its clients, which exist once it is ready."""

    def __init__(self, index: int, process: DispatcherProcess) -> None:
        self.index, self.process = index, process
        self.started_s = time.monotonic()
        self.ready_s = 0.0
        self.network: ClientPopulation | None = None
        self.process_info = psutil.Process(process.process.pid)
        self.peak_descriptors = 0

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.process.pid

    @property
    def cpu_us(self) -> float:
        """Processor time used so far, in microseconds."""
        return cpu_us(self.pid)

    @property
    def memory_kb(self) -> float:
        """Unique set size in KB."""
        return float(self.process_info.memory_full_info().uss) / 1024

    @property
    def descriptors(self) -> int:
        """Number of open file descriptors."""
        return int(self.process_info.num_fds())

    @property
    def log_bytes(self) -> int:
        """Size of the log in bytes."""
        return self.process.log_path.stat().st_size


class ScaleTestbed:
    """Dispatchers over the first ``count`` hollow nodes, driven by one event loop."""

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
        """``placers`` is the number of dispatchers in the settings, ``members`` the number that can be started."""
        self.layout, self.nodes, self.count, self.folder, self.bounds = layout, nodes, count, folder, bounds
        self.placers, self.keepalive_s = placers, 30.0
        self.loop, self.rng, self.oracle = Loop(), random.Random(layout.seed), Oracle()
        self.relays, self.endpoint_source = (
            DatagramRelays(self.loop, members, layout.seed),
            FakeEndpointSource(self.loop, members),
        )
        self.endpoint_source.events += layout.full_list(count)["results"]
        self.real: list[Dispatcher] = []
        self.hollow: list[Worker] = []
        self.key_path = folder / "fleet.key"
        if not self.key_path.exists():
            self.key_path.write_text(FLEET_KEY)
            self.key_path.chmod(0o600)
        self.last_uid = next(_testbed_numbers) << 32  # the last task id; each testbed has a range of its own

    # dispatchers

    def operator_file(self, index: int, subset: bool) -> str:
        """Returns the operator's file of a member as TOML."""
        seeds = ", ".join(f'"{relay_host(seed)}:{self.relays.port}"' for seed in (0, 1))
        text = (
            f'[fleet]\nname = "scale"\nlisten = "{member_host(index)}:{self.relays.port}"\n'
            f'advertise = "{relay_host(index)}:{self.relays.port}"\nseeds = [{seeds}]\nkey_file = "{self.key_path}"\n'
            "[fleet.uses]\nallowances = false\n"
        )
        return text + (f'[subset]\nzone = "{zone_name(index % ZONES)}"\ndispatchers = 2\n' if subset else "")

    def configure(self, index: int, config: dict[str, Any]) -> None:
        """Change an example configuration, in place, into that of a member."""
        config["name"], config["listen"] = f"m{index:02d}", f"{member_host(index)}:0"
        config["changelog"] = f"{member_host(index)}:{self.endpoint_source.ports[index]}"
        config["known"] = {"seq": 1, "results": self.endpoint_source.events[:1]}
        config["limits"] = {"sockets": MAX_SOCKETS}
        settings = config["settings"]
        settings |= {"n-instances": self.placers, "me": index, "az": zone_name(index % ZONES)}
        settings["limits"]["keepalive-s"] = self.keepalive_s
        settings["limits"]["peer-messages"] = False

    def start_real(self, index: int, subset: bool, injected_fault: str | None = None) -> Dispatcher:
        """Start a real dispatcher, without waiting until it is ready."""
        folder = self.folder / f"real-{index}-{len(self.real)}"
        folder.mkdir()
        process = DispatcherProcess(
            folder,
            [],
            self.operator_file(index, subset),
            injected_fault,
            changes=lambda config: self.configure(index, config),
            wait=False,
        )
        self.real.append(Dispatcher(index, process))
        return self.real[-1]

    def start_hollow(self, indices: list[int], subset: bool, injected_fault: str | None = None) -> None:
        """Start hollow dispatchers in one process, and wait until it is ready."""
        folders = []
        for index in indices:
            folder = self.folder / f"hollow-{len(self.endpoint_source.ports)}-{index}"
            folder.mkdir()
            config = example_config()
            self.configure(index, config)
            write_config(folder, config, self.operator_file(index, subset))
            folders.append(folder)
        self.hollow.append(start_dispatchers(folders, injected_fault))

    def wait_until_ready(self, limit_s: float = 60.0) -> None:
        """Wait until all real dispatchers serve; record how long each took, and create its clients."""

        def all_ready() -> bool:
            for dispatcher in self.real:
                if not dispatcher.ready_s and dispatcher.process.ready():
                    dispatcher.ready_s = time.monotonic() - dispatcher.started_s
                    dispatcher.network = ClientPopulation(
                        self.loop,
                        dispatcher.process.addresses,
                        JSON,
                        self.oracle,
                        random.Random(dispatcher.index),
                    )
                    dispatcher.network.next_uid = dispatcher.index + 1 << 40
            return all(dispatcher.ready_s for dispatcher in self.real)

        self.run_until(all_ready, limit_s)

    # the event loop

    def run_until(self, done: Callable[[], bool], limit_s: float) -> bool:
        """Run the event loop until ``done()`` or the time limit; returns whether it was done."""
        deadline_s, last_check_s = time.monotonic() + limit_s, 0.0
        while time.monotonic() < deadline_s:
            self.loop.call_later(5_000, lambda: None)
            self.loop.turn()
            if time.monotonic() - last_check_s >= 0.05:
                last_check_s = time.monotonic()
                self.bounds.check()
                if done():
                    return True
        return False

    def run_for(self, seconds: float) -> None:
        """Run the event loop for a time."""
        self.run_until(lambda: False, seconds)

    def wait_until_idle(self, limit_s: float) -> None:
        """Run the event loop until all real dispatchers are idle, or the time limit."""
        before, sampled_s = [dispatcher.cpu_us for dispatcher in self.real], time.monotonic()

        def all_idle() -> bool:
            nonlocal before, sampled_s
            for dispatcher in self.real:
                dispatcher.peak_descriptors = max(dispatcher.peak_descriptors, dispatcher.descriptors)
            if time.monotonic() - sampled_s < 0.4:
                return False
            now, elapsed_us = (
                [dispatcher.cpu_us for dispatcher in self.real],
                (time.monotonic() - sampled_s) * 1e6,
            )
            max_load = max((b - a) / elapsed_us for a, b in zip(before, now, strict=True))
            before, sampled_s = now, time.monotonic()
            return max_load < IDLE_SHARE

        self.run_until(all_idle, limit_s)

    # traffic

    def publish_instances(self, *instances: dict[str, Any]) -> None:
        """Publish an event of the change log to all dispatchers."""
        self.endpoint_source.publish(list(instances))

    def submit_task(self, dispatcher: Dispatcher, task_class: str = LOOKUP) -> None:
        """Request a new task from a real dispatcher."""
        assert dispatcher.network is not None
        self.last_uid += 1
        dispatcher.network.ask(self.last_uid, task_class, "1500", self.rng.randrange(SERVICES))

    def send_requests(self, seconds: float, requests_per_s: float) -> int:
        """Send requests to each real dispatcher at a steady rate; returns how many each received."""
        count, pause_us = 0, int(1e6 / requests_per_s)
        end = time.monotonic() + seconds

        def submit_to_each() -> None:
            nonlocal count
            if time.monotonic() < end:
                count += 1
                for dispatcher in self.real:
                    self.submit_task(dispatcher)
                self.loop.call_later(pause_us, submit_to_each)

        submit_to_each()
        self.run_for(seconds)
        return count

    def close(self) -> None:
        """Stop all dispatchers and close all sockets."""
        for dispatcher in self.real:
            if dispatcher.process.process.poll() is None:
                dispatcher.process.process.terminate()
        for worker in self.hollow:
            worker.end()
        for dispatcher in self.real:
            dispatcher.process.terminate()
        self.relays.close()
        self.endpoint_source.close()
        self.loop.close()
