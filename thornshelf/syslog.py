"""One log of RFC 5424 lines, to standard output or a collector; it never blocks and drops what won't go."""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Mapping

from thornshelf.loop import Loop
from thornshelf.wire import rfc5424

MOST_HELD = 256 * 1024
RETRY_US = 20_000
STDOUT = 1


class Syslog:
    """Where log lines go."""

    def __init__(
        self, loop: Loop, host: str, app: str, unix_offset_us: int, collector: tuple[str, int] | None = None
    ) -> None:
        self.loop, self.host, self.app = loop, host, app
        self._offset, self._process = unix_offset_us, os.getpid()
        self._held: deque[bytes] = deque()
        self._size = self._dropped = 0
        self._waiting = False
        self._udp: socket.socket | None = None
        if collector is not None:  # datagrams, after RFC 5426
            self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._udp.setblocking(False)
            self._udp.connect(collector)
        else:
            os.set_blocking(STDOUT, False)

    def __call__(self, severity: int, message_id: str, values: Mapping[str, object], text: str) -> None:
        """One line."""
        at = self.loop.now + self._offset
        line = rfc5424.format_line(severity, at, self.host, self.app, self._process, message_id, values, text)
        if self._udp is not None:
            try:
                self._udp.send(line)
            except OSError:
                self._dropped += 1
            return
        if self._size > MOST_HELD:
            self._dropped += 1
            return
        self._held.append(line + b"\n")
        self._size += len(line) + 1
        if not self._waiting:
            self._waiting = True
            self.loop.at_turn_end(self.flush)

    def flush(self) -> None:
        """Write what standard output takes; the rest a little later."""
        self._waiting = False
        if self._dropped and self._size < MOST_HELD // 2:
            dropped, self._dropped = self._dropped, 0
            self._waiting = True  # no second call
            self(rfc5424.WARNING, "log", {"dropped": dropped}, "lines were dropped")
            self._waiting = False
        while self._held:
            data = b"".join(self._held)
            try:
                written = os.write(STDOUT, data)
            except BlockingIOError:
                self._waiting = True
                self.loop.after(RETRY_US, self.flush)
                return
            except OSError:  # nobody reads the log any more
                written = len(data)
            self._held.clear()
            self._size = len(data) - written
            if written < len(data):
                self._held.append(data[written:])
