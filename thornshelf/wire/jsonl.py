"""The JSON lines protocol of clients: one JSON object per line."""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass
from typing import Any

from thornshelf.wire.errors import WireError

MAX_MESSAGE = 16 * 1024
MAX_SHORT_TEXT = 256  # characters of a key
MAX_NUMBER = 1e9  # the largest number of a request: milliseconds, cores or units of memory
_HEX = frozenset("0123456789abcdefABCDEF")
_KIND = b'"kind"'
_LAUNCH = re.compile(rb'"kind"\s*:\s*"launch"')


@dataclass(frozen=True, slots=True)
class Line:
    """One message from or to a client."""

    kind: str
    uid: int
    meta: dict[str, str | float]
    reason: int | None = None
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class LaunchFields:
    """The fields of a launch request, in the units of the wire.

    ``at``: the node that runs the task already; ``idem``: the key of a keyed class, the same for all tries.
    """

    task_class: str
    left_ms: float
    tenant: str | None
    key: int
    hint_ms: float | None
    cores: float
    memory: float
    service: int
    at: str | None
    idem: str | None


# All kinds of lines, and the fields and causes of lines to clients, which the field mapping covers.
LINE_KINDS = ("launch", "running", "stop", "stopped", "migrate", "check", "checked")
CLIENT_FIELDS = ("wait", "why", "hint", "assumed")
REFUSED = 34
FAILED = 41
UNREADABLE = 100
ENDED = 16
CANCELLED = 31
CAUSES = (REFUSED, FAILED, UNREADABLE, ENDED, CANCELLED)

UNKNOWN_UID = 0  # in a rejection of a message whose id is missing or could not be decoded


def parse_hex_number(text: object, field_name: str) -> int:
    """Parse a number of 1 to 16 hex digits; ``field_name`` names it in the ``WireError`` raised for anything else."""
    if not isinstance(text, str) or not 0 < len(text) <= 16 or not _HEX.issuperset(text):
        raise WireError(f"{field_name} is not a number of up to 16 hex digits: {text!r:.40}")
    return int(text, 16)


def _finite_number(value: object, field_name: str) -> float:
    """Convert a number or its text; raises ``WireError`` if the value is neither, or not finite."""
    try:
        number = float(value) if isinstance(value, str | int | float) else math.nan
    except (ValueError, OverflowError):
        number = math.nan
    if not math.isfinite(number) or isinstance(value, bool):
        raise WireError(f"{field_name} is not a finite number: {value!r:.40}")
    return number


def _bounded_number(value: object, field_name: str) -> float:
    """Convert a number or its text; raises ``WireError`` unless it is between 0 and ``MAX_NUMBER``."""
    number = _finite_number(value, field_name)
    if not 0.0 <= number <= MAX_NUMBER:
        raise WireError(f"{field_name} is not between 0 and {MAX_NUMBER:g}: {number:g}")
    return number


def _short_text(value: object, field_name: str) -> str | None:
    """Return a text that can be passed on, or None if there is none; raises ``WireError`` for anything else."""
    if value is None or value == "":
        return None
    if not isinstance(value, str) or len(value) > MAX_SHORT_TEXT:
        raise WireError(f"{field_name} is not a text of up to {MAX_SHORT_TEXT} characters: {value!r:.40}")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise WireError(f"{field_name} can't be encoded: {value!r:.40}") from None
    return value


def parse_line(text: bytes) -> Line:
    """Decode one line without its line end.

    Raises ``WireError`` if it is malformed, with the task's id if that could be decoded.
    """
    try:
        value: Any = json.loads(text.decode("utf-8"))
    except (ValueError, RecursionError) as error:
        raise WireError(f"line is not valid JSON: {error!s:.80}") from None
    if not isinstance(value, dict):
        raise WireError("line is not a JSON object")
    uid_text = value.get("uid")
    if not isinstance(uid_text, str) or len(uid_text) != 16:
        raise WireError(f"uid is not 16 hex digits: {uid_text!r:.40}")
    uid = parse_hex_number(uid_text, "uid")
    kind = value.get("kind")
    meta = value.get("meta", {})
    reason = value.get("reason")
    body = value.get("body")
    if not isinstance(kind, str):
        raise WireError("kind is not a string", uid=uid)
    if not isinstance(meta, dict) or not all(isinstance(item, str | int | float) for item in meta.values()):
        raise WireError("meta is not an object of strings and numbers", uid=uid)
    if reason is not None and (not isinstance(reason, int) or isinstance(reason, bool)):
        raise WireError("reason is not an integer", uid=uid)
    if body is not None and not isinstance(body, str):
        raise WireError("body is not a string", uid=uid)
    return Line(kind, uid, meta, reason, None if body is None else body.encode("utf-8", "surrogatepass"))


def launch_fields(line: Line) -> LaunchFields:
    """Decode the fields of a launch request.

    Raises ``WireError`` if one is missing or malformed, with the task's id, so that the client can be answered.
    """
    meta = line.meta
    try:
        extras = dict(part.partition(":")[::2] for part in str(meta.get("extras", "")).split(";") if part)
        if not isinstance(meta.get("class"), str):
            raise WireError("class is missing or not a string")
        tenant = meta.get("tenant")
        return LaunchFields(
            task_class=str(meta["class"]),
            left_ms=_bounded_number(meta.get("left"), "left"),
            tenant=None if tenant in (None, "") else str(tenant),
            key=parse_hex_number(meta.get("key", "0"), "key"),
            hint_ms=_bounded_number(meta["hint"], "hint") if meta.get("hint") not in (None, "") else None,
            cores=_bounded_number(extras.get("cores", 0.0), "cores"),
            memory=_bounded_number(extras.get("memory", 0.0), "memory"),
            service=parse_hex_number(extras.get("service", "0"), "service"),
            at=extras.get("at") or None,
            idem=_short_text(meta.get("idem"), "idem"),
        )
    except WireError as error:
        raise WireError(str(error), uid=line.uid) from None


def is_plain_launch(text: bytes) -> bool:
    """Return whether a line is certainly a launch request without ``at``, by a fast check without decoding.

    Returns false if only a decoder can tell: for an escaped character, a repeated ``kind`` or a possible ``at``.
    """
    return (
        _LAUNCH.search(text) is not None
        and text.count(_KIND) == 1
        and b"at:" not in text
        and b"\\u" not in text
    )


def encode_line(
    kind: str,
    uid: int,
    meta: dict[str, str] | None = None,
    reason: int | None = None,
    body: bytes | None = None,
) -> bytes:
    """Encode a line with its line end."""
    value: dict[str, object] = {"kind": kind, "uid": f"{uid:016x}", "meta": meta or {}}
    if reason is not None:
        value["reason"] = reason
    if body is not None:
        try:
            value["body"] = body.decode("utf-8", "surrogatepass")
        except UnicodeDecodeError:  # each invalid byte becomes a lone surrogate, so that none is lost
            value["body"] = body.decode("utf-8", "surrogateescape")
    return json.dumps(value, separators=(",", ":")).encode("ascii") + b"\n"


class LineReader:
    """Splits a stream of bytes into lines and decodes them.

    ``client_disconnected``: whether the client is gone, so that launch requests, which need an answer, are skipped.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0  # bytes of the buffer that contain no line end
        self.client_disconnected = False

    def feed(self, data: bytes) -> None:
        """Add bytes to the buffer."""
        self._buffer += data

    @property
    def mid_message(self) -> bool:
        """Whether bytes of an incomplete line are buffered."""
        return bool(self._buffer)

    def next(self) -> Line | None:
        """Return the next message; None if no line is complete.

        Raises ``WireError`` for a malformed line, which is skipped; the error is fatal if the line is too long.
        """
        while True:
            end = self._buffer.find(b"\n", self._searched)
            if end < 0:
                self._searched = len(self._buffer)
                if self._searched >= MAX_MESSAGE:
                    raise WireError(f"line is longer than {MAX_MESSAGE} bytes", fatal=True)
                return None
            text = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            self._searched = 0
            if end >= MAX_MESSAGE:
                raise WireError(f"line is longer than {MAX_MESSAGE} bytes", fatal=True)
            if text.strip() and not (self.client_disconnected and is_plain_launch(text)):
                return parse_line(text)
