"""Turns do a bounded amount of work in a fixed order, however much work is pending."""

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
from thornshelf.core.task_release import Release
from thornshelf.loop import Loop, Wait
from thornshelf.placement import Health, Outcome

NODES = 1024
SETTINGS = settings(SAFE, placers=1024, fleet=0.2, retry_after=True, max_retry_after_s=3.0)


class Clock:
    """A clock that the tests advance by hand."""

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
    """Records the answers that are sent to it."""

    is_connected, accepts_any_release, wire_format, peer = True, True, None, "127.0.0.1"

    def __init__(self) -> None:
        self.answers: list[tuple[str, int, Any]] = []
        self.is_disconnected = False

    def awaits_answer(self, uid: int) -> bool:
        return not self.is_disconnected

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: Any = None) -> None:
        self.answers.append(("refused", uid, retry_after_us))

    def send_failed(self, uid: int, detail: Any = None) -> None:
        self.answers.append(("failed", uid, None))

    def send_release(self, release: Release) -> None:
        self.answers.append(("released", release.uid, None))

    def send_running(self, uid: int, description: bytes, metadata: Any = None) -> None:
        self.answers.append(("running", uid, None))


class FakeNode:
    """Starts each task at once, or never answers; fails the test if it gets an attempt while draining."""

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
    """A dispatcher with fake nodes, on a clock that advances by ``cost_us`` for each placed request.

    With ``unresponsive``, the nodes don't answer attempts.
    """

    def __init__(self, cost_us: int = 0, unresponsive: bool = False) -> None:
        self.loop, self.clock = a_loop()
        self.attempts: list[int] = []
        self.withdrawn: list[int] = []
        self.unresponsive = unresponsive

        def make_node(machine: int, entry: NodeEndpoint, core: Dispatcher) -> Any:
            return FakeNode(machine, self)

        self.core = Dispatcher(self.loop, SETTINGS, 1, make_node, lambda *_: None)
        self.handled: list[int] = []
        original_handle = self.core.placer.handle

        def handle(now: float, events: Any) -> Any:
            requests = sum(isinstance(event, api.PlacementRequest) for event in events)
            self.handled.append(requests)
            self.clock.ns += requests * cost_us * 1000
            return original_handle(now, events)

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
        """Run turns until no work is left."""
        while self.loop.turn(True):
            pass


def test_placement_time_per_turn_is_limited() -> None:
    """Guards against turns of several seconds after a mass resubmission, during which all answers are late."""
    rig = Rig(cost_us=1000)
    rig.submit(1, 3000)
    longest = 0
    for _ in range(3000):
        before = len(rig.handled)
        if not rig.loop.turn(True):
            break
        longest = max(longest, sum(rig.handled[before:]))
    assert 0 < longest <= 25  # each takes 1 ms
    assert sorted(uid for _, uid, _ in rig.client.answers) == list(range(1, 3001))
    assert "failed" not in {answer for answer, _, _ in rig.client.answers}


def test_a_drain_takes_effect_in_the_next_turn_despite_waiting_requests() -> None:
    rig = Rig(cost_us=1000)
    rig.submit(1, 4000)
    rig.loop.turn(True)
    rig.core.update_endpoints(EndpointListUpdate(False, 2, entries(Health.DRAINING, range(NODES // 2))))
    attempts_so_far = len(rig.attempts)
    while rig.loop.turn(True):  # the nodes fail the test if they get an attempt while draining
        pass
    assert len(rig.attempts) > attempts_so_far
    assert min(rig.attempts[attempts_so_far:]) > NODES // 2


def test_no_attempt_is_sent_while_the_endpoint_list_may_be_stale() -> None:
    """Guards against attempts at nodes that began to drain during startup."""
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


def test_a_missing_endpoint_list_update_delays_requests_only_briefly() -> None:
    rig = Rig()
    rig.core.is_endpoint_list_stale = lambda: True
    rig.submit(1, 20)
    rig.loop.turn(True)
    assert not rig.attempts
    rig.clock.ns += 250_000_000
    rig.loop.turn(True)
    assert len(rig.attempts) == 20


def test_requests_that_cannot_be_placed_in_time_are_rejected_before_their_deadline() -> None:
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
    original_handle = rig.core.placer.handle

    def handle(now: float, events: Any) -> Any:
        placed.extend(event.task for event in events if isinstance(event, api.PlacementRequest))
        return original_handle(now, events)

    rig.core.placer.handle = handle  # type: ignore[method-assign]
    rig.run_until_idle()
    assert set(placed[:5]) == set(range(1000, 1005))


def test_ended_attempts_are_retried_a_few_per_turn() -> None:
    """Guards against a turn that retries all attempts of a lost zone at once."""
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


def test_an_answer_in_the_turn_of_the_attempt_timeout_is_accepted() -> None:
    """Guards against a second copy: the node has started the task, so the attempt can't be withdrawn."""
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


def test_a_release_does_not_wait_behind_ended_attempts() -> None:
    """Guards against releases later than 1 s after a zone is lost, because they wait behind ended attempts."""
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


def test_placement_is_limited_to_one_batch_per_turn_while_reads_are_pending() -> None:
    """Guards against releases that wait unread: with a backlog in the loop, a turn places only one batch."""
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


def test_removing_a_node_ends_only_its_own_tasks() -> None:
    rig = Rig()
    rig.submit(1, 600)
    rig.run_until_idle()
    scans = []

    class ScanCountingDict(dict):  # type: ignore[type-arg]
        def values(self) -> Any:
            scans.append(1)
            return super().values()

    rig.core.tasks.by_number = ScanCountingDict(rig.core.tasks.by_number)
    rig.core.update_endpoints(EndpointListUpdate(False, 2, entries(Health.REMOVED, range(500))))
    rig.run_until_idle()
    ended = sum(machine <= 500 for machine in rig.attempts)
    assert not scans
    assert ended == [answer for answer, _, _ in rig.client.answers].count("released") > 0
    assert len(rig.core.tasks_by_machine) == len({machine for machine in rig.attempts if machine > 500})


def test_an_attempt_that_was_sent_to_a_new_process_stays_in_flight() -> None:
    """Guards against a second copy: the attempt was created before the process started, but sent to that process."""
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
    """Guards against a second copy: an attempt made before the loss is reported still waits at the dead node."""
    rig = Rig(unresponsive=True)
    rig.submit(1, 1)
    rig.run_until_idle()
    (machine,) = rig.attempts
    rig.core.inbox.append(NodeLost(machine))
    rig.run_until_idle()
    assert rig.withdrawn == [machine]
    assert len(rig.attempts) == 2


def test_coroutine_time_per_turn_is_limited_and_urgent_ones_run_first() -> None:
    """Guards against an endpoint list that is read only after a thousand connections."""
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
        assert len(done) - before <= 16  # each takes 2 ms
    assert len(done) == 201
