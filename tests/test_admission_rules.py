"""The parts of admission: rates, prefixes, counters, reservations, descriptors, overload and fair queueing."""

from __future__ import annotations

import itertools
import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornshelf.admission.descriptors import DescriptorLedger, DescriptorLedgerConfig
from thornshelf.admission.fair_queue import FairQueue, FairQueueConfig
from thornshelf.admission.gcra import Rate, is_idle, next_arrival_time, wait_us
from thornshelf.admission.heavy_hitters import SpaceSavingCounter
from thornshelf.admission.overload import OverloadConfig, OverloadDetector
from thornshelf.admission.prefixes import PerLengthPrefixTable, PrefixTable, parse_address, parse_prefix
from thornshelf.admission.rejection_log import RejectionLog, RejectionLogConfig, format_source
from thornshelf.admission.reputation import Reputation, ReputationConfig
from thornshelf.admission.reserved_connections import ReservedConnections, ReservedConnectionsConfig

FIXED = settings(derandomize=True, max_examples=80, deadline=None)


# Rates.


def test_a_rate_allows_its_burst_and_then_its_count() -> None:
    rate, arrival, admitted_at = Rate(3, 1_000_000, 2), 0, []
    for now in range(0, 2_000_001, 1000):
        if (new := next_arrival_time(rate, arrival, now)) is not None:
            arrival = new
            admitted_at.append(now)
    assert admitted_at[:4] == [0, 0 + 1000, 334_000, 667_000]
    assert len(admitted_at) == 8


@FIXED
@given(
    st.integers(1, 50),
    st.integers(1, 2_000_000),
    st.integers(1, 20),
    st.lists(st.integers(0, 500_000), max_size=100),
)
def test_no_window_exceeds_the_rate_and_the_burst(
    count: int, period: int, burst: int, pauses: list[int]
) -> None:
    rate, arrival, now, admitted_at = Rate(count, period, burst), 0, 0, list[int]()
    for pause in pauses:
        now += pause
        wait = wait_us(rate, arrival, now)
        new = next_arrival_time(rate, arrival, now)
        assert (new is None) == (wait > 0)
        if new is None:
            assert next_arrival_time(rate, arrival, now + wait) is not None
            assert next_arrival_time(rate, arrival, now + wait - 1) is None
        else:
            arrival = new
            admitted_at.append(now)
    for i, start in enumerate(admitted_at):
        for j in range(i, len(admitted_at)):
            assert (j - i + 1 - burst) * period <= (admitted_at[j] - start) * count


def test_a_clock_jump_earns_no_more_than_the_burst() -> None:
    rate = Rate(10, 1_000_000, 3)
    arrival = 0
    for _ in range(3):
        arrival = next_arrival_time(rate, arrival, 0) or 0
    assert next_arrival_time(rate, arrival, 0) is None
    assert not is_idle(rate, arrival, 0)
    jump, admitted_count = 10**13, 0
    while (new := next_arrival_time(rate, arrival, jump)) is not None:
        arrival, admitted_count = new, admitted_count + 1
    assert admitted_count == 3
    assert next_arrival_time(rate, arrival, 0) is None  # a clock that steps back earns nothing either
    with pytest.raises(ValueError):
        Rate(0, 1, 1)


# Prefixes.


def test_nested_prefixes_match_in_order_of_length() -> None:
    table = PrefixTable[str]()
    for text in ("0.0.0.0/0", "10.0.0.0/8", "10.1.0.0/16", "10.1.2.3/32", "fd00::/8", "fd00:1::/32"):
        table.insert(parse_prefix(text), text)
    assert list(table.matches(*parse_address("10.1.2.3"))) == [
        "0.0.0.0/0",
        "10.0.0.0/8",
        "10.1.0.0/16",
        "10.1.2.3/32",
    ]
    assert table.longest_match(*parse_address("10.2.0.1")) == "10.0.0.0/8"
    assert table.longest_match(*parse_address("fd00:1::9")) == "fd00:1::/32"
    assert len(table) == 6
    assert list(table.matches(*parse_address("fe80::1%eth0"))) == []
    assert parse_address("::ffff:10.1.2.3") == parse_address("10.1.2.3")
    for invalid in ("10.0.0.1/8", "10.0.0.0/33", "x"):
        with pytest.raises(ValueError):
            parse_prefix(invalid)


@FIXED
@given(
    st.integers(0, 2**32 - 1), st.lists(st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 32)), max_size=40)
)
def test_the_trie_matches_like_a_dict_for_each_length(seed: int, prefixes: list[tuple[int, int]]) -> None:
    trie, reference = PrefixTable[int](), PerLengthPrefixTable[int]()
    for number, (value, length) in enumerate(prefixes, 1):
        prefix = (4, value >> (32 - length), length)
        trie.insert(prefix, number)
        reference.insert(prefix, number)
    rng = random.Random(seed)
    for value in [entry[0] for entry in prefixes] + [rng.randrange(2**32) for _ in range(20)]:
        assert list(trie.matches(4, value)) == list(reference.matches(4, value))


# Heavy hitters, reputation and rejections.


@FIXED
@given(st.integers(1, 12), st.lists(st.integers(0, 30), max_size=300))
def test_space_saving_counts_stay_within_their_bounds(capacity: int, seen: list[int]) -> None:
    counter, exact = SpaceSavingCounter[int](capacity), Counter[int]()
    for key in seen:
        counter.add(key)
        exact[key] += 1
        assert len(counter) <= capacity
    for key, count in exact.items():
        if key in dict(counter.top(capacity)):
            assert (
                counter.lower_bound(key) <= count <= counter.upper_bound(key) <= count + len(seen) // capacity
            )
        else:
            assert count <= len(seen) // capacity


def test_many_sources_use_no_more_memory_than_the_capacity() -> None:
    counter = SpaceSavingCounter[int](256)
    for source in range(200_000):
        counter.add(source)
        if source % 10 == 0:
            counter.add(-1)
    assert len(counter) == 256
    assert counter.top(1)[0][0] == -1
    assert counter.lower_bound(-1) == 20_000
    for _ in range(20):
        counter.decay()
    assert len(counter) == 0
    assert counter.total == 0
    counter.add(5)
    assert counter.upper_bound(5) == 1


def test_a_reputation_is_earned_by_placements_and_decays() -> None:
    reputation = Reputation(ReputationConfig(known_after=4, half_life_us=100, max_sources=2))
    for _ in range(8):
        reputation.record_placement("hollis", 0)
    assert reputation.is_known("hollis", 99)
    assert reputation.is_known("hollis", 150)
    assert not reputation.is_known("hollis", 350)
    for number in range(100):
        reputation.record_placement(number, 400)  # inherited counts do not make a source known
        assert not reputation.is_known(number, 400)
    assert not reputation.is_known("hollis", 10**12)


def test_a_flood_is_summarised_once_an_interval() -> None:
    rejection_log, summaries = (
        RejectionLog(RejectionLogConfig(interval_us=100, top_sources=2, max_sources=8)),
        list[tuple[int, int]](),
    )
    due = None
    for now in range(0, 1000, 2):
        for source, count in (((4, 1), 5), ((4, 2), 2), ((4, 1000 + now), 1)):
            for _ in range(count):
                scheduled = rejection_log.record("connections", source, source == (4, 2), now)
                due = scheduled if scheduled is not None else due
        if due is not None and now >= due and (summary := rejection_log.take_summary(now)) is not None:
            due = None
            summaries.append((now, summary.counts["connections"]))
            assert len(summary.top_sources) <= 2
            assert summary.top_sources[0][0] == (4, 1)
    assert 9 <= len(summaries) <= 10
    assert all(later[0] - earlier[0] >= 100 for earlier, later in itertools.pairwise(summaries))
    assert rejection_log.take_summary(1000) is not None
    assert rejection_log.take_summary(1001) is None
    assert [format_source(address) for address in ((4, 0x0A010203), (6, 0xFD00000000000001), (0, 0), (0, 1))] == [
        "10.1.2.3", "fd00:0:0:1::/64", "unreadable", "others"
    ]  # fmt: skip


# Reserved connections and descriptors.


def test_unknown_sources_never_use_the_reserved_connections() -> None:
    connections = ReservedConnections(ReservedConnectionsConfig(capacity=10, reserved=4, floor=1))
    while connections.can_open(False, busy=connections.unknown_count):
        connections.record_open(False)
    assert connections.unknown_count == 6  # all are busy: they may use no reserved connection
    assert connections.can_open(True, 6)
    assert not connections.can_replace(6)
    while connections.can_open(False, busy=0):
        connections.record_open(False)
    assert connections.unknown_count == 9  # idle ones may use the reserved connections except for the floor
    for _ in range(1):
        connections.record_open(True)
    assert not connections.can_open(True, 0)
    assert connections.can_replace(0)
    with pytest.raises(ValueError):
        ReservedConnectionsConfig(5, 4, 5)


@FIXED
@given(st.lists(st.tuples(st.booleans(), st.booleans(), st.integers(0, 10)), max_size=100))
def test_a_known_source_always_gets_a_reserved_connection(steps: list[tuple[bool, bool, int]]) -> None:
    connections = ReservedConnections(ReservedConnectionsConfig(capacity=10, reserved=4, floor=2))
    busy = 0
    for known, opens, chance in steps:
        if opens and connections.can_open(known, busy):
            connections.record_open(known)
        elif not opens and (connections.known_count if known else connections.unknown_count - busy) > 0:
            connections.record_close(known)
        # Becoming busy must leave enough connections for the reservation.
        busy = min(busy, connections.unknown_count)
        if (
            chance < 3
            and connections.unknown_count > busy
            and connections.unknown_count + max(4, connections.known_count) <= 10
        ):
            busy += 1
        assert connections.open_count <= 10
        if connections.known_count < 4 and busy <= 6:
            assert connections.can_open(True, busy) or connections.can_replace(busy)


def test_each_kind_of_descriptor_keeps_its_floor() -> None:
    ledger = DescriptorLedger(
        DescriptorLedgerConfig(
            limit=20, baseline=5, floors={"nodes": 4, "changelog": 1, "spare": 1, "clients": 2}
        )
    )
    acquired = 0
    while ledger.acquire("clients"):
        acquired += 1
    assert acquired == 9
    assert ledger.rejected["clients"] == 1
    for _ in range(4):
        assert ledger.acquire("nodes")
    assert not ledger.acquire("nodes")
    assert ledger.acquire("changelog")
    assert ledger.acquire("spare")
    assert ledger.open_count == ledger.peak == 20
    assert ledger.reconfigure(DescriptorLedgerConfig(limit=15, baseline=5, floors={"nodes": 4})) == 5
    assert not ledger.acquire("clients")
    for _ in range(6):
        ledger.release("clients")
    assert ledger.acquire("clients")
    for floors in ({"x": 1}, {"nodes": 99}):
        with pytest.raises(ValueError):
            DescriptorLedgerConfig(20, 5, floors)


# Overload and fair queueing.


def test_overload_is_detected_when_waits_exceed_the_target_for_an_interval() -> None:
    overload = OverloadDetector(OverloadConfig(target_us=10, interval_us=100))
    assert not any(overload.record_wait(1000, now) for now in range(0, 99))  # shorter than an interval
    shed_at = [now for now in range(100, 1000) if overload.record_wait(1000, now)]
    assert shed_at[:3] == [100, 200, 270]
    assert overload.is_overloaded
    assert not overload.record_wait(9, 1000)
    assert not overload.is_overloaded
    assert not any(overload.record_wait(1000, now) for now in range(1001, 1100))


CONFIG = FairQueueConfig(
    weights={"hollis-county": 0.72, "pruett-county": 0.28},
    quotas={"hollis-county": Rate(10, 1_000_000, 72), "pruett-county": Rate(4, 1_000_000, 28)},
    batch_size=1,
    min_remaining_us=10,
    overload=OverloadConfig(1_000, 10_000),
)


def test_tenants_are_served_by_weight_and_requests_beyond_a_quota_last() -> None:
    queue = FairQueue[str](CONFIG)
    for number in range(100):
        queue.put(f"h{number}", 0, 10**9 + number, "hollis-county", 0)
        queue.put(f"p{number}", 0, 10**9 + number, "pruett-county", 0)
    order = [queue.pop_batch(0)[0] for _ in range(200)]
    first = Counter(item[0] for item in order[:100])
    assert first == {"h": 72, "p": 28}  # requests within the quotas come first, in proportion to the weights
    assert 60 <= Counter(item[0] for item in order[:50])["h"] * 2 <= 80
    assert order[100][1:] in ("72", "28")
    assert not queue


def test_requests_of_a_tenant_are_ordered_by_priority_and_deadline() -> None:
    queue = FairQueue[str](CONFIG)
    for name, priority, deadline in (("late", 0, 900), ("soon", 0, 500), ("ledger", 1, 950)):
        queue.put(name, priority, deadline, "hollis-county", 0)
    ticket = queue.put("cancelled", 1, 100, "hollis-county", 0)
    queue.put("unassigned", 1, 800, "nowhere-county", 0)
    queue.remove(ticket)
    order = [queue.pop_batch(0)[0] for _ in range(4)]
    assert [item for item in order if item != "unassigned"] == ["ledger", "soon", "late"]
    assert order[-1] == "unassigned"


def test_an_idle_tenant_earns_no_credit() -> None:
    queue = FairQueue[str](CONFIG)
    for _ in range(60):
        queue.put("h", 0, 10**9, "hollis-county", 0)
        queue.pop_batch(0)
    for _ in range(20):
        queue.put("h", 0, 10**9, "hollis-county", 10**7)
        queue.put("p", 0, 10**9, "pruett-county", 10**7)
    order = "".join(queue.pop_batch(10**7)[0] for _ in range(20))
    assert 4 <= order.count("p") <= 8  # its weight, without compensation for its idle time


def test_expired_and_shed_requests_are_returned() -> None:
    queue = FairQueue[str](CONFIG)
    queue.put("short", 0, 15, "hollis-county", 0)
    assert queue.pop_expired(10) == ["short"]
    for number in range(120):
        queue.put(f"h{number}", 0, 10**9 + number, "hollis-county", 0)
    shed = []
    for step in range(40):
        now = 2_000 + step * 2_000
        queue.pop_batch(now)
        shed += queue.pop_expired(now)
    assert queue.shed_count == len(shed) > 2
    assert all(int(item[1:]) >= 72 for item in shed)
    assert shed[0] == "h119"
    short_queue = FairQueue[str](FairQueueConfig(max_waiting=2))
    for name, deadline in (("a", 10**8), ("b", 3 * 10**8), ("c", 2 * 10**8)):
        short_queue.put(name, 0, deadline, None, 0)
    assert short_queue.pop_expired(0) == ["b"]
    assert len(short_queue) == 2
