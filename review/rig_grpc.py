"""Stand-ins that speak gRPC: a node of the first generation, and a client with one stream of tasks.

HTTP/2 is left to the library h2, with its flow control: bytes are given back to the sender as they are handled, as
usual gRPC libraries do, and pings are answered by the library whatever the program above it does.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import rig as r

from thornshelf.wire import placement_pb2

pb: Any = placement_pb2
HEADERS = [(":status", "200"), ("content-type", "application/grpc")]


def frame(message: Any) -> bytes:
    """Encode a message with gRPC's prefix."""
    data = message.SerializeToString()
    return b"\x00" + len(data).to_bytes(4, "big") + data


class Http2:
    """One HTTP/2 connection: splits what comes on each stream into messages, and sends within the windows."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_client: bool
    ) -> None:
        self.reader, self.writer = reader, writer
        self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(client_side=is_client))
        self.h2.initiate_connection()
        self.buffers: dict[int, bytearray] = {}
        self.queues: dict[int, bytearray] = {}
        self.unread: dict[int, int] = {}  # received bytes of each stream that were not given back
        self.flush()

    def flush(self) -> None:
        """Write what the library has prepared."""
        if (data := self.h2.data_to_send()) and not self.writer.is_closing():
            self.writer.write(data)

    def give_back(self, stream: int, count: int) -> None:
        """Return received bytes to the sender's windows."""
        self.unread[stream] = self.unread.get(stream, 0) - count
        with contextlib.suppress(h2.exceptions.ProtocolError):
            self.h2.acknowledge_received_data(count, stream)
        self.flush()

    def send(self, stream: int, data: bytes) -> None:
        """Queue data of a stream, and send what the windows allow."""
        self.queues.setdefault(stream, bytearray()).extend(data)
        self.send_queued()

    def send_queued(self) -> None:
        """Send what the windows allow."""
        for stream, queue in list(self.queues.items()):
            try:
                while queue and (size := self.h2.local_flow_control_window(stream)) > 0:
                    size = min(size, len(queue), self.h2.max_outbound_frame_size)
                    self.h2.send_data(stream, bytes(queue[:size]))
                    del queue[:size]
            except h2.exceptions.ProtocolError:
                del self.queues[stream]
        self.flush()

    async def events(self) -> list[h2.events.Event] | None:
        """Return the next events; None at the end of the connection."""
        try:
            data = await self.reader.read(65536)
            events = self.h2.receive_data(data) if data else None
        except (OSError, h2.exceptions.ProtocolError):
            return None
        self.flush()
        self.send_queued()
        return events

    def messages(self, event: h2.events.DataReceived) -> list[tuple[bytes, int]]:
        """Return the messages that the data completes, each with the bytes to be given back once it is handled."""
        stream = event.stream_id
        self.unread[stream] = self.unread.get(stream, 0) + event.flow_controlled_length
        buffer = self.buffers.setdefault(stream, bytearray())
        buffer += event.data
        found = []
        while len(buffer) >= 5 and len(buffer) >= 5 + (length := int.from_bytes(buffer[1:5], "big")):
            found.append((bytes(buffer[5 : 5 + length]), 5 + length))
            del buffer[: 5 + length]
        return found


class GrpcNode:
    """A node of ``thornshelf.v1``. While ``hung``, its program handles nothing; its HTTP/2 library goes on."""

    def __init__(self, rig: r.Rig, name: str) -> None:
        self.rig, self.name, self.port = rig, name, r.free_port()
        self.hung = False
        self.running: dict[int, bytes] = {}  # the descriptions of the tasks that stand
        self.started: list[int] = []
        self.arrived: dict[int, float] = {}  # when each set-up had come whole, handled or not
        self.over: dict[int, float] = {}  # when the attempt was over: given up, or answered
        self.binds: dict[
            tuple[Http2, int], deque[tuple[Any, int]]
        ] = {}  # open Bind streams, with unhandled orders
        self.unsent_ends: dict[int, Any] = {}  # ends that wait for the next Bind stream

    async def start(self) -> GrpcNode:
        """Listen."""
        await asyncio.start_server(self._serve, r.HOST, self.port)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.rig.writers.append(writer)
        http = Http2(reader, writer, is_client=False)
        paths: dict[int, str] = {}
        while (events := await http.events()) is not None:
            for event in events:
                self._handle(http, paths, event)
        for bind in [bind for bind in self.binds if bind[0] is http]:
            del self.binds[bind]
        writer.close()

    def _handle(self, http: Http2, paths: dict[int, str], event: h2.events.Event) -> None:
        match event:
            case h2.events.RequestReceived(stream_id=stream, headers=headers):
                path = {bytes(k): bytes(v) for k, v in headers}[b":path"].decode()
                paths[stream] = path.rpartition("/")[2]
                self._open_call(http, stream, paths[stream])
            case h2.events.DataReceived(stream_id=stream) if paths.get(stream) == "Bind":
                orders = self.binds.get((http, stream))
                for data, size in http.messages(event):
                    order = pb.NodeOrder.FromString(data)
                    self._note_arrival(order.uid, order.WhichOneof("kind"))
                    if orders is not None:
                        orders.append((order, size))
                self.handle_orders()
            case h2.events.DataReceived(stream_id=stream):
                for _, size in http.messages(event):
                    self._answer_probe(http, stream, size)
            case h2.events.StreamReset(stream_id=stream, error_code=code) if paths.get(stream) == "Bind":
                self.rig.record(f"{self.name}: the dispatcher resets the Bind stream, code {code}")
                self.binds.pop((http, stream), None)  # its open set-ups are given up; what stands goes on
                http.give_back(stream, max(0, http.unread.get(stream, 0)))

    def _open_call(self, http: Http2, stream: int, method: str) -> None:
        http.h2.send_headers(stream, HEADERS)
        http.flush()
        if method != "Bind":
            return
        self.rig.record(f"{self.name}: the dispatcher opens a Bind stream")
        self.binds[http, stream] = deque()
        for uid, report in self.unsent_ends.items():
            self.rig.record(f"{self.name}: end of {uid:016x} is sent on the new stream")
            http.send(stream, frame(report))
        self.unsent_ends.clear()

    def _answer_probe(self, http: Http2, stream: int, size: int) -> None:
        http.give_back(stream, size)
        if not self.hung:
            http.send(stream, frame(pb.Load(fields={"x0": 100.0, "x1": 100.0})))
            http.h2.send_headers(stream, [("grpc-status", "0")], end_stream=True)
            http.flush()

    def _note_arrival(self, uid: int, kind: str) -> None:
        times = self.arrived if kind == "offer" else self.over
        times.setdefault(uid, time.monotonic())
        self.rig.record(f"{self.name}: {kind} {uid:016x} comes{' while it hangs' if self.hung else ''}")

    def handle_orders(self) -> None:
        """Handle all orders that came, unless the program hangs."""
        if self.hung:
            return
        for (http, stream), orders in list(self.binds.items()):
            withdrawn = {order.uid for order, _ in orders if order.WhichOneof("kind") == "release"}
            while orders:
                order, size = orders.popleft()
                http.give_back(stream, size)
                if order.WhichOneof("kind") == "offer":
                    self._start_task(http, stream, order, withdrawn)
                elif self.running.pop(order.uid, None) is not None:
                    self.rig.record(f"{self.name}: task {order.uid:016x} is ended by the dispatcher")
                    http.send(stream, frame(pb.NodeReport(uid=order.uid, end=pb.End(outcome=pb.CANCELLED))))

    def _start_task(self, http: Http2, stream: int, order: Any, withdrawn: set[int]) -> None:
        if order.uid in withdrawn:
            self.rig.record(f"{self.name}: set-up {order.uid:016x} was given up")
            return
        self.rig.record(f"{self.name}: task {order.uid:016x} runs")
        self.started.append(order.uid)
        self.over.setdefault(order.uid, time.monotonic())
        self.running[order.uid] = order.offer.description
        binding = pb.Binding(description=order.offer.description)
        http.send(stream, frame(pb.NodeReport(uid=order.uid, binding=binding)))

    def end(self, uid: int) -> None:
        """End a task that stands: tell it on any open Bind stream, else on the next one."""
        del self.running[uid]
        report = pb.NodeReport(uid=uid, end=pb.End(outcome=pb.ENDED))
        self.rig.record(f"{self.name}: task {uid:016x} has come to its end")
        if self.binds:
            http, stream = next(reversed(self.binds))
            http.send(stream, frame(report))
        else:
            self.unsent_ends[uid] = report


class GrpcClient:
    """A client of ``thornshelf.v1`` with one stream of tasks at a time, which it opens anew if it was reset."""

    def __init__(self, rig: r.Rig, http: Http2) -> None:
        self.rig, self.http = rig, http
        self.silent = False  # the program reads nothing from its streams; its HTTP/2 library goes on
        self.verdicts: list[tuple[float, Any]] = []
        self.resets = 0
        self._unread: deque[tuple[int, bytes, int]] = deque()
        self.stream = self._open()
        self._task = asyncio.ensure_future(self._read())

    @classmethod
    async def connect(cls, rig: r.Rig, address: str) -> GrpcClient:
        """Connect to a dispatcher's address for gRPC."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        rig.writers.append(writer)
        return cls(rig, Http2(reader, writer, is_client=True))

    def _open(self) -> int:
        stream = int(self.http.h2.get_next_available_stream_id())
        headers = [
            (":method", "POST"), (":scheme", "http"), (":path", "/thornshelf.v1.Placement/Dispatch"),
            (":authority", "dispatcher"), ("te", "trailers"), ("content-type", "application/grpc"),
        ]  # fmt: skip
        self.http.h2.send_headers(stream, headers)
        self.http.flush()
        self.rig.record(f"gRPC client: opens stream {stream}")
        return stream

    async def _read(self) -> None:
        while (events := await self.http.events()) is not None:
            for event in events:
                if isinstance(event, h2.events.DataReceived):
                    for data, size in self.http.messages(event):
                        self._unread.append((event.stream_id, data, size))
                elif isinstance(event, h2.events.StreamReset | h2.events.StreamEnded):
                    self.rig.record(f"gRPC client: stream {event.stream_id} ends: {type(event).__name__}")
                    self.http.give_back(event.stream_id, max(0, self.http.unread.get(event.stream_id, 0)))
                    self.resets += 1
            self.handle()
        self.rig.record("gRPC client: the connection ends")

    def handle(self) -> None:
        """Handle all that came, unless the client is silent; open a stream if the last one has ended."""
        if self.silent:
            return
        while self._unread:
            stream, data, size = self._unread.popleft()
            verdict = pb.Verdict.FromString(data)
            self.verdicts.append((time.monotonic(), verdict))
            self.rig.record(f"gRPC client: {verdict.WhichOneof('kind')} of {verdict.uid:016x}")
            if stream == self.stream:
                self.http.give_back(stream, size)
        if self.resets:
            self.resets = 0
            self.stream = self._open()

    def launch(self, uid: int, task_class: str, left_ms: int, body: str = "v=0\r\n") -> None:
        """Send a set-up."""
        self.rig.record(
            f"gRPC client: asks for {uid:016x} {task_class} left {left_ms} body {len(body)} chars"
        )
        ask = pb.Ask(
            uid=uid, task_class=task_class, left_ms=left_ms, tenant="hollis-county", key=uid, cores=1, memory=1,
            service=0xB4D65521, description=body.encode(),
        )  # fmt: skip
        self.http.send(self.stream, frame(pb.ClientMessage(ask=ask)))

    def of(self, uid: int, *kinds: str) -> list[tuple[float, Any]]:
        """Return the verdicts of some kinds received for a task, with their times."""
        return [(at, v) for at, v in self.verdicts if v.uid == uid and v.WhichOneof("kind") in kinds]
