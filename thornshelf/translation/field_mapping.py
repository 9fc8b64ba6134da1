"""The total table: what becomes of each thing that a form can say, towards each form of the other side.

Things that clients say travel to the nodes' forms, things that nodes say to the clients' forms; what the dispatcher
itself says is listed with the nodes'. Elements of the forms (fields, enum values, causes) are bound to things by
``BINDINGS``; ``thornshelf.translation.field_mapping_audit`` finds the elements by reflection and fails where one is bound to nothing, where a
thing has no fate, and where a fate contradicts what the target form has words for.
"""

from __future__ import annotations

import enum
import functools
from dataclasses import dataclass

from thornshelf.translation.failures import LAST_V1_REASON, NODE_FORMATS, FailureReason, WireFormat


class MappingKind(enum.Enum):
    """What can become of a thing."""

    CARRIED = "carried"
    DERIVED = "derived"
    REFUSED = "answered with a clear error"
    LEFT_OUT = "left out, and counted"


@dataclass(frozen=True, slots=True)
class FieldMapping:
    """One cell of the table; ``how`` says from what it is derived, with what it is refused, or why it is left out."""

    kind: MappingKind
    explanation: str = ""


CARRIED = FieldMapping(MappingKind.CARRIED)


def derived(explanation: str) -> FieldMapping:
    """Said in other words, or by other means."""
    return FieldMapping(MappingKind.DERIVED, explanation)


def rejected(explanation: str) -> FieldMapping:
    """The set-up gets an error that says why."""
    return FieldMapping(MappingKind.REFUSED, explanation)


def omitted(explanation: str) -> FieldMapping:
    """Not passed on; the dispatcher's account counts it."""
    return FieldMapping(MappingKind.LEFT_OUT, explanation)


M, V1, V2, L = WireFormat.BINARY, WireFormat.GRPC_V1, WireFormat.GRPC_V2, WireFormat.JSON_LINES
Row = dict[WireFormat, FieldMapping]


def to_nodes(messages: FieldMapping, v1: FieldMapping, v2: FieldMapping) -> Row:
    """Towards the three forms of nodes."""
    return {M: messages, V1: v1, V2: v2}


def to_clients(lines: FieldMapping, v1: FieldMapping, v2: FieldMapping) -> Row:
    """Towards the three forms of clients."""
    return {L: lines, V1: v1, V2: v2}


_USED = omitted("the decision module has used it; the form has no field")

# What clients say.
REQUEST_MAPPINGS: dict[str, Row] = {
    "id": to_nodes(CARRIED, CARRIED, CARRIED),
    "class": to_nodes(CARRIED, CARRIED, CARRIED),
    "time left": to_nodes(
        derived("the wait that is left of the attempt"),
        derived("the wait that is left of the attempt"),
        derived("the wait that is left of the attempt"),
    ),
    "key": to_nodes(CARRIED, CARRIED, CARRIED),
    "description": to_nodes(CARRIED, CARRIED, CARRIED),
    "give up": to_nodes(CARRIED, CARRIED, CARRIED),
    "tenant": to_nodes(_USED, _USED, CARRIED),
    "hint": to_nodes(_USED, _USED, CARRIED),
    "hint assumed by another": to_nodes(
        omitted("no owner's word: it counts as missing"),
        omitted("no owner's word: it counts as missing"),
        rejected(
            "as a missing hint, by the class's gap policy: HINT_NEEDED, or the operator's figure marked assumed"
        ),
    ),
    "no hint": to_nodes(
        omitted("old nodes ask for none"),
        omitted("old nodes ask for none"),
        rejected("by the class's gap policy: HINT_NEEDED, or the operator's figure marked assumed"),
    ),
    "cores": to_nodes(_USED, _USED, CARRIED),
    "memory": to_nodes(_USED, _USED, CARRIED),
    "service": to_nodes(_USED, _USED, CARRIED),
    "priority": to_nodes(
        omitted("the settings' word on the class"),
        omitted("the settings' word on the class"),
        derived("from the class, by the settings"),
    ),
    "never twice": to_nodes(
        omitted("kept by the dispatcher alone"),
        omitted("kept by the dispatcher alone"),
        derived("from the class, by the settings"),
    ),
    "question about a name": to_nodes(
        omitted("never asked: the attempt stays in doubt"),
        omitted("never asked: the attempt stays in doubt"),
        CARRIED,
    ),
    "hand-over": to_nodes(
        derived("nothing is sent; a connection is kept to hear of its end"),
        derived("nothing is sent; a connection is kept to hear of its end"),
        derived("nothing is sent; a connection is kept to hear of its end"),
    ),
}

_CAUSE = derived("the one old cause with the same promise, and the reason in words under 'why'")
_ROOMLESS = omitted("the form has no field for it")


def _reason(old: bool) -> Row:
    release = "in refusals and failures"
    if old:
        return to_clients(
            _CAUSE,
            derived(f"a field of releases; {release} the one old answer, with words in failures"),
            CARRIED,
        )
    return to_clients(
        _CAUSE, derived(f"UNTOLD in releases; {release} the one old answer, with words in failures"), CARRIED
    )


# What nodes say, and what the dispatcher says itself.
RESPONSE_MAPPINGS: dict[str, Row] = {
    "id": to_clients(CARRIED, CARRIED, CARRIED),
    "binding": to_clients(CARRIED, CARRIED, CARRIED),
    "description": to_clients(CARRIED, CARRIED, CARRIED),
    "progress": to_clients(
        omitted("it means nothing"), omitted("it means nothing"), omitted("it means nothing")
    ),
    "refusal": to_clients(CARRIED, CARRIED, CARRIED),
    "failure": to_clients(CARRIED, CARRIED, CARRIED),
    "release": to_clients(CARRIED, CARRIED, CARRIED),
    "move": to_clients(CARRIED, CARRIED, CARRIED),
    "wait": to_clients(CARRIED, CARRIED, CARRIED),
    "ended": to_clients(CARRIED, CARRIED, CARRIED),
    "cancelled": to_clients(CARRIED, CARRIED, CARRIED),
    "reset": to_clients(
        derived("cause 41, which means 'failed' where no answer came before"), CARRIED, CARRIED
    ),
    "error": to_clients(*[derived("before the binding a failure or another attempt, after it a reset")] * 3),
    "full": to_clients(*[derived("another attempt, or a refusal: it never ran")] * 3),
    "moot": to_clients(*[derived("another attempt, or a refusal: it never left")] * 3),
    "outcome of a newer generation": to_clients(*[derived("the weakest promise: it may have run")] * 3),
    "text": to_clients(
        derived("under 'why', behind the reason"), derived("in failures, behind the reason"), CARRIED
    ),
    "advice": to_clients(_ROOMLESS, _ROOMLESS, CARRIED),
    "reason of a newer generation": to_clients(
        _CAUSE, derived("UNTOLD"), derived("UNTOLD, and its number in the text")
    ),
    "assumed hint": to_clients(derived("'hint' with 'assumed' beside the answer"), _ROOMLESS, CARRIED),
    "joined": to_clients(_ROOMLESS, _ROOMLESS, CARRIED),
    "load": to_clients(*[omitted("for the decision module")] * 3),
    "note": to_clients(*[omitted("for the decision module")] * 3),
    "hello": to_clients(*[omitted("for routes: which nodes can take a task")] * 3),
    "answer about a name": to_clients(*[derived("the binding, the end, or another attempt")] * 3),
    "passed": to_clients(CARRIED, CARRIED, CARRIED),
    **{f"reason {one.name}": _reason(one <= LAST_V1_REASON) for one in FailureReason},
}

# Elements of the forms that say each thing. A name may end in .* for all fields of a message.
ELEMENT_BINDINGS: dict[WireFormat, dict[str, str]] = {
    WireFormat.JSON_LINES: {
        "Line.kind": "=frame", "Line.uid": "id", "Line.meta": "=frame", "Line.reason": "=frame",
        "Line.body": "description",
        "Launch.task_class": "class", "Launch.left_ms": "time left", "Launch.tenant": "tenant", "Launch.key": "key",
        "Launch.hint_ms": "hint", "Launch.cores": "cores", "Launch.memory": "memory", "Launch.service": "service",
        "Launch.at": "hand-over",
        "out.wait": "wait", "out.why": "=derived", "out.hint": "=derived", "out.assumed": "=derived",
        "kind.launch": "=frame", "kind.running": "binding", "kind.stop": "give up", "kind.migrate": "move",
        "kind.stopped": "=frame", "kind.check": "=frame", "kind.checked": "passed",
        "cause.34": "refusal", "cause.41": "failure", "cause.100": "failure", "cause.16": "ended",
        "cause.31": "cancelled",
    },
    WireFormat.BINARY: {
        "Message.type": "=frame", "Message.uid": "id", "Message.values": "=frame",
        "type.SET_UP": "=frame", "type.PROGRESS": "progress", "type.ANSWER": "binding", "type.RELEASE": "give up",
        "type.RELEASE_ACK": "progress", "type.NOTE": "note", "type.MOVE": "=unused", "type.TEST": "=frame",
        "type.TESTED": "=frame",
        "parameter.CLASS": "class", "parameter.WAIT": "time left", "parameter.KEY": "key",
        "parameter.NOTE_NAME": "=frame", "parameter.REPORT": "load", "parameter.FIGURE": "note",
        "parameter.CAUSE": "=frame", "parameter.DESCRIPTION": "description",
        "cause.34": "full", "cause.47": "error", "cause.102": "moot", "cause.16": "ended", "cause.31": "cancelled",
        "cause.other": "reset",
        "reason.lack_cpu": "reason NO_CORES", "reason.lack_ram": "reason NO_MEMORY",
        "reason.backlog": "reason BACKLOG", "reason.unfit": "reason UNFIT", "reason.killed": "reason EVICTED",
        "reason.displaced": "reason PUSHED_OUT", "reason.dismissed": "reason SENT_AWAY",
        "fact.running": "note", "fact.use_cpu": "note", "fact.use_ram": "note", "fact.health": "note",
        "fact.ram_high": "note",
    },
    WireFormat.GRPC_V1: {
        "Ask.uid": "id", "Ask.task_class": "class", "Ask.left_ms": "time left", "Ask.tenant": "tenant",
        "Ask.key": "key", "Ask.hint_ms": "hint", "Ask.cores": "cores", "Ask.memory": "memory",
        "Ask.service": "service", "Ask.at": "hand-over", "Ask.description": "description",
        "ClientMessage.ask": "=frame", "ClientMessage.give_up": "give up",
        "Binding.description": "description", "Refusal.wait_ms": "wait", "Failure.why": "=derived",
        "Release.outcome": "=frame", "Release.reason": "=frame",
        "Verdict.uid": "id", "Verdict.binding": "binding", "Verdict.refusal": "refusal",
        "Verdict.failure": "failure", "Verdict.release": "release", "Verdict.move": "move",
        "CheckReply.passed": "passed",
        "Offer.task_class": "class", "Offer.wait_ms": "time left", "Offer.key": "key",
        "Offer.description": "description",
        "NodeOrder.uid": "id", "NodeOrder.offer": "=frame", "NodeOrder.release": "give up",
        "Note.fact": "note", "Note.level": "note", "Load.fields": "load",
        "Load.FieldsEntry.key": "load", "Load.FieldsEntry.value": "load",
        "End.outcome": "=frame", "End.reason": "=frame", "End.load": "load",
        "NodeReport.uid": "id", "NodeReport.progress": "progress", "NodeReport.binding": "binding",
        "NodeReport.end": "release", "NodeReport.note": "note",
        "Outcome.UNSPECIFIED": "outcome of a newer generation", "Outcome.ENDED": "ended", "Outcome.ERROR": "error",
        "Outcome.FULL": "full", "Outcome.MOOT": "moot", "Outcome.RESET": "reset", "Outcome.CANCELLED": "cancelled",
        "Reason.UNTOLD": "reason UNTOLD", "Reason.NO_CORES": "reason NO_CORES",
        "Reason.NO_MEMORY": "reason NO_MEMORY", "Reason.BACKLOG": "reason BACKLOG", "Reason.UNFIT": "reason UNFIT",
        "Reason.EVICTED": "reason EVICTED", "Reason.PUSHED_OUT": "reason PUSHED_OUT",
        "Reason.SENT_AWAY": "reason SENT_AWAY",
        "Fact.NOTHING": "note", "Fact.RUNS": "note", "Fact.CORES_USED": "note", "Fact.MEMORY_USED": "note",
        "Fact.SERVED_SHARE": "note", "Fact.MACHINE_MEMORY": "note",
    },
}  # fmt: skip
ELEMENT_BINDINGS[WireFormat.GRPC_V2] = {
    **{name: thing for name, thing in ELEMENT_BINDINGS[WireFormat.GRPC_V1].items() if name not in ("Ask.hint_ms", "Failure.why")},
    "Ask.hint": "hint", "Hint.ms": "hint", "Hint.assumed": "hint assumed by another",
    "ClientMessage.heard": "=frame",
    "Binding.hint": "assumed hint", "Binding.joined": "joined",
    "Refusal.reason": "=frame", "Refusal.text": "text", "Refusal.advice": "advice",
    "Failure.reason": "=frame", "Failure.text": "text", "Release.text": "text",
    "Offer.hint": "hint", "Offer.cores": "cores", "Offer.memory": "memory", "Offer.tenant": "tenant",
    "Offer.priority": "priority", "Offer.service": "service", "Offer.never_twice": "never twice",
    "Question.key": "question about a name", "NodeOrder.question": "question about a name",
    **{f"Reason.{one.name}": f"reason {one.name}" for one in FailureReason},
    "Advice.ANY": "advice", "Advice.LATER": "advice", "Advice.CHANGED": "advice",
    "End.text": "text", "End.advice": "advice",
    **{f"Requirement.{one}": "hello" for one in ("NONE", "HINT", "OWN_HINT", "TENANT", "KEY", "SERVICE")},
    **{f"Hello.{one}": "hello" for one in ("generation", "name", "requires", "answers_questions")},
    **{f"Standing.{one}": "answer about a name" for one in ("UNKNOWN", "NEVER", "WAITING", "RUNS_NOW", "RAN")},
    **{f"Answer.{one}": "answer about a name" for one in ("key", "standing", "uid", "description")},
    "Answer.outcome": "answer about a name", "Answer.reason": "answer about a name",
    "NodeReport.hello": "hello", "NodeReport.answer": "answer about a name",
}  # fmt: skip


def mapping_for(subject: str, target: WireFormat) -> FieldMapping:
    """What becomes of a thing towards a form; KeyError where none is declared."""
    row = REQUEST_MAPPINGS.get(subject, {}) if target in NODE_FORMATS else {}
    return row.get(target) or RESPONSE_MAPPINGS[subject][target]


@functools.cache
def omitted_subjects(target: WireFormat) -> frozenset[str]:
    """The things that are left out towards a form of nodes, for the account."""
    return frozenset(
        thing for thing, row in REQUEST_MAPPINGS.items() if row[target].kind is MappingKind.LEFT_OUT
    )
