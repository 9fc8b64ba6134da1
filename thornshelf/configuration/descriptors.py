"""How a dispatcher divides its file descriptors between clients, nodes and everything else."""

from __future__ import annotations

from typing import NamedTuple

from thornshelf.configuration.model import Config

RESERVED_DESCRIPTORS = 96  # beside admission control: for nodes, the endpoint watch, the log and the rest
_OVERHEAD_DESCRIPTORS = 24  # without it: for the endpoint watch, the log, listeners and the rest
_RESERVED_DIVISOR = 4  # where descriptors are few, no more than one in so many is reserved
_CLIENT_DIVISOR = 3  # clients get one in so many in any case, as the protocol lets them hold at most that


class DescriptorLimits(NamedTuple):
    """Descriptors for connections.

    ``total`` of them are shared by clients and nodes, and ``client_floor`` of these are for clients however many
    the nodes need.
    """

    total: int
    client_floor: int


def within_fraction(reserved: int, max_descriptors: int) -> int:
    """So many descriptors of all, but no more than a quarter."""
    return min(reserved, max_descriptors // _RESERVED_DIVISOR)


def descriptor_limits(config: Config) -> DescriptorLimits:
    """The limits that a configuration gives to the connections of clients and nodes."""
    max_descriptors = config.max_descriptors
    if config.admission is not None:
        # Admission control counts descriptors by itself, in its ledger.
        return DescriptorLimits(max_descriptors, max_descriptors)
    total = max_descriptors - within_fraction(_OVERHEAD_DESCRIPTORS, max_descriptors)
    client_floor = min(total - 1, max_descriptors // _CLIENT_DIVISOR + 1)
    return DescriptorLimits(total, client_floor)
