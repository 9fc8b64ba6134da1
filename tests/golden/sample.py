"""Defines samples and formats, and reads and writes the files of expected bytes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

DATA = Path(__file__).parent / "data"


@dataclass(frozen=True, slots=True)
class Sample:
    """One message. ``decode`` must return ``value`` for the stored bytes; it is None if nothing decodes it."""

    name: str
    encode: Callable[[], bytes]
    decode: Callable[[bytes], object] | None = None
    value: object = None


@dataclass(frozen=True, slots=True)
class Format:
    """The samples of one data file, which has a name and a message on each line; binary messages are in hex."""

    file: str
    samples: list[Sample]
    binary: bool = True

    def write(self) -> None:
        """Rewrite the data file with the bytes that the current code encodes."""
        lines = [f"{sample.name} {self._text(sample.encode())}\n" for sample in self.samples]
        (DATA / self.file).write_text("".join(lines), encoding="utf-8")

    def read(self) -> dict[str, bytes]:
        """Returns the stored bytes by sample name."""
        lines = (DATA / self.file).read_text(encoding="utf-8").splitlines()
        fields = [line.partition(" ") for line in lines]
        return {name: self._bytes(text) for name, _, text in fields}

    def _text(self, data: bytes) -> str:
        if self.binary:
            return data.hex()
        text = data.decode()
        if "\n" in text[:-1] or not text.endswith("\n"):
            raise ValueError(f"not exactly one line: {text!r}")
        return text[:-1]

    def _bytes(self, text: str) -> bytes:
        return bytes.fromhex(text) if self.binary else text.encode() + b"\n"
