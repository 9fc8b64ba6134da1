"""Datagram relays between members and endpoint sources for them, both with injectable faults."""

from __future__ import annotations

import json
import random
import socket
from collections import Counter
from collections.abc import Callable, Generator
from contextlib import suppress
from typing import Any

from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.loop import IN


def relay_host(index: int) -> str:
    """Return the address at which other members reach a member; datagrams to it go through a relay."""
    return f"127.0.101.{index + 1}"


def member_host(index: int) -> str:
    """Return the address that a member itself binds, by which a relay identifies the sender."""
    return f"127.0.102.{index + 1}"


def free_port(hosts: list[str]) -> int:
    """Return a UDP port that is free on all of the hosts."""
    while True:
        first_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        first_socket.bind((hosts[0], 0))
        port = int(first_socket.getsockname()[1])
        other_sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in hosts[1:]]
        try:
            for sock, host in zip(other_sockets, hosts[1:], strict=True):
                sock.bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for sock in (first_socket, *other_sockets):
                sock.close()


class DatagramRelays:
    """Relays all datagrams between members, and can drop, duplicate, delay and record them.

    ``cut(sender, receiver)``: whether that direction of a link is cut; ``loss_fraction`` and ``duplicate_fraction``:
    fractions of the datagrams that are dropped or duplicated; ``max_delay_us``: exclusive upper limit of the random
    delay; ``recorded``: the receiver and the data of each datagram recorded while ``is_recording`` is set, at most
    500, for a replay; ``bytes`` and ``sent``: bytes with UDP and IP headers, of all members and by member;
    ``datagrams``: their number by member.
    """

    def __init__(self, loop: Loop, count: int, seed: int) -> None:
        self.loop, self.chance = loop, random.Random(seed)
        self.port = free_port([relay_host(i) for i in range(count)] + [member_host(i) for i in range(count)])
        self.cut: Callable[[int, int], bool] = lambda sender, receiver: False
        self.loss_fraction = self.duplicate_fraction = 0.0
        self.max_delay_us = 0
        self.bytes = 0
        self.sent: Counter[int] = Counter()
        self.datagrams: Counter[int] = Counter()
        self.recorded: list[tuple[int, bytes]] = []
        self.is_recording = False
        self._socks: list[socket.socket] = []
        for index in range(count):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind((relay_host(index), self.port))
            self._socks.append(sock)
            loop.spawn(self._run(index, sock))

    def _run(self, receiver: int, sock: socket.socket) -> Generator[Wait, int, None]:
        while True:
            yield Wait(sock.fileno(), IN)
            for _ in range(64):
                try:
                    data, (host, _) = sock.recvfrom(2048)
                except OSError:
                    break
                self._relay(int(host.rpartition(".")[2]) - 1, receiver, data)

    def _relay(self, sender: int, receiver: int, data: bytes) -> None:
        self.bytes += len(data) + 28
        self.sent[sender] += len(data) + 28
        self.datagrams[sender] += 1
        if self.cut(sender, receiver):
            return
        if self.is_recording and len(self.recorded) < 500:
            self.recorded.append((receiver, data))
        for _ in range(2 if self.chance.random() < self.duplicate_fraction else 1):
            if self.chance.random() >= self.loss_fraction:
                delay_us = self.chance.randrange(self.max_delay_us) if self.max_delay_us else 0
                if delay_us:
                    self.loop.call_later(delay_us, lambda: self.deliver(receiver, data))
                else:
                    self.deliver(receiver, data)

    def deliver(self, receiver: int, data: bytes) -> None:
        """Send a datagram to a member, without injected faults."""
        with suppress(OSError):  # its process may have ended
            self._socks[receiver].sendto(data, (member_host(receiver), self.port))

    def close(self) -> None:
        """Close all sockets."""
        for sock in self._socks:
            self.loop.unregister(sock.fileno())
            sock.close()


class FakeEndpointSource:
    """A fake change log with an address of its own for each member.

    ``silent``: the members to which it does not respond; ``sent``: bytes in both directions, by member.
    """

    def __init__(self, loop: Loop, count: int) -> None:
        self.loop = loop
        self.events: list[dict[str, Any]] = []
        self.silent: set[int] = set()
        self.sent: Counter[int] = Counter()
        self.ports: list[int] = []
        self._socks: list[socket.socket] = []
        for index in range(count):
            sock = socket.create_server((member_host(index), 0))
            sock.setblocking(False)
            self._socks.append(sock)
            self.ports.append(int(sock.getsockname()[1]))
            loop.spawn(self._accept(index, sock))

    def publish(self, instances: list[dict[str, Any]], reset: bool = False) -> None:
        """Publish an event; ``reset``: it replaces the whole endpoint list."""
        sequence_number = len(self.events) + 1
        fleet = {"generation": sequence_number, "reset": reset, "instances": instances}
        self.events.append({"seq": sequence_number, "fleet": fleet})

    def _accept(self, index: int, sock: socket.socket) -> Generator[Wait, int, None]:
        while True:
            yield Wait(sock.fileno(), IN)
            accepted, _ = sock.accept()
            self.loop.spawn(self._serve(index, Stream(self.loop, accepted, "member")))

    def _serve(self, index: int, stream: Stream) -> Generator[Wait, int, None]:
        received = b""
        while data := (yield from stream.read()):
            received += data
            while b"\r\n\r\n" in received:
                head, _, received = received.partition(b"\r\n\r\n")
                self.sent[index] += len(head) + 4
                query = head.split(b" ")[1].decode().partition("?")[2]
                parameters = dict(item.split("=") for item in query.split("&"))
                since = int(parameters["since"])
                until = self.loop.now + int(parameters["timeout"]) * 1000
                while index in self.silent or (len(self.events) <= since and self.loop.now < until):
                    yield Wait(until=self.loop.now + 10_000)
                    if not stream.open:
                        return
                body = json.dumps({"seq": len(self.events), "results": self.events[since:]}).encode()
                response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                self.sent[index] += len(response)
                stream.send(response)
        stream.close()

    def close(self) -> None:
        """Close all sockets."""
        for sock in self._socks:
            self.loop.unregister(sock.fileno())
            sock.close()
