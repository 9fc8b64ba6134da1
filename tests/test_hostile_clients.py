"""What hostile clients cost a dispatcher: memory that a head, a deadline or a repeated id may take."""

from __future__ import annotations

import gc

import pytest

from thornshelf.core.task import TaskRecord
from thornshelf.lab.fakes.cluster import GRPC, JSON, FakeCluster, NodeBehavior

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
