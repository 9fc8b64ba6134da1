"""Decodes the simulator's messages into events.

Only this module maps the values and positions of the wire to the fields of events. On malformed input, ``WireError``
names the value as the wire does.
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
_REPORT_FIELDS = {  # fields of LoadReport by column of the wire; other columns are ignored
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
_IS_COMPLETE_LIST = {"D": False, "F": True, "C": True}
_NO_TENANT = (ABSENT, "0", "")
_ENDPOINT_TAG = "M"
_ENDPOINT_FIELD_COUNT = 10

# Bits of the value `info` of a request.
_HAS_LIFETIME_HINT = 1
_IS_REPEAT = 2
_IS_RETRY = 16


class SubmitFields(NamedTuple):
    """The values of ``SUBMIT`` after the instance's number, in the order of the wire."""

    request_id: str
    task_class: str
    tenant: str
    task: str
    budget: str
    lifetime_hint: str
    service: str
    cores: str
    memory: str
    flags: str


class RunningFields(NamedTuple):
    """The values of ``RUNNING`` after the instance's number, in the order of the wire."""

    request_id: str
    tenant: str
    flags: str
    machine: str
    service: str
    task: str
    task_class: str
    lifetime_hint: str
    cores: str
    budget: str
    memory: str


def decode_endpoint(fields: Sequence[str]) -> api.Endpoint:
    """Decode an ``M`` line, which is an entry of an endpoint list."""
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
    """Decodes the events of one placer; all methods raise ``WireError`` on malformed input.

    ``class_names`` are the task classes in the placer's settings, ``report_columns`` the columns of its load
    reports, and ``endpoint_lists`` the lists that the simulator has sent to all placers, by number.
    """

    def __init__(
        self, class_names: Iterable[str], report_columns: Sequence[str], endpoint_lists: EndpointLists
    ) -> None:
        self._class_names = frozenset(class_names)
        self._report_columns = report_columns
        self._endpoint_lists = endpoint_lists

    def endpoint_update(self, fields: list[str]) -> api.Event:
        """Decode ``ROSTER_CHANGE``: the endpoint list, changes of it, or the failure of its watch."""
        list_kind, version, list_number = fields
        if list_kind == _WATCH_FAILED:
            return api.EndpointWatchFailed()
        complete = parse_choice(_IS_COMPLETE_LIST, list_kind, "scope")
        number = parse_integer(list_number, "ref")
        if number not in self._endpoint_lists:
            raise WireError(f"list number was never given: {number}")
        return api.EndpointUpdate(complete, parse_integer(version, "stamp"), self._endpoint_lists[number])

    def placement_request(self, fields: list[str]) -> api.Event:
        """Decode ``SUBMIT``: a request to place a task."""
        return self._request(SubmitFields(*fields))

    def task_adopted(self, fields: list[str]) -> api.Event:
        """Decode ``RUNNING``: a running task that is handed over."""
        running = RunningFields(*fields)
        return api.TaskAdopted(self._request(running), parse_integer(running.machine, "host"))

    def health_check_result(self, fields: list[str]) -> api.Event:
        """Decode ``PROBED``: the result of a health check."""
        latency_text, outcome_text, machine_text, report = fields
        outcome = parse_choice(_OUTCOMES, outcome_text, "state-code")
        latency_s = parse_optional_number(latency_text, "lag-s") or 0.0
        return api.HealthCheckResult(
            parse_integer(machine_text, "host"), outcome, latency_s, self._report(report)
        )

    def attempt_ended(self, fields: list[str]) -> api.Event:
        """Decode ``RESULT``: the outcome of an attempt."""
        request_text, machine_text, reason_text, last, outcome_text, attempt_text, latency_text, report = (
            fields
        )
        return api.AttemptEnded(
            request_id=parse_integer(request_text, "xid"),
            machine=parse_integer(machine_text, "host"),
            attempt=parse_integer(attempt_text, "shot"),
            outcome=parse_choice(_OUTCOMES, outcome_text, "state-code"),
            reason=_REASONS.get(parse_optional_integer(reason_text, "info"), api.Reason.UNSPECIFIED),
            last=parse_flag(last, "last"),
            latency_s=parse_optional_number(latency_text, "lag-s") or 0.0,
            report=self._report(report),
        )

    def attempt_accepted(self, fields: list[str]) -> api.Event:
        """Decode ``ACCEPTED``: an attempt was accepted, or its task runs."""
        request_text, machine_text, latency_text, attempt_text = fields
        latency_s = parse_optional_number(latency_text, "lag-s") or 0.0
        request_id = parse_integer(request_text, "xid")
        machine = parse_integer(machine_text, "host")
        return api.AttemptAccepted(request_id, machine, parse_integer(attempt_text, "shot"), latency_s)

    def task_update(self, fields: list[str]) -> api.Event:
        """Decode ``HINT_UPDATE``: a report on an attempt that has not ended."""
        request_text, machine_text, value_text, kind_text, attempt_text = fields
        value = parse_optional_number(value_text, "level") or 0.0
        attempt = parse_integer(attempt_text, "shot")
        request_id = parse_integer(request_text, "xid")
        machine = parse_integer(machine_text, "host")
        kind = parse_choice(_UPDATE_KINDS, kind_text, "sort")
        return api.TaskUpdate(request_id, machine, attempt, kind, value)

    def gossip_message(self, fields: list[str]) -> api.Event:
        """Decode ``NOTE_FROM``: a gossip message of another placer."""
        sender, encoded = fields
        try:
            data = b"" if encoded == ABSENT else base64.b64decode(encoded, validate=True)
        except binascii.Error:
            raise WireError("raw is not base64") from None
        return api.GossipMessage(parse_integer(sender, "from"), data)

    def request_cancelled(self, fields: list[str]) -> api.Event:
        """Decode ``ABANDONED``: the client has cancelled its request."""
        return api.RequestCancelled(parse_integer(fields[0], "xid"))

    def timer_fired(self, fields: list[str]) -> api.Event:
        """Decode ``ALARM``: a timer of the placer is due."""
        return api.TimerFired(parse_integer(fields[0], "nonce"))

    def _request(self, fields: SubmitFields | RunningFields) -> api.PlacementRequest:
        flags = parse_optional_integer(fields.flags, "info")
        hint_s = parse_optional_number(fields.lifetime_hint, "life-hint-s")
        return api.PlacementRequest(
            request_id=parse_integer(fields.request_id, "xid"),
            task_class=self._task_class(fields.task_class),
            tenant=None if fields.tenant in _NO_TENANT else fields.tenant,
            task=parse_optional_integer(fields.task, "instance-key"),
            budget_s=parse_optional_number(fields.budget, "time-budget-s") or 0.0,
            lifetime_hint_s=hint_s if flags & _HAS_LIFETIME_HINT else None,
            service=parse_optional_integer(fields.service, "owner-set"),
            cores=parse_optional_number(fields.cores, "cores") or 0.0,
            memory=parse_optional_number(fields.memory, "mem-needed") or 0.0,
            repeat=bool(flags & _IS_REPEAT),
            is_retry=bool(flags & _IS_RETRY),
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
    """How to decode a message that carries an event.

    ``field_count`` is the number of its values, including the instance's number but not the message's name.
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
