"""The wire format and the capabilities of each node, from the configuration, its hello and its behaviour.

Nodes are upgraded and downgraded in place, some behave differently from what they declare, and a hello may come from
another node than the one listed at that address. No I/O here.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

from thornshelf.errors import InvalidParameterError
from thornshelf.translation.failures import GENERATION, FailureReason, WireFormat

# After so many consecutive connections that close before the node sends a message, the next wire format is tried;
# after the first one if the current format is not the one that the node confirmed last.
CLOSES_BEFORE_FALLBACK = 2
# After so many denials that proved wrong, a node's answers to status queries are no longer trusted.
MAX_BROKEN_PROMISES = 2
MAX_REQUIRED_FIELDS = 16  # of a hello; a longer list is reported as inconsistent


class RequiredField(enum.IntEnum):
    """A field that a node requires in each attempt. The numbers are those of ``Requirement`` in ``thornshelf.v2``."""

    NONE = 0
    HINT = 1
    CLIENT_HINT = 2
    TENANT = 3
    KEY = 4
    SERVICE = 5


@dataclass(frozen=True, slots=True)
class NodeCapabilities:
    """What a node declares in its hello; ``name`` is empty and ``generation`` 0 if it did not declare one."""

    generation: int
    name: str = ""
    required_fields: frozenset[int] = frozenset()
    answers_queries: bool = False


class WireFormatNegotiation:
    """Finds the wire format that a node understands, among those that the operator allows.

    The newest is tried first. If the node rejects it (UNIMPLEMENTED in gRPC) or closes connections without sending
    a message, the next older one is tried, and after the oldest the newest again. An upgrade in place closes the
    connection, after which the newest format is tried again.
    """

    def __init__(self, allowed: Sequence[WireFormat]) -> None:
        if not allowed:
            raise InvalidParameterError("a node needs at least one wire format")
        self.allowed = tuple(sorted(set(allowed), key=lambda candidate: -GENERATION[candidate]))
        self.current = self.allowed[0]
        self._closes_without_message = 0
        self._formats_tried = 0  # without success, since the node's last message
        self._confirmed_format: WireFormat | None = None

    @property
    def has_untried_format(self) -> bool:
        """Whether a format is left to try since the node's last message, so that attempts may wait for its result."""
        return self._formats_tried < len(self.allowed)

    @property
    def is_fixed(self) -> bool:
        """Whether only one format is allowed, so that attempts may be sent before it is confirmed."""
        return len(self.allowed) == 1

    def confirm(self) -> None:
        """Record that the node sent a message in the current format."""
        self._closes_without_message = 0
        self._formats_tried = 0
        self._confirmed_format = self.current

    def reject_current(self) -> None:
        """Record that the node does not support the current format, and try the next one."""
        self._try_next()

    def connection_closed(self, received_message: bool) -> None:
        """Record that a connection was closed; ``received_message``: whether the node had sent a message on it."""
        if received_message:
            # The node may have been upgraded by a restart.
            self._closes_without_message = 0
            self.current = self.allowed[0]
            return
        self._closes_without_message += 1
        if (
            self._closes_without_message >= CLOSES_BEFORE_FALLBACK
            or self._confirmed_format is not self.current
        ):
            self._try_next()

    def _try_next(self) -> None:
        self._closes_without_message = 0
        self._formats_tried += 1
        index = self.allowed.index(self.current)
        self.current = self.allowed[(index + 1) % len(self.allowed)]


@dataclass(slots=True)
class NodeProfile:
    """What is known of one node.

    ``required_fields`` holds the numbers of all fields that it requires; ``learned_requirements`` those among them
    that its hello did not declare, but its rejections revealed.
    """

    name: str  # in the endpoint list
    wire_format: WireFormat | None = None  # of its last connection; None before the first
    capabilities: NodeCapabilities | None = None  # from its last hello on this connection
    required_fields: set[int] = field(default_factory=set)
    learned_requirements: set[int] = field(default_factory=set)
    mismatched_name: str = ""  # the name in its hello, if it differs from the listed one
    broken_promises: int = 0  # denials of tasks that then ran there

    def reset_for_connection(self, wire_format: WireFormat) -> None:
        """Discard what was declared on an earlier connection, because a new one in this format was opened."""
        if wire_format is not self.wire_format:
            self.learned_requirements.clear()
        self.wire_format = wire_format
        self.capabilities = None
        self.mismatched_name = ""
        self.required_fields = set(self.learned_requirements)

    def update_capabilities(self, capabilities: NodeCapabilities) -> list[str]:
        """Store the capabilities of a hello; returns a description of each inconsistency with what is known."""
        inconsistencies = self._inconsistencies(capabilities)
        is_mismatched = bool(capabilities.name) and capabilities.name != self.name
        self.mismatched_name = capabilities.name if is_mismatched else ""
        self.capabilities = capabilities
        declared = {number for number in capabilities.required_fields if number != RequiredField.NONE}
        self.required_fields = declared | self.learned_requirements
        return inconsistencies

    def _inconsistencies(self, capabilities: NodeCapabilities) -> list[str]:
        inconsistencies = []
        known = {required.value for required in RequiredField}
        if capabilities.name and capabilities.name != self.name:
            inconsistencies.append(
                f"the endpoint list names it {self.name!r}, its hello names it {capabilities.name!r:.60}"
            )
        uses_v2 = self.wire_format is WireFormat.GRPC_V2
        if uses_v2 and capabilities.generation < GENERATION[WireFormat.GRPC_V2]:
            inconsistencies.append(
                f"it declares generation {capabilities.generation}, but its wire format is of generation 2"
            )
        if unknown := sorted(capabilities.required_fields - known):
            inconsistencies.append(f"it requires fields that this version does not know: {unknown}")
        if len(capabilities.required_fields) > MAX_REQUIRED_FIELDS:
            inconsistencies.append("it requires more fields than exist")
        return inconsistencies

    def record_rejection(self, reason: FailureReason) -> bool:
        """Record a rejection; returns whether it shows a required field that the node had not declared."""
        if reason is not FailureReason.HINT_NEEDED:
            return False
        if not self.required_fields.isdisjoint((RequiredField.HINT, RequiredField.CLIENT_HINT)):
            return False
        self.learned_requirements.add(RequiredField.HINT)
        self.required_fields.add(RequiredField.HINT)
        return True

    def record_broken_promise(self) -> None:
        """Count a denial that proved wrong: the task ran there although the node had said that it never did."""
        self.broken_promises += 1

    @property
    def answers_queries(self) -> bool:
        """Whether the node answers status queries about idempotency keys, and its answers are trusted."""
        capabilities = self.capabilities
        return (
            self.wire_format is WireFormat.GRPC_V2
            and capabilities is not None
            and capabilities.answers_queries
            and capabilities.generation >= GENERATION[WireFormat.GRPC_V2]
            and not self.mismatched_name
            and self.broken_promises < MAX_BROKEN_PROMISES
        )
