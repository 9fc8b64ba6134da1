"""A flood at the door, while two known counties go on as ever. What is counted is the clients' word.

The flood runs in a process of its own, from addresses of the loopback range that no rule lists; the counties connect
from prefixes that the operator's file lists as known.
"""

from __future__ import annotations

import errno
import random
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Generator
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from thornshelf.lab.fakes.cluster import BINARY, GRPC2, HOST, JSON
from thornshelf.lab.load import LOOKUP, LoadNode
from thornshelf.lab.oracle import Oracle
from thornshelf.lab.process import DispatcherProcess
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.loop import OUT
from thornshelf.wire import grpc, http2, jsonl
from thornshelf.wire import placement_v2_pb2 as pb2
from thornshelf.wire.errors import WireError

SOCKETS = 256
KNOWN_CLIENT_PREFIXES = {"hollis-county": "127.1.0.", "pruett-county": "127.2.0."}
FLOOD_SOURCE, CROWD_PREFIX = "127.9.0.1", "127.9.1."
CALM_S, PHASE_S = 5.0, 3.0
TARGET_US = 800_000
VISIT_INTERVAL_US = 60_000  # a county opens a connection so often

GRPC_CONFIG = """
[grpc]
listen = "127.0.0.1:0"
"""
ADMISSION_CONFIG = """
[admission]
reserve = {reserve}
reserve_floor = {floor}
connections = 24
connections_per_s = 100
set_ups_per_s = 60
unknown_set_ups_per_s = 20
known_after = 20
[[admission.rule]]
name = "hollis-county"
prefix = "127.1.0.0/16"
known = {known}
[[admission.rule]]
name = "pruett-county"
prefix = "127.2.0.0/16"
known = {known}
[[admission.rule]]
name = "the crowd"
prefix = "127.9.0.0/16"
connections = {crowd}
[admission.shares]
[admission.descriptors]
nodes = 16
"""
WITHOUT_RESERVE = {"reserve": 0, "floor": 0, "known": "false", "crowd": 100000}
WITH_RESERVE = {"reserve": 64, "floor": 16, "known": "true", "crowd": 150}


def connect_from(
    loop: Loop, source: str, to: tuple[str, int], wait_us: int
) -> Generator[Wait, int, Stream | int]:
    """A connection from an address of ours, or the number of the error."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        sock.bind((source, 0))
    except OSError as fault:
        sock.close()
        return fault.errno or errno.EIO
    code = sock.connect_ex(to)
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


def launch(uid: int, tenant: str, service: int, left_ms: int = 4000) -> bytes:
    """A set-up of a lookup."""
    meta = {"class": LOOKUP, "left": str(left_ms), "tenant": tenant, "key": f"{uid:016x}", "hint": "300"}
    meta["extras"] = f"cores:1;memory:2;service:{service:016x}"
    return jsonl.encode_line("launch", uid, meta, body=b"x")


@dataclass
class Tally:
    """What the counties saw in one part of the run."""

    visits: int = 0
    connected: int = 0
    asked: int = 0
    in_time: int = 0
    words: Counter[str] = field(default_factory=Counter)
    answers: Any = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))


def merged(parts: list[Tally]) -> Tally:
    """Several parts of the run as one."""
    whole = Tally()
    for one in parts:
        for name in ("visits", "connected", "asked", "in_time"):
            setattr(whole, name, getattr(whole, name) + getattr(one, name))
        whole.words.update(one.words)
        whole.answers.add(one.answers)
    return whole


class KnownClients:
    """The clients of the known counties: short visits, each on a connection of its own."""

    def __init__(self, loop: Loop, to: tuple[str, int], rng: random.Random) -> None:
        self.loop, self.to, self.rng = loop, to, rng
        self.tally = Tally()
        self.uid = 1 << 40
        self.running = True
        for county in KNOWN_CLIENT_PREFIXES:
            loop.spawn(self._visits(county))

    def _visits(self, county: str) -> Generator[Wait, int, None]:
        while self.running:
            self.loop.spawn(self._visit(county, self.tally))
            yield Wait(until=self.loop.now + VISIT_INTERVAL_US)

    def _visit(self, county: str, tally: Tally) -> Generator[Wait, int, None]:
        tally.visits += 1
        source = KNOWN_CLIENT_PREFIXES[county] + str(self.rng.randrange(1, 20))
        began = self.loop.now
        stream = yield from connect_from(self.loop, source, self.to, 2_000_000)
        if isinstance(stream, int):
            tally.words[errno.errorcode.get(stream, str(stream))] += 1
            return
        open_uids = set()
        for _ in range(self.rng.randrange(1, 4)):
            self.uid += 1
            open_uids.add(self.uid)
            stream.send(launch(self.uid, county, self.rng.randrange(1, 20)))
        tally.asked += len(open_uids)
        reader, standing, until = jsonl.LineReader(), set[int](), began + 4_000_000
        answered = False
        while (open_uids or standing) and (data := (yield from stream.read(until))):
            reader.feed(data)
            while (line := reader.next()) is not None:
                if line.uid in open_uids and not answered:
                    # A connection counts once somebody has answered on it; one that the backlog took and nobody
                    # served does not.
                    answered = True
                    tally.connected += 1
                if line.uid in open_uids:
                    open_uids.discard(line.uid)
                    tally.words[line.kind if line.kind == "running" else f"stop {line.reason}"] += 1
                    taken = max(1, self.loop.now - began)
                    tally.answers.record_value(taken)
                    if line.kind == "running":
                        standing.add(line.uid)
                        tally.in_time += taken <= TARGET_US
                elif line.uid == jsonl.UNKNOWN_UID:
                    tally.words["turned away"] += 1
                else:
                    standing.discard(line.uid)
        tally.words["unanswered"] += len(open_uids)
        stream.close()


class Flood:
    """One process of flooders; ``counts`` are what they saw."""

    def __init__(self, fronts: dict[str, tuple[str, int]], seed: int) -> None:
        self.loop, self.addresses, self.rng = Loop(), fronts, random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.uid = 1 << 50
        self.running = True

    def run(self) -> dict[str, int]:
        """All kinds, one after another."""
        kinds: list[tuple[Any, int, Any]] = [
            (self.send_nothing, 100, lambda: FLOOD_SOURCE),
            (self.close_at_once, 20, lambda: FLOOD_SOURCE),
            (self.send_requests, 20, lambda: FLOOD_SOURCE),
            (self.send_half_lines, 60, lambda: FLOOD_SOURCE),
            (self.send_requests, 60, lambda: CROWD_PREFIX + str(self.rng.randrange(1, 201))),
            (self.open_streams, 4, lambda: FLOOD_SOURCE),
        ]
        for kind, flooders, source in kinds:
            self.running = True
            tasks = [self.loop.spawn(self._repeat(kind, source)) for _ in range(flooders)]
            end = time.monotonic() + PHASE_S
            while time.monotonic() < end:
                self.loop.after(20_000, lambda: None)
                self.loop.turn()
            self.running = False
            for task in tasks:
                self.loop.cancel(task)
        self.loop.close()
        return dict(self.counts)

    def _repeat(self, kind: Any, source: Any) -> Generator[Wait, int, None]:
        while self.running:
            front = GRPC2 if kind == self.open_streams else JSON
            stream = yield from connect_from(self.loop, source(), self.addresses[front], 1_000_000)
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

    def _read_until_closed(self, stream: Stream, until: int) -> Generator[Wait, int, None]:
        """Until it is closed: with a word, without one, or by a reset."""
        heard = b""
        while True:
            data = yield from stream.read(until)
            if data is None:
                self.counts["left alone"] += 1
                return
            if not data:
                break
            heard += data
        try:
            stream.sock.recv(1)
            reset = False
        except OSError as fault:
            reset = fault.errno == errno.ECONNRESET
        word = b'"reason":34' in heard and b'"uid":"0000000000000000"' in heard
        self.counts["turned away with a word" if word else "reset" if reset else "closed"] += 1

    def send_nothing(self, stream: Stream) -> Generator[Wait, int, None]:
        """Connects, and says nothing."""
        yield from self._read_until_closed(stream, self.loop.now + 2_500_000)

    def close_at_once(self, stream: Stream) -> Generator[Wait, int, None]:
        """Connects, and closes."""
        self.counts["closed by itself"] += 1
        return
        yield Wait()

    def send_half_lines(self, stream: Stream) -> Generator[Wait, int, None]:
        """Begins a message, and never ends it."""
        stream.send(launch(1, "hollis-county", 1)[:40])
        yield from self._read_until_closed(stream, self.loop.now + 2_500_000)

    def send_requests(self, stream: Stream) -> Generator[Wait, int, None]:
        """Set-ups as fast as they are taken."""
        until = self.loop.now + 1_000_000
        while self.running and stream.open and self.loop.now < until:
            for _ in range(20):
                self.uid += 1
                stream.send(launch(self.uid, "hollis-county", 77))
                self.counts["set-ups"] += 1
            data = yield from stream.read(self.loop.now + 20_000)
            if data == b"":
                yield from self._read_until_closed(stream, self.loop.now)
                return
            if data:
                self.counts["set-ups refused"] += data.count(b'"reason":34')
                self.counts["set-ups placed"] += data.count(b'"running"')

    def open_streams(self, stream: Stream) -> Generator[Wait, int, None]:
        """Many gRPC streams and set-ups on few connections."""
        h2 = http2.Http2(True, stream.send)
        headers = [(":method", "POST"), (":scheme", "http"), (":path", "/thornshelf.v2.Placement/Dispatch")]
        headers += [(":authority", HOST), ("te", "trailers"), ("content-type", "application/grpc")]
        calls = [h2.call(headers) for _ in range(50)]
        until = self.loop.now + 1_000_000
        while self.running and stream.open and self.loop.now < until:
            for call in calls:
                self.uid += 1
                ask = pb2.Ask(
                    uid=self.uid, task_class=LOOKUP, key=self.uid, cores=1, memory=2, description=b"x"
                )
                h2.send(call, grpc.frame(pb2.ClientMessage(ask=ask)))
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
                    if isinstance(event, http2.Ended | http2.Broken):
                        why = (
                            event.reason
                            if isinstance(event, http2.Broken)
                            else event.trailers.get("grpc-message")
                        )
                        self.counts[f"stream ended: {why}"[:60]] += 1
                        calls = [call for call in calls if call != event.stream]
            except WireError:
                return


def _flood(fronts: dict[str, tuple[str, int]], seed: int, results: Any) -> None:
    results.put(Flood(fronts, seed).run())


def run(seed: int, door: bool = True, plant: str | None = None) -> dict[str, Any]:
    """The whole run; the object that is printed."""
    rng, loop, oracle = random.Random(seed), Loop(), Oracle()
    nodes = [LoadNode(loop, BINARY, oracle, rng) for _ in range(4)]
    for node in nodes:
        node.rejected_fraction, node.mean_lifetime_us = 0.0, 300_000
    operator = GRPC_CONFIG
    if door:
        operator += ADMISSION_CONFIG.format(**(WITHOUT_RESERVE if plant == "no-reserve" else WITH_RESERVE))
    with tempfile.TemporaryDirectory() as folder:
        ports = [node.port for node in nodes]
        dispatcher = DispatcherProcess(Path(folder), ports, operator, sockets=SOCKETS)
        known = KnownClients(loop, dispatcher.addresses[JSON], rng)
        peak, rss = [0], dispatcher.rss_kb

        def turn(seconds: float) -> Tally:
            known.tally = tally = Tally()
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                loop.after(10_000, lambda: None)
                loop.turn()
                if dispatcher.process.poll() is None:
                    peak[0] = max(peak[0], dispatcher.descriptors)
            return tally

        turn(1.0)  # its own warm-up is no calm
        calm = turn(CALM_S)
        rss = dispatcher.rss_kb
        context = get_context("spawn")
        results = context.Queue()
        flood = context.Process(target=_flood, args=(dispatcher.addresses, seed, results))
        flood.start()
        turn(0.5)
        parts = [turn(PHASE_S) for _ in range(6)]
        counts = results.get(timeout=10)
        flood.join(10)
        known.running = False
        turn(2.5)
        stormy = merged(parts)
        up = dispatcher.process.poll() is None
        grown = (dispatcher.rss_kb - rss) / 1024 if up else 0.0
        code = dispatcher.terminate()
        log = dispatcher.log_counts()
    loop.close()
    phases = [float(round(one.answers.get_value_at_percentile(99) / 1000, 1)) for one in parts]
    report = _report(seed, calm, stormy, counts, peak[0], grown, up and code == 0)
    return report | {"p99_by_phase": phases, "log": log, "door": door}


def _report(
    seed: int, calm: Tally, stormy: Tally, counts: dict[str, int], peak: int, grown: float, up: bool
) -> dict[str, Any]:
    clean = counts.get("turned away with a word", 0) + counts.get("closed", 0)
    unclean = counts.get("reset", 0) + sum(
        n for name, n in counts.items() if name.startswith("not connected")
    )
    answers = stormy.answers

    def worth(tally: Tally) -> float:
        return tally.in_time / max(1, tally.asked)

    def ms(share: float) -> float:
        return float(round(answers.get_value_at_percentile(share) / 1000, 1))

    return {
        "seed": seed,
        "known_visits": stormy.visits,
        "known_connected_share": round(stormy.connected / max(1, stormy.visits), 5),
        "known_answer_ms": {"p50": ms(50), "p99": ms(99)},
        "known_words": dict(stormy.words),
        "known_worth_vs_calm": round(worth(stormy) / worth(calm), 4) if worth(calm) else 0.0,
        "calm_worth": round(worth(calm), 4),
        "flood": counts,
        "flood_refused_cleanly_share": round(clean / max(1, clean + unclean), 4),
        "peak_descriptors": peak,
        "descriptor_limit": SOCKETS,
        "rss_growth_mb": round(grown, 2),
        "process_up": up,
    }


def passed(report: dict[str, Any]) -> bool:
    """The known counties did not feel it, and the process kept within its limit and stayed up."""
    return bool(
        report["known_connected_share"] == 1
        and report["known_answer_ms"]["p99"] <= 800
        and report["known_worth_vs_calm"] >= 0.98
        and report["peak_descriptors"] <= report["descriptor_limit"]
        and report["process_up"]
    )
