"""gRPC: the second front, and nodes that speak its first generation."""

from __future__ import annotations

from thornshelf.components import Component, Host
from thornshelf.configuration import ConfigError
from thornshelf.core import Dispatcher, NodeConnection, NodeEndpoint
from thornshelf.frontends.grpc import GrpcFrontend
from thornshelf.nodes.grpc import GrpcNodeConnection


class GrpcComponent(Component):
    """Clients and nodes by gRPC."""

    def prepare(self) -> None:
        """Nodes that the operator's file names; where there is a translation layer, it makes them all."""
        host = self.host

        def make_node(machine: int, entry: NodeEndpoint, core: Dispatcher) -> NodeConnection | None:
            spoken = host.config.grpc.is_grpc_node(entry.name)
            return GrpcNodeConnection(host.loop, machine, entry, core) if spoken else None

        host.node_factories.append(make_node)

    def start(self) -> None:
        """The front."""
        host = self.host
        if (listen := host.config.grpc.listen) is None:
            return
        handed = host.inherited.sockets.get("grpc") if host.inherited is not None else None
        try:
            host.frontends.append(
                GrpcFrontend(
                    host.loop, host.core, listen, host.connection_budget, host.admission_filter, handed
                )
            )
        except OSError as fault:
            raise ConfigError(f"grpc.listen: {fault.strerror}: {listen}") from None


def make(host: Host) -> Component:
    """The part."""
    return GrpcComponent(host)
