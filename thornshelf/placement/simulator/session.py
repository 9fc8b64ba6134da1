"""Serves the simulator: reads batches of lines, and answers each with the actions of all placers."""

from __future__ import annotations

from typing import IO

from thornshelf import placement as api
from thornshelf.errors import WireError
from thornshelf.placement.simulator.decoder import decode_endpoint
from thornshelf.placement.simulator.encoder import END_OF_REPLY
from thornshelf.placement.simulator.instances import InstanceTable
from thornshelf.placement.simulator.values import parse_integer, parse_number

_BATCH_START = "TICK"
_BATCH_END = ["EOB"]
_ENDPOINT_LIST = "ROSTER"
_ENDPOINT_LIST_FIELD_COUNT = 2
_ENDPOINT_LIST_NUMBERS = 16  # lists are numbered from 0 to 15


class LineReader:
    """Reads lines of the input; ``line`` is the number of the last one, from 1."""

    def __init__(self, stream: IO[str]) -> None:
        self._stream = stream
        self.line = 0

    def next(self) -> str | None:
        """Return the next line without its line end, or None at the end of the input."""
        text = self._stream.readline()
        if not text:
            return None
        self.line += 1
        return text.rstrip("\r\n")

    def next_of_batch(self) -> list[str]:
        """Return the fields of the next line of a batch.

        Raises ``WireError`` if the input ends, as the batch is incomplete then.
        """
        text = self.next()
        if text is None:
            raise WireError("input ends within a batch")
        return text.split("\t")


class Session:
    """Serves the simulator over a reader and an output stream."""

    def __init__(self, reader: LineReader, output: IO[str]) -> None:
        self._reader = reader
        self._output = output
        self._endpoint_lists: dict[int, tuple[api.Endpoint, ...]] = {}
        self._instances = InstanceTable(self._endpoint_lists)

    def run(self) -> None:
        """Read and answer batches until the input ends; empty lines between them are ignored.

        Raises ``WireError`` if the input is malformed.
        """
        while (line := self._reader.next()) is not None:
            if line:
                self._serve_batch(line.split("\t"))

    def _serve_batch(self, head: list[str]) -> None:
        if head[0] != _BATCH_START or len(head) != 2:
            raise WireError(f"a batch starts with {_BATCH_START} and the clock")
        now = parse_number(head[1], "clock")
        while (fields := self._reader.next_of_batch()) != _BATCH_END:
            if fields[0] == _ENDPOINT_LIST:
                self._read_endpoint_list(fields)
            else:
                self._instances.apply(fields)
        lines = self._instances.end_batch(now)
        lines.append(END_OF_REPLY)
        self._output.write("".join(line + "\n" for line in lines))
        self._output.flush()

    def _read_endpoint_list(self, fields: list[str]) -> None:
        if len(fields) - 1 != _ENDPOINT_LIST_FIELD_COUNT:
            raise WireError(f"{_ENDPOINT_LIST} needs a number and a count")
        number = parse_integer(fields[1], "ref")
        if number >= _ENDPOINT_LIST_NUMBERS:
            raise WireError(f"list number is above {_ENDPOINT_LIST_NUMBERS - 1}: {number}")
        count = parse_integer(fields[2], "records")
        entries = [decode_endpoint(self._reader.next_of_batch()) for _ in range(count)]
        self._endpoint_lists[number] = tuple(entries)
