"""Connections to nodes that speak the platform's binary messages."""

from __future__ import annotations

from thornshelf.core import Attempt, TaskProgress, TaskStarted
from thornshelf.loop import Chunk, Stream
from thornshelf.nodes.load_report import decode_load_report
from thornshelf.nodes.node_connection import BaseNodeConnection
from thornshelf.nodes.node_link import NodeLink
from thornshelf.placement import Outcome, Reason, TaskUpdateKind
from thornshelf.wire import binary
from thornshelf.wire.errors import WireError

# Cause of a release. From the dispatcher it cancels a task; from the node it reports that the task's time is over.
CANCELLED = ENDED = 16

# A test carries one of these instead of a task id.
HEALTH_CHECK_ID = 0
PING_ID = 1

# Any other cause of a release means that the attempt or task is broken.
OUTCOMES_BEFORE_START = {34: Outcome.REFUSED, 47: Outcome.ERROR, 102: Outcome.NOT_SENT}
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
UPDATE_KINDS_BY_NAME = {
    "running": TaskUpdateKind.STARTED,
    "use_cpu": TaskUpdateKind.CORES_USED,
    "use_ram": TaskUpdateKind.MEMORY_USED,
    "health": TaskUpdateKind.SERVED_FRACTION,
    "ram_high": TaskUpdateKind.MACHINE_MEMORY,
}


class BinaryLink(NodeLink):
    """One connection to a node that speaks binary messages."""

    node: BaseNodeConnection

    def __init__(self, node: BaseNodeConnection, stream: Stream) -> None:
        super().__init__(node, stream)
        self._reader = binary.MessageReader()
        self._unanswered: dict[
            int, Chunk
        ] = {}  # the sent messages of attempts without an answer, by attempt id

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt with the time that is left for it; one that is too long to be encoded ends as not sent."""
        wait_ms = max(1, (attempt.deadline_us - self.node.loop.now) // 1000)
        values = {
            binary.CLASS: attempt.task_class.encode(),
            binary.WAIT: str(wait_ms).encode(),
            binary.KEY: f"{attempt.idempotency_key:016x}".encode(),
            binary.DESCRIPTION: attempt.description,
        }
        if attempt.request is not None and attempt.request.deduplication_key is not None:
            values[binary.DEDUPLICATION_KEY] = attempt.request.deduplication_key.encode()
        try:
            data = binary.encode(binary.SET_UP, attempt.uid, values)
        except WireError:
            self.node.attempt_finished(attempt.uid, Outcome.NOT_SENT)
            return
        self._unanswered[attempt.uid] = self.stream.send(data)

    def retract_attempt(self, uid: int) -> bool:
        """Remove an attempt from the buffer if no byte of it was sent."""
        chunk = self._unanswered.get(uid)
        if chunk is None or not self.stream.retract(chunk):
            return False
        del self._unanswered[uid]
        return True

    def cancel_attempt(self, uid: int) -> Chunk:
        """Send a release, and expect no answer to the attempt."""
        self._unanswered.pop(uid, None)
        return self.cancel_task(uid)

    def may_have_arrived(self, uid: int) -> bool:
        """Return whether an attempt was completely written to the operating system."""
        chunk = self._unanswered.get(uid)
        return chunk is not None and chunk.fully_sent

    def cancel_task(self, uid: int) -> Chunk:
        """Send a release, which cancels an attempt or ends a running task."""
        return self.stream.send(binary.encode(binary.RELEASE, uid, {binary.CAUSE: bytes((CANCELLED,))}))

    def check_health(self) -> None:
        """Send a test with cause 1, which asks for a load report."""
        self.stream.send(binary.encode(binary.TEST, HEALTH_CHECK_ID, {binary.CAUSE: b"\x01"}))

    def ping(self) -> None:
        """Send a test with cause 0, which a node answers if it still reads from this connection."""
        self.stream.send(binary.encode(binary.TEST, PING_ID, {binary.CAUSE: b"\x00"}))

    def touch(self) -> None:
        """Send the confirmation of a release that no task has; nodes need no confirmations and ignore them."""
        self.stream.send(binary.encode(binary.RELEASE_ACK, PING_ID))

    @property
    def mid_message(self) -> bool:
        """Whether a message was received in part."""
        return self._reader.mid_message

    def receive(self, data: bytes) -> str | None:
        """Process received bytes; returns None, as binary messages close a connection only by a ``WireError``."""
        self._reader.feed(data)
        while (message := self._reader.next()) is not None:
            self.messages_received += 1
            self._process_message(message)
        return None

    def _process_message(self, message: binary.Message) -> None:
        match message.type:
            case binary.ANSWER:
                self._task_started(message)
            case binary.RELEASE:
                self._task_ended(message)
            case binary.NOTE:
                self._task_progressed(message)
            case binary.TESTED if message.uid == PING_ID:
                pass  # its arrival alone proves that the node is alive
            case binary.TESTED:
                outcome = Outcome.OK if message.cause == 1 else Outcome.ERROR
                report = decode_load_report(binary.parse_load_report(message.text(binary.REPORT)))
                self.node.health_check_completed(outcome, report)
            case binary.TEST:
                self.stream.send(binary.encode(binary.TESTED, message.uid, {binary.CAUSE: b"\x01"}))
            case binary.PROGRESS | binary.RELEASE_ACK:
                pass  # nothing in these is used
            case _:
                # A wrong length may have led here, and then what follows is not a message either: don't read on.
                raise WireError(f"unknown message type {message.type}", fatal=True)

    def _task_started(self, message: binary.Message) -> None:
        description = _read_description(message)
        self._unanswered.pop(message.uid, None)
        self.node.task_started(message.uid)
        self.node.core.inbox.append(TaskStarted(self.node.machine, message.uid, description))

    def _task_ended(self, message: binary.Message) -> None:
        uid = message.uid
        if message.cause is None:
            raise WireError("release without a cause", fatal=True)
        if uid in self._unanswered and message.cause == ENDED and binary.DESCRIPTION in message.values:
            # Guards against a retry of a task that has run: if its time is over when it starts, this one message is
            # both its answer and its release. Only such a release has a description.
            self._task_started(message)
        before_start = self._unanswered.pop(uid, None) is not None
        outcomes = OUTCOMES_BEFORE_START if before_start else OUTCOMES_AFTER_START
        outcome = outcomes.get(message.cause, Outcome.BROKEN)
        reason = REASONS_BY_NAME.get(message.text(binary.NOTE_NAME) or "", Reason.UNSPECIFIED)
        report = decode_load_report(binary.parse_load_report(message.text(binary.REPORT)))
        self.node.end_reported(uid, outcome, reason, report)

    def _task_progressed(self, message: binary.Message) -> None:
        kind = UPDATE_KINDS_BY_NAME.get(message.text(binary.NOTE_NAME) or "")
        level = binary.parse_number(message.text(binary.FIGURE))
        if kind is TaskUpdateKind.STARTED and level is None:
            level = 1.0
        if kind is not None and level is not None:
            self.node.core.inbox.append(TaskProgress(self.node.machine, message.uid, kind, level))


def _read_description(message: binary.Message) -> bytes:
    """Return the description in a node's answer, which clients receive unchanged.

    Raises ``WireError`` if it is empty or is not text, as the answer is then corrupt.
    """
    value = message.values.get(binary.DESCRIPTION, b"")
    try:
        value.decode("utf-8", "surrogatepass")
    except UnicodeDecodeError:
        raise WireError(f"description is not text: {value[:40]!r}", fatal=True) from None
    if not value:
        raise WireError("answer without a description", fatal=True)
    return value


class BinaryNodeConnection(BaseNodeConnection):
    """A node that speaks only binary messages."""

    def make_link(self, stream: Stream) -> NodeLink:
        """Create a link for binary messages."""
        return BinaryLink(self, stream)
