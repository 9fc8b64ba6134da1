"""The gRPC frontend: accepts client connections of both protocol generations, and reads their frames.

``grpc_connection`` implements one connection, ``grpc_calls`` and ``grpc_streams`` the calls on it, and
``grpc_messages`` the encoding of each generation.
"""

from __future__ import annotations

import socket
from collections.abc import Generator
from typing import TYPE_CHECKING

from thornshelf.core import Dispatcher
from thornshelf.frontends.connection_budget import ConnectionBudget
from thornshelf.frontends.grpc_connection import MAX_FRAMES_PER_TURN, GrpcConnection
from thornshelf.frontends.grpc_streams import DispatchCall
from thornshelf.frontends.idle_evictor import IdleEvictor
from thornshelf.frontends.listener import FIRST_MESSAGE_TIMEOUT_US, MESSAGE_TIMEOUT_US, Listener
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.wire import grpc, http2
from thornshelf.wire.errors import WireError

if TYPE_CHECKING:
    from thornshelf.frontends.admission_filter import AdmissionFilter

MAX_FRAMES_PER_TURN_REJECTED = 4  # the limit for a connection whose requests admission rejects


class GrpcFrontend:
    """Listens for gRPC clients."""

    def __init__(
        self,
        loop: Loop,
        core: Dispatcher,
        address: tuple[str, int],
        budget: ConnectionBudget,
        admission_filter: AdmissionFilter | None = None,
        inherited: socket.socket | None = None,
    ) -> None:
        """Listen on ``address``, or on the socket ``inherited`` from a predecessor.

        Raises ``OSError`` if the address can't be bound.
        """
        self.loop = loop
        self.core = core
        self.admission_filter = admission_filter
        self.shutting_down = False
        self._connections: dict[GrpcConnection, None] = {}
        self._idle_evictor = IdleEvictor(self._connections)
        if admission_filter is not None:
            admission_filter.connection_lists.append(lambda: self._connections)
        self.listener = Listener(
            loop,
            address,
            budget,
            self._serve,
            self.evict_idle,
            admission_filter,
            lambda _: http2.rejection_frames(),
            inherited,
        )

    def evict_idle(self) -> bool:
        """Close one idle connection, preferably one that never opened a call; returns false if there is none."""
        return self._idle_evictor.evict_one()

    def close_idle(self) -> None:
        """Shut down gracefully: send GOAWAY, end streams without an open request, and close idle connections.

        Called repeatedly until no connection is left; each is closed as soon as it is idle.
        """
        self.shutting_down = True
        for connection in list(self._connections):
            if not connection.goaway_sent:
                connection.goaway_sent = True
                connection.http.go_away()
            for call in list(connection.calls.values()):
                if isinstance(call, DispatchCall) and not call.open_requests:
                    call.finish(grpc.UNAVAILABLE, "the dispatcher is ending")
            if not _has_pending_work(connection):
                connection.stream.end()

    def log_invalid_message(self, peer: str, error: WireError) -> None:
        """Log malformed input of a client."""
        self.core.log(4, "bad-message", {"peer": peer, "code": error.code}, str(error))

    def _serve(self, stream: Stream) -> Generator[Wait, int, None]:
        """Serve a connection until it closes."""
        connection = GrpcConnection(self, stream)
        self._connections[connection] = None
        try:
            yield from self._read(connection)
        except WireError as error:
            self.log_invalid_message(stream.peer, error)
            stream.flush()  # sends the GOAWAY frame with the error code
        finally:
            del self._connections[connection]
            connection.close()

    def _read(self, connection: GrpcConnection) -> Generator[Wait, int, None]:
        """Handle the client's frames until the connection closes; raises ``WireError`` for an invalid frame."""
        http = connection.http
        timeout_us: int | None = self.loop.now + FIRST_MESSAGE_TIMEOUT_US
        while data := (yield from connection.stream.read(timeout_us)):
            was_mid_message = http.mid_message
            events = http.receive(data, connection.max_frames)
            has_events = bool(events)
            while events or http.has_buffered_frame:
                for event in events:
                    connection.handle_event(event)
                pause_us = self._next_pause_us(connection)
                if http.has_buffered_frame or pause_us:
                    yield Wait(until=self.loop.now + pause_us)
                while self.core.has_inbox_backlog:
                    yield Wait(until=self.loop.now)
                events = http.receive(b"", connection.max_frames)
            # A client that opens no call, or does not complete a message in time, is disconnected.
            if connection.has_served_call and not http.mid_message:
                timeout_us = None
            elif connection.has_served_call and (has_events or not was_mid_message):
                timeout_us = self.loop.now + MESSAGE_TIMEOUT_US

    def _next_pause_us(self, connection: GrpcConnection) -> int:
        """Return how long to pause reading; a connection whose requests admission rejects is read more slowly."""
        backoff = connection.read_backoff
        pause_us = backoff.next_pause_us() if backoff is not None else 0
        connection.max_frames = MAX_FRAMES_PER_TURN_REJECTED if pause_us else MAX_FRAMES_PER_TURN
        return pause_us


def _has_pending_work(connection: GrpcConnection) -> bool:
    """Return whether a call is open, or received input has not been handled."""
    return bool(
        connection.calls
        or connection.http.mid_message
        or connection.http.has_buffered_frame
        or connection.stream.has_unread_input
    )
