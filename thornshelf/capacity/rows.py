"""Computes the rows of the capacity report: the cost of one resource of one role, compared with its budget."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence

import msgspec

from thornshelf.capacity.curves import Slope
from thornshelf.capacity.target import Deployment, Target

MISSING = "missing"


class Aspect(enum.Enum):
    """The resource or quantity that a row measures."""

    STATE = "state"
    MESSAGES = "messages"
    TRAFFIC = "bytes on the wire"
    PROCESSOR = "processor time"
    MEMORY = "memory"
    TIME = "time"


class Budget(enum.Enum):
    """A resource budget of the control plane: all work except serving tasks."""

    CORE = "processor"
    MEMORY = "memory"
    TRAFFIC = "traffic"

    def limit(self, target: Target) -> float:
        """Returns the budget in the unit of its rows: us/s, KB or bytes/s."""
        match self:
            case Budget.CORE:
                return target.control_core_share * 1e6
            case Budget.MEMORY:
                return target.control_memory_mb * 1024
            case Budget.TRAFFIC:
                return target.control_bytes_per_s


class RowDefinition(msgspec.Struct, frozen=True):
    """How a row is computed: the value of a slope, multiplied by a rate of the deployment.

    ``slope`` is a key of the measured slopes and ``rate_field`` a field of ``Deployment``. ``mechanism`` names the
    modules responsible for the cost. ``waits_for`` is the role whose cost determines this one: the number of nodes in
    the endpoint list, for example, determines the number of node connections.
    """

    role: str
    aspect: Aspect
    unit: str
    slope: str
    rate_field: str = "constant"
    mechanism: str = ""
    budget: Budget | None = None
    waits_for: str = ""


class Row(msgspec.Struct, frozen=True):
    """A computed row; its field names are keys of docs/capacity.json.

    ``today`` is the cost of the current deployment. ``at_target``, ``at_half`` and ``at_twice`` are the costs at the
    target, with the derived number of dispatchers, half as many and twice as many. ``factor`` is the cost at the
    target divided by the budget.
    """

    role: str
    aspect: Aspect
    unit: str
    slope: str
    mechanism: str
    today: float
    at_target: float
    at_half: float
    at_twice: float
    rate: float = 1.0  # the multiplier of the slope at the target
    budget: float | None = None
    factor: float | None = None
    waits_for: str = ""

    @property
    def exceeds_budget(self) -> bool:
        """Whether the cost at the target exceeds the budget."""
        return self.factor is not None and self.factor > 1.0


class MissingFeature(msgspec.Struct, frozen=True):
    """A requirement that no part of the program meets, and the work that it needs."""

    role: str
    requirement: str
    remedy: str


def row_cost(definition: RowDefinition, slopes: Mapping[str, Slope], deployment: Deployment) -> float:
    """Returns the cost of a row in a deployment."""
    slope = slopes[definition.slope]
    x, rate = (
        float(getattr(deployment, slope.variable)),
        float(getattr(deployment, definition.rate_field)),
    )
    return slope.at(x) * rate


def compute_rows(
    definitions: Sequence[RowDefinition],
    slopes: Mapping[str, Slope],
    target: Target,
    current: Deployment,
    deployments: Sequence[Deployment],
) -> list[Row]:
    """Compute all rows; ``deployments``: the target with the derived number of dispatchers, half and twice that."""
    rows = []
    for definition in definitions:
        at_target, at_half, at_twice = (
            row_cost(definition, slopes, deployment) for deployment in deployments
        )
        limit = None if definition.budget is None else definition.budget.limit(target)
        rows.append(
            Row(
                role=definition.role,
                aspect=definition.aspect,
                unit=definition.unit,
                slope=definition.slope,
                mechanism=definition.mechanism,
                today=row_cost(definition, slopes, current),
                at_target=at_target,
                at_half=at_half,
                at_twice=at_twice,
                rate=getattr(deployments[0], definition.rate_field),
                budget=limit,
                factor=None if limit is None else at_target / limit,
                waits_for=definition.waits_for,
            )
        )
    return rows


def totals(rows: Sequence[Row], definitions: Sequence[RowDefinition], target: Target) -> list[Row]:
    """Sum the rows of each budget, which all of the control plane shares."""
    sums = []
    aspects = {
        Budget.CORE: Aspect.PROCESSOR,
        Budget.MEMORY: Aspect.MEMORY,
        Budget.TRAFFIC: Aspect.TRAFFIC,
    }
    for budget in Budget:
        budget_rows = [
            row for row, definition in zip(rows, definitions, strict=True) if definition.budget is budget
        ]
        limit = budget.limit(target)
        at_target = sum(row.at_target for row in budget_rows)
        sums.append(
            Row(
                role="all of control",
                aspect=aspects[budget],
                unit=budget_rows[0].unit if budget_rows else "",
                slope="+".join(row.slope for row in budget_rows),
                mechanism="the sum of the rows with this budget",
                today=sum(row.today for row in budget_rows),
                at_target=at_target,
                at_half=sum(row.at_half for row in budget_rows),
                at_twice=sum(row.at_twice for row in budget_rows),
                budget=limit,
                factor=at_target / limit,
            )
        )
    return sums


def first_bottleneck(rows: Sequence[Row]) -> Row | None:
    """Returns the row to improve first, or None if no row exceeds its budget.

    Of the rows over budget, it is the one whose role determines the most others; the greatest factor breaks ties.
    """
    over_budget = [row for row in rows if row.exceeds_budget]
    if not over_budget:
        return None
    dependents = {row.role: sum(other.waits_for == row.role for other in over_budget) for row in over_budget}
    return max(over_budget, key=lambda row: (dependents[row.role], row.factor or 0.0))
