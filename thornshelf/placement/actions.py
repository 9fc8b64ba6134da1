"""The actions that a placer returns. Times are in seconds, on the clock that ``Placer.handle`` is given."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the task to a machine; without a timeout, the attempt may last until the request's deadline."""

    request_id: int
    machine: int
    timeout_s: float | None


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the request: the task was not started, and the client may retry."""

    request_id: int
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the request: it failed, and the task may have been started."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt of a request."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Migrate:
    """Stop a placed task so that its client requests it again."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a machine."""

    machine: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a ``TimerFired`` with this token at the given time or soon after it."""

    at: float
    token: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a message to one peer, or to all peers where none is named."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list, or unsubscribe from them."""

    enable: bool


@dataclass(frozen=True, slots=True)
class ReloadEndpoints:
    """Request the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to a machine."""

    machine: int


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the operators' log."""

    text: str


Action = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | Migrate
    | CheckHealth
    | SetTimer
    | SendGossip
    | WatchEndpoints
    | ReloadEndpoints
    | CloseIdleConnections
    | Log
)
