"""The gRPC frontend: accepts connections of clients of both generations, and reads them.

``grpc_connection`` has one connection, ``grpc_calls`` and ``grpc_streams`` the calls on it, ``grpc_messages`` what
each generation can express.
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

MAX_FRAMES_PER_TURN_REJECTED = 4  # of a connection whose requests admission rejects


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
        """``inherited``: a listening socket that a predecessor has handed over; raises OSError without it."""
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
        """Close one connection without a call, preferably one that never opened any; false where there is none."""
        return self._idle_evictor.evict_one()

    def close_idle(self) -> None:
        """Shut down gracefully: GOAWAY to all, and an end to streams without an open request and to idle connections.

        It is called again and again until no connection is left, and closes each as soon as it is idle.
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
        """Write one log line about malformed input."""
        self.core.log(4, "bad-message", {"peer": peer, "code": error.code}, str(error))

    def _serve(self, stream: Stream) -> Generator[Wait, int, None]:
        """Read a connection until it closes."""
        connection = GrpcConnection(self, stream)
        self._connections[connection] = None
        try:
            yield from self._read(connection)
        except WireError as error:
            self.log_invalid_message(stream.peer, error)
            stream.flush()  # sends the GOAWAY that says what was wrong
        finally:
            del self._connections[connection]
            connection.close()

    def _read(self, connection: GrpcConnection) -> Generator[Wait, int, None]:
        """Handle the client's frames as they come; raises ``WireError`` where the connection is beyond repair."""
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
                events = http.receive(b"", connection.max_frames)
            # As on the JSON lines frontend: a client that has opened no call, or never ends a message, is timed out.
            if connection.has_served_call and not http.mid_message:
                timeout_us = None
            elif connection.has_served_call and (has_events or not was_mid_message):
                timeout_us = self.loop.now + MESSAGE_TIMEOUT_US

    def _next_pause_us(self, connection: GrpcConnection) -> int:
        """How long to leave the connection alone: one whose requests admission rejects is read more slowly."""
        backoff = connection.read_backoff
        pause_us = backoff.next_pause_us() if backoff is not None else 0
        connection.max_frames = MAX_FRAMES_PER_TURN_REJECTED if pause_us else MAX_FRAMES_PER_TURN
        return pause_us


def _has_pending_work(connection: GrpcConnection) -> bool:
    """Whether a call is open, or input of the client has not been handled yet."""
    return bool(
        connection.calls
        or connection.http.mid_message
        or connection.http.has_buffered_frame
        or connection.stream.has_unread_input
    )
