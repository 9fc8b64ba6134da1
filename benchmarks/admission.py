"""The cost of admission: decisions with many sources, the space-saving counter, the prefix table, the fair queue.

    python -m benchmarks.admission

Each structure is measured in one run with the plain one that it replaces.
"""

from __future__ import annotations

import ipaddress
import itertools
import random
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial

from thornshelf.admission.controller import (
    AdmissionConfig,
    AdmissionController,
    ConnectionPermit,
    Limits,
    PrefixRule,
)
from thornshelf.admission.fair_queue import FairQueue, FairQueueConfig
from thornshelf.admission.gcra import Rate
from thornshelf.admission.heavy_hitters import SpaceSavingCounter
from thornshelf.admission.prefixes import PerLengthPrefixTable, PrefixTable, parse_prefix
from thornshelf.admission.reserved_connections import ReservedConnectionsConfig


def us_each(call: Callable[[int], object], count: int) -> float:
    """Microseconds for each call, the best of three runs."""
    best = float("inf")
    for _ in range(3):
        began = time.perf_counter()
        for number in range(count):
            call(number)
        best = min(best, time.perf_counter() - began)
    return best / count * 1e6


def memory(make: Callable[[], object]) -> float:
    """MiB used by an object."""
    tracemalloc.start()
    result = make()
    used_mib = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    del result
    return used_mib


def decisions() -> None:
    """Decisions on a request, and on a connection with its release."""
    rules = tuple(PrefixRule(f"r{n}", parse_prefix(f"10.{n}.0.0/16"), known=n % 2 == 0) for n in range(100))
    source_limits = Limits(50, Rate(1000, 1_000_000, 1000), Rate(100_000, 1_000_000, 100_000))
    reserved = ReservedConnectionsConfig(10**9, 100, 10)
    for sources in (10, 10_000, 1_000_000):
        controller = AdmissionController(AdmissionConfig(reserved, rules, source_limits))
        addresses = [str(ipaddress.ip_address((10 << 24) + n)) for n in range(sources)]
        _open_connections(controller, addresses)
        _, permit = controller.admit_connection("10.3.0.1", 0, 0)
        assert permit is not None
        now_us = itertools.count(10**6, 100)
        request_us = us_each(partial(_request, controller, permit, now_us), 20_000)
        connection_us = us_each(partial(_connect, controller, addresses, now_us), 20_000)
        costs = f"request {request_us:.2f} us, connection {connection_us:.2f} us"
        print(f"{sources:>9} sources: {costs}, {len(controller)} tracked")


def _open_connections(controller: AdmissionController, addresses: list[str]) -> None:
    """Up to 50,000 sources connect; the first 1000 stay connected."""
    for number in range(min(len(addresses), 50_000)):
        _, permit = controller.admit_connection(addresses[number], 0, 0)
        assert permit is not None
        if number >= 1000:
            controller.release(permit)


def _request(
    controller: AdmissionController, permit: ConnectionPermit, now_us: Iterator[int], _: int
) -> None:
    controller.admit_request(permit, next(now_us))


def _connect(
    controller: AdmissionController, addresses: list[str], now_us: Iterator[int], number: int
) -> None:
    address = addresses[number * 7919 % len(addresses)]
    _, permit = controller.admit_connection(address, next(now_us), 0)
    if permit is not None:
        controller.release(permit)


def _filled_counter(sources: int) -> SpaceSavingCounter[int]:
    counter = SpaceSavingCounter[int](4096)
    for number in range(sources):
        counter.add(number)
    return counter


def counters() -> None:
    """The space-saving counter and a plain counter."""
    for sources in (1_000, 1_000_000):
        bounded = memory(partial(_filled_counter, sources))
        plain = memory(partial(Counter, range(sources)))
        print(f"{sources:>9} sources: space-saving {bounded:.2f} MiB, plain counter {plain:.2f} MiB")
    counter = SpaceSavingCounter[int](4096)
    rng = random.Random(1)
    draws = [rng.randrange(10**6) for _ in range(100_000)]
    print(f"          an addition: {us_each(lambda number: counter.add(draws[number]), len(draws)):.2f} us")


def prefixes() -> None:
    """The trie and a dict for each length."""
    rng = random.Random(2)
    for count, lengths in ((100, (8, 16, 24)), (10_000, tuple(range(8, 33)))):
        trie = PrefixTable[int]()
        dicts = PerLengthPrefixTable[int]()
        for number in range(1, count + 1):
            length = rng.choice(lengths)
            prefix = (4, rng.randrange(2**32) >> (32 - length), length)
            trie.insert(prefix, number)
            dicts.insert(prefix, number)
        addresses = [rng.randrange(2**32) for _ in range(20_000)]
        trie_us = us_each(_lookup(trie, addresses), len(addresses))
        dicts_us = us_each(_lookup(dicts, addresses), len(addresses))
        print(
            f"{count:>9} prefixes of {len(lengths)} lengths: trie {trie_us:.2f} us, dicts {dicts_us:.2f} us"
        )


def _lookup(
    table: PrefixTable[int] | PerLengthPrefixTable[int], addresses: list[int]
) -> Callable[[int], object]:
    return lambda number: list(table.matches(4, addresses[number]))


def queues() -> None:
    """Putting and taking one request, and sorting a list for each."""
    config = FairQueueConfig({"hollis-county": 0.72, "pruett-county": 0.28}, batch_size=1)
    for waiting in (100, 10_000):
        queue = FairQueue[int](config)
        plain = list[tuple[int, int]]()
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
    for part in (decisions, counters, prefixes, queues):
        print(part.__doc__)
        part()
