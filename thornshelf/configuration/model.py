"""The types of a dispatcher's configuration, with all values in the program's units."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from thornshelf.configuration.file_shape import FileShape, check_complete
from thornshelf.errors import ConfigError

if TYPE_CHECKING:
    from thornshelf import placement as api
    from thornshelf.admission.fair_queue import FairQueueConfig
    from thornshelf.configuration.addresses import Address
    from thornshelf.frontends.admission_filter import AdmissionFilterConfig
    from thornshelf.membership.config import FleetConfig
    from thornshelf.retries.jitter import JitterConfig
    from thornshelf.subsetting import SubsetConfig
    from thornshelf.translation.translator import TranslationConfig

# The fields of ``Config`` that take effect only at a start, with the configuration keys that set them.
_RESTART_KEYS = {
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
    """The address for gRPC clients, and the nodes that the dispatcher calls by gRPC.

    ``nodes`` holds their names; with ``all_nodes`` every node is called by gRPC.
    """

    listen: Address | None = None
    nodes: frozenset[str] = frozenset()
    all_nodes: bool = False

    @property
    def has_nodes(self) -> bool:
        """Whether any node is called by gRPC."""
        return self.all_nodes or bool(self.nodes)

    def is_grpc_node(self, name: str) -> bool:
        """Returns whether the node with this name is called by gRPC."""
        return self.all_nodes or name in self.nodes


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """The control socket of a dispatcher.

    ``socket``: its path. ``readers``: how many shells may be connected at a time. ``history``: how many task events
    are retained for the table of the history.
    """

    socket: Path
    readers: int
    history: int


@dataclass(frozen=True, slots=True)
class ZoneSubsetConfig:
    """The subset of the nodes that this dispatcher connects to.

    ``selection``: the parameters of the selection. ``dispatchers``: the number of dispatchers in this one's zone.
    """

    selection: SubsetConfig
    dispatchers: int


class ReloadedConfig(NamedTuple):
    """The configuration in force after a reload.

    ``restart_keys``: keys that were changed in the files and take effect only after a restart.
    """

    config: Config
    restart_keys: list[str]


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration of a dispatcher.

    Fields of optional components are None if the operator's file does not enable them.
    """

    name: str
    listen: Address
    seed: int
    max_descriptors: int
    endpoint_source: Address | None  # of the change log, which the endpoint watch reads; None: no watch
    initial_endpoints: Mapping[str, Any]  # the change log's events up to the start, in the JSON file's form
    settings: api.Settings
    grpc: GrpcConfig = field(default_factory=GrpcConfig)
    syslog_collector: tuple[str, Address] | None = None  # the transport, "udp" or "tcp", and the address
    translation: TranslationConfig | None = None
    admission: AdmissionFilterConfig | None = None
    fair_queue: FairQueueConfig | None = None
    retry_after_jitter: JitterConfig | None = None  # set if and only if fair_queue is
    fleet: FleetConfig | None = None
    control: ControlConfig | None = None
    subset: ZoneSubsetConfig | None = None
    file_shape: FileShape | None = None  # None if the configuration was not read from files

    def reloaded(self, new: Config) -> ReloadedConfig:
        """Returns this configuration with those values of ``new`` that can change in a running process.

        The initial endpoints are not replaced, since the endpoint watch continues from the last event it received.
        Raises ``ConfigError``, which names the key, if ``new`` lacks a key that this configuration has.
        """
        if self.file_shape is not None and new.file_shape is not None:
            check_complete(new.file_shape, self.file_shape)
        if self.endpoint_source is not None and new.endpoint_source is None:
            raise ConfigError("changelog: missing, though the configuration in force has it")
        config = replace(
            self,
            endpoint_source=new.endpoint_source,
            max_descriptors=new.max_descriptors,
            file_shape=new.file_shape,
        )
        if self.admission is not None and new.admission is not None:
            # Admission control can be reconfigured, but not turned on or off.
            config = replace(config, admission=new.admission)
        restart_keys = [
            key for name, key in _RESTART_KEYS.items() if getattr(config, name) != getattr(new, name)
        ]
        return ReloadedConfig(config, restart_keys)
