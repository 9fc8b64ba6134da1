"""Admission control with real sockets: rejections, reserved connections, exhausted descriptors, restarts."""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from thornshelf.admission.controller import AdmissionConfig, Limits, PrefixRule
from thornshelf.admission.fair_queue import FairQueueConfig
from thornshelf.admission.gcra import Rate
from thornshelf.admission.prefixes import parse_prefix
from thornshelf.admission.reserved_connections import ReservedConnectionsConfig
from thornshelf.configuration import ConfigError, read_config
from thornshelf.frontends.admission_filter import AdmissionFilterConfig
from thornshelf.lab.fakes.cluster import (
    BINARY,
    DESCRIPTION,
    EXAMPLE_CONFIG,
    GRPC,
    GRPC2,
    HOST,
    JSON,
    TIMEOUT_S,
    FakeCluster,
    NodeBehavior,
)
from thornshelf.lab.process import DispatcherProcess
from thornshelf.retries.jitter import JitterConfig
from thornshelf.wire import jsonl
from thornshelf.wire import placement_v2_pb2 as pb2

FRONTS = pytest.mark.parametrize("frontend", [JSON, GRPC, GRPC2])
PLACED = ("placed", DESCRIPTION)
KNOWN_CLIENTS = PrefixRule("known clients", parse_prefix("127.1.0.0/16"), known=True)


def filter_config(
    source_limits: Limits | None = None, capacity: int = 20, reserved: int = 4, **changes: Any
) -> AdmissionFilterConfig:
    """Settings with one known prefix; ``changes``: other values of ``AdmissionConfig``."""
    controller = AdmissionConfig(
        ReservedConnectionsConfig(capacity, reserved, min(2, reserved)),
        (KNOWN_CLIENTS,),
        source_limits or Limits(),
        **changes,
    )
    return AdmissionFilterConfig(controller, {"nodes": 4, "spare": 1})


def connect(cluster: FakeCluster, frontend: str = JSON, source: str = HOST) -> socket.socket:
    """A connection from the address ``source`` that has sent nothing."""
    address = cluster.service.frontends[0 if frontend == JSON else 1].listener.address
    sock = socket.create_connection(address, timeout=TIMEOUT_S, source_address=(source, 0))
    sock.setblocking(False)
    cluster.run_for(10)
    return sock


def read_until_closed(cluster: FakeCluster, sock: socket.socket) -> bytes | None:
    """All data until the connection is closed or no more arrives; None if it is open and nothing arrived."""
    data = b""
    while True:
        cluster.run_for(5)
        try:
            part = sock.recv(4096)
        except BlockingIOError:
            return data or None
        if not part:
            return data
        data += part


@FRONTS
def test_requests_beyond_a_sources_rate_are_rejected_at_once_with_a_retry_after(frontend: str) -> None:
    cluster = FakeCluster(frontend, admission=filter_config(Limits(request_rate=Rate(2, 1_000_000, 3))))
    for uid in range(5, 11):
        cluster.client.send_request(uid, NodeBehavior.RUN)
    events = [cluster.wait_for_events(uid)[0] for uid in range(5, 11)]
    assert [event[0] for event in events] == ["placed"] * 3 + ["refused"] * 3
    assert all(0 < int(event[1]) <= 2000 for event in events[3:])
    if frontend == JSON:
        assert cluster.client.messages[10][0].meta["why"].startswith("overloaded: set-ups of its address")
    if frontend == GRPC2:
        assert cluster.client.messages[10][0].refusal.reason == pb2.OVERLOADED
    cluster.run_for(600)
    cluster.client.send_request(20, NodeBehavior.RUN)
    assert cluster.wait_for_events(20) == [PLACED]


def test_a_rejected_connection_gets_the_reason_and_retry_after() -> None:
    cluster = FakeCluster(JSON, admission=filter_config(Limits(max_connections=1)))
    reply = read_until_closed(cluster, connect(cluster))
    assert reply is not None
    line = jsonl.parse_line(reply.strip())
    assert (line.kind, line.uid, line.reason) == ("stop", jsonl.UNKNOWN_UID, 34)
    assert line.meta == {"wait": "1000", "why": "overloaded: too many connections of its address"}
    assert cluster.service.admission_filter is not None
    assert cluster.service.admission_filter.descriptor_ledger.used["clients"] == 1
    frames = read_until_closed(cluster, connect(cluster, GRPC))
    assert frames is not None
    assert frames[3] == 4
    assert frames[9 + 3] == 7
    assert int.from_bytes(frames[9 + 13 : 9 + 17], "big") == 11  # ENHANCE_YOUR_CALM


def test_a_known_client_replaces_an_idle_unknown_connection() -> None:
    cluster = FakeCluster(JSON, admission=filter_config(capacity=5, reserved=3))
    unknown = [connect(cluster) for _ in range(6)]
    assert [read_until_closed(cluster, one) is None for one in unknown] == [
        True,
        True,
        False,
        False,
        False,
        False,
    ]
    known = [connect(cluster, source="127.1.0.1") for _ in range(4)]
    assert all(read_until_closed(cluster, one) is None for one in known)
    assert sum(read_until_closed(cluster, one) is None for one in unknown) < 2  # at least one was evicted
    cluster.client.send_request(5, NodeBehavior.RUN)
    for one in (*unknown, *known):
        one.close()
    cluster.run_for(50)
    assert cluster.service.admission_filter is not None
    assert cluster.service.admission_filter.controller.reserved_connections.open_count <= 1


def test_a_source_becomes_known_by_its_placed_tasks() -> None:
    cluster = FakeCluster(JSON, admission=filter_config(unknown_request_rate=Rate(1, 1_000_000, 4)))
    for uid in range(5, 9):
        cluster.client.send_request(uid, NodeBehavior.RUN)
        assert cluster.wait_for_events(uid) == [PLACED]
    for uid in range(9, 30):
        cluster.client.send_request(uid, NodeBehavior.RUN)
        # The rate of unknown sources does not apply to it any more.
        assert cluster.wait_for_events(uid) == [PLACED]


def test_a_flood_of_requests_does_not_starve_other_connections() -> None:
    cluster = FakeCluster(JSON, admission=filter_config(Limits(request_rate=Rate(1, 1_000_000, 1))))
    for uid in range(100, 1100):
        cluster.client.send_request(uid, NodeBehavior.RUN)
    address = cluster.service.frontends[0].listener.address
    known = socket.create_connection(address, timeout=TIMEOUT_S, source_address=("127.1.0.1", 0))
    known.setblocking(False)
    meta = {"class": "lookup", "left": "8000", "key": "5"}
    known.sendall(jsonl.encode_line("launch", 5, meta, body=NodeBehavior.RUN.value))
    started = cluster.loop.now
    while (reply := read_until_closed(cluster, known)) is None:
        assert cluster.loop.now - started < 2_000_000
    assert b'"running"' in reply
    assert len(cluster.client.events) < 500
    summaries = [
        values for _, message_id, values, _ in cluster.logged if message_id == "connections-rejected"
    ]
    assert 0 < len(summaries) <= 4
    assert str(summaries[0]["heaviest"]).startswith("127.0.0.1=")


def test_a_reload_of_the_rules_closes_no_connection() -> None:
    cluster = FakeCluster(JSON, admission=filter_config())
    connections = [connect(cluster) for _ in range(3)]
    service = cluster.service
    service._reread = lambda: replace(service.config, admission=filter_config(Limits(max_connections=1)))
    service.reload()
    assert all(read_until_closed(cluster, one) is None for one in connections)
    assert read_until_closed(cluster, connect(cluster)) is not None


def test_tenants_are_served_by_weight_and_a_flood_is_rejected_with_jitter() -> None:
    queue_config = FairQueueConfig(
        {"hollis-county": 0.72, "pruett-county": 0.28}, batch_size=1, min_remaining_us=100_000, max_waiting=10
    )
    cluster = FakeCluster(JSON, fair_queue=queue_config, retry_after_jitter=JitterConfig(100, 3_000_000))
    for uid in range(5, 45):
        cluster.client.send_request(
            uid, NodeBehavior.RUN, tenant="hollis-county" if uid % 2 else "pruett-county"
        )
    events = {uid: cluster.wait_for_events(uid)[0] for uid in range(5, 45)}
    refused = [uid for uid, one in events.items() if one[0] == "refused"]
    waits = [int(events[uid][1]) for uid in refused]
    assert refused
    assert len(set(waits)) == len(waits)
    assert max(waits) <= 3000
    assert cluster.service.core.open_count == 0


def test_clients_cannot_use_the_descriptors_of_nodes() -> None:
    cluster = FakeCluster(
        JSON, admission=AdmissionFilterConfig(filter_config().controller, {"nodes": 2}), node_count=2
    )
    ledger = cluster.service.admission_filter.descriptor_ledger  # type: ignore[union-attr]
    while ledger.acquire("clients"):
        pass
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    assert ledger.used["nodes"] == 2
    for node in cluster.nodes:
        node.crash()
    cluster.run_until(lambda: ledger.used["nodes"] == 0)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[admission]\nreserve = -1", "admission.reserve"),
        ("[admission]\nreserve = 5000", "admission.reserve"),
        ("[[admission.rule]]\nname = 'a'\nprefix = '10.0.0.1/8'", "admission.rule.0.prefix"),
        ("[[admission.rule]]\nname = 'a'\nprefix = 'fd00::/8'\nknown = 5", "admission.rule"),
        ("[[admission.rule]]\nname='a'\nprefix='10.0.0.0/8'\n" * 2, "admission.rule.1.name"),
        ("[admission.descriptors]\nnodes = 100000", "admission.descriptors"),
    ],
)
def test_an_invalid_table_is_reported_with_its_key(tmp_path: Path, text: str, key: str) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(text)
    with pytest.raises(ConfigError) as error:
        read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)}, str(file))
    assert str(error.value).startswith(key)


# The tests below run the dispatcher in a separate process.


OPERATOR_FILE = """
[grpc]
listen = "127.0.0.1:0"
[admission]
reserve = 4
[admission.descriptors]
nodes = 4
clients = 4
"""


@pytest.fixture
def separate_process(tmp_path: Path) -> Iterator[tuple[FakeCluster, DispatcherProcess]]:
    """Fake nodes in this process, and a dispatcher in another one that may open 48 descriptors."""
    cluster = FakeCluster(JSON, BINARY)
    dispatcher = DispatcherProcess(tmp_path, [one.port for one in cluster.nodes], OPERATOR_FILE, own_limit=48)
    yield cluster, dispatcher
    pids = {int(one) for one in re.findall(r'pid="(\d+)"', dispatcher.log_path.read_text())}
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    dispatcher.terminate()


def wait_for(cluster: FakeCluster, path: Path, text: str) -> None:
    """Runs the cluster until a log file contains a text."""
    limit = time.monotonic() + TIMEOUT_S
    while text not in path.read_text():
        assert time.monotonic() < limit, path.read_text()[-3000:]
        cluster.run_for(20)


# The first turn accepts 64 connections (MAX_ACCEPTS_PER_TURN) and can't evict those that it has just accepted. There
# are descriptors for 34: 48, less 5 that were open at the start, 5 for the change log, the log, two listeners and the
# spare one, and 4 kept for nodes. The rate of the address allows these 34, as its burst is 50.
REJECTED_WITHOUT_DESCRIPTOR = 30


def test_exhausted_descriptors_are_survived_and_reported_to_clients(
    separate_process: tuple[FakeCluster, DispatcherProcess],
) -> None:
    """The limit of the process is far below the configured one."""
    cluster, dispatcher = separate_process
    at = dispatcher.addresses[JSON]
    # All wait in the backlog before the first is accepted: later turns evict idle ones for those that arrive then.
    os.kill(dispatcher.process.pid, signal.SIGSTOP)
    try:
        os.waitid(os.P_PID, dispatcher.process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)
        flood = [socket.create_connection(at, timeout=TIMEOUT_S) for _ in range(100)]
    finally:
        os.kill(dispatcher.process.pid, signal.SIGCONT)
    for connection in flood:
        connection.setblocking(False)
    replies: dict[socket.socket, bytes] = {}
    limit = time.monotonic() + TIMEOUT_S
    while (
        sum(b'"reason":34' in reply and b"no descriptor is left" in reply for reply in replies.values())
        < REJECTED_WITHOUT_DESCRIPTOR
    ):
        assert time.monotonic() < limit, replies.values()
        replies |= {
            connection: data
            for connection in flood
            if connection not in replies and (data := read_until_closed(cluster, connection)) is not None
        }
    assert dispatcher.process.poll() is None
    assert dispatcher.descriptors <= 48
    cpu_us_before = dispatcher.cpu_us
    cluster.run_for(500)
    assert dispatcher.cpu_us - cpu_us_before < 200_000  # no busy loop
    for connection in flood:
        connection.close()
    cluster.run_for(100)
    with socket.create_connection(at, timeout=TIMEOUT_S) as sock:
        sock.sendall(jsonl.encode_line("check", 1, reason=0))
        sock.settimeout(TIMEOUT_S)
        assert b"checked" in sock.recv(100)


def test_a_successor_takes_over_the_running_tasks(
    separate_process: tuple[FakeCluster, DispatcherProcess],
) -> None:
    cluster, dispatcher = separate_process
    cluster.client.stream.close()
    cluster.service.json_frontend.listener.address = dispatcher.addresses[JSON]
    first = cluster.client = cluster.connect_client(JSON)
    first.send_request(5, NodeBehavior.RUN, "ledger-batch")
    assert cluster.wait_for_events(5) == [PLACED]
    os.kill(dispatcher.process.pid, signal.SIGUSR2)
    wait_for(cluster, dispatcher.log_path, "taken over from the predecessor")
    assert first.closed
    assert dispatcher.process.wait(TIMEOUT_S) == 0
    second = cluster.connect_client(JSON)
    second.placed.add(5)
    second.send_request(6, NodeBehavior.RUN)
    cluster.run_until(lambda: 6 in second.events)
    node = next(node for node in cluster.nodes if 5 in node.running)
    node.record_end(5, pb2.ENDED)
    node.responders[-1].end(5, 16, pb2.ENDED)
    cluster.run_until(lambda: 5 in second.events)
    assert second.events[5] == [("released", pb2.ENDED)]
    assert [cluster.offer_count(uid) for uid in (5, 6)] == [1, 1]


def test_the_predecessor_continues_if_the_successor_fails(
    separate_process: tuple[FakeCluster, DispatcherProcess],
) -> None:
    cluster, dispatcher = separate_process
    config = dispatcher.log_path.parent / "config.json"
    valid_config = config.read_text()
    config.write_text(json.dumps({"settings": 5}))
    os.kill(dispatcher.process.pid, signal.SIGUSR2)
    wait_for(cluster, dispatcher.log_path, "it ended before it was ready")
    with socket.create_connection(dispatcher.addresses[JSON], timeout=TIMEOUT_S) as sock:
        sock.sendall(jsonl.encode_line("check", 1, reason=0))
        assert b"checked" in sock.recv(100)
    config.write_text(valid_config)
    cluster.run_for(400)
    os.kill(dispatcher.process.pid, signal.SIGUSR2)  # a later attempt succeeds
    wait_for(cluster, dispatcher.log_path, "taken over from the predecessor")


def test_both_processes_keep_within_the_limit_during_a_handover(tmp_path: Path) -> None:
    """Guards against exceeding the limit by counting the descriptors of each process separately."""
    cluster = FakeCluster(JSON, BINARY)
    dispatcher = DispatcherProcess(tmp_path, [one.port for one in cluster.nodes], OPERATOR_FILE, sockets=96)
    at, pids = dispatcher.addresses[JSON], [dispatcher.process.pid]
    try:
        flood = [socket.create_connection(at, timeout=TIMEOUT_S) for _ in range(120)]
        cluster.run_for(200)
        peak = 0
        os.kill(pids[0], signal.SIGUSR2)
        limit = time.monotonic() + TIMEOUT_S
        while "taken over from the predecessor" not in (log := dispatcher.log_path.read_text()):
            assert time.monotonic() < limit, log[-2000:]
            pids = [dispatcher.process.pid, *(int(one) for one in re.findall(r'pid="(\d+)"', log))]
            peak = max(peak, sum(map(count_descriptors, pids)))
            # No connection is refused during the handover.
            flood.append(socket.create_connection(at, timeout=TIMEOUT_S))
            cluster.run_for(10)
        assert len(pids) == 2
        assert peak <= 96
        for one in flood:
            one.close()
        cluster.run_for(100)
        with socket.create_connection(at, timeout=TIMEOUT_S) as sock:
            sock.sendall(jsonl.encode_line("check", 1, reason=0))
            sock.settimeout(TIMEOUT_S)
            assert b"checked" in sock.recv(100)
    finally:
        for pid in pids[1:]:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        dispatcher.terminate()


def count_descriptors(pid: int) -> int:
    """The number of open descriptors of a process; 0 if it has exited."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0
