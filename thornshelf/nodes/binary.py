"""Nodes that speak the platform's binary messages."""

from __future__ import annotations

from thornshelf.core import Attempt, TaskProgress, TaskStarted
from thornshelf.loop import Chunk, Stream
from thornshelf.nodes.node_connection import BaseNodeConnection, NodeLink, decode_load_report
from thornshelf.placement.interface import Outcome, Reason, TaskUpdateKind
from thornshelf.wire import binary
from thornshelf.wire.errors import WireError

GIVEN_UP = ENDED = 16
PROBE, LINK_TEST = 0, 1  # the ids of tests, which name no task
OUTCOMES_BEFORE_START = {
    34: Outcome.REFUSED,
    47: Outcome.ERROR,
    102: Outcome.NOT_SENT,
}  # any other cause: it broke
OUTCOMES_AFTER_START = {16: Outcome.OK, 31: Outcome.CANCELLED}
REASONS_BY_NAME = {
    "lack_cpu": Reason.NO_CORES,
    "lack_ram": Reason.NO_MEMORY,
    "backlog": Reason.QUEUE_FULL,
    "unfit": Reason.NOT_SERVING,
    "killed": Reason.EVICTED,
    "displaced": Reason.PREEMPTED,
    "dismissed": Reason.DRAINED,
}
FACTS_BY_NAME = {
    "running": TaskUpdateKind.STARTED,
    "use_cpu": TaskUpdateKind.CORES_USED,
    "use_ram": TaskUpdateKind.MEMORY_USED,
    "health": TaskUpdateKind.SERVED_FRACTION,
    "ram_high": TaskUpdateKind.MACHINE_MEMORY,
}


class BinaryLink(NodeLink):
    """One connection to a node."""

    def __init__(self, node: BaseNodeConnection, stream: Stream) -> None:
        super().__init__(node, stream)
        self._reader = binary.MessageReader()
        self._chunks: dict[int, Chunk] = {}

    def send_attempt(self, attempt: Attempt) -> None:
        """The set-up, with the wait that is left of its attempt."""
        wait_ms = max(1, (attempt.deadline_us - self.node.loop.now) // 1000)
        values = {
            binary.CLASS: attempt.task_class.encode(),
            binary.WAIT: str(wait_ms).encode(),
            binary.KEY: f"{attempt.idempotency_key:016x}".encode(),
            binary.DESCRIPTION: attempt.description,
        }
        try:
            self._chunks[attempt.uid] = self.stream.send(binary.encode(binary.SET_UP, attempt.uid, values))
        except WireError:
            self.node.attempt_finished(attempt.uid, Outcome.NOT_SENT)

    def withdraw_attempt(self, uid: int) -> bool:
        """Call the set-up back, or tell the node that it is given up."""
        chunk = self._chunks.pop(uid, None)
        if chunk is not None and self.stream.retract(chunk):
            return True
        self._release(uid)
        return False

    def may_have_arrived(self, uid: int) -> bool:
        """Whether all of it was handed to the system."""
        chunk = self._chunks.get(uid)
        return chunk is not None and chunk.fully_sent

    def cancel_task(self, uid: int) -> Chunk:
        """A release ends a task that stands."""
        return self._release(uid)

    def check_health(self) -> None:
        """A test with cause 1 asks for a report."""
        self.stream.send(binary.encode(binary.TEST, PROBE, {binary.CAUSE: b"\x01"}))

    def ping(self) -> None:
        """A test with cause 0 is answered by a node that still listens to this connection."""
        self.stream.send(binary.encode(binary.TEST, LINK_TEST, {binary.CAUSE: b"\x00"}))

    @property
    def mid_message(self) -> bool:
        """A message has begun and not ended."""
        return self._reader.mid_message

    def receive(self, data: bytes) -> str | None:
        """Bytes of the connection."""
        self._reader.feed(data)
        while (message := self._reader.next()) is not None:
            self.messages_received += 1
            self._take(message)
        return None

    def _release(self, uid: int) -> Chunk:
        return self.stream.send(binary.encode(binary.RELEASE, uid, {binary.CAUSE: bytes((GIVEN_UP,))}))

    def _started(self, uid: int, description: bytes) -> None:
        self._chunks.pop(uid, None)
        self.node.task_started(uid)
        self.node.core.inbox.append(TaskStarted(self.node.machine, uid, description))

    def _take(self, message: binary.Message) -> None:
        node, uid, values = self.node, message.uid, message.values
        match message.type:
            case binary.ANSWER:
                self._started(uid, _description(message))
            case binary.RELEASE:
                if message.cause is None:
                    raise WireError("release without a cause", fatal=True)
                if uid in self._chunks and message.cause == ENDED and binary.DESCRIPTION in values:
                    # Guards against trying elsewhere what has run: a task whose time is over as it starts is
                    # answered and released by this one message, which alone carries a description.
                    self._started(uid, _description(message))
                before = self._chunks.pop(uid, None) is not None
                outcome = (OUTCOMES_BEFORE_START if before else OUTCOMES_AFTER_START).get(
                    message.cause, Outcome.BROKEN
                )
                reason = REASONS_BY_NAME.get(message.text(binary.NOTE_NAME) or "", Reason.UNSPECIFIED)
                report = decode_load_report(binary.parse_load_report(message.text(binary.REPORT)))
                node.attempt_finished(uid, outcome, reason, report)
            case binary.NOTE:
                fact = FACTS_BY_NAME.get(message.text(binary.NOTE_NAME) or "")
                level = binary.parse_number(message.text(binary.FIGURE))
                if fact is TaskUpdateKind.STARTED and level is None:
                    level = 1.0
                if fact is not None and level is not None:
                    node.core.inbox.append(TaskProgress(node.machine, uid, fact, level))
            case binary.TESTED if uid == LINK_TEST:
                pass  # that it came is all
            case binary.TESTED:
                passed = message.cause == 1
                report = decode_load_report(binary.parse_load_report(message.text(binary.REPORT)))
                node.health_check_completed(Outcome.OK if passed else Outcome.ERROR, report)
            case binary.TEST:
                self.stream.send(binary.encode(binary.TESTED, uid, {binary.CAUSE: b"\x01"}))
            case binary.PROGRESS | binary.RELEASE_ACK:
                pass  # these mean nothing
            case _:
                # Guards against reading on where a length did not fit: what follows is no message either.
                raise WireError(f"type {message.type} is not known", fatal=True)


def _description(message: binary.Message) -> bytes:
    """What the node made for the task: text, as the platform's clients get it. Else the answer is spoilt."""
    value = message.values.get(binary.DESCRIPTION, b"")
    try:
        value.decode("utf-8", "surrogatepass")
    except UnicodeDecodeError:
        raise WireError(f"description is no text: {value[:40]!r}", fatal=True) from None
    if not value:
        raise WireError("answer without a description", fatal=True)
    return value


class BinaryNodeConnection(BaseNodeConnection):
    """A node on the platform."""

    def make_link(self, stream: Stream) -> NodeLink:
        """Its connection."""
        return BinaryLink(self, stream)
