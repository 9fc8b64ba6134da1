"""All decisions of a placer. Its types, events and actions: thornshelf/placement/interface.py.

Ordinary path: Online-OBO. A task is priced against what is taken, gated on the pooled fleet, and bound to the
fitting machine of least cost, or refused at once. docs/design.md cites the paper and lists departures [D1]...
"""

from __future__ import annotations

import math
import random
import struct
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from thornshelf.placement import interface as api
from thornshelf.placement.hashing import unit_hash
from thornshelf.placement.health_check_schedule import HealthCheckSchedule
from thornshelf.placement.interface import Health, Idempotency, Outcome, Reason, Scope, TaskUpdateKind
from thornshelf.placement.machine_index import IndexedMachine, MachineIndex, clamp_usage

COST_BASE = 4.0  # a: the price of a full machine is so many times that of an empty one (the design's figure)
ADMISSION_THRESHOLD = 0.3  # the gate's share of the highest unit cost (the design's figure)
LARGE = 0.1  # [D5] a task is large from this share of the largest machine on
LARGE_RESERVATION_S = 60.0  # [D5] room is kept so long after the last large ask
LATE_MAX = 2.0  # [D4] late starts raise the rank by this power of BASE at most
COLD_EXTRA = 0.5  # a cold machine starts slowly: as dear as one half as full again
PARTS = 4.0  # [D1] parts full, coarse enough for placers to agree; fewer as their views differ
RANK_TOLERANCE = 1.02  # ranks within this ratio are equals, drawn at random
TARGET_UTILIZATION = (
    0.75  # [D1] the pool is filled so far: what is left takes swings and failures between two looks
)
MEMORY_FULL = 0.9  # [D2] memory in use is planned up to this; tasks grow after their start
PRIOR_WEIGHT = 0.1  # [D2] share of a machine's asks for which the assumed use counts beside what was told
PROGRAM_S = 10.0  # [D3] a program is taken to be kept this long after its service's last own task here
HOMES_PER_POWER = 5  # [D3] so many places down a service's order make a machine dearer by one power of BASE
HOME_POWERS = 16.0  # [D3] of further places the logarithm counts, so that other terms still do
MOST_POWERS = 256.0  # of BASE, all terms of a rank together: far beyond any choice, and within a float
REPORT_AGE_S = 0.5  # a report shows a machine as it was about this long ago: refresh and delivery
LIST_AGE_S = 2.0  # free figures in the list are older still
REPORT_DECAY_S = 10.0  # [D6] a report of others' tasks fades to the fleet's average over about so long
LEARN = 0.1  # weight of a new observation in running means
TICK_S = 0.25  # housekeeping: averages, probes of suspects
IDLE_TICK_S = 1.0  # and as seldom where there is no suspect
STRIKES = 2  # so many signs of trouble in a row keep offers away: one may be chance
SUSPECT_S = 1.0  # for so long, doubling while they go on
SUSPECT_MAX_S = 8.0
QUEUE_S = 0.4  # a machine whose line of offers was full is left alone so long
SHORT_S = 2.0  # a shortage seen there is remembered so long
AGAIN_S = 1.0  # a refused owner is told to stay away so long: before that little room comes free
PATIENCE = 4.0  # an answer this many times later than they are of late is not coming
DIGEST_POINTS = 0.004  # digests to peers may cost this much of the result
PEER_LOST_S = 30.0  # a peer's last digest counts so long: its tasks run on when it is gone
HOUSEKEEPING = 1 << 40  # timer token; deadlines use the request's id, which is smaller

PENDING, NEVER_RAN, MAY_HAVE_RUN, BOUND = range(
    4
)  # an attempt: no outcome yet, never ran, may have run, answered for


class Machine(IndexedMachine):
    """What this placer believes of one machine."""

    def __init__(self, machine: int, news: list[Machine]) -> None:
        super().__init__(unit_hash(machine, 0), news)  # a place in an order that all placers share
        self.id = machine
        self.kind = self.zone = "?"
        self.cell, self.kind_index, self.in_other_zone = 0, -1, False  # index: of its kind in the settings
        self.health = Health.REMOVED
        self.started_at = 0.0
        self.physical = (0.0, 0.0)  # cores and memory, as they are
        self.recent_attempts: deque[float] = deque()  # own offers, as far as a cold machine's share goes
        self.tasks_by_service: dict[int, int] = {}  # own tasks and attempts here, by service
        self.own_demand, self.peer_demand = (
            [0.0, 0.0],
            [0.0, 0.0],
        )  # what they ask for; what peers told of theirs
        self.measured_usage, self.measured_demand = (
            [0.0, 0.0],
            [0.0, 0.0],
        )  # of those whose use was told: use and ask
        self.reset()

    def reset(self) -> None:
        """Nothing is known of what others do here: a new machine, or a restarted one."""
        self.reported_usage: tuple[float, float] | None = None  # taken, by the latest report
        self.reported_at = -math.inf  # the moment that it shows
        self.demand_changes: deque[tuple[float, float, float]] = deque()  # own changes since, and their sum
        self.demand_since_report = [0.0, 0.0]
        self.last_ended_by_service: dict[int, float] = {}  # when the last own task of a service ended
        self.usage_limit: tuple[float, float] | None = None  # the limit by use, kept until news comes
        self.invalidate()
        self.consecutive_failures, self.health_check_pending = 0, False  # signs of trouble in a row
        self.connection_lost_at = (
            -math.inf
        )  # all that breaks in one moment is one sign: it was one connection
        self.ejected_until = self.backoff_until = self.pressure = self.pressure_at = 0.0
        self.rejections_by_class: dict[
            str, tuple[float, tuple[float, float]]
        ] = {}  # asks refused, by class, till when
        self.pending_starts: dict[
            int, float
        ] = {}  # own tasks that were offered and have not started, since when
        self.start_delay_s: float | None = None  # how long starts take here of late

    def apply_report(self, at: float, taken: tuple[float, float]) -> None:
        """A report of what is taken, as of ``at``."""
        if at < self.reported_at:
            return
        self.reported_usage, self.reported_at = clamp_usage(taken, self.capacity), at
        self.invalidate()
        while self.demand_changes and self.demand_changes[0][0] <= at:
            self.demand_changes.popleft()
        self.demand_since_report = (
            [sum(d[k] for d in self.demand_changes) for k in (1, 2)] if self.demand_changes else [0.0, 0.0]
        )


class Attempt:
    """One offer of a request."""

    def __init__(self, machine: Machine, sent: float, state: int) -> None:
        self.machine, self.sent_at, self.state = machine, sent, state
        self.measured_usage: list[float | None] = [None, None]  # cores and memory in use, as told
        self.live = True  # no outcome yet: it counts in spread and occupancy


class PendingRequest:
    """One ask and its attempts."""

    def __init__(self, ask: api.PlacementRequest, terms: api.TaskClass, deadline: float) -> None:
        self.spec, self.task_class, self.deadline = ask, terms, deadline
        self.demand = (ask.cores, ask.memory)
        self.attempts: list[Attempt] = []
        self.open = True  # a final answer is owed
        self.rejected_by: set[int] = set()  # machines that turned it down
        self.failed_on: list[Machine] = []  # machines that answered it with an error


class Placer:
    """The decisions of one placer; ``handle`` is its only entry."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.TimerFired: self.on_timer_fired,
            api.RequestCancelled: self.on_request_cancelled,
            api.AttemptAccepted: self.on_attempt_accepted,
            api.AttemptEnded: self.on_attempt_ended,
            api.TaskUpdate: self.on_task_update,
            api.HealthCheckResult: self.on_health_check_result,
            api.TaskAdopted: self.on_task_adopted,
            api.EndpointUpdate: self.on_endpoint_update,
            api.EndpointWatchFailed: self.on_endpoint_watch_failed,
            api.GossipMessage: self.on_gossip_message,
        }
        self.random = random.Random(seed)
        self.now = 0.0
        self.actions: list[api.Action] = []
        self.stalled = False
        self.retries: list[PendingRequest] = []  # to be offered anew in this batch
        self.machines: dict[int, Machine] = {}
        self.index = MachineIndex[Machine](self.usage, self.fullness_group)  # those that the list shows as up
        self.warming_up: list[Machine] = []  # of them those that may be cold
        self.excluded: set[Machine] = set()  # those that offers were kept away from, maybe no longer
        self.roomy: dict[str, Machine] = {}  # [D5] where room for a large task was found last, by its class
        self.largest: tuple[float, ...] = (0.0, 0.0)  # the most cores, and memory, that one of them admits
        self.ejected_ids: set[int] = set()  # machines to be probed
        self.digests: dict[int, tuple[float, list[tuple[Machine, float, float]]]] = {}  # of peers
        self.requests: dict[int, PendingRequest] = {}
        self.terms = {terms.name: terms for terms in settings.classes}
        self.needed_kinds = {
            terms.machine_kind for terms in settings.classes if terms.machine_kind is not None
        }
        # [D2] until use is told, the operators' own overcommitment says what part of an ask is used
        self.use = [1.0 / max(1.0, over) for over in (settings.overcommit_cores, settings.overcommit_memory)]
        self.full = (
            min((terms.full_speed_utilization for terms in settings.classes), default=1.0),
            MEMORY_FULL,
        )
        self.mean, self.unheard = [0.0, 0.0], 0.0  # share taken of the fleet; part of its placers not heard
        self.largest_demands: dict[
            str, tuple[api.TaskClass, tuple[float, float], float]
        ] = {}  # largest asks, when
        self.lag = self.start = 0.0  # how long answers, and starts, take of late
        self.averaged = -math.inf
        self.rate = self.last_ask = self.next_tick = self.next_digest = self.next_sweep = 0.0
        self.list_retry_at = 0.0 if settings.list_on_request else None  # when to subscribe, and again
        self.set_quota(settings.me, settings.placers)
        self.services: dict[int, int] = {}  # own tasks, by service
        self.fullness_steps = PARTS  # [D1] the pool begins with the fullest machines, told apart so finely
        self.home_cost_scale = 1.0  # [D3] how much a service's last home is dearer than its first
        self.tenant_cores: dict[str, float] = {}  # cores that own tasks ask for, by tenant

    def set_quota(
        self, me: int, placers: int, slow_start_placers: int = 0, partition_remainder: bool = True
    ) -> None:
        """So many share what is allowed, and offers to cold machines; ``deal``: numbers are agreed."""
        self.settings, self.slow_start_placers, self.partition_remainder = (
            replace(self.settings, me=me, placers=placers),
            slow_start_placers or placers,
            partition_remainder,
        )
        self.probes = HealthCheckSchedule(me, placers)  # all placers may suspect one at once
        # [D4] the offers within a while that this placer may always send a cold machine
        self.slow_start_quota, self.slow_start_remainder = divmod(
            int(self.settings.rules.slow_start_attempts), max(1, self.slow_start_placers)
        )
        self.slow_start_window_s = 1.5 * self.settings.rules.slow_start_window_s
        self.quota = {one.name: one.quota_cores / max(1, placers) for one in self.settings.tenants}

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Take what happened at ``now`` and say what to do."""
        self.now, self.actions = now, []
        self.stalled = now > self.next_tick + TICK_S > TICK_S  # [D4] own timer came late: blame no machine
        asks, self.retries = list[PendingRequest](), list[PendingRequest]()
        for event in events:
            if isinstance(event, api.PlacementRequest):
                asks.append(self.accept(event))
            else:
                self._handlers[type(event)](event)
        if (asks or self.retries) and now >= self.averaged + TICK_S:
            self.update_averages()
        for request in self.retries:
            self.place(request)
        self.batch(asks)
        if now >= self.next_tick:
            self.housekeep()
        return self.actions

    def unit_costs(self, taken: Sequence[float], size: Sequence[float], need: Sequence[float]) -> list[float]:
        """The paper's cost of each resource that is asked for."""
        return [
            COST_BASE ** (h / c) * (COST_BASE ** min(r / c, MOST_POWERS) - 1.0) if c > 0.0 else COST_BASE**2
            for h, c, r in zip(taken, size, need, strict=True)
            if r > 0.0
        ]

    def is_under_threshold(self, costs: Sequence[float]) -> bool:
        """Each unit cost, and their mean, under its threshold."""
        bound = ADMISSION_THRESHOLD * (COST_BASE - 1.0)
        return not costs or (max(costs) <= bound and sum(costs) / len(costs) <= bound)

    def is_admitted(self, need: tuple[float, float], pooled: tuple[list[float], list[float]]) -> bool:
        """The gate on the pooled machines; a task too large for it on an empty machine goes by fit alone."""
        return self.is_under_threshold(self.unit_costs(*pooled, need)) or not self.is_under_threshold(
            self.unit_costs((0.0, 0.0), self.largest, need)
        )

    def fullness_group(self, m: Machine) -> tuple[bool, int]:
        """[D1] The machines about as full as this one: the fullest come first, kinds that are needed last."""
        taken = m.usage or self.usage(m)
        full = round(self.fullness_steps * taken[0] / m.capacity[0]) if m.capacity[0] else 0
        return m.kind_index in self.needed_kinds, -full

    def batch(self, asks: list[PendingRequest]) -> None:
        """Asked together: cheapest first, the shorter life on ties, else at random."""
        asks = [request for request in asks if request.open]
        if len(asks) > 1 and self.index.up:
            self.index.apply_changes()
            view = self.index.totals()
            self.random.shuffle(asks)
            asks.sort(
                key=lambda one: (sum(self.unit_costs(*view, one.demand)), one.spec.lifetime_hint_s or 0.0)
            )
        for request in asks:
            self.place(request)

    def place(self, request: PendingRequest) -> None:
        """Bind to the cheapest fitting machine, or give the final answer that is left."""
        if not request.open or any(a.live and a.state == PENDING for a in request.attempts):
            return
        machine = None
        left = len(request.attempts) < self.settings.limits.max_attempts and request.deadline > self.now
        if left and self.fits_empty_machine(request.demand):
            self.index.apply_changes()
            barred = self.barred(request)
            pooled = self.index.totals(barred)
            if len(barred) < len(self.index.up) and (
                request.attempts or self.is_admitted(request.demand, pooled)
            ):
                machine = self.choose(request, barred, pooled[0])
        if machine is None:
            self.answer_without_machine(request)
        else:
            self.start_attempt(request, machine)

    def barred(self, request: PendingRequest) -> set[Machine]:
        """Those that are up and may not be offered it; mostly only cold ones have to be looked at."""
        terms, share = request.task_class, self.slow_start_quota
        if (
            terms.machine_kind is not None
            or request.spec.is_eligible is not None
            or terms.spread_scope is not Scope.NONE
            or (request.attempts and terms.idempotency is not Idempotency.ALWAYS)
        ):
            return {m for m in self.index.up if not self.is_allowed(request, m)}
        return {
            m for m in self.warming_up if len(m.recent_attempts) >= share and not self.allows_slow_start(m)
        }

    def choose(self, request: PendingRequest, barred: set[Machine], taken: list[float]) -> Machine | None:
        """[D1] Least rank within the pool, else within the whole fleet; none where it fits nowhere."""
        self.excluded = {m for m in self.excluded if self.now < m.ejected_until or self.now < m.backoff_until}
        out = (
            barred | self.excluded | {m for number in request.rejected_by if (m := self.machines.get(number))}
        )
        kept = self.kept_for_large(request, out)
        out.update(kept)
        if near := self.nearest(request, self.pool(request, out, taken), 2):
            return self.drawn(near)
        able = [m for m in self.index.up if m not in out]
        last = [m for m, worth in kept.items() if request.task_class.priority_weight >= worth]
        # by use, by what is admitted, and [D6] by a machine's own answer: a mere guess refuses nothing
        unsure = [m for m in able if self.settings.placers > 1 and self.report_age(m) > REPORT_DECAY_S]
        groups = ((able, 2), (able, 1), (last, 1), (unsure, 0))
        for group, check in groups[: 1 if self.is_over_quota(request) else 4]:
            if near := self.nearest(request, group, check):
                return self.drawn(near)
        return None

    def drawn(self, near: list[Machine]) -> Machine:
        """Equals are drawn from at random."""
        return near[self.random.randrange(len(near))] if len(near) > 1 else near[0]

    def nearest(self, request: PendingRequest, group: list[Machine], check: int) -> list[Machine]:
        """Those of least rank of the machines where it fits; none is ranked in full that can't be of them."""
        need, service, least = request.demand, request.spec.service, math.inf
        for m in group:  # where the program is, it is cheap, and most others need not be looked at
            if service in m.tasks_by_service and self.fit(request, m) >= check:
                least = min(least, self.rank(request, m))
        found, bound = [], least * RANK_TOLERANCE
        for m in group:
            mean, room = m.cost_by_demand.get(need) or self.mean_cost(m, need)
            if mean > bound or room < check:
                continue
            if (
                mean * COST_BASE > bound
                and service not in m.tasks_by_service
                and service not in m.last_ended_by_service
            ):
                continue  # without the program it is dearer by one power at least
            if m.rejections_by_class and self.fit(request, m) < check:
                continue
            if (rank := self.rank(request, m)) <= bound:
                found.append((rank, m))
                bound = min(bound, rank * RANK_TOLERANCE)
        return [m for rank, m in found if rank <= bound]

    def mean_cost(self, m: Machine, need: tuple[float, float]) -> tuple[float, int]:
        """The paper's mean cost, and the room: 2 by use, 1 by the machine's own rule, 0 for none."""
        taken, limit = m.usage or self.usage(m), m.usage_limit or self.usage_limit(m)
        costs = self.unit_costs(taken, limit, need)
        room = 0
        for check, size in ((1, m.capacity), (2, limit)):
            if taken[0] + need[0] <= size[0] and taken[1] + need[1] <= size[1]:
                room = check
        m.cost_by_demand[need] = known = sum(costs) / len(costs) if costs else 1.0, room
        return known

    def is_over_quota(self, request: PendingRequest) -> bool:
        """Beyond its tenant's share by own tasks: worth little, so it takes no room that is short."""
        tenant, share = request.spec.tenant or "", self.settings.over_quota_weight
        quota = self.quota.get(tenant, 0.0)
        return share < 1.0 and 0.0 < quota < self.tenant_cores.get(tenant, 0.0) + request.demand[0]

    def kept_for_large(self, request: PendingRequest, out: set[Machine]) -> dict[Machine, float]:
        """[D5] The roomiest machine for each kind of large task, and its worth: small ones go there last."""
        kept: dict[Machine, float] = {}
        for terms, need, seen in self.largest_demands.values():
            if self.now - seen > LARGE_RESERVATION_S or self.is_large(request.demand):
                continue
            enough = 1.0 + max(request.demand[k] / need[k] for k in (0, 1))
            last = self.roomy.get(terms.name)
            if last and last.position >= 0 and last not in out and self.rooms(last, need) >= enough:
                continue  # there is still room for both
            fleet = [m for m in self.index.up if m not in out and terms.machine_kind in (None, m.kind_index)]
            room = [self.rooms(m, need) for m in fleet]
            if len(room) > 1:
                most = max(room)
                m = self.roomy[terms.name] = fleet[room.index(most)]
                if most < enough:
                    kept[m] = max(terms.priority_weight, kept.get(m, 0.0))
        return kept

    def rooms(self, m: Machine, need: tuple[float, float]) -> float:
        """How many tasks of this size it still admits."""
        taken = m.usage or self.usage(m)
        return min((m.capacity[0] - taken[0]) / need[0], (m.capacity[1] - taken[1]) / need[1])

    def is_large(self, need: tuple[float, float]) -> bool:
        """So much of a machine that free room scattered over the fleet may not hold it."""
        cores, memory = self.largest
        return need[0] > LARGE * cores > 0.0 or need[1] > LARGE * memory > 0.0

    def fits_empty_machine(self, need: tuple[float, float]) -> bool:
        """Some machine could hold it, were it empty; room kept for anything larger would be kept in vain."""
        return all(ask <= size for size, ask in zip(self.largest, need, strict=True))

    def pool(self, request: PendingRequest, out: set[Machine], taken: list[float]) -> list[Machine]:
        """[D1] The shortest prefix of one order that holds what is taken; the rest, priced, may run empty."""
        blind = (
            not self.settings.reports_usage
            and max(self.settings.overcommit_cores, self.settings.overcommit_memory) > 1.0
        )
        if self.settings.prices.fleet <= 0.0 or blind:  # overcommitted unseen: crowding would not be noticed
            return [m for m in self.index.up if m not in out]
        cores, memory = ((taken[k] + request.demand[k]) / TARGET_UTILIZATION for k in (0, 1))
        found: list[Machine] = []
        for m in self.index.ordered():
            if m not in out:
                found.append(m)
                limit = m.usage_limit or self.usage_limit(m)
                cores, memory = cores - limit[0], memory - limit[1]
                if cores <= 0.0 >= memory:
                    break
        return found

    def rank(self, request: PendingRequest, m: Machine) -> float:
        """The paper's mean cost; what else makes a bind dear is a power of the same base."""
        extra = self.program_cost(request, m) + 2.0 * self.settings.prices.cross_zone * m.in_other_zone
        extra += (
            0.1 * len(m.pending_starts)
            + m.consecutive_failures
            + m.gossip_penalty
            + (COLD_EXTRA if self.is_warming_up(m) else 0.0)
        )
        extra += m.pressure if self.now - m.pressure_at < SHORT_S else 0.0
        extra += self.lateness(m) if m.start_delay_s or m.pending_starts else 0.0
        cost = (m.cost_by_demand.get(request.demand) or self.mean_cost(m, request.demand))[0]
        return cost * math.pow(COST_BASE, min(extra, MOST_POWERS))

    def lateness(self, m: Machine) -> float:
        """[D4] Late or overdue starts make a machine dear: it may accept but run slowly."""
        overdue = self.now - next(iter(m.pending_starts.values())) if m.pending_starts else 0.0
        expected = max(m.start_delay_s or 0.0, overdue)
        usual = PATIENCE * self.start
        return min(math.log(expected / usual, COST_BASE), LATE_MAX) if expected > usual > 0.0 else 0.0

    def program_cost(self, request: PendingRequest, m: Machine) -> float:
        """[D3] A start without the program costs many times the work; placers agree on its homes."""
        if m.tasks_by_service.get(service := request.spec.service):
            return 0.0
        fresh = self.now - m.last_ended_by_service.get(service, -PROGRAM_S) < PROGRAM_S
        steep = (
            1.0 if self.is_large(request.demand) else self.home_cost_scale
        )  # a large task needs room first
        home = unit_hash(service, m.id) * steep
        home = home if home <= HOME_POWERS else HOME_POWERS + math.log1p(home - HOME_POWERS)
        return (0.25 if fresh else 1.0) + home

    def usage(self, m: Machine) -> tuple[float, ...]:
        """What is taken: report and own changes since, else own and peers' tasks and others' average."""
        if m.usage is None:
            own, since, told, trust = m.own_demand, m.demand_since_report, m.reported_usage or (0.0, 0.0), 0.0
            if (
                m.reported_usage is not None
            ):  # [D6] others' tasks come and go: an old report tends to the average
                trust = 1.0 - self.unheard * (1.0 - math.exp(-self.report_age(m) / REPORT_DECAY_S))
            filled = (
                1.0 - math.exp(min(0.0, m.started_at - self.now) / REPORT_DECAY_S) if m.started_at else 1.0
            )
            others = self.unheard * filled  # one that started lately was empty then
            rest = [others * self.mean[k] * m.capacity[k] + own[k] + m.peer_demand[k] for k in (0, 1)]
            seen = [max(told[k] + since[k], own[k]) for k in (0, 1)]
            m.usage = tuple(trust * seen[k] + (1.0 - trust) * rest[k] for k in (0, 1))
        return m.usage

    def report_age(self, m: Machine) -> float:
        """How old its report is; a list that shows what is free tells every change."""
        return (
            0.0
            if self.settings.endpoint_list_shows_free and m.reported_usage is not None
            else self.now - m.reported_at
        )

    def update_averages(self) -> None:
        """The share taken of the fleet: of machines heard of, and as one more all known tasks, scaled up.

        Where many place, own tasks on a machine say little of it: what others hold there counts as average.
        """
        known = (1 + len(self.digests)) / max(1, self.settings.placers, 1 + len(self.digests))
        told, fleet, scaled, heard = [0.0, 0.0], [0.0, 0.0], [0.0, 0.0], [0.0, 0.0]
        for m in self.index.up:
            for k in (0, 1):
                fleet[k] += m.capacity[k]
                scaled[k] += m.own_demand[k] + m.peer_demand[k]
                if m.reported_usage is not None:
                    told[k] += m.reported_usage[k]
                    heard[k] += m.capacity[k]
        count = max(1, len(self.index.up))
        for k in (0, 1):
            if fleet[k] > 0.0:
                self.mean[k] = (told[k] + scaled[k] / known / count) / (heard[k] + fleet[k] / count)
        self.unheard, self.averaged = 1.0 - known, self.now
        strange = len(self.services) / max(1, sum(self.services.values()))  # 1 where none is met twice
        self.fullness_steps = PARTS * (1.0 - strange)
        self.home_cost_scale = 1.0 + strange * max(0.0, count / HOMES_PER_POWER - 1.0)
        self.index.advance_refresh()  # views age
        self.warming_up = [m for m in self.index.up if self.is_warming_up(m)]

    def usage_limit(self, m: Machine) -> tuple[float, float]:
        """[D2] How much may be asked there before what is *used* crowds cores or fills memory."""
        if m.usage_limit is None:
            limits = []
            for k in (0, 1):
                prior = PRIOR_WEIGHT * m.capacity[k]
                asked = m.measured_demand[k] + prior
                use = (m.measured_usage[k] + prior * self.use[k]) / asked if asked > 0.0 else 1.0
                limits.append(
                    min(m.capacity[k], self.full[k] * m.physical[k] / use if use > 0.0 else m.capacity[k])
                )
            m.usage_limit = limits[0], limits[1]
        return m.usage_limit

    def fit(self, request: PendingRequest, m: Machine) -> int:
        """2 by use, 1 by the machine's own rule, 0 for none; less where as much was refused of late."""
        until, short = m.rejections_by_class.get(request.task_class.name, (0.0, request.demand))
        if self.now < until and request.demand[0] >= short[0] and request.demand[1] >= short[1]:
            return -1
        return (m.cost_by_demand.get(request.demand) or self.mean_cost(m, request.demand))[1]

    def is_allowed(self, request: PendingRequest, m: Machine) -> bool:
        """Every rule that an offer has to pass, and the filters of the design."""
        kind = request.task_class.machine_kind
        return (
            m.health is Health.UP  # rule 3: nothing from the moment that a drain is known
            and (kind is None or m.kind_index == kind)
            and (request.spec.is_eligible is None or request.spec.is_eligible(m.id))
            and self.repeat_allowed(request, m)
            and (m.started_at <= 0.0 or self.allows_slow_start(m))
            and self.spread_allowed(request, m)
        )

    def repeat_allowed(self, request: PendingRequest, m: Machine | None) -> bool:
        """Rule 2: whether another offer (to ``m``), or a refusal (none), can double no effect."""
        maybe = [a for a in request.attempts if a.state != NEVER_RAN] if request.attempts else []
        terms = request.task_class
        if not maybe or terms.idempotency is Idempotency.ALWAYS:
            return True
        if terms.idempotency is Idempotency.NEVER:
            return False
        if m is None:
            return terms.idempotency_scope is Scope.ALL
        if (
            self.now
            >= min(a.sent_at for a in maybe) + terms.idempotency_window_s - 2.0 * self.settings.tick_s
        ):
            return False
        return all(
            terms.idempotency_scope is Scope.ALL
            or (terms.idempotency_scope is Scope.ZONE and a.machine.zone == m.zone)
            or (terms.idempotency_scope is Scope.CELL and a.machine.cell == m.cell)
            for a in maybe
        )

    def is_warming_up(self, m: Machine) -> bool:
        """Started so lately that it may not be at its full pace."""
        return m.started_at > 0.0 and self.now < m.started_at + self.settings.rules.slow_start_s

    def allows_slow_start(self, m: Machine) -> bool:
        """Rule 4: this placer's part of the offers that a cold machine always bears. Refused offers count.

        What cannot be dealt to all is dealt anew in each slot of time, half of it a slot: a window may touch
        two. Slots and windows are half as long again as the rule's, for offers that wait on their way.
        """
        if not self.is_warming_up(m):
            return True
        slot, dealt = (
            int(self.now / self.slow_start_window_s) if self.slow_start_window_s > 0.0 else 0,
            self.slow_start_remainder // 2,
        )
        mine = (
            self.partition_remainder
            and (self.settings.me + m.id + slot * dealt) % max(1, self.slow_start_placers) < dealt
        )
        return (
            self.sent_lately(m) < self.slow_start_quota + mine
        )  # one more in any window, not in its slot alone

    def sent_lately(self, m: Machine) -> int:
        """Own offers within a window, warm or cold: it may have started before that was told."""
        while m.recent_attempts and m.recent_attempts[0] <= self.now - self.slow_start_window_s:
            m.recent_attempts.popleft()
        return len(m.recent_attempts)

    def spread_allowed(self, request: PendingRequest, m: Machine) -> bool:
        """Rule 5: own live tasks and attempts of the service in the place, this one included."""
        terms = request.task_class
        if terms.spread_scope is Scope.NONE:
            return True
        there = sum(
            other.tasks_by_service.get(request.spec.service, 0)
            for other in self.machines.values()
            if other is m
            or (terms.spread_scope is Scope.ZONE and other.zone == m.zone)
            or (terms.spread_scope is Scope.CELL and other.cell == m.cell)
        )
        return there < terms.max_per_domain

    def answer_without_machine(self, request: PendingRequest) -> None:
        """Rule 1: the one final answer; a refusal only where rule 2 lets it, else a failure."""
        if not request.open:
            return
        request.open = False
        if self.repeat_allowed(request, None) and not any(a.live for a in request.attempts):
            again = (
                min(AGAIN_S, self.settings.limits.max_retry_after_s)
                if self.settings.limits.retry_after
                else None
            )
            self.actions.append(api.Reject(request.spec.request_id, again))
        else:
            self.actions.append(api.Fail(request.spec.request_id))
            for number, attempt in enumerate(request.attempts):
                if attempt.live and self.settings.limits.may_cancel:
                    self.actions.append(api.CancelAttempt(request.spec.request_id, number))
        self.discard_if_done(request)

    def on_timer_fired(self, event: api.TimerFired) -> None:
        """Rule 1: the timer of a request."""
        if request := self.requests.get(event.token):
            self.answer_without_machine(request)

    def on_request_cancelled(self, event: api.RequestCancelled) -> None:
        """Ended from outside: nothing is owed any more."""
        if request := self.requests.get(event.request_id):
            request.open = False
            self.discard_if_done(request)

    def discard_if_done(self, request: PendingRequest) -> None:
        """Forget a request once it is answered and all its attempts have their outcome."""
        if not request.open and not any(a.live for a in request.attempts):
            self.requests.pop(request.spec.request_id, None)

    def track(self, ask: api.PlacementRequest) -> PendingRequest:
        """Keep a request by its id; [D5] the largest asks of each class are remembered."""
        terms, need = self.terms[ask.task_class], (ask.cores, ask.memory)
        request = self.requests[ask.request_id] = PendingRequest(ask, terms, self.now + ask.budget_s)
        if min(need) > 0.0 and self.is_large(need) and self.fits_empty_machine(need):
            old = self.largest_demands.get(terms.name, (terms, need, self.now))[1]
            self.largest_demands[terms.name] = (terms, (max(old[0], need[0]), max(old[1], need[1])), self.now)
        return request

    def accept(self, ask: api.PlacementRequest) -> PendingRequest:
        """A new ask: its timer runs out just before its owner gives up."""
        request = self.track(ask)
        self.actions.append(api.SetTimer(request.deadline - 2.0 * self.settings.tick_s, ask.request_id))
        gap = max(self.now - self.last_ask, 0.001)
        self.last_ask = self.now
        self.rate += min(1.0, gap) * LEARN * (1.0 / gap - self.rate)
        return request

    def start_attempt(self, request: PendingRequest, m: Machine) -> None:
        """Send an attempt and count it everywhere."""
        attempt = Attempt(m, self.now, PENDING)
        request.attempts.append(attempt)
        if (
            self.sent_lately(m) <= self.slow_start_quota
        ):  # one more than its share tells as much as a thousand
            m.recent_attempts.append(self.now)
        m.pending_starts[request.spec.request_id] = self.now
        self.count(request, attempt, 1)
        self.actions.append(api.StartAttempt(request.spec.request_id, m.id, self.patience(request)))

    def patience(self, request: PendingRequest) -> float:
        """How long to wait: longer as answers take longer, since giving up early only adds offers."""
        left = request.deadline - self.now
        wish = (
            request.task_class.latency_objective_s / 2.0
            if self.settings.accepts_before_running
            else request.task_class.deadline_s / 2.0
        )
        return max(min(max(wish, PATIENCE * self.lag), left), 0.001)

    def count(self, request: PendingRequest, attempt: Attempt, sign: int) -> None:
        """Add an attempt to what is known to be on its machine, or take it away."""
        m, service, tenant = attempt.machine, request.spec.service, request.spec.tenant or ""
        self.tenant_cores[tenant] = self.tenant_cores.get(tenant, 0.0) + sign * request.demand[0]
        cores, memory = sign * request.demand[0], sign * request.demand[1]
        m.own_demand, m.demand_since_report = (
            [m.own_demand[0] + cores, m.own_demand[1] + memory],
            [m.demand_since_report[0] + cores, m.demand_since_report[1] + memory],
        )
        m.demand_changes.append((self.now, cores, memory))
        m.invalidate()
        for tasks in (m.tasks_by_service, self.services):
            tasks[service] = tasks.get(service, 0) + sign
            if tasks[service] <= 0:
                del tasks[service]
        if service not in m.tasks_by_service and attempt.state == BOUND:
            m.last_ended_by_service[service] = self.now
        for k, use in enumerate(attempt.measured_usage):
            if use is not None:  # told of a task that now ends
                m.measured_usage[k] -= use
                m.measured_demand[k] -= request.demand[k]
                m.usage_limit = None  # and with it what was worked out: it is stale

    def runs(self, request: PendingRequest, attempt: Attempt, started: bool) -> None:
        """It no longer waits for its start."""
        m = attempt.machine
        if m.pending_starts.pop(request.spec.request_id, None) is not None and started and not self.stalled:
            took = self.now - attempt.sent_at
            m.start_delay_s = (
                took if m.start_delay_s is None else m.start_delay_s + 2.0 * LEARN * (took - m.start_delay_s)
            )
            self.start += LEARN * (took - self.start) if self.start else took

    def find(self, number: int, attempt: int) -> tuple[PendingRequest, Attempt] | None:
        """A live attempt, or none where the event is late or foreign."""
        request = self.requests.get(number)
        if request is None or attempt >= len(request.attempts) or not request.attempts[attempt].live:
            return None
        return request, request.attempts[attempt]

    def on_attempt_accepted(self, event: api.AttemptAccepted) -> None:
        """The answer: the task is bound to this attempt."""
        if (found := self.find(event.request_id, event.attempt)) is None:
            return
        request, attempt = found
        request.open = False
        attempt.state = BOUND
        self.lag += LEARN * (event.latency_s - self.lag)
        if not self.settings.accepts_before_running:
            self.runs(request, attempt, True)
        self.well(attempt.machine)
        for m in request.failed_on:  # [D4] the task is sound, as it was taken elsewhere: the fault was theirs
            self.suspect(m, Outcome.ERROR.value)

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """An attempt has its outcome."""
        if known := self.machines.get(event.machine):
            self.reported(known, event.report)
        if (found := self.find(event.request_id, event.attempt)) is None:
            return
        request, attempt = found
        m = attempt.machine
        self.runs(request, attempt, False)
        attempt.live = False
        self.count(request, attempt, -1)
        bound = attempt.state == BOUND
        never = event.outcome in (Outcome.REFUSED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)
        if not bound:
            attempt.state = NEVER_RAN if never else MAY_HAVE_RUN
            request.rejected_by.add(m.id)
        if event.outcome is Outcome.REFUSED:
            self.refused(request, m, event.reason)
        elif event.outcome is Outcome.ERROR:
            request.failed_on.append(m)  # whether the task or the machine is at fault is not known yet
        elif event.outcome in (Outcome.TIMED_OUT, Outcome.NOT_CONNECTED) or (
            event.outcome is Outcome.BROKEN and event.reason is Reason.UNSPECIFIED
        ):
            self.suspect(m, event.outcome.value)
            if event.outcome is Outcome.TIMED_OUT:
                self.lag += LEARN * (event.latency_s - self.lag)
        elif event.reason is Reason.EVICTED:
            m.pressure, m.pressure_at = 1.0, self.now
        if event.last or bound:
            request.open = False
        self.discard_if_done(request)
        if request.open:
            self.retries.append(request)

    def refused(self, request: PendingRequest, m: Machine, reason: Reason) -> None:
        """What a refusal teaches of its machine."""
        self.excluded.add(m)
        if reason is Reason.QUEUE_FULL:
            m.backoff_until = self.now + QUEUE_S
        elif reason is not Reason.NOT_SERVING:
            m.rejections_by_class[request.task_class.name] = (
                self.now + SHORT_S,
                request.demand,
            )  # it may have room for others
        elif not any(a.state == MAY_HAVE_RUN for a in request.attempts):
            m.backoff_until = self.now + SUSPECT_S  # it drains, or is not what the list says

    def suspect(self, m: Machine, why: str) -> None:
        """[D4] Gray failure: one sign makes a machine dear, as all may be slow; in a row they shut it out."""
        erred = why == Outcome.ERROR.value  # it may answer a probe as well as ever
        if why == Outcome.BROKEN.value:
            if self.now <= m.connection_lost_at:
                return
            m.connection_lost_at = self.now
        m.consecutive_failures += not self.stalled
        if (
            self.stalled
            or m.consecutive_failures < STRIKES
            or self.now < (m.backoff_until if erred else m.ejected_until)
        ):
            return
        wait = min(SUSPECT_S * 2.0 ** (m.consecutive_failures - STRIKES), SUSPECT_MAX_S)
        self.excluded.add(m)
        if erred:
            m.backoff_until = self.now + wait
        else:
            self.ejected_ids.add(m.id)
            self.next_tick = self.now  # to be probed at once
            m.ejected_until = self.now + wait
        self.actions.append(api.Log(f"suspect {m.id} for {wait:g} s: {why}"))

    def well(self, m: Machine) -> None:
        """It answered as it should."""
        m.consecutive_failures, m.ejected_until = 0, 0.0
        self.ejected_ids.discard(m.id)

    def reported(self, m: Machine, report: api.LoadReport | None) -> None:
        """Take a machine's own figures, where they came along."""
        if report is not None and report.free_cores is not None and report.free_memory is not None:
            m.apply_report(
                self.now - REPORT_AGE_S,
                (m.physical[0] - report.free_cores, m.physical[1] - report.free_memory),
            )

    def on_task_update(self, event: api.TaskUpdate) -> None:
        """News of a live attempt."""
        if (found := self.find(event.request_id, event.attempt)) is None:
            return
        request, attempt = found
        m = attempt.machine
        match event.kind:
            case TaskUpdateKind.STARTED:
                self.runs(request, attempt, True)
            case TaskUpdateKind.CORES_USED | TaskUpdateKind.MEMORY_USED:
                k = 0 if event.kind is TaskUpdateKind.CORES_USED else 1
                if request.demand[k] > 0.0:
                    old = attempt.measured_usage[k]
                    m.measured_usage[k] += event.value - (old or 0.0)
                    m.measured_demand[k] += request.demand[k] if old is None else 0.0
                    m.usage_limit = None
                    m.cost_by_demand.clear()
                    attempt.measured_usage[k] = event.value
                    self.use[k] += 0.2 * LEARN * (event.value / request.demand[k] - self.use[k])
            case _:
                served = event.kind is TaskUpdateKind.SERVED_FRACTION
                m.pressure, m.pressure_at = 1.0 - event.value if served else event.value, self.now

    def on_health_check_result(self, event: api.HealthCheckResult) -> None:
        """A probe came back."""
        if m := self.machines.get(event.machine):
            m.health_check_pending = False
            if event.outcome is Outcome.OK:
                self.well(m)
                self.reported(m, event.report)

    def on_task_adopted(self, event: api.TaskAdopted) -> None:
        """A task that runs already."""
        ask = event.request
        m = self.machines.get(event.machine)
        if m is None:
            m = self.machines[event.machine] = Machine(
                event.machine, self.index.changed
            )  # no list has it: gone
        request = self.track(ask)
        request.open = False
        attempt = Attempt(m, self.now, BOUND)
        request.attempts.append(attempt)
        self.count(request, attempt, 1)

    def on_endpoint_update(self, event: api.EndpointUpdate) -> None:
        """The list, or its changes."""
        named, changed, born = set[int](), event.complete, not self.next_tick
        for entry in event.entries:
            named.add(entry.machine)
            m = self.machines.get(entry.machine)
            if m is None:
                m = self.machines[entry.machine] = Machine(entry.machine, self.index.changed)
            elif entry.started_at > m.started_at and entry.health is Health.UP:
                m.reset()  # its process started anew: cold and empty
                changed = True
            m.started_at, m.cell, s = max(m.started_at, entry.started_at), entry.cell, self.settings
            if born and self.is_warming_up(
                m
            ):  # a process before this one may have sent it all that it may, just now
                m.recent_attempts.extend(
                    [self.now - self.slow_start_window_s / 3.0] * (self.slow_start_quota + 1)
                )
            if (entry.health, entry.kind, entry.zone) != (m.health, m.kind, m.zone):
                m.health, m.kind, m.zone, changed = entry.health, entry.kind, entry.zone, True
                m.kind_index, m.in_other_zone = (
                    s.kinds.index(m.kind) if m.kind in s.kinds else -1,
                    m.zone != s.zone,
                )
                sizes = list(zip(s.cores_by_kind, s.memory_by_kind, strict=False)) or [(0.0, 0.0)]
                m.physical = (
                    sizes[m.kind_index] if 0 <= m.kind_index < len(sizes) else max(sizes)
                )  # an offer will tell
                m.capacity, m.usage_limit = (
                    (m.physical[0] * s.overcommit_cores, m.physical[1] * s.overcommit_memory),
                    None,
                )
            if s.endpoint_list_shows_free:
                m.apply_report(
                    self.now - LIST_AGE_S,
                    (m.physical[0] - entry.free_cores, m.physical[1] - entry.free_memory),
                )
        for number in self.machines.keys() - named if event.complete else ():
            self.machines[number].health = Health.REMOVED
        if changed:
            self.index.replace(m for m in self.machines.values() if m.health is Health.UP)
            self.largest = tuple(max((m.capacity[k] for m in self.index.up), default=0.0) for k in (0, 1))
            self.averaged = -math.inf

    def on_endpoint_watch_failed(self, event: api.EndpointWatchFailed) -> None:
        """A call to the list failed: where it must be asked, ask again in a while."""
        if self.settings.list_on_request and self.list_retry_at is None:
            self.list_retry_at = self.now + self.settings.rules.poll_interval_s / 4.0

    def housekeep(self) -> None:
        """Digests to peers, probes of suspects, calls to a list that must be asked."""
        self.next_tick = self.now + (TICK_S if self.ejected_ids else IDLE_TICK_S)
        self.actions.append(api.SetTimer(self.next_tick, HOUSEKEEPING))
        if self.list_retry_at is not None and self.now >= self.list_retry_at:
            self.list_retry_at = None
            self.actions.append(api.WatchEndpoints(True))
        self.ejected_ids &= self.machines.keys()
        self.probes.retain(self.ejected_ids)
        for number in sorted(self.ejected_ids) if self.settings.limits.may_probe else ():
            m = self.machines[number]
            if not m.health_check_pending and m.health is Health.UP and self.probes.is_due(number, self.now):
                m.health_check_pending = True
                self.actions.append(api.CheckHealth(m.id))
        for m in [m for m in self.machines.values() if m.health is Health.REMOVED and not m.tasks_by_service]:
            del self.machines[m.id]  # else the days of replaced machines add up
        if self.now >= self.next_sweep:
            self.next_sweep = self.now + PROGRAM_S
            for m in self.index.up:
                m.last_ended_by_service = {
                    service: at
                    for service, at in m.last_ended_by_service.items()
                    if self.now - at < PROGRAM_S
                }
        while self.digests and self.now - next(iter(self.digests.values()))[0] >= PEER_LOST_S:
            self.digest_of(next(iter(self.digests)), [])
        if self.settings.limits.may_gossip and self.settings.placers > 1 and self.now >= self.next_digest:
            self.digest()

    def digest(self) -> None:
        """Tell a peer what own tasks ask of each machine, as often as the price allows at any size."""
        rows = [
            m
            for m in self.machines.values()
            if m.health is not Health.REMOVED and (m.own_demand[0] or m.own_demand[1])
        ]
        self.random.shuffle(rows)
        data = b"\x01"  # the form of the message
        for m in rows[:31]:
            data += struct.pack(
                "<IHH", m.id, *(min(65535, max(0, round(own * 64.0))) for own in m.own_demand)
            )
        peer = (self.settings.me + self.random.randrange(1, self.settings.placers)) % self.settings.placers
        self.actions.append(api.SendGossip(peer, data))
        cost = self.settings.prices.gossip * len(data) / 256.0
        wait = cost / DIGEST_POINTS / max(self.rate, 0.1)
        self.next_digest = self.now + max(2.0 * TICK_S / self.settings.placers, wait)

    def on_gossip_message(self, event: api.GossipMessage) -> None:
        """A peer's digest: what its tasks ask of each machine; one left out holds none of them."""
        if len(event.data) % 8 != 1 or event.data[0] != 1:
            return
        told = struct.iter_unpack("<IHH", event.data[1:])
        known = [(self.machines[number], *asked) for number, *asked in told if number in self.machines]
        rows = [(m, cores / 64.0, memory / 64.0) for m, cores, memory in known]
        self.digest_of(event.sender, rows)
        self.digests[event.sender] = (self.now, rows)

    def digest_of(self, sender: int, rows: list[tuple[Machine, float, float]]) -> None:
        """Keep the sums of what peers told: this takes the place of the peer's last word."""
        for sign, told in ((-1.0, self.digests.pop(sender, (0.0, []))[1]), (1.0, rows)):
            for m, cores, memory in told:
                m.peer_demand = [m.peer_demand[0] + sign * cores, m.peer_demand[1] + sign * memory]
                m.invalidate()
