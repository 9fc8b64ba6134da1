"""A planned restart without a refused connection: the successor takes the listening sockets over.

The sockets are inherited by the LISTEN_FDS convention (sd_listen_fds(3)): descriptors from 3 on, LISTEN_PID and
LISTEN_FDNAMES. The successor says that it is ready through a pipe; until then, and if it never is, the old process
serves. Then the old one stops accepting, finishes what is open, and sends what stands through the same channel, so
that its releases are told by the successor. Both stay within the descriptor limit together: the successor is told
how many the old one may still hold.
"""

from __future__ import annotations

import json
import os
import socket
import sys
from collections.abc import Generator, Mapping
from dataclasses import dataclass
from typing import Any

from thornshelf.loop import Loop, Wait
from thornshelf.loop.loop import IN

LISTEN_FDS_START = 3
READY_TIMEOUT_US = 10_000_000  # a successor that is not ready by then has failed
CHANNEL_VARIABLE = "THORNSHELF_CHANNEL"
DESCRIPTORS_VARIABLE = "THORNSHELF_HELD"  # descriptors that the predecessor may hold until it has ended
READY_MESSAGE, DONE_MESSAGE = b"ready\n", b"done\n"
RECEIVE_SIZE = 64 * 1024


@dataclass(frozen=True, slots=True)
class InheritedSockets:
    """What a predecessor handed over: listening sockets by name, and the channel to it."""

    sockets: dict[str, socket.socket]
    channel: socket.socket | None = None
    predecessor_descriptors: int = 0


def inherit_sockets(environment: Mapping[str, str]) -> InheritedSockets:
    """The sockets of the LISTEN_FDS convention; nothing where they were meant for another process."""
    if environment.get("LISTEN_PID") != str(os.getpid()):
        return InheritedSockets({})
    try:
        count = int(environment.get("LISTEN_FDS", "0"))
        channel_fd = int(environment.get(CHANNEL_VARIABLE, "-1"))
        held = int(environment.get(DESCRIPTORS_VARIABLE, "0"))
    except ValueError:
        return InheritedSockets({})
    names = environment.get("LISTEN_FDNAMES", "").split(":")
    sockets = {}
    for index in range(count):
        sock = socket.socket(fileno=LISTEN_FDS_START + index)
        sock.set_inheritable(False)
        sockets[names[index] if index < len(names) and names[index] else f"unknown{index}"] = sock
    channel = None
    if channel_fd >= 0:
        channel = socket.socket(fileno=channel_fd)
        channel.set_inheritable(False)
        channel.setblocking(False)
    return InheritedSockets(sockets, channel, held)


def spawn_successor(
    arguments: list[str], sockets: Mapping[str, socket.socket], open_descriptors: int
) -> tuple[int, socket.socket]:
    """Start a successor with copies of the listening sockets; its process id, and our end of the channel.

    A shell sets LISTEN_PID, which has to be the successor's own, and gives way to it by exec.
    """
    ours, theirs = socket.socketpair()
    names = list(sockets)
    channel_fd = LISTEN_FDS_START + len(names)
    environment = dict(os.environ) | {
        "LISTEN_FDS": str(len(names)),
        "LISTEN_FDNAMES": ":".join(names),
        CHANNEL_VARIABLE: str(channel_fd),
        DESCRIPTORS_VARIABLE: str(open_descriptors),
    }
    # Copies beyond all targets first, so that no target is overwritten before it has been copied.
    high = [os.dup(one.fileno()) for one in (*sockets.values(), theirs)]
    base = max(high) + channel_fd + 1
    actions: list[tuple[int, ...]] = [
        (os.POSIX_SPAWN_DUP2, fd, base + index) for index, fd in enumerate(high)
    ]
    actions += [(os.POSIX_SPAWN_DUP2, base + index, LISTEN_FDS_START + index) for index in range(len(high))]
    actions += [(os.POSIX_SPAWN_CLOSE, base + index) for index in range(len(high))]
    command = ["/bin/sh", "-c", 'LISTEN_PID=$$ exec "$@"', "sh", *arguments]
    try:
        child = os.posix_spawn("/bin/sh", command, environment, file_actions=actions)
    finally:
        for fd in high:
            os.close(fd)
        theirs.close()
    ours.setblocking(False)
    return child, ours


def own_command_line() -> list[str]:
    """How this process was started, to start a successor likewise."""
    main = sys.modules.get("__main__")
    spec = getattr(main, "__spec__", None)
    flags = ["-B"] if sys.dont_write_bytecode else []
    if spec is not None and spec.name:
        return [sys.executable, *flags, "-m", spec.name.removesuffix(".__main__"), *sys.argv[1:]]
    return [sys.executable, *flags, *sys.argv]


def await_ready(loop: Loop, channel: socket.socket) -> Generator[Wait, int, str]:
    """Until the successor is ready: empty; or why it will not be."""
    until = loop.now + READY_TIMEOUT_US
    heard = b""
    while READY_MESSAGE not in heard:
        if not (yield Wait(channel.fileno(), IN, until)):
            return "it was not ready in time"
        try:
            data = channel.recv(4096)
        except BlockingIOError:
            continue
        except OSError as fault:
            return str(fault.strerror)
        if not data:
            return "it ended before it was ready"
        heard += data
    return ""


def send_state(loop: Loop, channel: socket.socket, lines: list[dict[str, Any]]) -> Generator[Wait, int, bool]:
    """What stands, a JSON line each, then the end; false where the successor has gone."""
    data = b"".join(json.dumps(one, separators=(",", ":")).encode() + b"\n" for one in lines) + DONE_MESSAGE
    while data:
        try:
            data = data[channel.send(data) :]
        except BlockingIOError:
            yield Wait(until=loop.now + 1000)
        except OSError:
            return False
    return True


def receive_state(channel: socket.socket) -> Generator[Wait, int, list[dict[str, Any]] | None]:
    """What the predecessor sends before it ends; none where it ended without."""
    held, lines, done = b"", list[dict[str, Any]](), False
    while True:
        yield Wait(channel.fileno(), IN)
        try:
            data = channel.recv(RECEIVE_SIZE)
        except BlockingIOError:
            continue
        except OSError:
            data = b""
        if not data:
            return lines if done else None
        *whole, held = (held + data).split(b"\n")
        for line in whole:
            if line + b"\n" == DONE_MESSAGE:
                done = True  # ...but it has ended only when the channel does
                continue
            try:
                value = json.loads(line)
            except ValueError:
                continue
            if isinstance(value, dict):
                lines.append(value)
