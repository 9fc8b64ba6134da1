"""A dispatcher with fake nodes and clients, all on one loop, for tests."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from thornshelf.configuration import GrpcConfig, read_config
from thornshelf.core import EndpointListUpdate
from thornshelf.discovery.endpoint_events import decode_endpoint
from thornshelf.lab.fakes.behavior import BINARY as BINARY
from thornshelf.lab.fakes.behavior import COMMON_BEHAVIORS as COMMON_BEHAVIORS
from thornshelf.lab.fakes.behavior import DESCRIPTION as DESCRIPTION
from thornshelf.lab.fakes.behavior import GRPC as GRPC
from thornshelf.lab.fakes.behavior import GRPC2 as GRPC2
from thornshelf.lab.fakes.behavior import HOST as HOST
from thornshelf.lab.fakes.behavior import JSON as JSON
from thornshelf.lab.fakes.behavior import WIRE_FORMATS as WIRE_FORMATS
from thornshelf.lab.fakes.behavior import NodeBehavior as NodeBehavior
from thornshelf.lab.fakes.clients import CLIENT_TYPES as CLIENT_TYPES
from thornshelf.lab.fakes.clients import FakeClient as FakeClient
from thornshelf.lab.fakes.clients import FakeGrpcV1Client as FakeGrpcV1Client
from thornshelf.lab.fakes.clients import FakeGrpcV2Client as FakeGrpcV2Client
from thornshelf.lab.fakes.clients import FakeJsonLinesClient as FakeJsonLinesClient
from thornshelf.lab.fakes.nodes import BinaryResponder as BinaryResponder
from thornshelf.lab.fakes.nodes import FakeNode as FakeNode
from thornshelf.lab.fakes.nodes import GrpcResponder as GrpcResponder
from thornshelf.lab.fakes.nodes import NodeProfile as NodeProfile
from thornshelf.lab.fakes.nodes import ReceivedMessage as ReceivedMessage
from thornshelf.loop import Loop
from thornshelf.service import Service
from thornshelf.translation.failures import WireFormat
from thornshelf.translation.translator import TranslationConfig

EXAMPLE_CONFIG = Path(__file__).parents[3] / "examples" / "config.json"
TIMEOUT_S = 20.0  # after which a condition that a test waits for counts as not met


open_clusters: list[FakeCluster] = []  # closed after each test


class FakeCluster:
    """A dispatcher with fake nodes and one connected client, all on one loop; ``logged``: its log lines."""

    def __init__(
        self,
        client_format: str = JSON,
        node_format: str = BINARY,
        node_count: int = 2,
        translation: TranslationConfig | None = None,
        prepare_node: Callable[[FakeNode], None] = lambda _: None,
        **config_fields: Any,
    ) -> None:
        """Start the dispatcher and connect the client.

        ``client_format``: the client's wire form; ``node_format``: the nodes' wire form; ``translation``: the
        configuration of the translation layer, on by default for v2 nodes only; ``prepare_node``: prepares each node;
        ``config_fields``: other fields of ``Config``.
        """
        open_clusters.append(self)
        self.loop = Loop()
        self.logged: list[tuple[int, str, dict[str, object], str]] = []
        self.nodes = [FakeNode(self.loop, node_format) for _ in range(node_count)]
        for fake_node in self.nodes:
            prepare_node(fake_node)
        if translation is None and node_format == GRPC2:
            translation = TranslationConfig()
        if (
            translation is not None
            and not translation.node_formats
            and translation.default_formats == (WireFormat.BINARY,)
        ):
            translation = replace(translation, default_formats=(WIRE_FORMATS[node_format],))
        config = read_config({"LB_CONFIG": str(EXAMPLE_CONFIG)})
        events = {
            "seq": 1,
            "fleet": {"reset": True, "instances": [self.endpoint(i) for i in range(node_count)]},
        }
        config = replace(
            config,
            listen=(HOST, 0),
            initial_endpoints={"seq": 1, "results": [events]},
            grpc=GrpcConfig(listen=(HOST, 0), all_nodes=node_format == GRPC),
            translation=translation,
            **config_fields,
        )
        self.service = Service(config, self.loop, lambda *line: self.logged.append(line))
        self.client = self.connect_client(client_format)

    def close(self) -> None:
        """Close all sockets."""
        self.service.close()
        for node in self.nodes:
            node.sock.close()

    def endpoint(self, index: int, lifecycle: str = "in_service", started: int = 0) -> dict[str, Any]:
        """Return a node's entry for the endpoint list."""
        return {
            "instanceId": f"s-{index + 1:08x}", "hostPort": f"{HOST}:{self.nodes[index].port}",
            "zone": "jackson-dc", "machineType": "node-small", "cell": 1, "lifecycle": lifecycle,
            "weight": 1, "startedAtMs": started,
        }  # fmt: skip

    def update_lifecycle(self, index: int, lifecycle: str) -> None:
        """Change the lifecycle of a node in the endpoint list."""
        self.update_endpoint(self.endpoint(index, lifecycle))

    def update_endpoint(self, value: dict[str, Any]) -> None:
        """Change an entry of the endpoint list."""
        entry = decode_endpoint(value, self.service.monotonic_us)
        self.service.core.update_endpoints(EndpointListUpdate(False, 2, [entry]))

    def connect_client(self, wire_format: str) -> Any:
        """Return a further client, once it is connected."""
        address = self.service.frontends[0 if wire_format == JSON else 1].listener.address
        client = CLIENT_TYPES[wire_format](self.loop, address)
        self.run_until(lambda: client.stream is not None)
        return client

    def run_until(self, done: Callable[[], bool]) -> None:
        """Run the loop until a condition holds; fails after ``TIMEOUT_S``."""
        deadline = time.monotonic() + TIMEOUT_S
        while not done():
            assert time.monotonic() < deadline, "the condition did not hold in time"
            self.loop.call_later(20_000, lambda: None)
            self.loop.turn()

    def run_for(self, milliseconds: int = 50) -> None:
        """Run the loop for a while, for instance to check that nothing more happens."""
        end = self.loop.now + milliseconds * 1000
        self.run_until(lambda: self.loop.now >= end)

    def offer_count(self, uid: int) -> int:
        """Return the number of offers of a request that all nodes together received."""
        return sum(node.offer_count(uid) for node in self.nodes)

    def wait_for_events(self, uid: int, count: int = 1) -> list[tuple[Any, ...]]:
        """Return the client's events for a request, once there are at least ``count``."""
        self.run_until(lambda: len(self.client.events.get(uid, [])) >= count)
        return list(self.client.events[uid])
