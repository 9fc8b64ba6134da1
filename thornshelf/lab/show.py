"""The main job on loopback, to be seen: a dispatcher, an old and a new node, an old and a new client."""

from __future__ import annotations

import json
from collections.abc import Callable

from thornshelf.lab.fakes.cluster import GRPC2, JSON, WIRE_FORMATS, FakeCluster, NodeBehavior
from thornshelf.translation.failures import WireFormat
from thornshelf.translation.missing_fields import MissingFieldAction, MissingFieldPolicy
from thornshelf.translation.translator import TranslationConfig
from thornshelf.wire import placement_v2_pb2 as pb2

ROWS = [
    # client, what the node does, class, hint, what it shows
    (JSON, NodeBehavior.RUN, "lookup", "1500", "an old client's task runs on the new node"),
    (GRPC2, NodeBehavior.RUN, "ledger-batch", "9000", "a new client's likewise"),
    (JSON, NodeBehavior.END, "lookup", "1500", "it ends, and its release comes back"),
    (JSON, NodeBehavior.RUN, "lookup", None, "no hint: the operator's figure is used, and marked as assumed"),
    (
        JSON,
        NodeBehavior.RUN,
        "ledger-batch",
        None,
        "no hint, and none may be assumed: refused, with the reason",
    ),
    (
        JSON,
        NodeBehavior.LICENCE,
        "lookup",
        "1500",
        "a reason without an old word: the old answer, and its text",
    ),
    (GRPC2, NodeBehavior.LICENCE, "lookup", "1500", "the same to a new client"),
    (JSON, NodeBehavior.CUT, "ledger-batch", "9000", "its binding is cut midway: the node is asked what ran"),
]


def show(say: Callable[[str], None]) -> bool:
    """Play the rows against one dispatcher; true where each was answered."""
    gaps = {"lookup": MissingFieldPolicy(MissingFieldAction.ASSUME, 15_000_000)}
    terms = TranslationConfig(
        missing_field_policies=gaps, default_formats=(WIRE_FORMATS[GRPC2], WireFormat.BINARY)
    )

    def manners(node: object) -> None:
        node.manners.requires = (pb2.HINT,)  # type: ignore[attr-defined]

    world = FakeCluster(JSON, GRPC2, nodes=2, terms=terms, manners=manners)
    clients = {JSON: world.client, GRPC2: world.connect_client(GRPC2)}
    try:
        for number, (front, conduct, task_class, hint, what) in enumerate(ROWS, 1):
            client = clients[front]
            client.ask(number, conduct, task_class, hint=hint)
            wanted = 2 if conduct is NodeBehavior.END else 1
            world.run_until(lambda c=client, n=number, w=wanted: len(c.heard.get(n, [])) >= w)  # type: ignore[misc]
            say(f"{number}. {'old' if front == JSON else 'new'} client, {task_class}: {what}")
            for message in client.said[number]:
                text = message if front == GRPC2 else (message.kind, message.reason, message.meta)
                say("     " + " ".join(str(text).split()))
        say("The dispatcher's account: " + json.dumps(dict(world.service.core.translator.counters)))  # type: ignore[union-attr]
        return True
    finally:
        world.close()
