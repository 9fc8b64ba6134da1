"""The streaming call of gRPC clients: requests, answers and releases of many tasks on one HTTP/2 stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from google.protobuf.message import Message

from thornshelf.core import AnswerMetadata, CancelTask, ClientConnected, ClientDisconnected, Release
from thornshelf.frontends.grpc_calls import RESPONSE_HEADERS, TaskCall
from thornshelf.frontends.grpc_messages import GrpcCodecV1
from thornshelf.frontends.sent_releases import (
    MAX_UNACKNOWLEDGED_RELEASES,
    SentRelease,
    discard_oldest,
    not_fully_sent,
    pending_releases,
)
from thornshelf.translation.failures import FailureCause, WireFormat
from thornshelf.wire import grpc, http2
from thornshelf.wire.errors import WireError

if TYPE_CHECKING:
    from thornshelf.frontends.grpc_ports import GrpcConnectionInterface


class DispatchCall(TaskCall):
    """A stream on which a client requests tasks and receives their answers and releases."""

    def __init__(
        self, connection: GrpcConnectionInterface, stream_id: int, timeout_us: int | None, codec: GrpcCodecV1
    ) -> None:
        super().__init__(connection, stream_id, timeout_us, codec)
        self.open_requests: set[int] = set()
        self.running: set[int] = set()
        self.sent_releases: dict[int, SentRelease] = {}
        self.acknowledges_releases = False  # whether the client has acknowledged a release
        self.client_half_closed = False  # whether the client has ended its side of the stream
        self.closing_cleanly = False  # whether a status has been queued after all messages
        connection.frontend.core.inbox.append(ClientConnected(self))
        connection.http.respond(stream_id, RESPONSE_HEADERS)

    def awaits_answer(self, uid: int) -> bool:
        """Return whether the request is open: neither answered nor cancelled, on a call that is open."""
        return uid in self.open_requests and self.is_connected

    def on_message(self, data: bytes) -> None:
        """Handle a task request, a cancellation or an acknowledgement of a release."""
        message: Any = grpc.decode_message(self.codec.client_message_type, data)
        if message.HasField("ask"):
            self._handle_request(message.ask)
        elif message.HasField("give_up"):
            self._handle_cancellation(message.give_up)
        elif self.codec.wire_format is WireFormat.GRPC_V2 and message.HasField("heard"):
            self.acknowledges_releases = True
            self.sent_releases.pop(message.heard, None)

    def _handle_request(self, request: Any) -> None:
        """Submit a request; an invalid one is answered, and the stream continues."""
        try:
            admitted = self.submit(request)
        except WireError as error:
            self.connection.frontend.log_invalid_message(self.peer, error)
            self.send(self.codec.encode_invalid_request(request.uid, str(error)))
            return
        if admitted:
            uids = self.running if request.at else self.open_requests
            uids.add(request.uid)

    def _handle_cancellation(self, uid: int) -> None:
        """Cancel an open request, or end a running task."""
        self.open_requests.discard(uid)
        self.running.discard(uid)
        self.connection.frontend.core.inbox.append(CancelTask(uid))
        self._finish_if_idle()

    def on_half_close(self) -> None:
        """Keep the call open until all its tasks have ended."""
        self.client_half_closed = True
        self._finish_if_idle()

    def send_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None = None) -> None:
        """Report that the task runs."""
        self.open_requests.discard(uid)
        self.running.add(uid)
        self.send(self.codec.encode_running(uid, description, metadata))
        self._record_placement()

    def send_rejected(self, uid: int, retry_after_us: int | None, detail: FailureCause | None = None) -> None:
        """Report that the task did not run; ``retry_after_us``: how long to wait before a retry."""
        self._send_final(uid, self.codec.encode_rejected(uid, retry_after_us, detail))

    def send_failed(self, uid: int, detail: FailureCause | None = None) -> None:
        """Report that the task failed and may have run."""
        self._send_final(uid, self.codec.encode_failed(uid, detail))

    def send_release(self, release: Release) -> None:
        """Report that a running task has ended."""
        if not self.acknowledges_releases:
            self.sent_releases = not_fully_sent(self.sent_releases)
        elif len(self.sent_releases) >= MAX_UNACKNOWLEDGED_RELEASES:
            discard_oldest(self.sent_releases)
        message = self.codec.encode_release(release.uid, release.outcome, release.reason, release.detail)
        write = self._send_final(release.uid, message)
        self.sent_releases[release.uid] = SentRelease(write, release)
        if self.closed and not write.fully_sent and not self.closing_cleanly:
            # The message was one too many for a client that reads too slowly, which ended the call.
            self.connection.frontend.core.inbox.append(ClientDisconnected(self, [release]))

    def send_migrate(self, uid: int) -> None:
        """Report that a running task was stopped and should be requested again."""
        self._send_final(uid, self.codec.encode_migrate(uid))

    def task_cancelled(self, uid: int) -> None:
        """Forget a running task that the client ended, on this stream or on another."""
        self.running.discard(uid)
        self._finish_if_idle()

    def finish(self, code: int, text: str = "", pushback_ms: int | None = None) -> None:
        """End the call with a status, which is sent after the queued messages."""
        self.closing_cleanly = True
        super().finish(code, text, pushback_ms)

    def on_close(self) -> None:
        """Remove the call, and cancel its open requests.

        Running tasks continue, and their releases are sent on another stream of the client.
        """
        if self.closed:
            return
        super().on_close()
        # After a clean end the buffered releases are still sent. Reporting them as pending would send them twice.
        still_delivered = self.closing_cleanly and self.connection.stream.open
        releases = {} if still_delivered else self.sent_releases
        pending = pending_releases(releases, self.acknowledges_releases)
        self.connection.frontend.core.inbox.append(ClientDisconnected(self, pending))

    def _send_final(self, uid: int, message: Message) -> http2.OutgoingMessage:
        """Send the last message about a request or a task."""
        self.open_requests.discard(uid)
        self.running.discard(uid)
        write = self.send(message)
        self._finish_if_idle()
        return write

    def _finish_if_idle(self) -> None:
        """End the call once the client has half-closed it and all its tasks have ended."""
        if self.client_half_closed and not self.open_requests and not self.running:
            self.finish(grpc.OK)
