"""The check of the translation table by reflection over the forms themselves, and its page for operators."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any

from thornshelf.nodes import binary as binary_nodes
from thornshelf.translation.failures import CLIENT_FORMATS, NODE_FORMATS, WireFormat
from thornshelf.translation.field_mapping import (
    ELEMENT_BINDINGS,
    REQUEST_MAPPINGS,
    RESPONSE_MAPPINGS,
    FieldMapping,
    MappingKind,
)
from thornshelf.wire import binary, jsonl, placement_pb2, placement_v2_pb2

_TYPES = ("SET_UP", "PROGRESS", "ANSWER", "RELEASE", "RELEASE_ACK", "NOTE", "MOVE", "TEST", "TESTED")
_NO_THING = (
    "="  # bindings that begin so name no thing: frames, fields that only carry derived words, unused types
)


def proto_elements(file: Any) -> Iterator[str]:
    """All fields and enum values of a proto file."""
    for message in file.DESCRIPTOR.message_types_by_name.values():
        for inner in (message, *message.nested_types):
            name = inner.name if inner is message else f"{message.name}.{inner.name}"
            for field in inner.fields:
                yield f"{name}.{field.name}"
    for enum in file.DESCRIPTOR.enum_types_by_name.values():
        for value in enum.values:
            yield f"{enum.name}.{value.name}"


def json_lines_elements() -> Iterator[str]:
    """All that JSON lines can say."""
    for name, kind in (("Line", jsonl.Line), ("Launch", jsonl.LaunchFields)):
        for field in dataclasses.fields(kind):
            yield f"{name}.{field.name}"
    yield from (f"kind.{one}" for one in jsonl.KINDS)
    yield from (f"out.{one}" for one in jsonl.OUT_FIELDS)
    yield from (f"cause.{one}" for one in jsonl.CAUSES)


def binary_elements() -> Iterator[str]:
    """All that binary messages can say."""
    for field in dataclasses.fields(binary.Message):
        yield f"Message.{field.name}"
    for name, value in vars(binary).items():
        if name.isupper() and not name.startswith(("_", "MAX_")) and isinstance(value, int):
            yield f"{'type' if name in _TYPES else 'parameter'}.{name}"
    yield from (
        f"cause.{one}"
        for one in {*binary_nodes.OUTCOMES_BEFORE_START, *binary_nodes.OUTCOMES_AFTER_START, "other"}
    )
    yield from (f"reason.{one}" for one in binary_nodes.REASONS_BY_NAME)
    yield from (f"fact.{one}" for one in binary_nodes.FACTS_BY_NAME)


def elements(form: WireFormat) -> set[str]:
    """All fields, causes and enum values of a form."""
    match form:
        case WireFormat.JSON_LINES:
            return set(json_lines_elements())
        case WireFormat.BINARY:
            return set(binary_elements())
        case WireFormat.GRPC_V1:
            return set(proto_elements(placement_pb2))
        case WireFormat.GRPC_V2:
            return set(proto_elements(placement_v2_pb2))


def find_problems() -> list[str]:
    """What the table lacks or has too much of, and where it contradicts the forms; nothing where it is total."""
    found = []
    for form in WireFormat:
        bound, there = ELEMENT_BINDINGS[form], elements(form)
        found += [f"{form.value}: {one} has no binding" for one in sorted(there - bound.keys())]
        found += [f"{form.value}: {one} is bound and does not exist" for one in sorted(bound.keys() - there)]
        for one, thing in bound.items():
            if (
                not thing.startswith(_NO_THING)
                and thing not in REQUEST_MAPPINGS
                and thing not in RESPONSE_MAPPINGS
            ):
                found.append(f"{form.value}: {one} says {thing!r}, which has no fate")
    for rows, forms in ((REQUEST_MAPPINGS, NODE_FORMATS), (RESPONSE_MAPPINGS, CLIENT_FORMATS)):
        for thing, row in rows.items():
            for form in forms:
                found += _contradictions(thing, form, row.get(form))
    return found


def _contradictions(thing: str, form: WireFormat, fate: FieldMapping | None) -> Iterator[str]:
    if fate is None:
        yield f"{thing} has no fate towards {form.value}"
        return
    if fate.kind is not MappingKind.CARRIED and not fate.explanation:
        yield f"{thing} towards {form.value} is {fate.kind.value} without a word on how"
    words = {said for said in ELEMENT_BINDINGS[form].values() if not said.startswith(_NO_THING)}
    if fate.kind is MappingKind.CARRIED and thing not in words and thing != "release":
        yield f"{thing} is said to be carried to {form.value}, which has no word for it"


def _cell(fate: FieldMapping) -> str:
    return f"{fate.kind.value}: {fate.explanation}" if fate.explanation else fate.kind.value


def render_page() -> str:
    """The table for people, in Markdown."""
    out = [
        "# What becomes of each word between the forms",
        "",
        "Made by `python -m thornshelf fates` from `thornshelf/translate/table.py`; a test compares the two.",
    ]
    parts = (
        ("What clients say, towards nodes", REQUEST_MAPPINGS, NODE_FORMATS),
        ("What nodes and the dispatcher say, towards clients", RESPONSE_MAPPINGS, CLIENT_FORMATS),
    )
    for title, rows, forms in parts:
        out += ["", f"## {title}", "", "| thing | " + " | ".join(form.value for form in forms) + " |"]
        out.append("| --- " * (len(forms) + 1) + "|")
        for thing, row in rows.items():
            out.append(f"| {thing} | " + " | ".join(_cell(row[form]) for form in forms) + " |")
    return "\n".join(out) + "\n"
