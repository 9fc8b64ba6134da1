"""Descriptors are shared: nodes, clients and the change log, however many of each there are."""

from __future__ import annotations

from dataclasses import replace

from tests.test_platform import PLACED
from thornshelf.configuration import read_config
from thornshelf.frontends.connection_budget import ConnectionBudget
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG, JSON, FakeCluster, NodeBehavior
from thornshelf.nodes.connection_pool import MIN_REST_US, ConnectionPool
from thornshelf.service import SPARE_NODES, descriptor_limits


class FakePooledConnection:
    """A node's connection, as far as it may make room."""

    def __init__(self, room: ConnectionPool) -> None:
        self.pool, self.idle, self.listening_only, self.evictions = room, False, True, 0

    def evict(self) -> None:
        self.evictions += 1
        self.pool.release(self)


def test_a_thousand_nodes_share_what_there_is_and_idle_ones_go_first() -> None:
    room = ConnectionPool(lambda: 600)
    holders = [FakePooledConnection(room) for _ in range(1024)]
    assert sum(room.acquire(one, 0, wanted=False) for one in holders) == 600 == len(room)
    assert not room.acquire(holders[700], MIN_REST_US - 1)  # all others were made just now
    holders[400].idle = True
    assert room.acquire(holders[700], MIN_REST_US - 1) and holders[400].evictions == 1
    room.touch(holders[0], MIN_REST_US)
    assert room.acquire(holders[701], MIN_REST_US) and holders[1].evictions == 1  # used longest ago
    for one in holders:
        one.listening_only = False
    assert not room.acquire(holders[702], 9 * MIN_REST_US) and len(room) == 600


def test_each_that_waits_for_room_gets_its_turn() -> None:
    """Guards against nodes whose news is never heard: what stands there is released on the next connection."""
    room = ConnectionPool(lambda: 600)
    holders = [FakePooledConnection(room) for _ in range(1024)]
    heard, now = set[int](), 0
    for _ in range(4):
        now += MIN_REST_US
        for number, one in enumerate(holders):
            if one not in room._open and room.acquire(one, now):
                heard.add(number)
    assert len(heard) == 1024 and len(room) == 600


def test_neither_clients_nor_nodes_are_starved() -> None:
    nodes = 300
    budget = ConnectionBudget(1000, 342, lambda: nodes)
    assert (budget.max_clients, budget.max_nodes) == (700, 658)
    budget.client_count = 700  # a crowd
    assert budget.max_nodes == 300
    nodes = 400  # more nodes have joined: the crowd has to go
    assert (budget.max_clients, budget.max_nodes) == (600, 400)
    nodes = 700
    assert (budget.max_clients, budget.max_nodes) == (342, 658)


def test_a_crowd_of_clients_leaves_each_node_its_connection() -> None:
    """Guards against clients that take what a node has just given back: its releases came too late (soak)."""
    world = FakeCluster(nodes=4)
    budget = world.service.connection_budget
    world.run_until(lambda: all(one.streams for one in world.nodes))
    budget.total, budget.client_floor = 40, 4
    crowd = [world.connect_client(JSON) for _ in range(40)]
    world.run_for(20)
    assert budget.client_count <= budget.max_clients == 40 - 4 - SPARE_NODES
    assert budget.max_nodes >= 4
    for one in crowd:
        one.stream.close()


def test_the_change_log_and_the_rest_have_descriptors_of_their_own() -> None:
    config = read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)})
    for sockets in (64, 256, 1024):
        total, floor = descriptor_limits(replace(config, max_descriptors=sockets))
        assert sockets // 3 < floor < total <= sockets - min(24, sockets // 4)


def test_tasks_are_placed_and_heard_of_with_fewer_connections_than_nodes() -> None:
    world = FakeCluster(nodes=6)
    budget = world.service.connection_budget
    world.run_until(lambda: all(one.streams for one in world.nodes))
    budget.total, budget.client_floor = 3, 2  # one connection to all nodes together
    for uid in range(5, 11):
        world.client.ask(uid, NodeBehavior.END, service=f"{uid:016x}")
        assert world.wait_for_events(uid)[0] == PLACED
    world.run_until(lambda: all(len(world.client.heard[uid]) == 2 for uid in range(5, 11)))
