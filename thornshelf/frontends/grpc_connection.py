"""One HTTP/2 connection of a gRPC client, and the calls on it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from thornshelf.frontends.grpc_calls import RESPONSE_HEADERS, Call, CheckCall, PlaceCall, status_trailers
from thornshelf.frontends.grpc_messages import GrpcCodecV1, GrpcCodecV2
from thornshelf.frontends.grpc_streams import DispatchCall
from thornshelf.frontends.idle_evictor import is_quiescent
from thornshelf.loop import Stream
from thornshelf.wire import grpc, http2
from thornshelf.wire.errors import WireError

if TYPE_CHECKING:
    from thornshelf.frontends.admission_filter import ReadBackoff
    from thornshelf.frontends.grpc_ports import GrpcFrontendInterface

MAX_FRAMES_PER_TURN = 32  # that are handled for one connection


@dataclass(frozen=True, slots=True)
class _Method:
    """The call type and the codec of one method in one generation."""

    call_type: type[Call]
    codec: GrpcCodecV1


_CALL_TYPES: dict[str, type[Call]] = {"Dispatch": DispatchCall, "Place": PlaceCall, "Check": CheckCall}
_METHODS = {
    codec.service_path + name: _Method(call_type, codec)
    for codec in (GrpcCodecV1(), GrpcCodecV2())
    for name, call_type in _CALL_TYPES.items()
}


class GrpcConnection:
    """One HTTP/2 connection of a client."""

    def __init__(self, frontend: GrpcFrontendInterface, stream: Stream) -> None:
        self.frontend = frontend
        self.stream = stream
        self.http = http2.Http2Connection(False, stream.send, self._stream_overflowed)
        self.calls: dict[int, Call] = {}  # by stream id
        self.max_frames = MAX_FRAMES_PER_TURN  # the current limit
        self.read_backoff: ReadBackoff | None = (
            frontend.admission_filter.new_read_backoff() if frontend.admission_filter is not None else None
        )
        self.has_served_call = False  # whether a call of a known method has been opened
        self.goaway_sent = False

    @property
    def is_idle(self) -> bool:
        """Whether the connection can be closed without losing an answer to the client."""
        return self.stream.open and not self.calls and (not self.has_served_call or is_quiescent(self.stream))

    @property
    def retention_rank(self) -> int:
        """Of idle connections, those of the lowest rank are evicted first: those that never opened a call."""
        return int(self.has_served_call)

    def handle_event(self, event: http2.Event) -> None:
        """Handle an event of the connection, by its call if it belongs to one."""
        if isinstance(event, http2.HeadersReceived):
            self._open_call(event)
            return
        if isinstance(event, http2.GoAway):
            return  # the client accepts no new streams, and a server opens none
        call = self.calls.get(event.stream)
        if call is None:
            return
        match event:
            case http2.MessageReceived(data=data):
                try:
                    call.on_message(data)
                except WireError as error:
                    self.frontend.log_invalid_message(self.stream.peer, error)
                    call.finish(grpc.INTERNAL, str(error))
            case http2.StreamEnded():
                call.on_half_close()
            case http2.StreamReset():
                call.on_close()

    def end_early(self, call: Call, code: int, text: str, pushback_ms: int | None = None) -> None:
        """End a call on which nothing was sent, with a trailers-only response."""
        if not call.closed:
            self._send_status(call.stream_id, code, text, pushback_ms)
            call.on_close()

    def close(self) -> None:
        """End the calls of a connection that has closed."""
        self.http.close()
        for call in list(self.calls.values()):
            call.on_close()

    def _stream_overflowed(self, stream_id: int) -> None:
        """Close the call of a stream that was reset because its client reads too slowly."""
        call = self.calls.get(stream_id)
        if call is not None:
            self.frontend.core.log(
                5,
                "stream-overflowed",
                {"peer": self.stream.peer},
                "a client reads too slowly, its call was reset",
            )
            call.on_close()

    def _send_status(self, stream_id: int, code: int, text: str, pushback_ms: int | None = None) -> None:
        """Send a trailers-only response."""
        headers = RESPONSE_HEADERS + status_trailers(code, text, pushback_ms)
        self.http.respond(stream_id, headers, end=True)

    def _open_call(self, event: http2.HeadersReceived) -> None:
        """Open a call, or answer at once if it can't be served."""
        if not _is_grpc_request(event.headers):
            self.http.respond(event.stream, [(":status", "415")], end=True)
            return
        path = event.headers.get(":path", "")
        method = _METHODS.get(path)
        if method is None:
            self._send_status(event.stream, grpc.UNIMPLEMENTED, f"no such method: {path}")
        elif event.headers.get("grpc-encoding", "identity") != "identity":
            self._send_status(event.stream, grpc.UNIMPLEMENTED, "messages are taken uncompressed only")
        elif self.frontend.shutting_down:
            self._send_status(event.stream, grpc.UNAVAILABLE, "the dispatcher is ending")
        else:
            self._start_call(event, method)

    def _start_call(self, event: http2.HeadersReceived, method: _Method) -> None:
        """Start a call of a known method, unless its timeout is malformed."""
        text = event.headers.get("grpc-timeout")
        try:
            timeout_us = None if text is None else grpc.decode_timeout(text)
        except WireError as error:
            self._send_status(event.stream, grpc.INVALID_ARGUMENT, str(error))
            return
        self.calls[event.stream] = method.call_type(self, event.stream, timeout_us, method.codec)
        self.has_served_call = True


def _is_grpc_request(headers: Mapping[str, str]) -> bool:
    """Return whether the headers are those of a gRPC call."""
    is_grpc = headers.get("content-type", "").startswith("application/grpc")
    return headers.get(":method") == "POST" and is_grpc
