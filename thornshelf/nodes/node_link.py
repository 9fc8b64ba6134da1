"""One open connection to a node: the interface of all wire formats, and the loop that reads from it."""

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

DRAIN_POLL_US = 20_000  # read timeout of a link that only finishes its attempts in flight

IDLE = DisconnectReason(DisconnectCause.IDLE, "")
EVICTED = DisconnectReason(DisconnectCause.EVICTED, "evicted, as another node needs the descriptor")
CLOSED_BY_PEER = DisconnectReason(
    DisconnectCause.CLOSED_BY_PEER, "connection ended by the node or the network"
)
FORGOTTEN = DisconnectReason.unusable("a quiet connection ended as it was tried: the node had forgotten it")


class NodeLink:
    """One open connection; a subclass for each wire format encodes and decodes the messages.

    ``opened_us``: when it was opened, on the loop's clock. ``accepting``: False if only the attempts in flight are
    finished on it, while new ones wait for the next link. ``handshake_complete``: False until the node's wire format
    is confirmed; no attempt may be sent before. ``messages_received``: how many complete messages have arrived.
    ``generation_rejected``: the node has answered that it does not support this generation of the wire format.
    ``ping_is_free``: a ping has no price by the settings.
    """

    ping_is_free = False

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
        """Send an attempt; the node answers that the task has started or that the attempt has ended."""
        raise NotImplementedError

    def retract_attempt(self, uid: int) -> bool:
        """Withdraw an attempt of which no byte was sent; returns false if any was."""
        raise NotImplementedError

    def cancel_attempt(self, uid: int) -> PendingWrite:
        """Ask the node to cancel an attempt; returns the request, to find out whether it was sent."""
        raise NotImplementedError

    def may_have_arrived(self, uid: int) -> bool:
        """Return whether an attempt was completely sent, so that its task may run."""
        raise NotImplementedError

    def cancel_task(self, uid: int) -> PendingWrite:
        """Ask the node to end a running task; returns the request, to find out whether it was sent."""
        raise NotImplementedError

    def check_health(self) -> None:
        """Ask for a load report."""
        raise NotImplementedError

    def query_task(self, idempotency_key: int, uid: int) -> None:
        """Ask the node whether a task with this idempotency key runs or ran; does nothing by default.

        Only nodes whose wire format has such a query are asked.
        """

    def receive(self, data: bytes) -> str | None:
        """Process received bytes; returns why the connection has to be closed, or None.

        Raises ``WireError`` if they violate the wire format.
        """
        raise NotImplementedError

    def ping(self) -> None:
        """Send a message that a live node always answers."""
        raise NotImplementedError

    def touch(self) -> None:
        """Send a message without an answer or a price; a node that has forgotten the connection resets it."""
        raise NotImplementedError

    @property
    def mid_message(self) -> bool:
        """Whether a message was received in part."""
        raise NotImplementedError

    @property
    def peer_identified(self) -> bool:
        """Whether the node has proved that it speaks this wire format; only negotiated links use this."""
        return False

    def close(self, reason: str) -> None:
        """Close the connection as unusable; its attempts end, as never run or with an unknown outcome."""
        self._close(DisconnectReason.unusable(reason))

    def evict(self) -> None:
        """Close the connection, because another node needs its descriptor more."""
        self._close(EVICTED)

    def _close(self, reason: DisconnectReason) -> None:
        self._close_reason = reason
        self.stream.close()

    def run(self) -> Generator[Wait, int, DisconnectReason]:
        """Read until the connection ends or was idle for too long; returns the reason."""
        node = self.node
        began_us = node.loop.now
        last_active_us = node.loop.now
        while True:
            if not self.handshake_complete and node.loop.now - began_us >= node.hello_timeout_us:
                return DisconnectReason.unusable("handshake timed out")
            data = yield from self.stream.read(self._read_deadline_us(began_us))
            if data is None:
                if not node.idle:
                    last_active_us = node.loop.now
                elif node.loop.now - last_active_us >= node.idle_timeout_us():
                    return IDLE
            elif not data:
                return self._end_reason()
            else:
                last_active_us = node.loop.now
                if (reason := self._process(data)) is not None:
                    return reason
            if not self.accepting and not node.in_flight:
                return DisconnectReason.unusable("all attempts finished, replaced by a new connection")

    def _end_reason(self) -> DisconnectReason:
        """Return why the connection has ended.

        An end that answers a check of a quiet connection doesn't show that the node's process has died.
        """
        if self._close_reason is CLOSED_BY_PEER and self.liveness.was_just_tried:
            return FORGOTTEN
        return self._close_reason

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
