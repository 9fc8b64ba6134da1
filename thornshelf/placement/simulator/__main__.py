"""The adapter between the wire and the placers: it reads batches, hosts instances, writes replies.

It decides nothing. Malformed input ends the process with one plain line on standard error.
"""

from __future__ import annotations

import base64
import binascii
import math
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import IO, TypeVar

from thornshelf.errors import WireError
from thornshelf.placement import interface as api
from thornshelf.placement.placer import Placer

EXIT_MALFORMED = 2
REF_COUNT = 16
ALL_PEERS = -1

_HEALTH = {"U": api.Health.UP, "L": api.Health.DRAINING, "D": api.Health.REMOVED}
_OUTCOME = {
    "S": api.Outcome.OK,
    "E": api.Outcome.ERROR,
    "F": api.Outcome.REFUSED,
    "T": api.Outcome.TIMED_OUT,
    "C": api.Outcome.NOT_CONNECTED,
    "R": api.Outcome.BROKEN,
    "X": api.Outcome.CANCELLED,
    "N": api.Outcome.NOT_SENT,
}
_REASON = {reason.value: reason for reason in api.Reason}
_FACT = {str(fact.value): fact for fact in api.TaskUpdateKind}
_COLUMNS = {
    "active": "active",
    "waiting": "waiting",
    "cpu": "busy",
    "avg_ms": "start_ms",
    "rps": "starts_per_s",
    "err_rps": "errors_per_s",
    "x0": "free_cores",
    "x1": "free_memory",
}
_FIELDS = {
    "ROSTER": 2,
    "ROSTER_CHANGE": 4,
    "SUBMIT": 11,
    "PROBED": 5,
    "RESULT": 9,
    "RUNNING": 12,
    "NOTE_FROM": 3,
    "SHUTDOWN": 1,
    "HINT_UPDATE": 6,
    "ACCEPTED": 5,
    "ABANDONED": 2,
    "ALARM": 2,
}
_MARK_HINT, _MARK_REPEAT, _MARK_AGAIN = 1, 2, 16
_ABSENT = "-"


def _integer(text: str, what: str) -> int:
    try:
        value = int(text)
    except ValueError:
        raise WireError(f"{what} is no whole number: {text!r}") from None
    if value < 0:
        raise WireError(f"{what} is below 0: {text!r}")
    return value


def _number(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{what} is no number: {text!r}") from None
    if not math.isfinite(value):
        raise WireError(f"{what} is not finite: {text!r}")
    return value


def _optional_number(text: str, what: str) -> float | None:
    return None if text == _ABSENT else _number(text, what)


def _bool(text: str, what: str) -> bool:
    if text in ("0", "1"):
        return text == "1"
    if text == _ABSENT:
        return False
    raise WireError(f"{what} is neither 1 nor 0: {text!r}")


_Choice = TypeVar("_Choice")


def _choice(table: dict[str, _Choice], text: str, what: str) -> _Choice:
    try:
        return table[text]
    except KeyError:
        raise WireError(f"{what} is not known: {text!r}") from None


def _small(text: str) -> int:
    return 0 if text == _ABSENT else _integer(text, "info")


class Pairs:
    """The settings of a start: path=value, read with a plain fault where one is missing or bad."""

    def __init__(self, fields: Iterable[str]) -> None:
        self.values: dict[str, str] = {}
        for field in fields:
            path, sign, value = field.partition("=")
            if not sign:
                raise WireError(f"setting without a value: {field!r}")
            self.values[path] = value

    def text(self, path: str) -> str:
        try:
            return self.values[path]
        except KeyError:
            raise WireError(f"setting missing: {path}") from None

    def number(self, path: str, absent: float | None = None) -> float:
        value = self.values.get(path, _ABSENT)
        if value in (_ABSENT, "") and absent is not None:
            return absent
        return _number(self.text(path), path)

    def integer(self, path: str) -> int:
        return _integer(self.text(path), path)

    def flag(self, path: str) -> bool:
        value = self.values.get(path, "false")
        if value in ("true", "1"):
            return True
        if value in ("false", "0", _ABSENT):
            return False
        raise WireError(f"{path} is neither true nor false: {value!r}")

    def texts(self, path: str) -> list[str]:
        value = self.values.get(path, "")
        return value.split(",") if value not in ("", _ABSENT) else []

    def numbers(self, path: str) -> tuple[float, ...]:
        return tuple(_number(item, path) for item in self.texts(path))

    def scope(self, text: str, path: str) -> api.Scope:
        return _choice({scope.value: scope for scope in api.Scope}, text, path)


def _item(values: Sequence[float], index: int, absent: float) -> float:
    return values[index] if index < len(values) else absent


def _classes(pairs: Pairs) -> tuple[api.TaskClass, ...]:
    kinds = pairs.numbers("family-info.class-kind")
    starts = pairs.numbers("family-info.class-start-s")
    full = pairs.numbers("family-info.full-up-to")
    lost = pairs.numbers("family-info.lost-after")
    most = pairs.numbers("family-info.most-together")
    priority = pairs.numbers("family-info.precedence")
    spread = pairs.texts("family-info.spread-over")
    effects = {effect.value: effect for effect in api.Idempotency}
    classes = []
    for index in range(pairs.integer("categories.count")):
        at = f"categories.{index}."
        kind = int(_item(kinds, index, -1.0))
        classes.append(
            api.TaskClass(
                name=pairs.text(at + "name"),
                idempotency=_choice(effects, pairs.text(at + "effect"), at + "effect"),
                idempotency_scope=pairs.scope(pairs.values.get(at + "group", "all"), at + "group"),
                idempotency_window_s=pairs.number(at + "dedup-window-s", 0.0),
                latency_objective_s=pairs.number(at + "aim-s"),
                latency_objective_stretch=pairs.number(at + "aim-stretch", 0.0),
                deadline_s=pairs.number(at + "deadline-s"),
                priority_weight=pairs.number(at + "worth", 1.0),
                priority_weight_past_objective=pairs.number(at + "late-worth", 0.0),
                start_weight_s=_item(starts, index, 0.0),
                machine_kind=None if kind < 0 else kind,
                priority=int(_item(priority, index, 0.0)),
                full_speed_utilization=_item(full, index, 1.0),
                lost_after=_item(lost, index, 0.0),
                spread_scope=pairs.scope(
                    spread[index] if index < len(spread) else "none", "family-info.spread-over"
                ),
                max_per_domain=int(_item(most, index, 0.0)),
            )
        )
    return tuple(classes)


def _tenants(pairs: Pairs) -> tuple[api.Tenant, ...]:
    cores = pairs.numbers("family-info.quota-cores")
    count = pairs.integer("tenants.count") if "tenants.count" in pairs.values else 0
    return tuple(
        api.Tenant(
            name=pairs.text(f"tenants.{index}.name"),
            quota_per_s=pairs.number(f"tenants.{index}.quota-per-s", 0.0),
            quota_cores=_item(cores, index, 0.0),
            fraction=pairs.number(f"tenants.{index}.fraction", 0.0),
        )
        for index in range(count)
    )


def read_settings(fields: Iterable[str]) -> tuple[api.Settings, tuple[str, ...]]:
    """The settings in a start's pairs, and the columns of load reports."""
    pairs = Pairs(fields)
    limits = api.Limits(
        max_attempts=pairs.integer("limits.send-cap"),
        may_cancel=pairs.flag("limits.may-cancel"),
        may_probe=pairs.flag("limits.may-probe"),
        may_hedge=pairs.flag("limits.may-duplicate"),
        may_gossip=pairs.flag("limits.peer-messages"),
        retry_after=pairs.flag("limits.retry-after"),
        max_retry_after_s=pairs.number("limits.max-retry-after-s", 0.0),
        connect_timeout_s=pairs.number("limits.connect-timeout-s", 0.0),
        keepalive_s=pairs.number("limits.keepalive-s", 0.0),
        max_open_requests=int(pairs.number("limits.open-cap", 0.0)),
    )
    prices = api.Prices(
        fleet=pairs.number("prices.fleet", 0.0),
        migrations=pairs.number("prices.moves", 0.0),
        waste=pairs.number("prices.waste", 0.0),
        cross_zone=pairs.number("prices.cross-zone", 0.0),
        gossip=pairs.number("prices.peer", 0.0),
        health_check=pairs.number("prices.probe", 0.0),
        rejected_attempt=pairs.number("family-info.refused-price", 0.0),
        migrations_per_eviction=pairs.number("family-info.evict-weight", 1.0),
        endpoint_list_lines=pairs.number("prices.registry-mode", 0.0),
        connection=pairs.number("prices.connection", 0.0),
        handshake=pairs.number("prices.handshake", 0.0),
    )
    rules = api.Rules(
        answer_slack_s=pairs.number("rules.answer-slack-s", 0.0),
        drain_grace_s=pairs.number("rules.drain-grace-s", 0.0),
        slow_start_initial_speed=pairs.number("rules.cold-from", 1.0),
        slow_start_s=pairs.number("rules.cold-s", 0.0),
        overload_multiple=pairs.number("rules.tip-multiple", 1.0),
        slow_start_window_s=pairs.number("rules.fall-s", 0.0),
        slow_start_attempts=pairs.number("family-info.cold-sends", 0.0),
        poll_interval_s=pairs.number("rules.ask-every-s", 0.0),
    )
    via = pairs.values.get("report.via", "none")
    settings = api.Settings(
        me=pairs.integer("me"),
        placers=pairs.integer("n-instances"),
        zone=pairs.values.get("az", ""),
        zones=tuple(pairs.texts("zones")),
        kinds=tuple(pairs.texts("kinds")),
        classes=_classes(pairs),
        tenants=_tenants(pairs),
        limits=limits,
        prices=prices,
        rules=rules,
        cores_by_kind=pairs.numbers("family-info.cores-by-kind"),
        memory_by_kind=pairs.numbers("family-info.size-memory"),
        overcommit_cores=pairs.number("family-info.admit-cores", 1.0),
        overcommit_memory=pairs.number("family-info.admit-memory", 1.0),
        unit_cores=pairs.number("family-info.unit-cores", 1.0),
        mean_memory=pairs.number("family-info.mean-memory", 1.0),
        accepts_before_running=pairs.values.get("family-info.ack", "running") == "accepted",
        reports_count_usage=pairs.values.get("family-info.counts", "asked") == "used",
        reports_in_answers=via == "answers",
        reports_in_probes=via in ("answers", "probe"),
        endpoint_list_shows_free=pairs.flag("family-info.shows-free"),
        reports_usage=pairs.flag("family-info.use-notes"),
        reports_pressure=pairs.flag("family-info.tells-pressure"),
        preempts=pairs.flag("family-info.makes-room"),
        single_home=pairs.flag("family-info.one-home"),
        confirmation_s=pairs.number("family-info.make-sure-s", 0.0),
        over_quota_weight=pairs.number("over-share-worth", 1.0),
        list_on_request=pairs.values.get("registry-mode", "pushed") == "on_request",
        tick_s=pairs.number("tick-s", 0.0),
    )
    return settings, tuple(pairs.texts("report.columns"))


def read_entry(fields: Sequence[str]) -> api.Endpoint:
    """One ``M`` line."""
    if len(fields) != 10 or fields[0] != "M":
        raise WireError("a list entry wants M and 9 values")
    return api.Endpoint(
        health=_choice(_HEALTH, fields[1], "health"),
        kind=fields[2],
        zone=fields[3],
        free_cores=_optional_number(fields[4], "cpu-left") or 0.0,
        free_memory=_optional_number(fields[5], "mem-left") or 0.0,
        weight=_optional_number(fields[6], "size") or 0.0,
        started_at=_optional_number(fields[7], "since-s") or 0.0,
        machine=_integer(fields[8], "host"),
        cell=0 if fields[9] == _ABSENT else _integer(fields[9], "block"),
    )


class Instance:
    """One placer with what is needed to read its events."""

    def __init__(self, number: int, seed: int, fields: Iterable[str]) -> None:
        settings, self.columns = read_settings(fields)
        self.number = number
        self.classes = {task_class.name for task_class in settings.classes}
        self.placer = Placer(settings, seed)
        self.events: list[api.Event] = []

    def report(self, text: str) -> api.LoadReport | None:
        """The load report of a row, where there is one."""
        if text in (_ABSENT, ""):
            return None
        values = text.split(",")
        if len(values) != len(self.columns):
            raise WireError(f"a report of {len(values)} values where {len(self.columns)} are told")
        named: dict[str, float | None] = {}
        for column, value in zip(self.columns, values, strict=True):
            if column in _COLUMNS:
                named[_COLUMNS[column]] = _optional_number(value, column)
        return api.LoadReport(**named)

    def task_class(self, text: str) -> str:
        """The name of a class that the settings know."""
        if text not in self.classes:
            raise WireError(f"class is not known: {text!r}")
        return text

    def ask(self, v: dict[str, str]) -> api.PlacementRequest:
        """A task as asked for, or as adopted."""
        marks = _small(v["marks"])
        hint = _optional_number(v["hint"], "life-hint-s")
        return api.PlacementRequest(
            request_id=_integer(v["xid"], "xid"),
            task_class=self.task_class(v["band"]),
            tenant=None if v["tenant"] in (_ABSENT, "0", "") else v["tenant"],
            task=0 if v["key"] == _ABSENT else _integer(v["key"], "instance-key"),
            budget_s=_optional_number(v["budget"], "time-budget-s") or 0.0,
            lifetime_hint_s=hint if marks & _MARK_HINT else None,
            service=0 if v["service"] == _ABSENT else _integer(v["service"], "owner-set"),
            cores=_optional_number(v["cores"], "cores") or 0.0,
            memory=_optional_number(v["memory"], "mem-needed") or 0.0,
            repeat=bool(marks & _MARK_REPEAT),
            is_retry=bool(marks & _MARK_AGAIN),
        )


_ASK_ORDER = ("xid", "band", "tenant", "key", "budget", "hint", "service", "cores", "memory", "marks")
_RUNNING_ORDER = (
    "xid",
    "tenant",
    "marks",
    "host",
    "service",
    "key",
    "band",
    "hint",
    "cores",
    "budget",
    "memory",
)


class Drill:
    """Many isolated placers behind one pipe."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance | None] = {}
        self.lists: dict[int, tuple[api.Endpoint, ...]] = {}
        self.readers: dict[str, Callable[[Instance, list[str]], api.Event]] = {
            "ROSTER_CHANGE": self._list_event,
            "SUBMIT": lambda one, v: one.ask(dict(zip(_ASK_ORDER, v, strict=True))),
            "PROBED": self._probe_answer,
            "RESULT": self._ended,
            "RUNNING": self._adopted,
            "NOTE_FROM": self._peer_message,
            "HINT_UPDATE": self._note,
            "ACCEPTED": self._placed,
            "ABANDONED": lambda one, v: api.RequestCancelled(_integer(v[0], "xid")),
            "ALARM": lambda one, v: api.TimerFired(_integer(v[0], "nonce")),
        }

    def _list_event(self, one: Instance, v: list[str]) -> api.Event:
        if v[0] == "X":
            return api.EndpointWatchFailed()
        complete = _choice({"D": False, "F": True, "C": True}, v[0], "scope")
        ref = _integer(v[2], "ref")
        if ref not in self.lists:
            raise WireError(f"list number was never given: {ref}")
        return api.EndpointUpdate(complete, _integer(v[1], "stamp"), self.lists[ref])

    def _probe_answer(self, one: Instance, v: list[str]) -> api.Event:
        outcome = _choice(_OUTCOME, v[1], "state-code")
        lag = _optional_number(v[0], "lag-s") or 0.0
        return api.HealthCheckResult(_integer(v[2], "host"), outcome, lag, one.report(v[3]))

    def _ended(self, one: Instance, v: list[str]) -> api.Event:
        return api.AttemptEnded(
            request_id=_integer(v[0], "xid"),
            machine=_integer(v[1], "host"),
            attempt=_integer(v[5], "shot"),
            outcome=_choice(_OUTCOME, v[4], "state-code"),
            reason=_REASON.get(_small(v[2]), api.Reason.UNSPECIFIED),
            last=_bool(v[3], "last"),
            latency_s=_optional_number(v[6], "lag-s") or 0.0,
            report=one.report(v[7]),
        )

    def _adopted(self, one: Instance, v: list[str]) -> api.Event:
        named = dict(zip(_RUNNING_ORDER, v, strict=True))
        return api.TaskAdopted(one.ask(named), _integer(named["host"], "host"))

    def _peer_message(self, one: Instance, v: list[str]) -> api.Event:
        try:
            data = b"" if v[1] == _ABSENT else base64.b64decode(v[1], validate=True)
        except binascii.Error:
            raise WireError("raw is no base64") from None
        return api.GossipMessage(_integer(v[0], "from"), data)

    def _note(self, one: Instance, v: list[str]) -> api.Event:
        level = _optional_number(v[2], "level") or 0.0
        attempt = _integer(v[4], "shot")
        return api.TaskUpdate(
            _integer(v[0], "xid"), _integer(v[1], "host"), attempt, _choice(_FACT, v[3], "sort"), level
        )

    def _placed(self, one: Instance, v: list[str]) -> api.Event:
        lag = _optional_number(v[2], "lag-s") or 0.0
        return api.AttemptAccepted(_integer(v[0], "xid"), _integer(v[1], "host"), _integer(v[3], "shot"), lag)

    def start(self, fields: list[str]) -> Instance:
        """A ``BORN`` line."""
        if len(fields) < 3:
            raise WireError("BORN wants an instance and a salt")
        number = _integer(fields[1], "placer-id")
        one = Instance(number, _integer(fields[2], "salt"), fields[3:])
        self.instances[number] = one
        return one

    def event(self, fields: list[str], touched: dict[int, Instance]) -> None:
        """One event line other than ``ROSTER``."""
        name = fields[0]
        if name == "BORN":
            one = self.start(fields)
            touched[one.number] = one
            return
        if name not in _FIELDS:
            raise WireError(f"message is not known: {name!r}")
        if len(fields) != _FIELDS[name] + 1:
            raise WireError(f"{name} has {len(fields) - 1} values where {_FIELDS[name]} are wanted")
        number = _integer(fields[1], "placer-id")
        if number not in self.instances:
            raise WireError(f"instance was never started: {number}")
        found = self.instances[number]
        if name == "SHUTDOWN":
            self.instances[number] = None
            touched.pop(number, None)
        elif found is not None:
            found.events.append(self.readers[name](found, fields[2:]))
            touched[number] = found

    def reply(self, now: float, touched: dict[int, Instance]) -> list[str]:
        """The actions of all instances that had an event."""
        lines = []
        for one in touched.values():
            events, one.events = one.events, []
            try:
                actions = one.placer.handle(now, events)
            except Exception as fault:
                text = " ".join(f"{type(fault).__name__}: {fault}".split())
                lines.append(f"INTERNAL_ERROR\t{one.number}\t{text}")
                continue
            lines.extend(write_action(one.number, action) for action in actions)
        return lines


def _show(value: float) -> str:
    return f"{value:.6f}".rstrip("0").rstrip(".")


def write_action(number: int, action: api.Action) -> str:
    """The wire's line for an action."""
    match action:
        case api.StartAttempt(request, machine, timeout):
            return f"TRY\t{number}\t{request}\t{_ABSENT if timeout is None else _show(timeout)}\t{machine}"
        case api.Reject(request, retry_in):
            return f"BOUNCE\t{number}\t{request}\t{_ABSENT if retry_in is None else _show(retry_in)}"
        case api.Fail(request):
            return f"RESPOND_ERROR\t{number}\t{request}"
        case api.CancelAttempt(request, attempt):
            return f"STOP_ATTEMPT\t{number}\t{request}\t{attempt}"
        case api.Migrate(request):
            return f"MOVE\t{number}\t{request}"
        case api.CheckHealth(machine):
            return f"HEALTH_CHECK\t{number}\t{machine}"
        case api.SetTimer(at, token):
            return f"REMIND\t{number}\t{_show(at)}\t{token}"
        case api.SendGossip(peer, data):
            raw = base64.b64encode(data).decode("ascii") or _ABSENT
            return f"ANNOUNCE\t{number}\t{ALL_PEERS if peer is None else peer}\t{raw}"
        case api.WatchEndpoints(enable):
            return f"WATCH\t{number}\t{int(enable)}"
        case api.ReloadEndpoints():
            return f"RELOAD\t{number}"
        case api.CloseIdleConnections(machine):
            return f"CLOSE_IDLE\t{number}\t{machine}"
        case api.Log(text):
            return f"REMARK\t{number}\t{' '.join(text.split())}"


class Pipe:
    """Lines with their numbers, so that a fault can be named."""

    def __init__(self, source: IO[str]) -> None:
        self.source = source
        self.line = 0

    def next(self) -> str | None:
        """The next line without its end, or none at the end of input."""
        text = self.source.readline()
        if not text:
            return None
        self.line += 1
        return text.rstrip("\r\n")

    def within(self) -> list[str]:
        """The fields of the next line of a batch, which has to be there."""
        text = self.next()
        if text is None:
            raise WireError("input ends within a batch")
        return text.split("\t")


def _read_list(pipe: Pipe, drill: Drill, fields: list[str]) -> None:
    if len(fields) != _FIELDS["ROSTER"] + 1:
        raise WireError("ROSTER wants a number and a count")
    ref = _integer(fields[1], "ref")
    if ref >= REF_COUNT:
        raise WireError(f"list number is above {REF_COUNT - 1}: {ref}")
    drill.lists[ref] = tuple(read_entry(pipe.within()) for _ in range(_integer(fields[2], "records")))


def _serve(pipe: Pipe, sink: IO[str], drill: Drill) -> None:
    while (head := pipe.next()) is not None:
        if not head:
            continue
        fields = head.split("\t")
        if fields[0] != "TICK" or len(fields) != 2:
            raise WireError("a batch starts with TICK and the clock")
        now = _number(fields[1], "clock")
        touched: dict[int, Instance] = {}
        while (fields := pipe.within()) != ["EOB"]:
            if fields[0] == "ROSTER":
                _read_list(pipe, drill, fields)
            else:
                drill.event(fields, touched)
        sink.write("".join(line + "\n" for line in (*drill.reply(now, touched), "DONE")))
        sink.flush()


def main() -> int:
    """Serve the wire on standard input and output until the input ends."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    pipe = Pipe(sys.stdin)
    try:
        _serve(pipe, sys.stdout, Drill())
    except WireError as fault:
        print(f"thornshelf.placement: line {pipe.line}: {fault}", file=sys.stderr)
        return EXIT_MALFORMED
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
