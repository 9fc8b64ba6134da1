"""Nodes behind a translation layer: their form is found out, and nothing leaves before it is known.

A node may speak any of the forms that the operator allows it, and may be upgraded or downgraded in place. Each
connection proves its form first: by the node's hello, by the HTTP/2 settings, or by an answered test.
"""

from __future__ import annotations

from thornshelf.core import Attempt, Dispatcher, HandshakeCompleted, NodeEndpoint
from thornshelf.loop import Loop, Stream
from thornshelf.nodes.binary import BinaryLink
from thornshelf.nodes.node_connection import BaseNodeConnection, NodeLink
from thornshelf.translation.capabilities import NodeCapabilities
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.translation.missing_fields import LifetimeHint
from thornshelf.translation.translator import Translator


class _MessagesLink(BinaryLink):
    """Binary messages; where the node may speak something else, a test has to be answered first."""

    spoke = False

    def __init__(self, node: NegotiatedNodeConnection, stream: Stream) -> None:
        super().__init__(node, stream)
        self.handshake_complete = False
        if node.form_is_fixed:
            node.form_confirmed(WireFormat.BINARY)
        else:
            self.ping()

    def receive(self, data: bytes) -> str | None:
        """Bytes of the connection; the first whole message proves the form."""
        why = super().receive(data)
        if self.messages_received and not self.spoke and isinstance(self.node, NegotiatedNodeConnection):
            self.spoke = True
            self.node.form_confirmed(WireFormat.BINARY)
        return why


def _grpc_links() -> tuple[type[NodeLink], type[NodeLink]]:
    """Made late: a dispatcher without gRPC nodes loads neither h2 nor protobuf."""
    from thornshelf.nodes.grpc import GrpcLink, GrpcLinkV2

    class First(GrpcLink):
        """The first generation says no hello: that it speaks HTTP/2 at all has to do."""

        def __init__(self, node: NegotiatedNodeConnection, stream: Stream) -> None:
            super().__init__(node, stream)
            self.handshake_complete = self._told = False

        def take(self, data: bytes) -> str | None:
            """Bytes of the connection."""
            why = super().receive(data)
            if (
                why is None
                and self.spoke
                and not self._told
                and isinstance(self.node, NegotiatedNodeConnection)
            ):
                self._told = True
                self.node.form_confirmed(WireFormat.GRPC_V1)
            return why

    class Second(GrpcLinkV2):
        """Ready with the hello."""

        def __init__(self, node: NegotiatedNodeConnection, stream: Stream) -> None:
            super().__init__(node, stream, node.lifetime_hint)
            self.handshake_complete = False

        def greeted(self, hello: NodeCapabilities) -> None:
            """The hello, or a later one."""
            if isinstance(self.node, NegotiatedNodeConnection):
                self.node.form_confirmed(WireFormat.GRPC_V2, hello)

    return First, Second


_links: tuple[type[NodeLink], type[NodeLink]] | None = None


class NegotiatedNodeConnection(BaseNodeConnection):
    """One node whose form is found out."""

    def __init__(
        self, loop: Loop, machine: int, entry: NodeEndpoint, core: Dispatcher, desk: Translator
    ) -> None:
        super().__init__(loop, machine, entry, core)
        self.translator = desk
        self.negotiation = desk.negotiation(entry.name)
        self.hello_timeout_us = desk.config.hello_timeout_us

    @property
    def form_is_fixed(self) -> bool:
        """It can speak but one form."""
        return self.negotiation.is_fixed

    def make_link(self, stream: Stream) -> NodeLink:
        """A connection in the form that is tried now."""
        global _links
        if self.negotiation.current is WireFormat.BINARY:
            return _MessagesLink(self, stream)
        if _links is None:
            _links = _grpc_links()
        return _links[self.negotiation.current is WireFormat.GRPC_V2](self, stream)

    def form_confirmed(self, form: WireFormat, hello: NodeCapabilities | None = None) -> None:
        """The node speaks it; the core lets go what waits, once routes know."""
        self.negotiation.confirm()
        fresh = self.link is None or not self.link.handshake_complete
        self.core.inbox.append(HandshakeCompleted(self.machine, form, hello, fresh))

    def link_closed(self, link: NodeLink) -> bool:
        """The next form is tried where the node does not know this one, or never says a word in it."""
        before = self.negotiation.current
        if getattr(link, "unknown", False):
            self.negotiation.reject_current()
        else:
            self.negotiation.connection_closed(link.handshake_complete or bool(getattr(link, "spoke", False)))
        return (
            self.negotiation.current is not before
            and not link.handshake_complete
            and self.negotiation.has_untried_format
        )

    def ineligibility(self, attempt: Attempt) -> FailureCause | None:
        """By its own word, which may have come after the decision."""
        if attempt.request is None:
            return None
        return self.translator.rejection_by(attempt.task_class, attempt.request.declared_fields, self.machine)

    def _send(self, link: NodeLink, attempt: Attempt) -> None:
        """Count what the form leaves out, too."""
        super()._send(link, attempt)
        said, form = attempt.request, self.negotiation.current
        if said is not None and form is not WireFormat.GRPC_V2:
            self.translator.count_omitted_fields(form, said.declared_fields, said.cores, said.memory)

    def lifetime_hint(self, attempt: Attempt) -> LifetimeHint | None:
        """The hint that goes with an offer."""
        if attempt.request is None:
            return None
        return self.translator.effective_hint(
            attempt.task_class, attempt.request.declared_fields, self.machine
        )
