"""Retry budgets, Retry-After jitter and the deadline queue, with times passed as values."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornshelf.retries.budget import RetryBudget, RetryBudgetConfig
from thornshelf.retries.deadline_queue import DeadlineQueue, DeadlineQueueConfig
from thornshelf.retries.jitter import JitterConfig, RetryAfterJitter

SERVICES = 4
SMALL_BUDGET = RetryBudgetConfig(earned_per_attempt_milli=200, earned_per_s_milli=0, capacity_milli=3_000)
LARGE_BUDGET = RetryBudgetConfig(earned_per_attempt_milli=200, earned_per_s_milli=0, capacity_milli=1_000_000)
DETERMINISTIC = settings(derandomize=True, max_examples=100, deadline=None)


@pytest.fixture
def budget() -> RetryBudget:
    """A small budget per service, and a fleet budget that is never exhausted."""
    return RetryBudget(SMALL_BUDGET, LARGE_BUDGET)


def test_retries_of_a_service_are_limited_to_a_fraction_of_first_attempts(budget: RetryBudget) -> None:
    assert [budget.try_spend(7, 0) for _ in range(4)] == [True, True, True, False]
    assert budget.try_spend(8, 0)  # another service has its own budget
    for _ in range(5):
        budget.record_first_attempt(7, 0)
    assert [budget.try_spend(7, 0) for _ in range(2)] == [True, False]
    assert budget.denied == 2


def test_fleet_budget_limits_all_services_together() -> None:
    budget = RetryBudget(LARGE_BUDGET, SMALL_BUDGET)
    assert sum(budget.try_spend(service, 0) for service in range(100)) == 3


def test_a_higher_priority_may_overdraw_by_the_capacity(budget: RetryBudget) -> None:
    assert sum(budget.try_spend(7, 0, priority=1) for _ in range(100)) == 6
    assert not budget.try_spend(7, 0)


def test_a_clock_jump_earns_no_more_than_the_capacity() -> None:
    budget = RetryBudget(RetryBudgetConfig(0, 500, 2_000), LARGE_BUDGET)
    while budget.try_spend(7, 0):
        pass
    assert not budget.try_spend(7, 1_999_999)
    assert budget.try_spend(7, 2_000_000)
    assert not budget.try_spend(7, 0)  # a clock that steps back earns nothing
    assert sum(budget.try_spend(7, 10**12) for _ in range(10)) == 2


def test_the_number_of_services_is_bounded() -> None:
    budget = RetryBudget(SMALL_BUDGET, LARGE_BUDGET, max_services=10)
    for service in range(1000):
        budget.record_first_attempt(service, 0)
    assert len(budget) == 10


@DETERMINISTIC
@given(
    st.lists(st.tuples(st.integers(0, SERVICES - 1), st.integers(0, 400_000), st.booleans()), max_size=200)
)
def test_no_more_retries_than_were_earned(steps: list[tuple[int, int, bool]]) -> None:
    config = RetryBudgetConfig(earned_per_attempt_milli=200, earned_per_s_milli=1_000, capacity_milli=5_000)
    budget = RetryBudget(config, LARGE_BUDGET)
    now_us = 0
    first_attempts = [0] * SERVICES
    retries = [0] * SERVICES
    for service, elapsed_us, is_first in steps:
        now_us += elapsed_us
        if is_first:
            budget.record_first_attempt(service, now_us)
            first_attempts[service] += 1
        else:
            retries[service] += budget.try_spend(service, now_us)
    for service in range(SERVICES):
        assert retries[service] <= 5 + first_attempts[service] * 0.2 + now_us / 1e6


def test_waits_of_simultaneous_rejections_are_spread_up_to_the_longest_wait() -> None:
    jitter = RetryAfterJitter(JitterConfig(returns_per_s=100, max_wait_us=3_000_000))
    waits = [jitter.retry_after_us(1_000_000, 0) for _ in range(200)]
    assert min(waits) == 1_000_000
    assert max(waits) <= 3_000_000
    assert len(set(waits)) == 200
    most_per_window = max(
        sum(start <= wait < start + 100_000 for wait in waits) for start in range(0, 3_000_000, 50_000)
    )
    assert most_per_window <= 11
    crowd = [jitter.retry_after_us(1_000_000, 0) for _ in range(1000)]
    assert all(1_000_000 <= wait <= 3_000_000 for wait in crowd)
    assert jitter.retry_after_us(1_000_000, 0, priority=1) == 1_000_000
    assert jitter.retry_after_us(5_000_000, 0) == 3_000_000
    later_us = 20_000_000
    assert jitter.retry_after_us(1_000_000, later_us) == 1_000_000  # all assigned slots have passed


def test_requests_are_taken_by_priority_and_then_by_deadline() -> None:
    queue = DeadlineQueue[str](DeadlineQueueConfig(batch_size=2, min_remaining_us=10, max_waiting=3))
    queue.put("late", 0, 900)
    queue.put("soon", 0, 500)
    cancelled = queue.put("cancelled", 1, 100)
    queue.put("ledger", 1, 800)
    queue.remove(cancelled)
    assert queue.pop_batch() == ["ledger", "soon"]
    assert len(queue) == 1
    assert queue.pop_batch() == ["late"]
    assert queue.pop_batch() == []


def test_a_request_that_cannot_start_in_time_expires_at_once() -> None:
    queue = DeadlineQueue[int](DeadlineQueueConfig(batch_size=1, min_remaining_us=10, max_waiting=3))
    for number, deadline_us in enumerate((100, 300, 200)):
        queue.put(number, 0, deadline_us)
    assert queue.pop_expired(80) == []
    assert queue.pop_expired(95) == [0]
    assert queue.pop_batch() == [2]
    assert queue.pop_expired(1000) == [1]
    assert not queue


def test_beyond_the_maximum_the_last_requests_in_order_expire() -> None:
    queue = DeadlineQueue[str](DeadlineQueueConfig(batch_size=9, min_remaining_us=0, max_waiting=2))
    for name, priority, deadline_us in (("a", 1, 900), ("b", 0, 100), ("c", 0, 200), ("d", 0, 300)):
        queue.put(name, priority, deadline_us)
    assert queue.pop_expired(0) == ["d", "c"]
    assert queue.pop_batch() == ["a", "b"]


@DETERMINISTIC
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 1000), st.booleans()), max_size=150))
def test_the_queue_order_matches_a_sorted_list(steps: list[tuple[int, int, bool]]) -> None:
    queue = DeadlineQueue[int](DeadlineQueueConfig(batch_size=3, min_remaining_us=0))
    model = dict[int, tuple[int, int, int]]()
    for number, (priority, deadline_us, removed) in enumerate(steps):
        ticket = queue.put(number, priority, deadline_us)
        model[number] = (-priority, deadline_us, ticket)
        if removed:
            queue.remove(ticket)
            del model[number]
        if number % 4 == 3:
            expected = sorted(model, key=model.__getitem__)[:3]
            assert queue.pop_batch() == expected
            for taken in expected:
                del model[taken]
    assert len(queue) == len(model)
