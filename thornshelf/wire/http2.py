"""HTTP/2 for gRPC: h2 without sockets, and for each stream a queue of messages that keeps to flow control.

DATA frames within an open stream, which are nearly all there are, are read and written here: h2 takes most of a
message's cost for them and has nothing to add. Their windows are kept here on the way in (RFC 9113, section 5.2);
on the way out h2's own figures are used, as the peer's WINDOW_UPDATE frames go to it. All else is h2's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
from h2.settings import SettingCodes
from hyperframe.frame import GoAwayFrame, SettingsFrame, WindowUpdateFrame

from thornshelf.wire.errors import WireError
from thornshelf.wire.grpc import Framer

MAX_CONCURRENT_STREAMS = 128  # at once, opened by one client
MAX_FRAMES = 1 << 20
MAX_QUEUED_BYTES = 256 * 1024  # bytes that wait on one stream for a peer that doesn't read
_PREFACE = 24
_DATA, _GOAWAY = 0, 7
_END_STREAM, _PADDED = 1, 8
_CONSUMED = (
    16 * 1024
)  # bytes taken before the peer's window is opened again: a quarter of what it begins with

REFUSED_STREAM = int(h2.errors.ErrorCodes.REFUSED_STREAM)
CANCEL = int(h2.errors.ErrorCodes.CANCEL)


@dataclass(frozen=True, slots=True)
class Opened:
    """Headers have come: a call at the server, the answer's at the client."""

    stream: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Received:
    """One message."""

    stream: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The peer has nothing more to say; at the client with the trailers."""

    stream: int
    trailers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Broken:
    """The stream is over: reset by the peer, or for what it sent."""

    stream: int
    code: int
    reason: str


@dataclass(frozen=True, slots=True)
class GoAway:
    """The peer takes no stream after ``last``; it goes on with the others."""

    last: int
    code: int


Event = Opened | Received | Ended | Broken | GoAway


class PendingWrite(Protocol):
    """Bytes that were handed to the connection."""

    @property
    def fully_sent(self) -> bool:
        """All of them were given to the system."""


class OutgoingMessage:
    """One message on its way out; ``chunks`` are the parts that were handed to the connection."""

    __slots__ = ("chunks", "data", "offset")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0
        self.chunks: list[PendingWrite] = []

    @property
    def fully_sent(self) -> bool:
        """All of it was given to the system: the peer may have it."""
        return self.offset == len(self.data) and all(chunk.fully_sent for chunk in self.chunks)


class _Stream:
    __slots__ = ("consumed", "ended", "framer", "queue", "queued", "talking", "trailers")

    def __init__(self) -> None:
        self.consumed = 0  # bytes of DATA frames read here since the window was opened
        self.talking = False  # the peer's headers have come, and it has not ended
        self.ended = False  # this side has
        self.framer = Framer()
        self.queue: deque[OutgoingMessage] = deque()
        self.queued = 0
        self.trailers: list[tuple[str, str]] | None = None


class Http2:
    """One connection's state. Bytes go out by ``emit``, which says what became of them."""

    def __init__(self, client: bool, emit: Callable[[bytes], PendingWrite]) -> None:
        self.client, self._emit = client, emit
        config = h2.config.H2Configuration(client_side=client, header_encoding="utf-8")
        self._h2 = h2.connection.H2Connection(config)
        self._streams: dict[int, _Stream] = {}
        self._buffer = b""  # input that is not yet a whole frame
        self._preface = 0 if client else _PREFACE
        self._last_seen = 0
        self._consumed = 0  # on the whole connection
        self.peer_settings_received = False  # the peer's SETTINGS came: it speaks HTTP/2
        self._h2.local_settings[SettingCodes.MAX_CONCURRENT_STREAMS] = MAX_CONCURRENT_STREAMS
        self._h2.initiate_connection()
        self._flush()

    @property
    def streams(self) -> int:
        """How many are open."""
        return len(self._streams)

    def call(self, headers: list[tuple[str, str]]) -> int:
        """Open a stream as a client."""
        stream = self._h2.get_next_available_stream_id()
        self._h2.send_headers(stream, headers)
        self._streams[stream] = _Stream()
        self._flush()
        return stream

    def respond(self, stream: int, headers: list[tuple[str, str]], end: bool = False) -> None:
        """Send headers as a server; with ``end`` they are all there is."""
        if stream in self._streams:
            self._h2.send_headers(stream, headers, end_stream=end)
            if end:
                self._done(stream)
            self._flush()

    def send(self, stream: int, data: bytes) -> OutgoingMessage:
        """Queue a message; it goes out as far as flow control lets it."""
        message = OutgoingMessage(data)
        state = self._streams.get(stream)
        if state is not None and state.trailers is None and not state.ended:
            state.queue.append(message)
            state.queued += len(data)
            self._pump(stream)
            if state.queued > MAX_QUEUED_BYTES:
                self.reset(stream, int(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM))
        return message

    def retract(self, stream: int, message: OutgoingMessage) -> bool:
        """Call a message back; only one of which nothing was handed over."""
        state = self._streams.get(stream)
        if message.offset or state is None or message not in state.queue:
            return False
        state.queue.remove(message)
        state.queued -= len(message.data)
        return True

    def finish(self, stream: int, trailers: list[tuple[str, str]]) -> None:
        """End the stream behind what is queued; a client ends with no trailers."""
        state = self._streams.get(stream)
        if state is not None and state.trailers is None:
            state.trailers = trailers
            self._pump(stream)

    def reset(self, stream: int, code: int = CANCEL) -> None:
        """RST_STREAM."""
        if self._streams.pop(stream, None) is not None:
            try:
                self._h2.reset_stream(stream, code)
            except h2.exceptions.ProtocolError:
                return  # it is closed already
            self._flush()

    def close(self) -> None:
        """The connection is over: nothing more is sent."""
        self._streams.clear()

    def ping(self) -> None:
        """Ask for any byte at all."""
        self._h2.ping(b"thornshf")
        self._flush()

    def go_away(self) -> None:
        """Take no new streams; those that are open go on, which h2's own close would not allow."""
        frame = GoAwayFrame(0, last_stream_id=self._last_seen, error_code=0)
        self._emit(frame.serialize())

    @property
    def mid_message(self) -> bool:
        """A frame, or a message on some stream, has begun and not ended."""
        return bool(self._buffer) or any(one.framer.mid_message for one in self._streams.values())

    @property
    def has_buffered_frame(self) -> bool:
        """A whole frame is held that ``receive`` left for the next time."""
        return self._whole() > 0

    def receive(self, data: bytes, max_frames: int = MAX_FRAMES) -> list[Event]:
        """Take bytes of the connection, and ``most`` frames at once; a broken frame ends it by an error."""
        events: list[Event] = []
        self._buffer += data
        while max_frames > 0 and (piece := self._piece()) is not None:
            max_frames -= 1
            if not self._preface and piece[3:4] == bytes((_GOAWAY,)):
                # h2 closes the whole connection on this, but the open streams are to go on.
                if len(piece) < 17:
                    raise WireError("GOAWAY frame breaks off", fatal=True)
                last = int.from_bytes(piece[9:13], "big") & 0x7FFFFFFF
                events.append(GoAway(last, int.from_bytes(piece[13:17], "big")))
                continue
            if not self._preface and piece[3] == _DATA and not piece[4] & (_END_STREAM | _PADDED):
                stream = int.from_bytes(piece[5:9], "big") & 0x7FFFFFFF
                if (open_one := self._streams.get(stream)) is not None and open_one.talking:
                    self._read(stream, open_one, piece[9:], events)
                    continue
                if open_one is None and 0 < stream <= self._last_seen and stream % 2:
                    # What was under way as the stream ended here counts towards the connection's window alone
                    # (RFC 9113, section 5.1). h2 would answer each such frame.
                    self._used(len(piece) - 9)
                    continue
            self._preface = 0
            try:
                told = self._h2.receive_data(piece)
            except (h2.exceptions.ProtocolError, ValueError) as fault:
                self._flush()  # h2 has its word to the peer ready
                self.close()
                raise WireError(f"no HTTP/2: {type(fault).__name__} {fault}", fatal=True) from None
            for event in told:
                self._take(event, events)
        for stream, state in list(self._streams.items()):
            if state.queue or state.trailers is not None:
                self._pump(stream)
        self._flush()
        return events

    def _piece(self) -> bytes | None:
        """The preface, or the next whole frame."""
        length = self._whole()
        if not length:
            return None
        piece, self._buffer = self._buffer[:length], self._buffer[length:]
        return piece

    def _whole(self) -> int:
        """The length of the whole piece that is held next; 0 for none."""
        length = self._preface
        if not length:
            if len(self._buffer) < 9:
                return 0
            length = 9 + int.from_bytes(self._buffer[:3], "big")
            if length > 9 + self._h2.max_inbound_frame_size:
                raise WireError("frame is too long", fatal=True)
        return length if len(self._buffer) >= length else 0

    def _take(self, event: h2.events.Event, events: list[Event]) -> None:
        match event:
            case h2.events.RequestReceived(stream_id=stream, headers=headers):
                opened = self._streams[stream] = _Stream()
                opened.talking = True
                self._last_seen = max(self._last_seen, stream)
                events.append(Opened(stream, _texts(headers)))
            case h2.events.ResponseReceived(stream_id=stream, headers=headers):
                if (state := self._streams.get(stream)) is not None:
                    state.talking = True
                events.append(Opened(stream, _texts(headers)))
            case h2.events.DataReceived(stream_id=stream, data=data, flow_controlled_length=length):
                if length:
                    self._h2.acknowledge_received_data(length, stream)
                if (state := self._streams.get(stream)) is not None:
                    self._messages(stream, state, data, events)
            case h2.events.TrailersReceived(stream_id=stream, headers=headers):
                events.append(Ended(stream, _texts(headers)))
            case h2.events.StreamEnded(stream_id=stream):
                state = self._streams.get(stream)
                if state is not None:
                    state.talking = False
                if state is not None and state.framer.mid_message:
                    self.reset(stream)
                    events.append(Broken(stream, CANCEL, "ended within a message"))
                elif not (events and isinstance(events[-1], Ended) and events[-1].stream == stream):
                    events.append(Ended(stream, {}))
                if self.client:
                    self.reset(stream)  # where this side has not ended, nobody listens to it any more
            case h2.events.StreamReset(stream_id=stream, error_code=code):
                self._streams.pop(stream, None)
                events.append(Broken(stream, int(code), "reset by the peer"))
            case h2.events.RemoteSettingsChanged():
                self.peer_settings_received = True
            case _:
                pass  # windows and pings are h2's own business

    def _read(self, stream: int, state: _Stream, data: bytes, events: list[Event]) -> None:
        """A DATA frame; the peer's windows are opened again when enough of them is used up."""
        state.consumed += len(data)
        self._used(len(data))
        step = min(_CONSUMED, self._h2.local_settings.initial_window_size // 4)
        if state.consumed >= step:
            self._emit(WindowUpdateFrame(stream, window_increment=state.consumed).serialize())
            state.consumed = 0
        self._messages(stream, state, data, events)

    def _used(self, count: int) -> None:
        """So much of the connection's window was used up by the peer, and is free again."""
        self._consumed += count
        if self._consumed >= _CONSUMED:
            self._emit(WindowUpdateFrame(0, window_increment=self._consumed).serialize())
            self._consumed = 0

    def _messages(self, stream: int, state: _Stream, data: bytes, events: list[Event]) -> None:
        state.framer.feed(data)
        try:
            while (message := state.framer.next()) is not None:
                events.append(Received(stream, message))
        except WireError as fault:
            self.reset(stream)
            events.append(Broken(stream, CANCEL, str(fault)))

    def _pump(self, stream: int) -> None:
        """Hand over what the windows allow."""
        try:
            self._hand_over(stream)
        except h2.exceptions.ProtocolError:  # closed by the peer in this very input
            self._done(stream)

    def _hand_over(self, stream: int) -> None:
        state = self._streams.get(stream)
        if state is None:
            return
        known = self._h2.streams.get(stream)
        if known is None:  # closed by the peer
            self._done(stream)
            return
        while state.queue:
            message = state.queue[0]
            room = min(
                self._h2.outbound_flow_control_window,
                known.outbound_flow_control_window,
                self._h2.max_outbound_frame_size,
            )
            size = min(room, len(message.data) - message.offset)
            if size <= 0:
                return
            part = message.data[message.offset : message.offset + size]
            known.outbound_flow_control_window -= size
            self._h2.outbound_flow_control_window -= size
            message.offset += size
            state.queued -= size
            self._flush()
            head = size.to_bytes(3, "big") + b"\0\0" + stream.to_bytes(4, "big")
            message.chunks.append(self._emit(head + part))
            if message.offset == len(message.data):
                state.queue.popleft()
        if state.trailers is not None:
            if state.trailers:
                self._h2.send_headers(stream, state.trailers, end_stream=True)
                self._done(stream)
            else:
                self._h2.end_stream(stream)
                state.trailers, state.ended = None, True
            self._flush()

    def _done(self, stream: int) -> None:
        self._streams.pop(stream, None)

    def _flush(self) -> None:
        if data := self._h2.data_to_send():
            self._emit(data)


def rejection_frames() -> bytes:
    """All that a server says to a client that is turned away: SETTINGS, and GOAWAY with ENHANCE_YOUR_CALM."""
    calm = int(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
    return SettingsFrame(0).serialize() + GoAwayFrame(0, last_stream_id=0, error_code=calm).serialize()


def _texts(headers: object) -> dict[str, str]:
    """Headers by name; the first of equals counts."""
    texts: dict[str, str] = {}
    for name, value in headers or ():  # type: ignore[attr-defined]
        texts.setdefault(str(name), str(value))
    return texts
