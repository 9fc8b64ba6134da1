"""Edge cases of the endpoint watch: corrupt entries, extreme numbers, and a lack of descriptors."""

from __future__ import annotations

import os
import resource
import socket
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from tests.conftest import endpoint, make_placer, placement_request, settings, started_attempts
from tests.test_edges import ScriptedEndpointSource, changed_environment, event, json_response
from tests.test_turns import FakeNode, Rig, entries
from thornshelf import placement as api
from thornshelf.configuration import ConfigError, read_config
from thornshelf.core import Dispatcher, EndpointListUpdate, TaskRequest
from thornshelf.discovery.endpoint_watch import EndpointWatch
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG, HOST, TIMEOUT_S, FakeCluster, NodeBehavior
from thornshelf.loop import Loop
from thornshelf.loop.stream import connect
from thornshelf.placement import Health
from thornshelf.service import Service

ROOT = Path(__file__).parent.parent
CORRUPT_ENTRIES: list[Any] = [
    5,
    {"instanceId": "s-00000009"},
    {"instanceId": "s-00000009", "hostPort": "127.0.0.1:9", "lifecycle": "odd"},
    {"instanceId": "s-00000009", "hostPort": "127.0.0.1:9", "lifecycle": "in_service", "startedAtMs": "x"},
]


def watch_responses(
    cluster: FakeCluster, *answers: bytes
) -> tuple[list[EndpointListUpdate], list[tuple[str, str]], ScriptedEndpointSource]:
    """Run an endpoint watch on scripted responses; returns its updates, its log lines and the source."""
    updates: list[EndpointListUpdate] = []
    logged: list[tuple[str, str]] = []
    source = ScriptedEndpointSource(cluster.loop, [*answers, None])
    log = lambda *line: logged.append((line[1], line[3]))  # noqa: E731
    EndpointWatch(cluster.loop, source.sock.getsockname(), 0, lambda us: us, updates.append, log)
    cluster.run_until(lambda: len(source.polled_paths) > len(answers))
    source.sock.close()
    return updates, logged, source


@pytest.mark.parametrize("entry", CORRUPT_ENTRIES)
def test_a_corrupt_entry_is_skipped_and_all_other_entries_count(entry: Any) -> None:
    """Guards against rejecting the whole response and polling it again forever, so that no drain is applied."""
    drain = event(4, "s-00000001")
    drain["fleet"]["instances"] = [entry, {**drain["fleet"]["instances"][0], "lifecycle": "terminating"}]  # type: ignore[index]
    updates, logged, source = watch_responses(
        FakeCluster(node_count=0), json_response({"seq": 5, "results": [drain, event(5, "s-00000002")]})
    )
    reported = [(endpoint.name, endpoint.health) for update in updates for endpoint in update.endpoints]
    assert reported == [("s-00000001", Health.DRAINING), ("s-00000002", Health.UP)]
    assert [name for name, _ in logged] == ["endpoint-invalid"]
    assert "since=5" in source.polled_paths[1]


def test_an_event_without_a_number_or_a_list_is_skipped() -> None:
    events = [{"fleet": {}}, {"seq": 4, "fleet": {"instances": 5}}, 7, event(5, "a")]
    updates, logged, source = watch_responses(
        FakeCluster(node_count=0), json_response({"seq": 5, "results": events})
    )
    assert [update.endpoints[0].name for update in updates] == ["a"]
    assert [name for name, _ in logged] == ["endpoint-invalid"] * 3
    assert "since=5" in source.polled_paths[1]


def test_a_complete_list_with_a_corrupt_entry_removes_no_node() -> None:
    """The corrupt entry may be that of any known node."""
    complete = event(4, "s-00000001")
    complete["fleet"].update(reset=True)  # type: ignore[attr-defined]
    corrupt = event(5, "s-00000001")
    corrupt["fleet"].update(reset=True, instances=[CORRUPT_ENTRIES[1]])  # type: ignore[attr-defined]
    updates, _, _ = watch_responses(
        FakeCluster(node_count=0), json_response({"seq": 5, "results": [complete, corrupt]})
    )
    assert [(update.complete, len(update.endpoints)) for update in updates] == [(True, 1), (False, 0)]


def removal(seq: int, name: str) -> dict[str, Any]:
    """Return an event that removes a node."""
    value: dict[str, Any] = event(seq, name)
    value["fleet"]["instances"][0]["lifecycle"] = "terminated"
    return value


def test_a_relist_is_reported_as_one_merged_update() -> None:
    """Guards against removing nodes, and their tasks, that were added after the first event, a complete list."""
    cluster = FakeCluster(node_count=0)
    complete: dict[str, Any] = event(1, "s-00000001")
    complete["fleet"].update(reset=True)
    events = [complete, event(2, "s-00000002"), removal(3, "s-00000001")]
    updates: list[EndpointListUpdate] = []
    source = ScriptedEndpointSource(
        cluster.loop,
        [json_response({"seq": 3, "results": []}), None, json_response({"seq": 3, "results": events}), None],
    )
    watch = EndpointWatch(
        cluster.loop, source.sock.getsockname(), 3, lambda us: us, updates.append, lambda *_: None
    )
    cluster.run_until(lambda: len(source.polled_paths) == 2)
    watch.relist()
    cluster.run_until(lambda: len(source.polled_paths) == 4)
    source.sock.close()
    assert ["since=0" in polled_paths for polled_paths in source.polled_paths] == [False, False, True, False]
    assert [(update.complete, [endpoint.name for endpoint in update.endpoints]) for update in updates] == [
        (True, ["s-00000002"])
    ]


@pytest.mark.parametrize(
    "answer",
    [b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"],
)
def test_after_a_failed_relist_the_watch_goes_on_after_the_last_known_event(answer: bytes) -> None:
    """Guards against retrying a failed relist forever, so that the next drain is never applied."""
    cluster = FakeCluster(node_count=0)
    updates: list[EndpointListUpdate] = []
    drain = event(8, "s-00000001")
    source = ScriptedEndpointSource(
        cluster.loop,
        [
            json_response({"seq": 7, "results": []}),
            None,
            answer,
            json_response({"seq": 8, "results": [drain]}),
        ],
    )
    watch = EndpointWatch(
        cluster.loop, source.sock.getsockname(), 7, lambda us: us, updates.append, lambda *_: None
    )
    cluster.run_until(lambda: len(source.polled_paths) == 2)
    watch.relist()
    watch.relist()
    cluster.run_until(lambda: bool(updates))
    source.sock.close()
    assert [polled_paths.partition("&")[0][-1] for polled_paths in source.polled_paths[:4]] == [
        "7",
        "7",
        "0",
        "7",
    ]
    assert not updates[0].complete
    assert updates[0].endpoints[0].name == "s-00000001"


def test_a_configuration_with_a_corrupt_entry_is_rejected_as_a_whole() -> None:
    config = read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)})
    events = {"seq": 1, "results": [{"seq": 1, "fleet": {"reset": True, "instances": CORRUPT_ENTRIES}}]}
    with pytest.raises(ConfigError, match="known: instance is not an object"):
        Service(replace(config, initial_endpoints=events, listen=(HOST, 0)))


def test_a_component_that_fails_on_an_update_delays_none_of_the_others() -> None:
    """Guards against lost updates: the sequence number has been advanced before they are reported."""
    cluster = FakeCluster()

    def fail(update: EndpointListUpdate) -> None:
        raise KeyError("whatever")

    cluster.service.endpoint_listeners.append(fail)
    source = ScriptedEndpointSource(
        cluster.loop,
        [json_response({"seq": 9, "results": [event(8, "s-00000008"), event(9, "s-00000009")]}), None],
    )
    cluster.service._watch_endpoints(source.sock.getsockname())
    cluster.run_until(lambda: {8, 9} <= cluster.service.core.endpoints.entries.keys())
    assert [line[1] for line in cluster.logged].count("coroutine-failed") == 2
    source.sock.close()


@pytest.mark.parametrize("started", [10**15, 10**400, 1e300])
def test_a_node_that_starts_far_in_the_future_is_used_like_others(started: Any) -> None:
    """Guards against a start time with which every later placement decision fails."""
    cluster = FakeCluster()
    cluster.update_endpoint(cluster.endpoint(0, started=started))
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5)[0][0] == "placed"
    assert not [line for line in cluster.logged if line[1] == "placement-failed"]


def test_a_start_in_the_future_does_not_overflow_the_placement() -> None:
    subject = make_placer(
        endpoint(1, started_at=1e12),
        endpoint(2),
        placer_settings=settings(placers=3, slow_start_attempts=51.0),
    )
    assert started_attempts(subject.handle(1.0, [placement_request(5)]))


def test_a_malformed_address_is_a_failed_connect() -> None:
    loop = Loop()
    results: list[Any] = []

    def call() -> Any:
        results.append((yield from connect(loop, "a..b", 9, None)))

    loop.spawn(call())
    loop.turn(True)
    assert isinstance(results[0], int)
    assert results[0]
    loop.close()


def test_a_watch_at_a_new_address_is_not_responding_before_its_first_answer() -> None:
    cluster = FakeCluster(node_count=0)
    source = ScriptedEndpointSource(
        cluster.loop, [json_response({"seq": 4, "results": [event(4, "a")]}), None]
    )
    watch = EndpointWatch(
        cluster.loop, source.sock.getsockname(), 0, lambda us: us, lambda _: None, lambda *_: None
    )
    cluster.run_until(lambda: watch.is_responding)
    watch.reconnect_to((HOST, 9))
    assert not watch.is_responding
    source.sock.close()


@pytest.mark.parametrize(("deadline_s", "left_us"), [(0.04, 6_000), (8.0, 51_000)])
def test_deadlines_shorter_than_the_dispatcher_s_own_margins_are_served(
    deadline_s: float, left_us: int
) -> None:
    """Guards against rejecting all requests of a class with a short deadline."""
    rig = Rig()
    short = api.TaskClass(name="safe", latency_objective_s=0.01, deadline_s=deadline_s, start_weight_s=8.0)
    core = Dispatcher(
        rig.loop, settings(short), 1, lambda *arguments: FakeNode(arguments[0], rig), lambda *_: None
    )
    core.update_endpoints(EndpointListUpdate(True, 1, entries(nodes=range(2))))
    for uid, left in ((1, left_us), (2, 1000)):
        due = rig.loop.now + left
        core.inbox.append(TaskRequest(rig.client, uid, "safe", None, uid, due, None, uid, 1.0, 1.0, b"x"))  # type: ignore[arg-type]
    core.run_turn()
    assert len(rig.attempts) == 1
    assert rig.client.answers == [("refused", 2, None)]


def test_a_change_log_that_returns_is_reached_though_idle_clients_hold_all_descriptors(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Runs a process with 64 descriptors, without its change log at first, and with more idle clients than that."""
    with socket.create_server((HOST, 0)) as reserved:
        source_address, listen_address = reserved.getsockname(), None
    variables = changed_environment(
        tmp_path,
        lambda v: (v["limits"].update(sockets=64), v.update(changelog="{}:{}".format(*source_address))),
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "thornshelf"], cwd=ROOT, env={**os.environ, **variables, "LB_LISTEN": f"{HOST}:0"},
        stdout=subprocess.PIPE, text=True, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64)),
    )  # fmt: skip
    assert process.stdout is not None
    clients: list[socket.socket] = []
    try:
        first_line = process.stdout.readline()
        listen_address = first_line.partition('listen="')[2].partition('"')[0].rpartition(":")
        clients = [
            socket.create_connection((HOST, int(listen_address[2])), timeout=TIMEOUT_S) for _ in range(150)
        ]
        open_descriptors = 0
        limit = time.monotonic() + TIMEOUT_S
        while open_descriptors < 20 and time.monotonic() < limit:
            open_descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        loop = Loop()
        source = ScriptedEndpointSource.__new__(ScriptedEndpointSource)
        source.loop, source.script, source.polled_paths = loop, [json_response({"seq": 2, "results": []})], []
        source.sock = socket.create_server(source_address)
        source.sock.setblocking(False)
        loop.spawn(source._accept())
        while len(source.polled_paths) < 2:
            assert time.monotonic() < limit
            assert process.poll() is None
            loop.call_later(20_000, lambda: None)
            loop.turn()
        source.sock.close()
        loop.close()
    finally:
        for client in clients:
            client.close()
        process.terminate()
        process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0
