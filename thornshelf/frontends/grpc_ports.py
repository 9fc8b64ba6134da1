"""What a gRPC connection uses of its frontend, and a call of its connection.

The frontend imports the connection, and the connection the calls; these protocols spare the imports back. Only type
checkers load this module.
"""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any, Protocol

from thornshelf.core import Dispatcher
from thornshelf.frontends.admission_filter import AdmissionFilter, ReadBackoff
from thornshelf.loop import Loop, Stream
from thornshelf.wire.errors import WireError
from thornshelf.wire.http2 import Http2


class GrpcFrontendPort(Protocol):
    """The frontend, as its connections see it."""

    loop: Loop
    core: Dispatcher
    admission_filter: AdmissionFilter | None
    shutting_down: bool

    def log_invalid_message(self, peer: str, error: WireError) -> None:
        """Write one log line about malformed input."""


class GrpcConnectionPort(Protocol):
    """A connection, as its calls see it."""

    stream: Stream
    http: Http2
    read_backoff: ReadBackoff | None

    @property
    def frontend(self) -> GrpcFrontendPort:
        """The frontend that accepted the connection."""

    @property
    def calls(self) -> MutableMapping[int, Any]:
        """The open calls, by stream id."""

    def end_early(self, call: Any, code: int, text: str, pushback_ms: int | None = None) -> None:
        """End a call on which no message was sent, with a response of trailers alone."""
