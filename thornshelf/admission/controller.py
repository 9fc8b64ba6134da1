"""The door: verdicts on connections and set-ups, by source, by prefix, and by what is kept for whom.

A source is an IPv4 address or an IPv6 /64 (a county's host has one; a crowd could have as many addresses in it as
it likes). All limits that hold for a source are looked at before any of them is used up, so that a refusal by one
costs nothing of the others. What is kept of sources is bounded: one of which nothing is open and whose rates have
rested is forgotten, and beyond the most that are kept, new unknown ones share one state.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from thornshelf.admission.gcra import Rate, is_idle, next_arrival_time, wait_us
from thornshelf.admission.prefixes import Prefix, PrefixTable, parse_address
from thornshelf.admission.reputation import Reputation, ReputationConfig
from thornshelf.admission.reserved_connections import ReservedConnections, ReservedConnectionsConfig

Source = tuple[int, int]  # version, and the address or its /64
UNREADABLE_SOURCE: Source = (0, 0)  # peers whose address can't be read share one source
OVERFLOW_SOURCE: Source = (0, 1)  # so do unknown ones beyond the most that are kept
_EVICTIONS_PER_INSERT = 2  # forgotten at once, so that a flood of sources costs each of them little


@dataclass(frozen=True, slots=True)
class Limits:
    """For one source, or for all of a prefix together; None is no limit."""

    max_connections: int | None = None
    connection_rate: Rate | None = None
    request_rate: Rate | None = None


@dataclass(frozen=True, slots=True)
class PrefixRule:
    """What holds for a prefix."""

    name: str
    prefix: Prefix
    known: bool = False
    prefix_limits: Limits = field(default_factory=Limits)
    source_limits: Limits | None = None  # in place of the wider prefix's


@dataclass(frozen=True, slots=True)
class AdmissionConfig:
    """All that the operator sets."""

    reserved_connections: ReservedConnectionsConfig
    rules: tuple[PrefixRule, ...] = ()
    source_limits: Limits = field(default_factory=Limits)
    unknown_request_rate: Rate | None = None  # of all unknown sources together
    reputation: ReputationConfig = field(default_factory=ReputationConfig)
    max_sources: int = 20_000


@dataclass(frozen=True, slots=True)
class Decision:
    """``admit``; where not, why and how long to stay away. ``replace``: an idle unknown connection must go for it."""

    admitted: bool
    reason: str = ""
    retry_after_us: int = 0
    replaces_idle: bool = False
    known: bool = False  # where it is refused: the source was known


ADMIT, ADMIT_REPLACING_IDLE = Decision(True), Decision(True, replaces_idle=True)


class _State:
    """Of one source, or of one rule's prefix."""

    __slots__ = ("connect_tat", "epoch", "open", "rules", "set_up_tat")

    def __init__(self, rules: tuple[PrefixRule, ...] = (), epoch: int = 0) -> None:
        self.open = self.connect_tat = self.set_up_tat = 0
        self.rules, self.epoch = rules, epoch  # the rules that hold for a source, as they were read then


class ConnectionPermit:
    """One admitted connection, to be given back when it closes."""

    __slots__ = ("epoch", "known", "over", "rates", "rules", "source", "state")

    def __init__(self, source: Source, state: _State, rules: tuple[PrefixRule, ...], known: bool) -> None:
        self.source, self.state, self.rules, self.known = source, state, rules, known
        self.over = False
        self.epoch = -1  # of the rules that its rates are of
        self.rates: list[tuple[Rate, _State, str]] = []


class AdmissionController:
    """Verdicts."""

    def __init__(self, config: AdmissionConfig, now_us: int = 0) -> None:
        self.reputation = Reputation(config.reputation, now_us)
        self.reserved_connections = ReservedConnections(config.reserved_connections)
        self.counts: Counter[str] = Counter()
        self._sources: OrderedDict[Source, _State] = OrderedDict()  # the one seen last is the last
        self._rules: dict[str, _State] = {}  # by the rule's name: kept when rules are read again
        self._unknown_tat = 0
        self._addresses: OrderedDict[str, Source] = OrderedDict()
        self._epoch = 0
        self.config = config
        self.reconfigure(config)

    def reconfigure(self, config: AdmissionConfig) -> None:
        """New rules: nobody is dropped, and what is open stays counted."""
        self.config, self.reserved_connections.config = config, config.reserved_connections
        self._epoch += 1
        self._table: PrefixTable[PrefixRule] = PrefixTable()
        for rule in config.rules:
            self._table.insert(rule.prefix, rule)
            self._rules.setdefault(rule.name, _State())

    def __len__(self) -> int:
        return len(self._sources)

    def source_of(self, address: str) -> Source:
        """The source of a peer's address; one that can't be read is nobody's in particular."""
        found = self._addresses.get(address)
        if found is None:
            try:
                version, value = parse_address(address)
                found = (version, value if version == 4 else value >> 64)
            except ValueError:
                found = UNREADABLE_SOURCE
            self._addresses[address] = found
            if len(self._addresses) > 4096:
                self._addresses.popitem(last=False)
        return found

    def rules_for(self, source: Source) -> tuple[PrefixRule, ...]:
        """The rules that hold for a source, the widest prefix first."""
        version, value = source
        if version not in (4, 6):
            return ()
        return tuple(self._table.matches(version, value if version == 4 else value << 64))

    def is_known(self, source: Source, now_us: int, rules: tuple[PrefixRule, ...] | None = None) -> bool:
        """By the longest prefix that is listed, or by conduct."""
        for rule in reversed(self.rules_for(source) if rules is None else rules):
            if rule.known:
                return True
        return self.reputation.is_known(source, now_us)

    def admit_connection(
        self, address: str, now_us: int, busy_unknown: int
    ) -> tuple[Decision, ConnectionPermit | None]:
        """A connection has come; ``busy``: unknown connections that can't be closed now."""
        source = self.source_of(address)
        state = self._sources.get(source)
        if state is None:
            rules = self.rules_for(source)
            known = self.is_known(source, now_us, rules)
            source, state = self._keep(source, rules, known, now_us)
        else:
            self._sources.move_to_end(source)
            if state.epoch != self._epoch:
                state.rules, state.epoch = self.rules_for(source), self._epoch
            rules = state.rules
            known = self.is_known(source, now_us, rules)
        limits = self._each(rules)
        parts = [
            (limits, state, "its address"),
            *((one.prefix_limits, self._rules[one.name], one.name) for one in rules),
        ]
        for one, kept, name in parts:
            if one.max_connections is not None and kept.open >= one.max_connections:
                return self._refuse(f"too many connections of {name}", 1_000_000, known), None
            if (
                one.connection_rate is not None
                and next_arrival_time(one.connection_rate, kept.connect_tat, now_us) is None
            ):
                wait = wait_us(one.connection_rate, kept.connect_tat, now_us)
                return self._refuse(f"connections of {name} come too fast", wait, known), None
        replace = False
        if not self.reserved_connections.can_open(known, busy_unknown):
            if not known or not self.reserved_connections.can_replace(busy_unknown):
                return self._refuse("no place is left", 1_000_000, known), None
            replace = True
        for one, kept, _ in parts:
            kept.open += 1
            if one.connection_rate is not None:
                kept.connect_tat = (
                    next_arrival_time(one.connection_rate, kept.connect_tat, now_us) or kept.connect_tat
                )
        self.reserved_connections.record_open(known)
        self.counts["admitted known" if known else "admitted"] += 1
        return (ADMIT_REPLACING_IDLE if replace else ADMIT), ConnectionPermit(source, state, rules, known)

    def release(self, permit: ConnectionPermit) -> None:
        """An admitted connection is over."""
        if permit.over:
            return
        permit.over = True
        permit.state.open -= 1
        for rule in permit.rules:
            self._rules[rule.name].open -= 1
        self.reserved_connections.record_close(permit.known)

    def admit_request(self, permit: ConnectionPermit, now_us: int) -> Decision:
        """A set-up on an admitted connection."""
        if permit.epoch != self._epoch:
            self._renew(permit)
        for rate, kept, name in permit.rates:
            if next_arrival_time(rate, kept.set_up_tat, now_us) is None:
                wait = wait_us(rate, kept.set_up_tat, now_us)
                return self._refuse(f"set-ups of {name} come too fast", wait, permit.known)
        shared = None if permit.known else self.config.unknown_request_rate
        if shared is not None:
            tat = next_arrival_time(shared, self._unknown_tat, now_us)
            if tat is None:
                wait = wait_us(shared, self._unknown_tat, now_us)
                return self._refuse("set-ups of unknown sources come too fast", wait, False)
            self._unknown_tat = tat
        for rate, kept, _ in permit.rates:
            kept.set_up_tat = next_arrival_time(rate, kept.set_up_tat, now_us) or kept.set_up_tat
        return ADMIT

    def record_placement(self, permit: ConnectionPermit, now_us: int) -> None:
        """A task was placed for a source, which may make it known: its connection counts to the reserve then."""
        if permit.source in (OVERFLOW_SOURCE, UNREADABLE_SOURCE):
            return
        self.reputation.record_placement(permit.source, now_us)
        if not permit.known and not permit.over and self.reputation.is_known(permit.source, now_us):
            permit.known = True
            self.reserved_connections.record_promotion()

    def _renew(self, given: ConnectionPermit) -> None:
        """The rates that hold for a connection, put together once for each reading of the rules."""
        given.epoch = self._epoch
        parts = [(self._each(given.rules).request_rate, given.state, "its address")]
        parts += [(one.prefix_limits.request_rate, self._rules[one.name], one.name) for one in given.rules]
        given.rates = [(rate, kept, name) for rate, kept, name in parts if rate is not None]

    def _each(self, rules: tuple[PrefixRule, ...]) -> Limits:
        for rule in reversed(rules):
            if rule.source_limits is not None:
                return rule.source_limits
        return self.config.source_limits

    def _refuse(self, why: str, wait: int, known: bool) -> Decision:
        self.counts["refused known" if known else "refused"] += 1
        return Decision(False, why, wait, known=known)

    def _keep(
        self, source: Source, rules: tuple[PrefixRule, ...], known: bool, now_us: int
    ) -> tuple[Source, _State]:
        """Keep a new source; the one that it is kept under, and its state."""
        self._sweep(now_us)
        if len(self._sources) >= self.config.max_sources and not known:
            if (crowd := self._sources.get(OVERFLOW_SOURCE)) is None:
                crowd = self._sources[OVERFLOW_SOURCE] = _State()
            self._sources.move_to_end(OVERFLOW_SOURCE)
            return OVERFLOW_SOURCE, crowd
        state = self._sources[source] = _State(rules, self._epoch)
        return source, state

    def _sweep(self, now_us: int) -> None:
        """Forget the sources that were seen longest ago and have rested."""
        for _ in range(_EVICTIONS_PER_INSERT):
            if not self._sources:
                return
            source = next(iter(self._sources))
            state = self._sources[source]
            limits = self._each(state.rules)
            idle = all(
                rate is None or is_idle(rate, tat, now_us)
                for rate, tat in (
                    (limits.connection_rate, state.connect_tat),
                    (limits.request_rate, state.set_up_tat),
                )
            )
            if state.open or not idle:
                # One that is open and was seen long ago does not stand in the way of the others behind it.
                if len(self._sources) < self.config.max_sources:
                    return
                self._sources.move_to_end(source)
                continue
            del self._sources[source]
