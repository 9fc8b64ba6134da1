"""Graceful shutdown: requests are served for a while longer, then everything that is open is completed.

The process ends when its state permits it, not at a fixed time: waiting connections are accepted, input that has
arrived is read, connections are closed only when idle, and all data for clients and nodes is sent. Only connections
that are still not finished ``FLUSH_TIMEOUT_US`` after the last open request are given up.
"""

from __future__ import annotations

from collections.abc import Generator

from thornshelf.components import Host
from thornshelf.loop import Wait

SHUTDOWN_DELAY_US = 750_000  # how long requests are still expected after the shutdown request
FLUSH_TIMEOUT_US = 1_000_000  # how long to wait for peers that are slow to read, once no request is open

_CHECK_INTERVAL_US = 5_000


def drain(host: Host) -> Generator[Wait, int, None]:
    """Serve for ``SHUTDOWN_DELAY_US``, then wait until nothing is open."""
    loop = host.loop
    core = host.core
    until = loop.now + SHUTDOWN_DELAY_US
    while loop.now < until:
        yield Wait(until=until)
    until = loop.now + FLUSH_TIMEOUT_US
    while not _is_drained(host) and loop.now < until:
        if core.open_count or core.inbox:
            until = loop.now + FLUSH_TIMEOUT_US
        yield Wait(until=loop.now + _CHECK_INTERVAL_US)


def _is_drained(host: Host) -> bool:
    """Accept waiting connections and close idle ones; returns whether no client and no unsent data is left."""
    core = host.core
    listeners_finished = True
    for frontend in host.frontends:
        frontend.shutting_down = True
        listeners_finished = frontend.listener.drain_backlog() and listeners_finished
        frontend.close_idle()
    if not listeners_finished or host.connection_budget.client_count or core.open_count or core.inbox:
        return False
    return not any(node.has_pending_data for node in core.endpoints.nodes.values())
