"""Assigns hollow nodes their names, zones, regions, machine types and loopback addresses."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

ZONES, REGIONS = 28, 7
SUBNET_HOSTS = 250  # used addresses of each subnet 127.x.y.0/24


def zone_name(number: int) -> str:
    """Returns the name of a zone."""
    return f"zone-{number:02d}"


class Layout:
    """The hollow nodes of one run, by their number; ``port`` is where all of them listen.

    Node i is in zone i % 28, and zone z in region z % 7, so that fleets of all sizes cover all zones.
    """

    def __init__(self, seed: int, port: int = 7946) -> None:
        self.seed, self.port = seed, port

    def name(self, node: int, replacement: int = 0) -> str:
        """Returns the name in the change log; each replacement of a node has a new name."""
        return f"s-{replacement:02x}{node + 1:06x}"

    def host(self, node: int) -> str:
        """Returns the loopback address that only this node has."""
        return (
            f"127.{64 + node // (SUBNET_HOSTS * SUBNET_HOSTS)}."
            f"{node // SUBNET_HOSTS % SUBNET_HOSTS}.{node % SUBNET_HOSTS + 1}"
        )

    def machine_type(self, node: int) -> str:
        """Returns the machine type: half of the nodes are of each."""
        return ("node-small", "node-large")[node // ZONES % 2]

    def zone_of(self, node: int) -> int:
        """Returns the number of the node's zone."""
        return node % ZONES

    def region_of(self, node: int) -> int:
        """Returns the number of the node's region."""
        return self.zone_of(node) % REGIONS

    def entry(
        self, node: int, lifecycle: str = "in_service", started_ms: int = 0, replacement: int = 0
    ) -> dict[str, Any]:
        """Returns the node's instance in an event of the change log."""
        return {
            "instanceId": self.name(node, replacement), "hostPort": f"{self.host(node)}:{self.port}",
            "zone": zone_name(self.zone_of(node)), "machineType": self.machine_type(node), "cell": 1,
            "lifecycle": lifecycle, "weight": 1, "startedAtMs": started_ms,
        }  # fmt: skip

    def event(self, number: int, instances: Sequence[dict[str, Any]], reset: bool = False) -> dict[str, Any]:
        """Returns an event of the change log; with ``reset`` it replaces the whole list."""
        return {"seq": number, "fleet": {"generation": number, "reset": reset, "instances": list(instances)}}

    def full_list(self, nodes: int) -> dict[str, Any]:
        """Returns the complete list of the first ``nodes`` nodes, as a configuration has it under ``known``."""
        return {"seq": 1, "results": [self.event(1, [self.entry(node) for node in range(nodes)], True)]}
