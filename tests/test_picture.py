"""The module's picture of each node against what is really on the sockets, turn by turn."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from thornshelf.core.task import TaskState
from thornshelf.lab.fakes.cluster import BINARY, COMMON_BEHAVIORS, GRPC, JSON, FakeCluster
from thornshelf.placement.requests import AttemptState


def check_placement_state(world: FakeCluster) -> Counter[str]:
    """In flight, standing and their cores, by machine: the same to module, core and connection."""
    core, seen = world.service.core, Counter[str]()
    if core.inbox or core.placement.events or core.attempts.ended or core.queue:
        return seen  # the turn's end has left something to the next
    believed, attempts = Counter[tuple[int, AttemptState]](), list[tuple[int, float]]()
    for request in core.placer.requests.values():
        for attempt in request.attempts:
            if attempt.live:
                believed[attempt.machine.id, attempt.state] += 1
                attempts.append((attempt.machine.id, request.demand[0]))
    standing = Counter(
        t.machine for t in core.tasks_by_uid.values() if t.state in (TaskState.RUNNING, TaskState.CANCELLING)
    )
    for machine, node in core.endpoints.nodes.items():
        on_wire = len(node.in_flight) + len(node.pending)  # type: ignore[attr-defined]
        assert believed[machine, AttemptState.PENDING] == on_wire, "in flight"
        assert believed[machine, AttemptState.BOUND] == standing[machine], "standing"
        taken = sum(cores for where, cores in attempts if where == machine)
        assert abs(core.placer.machines[machine].own_demand[0] - taken) < 1e-6, "cores"
        seen += Counter(out=on_wire, standing=standing[machine])
    return seen


@pytest.mark.parametrize(("front", "node"), [(JSON, BINARY), (GRPC, GRPC)])
def test_the_placement_state_matches_what_the_sockets_carry(front: str, node: str) -> None:
    world, draw = FakeCluster(front, node, nodes=3), random.Random(7)
    clock = [world.loop.clock()]
    world.loop.clock = lambda: clock[0]  # a busy machine must not make tasks late

    def turn() -> None:
        clock[0] += 1_000_000
        for _ in range(4):  # a word of several frames takes some
            world.loop.turn(True)

    seen, uid, drained = Counter[str](), 0, False
    for step in range(150):
        if step < 120:
            uid += 1
            task_class = draw.choice(("lookup", "lookup", "ledger-batch"))
            world.client.ask(
                uid, draw.choice(COMMON_BEHAVIORS), task_class, left=str(draw.choice((60, 4000)))
            )
        if draw.random() < 0.2 and uid > 5:
            world.client.give_up(draw.randrange(1, uid))
        if step % 40 == 20:
            draw.choice(world.nodes).break_streams()
        if step == 100:
            world.update_lifecycle(2, "terminating")
            drained = True
        for _ in range(4):
            turn()
            seen += check_placement_state(world)
    assert drained
    assert seen["out"] > 20
    assert seen["standing"] > 20
    world.update_lifecycle(2, "terminated")
    for number in range(1, uid + 1):
        world.client.give_up(number)
    for _ in range(20_000):
        if world.service.core.tasks_by_uid:
            turn()
    assert not world.service.core.tasks_by_uid
    check_placement_state(world)
    assert not world.service.core.placer.requests
