"""Delivers process signals as calls in a turn of the event loop."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Generator, Mapping

from thornshelf.loop import Loop, Wait
from thornshelf.loop.loop import IN

_READ_SIZE = 64  # the maximum number of signals per read


def watch_signals(loop: Loop, handlers: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Call the handler of a signal, in a turn of the loop, whenever the process receives it.

    Uses a pipe as the wakeup descriptor, because a socket pair needs AF_UNIX, which is not available everywhere.
    """
    read_end, write_end = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
    signal.set_wakeup_fd(write_end)
    for number in handlers:
        signal.signal(number, lambda *_: None)
    loop.spawn(_read_signals(read_end, handlers))


def _read_signals(
    read_end: int, handlers: Mapping[signal.Signals, Callable[[], None]]
) -> Generator[Wait, int, None]:
    while True:
        yield Wait(read_end, IN)
        try:
            numbers = os.read(read_end, _READ_SIZE)
        except BlockingIOError:
            continue
        for number, handler in handlers.items():
            if number in numbers:
                handler()
