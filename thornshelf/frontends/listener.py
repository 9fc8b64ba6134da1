"""A listening socket within a budget of descriptors."""

from __future__ import annotations

import errno
import socket
from collections import deque
from collections.abc import Callable, Generator, Iterable
from typing import TYPE_CHECKING, Protocol

from thornshelf.loop import Loop, Stream, Task, Wait
from thornshelf.loop.loop import IN
from thornshelf.loop.stream import READ_SIZE

if TYPE_CHECKING:
    from thornshelf.admission.controller import Decision
    from thornshelf.frontends.admission_filter import AdmissionFilter

BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 64  # accepted in one turn, so that a flood of connections leaves time for tasks
MIN_QUIET_US = 100_000  # a connection is not closed so soon after something was sent on it
EVICTION_BATCH_SIZE = 32  # idle connections that are looked for at once
ACCEPT_BACKOFF_US = 20_000  # after the table of descriptors was full
FIRST_MESSAGE_TIMEOUT_US = 2_000_000  # a connection is given so long for its first whole message
MESSAGE_TIMEOUT_US = 2_000_000  # and a message that has begun so long for its end


class ConnectionBudget:
    """How the connections of clients, over all fronts, and of nodes share the descriptors.

    ``total`` of them, ``floor`` of these for clients whatever the nodes need. ``nodes`` tells what these need, not
    what they hold just now: clients that came while a node was away would keep it away.
    """

    def __init__(self, total: int, client_floor: int, nodes_needed: Callable[[], int] = lambda: 0) -> None:
        self.total, self.client_floor, self._nodes_needed = total, client_floor, nodes_needed
        self.client_count = 0

    @property
    def max_clients(self) -> int:
        """Client connections that may be open now."""
        return max(self.client_floor, self.total - self._nodes_needed())

    @property
    def max_nodes(self) -> int:
        """Node connections that may be open now: clients beyond their floor hold only what nodes don't need."""
        return self.total - max(self.client_floor, min(self.client_count, self.total - self._nodes_needed()))


class EvictableClient(Protocol):
    """A client's connection, as far as it may have to make room."""

    @property
    def stream(self) -> Stream:
        """Its bytes."""

    @property
    def is_idle(self) -> bool:
        """It is open, has no open set-up and nothing on its way: closing it costs its client no answer."""

    @property
    def retention_rank(self) -> int:
        """Of idle ones that of least worth goes first."""


def is_quiescent(stream: Stream) -> bool:
    """Nothing is on its way to the client.

    Guards against a release that is lost: a connection closed with unread input is reset, and what was sent
    just before may never be read.
    """
    return not stream.buffered_bytes and stream.loop.now - stream.last_send_us >= MIN_QUIET_US


class IdleEvictor:
    """Idle connections, in the order in which they are closed to make room.

    Guards against looking through all of them for each connection of a flood: a few are found at once.
    """

    def __init__(self, clients: Iterable[EvictableClient]) -> None:
        self._clients = clients  # in the order of their last set-ups
        self._candidates: deque[EvictableClient] = deque()

    def evict_one(self) -> bool:
        """Close one; false where none is idle."""
        for again in (True, False):
            while self._candidates:
                one = self._candidates.popleft()
                # Still open: one that was closed this turn makes no second room. And nothing of it is unread: what
                # came before the close must not be reset.
                if one.is_idle and not one.stream.has_unread_input:
                    one.stream.close()
                    return True
            if again:
                idle = [one for one in self._clients if one.is_idle]
                self._candidates.extend(
                    sorted(idle, key=lambda one: one.retention_rank)[:EVICTION_BATCH_SIZE]
                )
        return False


FULL_RETRY_AFTER_US = 1_000_000


class _Full:
    """The verdict on those that come when the process can open nothing more."""

    admitted, reason, retry_after_us, replaces_idle = (
        False,
        "no descriptor is left",
        FULL_RETRY_AFTER_US,
        False,
    )


FULL: Decision = _Full()  # type: ignore[assignment]  # the door's modules are not loaded without a door


class Listener:
    """Accepts while the budget lasts; where it is used up, ``make_room`` may close an idle connection."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        budget: ConnectionBudget,
        serve: Callable[[Stream], Generator[Wait, int, None]],
        evict_idle: Callable[[], bool],
        admission_filter: AdmissionFilter | None = None,
        rejection_message: Callable[[Decision], bytes] | None = None,
        inherited: socket.socket | None = None,
    ) -> None:
        """``gate``: the door, where one is set up; ``farewell``: the front's words to one that is turned away;
        ``inherited``: a socket that listens already, handed over by a predecessor."""
        self.loop, self.budget, self.admission_filter = loop, budget, admission_filter
        self._serve, self._evict_idle, self._rejection_message = serve, evict_idle, rejection_message
        if inherited is not None:
            self.sock = inherited
        else:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                self.sock.bind(address)
            except OSError:
                self.sock.close()
                raise
            self.sock.listen(BACKLOG)
        if admission_filter is not None:
            admission_filter.descriptor_ledger.acquire("listeners")
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        self._task: Task = loop.spawn(self._accept())

    def close(self) -> None:
        """Take no more connections."""
        if self.sock.fileno() >= 0:
            self.loop.unregister(self.sock.fileno())
            self.loop.cancel(self._task)
            self.sock.close()

    def _accept(self) -> Generator[Wait, int, None]:
        fd = self.sock.fileno()
        while True:
            yield Wait(fd, IN)
            for _ in range(MAX_ACCEPTS_PER_TURN):
                try:
                    sock, peer = self.sock.accept()
                except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                    break
                except OSError as fault:
                    # Guards against a listener that ends for good on a fault that passes.
                    if fault.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        if self.admission_filter is not None and self._reject_next_when_full(
                            self.admission_filter
                        ):
                            continue
                        self._evict_idle()
                    yield Wait(until=self.loop.now + ACCEPT_BACKOFF_US)
                    break
                self._open_connection(sock, str(peer[0]))
                waited = False
                while self.budget.client_count > self.budget.max_clients:
                    # More than one may have to go: more nodes need connections now. And it guards against a full
                    # descriptor table: those that wait stay in the backlog.
                    if not self._evict_idle():
                        waited = True
                        yield Wait(until=self.loop.now + ACCEPT_BACKOFF_US)
                if waited:
                    break

    def drain_backlog(self) -> bool:
        """Take those that wait to be accepted, and then no more; false while there is no room for the next.

        Guards against a reset of what came in time: a listener that is closed drops those that wait.
        """
        self.loop.cancel(self._task)
        while self.sock.fileno() >= 0:
            if self.budget.client_count >= self.budget.max_clients and not self._evict_idle():
                return False
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                self.close()
            except ConnectionAbortedError:
                continue
            except OSError:
                return False
            else:
                self._open_connection(sock, str(peer[0]))
        return True

    def _open_connection(self, sock: socket.socket, peer: str) -> None:
        """Serve a connection, unless the door turns it away."""
        given = None
        if self.admission_filter is not None:
            verdict, given = self.admission_filter.admit_connection(peer)
            if given is None:
                self._reject(sock, verdict)
                return
        try:
            stream = Stream(self.loop, sock, peer)
        except OSError:  # reset before it was looked at
            sock.close()
            if self.admission_filter is not None and given is not None:
                self.admission_filter.release(given)
            return
        stream.admission_permit = given
        self.loop.on_peer_close(stream.fd, stream.mark_peer_closed)
        self.budget.client_count += 1
        stream.on_close = lambda: self._closed(stream)
        self.loop.spawn(self._run(stream))

    def _run(self, stream: Stream) -> Generator[Wait, int, None]:
        try:
            yield from self._serve(stream)
        finally:
            stream.close()

    def _closed(self, stream: Stream) -> None:
        self.budget.client_count -= 1
        if self.admission_filter is not None and stream.admission_permit is not None:
            self.admission_filter.release(stream.admission_permit)

    def _reject(self, sock: socket.socket, verdict: Decision) -> None:
        """A word where one can be said, and a close; never a wait."""
        try:
            sock.setblocking(False)
            if self._rejection_message is not None:
                sock.send(self._rejection_message(verdict))
            sock.shutdown(socket.SHUT_WR)
            sock.recv(READ_SIZE)  # a close with unread input would reset the connection, and the word with it
        except OSError:
            pass  # it is gone, or has nothing to say
        sock.close()

    def _reject_next_when_full(self, gate: AdmissionFilter) -> bool:
        """The process's table is full: use the spare descriptor to tell the next in line, and take it back.

        Guards against a listener that stays readable and is looked at in vain again and again: each turn some of
        those that wait are turned away instead.
        """
        if not gate.release_spare():
            return False
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return False
        else:
            self._reject(sock, FULL)
            return True
        finally:
            gate.reserve_spare()
