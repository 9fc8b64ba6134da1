"""What fake nodes record of the dispatcher's messages, and how a v2 node describes itself."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class ReceivedMessage:
    """A message from the dispatcher to a node; fields that the node's wire form lacks keep their defaults."""

    kind: str  # ``offer``, ``release`` or ``question`` (whether a task with ``key`` runs or ran here)
    uid: int
    description: bytes = b""
    key: int = 0
    task_class: str = ""
    hint_ms: float | None = None
    assumed: bool = False  # the hint is the operator's, not the client's
    at_most_once: bool = False  # the task must not be started twice
    v2_offer: Any = None  # the whole v2 offer


@dataclass(slots=True)
class NodeProfile:
    """How a v2 node describes itself to the dispatcher; a test may make it describe itself falsely."""

    generation: int = 2
    name: str = ""
    requires: tuple[int, ...] = ()  # fields that every offer must have
    claims_to_answer: bool = True  # that it answers queries about tasks
    sends_hello: bool = True
    false_answers: dict[int, int] = field(default_factory=dict)  # states, by idempotency key
