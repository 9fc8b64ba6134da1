"""Buffered non-blocking TCP streams, bounded in both directions; a message can be withdrawn until a byte is sent."""

from __future__ import annotations

import errno
import select
import socket
from collections import deque
from collections.abc import Callable, Generator
from typing import Any

from thornshelf.loop.loop import IN, OUT, Loop, Task, Wait

READ_SIZE = 64 * 1024
READ_PAUSE_BYTES = 256 * 1024  # with so much buffered, a peer that doesn't read is not read from either
MAX_BUFFERED_BYTES = 1024 * 1024  # with so much buffered, the connection is closed
_MAX_BUFFERS_PER_WRITE = 64  # in one call of sendmsg


class Chunk:
    """One message on its way out."""

    __slots__ = ("data", "sent")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.sent = 0

    @property
    def fully_sent(self) -> bool:
        """Whether all of it was given to the operating system, so that the peer may have it."""
        return self.sent == len(self.data)


class Stream:
    """A connected socket with its buffer of messages to be sent.

    ``buffered_bytes``: what is still to be sent. ``last_send_us``: when a message was buffered last, on the loop's
    clock. ``peer_closed``: the peer has closed its side, though what it sent before may still be unread.
    ``on_close``: called once the stream is closed. ``admission_permit``: belongs to the admission filter.
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
        """Buffer a message behind the others; it is written at the end of the turn."""
        chunk = Chunk(data)
        if self.open and not self._ending:
            self._out.append(chunk)
            self.last_send_us = self.loop.now
            self.buffered_bytes += len(data)
            if self.buffered_bytes > MAX_BUFFERED_BYTES:
                self.close()
            elif not self._flush_scheduled and self._writer is None:
                self._flush_scheduled = True
                self.loop.at_turn_end(self.flush)
        return chunk

    def retract(self, chunk: Chunk) -> bool:
        """Remove a message from the buffer; False where some byte of it was written."""
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
        """Whether bytes, or the end of them, wait to be read."""
        poll = select.poll()
        poll.register(self.fd, select.POLLIN)
        return self.open and bool(poll.poll(0))

    def read(self, until: int | None = None) -> Generator[Wait, int, bytes | None]:
        """The next bytes; empty where the peer ended or the connection broke, None where time ran out."""
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
        """Write what the operating system accepts; a coroutine waits for the rest."""
        self._flush_scheduled = False
        if self.open and self._writer is None and not self._write() and self.open:
            self._writer = self.loop.spawn(self._drain())

    def end(self) -> None:
        """Close once all that is buffered has been written."""
        self._ending = True
        if not self._out:
            self.close()

    def close(self) -> None:
        """Close at once; what is still buffered is lost."""
        if self.open:
            self.open = False
            self.loop.unregister(self.fd)
            self.sock.close()
            if self.on_close is not None:
                self.on_close()

    def _drain(self) -> Generator[Wait, int, None]:
        """Write on once the socket accepts more, at the end of that turn.

        Guards against an attempt that is sent in the very turn that withdraws it: all input is processed first.
        """
        try:
            yield Wait(self.fd, OUT)
        finally:
            self._writer = None
        if self.open and not self._flush_scheduled:
            self._flush_scheduled = True
            self.loop.at_turn_end(self.flush)

    def _write(self) -> bool:
        """Whether nothing is left to be written."""
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
                self._out.clear()  # the reader finds the broken connection, unless it waits for the buffer
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
    """A new connection, or the number of the error that prevented it: nothing has been sent then.

    Only ECONNREFUSED comes from the peer; a full table of descriptors, for example, shows nothing about the peer.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        return error.errno or errno.EIO
    sock.setblocking(False)
    try:
        fd, code = sock.fileno(), sock.connect_ex((host, port))
    except (OSError, UnicodeError) as error:  # the name is unknown or malformed
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
