"""Graceful restart: a successor process takes over the listening sockets and the state; no connection is refused.

``start_successor`` and ``hand_over`` run in the old process, ``take_over`` in the new one.
"""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Generator
from dataclasses import dataclass

from thornshelf.components import Host
from thornshelf.core.state_transfer import export_state, import_record, reconnect_nodes
from thornshelf.errors import StartupError
from thornshelf.lifecycle import socket_handover
from thornshelf.lifecycle.socket_handover import InheritedSockets
from thornshelf.loop import Wait

_DRAIN_MARGIN_US = 2_000_000  # added to the longest deadline of a request, to wait for clients to disconnect
_LINGER_US = 50_000  # allowed for the last bytes to be sent
_CLOSE_IDLE_INTERVAL_US = 5_000
_INBOX_CHECK_INTERVAL_US = 2_000
_TERMINATION_STEP_US = 100_000  # between the signals that terminate a failed successor
_PROBE_SIGNAL = 0  # is not delivered; gives a process that is already ending time to do so


@dataclass(frozen=True, slots=True)
class Successor:
    """A process that was started and is ready to take over, and this process's end of the channel to it."""

    process_id: int
    channel: socket.socket


def start_successor(host: Host) -> Generator[Wait, int, Successor | None]:
    """Start a successor on copies of the listening sockets, and wait until it is ready.

    Returns None if it could not be started or has failed; this process then keeps serving, and a failed successor
    has been terminated.
    """
    sockets = {name: frontend.listener.sock for name, frontend in host.named_frontends().items()}
    admission_filter = host.admission_filter
    open_descriptors = admission_filter.descriptor_ledger.open_count if admission_filter is not None else 0
    try:
        process_id, channel = socket_handover.spawn_successor(
            socket_handover.own_command_line(), sockets, open_descriptors
        )
    except OSError as error:
        reason = f"no successor could be started: {error.strerror}"
        host.log(3, "successor-failed", {"kept": "old", "code": StartupError.code}, reason)
        return None
    host.log(5, "successor-started", {"pid": process_id}, "successor process started")
    reason = yield from socket_handover.await_ready(host.loop, channel)
    if not reason:
        return Successor(process_id, channel)
    values: dict[str, object] = {"pid": process_id, "kept": "old", "code": StartupError.code}
    host.log(3, "successor-failed", values, reason)
    host.loop.unregister(channel.fileno())
    channel.close()
    yield from _terminate(host, process_id)
    return None


def _terminate(host: Host, process_id: int) -> Generator[Wait, int, None]:
    """Terminate a child process, by SIGKILL if SIGTERM does not end it in time.

    The child has not been reaped yet, so its process id can't have been reused.
    """
    for number in (_PROBE_SIGNAL, signal.SIGTERM, signal.SIGKILL):
        os.kill(process_id, number)
        until = host.loop.now + _TERMINATION_STEP_US
        while host.loop.now < until:
            yield Wait(until=until)
        if os.waitpid(process_id, os.WNOHANG)[0]:
            break


def hand_over(host: Host, successor: Successor) -> Generator[Wait, int, None]:
    """Stop accepting connections, complete the open requests, and send the running tasks to the successor."""
    for frontend in host.frontends:
        frontend.listener.close()
    yield from _drain(host)
    records = export_state(host.core)
    sent = yield from socket_handover.send_state(host.loop, successor.channel, records)
    host.log(
        5, "state-handed-over", {"tasks": len(records), "sent": sent}, "hand-over to the successor ended"
    )
    yield Wait(until=host.loop.now + _LINGER_US)


def _drain(host: Host) -> Generator[Wait, int, None]:
    """Wait until the open requests are complete and the clients are disconnected, or the time for it is over."""
    loop = host.loop
    core = host.core
    # Connections are closed once they are idle. A client whose request crosses the close sends it again.
    longest_s = max((task_class.deadline_s for task_class in host.config.settings.classes), default=0.0)
    until = loop.now + int(longest_s * 1e6) + _DRAIN_MARGIN_US
    while loop.now < until and (core.open_count or core.inbox or host.connection_budget.client_count):
        for frontend in host.frontends:
            frontend.shutting_down = True
            frontend.close_idle()
        yield Wait(until=loop.now + _CLOSE_IDLE_INTERVAL_US)
    # Releases that the closed connections could not deliver still have to reach the core.
    until = loop.now + _LINGER_US
    while loop.now < until or core.inbox:
        yield Wait(until=loop.now + _INBOX_CHECK_INTERVAL_US)


def take_over(host: Host, inherited: InheritedSockets) -> Generator[Wait, int, None]:
    """Receive the running tasks of the predecessor, and adopt them once it has ended."""
    channel = inherited.channel
    if channel is None:
        return
    records = yield from socket_handover.receive_state(channel)
    # Without this, the next connection that gets the same descriptor number would receive no events.
    host.loop.unregister(channel.fileno())
    channel.close()
    if host.admission_filter is not None:
        host.admission_filter.predecessor_ended(host.config.admission, host.config.max_descriptors)
    if records is None:
        host.log(4, "state-lost", {}, "the predecessor ended without handing over all of its tasks")
        return
    adopted = sum(import_record(host.core, record) for record in records)
    reconnect_nodes(host.core)
    host.log(5, "state-taken-over", {"tasks": adopted}, "taken over from the predecessor")
