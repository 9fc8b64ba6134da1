"""Sharing of descriptors among nodes, clients, the endpoint watch and the log."""

from __future__ import annotations

from dataclasses import replace

from tests.test_platform import PLACED
from thornshelf.configuration import read_config
from thornshelf.configuration.descriptors import descriptor_limits
from thornshelf.frontends.connection_budget import ConnectionBudget
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG, JSON, FakeCluster, NodeBehavior
from thornshelf.nodes.connection_pool import MIN_UNUSED_US, ConnectionPool
from thornshelf.service import SPARE_NODES


class FakePooledConnection:
    """A node connection that the pool may evict."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.idle = False
        self.listening_only = True
        self.evictions = 0

    def evict(self) -> None:
        self.evictions += 1
        self.pool.release(self)


def test_a_thousand_nodes_share_the_pool_and_idle_ones_are_evicted_first() -> None:
    pool = ConnectionPool(lambda: 600)
    connections = [FakePooledConnection(pool) for _ in range(1024)]
    assert sum(pool.acquire(connection, 0, wanted=False) for connection in connections) == 600 == len(pool)
    assert not pool.acquire(connections[700], MIN_UNUSED_US - 1)  # all others are too new
    connections[400].idle = True
    assert pool.acquire(connections[700], MIN_UNUSED_US - 1)
    assert connections[400].evictions == 1
    pool.touch(connections[0], MIN_UNUSED_US)
    assert pool.acquire(connections[701], MIN_UNUSED_US)
    assert connections[1].evictions == 1
    for connection in connections:
        connection.listening_only = False
    assert not pool.acquire(connections[702], 9 * MIN_UNUSED_US)
    assert len(pool) == 600


def test_each_node_that_waits_for_a_connection_gets_one() -> None:
    """Guards against nodes whose updates are never read: the ends of tasks are reported on the next connection."""
    pool = ConnectionPool(lambda: 600)
    connections = [FakePooledConnection(pool) for _ in range(1024)]
    served, now = set[int](), 0
    for _ in range(4):
        now += MIN_UNUSED_US
        for number, connection in enumerate(connections):
            if connection not in pool._last_used_us and pool.acquire(connection, now):
                served.add(number)
    assert len(served) == 1024
    assert len(pool) == 600


def test_neither_clients_nor_nodes_are_starved() -> None:
    nodes = 300
    budget = ConnectionBudget(1000, 342, lambda: nodes)
    assert (budget.max_clients, budget.max_nodes) == (700, 658)
    budget.client_count = 700  # the maximum
    assert budget.max_nodes == 300
    nodes = 400  # more nodes have joined, so that some clients have to be disconnected
    assert (budget.max_clients, budget.max_nodes) == (600, 400)
    nodes = 700
    assert (budget.max_clients, budget.max_nodes) == (342, 658)


def test_a_flood_of_clients_leaves_each_node_its_connection() -> None:
    """Guards against clients that take the descriptor that a node has just released, so that its reports are late."""
    cluster = FakeCluster(node_count=4)
    budget = cluster.service.connection_budget
    cluster.run_until(lambda: all(node.streams for node in cluster.nodes))
    budget.total, budget.client_floor = 40, 4
    clients = [cluster.connect_client(JSON) for _ in range(40)]
    cluster.run_for(20)
    assert budget.client_count <= budget.max_clients == 40 - 4 - SPARE_NODES
    assert budget.max_nodes >= 4
    for client in clients:
        client.stream.close()


def test_the_endpoint_watch_and_the_log_have_reserved_descriptors() -> None:
    config = read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)})
    for sockets in (64, 256, 1024):
        limits = descriptor_limits(replace(config, max_descriptors=sockets))
        assert sockets // 3 < limits.client_floor < limits.total <= sockets - min(24, sockets // 4)


def test_tasks_are_placed_and_released_with_fewer_connections_than_nodes() -> None:
    cluster = FakeCluster(node_count=6)
    budget = cluster.service.connection_budget
    cluster.run_until(lambda: all(node.streams for node in cluster.nodes))
    budget.total, budget.client_floor = 3, 2  # one connection for all nodes together
    for uid in range(5, 11):
        cluster.client.send_request(uid, NodeBehavior.END, service=f"{uid:016x}")
        assert cluster.wait_for_events(uid)[0] == PLACED
    cluster.run_until(lambda: all(len(cluster.client.events[uid]) == 2 for uid in range(5, 11)))
