"""A single-threaded event loop on epoll, with generators as coroutines, and timers.

One turn polls the descriptors, calls the due timers, steps the ready coroutines and runs the hooks. Its time ``now``
is read once, after the poll. A turn is bounded: once its coroutines have run for ``TURN_BUDGET_US``, those that are
still ready wait for the next turn, which polls the descriptors first. Urgent coroutines are stepped before others.
"""

from __future__ import annotations

import heapq
import itertools
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

IN = select.EPOLLIN
OUT = select.EPOLLOUT
PEER_CLOSED = select.EPOLLRDHUP
_ERROR_MASK = select.EPOLLERR | select.EPOLLHUP
MAX_SLEEP_US = 1_000_000  # the longest sleep of a poll

TURN_BUDGET_US = 20_000  # a turn steps no further coroutine after this time
STEPS_PER_CLOCK_CHECK = 8  # the clock is compared with the budget once in this many steps
IMMEDIATE_POLL_US = 300  # a poll that returns sooner did not sleep: its events were already there
MAX_CANCELLED_TIMERS = 256  # with more of them, cancelled timers are removed before they are due


@dataclass(frozen=True, slots=True)
class Wait:
    """A coroutine yields this to be resumed when ``fd`` is ready, or at ``until`` (microseconds) at the latest.

    The yield returns the epoll mask of ``fd``, or 0 if the time ran out. Without ``fd``, it sleeps until then.
    """

    fd: int = -1
    mask: int = 0
    until: int | None = None


Coroutine = Generator[Wait, int, Any]


class Timer:
    """A call to be made at the time ``due``, in microseconds; ``call`` is None once it was made or cancelled."""

    __slots__ = ("call", "due", "loop")

    def __init__(self, due: int, call: Callable[[], None], loop: Loop) -> None:
        self.due = due
        self.loop = loop
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancel the call, if it was not made yet."""
        if self.call is not None:
            self.call = None
            self.loop.timer_cancelled()


class Task:
    """A coroutine in the loop, and the ``Wait`` and timer that will resume it."""

    __slots__ = ("coroutine", "done", "started", "timer", "urgent", "wait")

    def __init__(self, coroutine: Coroutine, urgent: bool = False) -> None:
        self.coroutine = coroutine
        self.urgent = urgent
        self.done = False
        self.started = False
        self.wait: Wait | None = None
        self.timer: Timer | None = None


class _Registration:
    """The coroutines that wait for one descriptor, and the mask for which it is registered with epoll."""

    __slots__ = ("mask", "on_peer_close", "reader", "writer")

    def __init__(self) -> None:
        self.mask = 0
        self.on_peer_close: Callable[[], None] | None = None
        self.reader: Task | None = None
        self.writer: Task | None = None


class Loop:
    """Runs coroutines and timers until ``stop`` is called.

    ``turn_hooks``: hooks that run at the end of each turn, in their order; each returns whether it wants another turn
    at once. ``on_exception``: called with an exception that ended a coroutine or a call; if it is None, such
    an exception is raised from ``turn``. ``clock``: the monotonic clock, in nanoseconds. ``now``: the time of
    this turn, in microseconds. ``earliest_arrival_us``: the earliest time at which the input of the present
    step may have arrived.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._registrations: dict[int, _Registration] = {}
        self._timers: list[tuple[int, int, Timer]] = []
        self._cancelled_timers = 0
        self._timer_sequence = itertools.count()
        self._tasks: set[Task] = set()
        self._ready: deque[tuple[Task, int, int]] = deque()
        self._running = False
        self._turn_end_calls: list[Callable[[], None]] = []
        self.turn_hooks: list[Callable[[], bool]] = []
        self.on_exception: Callable[[BaseException], None] | None = None
        self.clock: Callable[[], int] = time.monotonic_ns
        self.now = self.clock() // 1000
        self.earliest_arrival_us = self.now

    def turn_elapsed_us(self) -> int:
        """Return how long this turn has run, in microseconds; only for bounding it, as decisions use ``now``."""
        return self.clock() // 1000 - self.now

    @property
    def has_backlog(self) -> bool:
        """Whether ready coroutines were left over for the next turn."""
        return bool(self._ready)

    def spawn(self, coroutine: Coroutine, urgent: bool = False) -> Task:
        """Start a coroutine in this turn; an ``urgent`` one is always stepped before all others that are ready."""
        task = Task(coroutine, urgent)
        self._tasks.add(task)
        self._schedule(task, 0)
        return task

    def _schedule(self, task: Task, value: int) -> None:
        entry = (task, value, self.earliest_arrival_us)
        if task.urgent:
            self._ready.appendleft(entry)
        else:
            self._ready.append(entry)

    def cancel(self, task: Task) -> None:
        """End a coroutine at the yield where it waits; its ``finally`` blocks run."""
        if not task.done:
            task.done = True
            self._tasks.discard(task)
            self._stop_waiting(task)
            task.coroutine.close()

    def call_at(self, due: int, call: Callable[[], None]) -> Timer:
        """Make a call in the first turn at or after the time ``due``, in microseconds."""
        timer = Timer(due, call, self)
        heapq.heappush(self._timers, (due, next(self._timer_sequence), timer))
        return timer

    def timer_cancelled(self) -> None:
        """Count a cancelled timer; once most of many timers are cancelled, the cancelled ones are removed."""
        self._cancelled_timers += 1
        if self._cancelled_timers > MAX_CANCELLED_TIMERS and 2 * self._cancelled_timers > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].call is not None]
            heapq.heapify(self._timers)
            self._cancelled_timers = 0

    def call_later(self, delay: int, call: Callable[[], None]) -> Timer:
        """Make a call once ``delay`` microseconds have passed."""
        return self.call_at(self.now + delay, call)

    def unregister(self, fd: int) -> None:
        """Forget a descriptor that is about to be closed; coroutines that wait for it are resumed with 0."""

        registration = self._registrations.pop(fd, None)
        if registration is None:
            return
        if registration.mask:
            self._epoll.unregister(fd)
        for task in {registration.reader, registration.writer} - {None}:
            if task is not None:
                self._time_out(task)

    def on_peer_close(self, fd: int, call: Callable[[], None]) -> None:
        """Make a call at the start of the first turn that finds that the peer has closed its side.

        The call is made before any coroutine is stepped, even if earlier data from the peer is still unread.
        """
        registration = self._registrations.setdefault(fd, _Registration())
        registration.on_peer_close = call
        self._set_mask(fd, registration, registration.mask | PEER_CLOSED)

    def call_at_turn_end(self, call: Callable[[], None]) -> None:
        """Make a call once, at the end of this turn, after the hooks: all that the turn sends is written together."""
        self._turn_end_calls.append(call)

    def stop(self) -> None:
        """Return from ``run`` after this turn."""
        self._running = False

    def close(self) -> None:
        """End all coroutines and close the epoll descriptor."""
        while self._tasks:
            self.cancel(self._tasks.pop())
        self._epoll.close()

    def run(self) -> None:
        """Run turns until ``stop`` is called."""
        self._running = True
        needs_turn = True
        while self._running:
            needs_turn = self.turn(needs_turn)

    def turn(self, at_once: bool = False) -> bool:
        """Run one turn: poll, read the clock, call due timers, step ready coroutines, run the hooks.

        ``at_once``: poll without sleeping. Returns whether a hook wants another turn at once.
        """
        sleep = 0.0 if at_once or self._ready or self._turn_end_calls else self._sleep_s()
        last_turn_us = self.now
        polled_us = self.clock() // 1000
        events = self._epoll.poll(sleep)
        self.now = self.clock() // 1000
        # Events that a poll finds at once arrived while the last turn ran. A poll that sleeps ends as input arrives.
        self.earliest_arrival_us = last_turn_us if self.now - polled_us < IMMEDIATE_POLL_US else self.now
        for fd, mask in events:
            self._wake(fd, mask)
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            if timer.call is not None:
                call, timer.call = timer.call, None
                self._call_guarded(call)
            else:
                self._cancelled_timers -= 1
        steps = 0
        while self._ready:
            task, value, self.earliest_arrival_us = self._ready.popleft()
            self._step(task, value)
            steps += 1
            if steps % STEPS_PER_CLOCK_CHECK == 0 and self.turn_elapsed_us() >= TURN_BUDGET_US:
                break
        needs_turn = False
        for hook in self.turn_hooks:
            needs_turn = self._call_guarded(hook) or needs_turn
        calls, self._turn_end_calls = self._turn_end_calls, []
        for call in calls:
            self._call_guarded(call)
        return needs_turn

    def _call_guarded(self, call: Callable[[], Any]) -> bool:
        """Make a call and report an exception to ``on_exception``, so that later calls are made all the same.

        Returns the call's result as a flag, or True after an exception.
        """
        try:
            return bool(call())
        except Exception as error:
            self.report_exception(error)
            return True

    def report_exception(self, error: BaseException) -> None:
        """Pass an exception that its caller has handled to ``on_exception``; raise it if there is none."""
        if self.on_exception is None:
            raise error
        self.on_exception(error)

    def _sleep_s(self) -> float:
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
            self._cancelled_timers -= 1
        sleep = MAX_SLEEP_US
        if self._timers:
            sleep = min(sleep, max(0, self._timers[0][0] - self.now))
        return sleep / 1e6

    def _wake(self, fd: int, mask: int) -> None:
        registration = self._registrations.get(fd)
        if registration is None:
            return
        if registration.on_peer_close is not None and mask & (PEER_CLOSED | _ERROR_MASK):
            call, registration.on_peer_close = registration.on_peer_close, None
            self._call_guarded(call)
        resumed = False
        for task, bits in ((registration.reader, IN), (registration.writer, OUT)):
            if task is not None and mask & (bits | _ERROR_MASK):
                self._stop_waiting(task)
                self._schedule(task, mask)
                resumed = True
        if not resumed:  # no coroutine waits for these events any more: stop the notifications
            wanted = (IN if registration.reader else 0) | (OUT if registration.writer else 0)
            wanted |= PEER_CLOSED if registration.on_peer_close else 0
            # epoll reports errors for every registered descriptor, even with an empty mask
            self._set_mask(fd, registration, 0 if mask & _ERROR_MASK else wanted)

    def _stop_waiting(self, task: Task) -> None:
        wait, task.wait = task.wait, None
        if task.timer is not None:
            task.timer.cancel()
            task.timer = None
        if (
            wait is not None
            and wait.fd >= 0
            and (registration := self._registrations.get(wait.fd)) is not None
        ):
            if registration.reader is task:
                registration.reader = None
            if registration.writer is task:
                registration.writer = None

    def _time_out(self, task: Task) -> None:
        self._stop_waiting(task)
        self._schedule(task, 0)

    def _step(self, task: Task, value: int) -> None:
        if task.done:
            return
        try:
            if task.started:
                wait = task.coroutine.send(value)
            else:
                task.started = True
                wait = next(task.coroutine)
        except StopIteration:
            task.done = True
            self._tasks.discard(task)
            return
        except Exception as error:  # an exception in one coroutine must not end the others
            task.done = True
            self._tasks.discard(task)
            if self.on_exception is None:
                raise
            self.on_exception(error)
            return
        task.wait = wait
        if wait.fd >= 0:
            try:
                self._register(task, wait)
            except OSError as error:  # the coroutine waits for a closed descriptor
                self.cancel(task)
                if self.on_exception is None:
                    raise
                self.on_exception(error)
                return
        if wait.until is not None:
            task.timer = self.call_at(wait.until, lambda: self._time_out(task))

    def _register(self, task: Task, wait: Wait) -> None:
        registration = self._registrations.get(wait.fd)
        if registration is None:
            registration = self._registrations[wait.fd] = _Registration()
        if wait.mask & IN:
            registration.reader = task
        if wait.mask & OUT:
            registration.writer = task
        self._set_mask(wait.fd, registration, registration.mask | wait.mask)

    def _set_mask(self, fd: int, registration: _Registration, mask: int) -> None:
        if mask == registration.mask:
            return
        if not registration.mask:
            self._epoll.register(fd, mask)
        elif mask:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.unregister(fd)
        registration.mask = mask
