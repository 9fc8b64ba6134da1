"""Measures admission: decisions with many sources, the space-saving counter, the prefix table, and the fair queue.

    python -m benchmarks.admission

Each data structure is compared with a simpler alternative in the same run.
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


def us_per_call(call: Callable[[int], object], count: int) -> float:
    """Returns the microseconds per call, the best of three runs."""
    best = float("inf")
    for _ in range(3):
        started_s = time.perf_counter()
        for number in range(count):
            call(number)
        best = min(best, time.perf_counter() - started_s)
    return best / count * 1e6


def memory_mib(factory: Callable[[], object]) -> float:
    """Returns the memory of an object in MiB."""
    tracemalloc.start()
    result = factory()
    used_mib = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    del result
    return used_mib


def benchmark_decisions() -> None:
    """Time to admit a request, and to admit and release a connection."""
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
        request_us = us_per_call(partial(_request, controller, permit, now_us), 20_000)
        connection_us = us_per_call(partial(_connect, controller, addresses, now_us), 20_000)
        costs = f"request {request_us:.2f} us, connection {connection_us:.2f} us"
        print(f"{sources:>9} sources: {costs}, {len(controller)} tracked")


def _open_connections(controller: AdmissionController, addresses: list[str]) -> None:
    """Open a connection from up to 50,000 sources; the first 1000 stay open."""
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


def benchmark_counters() -> None:
    """Memory of the space-saving counter and of a plain counter."""
    for sources in (1_000, 1_000_000):
        space_saving_mib = memory_mib(partial(_filled_counter, sources))
        plain_mib = memory_mib(partial(Counter, range(sources)))
        print(
            f"{sources:>9} sources: space-saving {space_saving_mib:.2f} MiB, plain counter {plain_mib:.2f} MiB"
        )
    counter = SpaceSavingCounter[int](4096)
    rng = random.Random(1)
    draws = [rng.randrange(10**6) for _ in range(100_000)]
    print(
        f"          one addition: {us_per_call(lambda number: counter.add(draws[number]), len(draws)):.2f} us"
    )


def benchmark_prefixes() -> None:
    """Time of a lookup in the trie and in one dict for each prefix length."""
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
        trie_us = us_per_call(_lookup(trie, addresses), len(addresses))
        dicts_us = us_per_call(_lookup(dicts, addresses), len(addresses))
        print(
            f"{count:>9} prefixes of {len(lengths)} lengths: trie {trie_us:.2f} us, dicts {dicts_us:.2f} us"
        )


def _lookup(
    table: PrefixTable[int] | PerLengthPrefixTable[int], addresses: list[int]
) -> Callable[[int], object]:
    return lambda number: list(table.matches(4, addresses[number]))


def benchmark_queues() -> None:
    """Time to add and take one request: the fair queue and a sorted list."""
    config = FairQueueConfig({"hollis-county": 0.72, "pruett-county": 0.28}, batch_size=1)
    for waiting in (100, 10_000):
        queue = FairQueue[int](config)
        sorted_list = list[tuple[int, int]]()
        for number in range(waiting):
            queue.put(number, 0, 10**12 + number, "hollis-county" if number % 3 else "pruett-county", 0)
            sorted_list.append((0, 10**12 + number))

        def use_queue(number: int, queue: FairQueue[int] = queue) -> None:
            queue.put(number, 0, 10**12 + number, "hollis-county", 0)
            queue.pop_batch(0)

        def use_sorted_list(number: int, sorted_list: list[tuple[int, int]] = sorted_list) -> None:
            sorted_list.append((0, 10**12 + number))
            sorted_list.sort()
            sorted_list.pop(0)

        print(
            f"{waiting:>9} waiting: {us_per_call(use_queue, 2000):.2f} us,"
            f" sorted list {us_per_call(use_sorted_list, 200):.2f} us"
        )


if __name__ == "__main__":
    for benchmark in (benchmark_decisions, benchmark_counters, benchmark_prefixes, benchmark_queues):
        print(benchmark.__doc__)
        benchmark()
