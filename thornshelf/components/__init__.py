"""The optional components of a dispatcher, in addition to its core and its JSON-lines frontend.

Each component is a module with a subclass of ``Component`` and a function ``create_component``. The module is
imported only if the configuration enables the component. To add one, add its module and a line in ``_COMPONENTS``;
``service`` does not depend on any of them.
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
    """The interface of the service that components use."""

    config: Config
    settings: api.Settings  # for the core; components may replace them in ``prepare``
    loop: Loop
    inherited: InheritedSockets | None  # from the predecessor, after a graceful restart
    admission_filter: AdmissionFilter | None
    translator: Translator | None
    core: Dispatcher
    connection_budget: ConnectionBudget
    frontends: list[JsonLinesFrontend | GrpcFrontend]
    endpoint_watch: EndpointWatch | None
    # Called in order for each new node until one returns a connection; if none does, the node speaks binary messages.
    node_factories: list[Callable[[int, NodeEndpoint, Dispatcher], NodeConnection | None]]
    # Called after the core has applied an update of the endpoint list.
    endpoint_listeners: list[Callable[[EndpointListUpdate], None]]
    # Applied to an update of the endpoint list before the core gets it.
    endpoint_filter: Callable[[EndpointListUpdate], EndpointListUpdate] | None
    catalog: Catalog | None  # the tables of the control socket; components add theirs in ``start``

    @property
    def log(self) -> LogFunction:
        """The function that writes one log line."""

    def unix_ms(self, us: int) -> int:
        """Convert a time of the loop's clock in microseconds to Unix milliseconds."""

    def named_frontends(self) -> Mapping[str, JsonLinesFrontend | GrpcFrontend]:
        """Returns the frontends, by the names under which their sockets are handed over to a successor."""


class Component:
    """Base class of the optional components; by default, every step of the dispatcher's life cycle does nothing."""

    def __init__(self, host: Host) -> None:
        self.host = host

    def prepare(self) -> None:
        """Provide what the core is created with. Called before the core is created."""

    def start(self) -> None:
        """Start the component. Called once the core and the JSON-lines frontend exist, before requests are served."""

    def reload(self, config: Config) -> None:
        """Apply a reloaded configuration, which is in force from now on."""

    def stop(self) -> None:
        """Release resources. Called after the loop has stopped."""


class _ComponentModule(NamedTuple):
    """The module of a component, and the condition under which a configuration enables it."""

    is_enabled: Callable[[Config], bool]
    module: str


_COMPONENTS = (  # in the order in which they are prepared, started, reloaded and stopped
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
    """Create the components that the configuration enables; the modules of the others are not imported."""
    return [
        import_module(component.module).create_component(host)
        for component in _COMPONENTS
        if component.is_enabled(host.config)
    ]
