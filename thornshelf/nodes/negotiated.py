"""Connections to nodes whose wire format is negotiated; no attempt is sent before the format is confirmed.

A node may speak any of the formats that the operator allows for it, and may be upgraded or downgraded in place. So
each connection confirms its format first: by the node's hello, by its HTTP/2 settings, or by an answered test.
"""

from __future__ import annotations

import functools

from thornshelf.core import Attempt, Dispatcher, HandshakeCompleted, NodeEndpoint
from thornshelf.loop import Loop, Stream
from thornshelf.nodes.binary import BinaryLink
from thornshelf.nodes.node_connection import BaseNodeConnection
from thornshelf.nodes.node_link import NodeLink
from thornshelf.translation.capabilities import NodeCapabilities
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.translation.missing_fields import LifetimeHint
from thornshelf.translation.translator import Translator


class _NegotiatedBinaryLink(BinaryLink):
    """A link for binary messages; if other formats are allowed, a test has to be answered first."""

    def __init__(self, node: NegotiatedNodeConnection, stream: Stream) -> None:
        super().__init__(node, stream)
        self._negotiating_node = node
        self._confirmed = False
        self.handshake_complete = False
        if node.format_is_fixed:
            node.format_confirmed(WireFormat.BINARY)
        else:
            self.ping()

    @property
    def peer_identified(self) -> bool:
        """Whether a complete message has arrived."""
        return self._confirmed

    def receive(self, data: bytes) -> str | None:
        """Process received bytes; the first complete message confirms the format."""
        reason = super().receive(data)
        if self.messages_received and not self._confirmed:
            self._confirmed = True
            self._negotiating_node.format_confirmed(WireFormat.BINARY)
        return reason


@functools.cache
def _grpc_links() -> tuple[type[NodeLink], type[NodeLink]]:
    """Return the link classes of both gRPC generations, which are created on first use.

    A dispatcher without gRPC nodes thus imports neither h2 nor protobuf.
    """
    from thornshelf.nodes.grpc import GrpcLink, GrpcLinkV2

    class NegotiatedV1Link(GrpcLink):
        """A link of the first generation, which has no hello: the peer's HTTP/2 settings confirm the format."""

        def __init__(self, node: NegotiatedNodeConnection, stream: Stream) -> None:
            super().__init__(node, stream)
            self._negotiating_node = node
            self._confirmed = False
            self.handshake_complete = False

        def receive(self, data: bytes) -> str | None:
            """Process received bytes, and confirm the format once the peer's HTTP/2 settings have arrived."""
            reason = super().receive(data)
            if reason is None and self.peer_identified and not self._confirmed:
                self._confirmed = True
                self._negotiating_node.format_confirmed(WireFormat.GRPC_V1)
            return reason

    class NegotiatedV2Link(GrpcLinkV2):
        """A link of the second generation: the hello confirms the format."""

        def __init__(self, node: NegotiatedNodeConnection, stream: Stream) -> None:
            super().__init__(node, stream, node.lifetime_hint)
            self._negotiating_node = node
            self.handshake_complete = False

        def hello_received(self, capabilities: NodeCapabilities) -> None:
            """Confirm the format by the node's hello; a later hello replaces the capabilities of an earlier one."""
            self._negotiating_node.format_confirmed(WireFormat.GRPC_V2, capabilities)

    return NegotiatedV1Link, NegotiatedV2Link


class NegotiatedNodeConnection(BaseNodeConnection):
    """One node whose wire format is negotiated on each connection."""

    def __init__(
        self, loop: Loop, machine: int, entry: NodeEndpoint, core: Dispatcher, translator: Translator
    ) -> None:
        super().__init__(loop, machine, entry, core)
        self.translator = translator
        self.negotiation = translator.negotiation(entry.name)
        self.hello_timeout_us = translator.config.hello_timeout_us

    @property
    def format_is_fixed(self) -> bool:
        """Whether the operator allows only one wire format for the node."""
        return self.negotiation.is_fixed

    def make_link(self, stream: Stream) -> NodeLink:
        """Create a link in the format that is to be tried now."""
        if self.negotiation.current is WireFormat.BINARY:
            return _NegotiatedBinaryLink(self, stream)
        v1_link, v2_link = _grpc_links()
        if self.negotiation.current is WireFormat.GRPC_V2:
            return v2_link(self, stream)
        return v1_link(self, stream)

    def format_confirmed(self, wire_format: WireFormat, capabilities: NodeCapabilities | None = None) -> None:
        """Record that the node speaks a format, and tell the core, which then completes the handshake."""
        self.negotiation.confirm()
        is_new_connection = self.link is None or not self.link.handshake_complete
        self.core.inbox.append(HandshakeCompleted(self.machine, wire_format, capabilities, is_new_connection))

    def link_closed(self, link: NodeLink) -> bool:
        """Choose the next format if the node has rejected this one or never sent a message in it.

        Returns whether a format that was not tried yet is to be tried before the node counts as unreachable.
        """
        format_before = self.negotiation.current
        if link.generation_rejected:
            self.negotiation.reject_current()
        else:
            self.negotiation.connection_closed(link.handshake_complete or link.peer_identified)
        return (
            self.negotiation.current is not format_before
            and not link.handshake_complete
            and self.negotiation.has_untried_format
        )

    def ineligibility(self, attempt: Attempt) -> FailureCause | None:
        """Return why the node can't take an attempt; its hello may have arrived after the placement decision."""
        if attempt.request is None:
            return None
        return self.translator.rejection_by(attempt.task_class, attempt.request.declared_fields, self.machine)

    def _send(self, link: NodeLink, attempt: Attempt) -> None:
        """Send an attempt, and count the request's fields that the wire format can't carry."""
        super()._send(link, attempt)
        request = attempt.request
        wire_format = self.negotiation.current
        if request is not None and wire_format is not WireFormat.GRPC_V2:
            self.translator.count_omitted_fields(
                wire_format, request.declared_fields, request.cores, request.memory
            )

    def lifetime_hint(self, attempt: Attempt) -> LifetimeHint | None:
        """Return the lifetime hint to be sent with an attempt, or None."""
        request = attempt.request
        if request is None:
            return None
        return self.translator.effective_hint(attempt.task_class, request.declared_fields, self.machine)
