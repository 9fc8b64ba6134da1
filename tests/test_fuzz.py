"""Fuzz tests of the parsers: valid messages split at random places, and random input, from fixed seeds."""

from __future__ import annotations

import contextlib
import json
import math

from hypothesis import given, settings
from hypothesis import strategies as st

from thornshelf.discovery.endpoint_events import decode_events
from thornshelf.loop import Chunk
from thornshelf.wire import binary, grpc, http2, jsonl, rfc5424
from thornshelf.wire import placement_pb2 as pb
from thornshelf.wire.errors import WireError

FIXED = settings(derandomize=True, deadline=None, max_examples=150)
UIDS = st.integers(0, 2**64 - 1)
SIZES = st.lists(st.integers(1, 40), max_size=30)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    """Splits the data into parts of these sizes, followed by the rest."""
    parts = []
    for size in sizes:
        parts.append(data[:size])
        data = data[size:]
    return [*parts, data]


def read_all(reader: jsonl.LineReader | binary.MessageReader | grpc.MessageReader) -> list[object]:
    """All complete messages, with "error" for each invalid one; stops after a fatal error."""
    found: list[object] = []
    while True:
        try:
            message = reader.next()
        except WireError as error:
            found.append("error")
            if error.fatal:
                return found
            continue
        if message is None:
            return found
        found.append(message)


@FIXED
@given(st.lists(st.tuples(UIDS, st.text(max_size=30), st.integers(0, 127)), max_size=5), SIZES)
def test_lines_are_decoded_however_they_are_split(
    tasks: list[tuple[int, str, int]], sizes: list[int]
) -> None:
    data = b"".join(
        jsonl.encode_line("launch", uid, {"class": text}, reason, text.encode("utf-8", "surrogatepass"))
        for uid, text, reason in tasks
    )
    reader = jsonl.LineReader()
    found: list[object] = []
    for part in split(data, sizes):
        reader.feed(part)
        found += read_all(reader)
    assert found == [
        jsonl.Line("launch", uid, {"class": text}, reason, text.encode("utf-8", "surrogatepass"))
        for uid, text, reason in tasks
    ]


@FIXED
@given(
    st.lists(st.tuples(UIDS, st.dictionaries(st.integers(129, 150), st.binary(max_size=30))), max_size=5),
    SIZES,
)
def test_binary_messages_are_decoded_however_they_are_split(
    tasks: list[tuple[int, dict[int, bytes]]], sizes: list[int]
) -> None:
    data = b"".join(binary.encode(binary.SET_UP, uid, values) for uid, values in tasks)
    reader = binary.MessageReader()
    found: list[object] = []
    for part in split(data, sizes):
        reader.feed(part)
        found += read_all(reader)
    assert found == [binary.Message(binary.SET_UP, uid, values) for uid, values in tasks]


@FIXED
@given(st.lists(st.tuples(UIDS, st.binary(max_size=50)), max_size=5), SIZES)
def test_grpc_messages_are_decoded_however_they_are_split(
    tasks: list[tuple[int, bytes]], sizes: list[int]
) -> None:
    requests = [pb.Ask(uid=uid, description=text) for uid, text in tasks]
    reader = grpc.MessageReader()
    found: list[object] = []
    for part in split(b"".join(grpc.encode_message(request) for request in requests), sizes):
        reader.feed(part)
        found += read_all(reader)
    assert found == [request.SerializeToString() for request in requests]


@FIXED
@given(st.lists(st.binary(max_size=60), max_size=6))
def test_random_bytes_raise_only_wire_errors(parts: list[bytes]) -> None:
    for reader in (jsonl.LineReader(), binary.MessageReader(), grpc.MessageReader()):
        for part in parts:
            reader.feed(part)
            read_all(reader)
    for message_type in (pb.ClientMessage, pb.NodeReport, pb.Ask):
        with contextlib.suppress(WireError):
            grpc.decode_message(message_type, b"".join(parts))


@FIXED
@given(st.booleans(), st.lists(st.binary(min_size=1, max_size=60), max_size=6), SIZES, st.integers(0, 80))
def test_http2_handles_split_input_and_random_bytes(
    client: bool, parts: list[bytes], sizes: list[int], offset: int
) -> None:
    sent = bytearray()

    def emit(data: bytes) -> Chunk:
        sent.extend(data)
        return Chunk(data)

    peer = http2.Http2Connection(not client, emit)
    if not client:
        call = peer.open_stream(
            [(":method", "POST"), (":scheme", "http"), (":path", "/a"), (":authority", "a")]
        )
        peer.send(call, grpc.encode_message(pb.Ask(uid=1)))
    data = bytes(sent)
    intact = http2.Http2Connection(client, Chunk)
    events = [event for part in split(data, sizes) for event in intact.receive(part)]
    assert events == http2.Http2Connection(client, Chunk).receive(data)
    broken = http2.Http2Connection(client, Chunk)
    with contextlib.suppress(WireError):
        for part in [data[:offset], *parts, data[offset:]]:
            broken.receive(part)


@FIXED
@given(st.dictionaries(st.sampled_from(["class", "left", "key", "hint", "extras", "tenant"]), JSON_VALUES))
def test_requests_are_decoded_with_finite_numbers_or_rejected(meta: dict[str, object]) -> None:
    value = {"kind": "launch", "uid": "9b1f03aa5c7e2d41", "meta": meta}
    with contextlib.suppress(WireError):
        fields = jsonl.launch_fields(jsonl.parse_line(json.dumps(value).encode()))
        assert all(map(math.isfinite, (fields.left_ms, fields.cores, fields.memory, fields.hint_ms or 0.0)))


@FIXED
@given(JSON_VALUES, st.sampled_from(["seq", "results", "instances", "instanceId", "hostPort", "startedAtMs"]))
def test_the_change_log_is_decoded_or_rejected(value: object, key: str) -> None:
    node = {"instanceId": "s-1", "hostPort": "127.0.0.1:1", "lifecycle": "in_service", "startedAtMs": 5}
    fleet: dict[str, object] = {"generation": 1, "reset": True, "instances": [node]}
    event: dict[str, object] = {"seq": 1, "fleet": fleet}
    answer: dict[str, object] = {"seq": 1, "results": [event]}
    for holder in (answer, event, fleet, node):
        original = holder.get(key)
        holder[key] = value
        with contextlib.suppress(WireError):
            last, changes = decode_events(answer, 0, lambda us: us, lambda _: None)
            assert last >= 0
            assert all(entry.name for change in changes for entry in change.endpoints)
        holder[key] = original


@FIXED
@given(st.text(max_size=40), st.text(max_size=20), st.dictionaries(st.text(max_size=8), st.text(max_size=20)))
def test_log_records_have_one_line_each(text: str, name: str, values: dict[str, str]) -> None:
    line = rfc5424.format_line(rfc5424.INFO, 1_700_000_000_123_456, name, "app", 1, name, values, text)
    assert line.startswith(b"<30>1 2023-11-14T22:13:20.123456Z ")
    assert b"\n" not in line
    data = line.decode().split(" ", 6)[6]
    assert data.startswith("[" if values else "-")
