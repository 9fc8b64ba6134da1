"""One connection to a dispatcher's control socket, with a bound on every wait."""

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
    """A dispatcher's error as one of this process."""
    kind = errors.ERRORS_BY_CODE.get(reply.code, ThornshelfError)
    if kind in (errors.SchemaError, errors.UnsupportedVersionError):
        kind = ThornshelfError  # these are made of more than a text
    return kind(reply.text)


@dataclass(slots=True)
class ResponseSummary:
    """What came beside the rows."""

    missing: list[tuple[str, str]] = field(default_factory=list)
    members: set[str] = field(default_factory=set)
    first_ms: int = 0  # Unix ms of the earliest slice, and of the latest
    last_ms: int = 0
    rows: int = 0

    def add_page(self, page: RowPage) -> None:
        """One more slice."""
        self.members.add(page.member)
        self.rows += len(page.rows)
        self.first_ms = min(self.first_ms or page.at_ms, page.at_ms)
        self.last_ms = max(self.last_ms, page.at_ms)

    def merge(self, other: ResponseSummary) -> None:
        """Those of another table."""
        self.missing += [one for one in other.missing if one not in self.missing]
        self.members |= other.members
        self.rows += other.rows
        self.first_ms = min(self.first_ms or other.first_ms, other.first_ms or self.first_ms)
        self.last_ms = max(self.last_ms, other.last_ms)


class ControlClient:
    """A connection; its words are read one question after another."""

    def __init__(self, socket_path: str | Path, timeout_s: float = 10.0) -> None:
        self.socket_path, self.timeout_s = Path(socket_path), timeout_s
        self._frame_decoder, self._frames = FrameDecoder(MAX_REPLY_BYTES), list[bytes]()
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._number = 0
        self._deadline = time.monotonic() + timeout_s
        try:
            self._sock.settimeout(timeout_s)
            fd = os.open(self.socket_path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            try:
                self._sock.connect(f"/proc/self/fd/{fd}/{self.socket_path.name}")
            finally:
                os.close(fd)
        except OSError as fault:
            self._sock.close()
            raise DispatcherUnavailableError(f"{self.socket_path}: {fault.strerror or fault}") from None

    def close(self) -> None:
        """Go."""
        self._sock.close()

    def __enter__(self) -> ControlClient:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _receive(self) -> Reply:
        while not self._frames:
            left = self._deadline - time.monotonic()
            if left <= 0.0:
                raise QueryLimitError(f"no whole answer within {self.timeout_s:g} s")
            self._sock.settimeout(left)
            try:
                data = self._sock.recv(READ_SIZE)
            except TimeoutError:
                continue
            except OSError as fault:
                raise DispatcherUnavailableError(f"{self.socket_path}: {fault.strerror}") from None
            if not data:
                raise DispatcherUnavailableError(f"{self.socket_path}: the dispatcher closed the connection")
            self._frames += self._frame_decoder.feed(data)
        return decode_reply(self._frames.pop(0))

    def _send(self, request: QueryRequest) -> None:
        self._deadline = time.monotonic() + self.timeout_s
        self._sock.settimeout(self.timeout_s)
        try:
            self._sock.sendall(encode_frame(request))
        except (BrokenPipeError, ConnectionResetError):
            pass  # why it closed the connection may still be read
        except OSError as fault:
            raise DispatcherUnavailableError(f"{self.socket_path}: {fault.strerror or fault}") from None

    def fetch_catalog(self) -> CatalogReply:
        """Who answers, and which tables there are."""
        self._number += 1
        self._send(QueryRequest(self._number))
        word = self._receive()
        if isinstance(word, ErrorReply):
            raise error_from_reply(word)
        if not isinstance(word, CatalogReply):
            raise ControlProtocolError(f"{type(word).__name__} where the tables were asked for")
        return word

    def fetch_rows(
        self,
        table: str,
        columns: list[str],
        fleet: bool,
        filters: Mapping[str, Cell],
        summary: ResponseSummary,
    ) -> Iterator[RowPage]:
        """A table's slices as they come; what goes beside them is in ``told``."""
        self._number += 1
        self._send(QueryRequest(self._number, table, columns, dict(filters), fleet))
        while True:
            word = self._receive()
            if isinstance(word, CatalogReply) or word.number != self._number:
                continue
            if isinstance(word, ErrorReply):
                raise error_from_reply(word)
            if isinstance(word, QueryEnd):
                summary.missing += word.missing
                summary.members.update(word.answered)
                return
            if any(len(row) != len(columns) for row in word.rows):
                raise ControlProtocolError("a row has other columns than were asked for")
            summary.add_page(word)
            yield word
