"""A listening socket that accepts clients within a budget of file descriptors."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Generator
from typing import TYPE_CHECKING

from thornshelf.frontends.connection_budget import ConnectionBudget
from thornshelf.loop import Loop, Stream, Task, Wait
from thornshelf.loop.loop import IN
from thornshelf.loop.stream import READ_SIZE

if TYPE_CHECKING:
    from thornshelf.admission.controller import Decision
    from thornshelf.frontends.admission_filter import AdmissionFilter

BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 64  # so that a flood of connections leaves time for tasks
ACCEPT_BACKOFF_US = 20_000  # after the process ran out of descriptors
FIRST_MESSAGE_TIMEOUT_US = 2_000_000  # from the accepting of a connection to its first complete message
MESSAGE_TIMEOUT_US = 2_000_000  # from the beginning of a message to its end
FULL_RETRY_AFTER_US = 1_000_000
_DESCRIPTORS_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class _NoDescriptorLeft:
    """The decision on connections that come when the process can open no more descriptors."""

    admitted = False
    reason = "no file descriptor is left"
    retry_after_us = FULL_RETRY_AFTER_US
    replaces_idle = False


# Not a Decision by type: the modules of admission are not loaded where admission is not configured.
NO_DESCRIPTOR_LEFT: Decision = _NoDescriptorLeft()  # type: ignore[assignment]


class Listener:
    """Accepts connections while the budget lasts; beyond it, idle connections are evicted."""

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
        """Listen on ``address``, or on the socket ``inherited`` from a predecessor; raises OSError.

        ``serve``: the coroutine of one connection; ``evict_idle``: closes an idle connection, false where there is
        none; ``rejection_message``: what is sent on a connection that admission rejects.
        """
        self.loop = loop
        self.budget = budget
        self.admission_filter = admission_filter
        self._serve = serve
        self._evict_idle = evict_idle
        self._rejection_message = rejection_message
        self.sock = _listen(address) if inherited is None else inherited
        if admission_filter is not None:
            admission_filter.descriptor_ledger.acquire("listeners")
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        self._task: Task = loop.spawn(self._accept())

    def close(self) -> None:
        """Stop listening; does nothing where that was done already."""
        if self.sock.fileno() >= 0:
            self.loop.unregister(self.sock.fileno())
            self.loop.cancel(self._task)
            self.sock.close()

    def _accept(self) -> Generator[Wait, int, None]:
        """Accept connections until the listener is closed."""
        fd = self.sock.fileno()
        while True:
            yield Wait(fd, IN)
            for _ in range(MAX_ACCEPTS_PER_TURN):
                try:
                    sock, peer = self.sock.accept()
                except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                    break
                except OSError as error:
                    if self._handle_accept_error(error):
                        continue
                    # Such errors pass: the listener must not end with them.
                    yield Wait(until=self.loop.now + ACCEPT_BACKOFF_US)
                    break
                self._open_connection(sock, str(peer[0]))
                has_waited = False
                # Several connections may have to go, where nodes need more now. Without an idle one the next
                # connections stay in the backlog, so that the process does not run out of descriptors.
                while self.budget.client_count > self.budget.max_clients:
                    if not self._evict_idle():
                        has_waited = True
                        yield Wait(until=self.loop.now + ACCEPT_BACKOFF_US)
                if has_waited:
                    break

    def _handle_accept_error(self, error: OSError) -> bool:
        """Whether the next connection can be accepted at once; evicts an idle one where descriptors are exhausted."""
        if error.errno not in _DESCRIPTORS_EXHAUSTED:
            return False
        if self.admission_filter is not None and self._reject_next_when_full(self.admission_filter):
            return True
        self._evict_idle()
        return False

    def drain_backlog(self) -> bool:
        """Accept the connections in the backlog, and then close; false while there is no room for the next one.

        A listener that is closed resets the connections in its backlog, which came in time.
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
        """Serve a connection, unless admission rejects it."""
        permit = None
        if self.admission_filter is not None:
            decision, permit = self.admission_filter.admit_connection(peer)
            if permit is None:
                self._reject(sock, decision)
                return
        try:
            stream = Stream(self.loop, sock, peer)
        except OSError:  # the client reset the connection meanwhile
            sock.close()
            if self.admission_filter is not None and permit is not None:
                self.admission_filter.release(permit)
            return
        stream.admission_permit = permit
        self.loop.on_peer_close(stream.fd, stream.mark_peer_closed)
        self.budget.client_count += 1
        stream.on_close = lambda: self._on_close(stream)
        self.loop.spawn(self._run(stream))

    def _run(self, stream: Stream) -> Generator[Wait, int, None]:
        """Serve a connection, and close it in any case."""
        try:
            yield from self._serve(stream)
        finally:
            stream.close()

    def _on_close(self, stream: Stream) -> None:
        """Return what a closed connection held."""
        self.budget.client_count -= 1
        if self.admission_filter is not None and stream.admission_permit is not None:
            self.admission_filter.release(stream.admission_permit)

    def _reject(self, sock: socket.socket, decision: Decision) -> None:
        """Send the rejection as far as that is possible without waiting, and close."""
        try:
            sock.setblocking(False)
            if self._rejection_message is not None:
                sock.send(self._rejection_message(decision))
            sock.shutdown(socket.SHUT_WR)
            # A close with unread input would reset the connection, and discard the rejection.
            sock.recv(READ_SIZE)
        except OSError:
            pass  # the client has disconnected, or has sent nothing
        sock.close()

    def _reject_next_when_full(self, admission_filter: AdmissionFilter) -> bool:
        """Reject the next connection by means of the spare descriptor; false where that is not possible.

        A listener that cannot accept stays readable, and would use up turn after turn: this empties its backlog.
        """
        if not admission_filter.release_spare():
            return False
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return False
        else:
            self._reject(sock, NO_DESCRIPTOR_LEFT)
            return True
        finally:
            admission_filter.reserve_spare()


def _listen(address: tuple[str, int]) -> socket.socket:
    """A new listening socket; raises OSError where the address cannot be bound."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    sock.listen(BACKLOG)
    return sock
