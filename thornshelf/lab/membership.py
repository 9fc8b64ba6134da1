"""The pure view in virtual time, at any size: real datagrams, a seeded network, and not one real clock.

The same seed gives the same run, bit for bit: ``digest`` is over every datagram that arrived, with its time.
"""

from __future__ import annotations

import gc
import heapq
import random
import time
import tracemalloc
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import xxhash
from hdrh.histogram import HdrHistogram

from thornshelf.membership.anti_entropy import BucketIndex
from thornshelf.membership.config import MembershipConfig
from thornshelf.membership.keys import RecordKey, RumorKey
from thornshelf.membership.protocol import MembershipProtocol
from thornshelf.membership.states import LIVE_STATES

SECOND = 1_000_000
KEY = b"a key for an experiment only...."
PARTED_S = 40
FEW = 8
JOINED = 64  # members whose joining is played; larger fleets begin as if they had
MOST_BYTES_S, MOST_RATIO = 4_000, 1.5


class Network:
    """Members on one virtual clock, with links that lose, delay, double and cut."""

    def __init__(self, seed: int, **terms: Any) -> None:
        self.chance = random.Random(seed)
        self.now = SECOND
        self.views: dict[str, MembershipProtocol] = {}
        self.loss = self.doubles = 0.0
        self.late_us = (200, 2_000)
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.asleep: set[str] = set()
        self.bytes = 0  # sent by all
        self.sent = 0
        self.hash = xxhash.xxh3_64()
        self.on_change: Callable[[str, Any], None] = lambda who, change: None
        self.tap: Callable[[str, str, bytes], None] = lambda sender, receiver, data: None
        self._terms, self._events = terms, list[tuple[int, int, str, bytes | None]]()
        self._order = self._lives = 0
        self._wakes: dict[str, int] = {}

    def address(self, name: str) -> str:
        """Where a member is to be reached; the network knows names only."""
        return f"{name}:1"

    def start(
        self, name: str, seeds: Iterable[str] = (), life: int | None = None, **terms: Any
    ) -> MembershipProtocol:
        """A member's process begins."""
        self._lives += 1
        given: dict[str, Any] = {
            "fleet": "lab", "name": name, "address": self.address(name), "key": KEY,
            "seeds": tuple(self.address(seed) for seed in seeds),
        }  # fmt: skip
        view = MembershipProtocol(
            MembershipConfig(**(given | self._terms | terms)),
            life if life is not None else self.chance.randrange(1, 1 << 62),
            self.now,
            random.Random(self.chance.randrange(1 << 62)),
        )
        self.views[name] = view
        self._turn(name, view)
        return view

    def kill(self, name: str) -> None:
        """Its process is gone, without a word."""
        del self.views[name]

    def leave(self, name: str) -> None:
        """It ends in order."""
        view = self.views[name]
        view.leave()
        self._flush(name, view)
        del self.views[name]

    def run(self, until_us: int) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until_us:
            at, _, name, data = heapq.heappop(self._events)
            view = self.views.get(name)
            if view is None:
                continue
            self.now = max(self.now, at)
            if name in self.asleep:  # its socket holds what comes, and its timers wait
                heapq.heappush(self._events, (at + 50_000, self._next(), name, data))
                continue
            if data is not None:
                self.hash.update(b"%d %s " % (self.now, name.encode()) + data)
                view.receive(data, self.now)
                self._flush(name, view)
            elif self._wakes.get(name) is not None and self._wakes[name] <= at:
                self._turn(name, view)
        self.now = max(self.now, until_us)

    def _next(self) -> int:
        self._order += 1
        return self._order

    def _turn(self, name: str, view: MembershipProtocol) -> None:
        due = max(view.tick(self.now), self.now + 1_000)
        self._flush(name, view)
        self._wakes[name] = due
        heapq.heappush(self._events, (due, self._next(), name, None))

    def _flush(self, name: str, view: MembershipProtocol) -> None:
        for address, data in view.take_outgoing():
            receiver = address.rpartition(":")[0]
            self.bytes += len(data) + 28  # the datagram's own heads, UDP and IP
            self.sent += 1
            self.tap(name, receiver, data)
            if self.cut(name, receiver):
                continue
            for _ in range(2 if self.chance.random() < self.doubles else 1):
                if self.chance.random() >= self.loss:
                    due = self.now + self.chance.randrange(*self.late_us)
                    heapq.heappush(self._events, (due, self._next(), receiver, data))
        for change in view.take_changes():
            self.on_change(name, change)
        view.take_received_entries()
        view.rejected_datagrams.clear()
        # What came in may have made something due earlier than was planned.
        due = view.next_due_us()
        if due < self._wakes.get(name, 0):
            due = max(due, self.now + 1_000)
            self._wakes[name] = due
            heapq.heappush(self._events, (due, self._next(), name, None))

    # the truth, and what members hold

    def agreed(self, names: Iterable[str] | None = None) -> bool:
        """Whether each of some members holds exactly the others of them for live."""
        wanted = sorted(self.views if names is None else names)
        return all(self.views[name].live_names() == wanted for name in wanted)

    def until_agreed(
        self, limit_us: int, names: Iterable[str] | None = None, step_us: int = 50_000
    ) -> int | None:
        """How long it takes until they do, in microseconds; None where it takes longer than the limit."""
        began = self.now
        chosen = None if names is None else list(names)
        while self.now - began < limit_us:
            if self.agreed(chosen):
                return self.now - began
            self.run(self.now + step_us)
        return self.now - began if self.agreed(chosen) else None


def run_until_settled(network: Network, names: list[str], limit_us: int) -> int | None:
    """Start members through two of them, and wait until all know all."""
    for name in names:
        network.start(name, [one for one in names[:2] if one != name])
    return network.until_agreed(limit_us, step_us=250_000)


def run_settled(network: Network, names: list[str]) -> None:
    """Members that know each other already: each trying each, once, is too much for one processor at a thousand."""
    views = [network.start(name, names[:2]) for name in names]
    network._events.clear()
    known: BucketIndex[RumorKey] = BucketIndex()
    for view in views:
        known.record(RecordKey(view.name), view.local.record.precedence)
    for view in views:
        news, view.table._on_record_change = (
            view.table._on_record_change,
            lambda name: None,
        )  # a million times over, where all know all
        for other in views:
            if other is not view:
                view.table.add(other.local.record, network.now)
        view.table._on_record_change = news
        view.state.index.replace_with(known)
        view.state.buffer.clear()
        view.table.changes.clear()
        network._turn(view.name, view)


def at_size(members: int, seed: int, quiet_s: int = 10, faults: bool = True) -> dict[str, Any]:
    """Join, a quiet time, crashes one after another, a partition in halves, and its end."""
    began = time.monotonic()
    gc.disable()  # a run makes no circles worth the search; its end is the process's
    network = Network(seed)
    names = [f"m{number:04d}" for number in range(members)]
    if members <= JOINED:
        joined = run_until_settled(network, names, 120 * SECOND)
    else:
        joined = run_until_settled(Network(seed), names[:JOINED], 120 * SECOND)
        run_settled(network, names)
    network.run(network.now + 4 * SECOND)  # rumours of the start die down
    before, at = network.bytes, network.now
    network.run(network.now + quiet_s * SECOND)
    rate = (network.bytes - before) / members / ((network.now - at) / SECOND)
    said: dict[str, Any] = {"members": members, "join_ms": None if joined is None else joined // 1000}
    said["bytes_per_s"] = round(rate)
    said["memory_kb"] = memory_kb(network, names[-1])
    if faults:
        said |= _crashes(network, names)
        said |= _partition(network, names)
    said["datagrams"] = network.sent
    said["digest"] = network.hash.hexdigest()
    said["seconds"] = round(time.monotonic() - began, 1)
    return said


def memory_kb(network: Network, name: str) -> int:
    """What one more member with the same knowledge takes."""
    old = network.views[name]
    tracemalloc.start()
    view = MembershipProtocol(old.config, 1, network.now, random.Random(1))
    for member in old.table.members.values():
        view.table.add(member.record, network.now)
    for entry in old.replicated_map.all_entries():
        view.replicated_map.merge(entry.entry, network.now)
    view.tick(network.now)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size // 1024


def _crashes(network: Network, names: list[str], count: int = 6) -> dict[str, Any]:
    """How long each member takes to hold a crashed one for dead; and who is wrongly held so."""
    times = HdrHistogram(1, 120_000, 3)
    died: dict[str, int] = {}
    noticed: list[tuple[str, str, int]] = []
    wrong: list[tuple[str, str]] = []

    def changed(who: str, change: Any) -> None:
        if change.after in LIVE_STATES or change.before not in LIVE_STATES or who not in network.views:
            return
        if change.name in died:
            noticed.append((who, change.name, network.now))
        else:
            wrong.append((who, change.name))

    network.on_change = changed
    for name in network.chance.sample(names, count):
        names.remove(name)
        died[name] = network.now
        network.kill(name)
        network.run(network.now + SECOND // 2)
    network.until_agreed(30 * SECOND, step_us=250_000)
    network.on_change = lambda who, change: None
    survivors = set(names)
    for who, name, at in noticed:
        if who in survivors:
            times.record_value(max(1, (at - died[name]) // 1000))
    return {
        "detect_ms": {"p50": times.get_value_at_percentile(50), "p99": times.get_value_at_percentile(99)},
        "undetected": len(names) * count - times.total_count,
        "wrongly_dead": len(wrong),
    }


def _partition(network: Network, names: list[str]) -> dict[str, Any]:
    """Halves (of large fleets 8 members and the rest) that can't hear each other, then all links again."""
    half = set(names[: len(names) // 2 if len(names) <= 4 * JOINED else FEW])
    network.cut = lambda sender, receiver: (sender in half) != (receiver in half)
    sides = [[name for name in names if name not in half]]
    if len(names) <= 4 * JOINED:  # eight members take minutes to find a thousand others gone
        sides.append([name for name in names if name in half])
    parted = all(network.until_agreed(PARTED_S * SECOND, side, 500_000) is not None for side in sides)
    network.cut = lambda sender, receiver: False
    healed = network.until_agreed(60 * SECOND, step_us=100_000)
    return {"parted": parted, "heal_ms": None if healed is None else healed // 1000}


def run(members: int, seed: int, plot: Path | None = None) -> dict[str, Any]:
    """The whole at one size, and the traffic of 16 beside it."""
    small = at_size(16, seed)
    said = {"seed": seed} | (at_size(members, seed) if members != 16 else small)
    said["bytes_per_s_16"] = small["bytes_per_s"]
    said["bytes_ratio"] = round(said["bytes_per_s"] / small["bytes_per_s"], 2)
    said["seconds"] = round(said["seconds"] + small["seconds"], 1)
    if plot is not None:
        sizes = sorted({16, 64, members})
        picture(
            plot,
            [small if size == 16 else said if size == members else at_size(size, seed) for size in sizes],
        )
    return said


def passed(said: dict[str, Any]) -> bool:
    """Whether all that is asked holds."""
    return bool(
        said["join_ms"] is not None
        and said["wrongly_dead"] == 0
        and said["undetected"] == 0
        and said["parted"]
        and said["heal_ms"] is not None
        and said["bytes_per_s"] <= MOST_BYTES_S
        and said["bytes_ratio"] <= MOST_RATIO
    )


def picture(path: Path, rows: list[dict[str, Any]]) -> None:
    """Detection, healing and traffic against size."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    sizes = [row["members"] for row in rows]
    left.plot(sizes, [row["detect_ms"]["p50"] / 1000 for row in rows], "o-", label="crash held for dead, p50")
    left.plot(sizes, [row["detect_ms"]["p99"] / 1000 for row in rows], "s-", label="crash held for dead, p99")
    left.plot(sizes, [(row["heal_ms"] or 0) / 1000 for row in rows], "^-", label="partition healed")
    left.set(xscale="log", xlabel="members", ylabel="s")
    left.legend()
    right.plot(sizes, [row["bytes_per_s"] / 1000 for row in rows], "o-")
    right.set(xscale="log", xlabel="members", ylabel="kB/s a member, at rest", ylim=(0, MOST_BYTES_S / 1000))
    figure.tight_layout()
    figure.savefig(path)
