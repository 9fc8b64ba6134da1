"""What the door costs: a verdict at many sources, the sketch, the prefix table and the order by share.

    python -m benchmarks.door

Each structure is measured beside the plain one that it takes the place of, in one run.
"""

from __future__ import annotations

import ipaddress
import random
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from functools import partial

from thornshelf.admission.controller import AdmissionConfig, AdmissionController, Limits, PrefixRule
from thornshelf.admission.fair_queue import FairQueue, FairQueueConfig
from thornshelf.admission.gcra import Rate
from thornshelf.admission.heavy_hitters import SpaceSavingCounter
from thornshelf.admission.prefixes import PerLengthPrefixTable, PrefixTable, parse_prefix
from thornshelf.admission.reserved_connections import ReservedConnectionsConfig


def us_each(call: Callable[[int], object], count: int) -> float:
    """Microseconds a call, the best of three."""
    best = float("inf")
    for _ in range(3):
        began = time.perf_counter()
        for number in range(count):
            call(number)
        best = min(best, time.perf_counter() - began)
    return best / count * 1e6


def memory(make: Callable[[], object]) -> float:
    """MiB that it holds."""
    tracemalloc.start()
    kept = make()
    held = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    del kept
    return held


def verdicts() -> None:
    """A verdict on a set-up, and on a connection with its close."""
    rules = tuple(PrefixRule(f"r{n}", parse_prefix(f"10.{n}.0.0/16"), known=n % 2 == 0) for n in range(100))
    each = Limits(50, Rate(1000, 1_000_000, 1000), Rate(100_000, 1_000_000, 100_000))
    for sources in (10, 10_000, 1_000_000):
        door = AdmissionController(AdmissionConfig(ReservedConnectionsConfig(10**9, 100, 10), rules, each))
        addresses = [str(ipaddress.ip_address((10 << 24) + n)) for n in range(sources)]
        for number in range(min(sources, 50_000)):
            given = door.admit_connection(addresses[number], 0, 0)[1]
            assert given is not None
            if number >= 1000:
                door.release(given)
        given = door.admit_connection("10.3.0.1", 0, 0)[1]
        assert given is not None
        one, now = given, [10**6]

        def set_up(_: int, door: AdmissionController = door, one: object = one, now: list[int] = now) -> None:
            now[0] += 100
            door.admit_request(one, now[0])  # type: ignore[arg-type]

        def connect(number: int, door: AdmissionController = door, now: list[int] = now) -> None:
            now[0] += 100
            found = door.admit_connection(addresses[number * 7919 % len(addresses)], now[0], 0)[1]  # noqa: B023
            if found is not None:
                door.release(found)

        cost = us_each(set_up, 20_000), us_each(connect, 20_000)
        print(f"{sources:>9} sources: set-up {cost[0]:.2f} us, connection {cost[1]:.2f} us, {len(door)} kept")


def _sketch(sources: int) -> SpaceSavingCounter[int]:
    table = SpaceSavingCounter[int](4096)
    for number in range(sources):
        table.add(number)
    return table


def sketch() -> None:
    """Space-saving beside a plain counter."""
    for sources in (1_000, 1_000_000):
        bounded = memory(partial(_sketch, sources))
        plain = memory(partial(Counter, range(sources)))
        print(f"{sources:>9} sources: sketch {bounded:.2f} MiB, plain counter {plain:.2f} MiB")
    table, rng = SpaceSavingCounter[int](4096), random.Random(1)
    draws = [rng.randrange(10**6) for _ in range(100_000)]
    print(f"          an addition: {us_each(lambda number: table.add(draws[number]), len(draws)):.2f} us")


def prefixes() -> None:
    """The trie beside a dict for each length."""
    rng = random.Random(2)
    for count, lengths in ((100, (8, 16, 24)), (10_000, tuple(range(8, 33)))):
        trie, dicts = PrefixTable[int](), PerLengthPrefixTable[int]()
        for number in range(1, count + 1):
            length = rng.choice(lengths)
            prefix = (4, rng.randrange(2**32) >> (32 - length), length)
            trie.insert(prefix, number)
            dicts.insert(prefix, number)
        asked = [rng.randrange(2**32) for _ in range(20_000)]
        cost = us_each(_lookup(trie, asked), len(asked)), us_each(_lookup(dicts, asked), len(asked))
        print(f"{count:>9} prefixes of {len(lengths)} lengths: trie {cost[0]:.2f} us, dicts {cost[1]:.2f} us")


def _lookup(table: PrefixTable[int] | PerLengthPrefixTable[int], asked: list[int]) -> Callable[[int], object]:
    return lambda number: list(table.matches(4, asked[number]))


def shares() -> None:
    """Put and take, beside sorting a list for each turn."""
    terms = FairQueueConfig({"hollis-county": 0.72, "pruett-county": 0.28}, batch_size=1)
    for waiting in (100, 10_000):
        queue, plain = FairQueue[int](terms), list[tuple[int, int]]()
        for number in range(waiting):
            queue.put(number, 0, 10**12 + number, "hollis-county" if number % 3 else "pruett-county", 0)
            plain.append((0, 10**12 + number))

        def step(number: int, queue: FairQueue[int] = queue) -> None:
            queue.put(number, 0, 10**12 + number, "hollis-county", 0)
            queue.pop_batch(0)

        def sort(number: int, plain: list[tuple[int, int]] = plain) -> None:
            plain.append((0, 10**12 + number))
            plain.sort()
            plain.pop(0)

        print(f"{waiting:>9} waiting: {us_each(step, 2000):.2f} us, sorting {us_each(sort, 200):.2f} us")


if __name__ == "__main__":
    for part in (verdicts, sketch, prefixes, shares):
        print(part.__doc__)
        part()
