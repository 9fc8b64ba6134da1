"""A demonstration of translation on loopback: one dispatcher, two v2 nodes, an old and a new client."""

from __future__ import annotations

import json
from collections.abc import Callable

from thornshelf.lab.fakes.cluster import GRPC2, JSON, WIRE_FORMATS, FakeCluster, NodeBehavior
from thornshelf.translation.failures import WireFormat
from thornshelf.translation.missing_fields import MissingFieldAction, MissingFieldPolicy
from thornshelf.translation.translator import TranslationConfig
from thornshelf.wire import placement_v2_pb2 as pb2

SCENARIOS = [
    # client's wire form, node's behavior, class, hint, explanation
    (JSON, NodeBehavior.RUN, "lookup", "1500", "an old client's task runs on the new node"),
    (GRPC2, NodeBehavior.RUN, "ledger-batch", "9000", "and so does a new client's task"),
    (JSON, NodeBehavior.END, "lookup", "1500", "the task ends, and the client receives its release"),
    (JSON, NodeBehavior.RUN, "lookup", None, "no hint: the operator's value is used, and marked as assumed"),
    (
        JSON,
        NodeBehavior.RUN,
        "ledger-batch",
        None,
        "no hint, and none may be assumed: refused with the reason",
    ),
    (
        JSON,
        NodeBehavior.NEEDS_LICENCE,
        "lookup",
        "1500",
        "a reason that old clients lack: their general answer, with the text",
    ),
    (GRPC2, NodeBehavior.NEEDS_LICENCE, "lookup", "1500", "the same to a new client"),
    (
        JSON,
        NodeBehavior.TRUNCATE_BINDING,
        "ledger-batch",
        "9000",
        "its binding is truncated: the node is queried about the task",
    ),
]


def show(write: Callable[[str], None]) -> bool:
    """Run the scenarios against one dispatcher, and write what the clients receive; true if all were answered."""
    policies = {"lookup": MissingFieldPolicy(MissingFieldAction.ASSUME, 15_000_000)}
    translation = TranslationConfig(
        missing_field_policies=policies, default_formats=(WIRE_FORMATS[GRPC2], WireFormat.BINARY)
    )

    def require_hint(node: object) -> None:
        node.profile.requires = (pb2.HINT,)  # type: ignore[attr-defined]

    cluster = FakeCluster(JSON, GRPC2, node_count=2, translation=translation, prepare_node=require_hint)
    clients = {JSON: cluster.client, GRPC2: cluster.connect_client(GRPC2)}
    try:
        for number, (wire_format, behavior, task_class, hint, explanation) in enumerate(SCENARIOS, 1):
            client = clients[wire_format]
            client.send_request(number, behavior, task_class, hint=hint)
            event_count = 2 if behavior is NodeBehavior.END else 1
            cluster.run_until(lambda c=client, n=number, w=event_count: len(c.events.get(n, [])) >= w)  # type: ignore[misc]
            write(f"{number}. {'old' if wire_format == JSON else 'new'} client, {task_class}: {explanation}")
            for message in client.messages[number]:
                text = message if wire_format == GRPC2 else (message.kind, message.reason, message.meta)
                write("     " + " ".join(str(text).split()))
        write("Translation counters: " + json.dumps(dict(cluster.service.core.translator.counters)))  # type: ignore[union-attr]
        return True
    finally:
        cluster.close()
