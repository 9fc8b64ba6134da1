"""The loop: select.epoll, generators as coroutines, timers; the time is read once a turn.

A turn is bounded: once its coroutines have worked for ``STEPS_US``, those that are still ready wait for the next, and
descriptors are polled before them. An urgent coroutine is stepped before all others.
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

IN, OUT, HUNG_UP = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
_FAULT = select.EPOLLERR | select.EPOLLHUP
LONGEST_SLEEP_US = 1_000_000
STEPS_US = 20_000  # coroutines are stepped for so long in one turn; the rest of them in the next
STEPS = 8  # so many between two looks at the clock
AT_ONCE_US = 300
VOID = 256  # so many cancelled timers are left to run out


@dataclass(frozen=True, slots=True)
class Wait:
    """What a coroutine yields: wake me when ``fd`` is ready, or at ``until`` (microseconds) at the latest.

    The yield gives the epoll mask, or 0 where the time ran out. Without ``fd`` it is a sleep.
    """

    fd: int = -1
    mask: int = 0
    until: int | None = None


Coroutine = Generator[Wait, int, Any]


class Timer:
    """A call due at a time; ``cancel`` makes it void."""

    __slots__ = ("call", "due", "loop")

    def __init__(self, due: int, call: Callable[[], None], loop: Loop) -> None:
        self.due, self.loop = due, loop
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Never call it."""
        if self.call is not None:
            self.call = None
            self.loop.timer_cancelled()


class Task:
    """A running coroutine."""

    __slots__ = ("body", "done", "started", "timer", "urgent", "wait")

    def __init__(self, body: Coroutine, urgent: bool = False) -> None:
        self.body, self.urgent = body, urgent
        self.done = self.started = False
        self.wait: Wait | None = None
        self.timer: Timer | None = None


class _Watch:
    """The coroutines that wait for one descriptor, and the mask that epoll has of it."""

    __slots__ = ("hung_up", "mask", "reader", "writer")

    def __init__(self) -> None:
        self.mask = 0
        self.hung_up: Callable[[], None] | None = None
        self.reader: Task | None = None
        self.writer: Task | None = None


class Loop:
    """Runs coroutines until ``stop``; ``on_turn`` hooks run at the end of each turn, in their order."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._watches: dict[int, _Watch] = {}
        self._timers: list[tuple[int, int, Timer]] = []
        self._void = 0  # of the timers, those that were cancelled
        self._order = itertools.count()
        self._tasks: set[Task] = set()
        self._ready: deque[tuple[Task, int, int]] = deque()
        self._running = False
        self._ends: list[Callable[[], None]] = []
        self.on_turn: list[Callable[[], bool]] = []  # each says whether it wants another turn at once
        self.on_fault: Callable[[BaseException], None] | None = None
        self.clock: Callable[[], int] = time.monotonic_ns
        self.now = self.clock() // 1000
        self.earliest_arrival_us = self.now  # what the present step reads may have come as early as this

    def turn_elapsed_us(self) -> int:
        """How long this turn has worked, in microseconds: to bound it, and for no decision."""
        return self.clock() // 1000 - self.now

    @property
    def has_backlog(self) -> bool:
        """Coroutines are ready that this turn had no time for."""
        return bool(self._ready)

    def spawn(self, body: Coroutine, urgent: bool = False) -> Task:
        """Start a coroutine in this turn; one that is ``urgent`` goes before all that wait to be stepped."""
        task = Task(body, urgent)
        self._tasks.add(task)
        self._step_soon(task, 0)
        return task

    def _step_soon(self, task: Task, value: int) -> None:
        entry = (task, value, self.earliest_arrival_us)
        if task.urgent:
            self._ready.appendleft(entry)
        else:
            self._ready.append(entry)

    def cancel(self, task: Task) -> None:
        """End a coroutine where it waits; its ``finally`` blocks run."""
        if not task.done:
            task.done = True
            self._tasks.discard(task)
            self._unwait(task)
            task.body.close()

    def at(self, due: int, call: Callable[[], None]) -> Timer:
        """Call in the first turn at or after a time."""
        timer = Timer(due, call, self)
        heapq.heappush(self._timers, (due, next(self._order), timer))
        return timer

    def timer_cancelled(self) -> None:
        """A timer is void: once more of them are than are not, they are swept out, due or not."""
        self._void += 1
        if self._void > VOID and 2 * self._void > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].call is not None]
            heapq.heapify(self._timers)
            self._void = 0

    def after(self, delay: int, call: Callable[[], None]) -> Timer:
        """Call when so many microseconds have passed."""
        return self.at(self.now + delay, call)

    def unregister(self, fd: int) -> None:
        """A descriptor is about to be closed: coroutines that wait for it wake with 0."""
        watch = self._watches.pop(fd, None)
        if watch is None:
            return
        if watch.mask:
            self._epoll.unregister(fd)
        for task in {watch.reader, watch.writer} - {None}:
            if task is not None:
                self._expire(task)

    def on_peer_close(self, fd: int, call: Callable[[], None]) -> None:
        """Call once the peer has closed its side, at the start of the turn that finds it so.

        That is before any coroutine is stepped, however much of what the peer sent before is still to be read.
        """
        watch = self._watches.setdefault(fd, _Watch())
        watch.hung_up = call
        self._set_mask(fd, watch, watch.mask | HUNG_UP)

    def at_turn_end(self, call: Callable[[], None]) -> None:
        """Call once when this turn's work is done, after the hooks: what the turn sends goes out together."""
        self._ends.append(call)

    def stop(self) -> None:
        """Leave ``run`` after this turn."""
        self._running = False

    def close(self) -> None:
        """End all coroutines and give back the epoll descriptor."""
        while self._tasks:
            self.cancel(self._tasks.pop())
        self._epoll.close()

    def run(self) -> None:
        """Turn until stopped."""
        self._running = True
        again = True
        while self._running:
            again = self.turn(again)

    def turn(self, at_once: bool = False) -> bool:
        """One turn: wait, read the clock, wake what is due, then the hooks; true where more is to be done."""
        sleep = 0.0 if at_once or self._ready or self._ends else self._sleep_s()
        before, polled = self.now, self.clock() // 1000
        events = self._epoll.poll(sleep)
        self.now = self.clock() // 1000
        # What a poll finds at once came while the last turn worked; one that sleeps wakes as input comes.
        self.earliest_arrival_us = before if self.now - polled < AT_ONCE_US else self.now
        for fd, mask in events:
            self._wake(fd, mask)
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            if timer.call is not None:
                call, timer.call = timer.call, None
                self._guard(call)
            else:
                self._void -= 1
        steps = 0
        while self._ready:
            task, value, self.earliest_arrival_us = self._ready.popleft()
            self._step(task, value)
            steps += 1
            if steps % STEPS == 0 and self.turn_elapsed_us() >= STEPS_US:
                break
        again = False
        for hook in self.on_turn:
            again = self._guard(hook) or again
        ends, self._ends = self._ends, []
        for call in ends:
            self._guard(call)
        return again

    def _guard(self, call: Callable[[], Any]) -> bool:
        """A call whose fault, like a coroutine's, costs neither the process nor what comes after it."""
        try:
            return bool(call())
        except Exception as fault:
            if self.on_fault is None:
                raise
            self.on_fault(fault)
            return True

    def _sleep_s(self) -> float:
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
            self._void -= 1
        sleep = LONGEST_SLEEP_US
        if self._timers:
            sleep = min(sleep, max(0, self._timers[0][0] - self.now))
        return sleep / 1e6

    def _wake(self, fd: int, mask: int) -> None:
        watch = self._watches.get(fd)
        if watch is None:
            return
        if watch.hung_up is not None and mask & (HUNG_UP | _FAULT):
            call, watch.hung_up = watch.hung_up, None
            self._guard(call)
        woken = False
        for task, bits in ((watch.reader, IN), (watch.writer, OUT)):
            if task is not None and mask & (bits | _FAULT):
                self._unwait(task)
                self._step_soon(task, mask)
                woken = True
        if not woken:  # nobody waits for this any more: don't be told again
            wanted = (IN if watch.reader else 0) | (OUT if watch.writer else 0)
            wanted |= HUNG_UP if watch.hung_up else 0
            # epoll tells of faults even where nothing is asked for
            self._set_mask(fd, watch, 0 if mask & _FAULT else wanted)

    def _unwait(self, task: Task) -> None:
        wait, task.wait = task.wait, None
        if task.timer is not None:
            task.timer.cancel()
            task.timer = None
        if wait is not None and wait.fd >= 0 and (watch := self._watches.get(wait.fd)) is not None:
            if watch.reader is task:
                watch.reader = None
            if watch.writer is task:
                watch.writer = None

    def _expire(self, task: Task) -> None:
        self._unwait(task)
        self._step_soon(task, 0)

    def _step(self, task: Task, value: int) -> None:
        if task.done:
            return
        try:
            if task.started:
                wait = task.body.send(value)
            else:
                task.started = True
                wait = next(task.body)
        except StopIteration:
            task.done = True
            self._tasks.discard(task)
            return
        except Exception as fault:  # one coroutine's fault must not end the others'
            task.done = True
            self._tasks.discard(task)
            if self.on_fault is None:
                raise
            self.on_fault(fault)
            return
        task.wait = wait
        if wait.fd >= 0:
            try:
                self._watch(task, wait)
            except OSError as fault:  # the descriptor is closed: that, too, is the one coroutine's fault
                self.cancel(task)
                if self.on_fault is None:
                    raise
                self.on_fault(fault)
                return
        if wait.until is not None:
            task.timer = self.at(wait.until, lambda: self._expire(task))

    def _watch(self, task: Task, wait: Wait) -> None:
        watch = self._watches.get(wait.fd)
        if watch is None:
            watch = self._watches[wait.fd] = _Watch()
        if wait.mask & IN:
            watch.reader = task
        if wait.mask & OUT:
            watch.writer = task
        self._set_mask(wait.fd, watch, watch.mask | wait.mask)

    def _set_mask(self, fd: int, watch: _Watch, mask: int) -> None:
        if mask == watch.mask:
            return
        if not watch.mask:
            self._epoll.register(fd, mask)
        elif mask:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.unregister(fd)
        watch.mask = mask
