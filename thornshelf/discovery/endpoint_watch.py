"""The change log: a long poll over HTTP/1.1 that goes on whatever happens to its connection.

Its coroutine is urgent: however much else waits, a drain is read in the turn after it came.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Generator, Sequence
from typing import Any

import h11

from thornshelf.core import EndpointListUpdate, NodeEndpoint
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.stream import connect
from thornshelf.placement.interface import Health
from thornshelf.wire.errors import UNREADABLE_PREFIX, WireError, error_code_fields

INITIAL_POLL_TIMEOUT_MS = (
    1  # what was told since the configuration was written is to be known before anything is sent
)
POLL_TIMEOUT_MS = 2_000  # shorter than the 5,000 allowed: silence is noticed sooner
RESPONSE_GRACE_US = 1_000_000  # beyond the poll's own time, and the connection is given up
CONNECT_TIMEOUT_US = 500_000
MIN_BACKOFF_US = 100_000
MAX_BACKOFF_US = 1_000_000
MAX_BODY_BYTES = 8 * 1024 * 1024  # a list of some 40,000 nodes
MAX_UNIX_MS = 1 << 50  # Unix time: no figure of a later start is carried further

_STATES = {"in_service": Health.UP, "terminating": Health.DRAINING, "terminated": Health.REMOVED}


def decode_endpoint(value: Any, monotonic_us: Callable[[int], int]) -> NodeEndpoint:
    """One node of the list."""
    if not isinstance(value, dict):
        raise WireError("an instance is no object")
    name, address, state = value.get("instanceId"), value.get("hostPort"), value.get("lifecycle")
    if not isinstance(name, str) or not name:
        raise WireError("instanceId is missing")
    if not isinstance(state, str) or state not in _STATES:
        raise WireError(f"lifecycle of {name} is not known: {state!r:.40}")
    host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise WireError(f"hostPort of {name} is no address: {address!r:.60}")
    try:
        started = min(int(value.get("startedAtMs") or 0), MAX_UNIX_MS)
        cell, weight = int(value.get("cell") or 0), float(value.get("weight") or 0.0)
    except (TypeError, ValueError, OverflowError):
        raise WireError(f"startedAtMs, cell or weight of {name} is no number") from None
    return NodeEndpoint(
        name=name,
        address=f"{host}:{port}",
        health=_STATES[state],
        kind=str(value.get("machineType", "")),
        zone=str(value.get("zone", "")),
        cell=cell,
        weight=weight,
        started_us=monotonic_us(started * 1000) if started > 0 else None,
    )


def decode_events(
    value: Any,
    after_sequence: int,
    monotonic_us: Callable[[int], int],
    on_invalid: Callable[[WireError], None],
) -> tuple[int, list[EndpointListUpdate]]:
    """The events after ``since``, and the number of the last.

    ``spoilt`` hears of what can't be used; all else counts. Guards against one bad entry that keeps back each drain
    that is told beside and after it, as the same answer would be asked for again and again.
    """
    if not isinstance(value, dict) or not isinstance(value.get("results"), list):
        raise WireError("no object with results")
    last, changes = after_sequence, []
    for event in value["results"]:
        if not isinstance(event, dict) or not isinstance(event.get("seq"), int):
            on_invalid(WireError("an event has no number"))
            continue
        if event["seq"] <= last:
            continue  # told before
        last = event["seq"]
        fleet = event.get("fleet")
        if isinstance(fleet, dict):
            instances = fleet.get("instances")
            if not isinstance(instances, list):
                on_invalid(WireError("instances are no list"))
                continue
            entries = []
            for one in instances:
                try:
                    entries.append(decode_endpoint(one, monotonic_us))
                except WireError as fault:
                    on_invalid(fault)
            generation = fleet.get("generation")
            version = generation if isinstance(generation, int) else last
            # A whole list that can't be read as a whole takes nobody away.
            complete = bool(fleet.get("reset")) and len(entries) == len(instances)
            changes.append(EndpointListUpdate(complete, version, entries))
    if isinstance(value.get("seq"), int):
        last = max(last, value["seq"])
    return last, changes


def merge_updates(changes: Sequence[EndpointListUpdate]) -> EndpointListUpdate:
    """What changes come to, taken one after another: a whole list where one of them is whole."""
    entries: dict[str, NodeEndpoint] = {}
    complete, version = False, 0
    for change in changes:
        if change.complete:
            complete = True
            entries.clear()
        version = change.version
        entries |= {entry.name: entry for entry in change.endpoints}
    last = [entry for entry in entries.values() if not complete or entry.health is not Health.REMOVED]
    return EndpointListUpdate(complete, version, last)


class EndpointWatch:
    """Follows the change log and tells the core of it."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        last_sequence: int,
        monotonic_us: Callable[[int], int],
        on_update: Callable[[EndpointListUpdate], None],
        log: Callable[[int, str, dict[str, object], str], None],
    ) -> None:
        self.loop, self.address, self.last_sequence = loop, address, last_sequence
        self._monotonic_us, self._on_update, self._log = monotonic_us, on_update, log
        self._answered = False  # on this connection
        self.last_response_us = loop.now  # the last answer
        self.is_responding = False  # the connection stands, and has answered
        self._resume: int | None = None  # the next answer holds all events; without it, go on after this one
        self.has_synced = False  # an answer has come: the list is no longer that of the configuration alone
        self._task = loop.spawn(self._run(), urgent=True)

    def reconnect_to(self, address: tuple[str, int]) -> None:
        """Go on at another address, at once, from the number of the last event.

        Guards against waiting for the old one: it may stay open and silent for as long as a poll lasts.
        """
        self.loop.cancel(self._task)
        self.address, self.is_responding = address, False
        self._task = self.loop.spawn(self._run(), urgent=True)

    def relist(self) -> None:
        """Read the whole list once more, at once: all events from the first, told as what they come to.

        Guards against nodes that came later than the first event: told one after another, the first would drop them.
        """
        if self._resume is None:
            self._resume = self.last_sequence
        self.last_sequence = 0
        self.reconnect_to(self.address)

    def stop(self) -> None:
        """Follow no more."""
        self.loop.cancel(self._task)

    def _log_invalid(self, fault: WireError) -> None:
        """Bad input costs its message."""
        self._log(4, "endpoint-invalid", {"since": self.last_sequence, "code": fault.code}, str(fault))

    def _run(self) -> Generator[Wait, int, None]:
        """Poll for ever; a broken or silent connection is replaced."""
        pause = MIN_BACKOFF_US
        while True:
            stream = yield from connect(self.loop, *self.address, self.loop.now + CONNECT_TIMEOUT_US)
            self._answered = False
            if isinstance(stream, int):
                why = f"not connected: {os.strerror(stream)}"
            else:
                try:
                    why = yield from self._poll(stream)
                except Exception as fault:  # whatever it is, the list must be followed further
                    why = f"fault: {type(fault).__name__} {fault}"
                finally:
                    stream.close()
            self.is_responding = False
            if self._resume is not None:
                # Guards against asking in vain for ever: all events together may be more than is taken.
                self.last_sequence, self._resume = self._resume, None
            if self._answered:
                pause = MIN_BACKOFF_US
            self._log(
                5, "endpoint-watch-closed", {"since": self.last_sequence, **error_code_fields(why)}, why
            )
            yield Wait(until=self.loop.now + pause)
            pause = min(2 * pause, MAX_BACKOFF_US)

    def _poll(self, stream: Stream) -> Generator[Wait, int, str]:
        http = h11.Connection(h11.CLIENT)
        host = f"{self.address[0]}:{self.address[1]}"
        while True:
            target = f"/changes?since={self.last_sequence}&timeout={POLL_TIMEOUT_MS if self.has_synced else INITIAL_POLL_TIMEOUT_MS}"
            request = h11.Request(method="GET", target=target, headers=[("Host", host)])
            stream.send((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
            until = self.loop.now + POLL_TIMEOUT_MS * 1000 + RESPONSE_GRACE_US
            body, status, received = b"", 0, False
            while not received:
                try:
                    event = http.next_event()
                except h11.RemoteProtocolError as fault:
                    return f"no HTTP: {fault}"
                if event is h11.NEED_DATA:
                    data = yield from stream.read(until)
                    if data is None:
                        return "silent"
                    try:
                        http.receive_data(data)
                    except h11.RemoteProtocolError as fault:
                        return f"no HTTP: {fault}"
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                    if len(body) > MAX_BODY_BYTES:
                        return "answer is too long"
                elif isinstance(event, h11.EndOfMessage):
                    received = True
                elif isinstance(event, h11.ConnectionClosed):
                    return "closed"
            if status != 200:
                return f"status {status}"
            try:
                value = json.loads(body)
                self.last_sequence, changes = decode_events(
                    value, self.last_sequence, self._monotonic_us, self._log_invalid
                )
            except (ValueError, RecursionError, WireError) as fault:
                return f"{UNREADABLE_PREFIX}{fault}"
            self._answered = self.has_synced = self.is_responding = True
            self.last_response_us = self.loop.now
            if self._resume is not None:
                changes, self._resume = [merge_updates(changes)], None
            for change in changes:
                self._on_update(change)
            if http.our_state is h11.MUST_CLOSE or http.their_state is not h11.DONE:
                return "closed"
            http.start_next_cycle()
