"""Names of the wire forms, and the behaviors that a request can ask of a fake node."""

from __future__ import annotations

import enum

from thornshelf.translation.failures import WireFormat

HOST = "127.0.0.1"
JSON, BINARY, GRPC, GRPC2 = "json", "binary", "grpc", "grpc2"
WIRE_FORMATS = {BINARY: WireFormat.BINARY, GRPC: WireFormat.GRPC_V1, GRPC2: WireFormat.GRPC_V2}


class NodeBehavior(enum.Enum):
    """What a fake node does with an attempt.

    The value is the request's task description, by which the node recognizes the behavior.
    """

    RUN = b"run"
    END = b"run, then end"
    EVICT = b"run, then evict"
    REFUSE = b"refuse"
    ERROR = b"error"
    MOOT = b"moot"
    RESET = b"reset"
    IGNORE = b"say nothing"
    TRUNCATE_BINDING = b"begin the binding and break off"
    BIND_TWICE = b"run, and say so twice"
    BIND_UNKNOWN = b"run, after an answer for a task that nobody asked for"
    REFUSE_TWICE = b"refuse twice"
    NEEDS_HINT = b"refuse for want of a hint"
    NEEDS_LICENCE = b"refuse for want of a licence"
    QUARANTINED = b"refuse while quarantined"
    UNKNOWN_REASON = b"refuse for a reason of a newer generation"
    DELAY = b"run, and say so when told to"
    DISCONNECT_AFTER_START = b"run, and break off before saying so"
    DISCONNECT_BEFORE_START = b"break off before running"


# Behaviors that every wire form supports; the others are for tests of translation.
COMMON_BEHAVIORS = list(NodeBehavior)[:12]
DESCRIPTION = "v=0\r\no=\u00e9".encode()  # the description in every binding
