"""The door's pure parts: rates, prefixes, heavy sources, the reserve, descriptors, pressure, shares, verdicts."""

from __future__ import annotations

import ipaddress
import itertools
import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornshelf.admission.controller import (
    AdmissionConfig,
    AdmissionController,
    ConnectionPermit,
    Limits,
    PrefixRule,
)
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


# rates


def test_a_rate_gives_its_burst_and_then_its_count() -> None:
    rate, tat, given_at = Rate(3, 1_000_000, 2), 0, []
    for now in range(0, 2_000_001, 1000):
        if (new := next_arrival_time(rate, tat, now)) is not None:
            tat = new
            given_at.append(now)
    assert given_at[:4] == [0, 0 + 1000, 334_000, 667_000] and len(given_at) == 8


@FIXED
@given(
    st.integers(1, 50),
    st.integers(1, 2_000_000),
    st.integers(1, 20),
    st.lists(st.integers(0, 500_000), max_size=100),
)
def test_no_window_gets_more_than_the_rate_and_the_burst(
    count: int, period: int, burst: int, gaps: list[int]
) -> None:
    rate, tat, now, taken = Rate(count, period, burst), 0, 0, list[int]()
    for gap in gaps:
        now += gap
        wait = wait_us(rate, tat, now)
        new = next_arrival_time(rate, tat, now)
        assert (new is None) == (wait > 0)
        if new is None:
            assert (
                next_arrival_time(rate, tat, now + wait) is not None
                and next_arrival_time(rate, tat, now + wait - 1) is None
            )
        else:
            tat = new
            taken.append(now)
    for i, begin in enumerate(taken):
        for j in range(i, len(taken)):
            assert (j - i + 1 - burst) * period <= (taken[j] - begin) * count


def test_a_clock_that_jumps_gives_no_burst_of_credit() -> None:
    rate = Rate(10, 1_000_000, 3)
    tat = 0
    for _ in range(3):
        tat = next_arrival_time(rate, tat, 0) or 0
    assert next_arrival_time(rate, tat, 0) is None and not is_idle(rate, tat, 0)
    jump, got = 10**13, 0
    while (new := next_arrival_time(rate, tat, jump)) is not None:
        tat, got = new, got + 1
    assert got == 3
    assert next_arrival_time(rate, tat, 0) is None  # nor does one that steps back
    with pytest.raises(ValueError):
        Rate(0, 1, 1)


# prefixes


def test_prefixes_nest_and_the_longest_is_last() -> None:
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
    assert table.longest_match(*parse_address("fd00:1::9")) == "fd00:1::/32" and len(table) == 6
    assert list(table.matches(*parse_address("fe80::1%eth0"))) == []
    assert parse_address("::ffff:10.1.2.3") == parse_address("10.1.2.3")
    for bad in ("10.0.0.1/8", "10.0.0.0/33", "x"):
        with pytest.raises(ValueError):
            parse_prefix(bad)


@FIXED
@given(
    st.integers(0, 2**32 - 1), st.lists(st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 32)), max_size=40)
)
def test_the_trie_against_a_dict_a_length(seed: int, prefixes: list[tuple[int, int]]) -> None:
    trie, plain = PrefixTable[int](), PerLengthPrefixTable[int]()
    for number, (value, length) in enumerate(prefixes, 1):
        prefix = (4, value >> (32 - length), length)
        trie.insert(prefix, number)
        plain.insert(prefix, number)
    rng = random.Random(seed)
    for value in [one[0] for one in prefixes] + [rng.randrange(2**32) for _ in range(20)]:
        assert list(trie.matches(4, value)) == list(plain.matches(4, value))


# heavy sources and conduct


@FIXED
@given(st.integers(1, 12), st.lists(st.integers(0, 30), max_size=300))
def test_heavy_sources_are_never_counted_too_low(size: int, seen: list[int]) -> None:
    sketch, plain = SpaceSavingCounter[int](size), Counter[int]()
    for one in seen:
        sketch.add(one)
        plain[one] += 1
        assert len(sketch) <= size
    for one, count in plain.items():
        if one in dict(sketch.top(size)):
            assert sketch.lower_bound(one) <= count <= sketch.upper_bound(one) <= count + len(seen) // size
        else:
            assert count <= len(seen) // size


def test_a_million_sources_hold_no_more_memory_than_a_few() -> None:
    sketch = SpaceSavingCounter[int](256)
    for one in range(200_000):
        sketch.add(one)
        if one % 10 == 0:
            sketch.add(-1)
    assert len(sketch) == 256 and sketch.top(1)[0][0] == -1 and sketch.lower_bound(-1) == 20_000
    for _ in range(20):
        sketch.decay()
    assert len(sketch) == 0 and sketch.total == 0
    sketch.add(5)
    assert sketch.upper_bound(5) == 1


def test_known_by_conduct_and_forgotten() -> None:
    conduct = Reputation(ReputationConfig(known_after=4, half_life_us=100, max_sources=2))
    for _ in range(8):
        conduct.record_placement("hollis", 0)
    assert (
        conduct.is_known("hollis", 99)
        and conduct.is_known("hollis", 150)
        and not conduct.is_known("hollis", 350)
    )
    for number in range(100):
        conduct.record_placement(number, 400)  # a crowd that pushes others out makes nobody known
        assert not conduct.is_known(number, 400)
    assert not conduct.is_known("hollis", 10**12)


def test_a_flood_is_told_in_one_line_a_second() -> None:
    watch, told = (
        RejectionLog(RejectionLogConfig(interval_us=100, top_sources=2, max_sources=8)),
        list[tuple[int, int]](),
    )
    due = None
    for now in range(0, 1000, 2):
        for source, count in (((4, 1), 5), ((4, 2), 2), ((4, 1000 + now), 1)):
            for _ in range(count):
                at = watch.record("connections", source, source == (4, 2), now)
                due = at if at is not None else due
        if due is not None and now >= due and (found := watch.take_summary(now)) is not None:
            due = None
            told.append((now, found.counts["connections"]))
            assert len(found.top_sources) <= 2 and found.top_sources[0][0] == (4, 1)
    assert 9 <= len(told) <= 10 and all(b[0] - a[0] >= 100 for a, b in itertools.pairwise(told))
    assert watch.take_summary(1000) is not None and watch.take_summary(1001) is None
    assert [format_source(one) for one in ((4, 0x0A010203), (6, 0xFD00000000000001), (0, 0), (0, 1))] == [
        "10.1.2.3", "fd00:0:0:1::/64", "unreadable", "others"
    ]  # fmt: skip


# reserve and descriptors


def test_unknown_sources_never_use_what_is_kept() -> None:
    reserve = ReservedConnections(ReservedConnectionsConfig(capacity=10, reserved=4, floor=1))
    while reserve.can_open(False, busy=reserve.unknown_count):
        reserve.record_open(False)
    assert reserve.unknown_count == 6  # all busy: none of them could be closed, and nothing is lent
    assert reserve.can_open(True, 6) and not reserve.can_replace(6)
    while reserve.can_open(False, busy=0):
        reserve.record_open(False)
    assert reserve.unknown_count == 9  # idle ones may stand on the reserve, but for the floor
    for _ in range(1):
        reserve.record_open(True)
    assert not reserve.can_open(True, 0) and reserve.can_replace(0)
    with pytest.raises(ValueError):
        ReservedConnectionsConfig(5, 4, 5)


@FIXED
@given(st.lists(st.tuples(st.booleans(), st.booleans(), st.integers(0, 10)), max_size=100))
def test_a_known_source_always_finds_its_reserve(steps: list[tuple[bool, bool, int]]) -> None:
    reserve = ReservedConnections(ReservedConnectionsConfig(capacity=10, reserved=4, floor=2))
    busy = 0
    for known, opens, share in steps:
        if opens and reserve.can_open(known, busy):
            reserve.record_open(known)
        elif not opens and (reserve.known_count if known else reserve.unknown_count - busy) > 0:
            reserve.record_close(known)
        # an unknown connection becomes busy only where that leaves the reserve what it needs
        busy = min(busy, reserve.unknown_count)
        if (
            share < 3
            and reserve.unknown_count > busy
            and reserve.unknown_count + max(4, reserve.known_count) <= 10
        ):
            busy += 1
        assert reserve.open_count <= 10
        if reserve.known_count < 4 and busy <= 6:
            assert reserve.can_open(True, busy) or reserve.can_replace(busy)


def test_each_kind_of_descriptor_has_its_floor() -> None:
    ledger = DescriptorLedger(
        DescriptorLedgerConfig(
            limit=20, baseline=5, floors={"nodes": 4, "changelog": 1, "spare": 1, "clients": 2}
        )
    )
    taken = 0
    while ledger.acquire("clients"):
        taken += 1
    assert taken == 9 and ledger.rejected["clients"] == 1
    for _ in range(4):
        assert ledger.acquire("nodes")
    assert not ledger.acquire("nodes") and ledger.acquire("changelog") and ledger.acquire("spare")
    assert ledger.open_count == ledger.peak == 20
    assert ledger.reconfigure(
        DescriptorLedgerConfig(limit=15, baseline=5, floors={"nodes": 4})
    ) == 5 and not ledger.acquire("clients")
    for _ in range(6):
        ledger.release("clients")
    assert ledger.acquire("clients")
    for floors in ({"x": 1}, {"nodes": 99}):
        with pytest.raises(ValueError):
            DescriptorLedgerConfig(20, 5, floors)


# pressure and shares


def test_pressure_is_a_wait_that_lasts() -> None:
    pressure = OverloadDetector(OverloadConfig(target_us=10, interval_us=100))
    assert not any(pressure.record_wait(1000, now) for now in range(0, 99))  # a moment is none
    turned = [now for now in range(100, 1000) if pressure.record_wait(1000, now)]
    assert turned[:3] == [100, 200, 270] and pressure.is_overloaded  # ever faster
    assert not pressure.record_wait(9, 1000) and not pressure.is_overloaded
    assert not any(pressure.record_wait(1000, now) for now in range(1001, 1100))


TERMS = FairQueueConfig(
    weights={"hollis-county": 0.72, "pruett-county": 0.28},
    quotas={"hollis-county": Rate(10, 1_000_000, 72), "pruett-county": Rate(4, 1_000_000, 28)},
    batch_size=1,
    min_remaining_us=10,
    overload=OverloadConfig(1_000, 10_000),
)


def test_counties_are_served_by_share_and_what_is_beyond_comes_last() -> None:
    queue = FairQueue[str](TERMS)
    for number in range(100):
        queue.put(f"h{number}", 0, 10**9 + number, "hollis-county", 0)
        queue.put(f"p{number}", 0, 10**9 + number, "pruett-county", 0)
    order = [queue.pop_batch(0)[0] for _ in range(200)]
    first = Counter(one[0] for one in order[:100])
    assert first == {"h": 72, "p": 28}  # all within the shares, in their proportion from the start
    assert 60 <= Counter(one[0] for one in order[:50])["h"] * 2 <= 80
    assert order[100][1:] in ("72", "28") and not queue


def test_within_a_county_priority_and_then_the_deadline() -> None:
    queue = FairQueue[str](TERMS)
    for name, priority, deadline in (("late", 0, 900), ("soon", 0, 500), ("ledger", 1, 950)):
        queue.put(name, priority, deadline, "hollis-county", 0)
    ticket = queue.put("given up", 1, 100, "hollis-county", 0)
    queue.put("stranger", 1, 800, "nowhere-county", 0)
    queue.remove(ticket)
    order = [queue.pop_batch(0)[0] for _ in range(4)]
    assert [one for one in order if one != "stranger"] == ["ledger", "soon", "late"] and order[
        -1
    ] == "stranger"


def test_an_idle_county_saves_up_nothing() -> None:
    queue = FairQueue[str](TERMS)
    for _ in range(60):
        queue.put("h", 0, 10**9, "hollis-county", 0)
        queue.pop_batch(0)
    for _ in range(20):
        queue.put("h", 0, 10**9, "hollis-county", 10**7)
        queue.put("p", 0, 10**9, "pruett-county", 10**7)
    order = "".join(queue.pop_batch(10**7)[0] for _ in range(20))
    assert 4 <= order.count("p") <= 8  # not all at once for what it did not ask before


def test_what_can_not_start_and_what_is_beyond_a_share_under_pressure_is_given_back() -> None:
    queue = FairQueue[str](TERMS)
    queue.put("short", 0, 15, "hollis-county", 0)
    assert queue.pop_expired(10) == ["short"]
    for number in range(120):
        queue.put(f"h{number}", 0, 10**9 + number, "hollis-county", 0)
    given_back = []
    for step in range(40):
        now = 2_000 + step * 2_000
        queue.pop_batch(now)
        given_back += queue.pop_expired(now)
    assert queue.shed_count == len(given_back) > 2
    assert all(int(one[1:]) >= 72 for one in given_back) and given_back[0] == "h119"
    small = FairQueue[str](FairQueueConfig(max_waiting=2))
    for name, deadline in (("a", 10**8), ("b", 3 * 10**8), ("c", 2 * 10**8)):
        small.put(name, 0, deadline, None, 0)
    assert small.pop_expired(0) == ["b"] and len(small) == 2


# verdicts


def door(**changes: object) -> AdmissionController:
    terms: dict[str, object] = {
        "reserved_connections": ReservedConnectionsConfig(20, 6, 2),
        "rules": (
            PrefixRule("wide", parse_prefix("10.0.0.0/8"), prefix_limits=Limits(max_connections=12)),
            PrefixRule("hollis", parse_prefix("10.1.0.0/16"), known=True),
            PrefixRule(
                "block",
                parse_prefix("10.9.0.0/16"),
                prefix_limits=Limits(max_connections=4),
                source_limits=Limits(max_connections=9),
            ),
        ),
        "source_limits": Limits(
            max_connections=5, connection_rate=Rate(10, 1_000_000, 10), request_rate=Rate(5, 1_000_000, 5)
        ),
    }
    return AdmissionController(AdmissionConfig(**(terms | changes)))  # type: ignore[arg-type]


def admitted(
    one: AdmissionController, address: str, count: int, now: int = 0, busy: int | None = None
) -> list[ConnectionPermit]:
    found = []
    for _ in range(count):
        verdict, given = one.admit_connection(
            address, now, one.reserved_connections.unknown_count if busy is None else busy
        )
        if given is not None:
            assert verdict.admitted
            found.append(given)
    return found


def test_a_flood_from_one_address_leaves_others_their_place() -> None:
    one = door()
    assert len(admitted(one, "192.0.2.1", 100)) == 5 and one.counts["refused"] == 95
    verdict, given = one.admit_connection("192.0.2.1", 0, 5)
    assert (
        not verdict.admitted
        and given is None
        and "its address" in verdict.reason
        and verdict.retry_after_us > 0
    )
    for number in range(2, 40):
        admitted(one, f"192.0.2.{number}", 5)
    assert one.reserved_connections.unknown_count == 14  # the reserve is left
    assert len(admitted(one, "10.1.0.1", 5)) == 5


def test_limits_nest_and_a_refusal_uses_up_nothing() -> None:
    one = door()
    given = admitted(one, "10.9.0.1", 9)
    assert len(given) == 4  # of the block together, though each may have nine
    assert (
        len(admitted(one, "10.9.0.2", 3)) == 0
        and one._sources[4, int(ipaddress.ip_address("10.9.0.2"))].open_count == 0
    )
    assert len(admitted(one, "10.8.0.1", 9)) == 5
    assert len(admitted(one, "10.1.0.1", 9)) == 3  # twelve of the wide prefix together
    for one_given in given:
        one.release(one_given)
        one.release(one_given)  # twice is once
    assert len(admitted(one, "10.9.0.2", 3)) == 3 and one.reserved_connections.open_count == 11


def test_a_flood_from_many_addresses_of_one_prefix() -> None:
    one = door()
    taken = sum(len(admitted(one, f"10.9.{number // 250}.{number % 250 + 1}", 2)) for number in range(200))
    assert taken == 4


def test_rates_of_connections_and_set_ups_tell_when_to_come_again() -> None:
    one = door(source_limits=Limits(connection_rate=Rate(2, 1_000_000, 2), request_rate=Rate(1, 500_000, 1)))
    first, _ = admitted(one, "192.0.2.1", 2)
    verdict, given = one.admit_connection("192.0.2.1", 0, 0)
    assert given is None and verdict.retry_after_us == 500_000
    assert one.admit_connection("192.0.2.1", 500_000, 0)[0].admitted
    assert one.admit_request(first, 0).admitted and one.admit_request(first, 0).retry_after_us == 500_000
    assert one.admit_request(first, 500_000).admitted


def test_unknown_sources_share_a_rate_that_known_ones_do_not_use() -> None:
    one = door(unknown_request_rate=Rate(3, 1_000_000, 3), source_limits=Limits())
    strangers = [admitted(one, f"192.0.2.{number}", 1)[0] for number in range(1, 9)]
    assert sum(one.admit_request(each, 0).admitted for each in strangers) == 3
    county = admitted(one, "10.1.0.1", 1)[0]
    assert all(one.admit_request(county, 0).admitted for _ in range(50))


def test_a_county_that_moved_is_known_again_by_its_conduct() -> None:
    one = door(unknown_request_rate=Rate(3, 1_000_000, 3), source_limits=Limits())
    given = admitted(one, "198.51.100.7", 1)[0]
    assert not given.known and one.reserved_connections.unknown_count == 1
    for _ in range(4):
        one.record_placement(given, 0)
    assert all(one.admit_request(given, 0).admitted for _ in range(10)) and given.known
    assert (one.reserved_connections.known_count, one.reserved_connections.unknown_count) == (1, 0)
    one.release(given)
    assert one.reserved_connections.open_count == 0 and one.is_known(one.source_of("198.51.100.7"), 0)


def test_a_known_county_that_floods_is_bounded_by_its_own_limits() -> None:
    rules = (
        PrefixRule(
            "hollis", parse_prefix("10.1.0.0/16"), known=True, prefix_limits=Limits(max_connections=8)
        ),
    )
    one = door(rules=rules, source_limits=Limits())
    assert len(admitted(one, "10.1.0.1", 50)) == 8 and one.counts["refused known"] == 42
    assert len(admitted(one, "192.0.2.1", 50)) > 0


def test_a_known_county_takes_the_place_of_an_idle_stranger() -> None:
    one = door(source_limits=Limits(), rules=(PrefixRule("hollis", parse_prefix("10.1.0.0/16"), known=True),))
    strangers = admitted(one, "192.0.2.1", 50, busy=0)
    assert len(strangers) == 18  # all idle: the reserve is lent but for its floor
    assert len(admitted(one, "10.1.0.1", 2, busy=0)) == 2
    verdict, given = one.admit_connection("10.1.0.1", 0, 0)
    assert verdict.admitted and verdict.replaces_idle and given is not None
    assert not one.admit_connection("10.1.0.1", 0, one.reserved_connections.unknown_count)[
        0
    ].admitted  # where none could go


def test_two_counties_behind_one_address_share_its_limits() -> None:
    one = door()
    assert len(admitted(one, "192.0.2.1", 3)) == 3 and len(admitted(one, "192.0.2.1", 3)) == 2


def test_addresses_that_can_not_be_read_and_ipv6() -> None:
    one = door()
    assert len(admitted(one, "no address", 9)) == 5 and len(admitted(one, "", 9)) == 0
    assert one.source_of("fe80::1%eth0") == one.source_of("fe80::2%eth1") != one.source_of("fe80:0:0:1::1")
    assert one.source_of("::ffff:192.0.2.1") == one.source_of("192.0.2.1")


def test_rules_read_again_drop_nobody() -> None:
    one = door()
    given = admitted(one, "10.9.0.1", 4)
    one.reconfigure(
        AdmissionConfig(
            ReservedConnectionsConfig(3, 1, 1),
            (PrefixRule("block", parse_prefix("10.9.0.0/16"), prefix_limits=Limits(2)),),
        )
    )
    assert one.reserved_connections.open_count == 4 and not one.admit_connection("10.9.0.1", 0, 0)[0].admitted
    for each in given[:3]:
        one.release(each)
    assert one.admit_connection("10.9.0.1", 0, 0)[0].admitted and one.reserved_connections.open_count == 2


def test_what_is_kept_of_sources_is_bounded() -> None:
    one = door(max_sources=50, rules=(), reserved_connections=ReservedConnectionsConfig(10_000, 0, 0))
    kept = [each for number in range(3000) for each in admitted(one, str(ipaddress.ip_address(number)), 1)]
    assert len(one) <= 51
    assert len(kept) >= 50  # the others share one state, with its limits
    for each in kept:
        one.release(each)
    for number in range(5000, 5200):
        for each in admitted(one, str(ipaddress.ip_address(number)), 1, now=10**9):
            one.release(each)
    assert len(one) <= 51 and one.reserved_connections.open_count == 0
