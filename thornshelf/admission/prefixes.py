"""Tables of IPv4 and IPv6 address prefixes that find all prefixes containing an address.

``PrefixTable`` is a path-compressed binary trie: the prefix of a child extends that of its parent, so one walk finds
all matches, however many prefix lengths there are. ``PerLengthPrefixTable`` is a simple implementation that tests and
``benchmarks`` compare it with.
"""

from __future__ import annotations

import ipaddress
import socket
from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
Prefix = tuple[int, int, int]  # IP version, leading bits (right-aligned), prefix length


def parse_address(text: str) -> tuple[int, int]:
    """Returns the IP version and the value of an address; raises ``ValueError`` if the text is none.

    An IPv4-mapped IPv6 address counts as IPv4, and a zone after ``%`` is ignored.
    """
    try:
        # Much faster than ``ipaddress`` for IPv4 addresses, the common case.
        return 4, int.from_bytes(socket.inet_pton(socket.AF_INET, text), "big")
    except OSError:
        pass
    address = ipaddress.ip_address(text.partition("%")[0])
    if isinstance(address, ipaddress.IPv6Address) and address.ipv4_mapped is not None:
        address = address.ipv4_mapped
    return address.version, int(address)


def parse_prefix(text: str) -> Prefix:
    """Parses a prefix such as 10.0.0.0/8; raises ``ValueError``, also if bits beyond the length are set."""
    network = ipaddress.ip_network(text)
    host_bits = network.max_prefixlen - network.prefixlen
    return network.version, int(network.network_address) >> host_bits, network.prefixlen


ADDRESS_BITS = {4: 32, 6: 128}


class _Node(Generic[T]):
    """A node of the trie; ``value`` is None if its prefix was not inserted."""

    __slots__ = ("bits", "children", "length", "value")

    def __init__(self, bits: int, length: int) -> None:
        self.bits = bits
        self.length = length
        self.children: list[_Node[T] | None] = [None, None]
        self.value: T | None = None


class PrefixTable(Generic[T]):
    """Values by prefix; a value can't be None."""

    def __init__(self) -> None:
        self._roots: dict[int, _Node[T]] = {version: _Node(0, 0) for version in ADDRESS_BITS}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def insert(self, prefix: Prefix, value: T) -> None:
        """Sets the value of a prefix."""
        version, bits, length = prefix
        node = self._roots[version]
        while True:
            if node.length == length:
                self._count += node.value is None
                node.value = value
                return
            branch = bits >> (length - node.length - 1) & 1
            child = node.children[branch]
            if child is None:
                child = node.children[branch] = _Node(bits, length)
            else:
                common = _common_length(child.bits, child.length, bits, length)
                if common < child.length:
                    # The new prefix diverges from this edge or ends within it: the edge is split.
                    middle: _Node[T] = _Node(bits >> (length - common), common)
                    middle.children[child.bits >> (child.length - common - 1) & 1] = child
                    node.children[branch] = child = middle
            node = child

    def matches(self, version: int, address: int) -> Iterator[T]:
        """Yields the values of all prefixes that contain an address, the shortest prefix first."""
        width = ADDRESS_BITS[version]
        node: _Node[T] | None = self._roots[version]
        while node is not None:
            if address >> (width - node.length) != node.bits:
                return
            if node.value is not None:
                yield node.value
            if node.length == width:
                return
            node = node.children[address >> (width - node.length - 1) & 1]

    def longest_match(self, version: int, address: int) -> T | None:
        """Returns the value of the longest prefix that contains an address; None if there is none."""
        found = None
        for found in self.matches(version, address):  # noqa: B007
            pass
        return found


def _common_length(first: int, first_length: int, second: int, second_length: int) -> int:
    """Returns the number of leading bits that two prefixes share."""
    length = min(first_length, second_length)
    difference = (first >> (first_length - length)) ^ (second >> (second_length - length))
    return length - difference.bit_length()


class PerLengthPrefixTable(Generic[T]):
    """Values by prefix, in a dict for each prefix length."""

    def __init__(self) -> None:
        self._by_length: dict[int, dict[int, dict[int, T]]] = {4: {}, 6: {}}

    def insert(self, prefix: Prefix, value: T) -> None:
        """Sets the value of a prefix."""
        version, bits, length = prefix
        self._by_length[version].setdefault(length, {})[bits] = value
        self._by_length[version] = dict(sorted(self._by_length[version].items()))

    def matches(self, version: int, address: int) -> Iterator[T]:
        """Yields the values of all prefixes that contain an address, the shortest prefix first."""
        width = ADDRESS_BITS[version]
        for length, table in self._by_length[version].items():
            if (value := table.get(address >> (width - length))) is not None:
                yield value
