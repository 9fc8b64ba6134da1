"""How the connections of clients and of nodes share the process's file descriptors."""

from __future__ import annotations

from collections.abc import Callable


class ConnectionBudget:
    """Limits the connections of clients, over all frontends, and of nodes.

    ``total``: descriptors for both; ``client_floor``: how many of them clients may use whatever the nodes need;
    ``nodes_needed``: returns what the nodes need. It is not what they hold just now: clients that connect while a
    node is down would otherwise take its descriptor.
    """

    def __init__(self, total: int, client_floor: int, nodes_needed: Callable[[], int] = lambda: 0) -> None:
        self.total = total
        self.client_floor = client_floor
        self._nodes_needed = nodes_needed
        self.client_count = 0  # client connections that are open

    @property
    def max_clients(self) -> int:
        """Client connections that may be open now."""
        return max(self.client_floor, self.total - self._nodes_needed())

    @property
    def max_nodes(self) -> int:
        """Node connections that may be open now: clients above their floor use only what nodes do not need."""
        return self.total - max(self.client_floor, min(self.client_count, self.total - self._nodes_needed()))
