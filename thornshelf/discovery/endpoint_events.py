"""Decodes the events of the change log into updates of the endpoint list. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from thornshelf.core import EndpointListUpdate, NodeEndpoint
from thornshelf.placement import Health
from thornshelf.wire.errors import WireError

MAX_UNIX_MS = 1 << 50  # later start times are reduced to this one

_HEALTH_BY_LIFECYCLE = {"in_service": Health.UP, "terminating": Health.DRAINING, "terminated": Health.REMOVED}


def decode_endpoint(value: Any, monotonic_us: Callable[[int], int]) -> NodeEndpoint:
    """Decode one node of the list; ``monotonic_us`` converts Unix time to the loop's clock, both in microseconds.

    Raises ``WireError`` if the value is not an object, or has an invalid name, address, lifecycle or number.
    """
    if not isinstance(value, dict):
        raise WireError("instance is not an object")
    name = value.get("instanceId")
    lifecycle = value.get("lifecycle")
    if not isinstance(name, str) or not name:
        raise WireError("instanceId is missing")
    if not isinstance(lifecycle, str) or lifecycle not in _HEALTH_BY_LIFECYCLE:
        raise WireError(f"lifecycle of {name} is unknown: {lifecycle!r:.40}")
    address = _decode_address(name, value.get("hostPort"))
    try:
        started_ms = min(int(value.get("startedAtMs") or 0), MAX_UNIX_MS)
        cell = int(value.get("cell") or 0)
        weight = float(value.get("weight") or 0.0)
    except (TypeError, ValueError, OverflowError):
        raise WireError(f"startedAtMs, cell or weight of {name} is not a number") from None
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
        raise WireError(f"hostPort of {name} is not host:port: {address!r:.60}")
    return f"{host}:{port}"


def decode_events(
    value: Any,
    after_sequence: int,
    monotonic_us: Callable[[int], int],
    on_invalid: Callable[[WireError], None],
) -> tuple[int, list[EndpointListUpdate]]:
    """Decode a response; returns the last event's sequence number, and the updates after ``after_sequence``.

    ``on_invalid`` is called with the error of each invalid event or node; all others are decoded. Guards against one
    invalid entry that blocks all drains in the same and later responses, because the response is polled again and
    again. Raises ``WireError`` if the response as a whole can't be used.
    """
    if not isinstance(value, dict) or not isinstance(value.get("results"), list):
        raise WireError("response is not an object with a list of results")
    last_sequence = after_sequence
    updates = []
    for event in value["results"]:
        if not isinstance(event, dict) or not isinstance(event.get("seq"), int):
            on_invalid(WireError("event has no sequence number"))
            continue
        if event["seq"] <= last_sequence:
            continue  # this event was read before
        last_sequence = event["seq"]
        fleet = event.get("fleet")
        if not isinstance(fleet, dict):
            continue
        if not isinstance(fleet.get("instances"), list):
            on_invalid(WireError("instances are not a list"))
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
    # A complete list with an invalid entry must not remove nodes: the entry may be that of any known node.
    complete = bool(fleet.get("reset")) and len(endpoints) == len(instances)
    return EndpointListUpdate(complete, version, endpoints)


def merge_updates(updates: Sequence[EndpointListUpdate]) -> EndpointListUpdate:
    """Merge updates, in their order, into one with the same effect; it is complete if any of them is."""
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
        remaining = [entry for entry in endpoints.values() if entry.health is not Health.REMOVED]

        return EndpointListUpdate(True, version, remaining)
    return EndpointListUpdate(False, version, list(endpoints.values()))
