"""The JSON lines frontend and binary nodes over loopback sockets, with ordinary socket failures."""

from __future__ import annotations

import errno
import json
import socket
import time
from dataclasses import replace
from typing import Any

import pytest

from thornshelf import placement as api
from thornshelf.core import Attempt, TaskStarted
from thornshelf.lab.fakes.cluster import DESCRIPTION, JSON, FakeCluster, NodeBehavior
from thornshelf.loop import Stream
from thornshelf.nodes.node_link import NodeLink
from thornshelf.wire import binary, jsonl
from thornshelf.wire import placement_pb2 as pb

NON_IDEMPOTENT_CLASS = "ledger-batch"
PLACED, REFUSED, FAILED = ("placed", DESCRIPTION), ("refused", "1000"), ("failed", None)


def connect_raw(cluster: FakeCluster) -> socket.socket:
    """Connect a blocking client socket."""
    sock = socket.create_connection(cluster.service.json_frontend.listener.address)
    sock.settimeout(5.0)
    return sock


def launch(uid: int, behavior: NodeBehavior) -> bytes:
    meta = {"class": "lookup", "left": 8000, "extras": "cores:1;memory:2"}
    value = {"kind": "launch", "uid": f"{uid:016x}", "meta": meta, "body": behavior.value.decode()}
    return json.dumps(value).encode() + b"\n"


def test_a_health_check_of_the_frontend_is_answered() -> None:
    cluster = FakeCluster()
    cluster.client.send(b'{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}\n')
    assert cluster.wait_for_events(1) == [("checked", 1)]


@pytest.mark.parametrize(
    "line", [b"no json\n", b"[]\n", b'{"kind":"launch"}\n', b'{"uid":5}\n', b"\xff\xfe\n"]
)
def test_an_unreadable_line_is_skipped(line: bytes) -> None:
    cluster = FakeCluster()
    cluster.client.send(line)
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    assert [entry[1] for entry in cluster.logged] == ["bad-line"]


def test_an_oversized_line_closes_only_its_own_connection() -> None:
    cluster = FakeCluster()
    other = cluster.connect_client(JSON)
    cluster.client.send(b"x" * (jsonl.MAX_MESSAGE + 1))
    cluster.run_until(lambda: cluster.client.closed)
    other.send_request(5, NodeBehavior.RUN)
    cluster.run_until(lambda: 5 in other.events)
    assert [entry[1] for entry in cluster.logged] == ["bad-line"]


def test_half_closed_and_reset_connections_cancel_their_open_tasks() -> None:
    cluster = FakeCluster()
    for uid, end in ((5, "half"), (6, "reset")):
        sock = connect_raw(cluster)
        sock.sendall(launch(uid, NodeBehavior.IGNORE))
        cluster.run_until(lambda uid=uid: cluster.offer_count(uid) == 1)  # type: ignore[misc]
        if end == "half":
            sock.shutdown(socket.SHUT_WR)
        else:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            sock.close()
        cluster.run_until(lambda uid=uid: any(("release", uid) in n.received_kinds for n in cluster.nodes))  # type: ignore[misc]
        sock.close()
    assert cluster.service.core.open_count == 0


def test_a_full_descriptor_table_closes_an_idle_connection_and_keeps_busy_ones() -> None:
    """Guards against running out of descriptors: idle clients are evicted, clients with open requests are not."""
    cluster = FakeCluster()
    cluster.client.send_request(5, NodeBehavior.IGNORE)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    budget = cluster.service.json_frontend.listener.budget
    budget.total = budget.client_floor = 2
    idle = cluster.connect_client(JSON)
    cluster.run_for(10)
    third = cluster.connect_client(JSON)
    cluster.run_until(lambda: idle.closed)
    third.send_request(6, NodeBehavior.RUN)
    cluster.run_until(lambda: 6 in third.events)
    assert not cluster.client.closed
    assert budget.client_count == 2


def test_a_new_node_may_reuse_the_address_of_a_removed_one() -> None:
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    cluster.update_lifecycle(0, "terminated")
    assert cluster.wait_for_events(5, 2)[1][0] == "released"
    entry = cluster.endpoint(0) | {"instanceId": "s-00000009"}
    cluster.update_endpoint(entry)
    cluster.client.send_request(6, NodeBehavior.RUN)
    assert cluster.wait_for_events(6) == [PLACED]


def test_the_tasks_of_a_restarted_process_are_released() -> None:
    """The endpoint list has a later start time for the same name, so earlier tasks there have ended."""
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    cluster.wait_for_events(5)
    cluster.run_for(5)
    started = (cluster.loop.now + cluster.service._unix_offset_us) // 1000
    cluster.update_endpoint(cluster.endpoint(0, started=started))
    assert cluster.wait_for_events(5, 2)[1][0] == "released"


def test_nodes_are_connected_before_they_have_a_task() -> None:
    """Guards against lost reports about handed-over tasks, which a node sends only on an open connection."""
    cluster = FakeCluster(node_count=1)
    cluster.run_until(lambda: bool(cluster.nodes[0].streams))
    cluster.client.send_request(5, NodeBehavior.RUN, at="s-00000001")
    cluster.run_until(lambda: 5 in cluster.service.core.tasks_by_uid)
    for name in (b"use_cpu", b"use_ram"):
        note = {binary.NOTE_NAME: name, binary.FIGURE: b"0.25"}
        cluster.nodes[0].streams[0].send(binary.encode(binary.NOTE, 5, note))
    placer = cluster.service.core.placer
    cluster.run_until(
        lambda: [a.measured_usage for r in placer.requests.values() for a in r.attempts] == [[0.25, 0.25]]
    )
    assert len(cluster.nodes[0].streams) == 1


@pytest.mark.parametrize(
    ("described", "events"), [(True, [PLACED, ("released", pb.ENDED)]), (False, [FAILED])]
)
def test_a_task_that_ends_as_it_starts(described: bool, events: list[tuple[Any, ...]]) -> None:
    """A release with cause 16 is both answer and end if it has a description, and otherwise a reset."""
    cluster = FakeCluster()
    cluster.client.send_request(5, NodeBehavior.IGNORE, NON_IDEMPOTENT_CLASS)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    values = {binary.CAUSE: b"\x10", binary.REPORT: b"x0:3;x1:4"}
    if described:
        values[binary.DESCRIPTION] = DESCRIPTION
    attempted_node = next(node for node in cluster.nodes if node.received_kinds)
    attempted_node.streams[0].send(binary.encode(binary.RELEASE, 5, values))
    assert cluster.wait_for_events(5, len(events)) == events
    assert cluster.offer_count(5) == 1


def test_descriptor_exhaustion_does_not_count_as_a_dead_node(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against releasing running tasks: only a refused connection proves that a process is dead."""
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    cluster.wait_for_events(5)

    def full(*_: object) -> socket.socket:
        raise OSError(errno.EMFILE, "full")

    with monkeypatch.context() as patch:
        patch.setattr(socket, "socket", full)
        cluster.nodes[0].break_streams()
        cluster.run_for()
    assert cluster.client.events[5] == [PLACED]
    cluster.run_until(lambda: len(cluster.nodes[0].streams) == 2)


def test_a_task_never_ran_if_the_node_refuses_the_connection() -> None:
    cluster = FakeCluster(node_count=1)
    cluster.nodes[0].crash()
    cluster.client.send_request(5, NodeBehavior.RUN, NON_IDEMPOTENT_CLASS)
    # A task that must not run twice may only be rejected if it never ran.
    assert cluster.wait_for_events(5) == [REFUSED]


def test_delayed_answers_and_answers_for_unknown_tasks_are_ignored() -> None:
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.IGNORE, left="200")
    assert cluster.wait_for_events(5) == [FAILED]
    stream = cluster.nodes[0].streams[0]
    for uid in (5, 77):
        stream.send(binary.encode(binary.ANSWER, uid, {binary.DESCRIPTION: b"late"}))
        stream.send(binary.encode(binary.RELEASE, uid, {binary.CAUSE: b"\x10"}))
    cluster.client.send_request(6, NodeBehavior.RUN)
    cluster.wait_for_events(6)
    assert cluster.client.events == {5: [FAILED], 6: [PLACED]}


def test_garbage_from_a_node_closes_its_connection() -> None:
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.IGNORE, NON_IDEMPOTENT_CLASS)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    cluster.nodes[0].streams[0].send(b"\xff\xff garbage")
    assert cluster.wait_for_events(5) == [FAILED]  # it may have run
    assert cluster.offer_count(5) == 1


def test_a_release_waits_for_the_clients_next_connection() -> None:
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    cluster.client.stream.close()
    cluster.run_for(10)
    cluster.update_lifecycle(0, "terminated")
    cluster.run_for(10)
    returned = cluster.connect_client(JSON)
    # A client that never got the answer interprets the cause of the release as a rejection or failure.
    cluster.run_until(lambda: 5 in returned.events)


def test_a_rejection_carries_a_retry_after_within_the_limit() -> None:
    cluster = FakeCluster()
    core = cluster.service.core
    for uid, wait, expected in ((5, 1.5, "1500"), (6, 99.0, "3000"), (7, None, None)):
        cluster.client.send_request(uid, NodeBehavior.IGNORE)
        cluster.run_until(lambda uid=uid: uid in core.tasks_by_uid)  # type: ignore[misc]
        core.apply_action(api.Reject(core.tasks_by_uid[uid].number, wait))
        assert cluster.wait_for_events(uid) == [("refused", expected)]


def test_a_migration_notifies_the_client_and_the_node() -> None:
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    core = cluster.service.core
    core.apply_action(api.Migrate(core.tasks_by_uid[5].number))
    cluster.run_until(
        lambda: ("release", 5) in cluster.nodes[0].received_kinds and 5 not in core.tasks_by_uid
    )
    cluster.run_for(10)
    assert cluster.client.events[5] == [PLACED]  # a migration is neither an answer nor a release


def test_at_most_one_attempt_is_in_flight_whatever_the_placer_requests() -> None:
    cluster = FakeCluster()
    cluster.client.send_request(5, NodeBehavior.IGNORE)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    core = cluster.service.core
    for machine in (1, 2):
        core.apply_action(api.StartAttempt(core.tasks_by_uid[5].number, machine, None))
    cluster.run_for(20)
    assert cluster.offer_count(5) == 1


def test_an_exception_in_the_placer_ends_neither_the_process_nor_other_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = FakeCluster()
    core = cluster.service.core
    original_handle = core.placer.handle

    def fault(now: float, events: Any) -> Any:
        core.placer.actions.clear()
        raise KeyError("odd")

    monkeypatch.setattr(core.placer, "handle", fault)
    cluster.client.send_request(5, NodeBehavior.RUN, left="100")
    assert cluster.wait_for_events(5) == [FAILED]
    monkeypatch.setattr(core.placer, "handle", original_handle)
    cluster.client.send_request(6, NodeBehavior.RUN)
    assert cluster.wait_for_events(6) == [PLACED]
    assert {"placement-failed", "deadline-exceeded"} <= {entry[1] for entry in cluster.logged}


def test_a_task_that_starts_for_a_closed_connection_is_cancelled() -> None:
    """Guards against a running task unknown to any client, which its client would request and start again."""
    cluster = FakeCluster(node_count=1)
    cluster.client.send_request(5, NodeBehavior.IGNORE, NON_IDEMPOTENT_CLASS)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    core = cluster.service.core
    core.tasks_by_uid[5].subscribers[5].stream.close()  # type: ignore[attr-defined]
    core.inbox.appendleft(TaskStarted(1, 5, b"it runs"))
    cluster.run_until(lambda: ("release", 5) in cluster.nodes[0].received_kinds)
    assert cluster.client.events == {}


def test_open_requests_beyond_the_limit_are_rejected() -> None:
    cluster = FakeCluster()
    core = cluster.service.core
    core.settings = replace(core.settings, limits=replace(core.settings.limits, max_open_requests=1))
    cluster.client.send_request(5, NodeBehavior.IGNORE)
    cluster.client.send_request(6, NodeBehavior.RUN)
    assert cluster.wait_for_events(6) == [("refused", None)]


def test_shutdown_answers_open_requests_first() -> None:
    cluster = FakeCluster()
    cluster.client.send_request(5, NodeBehavior.IGNORE, left="1200")
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    cluster.service.shut_down()
    cluster.loop.run()  # returns within the longest deadline
    assert cluster.service.core.open_count == 0
    assert cluster.service.core.counters["failed"] == 1


class UnsentLink(NodeLink):
    """A connection whose attempts with even ids are still unsent."""

    def send_attempt(self, attempt: Attempt) -> None:
        pass

    def retract_attempt(self, uid: int) -> bool:
        return uid % 2 == 0

    def may_have_arrived(self, uid: int) -> bool:
        return uid % 2 == 1


def test_attempts_buffered_for_a_draining_node_are_withdrawn() -> None:
    """A draining node must not receive the first byte of a new attempt."""
    cluster = FakeCluster(node_count=1)
    core = cluster.service.core
    cluster.run_for(5)
    node: Any = core.endpoints.nodes[1]
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    with theirs:
        node.link = UnsentLink(node, Stream(cluster.loop, ours, "node"))
        for uid in (4, 5):
            node.send_attempt(
                Attempt(uid, 0, "lookup", uid, b"", cluster.loop.now, cluster.loop.now + 10**7, 1)
            )
        assert [attempt.uid for attempt in node.drain()] == [4]
        node.link = None
    ours.close()


def test_state_of_finished_tasks_is_bounded() -> None:
    cluster = FakeCluster(node_count=1)
    for uid in range(1, 100):
        cluster.client.send_request(uid, NodeBehavior.END)
        cluster.wait_for_events(uid, 2)
    (connection,) = cluster.service.json_frontend._connections
    node: Any = cluster.service.core.endpoints.nodes[1]
    assert len(connection.sent_releases) <= 32
    assert not node.in_flight
    assert not node.running


def test_attempts_at_a_replaced_process_are_cancelled_and_retried_elsewhere() -> None:
    cluster = FakeCluster()
    cluster.run_until(lambda: all(node.streams for node in cluster.nodes))
    cluster.client.send_request(5, NodeBehavior.IGNORE)
    cluster.run_until(lambda: cluster.offer_count(5) == 1)
    index = next(i for i, node in enumerate(cluster.nodes) if node.offer_count(5))
    old = cluster.nodes[index].streams[0]
    at_ms = time.time_ns() // 1_000_000 + 1
    # A start time before the connection was made: still the same process.
    cluster.update_endpoint(cluster.endpoint(index, started=at_ms - 3_600_000))
    cluster.run_for(10)
    assert cluster.offer_count(5) == 1
    assert old.open
    cluster.update_endpoint(cluster.endpoint(index, started=at_ms))
    cluster.run_until(lambda: cluster.offer_count(5) == 2)
    cluster.run_until(lambda: not old.open)


def test_an_attempt_is_cancelled_before_its_task_is_retried_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two copies at once when two tasks that time out in one turn swap nodes."""
    cluster = FakeCluster()
    core, written = cluster.service.core, list[tuple[int, int, int]]()
    cluster.run_until(lambda: all(node.streams for node in cluster.nodes))
    original_write = Stream._write

    def write(stream: Stream) -> bool:
        reader = binary.MessageReader()
        reader.feed(b"".join(chunk.data for chunk in stream._out if stream.peer.endswith(ports)))
        while (message := reader.next()) is not None:
            written.append((int(stream.peer.rpartition(":")[2]), message.type, message.uid))
        return original_write(stream)

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

    ports = tuple(f":{node.port}" for node in cluster.nodes)
    monkeypatch.setattr(core.placer, "handle", handle)
    monkeypatch.setattr(Stream, "_write", write)
    cluster.client.send_request(5, NodeBehavior.IGNORE)
    cluster.client.send_request(6, NodeBehavior.IGNORE)
    cluster.run_until(lambda: all(len(fake_node.received_kinds) >= 3 for fake_node in cluster.nodes))
    here, there = (node.port for node in cluster.nodes)
    for uid, first, second in ((5, here, there), (6, there, here)):
        cancelled, retried = (first, binary.RELEASE, uid), (second, binary.SET_UP, uid)
        assert written.index(cancelled) < written.index(retried)
