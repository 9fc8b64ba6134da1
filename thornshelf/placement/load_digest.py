"""Gossip about load: each placer sends digests of its own demand on machines, and adds up those of its peers.

A digest is a version byte, then for each machine its id (32 bits) and own demand for cores and memory in
64ths (16 bits each), little-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import NamedTuple

from thornshelf.placement.actions import SendGossip
from thornshelf.placement.context import LEARNING_RATE, PlacementContext
from thornshelf.placement.endpoints import EndpointTable
from thornshelf.placement.events import GossipMessage, Health
from thornshelf.placement.machine import Machine

VERSION = 1
ENTRY = struct.Struct("<IHH")
UNITS = 64.0  # of an entry's demand, in one core or one unit of memory
MAX_UNITS = 65535
MAX_ENTRIES = 31  # in one message
MESSAGE_PRICE_BYTES = 256.0  # the price of gossip is for so many bytes
COST_PER_REQUEST = 0.004  # points that gossip may cost for each request
MIN_REQUESTS_PER_S = 0.1
MIN_GOSSIP_INTERVAL_S = 0.5  # of all placers together
MIN_ARRIVAL_INTERVAL_S = 0.001
MAX_ARRIVAL_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 30.0  # the last digest of a peer counts so long: its tasks run on when it is gone


class PeerDemand(NamedTuple):
    """What a peer's tasks ask for on one machine."""

    machine: Machine
    cores: float
    memory: float


class PeerDigest(NamedTuple):
    """The last digest of a peer."""

    received_at: float
    demands: Sequence[PeerDemand]


class LoadGossip:
    """Sends digests as often as their price permits; adds up the peers' digests with the machines."""

    def __init__(self, context: PlacementContext, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self.digests: dict[int, PeerDigest] = {}  # by peer, the oldest first
        self._next_at = 0.0
        self._requests_per_s = 0.0  # a running mean
        self._last_request_at = 0.0

    def record_request(self) -> None:
        """Count a request: the more there are, the more gossip may cost."""
        since_last_s = max(self._context.now - self._last_request_at, MIN_ARRIVAL_INTERVAL_S)
        self._last_request_at = self._context.now
        weight = min(MAX_ARRIVAL_INTERVAL_S, since_last_s) * LEARNING_RATE
        self._requests_per_s += weight * (1.0 / since_last_s - self._requests_per_s)

    def send_if_due(self) -> None:
        """Send a digest to a random peer when it is time."""
        context = self._context
        settings = context.settings
        if not settings.limits.may_gossip or settings.placers <= 1 or context.now < self._next_at:
            return
        data = self._encode()
        peer = (settings.me + context.random.randrange(1, settings.placers)) % settings.placers
        context.actions.append(SendGossip(peer, data))
        cost = settings.prices.gossip * len(data) / MESSAGE_PRICE_BYTES
        interval_s = cost / COST_PER_REQUEST / max(self._requests_per_s, MIN_REQUESTS_PER_S)
        self._next_at = context.now + max(MIN_GOSSIP_INTERVAL_S / settings.placers, interval_s)

    def _encode(self) -> bytes:
        """Encode own demand on machines; where there are too many, on random ones."""
        machines = [
            m
            for m in self._endpoints.machines.values()
            if m.health is not Health.REMOVED and (m.own_demand[0] or m.own_demand[1])
        ]
        self._context.random.shuffle(machines)
        data = bytes((VERSION,))
        for machine in machines[:MAX_ENTRIES]:
            cores, memory = machine.own_demand
            data += ENTRY.pack(machine.id, _to_units(cores), _to_units(memory))
        return data

    def record_digest(self, event: GossipMessage) -> None:
        """Take a peer's digest; its tasks ask nothing of the machines that it leaves out."""
        data = event.data
        if len(data) % ENTRY.size != 1 or data[0] != VERSION:
            return
        machines = self._endpoints.machines
        demands = [
            PeerDemand(machines[number], cores / UNITS, memory / UNITS)
            for number, cores, memory in ENTRY.iter_unpack(data[1:])
            if number in machines
        ]
        self._remove(event.sender)
        for demand in demands:
            _add_peer_demand(demand, 1.0)
        self.digests[event.sender] = PeerDigest(self._context.now, demands)

    def expire(self) -> None:
        """Drop the digests of peers that were not heard for long."""
        while self.digests:
            peer, digest = next(iter(self.digests.items()))
            if self._context.now - digest.received_at < PEER_TIMEOUT_S:
                return
            self._remove(peer)

    def _remove(self, peer: int) -> None:
        digest = self.digests.pop(peer, None)
        if digest is not None:
            for demand in digest.demands:
                _add_peer_demand(demand, -1.0)


def _to_units(demand: float) -> int:
    return min(MAX_UNITS, max(0, round(demand * UNITS)))


def _add_peer_demand(demand: PeerDemand, sign: float) -> None:
    machine = demand.machine
    cores, memory = machine.peer_demand
    machine.peer_demand = [cores + sign * demand.cores, memory + sign * demand.memory]
    machine.invalidate()
