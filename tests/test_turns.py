"""Turns are bounded, however much comes at once: the list first, then what has happened, then set-ups by slice."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import replace
from typing import Any

from tests.conftest import SAFE, settings
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
from thornshelf.placement import interface as api
from thornshelf.placement.interface import Health, Outcome

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


class Owner:
    """Hears answers."""

    is_connected, accepts_any_release, wire_form, peer = True, True, None, "127.0.0.1"

    def __init__(self) -> None:
        self.heard: list[tuple[str, int, Any]] = []
        self.gone = False

    def awaits_answer(self, uid: int) -> bool:
        return not self.gone

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: Any = None) -> None:
        self.heard.append(("refused", uid, retry_after_us))

    def send_failed(self, uid: int, detail: Any = None) -> None:
        self.heard.append(("failed", uid, None))

    def send_release(self, uid: int, outcome: Outcome, reason: Any, detail: Any = None) -> None:
        self.heard.append(("released", uid, None))

    def send_running(self, uid: int, description: bytes, metadata: Any = None) -> None:
        self.heard.append(("running", uid, None))


class FakeNode:
    """Starts what it is offered at once, or says nothing; objects to offers while it drains."""

    def __init__(self, machine: int, rig: Rig) -> None:
        self.machine, self.rig, self.draining = machine, rig, False

    def send_attempt(self, attempt: Any) -> None:
        assert not self.draining
        self.rig.offered.append(self.machine)
        if not self.rig.silent:
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
    """A core with nodes that only count, on a clock that moves by ``cost_us`` for each set-up decided."""

    def __init__(self, cost_us: int = 0, silent: bool = False) -> None:
        self.loop, self.clock = a_loop()
        self.offered: list[int] = []
        self.withdrawn: list[int] = []
        self.silent = silent

        def make_node(machine: int, entry: NodeEndpoint, core: Dispatcher) -> Any:
            return FakeNode(machine, self)

        self.core = Dispatcher(self.loop, TERMS, 1, make_node, lambda *_: None)
        self.handled: list[int] = []
        usual = self.core.placer.handle

        def handle(now: float, events: Any) -> Any:
            asks = sum(isinstance(one, api.PlacementRequest) for one in events)
            self.handled.append(asks)
            self.clock.ns += asks * cost_us * 1000
            return usual(now, events)

        self.core.placer.handle = handle  # type: ignore[method-assign]
        self.core.update_endpoints(EndpointListUpdate(True, 1, entries()))
        self.owner = Owner()
        self.loop.turn(True)

    def ask(self, first: int, count: int, left_us: int = 6_000_000) -> None:
        for uid in range(first, first + count):
            due = self.loop.now + left_us
            request = TaskRequest(self.owner, uid, "safe", None, uid, due, None, uid, 1.0, 1.0, b"x")  # type: ignore[arg-type]
            self.core.inbox.append(request)


def test_a_turn_gives_the_module_no_more_set_ups_than_it_has_time_for() -> None:
    """Guards against turns of seconds after a mass resubmission: every answer of that time came too late."""
    rig = Rig(cost_us=1000)
    rig.ask(1, 3000)
    longest = 0
    for _ in range(3000):
        before = len(rig.handled)
        if not rig.loop.turn(True):
            break
        longest = max(longest, sum(rig.handled[before:]))
    assert 0 < longest <= 25  # of 1 ms each
    assert sorted(uid for _, uid, _ in rig.owner.heard) == list(range(1, 3001))
    assert "failed" not in {word for word, _, _ in rig.owner.heard}


def test_a_drain_is_heeded_in_the_next_turn_however_much_waits() -> None:
    rig = Rig(cost_us=1000)
    rig.ask(1, 4000)
    rig.loop.turn(True)
    rig.core.update_endpoints(EndpointListUpdate(False, 2, entries(Health.DRAINING, range(NODES // 2))))
    so_far = len(rig.offered)
    while rig.loop.turn(True):  # the nodes themselves object to an offer while they drain
        pass
    assert len(rig.offered) > so_far and min(rig.offered[so_far:]) > NODES // 2


def test_nothing_is_sent_on_the_list_of_a_configuration_that_may_be_old() -> None:
    """Guards against offers to nodes whose drain was told while the process was starting."""
    rig = Rig()
    stale = True
    rig.core.is_endpoint_list_stale = lambda: stale
    rig.ask(1, 20)
    rig.loop.turn(True)
    assert not rig.offered and not rig.owner.heard
    rig.core.update_endpoints(EndpointListUpdate(False, 2, entries(Health.DRAINING, range(NODES // 2))))
    stale = False
    rig.loop.turn(True)
    assert len(rig.offered) == 20 and min(rig.offered) > NODES // 2


def test_a_change_log_that_says_nothing_holds_set_ups_up_for_a_moment_only() -> None:
    rig = Rig()
    rig.core.is_endpoint_list_stale = lambda: True
    rig.ask(1, 20)
    rig.loop.turn(True)
    assert not rig.offered
    rig.clock.ns += 250_000_000
    rig.loop.turn(True)
    assert len(rig.offered) == 20


def test_what_cannot_be_placed_in_its_time_is_refused_while_there_is_time() -> None:
    rig = Rig(cost_us=20_000)
    rig.ask(1, 2000)
    while rig.loop.turn(True):
        pass
    refused = [wait for word, _, wait in rig.owner.heard if word == "refused"]
    assert len(refused) > 1000 and set(refused) == {1_000_000}
    assert sorted(uid for _, uid, _ in rig.owner.heard) == list(range(1, 2001))


def test_the_earliest_deadline_goes_first() -> None:
    rig = Rig(cost_us=1000)
    rig.ask(1, 200, left_us=6_000_000)
    rig.ask(1000, 5, left_us=1_000_000)
    asked: list[int] = []
    usual = rig.core.placer.handle

    def handle(now: float, events: Any) -> Any:
        asked.extend(one.task for one in events if isinstance(one, api.PlacementRequest))
        return usual(now, events)

    rig.core.placer.handle = handle  # type: ignore[method-assign]
    while rig.loop.turn(True):
        pass
    assert set(asked[:5]) == set(range(1000, 1005))


def test_attempts_that_end_together_are_offered_anew_by_slices() -> None:
    """Guards against one turn that places anew all that was out at a zone which is lost."""
    rig = Rig(silent=True)
    rig.ask(1, 600)
    while rig.loop.turn(True):
        pass
    out = [task for task in rig.core.tasks_by_number.values() if task.attempt is not None]
    assert len(out) > 300
    for task in out:
        assert task.attempt is not None
        rig.core.inbox.append(TaskFinished(task.attempt.machine, task.node_uid, Outcome.BROKEN))
    while rig.core.inbox or rig.core.attempts.ended:
        before = len(rig.offered)
        rig.loop.turn(True)
        assert len(rig.offered) - before <= 16


def test_an_answer_that_came_in_the_turn_in_which_the_time_was_over_counts() -> None:
    """Guards against a second copy: nothing is out at the node any more that could be given up there."""
    rig = Rig(silent=True)
    rig.ask(1, 1)
    while rig.loop.turn(True):
        pass
    (task,) = rig.core.tasks_by_number.values()
    attempt = task.attempt
    assert attempt is not None
    rig.core.inbox.append(AttemptTimedOut(task, attempt))
    rig.core.inbox.append(TaskStarted(attempt.machine, attempt.uid, b"x"))
    while rig.loop.turn(True):
        pass
    assert rig.owner.heard == [("running", 1, None)] and len(rig.offered) == 1


def test_a_release_does_not_wait_behind_tasks_that_are_placed_anew() -> None:
    """Guards against releases later than 1 s where a zone is lost: they were told 16 ended attempts a turn."""
    rig = Rig()
    rig.ask(1, 50)
    while rig.loop.turn(True):
        pass
    rig.silent = True
    rig.ask(100, 100)
    while rig.loop.turn(True):
        pass
    for wanted in (TaskState.OPEN, TaskState.RUNNING):
        for task in rig.core.tasks_by_number.values():
            if task.state is wanted:
                machine = task.machine if task.attempt is None else task.attempt.machine
                rig.core.inbox.append(TaskFinished(machine, task.node_uid, Outcome.BROKEN))
    rig.loop.turn(True)
    assert [word for word, _, _ in rig.owner.heard].count("released") == 50


def test_set_ups_leave_time_for_reading_where_much_is_to_be_read() -> None:
    """Guards against releases that wait in the system: one slice of set-ups a turn until all has been read."""
    rig = Rig(cost_us=1000)
    rig.ask(1, 4000)

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
        assert rig.loop.has_backlog and sum(rig.handled[before:]) == 4


def test_a_node_that_goes_costs_its_own_tasks_and_no_others() -> None:
    rig = Rig()
    rig.ask(1, 600)
    while rig.loop.turn(True):
        pass
    looked = []

    class Watched(dict):  # type: ignore[type-arg]
        def values(self) -> Any:
            looked.append(1)
            return super().values()

    rig.core.tasks.by_number = Watched(rig.core.tasks.by_number)
    rig.core.update_endpoints(EndpointListUpdate(False, 2, entries(Health.REMOVED, range(500))))
    while rig.loop.turn(True):
        pass
    gone = sum(machine <= 500 for machine in rig.offered)
    assert not looked and gone == [word for word, _, _ in rig.owner.heard].count("released") > 0
    assert len(rig.core.tasks_by_machine) == len({machine for machine in rig.offered if machine > 500})


def test_an_offer_that_left_for_a_new_process_is_out_there() -> None:
    """Guards against a second copy: it was decided before that process started, and waited for a connection.

    On the bench (split, 241809376776) such tasks were offered elsewhere with nothing given up.
    """
    rig = Rig(silent=True)
    rig.ask(1, 1)
    while rig.loop.turn(True):
        pass
    (machine,) = rig.offered
    rig.clock.ns += 300_000_000
    rig.loop.turn(True)
    entry = replace(entries()[machine - 1], started_us=rig.loop.now - 200_000)
    rig.core.update_endpoints(EndpointListUpdate(False, 2, [entry]))
    while rig.loop.turn(True):
        pass
    assert len(rig.offered) == 1 and not rig.owner.heard


def test_an_offer_to_a_node_that_is_found_dead_is_called_back_before_its_task_goes_elsewhere() -> None:
    """Guards against a second copy: the news may wait for a turn, and an offer come in between and wait there."""
    rig = Rig(silent=True)
    rig.ask(1, 1)
    while rig.loop.turn(True):
        pass
    (machine,) = rig.offered
    rig.core.inbox.append(NodeLost(machine))
    while rig.loop.turn(True):
        pass
    assert rig.withdrawn == [machine] and len(rig.offered) == 2


def test_coroutines_wait_for_the_next_turn_and_an_urgent_one_goes_first() -> None:
    """Guards against a change log that is read after a thousand connections were."""
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
