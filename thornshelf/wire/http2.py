"""HTTP/2 for gRPC without sockets: the h2 library, and for each stream a queue of messages under flow control.

DATA frames of open streams, the great majority of frames, are decoded and encoded here for speed. The windows for
receiving are accounted here (RFC 9113, section 5.2). The windows for sending are those of h2, which processes the
peer's WINDOW_UPDATE frames. Everything else is left to h2.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
from h2.settings import SettingCodes
from hyperframe.frame import GoAwayFrame, SettingsFrame, WindowUpdateFrame

from thornshelf.wire.errors import WireError
from thornshelf.wire.grpc import MessageReader
from thornshelf.wire.http2_events import (
    Event,
    GoAway,
    HeadersReceived,
    MessageReceived,
    StreamEnded,
    StreamReset,
)
from thornshelf.wire.pending_write import PendingWrite

__all__ = [
    "CANCEL",
    "REFUSED_STREAM",
    "Event",
    "GoAway",
    "HeadersReceived",
    "Http2Connection",
    "MessageReceived",
    "OutgoingMessage",
    "StreamEnded",
    "StreamReset",
    "rejection_frames",
]

MAX_CONCURRENT_STREAMS = 128  # that the peer may have open on one connection
MAX_FRAMES = 1 << 20  # processed by one call of ``receive`` if the caller sets no limit
MAX_QUEUED_BYTES = 256 * 1024  # on one stream; a stream whose peer reads too slowly is reset beyond it
MAX_HEADER_BLOCK_BYTES = 32 * 1024  # of the frames of one unfinished head, which are kept until its last one
WINDOW_UPDATE_BYTES = 16 * 1024  # received per WINDOW_UPDATE: a quarter of the protocol's initial window

_PREFACE_LENGTH = 24
_FRAME_HEADER_LENGTH = 9
_GOAWAY_MIN_LENGTH = _FRAME_HEADER_LENGTH + 8
_STREAM_ID_MASK = 0x7FFFFFFF
# Frame types and flags.
_DATA = 0
_HEADERS = 1
_GOAWAY = 7
_CONTINUATION = 9
_END_STREAM = 1
_END_HEADERS = 4
_PADDED = 8

REFUSED_STREAM = int(h2.errors.ErrorCodes.REFUSED_STREAM)
CANCEL = int(h2.errors.ErrorCodes.CANCEL)


class OutgoingMessage:
    """A message that is queued or sent; ``chunks``: the writes of the parts emitted so far."""

    __slots__ = ("chunks", "data", "offset")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0
        self.chunks: list[PendingWrite] = []

    @property
    def fully_sent(self) -> bool:
        """Whether all bytes were handed to the operating system, so that the peer may have received them."""
        return self.offset == len(self.data) and all(chunk.fully_sent for chunk in self.chunks)


class _Stream:
    """The state of one open stream."""

    __slots__ = ("consumed_bytes", "ended", "framer", "queue", "queued_bytes", "receiving", "trailers")

    def __init__(self) -> None:
        self.consumed_bytes = 0  # of DATA frames since the last WINDOW_UPDATE of the stream
        self.receiving = False  # the peer has sent headers and not ended its side of the stream
        self.ended = False  # this side of the stream has been ended
        self.framer = MessageReader()
        self.queue: deque[OutgoingMessage] = deque()
        self.queued_bytes = 0
        self.trailers: list[tuple[str, str]] | None = None  # to be sent after the queue, see ``finish``


class Http2Connection:
    """One HTTP/2 connection without its socket.

    ``is_client``: whether this side is the client; ``emit``: sends bytes, and returns the write, which knows whether
    it has completed; ``on_overflow``: called with a stream that was reset because its peer reads too slowly.
    """

    def __init__(
        self,
        is_client: bool,
        emit: Callable[[bytes], PendingWrite],
        on_overflow: Callable[[int], None] | None = None,
    ) -> None:
        self.is_client = is_client
        self._emit = emit
        self._on_overflow = on_overflow or _ignore_overflow
        config = h2.config.H2Configuration(client_side=is_client, header_encoding="utf-8")
        self._h2 = h2.connection.H2Connection(config)
        self._streams: dict[int, _Stream] = {}
        self._buffer = b""  # input that is not yet a complete frame
        self._preface_length = 0 if is_client else _PREFACE_LENGTH
        self._last_peer_stream = 0
        self._consumed_bytes = 0  # of DATA frames since the last WINDOW_UPDATE of the connection
        self._header_block_bytes = 0  # of the frames of an unfinished head
        self.peer_settings_received = False  # a SETTINGS frame: proof that the peer supports HTTP/2
        self._h2.local_settings[SettingCodes.MAX_CONCURRENT_STREAMS] = MAX_CONCURRENT_STREAMS
        self._h2.initiate_connection()
        self._flush()

    @property
    def streams(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    def open_stream(self, headers: list[tuple[str, str]]) -> int:
        """Open a stream as a client; returns its id."""
        stream = self._h2.get_next_available_stream_id()
        self._h2.send_headers(stream, headers)
        self._streams[stream] = _Stream()
        self._flush()
        return stream

    def respond(self, stream: int, headers: list[tuple[str, str]], end: bool = False) -> None:
        """Send the response headers as a server; ``end``: they also end the stream. No effect on a closed stream."""
        if stream in self._streams:
            self._h2.send_headers(stream, headers, end_stream=end)
            if end:
                self._discard(stream)
            self._flush()

    def send(self, stream: int, data: bytes) -> OutgoingMessage:
        """Queue a framed message, and emit what flow control allows; a closed or ended stream discards it."""
        message = OutgoingMessage(data)
        state = self._streams.get(stream)
        if state is not None and state.trailers is None and not state.ended:
            state.queue.append(message)
            state.queued_bytes += len(data)
            self._try_send_queued(stream)
            if state.queued_bytes > MAX_QUEUED_BYTES:
                self.reset(stream, int(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM))
                self._on_overflow(stream)
        return message

    def send_capacity(self, stream: int) -> int:
        """Return how many more bytes flow control allows on a stream; negative if more than that are queued."""
        state = self._streams.get(stream)
        h2_stream = self._h2.streams.get(stream)
        if state is None or h2_stream is None:
            return 0
        window = min(self._h2.outbound_flow_control_window, h2_stream.outbound_flow_control_window)
        return int(window) - state.queued_bytes

    def retract(self, stream: int, message: OutgoingMessage) -> bool:
        """Remove a message from the queue; returns false if a part of it was emitted or it is not queued."""
        state = self._streams.get(stream)
        if message.offset or state is None or message not in state.queue:
            return False
        state.queue.remove(message)
        state.queued_bytes -= len(message.data)
        return True

    def finish(self, stream: int, trailers: list[tuple[str, str]]) -> None:
        """End this side of the stream after the queued messages; a client passes no trailers."""
        state = self._streams.get(stream)
        if state is not None and state.trailers is None:
            state.trailers = trailers
            self._try_send_queued(stream)

    def reset(self, stream: int, code: int = CANCEL) -> None:
        """Send RST_STREAM if the stream is open."""
        if self._streams.pop(stream, None) is not None:
            try:
                self._h2.reset_stream(stream, code)
            except h2.exceptions.ProtocolError:
                return  # h2 has closed the stream already
            self._flush()

    def close(self) -> None:
        """Discard all streams and input, as the connection has ended; messages sent later are dropped."""
        self._streams.clear()
        self._buffer = b""
        self._on_overflow = (
            _ignore_overflow  # its owner refers to this object, and both are freed without a cycle
        )

    def ping(self) -> None:
        """Send a PING frame, which a live peer acknowledges."""
        self._h2.ping(b"thornshf")
        self._flush()

    def go_away(self) -> None:
        """Announce that no new streams are accepted; open ones continue, which h2's own close would not allow."""
        frame = GoAwayFrame(0, last_stream_id=self._last_peer_stream, error_code=0)
        self._emit(frame.serialize())

    @property
    def mid_message(self) -> bool:
        """Whether an incomplete frame is buffered, or an incomplete message on any stream."""
        return bool(self._buffer) or any(stream.framer.mid_message for stream in self._streams.values())

    @property
    def has_buffered_frame(self) -> bool:
        """Whether a complete frame is buffered for the next call of ``receive``."""
        return self._frame_length() > 0

    def receive(self, data: bytes, max_frames: int = MAX_FRAMES) -> list[Event]:
        """Buffer received bytes, process at most ``max_frames`` of the buffered frames, and return their events.

        Raises ``WireError`` for a malformed frame; the connection can't be used any longer then.
        """
        events: list[Event] = []
        self._buffer += data
        while max_frames > 0 and (frame := self._next_frame()) is not None:
            max_frames -= 1
            if not self._preface_length and frame[3:4] == bytes((_GOAWAY,)):
                # h2 would close the connection on GOAWAY, but the open streams continue.
                events.append(_decode_goaway(frame))
                continue
            if not self._preface_length and frame[3] == _DATA and not frame[4] & (_END_STREAM | _PADDED):
                stream = int.from_bytes(frame[5:9], "big") & _STREAM_ID_MASK
                if (state := self._streams.get(stream)) is not None and state.receiving:
                    self._data_received(stream, state, frame[_FRAME_HEADER_LENGTH:], events)
                    continue
                if state is None and 0 < stream <= self._last_peer_stream and stream % 2:
                    # Data in transit when this side closed the stream counts only towards the connection's window
                    # (RFC 9113, section 5.1). h2 would answer each such frame.
                    self._window_consumed(len(frame) - _FRAME_HEADER_LENGTH)
                    continue
            if not self._preface_length:
                self._check_header_block(frame)
            self._preface_length = 0
            try:
                h2_events = self._h2.receive_data(frame)
            except (h2.exceptions.ProtocolError, ValueError) as error:
                self._flush()  # sends the GOAWAY frame that h2 has prepared
                self.close()
                raise WireError(f"invalid HTTP/2: {type(error).__name__} {error}", fatal=True) from None
            for event in h2_events:
                self._process_event(event, events)
        for stream, state in list(self._streams.items()):
            if state.queue or state.trailers is not None:
                self._try_send_queued(stream)
        self._flush()
        return events

    def _check_header_block(self, frame: bytes) -> None:
        """Raise ``WireError`` if the frames of an unfinished head are longer than it may be.

        h2 keeps them until the last one has come, and limits their number only: 1 MiB for each connection.
        """
        if frame[3] not in (_HEADERS, _CONTINUATION):
            return
        self._header_block_bytes += len(frame) - _FRAME_HEADER_LENGTH
        if self._header_block_bytes > MAX_HEADER_BLOCK_BYTES:
            self.close()
            raise WireError(f"head is longer than {MAX_HEADER_BLOCK_BYTES} bytes", fatal=True)
        if frame[4] & _END_HEADERS:
            self._header_block_bytes = 0

    def _next_frame(self) -> bytes | None:
        """Take the connection preface or the next complete frame from the buffer; None if it is incomplete."""
        length = self._frame_length()
        if not length:
            return None
        frame, self._buffer = self._buffer[:length], self._buffer[length:]
        return frame

    def _frame_length(self) -> int:
        """Return the length of the complete frame at the start of the buffer; 0 if there is none."""
        length = self._preface_length
        if not length:
            if len(self._buffer) < _FRAME_HEADER_LENGTH:
                return 0
            length = _FRAME_HEADER_LENGTH + int.from_bytes(self._buffer[:3], "big")
            if length > _FRAME_HEADER_LENGTH + self._h2.max_inbound_frame_size:
                raise WireError("frame is too long", fatal=True)
        return length if len(self._buffer) >= length else 0

    def _process_event(self, event: h2.events.Event, events: list[Event]) -> None:
        """Translate an event of h2, and append the results to ``events``."""
        match event:
            case h2.events.RequestReceived(stream_id=stream, headers=headers):
                opened = self._streams[stream] = _Stream()
                opened.receiving = True
                self._last_peer_stream = max(self._last_peer_stream, stream)
                events.append(HeadersReceived(stream, _decode_headers(headers)))
            case h2.events.ResponseReceived(stream_id=stream, headers=headers):
                if (state := self._streams.get(stream)) is not None:
                    state.receiving = True
                events.append(HeadersReceived(stream, _decode_headers(headers)))
            case h2.events.DataReceived(stream_id=stream, data=data, flow_controlled_length=length):
                if length:
                    self._h2.acknowledge_received_data(length, stream)
                if (state := self._streams.get(stream)) is not None:
                    self._extract_messages(stream, state, data, events)
            case h2.events.TrailersReceived(stream_id=stream, headers=headers):
                events.append(StreamEnded(stream, _decode_headers(headers)))
            case h2.events.StreamEnded(stream_id=stream):
                state = self._streams.get(stream)
                if state is not None:
                    state.receiving = False
                if state is not None and state.framer.mid_message:
                    self.reset(stream)
                    events.append(StreamReset(stream, CANCEL, "the peer ended the stream within a message"))
                elif not (events and isinstance(events[-1], StreamEnded) and events[-1].stream == stream):
                    events.append(StreamEnded(stream, {}))
                if self.is_client:
                    self.reset(stream)  # ends this side too: the server has finished the call
            case h2.events.StreamReset(stream_id=stream, error_code=code):
                self._streams.pop(stream, None)
                events.append(StreamReset(stream, int(code), "reset by the peer"))
            case h2.events.RemoteSettingsChanged():
                self.peer_settings_received = True
            case _:
                pass  # h2 itself answers PING and updates the windows for sending

    def _data_received(self, stream: int, state: _Stream, data: bytes, events: list[Event]) -> None:
        """Process the payload of a DATA frame; sends WINDOW_UPDATE when enough of the windows is used up."""
        state.consumed_bytes += len(data)
        self._window_consumed(len(data))
        step = min(WINDOW_UPDATE_BYTES, self._h2.local_settings.initial_window_size // 4)
        if state.consumed_bytes >= step:
            self._emit(WindowUpdateFrame(stream, window_increment=state.consumed_bytes).serialize())
            state.consumed_bytes = 0
        self._extract_messages(stream, state, data, events)

    def _window_consumed(self, count: int) -> None:
        """Count received bytes towards the connection's window; sends WINDOW_UPDATE when enough is used up."""
        self._consumed_bytes += count
        if self._consumed_bytes >= WINDOW_UPDATE_BYTES:
            self._emit(WindowUpdateFrame(0, window_increment=self._consumed_bytes).serialize())
            self._consumed_bytes = 0

    def _extract_messages(self, stream: int, state: _Stream, data: bytes, events: list[Event]) -> None:
        """Append the messages that the data completes; an invalid one resets the stream."""
        state.framer.feed(data)
        try:
            while (message := state.framer.next()) is not None:
                events.append(MessageReceived(stream, message))
        except WireError as error:
            self.reset(stream)
            events.append(StreamReset(stream, CANCEL, str(error)))

    def _try_send_queued(self, stream: int) -> None:
        """Emit as much of a stream's queue as the windows allow; discards the stream if the peer has closed it."""
        try:
            self._send_queued(stream)
        except h2.exceptions.ProtocolError:  # the peer closed the stream with the input just processed
            self._discard(stream)

    def _send_queued(self, stream: int) -> None:
        """Emit queued messages, then the trailers; raises ``ProtocolError`` if h2 considers the stream closed."""
        state = self._streams.get(stream)
        if state is None:
            return
        h2_stream = self._h2.streams.get(stream)
        if h2_stream is None:  # closed by the peer
            self._discard(stream)
            return
        while state.queue:
            message = state.queue[0]
            window = min(
                self._h2.outbound_flow_control_window,
                h2_stream.outbound_flow_control_window,
                self._h2.max_outbound_frame_size,
            )
            size = min(window, len(message.data) - message.offset)
            if size <= 0:
                return
            part = message.data[message.offset : message.offset + size]
            h2_stream.outbound_flow_control_window -= size
            self._h2.outbound_flow_control_window -= size
            message.offset += size
            state.queued_bytes -= size
            self._flush()
            header = size.to_bytes(3, "big") + b"\0\0" + stream.to_bytes(4, "big")
            message.chunks.append(self._emit(header + part))
            if message.offset == len(message.data):
                state.queue.popleft()
        if state.trailers is not None:
            if state.trailers:
                self._h2.send_headers(stream, state.trailers, end_stream=True)
                self._discard(stream)
            else:
                self._h2.end_stream(stream)
                state.trailers = None
                state.ended = True
            self._flush()

    def _discard(self, stream: int) -> None:
        self._streams.pop(stream, None)

    def _flush(self) -> None:
        """Emit the frames that h2 has prepared."""
        if data := self._h2.data_to_send():
            self._emit(data)


def _ignore_overflow(stream: int) -> None:
    """Do nothing: nobody has to know."""


def rejection_frames() -> bytes:
    """Return all that a server sends on a rejected connection: SETTINGS, and GOAWAY with ENHANCE_YOUR_CALM."""
    code = int(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
    return SettingsFrame(0).serialize() + GoAwayFrame(0, last_stream_id=0, error_code=code).serialize()


def _decode_goaway(frame: bytes) -> GoAway:
    if len(frame) < _GOAWAY_MIN_LENGTH:
        raise WireError("GOAWAY frame is truncated", fatal=True)
    last = int.from_bytes(frame[9:13], "big") & _STREAM_ID_MASK
    return GoAway(last, int.from_bytes(frame[13:17], "big"))


def _decode_headers(headers: object) -> dict[str, str]:
    """Return headers by name; the first of several with one name counts."""
    values: dict[str, str] = {}
    for name, value in headers or ():  # type: ignore[attr-defined]
        values.setdefault(str(name), str(value))
    return values
