"""The field mapping: how each subject of a message is translated to each wire format of the receiving side.

A subject is one piece of information, such as the tenant or the lifetime hint. Subjects of client messages are mapped
to the nodes' formats, subjects of node messages and of the dispatcher's own reports to the clients' formats.
``field_mapping_audit`` checks that the mapping is complete, by the elements of each format (``element_bindings``).

The explanations are printed on ``docs/field-mapping.md``, which a test compares.
"""

from __future__ import annotations

import enum
import functools
from dataclasses import dataclass

from thornshelf.translation.failures import LAST_V1_REASON, NODE_FORMATS, FailureReason, WireFormat


class MappingKind(enum.Enum):
    """The kinds of translation. The values are shown to operators."""

    CARRIED = "carried"
    DERIVED = "derived"
    REJECTED = "answered with a clear error"
    OMITTED = "left out, and counted"


@dataclass(frozen=True, slots=True)
class FieldMapping:
    """How one subject is translated to one wire format.

    ``explanation``: what it is derived from, the error it is rejected with, or why it is omitted; empty if carried.
    """

    kind: MappingKind
    explanation: str = ""


MappingRow = dict[WireFormat, FieldMapping]

CARRIED = FieldMapping(MappingKind.CARRIED)


def derived(explanation: str) -> FieldMapping:
    """A mapping to another field, or to other means of expressing the subject."""
    return FieldMapping(MappingKind.DERIVED, explanation)


def rejected(explanation: str) -> FieldMapping:
    """A mapping that rejects the request with an error that names the reason."""
    return FieldMapping(MappingKind.REJECTED, explanation)


def omitted(explanation: str) -> FieldMapping:
    """A mapping that drops the subject; the translator counts such drops."""
    return FieldMapping(MappingKind.OMITTED, explanation)


def to_nodes(binary: FieldMapping, v1: FieldMapping, v2: FieldMapping) -> MappingRow:
    """Returns the row of a subject that clients send, with its mapping to each format of nodes."""
    return {WireFormat.BINARY: binary, WireFormat.GRPC_V1: v1, WireFormat.GRPC_V2: v2}


def to_clients(json_lines: FieldMapping, v1: FieldMapping, v2: FieldMapping) -> MappingRow:
    """Returns the row of a subject that clients receive, with its mapping to each format of clients."""
    return {WireFormat.JSON_LINES: json_lines, WireFormat.GRPC_V1: v1, WireFormat.GRPC_V2: v2}


_USED_BY_PLACEMENT = omitted("the placement module has used it; the format has no field")

# Subjects of client messages.
REQUEST_MAPPINGS: dict[str, MappingRow] = {
    "id": to_nodes(CARRIED, CARRIED, CARRIED),
    "class": to_nodes(CARRIED, CARRIED, CARRIED),
    "remaining time": to_nodes(
        derived("the remaining time limit of the attempt"),
        derived("the remaining time limit of the attempt"),
        derived("the remaining time limit of the attempt"),
    ),
    "idempotency key": to_nodes(CARRIED, CARRIED, CARRIED),
    "deduplication key": to_nodes(
        CARRIED,
        omitted("nodes of these generations go by the idempotency key"),
        omitted("nodes of these generations go by the idempotency key"),
    ),
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


def _reason_row(is_v1_reason: bool) -> MappingRow:
    in_releases = "a field of releases" if is_v1_reason else "UNTOLD in releases"
    elsewhere = "in rejections and failures the general answer, with a text in failures"
    return to_clients(_GENERAL_CAUSE, derived(f"{in_releases}; {elsewhere}"), CARRIED)


# Subjects of node messages, and of the dispatcher's own reports.
RESPONSE_MAPPINGS: dict[str, MappingRow] = {
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
    **{f"reason {reason.name}": _reason_row(reason <= LAST_V1_REASON) for reason in FailureReason},
}


def mapping_for(subject: str, target: WireFormat) -> FieldMapping:
    """Returns how a subject is translated to a format; raises ``KeyError`` if no mapping is declared."""
    row = REQUEST_MAPPINGS.get(subject, {}) if target in NODE_FORMATS else {}
    return row.get(target) or RESPONSE_MAPPINGS[subject][target]


@functools.cache
def omitted_subjects(target: WireFormat) -> frozenset[str]:
    """Returns the subjects of client messages that a format of nodes omits."""
    return frozenset(
        subject for subject, row in REQUEST_MAPPINGS.items() if row[target].kind is MappingKind.OMITTED
    )
