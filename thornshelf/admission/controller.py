"""Admission decisions on connections and requests: by source, by prefix and by reserved connections.

A source is an IPv4 address or an IPv6 /64. Single IPv6 addresses are not limited, because a client can use any number
of addresses of its /64. All limits that apply to a source are checked before any of them is charged, so that a
rejection by one limit consumes nothing of the others. The number of tracked sources is bounded: a source without an
open connection is evicted after its rates have recovered, and when ``max_sources`` are tracked, further unknown
sources share one state.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from thornshelf.admission.gcra import Rate, is_idle, next_arrival_time, wait_us
from thornshelf.admission.prefixes import Prefix, PrefixTable, parse_address
from thornshelf.admission.reputation import Reputation, ReputationConfig
from thornshelf.admission.reserved_connections import ReservedConnections, ReservedConnectionsConfig

Source = tuple[int, int]  # IP version; the IPv4 address, or the upper 64 bits of the IPv6 address
INVALID_ADDRESS_SOURCE: Source = (0, 0)  # shared by peers whose address can't be parsed
OVERFLOW_SOURCE: Source = (0, 1)  # shared by unknown sources beyond ``max_sources``
FULL_RETRY_AFTER_US = 1_000_000  # for a connection that can't be admitted until another one closes
_MAX_CACHED_ADDRESSES = 4096
# More than one, so that the table shrinks again; few, so that tracking a new source takes little time.
_EVICTIONS_PER_INSERT = 2


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one source, or of all sources of a prefix together; None means no limit."""

    max_connections: int | None = None
    connection_rate: Rate | None = None
    request_rate: Rate | None = None


@dataclass(frozen=True, slots=True)
class PrefixRule:
    """The settings of a prefix: whether its sources are known, their common limits, and the limits of each source."""

    name: str
    prefix: Prefix
    known: bool = False
    prefix_limits: Limits = field(default_factory=Limits)
    source_limits: Limits | None = None  # replace those of shorter prefixes; None keeps them


@dataclass(frozen=True, slots=True)
class AdmissionConfig:
    """All settings of the admission controller."""

    reserved_connections: ReservedConnectionsConfig
    rules: tuple[PrefixRule, ...] = ()
    source_limits: Limits = field(default_factory=Limits)
    unknown_request_rate: Rate | None = None  # for all unknown sources together
    reputation: ReputationConfig = field(default_factory=ReputationConfig)
    max_sources: int = 20_000


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a connection or request is admitted.

    ``reason``, ``retry_after_us`` and ``known`` (whether the source is known) are set only for a rejection.
    ``replaces_idle``: the connection is admitted on condition that the caller closes an idle connection of an unknown
    source.
    """

    admitted: bool
    reason: str = ""
    retry_after_us: int = 0
    replaces_idle: bool = False
    known: bool = False


ADMIT = Decision(admitted=True)
ADMIT_REPLACING_IDLE = Decision(admitted=True, replaces_idle=True)


class _LimitState:
    """Usage of the limits of one source, or of one prefix rule."""

    __slots__ = ("connection_arrival", "epoch", "open_count", "request_arrival", "rules")

    def __init__(self, rules: tuple[PrefixRule, ...] = (), epoch: int = 0) -> None:
        self.open_count = 0
        self.connection_arrival = 0  # theoretical arrival times, as in ``gcra``
        self.request_arrival = 0
        self.rules = rules  # that apply to the source; empty in the state of a rule
        self.epoch = epoch  # number of the reconfiguration that ``rules`` are from


# Limits, their usage, and the name of what they limit, for messages.
_Scope = tuple[Limits, _LimitState, str]


class ConnectionPermit:
    """One admitted connection; the caller releases it when the connection closes."""

    __slots__ = ("epoch", "known", "rates", "released", "rules", "source", "state")

    def __init__(
        self, source: Source, state: _LimitState, rules: tuple[PrefixRule, ...], known: bool
    ) -> None:
        self.source = source
        self.state = state
        self.rules = rules
        self.known = known
        self.released = False
        self.epoch = -1  # number of the reconfiguration that ``rates`` are from; -1 before the first request
        self.rates: list[tuple[Rate, _LimitState, str]] = []


class AdmissionController:
    """Decides on connections and requests, and counts open connections."""

    def __init__(self, config: AdmissionConfig, now_us: int = 0) -> None:
        self.config = config
        self.reputation = Reputation(config.reputation, now_us)
        self.reserved_connections = ReservedConnections(config.reserved_connections)
        self.counts: Counter[str] = Counter()
        self._sources: OrderedDict[Source, _LimitState] = OrderedDict()  # least recently seen first
        self._rules: dict[str, _LimitState] = {}  # by name, so that usage survives a reconfiguration
        self._unknown_arrival = 0  # theoretical arrival time of the rate that unknown sources share
        self._addresses: OrderedDict[str, Source] = OrderedDict()
        self._epoch = 0
        self.reconfigure(config)

    def reconfigure(self, config: AdmissionConfig) -> None:
        """Applies new settings. Open connections stay open and keep counting towards the limits."""
        self.config = config
        self.reserved_connections.config = config.reserved_connections
        self._epoch += 1
        self._table: PrefixTable[PrefixRule] = PrefixTable()
        for rule in config.rules:
            self._table.insert(rule.prefix, rule)
            self._rules.setdefault(rule.name, _LimitState())

    def __len__(self) -> int:
        return len(self._sources)

    def source_of(self, address: str) -> Source:
        """Returns the source of a peer's address; all addresses that can't be parsed share one source."""
        source = self._addresses.get(address)
        if source is None:
            try:
                version, value = parse_address(address)
                source = (version, value if version == 4 else value >> 64)
            except ValueError:
                source = INVALID_ADDRESS_SOURCE
            self._addresses[address] = source
            if len(self._addresses) > _MAX_CACHED_ADDRESSES:
                self._addresses.popitem(last=False)
        return source

    def rules_for(self, source: Source) -> tuple[PrefixRule, ...]:
        """Returns the rules that apply to a source, that of the shortest prefix first."""
        version, value = source
        if version not in (4, 6):
            return ()
        return tuple(self._table.matches(version, value if version == 4 else value << 64))

    def is_known(self, source: Source, now_us: int, rules: tuple[PrefixRule, ...] | None = None) -> bool:
        """Returns whether a source is known, by one of its rules or by its reputation.

        ``rules``: those of the source if the caller has them already; None looks them up.
        """
        for rule in reversed(self.rules_for(source) if rules is None else rules):
            if rule.known:
                return True
        return self.reputation.is_known(source, now_us)

    def admit_connection(
        self, address: str, now_us: int, busy_unknown: int
    ) -> tuple[Decision, ConnectionPermit | None]:
        """Decides on a new connection, and returns its permit if it is admitted.

        ``busy_unknown``: number of open connections of unknown sources that can't be closed now.
        """
        source = self.source_of(address)
        state = self._sources.get(source)
        if state is None:
            rules = self.rules_for(source)
            known = self.is_known(source, now_us, rules)
            source, state = self._track(source, rules, known, now_us)
        else:
            self._sources.move_to_end(source)
            if state.epoch != self._epoch:
                state.rules = self.rules_for(source)
                state.epoch = self._epoch
            rules = state.rules
            known = self.is_known(source, now_us, rules)
        scopes: list[_Scope] = [(self._source_limits(rules), state, "its address")]
        scopes += [(rule.prefix_limits, self._rules[rule.name], rule.name) for rule in rules]
        if (rejection := self._connection_rejection(scopes, known, now_us)) is not None:
            return rejection, None
        decision = ADMIT
        if not self.reserved_connections.can_open(known, busy_unknown):
            if not known or not self.reserved_connections.can_replace(busy_unknown):
                return self._reject("no place is left", FULL_RETRY_AFTER_US, known), None
            decision = ADMIT_REPLACING_IDLE
        for limits, usage, _ in scopes:
            usage.open_count += 1
            if (rate := limits.connection_rate) is not None:
                arrival = next_arrival_time(rate, usage.connection_arrival, now_us)
                usage.connection_arrival = arrival or usage.connection_arrival
        self.reserved_connections.record_open(known)
        self.counts["admitted known" if known else "admitted"] += 1
        return decision, ConnectionPermit(source, state, rules, known)

    def release(self, permit: ConnectionPermit) -> None:
        """Records that an admitted connection was closed; releasing its permit again has no effect."""
        if permit.released:
            return
        permit.released = True
        permit.state.open_count -= 1
        for rule in permit.rules:
            self._rules[rule.name].open_count -= 1
        self.reserved_connections.record_close(permit.known)

    def admit_request(self, permit: ConnectionPermit, now_us: int) -> Decision:
        """Decides on a request on an admitted connection."""
        if permit.epoch != self._epoch:
            self._update_rates(permit)
        for rate, usage, name in permit.rates:
            if next_arrival_time(rate, usage.request_arrival, now_us) is None:
                wait = wait_us(rate, usage.request_arrival, now_us)
                return self._reject(f"set-ups of {name} come too fast", wait, permit.known)
        shared = None if permit.known else self.config.unknown_request_rate
        if shared is not None:
            arrival = next_arrival_time(shared, self._unknown_arrival, now_us)
            if arrival is None:
                wait = wait_us(shared, self._unknown_arrival, now_us)
                return self._reject("set-ups of unknown sources come too fast", wait, known=False)
            self._unknown_arrival = arrival
        for rate, usage, _ in permit.rates:
            usage.request_arrival = (
                next_arrival_time(rate, usage.request_arrival, now_us) or usage.request_arrival
            )
        return ADMIT

    def record_placement(self, permit: ConnectionPermit, now_us: int) -> None:
        """Records that a task was placed for a source.

        If that makes the source known, this connection counts as known from now on.
        """
        if permit.source in (OVERFLOW_SOURCE, INVALID_ADDRESS_SOURCE):
            return
        self.reputation.record_placement(permit.source, now_us)
        if not permit.known and not permit.released and self.reputation.is_known(permit.source, now_us):
            permit.known = True
            self.reserved_connections.record_promotion()

    def _update_rates(self, permit: ConnectionPermit) -> None:
        """Collects the request rates that apply to a connection; needed once after each reconfiguration."""
        permit.epoch = self._epoch
        rates = [(self._source_limits(permit.rules).request_rate, permit.state, "its address")]
        rates += [
            (rule.prefix_limits.request_rate, self._rules[rule.name], rule.name) for rule in permit.rules
        ]
        permit.rates = [(rate, usage, name) for rate, usage, name in rates if rate is not None]

    def _source_limits(self, rules: tuple[PrefixRule, ...]) -> Limits:
        for rule in reversed(rules):
            if rule.source_limits is not None:
                return rule.source_limits
        return self.config.source_limits

    def _connection_rejection(self, scopes: list[_Scope], known: bool, now_us: int) -> Decision | None:
        """Returns the rejection by the first limit that a new connection exceeds; None if it exceeds none."""
        for limits, usage, name in scopes:
            if limits.max_connections is not None and usage.open_count >= limits.max_connections:
                return self._reject(f"too many connections of {name}", FULL_RETRY_AFTER_US, known)
            rate = limits.connection_rate
            if rate is not None and next_arrival_time(rate, usage.connection_arrival, now_us) is None:
                wait = wait_us(rate, usage.connection_arrival, now_us)
                return self._reject(f"connections of {name} come too fast", wait, known)
        return None

    def _reject(self, reason: str, retry_after_us: int, known: bool) -> Decision:
        self.counts["refused known" if known else "refused"] += 1
        return Decision(admitted=False, reason=reason, retry_after_us=retry_after_us, known=known)

    def _track(
        self, source: Source, rules: tuple[PrefixRule, ...], known: bool, now_us: int
    ) -> tuple[Source, _LimitState]:
        """Tracks a new source; returns the source under which it is tracked, and its state."""
        self._evict_idle(now_us)
        if len(self._sources) >= self.config.max_sources and not known:
            if (shared := self._sources.get(OVERFLOW_SOURCE)) is None:
                shared = self._sources[OVERFLOW_SOURCE] = _LimitState()
            self._sources.move_to_end(OVERFLOW_SOURCE)
            return OVERFLOW_SOURCE, shared
        state = self._sources[source] = _LimitState(rules, self._epoch)
        return source, state

    def _evict_idle(self, now_us: int) -> None:
        """Evicts the least recently seen sources, if they are idle."""
        for _ in range(_EVICTIONS_PER_INSERT):
            if not self._sources:
                return
            source = next(iter(self._sources))
            if self._is_idle(self._sources[source], now_us):
                del self._sources[source]
            elif len(self._sources) < self.config.max_sources:
                return
            else:
                # A busy source at the front must not keep the idle ones behind it from eviction.
                self._sources.move_to_end(source)

    def _is_idle(self, state: _LimitState, now_us: int) -> bool:
        """Returns whether a source has no open connection and its rates have recovered."""
        if state.open_count:
            return False
        limits = self._source_limits(state.rules)
        connection_rate = limits.connection_rate
        if connection_rate is not None and not is_idle(connection_rate, state.connection_arrival, now_us):
            return False
        request_rate = limits.request_rate
        return request_rate is None or is_idle(request_rate, state.request_arrival, now_us)
