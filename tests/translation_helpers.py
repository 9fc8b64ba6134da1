"""Shared by the tests of translation on sockets: expected events, and functions that read a fake cluster."""

from __future__ import annotations

from typing import Any

import pytest

from thornshelf.lab.fakes.cluster import DESCRIPTION, GRPC, GRPC2, JSON, FakeCluster, FakeNode
from thornshelf.translation.missing_fields import MissingFieldAction, MissingFieldPolicy
from thornshelf.translation.translator import TranslationConfig
from thornshelf.wire import placement_v2_pb2 as pb2

NON_IDEMPOTENT_CLASS = "ledger-batch"  # a class whose tasks must not be started twice
PLACED = ("placed", DESCRIPTION)
REJECTED = ("refused", "1000")
FAILED = ("failed", None)
CLIENTS = pytest.mark.parametrize("frontend", [JSON, GRPC, GRPC2])
ASSUME = TranslationConfig(
    missing_field_policies={"lookup": MissingFieldPolicy(MissingFieldAction.ASSUME, 15_000_000)}
)


def needs_hint(node: FakeNode) -> None:
    """Make a node require a lifetime hint."""
    node.profile.requires = (pb2.HINT,)


def counters(cluster: FakeCluster) -> dict[str, int]:
    """Returns the translator's counters."""
    translator = cluster.service.core.translator
    assert translator is not None
    return translator.counters


def start_count(cluster: FakeCluster, key: int) -> int:
    """Returns how many tasks with this key run or ran, over all nodes."""
    return sum((key in node.running_by_key) + (key in node.ended_by_key) for node in cluster.nodes)


def log_lines(cluster: FakeCluster, name: str) -> list[dict[str, object]]:
    """Returns the parameters of the log lines with this id."""
    return [values for _, message_id, values, _ in cluster.logged if message_id == name]


def reason_text(message: Any) -> str:
    """Returns the text of a rejection, in JSON lines or gRPC."""
    return str(message.meta["why"] if hasattr(message, "meta") else message.refusal.text)
