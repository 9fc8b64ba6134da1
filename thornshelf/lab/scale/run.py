"""The scale run: measures quantities by size, injects failures under load, and extrapolates to the target."""

from __future__ import annotations

import compileall
import itertools
import platform
import subprocess
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import psutil

import thornshelf
import thornshelf.placement
from thornshelf.capacity.curves import Point, fit
from thornshelf.capacity.report import Machine, Report, build_report
from thornshelf.lab.fault_injection import INJECTED_FAULTS
from thornshelf.lab.scale import quantities
from thornshelf.lab.scale.bounds import Bounds
from thornshelf.lab.scale.faults import FaultScenario, ScenarioCounts
from thornshelf.lab.scale.hollow import Count, Nodes
from thornshelf.lab.scale.layout import Layout
from thornshelf.lab.scale.sizes import PhaseTimes, SizeMeasurement, measure_size
from thornshelf.lab.scale.testbed import ScaleTestbed

MAX_MEMBERSHIP_GROWTH = 1.5  # limit for the traffic of a member, from the smallest fleet to the largest
WORKERS = 4
PLACERS = 56  # number of dispatchers in the settings while sizes are measured


@dataclass(frozen=True, slots=True)
class Plan:
    """The sizes and limits of a run; the largest size of each list is held out of the fit."""

    list_sizes: tuple[int, ...]  # in the endpoint lists of real dispatchers
    component_sizes: tuple[int, ...]  # in the endpoint lists that components are measured with
    fleet_sizes: tuple[int, ...]  # in the fleet, for membership
    running_tasks: tuple[int, ...]  # on one dispatcher
    connected_dispatchers: tuple[int, ...]  # hollow, over the same nodes
    times: PhaseTimes
    nodes_per_process: int
    hollow_dispatchers: int  # in the failure scenario
    requests_per_s: float  # at each real dispatcher in the failure scenario
    scenario_nodes: int  # in the failure scenario's endpoint list
    component_workers: int  # parallel processes that measure components
    testbed_workers: int  # parallel processes with a testbed
    max_seconds: float  # time limit of the run
    full: bool = False


FULL = Plan(
    list_sizes=(14, 200, 1_000, 4_000, 9_000, 13_500, 18_000),
    component_sizes=(14, 200, 1_000, 4_000, 9_000, 13_500, 18_000),
    fleet_sizes=(8, 16, 32, 64, 128),
    running_tasks=(1_000, 4_000, 16_000, 60_000, 180_000),
    connected_dispatchers=(2, 4, 8, 16, 32),
    times=PhaseTimes(8.0, 6.0, 20.0, 6.0),
    nodes_per_process=2_250,
    hollow_dispatchers=24,
    requests_per_s=20.0,
    scenario_nodes=196,
    component_workers=4,
    testbed_workers=1,
    max_seconds=600.0,
    full=True,
)
SHORT = Plan(
    list_sizes=(14, 56, 112, 224, 448),
    component_sizes=(14, 100, 250, 500, 1_000),
    fleet_sizes=(4, 6, 8, 12, 16),
    running_tasks=(500, 1_000, 2_000, 4_000, 8_000),
    connected_dispatchers=(2, 3, 4, 6, 8),
    times=PhaseTimes(2.0, 1.5, 30.0, 1.25),
    nodes_per_process=448,
    hollow_dispatchers=6,
    requests_per_s=10.0,
    scenario_nodes=196,
    component_workers=4,
    testbed_workers=5,
    max_seconds=120.0,
)

# Name, description, unit, variable and floor: the resolution of the measurement or, if the row has a budget, a few
# percent of it. These texts are part of docs/capacity.json.
QUANTITIES: tuple[tuple[str, str, str, str, float], ...] = (
    ("list_bytes", "the whole list", "bytes a node", "nodes", 1.0),
    ("list_change_us", "one change of the list", "us a change", "nodes", 5_000.0),
    ("placement_bytes", "the decision module's tables", "bytes a node", "nodes", 1_000.0),
    ("decision_us", "one decision", "us a start", "nodes", 50.0),
    ("question_us", "a question for all nodes", "us a node", "nodes", 100.0),
    ("reload_us", "a configuration read again", "us a change", "nodes", 2_000.0),
    ("standing_bytes", "tasks that stand", "bytes a task", "standing", 200_000.0),
    ("handover_bytes", "a hand-over of what stands", "bytes a task", "standing", 1.0),
    ("view_bytes", "what a member of the view sends", "bytes/s a member", "dispatchers", 50.0),
    ("view_datagrams", "datagrams that a member sends", "datagrams/s a member", "dispatchers", 0.5),
    ("view_us", "work of the view", "us/s a member", "dispatchers", 500.0),
    ("view_kb", "memory of the view", "KB a member", "dispatchers", 20.0),
    ("held_kb", "memory of a process with the list", "KB a node", "nodes", 500.0),
    ("rest_us", "work at rest", "us/s a node", "nodes", 1_000.0),
    ("rest_bytes", "traffic at rest", "bytes/s a node", "nodes", 300.0),
    ("list_change_bytes", "what one change sends", "bytes a change", "nodes", 200.0),
    ("descriptors", "descriptors after the start", "descriptors a node", "nodes", 4.0),
    ("start_ms", "until it serves", "ms a node", "nodes", 100.0),
    ("start_cpu_ms", "work of a start", "ms a node", "nodes", 50.0),
    ("start_us", "work of serving one task", "us a start", "nodes", 400.0),
    ("log_bytes_a_start", "log", "bytes a start", "nodes", 20.0),
    ("node_bytes_a_start", "bytes on the links to nodes", "bytes a start", "nodes", 50.0),
    ("node_messages_a_start", "messages on the links to nodes", "messages a start", "nodes", 0.5),
    ("client_bytes_a_start", "bytes on clients' connections", "bytes a start", "nodes", 50.0),
    ("client_messages_a_start", "messages on clients' connections", "messages a start", "nodes", 0.5),
    ("node_connections", "connections of a node", "connections a dispatcher", "dispatchers", 0.5),
    ("zone_lost_ms", "work as a zone is lost", "ms a node", "nodes", 50.0),
    ("zone_back_ms", "work as a zone returns", "ms a node", "nodes", 50.0),
)
SUBSET_SUFFIX = "_subset"  # of the names of slopes for a dispatcher with a subset

PointsByQuantity = dict[str, list[Point]]
ProgressCallback = Callable[[str], None]


def run_with_fault(injected_fault: str | None, job: Callable[[], Any]) -> Any:
    """Inject a fault, if there is one, into this process and run a measurement in it."""
    if injected_fault is not None:
        INJECTED_FAULTS[injected_fault]()
    return job()


class JobRunner:
    """Runs each measurement in a new process, at most ``workers`` in parallel."""

    def __init__(
        self, workers: int, injected_fault: str | None, bounds: Bounds, report_progress: ProgressCallback
    ) -> None:
        self._injected_fault, self._bounds, self._report_progress = injected_fault, bounds, report_progress
        self._pool = ProcessPoolExecutor(workers, mp_context=get_context("spawn"), max_tasks_per_child=1)

    def run(self, name: str, jobs: Sequence[Callable[[], Any]]) -> list[Any]:
        """Returns the results in the order of the jobs; raises ``ResourceLimitError`` if a limit is exceeded."""
        running = [self._pool.submit(run_with_fault, self._injected_fault, job) for job in jobs]
        for done, future in enumerate(running):
            while not future.done():
                self._report_progress(f"{name}: {done} of {len(running)}")
                self._bounds.check()
                time.sleep(0.1)
        return [future.result() for future in running]

    def __enter__(self) -> JobRunner:
        return self

    def __exit__(self, kind: object, *_: object) -> None:
        self._pool.shutdown(wait=kind is None, cancel_futures=True)


def component_jobs(plan: Plan, seed: int) -> tuple[list[float], list[Callable[[], dict[str, float]]]]:
    """Returns the values of the variables and the measurements of components, largest first."""
    jobs: list[tuple[float, Callable[[], dict[str, float]]]] = []
    for tasks in plan.running_tasks:
        jobs.append((tasks, partial(quantities.measure_running_tasks, tasks, seed)))
    for members in plan.fleet_sizes:
        jobs.append((members, partial(quantities.measure_membership, members, seed)))
    for nodes in plan.component_sizes:
        jobs.append((nodes, partial(quantities.measure_endpoint_list, nodes, seed)))
        jobs.append((nodes, partial(quantities.measure_placement, nodes, seed)))
        jobs.append((nodes, partial(quantities.measure_query, nodes, seed)))
    jobs.sort(key=lambda job: -job[0])
    return [x for x, _ in jobs], [job for _, job in jobs]


def run_size_measurement(
    count: int, seed: int, port: int, nodes_per_process: int, max_seconds: float, times: PhaseTimes
) -> SizeMeasurement:
    """Measure real dispatchers with a list of ``count`` nodes."""
    layout, bounds = Layout(seed, port), Bounds(max_seconds)
    with tempfile.TemporaryDirectory() as folder:
        nodes = Nodes(layout, count, nodes_per_process)
        try:
            return measure_size(count, layout, nodes, Path(folder), bounds, times, PLACERS)
        finally:
            nodes.end()


def measure_node_connections(members: int, seed: int, port: int, max_seconds: float) -> float:
    """Returns the number of connections that each node has with ``members`` hollow dispatchers."""
    layout, count = Layout(seed, port), 28
    with tempfile.TemporaryDirectory() as folder:
        nodes = Nodes(layout, count, count)
        testbed = ScaleTestbed(layout, nodes, count, members, Path(folder), Bounds(max_seconds), members)
        try:
            testbed.start_hollow(list(range(members)), False)
            testbed.run_for(1.5)
            return nodes.tell(Count()).accepted / count
        finally:
            testbed.close()
            nodes.end()


def run_faults(
    count: int,
    seed: int,
    port: int,
    max_seconds: float,
    hollow: int,
    requests_per_s: float,
    injected_fault: str | None,
) -> ScenarioCounts:
    """Run the failure scenario with ``count`` nodes and ``hollow`` hollow dispatchers."""
    layout, bounds = Layout(seed, port), Bounds(max_seconds)
    with tempfile.TemporaryDirectory() as folder:
        nodes = Nodes(layout, count, count)
        try:
            return FaultScenario(
                layout, nodes, count, hollow, Path(folder), bounds, requests_per_s, injected_fault
            ).run()
        finally:
            nodes.end()


def testbed_jobs(plan: Plan, seed: int, injected_fault: str | None) -> list[Callable[[], Any]]:
    """Returns the measurements with testbeds: failures, sizes, numbers of dispatchers; each has its own port."""
    ports = itertools.count(7_400 + 20 * (seed % 100))
    jobs: list[Callable[[], Any]] = [
        partial(
            run_faults,
            plan.scenario_nodes,
            seed,
            next(ports),
            plan.max_seconds,
            plan.hollow_dispatchers,
            plan.requests_per_s,
            injected_fault,
        )
    ]
    for count in plan.list_sizes:
        jobs.append(
            partial(
                run_size_measurement,
                count,
                seed,
                next(ports),
                plan.nodes_per_process,
                plan.max_seconds,
                plan.times,
            )
        )
    for members in plan.connected_dispatchers:
        jobs.append(partial(measure_node_connections, members, seed, next(ports), plan.max_seconds))
    return jobs


def fit_slopes(measured: PointsByQuantity) -> dict[str, Any]:
    """Fit a curve to each measured quantity, with and without a subset."""
    slopes = {}
    for name, quantity, unit, variable, floor in QUANTITIES:
        for suffix in ("", SUBSET_SUFFIX):
            if points := measured.get(name + suffix):
                text = quantity + (", of a subset" if suffix else "")
                slopes[name + suffix] = fit(name + suffix, text, unit, variable, points, floor)
    return slopes


def growth_ratio(points: Sequence[Point]) -> float:
    """Returns the ratio of a quantity at the largest value of its variable to that at the smallest."""
    ordered = sorted(points, key=lambda point: point.x)
    return ordered[-1].y / max(ordered[0].y, 1e-9)


def run(
    seed: int,
    plan: Plan,
    injected_fault: str | None = None,
    report_progress: ProgressCallback = lambda text: None,
) -> Report:
    """Execute a plan. All processes that it started have ended when it returns or raises."""
    bounds = Bounds(plan.max_seconds)
    for package in (thornshelf.placement, thornshelf):  # so that no measurement compiles modules
        compileall.compile_dir(Path(str(package.__file__)).parent, quiet=1)
    try:
        with JobRunner(plan.component_workers, injected_fault, bounds, report_progress) as jobs:
            values, component_measurements = component_jobs(plan, seed)
            measured = points_by_quantity(
                zip(values, jobs.run("components", component_measurements), strict=True)
            )
        with JobRunner(plan.testbed_workers, injected_fault, bounds, report_progress) as jobs:
            counts, *rest = jobs.run("testbeds", testbed_jobs(plan, seed, injected_fault))
        sizes, connections = rest[: len(plan.list_sizes)], rest[len(plan.list_sizes) :]
        measured |= points_by_size(plan.list_sizes, sizes)
        measured["node_connections"] = [
            Point(x, y) for x, y in zip(plan.connected_dispatchers, connections, strict=True)
        ]
        return make_report(plan, seed, bounds, measured, counts, sizes)
    finally:
        bounds.terminate_children()


def points_by_quantity(results: Iterable[tuple[float, dict[str, float]]]) -> PointsByQuantity:
    """Group measurements by quantity; ``results`` has the variable's value and the quantities of each."""
    measured: PointsByQuantity = defaultdict(list)
    for x, values in results:
        for name, y in values.items():
            measured[name].append(Point(x, y))
    return measured


def points_by_size(node_counts: Sequence[int], sizes: Sequence[SizeMeasurement]) -> PointsByQuantity:
    """Group the measurements of real dispatchers by quantity, with and without a subset."""
    subset = [{name + SUBSET_SUFFIX: y for name, y in size.subset.items()} for size in sizes]
    complete = [size.complete for size in sizes]
    return points_by_quantity(
        [*zip(node_counts, complete, strict=True), *zip(node_counts, subset, strict=True)]
    )


def make_report(
    plan: Plan,
    seed: int,
    bounds: Bounds,
    measured: PointsByQuantity,
    counts: ScenarioCounts,
    sizes: Sequence[SizeMeasurement],
) -> Report:
    """Build the report, with the rules that were violated."""
    violated = list(counts.violated_rules)
    if growth_ratio(measured["view_bytes"]) > MAX_MEMBERSHIP_GROWTH:
        violated.append("what a member of the view sends grows with the fleet")
    if sum(size.late_offers for size in sizes):
        violated.append("an offer went to a drained node at some size")
    return build_report(
        slopes=fit_slopes(measured),
        machine=describe_machine(),
        seed=seed,
        commit=source_version(),
        short=not plan.full,
        sizes=list(plan.list_sizes),
        hollow_nodes=max(plan.list_sizes),
        hollow_dispatchers=len(counts.held_nodes),
        real=2,
        processes=bounds.peak_processes,
        peak_memory_mb=round(bounds.peak_memory_bytes / (1 << 20)),
        asked=counts.asked,
        served=counts.served,
        lost=counts.lost + sum(size.lost for size in sizes),
        doubled=counts.doubled + sum(size.doubled for size in sizes),
        rules_broken=violated,
        seconds=round(time.monotonic() - bounds.started_s, 1),
    )


def describe_machine() -> Machine:
    """Describe the machine that the measurements are made on."""
    model = "unknown"
    try:
        lines = Path("/proc/cpuinfo").read_text().splitlines()
        model = next(line.partition(":")[2].strip() for line in lines if line.startswith("model name"))
    except (OSError, StopIteration):
        pass
    memory = round(psutil.virtual_memory().total / (1 << 30))
    return Machine(model, psutil.cpu_count() or 1, memory, platform.python_version(), platform.system())


def source_version() -> str:
    """Returns the git version of the sources, or "unknown"."""
    root = Path(__file__).parent
    try:
        result = subprocess.run(
            ["git", "describe", "--always", "--dirty"], cwd=root, capture_output=True, text=True
        )
    except OSError:
        return "unknown"
    return result.stdout.strip() or "unknown"
