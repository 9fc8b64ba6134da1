"""Buffered non-blocking streams, bounded in both directions.

A buffered message can be withdrawn until its first byte is written.
"""

from __future__ import annotations

import errno
import select
import socket
from collections import deque
from collections.abc import Callable, Generator
from typing import Any

from thornshelf.loop.loop import IN, OUT, Loop, Task, Wait

READ_SIZE = 64 * 1024
READ_PAUSE_BYTES = 256 * 1024  # with more unsent data than this, nothing is read from the peer
MAX_BUFFERED_BYTES = 1024 * 1024  # with more unsent data than this, the connection is closed
_MAX_BUFFERS_PER_WRITE = 64  # passed to one call of sendmsg


class Chunk:
    """One message to be sent, and how many of its bytes were written."""

    __slots__ = ("data", "sent")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.sent = 0

    @property
    def fully_sent(self) -> bool:
        """Whether all of it was written to the operating system, so that the peer may have it."""
        return self.sent == len(self.data)


class Stream:
    """A connected socket with a buffer of messages to be sent.

    ``open``: false once the stream was closed. ``buffered_bytes``: how many bytes are still to be written.
    ``last_send_us``: when a message was last buffered, on the loop's clock. ``peer_closed``: the peer has closed its
    side, though earlier data from it may still be unread. ``on_close``: called once, when the stream is closed.
    ``admission_permit``: used by the admission filter alone.
    """

    def __init__(self, loop: Loop, sock: socket.socket, peer: str) -> None:
        self.loop = loop
        self.sock = sock
        self.peer = peer
        self.fd = sock.fileno()
        self.open = True
        self.buffered_bytes = 0
        self._out: deque[Chunk] = deque()
        self._writer: Task | None = None
        self._flush_scheduled = False
        self._ending = False
        self.on_close: Callable[[], None] | None = None
        self.admission_permit: Any = None
        self.last_send_us = 0
        self.peer_closed = False
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> Chunk:
        """Append a message to the buffer, to be written at the end of the turn.

        Closes the stream if more than ``MAX_BUFFERED_BYTES`` are buffered. On a closed or ending stream, the message
        is dropped.
        """
        chunk = Chunk(data)
        if self.open and not self._ending:
            self._out.append(chunk)
            self.last_send_us = self.loop.now
            self.buffered_bytes += len(data)
            if self.buffered_bytes > MAX_BUFFERED_BYTES:
                self.close()
            elif not self._flush_scheduled and self._writer is None:
                self._flush_scheduled = True
                self.loop.call_at_turn_end(self.flush)
        return chunk

    def retract(self, chunk: Chunk) -> bool:
        """Remove a message from the buffer; returns False if any byte of it was written."""
        if chunk.sent == 0 and chunk in self._out:
            self._out.remove(chunk)
            self.buffered_bytes -= len(chunk.data)
            return True
        return False

    def mark_peer_closed(self) -> None:
        """Record that the peer has closed its side."""
        self.peer_closed = True

    @property
    def has_unread_input(self) -> bool:
        """Whether data or the end of the input waits to be read."""
        poll = select.poll()
        poll.register(self.fd, select.POLLIN)
        return self.open and bool(poll.poll(0))

    def read(self, until: int | None = None) -> Generator[Wait, int, bytes | None]:
        """Read the next bytes, waiting until the time ``until`` at the latest.

        Returns no bytes if the peer has closed its side or the connection has failed, and None if the time ran out.
        """
        while self.open:
            while self.buffered_bytes > READ_PAUSE_BYTES and self.open:  # back-pressure
                yield Wait(until=self.loop.now + 10_000)
            if not self.open:
                break
            if not (yield Wait(self.fd, IN, until)):
                if not self.open:
                    break
                return None
            if not self.open:
                break
            try:
                return self.sock.recv(READ_SIZE)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError:
                break
        return b""

    def flush(self) -> None:
        """Write as much as the operating system accepts; a coroutine writes the rest later."""
        self._flush_scheduled = False
        if self.open and self._writer is None and not self._write() and self.open:
            self._writer = self.loop.spawn(self._drain())

    def end(self) -> None:
        """Close the stream once all buffered messages were written; accept no further ones."""
        self._ending = True
        if not self._out:
            self.close()

    def close(self) -> None:
        """Close the stream at once and discard the buffered messages."""
        if self.open:
            self.open = False
            self.loop.unregister(self.fd)
            self.sock.close()
            if self.on_close is not None:
                self.on_close()

    def _drain(self) -> Generator[Wait, int, None]:
        """Wait until the socket is writable, and schedule a flush for the end of that turn.

        Writing only then lets the turn's input withdraw a message that is still buffered.
        """
        try:
            yield Wait(self.fd, OUT)
        finally:
            self._writer = None
        if self.open and not self._flush_scheduled:
            self._flush_scheduled = True
            self.loop.call_at_turn_end(self.flush)

    def _write(self) -> bool:
        """Write to the socket until it accepts no more; returns whether the buffer is empty."""
        while self._out:
            first = self._out[0]
            parts = [memoryview(first.data)[first.sent :]]
            for count, chunk in enumerate(self._out):
                if 0 < count < _MAX_BUFFERS_PER_WRITE:
                    parts.append(memoryview(chunk.data))
                elif count:
                    break
            try:
                sent = self.sock.sendmsg(parts)
            except (BlockingIOError, InterruptedError):
                return False
            except OSError:
                # The reader detects the failed connection. It must not pause for bytes that are never written.
                self._out.clear()
                self.buffered_bytes = 0
                if self._ending:
                    self.close()
                return True
            self.buffered_bytes -= sent
            while sent:
                first = self._out[0]
                taken = min(sent, len(first.data) - first.sent)
                first.sent += taken
                sent -= taken
                if first.fully_sent:
                    self._out.popleft()
        if self._ending:
            self.close()
        return True


def connect(loop: Loop, host: str, port: int, until: int | None) -> Generator[Wait, int, Stream | int]:
    """Open a TCP connection; returns its stream, or the errno of the failure.

    ``until``: give up at this time, with ETIMEDOUT. Of the errors, only ECONNREFUSED is an answer of the peer; a lack
    of descriptors, for example, proves nothing about it.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        return error.errno or errno.EIO
    sock.setblocking(False)
    try:
        fd, code = sock.fileno(), sock.connect_ex((host, port))
    except (OSError, UnicodeError) as error:  # the host name is unknown or malformed
        sock.close()
        return getattr(error, "errno", None) or errno.EIO
    try:
        if code == errno.EINPROGRESS:
            code = errno.ETIMEDOUT
            if (yield Wait(fd, OUT, until)):
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    finally:
        loop.unregister(fd)
        if code:
            sock.close()
    return code or Stream(loop, sock, f"{host}:{port}")
