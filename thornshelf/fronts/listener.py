"""A listening socket within a budget of descriptors."""

from __future__ import annotations

import errno
import socket
from collections import deque
from collections.abc import Callable, Generator, Iterable
from typing import Protocol

from thornshelf.loop import Loop, Stream, Task, Wait
from thornshelf.loop.loop import IN

BACKLOG = 1024
BATCH = 64  # accepted in one turn, so that a flood of connections leaves time for tasks
RESTING_US = 100_000  # a connection is not closed so soon after something was sent on it
SPARES = 32  # idle connections that are looked for at once
PAUSE_US = 20_000  # after the table of descriptors was full
FIRST_US = 2_000_000  # a connection is given so long for its first whole message
REST_US = 2_000_000  # and a message that has begun so long for its end


class Budget:
    """How many client connections may be open at once, over all fronts."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.used = 0


class Client(Protocol):
    """A client's connection, as far as it may have to make room."""

    @property
    def stream(self) -> Stream:
        """Its bytes."""

    @property
    def idle(self) -> bool:
        """It is open, has no open set-up and nothing on its way: closing it costs its client no answer."""

    @property
    def worth(self) -> int:
        """Of idle ones that of least worth goes first."""


def resting(stream: Stream) -> bool:
    """Nothing is on its way to the client.

    Guards against a release that is lost: a connection closed with unread input is reset, and what was sent
    just before may never be read.
    """
    return not stream.unsent and stream.loop.now - stream.sent_us >= RESTING_US


class Spares:
    """Idle connections, in the order in which they are closed to make room.

    Guards against looking through all of them for each connection of a flood: a few are found at once.
    """

    def __init__(self, clients: Iterable[Client]) -> None:
        self._clients = clients  # in the order of their last set-ups
        self._found: deque[Client] = deque()

    def close_one(self) -> bool:
        """Close one; false where none is idle."""
        for again in (True, False):
            while self._found:
                one = self._found.popleft()
                if one.idle:  # and still open: one that was closed this turn makes no second room
                    one.stream.close()
                    return True
            if again:
                idle = [one for one in self._clients if one.idle]
                self._found.extend(sorted(idle, key=lambda one: one.worth)[:SPARES])
        return False


class Listener:
    """Accepts while the budget lasts; where it is used up, ``make_room`` may close an idle connection."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        budget: Budget,
        serve: Callable[[Stream], Generator[Wait, int, None]],
        make_room: Callable[[], bool],
    ) -> None:
        self.loop, self.budget = loop, budget
        self._serve, self._make_room = serve, make_room
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(address)
        except OSError:
            self.sock.close()
            raise
        self.sock.listen(BACKLOG)
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        self._task: Task = loop.spawn(self._accept())

    def close(self) -> None:
        """Take no more connections."""
        if self.sock.fileno() >= 0:
            self.loop.forget(self.sock.fileno())
            self.loop.cancel(self._task)
            self.sock.close()

    def _accept(self) -> Generator[Wait, int, None]:
        fd = self.sock.fileno()
        while True:
            yield Wait(fd, IN)
            for _ in range(BATCH):
                try:
                    sock, peer = self.sock.accept()
                except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                    break
                except OSError as fault:
                    # Guards against a listener that ends for good on a fault that passes.
                    if fault.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        self._make_room()
                    yield Wait(until=self.loop.now + PAUSE_US)
                    break
                try:
                    stream = Stream(self.loop, sock, str(peer[0]))
                except OSError:  # reset before it was looked at
                    sock.close()
                    continue
                self.budget.used += 1
                stream.on_close = self._closed
                self.loop.spawn(self._run(stream))
                if self.budget.used > self.budget.most and not self._make_room():
                    # Guards against a full descriptor table: those that wait stay in the backlog.
                    while self.budget.used > self.budget.most and not self._make_room():
                        yield Wait(until=self.loop.now + PAUSE_US)
                    break

    def _run(self, stream: Stream) -> Generator[Wait, int, None]:
        try:
            yield from self._serve(stream)
        finally:
            stream.close()

    def _closed(self) -> None:
        self.budget.used -= 1
