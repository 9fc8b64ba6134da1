"""The division of the process's file descriptors between connections of clients and of nodes."""

from __future__ import annotations

from collections.abc import Callable


class ConnectionBudget:
    """Limits the connections of clients, over all frontends, and of nodes.

    ``total``: descriptors for both; ``client_floor``: how many of them clients may always use; ``nodes_needed``:
    returns how many the nodes need. That includes nodes that are down: otherwise clients that connect meanwhile would
    take their descriptors.
    """

    def __init__(self, total: int, client_floor: int, nodes_needed: Callable[[], int] = lambda: 0) -> None:
        self.total = total
        self.client_floor = client_floor
        self._nodes_needed = nodes_needed
        self.client_count = 0  # open client connections

    @property
    def max_clients(self) -> int:
        """How many client connections may be open now."""
        return max(self.client_floor, self.total - self._nodes_needed())

    @property
    def max_nodes(self) -> int:
        """How many node connections may be open now, beside the client connections that are open."""
        return self.total - max(self.client_floor, min(self.client_count, self.total - self._nodes_needed()))
