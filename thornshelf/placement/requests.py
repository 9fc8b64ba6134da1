"""Requests that are being placed or whose tasks run, with their attempts."""

from __future__ import annotations

from enum import Enum

from thornshelf.placement.events import PlacementRequest
from thornshelf.placement.machine import Machine
from thornshelf.placement.machine_index import ResourcePair
from thornshelf.placement.settings import TaskClass


class AttemptState(Enum):
    """What is known about the task of an attempt."""

    PENDING = "pending"  # neither accepted nor ended
    NEVER_RAN = "never ran"
    MAY_HAVE_RUN = "may have run"
    BOUND = "bound"  # this attempt answered the request


class Attempt:
    """One attempt to start a request's task on a machine."""

    def __init__(self, machine: Machine, sent_at: float, state: AttemptState) -> None:
        self.machine = machine
        self.sent_at = sent_at
        self.state = state
        self.measured_usage: list[float | None] = [None, None]  # cores and memory; None: not reported
        self.live = True  # it has not ended: its demand and its place in the spread count


class PendingRequest:
    """A request and its attempts, tracked until it is answered and all attempts have ended."""

    def __init__(self, spec: PlacementRequest, task_class: TaskClass, deadline: float) -> None:
        self.spec = spec
        self.task_class = task_class
        self.deadline = deadline
        self.demand: ResourcePair = (spec.cores, spec.memory)
        self.attempts: list[Attempt] = []
        self.open = True  # not answered yet
        self.tried_machine_ids: set[int] = set()  # where an attempt ended before it was bound
        self.errored_machines: list[Machine] = []  # whose attempts ended with an error

    def has_pending_attempt(self) -> bool:
        """Return whether an attempt is in flight."""
        return any(a.live and a.state is AttemptState.PENDING for a in self.attempts)

    def has_live_attempt(self) -> bool:
        """Return whether an attempt has not ended yet, bound or not."""
        return any(a.live for a in self.attempts)


class RequestTable:
    """The requests of one placer, by id."""

    def __init__(self) -> None:
        self.requests: dict[int, PendingRequest] = {}

    def add(self, request: PendingRequest) -> None:
        """Add a new request."""
        self.requests[request.spec.request_id] = request

    def get(self, request_id: int) -> PendingRequest | None:
        """Return a request, or None if it was discarded already."""
        return self.requests.get(request_id)

    def find_live_attempt(self, request_id: int, number: int) -> tuple[PendingRequest, Attempt] | None:
        """Return an attempt and its request, or None if the attempt has ended or is unknown."""
        request = self.requests.get(request_id)
        if request is None or number >= len(request.attempts) or not request.attempts[number].live:
            return None
        return request, request.attempts[number]

    def discard_if_done(self, request: PendingRequest) -> None:
        """Discard a request that is answered and whose attempts have all ended."""
        if not request.open and not request.has_live_attempt():
            self.requests.pop(request.spec.request_id, None)
