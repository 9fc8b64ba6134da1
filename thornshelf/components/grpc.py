"""The gRPC component: a frontend for v1 and v2 clients, and connections to nodes that speak v1."""

from __future__ import annotations

from thornshelf.components import Component, Host
from thornshelf.core import Dispatcher, NodeConnection, NodeEndpoint
from thornshelf.errors import ConfigError
from thornshelf.frontends.grpc import GrpcFrontend
from thornshelf.nodes.grpc import GrpcNodeConnection


class GrpcComponent(Component):
    """Adds the gRPC frontend, and gRPC connections to the nodes that the operator's file lists."""

    def prepare(self) -> None:
        """Add the factory of gRPC node connections.

        It is not used if there is a translation layer, whose factory precedes it and creates all connections.
        """
        host = self.host

        def make_connection(machine: int, endpoint: NodeEndpoint, core: Dispatcher) -> NodeConnection | None:
            if not host.config.grpc.is_grpc_node(endpoint.name):
                return None
            return GrpcNodeConnection(host.loop, machine, endpoint, core)

        host.node_factories.append(make_connection)

    def start(self) -> None:
        """Listen for gRPC clients if an address is configured. Raises ``ConfigError`` if it can't be bound."""
        host = self.host
        if (listen := host.config.grpc.listen) is None:
            return
        sock = host.inherited.sockets.get("grpc") if host.inherited is not None else None
        try:
            frontend = GrpcFrontend(
                host.loop, host.core, listen, host.connection_budget, host.admission_filter, sock
            )
        except OSError as error:
            raise ConfigError(f"grpc.listen: {error.strerror}: {listen}") from None
        host.frontends.append(frontend)


def create_component(host: Host) -> Component:
    """Create the gRPC component."""
    return GrpcComponent(host)
