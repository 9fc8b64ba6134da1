"""Divides a dispatcher's file descriptors between clients, nodes and other uses."""

from __future__ import annotations

from typing import NamedTuple

from thornshelf.configuration.model import Config

# With admission control: descriptors that are not for clients, but for nodes, the endpoint watch, the log and others.
RESERVED_DESCRIPTORS = 96
# Without admission control: descriptors for the endpoint watch, the log, listeners and others.
_OVERHEAD_DESCRIPTORS = 24
_RESERVED_DIVISOR = 4  # at most 1/4 of all descriptors is reserved, which matters where there are few
_CLIENT_DIVISOR = 3  # 1/3 is always left for clients: the most that the protocol lets them hold


class DescriptorLimits(NamedTuple):
    """The number of descriptors for connections.

    ``total``: for clients and nodes together. ``client_floor``: the part of ``total`` that nodes may not take.
    """

    total: int
    client_floor: int


def cap_reserved(reserved: int, max_descriptors: int) -> int:
    """Returns ``reserved``, limited to a quarter of all descriptors."""
    return min(reserved, max_descriptors // _RESERVED_DIVISOR)


def descriptor_limits(config: Config) -> DescriptorLimits:
    """Returns the descriptor limits for connections to clients and nodes."""
    max_descriptors = config.max_descriptors
    if config.admission is not None:
        # Admission control enforces its own limits by kind of descriptor.
        return DescriptorLimits(max_descriptors, max_descriptors)
    total = max_descriptors - cap_reserved(_OVERHEAD_DESCRIPTORS, max_descriptors)
    client_floor = min(total - 1, max_descriptors // _CLIENT_DIVISOR + 1)
    return DescriptorLimits(total, client_floor)
