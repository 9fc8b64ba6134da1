"""A dispatcher with a subset of the nodes, on sockets: its connections, and races with changes of the list."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from thornshelf.components.subsetting import SubsettingComponent
from thornshelf.configuration import ConfigError, ZoneSubsetConfig, read_config
from thornshelf.lab.fakes.behavior import HOST, NodeBehavior
from thornshelf.lab.fakes.clients import FakeJsonLinesClient
from thornshelf.lab.fakes.cluster import EXAMPLE_CONFIG, TIMEOUT_S
from thornshelf.lab.fakes.network import FakeEndpointSource, member_host
from thornshelf.lab.fakes.nodes import FakeNode
from thornshelf.loop import Loop
from thornshelf.service import Service
from thornshelf.subsetting import SubsetConfig
from thornshelf.wire import jsonl

OWN, OTHER = "zone-a", "zone-b"
CONFIG = SubsetConfig(
    OWN, "n0", spare_step=2, max_spares=4, review_interval_us=50_000, cooldown_us=60_000_000
)


class Rig:
    """A dispatcher in zone a with two nodes there and others in zone b, and a fake change log, on one loop."""

    def __init__(self, others: int = 3, subset: SubsetConfig = CONFIG, placers: int = 1) -> None:
        """``others``: nodes of zone b. ``placers``: dispatchers in all zones together; zone a has one of them."""
        self.loop, self.logged = Loop(), list[tuple[int, str, dict[str, object], str]]()
        self.nodes, self.own = [FakeNode(self.loop) for _ in range(2 + others)], {0, 1}
        self.endpoint_source = FakeEndpointSource(self.loop, 1)
        self.endpoint_source.publish([self.entry(index) for index in range(len(self.nodes))], True)
        base_config = read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)})
        config = replace(
            base_config,
            settings=replace(base_config.settings, placers=placers),
            listen=(HOST, 0),
            endpoint_source=(member_host(0), self.endpoint_source.ports[0]),
            initial_endpoints={"seq": 1, "results": self.endpoint_source.events[:1]},
            subset=ZoneSubsetConfig(subset, 1),
        )
        self.service = Service(config, self.loop, lambda *line: self.logged.append(line))
        self.client = FakeJsonLinesClient(self.loop, self.service.json_frontend.listener.address)
        self.run_until(lambda: self.client.stream is not None and self.connected(0) and self.connected(1))

    def entry(self, index: int, lifecycle: str = "in_service", started_ms: int = 0) -> dict[str, Any]:
        """Return a node's entry in the change log; the nodes in ``own`` belong to the dispatcher's own zone."""
        return {
            "instanceId": f"s-{index + 1:08x}", "hostPort": f"{HOST}:{self.nodes[index].port}",
            "zone": OWN if index in self.own else OTHER, "machineType": "node-small", "cell": 1,
            "lifecycle": lifecycle, "weight": 1, "startedAtMs": started_ms,
        }  # fmt: skip

    def connected(self, index: int) -> bool:
        return any(stream.open for stream in self.nodes[index].streams)

    def run_until(self, condition: Any) -> None:
        """Run the loop until a condition holds; fails if that takes longer than ``TIMEOUT_S``."""
        end = self.loop.now + int(TIMEOUT_S * 1e6)
        while not condition():
            assert self.loop.now < end, "the condition did not hold in time"
            self.loop.call_later(5_000, lambda: None)
            self.loop.turn()

    def run_for(self, milliseconds: int) -> None:
        end = self.loop.now + milliseconds * 1000
        self.run_until(lambda: self.loop.now >= end)

    def hand_over(self, uid: int, index: int) -> None:
        """Send the client's request for a task that already runs on a node."""
        meta = {
            "class": "lookup",
            "left": "8000",
            "tenant": "hollis-county",
            "key": f"{uid:016x}",
            "hint": "9000",
        }
        meta["extras"] = f"cores:1;memory:2;service:{7:016x};at:s-{index + 1:08x}"
        self.client.placed.add(uid)
        self.client.send(jsonl.encode_line("launch", uid, meta, body=b"x"))

    def end_task(self, uid: int, index: int) -> None:
        """Report the end of a task on the node's newest connection."""
        self.nodes[index].responders[-1].end(uid, 16, 0)

    def released(self, uid: int) -> bool:
        return any(event[0] == "released" for event in self.client.events.get(uid, []))

    def offers(self, index: int) -> int:
        return sum(kind == "offer" for kind, _ in self.nodes[index].received_kinds)

    def logs(self, name: str) -> list[dict[str, object]]:
        return [values for _, message_id, values, _ in self.logged if message_id == name]

    def close(self) -> None:
        self.endpoint_source.close()
        self.service.close()
        for node in self.nodes:
            node.sock.close()


RigFactory = Callable[..., Rig]


@pytest.fixture
def make_rig() -> Iterator[RigFactory]:
    """Return a function that creates rigs; they are closed at the end of the test."""
    rigs: list[Rig] = []

    def make(**options: Any) -> Rig:
        rig = Rig(**options)
        rigs.append(rig)
        return rig

    yield make
    for rig in rigs:
        rig.close()


def test_only_nodes_of_the_own_zone_are_connected_and_sent_tasks(make_rig: RigFactory) -> None:
    rig = make_rig()
    for uid in range(1, 9):
        rig.client.send_request(uid, NodeBehavior.RUN)
    rig.run_until(lambda: len(rig.client.events) == 8)
    assert not any(rig.connected(index) for index in (2, 3, 4))
    assert rig.offers(0) + rig.offers(1) == 8
    assert len(rig.service.core.endpoints.entries) == 2


def test_a_lost_zone_is_served_by_others_and_its_return_loses_no_task(make_rig: RigFactory) -> None:
    rig = make_rig(subset=replace(CONFIG, cooldown_us=100_000))
    for index in (0, 1):
        rig.nodes[index].crash()
    rig.endpoint_source.publish([rig.entry(index, "terminated") for index in (0, 1)])
    rig.run_until(lambda: any(rig.connected(index) for index in (2, 3, 4)))
    rig.client.send_request(21, NodeBehavior.RUN)
    rig.run_until(lambda: 21 in rig.client.placed)
    where = next(index for index in (2, 3, 4) if rig.offers(index))
    for index in (0, 1):
        rig.nodes[index].listen()
    rig.endpoint_source.publish([rig.entry(index, started_ms=1) for index in (0, 1)])
    # The two nodes of the own zone, and the one on which a task runs.
    rig.run_until(lambda: len(rig.service.core.endpoints.nodes) == 3)

    rig.run_for(300)
    assert len(rig.service.core.endpoints.nodes) == 3
    assert not rig.released(21)
    rig.client.send_request(22, NodeBehavior.RUN)
    rig.run_until(lambda: 22 in rig.client.placed)
    assert rig.offers(where) == 1
    rig.end_task(21, where)
    rig.run_until(lambda: rig.released(21))
    rig.run_until(lambda: len(rig.service.core.endpoints.nodes) == 2)


def test_the_drain_of_a_spare_node_takes_effect_in_the_turn_that_reads_it(make_rig: RigFactory) -> None:
    rig = make_rig(others=1)
    for index in (0, 1):
        rig.nodes[index].crash()
    rig.endpoint_source.publish([rig.entry(index, "terminated") for index in (0, 1)])
    rig.run_until(lambda: rig.connected(2))
    rig.client.send_request(31, NodeBehavior.RUN)
    rig.run_until(lambda: 31 in rig.client.placed)
    rig.endpoint_source.publish([rig.entry(2, "terminating")])
    machine = rig.service.core.endpoints.machine_id("s-00000003")
    rig.run_until(lambda: not rig.service.core.endpoints.is_up(machine))
    rig.client.send_request(32, NodeBehavior.RUN)
    rig.run_until(lambda: 32 in rig.client.events)
    rig.run_for(200)
    assert rig.offers(2) == 1
    assert not rig.released(31)


def test_the_end_of_a_predecessors_task_on_a_node_that_is_not_held_is_reported(make_rig: RigFactory) -> None:
    """The node was added after the first event and is in no sample; the relist that finds it removes no node."""
    rig = make_rig(others=40)
    rig.nodes.append(FakeNode(rig.loop))
    own = len(rig.nodes) - 1
    rig.own.add(own)
    rig.endpoint_source.publish([rig.entry(own)])
    rig.run_until(lambda: rig.connected(own))
    component = next(
        component for component in rig.service.components if isinstance(component, SubsettingComponent)
    )
    sampled = {entry.name for zone in component.subset.zones.values() for entry in zone.sample}
    unsampled = next(index for index in range(2, own) if f"s-{index + 1:08x}" not in sampled)
    rig.client.send_request(41, NodeBehavior.RUN)
    rig.run_until(lambda: 41 in rig.client.placed)
    rig.hand_over(51, unsampled)
    rig.run_until(lambda: bool(rig.nodes[unsampled].responders))
    rig.end_task(51, unsampled)
    rig.run_until(lambda: rig.released(51))
    rig.run_for(200)
    assert not rig.released(41)
    assert rig.connected(own)
    assert any("read again" in text for _, name, _, text in rig.logged if name == "subset-changed")
    rig.run_until(
        lambda: unsampled
        not in {int(e.name[2:], 16) - 1 for e in rig.service.core.endpoints.entries.values()}
    )


def test_a_dispatcher_partitioned_from_the_change_log_keeps_its_nodes_and_catches_up(
    make_rig: RigFactory,
) -> None:
    rig = make_rig()
    rig.endpoint_source.silent.add(0)
    rig.run_for(100)
    rig.endpoint_source.publish([rig.entry(index, "terminated") for index in (0, 1)])
    rig.client.send_request(61, NodeBehavior.RUN)
    rig.run_until(lambda: 61 in rig.client.placed)  # on a node whose removal the dispatcher does not know of
    rig.run_for(1_500)
    assert len(rig.service.core.endpoints.nodes) == 2
    assert not rig.released(61)
    rig.endpoint_source.silent.clear()
    rig.run_until(lambda: rig.released(61))
    rig.run_until(lambda: any(rig.connected(index) for index in (2, 3, 4)))


def test_a_corrupt_entry_is_skipped(make_rig: RigFactory) -> None:
    rig = make_rig()
    rig.endpoint_source.publish(
        [{"instanceId": "s-0000000a", "lifecycle": "asleep"}, rig.entry(0, "terminating")]
    )
    machine = rig.service.core.endpoints.machine_id("s-00000001")
    rig.run_until(lambda: not rig.service.core.endpoints.is_up(machine))
    assert len(rig.logs("endpoint-invalid")) == 1


@pytest.mark.parametrize(
    ("table", "key"),
    [
        ("[subset]\ndispatchers = 9\n", "subset.dispatchers"),
        ("[subset]\nspare_step = 700\n", "subset.spare_step"),
        ("[subset]\nzone = ''\n", "subset.zone"),
        ("[subset]\nsize = 4\n", "subset.size"),
        ("[fleet]\nname='f'\nlisten='127.0.0.1:1'\nkey_file='key'\n[subset]\n", "fleet.uses.allowances"),
    ],
)
def test_a_faulty_table_is_rejected_by_its_key(tmp_path: Path, table: str, key: str) -> None:
    (tmp_path / "key").write_text("k" * 32)
    (tmp_path / "key").chmod(0o600)
    (tmp_path / "config.json").write_text(json.dumps(json.loads(EXAMPLE_CONFIG.read_text())))
    (tmp_path / "operator.toml").write_text(table)
    with pytest.raises(ConfigError, match=key):
        read_config({"LB_CONFIG": str(tmp_path / "config.json")}, str(tmp_path / "operator.toml"))


def test_the_zone_shares_its_nodes_and_each_tenant_keeps_its_fraction_of_the_quota(
    make_rig: RigFactory,
) -> None:
    """A zone's load is divided by its own dispatchers; quotas and the slow start of nodes are divided by all."""
    rig = make_rig(placers=8)
    placer = rig.service.core.placer
    assert placer.settings.placers == 1
    assert placer.slow_start.placers == 8
    assert placer.settings.zone == OWN
    for tenant in rig.service.config.settings.tenants:
        assert placer.accounting.quota_cores[tenant.name] == pytest.approx(tenant.quota_cores / 8)
