"""The scale run: quantities by size, troubles under load, slopes, and what they come to at the target."""

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
from thornshelf.lab.scale.sizes import Found, Spans, at_size
from thornshelf.lab.scale.testbed import ScaleTestbed

MOST_GROWTH = 1.5  # of what a member of the view sends, from the smallest fleet to the largest
WORKERS = 4
PLACERS = 56  # dispatchers that the settings name while sizes are measured


@dataclass(frozen=True, slots=True)
class Plan:
    """The sizes of a run; the largest of each is held out of the fit."""

    nodes: tuple[int, ...]  # of real dispatchers' lists
    parts: tuple[int, ...]  # of lists that single parts are measured with
    members: tuple[int, ...]  # of the view
    standing: tuple[int, ...]  # tasks
    linked: tuple[int, ...]  # hollow dispatchers over the same nodes
    spans: Spans
    a_process: int  # hollow nodes
    hollow: int  # dispatchers among which the troubles are played
    per_s: float  # set-ups at each real dispatcher during the troubles
    troubled: int  # nodes during the troubles
    part_workers: int  # processes that measure single parts at once
    world_workers: int  # and that measure on sockets
    seconds: float
    full: bool = False


FULL = Plan(
    nodes=(14, 200, 1_000, 4_000, 9_000, 13_500, 18_000),
    parts=(14, 200, 1_000, 4_000, 9_000, 13_500, 18_000),
    members=(8, 16, 32, 64, 128),
    standing=(1_000, 4_000, 16_000, 60_000, 180_000),
    linked=(2, 4, 8, 16, 32),
    spans=Spans(8.0, 6.0, 20.0, 6.0),
    a_process=2_250,
    hollow=24,
    per_s=20.0,
    troubled=196,
    part_workers=4,
    world_workers=1,
    seconds=600.0,
    full=True,
)
SHORT = Plan(
    nodes=(14, 56, 112, 224, 448),
    parts=(14, 100, 250, 500, 1_000),
    members=(4, 6, 8, 12, 16),
    standing=(500, 1_000, 2_000, 4_000, 8_000),
    linked=(2, 3, 4, 6, 8),
    spans=Spans(2.0, 1.5, 30.0, 1.25),
    a_process=448,
    hollow=6,
    per_s=10.0,
    troubled=196,
    part_workers=4,
    world_workers=5,
    seconds=120.0,
)

# Name, quantity, unit, variable, and the smallest difference that counts: what the measurement can tell, or, of a row
# with a budget, some hundredths of that.
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
SUBSET_SUFFIX = "_subset"  # a slope of a dispatcher that holds a subset

Measured = dict[str, list[Point]]
Say = Callable[[str], None]


def call(plant: str | None, job: Callable[[], Any]) -> Any:
    """Measure in this process, with a planted fault or none."""
    if plant is not None:
        INJECTED_FAULTS[plant]()
    return job()


class Jobs:
    """Measurements in processes of their own, so many at once; each process makes one."""

    def __init__(self, workers: int, plant: str | None, bounds: Bounds, say: Say) -> None:
        self._plant, self._bounds, self._say = plant, bounds, say
        self._pool = ProcessPoolExecutor(workers, mp_context=get_context("spawn"), max_tasks_per_child=1)

    def run(self, name: str, jobs: Sequence[Callable[[], Any]]) -> list[Any]:
        """All results, in the order of the jobs."""
        running = [self._pool.submit(call, self._plant, job) for job in jobs]
        for done, result in enumerate(running):
            while not result.done():
                self._say(f"{name}: {done} of {len(running)}")
                self._bounds.look()
                time.sleep(0.1)
        return [result.result() for result in running]

    def __enter__(self) -> Jobs:
        return self

    def __exit__(self, kind: object, *_: object) -> None:
        self._pool.shutdown(wait=kind is None, cancel_futures=True)


def parts(plan: Plan, seed: int) -> tuple[list[float], list[Callable[[], dict[str, float]]]]:
    """The measurements of single parts, the longest first, and the value of each one's variable."""
    jobs: list[tuple[float, Callable[[], dict[str, float]]]] = []
    for tasks in plan.standing:
        jobs.append((tasks, partial(quantities.standing_at, tasks, seed)))
    for members in plan.members:
        jobs.append((members, partial(quantities.view_at, members, seed)))
    for nodes in plan.parts:
        jobs.append((nodes, partial(quantities.list_at, nodes, seed)))
        jobs.append((nodes, partial(quantities.placement_at, nodes, seed)))
        jobs.append((nodes, partial(quantities.question_at, nodes, seed)))
    jobs.sort(key=lambda job: -job[0])
    return [x for x, _ in jobs], [job for _, job in jobs]


def size(count: int, seed: int, port: int, a_process: int, seconds: float, spans: Spans) -> Found:
    """Real dispatchers with a list of so many nodes."""
    layout, bounds = Layout(seed, port), Bounds(seconds)
    with tempfile.TemporaryDirectory() as folder:
        nodes = Nodes(layout, count, a_process)
        try:
            return at_size(count, layout, nodes, Path(folder), bounds, spans, PLACERS)
        finally:
            nodes.end()


def links(members: int, seed: int, port: int, seconds: float) -> float:
    """Connections that a node has, by the number of hollow dispatchers that hold it."""
    layout, count = Layout(seed, port), 28
    with tempfile.TemporaryDirectory() as folder:
        nodes = Nodes(layout, count, count)
        world = ScaleTestbed(layout, nodes, count, members, Path(folder), Bounds(seconds), members)
        try:
            world.start_hollow(list(range(members)), False)
            world.rest(1.5)
            return nodes.tell(Count()).accepted / count
        finally:
            world.close()
            nodes.end()


def run_faults(
    count: int, seed: int, port: int, seconds: float, hollow: int, per_s: float, plant: str | None
) -> ScenarioCounts:
    """The target's troubles in small."""
    layout, bounds = Layout(seed, port), Bounds(seconds)
    with tempfile.TemporaryDirectory() as folder:
        nodes = Nodes(layout, count, count)
        try:
            return FaultScenario(layout, nodes, count, hollow, Path(folder), bounds, per_s, plant).run()
        finally:
            nodes.end()


def worlds(plan: Plan, seed: int, plant: str | None) -> list[Callable[[], Any]]:
    """The measurements on sockets: the troubles, each size, each number of dispatchers; all at ports of their own."""
    ports = itertools.count(7_400 + 20 * (seed % 100))
    jobs: list[Callable[[], Any]] = [
        partial(run_faults, plan.troubled, seed, next(ports), plan.seconds, plan.hollow, plan.per_s, plant)
    ]
    for count in plan.nodes:
        jobs.append(partial(size, count, seed, next(ports), plan.a_process, plan.seconds, plan.spans))
    for members in plan.linked:
        jobs.append(partial(links, members, seed, next(ports), plan.seconds))
    return jobs


def slopes(measured: Measured) -> dict[str, Any]:
    """A curve for each quantity, with and without a subset."""
    found = {}
    for name, quantity, unit, variable, floor in QUANTITIES:
        for suffix in ("", SUBSET_SUFFIX):
            if points := measured.get(name + suffix):
                text = quantity + (", of a subset" if suffix else "")
                found[name + suffix] = fit(name + suffix, text, unit, variable, points, floor)
    return found


def growth(points: Sequence[Point]) -> float:
    """By how much a quantity grows from the smallest value of its variable to the largest."""
    ordered = sorted(points, key=lambda point: point.x)
    return ordered[-1].y / max(ordered[0].y, 1e-9)


def run(seed: int, plan: Plan, plant: str | None = None, say: Say = lambda text: None) -> Report:
    """The whole run. All processes that it started have ended when it returns, or raises."""
    bounds = Bounds(plan.seconds)
    for package in (thornshelf.placement, thornshelf):  # as ``build`` does
        compileall.compile_dir(Path(str(package.__file__)).parent, quiet=1)
    try:
        with Jobs(plan.part_workers, plant, bounds, say) as jobs:
            values, work = parts(plan, seed)
            measured = gathered(zip(values, jobs.run("parts", work), strict=True))
        with Jobs(plan.world_workers, plant, bounds, say) as jobs:
            counted, *rest = jobs.run("worlds", worlds(plan, seed, plant))
        found, linked = rest[: len(plan.nodes)], rest[len(plan.nodes) :]
        measured |= by_size(plan.nodes, found)
        measured["node_connections"] = [Point(x, y) for x, y in zip(plan.linked, linked, strict=True)]
        return judged(plan, seed, bounds, measured, counted, found)
    finally:
        bounds.end_children()


def gathered(results: Iterable[tuple[float, dict[str, float]]]) -> Measured:
    """The points of each quantity."""
    measured: Measured = defaultdict(list)
    for x, values in results:
        for name, y in values.items():
            measured[name].append(Point(x, y))
    return measured


def by_size(counts: Sequence[int], found: Sequence[Found]) -> Measured:
    """The points of real dispatchers' quantities, with and without a subset."""
    subset = [{name + SUBSET_SUFFIX: y for name, y in one.subset.items()} for one in found]
    whole = [one.whole for one in found]
    return gathered([*zip(counts, whole, strict=True), *zip(counts, subset, strict=True)])


def judged(
    plan: Plan,
    seed: int,
    bounds: Bounds,
    measured: Measured,
    counted: ScenarioCounts,
    found: Sequence[Found],
) -> Report:
    """The report, with the rules that did not hold."""
    broken = list(counted.rules)
    if growth(measured["view_bytes"]) > MOST_GROWTH:
        broken.append("what a member of the view sends grows with the fleet")
    if sum(one.late for one in found):
        broken.append("an offer went to a drained node at some size")
    return build_report(
        slopes=slopes(measured),
        machine=machine(),
        seed=seed,
        commit=commit(),
        short=not plan.full,
        sizes=list(plan.nodes),
        hollow_nodes=max(plan.nodes),
        hollow_dispatchers=len(counted.held),
        real=2,
        processes=bounds.peak_processes,
        peak_memory_mb=round(bounds.peak_memory / (1 << 20)),
        asked=counted.asked,
        served=counted.served,
        lost=counted.lost + sum(one.lost for one in found),
        doubled=counted.doubled + sum(one.doubled for one in found),
        rules_broken=broken,
        seconds=round(time.monotonic() - bounds.began, 1),
    )


def machine() -> Machine:
    """What the figures were taken on."""
    model = "unknown"
    try:
        lines = Path("/proc/cpuinfo").read_text().splitlines()
        model = next(line.partition(":")[2].strip() for line in lines if line.startswith("model name"))
    except (OSError, StopIteration):
        pass
    memory = round(psutil.virtual_memory().total / (1 << 30))
    return Machine(model, psutil.cpu_count() or 1, memory, platform.python_version(), platform.system())


def commit() -> str:
    """The version of the sources that were measured, where git knows it."""
    root = Path(__file__).parent
    try:
        said = subprocess.run(
            ["git", "describe", "--always", "--dirty"], cwd=root, capture_output=True, text=True
        )
    except OSError:
        return "unknown"
    return said.stdout.strip() or "unknown"
