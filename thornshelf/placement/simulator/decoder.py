"""Decodes the simulator's messages into the events of the decision module.

This is the one place that maps the values and positions of the wire to the fields of events. Malformed input raises
``WireError`` with the name that the value has on the wire.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from thornshelf import placement as api
from thornshelf.errors import WireError
from thornshelf.placement.simulator.values import (
    ABSENT,
    parse_choice,
    parse_flag,
    parse_integer,
    parse_optional_integer,
    parse_optional_number,
)

EndpointLists = Mapping[int, tuple[api.Endpoint, ...]]

_HEALTH = {"U": api.Health.UP, "L": api.Health.DRAINING, "D": api.Health.REMOVED}
_OUTCOMES = {
    "S": api.Outcome.OK,
    "E": api.Outcome.ERROR,
    "F": api.Outcome.REFUSED,
    "T": api.Outcome.TIMED_OUT,
    "C": api.Outcome.NOT_CONNECTED,
    "R": api.Outcome.BROKEN,
    "X": api.Outcome.CANCELLED,
    "N": api.Outcome.NOT_SENT,
}
_REASONS = {reason.value: reason for reason in api.Reason}
_UPDATE_KINDS = {str(kind.value): kind for kind in api.TaskUpdateKind}
_REPORT_FIELDS = {  # columns of load reports, and the fields of LoadReport that hold them; others are ignored
    "active": "active",
    "waiting": "waiting",
    "cpu": "busy",
    "avg_ms": "start_ms",
    "rps": "starts_per_s",
    "err_rps": "errors_per_s",
    "x0": "free_cores",
    "x1": "free_memory",
}
_WATCH_FAILED = "X"
_COMPLETE_LIST = {"D": False, "F": True, "C": True}
_NO_TENANT = (ABSENT, "0", "")
_ENDPOINT_TAG = "M"
_ENDPOINT_FIELD_COUNT = 10

# Bits of the value `info` of a task.
_HAS_LIFETIME_HINT = 1
_IS_REPEAT = 2
_IS_RETRY = 16


class SubmitFields(NamedTuple):
    """The values of ``SUBMIT`` after the number of the instance, in the order of the wire."""

    xid: str
    band: str
    tenant: str
    key: str
    budget: str
    hint: str
    service: str
    cores: str
    memory: str
    marks: str


class RunningFields(NamedTuple):
    """The values of ``RUNNING`` after the number of the instance, in the order of the wire."""

    xid: str
    tenant: str
    marks: str
    host: str
    service: str
    key: str
    band: str
    hint: str
    cores: str
    budget: str
    memory: str


def decode_endpoint(fields: Sequence[str]) -> api.Endpoint:
    """One ``M`` line, an entry of an endpoint list."""
    if len(fields) != _ENDPOINT_FIELD_COUNT or fields[0] != _ENDPOINT_TAG:
        raise WireError(f"an entry of a list has {_ENDPOINT_TAG} and {_ENDPOINT_FIELD_COUNT - 1} values")
    return api.Endpoint(
        health=parse_choice(_HEALTH, fields[1], "health"),
        kind=fields[2],
        zone=fields[3],
        free_cores=parse_optional_number(fields[4], "cpu-left") or 0.0,
        free_memory=parse_optional_number(fields[5], "mem-left") or 0.0,
        weight=parse_optional_number(fields[6], "size") or 0.0,
        started_at=parse_optional_number(fields[7], "since-s") or 0.0,
        machine=parse_integer(fields[8], "host"),
        cell=parse_optional_integer(fields[9], "block"),
    )


class EventDecoder:
    """Decodes the events of one placer.

    ``class_names`` are the task classes that its settings define, ``report_columns`` the columns of its load
    reports, and ``endpoint_lists`` the lists that the simulator has sent to all placers, by their numbers.
    """

    def __init__(
        self, class_names: Iterable[str], report_columns: Sequence[str], endpoint_lists: EndpointLists
    ) -> None:
        self._class_names = frozenset(class_names)
        self._report_columns = report_columns
        self._endpoint_lists = endpoint_lists

    def endpoint_update(self, fields: list[str]) -> api.Event:
        """``ROSTER_CHANGE``: changes of the endpoint list, the complete list, or the end of its watch."""
        scope, version, list_number = fields
        if scope == _WATCH_FAILED:
            return api.EndpointWatchFailed()
        complete = parse_choice(_COMPLETE_LIST, scope, "scope")
        number = parse_integer(list_number, "ref")
        if number not in self._endpoint_lists:
            raise WireError(f"list number was never given: {number}")
        return api.EndpointUpdate(complete, parse_integer(version, "stamp"), self._endpoint_lists[number])

    def placement_request(self, fields: list[str]) -> api.Event:
        """``SUBMIT``: a task that is to be placed."""
        return self._request(SubmitFields(*fields))

    def task_adopted(self, fields: list[str]) -> api.Event:
        """``RUNNING``: a task that runs already."""
        running = RunningFields(*fields)
        return api.TaskAdopted(self._request(running), parse_integer(running.host, "host"))

    def health_check_result(self, fields: list[str]) -> api.Event:
        """``PROBED``: the result of a health check."""
        latency, state_code, host, report = fields
        outcome = parse_choice(_OUTCOMES, state_code, "state-code")
        latency_s = parse_optional_number(latency, "lag-s") or 0.0
        return api.HealthCheckResult(parse_integer(host, "host"), outcome, latency_s, self._report(report))

    def attempt_ended(self, fields: list[str]) -> api.Event:
        """``RESULT``: the outcome of an attempt."""
        xid, host, cause, last, state_code, shot, latency, report = fields
        return api.AttemptEnded(
            request_id=parse_integer(xid, "xid"),
            machine=parse_integer(host, "host"),
            attempt=parse_integer(shot, "shot"),
            outcome=parse_choice(_OUTCOMES, state_code, "state-code"),
            reason=_REASONS.get(parse_optional_integer(cause, "info"), api.Reason.UNSPECIFIED),
            last=parse_flag(last, "last"),
            latency_s=parse_optional_number(latency, "lag-s") or 0.0,
            report=self._report(report),
        )

    def attempt_accepted(self, fields: list[str]) -> api.Event:
        """``ACCEPTED``: an attempt was accepted, or its task runs."""
        xid, host, latency, shot = fields
        latency_s = parse_optional_number(latency, "lag-s") or 0.0
        request_id = parse_integer(xid, "xid")
        machine = parse_integer(host, "host")
        return api.AttemptAccepted(request_id, machine, parse_integer(shot, "shot"), latency_s)

    def task_update(self, fields: list[str]) -> api.Event:
        """``HINT_UPDATE``: news of an attempt in flight."""
        xid, host, level, sort, shot = fields
        value = parse_optional_number(level, "level") or 0.0
        attempt = parse_integer(shot, "shot")
        request_id = parse_integer(xid, "xid")
        machine = parse_integer(host, "host")
        kind = parse_choice(_UPDATE_KINDS, sort, "sort")
        return api.TaskUpdate(request_id, machine, attempt, kind, value)

    def gossip_message(self, fields: list[str]) -> api.Event:
        """``NOTE_FROM``: a message of another placer."""
        sender, raw = fields
        try:
            data = b"" if raw == ABSENT else base64.b64decode(raw, validate=True)
        except binascii.Error:
            raise WireError("raw is not base64") from None
        return api.GossipMessage(parse_integer(sender, "from"), data)

    def request_cancelled(self, fields: list[str]) -> api.Event:
        """``ABANDONED``: no answer to a request is expected any more."""
        return api.RequestCancelled(parse_integer(fields[0], "xid"))

    def timer_fired(self, fields: list[str]) -> api.Event:
        """``ALARM``: a timer that the placer has set."""
        return api.TimerFired(parse_integer(fields[0], "nonce"))

    def _request(self, fields: SubmitFields | RunningFields) -> api.PlacementRequest:
        marks = parse_optional_integer(fields.marks, "info")
        hint_s = parse_optional_number(fields.hint, "life-hint-s")
        return api.PlacementRequest(
            request_id=parse_integer(fields.xid, "xid"),
            task_class=self._task_class(fields.band),
            tenant=None if fields.tenant in _NO_TENANT else fields.tenant,
            task=parse_optional_integer(fields.key, "instance-key"),
            budget_s=parse_optional_number(fields.budget, "time-budget-s") or 0.0,
            lifetime_hint_s=hint_s if marks & _HAS_LIFETIME_HINT else None,
            service=parse_optional_integer(fields.service, "owner-set"),
            cores=parse_optional_number(fields.cores, "cores") or 0.0,
            memory=parse_optional_number(fields.memory, "mem-needed") or 0.0,
            repeat=bool(marks & _IS_REPEAT),
            is_retry=bool(marks & _IS_RETRY),
        )

    def _task_class(self, text: str) -> str:
        if text not in self._class_names:
            raise WireError(f"class is not known: {text!r}")
        return text

    def _report(self, text: str) -> api.LoadReport | None:
        if text in (ABSENT, ""):
            return None
        values = text.split(",")
        if len(values) != len(self._report_columns):
            raise WireError(
                f"a report of {len(values)} values where {len(self._report_columns)} are declared"
            )
        fields: dict[str, float | None] = {}
        for column, value in zip(self._report_columns, values, strict=True):
            if column in _REPORT_FIELDS:
                fields[_REPORT_FIELDS[column]] = parse_optional_number(value, column)
        return api.LoadReport(**fields)


@dataclass(frozen=True, slots=True)
class EventMessage:
    """How a message that carries an event is decoded.

    ``field_count`` counts its values with the number of the instance and without the name of the message.
    """

    field_count: int
    decode: Callable[[EventDecoder, list[str]], api.Event]


EVENT_MESSAGES = {
    "ROSTER_CHANGE": EventMessage(4, EventDecoder.endpoint_update),
    "SUBMIT": EventMessage(11, EventDecoder.placement_request),
    "PROBED": EventMessage(5, EventDecoder.health_check_result),
    "RESULT": EventMessage(9, EventDecoder.attempt_ended),
    "RUNNING": EventMessage(12, EventDecoder.task_adopted),
    "NOTE_FROM": EventMessage(3, EventDecoder.gossip_message),
    "HINT_UPDATE": EventMessage(6, EventDecoder.task_update),
    "ACCEPTED": EventMessage(5, EventDecoder.attempt_accepted),
    "ABANDONED": EventMessage(2, EventDecoder.request_cancelled),
    "ALARM": EventMessage(2, EventDecoder.timer_fired),
}
