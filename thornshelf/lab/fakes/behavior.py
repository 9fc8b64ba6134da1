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
    FULL = b"refuse"
    FAULT = b"error"
    MOOT = b"moot"
    RESET = b"reset"
    SILENT = b"say nothing"
    CUT = b"begin the binding and break off"
    TWICE = b"run, and say so twice"
    STRAY = b"run, after an answer for a task that nobody asked for"
    FULL_TWICE = b"refuse twice"
    NEEDS_HINT = b"refuse for want of a hint"
    LICENCE = b"refuse for want of a licence"
    QUARANTINED = b"refuse while quarantined"
    NEWER = b"refuse for a reason of a newer generation"
    LATE = b"run, and say so when told to"
    CUT_AFTER = b"run, and break off before saying so"
    CUT_BEFORE = b"break off before running"


# Behaviors that every wire form supports; the others are for tests of translation.
COMMON_BEHAVIORS = list(NodeBehavior)[:12]
DESCRIPTION = "v=0\r\no=\u00e9".encode()  # the description in every binding
