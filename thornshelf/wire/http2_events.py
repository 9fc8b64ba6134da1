"""What an HTTP/2 connection reports to the program above it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Opened:
    """Headers have come: of a call at the server, of the response at the client."""

    stream: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Received:
    """One complete gRPC message has come."""

    stream: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The peer has ended its side of the stream; at the client with the trailers."""

    stream: int
    trailers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Broken:
    """The stream is over: it was reset by the peer, or by this side for what the peer sent."""

    stream: int
    code: int
    reason: str


@dataclass(frozen=True, slots=True)
class GoAway:
    """The peer takes no stream after ``last``; it goes on with the others."""

    last: int
    code: int


Event = Opened | Received | Ended | Broken | GoAway
