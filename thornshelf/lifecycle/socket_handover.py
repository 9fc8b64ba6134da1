"""The hand-over of listening sockets and state from a dispatcher process to its successor.

The sockets are inherited by the LISTEN_FDS convention (sd_listen_fds(3)): descriptors from 3 on, LISTEN_PID and
LISTEN_FDNAMES. The successor reports through a channel, a socket pair, that it is ready. Until then, and if it never
is, the old process keeps serving. After that the old process stops accepting connections, finishes the open requests
and sends its state through the same channel, so that the successor can send the releases of its tasks. The successor
is told how many descriptors the old process may still have open, so that both together stay within the limit.
"""

from __future__ import annotations

import json
import os
import socket
import sys
from collections.abc import Generator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from thornshelf.loop import Loop, Wait
from thornshelf.loop.loop import IN

LISTEN_FDS_START = 3  # SD_LISTEN_FDS_START of sd_listen_fds(3)
READY_TIMEOUT_US = 10_000_000  # a successor that is not ready after this time has failed
SEND_RETRY_US = 1_000  # interval of attempts to write while the channel's buffer is full
CHANNEL_VARIABLE = "THORNSHELF_CHANNEL"
DESCRIPTORS_VARIABLE = "THORNSHELF_HELD"  # descriptors that the predecessor may have open until it has ended
READY_MESSAGE = b"ready\n"
DONE_MESSAGE = b"done\n"
RECEIVE_SIZE = 64 * 1024
READY_RECEIVE_SIZE = 4096


@dataclass(frozen=True, slots=True)
class InheritedSockets:
    """What a predecessor passed on: its listening sockets by name, and the channel to it.

    ``predecessor_descriptors`` is how many descriptors the predecessor may have open until it has ended.
    """

    sockets: dict[str, socket.socket]
    channel: socket.socket | None = None
    predecessor_descriptors: int = 0


class Successor(NamedTuple):
    """A successor process, and this process's end of the channel to it."""

    process_id: int
    channel: socket.socket


def inherit_sockets(environment: Mapping[str, str]) -> InheritedSockets:
    """Open the sockets of the LISTEN_FDS convention.

    Returns no sockets if the variables are invalid or meant for another process.
    """
    if environment.get("LISTEN_PID") != str(os.getpid()):
        return InheritedSockets({})
    try:
        count = int(environment.get("LISTEN_FDS", "0"))
        channel_descriptor = int(environment.get(CHANNEL_VARIABLE, "-1"))
        predecessor_descriptors = int(environment.get(DESCRIPTORS_VARIABLE, "0"))
    except ValueError:
        return InheritedSockets({})
    names = environment.get("LISTEN_FDNAMES", "").split(":")
    sockets = {}
    for index in range(count):
        listener = socket.socket(fileno=LISTEN_FDS_START + index)
        listener.set_inheritable(False)
        name = names[index] if index < len(names) else ""
        sockets[name or f"unknown{index}"] = listener
    channel = None
    if channel_descriptor >= 0:
        channel = socket.socket(fileno=channel_descriptor)
        channel.set_inheritable(False)
        channel.setblocking(False)
    return InheritedSockets(sockets, channel, predecessor_descriptors)


def spawn_successor(
    arguments: list[str], sockets: Mapping[str, socket.socket], open_descriptors: int
) -> Successor:
    """Start a successor by a command line, with copies of the listening sockets.

    ``open_descriptors`` is how many descriptors this process may have open until it has ended. Raises ``OSError`` if
    no process can be started.

    LISTEN_PID has to be the successor's own process id, so a shell sets it and then replaces itself by exec.
    """
    own_end, successor_end = socket.socketpair()
    channel_descriptor = LISTEN_FDS_START + len(sockets)
    environment = dict(os.environ) | {
        "LISTEN_FDS": str(len(sockets)),
        "LISTEN_FDNAMES": ":".join(sockets),
        CHANNEL_VARIABLE: str(channel_descriptor),
        DESCRIPTORS_VARIABLE: str(open_descriptors),
    }
    copies = [os.dup(sock.fileno()) for sock in (*sockets.values(), successor_end)]
    command = ["/bin/sh", "-c", 'LISTEN_PID=$$ exec "$@"', "sh", *arguments]
    try:
        process_id = os.posix_spawn("/bin/sh", command, environment, file_actions=_file_actions(copies))
    finally:
        for descriptor in copies:
            os.close(descriptor)
        successor_end.close()
    own_end.setblocking(False)
    return Successor(process_id, own_end)


def _file_actions(descriptors: list[int]) -> list[tuple[int, ...]]:
    """Return the posix_spawn actions that move descriptors to ``LISTEN_FDS_START`` and the numbers after it.

    They first copy each descriptor to a number beyond all of these, so that none is overwritten before it is moved.
    """
    base = max(descriptors) + LISTEN_FDS_START + len(descriptors)
    indices = range(len(descriptors))
    actions: list[tuple[int, ...]] = [
        (os.POSIX_SPAWN_DUP2, descriptor, base + index) for index, descriptor in enumerate(descriptors)
    ]
    actions += [(os.POSIX_SPAWN_DUP2, base + index, LISTEN_FDS_START + index) for index in indices]
    actions += [(os.POSIX_SPAWN_CLOSE, base + index) for index in indices]
    return actions


def own_command_line() -> list[str]:
    """Return the command line that starts another process like this one."""
    main = sys.modules.get("__main__")
    spec = getattr(main, "__spec__", None)
    flags = ["-B"] if sys.dont_write_bytecode else []
    if spec is not None and spec.name:
        return [sys.executable, *flags, "-m", spec.name.removesuffix(".__main__"), *sys.argv[1:]]
    return [sys.executable, *flags, *sys.argv]


def await_ready(loop: Loop, channel: socket.socket) -> Generator[Wait, int, str]:
    """Wait until the successor is ready; returns an empty string, or the reason why it failed."""
    until = loop.now + READY_TIMEOUT_US
    received = b""
    while READY_MESSAGE not in received:
        if not (yield Wait(channel.fileno(), IN, until)):
            return "it was not ready in time"
        try:
            data = channel.recv(READY_RECEIVE_SIZE)
        except BlockingIOError:
            continue
        except OSError as error:
            return str(error.strerror)
        if not data:
            return "it ended before it was ready"
        received += data
    return ""


def send_state(loop: Loop, channel: socket.socket, lines: list[dict[str, Any]]) -> Generator[Wait, int, bool]:
    """Send the state, one JSON object per line, and the end mark; returns False if the successor has gone."""
    data = b"".join(json.dumps(line, separators=(",", ":")).encode() + b"\n" for line in lines) + DONE_MESSAGE
    while data:
        try:
            data = data[channel.send(data) :]
        except BlockingIOError:
            yield Wait(until=loop.now + SEND_RETRY_US)
        except OSError:
            return False
    return True


def receive_state(channel: socket.socket) -> Generator[Wait, int, list[dict[str, Any]] | None]:
    """Receive the predecessor's state until it closes the channel.

    Returns the records, or None if the predecessor sent no end mark.
    """
    buffer = b""
    records = list[dict[str, Any]]()
    complete = False
    while True:
        yield Wait(channel.fileno(), IN)
        try:
            data = channel.recv(RECEIVE_SIZE)
        except BlockingIOError:
            continue
        except OSError:
            data = b""
        if not data:
            return records if complete else None
        *lines, buffer = (buffer + data).split(b"\n")
        for line in lines:
            if line + b"\n" == DONE_MESSAGE:
                complete = True  # the channel stays open until the predecessor has ended
            elif (record := _parse_record(line)) is not None:
                records.append(record)


def _parse_record(line: bytes) -> dict[str, Any] | None:
    """Decode a line; returns None for anything but a JSON object, as a later version may send other lines."""
    try:
        value = json.loads(line)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
