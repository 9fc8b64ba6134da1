"""Stand-ins for the platform, written from its protocol page: owners, servers and a change log.

They run in one process, on asyncio and the real clock. The dispatcher is a process of its own, started by the
command ``run`` of the deploy file. Whatever is sent, answered or run goes into the record of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
PR_SET_PDEATHSIG = 1  # of prctl(2)
READY_S = 30.0  # a dispatcher has to pass its first test within this time
POLL_S = 0.005

# Types and parameters of the binary messages, and causes, as the protocol page numbers them.
SET_UP, ANSWER, RELEASE, TEST, TESTED = 1, 9, 12, 52, 53
CLASS, NAME, NOTE, REPORT, CAUSE, DESCRIPTION = 129, 141, 150, 156, 171, 174
ENDED, CANCELLED, FULL, CUT = 16, 31, 34, 41
REFUSALS = (34, 42, 102)


class CannotRunError(Exception):
    """The case could not be played; this says nothing about the dispatcher."""


def end_with_parent() -> None:
    """Have the kernel kill this new process when its parent ends, also if that is killed outright."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Record:
    """The record of one run: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.began

    def add(self, who: str, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.3f} {who:<12} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def encode(kind: int, uid: str, values: dict[int, bytes] | None = None) -> bytes:
    """Encode one binary message."""
    parameters = b"".join(struct.pack(">BH", code, len(v)) + v for code, v in (values or {}).items())
    return struct.pack(">HB", 9 + len(parameters), kind) + bytes.fromhex(uid) + parameters


def decode(body: bytes) -> tuple[int, str, dict[int, bytes]]:
    """Decode one binary message without its length."""
    values, at = {}, 9
    while at < len(body):
        code, length = struct.unpack_from(">BH", body, at)
        values[code] = body[at + 3 : at + 3 + length]
        at += 3 + length
    return body[0], body[1:9].hex(), values


async def wait_until(test: Callable[[], bool], seconds: float) -> bool:
    """Wait until a test holds, for so many seconds at most; return whether it does."""
    until = time.monotonic() + seconds
    while not test():
        if time.monotonic() >= until:
            return False
        await asyncio.sleep(POLL_S)
    return True


class ChangeLog:
    """The change log: numbered events, answered to long polls over HTTP/1.1; it can fall silent."""

    def __init__(self, record: Record, instances: list[dict[str, Any]], name: str = "change log") -> None:
        self.record = record
        self.name = name
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self._silent = False
        self.tell(instances, reset=True)

    @property
    def address(self) -> str:
        """Return the address that the configuration names."""
        return f"{HOST}:{self.port}"

    def known(self) -> dict[str, Any]:
        """Return the events up to now, as the configuration holds them."""
        return {"seq": len(self.events), "results": list(self.events)}

    def tell(self, instances: list[dict[str, Any]], *, reset: bool = False) -> None:
        """Add an event."""
        number = len(self.events) + 1
        fleet = {"generation": number, "reset": reset, "instances": instances}
        self.events.append({"seq": number, "fleet": fleet})
        states = ", ".join(f"{one['instanceId']} {one['lifecycle']}" for one in instances)
        self.record.add(self.name, f"event {number} is in the log: {states}")

    def fall_silent(self, *, silent: bool) -> None:
        """Stop telling anything, with all connections open, or tell again."""
        self._silent = silent
        self.record.add(self.name, "FALLS SILENT" if silent else "tells again")

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii")
                query = head.split(" ")[1].partition("?")[2]
                asked = dict(part.split("=") for part in query.split("&"))
                body = await self._answer(int(asked["since"]), int(asked["timeout"]) / 1000)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
                writer.write(b"Content-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()

    async def _answer(self, since: int, timeout_s: float) -> bytes:
        until = time.monotonic() + timeout_s
        while self._silent or (len(self.events) <= since and time.monotonic() < until):
            await asyncio.sleep(POLL_S)
        return json.dumps({"seq": len(self.events), "results": self.events[since:]}).encode()


class Server:
    """A server: it starts each set-up, and tells the ends of its tasks as the protocol page says."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.port = 0
        self.tasks: dict[str, Connection | None] = {}  # those that run, with the connection of their set-up
        self.starts: list[str] = []  # the name of the task of each start
        self.set_ups: list[str] = []  # the id of each set-up that has arrived
        self.connections: list[Connection] = []
        self.accepted = 0
        self.on_set_up: Callable[[Connection, str, dict[int, bytes]], Awaitable[bool]] | None = None
        self.vanished = False  # the machine has gone: it says nothing, and reads nothing more
        self._for_next: list[str] = []  # the ends that are told also on the next connection
        self._socket = socket.socket()
        self._fillers: list[socket.socket] = []

    def entry(self, lifecycle: str = "in_service", started_ms: int = 0) -> dict[str, Any]:
        """Return the server's entry in the change log."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "jackson-dc",
            "machineType": "node-large",
            "cell": 1,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": started_ms,
        }

    async def start(self) -> None:
        """Listen on a free port."""
        self._socket.bind((HOST, 0))
        self.port = self._socket.getsockname()[1]
        await asyncio.start_server(self._serve, sock=self._socket)

    def vanish(self) -> None:
        """Cut the machine off: open connections stay open and silent, and new ones never come up."""
        self.record.add(self.name, "VANISHES: it says nothing any more, and its tasks are gone with it")
        self.vanished = True
        self.tasks.clear()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.listen(0)
        for _ in range(4):  # once these fill the backlog, the machine answers no further connect
            filler = socket.socket()
            filler.settimeout(0)
            filler.connect_ex((HOST, self.port))
            self._fillers.append(filler)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(self, reader, writer)
        self.connections.append(connection)
        self.accepted += 1
        self.record.add(self.name, f"connection {self.accepted} is up")
        ends, self._for_next = self._for_next, []
        for uid in ends:
            self._tell_end(connection, uid, "on this connection, the next one")
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await connection.run()
        if not connection.forgotten:
            self.connections.remove(connection)
        self.record.add(self.name, "a connection has ended")
        if not self.vanished:
            writer.close()

    def refuse(self, connection: Connection, uid: str, note: str) -> None:
        """Refuse a set-up: it never ran."""
        self.record.add(self.name, f"refuses {uid}: {note}")
        connection.write(encode(RELEASE, uid, {CAUSE: bytes((FULL,)), NOTE: note.encode()}))

    def begin(self, connection: Connection, uid: str, values: dict[int, bytes]) -> None:
        """Start the task of a set-up."""
        name = values[NAME].decode()
        self.starts.append(name)
        self.tasks[uid] = connection
        self.record.add(self.name, f"STARTS task {name}, class {values[CLASS].decode()}, set-up {uid}")

    def answer(self, connection: Connection, uid: str) -> None:
        """Answer that the task stands."""
        self.record.add(self.name, f"answers {uid}: it stands")
        connection.write(encode(ANSWER, uid, {DESCRIPTION: f"runs on {self.name}".encode()}))

    def end(self, uid: str) -> None:
        """End a task, and tell it on the connection of its set-up, else on any, and on the next one."""
        own = self.tasks.pop(uid)
        self.record.add(self.name, f"task of {uid} has come to its end")
        self._for_next.append(uid)
        if own in self.connections:
            self._tell_end(own, uid, "on the connection of its set-up")
        elif self.connections:
            self._tell_end(self.connections[-1], uid, "on the open connection")

    def _tell_end(self, connection: Connection, uid: str, where: str) -> None:
        self.record.add(self.name, f"sends the release of {uid}, cause {ENDED}, {where}")
        connection.write(encode(RELEASE, uid, {CAUSE: bytes((ENDED,))}))

    def cut(self, connection: Connection, uid: str) -> None:
        """End a task, or give up its set-up, because the dispatcher has released it."""
        self.record.add(self.name, f"is sent a release of {uid}")
        if self.tasks.pop(uid, self) is not self:
            connection.write(encode(RELEASE, uid, {CAUSE: bytes((CANCELLED,))}))


class Connection:
    """One connection of a dispatcher to a server."""

    def __init__(self, server: Server, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.reader = reader
        self.writer = writer
        self.forgotten = False

    def write(self, data: bytes) -> None:
        """Send a message."""
        if not self.server.vanished:
            self.writer.write(data)

    def forget(self) -> None:
        """Forget the connection: its other end is told nothing, and whatever it sends meets a reset."""
        self.forgotten = True
        self.server.connections.remove(self)
        self.server.record.add(self.server.name, "FORGETS the idle connection, and tells nobody")

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def run(self) -> None:
        """Handle the dispatcher's messages until the connection ends."""
        server = self.server
        while True:
            length = int.from_bytes(await self.reader.readexactly(2), "big")
            if self.forgotten:
                server.record.add(
                    server.name, "is sent something on the forgotten connection, which is reset"
                )
                self.reset()
                return
            kind, uid, values = decode(await self.reader.readexactly(length))
            if server.vanished:
                await asyncio.sleep(3600)
            if kind == SET_UP:
                server.set_ups.append(uid)
                server.record.add(server.name, f"is sent set-up {uid} of task {values[NAME].decode()}")
                if server.on_set_up is None or await server.on_set_up(self, uid, values):
                    server.begin(self, uid, values)
                    server.answer(self, uid)
            elif kind == RELEASE:
                server.cut(self, uid)
            elif kind == TEST:
                self.write(encode(TESTED, uid, {CAUSE: b"\x01", REPORT: b"x0:46;x1:68"}))


class Owner:
    """An owner of tasks, with one connection to a dispatcher."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record = record
        self.name = name
        self.port = port
        self.answers: dict[str, list[dict[str, Any]]] = {}
        self.connected = False
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None

    async def connect(self) -> bool:
        """Connect; return whether a dispatcher is there."""
        try:
            reader, self._writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        except OSError:
            return False
        self.connected = True
        self._reading = asyncio.create_task(self._read(reader))
        return True

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError, ValueError):
            while line := await reader.readline():
                message = json.loads(line)
                self.record.add(self.name, f"receives {line.decode().strip()}")
                self.answers.setdefault(message["uid"], []).append(message)
        if self.connected:
            self.record.add(self.name, "the dispatcher has ended the connection")
        self.connected = False

    def write(self, data: bytes) -> None:
        """Write bytes as they are."""
        assert self._writer is not None
        self._writer.write(data)

    def send(self, message: dict[str, Any]) -> None:
        """Send one line."""
        line = json.dumps(message)
        self.record.add(self.name, f"sends {line:.400}")
        self.write(line.encode() + b"\n")

    def close(self) -> None:
        """Close the connection."""
        self.connected = False
        if self._writer is not None:
            self._writer.close()

    def set_up(self, task: Task, at: str = "") -> None:
        """Send the set-up of a task; ``at`` names the server that holds it already."""
        self.send(task.line(at))

    def heard(self, uid: str, kind: str) -> list[dict[str, Any]]:
        """Return the messages of a kind that came for an id."""
        return [message for message in self.answers.get(uid, []) if message["kind"] == kind]

    async def passes_test(self) -> bool:
        """Test the dispatcher as the front does; return whether it has passed."""
        uid = secrets.token_hex(8)
        self.send({"kind": "check", "uid": uid, "meta": {}, "reason": 0})
        if not await wait_until(lambda: bool(self.heard(uid, "checked")) or not self.connected, 2.0):
            return False
        return any(message.get("reason") == 1 for message in self.heard(uid, "checked"))


class Task:
    """A task of an owner, and one set-up of it."""

    def __init__(self, task_class: str, left_s: float) -> None:
        self.task_class = task_class
        self.left_s = left_s
        self.name = secrets.token_hex(8)
        self.uid = secrets.token_hex(8)
        self.service = secrets.token_hex(8)

    def line(self, at: str = "") -> dict[str, Any]:
        """Return the set-up as a JSON object."""
        extras = f"cores:1;memory:2;service:{self.service}" + (f";at:{at}" if at else "")
        meta = {
            "class": self.task_class,
            "left": f"{self.left_s * 1000:.0f}",
            "tenant": "hollis-county",
            "key": self.name,
            "hint": "30000.0",
            "extras": extras,
        }
        return {"kind": "launch", "uid": self.uid, "meta": meta, "body": f"task {self.name}\r\n"}


class Dispatcher:
    """The project's dispatcher, as the deploy file's ``run`` starts it, in a folder of its own."""

    def __init__(self, record: Record, folder: Path, changelog: ChangeLog, name: str = "n0") -> None:
        self.record = record
        self.name = name
        self.port = free_port()
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.temporary = folder / name
        self.temporary.mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self.changelog = changelog
        example = json.loads((ROOT / "examples" / "config.json").read_text(encoding="utf-8"))
        self.settings: dict[str, Any] = example["settings"]

    def config(self) -> dict[str, Any]:
        """Return the configuration of a start now."""
        return {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": self.changelog.address,
            "known": self.changelog.known(),
            "settings": self.settings,
        }

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file, as a whole."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config), encoding="utf-8")
        new.replace(self.config_path)

    def start(self) -> None:
        """Write the configuration of a start now, and start the process by the deploy file's command."""
        self.write_config(self.config())
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(self.temporary)}
        environment |= {"LB_NAME": self.name, "LB_LISTEN": f"{HOST}:{self.port}"}
        environment |= {"LB_CONFIG": str(self.config_path)}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )
        self.record.add(self.name, "the dispatcher is started")

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        if self.process.poll() is not None:
            raise CannotRunError(f"the dispatcher has ended with {self.process.returncode}")
        self.record.add(self.name, f"the dispatcher is sent {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process outright."""
        self.signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self.log_path.read_text(encoding="utf-8", errors="replace") if self.log_path.exists() else ""

    def cleanup(self) -> None:
        """End the process, and add its log to the record."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for line in self.log_text().splitlines():
            self.record.add(f"log of {self.name}", line)

    async def front(self, name: str) -> Owner:
        """Connect an owner, as soon as the dispatcher has passed a test after its start."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRunError(f"the dispatcher has ended with {self.process.returncode}")
            owner = Owner(self.record, name, self.port)
            if await owner.connect() and await owner.passes_test():
                return owner
            owner.close()
            await asyncio.sleep(0.02)
        raise CannotRunError("the dispatcher did not get ready")


def play(case: Callable[..., Awaitable[list[str]]], folder: Path) -> None:
    """Play a case, and exit with 1 if it names broken rules, 0 if it names none, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))  # ends the processes that were started
    record = Record(folder / "record.txt")
    record.add("case", f"begins, {'with' if trouble else 'without'} the disruption")
    code = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(asyncio.wait_for(case(record, Path(temporary), trouble=trouble), 110.0))
        for text in broken:
            record.add("case", f"BROKEN: {text}")
        code = 1 if broken else 0
        record.add("case", "the rule was broken" if broken else "the rule held")
    except Exception as error:  # also a fault of the case itself: exit code 1 is for broken rules alone
        record.add("case", f"could not run: {type(error).__name__}: {error}")
    finally:
        sys.stdout.write((folder / "record.txt").read_text(encoding="utf-8").splitlines()[-1] + "\n")
    sys.exit(code)
