"""The events that an HTTP/2 connection reports to its user; ``stream`` is the stream id."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeadersReceived:
    """Headers were received: those of a request on a server, those of a response on a client."""

    stream: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """One complete gRPC message was received; ``data`` is without its length prefix."""

    stream: int
    data: bytes


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The peer has ended its side of the stream; ``trailers`` is empty if it sent none."""

    stream: int
    trailers: dict[str, str]


@dataclass(frozen=True, slots=True)
class StreamReset:
    """The stream was reset by the peer, or by this side for invalid input; ``code``: the HTTP/2 error code."""

    stream: int
    code: int
    reason: str


@dataclass(frozen=True, slots=True)
class GoAway:
    """The peer accepts no stream with an id above ``last_stream_id``; streams up to it continue."""

    last_stream_id: int
    code: int


Event = HeadersReceived | MessageReceived | StreamEnded | StreamReset | GoAway
