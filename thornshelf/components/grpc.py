"""gRPC: a frontend for clients of both generations, and connections to nodes of the first."""

from __future__ import annotations

from thornshelf.components import Component, Host
from thornshelf.core import Dispatcher, NodeConnection, NodeEndpoint
from thornshelf.errors import ConfigError
from thornshelf.frontends.grpc import GrpcFrontend
from thornshelf.nodes.grpc import GrpcNodeConnection


class GrpcComponent(Component):
    """The gRPC frontend, and the nodes that the operator's file names as gRPC nodes."""

    def prepare(self) -> None:
        """Add the factory of gRPC nodes. A translation layer comes before it and makes all connections itself."""
        host = self.host

        def make_connection(machine: int, endpoint: NodeEndpoint, core: Dispatcher) -> NodeConnection | None:
            if not host.config.grpc.is_grpc_node(endpoint.name):
                return None
            return GrpcNodeConnection(host.loop, machine, endpoint, core)

        host.node_factories.append(make_connection)

    def start(self) -> None:
        """Listen for gRPC clients, where an address is configured. Raises ``ConfigError`` if it can't bind."""
        host = self.host
        if (listen := host.config.grpc.listen) is None:
            return
        sock = host.inherited.sockets.get("grpc") if host.inherited is not None else None
        try:
            frontend = GrpcFrontend(
                host.loop, host.core, listen, host.connection_budget, host.admission_filter, sock
            )
        except OSError as fault:
            raise ConfigError(f"grpc.listen: {fault.strerror}: {listen}") from None
        host.frontends.append(frontend)


def make(host: Host) -> Component:
    """The component of gRPC."""
    return GrpcComponent(host)
