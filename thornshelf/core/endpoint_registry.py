"""The nodes of the endpoint list: their numbers for the decision module, their entries and their connections."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator

from thornshelf import placement
from thornshelf.core.messages import Attempt, EndpointListUpdate, NodeEndpoint
from thornshelf.core.ports import NodeConnection
from thornshelf.placement import Health

MACHINE_ID_MASK = 0xFFFFFFFF  # a node's number has 32 bits


class EndpointRegistry:
    """All nodes by number, with ``entries`` of the endpoint list and ``nodes``, the connections.

    What it finds out about tasks is reported by the calls that it is given: ``on_tasks_lost`` with a node and the
    time before which its tasks are lost (None for all), ``on_attempt_recalled`` with an attempt that had not left
    when its node began to drain, and ``on_discarded`` with the number and the name of a node that is not listed now.
    """

    def __init__(
        self,
        make_node: Callable[[int, NodeEndpoint], NodeConnection],
        to_seconds: Callable[[int], float],
        running_at: Callable[[int], Iterator[int]],
        on_tasks_lost: Callable[[int, int | None], None],
        on_attempt_recalled: Callable[[int, Attempt], None],
        on_discarded: Callable[[int, str], None],
    ) -> None:
        self.nodes: dict[int, NodeConnection] = {}
        self.entries: dict[int, NodeEndpoint] = {}
        self.on_unknown_endpoint: Callable[[str], None] | None = (
            None  # gets a name that no list has given yet
        )
        self._machine_by_name: dict[str, int] = {}
        self._name_by_machine: dict[int, str] = {}
        self._make_node = make_node
        self._to_seconds = to_seconds
        self._running_at = running_at
        self._on_tasks_lost = on_tasks_lost
        self._on_attempt_recalled = on_attempt_recalled
        self._on_discarded = on_discarded

    def machine_id(self, name: str) -> int:
        """A node's number; an unknown name gets one."""
        if (machine := self._machine_by_name.get(name)) is None:
            machine = self._free_machine_id(name)
            self._machine_by_name[name] = machine
            self._name_by_machine[machine] = name
            if self.on_unknown_endpoint is not None:
                self.on_unknown_endpoint(name)
        return machine

    def has_work(self, name: str) -> bool:
        """Whether a task runs on a node, or a message to it has not been sent yet."""
        machine = self._machine_by_name.get(name)
        if machine is None:
            return False
        if next(self._running_at(machine), None) is not None:
            return True
        node = self.nodes.get(machine)
        return node is not None and node.has_pending_data

    def up_machines(self) -> list[int]:
        """The nodes that accept attempts, by the endpoint list."""
        return [machine for machine, entry in self.entries.items() if entry.health is Health.UP]

    def is_up(self, machine: int) -> bool:
        """Whether a node accepts attempts, by the endpoint list."""
        entry = self.entries.get(machine)
        return entry is not None and entry.health is Health.UP

    def apply(self, update: EndpointListUpdate) -> placement.EndpointUpdate:
        """Apply an update of the endpoint list; returns it as an event of the decision module."""
        listed = set()
        endpoints = []
        for entry in update.endpoints:
            machine = self.machine_id(entry.name)
            listed.add(machine)
            self._apply_entry(machine, entry)
            endpoints.append(self._to_placement(machine, entry))
        if update.complete:
            for machine in sorted(self.nodes.keys() - listed):
                self._remove_node(machine)
                self.discard(machine)
        return placement.EndpointUpdate(update.complete, update.version, tuple(endpoints))

    def discard(self, machine: int) -> None:
        """Discard all that is known of a node that is no longer listed.

        Nodes are replaced all day long, so nothing may be retained for each of them.
        """
        self.entries.pop(machine, None)
        if (name := self._name_by_machine.pop(machine, None)) is not None:
            del self._machine_by_name[name]
            self._on_discarded(machine, name)

    def _free_machine_id(self, name: str) -> int:
        """The hex digits at the end of the name, as in the simulator, otherwise a checksum; the next free number."""
        try:
            machine = int(name.rpartition("-")[2], 16) & MACHINE_ID_MASK
        except ValueError:
            machine = zlib.crc32(name.encode())
        while machine in self._name_by_machine:
            machine = (machine + 1) & MACHINE_ID_MASK
        return machine

    def _to_placement(self, machine: int, entry: NodeEndpoint) -> placement.Endpoint:
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
            # Draining is measured to the first byte sent: what is still buffered must not be sent.
            for attempt in self.nodes[machine].drain():
                self._on_attempt_recalled(machine, attempt)
        else:
            self.nodes[machine].resume()

    def _apply_change(self, machine: int, previous: NodeEndpoint, entry: NodeEndpoint) -> None:
        """Apply what is new of a known node: another address, or another process."""
        if previous.address != entry.address:
            self._remove_node(machine)
        elif entry.started_us is not None:
            # A process that was started again under the same name runs none of the earlier tasks.
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
