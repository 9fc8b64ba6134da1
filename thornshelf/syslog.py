"""A log of RFC 5424 lines, written to standard output or sent to a collector.

Logging never blocks: lines that can't be written yet wait in a bounded buffer, and are dropped while it is full.
"""

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
MAX_TEXT_CHARS = 2048  # longer texts and values are cut
MAX_LINES_PER_SECOND = 50  # for each message id, as invalid input may arrive in large numbers
MAX_COLLECTOR_BUFFER_BYTES = 64 * 1024  # in a collector's stream; further lines stay in the log's own buffer
FLUSH_RETRY_US = 20_000
CONNECT_TIMEOUT_US = 1_000_000
RECONNECT_US = 500_000
STDOUT = 1


class Sink(Protocol):
    """A destination of log lines."""

    def write(self, lines: deque[bytes]) -> int:
        """Remove lines from the front and write them while that doesn't block; returns how many were lost."""


class StandardOutput:
    """Writes lines to standard output, each followed by a newline."""

    def __init__(self) -> None:
        self._unwritten = b""
        os.set_blocking(STDOUT, False)

    def write(self, lines: deque[bytes]) -> int:
        """Write as much as standard output accepts; if its reader has closed it, the lines are discarded."""
        while lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = b"".join(line + b"\n" for line in lines)
                lines.clear()
            try:
                written = os.write(STDOUT, self._unwritten)
            except BlockingIOError:
                lines.appendleft(self._unwritten[:-1])
                self._unwritten = b""
                break
            except OSError:  # the reader has closed the pipe
                written = len(self._unwritten)
            self._unwritten = self._unwritten[written:]
        return 0


class UdpCollector:
    """Sends each line to a collector as a UDP datagram (RFC 5426)."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.connect(address)

    def write(self, lines: deque[bytes]) -> int:
        """Send the lines; returns how many the operating system did not accept."""
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
    """Sends length-prefixed lines to a collector on a TCP connection (RFC 6587), and reconnects when it breaks."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self._loop = loop
        self._address = address
        self._stream: Stream | None = None
        loop.spawn(self._run())

    def write(self, lines: deque[bytes]) -> int:
        """Send lines while the stream's buffer is small enough; without a connection, all of them stay."""
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
            stream = yield from connect(self._loop, *self._address, self._loop.now + CONNECT_TIMEOUT_US)
            if isinstance(stream, Stream):
                self._stream = stream
                try:
                    while (
                        yield from stream.read()
                    ):  # input is discarded; its end means that the connection broke
                        pass
                finally:
                    self._stream = None
                    stream.close()
            yield Wait(until=self._loop.now + RECONNECT_US)


class Syslog:
    """Formats log lines, and buffers them until the sink accepts them.

    ``on_line`` is called with the time, fields and text of each line, even if the line is then left out or dropped.
    """

    def __init__(
        self,
        loop: Loop,
        host: str,
        app: str,
        unix_offset_us: int,
        collector: tuple[str, tuple[str, int]] | None = None,
    ) -> None:
        self.loop = loop
        self.host = host
        self.app = app
        self.on_line: Callable[[int, Mapping[str, object], str], None] | None = None
        self._unix_offset_us = unix_offset_us
        self._process_id = os.getpid()
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped_lines = 0
        self._flush_scheduled = False
        self._current_second = 0
        self._lines_by_id: dict[str, int] = {}  # how many lines were logged in the current second
        self._sink: Sink
        if collector is None:
            self._sink = StandardOutput()
        elif collector[0] == "udp":
            self._sink = UdpCollector(collector[1])
        else:
            self._sink = TcpCollector(loop, collector[1])

    def __call__(self, severity: int, message_id: str, values: Mapping[str, object], text: str) -> None:
        """Log one line with an RFC 5424 severity; ``values`` are its structured data.

        A line is left out if its message id was used too often in this second, and dropped if the buffer is full.
        """
        if self.on_line is not None:
            self.on_line(self.loop.now, values, text)
        if self.loop.now // 1_000_000 != self._current_second:
            self._begin_second()
        count = self._lines_by_id.get(message_id, 0) + 1
        self._lines_by_id[message_id] = count
        if count > MAX_LINES_PER_SECOND:
            return
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        line = rfc5424.format_line(
            severity,
            self.loop.now + self._unix_offset_us,
            self.host,
            self.app,
            self._process_id,
            message_id,
            {name: str(value)[:MAX_TEXT_CHARS] for name, value in values.items()},
            text[:MAX_TEXT_CHARS],
        )
        self._buffered.append(line)
        self._buffered_bytes += len(line)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.loop.call_at_turn_end(self.flush)

    def _begin_second(self) -> None:
        """Reset the line counts, and log for each message id how many lines of the last second were left out."""
        last_second = self._lines_by_id
        self._current_second = self.loop.now // 1_000_000
        self._lines_by_id = {}
        for message_id, count in last_second.items():
            if count > MAX_LINES_PER_SECOND:
                fields = {"id": message_id, "left_out": count - MAX_LINES_PER_SECOND}
                self(rfc5424.WARNING, "log", fields, "rate limit exceeded, lines were left out")

    def flush(self) -> None:
        """Write what the sink accepts, and schedule another flush for the rest."""
        self._flush_scheduled = True  # a line that is logged below must not schedule another flush
        self._dropped_lines += self._sink.write(self._buffered)
        self._buffered_bytes = sum(map(len, self._buffered))
        if self._dropped_lines and self._buffered_bytes < MAX_BUFFERED_BYTES // 2:
            dropped = self._dropped_lines
            self._dropped_lines = 0
            self(rfc5424.WARNING, "log", {"dropped": dropped}, "buffer was full, lines were dropped")
        self._flush_scheduled = bool(self._buffered)
        if self._buffered:
            self.loop.call_later(FLUSH_RETRY_US, self.flush)
