"""Streams and listeners: withdrawing buffered messages, failed connections, and errors of accept."""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from typing import Any

import pytest

from tests.test_platform import PLACED, connect_raw
from thornshelf.lab.fakes.cluster import JSON, TIMEOUT_S, FakeCluster, NodeBehavior
from thornshelf.loop import Loop, Stream


def test_only_messages_of_which_no_byte_was_sent_can_be_withdrawn() -> None:
    loop = Loop()
    listener = socket.create_server(("127.0.0.1", 0))
    sock = socket.create_connection(listener.getsockname())
    peer_sock, _ = listener.accept()
    stream = Stream(loop, sock, "peer")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    chunks = [stream.send(bytes(60_000)) for _ in range(16)]
    stream.flush()
    assert chunks[0].sent > 0
    assert chunks[-1].sent == 0
    assert stream.retract(chunks[-1])
    assert not stream.retract(chunks[0])
    assert not stream.retract(chunks[-1])
    total = 0
    peer_sock.setblocking(False)  # waiting here would keep the loop from writing
    limit = time.monotonic() + TIMEOUT_S
    while total < 15 * 60_000 and time.monotonic() < limit:
        loop.call_later(1000, lambda: None)
        loop.turn()
        with contextlib.suppress(BlockingIOError):
            total += len(peer_sock.recv(1 << 20))
    assert total == 15 * 60_000
    assert stream.buffered_bytes == 0
    stream.close()
    peer_sock.close()
    listener.close()
    loop.close()


def test_a_broken_stream_does_not_block_its_reader() -> None:
    """Guards against a reader that pauses forever because bytes that can't be written still count as buffered."""
    cluster = FakeCluster()
    sock = connect_raw(cluster)
    cluster.run_until(lambda: len(cluster.service.json_frontend._connections) == 2)
    stream = list(cluster.service.json_frontend._connections)[1].stream
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    stream.send(bytes(300_000))
    sock.close()
    cluster.run_until(lambda: not stream.open)
    assert len(cluster.service.json_frontend._connections) == 1


def test_a_listener_survives_an_error_of_accept(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = FakeCluster()
    cluster.run_until(lambda: all(node.streams for node in cluster.nodes))
    original_accept, errors = (
        socket.socket.accept,
        [OSError(errno.EPERM, "odd"), OSError(errno.EMFILE, "full")],
    )

    def accept(sock: socket.socket) -> Any:
        if errors:
            raise errors.pop()
        return original_accept(sock)

    monkeypatch.setattr(socket.socket, "accept", accept)
    cluster.client = cluster.connect_client(JSON)
    cluster.client.send_request(5, NodeBehavior.RUN)
    assert cluster.wait_for_events(5) == [PLACED]
    assert not errors


def test_closed_connections_are_counted_back() -> None:
    cluster = FakeCluster()
    for _ in range(3):
        cluster.connect_client(JSON).stream.close()
    cluster.run_until(lambda: cluster.service.json_frontend.listener.budget.client_count == 1)
