"""One log of RFC 5424 lines, to standard output or a collector; it never blocks and drops what won't go."""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Callable, Generator, Mapping
from typing import Protocol

from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.stream import connect
from thornshelf.wire import rfc5424

MAX_BUFFERED_BYTES = 256 * 1024
MAX_TEXT_CHARS = 2048  # characters of one line's text, and of one value
MAX_LINES_PER_SECOND = 50  # lines under one message id: bad input may come by the thousand
MAX_COLLECTOR_BUFFER_BYTES = 64 * 1024  # handed to a collector's connection; the rest is held here
RETRY_US = 20_000
CONNECT_US = 1_000_000
RECONNECT_US = 500_000
STDOUT = 1


class Sink(Protocol):
    """Where lines go."""

    def write(self, lines: deque[bytes]) -> int:
        """Take lines from the front while that doesn't block; gives the number of those lost."""


class StandardOutput:
    """A line each."""

    def __init__(self) -> None:
        self._rest = b""
        os.set_blocking(STDOUT, False)

    def write(self, lines: deque[bytes]) -> int:
        """Write what the pipe holds."""
        while lines or self._rest:
            if not self._rest:
                self._rest = b"".join(line + b"\n" for line in lines)
                lines.clear()
            try:
                written = os.write(STDOUT, self._rest)
            except BlockingIOError:
                lines.appendleft(self._rest[:-1])
                self._rest = b""
                break
            except OSError:  # nobody reads the log any more
                written = len(self._rest)
            self._rest = self._rest[written:]
        return 0


class UdpCollector:
    """A datagram each, after RFC 5426."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.connect(address)

    def write(self, lines: deque[bytes]) -> int:
        """Send them; one that is refused is lost."""
        lost = 0
        while lines:
            try:
                self._sock.send(lines[0])
            except BlockingIOError:
                break
            except OSError:
                lost += 1
            lines.popleft()
        return lost


class TcpCollector:
    """A stream with counted lines, after RFC 6587; made anew when it breaks."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self._loop, self._address = loop, address
        self._stream: Stream | None = None
        loop.spawn(self._run())

    def write(self, lines: deque[bytes]) -> int:
        """Hand over what the connection takes."""
        stream = self._stream
        while (
            lines
            and stream is not None
            and stream.open
            and stream.buffered_bytes < MAX_COLLECTOR_BUFFER_BYTES
        ):
            line = lines.popleft()
            stream.send(b"%d %s" % (len(line), line))
        if stream is not None:
            stream.flush()
        return 0

    def _run(self) -> Generator[Wait, int, None]:
        while True:
            stream = yield from connect(self._loop, *self._address, self._loop.now + CONNECT_US)
            if isinstance(stream, Stream):
                self._stream = stream
                try:
                    while (yield from stream.read()):  # a collector says nothing
                        pass
                finally:
                    self._stream = None
                    stream.close()
            yield Wait(until=self._loop.now + RECONNECT_US)


class Syslog:
    """Formats lines and holds them until their sink takes them."""

    def __init__(
        self,
        loop: Loop,
        host: str,
        app: str,
        unix_offset_us: int,
        collector: tuple[str, tuple[str, int]] | None = None,
    ) -> None:
        self.loop, self.host, self.app = loop, host, app
        self._offset, self._process = unix_offset_us, os.getpid()
        self._buffered: deque[bytes] = deque()
        self._size = self._dropped = 0
        self._waiting = False
        self._second = 0
        self._lines: dict[str, int] = {}  # in this second, by message id
        # Told of each line, also of those that a flood leaves out.
        self.on_line: Callable[[int, Mapping[str, object], str], None] | None = None
        self._sink: Sink
        if collector is None:
            self._sink = StandardOutput()
        elif collector[0] == "udp":
            self._sink = UdpCollector(collector[1])
        else:
            self._sink = TcpCollector(loop, collector[1])

    def __call__(self, severity: int, message_id: str, values: Mapping[str, object], text: str) -> None:
        """One line."""
        if self.on_line is not None:
            self.on_line(self.loop.now, values, text)
        if self.loop.now // 1_000_000 != self._second:
            self._second, lines, self._lines = self.loop.now // 1_000_000, self._lines, {}
            for name, count in lines.items():
                if count > MAX_LINES_PER_SECOND:
                    self(
                        rfc5424.WARNING,
                        "log",
                        {"id": name, "left_out": count - MAX_LINES_PER_SECOND},
                        "too many lines",
                    )
        count = self._lines[message_id] = self._lines.get(message_id, 0) + 1
        if count > MAX_LINES_PER_SECOND:
            return
        if self._size > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        values = {name: str(value)[:MAX_TEXT_CHARS] for name, value in values.items()}
        at, text = self.loop.now + self._offset, text[:MAX_TEXT_CHARS]
        line = rfc5424.format_line(severity, at, self.host, self.app, self._process, message_id, values, text)
        self._buffered.append(line)
        self._size += len(line)
        if not self._waiting:
            self._waiting = True
            self.loop.at_turn_end(self.flush)

    def flush(self) -> None:
        """Hand over what the sink takes; the rest a little later."""
        self._waiting = True  # no second call
        self._dropped += self._sink.write(self._buffered)
        self._size = sum(map(len, self._buffered))
        if self._dropped and self._size < MAX_BUFFERED_BYTES // 2:
            dropped, self._dropped = self._dropped, 0
            self(rfc5424.WARNING, "log", {"dropped": dropped}, "lines were dropped")
        self._waiting = bool(self._buffered)
        if self._buffered:
            self.loop.after(RETRY_US, self.flush)
