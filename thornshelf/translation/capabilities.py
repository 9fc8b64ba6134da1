"""What is known of each node's generation: by the operator's file, by its hello, and by what it did.

Nodes are upgraded and downgraded in place, some say one thing and do another, and a hello may come from another
node than the list names at that address. Facts come in, beliefs go out; nothing is sent or read here.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

from thornshelf.errors import InvalidParameterError
from thornshelf.translation.failures import GENERATION, FailureReason, WireFormat

SILENT_CLOSES_BEFORE_FALLBACK = (
    2  # connections in a row that ended before any word, and the next form is tried
)
MAX_BROKEN_PROMISES = 2  # broken words, and a node's answers about names are not believed any more


class RequiredField(enum.IntEnum):
    """What a node wants to be told with each offer; numbered as in thornshelf.v2."""

    NONE = 0
    HINT = 1
    CLIENT_HINT = 2
    TENANT = 3
    KEY = 4
    SERVICE = 5


@dataclass(frozen=True, slots=True)
class NodeCapabilities:
    """A node's own word. ``name`` is empty and ``generation`` 0 where it gave none."""

    generation: int
    name: str = ""
    required_fields: frozenset[int] = frozenset()
    answers_queries: bool = False


class WireFormatNegotiation:
    """Which form to speak with a node, of those that the operator allows it.

    The newest comes first. A node that does not know it says so (gRPC's UNIMPLEMENTED), or ends connections without
    a word; then the next is tried, and after the last the first again: a node upgraded in place is found by that,
    as its restart ends the connection.
    """

    def __init__(self, allowed: Sequence[WireFormat]) -> None:
        if not allowed:
            raise InvalidParameterError("a node needs a form")
        self.allowed = tuple(sorted(set(allowed), key=lambda form: -GENERATION[form]))
        self.current = self.allowed[0]
        self._silent_closes = 0
        self._formats_tried = 0  # forms, since the node was last heard in one
        self._confirmed_format: WireFormat | None = None

    @property
    def has_untried_format(self) -> bool:
        """Some form has not been tried since the node was last heard: what waits for it is not given up yet."""
        return self._formats_tried < len(self.allowed)

    @property
    def is_fixed(self) -> bool:
        """There is no other, so that nothing has to be proved before an offer leaves."""
        return len(self.allowed) == 1

    def confirm(self) -> None:
        """A message in the present form came: the node speaks it."""
        self._silent_closes, self._formats_tried, self._confirmed_format = 0, 0, self.current

    def reject_current(self) -> None:
        """The node has said that it does not speak the present form."""
        self._try_next()

    def connection_closed(self, received_message: bool) -> None:
        """A connection is over; a node that was restarted may have come back as a newer one."""
        if received_message:
            self._silent_closes = 0
            self.current = self.allowed[0]
            return
        self._silent_closes += 1
        if self._silent_closes >= SILENT_CLOSES_BEFORE_FALLBACK or self._confirmed_format is not self.current:
            self._try_next()

    def _try_next(self) -> None:
        self._silent_closes = 0
        self._formats_tried += 1
        at = self.allowed.index(self.current)
        self.current = self.allowed[(at + 1) % len(self.allowed)]


@dataclass(slots=True)
class NodeProfile:
    """What is believed of one node."""

    name: str
    wire_format: WireFormat | None = None  # the one its last connection spoke; none until one has
    capabilities: NodeCapabilities | None = None
    required_fields: set[int] = field(default_factory=set)
    learned_requirements: set[int] = field(
        default_factory=set
    )  # what it refused for the lack of, whatever its hello says
    mismatched_name: str = ""  # the name that it calls itself, where that is not the one of the list
    broken_promises: int = 0

    def reset_for_connection(self, form: WireFormat) -> None:
        """A connection in some form is up. What an earlier process required is forgotten with it."""
        if form is not self.wire_format:
            self.learned_requirements.clear()
        self.wire_format, self.capabilities, self.mismatched_name = form, None, ""
        self.required_fields = set(self.learned_requirements)

    def update_capabilities(self, capabilities: NodeCapabilities) -> list[str]:
        """Its hello, or a later one that takes its place; returns what contradicts what was known."""
        odd = []
        known = {one.value for one in RequiredField}
        if capabilities.name and capabilities.name != self.name:
            self.mismatched_name = capabilities.name
            odd.append(f"the list calls it {self.name!r}, it calls itself {capabilities.name!r:.60}")
        else:
            self.mismatched_name = ""
        if (
            self.wire_format is WireFormat.GRPC_V2
            and capabilities.generation < GENERATION[WireFormat.GRPC_V2]
        ):
            odd.append(f"it says generation {capabilities.generation} in the form of generation 2")
        if unknown := sorted(capabilities.required_fields - known):
            odd.append(f"it requires what this program doesn't know: {unknown}")
        if len(capabilities.required_fields) > 16:
            odd.append("it requires more than there is")
        self.capabilities = capabilities
        self.required_fields = {
            one for one in capabilities.required_fields if one != RequiredField.NONE
        } | self.learned_requirements
        return odd

    def record_rejection(self, reason: FailureReason) -> bool:
        """A refusal for the task's lack of something; true where its hello had not said so."""
        need = {FailureReason.HINT_NEEDED: RequiredField.HINT}.get(reason)
        if need is None or need in self.required_fields or RequiredField.CLIENT_HINT in self.required_fields:
            return False
        self.learned_requirements.add(need)
        self.required_fields.add(need)
        return True

    def record_broken_promise(self) -> None:
        """It said 'never' of a task that then ran there."""
        self.broken_promises += 1

    @property
    def answers_queries(self) -> bool:
        """It can be asked about a task's name, and its answers are worth something."""
        hello = self.capabilities
        return (
            self.wire_format is WireFormat.GRPC_V2
            and hello is not None
            and hello.answers_queries
            and hello.generation >= GENERATION[WireFormat.GRPC_V2]
            and not self.mismatched_name
            and self.broken_promises < MAX_BROKEN_PROMISES
        )
