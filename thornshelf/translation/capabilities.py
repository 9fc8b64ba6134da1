"""What is known of each node's wire format and capabilities: by configuration, by its hello and by observation.

Nodes are upgraded and downgraded in place, some don't behave as they declare, and a hello may come from another node
than the one listed at that address. No I/O here.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

from thornshelf.errors import InvalidParameterError
from thornshelf.translation.failures import GENERATION, FailureReason, WireFormat

# Connections in a row that close before any message came, until the next wire format is tried.
CLOSES_BEFORE_FALLBACK = 2
# Denials that proved wrong, from which on a node's answers to status queries are not trusted any more.
MAX_BROKEN_PROMISES = 2
MAX_REQUIRED_FIELDS = 16  # in a hello; more are reported as inconsistent


class RequiredField(enum.IntEnum):
    """A field that a node requires in each attempt; numbered as ``Requirement`` in ``thornshelf.v2``."""

    NONE = 0
    HINT = 1
    CLIENT_HINT = 2
    TENANT = 3
    KEY = 4
    SERVICE = 5


@dataclass(frozen=True, slots=True)
class NodeCapabilities:
    """What a node declares in its hello. ``name`` is empty and ``generation`` 0 where it declared none."""

    generation: int
    name: str = ""
    required_fields: frozenset[int] = frozenset()
    answers_queries: bool = False


class WireFormatNegotiation:
    """Finds the wire format that a node understands, among those that the operator allows.

    The newest is tried first. A node that does not know it says so (UNIMPLEMENTED in gRPC) or closes connections
    without a message; then the next one is tried, and after the last the first again. So a node that was upgraded
    in place is detected, as its restart closes the connection.
    """

    def __init__(self, allowed: Sequence[WireFormat]) -> None:
        if not allowed:
            raise InvalidParameterError("a node needs at least one wire format")
        self.allowed = tuple(sorted(set(allowed), key=lambda candidate: -GENERATION[candidate]))
        self.current = self.allowed[0]
        self._closes_without_message = 0
        self._formats_tried = 0  # since the last message from the node
        self._confirmed_format: WireFormat | None = None

    @property
    def has_untried_format(self) -> bool:
        """Whether some format was not tried since the node's last message, so that attempts may wait for it."""
        return self._formats_tried < len(self.allowed)

    @property
    def is_fixed(self) -> bool:
        """Whether only one format is allowed, so that attempts may be sent before it is confirmed."""
        return len(self.allowed) == 1

    def confirm(self) -> None:
        """A message in the current format was received."""
        self._closes_without_message = 0
        self._formats_tried = 0
        self._confirmed_format = self.current

    def reject_current(self) -> None:
        """The node replied that it does not know the current format."""
        self._try_next()

    def connection_closed(self, received_message: bool) -> None:
        """A connection was closed; ``received_message``: after a message of the node."""
        if received_message:
            # The node may have been restarted as a newer version.
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
    """What is known of one node."""

    name: str  # in the endpoint list
    wire_format: WireFormat | None = None  # of its last connection; None before the first
    capabilities: NodeCapabilities | None = None
    required_fields: set[int] = field(default_factory=set)
    learned_requirements: set[int] = field(
        default_factory=set
    )  # by its rejections, not declared in its hello
    mismatched_name: str = ""  # the name in its hello, if it differs from the listed one
    broken_promises: int = 0

    def reset_for_connection(self, wire_format: WireFormat) -> None:
        """A connection was opened; discards what an earlier process of the node declared."""
        if wire_format is not self.wire_format:
            self.learned_requirements.clear()
        self.wire_format = wire_format
        self.capabilities = None
        self.mismatched_name = ""
        self.required_fields = set(self.learned_requirements)

    def update_capabilities(self, capabilities: NodeCapabilities) -> list[str]:
        """Takes over a hello; returns descriptions of all that is inconsistent with what is known."""
        inconsistencies = self._inconsistencies(capabilities)
        is_mismatched = bool(capabilities.name) and capabilities.name != self.name
        self.mismatched_name = capabilities.name if is_mismatched else ""
        self.capabilities = capabilities
        declared = {number for number in capabilities.required_fields if number != RequiredField.NONE}
        self.required_fields = declared | self.learned_requirements
        return inconsistencies

    def _inconsistencies(self, capabilities: NodeCapabilities) -> list[str]:
        found = []
        known = {one.value for one in RequiredField}
        if capabilities.name and capabilities.name != self.name:
            found.append(f"the list calls it {self.name!r}, it calls itself {capabilities.name!r:.60}")
        uses_v2 = self.wire_format is WireFormat.GRPC_V2
        if uses_v2 and capabilities.generation < GENERATION[WireFormat.GRPC_V2]:
            found.append(f"it declares generation {capabilities.generation} in the format of generation 2")
        if unknown := sorted(capabilities.required_fields - known):
            found.append(f"it requires fields that this version does not know: {unknown}")
        if len(capabilities.required_fields) > MAX_REQUIRED_FIELDS:
            found.append("it requires more fields than there are")
        return found

    def record_rejection(self, reason: FailureReason) -> bool:
        """The node rejected a task; true if for a missing field that it had not declared as required."""
        if reason is not FailureReason.HINT_NEEDED:
            return False
        if not self.required_fields.isdisjoint((RequiredField.HINT, RequiredField.CLIENT_HINT)):
            return False
        self.learned_requirements.add(RequiredField.HINT)
        self.required_fields.add(RequiredField.HINT)
        return True

    def record_broken_promise(self) -> None:
        """The node denied having run a task that then ran there."""
        self.broken_promises += 1

    @property
    def answers_queries(self) -> bool:
        """Whether it answers status queries about idempotency keys, and its answers are trusted."""
        capabilities = self.capabilities
        return (
            self.wire_format is WireFormat.GRPC_V2
            and capabilities is not None
            and capabilities.answers_queries
            and capabilities.generation >= GENERATION[WireFormat.GRPC_V2]
            and not self.mismatched_name
            and self.broken_promises < MAX_BROKEN_PROMISES
        )
