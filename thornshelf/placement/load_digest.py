"""Gossip about load: placers exchange digests of the demand of their tasks on each machine.

A digest is a version byte followed by an entry for each machine: its id (32 bits) and the demand for cores
and memory in 64ths (16 bits each), little-endian.
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
DEMAND_RESOLUTION = 64.0  # encoded steps per core or per unit of memory
MAX_ENCODED_DEMAND = 65535
MAX_ENTRIES = 31  # per message
PRICED_MESSAGE_BYTES = 256.0  # ``Prices.gossip`` is the price of this many bytes
MAX_COST_PER_REQUEST = 0.004  # in points
MIN_REQUESTS_PER_S = 0.1
MIN_GOSSIP_INTERVAL_S = 0.5  # over all placers
MIN_ARRIVAL_INTERVAL_S = 0.001
MAX_ARRIVAL_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 30.0  # a digest outlives its sender: the sender's tasks may still run


class PeerDemand(NamedTuple):
    """The demand of a peer's tasks on one machine."""

    machine: Machine
    cores: float
    memory: float


class PeerDigest(NamedTuple):
    """The last digest received from a peer."""

    received_at: float
    demands: Sequence[PeerDemand]


class LoadGossip:
    """Sends digests as often as their price permits, and adds the demand in peers' digests to machines."""

    def __init__(self, context: PlacementContext, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self.digests: dict[int, PeerDigest] = {}  # by peer, the oldest digest first
        self._next_send_at = 0.0
        self._requests_per_s = 0.0  # a moving average
        self._last_request_at = 0.0

    def record_request(self) -> None:
        """Update the rate of requests, by which the budget for gossip grows."""
        since_last_s = max(self._context.now - self._last_request_at, MIN_ARRIVAL_INTERVAL_S)
        self._last_request_at = self._context.now
        weight = min(MAX_ARRIVAL_INTERVAL_S, since_last_s) * LEARNING_RATE
        self._requests_per_s += weight * (1.0 / since_last_s - self._requests_per_s)

    def send_if_due(self) -> None:
        """Send a digest to a random peer if the interval has passed."""
        context = self._context
        settings = context.settings
        if not settings.limits.may_gossip or settings.placers <= 1 or context.now < self._next_send_at:
            return
        data = self._encode()
        peer = (settings.me + context.random.randrange(1, settings.placers)) % settings.placers
        context.actions.append(SendGossip(peer, data))
        cost = settings.prices.gossip * len(data) / PRICED_MESSAGE_BYTES
        interval_s = cost / MAX_COST_PER_REQUEST / max(self._requests_per_s, MIN_REQUESTS_PER_S)
        self._next_send_at = context.now + max(MIN_GOSSIP_INTERVAL_S / settings.placers, interval_s)

    def _encode(self) -> bytes:
        """Return a digest of own demand, on a random choice of machines if there are more than fit."""
        machines = [
            m
            for m in self._endpoints.machines.values()
            if m.health is not Health.REMOVED and (m.own_demand[0] or m.own_demand[1])
        ]
        self._context.random.shuffle(machines)
        data = bytes((VERSION,))
        for machine in machines[:MAX_ENTRIES]:
            cores, memory = machine.own_demand
            data += ENTRY.pack(machine.id, _encode_demand(cores), _encode_demand(memory))
        return data

    def record_digest(self, event: GossipMessage) -> None:
        """Replace a peer's digest, which counts as complete; a malformed digest is ignored."""
        data = event.data
        if len(data) % ENTRY.size != 1 or data[0] != VERSION:
            return
        machines = self._endpoints.machines
        demands = [
            PeerDemand(machines[machine_id], cores / DEMAND_RESOLUTION, memory / DEMAND_RESOLUTION)
            for machine_id, cores, memory in ENTRY.iter_unpack(data[1:])
            if machine_id in machines
        ]
        self._remove(event.sender)
        for demand in demands:
            _add_peer_demand(demand, 1.0)
        self.digests[event.sender] = PeerDigest(self._context.now, demands)

    def expire(self) -> None:
        """Discard the digests that are older than the timeout of peers."""
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


def _encode_demand(demand: float) -> int:
    return min(MAX_ENCODED_DEMAND, max(0, round(demand * DEMAND_RESOLUTION)))


def _add_peer_demand(demand: PeerDemand, sign: float) -> None:
    machine = demand.machine
    cores, memory = machine.peer_demand
    machine.peer_demand = [cores + sign * demand.cores, memory + sign * demand.memory]
    machine.invalidate()
