"""A listening socket that accepts client connections within a budget of file descriptors."""

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
MAX_ACCEPTS_PER_TURN = 64  # so that a flood of connections does not occupy whole turns
ACCEPT_BACKOFF_US = 20_000  # pause of accepting after a failure, or while the budget is exhausted
FIRST_MESSAGE_TIMEOUT_US = 2_000_000  # from accepting a connection to its first complete message
MESSAGE_TIMEOUT_US = 2_000_000  # from the first byte of a message to its last
FULL_RETRY_AFTER_US = 1_000_000
_DESCRIPTORS_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class _NoDescriptorLeft:
    """The decision on a connection that arrives when the process can't open another descriptor."""

    admitted = False
    reason = "no descriptor is left"
    retry_after_us = FULL_RETRY_AFTER_US
    replaces_idle = False


# Not an instance of Decision: the admission modules are loaded only if admission control is configured.
NO_DESCRIPTOR_LEFT: Decision = _NoDescriptorLeft()  # type: ignore[assignment]


class Listener:
    """Accepts connections within the budget, and evicts idle ones when it is exceeded."""

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
        """Listen on ``address``, or on the socket ``inherited`` from a predecessor.

        ``serve``: the coroutine of one connection; ``evict_idle``: closes an idle connection, or returns false if
        there is none; ``rejection_message``: encodes what is sent on a connection that admission rejects. Raises
        ``OSError`` if the address can't be bound.
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
        """Stop listening; does nothing if the listener is closed already."""
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
                    # Such errors are temporary: the listener must survive them.
                    yield Wait(until=self.loop.now + ACCEPT_BACKOFF_US)
                    break
                self._open_connection(sock, str(peer[0]))
                has_waited = False
                # If nodes need more descriptors now, several connections have to be closed. While none is idle, new
                # connections stay in the backlog, so that the process does not run out of descriptors.
                while self.budget.client_count > self.budget.max_clients:
                    if not self._evict_idle():
                        has_waited = True
                        yield Wait(until=self.loop.now + ACCEPT_BACKOFF_US)
                if has_waited:
                    break

    def _handle_accept_error(self, error: OSError) -> bool:
        """Return whether to accept the next connection at once.

        If descriptors are exhausted, rejects the next connection or evicts an idle one.
        """
        if error.errno not in _DESCRIPTORS_EXHAUSTED:
            return False
        if self.admission_filter is not None and self._reject_next_when_full(self.admission_filter):
            return True
        self._evict_idle()
        return False

    def drain_backlog(self) -> bool:
        """Accept the connections in the backlog, then close the listener.

        Returns false if the next connection can't be accepted now. Closing the listener without this would reset the
        connections in its backlog.
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
        """Start to serve an accepted connection, unless admission rejects it."""
        permit = None
        if self.admission_filter is not None:
            decision, permit = self.admission_filter.admit_connection(peer)
            if permit is None:
                self._reject(sock, decision)
                return
        try:
            stream = Stream(self.loop, sock, peer)
        except OSError:  # the client has reset the connection
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
        """Serve a connection, and close it when its coroutine ends for any reason."""
        try:
            yield from self._serve(stream)
        finally:
            stream.close()

    def _on_close(self, stream: Stream) -> None:
        """Give back the descriptor and the permit of a closed connection."""
        self.budget.client_count -= 1
        if self.admission_filter is not None and stream.admission_permit is not None:
            self.admission_filter.release(stream.admission_permit)

    def _reject(self, sock: socket.socket, decision: Decision) -> None:
        """Send the rejection without waiting, and close the connection."""
        try:
            sock.setblocking(False)
            if self._rejection_message is not None:
                sock.send(self._rejection_message(decision))
            sock.shutdown(socket.SHUT_WR)
            # Closing with unread input would reset the connection, and the client could lose the rejection.
            sock.recv(READ_SIZE)
        except OSError:
            pass  # the client has disconnected, or has sent nothing
        sock.close()

    def _reject_next_when_full(self, admission_filter: AdmissionFilter) -> bool:
        """Accept and reject the next connection with the spare descriptor; returns false if that is not possible.

        A listener with connections in its backlog stays readable, so that the loop would spin if it accepted none.
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
    """Return a new listening socket; raises ``OSError`` if the address can't be bound."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    sock.listen(BACKLOG)
    return sock
