"""The optional components of a dispatcher, beside its core and its first frontend.

Each is a module with a function ``make`` and a subclass of ``Component``, and is loaded only where the configuration
asks for it. A new component adds its module and a line in ``_COMPONENTS``; ``service`` names none of them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import TYPE_CHECKING, NamedTuple, Protocol

from thornshelf.configuration import Config

if TYPE_CHECKING:
    from thornshelf import placement as api
    from thornshelf.control.tables import Catalog
    from thornshelf.core import Dispatcher, EndpointListUpdate, LogFunction, NodeConnection, NodeEndpoint
    from thornshelf.discovery.endpoint_watch import EndpointWatch
    from thornshelf.frontends.admission_filter import AdmissionFilter
    from thornshelf.frontends.connection_budget import ConnectionBudget
    from thornshelf.frontends.grpc import GrpcFrontend
    from thornshelf.frontends.json_lines import JsonLinesFrontend
    from thornshelf.lifecycle.socket_handover import InheritedSockets
    from thornshelf.loop import Loop
    from thornshelf.translation.translator import Translator


class Host(Protocol):
    """The service, as its components see it."""

    config: Config
    settings: api.Settings  # as the core gets them; a component may change them while it prepares
    loop: Loop
    inherited: InheritedSockets | None  # from a predecessor
    admission_filter: AdmissionFilter | None
    translator: Translator | None
    core: Dispatcher
    connection_budget: ConnectionBudget
    frontends: list[JsonLinesFrontend | GrpcFrontend]
    endpoint_watch: EndpointWatch | None
    # Called in order for each new node; the first connection that is returned is used.
    node_factories: list[Callable[[int, NodeEndpoint, Dispatcher], NodeConnection | None]]
    endpoint_listeners: list[Callable[[EndpointListUpdate], None]]  # after the core has taken an update
    endpoint_filter: Callable[[EndpointListUpdate], EndpointListUpdate] | None  # before the core takes it
    catalog: Catalog | None  # the tables of the control socket; components add theirs as they start

    @property
    def log(self) -> LogFunction:
        """Writes one line of the log."""

    def unix_ms(self, us: int) -> int:
        """A time of the loop's clock as Unix milliseconds."""

    def named_frontends(self) -> Mapping[str, JsonLinesFrontend | GrpcFrontend]:
        """The frontends, by the names under which a successor gets their sockets."""


class Component:
    """An optional component. It is told of each step of the dispatcher's life; by itself it does nothing."""

    def __init__(self, host: Host) -> None:
        self.host = host

    def prepare(self) -> None:
        """Called before the core is made, for what it is made of."""

    def start(self) -> None:
        """Called when the core and the first frontend are made, and before anything is served."""

    def reload(self, config: Config) -> None:
        """Called after a reload with the configuration that is in force now."""

    def stop(self) -> None:
        """Called when the loop has stopped."""


class _ComponentModule(NamedTuple):
    """Whether a configuration asks for a component, and the module that makes it."""

    is_enabled: Callable[[Config], bool]
    module: str


_COMPONENTS = (  # in the order in which they are prepared and started
    _ComponentModule(lambda config: config.admission is not None, "thornshelf.components.admission"),
    _ComponentModule(lambda config: config.translation is not None, "thornshelf.components.translation"),
    _ComponentModule(
        lambda config: config.grpc.listen is not None or config.grpc.has_nodes, "thornshelf.components.grpc"
    ),
    _ComponentModule(lambda config: config.subset is not None, "thornshelf.components.subsetting"),
    _ComponentModule(lambda config: config.fleet is not None, "thornshelf.components.fleet"),
    _ComponentModule(lambda config: config.control is not None, "thornshelf.components.control"),
)


def create_components(host: Host) -> list[Component]:
    """The components that the configuration asks for; the modules of the others are not loaded."""
    return [
        import_module(component.module).make(host)
        for component in _COMPONENTS
        if component.is_enabled(host.config)
    ]
