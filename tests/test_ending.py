"""A planned stop ends by state: what came in time is taken, read and answered, and no word is left unsent."""

from __future__ import annotations

import json
import socket
from typing import Any

import pytest

from tests.test_bad_clients import read_all, stranger
from thornshelf import graceful_shutdown
from thornshelf.lab.fakes.cluster import BINARY, DESCRIPTION, GRPC, HOST, JSON, FakeCluster, NodeBehavior
from thornshelf.wire import jsonl

PLACED = ("placed", DESCRIPTION)
WIRES = pytest.mark.parametrize(("front", "node"), [(JSON, BINARY), (GRPC, GRPC)])


def ending(
    monkeypatch: pytest.MonkeyPatch, front: str = JSON, node: str = BINARY, **more: Any
) -> FakeCluster:
    """A dispatcher that is told to end, at ``world.due`` for its own part; ``world.stopped`` once it stops."""
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_DELAY_US", 100_000)
    world = FakeCluster(front, node, **more)
    world.run_until(lambda: all(one.streams for one in world.nodes))
    return world


def told_to_end(world: FakeCluster) -> tuple[list[int], int]:
    """When it stopped, and when it takes the first step to that; the loop goes on turning for the stand-ins."""
    stopped: list[int] = []
    world.loop.stop = lambda: stopped.append(world.loop.now)  # type: ignore[method-assign]
    world.service.shut_down()
    world.loop.turn(True)
    return stopped, world.loop.now + 100_000


def line(uid: int, conduct: NodeBehavior, at: str = "") -> bytes:
    extras = f"cores:1;memory:2;service:{7:016x}" + (f";at:{at}" if at else "")
    meta = {"class": "lookup", "left": "8000", "key": f"{uid:016x}", "extras": extras}
    value = {"kind": "launch", "uid": f"{uid:016x}", "meta": meta, "body": conduct.value.decode()}
    return json.dumps(value).encode() + b"\n"


def answers(said: bytes) -> dict[int, str]:
    reader = jsonl.LineReader()
    reader.feed(said)
    found = {}
    while (one := reader.next()) is not None:
        found[one.uid] = one.kind
    return found


def test_connections_that_wait_to_be_accepted_as_it_ends_are_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a starved process that closes its listener on them: more came than one turn accepts."""
    world = ending(monkeypatch)
    stopped, due = told_to_end(world)
    crowd: list[socket.socket] = []

    def come() -> None:  # in the very turn of the end, after the descriptors were looked at
        for uid in range(100, 250):
            crowd.append(socket.create_connection(world.service.json_frontend.listener.address))
            crowd[-1].sendall(line(uid, NodeBehavior.RUN))
            crowd[-1].setblocking(False)

    world.loop.at(due, come)
    world.run_until(lambda: bool(stopped))
    heard = {uid: kind for one in crowd for uid, kind in answers(read_all(world, one)).items()}
    assert (
        heard.keys() == set(range(100, 250)) and "running" in heard.values()
    )  # or refused: there are two nodes


@pytest.mark.parametrize("rest", [b"", b"x"])
def test_what_is_unread_as_it_ends_is_answered_and_not_reset(
    monkeypatch: pytest.MonkeyPatch, rest: bytes
) -> None:
    """Guards against a close that resets a connection with a set-up in the system: it comes after the last look."""
    world = ending(monkeypatch)
    sock = stranger(world, JSON)
    world.run_for(20)
    stopped, due = told_to_end(world)
    whole = line(100, NodeBehavior.LATE)
    world.loop.at(due, lambda: sock.sendall(whole[: len(whole) // 2] if rest else whole))
    if rest:
        world.loop.at(due + 20_000, lambda: sock.sendall(whole[len(whole) // 2 :]))
    world.run_until(lambda: world.offer_count(100) == 1)
    world.run_for(150)  # longer than any pause of the program's own
    assert not stopped
    for one in world.nodes:
        if 100 in one.waiting:
            one.start(100)
    world.run_until(lambda: bool(stopped))
    assert answers(read_all(world, sock)) == {100: "running"}


@WIRES
def test_it_stops_once_the_last_answer_has_left_however_slowly_that_is_read(
    monkeypatch: pytest.MonkeyPatch, front: str, node: str
) -> None:
    world = ending(monkeypatch, front, node)
    world.client.ask(5, NodeBehavior.LATE)
    world.run_until(lambda: world.offer_count(5) == 1)
    stopped, _ = told_to_end(world)
    world.run_for(200)
    assert not stopped
    served: Any = world.service.frontends[front == GRPC]
    listening = next(iter(served._connections))
    full: list[bool] = []
    write = listening.stream._write
    listening.stream._write = lambda: False if len(full) == 0 else write()
    for one in world.nodes:
        if 5 in one.waiting:
            one.start(5)
    world.run_until(lambda: bool(listening.stream.buffered_bytes))
    world.run_for(200)
    assert not stopped
    full.append(True)
    world.run_until(lambda: bool(stopped))
    world.run_until(lambda: 5 in world.client.heard)
    assert world.client.heard[5] == [PLACED]


@WIRES
def test_the_end_of_a_task_is_told_before_it_stops(
    monkeypatch: pytest.MonkeyPatch, front: str, node: str
) -> None:
    """Guards against a task that nobody wants and that runs for good: its node's connection was just being made."""
    world = ending(monkeypatch, front, node, nodes=1)
    world.client.ask(5, NodeBehavior.RUN)
    assert world.wait_for_events(5) == [PLACED]
    (one,) = world.nodes
    stopped, due = told_to_end(world)
    world.loop.at(due - 30_000, lambda: world.client.give_up(5))
    world.loop.at(due - 30_000, one.break_streams)
    world.run_until(lambda: bool(stopped))
    assert ("release", 5) in one.seen


@WIRES
def test_the_end_of_a_task_is_told_again_where_its_connection_broke_on_the_way(front: str, node: str) -> None:
    """Guards against a word that is in the system when the connection is reset, and never read."""
    world = FakeCluster(front, node, nodes=1)
    world.client.ask(5, NodeBehavior.RUN)
    assert world.wait_for_events(5) == [PLACED]
    (one,) = world.nodes
    link: Any = world.service.core.endpoints.nodes[1].link  # type: ignore[attr-defined]
    one.deaf = True
    world.client.give_up(5)
    world.run_until(
        lambda: 1 in world.service.core.tasks_by_machine
        and bool(world.service.core.endpoints.nodes[1].pending_cancellations)  # type: ignore[attr-defined]
    )
    world.run_for(20)
    assert not link.stream.buffered_bytes and ("release", 5) not in one.seen
    one.break_streams()
    one.deaf = False
    world.run_until(lambda: ("release", 5) in one.seen)
    world.run_until(lambda: not world.service.core.endpoints.nodes[1].pending_cancellations)  # type: ignore[attr-defined]
    assert one.seen.count(("release", 5)) == 1


def test_a_connection_with_a_word_on_its_way_makes_no_room() -> None:
    """Guards against the end of a task that is written and never sent, as its connection is closed for another."""
    world = FakeCluster(nodes=1)
    world.client.ask(5, NodeBehavior.RUN)
    assert world.wait_for_events(5) == [PLACED]
    node: Any = world.service.core.endpoints.nodes[1]
    node.cancel_task(5)
    assert not node.idle and not node.listening_only
    world.run_until(lambda: ("release", 5) in world.nodes[0].seen)
    world.run_until(lambda: node.idle)


def test_one_that_spoke_just_now_makes_no_room_for_another() -> None:
    """Guards against a reset of a set-up that is in the system: the newest has said nothing that was read yet."""
    world = FakeCluster(nodes=0)
    silent, spoke = stranger(world, JSON), stranger(world, JSON)
    world.run_until(lambda: len(world.service.json_frontend._connections) == 3)
    world.run_for(20)
    spoke.sendall(line(6, NodeBehavior.RUN))
    silent.sendall(b"")
    closed = [world.service.json_frontend.evict_idle() for _ in range(3)]
    assert closed.count(True) == 2  # the silent one, and the first client, which has asked for nothing
    world.run_for(50)
    assert answers(spoke.recv(4096)) == {6: "stop"}  # refused, as there is no node
    spoke.close()
    assert read_all(world, silent) == b""


def test_a_second_stop_or_a_client_that_never_reads_does_not_hold_it_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(graceful_shutdown, "FLUSH_TIMEOUT_US", 50_000)
    world = ending(monkeypatch)
    sock = stranger(world, JSON, HOST)
    sock.sendall(line(100, NodeBehavior.RUN)[:30])  # and no more
    world.run_for(20)
    stopped, _ = told_to_end(world)
    world.service.shut_down()
    world.run_until(lambda: bool(stopped))
    sock.close()
