"""The events that an HTTP/2 connection reports to its user; ``stream`` is the stream id."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Opened:
    """Headers were received: those of a request on a server, those of a response on a client."""

    stream: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Received:
    """One complete gRPC message was received; ``data`` is without its length prefix."""

    stream: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The peer has ended its side of the stream; ``trailers`` is empty if it sent none."""

    stream: int
    trailers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Broken:
    """The stream was reset by the peer, or by this side for invalid input; ``code``: the HTTP/2 error code."""

    stream: int
    code: int
    reason: str


@dataclass(frozen=True, slots=True)
class GoAway:
    """The peer accepts no stream with an id above ``last``; streams up to it continue."""

    last: int
    code: int


Event = Opened | Received | Ended | Broken | GoAway
