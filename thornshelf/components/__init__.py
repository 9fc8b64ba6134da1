"""What a dispatcher may have beside its first front: each part a file with the same few verbs, loaded if it is set.

A new part adds its file and a line in ``KNOWN``; ``service`` knows none of them by name.
"""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from typing import TYPE_CHECKING, Protocol

from thornshelf.configuration import Config

if TYPE_CHECKING:
    from thornshelf.control.tables import Catalog
    from thornshelf.core import Dispatcher, EndpointListUpdate, LogFunction, NodeConnection, NodeEndpoint
    from thornshelf.discovery.endpoint_watch import EndpointWatch
    from thornshelf.frontends.admission_filter import AdmissionFilter
    from thornshelf.frontends.connection_budget import ConnectionBudget
    from thornshelf.frontends.grpc import GrpcFrontend
    from thornshelf.frontends.json_lines import JsonLinesFrontend
    from thornshelf.loop import Loop
    from thornshelf.placement import interface as api
    from thornshelf.socket_handover import InheritedSockets
    from thornshelf.translation.translator import Translator


class Host(Protocol):
    """The service, as parts see it."""

    config: Config
    settings: api.Settings  # as the core is going to have them
    loop: Loop
    inherited: InheritedSockets | None
    admission_filter: AdmissionFilter | None
    translator: Translator | None
    core: Dispatcher
    connection_budget: ConnectionBudget
    frontends: list[JsonLinesFrontend | GrpcFrontend]
    endpoint_watch: EndpointWatch | None
    node_factories: list[
        Callable[[int, NodeEndpoint, Dispatcher], NodeConnection | None]
    ]  # the first that gives a node has it
    endpoint_listeners: list[Callable[[EndpointListUpdate], None]]
    endpoint_filter: (
        Callable[[EndpointListUpdate], EndpointListUpdate] | None
    )  # what the core hears of the list, where that is not all
    catalog: Catalog | None  # the tables that a control socket shows: parts add theirs as they start

    @property
    def log(self) -> LogFunction:
        """One line."""

    def unix_ms(self, us: int) -> int:
        """A time of the loop's clock as Unix milliseconds."""


class Component:
    """Does nothing by itself."""

    def __init__(self, host: Host) -> None:
        self.host = host

    def prepare(self) -> None:
        """Before there is a core: what it is made of."""

    def start(self) -> None:
        """The core and the first front stand; nothing is served yet."""

    def reload(self, config: Config) -> None:
        """The configuration was read again; ``config`` is what is in force now."""

    def stop(self) -> None:
        """The loop has stopped."""


KNOWN: tuple[tuple[Callable[[Config], bool], str], ...] = (
    (lambda config: config.admission is not None, "thornshelf.components.admission"),
    (lambda config: config.translation is not None, "thornshelf.components.translation"),
    (lambda config: config.grpc.listen is not None or config.grpc.has_nodes, "thornshelf.components.grpc"),
    (lambda config: config.subset is not None, "thornshelf.components.subsetting"),
    (lambda config: config.fleet is not None, "thornshelf.components.fleet"),
    (lambda config: config.control is not None, "thornshelf.components.control"),
)


def create_components(host: Host) -> list[Component]:
    """The parts that the configuration asks for; the others are not loaded."""
    return [import_module(module).make(host) for asks, module in KNOWN if asks(host.config)]
