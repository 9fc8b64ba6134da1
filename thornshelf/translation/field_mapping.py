"""The field mapping: what becomes of each subject of a message in each wire format of the other side.

Subjects of client messages are mapped to the nodes' formats, subjects of node messages to the clients' formats;
what the dispatcher itself reports is listed with the node messages. The mapping is complete: ``field_mapping_audit``
compares it with the elements of the formats (``element_bindings``) and with what each format can express.
"""

from __future__ import annotations

import enum
import functools
from dataclasses import dataclass

from thornshelf.translation.failures import LAST_V1_REASON, NODE_FORMATS, FailureReason, WireFormat


class MappingKind(enum.Enum):
    """What can become of a subject. The values are shown to operators."""

    CARRIED = "carried"
    DERIVED = "derived"
    REJECTED = "answered with a clear error"
    OMITTED = "left out, and counted"


@dataclass(frozen=True, slots=True)
class FieldMapping:
    """What becomes of one subject in one wire format.

    ``explanation``: from what it is derived, with what it is rejected, or why it is omitted.
    """

    kind: MappingKind
    explanation: str = ""


Row = dict[WireFormat, FieldMapping]

CARRIED = FieldMapping(MappingKind.CARRIED)


def derived(explanation: str) -> FieldMapping:
    """Expressed by another field or by other means."""
    return FieldMapping(MappingKind.DERIVED, explanation)


def rejected(explanation: str) -> FieldMapping:
    """The request is answered with an error that says why."""
    return FieldMapping(MappingKind.REJECTED, explanation)


def omitted(explanation: str) -> FieldMapping:
    """Not passed on; the translator counts it."""
    return FieldMapping(MappingKind.OMITTED, explanation)


def to_nodes(binary: FieldMapping, v1: FieldMapping, v2: FieldMapping) -> Row:
    """The mappings to the three formats of nodes."""
    return {WireFormat.BINARY: binary, WireFormat.GRPC_V1: v1, WireFormat.GRPC_V2: v2}


def to_clients(json_lines: FieldMapping, v1: FieldMapping, v2: FieldMapping) -> Row:
    """The mappings to the three formats of clients."""
    return {WireFormat.JSON_LINES: json_lines, WireFormat.GRPC_V1: v1, WireFormat.GRPC_V2: v2}


_USED_BY_PLACEMENT = omitted("the placement module has used it; the format has no field")

# Subjects of client messages.
REQUEST_MAPPINGS: dict[str, Row] = {
    "id": to_nodes(CARRIED, CARRIED, CARRIED),
    "class": to_nodes(CARRIED, CARRIED, CARRIED),
    "remaining time": to_nodes(
        derived("the remaining time limit of the attempt"),
        derived("the remaining time limit of the attempt"),
        derived("the remaining time limit of the attempt"),
    ),
    "idempotency key": to_nodes(CARRIED, CARRIED, CARRIED),
    "description": to_nodes(CARRIED, CARRIED, CARRIED),
    "cancellation": to_nodes(CARRIED, CARRIED, CARRIED),
    "tenant": to_nodes(_USED_BY_PLACEMENT, _USED_BY_PLACEMENT, CARRIED),
    "hint": to_nodes(_USED_BY_PLACEMENT, _USED_BY_PLACEMENT, CARRIED),
    "hint assumed by another dispatcher": to_nodes(
        omitted("not declared by the client: it counts as missing"),
        omitted("not declared by the client: it counts as missing"),
        rejected(
            "as a missing hint, by the class's policy: HINT_NEEDED, or the operator's value marked as assumed"
        ),
    ),
    "missing hint": to_nodes(
        omitted("nodes of these generations require none"),
        omitted("nodes of these generations require none"),
        rejected("by the class's policy: HINT_NEEDED, or the operator's value marked as assumed"),
    ),
    "cores": to_nodes(_USED_BY_PLACEMENT, _USED_BY_PLACEMENT, CARRIED),
    "memory": to_nodes(_USED_BY_PLACEMENT, _USED_BY_PLACEMENT, CARRIED),
    "service": to_nodes(_USED_BY_PLACEMENT, _USED_BY_PLACEMENT, CARRIED),
    "priority": to_nodes(
        omitted("known from the class, by the settings"),
        omitted("known from the class, by the settings"),
        derived("from the class, by the settings"),
    ),
    "at most once": to_nodes(
        omitted("enforced by the dispatcher alone"),
        omitted("enforced by the dispatcher alone"),
        derived("from the class, by the settings"),
    ),
    "status query": to_nodes(
        omitted("never sent: the attempt stays uncertain"),
        omitted("never sent: the attempt stays uncertain"),
        CARRIED,
    ),
    "task adoption": to_nodes(
        derived("nothing is sent; a connection is kept open to receive its end"),
        derived("nothing is sent; a connection is kept open to receive its end"),
        derived("nothing is sent; a connection is kept open to receive its end"),
    ),
}

_GENERAL_CAUSE = derived("the general cause with the same guarantee, and the reason as text in 'why'")
_NO_FIELD = omitted("the format has no field for it")


def _reason_row(is_v1_reason: bool) -> Row:
    in_releases = "a field of releases" if is_v1_reason else "UNTOLD in releases"
    elsewhere = "in rejections and failures the general answer, with a text in failures"
    return to_clients(_GENERAL_CAUSE, derived(f"{in_releases}; {elsewhere}"), CARRIED)


# Subjects of node messages, and of what the dispatcher itself reports.
RESPONSE_MAPPINGS: dict[str, Row] = {
    "id": to_clients(CARRIED, CARRIED, CARRIED),
    "binding": to_clients(CARRIED, CARRIED, CARRIED),
    "description": to_clients(CARRIED, CARRIED, CARRIED),
    "progress": to_clients(*[omitted("it carries no information")] * 3),
    "rejection": to_clients(CARRIED, CARRIED, CARRIED),
    "failure": to_clients(CARRIED, CARRIED, CARRIED),
    "release": to_clients(CARRIED, CARRIED, CARRIED),
    "migration": to_clients(CARRIED, CARRIED, CARRIED),
    "retry after": to_clients(CARRIED, CARRIED, CARRIED),
    "ended": to_clients(CARRIED, CARRIED, CARRIED),
    "cancelled": to_clients(CARRIED, CARRIED, CARRIED),
    "reset": to_clients(
        derived("cause 41, which means 'failed' if no answer was sent before"), CARRIED, CARRIED
    ),
    "error": to_clients(*[derived("before the binding a failure or another attempt, after it a reset")] * 3),
    "node full": to_clients(*[derived("another attempt, or a rejection: it never ran")] * 3),
    "not sent": to_clients(*[derived("another attempt, or a rejection: it was never sent")] * 3),
    "outcome of a newer generation": to_clients(*[derived("the weakest guarantee: it may have run")] * 3),
    "text": to_clients(
        derived("in 'why', after the reason"), derived("in failures, after the reason"), CARRIED
    ),
    "advice": to_clients(_NO_FIELD, _NO_FIELD, CARRIED),
    "reason of a newer generation": to_clients(
        _GENERAL_CAUSE, derived("UNTOLD"), derived("UNTOLD, and its number in the text")
    ),
    "assumed hint": to_clients(derived("'hint' with 'assumed' next to the answer"), _NO_FIELD, CARRIED),
    "joined task": to_clients(_NO_FIELD, _NO_FIELD, CARRIED),
    "load report": to_clients(*[omitted("for the placement module")] * 3),
    "task update": to_clients(*[omitted("for the placement module")] * 3),
    "hello": to_clients(*[omitted("for routing: which nodes can run a task")] * 3),
    "status reply": to_clients(*[derived("the binding, the end, or another attempt")] * 3),
    "passed": to_clients(CARRIED, CARRIED, CARRIED),
    **{f"reason {one.name}": _reason_row(one <= LAST_V1_REASON) for one in FailureReason},
}


def mapping_for(subject: str, target: WireFormat) -> FieldMapping:
    """What becomes of a subject in a format; raises ``KeyError`` if the mapping is not declared."""
    row = REQUEST_MAPPINGS.get(subject, {}) if target in NODE_FORMATS else {}
    return row.get(target) or RESPONSE_MAPPINGS[subject][target]


@functools.cache
def omitted_subjects(target: WireFormat) -> frozenset[str]:
    """The subjects of client messages that are omitted in a format of nodes."""
    return frozenset(
        subject for subject, row in REQUEST_MAPPINGS.items() if row[target].kind is MappingKind.OMITTED
    )
