"""The placer's state of each node agrees with the attempts on its connection after each turn."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from thornshelf.core.task import TaskState
from thornshelf.lab.fakes.cluster import BINARY, COMMON_BEHAVIORS, GRPC, JSON, FakeCluster
from thornshelf.placement.requests import AttemptState


def check_placement_state(cluster: FakeCluster) -> Counter[str]:
    """Compare attempts in flight, running tasks and cores by machine; return their totals.

    The placer, the core and the connections must agree.
    """
    core, totals = cluster.service.core, Counter[str]()
    if core.inbox or core.placement.events or core.attempts.ended or core.queue:
        return totals  # the turn has left work for the next one
    placer_counts, attempts = Counter[tuple[int, AttemptState]](), list[tuple[int, float]]()
    for request in core.placer.requests.values():
        for attempt in request.attempts:
            if attempt.live:
                placer_counts[attempt.machine.id, attempt.state] += 1
                attempts.append((attempt.machine.id, request.demand[0]))
    bound = Counter(
        t.machine for t in core.tasks_by_uid.values() if t.state in (TaskState.RUNNING, TaskState.CANCELLING)
    )
    for machine, node in core.endpoints.nodes.items():
        on_connection = len(node.in_flight) + len(node.pending)  # type: ignore[attr-defined]
        assert placer_counts[machine, AttemptState.PENDING] == on_connection, "in flight"
        assert placer_counts[machine, AttemptState.BOUND] == bound[machine], "bound"
        cores_in_use = sum(cores for where, cores in attempts if where == machine)
        assert abs(core.placer.machines[machine].own_demand[0] - cores_in_use) < 1e-6, "cores"
        totals += Counter(in_flight=on_connection, bound=bound[machine])
    return totals


@pytest.mark.parametrize(("frontend", "node"), [(JSON, BINARY), (GRPC, GRPC)])
def test_the_placement_state_matches_what_the_sockets_carry(frontend: str, node: str) -> None:
    cluster, rng = FakeCluster(frontend, node, node_count=3), random.Random(7)
    clock = [cluster.loop.clock()]
    cluster.loop.clock = lambda: clock[0]  # independent of the speed of the test machine

    def turn() -> None:
        clock[0] += 1_000_000
        for _ in range(4):  # a message of several frames takes several turns
            cluster.loop.turn(True)

    totals, uid, drained = Counter[str](), 0, False
    for step in range(150):
        if step < 120:
            uid += 1
            task_class = rng.choice(("lookup", "lookup", "ledger-batch"))
            cluster.client.send_request(
                uid, rng.choice(COMMON_BEHAVIORS), task_class, left=str(rng.choice((60, 4000)))
            )
        if rng.random() < 0.2 and uid > 5:
            cluster.client.cancel(rng.randrange(1, uid))
        if step % 40 == 20:
            rng.choice(cluster.nodes).break_streams()
        if step == 100:
            cluster.update_lifecycle(2, "terminating")
            drained = True
        for _ in range(4):
            turn()
            totals += check_placement_state(cluster)
    assert drained
    assert totals["in_flight"] > 20
    assert totals["bound"] > 20
    cluster.update_lifecycle(2, "terminated")
    for number in range(1, uid + 1):
        cluster.client.cancel(number)
    for _ in range(20_000):
        if cluster.service.core.tasks_by_uid:
            turn()
    assert not cluster.service.core.tasks_by_uid
    check_placement_state(cluster)
    assert not cluster.service.core.placer.requests
