"""Detects a node connection that is still open but no longer usable.

The limits are numbers of checks, not times: if this process is delayed, only one check falls into the delay, and the
data that arrived meanwhile is read before the next one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from thornshelf.nodes.ports import MonitoredLink

CHECK_INTERVAL_US = 100_000
MAX_PARTIAL_CHECKS = 3  # the connection is closed if a message is still incomplete after this many checks
CHECKS_BEFORE_PING = 4  # the peer is pinged after this many checks in a row without received data
MAX_UNANSWERED_CHECKS = 12  # the connection is closed after this many checks in a row without received data


class LivenessMonitor:
    """Checks one connection while a reply or the rest of a message is expected on it.

    Guards against a corrupt connection that stays open, on which updates of running tasks would be lost: a wrong
    length makes the messages that follow part of another one, or an answer is cut off or never sent.
    """

    def __init__(self, link: MonitoredLink) -> None:
        self._link = link
        self._check_scheduled = False
        self._ping_sent = False
        self._checks_without_data = 0  # since data was last received
        self._partial_checks = 0  # since the present message began

    def watch(self) -> None:
        """Start checking the connection; call this for each request that awaits a reply."""
        if not self._check_scheduled:
            self._check_scheduled = True
            self._link.node.loop.call_later(CHECK_INTERVAL_US, self._check)

    def bytes_received(self) -> None:
        """Record that the peer has sent data, which proves that it is alive."""
        self._checks_without_data = 0
        self._ping_sent = False

    def message_begun(self) -> None:
        """Record that a new message has begun, whose end is expected."""
        self._partial_checks = 0

    def _check(self) -> None:
        self._check_scheduled = False
        link = self._link
        if not link.stream.open or not (link.mid_message or self._ping_sent or link.node.in_flight):
            self._checks_without_data = 0
            return
        self._checks_without_data += 1
        self._partial_checks += 1
        if link.mid_message and self._partial_checks >= MAX_PARTIAL_CHECKS:
            link.close("a message stayed incomplete")
        elif self._checks_without_data >= MAX_UNANSWERED_CHECKS:
            link.close("no data received, not even an answer to a ping")
        else:
            if self._checks_without_data >= CHECKS_BEFORE_PING and not self._ping_sent:
                self._ping_sent = True
                link.ping()
            self.watch()
