"""How many further attempts may be made: a share of the first ones, for each service and for the whole fleet.

While all is well a budget is never felt. When most offers fail, each task would otherwise be offered three times
over, and the further attempts would take the nodes' time from first ones. Tokens are whole thousandths, time is
whole microseconds; a clock that stands still or jumps ahead adds no more than the bucket holds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MILLI_PER_TOKEN = 1000


@dataclass(frozen=True, slots=True)
class RetryBudgetConfig:
    """``share``: further attempts earned by a first one, in thousandths; ``floor``: earned a second in any case,
    in thousandths; ``most``: what a bucket holds, in thousandths."""

    earned_per_attempt_milli: int = 200
    earned_per_s_milli: int = 1000
    capacity_milli: int = 20_000


class TokenBucket:
    """One budget."""

    __slots__ = ("updated_us", "tokens_milli", "remainder")

    def __init__(self, terms: RetryBudgetConfig, now_us: int) -> None:
        self.tokens_milli, self.updated_us, self.remainder = terms.capacity_milli, now_us, 0

    def refill(self, terms: RetryBudgetConfig, now_us: int) -> None:
        """Add what time has earned; what is less than a thousandth is kept for the next time."""
        passed = max(0, now_us - self.updated_us)
        self.updated_us = max(self.updated_us, now_us)
        earned = self.remainder + passed * terms.earned_per_s_milli
        self.tokens_milli = min(terms.capacity_milli, self.tokens_milli + earned // 1_000_000)
        self.remainder = earned % 1_000_000

    def earn(self, terms: RetryBudgetConfig) -> None:
        """A first attempt was made."""
        self.tokens_milli = min(terms.capacity_milli, self.tokens_milli + terms.earned_per_attempt_milli)


class RetryBudget:
    """The budgets of the fleet and of the services that asked lately."""

    def __init__(
        self,
        service: RetryBudgetConfig,
        fleet: RetryBudgetConfig,
        now_us: int = 0,
        max_services: int = 10_000,
    ) -> None:
        self.service_config, self.fleet_config = service, fleet
        self.max_services = max_services
        self._fleet = TokenBucket(fleet, now_us)
        self._services: OrderedDict[int, TokenBucket] = OrderedDict()  # the one used last is the last
        self.denied = 0

    def __len__(self) -> int:
        return len(self._services)

    def _service_bucket(self, service: int, now_us: int) -> TokenBucket:
        bucket = self._services.get(service)
        if bucket is None:
            bucket = self._services[service] = TokenBucket(self.service_config, now_us)
            while len(self._services) > self.max_services:
                self._services.popitem(last=False)  # it has been quiet the longest: its bucket is full by now
        else:
            self._services.move_to_end(service)
            bucket.refill(self.service_config, now_us)
        return bucket

    def record_first_attempt(self, service: int, now_us: int) -> None:
        """A first attempt leaves."""
        self._fleet.refill(self.fleet_config, now_us)
        self._fleet.earn(self.fleet_config)
        self._service_bucket(service, now_us).earn(self.service_config)

    def try_spend(self, service: int, now_us: int, priority: int = 0) -> bool:
        """Whether a further attempt may leave, which spends one of each; a higher priority may go into debt.

        The debt is bounded by what a bucket holds, so that a county can't buy the fleet with priority alone.
        """
        self._fleet.refill(self.fleet_config, now_us)
        mine = self._service_bucket(service, now_us)
        for bucket, terms in ((self._fleet, self.fleet_config), (mine, self.service_config)):
            lowest = MILLI_PER_TOKEN if priority <= 0 else MILLI_PER_TOKEN - terms.capacity_milli
            if bucket.tokens_milli < lowest:
                self.denied += 1
                return False
        self._fleet.tokens_milli -= MILLI_PER_TOKEN
        mine.tokens_milli -= MILLI_PER_TOKEN
        return True
