"""Retry budgets, which limit retries to a fraction of first attempts, per service and for the fleet.

Each budget is a token bucket. It has no effect while most attempts succeed. When most attempts fail, every task would
otherwise be attempted several times; the budget keeps these retries from taking the nodes' capacity away from first
attempts.

Tokens are counted in whole thousandths and time in whole microseconds, so that the arithmetic is exact. A clock that
stands still, steps back or jumps ahead never adds more than a bucket's capacity.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MILLI_PER_TOKEN = 1000
US_PER_S = 1_000_000
DEFAULT_MAX_SERVICES = 10_000


@dataclass(frozen=True, slots=True)
class RetryBudgetConfig:
    """The parameters of a token bucket, in thousandths of a token; a retry costs one token.

    A bucket earns ``earned_per_attempt_milli`` per first attempt and ``earned_per_s_milli`` per second, and holds at
    most ``capacity_milli``.
    """

    earned_per_attempt_milli: int = 200
    earned_per_s_milli: int = 1000
    capacity_milli: int = 20_000


class TokenBucket:
    """The token bucket of one service or of the fleet; it starts full."""

    __slots__ = ("earned_remainder", "tokens_milli", "updated_us")

    def __init__(self, config: RetryBudgetConfig, now_us: int) -> None:
        self.tokens_milli = config.capacity_milli
        self.updated_us = now_us
        self.earned_remainder = 0  # fraction of tokens_milli not yet added, times US_PER_S

    def refill(self, config: RetryBudgetConfig, now_us: int) -> None:
        """Add the tokens earned since the last refill; a fraction of a thousandth is carried over."""
        elapsed_us = max(0, now_us - self.updated_us)
        self.updated_us = max(self.updated_us, now_us)
        earned = self.earned_remainder + elapsed_us * config.earned_per_s_milli
        self.tokens_milli = min(config.capacity_milli, self.tokens_milli + earned // US_PER_S)
        self.earned_remainder = earned % US_PER_S

    def earn(self, config: RetryBudgetConfig) -> None:
        """Add the tokens earned by one first attempt."""
        self.tokens_milli = min(config.capacity_milli, self.tokens_milli + config.earned_per_attempt_milli)

    def can_spend(self, config: RetryBudgetConfig, priority: int) -> bool:
        """Return whether one token may be spent; a priority above 0 may overdraw the bucket by its capacity."""
        minimum = MILLI_PER_TOKEN if priority <= 0 else MILLI_PER_TOKEN - config.capacity_milli
        return self.tokens_milli >= minimum

    def spend(self) -> None:
        """Remove one token."""
        self.tokens_milli -= MILLI_PER_TOKEN


class RetryBudget:
    """The budgets of the fleet and of the services that made attempts recently.

    At most ``max_services`` services are tracked. The least recently used one is evicted first, because its bucket is
    the most likely to be full again. ``denied`` counts the retries that were not allowed.
    """

    def __init__(
        self,
        service: RetryBudgetConfig,
        fleet: RetryBudgetConfig,
        now_us: int = 0,
        max_services: int = DEFAULT_MAX_SERVICES,
    ) -> None:
        self.service_config = service
        self.fleet_config = fleet
        self.max_services = max_services
        self.denied = 0
        self._fleet = TokenBucket(fleet, now_us)
        self._services: OrderedDict[int, TokenBucket] = OrderedDict()  # least recently used first

    def __len__(self) -> int:
        return len(self._services)

    def record_first_attempt(self, service: int, now_us: int) -> None:
        """Credit a service and the fleet for a first attempt that is being sent."""
        self._fleet.refill(self.fleet_config, now_us)
        self._fleet.earn(self.fleet_config)
        self._service_bucket(service, now_us).earn(self.service_config)

    def try_spend(self, service: int, now_us: int, priority: int = 0) -> bool:
        """Spend one token of the service and one of the fleet for a retry; return whether both budgets allow it.

        A priority above 0 may overdraw both budgets, each at most by its capacity, so that one tenant can't use up
        the whole fleet by priority alone.
        """
        self._fleet.refill(self.fleet_config, now_us)
        service_bucket = self._service_bucket(service, now_us)
        allowed = self._fleet.can_spend(self.fleet_config, priority)
        if not allowed or not service_bucket.can_spend(self.service_config, priority):
            self.denied += 1
            return False
        self._fleet.spend()
        service_bucket.spend()
        return True

    def _service_bucket(self, service: int, now_us: int) -> TokenBucket:
        """Return the refilled bucket of a service, creating a full one for an untracked service."""
        bucket = self._services.get(service)
        if bucket is not None:
            self._services.move_to_end(service)
            bucket.refill(self.service_config, now_us)
            return bucket
        bucket = TokenBucket(self.service_config, now_us)
        self._services[service] = bucket
        while len(self._services) > self.max_services:
            self._services.popitem(last=False)
        return bucket
