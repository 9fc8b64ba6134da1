"""The platform's frontend and nodes on loopback: what only they have, and the ordinary events of sockets."""

from __future__ import annotations

import contextlib
import errno
import json
import socket
import time
from dataclasses import replace
from typing import Any

import pytest

from thornshelf.core import Attempt, TaskStarted
from thornshelf.lab.fakes.cluster import DESCRIPTION, JSON, TIMEOUT_S, FakeCluster, NodeBehavior
from thornshelf.loop import Loop, Stream
from thornshelf.nodes.node_link import NodeLink
from thornshelf.placement import interface as api
from thornshelf.wire import binary, jsonl
from thornshelf.wire import placement_pb2 as pb

ONCE_ONLY = "ledger-batch"
PLACED, REFUSED, FAILED = ("placed", DESCRIPTION), ("refused", "1000"), ("failed", None)


def raw(world: FakeCluster) -> socket.socket:
    """A blocking client socket."""
    sock = socket.create_connection(world.service.json_frontend.listener.address)
    sock.settimeout(5.0)
    return sock


def launch(uid: int, conduct: NodeBehavior) -> bytes:
    meta = {"class": "lookup", "left": 8000, "extras": "cores:1;memory:2"}
    value = {"kind": "launch", "uid": f"{uid:016x}", "meta": meta, "body": conduct.value.decode()}
    return json.dumps(value).encode() + b"\n"


def test_a_test_is_passed() -> None:
    world = FakeCluster()
    world.client.send(b'{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}\n')
    assert world.wait_for_events(1) == [("checked", 1)]


@pytest.mark.parametrize(
    "line", [b"no json\n", b"[]\n", b'{"kind":"launch"}\n', b'{"uid":5}\n', b"\xff\xfe\n"]
)
def test_an_unreadable_line_is_skipped(line: bytes) -> None:
    world = FakeCluster()
    world.client.send(line)
    world.client.ask(5, NodeBehavior.RUN)
    assert world.wait_for_events(5) == [PLACED]
    assert [entry[1] for entry in world.logged] == ["bad-line"]


def test_an_endless_line_closes_its_connection_alone() -> None:
    world = FakeCluster()
    other = world.connect_client(JSON)
    world.client.send(b"x" * (jsonl.MAX_MESSAGE + 1))
    world.run_until(lambda: world.client.closed)
    other.ask(5, NodeBehavior.RUN)
    world.run_until(lambda: 5 in other.heard)
    assert [entry[1] for entry in world.logged] == ["bad-line"]


def test_half_closed_and_reset_connections_cancel_their_open_tasks() -> None:
    world = FakeCluster()
    for uid, end in ((5, "half"), (6, "reset")):
        sock = raw(world)
        sock.sendall(launch(uid, NodeBehavior.SILENT))
        world.run_until(lambda uid=uid: world.offer_count(uid) == 1)  # type: ignore[misc]
        if end == "half":
            sock.shutdown(socket.SHUT_WR)
        else:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            sock.close()
        world.run_until(lambda uid=uid: any(("release", uid) in n.seen for n in world.nodes))  # type: ignore[misc]
        sock.close()
    assert world.service.core.open_count == 0


def test_a_full_descriptor_table_closes_an_idle_connection_and_keeps_busy_ones() -> None:
    """Guards against running out of descriptors: idle clients are evicted, those with open requests are not."""
    world = FakeCluster()
    world.client.ask(5, NodeBehavior.SILENT)
    world.run_until(lambda: world.offer_count(5) == 1)
    budget = world.service.json_frontend.listener.budget
    budget.total = budget.client_floor = 2
    idle = world.connect_client(JSON)
    world.run_for(10)
    third = world.connect_client(JSON)
    world.run_until(lambda: idle.closed)
    third.ask(6, NodeBehavior.RUN)
    world.run_until(lambda: 6 in third.heard)
    assert not world.client.closed and budget.client_count == 2


def test_a_new_node_at_the_address_of_one_that_is_gone() -> None:
    world = FakeCluster(nodes=1)
    world.client.ask(5, NodeBehavior.RUN)
    world.wait_for_events(5)
    world.update_lifecycle(0, "terminated")
    assert world.wait_for_events(5, 2)[1][0] == "released"
    entry = world.endpoint(0) | {"instanceId": "s-00000009"}
    world.update_endpoint(entry)
    world.client.ask(6, NodeBehavior.RUN)
    assert world.wait_for_events(6) == [PLACED]


def test_the_tasks_of_a_restarted_process_are_released() -> None:
    """The list shows a later start under the same name: the tasks there have ended."""
    world = FakeCluster(nodes=1)
    world.client.ask(5, NodeBehavior.RUN, ONCE_ONLY)
    world.wait_for_events(5)
    world.run_for(5)
    started = (world.loop.now + world.service._unix_offset_us) // 1000
    world.update_endpoint(world.endpoint(0, started=started))
    assert world.wait_for_events(5, 2)[1][0] == "released"


def test_a_node_is_connected_to_before_it_has_a_task() -> None:
    """What it reports of tasks that are handed over goes to an open connection, and else is lost."""
    world = FakeCluster(nodes=1)
    world.run_until(lambda: bool(world.nodes[0].streams))
    world.client.ask(5, NodeBehavior.RUN, at="s-00000001")
    world.run_until(lambda: 5 in world.service.core.tasks_by_uid)
    for name in (b"use_cpu", b"use_ram"):
        note = {binary.NOTE_NAME: name, binary.FIGURE: b"0.25"}
        world.nodes[0].streams[0].send(binary.encode(binary.NOTE, 5, note))
    placer = world.service.core.placer
    world.run_until(
        lambda: [a.measured_usage for r in placer.requests.values() for a in r.attempts] == [[0.25, 0.25]]
    )
    assert len(world.nodes[0].streams) == 1


@pytest.mark.parametrize(
    ("described", "heard"), [(True, [PLACED, ("released", pb.ENDED)]), (False, [FAILED])]
)
def test_a_task_whose_time_is_over_as_it_starts(described: bool, heard: list[tuple[Any, ...]]) -> None:
    """The node's release with cause 16 is answer and end in one, if it has a description; else a reset."""
    world = FakeCluster()
    world.client.ask(5, NodeBehavior.SILENT, ONCE_ONLY)
    world.run_until(lambda: world.offer_count(5) == 1)
    values = {binary.CAUSE: b"\x10", binary.REPORT: b"x0:3;x1:4"}
    if described:
        values[binary.DESCRIPTION] = DESCRIPTION
    holder = next(one for one in world.nodes if one.seen)
    holder.streams[0].send(binary.encode(binary.RELEASE, 5, values))
    assert world.wait_for_events(5, len(heard)) == heard
    assert world.offer_count(5) == 1


def test_a_lack_of_own_descriptors_proves_nothing_of_a_node(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against releasing what still runs: only a refused connect proves a process dead."""
    world = FakeCluster(nodes=1)
    world.client.ask(5, NodeBehavior.RUN, ONCE_ONLY)
    world.wait_for_events(5)

    def full(*_: object) -> socket.socket:
        raise OSError(errno.EMFILE, "full")

    with monkeypatch.context() as patch:
        patch.setattr(socket, "socket", full)
        world.nodes[0].break_streams()
        world.run_for()
    assert world.client.heard[5] == [PLACED]
    world.run_until(lambda: len(world.nodes[0].streams) == 2)


def test_a_refused_connection_never_ran() -> None:
    world = FakeCluster(nodes=1)
    world.nodes[0].die()
    world.client.ask(5, NodeBehavior.RUN, ONCE_ONLY)
    assert world.wait_for_events(5) == [
        REFUSED
    ]  # a task that must not run twice may be rejected only where it never ran


def test_a_late_answer_and_answers_for_unknown_tasks_change_nothing() -> None:
    world = FakeCluster(nodes=1)
    world.client.ask(5, NodeBehavior.SILENT, left="200")
    assert world.wait_for_events(5) == [FAILED]
    stream = world.nodes[0].streams[0]
    for uid in (5, 77):
        stream.send(binary.encode(binary.ANSWER, uid, {binary.DESCRIPTION: b"late"}))
        stream.send(binary.encode(binary.RELEASE, uid, {binary.CAUSE: b"\x10"}))
    world.client.ask(6, NodeBehavior.RUN)
    world.wait_for_events(6)
    assert world.client.heard == {5: [FAILED], 6: [PLACED]}


def test_garbage_from_a_node_closes_its_connection() -> None:
    world = FakeCluster(nodes=1)
    world.client.ask(5, NodeBehavior.SILENT, ONCE_ONLY)
    world.run_until(lambda: world.offer_count(5) == 1)
    world.nodes[0].streams[0].send(b"\xff\xff garbage")
    assert world.wait_for_events(5) == [FAILED]  # it may have run
    assert world.offer_count(5) == 1


def test_a_release_waits_for_the_clients_next_connection() -> None:
    world = FakeCluster(nodes=1)
    world.client.ask(5, NodeBehavior.RUN)
    world.wait_for_events(5)
    world.client.stream.close()
    world.run_for(10)
    world.update_lifecycle(0, "terminated")
    world.run_for(10)
    late = world.connect_client(JSON)
    # a client that never got the answer reads the release's cause as a rejection or failure
    world.run_until(lambda: 5 in late.heard)


def test_a_rejection_carries_a_retry_after_within_the_limit() -> None:
    world = FakeCluster()
    asked = world.service.core
    for uid, wait, expected in ((5, 1.5, "1500"), (6, 99.0, "3000"), (7, None, None)):
        world.client.ask(uid, NodeBehavior.SILENT)
        world.run_until(lambda uid=uid: uid in asked.tasks_by_uid)  # type: ignore[misc]
        asked.apply_action(api.Reject(asked.tasks_by_uid[uid].number, wait))
        assert world.wait_for_events(uid) == [("refused", expected)]


def test_a_migration_notifies_the_client_and_the_node() -> None:
    world = FakeCluster(nodes=1)
    world.client.ask(5, NodeBehavior.RUN)
    world.wait_for_events(5)
    core = world.service.core
    core.apply_action(api.Migrate(core.tasks_by_uid[5].number))
    world.run_until(lambda: ("release", 5) in world.nodes[0].seen and 5 not in core.tasks_by_uid)
    world.run_for(10)
    assert world.client.heard[5] == [PLACED]  # the migration itself is no answer or release


def test_one_attempt_is_in_flight_whatever_the_placement_module_requests() -> None:
    world = FakeCluster()
    world.client.ask(5, NodeBehavior.SILENT)
    world.run_until(lambda: world.offer_count(5) == 1)
    core = world.service.core
    for machine in (1, 2):
        core.apply_action(api.StartAttempt(core.tasks_by_uid[5].number, machine, None))
    world.run_for(20)
    assert world.offer_count(5) == 1


def test_an_exception_in_the_placement_module_ends_neither_the_process_nor_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = FakeCluster()
    core = world.service.core
    usual = core.placer.handle

    def fault(now: float, events: Any) -> Any:
        core.placer.actions.clear()
        raise KeyError("odd")

    monkeypatch.setattr(core.placer, "handle", fault)
    world.client.ask(5, NodeBehavior.RUN, left="100")
    assert world.wait_for_events(5) == [FAILED]
    monkeypatch.setattr(core.placer, "handle", usual)
    world.client.ask(6, NodeBehavior.RUN)
    assert world.wait_for_events(6) == [PLACED]
    assert {"placement-failed", "deadline-exceeded"} <= {entry[1] for entry in world.logged}


def test_a_task_that_starts_for_a_closed_connection_is_cancelled() -> None:
    """Guards against a running task that no client knows of: its client would request it again and start it twice."""
    world = FakeCluster(nodes=1)
    world.client.ask(5, NodeBehavior.SILENT, ONCE_ONLY)
    world.run_until(lambda: world.offer_count(5) == 1)
    core = world.service.core
    core.tasks_by_uid[5].subscribers[5].stream.close()  # type: ignore[attr-defined]
    core.inbox.appendleft(TaskStarted(1, 5, b"it runs"))
    world.run_until(lambda: ("release", 5) in world.nodes[0].seen)
    assert world.client.heard == {}


def test_no_more_open_requests_than_the_settings_allow() -> None:
    world = FakeCluster()
    core = world.service.core
    core.settings = replace(core.settings, limits=replace(core.settings.limits, max_open_requests=1))
    world.client.ask(5, NodeBehavior.SILENT)
    world.client.ask(6, NodeBehavior.RUN)
    assert world.wait_for_events(6) == [("refused", None)]


def test_sigterm_with_open_requests_answers_them_first() -> None:
    world = FakeCluster()
    world.client.ask(5, NodeBehavior.SILENT, left="1200")
    world.run_until(lambda: world.offer_count(5) == 1)
    world.service.shut_down()
    world.loop.run()  # ends by itself, within the longest deadline
    assert world.service.core.open_count == 0 and world.service.core.counters["failed"] == 1


class SlowLink(NodeLink):
    """A connection on which nothing was sent yet."""

    def send_attempt(self, attempt: Attempt) -> None:
        pass

    def withdraw_attempt(self, uid: int) -> bool:
        return uid % 2 == 0

    def may_have_arrived(self, uid: int) -> bool:
        return uid % 2 == 1


def test_attempts_buffered_for_a_draining_node_are_withdrawn() -> None:
    """Drains are measured to the first byte sent."""
    world = FakeCluster(nodes=1)
    core = world.service.core
    world.run_for(5)
    node: Any = core.endpoints.nodes[1]
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    with theirs:
        node.link = SlowLink(node, Stream(world.loop, ours, "node"))
        for uid in (4, 5):
            node.send_attempt(Attempt(uid, 0, "lookup", uid, b"", world.loop.now, world.loop.now + 10**7, 1))
        assert [attempt.uid for attempt in node.drain()] == [4]
        node.link = None
    ours.close()


def test_only_messages_of_which_no_byte_was_sent_can_be_withdrawn() -> None:
    loop = Loop()
    listener = socket.create_server(("127.0.0.1", 0))
    ours = socket.create_connection(listener.getsockname())
    theirs, _ = listener.accept()
    stream = Stream(loop, ours, "peer")
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    chunks = [stream.send(bytes(60_000)) for _ in range(16)]
    stream.flush()
    assert chunks[0].sent > 0 and chunks[-1].sent == 0
    assert stream.retract(chunks[-1]) and not stream.retract(chunks[0])
    assert not stream.retract(chunks[-1])
    total = 0
    theirs.setblocking(False)  # to wait here would keep the loop from writing
    limit = time.monotonic() + TIMEOUT_S
    while total < 15 * 60_000 and time.monotonic() < limit:
        loop.after(1000, lambda: None)
        loop.turn()
        with contextlib.suppress(BlockingIOError):
            total += len(theirs.recv(1 << 20))
    assert total == 15 * 60_000 and stream.buffered_bytes == 0
    stream.close()
    theirs.close()
    listener.close()
    loop.close()


def test_a_broken_stream_does_not_block_its_reader() -> None:
    """Guards against a reader that waits for ever, as the buffered bytes were still counted."""
    world = FakeCluster()
    sock = raw(world)
    world.run_until(lambda: len(world.service.json_frontend._connections) == 2)
    stream = list(world.service.json_frontend._connections)[1].stream
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    stream.send(bytes(300_000))
    sock.close()
    world.run_until(lambda: not stream.open)
    assert len(world.service.json_frontend._connections) == 1


def test_a_listener_survives_an_error_of_accept(monkeypatch: pytest.MonkeyPatch) -> None:
    world = FakeCluster()
    world.run_until(lambda: all(node.streams for node in world.nodes))
    usual, faults = socket.socket.accept, [OSError(errno.EPERM, "odd"), OSError(errno.EMFILE, "full")]

    def accept(sock: socket.socket) -> Any:
        if faults:
            raise faults.pop()
        return usual(sock)

    monkeypatch.setattr(socket.socket, "accept", accept)
    world.client = world.connect_client(JSON)
    world.client.ask(5, NodeBehavior.RUN)
    assert world.wait_for_events(5) == [PLACED] and not faults


def test_the_records_of_releases_and_attempts_stay_bounded() -> None:
    world = FakeCluster(nodes=1)
    for uid in range(1, 100):
        world.client.ask(uid, NodeBehavior.END)
        world.wait_for_events(uid, 2)
    (connection,) = world.service.json_frontend._connections
    node: Any = world.service.core.endpoints.nodes[1]
    assert len(connection.sent_releases) <= 32 and not node.in_flight and not node.running


def test_closed_connections_are_counted_back() -> None:
    world = FakeCluster()
    for _ in range(3):
        world.connect_client(JSON).stream.close()
    world.run_until(lambda: world.service.json_frontend.listener.budget.client_count == 1)


def test_attempts_at_a_replaced_process_are_cancelled_and_retried_elsewhere() -> None:
    world = FakeCluster()
    world.run_until(lambda: all(node.streams for node in world.nodes))
    world.client.ask(5, NodeBehavior.SILENT)
    world.run_until(lambda: world.offer_count(5) == 1)
    index = next(i for i, node in enumerate(world.nodes) if node.offers(5))
    old = world.nodes[index].streams[0]
    at_ms = time.time_ns() // 1_000_000 + 1
    world.update_endpoint(world.endpoint(index, started=at_ms - 3_600_000))  # the one that it is connected to
    world.run_for(10)
    assert world.offer_count(5) == 1 and old.open
    world.update_endpoint(world.endpoint(index, started=at_ms))
    world.run_until(lambda: world.offer_count(5) == 2)
    world.run_until(lambda: not old.open)


def test_an_attempt_is_cancelled_before_its_task_is_retried_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two copies at once: two tasks that time out in one turn change places."""
    world = FakeCluster()
    core, written = world.service.core, list[tuple[int, int, int]]()
    world.run_until(lambda: all(node.streams for node in world.nodes))
    usual = Stream._write

    def write(stream: Stream) -> bool:
        reader = binary.MessageReader()
        reader.feed(b"".join(chunk.data for chunk in stream._out if stream.peer.endswith(ports)))
        while (message := reader.next()) is not None:
            written.append((int(stream.peer.rpartition(":")[2]), message.type, message.uid))
        return usual(stream)

    def handle(now: float, events: Any) -> list[api.Action]:
        offers: list[api.Action] = []
        for event in events:
            if isinstance(event, api.PlacementRequest):
                offers.append(api.StartAttempt(event.request_id, event.request_id, 0.05))
            elif (
                isinstance(event, api.AttemptEnded)
                and event.outcome is api.Outcome.TIMED_OUT
                and not event.attempt
            ):
                offers.append(api.StartAttempt(event.request_id, 3 - event.request_id, 5.0))
        return offers

    ports = tuple(f":{node.port}" for node in world.nodes)
    monkeypatch.setattr(core.placer, "handle", handle)
    monkeypatch.setattr(Stream, "_write", write)
    world.client.ask(5, NodeBehavior.SILENT)
    world.client.ask(6, NodeBehavior.SILENT)
    world.run_until(lambda: all(len(one.seen) >= 3 for one in world.nodes))
    here, there = (node.port for node in world.nodes)
    for uid, first, second in ((5, here, there), (6, there, here)):
        cancelled, retried = (first, binary.RELEASE, uid), (second, binary.SET_UP, uid)
        assert written.index(cancelled) < written.index(retried)
