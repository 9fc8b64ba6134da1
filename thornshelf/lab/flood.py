"""Hostile clients of several kinds, one kind after another, in a process of their own."""

from __future__ import annotations

import errno
import random
import socket
import time
from collections import Counter
from collections.abc import Generator
from typing import Any

from thornshelf.lab.fakes.cluster import GRPC2, HOST, JSON
from thornshelf.lab.load import LOOKUP
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.loop import OUT
from thornshelf.wire import grpc, http2, jsonl
from thornshelf.wire import placement_v2_pb2 as pb2
from thornshelf.wire.errors import WireError

FLOOD_SOURCE = "127.9.0.1"
CROWD_PREFIX = "127.9.1."  # many sources, with few requests from each
PHASE_S = 3.0  # for each kind
KINDS = 6
STREAMS = 50  # gRPC streams of one connection


def connect_from(
    loop: Loop, source: str, address: tuple[str, int], wait_us: int
) -> Generator[Wait, int, Stream | int]:
    """Connect from one of this host's addresses; returns the stream, or an ``errno`` value."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        sock.bind((source, 0))
    except OSError as error:
        sock.close()
        return error.errno or errno.EIO
    code = sock.connect_ex(address)
    try:
        if code == errno.EINPROGRESS:
            code = errno.ETIMEDOUT
            if (yield Wait(sock.fileno(), OUT, loop.now + wait_us)):
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    finally:
        loop.unregister(sock.fileno())
        if code:
            sock.close()
    return code or Stream(loop, sock, source)


def encode_request(uid: int, tenant: str, service: int, time_left_ms: int = 4000) -> bytes:
    """Return a JSON line that requests a lookup."""
    fields = {
        "class": LOOKUP,
        "left": str(time_left_ms),
        "tenant": tenant,
        "key": f"{uid:016x}",
        "hint": "300",
    }
    fields["extras"] = f"cores:1;memory:2;service:{service:016x}"
    return jsonl.encode_line("launch", uid, fields, body=b"x")


class Flood:
    """The hostile clients; ``counts``: number of outcomes, with the keys of the report."""

    def __init__(self, addresses: dict[str, tuple[str, int]], seed: int) -> None:
        """Prepare a flood; ``addresses``: of the frontends, by wire form."""
        self.loop = Loop()
        self.addresses = addresses
        self.rng = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.uid = 1 << 50
        self.running = True

    def run(self) -> dict[str, int]:
        """Run all kinds, one after another; returns the counts."""
        kinds: list[tuple[Any, int, Any]] = [
            (self.send_nothing, 100, lambda: FLOOD_SOURCE),
            (self.close_at_once, 20, lambda: FLOOD_SOURCE),
            (self.send_requests, 20, lambda: FLOOD_SOURCE),
            (self.send_half_lines, 60, lambda: FLOOD_SOURCE),
            (self.send_requests, 60, lambda: CROWD_PREFIX + str(self.rng.randrange(1, 201))),
            (self.open_streams, 4, lambda: FLOOD_SOURCE),
        ]
        for kind, clients, source in kinds:
            self.running = True
            tasks = [self.loop.spawn(self._repeat(kind, source)) for _ in range(clients)]
            end = time.monotonic() + PHASE_S
            while time.monotonic() < end:
                self.loop.call_later(20_000, lambda: None)
                self.loop.turn()
            self.running = False
            for task in tasks:
                self.loop.cancel(task)
        self.loop.close()
        return dict(self.counts)

    def _repeat(self, kind: Any, source: Any) -> Generator[Wait, int, None]:
        """Connect and run one kind of client, again and again."""
        while self.running:
            wire_format = GRPC2 if kind == self.open_streams else JSON
            stream = yield from connect_from(self.loop, source(), self.addresses[wire_format], 1_000_000)
            if isinstance(stream, int):
                self.counts["not connected: " + errno.errorcode.get(stream, str(stream))] += 1
                yield Wait(until=self.loop.now + 5_000)
                continue
            self.counts["connections"] += 1
            try:
                yield from kind(stream)
            finally:
                stream.close()
            yield Wait(until=self.loop.now + self.rng.randrange(500, 4_000))

    def _read_until_closed(self, stream: Stream, deadline_us: int) -> Generator[Wait, int, None]:
        """Read until the dispatcher closes, and count how: with a rejection, without one, or by a reset."""
        received = b""
        while True:
            data = yield from stream.read(deadline_us)
            if data is None:
                self.counts["left alone"] += 1
                return
            if not data:
                break
            received += data
        try:
            stream.sock.recv(1)
            reset = False
        except OSError as error:
            reset = error.errno == errno.ECONNRESET
        has_rejection = b'"reason":34' in received and b'"uid":"0000000000000000"' in received
        self.counts["turned away with a word" if has_rejection else "reset" if reset else "closed"] += 1

    def send_nothing(self, stream: Stream) -> Generator[Wait, int, None]:
        """Send nothing."""
        yield from self._read_until_closed(stream, self.loop.now + 2_500_000)

    def close_at_once(self, stream: Stream) -> Generator[Wait, int, None]:
        """Close the connection at once."""
        self.counts["closed by itself"] += 1
        return
        yield Wait()

    def send_half_lines(self, stream: Stream) -> Generator[Wait, int, None]:
        """Send the beginning of a message only."""
        stream.send(encode_request(1, "hollis-county", 1)[:40])
        yield from self._read_until_closed(stream, self.loop.now + 2_500_000)

    def send_requests(self, stream: Stream) -> Generator[Wait, int, None]:
        """Send requests as fast as the dispatcher reads them."""
        deadline_us = self.loop.now + 1_000_000
        while self.running and stream.open and self.loop.now < deadline_us:
            for _ in range(20):
                self.uid += 1
                stream.send(encode_request(self.uid, "hollis-county", 77))
                self.counts["set-ups"] += 1
            data = yield from stream.read(self.loop.now + 20_000)
            if data == b"":
                yield from self._read_until_closed(stream, self.loop.now)
                return
            if data:
                self.counts["set-ups refused"] += data.count(b'"reason":34')
                self.counts["set-ups placed"] += data.count(b'"running"')

    def open_streams(self, stream: Stream) -> Generator[Wait, int, None]:
        """Send requests on many gRPC streams of one connection."""
        h2 = http2.Http2Connection(True, stream.send)
        headers = [(":method", "POST"), (":scheme", "http"), (":path", "/thornshelf.v2.Placement/Dispatch")]
        headers += [(":authority", HOST), ("te", "trailers"), ("content-type", "application/grpc")]
        calls = [h2.open_stream(headers) for _ in range(STREAMS)]
        deadline_us = self.loop.now + 1_000_000
        while self.running and stream.open and self.loop.now < deadline_us:
            for call in calls:
                self.uid += 1
                request = pb2.Ask(
                    uid=self.uid, task_class=LOOKUP, key=self.uid, cores=1, memory=2, description=b"x"
                )
                h2.send(call, grpc.encode_message(pb2.ClientMessage(ask=request)))
                self.counts["stream set-ups"] += 1
            data = yield from stream.read(self.loop.now + 20_000)
            if data == b"":
                self.counts["closed"] += 1
                return
            try:
                for event in h2.receive(data or b""):
                    if isinstance(event, http2.GoAway):
                        self.counts["turned away with a word"] += 1
                        return
                    if isinstance(event, http2.StreamEnded | http2.StreamReset):
                        cause = (
                            event.reason
                            if isinstance(event, http2.StreamReset)
                            else event.trailers.get("grpc-message")
                        )
                        self.counts[f"stream ended: {cause}"[:60]] += 1
                        calls = [call for call in calls if call != event.stream]
            except WireError:
                return


def run_flood(addresses: dict[str, tuple[str, int]], seed: int, results: Any) -> None:
    """Run a flood, and put its counts into the queue ``results``; the entry point of the process."""
    results.put(Flood(addresses, seed).run())
