"""The client of a dispatcher's control socket, with a timeout on every wait."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from thornshelf import errors
from thornshelf.control.framing import (
    MAX_REPLY_BYTES,
    CatalogReply,
    Cell,
    ErrorReply,
    FrameDecoder,
    QueryEnd,
    QueryRequest,
    Reply,
    RowPage,
    decode_reply,
    encode_frame,
)
from thornshelf.errors import (
    ControlProtocolError,
    DispatcherUnavailableError,
    QueryLimitError,
    ThornshelfError,
)

READ_SIZE = 256 * 1024


def error_from_reply(reply: ErrorReply) -> ThornshelfError:
    """Returns the exception for an error that a dispatcher has sent."""
    error_type = errors.ERRORS_BY_CODE.get(reply.code, ThornshelfError)
    if error_type in (errors.SchemaError, errors.UnsupportedVersionError):
        error_type = ThornshelfError  # their constructors take more than a text
    return error_type(reply.text)


@dataclass(slots=True)
class ResponseSummary:
    """Which members have answered a query, and when.

    ``missing``: the (member, cause) pairs of members whose rows are incomplete; ``first_ms`` and ``last_ms``: the
    times of the earliest and the latest page in Unix milliseconds, 0 before the first; ``rows``: number of rows.
    """

    missing: list[tuple[str, str]] = field(default_factory=list)
    members: set[str] = field(default_factory=set)
    first_ms: int = 0
    last_ms: int = 0
    rows: int = 0

    def add_page(self, page: RowPage) -> None:
        """Add a page of rows."""
        self.members.add(page.member)
        self.rows += len(page.rows)
        self.first_ms = min(self.first_ms or page.at_ms, page.at_ms)
        self.last_ms = max(self.last_ms, page.at_ms)

    def merge(self, other: ResponseSummary) -> None:
        """Add the summary of another table."""
        self.missing += [item for item in other.missing if item not in self.missing]
        self.members |= other.members
        self.rows += other.rows
        self.first_ms = min(self.first_ms or other.first_ms, other.first_ms or self.first_ms)
        self.last_ms = max(self.last_ms, other.last_ms)


class ControlClient:
    """A connection to a dispatcher, for one query at a time."""

    def __init__(self, socket_path: str | Path, timeout_s: float = 10.0) -> None:
        """Connect to a socket; raises ``DispatcherUnavailableError``. The timeout applies to each query."""
        self.socket_path = Path(socket_path)
        self.timeout_s = timeout_s
        self._frame_decoder = FrameDecoder(MAX_REPLY_BYTES)
        self._frames: list[bytes] = []
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._query_number = 0
        self._deadline = time.monotonic() + timeout_s
        try:
            self._sock.settimeout(timeout_s)
            self._connect()
        except OSError as error:
            self._sock.close()
            raise DispatcherUnavailableError(f"{self.socket_path}: {error.strerror or error}") from None

    def _connect(self) -> None:
        """Connect through a descriptor of the directory, as the path of a Unix socket is limited to 107 bytes."""
        directory = os.open(self.socket_path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            self._sock.connect(f"/proc/self/fd/{directory}/{self.socket_path.name}")
        finally:
            os.close(directory)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def __enter__(self) -> ControlClient:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _receive(self) -> Reply:
        """Returns the next reply; raises ``QueryLimitError`` after the timeout, or ``DispatcherUnavailableError``."""
        while not self._frames:
            remaining_s = self._deadline - time.monotonic()
            if remaining_s <= 0.0:
                raise QueryLimitError(f"no complete reply within {self.timeout_s:g} s")
            self._sock.settimeout(remaining_s)
            try:
                data = self._sock.recv(READ_SIZE)
            except TimeoutError:
                continue
            except OSError as error:
                raise DispatcherUnavailableError(f"{self.socket_path}: {error.strerror}") from None
            if not data:
                raise DispatcherUnavailableError(f"{self.socket_path}: the dispatcher closed the connection")
            self._frames += self._frame_decoder.feed(data)
        return decode_reply(self._frames.pop(0))

    def _send(self, request: QueryRequest) -> None:
        """Send a query and start its timeout; raises ``DispatcherUnavailableError``."""
        self._deadline = time.monotonic() + self.timeout_s
        self._sock.settimeout(self.timeout_s)
        try:
            self._sock.sendall(encode_frame(request))
        except (BrokenPipeError, ConnectionResetError):
            pass  # the dispatcher's error message may still be readable
        except OSError as error:
            raise DispatcherUnavailableError(f"{self.socket_path}: {error.strerror or error}") from None

    def fetch_catalog(self) -> CatalogReply:
        """Returns the dispatcher's tables; raises the error that it sends, or ``ControlProtocolError``."""
        self._query_number += 1
        self._send(QueryRequest(self._query_number))
        reply = self._receive()
        if isinstance(reply, ErrorReply):
            raise error_from_reply(reply)
        if not isinstance(reply, CatalogReply):
            raise ControlProtocolError(
                f"received {type(reply).__name__} in reply to a request for the tables"
            )
        return reply

    def fetch_rows(
        self,
        table: str,
        columns: list[str],
        fleet: bool,
        filters: Mapping[str, Cell],
        summary: ResponseSummary,
    ) -> Iterator[RowPage]:
        """Yields the pages of a table as they arrive, and adds them to ``summary``.

        ``fleet``: of all members; ``filters``: only rows with exactly these values. Raises the error that the
        dispatcher sends, or ``ControlProtocolError`` for malformed rows.
        """
        self._query_number += 1
        self._send(QueryRequest(self._query_number, table, columns, dict(filters), fleet))
        while True:
            reply = self._receive()
            if isinstance(reply, CatalogReply) or reply.number != self._query_number:
                continue
            if isinstance(reply, ErrorReply):
                raise error_from_reply(reply)
            if isinstance(reply, QueryEnd):
                summary.missing += reply.missing
                summary.members.update(reply.answered)
                return
            if any(len(row) != len(columns) for row in reply.rows):
                raise ControlProtocolError("a row does not have the requested number of columns")
            summary.add_page(reply)
            yield reply
