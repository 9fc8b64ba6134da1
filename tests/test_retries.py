"""Retry budgets, spread waits and the order of set-ups, with time as a value."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from thornshelf.retries.budget import RetryBudget, RetryBudgetConfig
from thornshelf.retries.deadline_queue import DeadlineQueue, DeadlineQueueConfig
from thornshelf.retries.jitter import JitterConfig, RetryAfterJitter

SMALL = RetryBudgetConfig(earned_per_attempt_milli=200, earned_per_s_milli=0, capacity_milli=3_000)
WIDE = RetryBudgetConfig(earned_per_attempt_milli=200, earned_per_s_milli=0, capacity_milli=1_000_000)


def test_a_service_has_its_share_of_further_attempts_and_no_more() -> None:
    budget = RetryBudget(SMALL, WIDE)
    assert [budget.try_spend(7, 0) for _ in range(4)] == [True, True, True, False]
    assert budget.try_spend(8, 0)  # another service has its own
    for _ in range(5):
        budget.record_first_attempt(7, 0)
    assert [budget.try_spend(7, 0) for _ in range(2)] == [True, False] and budget.denied == 2


def test_the_fleets_budget_holds_for_all_services_together() -> None:
    budget = RetryBudget(WIDE, SMALL)
    assert sum(budget.try_spend(service, 0) for service in range(100)) == 3


def test_a_higher_priority_goes_into_bounded_debt() -> None:
    budget = RetryBudget(SMALL, WIDE)
    assert sum(budget.try_spend(7, 0, priority=1) for _ in range(100)) == 6
    assert not budget.try_spend(7, 0)


def test_time_earns_the_floor_and_a_jump_earns_no_burst() -> None:
    budget = RetryBudget(RetryBudgetConfig(0, 500, 2_000), WIDE)
    while budget.try_spend(7, 0):
        pass
    assert not budget.try_spend(7, 1_999_999) and budget.try_spend(7, 2_000_000)
    assert not budget.try_spend(7, 0)  # a clock that steps back earns nothing
    assert sum(budget.try_spend(7, 10**12) for _ in range(10)) == 2


def test_services_are_bounded() -> None:
    budget = RetryBudget(SMALL, WIDE, max_services=10)
    for service in range(1000):
        budget.record_first_attempt(service, 0)
    assert len(budget) == 10


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 400_000), st.booleans()), max_size=200))
def test_no_more_further_attempts_than_were_earned(steps: list[tuple[int, int, bool]]) -> None:
    terms = RetryBudgetConfig(earned_per_attempt_milli=200, earned_per_s_milli=1_000, capacity_milli=5_000)
    budget, now, firsts, further = RetryBudget(terms, WIDE), 0, [0] * 4, [0] * 4
    for service, passed, first in steps:
        now += passed
        if first:
            budget.record_first_attempt(service, now)
            firsts[service] += 1
        else:
            further[service] += budget.try_spend(service, now)
    for service in range(4):
        assert further[service] <= 5 + firsts[service] * 0.2 + now / 1e6


def test_waits_spread_a_crowd_over_the_longest_wait() -> None:
    spread = RetryAfterJitter(JitterConfig(returns_per_s=100, max_wait_us=3_000_000))
    waits = [spread.retry_after_us(1_000_000, 0) for _ in range(200)]
    assert min(waits) == 1_000_000 and max(waits) <= 3_000_000 and len(set(waits)) == 200
    most = max(sum(a <= one < a + 100_000 for one in waits) for a in range(0, 3_000_000, 50_000))
    assert most <= 11
    crowd = [spread.retry_after_us(1_000_000, 0) for _ in range(1000)]
    assert all(1_000_000 <= one <= 3_000_000 for one in crowd)
    assert spread.retry_after_us(1_000_000, 0, priority=1) == 1_000_000
    assert spread.retry_after_us(5_000_000, 0) == 3_000_000
    later = 20_000_000
    assert spread.retry_after_us(1_000_000, later) == 1_000_000  # a quiet time leaves no trace


def test_set_ups_are_taken_by_priority_and_then_by_what_time_is_left() -> None:
    queue = DeadlineQueue[str](DeadlineQueueConfig(batch_size=2, min_remaining_us=10, max_waiting=3))
    queue.put("late", 0, 900)
    queue.put("soon", 0, 500)
    gone = queue.put("given up", 1, 100)
    queue.put("ledger", 1, 800)
    queue.remove(gone)
    assert queue.pop_batch() == ["ledger", "soon"] and len(queue) == 1
    assert queue.pop_batch() == ["late"] and queue.pop_batch() == []


def test_what_can_not_start_in_time_is_given_back_at_once() -> None:
    queue = DeadlineQueue[int](DeadlineQueueConfig(batch_size=1, min_remaining_us=10, max_waiting=3))
    for number, deadline in enumerate((100, 300, 200)):
        queue.put(number, 0, deadline)
    assert queue.pop_expired(80) == [] and queue.pop_expired(95) == [0]
    assert queue.pop_batch() == [2] and queue.pop_expired(1000) == [1] and not queue


def test_beyond_the_most_the_last_of_the_order_goes() -> None:
    queue = DeadlineQueue[str](DeadlineQueueConfig(batch_size=9, min_remaining_us=0, max_waiting=2))
    for name, priority, deadline in (("a", 1, 900), ("b", 0, 100), ("c", 0, 200), ("d", 0, 300)):
        queue.put(name, priority, deadline)
    assert queue.pop_expired(0) == ["d", "c"] and queue.pop_batch() == ["a", "b"]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 1000), st.booleans()), max_size=150))
def test_the_queue_against_a_sorted_list(steps: list[tuple[int, int, bool]]) -> None:
    queue, plain = (
        DeadlineQueue[int](DeadlineQueueConfig(batch_size=3, min_remaining_us=0)),
        dict[int, tuple[int, int, int]](),
    )
    for number, (priority, deadline, back) in enumerate(steps):
        ticket = queue.put(number, priority, deadline)
        plain[number] = (-priority, deadline, ticket)
        if back:
            queue.remove(ticket)
            del plain[number]
        if number % 4 == 3:
            expected = sorted(plain, key=plain.__getitem__)[:3]
            assert queue.pop_batch() == expected
            for one in expected:
                del plain[one]
    assert len(queue) == len(plain)
