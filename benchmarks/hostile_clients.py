"""Plays hostile clients and nodes against a dispatcher process, and prints what they cost it.

``python -m benchmarks.hostile_clients SCENARIO...``, without arguments all of ``SCENARIOS``. Each starts a dispatcher
with nodes of its own on loopback, plays for some seconds beside a usual client, and prints the peak memory of the
process in MB, the slowest usual answer in seconds, and how many usual requests were not answered in time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import h2.config
import h2.connection
from hyperframe.frame import ContinuationFrame, HeadersFrame

from thornshelf.wire import binary
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire.grpc import encode_message

HOST = "127.0.0.1"
EXAMPLE_CONFIG = Path(__file__).parents[1] / "examples" / "config.json"
PLAY_S = 7.0
USUAL_INTERVAL_S = 0.1
LEFT_MS = 4000
LATEST_ANSWER_S = LEFT_MS / 1000 + 0.55
READY_TIMEOUT_S = 20.0
CROWD = 300  # connections; clients hold at most a third of the 1,024 descriptors
HEADER_FRAME_BYTES = 16_000
HEADER_FRAMES = 60
NODE_COUNT = 4
USUAL_UID = 0x51A0 << 48
HOSTILE_UID = 0xBAD0 << 48


class Node:
    """A node for binary messages that starts each task ``start_delay_s`` after its set-up, and records starts."""

    def __init__(self, name: str, port: int = 0, start_delay_s: float = 0.0) -> None:
        self.name = name
        self.port = port
        self.start_delay_s = start_delay_s
        self.set_ups: list[tuple[float, int]] = []
        self.started: list[int] = []
        self.running: set[int] = set()
        self.writers: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> Node:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def crash(self) -> None:
        """Reset all connections, stop listening, and cut all tasks."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.running.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        messages = binary.MessageReader()
        waiting: dict[int, asyncio.TimerHandle] = {}
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                messages.feed(data)
                while (message := messages.next()) is not None:
                    self._handle(message, writer, waiting)
        for timer in waiting.values():
            timer.cancel()  # closing a connection gives up the set-ups that are open on it
        self.writers.remove(writer)
        writer.close()

    def _handle(
        self, message: binary.Message, writer: asyncio.StreamWriter, waiting: dict[int, asyncio.TimerHandle]
    ) -> None:
        if message.type == binary.TEST:
            report = {binary.CAUSE: b"\x01", binary.REPORT: b"x0:100;x1:100"}
            writer.write(binary.encode(binary.TESTED, message.uid, report))
        elif message.type == binary.SET_UP:
            self.set_ups.append((time.monotonic(), message.uid))
            loop = asyncio.get_running_loop()
            waiting[message.uid] = loop.call_later(
                self.start_delay_s, self._start_task, message.uid, writer, waiting
            )
        elif message.type == binary.RELEASE:
            if (timer := waiting.pop(message.uid, None)) is not None:
                timer.cancel()
            elif message.uid in self.running:
                self.running.discard(message.uid)
                writer.write(binary.encode(binary.RELEASE, message.uid, {binary.CAUSE: b"\x1f"}))

    def _start_task(
        self, uid: int, writer: asyncio.StreamWriter, waiting: dict[int, asyncio.TimerHandle]
    ) -> None:
        waiting.pop(uid, None)
        self.started.append(uid)
        self.running.add(uid)
        writer.write(binary.encode(binary.ANSWER, uid, {binary.DESCRIPTION: b"v=0"}))


class ChangeLog:
    """The change log: answers polls with the events that came after the one they name."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def append(self, *instances: dict[str, Any], reset: bool = False) -> None:
        """Add an event."""
        fleet = {"generation": len(self.events) + 1, "reset": reset, "instances": list(instances)}
        self.events.append({"seq": len(self.events) + 1, "fleet": fleet})
        self._changed.set()
        self._changed = asyncio.Event()

    def since(self, number: int) -> dict[str, Any]:
        """Return the answer to a poll."""
        return {"seq": len(self.events), "results": self.events[number:]}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the polls on one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                number = int(head.split("since=")[1].split("&")[0].split()[0])
                if number >= len(self.events):
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), 2.0)
                body = json.dumps(self.since(number)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()


class Rig:
    """A dispatcher process with nodes and a change log; ``answers``: the usual client's first answers, by id."""

    def __init__(self) -> None:
        self.nodes: list[Node] = []
        self.change_log = ChangeLog()
        self.json_address = (HOST, 0)
        self.grpc_address = (HOST, 0)
        self.answers: dict[int, tuple[float, str]] = {}
        self.process: subprocess.Popen[bytes] | None = None

    def instance(self, node: Node, lifecycle: str = "in_service", port: int | None = None) -> dict[str, Any]:
        """Return a node's entry in the list."""
        return {
            "instanceId": node.name,
            "hostPort": f"{HOST}:{port or node.port}",
            "zone": "jackson-dc",
            "machineType": "node-large",
            "cell": 1,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": 0,
        }

    async def start(self, folder: Path, node_count: int, start_delay_s: float) -> None:
        """Start the nodes, the change log and the dispatcher, and wait until it accepts connections."""
        for index in range(node_count):
            self.nodes.append(await Node(f"s-{index + 1:08x}", 0, start_delay_s).start())
        self.change_log.append(*(self.instance(node) for node in self.nodes), reset=True)
        log_server = await asyncio.start_server(self.change_log.serve, HOST, 0)
        self.json_address, self.grpc_address = (HOST, free_port()), (HOST, free_port())
        config = json.loads(EXAMPLE_CONFIG.read_text())
        config["listen"] = f"{HOST}:{self.json_address[1]}"
        config["changelog"] = f"{HOST}:{log_server.sockets[0].getsockname()[1]}"
        config["known"] = self.change_log.since(0)
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "operator.toml").write_text(f'[grpc]\nlisten = "{HOST}:{self.grpc_address[1]}"\n')
        with (folder / "log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "thornshelf", str(folder / "operator.toml")],
                env=os.environ | {"LB_CONFIG": str(folder / "config.json")},
                stdout=log,
                stderr=log,
            )
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.grpc_address)
                writer.close()
                return
            assert time.monotonic() < deadline, (folder / "log").read_text()
            await asyncio.sleep(0.05)

    def peak_memory_mb(self) -> float:
        """Return the peak of the process's resident memory."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024


def free_port() -> int:
    """Return a port of the loopback address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def launch(uid: int, body: str = "x", task_class: str = "lookup", **meta: str) -> bytes:
    """Encode a request as a JSON line."""
    fields = {
        "class": task_class,
        "left": str(LEFT_MS),
        "tenant": "hollis-county",
        "key": f"{uid:016x}",
    } | meta
    return json.dumps({"kind": "launch", "uid": f"{uid:016x}", "meta": fields, "body": body}).encode() + b"\n"


async def play_usual_client(rig: Rig, until: float) -> dict[int, float]:
    """Send requests at a usual rate until a time, and wait for the last answer; returns when each was sent."""
    reader, writer = await asyncio.open_connection(*rig.json_address)

    async def read() -> None:
        while line := await reader.readline():
            value = json.loads(line)
            rig.answers.setdefault(int(value["uid"], 16), (time.monotonic(), value["kind"]))

    reading = asyncio.ensure_future(read())
    sent: dict[int, float] = {}
    while time.monotonic() < until:
        uid = USUAL_UID + len(sent)
        sent[uid] = time.monotonic()
        writer.write(launch(uid))
        await asyncio.sleep(USUAL_INTERVAL_S)
    await asyncio.sleep(LATEST_ANSWER_S)
    reading.cancel()
    writer.close()
    return sent


async def flood(address: tuple[str, int], make: Callable[[int], bytes], until: float) -> int:
    """Send what ``make`` returns for 0, 1, 2 ... at full speed, reading and ignoring answers; returns the number."""
    count = 0
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)

            async def read(reader: asyncio.StreamReader = reader) -> None:
                with contextlib.suppress(OSError):
                    while await reader.read(1 << 16):
                        pass

            reading = asyncio.ensure_future(read())
            while time.monotonic() < until and not reading.done():
                writer.write(b"".join(make(count + index) for index in range(100)))
                count += 100
                await writer.drain()
                await asyncio.sleep(0)
            reading.cancel()
            writer.close()
        await asyncio.sleep(0)
    return count


async def hold_crowd(address: tuple[str, int], chunks: list[bytes], pause_s: float, until: float) -> None:
    """Hold ``CROWD`` connections, each of which writes the chunks with pauses and then stops; replace closed ones."""

    async def hold() -> None:
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*address)
                for chunk in chunks:
                    writer.write(chunk)
                    await writer.drain()
                    await asyncio.sleep(pause_s)
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(reader.read(1 << 16), max(0.1, until - time.monotonic()))
                writer.close()
            await asyncio.sleep(0.05)

    await asyncio.gather(*(hold() for _ in range(CROWD)))


def grpc_preface(path: str = "/thornshelf.v1.Placement/Dispatch") -> tuple[h2.connection.H2Connection, int]:
    """Return a client's connection state after the preface and the headers of one call."""
    connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    connection.initiate_connection()
    headers = [(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", HOST)]
    headers += [("te", "trailers"), ("content-type", "application/grpc")]
    connection.send_headers(1, headers)
    return connection, 1


def data_frame(stream: int, data: bytes) -> bytes:
    """Encode a DATA frame."""
    return len(data).to_bytes(3, "big") + b"\0\0" + stream.to_bytes(4, "big") + data


# (a) crowds


async def slow_json(rig: Rig, until: float) -> None:
    """Hundreds of clients write one large request slowly."""
    line = launch(HOSTILE_UID, "y" * 15_000)
    await hold_crowd(rig.json_address, [line[i : i + 500] for i in range(0, len(line), 500)], 0.1, until)


async def half_json(rig: Rig, until: float) -> None:
    """Hundreds of clients stop half way through a large request."""
    await hold_crowd(rig.json_address, [launch(HOSTILE_UID, "y" * 15_000)[:12_000]], 0.0, until)


async def half_grpc(rig: Rig, until: float) -> None:
    """Hundreds of clients stop half way through a large message."""
    connection, stream = grpc_preface()
    head = connection.data_to_send()
    await hold_crowd(
        rig.grpc_address,
        [head, data_frame(stream, b"\0" + (16_000).to_bytes(4, "big") + b"y" * 12_000)],
        0.0,
        until,
    )


async def heads_grpc(rig: Rig, until: float) -> None:
    """Hundreds of clients send a head of very many short fields that never ends."""
    connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    connection.initiate_connection()
    block = b"\x00\x01a\x01b" * (HEADER_FRAME_BYTES // 5)  # literal fields without indexing
    head = connection.data_to_send() + HeadersFrame(1, data=block).serialize()
    frame = ContinuationFrame(1, data=block).serialize()
    await hold_crowd(rig.grpc_address, [head, *[frame] * HEADER_FRAMES], 0.0, until)


# (b) one connection at full speed


async def unsound_json(rig: Rig, until: float) -> None:
    """One client sends lines that are no requests."""
    await flood(rig.json_address, lambda number: b'{"kind":"launch","uid":"%016x"}\n' % number, until)


async def new_names_json(rig: Rig, until: float) -> None:
    """One client sends small requests under ever new classes and tenants."""
    await flood(
        rig.json_address,
        lambda number: launch(HOSTILE_UID + number, task_class=f"c{number}", tenant=f"t{number}"),
        until,
    )


async def hand_overs_json(rig: Rig, until: float) -> None:
    """One client hands over tasks that run on ever new nodes."""
    await flood(
        rig.json_address,
        lambda number: launch(HOSTILE_UID + number, extras=f"cores:1;memory:1;at:s-{number:08x}"),
        until,
    )


async def small_json(rig: Rig, until: float) -> None:
    """One client requests tasks and withdraws each at once."""
    await flood(
        rig.json_address,
        lambda number: launch(HOSTILE_UID + number)
        + b'{"kind":"stop","uid":"%016x","reason":16}\n' % (HOSTILE_UID + number),
        until,
    )


async def hand_overs_grpc(rig: Rig, until: float) -> None:
    """One client hands over tasks that run on ever new nodes, on one stream."""
    connection, stream = grpc_preface()
    head = connection.data_to_send()

    def make(number: int) -> bytes:
        ask = pb.Ask(
            uid=HOSTILE_UID + number, task_class="lookup", left_ms=4000.0, at=f"s-{number:08x}", cores=1.0
        )
        frame = data_frame(stream, encode_message(pb.ClientMessage(ask=ask)))
        return frame if number else head + frame

    await flood(rig.grpc_address, make, until)


async def calls_grpc(rig: Rig, until: float) -> None:
    """One client opens calls of methods that do not exist, and pings."""
    connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    connection.initiate_connection()
    head = connection.data_to_send()

    def make(number: int) -> bytes:
        connection, stream = grpc_preface(f"/none.{number}/None")
        connection.data_to_send()
        connection.ping(b"thornshf")
        encoder = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True)).encoder
        fields = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", f"/none.{number}/None"),
            (":authority", HOST),
        ]
        block = encoder.encode([*fields, ("content-type", "application/grpc")])
        frame = HeadersFrame(2 * number + 1, data=block)
        frame.flags.add("END_HEADERS")
        frame.flags.add("END_STREAM")
        return (b"" if number else head) + frame.serialize() + connection.data_to_send()

    await flood(rig.grpc_address, make, until)


# (c) a client that leaves


async def leaves_unread(rig: Rig, until: float) -> None:
    """A client sends hundreds of requests and closes at once; prints the set-ups that began over 0.1 s later."""
    late = 0
    while time.monotonic() < until:
        _, writer = await asyncio.open_connection(*rig.json_address)
        writer.write(b"".join(launch(HOSTILE_UID + index, "z" * 500) for index in range(600)))
        await asyncio.sleep(0.01)
        writer.transport.abort()
        left_at = time.monotonic()
        await asyncio.sleep(0.6)
        late += sum(
            at > left_at + 0.1
            for node in rig.nodes
            for at, uid in node.set_ups
            if uid >= HOSTILE_UID and at > left_at
        )
    print(f"    set-ups over 0.1 s after their client had left: {late}")


async def same_id_again(rig: Rig, until: float) -> None:
    """A client leaves while its task starts and comes again under the same id; prints how often that went wrong."""
    twice, rounds = 0, 0
    while time.monotonic() < until:
        uid = HOSTILE_UID + 0x1000 + rounds
        rounds += 1
        _, writer = await asyncio.open_connection(*rig.json_address)
        writer.write(launch(uid, task_class="ledger-batch"))
        await asyncio.sleep(0.02 + 0.0005 * (rounds % 40))
        writer.transport.abort()
        reader, writer = await asyncio.open_connection(*rig.json_address)
        writer.write(launch(uid, task_class="ledger-batch"))
        await asyncio.sleep(0.2)
        copies = sum(uid in node.running for node in rig.nodes)
        answer = await asyncio.wait_for(reader.read(1 << 16), 1.0)
        released = answer.count(b'"stop"')
        twice += copies > 1 or (b'"running"' in answer and bool(released) == bool(copies))
        writer.close()
    print(f"    of {rounds} ids that came again, {twice} ran twice or were told something untrue")


# (d) a new process at the address of one that has gone


async def address_reused(rig: Rig, until: float) -> None:
    """A node dies, and another one listens at its address before the list says so; prints which tasks ran where."""
    await asyncio.sleep(2.0)
    old = max(rig.nodes, key=lambda node: len(node.running))
    running_at_old = set(old.running)
    port = old.port
    old.crash()
    await asyncio.sleep(0.03)
    new = await Node("s-00000099", port).start()
    rig.nodes.append(new)
    await asyncio.sleep(2.0)
    offered_by_old_name = set(new.running)
    rig.change_log.append(rig.instance(old, "terminated"), rig.instance(new))
    await asyncio.sleep(max(0.5, until - time.monotonic()))
    print(
        f"    tasks cut at the old process: {len(running_at_old)}; started at the new one before the list named it: "
        f"{len(offered_by_old_name)}, of which the dispatcher ended there: {len(offered_by_old_name - new.running)}"
    )


Scenario = Callable[[Rig, float], Awaitable[None]]
SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        slow_json, half_json, half_grpc, heads_grpc, unsound_json, new_names_json, hand_overs_json, small_json,
        hand_overs_grpc, calls_grpc, leaves_unread, same_id_again, address_reused,
    )
}  # fmt: skip
SLOW_STARTS = {"same_id_again": 0.03}  # seconds that a node takes to start a task
SINGLE_NODE = {"same_id_again"}


async def play(name: str) -> None:
    """Play one scenario and print its result."""
    rig = Rig()
    with tempfile.TemporaryDirectory() as folder:
        try:
            await rig.start(
                Path(folder), 1 if name in SINGLE_NODE else NODE_COUNT, SLOW_STARTS.get(name, 0.0)
            )
            before_mb = rig.peak_memory_mb()
            until = time.monotonic() + PLAY_S
            sent, _ = await asyncio.gather(play_usual_client(rig, until), SCENARIOS[name](rig, until))
            waits = [rig.answers[uid][0] - at for uid, at in sent.items() if uid in rig.answers]
            late = len(sent) - sum(wait <= LATEST_ANSWER_S for wait in waits)
            print(
                f"{name}: memory {before_mb:.1f} MB before, peak {rig.peak_memory_mb():.1f} MB; "
                f"slowest usual answer {max(waits, default=-1.0):.3f} s; late or none: {late} of {len(sent)}",
                flush=True,
            )
            if os.environ.get("SHOW_LOG"):
                print((Path(folder) / "log").read_text()[-2000:])
        finally:
            if rig.process is not None:
                rig.process.kill()
                rig.process.wait()


if __name__ == "__main__":
    for scenario_name in sys.argv[1:] or SCENARIOS:
        asyncio.run(play(scenario_name))
