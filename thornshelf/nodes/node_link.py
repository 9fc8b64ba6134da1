"""One open connection to a node: what every wire form has to provide, and the loop that reads it."""

from __future__ import annotations

from collections.abc import Generator
from typing import TYPE_CHECKING

from thornshelf.core import Attempt
from thornshelf.loop import Stream, Wait
from thornshelf.nodes.liveness import LivenessMonitor
from thornshelf.wire.errors import DisconnectCause, DisconnectReason, WireError
from thornshelf.wire.pending_write import PendingWrite

if TYPE_CHECKING:
    from thornshelf.nodes.ports import LinkOwner

DRAIN_POLL_US = 20_000  # read timeout of a link that only finishes its attempts

IDLE = DisconnectReason(DisconnectCause.IDLE, "")
EVICTED = DisconnectReason(DisconnectCause.EVICTED, "closed to make room for another")
CLOSED_BY_PEER = DisconnectReason(
    DisconnectCause.CLOSED_BY_PEER, "connection ended by the node or the network"
)


class NodeLink:
    """One open connection; a subclass for each wire form encodes and decodes its messages.

    ``opened_us``: when it was opened, on the loop's clock. ``accepting``: False where it only finishes the attempts
    in flight, and new ones wait for the next link. ``handshake_complete``: False until it is known what the node
    speaks; nothing may be sent before. ``messages_received``: complete messages so far. ``generation_rejected``: the
    node has answered that it does not speak this generation of the wire form.
    """

    def __init__(self, node: LinkOwner, stream: Stream) -> None:
        self.node = node
        self.stream = stream
        self.opened_us = node.loop.now
        self.accepting = True
        self.handshake_complete = True
        self.messages_received = 0
        self.generation_rejected = False
        self.liveness = LivenessMonitor(self)
        self._close_reason = CLOSED_BY_PEER

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt; the node answers that it started or that it was rejected."""
        raise NotImplementedError

    def withdraw_attempt(self, uid: int) -> bool:
        """Withdraw an attempt: True where no byte of it had been sent, else the node is asked to cancel it."""
        raise NotImplementedError

    def may_have_arrived(self, uid: int) -> bool:
        """Whether all of an attempt has been sent, so that its task may run."""
        raise NotImplementedError

    def cancel_task(self, uid: int) -> PendingWrite:
        """Ask the node to end a running task; returns the request."""
        raise NotImplementedError

    def check_health(self) -> None:
        """Ask for a load report."""
        raise NotImplementedError

    def query_task(self, idempotency_key: int, uid: int) -> None:
        """Ask whether a task with this idempotency key ran; only wire forms with such a query are asked."""

    def receive(self, data: bytes) -> str | None:
        """Process received bytes; returns why the connection can't go on, or None where it can.

        Raises ``WireError`` where they violate the wire form.
        """
        raise NotImplementedError

    def ping(self) -> None:
        """Ask for any reply at all."""
        raise NotImplementedError

    @property
    def mid_message(self) -> bool:
        """Whether a message has begun and not ended."""
        raise NotImplementedError

    @property
    def peer_identified(self) -> bool:
        """Whether the node has shown that it speaks this wire form; links that need no proof never ask."""
        return False

    def close(self, reason: str) -> None:
        """Close the connection as unusable: the outcome of its attempts is then unknown, or that they never ran."""
        self._close(DisconnectReason.unusable(reason))

    def evict(self) -> None:
        """Close the connection, as another one needs its descriptor more."""
        self._close(EVICTED)

    def _close(self, reason: DisconnectReason) -> None:
        self._close_reason = reason
        self.stream.close()

    def run(self) -> Generator[Wait, int, DisconnectReason]:
        """Read until the connection ends or has been idle for too long; returns why it ended."""
        node = self.node
        began_us = node.loop.now
        active_us = node.loop.now
        while True:
            if not self.handshake_complete and node.loop.now - began_us >= node.hello_timeout_us:
                return DisconnectReason.unusable("it does not say what it speaks")
            data = yield from self.stream.read(self._read_deadline_us(began_us))
            if data is None:
                if not node.idle:
                    active_us = node.loop.now
                elif node.loop.now - active_us >= node.idle_timeout_us():
                    return IDLE
            elif not data:
                return self._close_reason
            else:
                active_us = node.loop.now
                if (reason := self._process(data)) is not None:
                    return reason
            if not self.accepting and not node.in_flight:
                return DisconnectReason.unusable("the node wants another connection")

    def _read_deadline_us(self, began_us: int) -> int:
        node = self.node
        if not self.handshake_complete:
            return began_us + node.hello_timeout_us
        if not self.accepting:
            return node.loop.now + DRAIN_POLL_US
        return node.loop.now + node.idle_timeout_us() // 4

    def _process(self, data: bytes) -> DisconnectReason | None:
        self.liveness.bytes_received()
        messages_before = self.messages_received
        was_mid_message = self.mid_message
        try:
            if (reason := self.receive(data)) is not None:
                return DisconnectReason.unusable(reason)
        except WireError as error:
            return DisconnectReason.invalid_input(error)
        if self.mid_message:
            if not was_mid_message or self.messages_received > messages_before:
                self.liveness.message_begun()
            self.liveness.watch()
        return None
