"""Shared parts of the cases 6 to 10: the dispatcher process, and stand-ins for clients and nodes on loopback.

A case is a coroutine that gets a ``Rig`` and returns whether the rule held. ``main`` runs it, and maps the result to
the exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
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
TIME_LIMIT_S = 110.0
READY_TIMEOUT_S = 20.0
END_TIMEOUT_S = 2.0
_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1

# Types and parameters of the binary messages, as the protocol page gives them.
SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, TEST, TESTED = 1, 6, 9, 12, 16, 44, 52, 53
P_CLASS, P_WAIT, P_KEY, P_REPORT, P_IDEM, P_CAUSE, P_DESCRIPTION = 129, 132, 141, 156, 168, 171, 174


class CaseError(Exception):
    """The case could not run as intended."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start:9.3f} {text}\n")
        self._file.flush()


def _end_with_parent() -> None:
    """Have the kernel kill this process when the script ends, however that ends."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def free_port() -> int:
    """Return a port of the loopback address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def instance(name: str, port: int, **changes: Any) -> dict[str, Any]:
    """Return an entry of the list of servers."""
    return {
        "instanceId": name, "hostPort": f"{HOST}:{port}", "zone": "jackson-dc", "machineType": "node-large",
        "cell": 1, "lifecycle": "in_service", "weight": 1, "startedAtMs": 0,
    } | changes  # fmt: skip


class Rig:
    """The temporary folder, the record and the processes of one run."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.processes: list[subprocess.Popen[bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []  # of all connections of the stand-ins

    def config(self, nodes: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the project's example configuration with other addresses and nodes."""
        value: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
        value["listen"] = f"{HOST}:{free_port()}"
        fleet = {"generation": 1, "reset": True, "instances": nodes}
        value["known"] = {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]}
        return value

    def write_config(self, value: dict[str, Any]) -> Path:
        """Write the configuration file in one step, as an operator's tool would."""
        path = self.folder / "config.json"
        fresh = self.folder / "config.json.new"
        fresh.write_text(json.dumps(value))
        fresh.replace(path)
        return path

    async def start_dispatcher(
        self, config: dict[str, Any], operator: str | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a dispatcher by the deploy file's ``run`` and wait until it passes a test."""
        path = self.write_config(config)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if operator is not None:
            operator_path = self.folder / "operator.toml"
            operator_path.write_text(operator)
            command += f" {operator_path}"
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = os.environ | {
            "LB_NAME": config["name"],
            "LB_LISTEN": config["listen"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }
        environment.pop("PYTHONPATH", None)
        with (self.folder / "dispatcher.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_end_with_parent,
            )
        self.processes.append(process)
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if process.poll() is not None:
                raise CaseError(f"the dispatcher ended with {process.returncode}: {self.log_tail()}")
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                client = await JsonClient.connect(self, config["listen"])
                try:
                    await client.send({"kind": "check", "uid": "0" * 16, "meta": {}, "reason": 0})
                    line = await asyncio.wait_for(client.lines.get(), 2)
                finally:
                    await client.close()
                if line is not None and line.get("reason") == 1:
                    self.record("dispatcher: ready")
                    return process
            await asyncio.sleep(0.05)
        raise CaseError(f"the dispatcher was not ready in time: {self.log_tail()}")

    def log_tail(self) -> str:
        """Return the end of the dispatcher's log."""
        return (self.folder / "dispatcher.log").read_text(errors="replace")[-1500:]

    def end_processes(self) -> None:
        """End the processes that this run has started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes:
            try:
                process.wait(END_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class JsonClient:
    """A client connection in JSON lines; ``lines`` gets each line, then None at the end of the connection."""

    def __init__(self, rig: Rig, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.rig = rig
        rig.writers.append(writer)
        self.writer = writer
        self.lines: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        self.received: list[tuple[float, dict[str, Any]]] = []
        self.longest_line = 0
        self._task = asyncio.ensure_future(self._read(reader))

    @classmethod
    async def connect(cls, rig: Rig, address: str, source: str = HOST) -> JsonClient:
        """Connect to a dispatcher's listening address, from the loopback address ``source``."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22, local_addr=(source, 0))
        return cls(rig, reader, writer)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, ValueError):
            while line := await reader.readline():
                self.longest_line = max(self.longest_line, len(line))
                value = json.loads(line)
                self.received.append((time.monotonic(), value))
                self.lines.put_nowait(value)
        self.lines.put_nowait(None)

    async def send(self, value: dict[str, Any]) -> None:
        """Send one line, in which text stands as UTF-8."""
        self.writer.write(json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode() + b"\n")
        await self.writer.drain()

    async def launch(
        self,
        uid: int,
        task_class: str,
        left_ms: int,
        body: str = "v=0\r\n",
        tenant: str | None = "hollis-county",
        **meta: str,
    ) -> None:
        """Send a set-up; ``meta`` adds fields to it, or replaces them."""
        fields = {"class": task_class, "left": str(left_ms), "key": f"{uid:016x}"}
        fields["extras"] = "cores:1;memory:1;service:00000000b4d65521"
        if tenant is not None:
            fields["tenant"] = tenant
        fields |= meta
        self.rig.record(f"client: launch {uid:016x} {fields['class']} left {left_ms} body {len(body)} chars")
        await self.send({"kind": "launch", "uid": f"{uid:016x}", "meta": fields, "body": body})

    def of(self, uid: int, *kinds: str) -> list[tuple[float, dict[str, Any]]]:
        """Return the lines received for a task, with their times."""
        name = f"{uid:016x}"
        return [(at, line) for at, line in self.received if line["uid"] == name and line["kind"] in kinds]

    async def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self.writer.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()


def encode(kind: int, uid: int, values: dict[int, bytes] | None = None) -> bytes:
    """Encode a binary message."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in (values or {}).items())
    return struct.pack(">HBQ", len(body) + 9, kind, uid) + body


def decode(body: bytes) -> tuple[int, int, dict[int, bytes]]:
    """Decode a binary message without its length: type, task id and parameters."""
    values: dict[int, bytes] = {}
    offset = 9
    while offset < len(body):
        code, length = struct.unpack_from(">BH", body, offset)
        values[code] = body[offset + 3 : offset + 3 + length]
        offset += 3 + length
    return body[0], int.from_bytes(body[1:9], "big"), values


class BinaryNode:
    """A node that speaks binary messages; it starts each task at once, unless a subclass decides otherwise."""

    report = b"x0:100;x1:100"

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig = rig
        self.name = name
        self.port = free_port()
        self.running: dict[int, asyncio.StreamWriter] = {}
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> BinaryNode:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.rig.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                length = int.from_bytes(await reader.readexactly(2), "big")
                kind, uid, values = decode(await reader.readexactly(length))
                if kind == TEST:
                    answer = {P_CAUSE: b"\x01", P_REPORT: self.report}
                    writer.write(encode(TESTED, uid, answer))
                elif kind == SET_UP:
                    self.rig.record(f"{self.name}: set-up {uid:016x} with parameters {sorted(values)}")
                    await self.set_up(uid, values, writer)
                elif kind == RELEASE:
                    self.rig.record(f"{self.name}: release {uid:016x} from the dispatcher")
                    if self.running.pop(uid, None) is not None:
                        self.end(uid, 31, writer)
        self.writers.remove(writer)
        writer.close()

    async def set_up(self, uid: int, values: dict[int, bytes], writer: asyncio.StreamWriter) -> None:
        """Handle a set-up."""
        self.run(uid, values, writer)

    def run(self, uid: int, values: dict[int, bytes], writer: asyncio.StreamWriter) -> None:
        """Start a task and say so, with the description of its set-up."""
        self.running[uid] = writer
        self.rig.record(f"{self.name}: task {uid:016x} runs")
        writer.write(encode(ANSWER, uid, {P_DESCRIPTION: values.get(P_DESCRIPTION, b"")}))

    def end(self, uid: int, cause: int, writer: asyncio.StreamWriter) -> None:
        """Send a release."""
        self.rig.record(f"{self.name}: release {uid:016x} cause {cause}")
        writer.write(encode(RELEASE, uid, {P_CAUSE: bytes((cause,)), P_REPORT: self.report}))

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


def main(case: Callable[[Rig], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit with its result."""
    record = Record(folder / "record.txt")
    code = 2
    for number in (signal.SIGTERM, signal.SIGHUP):  # so that the dispatcher is ended with the script
        signal.signal(number, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as temporary:
        rig = Rig(Path(temporary), record)
        record(f"case {folder.name}, {'with' if rig.trouble else 'without'} the disruption")
        try:
            held = asyncio.run(_limited(case, rig))
            code = 0 if held else 1
            record("result: the rule held" if held else "result: the rule was broken")
        except Exception as error:  # any other failure of the script is not a broken rule
            record(f"result: could not run: {type(error).__name__}: {error}")
        finally:
            rig.end_processes()
            log = Path(temporary) / "dispatcher.log"
            if log.exists() and os.environ.get("SHOW_LOG"):
                sys.stderr.write(log.read_text(errors="replace"))
    print(f"case {folder.name}: exit {code}")
    sys.exit(code)


async def _limited(case: Callable[[Rig], Awaitable[bool]], rig: Rig) -> bool:
    try:
        return await asyncio.wait_for(case(rig), TIME_LIMIT_S)
    finally:
        rig.end_processes()
        for writer in rig.writers:
            writer.transport.abort()
        await asyncio.sleep(0.05)
