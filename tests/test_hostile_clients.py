"""What hostile clients cost a dispatcher: memory that a head, a deadline or a repeated id may take."""

from __future__ import annotations

import gc

import h2.config
import h2.connection
import pytest
from hyperframe.frame import ContinuationFrame, HeadersFrame

from tests.test_bad_clients import connect_raw, read_all
from thornshelf.core import withdrawn_ids
from thornshelf.core.task import TaskRecord
from thornshelf.lab.fakes.cluster import BINARY, GRPC, GRPC2, JSON, FakeCluster, NodeBehavior

FRONTS = pytest.mark.parametrize("front", [JSON, GRPC])
FIRST_UID = 0x7E57_0000_0000_0000


@FRONTS
def test_a_request_that_is_over_is_not_kept_until_its_deadline(front: str) -> None:
    """Guards against memory that grows with each request that a client cancels at once, until its deadline."""
    cluster = FakeCluster(front)
    core = cluster.service.core
    uids = range(FIRST_UID, FIRST_UID + 50)
    for uid in uids:
        cluster.client.send_request(uid, NodeBehavior.IGNORE)
        cluster.client.cancel(uid)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    cluster.run_until(lambda: core.tasks_by_uid.keys() == {5})
    gc.collect()
    records = [item for item in gc.get_objects() if isinstance(item, TaskRecord)]
    assert not [task for task in records if task.request.uid in uids]


def test_a_head_that_never_ends_closes_its_connection_before_it_takes_much_memory() -> None:
    """Guards against a connection that may hold 1 MiB of unfinished header fields, and hundreds of them 300 MB."""
    cluster = FakeCluster(GRPC)
    client = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    client.initiate_connection()
    block = b"\x00\x01a\x01b" * 3000  # literal fields of one character each
    sock = connect_raw(cluster, GRPC)
    sock.sendall(client.data_to_send() + HeadersFrame(1, data=block).serialize())
    frame = ContinuationFrame(1, data=block).serialize()
    sent = len(block)
    while not [line for line in cluster.logged if "head is longer" in line[3]]:
        assert sent <= 64 * 1024, "the connection takes ever more of a head"
        sock.sendall(frame)
        sent += len(block)
        cluster.run_for(5)
    read_all(cluster, sock)  # ends only if the dispatcher has closed the connection


@pytest.mark.parametrize("node", [BINARY, GRPC, GRPC2])
@FRONTS
def test_an_id_that_comes_again_while_its_attempt_may_be_answered_is_rejected(front: str, node: str) -> None:
    """Guards against taking the late answer and end of a withdrawn attempt for those of a new one."""
    cluster = FakeCluster(front, node, node_count=1)
    fake_node = cluster.nodes[0]
    cluster.client.send_request(5, NodeBehavior.IGNORE)
    cluster.run_until(lambda: fake_node.offer_count(5) == 1)
    cluster.client.stream.close()
    returned = cluster.connect_client(front)
    returned.send_request(5, NodeBehavior.RUN)
    cluster.run_until(lambda: 5 in returned.events)
    assert returned.events[5][0][0] == "refused"
    assert fake_node.offer_count(5) == 1
    returned.send_request(6, NodeBehavior.RUN)
    cluster.run_until(lambda: 6 in returned.events)
    cluster.run_for(withdrawn_ids.WITHDRAWN_TTL_US // 1000)
    returned.events.pop(5)
    returned.send_request(5, NodeBehavior.RUN)
    cluster.run_until(lambda: 5 in returned.events)
    assert returned.events[5][0][0] == "placed"
