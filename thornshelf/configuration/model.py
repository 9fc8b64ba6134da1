"""The types of a dispatcher's configuration, in the units of the program."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from thornshelf import placement as api
    from thornshelf.admission.fair_queue import FairQueueConfig
    from thornshelf.configuration.addresses import Address
    from thornshelf.frontends.admission_filter import AdmissionFilterConfig
    from thornshelf.membership.config import FleetConfig
    from thornshelf.retries.jitter import JitterConfig
    from thornshelf.subsetting import SubsetConfig
    from thornshelf.translation.translator import TranslationConfig

_RESTART_KEYS = {  # fields that are fixed for the life of a process, and the keys that set them
    "syslog_collector": "syslog.collector",
    "name": "name",
    "listen": "listen",
    "seed": "seed",
    "settings": "settings",
    "grpc": "grpc",
    "translation": "translate",
    "admission": "admission",
    "fair_queue": "admission.shares",
    "fleet": "fleet",
    "control": "control",
    "subset": "subset",
}


@dataclass(frozen=True, slots=True)
class GrpcConfig:
    """Where gRPC clients connect, and which nodes are called by gRPC.

    ``nodes`` are names; with ``all_nodes`` it is every node.
    """

    listen: Address | None = None
    nodes: frozenset[str] = frozenset()
    all_nodes: bool = False

    @property
    def has_nodes(self) -> bool:
        """Whether any node is called by gRPC."""
        return self.all_nodes or bool(self.nodes)

    def is_grpc_node(self, name: str) -> bool:
        """Whether the node with this name is called by gRPC."""
        return self.all_nodes or name in self.nodes


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """The control socket of a dispatcher.

    ``socket`` is its path, ``readers`` the number of shells that may be connected at a time, and ``history`` the
    number of task events that are retained for their queries.
    """

    socket: Path
    readers: int
    history: int


@dataclass(frozen=True, slots=True)
class ZoneSubsetConfig:
    """The subset of the nodes that this dispatcher connects to.

    ``selection`` holds the figures of the choice, ``dispatchers`` the number of dispatchers of the same zone.
    """

    selection: SubsetConfig
    dispatchers: int


class ReloadedConfig(NamedTuple):
    """A configuration after a reload.

    ``restart_keys`` are the keys that have changed in the files and take effect only after a restart.
    """

    config: Config
    restart_keys: list[str]


@dataclass(frozen=True, slots=True)
class Config:
    """All that a dispatcher is configured with.

    Optional parts are None where the operator's file does not set them.
    """

    name: str
    listen: Address
    seed: int
    max_descriptors: int
    endpoint_source: Address | None  # the platform's change log
    initial_endpoints: Mapping[str, Any]  # the change log's events up to the start, as the file has them
    settings: api.Settings
    grpc: GrpcConfig = field(default_factory=GrpcConfig)
    syslog_collector: tuple[str, Address] | None = None  # the transport, "udp" or "tcp", and the address
    translation: TranslationConfig | None = None
    admission: AdmissionFilterConfig | None = None
    fair_queue: FairQueueConfig | None = None
    retry_after_jitter: JitterConfig | None = None  # goes with fair_queue
    fleet: FleetConfig | None = None
    control: ControlConfig | None = None
    subset: ZoneSubsetConfig | None = None

    def reloaded(self, new: Config) -> ReloadedConfig:
        """This configuration with those values of a new one that may change in a running process.

        The initial endpoints are never taken from the new one, as the watch of the endpoint list goes on from the
        last event that was received.
        """
        config = replace(self, endpoint_source=new.endpoint_source, max_descriptors=new.max_descriptors)
        if self.admission is not None and new.admission is not None:
            # Admission control can be reconfigured, but neither be switched on nor off.
            config = replace(config, admission=new.admission)
        restart_keys = [
            key for name, key in _RESTART_KEYS.items() if getattr(config, name) != getattr(new, name)
        ]
        return ReloadedConfig(config, restart_keys)
