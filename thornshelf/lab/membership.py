"""Simulation of the membership protocol in virtual time, at any size: real datagrams over a seeded network.

The same seed gives the same run: ``digest`` is a hash of all received datagrams and their times.
"""

from __future__ import annotations

import gc
import heapq
import random
import time
import tracemalloc
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

import xxhash
from hdrh.histogram import HdrHistogram

from thornshelf.membership.anti_entropy import BucketIndex
from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.keys import RecordKey, RumorKey
from thornshelf.membership.member_table import MemberChange
from thornshelf.membership.protocol import MembershipProtocol
from thornshelf.membership.states import LIVE_STATES

SECOND = 1_000_000
KEY = b"a key for an experiment only...."
UDP_HEADER_BYTES = 28  # of UDP and IP
MIN_TIMER_US = 1_000
STOPPED_RETRY_US = 50_000  # between two attempts to deliver an event to a stopped member
MAX_JOIN_US = 120 * SECOND
MAX_PARTITION_US = 40 * SECOND
MAX_HEAL_US = 60 * SECOND
MAX_DETECTION_US = 30 * SECOND
JOIN_SETTLING_US = 4 * SECOND
MAX_JOINING = 64  # larger fleets start as if all members had joined
MAX_HALVED = 4 * MAX_JOINING  # larger fleets are not cut in halves
MINORITY = 8  # members that are cut off from a larger fleet instead
BASELINE_MEMBERS = 16
CRASHES = 6
MAX_BYTES_PER_S = 4_000
MAX_BYTES_RATIO = 1.5


class Event(NamedTuple):
    """A datagram that arrives at a member, or its timer (no data); ``order`` makes simultaneous events unique."""

    at_us: int
    order: int
    name: str
    data: bytes | None


class Network:
    """Members on one virtual clock, with links that drop, delay and duplicate datagrams.

    ``is_cut(sender, receiver)``: whether that direction of a link is cut; ``on_send``: called with each datagram;
    ``on_change``: called with each change of a member's state and the name of its observer; ``stopped``: names of
    members that do not run; ``delay_us``: range of the delay; ``sent`` and ``bytes``: totals that were sent.
    """

    def __init__(self, seed: int, **config: Any) -> None:
        self.random = random.Random(seed)
        self.now = SECOND
        self.members: dict[str, MembershipProtocol] = {}
        self.loss_probability = 0.0
        self.duplicate_probability = 0.0
        self.delay_us = (200, 2_000)
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.stopped: set[str] = set()
        self.bytes = 0
        self.sent = 0
        self.hash = xxhash.xxh3_64()
        self.on_change: Callable[[str, MemberChange], None] = lambda observer, change: None
        self.on_send: Callable[[str, str, bytes], None] = lambda sender, receiver, data: None
        self._config = config
        self._events: list[Event] = []
        self._event_count = 0
        self._timers: dict[str, int] = {}

    def address(self, name: str) -> str:
        """Return the address of a member; the network uses its host part, the name."""
        return f"{name}:1"

    def start(self, name: str, seeds: Iterable[str] = (), **config: Any) -> MembershipProtocol:
        """Start a member; ``config``: fields of ``MembershipConfig`` that differ."""
        settings: dict[str, Any] = {
            "fleet": "lab",
            "name": name,
            "address": self.address(name),
            "key": KEY,
            "seeds": tuple(self.address(seed) for seed in seeds),
        }
        member = MembershipProtocol(
            MembershipConfig(**(settings | self._config | config)),
            self.random.randrange(1, 1 << 62),
            self.now,
            random.Random(self.random.randrange(1 << 62)),
        )
        self.members[name] = member
        self._tick(name, member)
        return member

    def kill(self, name: str) -> None:
        """Crash a member."""
        del self.members[name]

    def leave(self, name: str) -> None:
        """Shut a member down gracefully."""
        member = self.members[name]
        member.leave()
        self._flush(name, member)
        del self.members[name]

    def run(self, until_us: int) -> None:
        """Advance the virtual clock, and deliver all events until then."""
        while self._events and self._events[0].at_us <= until_us:
            at_us, _, name, data = heapq.heappop(self._events)
            member = self.members.get(name)
            if member is None:
                continue
            self.now = max(self.now, at_us)
            if name in self.stopped:  # its datagrams and timers wait
                self._schedule(at_us + STOPPED_RETRY_US, name, data)
                continue
            if data is not None:
                self.hash.update(b"%d %s " % (self.now, name.encode()) + data)
                member.receive(data, self.now)
                self._flush(name, member)
            elif self._timers.get(name) is not None and self._timers[name] <= at_us:
                self._tick(name, member)
        self.now = max(self.now, until_us)

    def _schedule(self, at_us: int, name: str, data: bytes | None) -> None:
        self._event_count += 1
        heapq.heappush(self._events, Event(at_us, self._event_count, name, data))

    def _set_timer(self, name: str, due_us: int) -> None:
        self._timers[name] = due_us
        self._schedule(due_us, name, None)

    def _tick(self, name: str, member: MembershipProtocol) -> None:
        due_us = max(member.tick(self.now), self.now + MIN_TIMER_US)
        self._flush(name, member)
        self._set_timer(name, due_us)

    def _flush(self, name: str, member: MembershipProtocol) -> None:
        for address, data in member.take_outgoing():
            self._send(name, address.rpartition(":")[0], data)
        for change in member.take_changes():
            self.on_change(name, change)
        member.take_received_entries()
        member.rejected_datagrams.clear()
        # A received datagram can make the next tick due earlier than the timer.
        due_us = member.next_due_us()
        if due_us < self._timers.get(name, 0):
            self._set_timer(name, max(due_us, self.now + MIN_TIMER_US))

    def _send(self, sender: str, receiver: str, data: bytes) -> None:
        self.bytes += len(data) + UDP_HEADER_BYTES
        self.sent += 1
        self.on_send(sender, receiver, data)
        if self.is_cut(sender, receiver):
            return
        for _ in range(2 if self.random.random() < self.duplicate_probability else 1):
            if self.random.random() >= self.loss_probability:
                self._schedule(self.now + self.random.randrange(*self.delay_us), receiver, data)

    def agreed(self, names: Iterable[str] | None = None) -> bool:
        """Whether each of some members considers exactly these live; by default all that run."""
        expected = sorted(self.members if names is None else names)
        return all(self.members[name].live_names() == expected for name in expected)

    def until_agreed(
        self, limit_us: int, names: Iterable[str] | None = None, step_us: int = 50_000
    ) -> int | None:
        """Run until ``agreed``; returns the microseconds that it took, or None after ``limit_us``."""
        start_us = self.now
        chosen = None if names is None else list(names)
        while self.now - start_us < limit_us:
            if self.agreed(chosen):
                return self.now - start_us
            self.run(self.now + step_us)
        return self.now - start_us if self.agreed(chosen) else None


def run_until_settled(network: Network, names: list[str], limit_us: int) -> int | None:
    """Start members with the first two as seeds, and run until all agree; returns the microseconds, or None."""
    for name in names:
        network.start(name, [other for other in names[:2] if other != name])
    return network.until_agreed(limit_us, step_us=250_000)


def run_settled(network: Network, names: list[str]) -> None:
    """Start members that know each other already, because simulating many joins takes too long."""
    members = [network.start(name, names[:2]) for name in names]
    network._events.clear()
    known: BucketIndex[RumorKey] = BucketIndex()
    for member in members:
        known.record(RecordKey(member.name), member.local.record.precedence)
    for member in members:
        # No rumors: all members know these records already.
        on_record_change = member.table._on_record_change
        member.table._on_record_change = lambda name: None
        for other in members:
            if other is not member:
                member.table.add(other.local.record, network.now)
        member.table._on_record_change = on_record_change
        member.state.index.replace_with(known)
        member.state.buffer.clear()
        member.table.changes.clear()
        network._tick(member.name, member)


def at_size(members: int, seed: int, quiet_s: int = 10, faults: bool = True) -> dict[str, Any]:
    """Measure joins, traffic for ``quiet_s`` seconds at rest and, with ``faults``, crashes and a partition."""
    start = time.monotonic()
    gc.disable()  # a run leaves few reference cycles, and the process ends after it
    network = Network(seed)
    names = [f"m{number:04d}" for number in range(members)]
    if members <= MAX_JOINING:
        join_us = run_until_settled(network, names, MAX_JOIN_US)
    else:
        join_us = run_until_settled(Network(seed), names[:MAX_JOINING], MAX_JOIN_US)
        run_settled(network, names)
    network.run(network.now + JOIN_SETTLING_US)  # until the rumors of the joins have expired
    bytes_before = network.bytes
    network.run(network.now + quiet_s * SECOND)
    result: dict[str, Any] = {
        "members": members,
        "join_ms": None if join_us is None else join_us // 1000,
        "bytes_per_s": round((network.bytes - bytes_before) / members / quiet_s),
        "memory_kb": memory_kb(network, names[-1]),
    }
    if faults:
        result |= _crashes(network, names)
        result |= _partition(network, names)
    result["datagrams"] = network.sent
    result["digest"] = network.hash.hexdigest()
    result["seconds"] = round(time.monotonic() - start, 1)
    return result


def memory_kb(network: Network, name: str) -> int:
    """Return the memory, in kB, of a further member with the same records as this one."""
    known = network.members[name]
    tracemalloc.start()
    member = MembershipProtocol(known.config, 1, network.now, random.Random(1))
    for other in known.table.members.values():
        member.table.add(other.record, network.now)
    for stored in known.replicated_map.all_entries():
        member.replicated_map.merge(stored.entry, network.now)
    member.tick(network.now)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size // 1024


class Detection(NamedTuple):
    """A member, ``observer``, has declared the member ``name`` dead, rightly or not."""

    observer: str
    name: str
    at_us: int


def _crashes(network: Network, names: list[str], count: int = CRASHES) -> dict[str, Any]:
    """Crash members one after another; returns detection times, and the numbers of missed and false detections."""
    times = HdrHistogram(1, 120_000, 3)
    crashed_us: dict[str, int] = {}
    detections: list[Detection] = []
    false_detections: list[Detection] = []

    def on_change(observer: str, change: MemberChange) -> None:
        is_detection = change.before in LIVE_STATES and change.after not in LIVE_STATES
        if is_detection and observer in network.members:
            detection = Detection(observer, change.name, network.now)
            (detections if change.name in crashed_us else false_detections).append(detection)

    network.on_change = on_change
    for name in network.random.sample(names, count):
        names.remove(name)
        crashed_us[name] = network.now
        network.kill(name)
        network.run(network.now + SECOND // 2)
    network.until_agreed(MAX_DETECTION_US, step_us=250_000)
    network.on_change = lambda observer, change: None
    survivors = set(names)
    for observer, name, at_us in detections:
        if observer in survivors:
            times.record_value(max(1, (at_us - crashed_us[name]) // 1000))
    return {
        "detect_ms": {"p50": times.get_value_at_percentile(50), "p99": times.get_value_at_percentile(99)},
        "undetected": len(names) * count - times.total_count,
        "wrongly_dead": len(false_detections),
    }


def _partition(network: Network, names: list[str]) -> dict[str, Any]:
    """Cut the fleet into halves (a large one: cut off a minority), then restore all links."""
    is_halved = len(names) <= MAX_HALVED
    first = set(names[: len(names) // 2 if is_halved else MINORITY])
    network.is_cut = lambda sender, receiver: (sender in first) != (receiver in first)
    sides = [[name for name in names if name not in first]]
    if is_halved:  # a minority takes minutes to detect that all others are gone
        sides.append([name for name in names if name in first])
    is_parted = all(network.until_agreed(MAX_PARTITION_US, side, 500_000) is not None for side in sides)
    network.is_cut = lambda sender, receiver: False
    heal_us = network.until_agreed(MAX_HEAL_US, step_us=100_000)
    return {"parted": is_parted, "heal_ms": None if heal_us is None else heal_us // 1000}


def run(members: int, seed: int, plot: Path | None = None) -> dict[str, Any]:
    """Measure a fleet, and compare its traffic with that of a small one; ``plot``: path of a chart to write."""
    baseline = at_size(BASELINE_MEMBERS, seed)
    result = {"seed": seed} | (at_size(members, seed) if members != BASELINE_MEMBERS else baseline)
    result["bytes_per_s_16"] = baseline["bytes_per_s"]
    result["bytes_ratio"] = round(result["bytes_per_s"] / baseline["bytes_per_s"], 2)
    result["seconds"] = round(result["seconds"] + baseline["seconds"], 1)
    if plot is not None:
        known = {BASELINE_MEMBERS: baseline, members: result}
        sizes = sorted({BASELINE_MEMBERS, 64, members})
        plot_sizes(plot, [known.get(size) or at_size(size, seed) for size in sizes])
    return result


def passed(result: dict[str, Any]) -> bool:
    """Whether a result of ``run`` meets all requirements."""
    return bool(
        result["join_ms"] is not None
        and result["wrongly_dead"] == 0
        and result["undetected"] == 0
        and result["parted"]
        and result["heal_ms"] is not None
        and result["bytes_per_s"] <= MAX_BYTES_PER_S
        and result["bytes_ratio"] <= MAX_BYTES_RATIO
    )


def plot_sizes(path: Path, rows: list[dict[str, Any]]) -> None:
    """Write a chart of detection, healing and traffic against the size of the fleet."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    sizes = [row["members"] for row in rows]
    left.plot(sizes, [row["detect_ms"]["p50"] / 1000 for row in rows], "o-", label="crash detected, p50")
    left.plot(sizes, [row["detect_ms"]["p99"] / 1000 for row in rows], "s-", label="crash detected, p99")
    left.plot(sizes, [(row["heal_ms"] or 0) / 1000 for row in rows], "^-", label="partition healed")
    left.set(xscale="log", xlabel="members", ylabel="s")
    left.legend()
    right.plot(sizes, [row["bytes_per_s"] / 1000 for row in rows], "o-")
    right.set(
        xscale="log", xlabel="members", ylabel="kB/s per member, at rest", ylim=(0, MAX_BYTES_PER_S / 1000)
    )
    figure.tight_layout()
    figure.savefig(path)
