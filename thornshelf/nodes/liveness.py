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
# A quiet connection to a node on which tasks run is tried this often: a node that has forgotten it resets it then.
# The release of a task that has ended is due within 8 s; reconnecting and one failed connect take up to 1 s of that.
QUIET_CHECK_INTERVAL_US = 5_000_000
# Up to this much is deducted, by node, so that connections that became quiet together don't share a turn.
QUIET_CHECK_SPREAD_US = 1_000_000
QUIET_CHECK_PHASES = 997
# A ping whose answer is awaited also finds a connection that is never reset. Where it has a price, it is rarer.
QUIET_PING_INTERVAL_US = 30_000_000
FORGOTTEN_RESET_US = 1_000_000  # a reset this soon after a check answers the check


class LivenessMonitor:
    """Checks one connection while a reply, the rest of a message or the end of a running task is expected on it.

    Guards against a corrupt connection that stays open, on which updates of running tasks would be lost: a wrong
    length makes the messages that follow part of another one, or an answer is cut off or never sent. Guards also
    against a connection that the node or the network has forgotten while it was quiet: the ends of tasks are reported
    on the next connection, which is opened only once this one is known to be lost.
    """

    def __init__(self, link: MonitoredLink) -> None:
        self._link = link
        self._check_scheduled = False
        self._ping_sent = False
        self._checks_without_data = 0  # since data was last received
        self._partial_checks = 0  # since the present message began
        # When data last came that was not the answer to a ping of the quiet connection.
        self._quiet_since_us = link.node.loop.now
        self._quiet_check_scheduled = False
        self._quiet_ping_sent = False  # a ping of the quiet connection has no answer yet
        self._last_quiet_ping_us = link.node.loop.now
        self._last_quiet_check_us: int | None = None  # None: data came after it

    def watch(self) -> None:
        """Start checking the connection; call this for each request that awaits a reply."""
        if not self._check_scheduled:
            self._check_scheduled = True
            self._link.node.loop.call_later(CHECK_INTERVAL_US, self._check)

    def watch_tasks(self) -> None:
        """Start trying the connection when it is quiet; call this for each running task whose end is awaited."""
        if not self._quiet_check_scheduled:
            self._schedule_quiet_check(self._quiet_since_us + QUIET_CHECK_INTERVAL_US)

    @property
    def was_just_tried(self) -> bool:
        """Whether a reset of the connection now would answer a check of the quiet connection."""
        checked_us = self._last_quiet_check_us
        return checked_us is not None and self._link.node.loop.now - checked_us <= FORGOTTEN_RESET_US

    def bytes_received(self) -> None:
        """Record that the peer has sent data, which proves that it is alive."""
        self._checks_without_data = 0
        self._ping_sent = False
        if not self._quiet_ping_sent:
            self._quiet_since_us = self._link.node.loop.now
        self._quiet_ping_sent = False
        self._last_quiet_check_us = None

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
            self._close_unresponsive()
        else:
            if self._checks_without_data >= CHECKS_BEFORE_PING and not self._ping_sent:
                self._ping_sent = True
                link.ping()
            self.watch()

    def _close_unresponsive(self) -> None:
        """Close a connection without an answer to a ping; that of a draining node only once it can be replaced.

        A draining node may refuse new connections while its tasks run on, and report their ends on this one.
        """
        node = self._link.node
        if node.draining and not node.in_flight:
            self._ping_sent = False
            self._quiet_ping_sent = False
            self._checks_without_data = 0
            node.open_replacement()
        else:
            self._link.close("no data received, not even an answer to a ping")

    def _schedule_quiet_check(self, due_us: int) -> None:
        self._quiet_check_scheduled = True
        node = self._link.node
        phase = node.machine % QUIET_CHECK_PHASES
        due_us = max(node.loop.now, due_us - QUIET_CHECK_SPREAD_US * phase // QUIET_CHECK_PHASES)
        # Rounded up, so that many connections share a turn: a turn for each would cost more than the checks.
        node.loop.call_at(-(-due_us // CHECK_INTERVAL_US) * CHECK_INTERVAL_US, self._check_quiet)

    def _check_quiet(self) -> None:
        self._quiet_check_scheduled = False
        link = self._link
        now = link.node.loop.now
        if not link.stream.open or not link.node.running:
            return
        if now - self._quiet_since_us < QUIET_CHECK_INTERVAL_US - QUIET_CHECK_SPREAD_US:
            self._schedule_quiet_check(self._quiet_since_us + QUIET_CHECK_INTERVAL_US)
            return
        if not self._ping_sent:
            self._last_quiet_check_us = now
            self._try_quiet_connection(now)
        self._schedule_quiet_check(now + QUIET_CHECK_INTERVAL_US)

    def _try_quiet_connection(self, now_us: int) -> None:
        link = self._link
        last_proof_us = max(self._quiet_since_us, self._last_quiet_ping_us)
        if not link.ping_is_free and now_us - last_proof_us < QUIET_PING_INTERVAL_US:
            link.touch()
            return
        self._last_quiet_ping_us = now_us
        self._ping_sent = True
        self._quiet_ping_sent = True
        link.ping()
        self.watch()
