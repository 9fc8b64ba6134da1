"""Keyed classes: the client's key reaches the nodes, which let one copy of a key run."""

from __future__ import annotations

from typing import Any

import pytest

from tests.test_bad_clients import connect_raw
from thornshelf.lab.fakes.cluster import BINARY, JSON, FakeCluster, NodeBehavior
from thornshelf.wire import binary

IDEM = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def recorded_set_ups(monkeypatch: pytest.MonkeyPatch) -> list[binary.Message]:
    """Record the set-ups that the fake nodes read."""
    read: list[binary.Message] = []

    class RecordingReader(binary.MessageReader):
        def next(self) -> binary.Message | None:
            message = super().next()
            if message is not None and message.type == binary.SET_UP:
                read.append(message)
            return message

    monkeypatch.setattr("thornshelf.lab.fakes.nodes.binary.MessageReader", RecordingReader)
    return read


@pytest.mark.parametrize("behavior", [NodeBehavior.RUN, NodeBehavior.REFUSE, NodeBehavior.RESET])
def test_the_key_of_a_keyed_class_is_passed_on_with_every_attempt(
    behavior: NodeBehavior, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second start after a broken connection, which the nodes can't recognize without the key."""
    set_ups = recorded_set_ups(monkeypatch)
    cluster = FakeCluster(JSON, BINARY)
    cluster.client.send_request(5, behavior, idem=IDEM)
    cluster.wait_for_events(5)
    assert set_ups
    assert all(message.text(binary.DEDUPLICATION_KEY) == IDEM for message in set_ups if message.uid == 5)


def test_no_key_is_made_up_for_a_request_without_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a set-up that is not as its client sent it."""
    set_ups = recorded_set_ups(monkeypatch)
    cluster = FakeCluster(JSON, BINARY)
    cluster.client.send_request(5, NodeBehavior.RUN)
    cluster.wait_for_events(5)
    assert [binary.DEDUPLICATION_KEY in message.values for message in set_ups] == [False]


@pytest.mark.parametrize("value", ['"\\ud800"', f'"{"x" * 300}"', "7"])
def test_a_key_that_cannot_be_passed_on_is_answered_as_unreadable(value: Any) -> None:
    """Guards against a key that reaches an encoder and can't be written."""
    cluster = FakeCluster(JSON, BINARY)
    sock = connect_raw(cluster, JSON)
    meta = f'{{"class":"lookup","left":"4000","idem":{value}}}'
    sock.sendall(f'{{"kind":"launch","uid":"{5:016x}","meta":{meta},"body":"x"}}\n'.encode())
    cluster.run_for(50)
    assert sock.recv(1000).count(b'"reason":100') == 1
    assert not cluster.service.core.tasks_by_uid
    sock.close()
