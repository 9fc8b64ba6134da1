"""A planned stop: requests are served for a while longer, then all that is open is completed.

The end is decided by state and not by time: connections that wait to be accepted are accepted, what has arrived is
read, connections are closed only once they are idle, and every byte for a client or a node is sent.
"""

from __future__ import annotations

from collections.abc import Generator

from thornshelf.components import Host
from thornshelf.loop import Wait

SHUTDOWN_DELAY_US = 750_000  # requests keep arriving for so long after the process was told to stop
FLUSH_TIMEOUT_US = 1_000_000  # the longest wait for peers that are slow to read the last bytes

_CHECK_INTERVAL_US = 5_000


def drain(host: Host) -> Generator[Wait, int, None]:
    """Serve on for a while, then wait until nothing is open."""
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
    """Whether nothing is left to be sent to clients or nodes, and no connection of a client is open."""
    core = host.core
    listeners_finished = True
    for frontend in host.frontends:
        frontend.shutting_down = True
        listeners_finished = frontend.listener.drain_backlog() and listeners_finished
        frontend.close_idle()
    if not listeners_finished or host.connection_budget.client_count or core.open_count or core.inbox:
        return False
    return not any(node.has_pending_data for node in core.endpoints.nodes.values())
