"""Tracks the nodes of the endpoint list: their numeric ids, their list entries and their connections."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator

from thornshelf import placement
from thornshelf.core.messages import Attempt, EndpointListUpdate, NodeEndpoint
from thornshelf.core.ports import NodeConnection
from thornshelf.placement import Health

MACHINE_ID_MASK = 0xFFFFFFFF  # node ids have 32 bits


class EndpointRegistry:
    """All listed nodes by numeric id: ``entries`` has their list entries and ``nodes`` their connections.

    Consequences for tasks are reported through callbacks. ``on_tasks_lost`` gets a node and a time in microseconds:
    tasks that started there before it are lost, or all tasks if it is None. ``on_attempt_withdrawn`` gets an unsent
    attempt that was withdrawn because its node drains. ``on_discarded`` gets the id and name of a node that is no
    longer listed.
    """

    def __init__(
        self,
        make_node: Callable[[int, NodeEndpoint], NodeConnection],
        to_seconds: Callable[[int], float],
        running_at: Callable[[int], Iterator[int]],
        on_tasks_lost: Callable[[int, int | None], None],
        on_attempt_withdrawn: Callable[[int, Attempt], None],
        on_discarded: Callable[[int, str], None],
    ) -> None:
        self.nodes: dict[int, NodeConnection] = {}
        self.entries: dict[int, NodeEndpoint] = {}
        self.on_new_endpoint: Callable[[str], None] | None = None  # called with each new endpoint name
        self._machine_by_name: dict[str, int] = {}
        self._name_by_machine: dict[int, str] = {}
        self._make_node = make_node
        self._to_seconds = to_seconds
        self._running_at = running_at
        self._on_tasks_lost = on_tasks_lost
        self._on_attempt_withdrawn = on_attempt_withdrawn
        self._on_discarded = on_discarded

    def machine_id(self, name: str) -> int:
        """Return the id of the node with this name, assigning one to a new name."""
        if (machine := self._machine_by_name.get(name)) is None:
            machine = self._free_machine_id(name)
            self._machine_by_name[name] = machine
            self._name_by_machine[machine] = name
            if self.on_new_endpoint is not None:
                self.on_new_endpoint(name)
        return machine

    def is_known(self, name: str) -> bool:
        """Return whether a node of this name is listed, or runs a task by a client's word."""
        return name in self._machine_by_name

    @property
    def unlisted_count(self) -> int:
        """The number of nodes that are known only by the names that clients gave."""
        return len(self._machine_by_name) - len(self.entries)

    def has_work(self, name: str) -> bool:
        """Return whether tasks run on a node, or data waits to be sent to it."""
        machine = self._machine_by_name.get(name)
        if machine is None:
            return False
        if next(self._running_at(machine), None) is not None:
            return True
        node = self.nodes.get(machine)
        return node is not None and node.has_pending_data

    def up_machines(self) -> list[int]:
        """Return the ids of the nodes that accept attempts according to the endpoint list."""
        return [machine for machine, entry in self.entries.items() if entry.health is Health.UP]

    def is_up(self, machine: int) -> bool:
        """Return whether a node accepts attempts according to the endpoint list."""
        entry = self.entries.get(machine)
        return entry is not None and entry.health is Health.UP

    def apply(self, update: EndpointListUpdate) -> placement.EndpointUpdate:
        """Apply an update of the endpoint list, and return it as an event for the decision module."""
        listed = set()
        endpoints = []
        for entry in update.endpoints:
            machine = self.machine_id(entry.name)
            listed.add(machine)
            self._apply_entry(machine, entry)
            endpoints.append(self._placement_endpoint(machine, entry))
        if update.complete:
            for machine in sorted(self.nodes.keys() - listed):
                self._remove_node(machine)
                self.discard(machine)
        return placement.EndpointUpdate(update.complete, update.version, tuple(endpoints))

    def discard(self, machine: int) -> None:
        """Remove all state of a node that is no longer listed.

        Nodes are replaced all the time, so state that stayed behind would grow without bound.
        """
        self.entries.pop(machine, None)
        if (name := self._name_by_machine.pop(machine, None)) is not None:
            del self._machine_by_name[name]
            self._on_discarded(machine, name)

    def _free_machine_id(self, name: str) -> int:
        """Derive an unused id from a name: from its hexadecimal suffix if it has one, otherwise from a checksum."""
        try:
            machine = int(name.rpartition("-")[2], 16) & MACHINE_ID_MASK
        except ValueError:
            machine = zlib.crc32(name.encode("utf-8", "surrogatepass"))
        while machine in self._name_by_machine:
            machine = (machine + 1) & MACHINE_ID_MASK
        return machine

    def _placement_endpoint(self, machine: int, entry: NodeEndpoint) -> placement.Endpoint:
        started_s = 0.0 if entry.started_us is None else self._to_seconds(entry.started_us)
        return placement.Endpoint(
            machine, entry.health, entry.kind, entry.zone, entry.cell, 0.0, 0.0, entry.weight, started_s
        )

    def _apply_entry(self, machine: int, entry: NodeEndpoint) -> None:
        """Bring a node's connection in line with its entry in the list."""
        previous = self.entries.get(machine)
        self.entries[machine] = entry
        if entry.health is Health.REMOVED:
            self._remove_node(machine)
            self.discard(machine)
            return
        if previous is not None and machine in self.nodes:
            self._apply_change(machine, previous, entry)
        if machine not in self.nodes:
            self._add_node(machine, entry)
        if entry.health is Health.DRAINING:
            # Withdraw attempts that are still buffered: a draining node must not receive any byte of a new one.
            for attempt in self.nodes[machine].drain():
                self._on_attempt_withdrawn(machine, attempt)
        else:
            self.nodes[machine].resume()

    def _apply_change(self, machine: int, previous: NodeEndpoint, entry: NodeEndpoint) -> None:
        """Apply a changed entry of a known node: a new address or a new process."""
        if previous.address != entry.address:
            self._remove_node(machine)
        elif entry.started_us is not None:
            # A restarted process runs none of the tasks of its predecessor.
            self.nodes[machine].process_restarted(entry.started_us)
            self._on_tasks_lost(machine, entry.started_us)

    def _add_node(self, machine: int, entry: NodeEndpoint) -> None:
        node = self._make_node(machine, entry)
        self.nodes[machine] = node
        for uid in self._running_at(machine):
            node.watch_task(uid)

    def _remove_node(self, machine: int) -> None:
        if (node := self.nodes.pop(machine, None)) is not None:
            node.close()
        self._on_tasks_lost(machine, None)
