"""The placers that share one connection to the simulator; none affects another."""

from __future__ import annotations

from thornshelf import placement as api
from thornshelf.errors import WireError
from thornshelf.placement.placer import Placer
from thornshelf.placement.simulator.decoder import (
    EVENT_MESSAGES,
    EndpointLists,
    EventDecoder,
)
from thornshelf.placement.simulator.encoder import encode_action, encode_exception
from thornshelf.placement.simulator.settings import decode_settings
from thornshelf.placement.simulator.values import parse_integer

_START = "BORN"
_SHUTDOWN = "SHUTDOWN"
_START_FIELD_COUNT = 2  # the instance's number and its seed, before the settings
_SHUTDOWN_FIELD_COUNT = 1
_INSTANCE = "placer-id"


class Instance:
    """One placer, its event decoder, and its events of the current batch."""

    def __init__(self, number: int, placer: Placer, decoder: EventDecoder) -> None:
        self.number = number
        self.decoder = decoder
        self.events: list[api.Event] = []
        self._placer = placer

    def handle_events(self, now: float) -> list[str]:
        """Pass the events of the batch to the placer, and return a line for each of its actions.

        If the placer raises an exception, the only line returned reports it; other instances are not affected.
        """
        events = self.events
        self.events = []
        try:
            actions = self._placer.handle(now, events)
        except Exception as error:
            return [encode_exception(self.number, error)]
        return [encode_action(self.number, action) for action in actions]


class InstanceTable:
    """All instances by number, and those that the current batch names.

    The number of an instance that was shut down remains known: messages to it are validated and then ignored.
    """

    def __init__(self, endpoint_lists: EndpointLists) -> None:
        self._endpoint_lists = endpoint_lists
        self._instances: dict[int, Instance | None] = {}
        self._active: dict[int, Instance] = {}  # in the order in which the batch first names them

    def apply(self, fields: list[str]) -> None:
        """Apply one message to an instance: its start, its shutdown, or an event.

        Raises ``WireError`` if the message is malformed or names an instance that was never started.
        """
        message = fields[0]
        if message == _START:
            self._start(fields)
        elif message == _SHUTDOWN:
            self._shut_down(fields)
        else:
            self._add_event(message, fields)

    def end_batch(self, now: float) -> list[str]:
        """Pass the batch's events to their placers at ``now``, in seconds, and return the lines of all actions."""
        active = self._active
        self._active = {}
        return [line for instance in active.values() for line in instance.handle_events(now)]

    def _start(self, fields: list[str]) -> None:
        if len(fields) <= _START_FIELD_COUNT:
            raise WireError(f"{_START} needs an instance and a salt")
        number = parse_integer(fields[1], _INSTANCE)
        seed = parse_integer(fields[2], "salt")
        decoded = decode_settings(fields[3:])
        class_names = [task_class.name for task_class in decoded.settings.classes]
        decoder = EventDecoder(class_names, decoded.report_columns, self._endpoint_lists)
        instance = Instance(number, Placer(decoded.settings, seed), decoder)
        self._instances[number] = instance
        self._active[number] = instance

    def _shut_down(self, fields: list[str]) -> None:
        _check_field_count(fields, _SHUTDOWN_FIELD_COUNT)
        number = self._parse_number(fields[1])
        self._instances[number] = None
        self._active.pop(number, None)

    def _add_event(self, message: str, fields: list[str]) -> None:
        event_message = EVENT_MESSAGES.get(message)
        if event_message is None:
            raise WireError(f"message is not known: {message!r}")
        _check_field_count(fields, event_message.field_count)
        number = self._parse_number(fields[1])
        instance = self._instances[number]
        if instance is not None:
            instance.events.append(event_message.decode(instance.decoder, fields[2:]))
            self._active[number] = instance

    def _parse_number(self, text: str) -> int:
        """Return the number of an instance that was started, even if it was shut down since."""
        number = parse_integer(text, _INSTANCE)
        if number not in self._instances:
            raise WireError(f"instance was never started: {number}")
        return number


def _check_field_count(fields: list[str], expected: int) -> None:
    count = len(fields) - 1
    if count != expected:
        raise WireError(f"{fields[0]} has {count} values where {expected} are expected")
