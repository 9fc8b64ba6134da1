"""Nodes whose wire form is negotiated: nothing is sent before it is known what they speak.

A node may speak any of the forms that the operator allows it, and may be upgraded or downgraded in place. Each
connection proves its form first: by the node's hello, by the HTTP/2 settings, or by an answered test.
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
    """Binary messages; where the node may speak another form, a test has to be answered first."""

    def __init__(self, node: NegotiatedNodeConnection, stream: Stream) -> None:
        super().__init__(node, stream)
        self._negotiating_node = node
        self._confirmed = False
        self.handshake_complete = False
        if node.form_is_fixed:
            node.form_confirmed(WireFormat.BINARY)
        else:
            self.ping()

    @property
    def peer_identified(self) -> bool:
        """Whether a complete message has arrived."""
        return self._confirmed

    def receive(self, data: bytes) -> str | None:
        """Process received bytes; the first complete message proves the form."""
        reason = super().receive(data)
        if self.messages_received and not self._confirmed:
            self._confirmed = True
            self._negotiating_node.form_confirmed(WireFormat.BINARY)
        return reason


@functools.cache
def _grpc_links() -> tuple[type[NodeLink], type[NodeLink]]:
    """The link classes of both gRPC generations, made on first use.

    A dispatcher without gRPC nodes thus loads neither h2 nor protobuf.
    """
    from thornshelf.nodes.grpc import GrpcLink, GrpcLinkV2

    class NegotiatedV1Link(GrpcLink):
        """The first generation has no hello: that the peer speaks HTTP/2 at all has to suffice."""

        def __init__(self, node: NegotiatedNodeConnection, stream: Stream) -> None:
            super().__init__(node, stream)
            self._negotiating_node = node
            self._confirmed = False
            self.handshake_complete = False

        def receive(self, data: bytes) -> str | None:
            """Process received bytes; the peer's HTTP/2 settings prove the form."""
            reason = super().receive(data)
            if reason is None and self.peer_identified and not self._confirmed:
                self._confirmed = True
                self._negotiating_node.form_confirmed(WireFormat.GRPC_V1)
            return reason

    class NegotiatedV2Link(GrpcLinkV2):
        """The second generation: the hello proves the form."""

        def __init__(self, node: NegotiatedNodeConnection, stream: Stream) -> None:
            super().__init__(node, stream, node.lifetime_hint)
            self._negotiating_node = node
            self.handshake_complete = False

        def hello_received(self, capabilities: NodeCapabilities) -> None:
            """The node has sent its hello, or a later one that takes its place."""
            self._negotiating_node.form_confirmed(WireFormat.GRPC_V2, capabilities)

    return NegotiatedV1Link, NegotiatedV2Link


class NegotiatedNodeConnection(BaseNodeConnection):
    """One node whose wire form is found out anew on each connection."""

    def __init__(
        self, loop: Loop, machine: int, entry: NodeEndpoint, core: Dispatcher, translator: Translator
    ) -> None:
        super().__init__(loop, machine, entry, core)
        self.translator = translator
        self.negotiation = translator.negotiation(entry.name)
        self.hello_timeout_us = translator.config.hello_timeout_us

    @property
    def form_is_fixed(self) -> bool:
        """Whether the operator allows but one form."""
        return self.negotiation.is_fixed

    def make_link(self, stream: Stream) -> NodeLink:
        """A link in the form that is tried now."""
        if self.negotiation.current is WireFormat.BINARY:
            return _NegotiatedBinaryLink(self, stream)
        v1_link, v2_link = _grpc_links()
        if self.negotiation.current is WireFormat.GRPC_V2:
            return v2_link(self, stream)
        return v1_link(self, stream)

    def form_confirmed(self, form: WireFormat, capabilities: NodeCapabilities | None = None) -> None:
        """The node speaks this form; the core completes the handshake once the routes know of it."""
        self.negotiation.confirm()
        is_new_connection = self.link is None or not self.link.handshake_complete
        self.core.inbox.append(HandshakeCompleted(self.machine, form, capabilities, is_new_connection))

    def link_closed(self, link: NodeLink) -> bool:
        """Try the next form where the node does not know this one, or never sent a message in it."""
        form_before = self.negotiation.current
        if link.generation_rejected:
            self.negotiation.reject_current()
        else:
            self.negotiation.connection_closed(link.handshake_complete or link.peer_identified)
        return (
            self.negotiation.current is not form_before
            and not link.handshake_complete
            and self.negotiation.has_untried_format
        )

    def ineligibility(self, attempt: Attempt) -> FailureCause | None:
        """Why the node can't take an attempt, by a declaration that may have come after the decision."""
        if attempt.request is None:
            return None
        return self.translator.rejection_by(attempt.task_class, attempt.request.declared_fields, self.machine)

    def _send(self, link: NodeLink, attempt: Attempt) -> None:
        """Send an attempt, and count the fields that the form has no room for."""
        super()._send(link, attempt)
        request = attempt.request
        form = self.negotiation.current
        if request is not None and form is not WireFormat.GRPC_V2:
            self.translator.count_omitted_fields(form, request.declared_fields, request.cores, request.memory)

    def lifetime_hint(self, attempt: Attempt) -> LifetimeHint | None:
        """The lifetime hint that an attempt carries, or None."""
        request = attempt.request
        if request is None:
            return None
        return self.translator.effective_hint(attempt.task_class, request.declared_fields, self.machine)
