"""gRPC peers whose programs hang while their HTTP/2 libraries go on: nothing is read, and no window is extended."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from thornshelf.core import TaskFinished
from thornshelf.lab.fakes.cluster import GRPC, GRPC2, JSON, FakeCluster, NodeBehavior
from thornshelf.placement import Outcome
from thornshelf.wire import http2

GENERATIONS = pytest.mark.parametrize("generation", [GRPC, GRPC2])
WINDOW_UPDATE = 8  # frame type
SLACK_S = 0.05
BODY = "x" * 8000
REQUESTS = 24  # of which one node gets more than fit into a window of 64 KiB
NEXT_TASK = 1000


def withhold_window_updates(connection: http2.Http2Connection) -> None:
    """Let a connection send no WINDOW_UPDATE any more."""
    emit: Any = connection._emit

    def emit_others(data: bytes) -> Any:
        return None if data[3] == WINDOW_UPDATE else emit(data)

    connection._emit = emit_others


def hang_first_node(cluster: FakeCluster) -> list[tuple[float, str, str, int]]:
    """Let the first node answer nothing; return a list that gets the time, node, kind and id of each message."""
    received: list[tuple[float, str, str, int]] = []

    def record(name: str, handle: Any) -> Any:
        def handle_message(order: Any, responder: Any) -> None:
            received.append((time.monotonic(), name, order.kind, order.uid))
            if handle is not None:
                handle(order, responder)

        return handle_message

    hung, sound = cluster.nodes
    cluster.run_until(lambda: bool(hung.responders))
    withhold_window_updates(hung.responders[0].h2)
    hung.handle_message = record("hung", None)  # type: ignore[method-assign]
    sound.handle_message = record("sound", sound.handle_message)  # type: ignore[method-assign]
    return received


def send_requests(cluster: FakeCluster, left_ms: int) -> None:
    for uid in range(1, REQUESTS + 1):
        meta = {"class": "lookup", "left": left_ms, "extras": "cores:1;memory:2"}
        line = {"kind": "launch", "uid": f"{uid:016x}", "meta": meta, "body": BODY}
        cluster.client.send(json.dumps(line).encode() + b"\n")


@GENERATIONS
@pytest.mark.parametrize("end", ["timeout", "cancellation"])
def test_an_attempt_at_a_hung_node_is_cancelled_there_before_it_is_sent_elsewhere(
    generation: str, end: str
) -> None:
    """Guards against two attempts in flight: the cancellation must not wait for the node's flow control."""
    cluster = FakeCluster(JSON, generation)
    received = hang_first_node(cluster)
    send_requests(cluster, 1600)
    cluster.run_until(lambda: sum((entry[1], entry[2]) == ("hung", "offer") for entry in received) >= 3)
    if end == "cancellation":
        for uid in range(1, REQUESTS + 1):
            cluster.client.cancel(uid)
    cluster.run_for(2000)
    offered = {uid: at for at, name, kind, uid in received if (name, kind) == ("hung", "offer")}
    cancelled = {uid: at for at, name, kind, uid in received if (name, kind) == ("hung", "release")}
    elsewhere = {uid: at for at, name, kind, uid in received if (name, kind) == ("sound", "offer")}
    assert offered.keys() <= cancelled.keys()
    for uid in offered.keys() & elsewhere.keys():
        assert elsewhere[uid] < offered[uid] or elsewhere[uid] >= cancelled[uid] - SLACK_S


@GENERATIONS
def test_an_attempt_that_can_only_be_sent_in_part_ends_with_its_connection(generation: str) -> None:
    """Guards against a second attempt while the rest of the first one waits for the node's flow control."""
    cluster = FakeCluster(JSON, generation)
    received = hang_first_node(cluster)
    link: Any = next(
        node.link  # type: ignore[attr-defined]
        for node in cluster.service.core.endpoints.nodes.values()
        if node.port == cluster.nodes[0].port  # type: ignore[attr-defined]
    )
    link._http._h2.streams[link._bind_stream].outbound_flow_control_window = 3000
    send_requests(cluster, 1600)
    cluster.run_for(2000)
    assert not any(name == "hung" and kind == "offer" for _, name, kind, _ in received)
    assert not link.stream.open


@GENERATIONS
def test_a_node_that_reads_too_slowly_is_reconnected_and_its_ends_are_heard(
    generation: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stream to a node that is reset without notice, after which no end of a task is heard."""
    monkeypatch.setattr(http2, "MAX_QUEUED_BYTES", 100)
    cluster = FakeCluster(JSON, generation, node_count=1)
    for uid in range(1, 21):
        cluster.client.send_request(uid, NodeBehavior.RUN)
        cluster.wait_for_events(uid)
    node: Any = next(iter(cluster.service.core.endpoints.nodes.values()))
    node.link._http._h2.streams[node.link._bind_stream].outbound_flow_control_window = 0
    for uid in range(2, 21):
        cluster.client.cancel(uid)
    cluster.run_until(lambda: not cluster.service.core.tasks_by_uid.keys() - {1})
    cluster.run_until(lambda: bool(cluster.nodes[0].responders))
    cluster.nodes[0].responders[-1].end(1, 16, 1)
    assert cluster.wait_for_events(1, 2)[1][0] == "released"


@GENERATIONS
def test_a_client_that_reads_too_slowly_gets_its_releases_on_its_next_stream(
    generation: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a client's stream that is reset without notice, whose releases then go nowhere."""
    monkeypatch.setattr(http2, "MAX_QUEUED_BYTES", 100)
    cluster = FakeCluster(generation)
    core = cluster.service.core
    for uid in range(1, 21):
        cluster.client.send_request(uid, NodeBehavior.RUN)
        cluster.wait_for_events(uid)
    call: Any = core.tasks_by_uid[1].subscribers[1]
    call.connection.http._h2.streams[call.stream_id].outbound_flow_control_window = 0
    for uid in range(1, 21):
        core.inbox.append(TaskFinished(core.tasks_by_uid[uid].machine, uid, Outcome.OK))
    cluster.run_until(lambda: call.closed)
    cluster.client.stream_id = cluster.client.open_stream("Dispatch")
    cluster.client.send_request(NEXT_TASK, NodeBehavior.RUN)
    for uid in range(1, 21):
        assert [event[0] for event in cluster.wait_for_events(uid, 2)] == ["placed", "released"]
