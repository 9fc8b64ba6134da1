"""Interfaces of the gRPC frontend for its connections, and of a connection for its calls.

They avoid import cycles: the frontend imports the connection, which imports the calls. Only type checkers load this
module.
"""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any, Protocol

from thornshelf.core import Dispatcher
from thornshelf.frontends.admission_filter import AdmissionFilter, ReadBackoff
from thornshelf.loop import Loop, Stream
from thornshelf.wire.errors import WireError
from thornshelf.wire.http2 import Http2Connection


class GrpcFrontendInterface(Protocol):
    """The interface of the frontend that its connections use."""

    loop: Loop
    core: Dispatcher
    admission_filter: AdmissionFilter | None
    shutting_down: bool

    def log_invalid_message(self, peer: str, error: WireError) -> None:
        """Log malformed input of a client."""


class GrpcConnectionInterface(Protocol):
    """The interface of a connection that its calls use."""

    stream: Stream
    http: Http2Connection
    read_backoff: ReadBackoff | None

    @property
    def frontend(self) -> GrpcFrontendInterface:
        """The frontend that accepted the connection."""

    @property
    def calls(self) -> MutableMapping[int, Any]:
        """The open calls, by stream id."""

    def end_early(self, call: Any, code: int, text: str, pushback_ms: int | None = None) -> None:
        """End a call on which nothing was sent, with a trailers-only response."""
