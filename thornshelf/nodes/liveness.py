"""Detects a node's connection that is open and yet of no further use.

Checks are counted, not time: where a turn of this process was late, that is one check, and the next one reads what
has arrived meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from thornshelf.nodes.ports import MonitoredLink

CHECK_INTERVAL_US = 100_000
MAX_PARTIAL_CHECKS = 3  # a message that began so many checks ago, and has not ended, never will
CHECKS_BEFORE_PING = 4  # checks in a row without a byte, after which the peer is pinged
MAX_UNANSWERED_CHECKS = 12  # checks in a row without a byte, after which the connection is closed


class LivenessMonitor:
    """Checks one connection for as long as a reply or the rest of a message is expected on it.

    Guards against a corrupted connection that stays open: where a wrong length swallows the messages that follow it,
    or where an answer breaks off or never comes, updates of running tasks on that connection would be lost, too.
    """

    def __init__(self, link: MonitoredLink) -> None:
        self._link = link
        self._check_scheduled = False
        self._ping_sent = False
        self._checks_without_data = 0  # since the last byte
        self._partial_checks = 0  # since the message that is being received began

    def watch(self) -> None:
        """Expect something on the connection; to be called for each request that awaits a reply."""
        if not self._check_scheduled:
            self._check_scheduled = True
            self._link.node.loop.after(CHECK_INTERVAL_US, self._check)

    def bytes_received(self) -> None:
        """The peer has sent something: it is alive."""
        self._checks_without_data = 0
        self._ping_sent = False

    def message_begun(self) -> None:
        """A new message has begun, and its end is expected."""
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
            link.close("a message broke off")
        elif self._checks_without_data >= MAX_UNANSWERED_CHECKS:
            link.close("it says nothing more")
        else:
            if self._checks_without_data >= CHECKS_BEFORE_PING and not self._ping_sent:
                self._ping_sent = True
                link.ping()
            self.watch()
