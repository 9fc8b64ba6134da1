"""An event loop on epoll, with coroutines (generators), timers and buffered streams."""

from thornshelf.loop.loop import Loop, Task, Timer, Wait
from thornshelf.loop.stream import Chunk, Stream

__all__ = ["Chunk", "Loop", "Stream", "Task", "Timer", "Wait"]
