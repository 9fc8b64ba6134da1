"""Turns are bounded, however much comes at once: the endpoint list, then what has happened, then some requests."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import replace
from typing import Any

from tests.conftest import SAFE, settings
from thornshelf import placement as api
from thornshelf.core import (
    Dispatcher,
    EndpointListUpdate,
    NodeEndpoint,
    TaskFinished,
    TaskRequest,
    TaskStarted,
)
from thornshelf.core.messages import NodeLost
from thornshelf.core.task import AttemptTimedOut, TaskState
from thornshelf.loop import Loop, Wait
from thornshelf.placement import Health, Outcome

NODES = 1024
TERMS = settings(SAFE, placers=1024, fleet=0.2, retry_after=True, max_retry_after_s=3.0)


class Clock:
    """Time that goes on only where work is done."""

    def __init__(self) -> None:
        self.ns = 5_000_000_000

    def __call__(self) -> int:
        return self.ns


def a_loop() -> tuple[Loop, Clock]:
    loop, clock = Loop(), Clock()
    loop.clock = clock
    loop.turn(True)
    return loop, clock


class RecordingClient:
    """Records the answers that it is sent."""

    is_connected, accepts_any_release, wire_form, peer = True, True, None, "127.0.0.1"

    def __init__(self) -> None:
        self.answers: list[tuple[str, int, Any]] = []
        self.is_disconnected = False

    def awaits_answer(self, uid: int) -> bool:
        return not self.is_disconnected

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: Any = None) -> None:
        self.answers.append(("refused", uid, retry_after_us))

    def send_failed(self, uid: int, detail: Any = None) -> None:
        self.answers.append(("failed", uid, None))

    def send_release(self, uid: int, outcome: Outcome, reason: Any, detail: Any = None) -> None:
        self.answers.append(("released", uid, None))

    def send_running(self, uid: int, description: bytes, metadata: Any = None) -> None:
        self.answers.append(("running", uid, None))


class FakeNode:
    """Starts each task at once, or does not answer; fails the test on an attempt while it drains."""

    def __init__(self, machine: int, rig: Rig) -> None:
        self.machine, self.rig, self.draining = machine, rig, False

    def send_attempt(self, attempt: Any) -> None:
        assert not self.draining
        self.rig.attempts.append(self.machine)
        if not self.rig.unresponsive:
            self.rig.core.inbox.append(TaskStarted(self.machine, attempt.uid, b"x"))

    def withdraw_attempt(self, attempt: Any) -> bool:
        self.rig.withdrawn.append(self.machine)
        return False

    def drain(self) -> list[Any]:
        self.draining = True
        return []

    def __getattr__(self, name: str) -> Any:
        return lambda *_: False


def entries(health: Health = Health.UP, nodes: range = range(NODES)) -> list[NodeEndpoint]:
    return [
        NodeEndpoint(f"s-{n + 1:08x}", "127.0.0.1:9", health, "large", "here", 1, 1.0, None) for n in nodes
    ]


class Rig:
    """A dispatcher with fake nodes, on a clock that moves by ``cost_us`` for each request that is placed.

    ``unresponsive``: the nodes don't answer.
    """

    def __init__(self, cost_us: int = 0, unresponsive: bool = False) -> None:
        self.loop, self.clock = a_loop()
        self.attempts: list[int] = []
        self.withdrawn: list[int] = []
        self.unresponsive = unresponsive

        def make_node(machine: int, entry: NodeEndpoint, core: Dispatcher) -> Any:
            return FakeNode(machine, self)

        self.core = Dispatcher(self.loop, TERMS, 1, make_node, lambda *_: None)
        self.handled: list[int] = []
        usual = self.core.placer.handle

        def handle(now: float, events: Any) -> Any:
            requests = sum(isinstance(one, api.PlacementRequest) for one in events)
            self.handled.append(requests)
            self.clock.ns += requests * cost_us * 1000
            return usual(now, events)

        self.core.placer.handle = handle  # type: ignore[method-assign]
        self.core.update_endpoints(EndpointListUpdate(True, 1, entries()))
        self.client = RecordingClient()
        self.loop.turn(True)

    def submit(self, first: int, count: int, left_us: int = 6_000_000) -> None:
        for uid in range(first, first + count):
            due = self.loop.now + left_us
            request = TaskRequest(self.client, uid, "safe", None, uid, due, None, uid, 1.0, 1.0, b"x")  # type: ignore[arg-type]
            self.core.inbox.append(request)

    def run_until_idle(self) -> None:
        """Turn the loop until no work is left."""
        while self.loop.turn(True):
            pass


def test_a_turn_places_no_more_requests_than_it_has_time_for() -> None:
    """Guards against turns of seconds after a mass resubmission: every answer of that time came too late."""
    rig = Rig(cost_us=1000)
    rig.submit(1, 3000)
    longest = 0
    for _ in range(3000):
        before = len(rig.handled)
        if not rig.loop.turn(True):
            break
        longest = max(longest, sum(rig.handled[before:]))
    assert 0 < longest <= 25  # of 1 ms each
    assert sorted(uid for _, uid, _ in rig.client.answers) == list(range(1, 3001))
    assert "failed" not in {answer for answer, _, _ in rig.client.answers}


def test_a_drain_takes_effect_in_the_next_turn_however_much_waits() -> None:
    rig = Rig(cost_us=1000)
    rig.submit(1, 4000)
    rig.loop.turn(True)
    rig.core.update_endpoints(EndpointListUpdate(False, 2, entries(Health.DRAINING, range(NODES // 2))))
    attempts_so_far = len(rig.attempts)
    while rig.loop.turn(True):  # the nodes fail the test on an attempt while they drain
        pass
    assert len(rig.attempts) > attempts_so_far
    assert min(rig.attempts[attempts_so_far:]) > NODES // 2


def test_nothing_is_sent_by_an_endpoint_list_that_may_be_stale() -> None:
    """Guards against attempts at nodes that began to drain while the process was starting."""
    rig = Rig()
    stale = True
    rig.core.is_endpoint_list_stale = lambda: stale
    rig.submit(1, 20)
    rig.loop.turn(True)
    assert not rig.attempts
    assert not rig.client.answers
    rig.core.update_endpoints(EndpointListUpdate(False, 2, entries(Health.DRAINING, range(NODES // 2))))
    stale = False
    rig.loop.turn(True)
    assert len(rig.attempts) == 20
    assert min(rig.attempts) > NODES // 2


def test_a_silent_endpoint_source_delays_requests_for_a_moment_only() -> None:
    rig = Rig()
    rig.core.is_endpoint_list_stale = lambda: True
    rig.submit(1, 20)
    rig.loop.turn(True)
    assert not rig.attempts
    rig.clock.ns += 250_000_000
    rig.loop.turn(True)
    assert len(rig.attempts) == 20


def test_what_cannot_be_placed_in_its_time_is_rejected_while_there_is_time() -> None:
    rig = Rig(cost_us=20_000)
    rig.submit(1, 2000)
    rig.run_until_idle()
    retry_after_us = [wait for answer, _, wait in rig.client.answers if answer == "refused"]
    assert len(retry_after_us) > 1000
    assert set(retry_after_us) == {1_000_000}
    assert sorted(uid for _, uid, _ in rig.client.answers) == list(range(1, 2001))


def test_the_earliest_deadline_goes_first() -> None:
    rig = Rig(cost_us=1000)
    rig.submit(1, 200, left_us=6_000_000)
    rig.submit(1000, 5, left_us=1_000_000)
    placed: list[int] = []
    usual = rig.core.placer.handle

    def handle(now: float, events: Any) -> Any:
        placed.extend(one.task for one in events if isinstance(one, api.PlacementRequest))
        return usual(now, events)

    rig.core.placer.handle = handle  # type: ignore[method-assign]
    rig.run_until_idle()
    assert set(placed[:5]) == set(range(1000, 1005))


def test_tasks_whose_attempts_end_together_are_placed_anew_by_slices() -> None:
    """Guards against one turn that places anew all attempts that were in flight in a zone which is lost."""
    rig = Rig(unresponsive=True)
    rig.submit(1, 600)
    rig.run_until_idle()
    in_flight = [task for task in rig.core.tasks_by_number.values() if task.attempt is not None]
    assert len(in_flight) > 300
    for task in in_flight:
        assert task.attempt is not None
        rig.core.inbox.append(TaskFinished(task.attempt.machine, task.node_uid, Outcome.BROKEN))
    while rig.core.inbox or rig.core.attempts.ended:
        before = len(rig.attempts)
        rig.loop.turn(True)
        assert len(rig.attempts) - before <= 16


def test_an_answer_counts_that_arrives_in_the_turn_in_which_the_attempt_timed_out() -> None:
    """Guards against a second copy: nothing is in flight at the node any more that could be withdrawn."""
    rig = Rig(unresponsive=True)
    rig.submit(1, 1)
    rig.run_until_idle()
    (task,) = rig.core.tasks_by_number.values()
    attempt = task.attempt
    assert attempt is not None
    rig.core.inbox.append(AttemptTimedOut(task, attempt))
    rig.core.inbox.append(TaskStarted(attempt.machine, attempt.uid, b"x"))
    rig.run_until_idle()
    assert rig.client.answers == [("running", 1, None)]
    assert len(rig.attempts) == 1


def test_a_release_does_not_wait_behind_tasks_that_are_placed_anew() -> None:
    """Guards against releases later than 1 s where a zone is lost: they waited for 16 ended attempts a turn."""
    rig = Rig()
    rig.submit(1, 50)
    rig.run_until_idle()
    rig.unresponsive = True
    rig.submit(100, 100)
    rig.run_until_idle()
    for wanted in (TaskState.OPEN, TaskState.RUNNING):
        for task in rig.core.tasks_by_number.values():
            if task.state is wanted:
                machine = task.machine if task.attempt is None else task.attempt.machine
                rig.core.inbox.append(TaskFinished(machine, task.node_uid, Outcome.BROKEN))
    rig.loop.turn(True)
    assert [answer for answer, _, _ in rig.client.answers].count("released") == 50


def test_placement_leaves_time_for_reading_where_much_is_to_be_read() -> None:
    """Guards against releases that wait in the system: one slice of requests a turn until all has been read."""
    rig = Rig(cost_us=1000)
    rig.submit(1, 4000)

    def read() -> Generator[Wait, int, None]:
        for _ in range(100):
            yield Wait(until=rig.loop.now)
            rig.clock.ns += 2_000_000

    for _ in range(100):
        rig.loop.spawn(read())
    rig.loop.turn(True)
    rig.clock.ns += 1000
    while not rig.loop.has_backlog:
        rig.loop.turn(True)
    for _ in range(20):
        before = len(rig.handled)
        rig.loop.turn(True)
        assert rig.loop.has_backlog
        assert sum(rig.handled[before:]) == 4


def test_a_node_that_is_removed_ends_its_own_tasks_and_no_others() -> None:
    rig = Rig()
    rig.submit(1, 600)
    rig.run_until_idle()
    scans = []

    class Watched(dict):  # type: ignore[type-arg]
        def values(self) -> Any:
            scans.append(1)
            return super().values()

    rig.core.tasks.by_number = Watched(rig.core.tasks.by_number)
    rig.core.update_endpoints(EndpointListUpdate(False, 2, entries(Health.REMOVED, range(500))))
    rig.run_until_idle()
    ended = sum(machine <= 500 for machine in rig.attempts)
    assert not scans
    assert ended == [answer for answer, _, _ in rig.client.answers].count("released") > 0
    assert len(rig.core.tasks_by_machine) == len({machine for machine in rig.attempts if machine > 500})


def test_an_attempt_that_was_sent_to_a_new_process_stays_in_flight() -> None:
    """Guards against a second copy: it was decided before that process started, and waited for a connection.

    On the bench (split, 241809376776) such tasks were placed elsewhere with nothing withdrawn.
    """
    rig = Rig(unresponsive=True)
    rig.submit(1, 1)
    rig.run_until_idle()
    (machine,) = rig.attempts
    rig.clock.ns += 300_000_000
    rig.loop.turn(True)
    entry = replace(entries()[machine - 1], started_us=rig.loop.now - 200_000)
    rig.core.update_endpoints(EndpointListUpdate(False, 2, [entry]))
    rig.run_until_idle()
    assert len(rig.attempts) == 1
    assert not rig.client.answers


def test_an_attempt_at_a_dead_node_is_withdrawn_before_its_task_is_placed_elsewhere() -> None:
    """Guards against a second copy: the loss is reported a turn later, and an attempt made in between waits there."""
    rig = Rig(unresponsive=True)
    rig.submit(1, 1)
    rig.run_until_idle()
    (machine,) = rig.attempts
    rig.core.inbox.append(NodeLost(machine))
    rig.run_until_idle()
    assert rig.withdrawn == [machine]
    assert len(rig.attempts) == 2


def test_coroutines_wait_for_the_next_turn_and_an_urgent_one_goes_first() -> None:
    """Guards against an endpoint list that is read after a thousand connections were."""
    loop, clock = a_loop()
    done: list[str] = []

    def work(name: str) -> Generator[Wait, int, None]:
        yield Wait(until=loop.now)
        clock.ns += 2_000_000
        done.append(name)

    for number in range(200):
        loop.spawn(work(str(number)))
    loop.spawn(work("urgent"), urgent=True)
    while "urgent" not in done:
        loop.turn(True)
    assert len(done) <= 16
    assert done.index("urgent") == 0
    while loop._ready or loop._tasks:
        before = len(done)
        loop.turn(True)
        assert len(done) - before <= 16  # of 2 ms each
    assert len(done) == 201
