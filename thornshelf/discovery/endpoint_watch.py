"""Watches the list of nodes in the change log, by long polls over HTTP/1.1.

The watch reconnects whenever its connection fails. Its coroutine is urgent, so that a drain is read in the turn after
it arrived, however many other coroutines are ready.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Generator

import h11

from thornshelf.core import EndpointListUpdate
from thornshelf.discovery.endpoint_events import decode_events, merge_updates
from thornshelf.loop import Loop, Stream, Wait
from thornshelf.loop.stream import connect
from thornshelf.wire.errors import DisconnectReason, WireError
from thornshelf.wire.rfc5424 import NOTICE, WARNING

# The first poll must not wait for new events: nothing is sent until the changes since the configuration are known.
INITIAL_POLL_TIMEOUT_MS = 1
POLL_TIMEOUT_MS = 2_000  # less than the permitted 5,000, so that an unresponsive source is detected sooner
RESPONSE_GRACE_US = 1_000_000  # a response that is later than the poll timeout by more than this is given up
CONNECT_TIMEOUT_US = 500_000
MIN_BACKOFF_US = 100_000
MAX_BACKOFF_US = 1_000_000
MAX_BODY_BYTES = 8 * 1024 * 1024  # enough for a list of some 40,000 nodes
HTTP_OK = 200


class EndpointWatch:
    """Follows the change log and reports each update of the list of nodes to ``on_update``.

    ``last_sequence``: the sequence number of the last known event. ``last_response_us``: when the last valid response
    arrived, on the loop's clock. ``is_responding``: whether the present connection has had a valid response.
    ``has_synced``: whether there was any since the start, so that the configuration is not the only source.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        last_sequence: int,
        monotonic_us: Callable[[int], int],
        on_update: Callable[[EndpointListUpdate], None],
        log: Callable[[int, str, dict[str, object], str], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.last_sequence = last_sequence
        self.last_response_us = loop.now
        self.is_responding = False
        self.has_synced = False
        self._monotonic_us = monotonic_us
        self._on_update = on_update
        self._log = log
        # During a relist: the sequence number from which to resume if the relist fails.
        self._resume_after: int | None = None
        self._task = loop.spawn(self._run(), urgent=True)

    def reconnect_to(self, address: tuple[str, int]) -> None:
        """Continue at another address at once, after the last known event.

        Does not wait for the old connection, which may stay unresponsive until its poll times out.
        """
        self.loop.cancel(self._task)
        self.address = address
        self.is_responding = False
        self._task = self.loop.spawn(self._run(), urgent=True)

    def relist(self) -> None:
        """Read all events from the first again at once, and report them as one merged update.

        Reported one by one, the first event, a complete list, would remove the nodes that were added after it.
        """
        if self._resume_after is None:
            self._resume_after = self.last_sequence
        self.last_sequence = 0
        self.reconnect_to(self.address)

    def _log_invalid(self, error: WireError) -> None:
        fields: dict[str, object] = {"since": self.last_sequence, "code": error.code}
        self._log(WARNING, "endpoint-invalid", fields, str(error))

    def _run(self) -> Generator[Wait, int, None]:
        """Poll until cancelled; a failed or unresponsive connection is replaced after a backoff."""
        backoff_us = MIN_BACKOFF_US
        while True:
            reason = yield from self._follow_connection()
            was_responding = self.is_responding
            self.is_responding = False
            if self._resume_after is not None:
                # Don't retry a failed relist forever: all events together may exceed MAX_BODY_BYTES.
                self.last_sequence = self._resume_after
                self._resume_after = None
            if was_responding:
                backoff_us = MIN_BACKOFF_US
            fields: dict[str, object] = {"since": self.last_sequence, **reason.log_fields}
            self._log(NOTICE, "endpoint-watch-closed", fields, reason.text)
            yield Wait(until=self.loop.now + backoff_us)
            backoff_us = min(2 * backoff_us, MAX_BACKOFF_US)

    def _follow_connection(self) -> Generator[Wait, int, DisconnectReason]:
        """Connect and poll until the connection ends; returns the reason."""
        stream = yield from connect(self.loop, *self.address, self.loop.now + CONNECT_TIMEOUT_US)
        if isinstance(stream, int):
            return DisconnectReason.unusable(f"connect failed: {os.strerror(stream)}")
        try:
            return (yield from self._poll(stream))
        except Exception as error:  # the watch must survive any error, also one raised by on_update
            return DisconnectReason.unusable(f"unexpected {type(error).__name__}: {error}")
        finally:
            stream.close()

    def _poll(self, stream: Stream) -> Generator[Wait, int, DisconnectReason]:
        http = h11.Connection(h11.CLIENT)
        while True:
            stream.send(self._request(http))
            body = yield from self._read_body(http, stream)
            if isinstance(body, DisconnectReason):
                return body
            try:
                self.last_sequence, updates = decode_events(
                    json.loads(body), self.last_sequence, self._monotonic_us, self._log_invalid
                )
            except (ValueError, RecursionError, WireError) as error:
                return DisconnectReason.invalid_input(error)
            self.has_synced = True
            self.is_responding = True
            self.last_response_us = self.loop.now
            if self._resume_after is not None:
                updates = [merge_updates(updates)]
                self._resume_after = None
            for update in updates:
                self._on_update(update)
            if http.our_state is h11.MUST_CLOSE or http.their_state is not h11.DONE:
                return DisconnectReason.unusable("closed")
            http.start_next_cycle()

    def _request(self, http: h11.Connection) -> bytes:
        timeout_ms = POLL_TIMEOUT_MS if self.has_synced else INITIAL_POLL_TIMEOUT_MS
        target = f"/changes?since={self.last_sequence}&timeout={timeout_ms}"
        host = f"{self.address[0]}:{self.address[1]}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        return (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b"")

    def _read_body(
        self, http: h11.Connection, stream: Stream
    ) -> Generator[Wait, int, bytes | DisconnectReason]:
        """Read the body of the next response; returns a reason instead if there is no usable one."""
        until_us = self.loop.now + POLL_TIMEOUT_MS * 1000 + RESPONSE_GRACE_US
        body = b""
        status = 0
        while True:
            try:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    data = yield from stream.read(until_us)
                    if data is None:
                        return DisconnectReason.unusable("silent")
                    http.receive_data(data)
            except h11.RemoteProtocolError as error:
                return DisconnectReason.unusable(f"invalid HTTP: {error}")
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
                if len(body) > MAX_BODY_BYTES:
                    return DisconnectReason.unusable("response body is too long")
            elif isinstance(event, h11.EndOfMessage):
                return body if status == HTTP_OK else DisconnectReason.unusable(f"status {status}")
            elif isinstance(event, h11.ConnectionClosed):
                return DisconnectReason.unusable("closed")
