"""The door on sockets: who is turned away and how, what is kept, descriptors that run out, and a successor."""

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
    NodeBehavior,
    FakeCluster,
)
from thornshelf.lab.process import DispatcherProcess
from thornshelf.retries.jitter import JitterConfig
from thornshelf.wire import jsonl
from thornshelf.wire import placement_v2_pb2 as pb2

FRONTS = pytest.mark.parametrize("front", [JSON, GRPC, GRPC2])
PLACED = ("placed", DESCRIPTION)
COUNTY = PrefixRule("county", parse_prefix("127.1.0.0/16"), known=True)


def gate(
    each: Limits | None = None, capacity: int = 20, reserve: int = 4, **changes: Any
) -> AdmissionFilterConfig:
    door = AdmissionConfig(
        ReservedConnectionsConfig(capacity, reserve, min(2, reserve)), (COUNTY,), each or Limits(), **changes
    )
    return AdmissionFilterConfig(door, {"nodes": 4, "spare": 1})


def knock(world: FakeCluster, front: str = JSON, source: str = HOST) -> socket.socket:
    at = world.service.frontends[0 if front == JSON else 1].listener.address
    sock = socket.create_connection(at, timeout=TIMEOUT_S, source_address=(source, 0))
    sock.setblocking(False)
    world.run_for(10)
    return sock


def heard(world: FakeCluster, sock: socket.socket) -> bytes | None:
    """All that came until the end; none where it is open and nothing came."""
    data = b""
    while True:
        world.run_for(5)
        try:
            part = sock.recv(4096)
        except BlockingIOError:
            return data or None
        if not part:
            return data
        data += part


@FRONTS
def test_set_ups_beyond_a_sources_rate_are_refused_at_once_with_a_wait(front: str) -> None:
    world = FakeCluster(front, admission=gate(Limits(request_rate=Rate(2, 1_000_000, 3))))
    for uid in range(5, 11):
        world.client.ask(uid, NodeBehavior.RUN)
    words = [world.wait_for_events(uid)[0] for uid in range(5, 11)]
    assert [one[0] for one in words] == ["placed"] * 3 + ["refused"] * 3
    assert all(0 < int(one[1]) <= 2000 for one in words[3:])
    if front == JSON:
        assert world.client.said[10][0].meta["why"].startswith("overloaded: set-ups of its address")
    if front == GRPC2:
        assert world.client.said[10][0].refusal.reason == pb2.OVERLOADED
    world.run_for(600)
    world.client.ask(20, NodeBehavior.RUN)
    assert world.wait_for_events(20) == [PLACED]


def test_one_that_is_turned_away_hears_why_and_when_to_come_again() -> None:
    world = FakeCluster(JSON, admission=gate(Limits(max_connections=1)))
    told = heard(world, knock(world))
    assert told is not None
    line = jsonl.parse_line(told.strip())
    assert (line.kind, line.uid, line.reason) == ("stop", jsonl.UNKNOWN_UID, 34)
    assert line.meta == {"wait": "1000", "why": "overloaded: too many connections of its address"}
    assert (
        world.service.admission_filter is not None
        and world.service.admission_filter.descriptor_ledger.used["clients"] == 1
    )
    frames = heard(world, knock(world, GRPC))
    assert frames is not None and frames[3] == 4 and frames[9 + 3] == 7  # SETTINGS, and GOAWAY
    assert int.from_bytes(frames[9 + 13 : 9 + 17], "big") == 11  # ENHANCE_YOUR_CALM


def test_a_known_county_takes_the_place_of_an_idle_stranger() -> None:
    world = FakeCluster(JSON, admission=gate(capacity=5, reserve=3))
    strangers = [knock(world) for _ in range(6)]
    assert [heard(world, one) is None for one in strangers] == [True, True, False, False, False, False]
    county = [knock(world, source="127.1.0.1") for _ in range(4)]
    assert all(heard(world, one) is None for one in county)
    assert sum(heard(world, one) is None for one in strangers) < 2  # idle ones made room
    world.client.ask(5, NodeBehavior.RUN)
    for one in (*strangers, *county):
        one.close()
    world.run_for(50)
    assert (
        world.service.admission_filter is not None
        and world.service.admission_filter.controller.reserved_connections.open_count <= 1
    )


def test_a_source_becomes_known_by_the_tasks_that_were_placed_for_it() -> None:
    world = FakeCluster(JSON, admission=gate(unknown_request_rate=Rate(1, 1_000_000, 4)))
    for uid in range(5, 9):
        world.client.ask(uid, NodeBehavior.RUN)
        assert world.wait_for_events(uid) == [PLACED]
    for uid in range(9, 30):
        world.client.ask(uid, NodeBehavior.RUN)
        assert world.wait_for_events(uid) == [PLACED]  # the crowd's rate no longer holds for it


def test_a_flood_of_set_ups_does_not_take_the_others_turns() -> None:
    world = FakeCluster(JSON, admission=gate(Limits(request_rate=Rate(1, 1_000_000, 1))))
    for uid in range(100, 1100):
        world.client.ask(uid, NodeBehavior.RUN)
    at = world.service.frontends[0].listener.address
    county = socket.create_connection(at, timeout=TIMEOUT_S, source_address=("127.1.0.1", 0))
    county.setblocking(False)
    meta = {"class": "lookup", "left": "8000", "key": "5"}
    county.sendall(jsonl.encode_line("launch", 5, meta, body=NodeBehavior.RUN.value))
    began = world.loop.now
    while (told := heard(world, county)) is None:
        assert world.loop.now - began < 2_000_000
    assert b'"running"' in told and len(world.client.heard) < 500  # the flood is still being read
    lines = [values for _, word, values, _ in world.logged if word == "connections-rejected"]
    assert 0 < len(lines) <= 4 and str(lines[0]["heaviest"]).startswith("127.0.0.1=")


def test_rules_are_read_again_without_dropping_anyone() -> None:
    world = FakeCluster(JSON, admission=gate())
    kept = [knock(world) for _ in range(3)]
    service = world.service
    service._reread = lambda: replace(service.config, admission=gate(Limits(max_connections=1)))
    service.reload()
    assert all(heard(world, one) is None for one in kept)
    assert heard(world, knock(world)) is not None


def test_counties_are_served_by_share_and_a_crowd_is_told_to_come_later() -> None:
    shares = FairQueueConfig(
        {"hollis-county": 0.72, "pruett-county": 0.28}, batch_size=1, min_remaining_us=100_000, max_waiting=10
    )
    world = FakeCluster(JSON, fair_queue=shares, retry_after_jitter=JitterConfig(100, 3_000_000))
    for uid in range(5, 45):
        world.client.ask(uid, NodeBehavior.RUN, tenant="hollis-county" if uid % 2 else "pruett-county")
    words = {uid: world.wait_for_events(uid)[0] for uid in range(5, 45)}
    refused = [uid for uid, one in words.items() if one[0] == "refused"]
    waits = [int(words[uid][1]) for uid in refused]
    assert refused and len(set(waits)) == len(waits) and max(waits) <= 3000
    assert world.service.core.open_count == 0


def test_nodes_keep_their_descriptors_whatever_clients_do() -> None:
    world = FakeCluster(JSON, admission=AdmissionFilterConfig(gate().controller, {"nodes": 2}), nodes=2)
    ledger = world.service.admission_filter.descriptor_ledger  # type: ignore[union-attr]
    while ledger.acquire("clients"):
        pass
    world.client.ask(5, NodeBehavior.RUN)
    assert world.wait_for_events(5) == [PLACED] and ledger.used["nodes"] == 2
    for node in world.nodes:
        node.die()
    world.run_until(lambda: ledger.used["nodes"] == 0)


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
def test_a_bad_table_names_its_key(tmp_path: Path, text: str, key: str) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(text)
    with pytest.raises(ConfigError) as fault:
        read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)}, str(file))
    assert str(fault.value).startswith(key)


# a process of its own


OPERATOR = """
[grpc]
listen = "127.0.0.1:0"
[admission]
reserve = 4
[admission.descriptors]
nodes = 4
clients = 4
"""


@pytest.fixture
def alone(tmp_path: Path) -> Iterator[tuple[FakeCluster, DispatcherProcess]]:
    """Nodes in this process, and a dispatcher in another."""
    world = FakeCluster(JSON, BINARY)
    dispatcher = DispatcherProcess(tmp_path, [one.port for one in world.nodes], OPERATOR, own_limit=48)
    yield world, dispatcher
    pids = {int(one) for one in re.findall(r'pid="(\d+)"', dispatcher.log_path.read_text())}
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    dispatcher.terminate()


def wait_for(world: FakeCluster, path: Path, words: str) -> None:
    limit = time.monotonic() + TIMEOUT_S
    while words not in path.read_text():
        assert time.monotonic() < limit, path.read_text()[-3000:]
        world.run_for(20)


def test_descriptors_that_run_out_are_survived_and_told(alone: tuple[FakeCluster, DispatcherProcess]) -> None:
    """The process may open 48, whatever its configuration says."""
    world, dispatcher = alone
    at = dispatcher.addresses[JSON]
    crowd = [socket.create_connection(at, timeout=TIMEOUT_S) for _ in range(100)]
    for one in crowd:
        one.setblocking(False)
    told: dict[socket.socket, bytes] = {}
    limit = time.monotonic() + TIMEOUT_S
    while sum(b'"reason":34' in one for one in told.values()) < 50:
        assert time.monotonic() < limit, told.values()
        told |= {one: said for one in crowd if one not in told and (said := heard(world, one)) is not None}
    assert dispatcher.process.poll() is None and dispatcher.descriptors <= 48
    before = dispatcher.cpu_us
    world.run_for(500)
    assert dispatcher.cpu_us - before < 200_000  # no busy loop
    for one in crowd:
        one.close()
    world.run_for(100)
    with socket.create_connection(at, timeout=TIMEOUT_S) as late:
        late.sendall(jsonl.encode_line("check", 1, reason=0))
        late.settimeout(TIMEOUT_S)
        assert b"checked" in late.recv(100)


def test_a_successor_takes_over_what_stands(alone: tuple[FakeCluster, DispatcherProcess]) -> None:
    world, dispatcher = alone
    world.client.stream.close()
    world.service.json_frontend.listener.address = dispatcher.addresses[JSON]
    first = world.client = world.connect_client(JSON)
    first.ask(5, NodeBehavior.RUN, "ledger-batch")
    assert world.wait_for_events(5) == [PLACED]
    os.kill(dispatcher.process.pid, signal.SIGUSR2)
    wait_for(world, dispatcher.log_path, "taken over from the predecessor")
    assert first.closed and dispatcher.process.wait(TIMEOUT_S) == 0
    second = world.connect_client(JSON)
    second.placed.add(5)
    second.ask(6, NodeBehavior.RUN)
    world.run_until(lambda: 6 in second.heard)
    holder = next(node for node in world.nodes if 5 in node.running)
    holder.over(5, pb2.ENDED)
    holder.voices[-1].end(5, 16, pb2.ENDED)
    world.run_until(lambda: 5 in second.heard)
    assert second.heard[5] == [("released", pb2.ENDED)]
    assert [world.offer_count(uid) for uid in (5, 6)] == [1, 1]


def test_a_successor_that_fails_leaves_the_old_one_serving(
    alone: tuple[FakeCluster, DispatcherProcess],
) -> None:
    world, dispatcher = alone
    config = dispatcher.log_path.parent / "config.json"
    sound = config.read_text()
    config.write_text(json.dumps({"settings": 5}))
    os.kill(dispatcher.process.pid, signal.SIGUSR2)
    wait_for(world, dispatcher.log_path, "it ended before it was ready")
    with socket.create_connection(dispatcher.addresses[JSON], timeout=TIMEOUT_S) as sock:
        sock.sendall(jsonl.encode_line("check", 1, reason=0))
        assert b"checked" in sock.recv(100)
    config.write_text(sound)
    world.run_for(400)
    os.kill(dispatcher.process.pid, signal.SIGUSR2)  # and it may try again
    wait_for(world, dispatcher.log_path, "taken over from the predecessor")


def test_descriptors_run_out_during_a_hand_over(tmp_path: Path) -> None:
    """A crowd has taken nearly all of 96; old and new process keep within them together."""
    world = FakeCluster(JSON, BINARY)
    dispatcher = DispatcherProcess(tmp_path, [one.port for one in world.nodes], OPERATOR, sockets=96)
    at, pids = dispatcher.addresses[JSON], [dispatcher.process.pid]
    try:
        crowd = [socket.create_connection(at, timeout=TIMEOUT_S) for _ in range(120)]
        world.run_for(200)
        most = 0
        os.kill(pids[0], signal.SIGUSR2)
        limit = time.monotonic() + TIMEOUT_S
        while "taken over from the predecessor" not in (log := dispatcher.log_path.read_text()):
            assert time.monotonic() < limit, log[-2000:]
            pids = [dispatcher.process.pid, *(int(one) for one in re.findall(r'pid="(\d+)"', log))]
            most = max(most, sum(map(descriptors, pids)))
            crowd.append(
                socket.create_connection(at, timeout=TIMEOUT_S)
            )  # nobody is refused by the system meanwhile
            world.run_for(10)
        assert len(pids) == 2 and most <= 96
        for one in crowd:
            one.close()
        world.run_for(100)
        with socket.create_connection(at, timeout=TIMEOUT_S) as late:
            late.sendall(jsonl.encode_line("check", 1, reason=0))
            late.settimeout(TIMEOUT_S)
            assert b"checked" in late.recv(100)
    finally:
        for pid in pids[1:]:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        dispatcher.terminate()


def descriptors(pid: int) -> int:
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0
