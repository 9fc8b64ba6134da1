"""What a sample is, and how the files of expected bytes are written and read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

DATA = Path(__file__).parent / "data"


@dataclass(frozen=True, slots=True)
class Sample:
    """One message. ``decode`` gives ``value`` from the stored bytes; None where this format is only written."""

    name: str
    encode: Callable[[], bytes]
    decode: Callable[[bytes], object] | None = None
    value: object = None


@dataclass(frozen=True, slots=True)
class Format:
    """The samples of one data file. Binary formats are stored as hex, a name and a message on each line."""

    file: str
    samples: list[Sample]
    binary: bool = True

    def write(self) -> None:
        """Write the data file anew, by the code as it is now."""
        lines = [f"{one.name} {self._text(one.encode())}\n" for one in self.samples]
        (DATA / self.file).write_text("".join(lines), encoding="utf-8")

    def read(self) -> dict[str, bytes]:
        """The stored bytes by the samples' names."""
        lines = (DATA / self.file).read_text(encoding="utf-8").splitlines()
        pairs = [line.partition(" ") for line in lines]
        return {name: self._bytes(text) for name, _, text in pairs}

    def _text(self, data: bytes) -> str:
        if self.binary:
            return data.hex()
        text = data.decode()
        if "\n" in text[:-1] or not text.endswith("\n"):
            raise ValueError(f"not exactly one line: {text!r}")
        return text[:-1]

    def _bytes(self, text: str) -> bytes:
        return bytes.fromhex(text) if self.binary else text.encode() + b"\n"
