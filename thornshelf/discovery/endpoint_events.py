"""Decodes the change log's events into updates of the endpoint list. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from thornshelf.core import EndpointListUpdate, NodeEndpoint
from thornshelf.placement import Health
from thornshelf.wire.errors import WireError

MAX_UNIX_MS = 1 << 50  # a start time is not taken to be later than this

_HEALTH_BY_LIFECYCLE = {"in_service": Health.UP, "terminating": Health.DRAINING, "terminated": Health.REMOVED}


def decode_endpoint(value: Any, monotonic_us: Callable[[int], int]) -> NodeEndpoint:
    """One node of the list; ``monotonic_us`` gives a Unix time on the loop's clock, both in microseconds.

    Raises ``WireError`` for what is no node, or has a name, address, state or number that can't be used.
    """
    if not isinstance(value, dict):
        raise WireError("an instance is no object")
    name = value.get("instanceId")
    lifecycle = value.get("lifecycle")
    if not isinstance(name, str) or not name:
        raise WireError("instanceId is missing")
    if not isinstance(lifecycle, str) or lifecycle not in _HEALTH_BY_LIFECYCLE:
        raise WireError(f"lifecycle of {name} is not known: {lifecycle!r:.40}")
    address = _decode_address(name, value.get("hostPort"))
    try:
        started_ms = min(int(value.get("startedAtMs") or 0), MAX_UNIX_MS)
        cell = int(value.get("cell") or 0)
        weight = float(value.get("weight") or 0.0)
    except (TypeError, ValueError, OverflowError):
        raise WireError(f"startedAtMs, cell or weight of {name} is no number") from None
    return NodeEndpoint(
        name=name,
        address=address,
        health=_HEALTH_BY_LIFECYCLE[lifecycle],
        kind=str(value.get("machineType", "")),
        zone=str(value.get("zone", "")),
        cell=cell,
        weight=weight,
        started_us=monotonic_us(started_ms * 1000) if started_ms > 0 else None,
    )


def _decode_address(name: str, address: Any) -> str:
    host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise WireError(f"hostPort of {name} is no address: {address!r:.60}")
    return f"{host}:{port}"


def decode_events(
    value: Any,
    after_sequence: int,
    monotonic_us: Callable[[int], int],
    on_invalid: Callable[[WireError], None],
) -> tuple[int, list[EndpointListUpdate]]:
    """The number of the last event, and the updates of those events that come after ``after_sequence``.

    ``on_invalid`` is called with the error of each part that can't be used; all other parts count. Guards against one
    bad entry that keeps back each drain beside and after it, as the same answer would be polled again and again.
    Raises ``WireError`` where the answer as a whole can't be used.
    """
    if not isinstance(value, dict) or not isinstance(value.get("results"), list):
        raise WireError("no object with results")
    last_sequence = after_sequence
    updates = []
    for event in value["results"]:
        if not isinstance(event, dict) or not isinstance(event.get("seq"), int):
            on_invalid(WireError("an event has no number"))
            continue
        if event["seq"] <= last_sequence:
            continue  # it is known already
        last_sequence = event["seq"]
        fleet = event.get("fleet")
        if not isinstance(fleet, dict):
            continue
        if not isinstance(fleet.get("instances"), list):
            on_invalid(WireError("instances are no list"))
            continue
        updates.append(_decode_update(fleet, last_sequence, monotonic_us, on_invalid))
    if isinstance(value.get("seq"), int):
        last_sequence = max(last_sequence, value["seq"])
    return last_sequence, updates


def _decode_update(
    fleet: dict[str, Any],
    sequence: int,
    monotonic_us: Callable[[int], int],
    on_invalid: Callable[[WireError], None],
) -> EndpointListUpdate:
    instances = fleet["instances"]
    endpoints = []
    for instance in instances:
        try:
            endpoints.append(decode_endpoint(instance, monotonic_us))
        except WireError as error:
            on_invalid(error)
    generation = fleet.get("generation")
    version = generation if isinstance(generation, int) else sequence
    # A complete list of which some entry can't be read removes no node.
    complete = bool(fleet.get("reset")) and len(endpoints) == len(instances)
    return EndpointListUpdate(complete, version, endpoints)


def merge_updates(updates: Sequence[EndpointListUpdate]) -> EndpointListUpdate:
    """One update with the effect of several in their order: a complete list where one of them is complete."""
    endpoints: dict[str, NodeEndpoint] = {}
    complete = False
    version = 0
    for update in updates:
        if update.complete:
            complete = True
            endpoints.clear()
        version = update.version
        endpoints |= {endpoint.name: endpoint for endpoint in update.endpoints}
    if complete:
        remaining = [one for one in endpoints.values() if one.health is not Health.REMOVED]
        return EndpointListUpdate(True, version, remaining)
    return EndpointListUpdate(False, version, list(endpoints.values()))
