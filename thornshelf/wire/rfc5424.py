"""Syslog lines in the format of RFC 5424, with structured data."""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import UTC, datetime

FACILITY_DAEMON = 3
ERROR, WARNING, NOTICE, INFO = 3, 4, 5, 6
ENTERPRISE = "thornshelf@32473"  # the enterprise number that RFC 5612 reserves for examples

_UNPRINTABLE = re.compile(r"[^\x21-\x7e]")
_NOT_IN_NAME = re.compile(r'[^\x21-\x7e]|[=\]"]')
_ESCAPED = re.compile(r'(["\\\]])')


def header_value(text: str, max_length: int) -> str:
    """Convert a text to a header field: ``max_length`` printable ASCII characters at most; ``-`` if it is empty."""
    return _UNPRINTABLE.sub("_", text)[:max_length] or "-"


def structured_data_element(identity: str, values: Mapping[str, object]) -> str:
    """Encode one element of structured data."""
    quoted = {name: _ESCAPED.sub(r"\\\1", " ".join(str(value).split())) for name, value in values.items()}
    parts = "".join(f' {_NOT_IN_NAME.sub("_", name)[:32]}="{value}"' for name, value in quoted.items())
    return f"[{identity}{parts}]"


def format_line(
    severity: int,
    unix_us: int,
    host: str,
    app: str,
    process: int,
    message_id: str,
    values: Mapping[str, object],
    text: str,
) -> bytes:
    """Encode one line without its line end; ``unix_us``: its time, in microseconds since the Unix epoch."""
    at = datetime.fromtimestamp(unix_us // 1_000_000, UTC).replace(microsecond=unix_us % 1_000_000)
    stamp = at.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    head = f"<{FACILITY_DAEMON * 8 + severity}>1 {stamp} {header_value(host, 255)} {header_value(app, 48)}"
    data = structured_data_element(ENTERPRISE, values) if values else "-"
    one_line = " ".join(text.split())
    line = f"{head} {process} {header_value(message_id, 32)} {data}"
    return (f"{line} {one_line}" if one_line else line).encode("utf-8", "replace")
