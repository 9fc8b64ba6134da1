"""Checks that the field mapping covers every element of the wire formats, and renders it as a page for operators."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any

from thornshelf.nodes import binary as node_binary
from thornshelf.translation.element_bindings import ELEMENT_BINDINGS
from thornshelf.translation.failures import CLIENT_FORMATS, NODE_FORMATS, WireFormat
from thornshelf.translation.field_mapping import (
    REQUEST_MAPPINGS,
    RESPONSE_MAPPINGS,
    FieldMapping,
    MappingKind,
)
from thornshelf.wire import binary, jsonl, placement_pb2, placement_v2_pb2

_MESSAGE_TYPES = (
    "SET_UP",
    "PROGRESS",
    "ANSWER",
    "RELEASE",
    "RELEASE_ACK",
    "NOTE",
    "MOVE",
    "TEST",
    "TESTED",
)
_UNMAPPED_PREFIX = "="  # of subjects that need no mapping: see ``element_bindings``


def proto_elements(module: Any) -> Iterator[str]:
    """Yields all fields and enum values of a module that protoc generated."""
    for message in module.DESCRIPTOR.message_types_by_name.values():
        for message_type in (message, *message.nested_types):
            name = message_type.name if message_type is message else f"{message.name}.{message_type.name}"
            for field in message_type.fields:
                yield f"{name}.{field.name}"
    for enum in module.DESCRIPTOR.enum_types_by_name.values():
        for value in enum.values:
            yield f"{enum.name}.{value.name}"


def json_lines_elements() -> Iterator[str]:
    """Yields all fields, kinds and causes of JSON lines."""
    for name, record_type in (("Line", jsonl.Line), ("Launch", jsonl.LaunchFields)):
        for field in dataclasses.fields(record_type):
            yield f"{name}.{field.name}"
    yield from (f"kind.{kind}" for kind in jsonl.LINE_KINDS)
    yield from (f"out.{out_field}" for out_field in jsonl.CLIENT_FIELDS)
    yield from (f"cause.{cause}" for cause in jsonl.CAUSES)


def binary_elements() -> Iterator[str]:
    """Yields all fields, types, parameters, causes, reasons and facts of binary messages."""
    for field in dataclasses.fields(binary.Message):
        yield f"Message.{field.name}"
    for name, value in vars(binary).items():
        if name.isupper() and not name.startswith(("_", "MAX_")) and isinstance(value, int):
            group = "type" if name in _MESSAGE_TYPES else "parameter"
            yield f"{group}.{name}"
    causes = {*node_binary.OUTCOMES_BEFORE_START, *node_binary.OUTCOMES_AFTER_START, "other"}
    yield from (f"cause.{cause}" for cause in causes)
    yield from (f"reason.{reason}" for reason in node_binary.REASONS_BY_NAME)
    yield from (f"fact.{fact}" for fact in node_binary.UPDATE_KINDS_BY_NAME)


def elements(wire_format: WireFormat) -> set[str]:
    """Returns all fields, causes and enum values of a wire format."""
    match wire_format:
        case WireFormat.JSON_LINES:
            return set(json_lines_elements())
        case WireFormat.BINARY:
            return set(binary_elements())
        case WireFormat.GRPC_V1:
            return set(proto_elements(placement_pb2))
        case WireFormat.GRPC_V2:
            return set(proto_elements(placement_v2_pb2))


def find_problems() -> list[str]:
    """Returns a description of each gap or contradiction in the field mapping; empty if there are none."""
    problems: list[str] = []
    for wire_format in WireFormat:
        problems += _binding_problems(wire_format)
    for mappings, wire_formats in ((REQUEST_MAPPINGS, NODE_FORMATS), (RESPONSE_MAPPINGS, CLIENT_FORMATS)):
        for subject, row in mappings.items():
            for wire_format in wire_formats:
                problems += _mapping_problems(subject, wire_format, row.get(wire_format))
    return problems


def _binding_problems(wire_format: WireFormat) -> Iterator[str]:
    """Yields elements without a binding, bindings of unknown elements, and bindings to unmapped subjects."""
    name = wire_format.value
    bindings = ELEMENT_BINDINGS[wire_format]
    existing = elements(wire_format)
    yield from (f"{name}: {element} has no binding" for element in sorted(existing - bindings.keys()))
    yield from (
        f"{name}: {element} is bound and does not exist" for element in sorted(bindings.keys() - existing)
    )
    for element, subject in bindings.items():
        is_mapped = subject in REQUEST_MAPPINGS or subject in RESPONSE_MAPPINGS
        if not is_mapped and not subject.startswith(_UNMAPPED_PREFIX):
            yield f"{name}: {element} is bound to {subject!r}, which has no mapping"


def _mapping_problems(subject: str, wire_format: WireFormat, mapping: FieldMapping | None) -> Iterator[str]:
    """Yields a missing mapping, a missing explanation, and a carried subject that the format has no element for."""
    name = wire_format.value
    if mapping is None:
        yield f"{subject} has no mapping to {name}"
        return
    if mapping.kind is not MappingKind.CARRIED and not mapping.explanation:
        yield f"{subject} to {name} is {mapping.kind.value} without an explanation"
    expressible = {
        bound_subject
        for bound_subject in ELEMENT_BINDINGS[wire_format].values()
        if not bound_subject.startswith(_UNMAPPED_PREFIX)
    }
    if mapping.kind is MappingKind.CARRIED and subject not in expressible and subject != "release":
        yield f"{subject} is declared as carried to {name}, which has no element for it"


def _cell(mapping: FieldMapping) -> str:
    return f"{mapping.kind.value}: {mapping.explanation}" if mapping.explanation else mapping.kind.value


def render_page() -> str:
    """Returns the field mapping as a Markdown page."""
    lines = [
        "# Field mapping between the wire formats",
        "",
        "Made by `python -m thornshelf field-mapping` from `thornshelf/translation/field_mapping.py`; a test compares"
        " the two.",
    ]
    sections = (
        ("Client messages, in the formats of nodes", REQUEST_MAPPINGS, NODE_FORMATS),
        (
            "Messages of nodes and of the dispatcher, in the formats of clients",
            RESPONSE_MAPPINGS,
            CLIENT_FORMATS,
        ),
    )
    for title, mappings, wire_formats in sections:
        columns = " | ".join(wire_format.value for wire_format in wire_formats)
        lines += ["", f"## {title}", "", f"| subject | {columns} |"]
        lines.append("| --- " * (len(wire_formats) + 1) + "|")
        for subject, row in mappings.items():
            cells = " | ".join(_cell(row[wire_format]) for wire_format in wire_formats)
            lines.append(f"| {subject} | {cells} |")
    return "\n".join(lines) + "\n"
